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
std::uint64_t hashOfIsolated(const std::vector<deployment_account> &accounts)
{
    std::set<std::string_view> names;
    for (const deployment_account &account : accounts) {
        if (account.isolated)
            names.insert(account.name);
    }
    std::uint64_t hash = 0;
    for (const std::string_view name : names)
        hash = XXH64(name.data(), name.size(), hash);
    return hash;
}

} // namespace

deployment_index::deployment_index(deployment source)
    : m_source(std::move(source))
{
    for (const deployment_route &route : m_source.routes)
        m_routesByHost[normalisedHost(route.host)].push_back(&route);
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto *a, const auto *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
    }
    for (const deployment_account &account : m_source.accounts) {
        m_accountsByName.emplace(account.name, &account);
        for (const std::string &key : account.keys)
            m_accountsByKey.emplace(key, &account);
    }
    for (const deployment_pool &pool : m_source.pools)
        m_pools.emplace(pool.name, &pool);
    m_isolatedSet = hashOfIsolated(m_source.accounts);
}

const deployment_route *deployment_index::findRoute(std::string_view host,
                                                    std::string_view path) const
{
    const auto found = m_routesByHost.find(normalisedHost(host));
    if (found == m_routesByHost.end())
        return nullptr;
    const std::string_view pathWithoutQuery = path.substr(0, path.find('?'));
    for (const deployment_route *route : found->second) {
        if (pathWithoutQuery.substr(0, route->pathPrefix.size()) == route->pathPrefix)
            return route;
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
    const auto found = m_pools.find(std::string(name));
    return found == m_pools.end() ? nullptr : found->second;
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
    for (const deployment_pool &pool : m_source.pools) {
        if (pool.engine && pool.engine->tokenBytes > 0)
            return store.linkBytesPerSecond / static_cast<double>(pool.engine->tokenBytes);
    }
    return 0.0;
}

} // namespace burdockhold
