#include "burdockhold/config_check.h"

#include "burdockhold/attempt_rules.h"
#include "burdockhold/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <tuple>
#include <utility>

namespace burdockhold {

namespace {

/// Names that a finding lists before it counts the rest, so that a line stays readable.
constexpr std::size_t MaxListedNames = 5;
/// Hexadecimal digits of a key's digest, as many as the key commands show.
constexpr std::size_t ShownDigits = 16;
/// The difference of account names that are repeated; see changesOf().
constexpr char RepeatedNameMark = '\n';

std::string jsonText(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string numberText(double number)
{
    constexpr int Digits = 12;
    std::ostringstream text;
    text.precision(Digits);
    text << number;
    return text.str();
}

std::string timeText(duration time)
{
    return numberText(std::chrono::duration<double, std::milli>(time).count()) + " ms";
}

std::string flagText(bool flag)
{
    return flag ? "true" : "false";
}

std::string listText(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ", ") + jsonText(name);
    return "[" + text + "]";
}

/// Returns the first names and the number of the others.
std::string shortListText(std::vector<std::string> names)
{
    const std::size_t total = names.size();
    names.resize(std::min(total, MaxListedNames));
    std::string text = listText(names);
    if (total > names.size())
        text += " and " + std::to_string(total - names.size()) + " more";
    return text;
}

std::string routeText(const deployment_route &route)
{
    return route.name.empty() ? jsonText(route.host + route.pathPrefix) : jsonText(route.name);
}

/// Returns whether the character can be in a host name or a path of a request.
bool isRequestCharacter(char c)
{
    return c > ' ' && c != '\x7f' && c != '?' && c != '#';
}

/// Returns whether a request can name the host. It may include a port, which routers drop.
bool canMatchHost(const std::string &host)
{
    const std::string name = parseRouteKey(routeKeyText(host, "")).host;
    return !name.empty() && std::all_of(host.begin(), host.end(), [](char c) {
        return isRequestCharacter(c) && c != '/' && c != '@';
    });
}

bool canMatchPath(const std::string &prefix)
{
    return !prefix.empty() && prefix.front() == '/'
           && std::all_of(prefix.begin(), prefix.end(), isRequestCharacter);
}

bool haveCommonRegion(const deployment_route &route, const deployment_account &account)
{
    const auto &allowed = account.allowedRegions;
    if (route.allowedRegions.empty() || allowed.empty())
        return true;
    return std::any_of(route.allowedRegions.begin(), route.allowedRegions.end(),
                       [&](const std::string &region) {
                           return std::find(allowed.begin(), allowed.end(), region)
                                  != allowed.end();
                       });
}

/// Returns the accounts' keys in deployment_index::accounts(), in the order of the accounts.
std::vector<std::string> accountIndexKeys(const std::vector<deployment_account> &accounts)
{
    std::vector<std::string> keys;
    std::set<std::string> used;
    for (const deployment_account &account : accounts) {
        std::string key = account.name;
        while (!used.insert(key).second)
            key += RepeatedNameMark;
        keys.push_back(std::move(key));
    }
    return keys;
}

/// The checks of one deployment.
class deployment_check
{
public:
    deployment_check(const deployment &source, const config_check_options &options)
        : m_source(source)
        , m_options(options)
        , m_index(source)
    {
    }

    std::vector<config_finding> run()
    {
        checkRoutes();
        checkPools();
        checkAccounts();
        return std::move(m_findings);
    }

private:
    void warn(config_list list, std::size_t index, config_field field, config_code code,
              std::string text)
    {
        m_findings.push_back(
                { config_severity::Warning, { list, index, field }, code, std::move(text) });
    }

    void warnRoute(std::size_t index, config_field field, config_code code, std::string text)
    {
        warn(config_list::Routes, index, field, code, std::move(text));
    }

    void checkRoutes()
    {
        std::map<std::string, std::size_t> first; // By routeKeyText().
        for (std::size_t i = 0; i < m_source.routes.size(); ++i) {
            const deployment_route &route = m_source.routes[i];
            const auto [same, isFirst] = first.emplace(routeKeyText(route.host, route.pathPrefix),
                                                       i);
            if (!isFirst)
                warnRoute(i, config_field::PathPrefix, config_code::RouteHidden,
                          "can never match: entry " + std::to_string(same->second)
                                  + " of the routes, " + routeText(m_source.routes[same->second])
                                  + ", has the same host and path prefix and takes all requests");
            checkMatch(i, route);
            checkPoolsOf(i, route);
            checkTimes(i, route);
            checkAttempts(i, route);
        }
    }

    void checkMatch(std::size_t index, const deployment_route &route)
    {
        if (!canMatchHost(route.host))
            warnRoute(index, config_field::Host, config_code::HostNeverMatches,
                      "can never match: no request names the host " + jsonText(route.host));
        if (!canMatchPath(route.pathPrefix))
            warnRoute(index, config_field::PathPrefix, config_code::PrefixNeverMatches,
                      "can never match: no request's path begins with "
                              + jsonText(route.pathPrefix));
    }

    void checkPoolsOf(std::size_t index, const deployment_route &route)
    {
        if (route.pools.empty())
            warnRoute(index, config_field::Pools, config_code::RouteWithoutPool,
                      "has no pool; its requests are refused as requests without a route");
        for (const weighted_pool &share : route.pools) {
            if (m_index.findPool(share.pool) == nullptr)
                warnRoute(index, config_field::Pools, config_code::UnknownPool,
                          "names the pool " + jsonText(share.pool) + ", which is not configured");
        }
    }

    void checkTimes(std::size_t index, const deployment_route &route)
    {
        if (route.timeout < m_options.transitTime)
            warnRoute(index, config_field::Timeout, config_code::TimeoutUnderTransit,
                      "the timeout of " + timeText(route.timeout) + " is under the transit time of "
                              + timeText(m_options.transitTime) + "; no response is in time");
        if (route.latencyTarget > route.timeout)
            warnRoute(index, config_field::LatencyTarget, config_code::TargetAboveTimeout,
                      "the latency target of " + timeText(route.latencyTarget)
                              + " is above the timeout of " + timeText(route.timeout));
    }

    void checkAttempts(std::size_t index, const deployment_route &route)
    {
        const bool canResume = route.kind == call_kind::Stream && route.resumable;
        const int calls = canResume ? MaxCallsOfStartedStream : MaxCalls;
        if (route.maxEndpoints > calls)
            warnRoute(index, config_field::MaxEndpoints, config_code::AttemptsAboveCallLimit,
                      std::to_string(route.maxEndpoints)
                              + " attempts are above the router's limit of " + std::to_string(calls)
                              + " calls for a request on this route");
        const double affordable = 1.0 + m_options.retryRatio + m_options.retrySlack;
        if (route.maxEndpoints > affordable)
            warnRoute(index, config_field::MaxEndpoints, config_code::AttemptsAboveRetryBudget,
                      std::to_string(route.maxEndpoints)
                              + " attempts are above what the retry budget allows a single "
                                "request: 1 + "
                              + numberText(m_options.retryRatio) + " + "
                              + numberText(m_options.retrySlack));
    }

    void checkPools()
    {
        std::set<std::string> used;
        for (const deployment_route &route : m_source.routes) {
            for (const weighted_pool &share : route.pools)
                used.insert(share.pool);
        }
        std::map<std::string, std::size_t> first;
        for (std::size_t i = 0; i < m_source.pools.size(); ++i) {
            const deployment_pool &pool = m_source.pools[i];
            const auto [same, isFirst] = first.emplace(pool.name, i);
            if (!isFirst)
                warn(config_list::Pools, i, config_field::Name, config_code::PoolRepeated,
                     "is ignored: entry " + std::to_string(same->second)
                             + " of the pools has the same name, " + jsonText(pool.name));
            // Routers use cache stores without a route.
            else if (!pool.store && used.count(pool.name) == 0)
                warn(config_list::Pools, i, config_field::None, config_code::PoolUnused,
                     "no route uses the pool " + jsonText(pool.name));
        }
    }

    void checkAccounts()
    {
        const std::vector<std::string> indexKeys = accountIndexKeys(m_source.accounts);
        for (std::size_t i = 0; i < m_source.accounts.size(); ++i) {
            checkKeys(i, m_source.accounts[i], m_index.accounts().at(indexKeys[i]));
            checkBurst(i, m_source.accounts[i]);
            checkRegions(i, m_source.accounts[i]);
        }
    }

    void warnAccount(std::size_t index, config_field field, config_code code, std::string text)
    {
        warn(config_list::Accounts, index, field, code, std::move(text));
    }

    void checkKeys(std::size_t index, const deployment_account &account,
                   const deployment_account &indexed)
    {
        std::size_t usable = 0;
        for (std::size_t i = 0; i < account.keys.size(); ++i) {
            const deployment_account *owner = m_index.findAccount(account.keys[i]);
            usable += owner == &indexed ? 1 : 0;
            if (owner != nullptr && owner != &indexed)
                warnAccount(index, config_field::Keys, config_code::KeyOfAnotherAccount,
                            "key " + std::to_string(i) + " of the list also belongs to the account "
                                    + jsonText(owner->name) + ", for which it counts");
        }
        if (usable == 0)
            warnAccount(index, config_field::Keys, config_code::AccountWithoutKey,
                        "the account " + jsonText(account.name)
                                + " has no usable key; it can send no request");
    }

    /// Returns the largest number of tokens that an engine has room for, among those to which the
    /// account's requests may go; 0 if none is configured.
    double largestPrompt(const deployment_account &account) const
    {
        std::int64_t largest = 0;
        for (const deployment_route &route : m_source.routes) {
            if (route.publicAccess || !haveCommonRegion(route, account))
                continue;
            for (const weighted_pool &share : route.pools) {
                const deployment_pool *pool = m_index.findPool(share.pool);
                if (pool != nullptr && pool->engine)
                    largest = std::max(largest, pool->engine->cacheTokens);
            }
        }
        return static_cast<double>(largest);
    }

    void checkBurst(std::size_t index, const deployment_account &account)
    {
        if (account.ratePerSecond <= 0.0)
            return; // No limit.
        const double largest = account.countsTokens
                                       ? std::max(account.defaultCost, largestPrompt(account))
                                       : account.defaultCost;
        if (account.burst >= largest)
            return;
        const char *unit = account.countsTokens ? " tokens" : " requests";
        warnAccount(index, config_field::Burst, config_code::BurstBelowRequest,
                    "the burst of " + numberText(account.burst) + unit
                            + " is below the largest request, " + numberText(largest) + unit
                            + "; larger requests than the burst may be refused always");
    }

    void checkRegions(std::size_t index, const deployment_account &account)
    {
        std::vector<std::string> routes;
        for (const deployment_route &route : m_source.routes) {
            if (!route.publicAccess && !haveCommonRegion(route, account))
                routes.push_back(route.name.empty() ? route.host + route.pathPrefix : route.name);
        }
        if (!routes.empty())
            warnAccount(index, config_field::AllowedRegions, config_code::NoCommonRegion,
                        "the account " + jsonText(account.name) + ", allowed in "
                                + shortListText(account.allowedRegions)
                                + ", has no common region with the routes "
                                + shortListText(std::move(routes)));
    }

    const deployment &m_source;
    config_check_options m_options;
    deployment_index m_index;
    std::vector<config_finding> m_findings;
};

/// A field's value as it is compared and shown.
struct field_value
{
    config_field field = config_field::None;
    std::string name; ///< For people.
    std::string value;
};

std::string poolsText(const std::vector<weighted_pool> &pools)
{
    std::string text;
    for (const weighted_pool &share : pools)
        text += (text.empty() ? "" : ", ") + jsonText(share.pool) + " x "
                + numberText(share.weight);
    return "[" + text + "]";
}

std::string kindText(call_kind kind)
{
    switch (kind) {
    case call_kind::Idempotent:
        return "idempotent";
    case call_kind::AtMostOnce:
        return "at most once";
    case call_kind::Stream:
        return "stream";
    }
    return "";
}

std::string keysText(const std::vector<std::string> &keys)
{
    std::vector<std::string> digests;
    digests.reserve(keys.size());
    for (const std::string &key : keys)
        digests.push_back(sha256Hex(key).substr(0, ShownDigits));
    return listText(digests);
}

std::string engineText(const std::optional<engine_traits> &engine)
{
    if (!engine)
        return "none";
    return std::to_string(engine->slots) + " slots, " + std::to_string(engine->cacheTokens)
           + " cache tokens, " + std::to_string(engine->tokenBytes) + " bytes per token, models "
           + listText(engine->models);
}

std::string storeText(const std::optional<cache_store> &store)
{
    if (!store)
        return "none";
    return jsonText(store->address) + " in " + jsonText(store->dataCentre) + ", "
           + numberText(store->linkBytesPerSecond) + " bytes/s";
}

std::string coldText(const std::optional<cold_traits> &cold)
{
    if (!cold)
        return "none";
    return timeText(cold->coldTime) + ", " + numberText(cold->perSecond) + " requests/s";
}

std::vector<field_value> fieldsOf(const deployment_route &route)
{
    return {
        { config_field::Name, "name", jsonText(route.name) },
        { config_field::Kind, "kind", kindText(route.kind) },
        { config_field::Timeout, "timeout", timeText(route.timeout) },
        { config_field::LatencyTarget, "latency target", timeText(route.latencyTarget) },
        { config_field::EventGapTarget, "event gap target", timeText(route.eventGapTarget) },
        { config_field::MaxEndpoints, "attempts", std::to_string(route.maxEndpoints) },
        { config_field::Priority, "priority", std::to_string(route.priority) },
        { config_field::PublicAccess, "public access", flagText(route.publicAccess) },
        { config_field::Resumable, "resumable", flagText(route.resumable) },
        { config_field::Pools, "pools", poolsText(route.pools) },
        { config_field::AllowedRegions, "allowed regions", listText(route.allowedRegions) },
    };
}

std::vector<field_value> fieldsOf(const deployment_pool &pool)
{
    return {
        { config_field::MaxConnections, "connections", std::to_string(pool.maxConnections) },
        { config_field::Engine, "engine", engineText(pool.engine) },
        { config_field::Store, "cache store", storeText(pool.store) },
        { config_field::Cold, "cold start", coldText(pool.cold) },
    };
}

std::vector<field_value> fieldsOf(const deployment_account &account)
{
    const std::string priority = account.priority ? std::to_string(*account.priority) : "none";
    return {
        { config_field::Keys, "key digests", keysText(account.keys) },
        { config_field::Priority, "priority", priority },
        { config_field::Isolated, "isolated", flagText(account.isolated) },
        { config_field::Rate, "rate per second", numberText(account.ratePerSecond) },
        { config_field::Burst, "burst", numberText(account.burst) },
        { config_field::Unit, "unit", account.countsTokens ? "tokens" : "requests" },
        { config_field::DefaultCost, "default cost", numberText(account.defaultCost) },
        { config_field::AllowedRegions, "allowed regions", listText(account.allowedRegions) },
    };
}

std::vector<field_value> fieldsOf(const caller_limits &limits)
{
    return {
        { config_field::HeaderBytes, "header bytes", std::to_string(limits.headerBytes) },
        { config_field::BodyBytes, "body bytes", std::to_string(limits.bodyBytes) },
        { config_field::HeaderTimeout, "header timeout", timeText(limits.headerTimeout) },
        { config_field::IdleTimeout, "idle timeout", timeText(limits.idleTimeout) },
    };
}

/// An entry of a list as it is compared.
struct compared_entry
{
    std::string title; ///< For people: "route \"chat\"".
    std::size_t index = 0;
    std::vector<field_value> fields;
};

using compared_entries = std::map<std::string, compared_entry>;

/// Returns the routes that can be found, by routeKeyText().
compared_entries entriesOf(const std::vector<deployment_route> &routes)
{
    compared_entries entries;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const deployment_route &route = routes[i];
        const std::string path = jsonText(route.host + route.pathPrefix);
        entries.emplace(routeKeyText(route.host, route.pathPrefix),
                        compared_entry{ "route " + path, i, fieldsOf(route) });
    }
    return entries;
}

compared_entries entriesOf(const std::vector<deployment_pool> &pools)
{
    compared_entries entries;
    for (std::size_t i = 0; i < pools.size(); ++i)
        entries.emplace(pools[i].name,
                        compared_entry{ "pool " + jsonText(pools[i].name), i, fieldsOf(pools[i]) });
    return entries;
}

compared_entries entriesOf(const std::vector<deployment_account> &accounts)
{
    const std::vector<std::string> keys = accountIndexKeys(accounts);
    compared_entries entries;
    for (std::size_t i = 0; i < accounts.size(); ++i)
        entries.emplace(keys[i], compared_entry{ "account " + jsonText(accounts[i].name), i,
                                                 fieldsOf(accounts[i]) });
    return entries;
}

std::string valuesText(const compared_entry &entry)
{
    std::string text;
    for (const field_value &field : entry.fields)
        text += (text.empty() ? "" : "; ") + field.name + ": " + field.value;
    return text;
}

config_finding difference(config_place place, config_code code, std::string text)
{
    return { config_severity::Difference, place, code, std::move(text) };
}

void compareFields(std::vector<config_finding> &findings, config_place place,
                   const std::string &title, const std::vector<field_value> &before,
                   const std::vector<field_value> &after)
{
    for (std::size_t i = 0; i < after.size(); ++i) {
        if (before[i].value == after[i].value)
            continue;
        place.field = after[i].field;
        findings.push_back(difference(place, config_code::Changed,
                                      title + ": " + after[i].name + " changed from "
                                              + before[i].value + " to " + after[i].value));
    }
}

void compareEntries(std::vector<config_finding> &findings, config_list list,
                    const compared_entries &before, const compared_entries &after)
{
    for (const auto &[key, entry] : after) {
        const config_place place{ list, entry.index, config_field::None };
        const auto old = before.find(key);
        if (old == before.end())
            findings.push_back(difference(place, config_code::Added,
                                          entry.title + " added: " + valuesText(entry)));
        else
            compareFields(findings, place, entry.title, old->second.fields, entry.fields);
    }
    for (const auto &[key, entry] : before) {
        if (after.count(key) == 0)
            findings.push_back(difference({ list, entry.index, config_field::None },
                                          config_code::Removed,
                                          entry.title + " removed: " + valuesText(entry)));
    }
}

/// Sorts findings by list and entry. Removed entries, whose places are in the deployment in force,
/// follow the others of their list.
void sortByPlace(std::vector<config_finding> &findings)
{
    const auto order = [](const config_finding &finding) {
        return std::make_tuple(finding.place.list, finding.code == config_code::Removed,
                               finding.place.index);
    };
    std::stable_sort(
            findings.begin(), findings.end(),
            [&](const config_finding &a, const config_finding &b) { return order(a) < order(b); });
}

} // namespace

std::vector<config_finding> checkDeployment(const deployment &source,
                                            const config_check_options &options)
{
    return deployment_check(source, options).run();
}

std::vector<config_finding> compareDeployments(const deployment &inForce, const deployment &next)
{
    std::vector<config_finding> findings;
    if (inForce.requiresKeys != next.requiresKeys)
        findings.push_back(difference(
                { config_list::Deployment, {}, config_field::RequiresKeys }, config_code::Changed,
                "requests need a key: changed from " + flagText(inForce.requiresKeys) + " to "
                        + flagText(next.requiresKeys)));
    compareEntries(findings, config_list::Routes, entriesOf(inForce.routes),
                   entriesOf(next.routes));
    compareEntries(findings, config_list::Pools, entriesOf(inForce.pools), entriesOf(next.pools));
    compareEntries(findings, config_list::Accounts, entriesOf(inForce.accounts),
                   entriesOf(next.accounts));
    compareFields(findings, { config_list::Limits, {}, config_field::None }, "limits",
                  fieldsOf(inForce.limits), fieldsOf(next.limits));
    sortByPlace(findings);
    if (!findings.empty() && next.version <= inForce.version)
        findings.insert(
                findings.begin(),
                { config_severity::Warning,
                  { config_list::Deployment, {}, config_field::Version },
                  config_code::VersionNotHigher,
                  "version " + std::to_string(next.version) + " is not above the version in force, "
                          + std::to_string(inForce.version) + "; the routers ignore the changes" });
    return findings;
}

} // namespace burdockhold
