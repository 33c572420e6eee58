#include "burdockhold/deployment.h"

#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

namespace burdockhold {

namespace {

std::string normalisedHost(std::string_view host)
{
    std::string text(host.substr(0, host.find(':')));
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Returns a hash of the names of the isolated accounts that does not depend on their order, or 0
/// if there are none.
std::uint64_t hashOfIsolated(const std::map<std::string, deployment_account> &accounts)
{
    std::set<std::string_view> names;
    for (const auto &[key, account] : accounts) {
        if (account.isolated)
            names.insert(account.name);
    }
    std::uint64_t hash = 0;
    for (const std::string_view name : names)
        hash = XXH64(name.data(), name.size(), hash);
    return hash;
}

/// Separates the host from the path prefix in the text of a route's key.
constexpr char KeySeparator = '\n';

} // namespace

std::string routeKeyText(std::string_view host, std::string_view pathPrefix)
{
    std::string text = normalisedHost(host);
    text += KeySeparator;
    text += pathPrefix;
    return text;
}

route_key parseRouteKey(std::string_view text)
{
    const std::size_t end = std::min(text.find(KeySeparator), text.size());
    return { std::string(text.substr(0, end)),
             std::string(text.substr(std::min(end + 1, text.size()))) };
}

deployment_changes changesOf(deployment source)
{
    deployment_changes changes;
    changes.version = source.version;
    changes.routes = std::move(source.routes);
    // Of several routes with the same key, the first one is found: it is added last.
    std::reverse(changes.routes.begin(), changes.routes.end());
    for (deployment_account &account : source.accounts) {
        std::string key = account.name;
        while (changes.accounts.count(key) > 0)
            key += KeySeparator;
        changes.accounts.emplace(std::move(key), std::move(account));
    }
    changes.pools = std::move(source.pools);
    changes.rules = caller_rules{ source.requiresKeys, source.limits };
    return changes;
}

deployment_index::deployment_index(deployment source)
    : deployment_index(nullptr, changesOf(std::move(source)))
{
}

deployment_index::deployment_index(const deployment_index *previous, deployment_changes changes)
{
    if (previous != nullptr) {
        m_accounts = previous->m_accounts;
        m_pools = previous->m_pools;
        m_rules = previous->m_rules;
        m_routes = previous->m_routes;
        m_prefixLengths = previous->m_prefixLengths;
    }
    applyChanges(std::move(changes));
}

void deployment_index::applyChanges(deployment_changes changes)
{
    m_version = changes.version;
    for (const std::string &key : changes.removedRoutes)
        removeRoute(key);
    for (deployment_route &route : changes.routes)
        addRoute(std::move(route));
    for (const std::string &key : changes.removedAccounts)
        m_accounts.erase(key);
    for (auto &[key, account] : changes.accounts)
        m_accounts.insert_or_assign(key, std::move(account));
    if (changes.pools)
        m_pools = std::move(*changes.pools);
    if (changes.rules)
        m_rules = *changes.rules;
    indexAccounts();
    indexPools();
    indexStreamTargets();
}

/// Adds the route in place of the one with the same key.
void deployment_index::addRoute(deployment_route route)
{
    std::string key = routeKeyText(route.host, route.pathPrefix);
    removeRoute(key);
    ++m_prefixLengths[normalisedHost(route.host)][route.pathPrefix.size()];
    const auto added = std::make_shared<const indexed_route>(
            indexed_route{ std::move(key), std::move(route) });
    m_routes.emplace(added->key, added);
}

void deployment_index::removeRoute(const std::string &key)
{
    if (m_routes.erase(key) == 0)
        return;
    const route_key parsed = parseRouteKey(key);
    prefix_lengths &lengths = m_prefixLengths[parsed.host];
    const auto count = lengths.find(parsed.pathPrefix.size());
    if (count != lengths.end() && --count->second == 0)
        lengths.erase(count);
    if (lengths.empty())
        m_prefixLengths.erase(parsed.host);
}

void deployment_index::indexAccounts()
{
    for (const auto &[key, account] : m_accounts) {
        m_accountsByName.emplace(account.name, &account);
        for (const std::string &apiKey : account.keys)
            m_accountsByKey.emplace(apiKey, &account);
    }
    m_isolatedSet = hashOfIsolated(m_accounts);
}

void deployment_index::indexPools()
{
    for (const deployment_pool &pool : m_pools)
        m_poolsByName.emplace(pool.name, &pool);
}

void deployment_index::indexStreamTargets()
{
    for (const auto &[key, indexed] : m_routes) {
        const deployment_route &route = indexed->route;
        if (route.kind != call_kind::Stream)
            continue;
        for (const weighted_pool &share : route.pools) {
            const auto [shortest, isNew] = m_shortestStreamTargets.try_emplace(share.pool,
                                                                               route.latencyTarget);
            shortest->second = std::min(shortest->second, route.latencyTarget);
        }
    }
}

std::optional<duration> deployment_index::shortestStreamTarget(std::string_view pool) const
{
    const auto found = m_shortestStreamTargets.find(pool);
    return found == m_shortestStreamTargets.end() ? std::nullopt
                                                  : std::make_optional(found->second);
}

const deployment_route *deployment_index::findRoute(std::string_view host,
                                                    std::string_view path) const
{
    const std::string text = routeKeyText(host, path.substr(0, path.find('?')));
    const route_key parsed = parseRouteKey(text);
    const auto lengths = m_prefixLengths.find(parsed.host);
    if (lengths == m_prefixLengths.end())
        return nullptr;
    const std::size_t hostLength = parsed.host.size() + 1;
    for (const auto &[length, count] : lengths->second) {
        if (length > parsed.pathPrefix.size())
            continue;
        const auto found = m_routes.find(std::string_view(text).substr(0, hostLength + length));
        if (found != m_routes.end())
            return &found->second->route;
    }
    return nullptr;
}

const deployment_account *deployment_index::findAccount(std::string_view key) const
{
    const auto found = m_accountsByKey.find(std::string(key));
    return key.empty() || found == m_accountsByKey.end() ? nullptr : found->second;
}

const deployment_pool *deployment_index::findPool(std::string_view name) const
{
    const auto found = m_poolsByName.find(std::string(name));
    return found == m_poolsByName.end() ? nullptr : found->second;
}

cache_domain deployment_index::cacheDomainOf(const deployment_account *account) const
{
    if (account != nullptr) {
        const auto current = m_accountsByName.find(account->name);
        const bool isIsolated = current == m_accountsByName.end() ? account->isolated
                                                                  : current->second->isolated;
        if (isIsolated)
            return { account->name, 0 };
    }
    return { {}, m_isolatedSet };
}

double deployment_index::tokensPerSecond(const cache_store &store) const
{
    for (const deployment_pool &pool : m_pools) {
        if (pool.engine && pool.engine->tokenBytes > 0)
            return store.linkBytesPerSecond / static_cast<double>(pool.engine->tokenBytes);
    }
    return 0.0;
}

} // namespace burdockhold
