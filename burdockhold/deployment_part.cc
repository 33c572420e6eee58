#include "burdockhold/deployment_part.h"

#include <msgpack.hpp>

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

namespace burdockhold {

namespace {

// The first character of a key is the kind of the part.
constexpr char RouteKind = 'r';   // Followed by the route's key.
constexpr char AccountKind = 'a'; // Followed by the account's name and, if repeated, a suffix.
constexpr char PoolsKind = 'p';
constexpr char RulesKind = 'l';

struct share_row
{
    std::string pool;
    double weight = 1.0;
    MSGPACK_DEFINE_ARRAY(pool, weight)
};

/// A route without its host and path prefix, which are in the key.
struct route_row
{
    std::string name;
    int kind = 0;
    std::int64_t timeoutMs = 0;
    std::int64_t latencyTargetMs = 0;
    std::int64_t eventGapTargetMs = 0;
    int maxEndpoints = 1;
    int priority = 0;
    bool publicAccess = false;
    bool resumable = false;
    std::vector<share_row> pools;
    MSGPACK_DEFINE_ARRAY(name, kind, timeoutMs, latencyTargetMs, eventGapTargetMs, maxEndpoints,
                         priority, publicAccess, resumable, pools)
};

struct account_row
{
    std::string name;
    std::vector<std::string> keys;
    std::vector<int> priority; ///< Empty if not configured.
    bool isolated = false;
    double ratePerSecond = 0.0;
    double burst = 0.0;
    bool countsTokens = false;
    double defaultCost = 1.0;
    MSGPACK_DEFINE_ARRAY(name, keys, priority, isolated, ratePerSecond, burst, countsTokens,
                         defaultCost)
};

struct engine_row
{
    int slots = 1;
    std::int64_t cacheTokens = 0;
    std::int64_t tokenBytes = 0;
    std::vector<std::string> models;
    MSGPACK_DEFINE_ARRAY(slots, cacheTokens, tokenBytes, models)
};

struct store_row
{
    std::string address;
    std::string dataCentre;
    double linkBytesPerSecond = 0.0;
    MSGPACK_DEFINE_ARRAY(address, dataCentre, linkBytesPerSecond)
};

struct cold_row
{
    std::int64_t coldMs = 0;
    double perSecond = 0.0;
    MSGPACK_DEFINE_ARRAY(coldMs, perSecond)
};

struct pool_row
{
    std::string name;
    int maxConnections = 0;
    std::vector<engine_row> engine; ///< At most one.
    std::vector<store_row> store;   ///< At most one.
    std::vector<cold_row> cold;     ///< At most one; missing in parts of an older build.
    MSGPACK_DEFINE_ARRAY(name, maxConnections, engine, store, cold)
};

struct rules_row
{
    bool requiresKeys = true;
    std::uint64_t headerBytes = 0;
    std::uint64_t bodyBytes = 0;
    std::int64_t headerTimeoutMs = 0;
    std::int64_t idleTimeoutMs = 0;
    MSGPACK_DEFINE_ARRAY(requiresKeys, headerBytes, bodyBytes, headerTimeoutMs, idleTimeoutMs)
};

std::int64_t millisecondsOf(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

duration fromMilliseconds(std::int64_t milliseconds)
{
    return std::chrono::milliseconds(milliseconds);
}

template <typename T>
std::string packed(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return { buffer.data(), buffer.size() };
}

/// Throws an exception of msgpack if the bytes are not a T.
template <typename T>
T unpacked(std::string_view bytes)
{
    return msgpack::unpack(bytes.data(), bytes.size()).get().as<T>();
}

std::string encodeRoute(const deployment_route &route)
{
    route_row row;
    row.name = route.name;
    row.kind = static_cast<int>(route.kind);
    row.timeoutMs = millisecondsOf(route.timeout);
    row.latencyTargetMs = millisecondsOf(route.latencyTarget);
    row.eventGapTargetMs = millisecondsOf(route.eventGapTarget);
    row.maxEndpoints = route.maxEndpoints;
    row.priority = route.priority;
    row.publicAccess = route.publicAccess;
    row.resumable = route.resumable;
    for (const weighted_pool &share : route.pools)
        row.pools.push_back({ share.pool, share.weight });
    return packed(row);
}

/// A kind that this build does not know is treated as the strictest one.
call_kind kindOf(int number)
{
    for (const call_kind kind : { call_kind::Idempotent, call_kind::Stream }) {
        if (number == static_cast<int>(kind))
            return kind;
    }
    return call_kind::AtMostOnce;
}

deployment_route decodeRoute(const route_key &key, std::string_view value)
{
    auto row = unpacked<route_row>(value);
    deployment_route route;
    route.name = std::move(row.name);
    route.host = key.host;
    route.pathPrefix = key.pathPrefix;
    route.kind = kindOf(row.kind);
    route.timeout = fromMilliseconds(row.timeoutMs);
    route.latencyTarget = fromMilliseconds(row.latencyTargetMs);
    route.eventGapTarget = fromMilliseconds(row.eventGapTargetMs);
    route.maxEndpoints = row.maxEndpoints;
    route.priority = row.priority;
    route.publicAccess = row.publicAccess;
    route.resumable = row.resumable;
    for (share_row &share : row.pools)
        route.pools.push_back({ std::move(share.pool), share.weight });
    return route;
}

std::string encodeAccount(const deployment_account &account)
{
    account_row row;
    row.name = account.name;
    row.keys = account.keys;
    if (account.priority)
        row.priority.push_back(*account.priority);
    row.isolated = account.isolated;
    row.ratePerSecond = account.ratePerSecond;
    row.burst = account.burst;
    row.countsTokens = account.countsTokens;
    row.defaultCost = account.defaultCost;
    return packed(row);
}

deployment_account decodeAccount(std::string_view value)
{
    auto row = unpacked<account_row>(value);
    deployment_account account;
    account.name = std::move(row.name);
    account.keys = std::move(row.keys);
    if (!row.priority.empty())
        account.priority = row.priority.front();
    account.isolated = row.isolated;
    account.ratePerSecond = row.ratePerSecond;
    account.burst = row.burst;
    account.countsTokens = row.countsTokens;
    account.defaultCost = row.defaultCost;
    return account;
}

std::string encodePools(const std::vector<deployment_pool> &pools)
{
    std::vector<pool_row> rows;
    for (const deployment_pool &pool : pools) {
        pool_row row{ pool.name, pool.maxConnections, {}, {}, {} };
        if (pool.engine)
            row.engine.push_back({ pool.engine->slots, pool.engine->cacheTokens,
                                   pool.engine->tokenBytes, pool.engine->models });
        if (pool.store)
            row.store.push_back({ pool.store->address, pool.store->dataCentre,
                                  pool.store->linkBytesPerSecond });
        if (pool.cold)
            row.cold.push_back({ millisecondsOf(pool.cold->coldTime), pool.cold->perSecond });
        rows.push_back(std::move(row));
    }
    return packed(rows);
}

std::vector<deployment_pool> decodePools(std::string_view value)
{
    std::vector<deployment_pool> pools;
    for (pool_row &row : unpacked<std::vector<pool_row>>(value)) {
        deployment_pool pool{ std::move(row.name), row.maxConnections, {}, {}, {} };
        if (!row.engine.empty()) {
            engine_row &engine = row.engine.front();
            pool.engine = engine_traits{ engine.slots, engine.cacheTokens, engine.tokenBytes,
                                         std::move(engine.models) };
        }
        if (!row.store.empty()) {
            store_row &store = row.store.front();
            pool.store = cache_store{ std::move(store.address), std::move(store.dataCentre),
                                      store.linkBytesPerSecond };
        }
        if (!row.cold.empty())
            pool.cold = cold_traits{ fromMilliseconds(row.cold.front().coldMs),
                                     row.cold.front().perSecond };
        pools.push_back(std::move(pool));
    }
    return pools;
}

std::string encodeRules(const caller_rules &rules)
{
    return packed(rules_row{ rules.requiresKeys, rules.limits.headerBytes, rules.limits.bodyBytes,
                             millisecondsOf(rules.limits.headerTimeout),
                             millisecondsOf(rules.limits.idleTimeout) });
}

caller_rules decodeRules(std::string_view value)
{
    const auto row = unpacked<rules_row>(value);
    return { row.requiresKeys,
             { static_cast<std::size_t>(row.headerBytes), static_cast<std::size_t>(row.bodyBytes),
               fromMilliseconds(row.headerTimeoutMs), fromMilliseconds(row.idleTimeoutMs) } };
}

basic_error<deployment_part_error> unknownKey(std::string_view key)
{
    return { deployment_part_error::UnknownKey, "the key names no part of a deployment",
             std::string(key) };
}

} // namespace

std::map<std::string, std::string> encodeDeploymentParts(const deployment &source)
{
    const deployment_changes changes = changesOf(source);
    std::map<std::string, std::string> parts;
    for (const deployment_route &route : changes.routes)
        parts.insert_or_assign(RouteKind + routeKeyText(route.host, route.pathPrefix),
                               encodeRoute(route));
    for (const auto &[key, account] : changes.accounts)
        parts.emplace(AccountKind + key, encodeAccount(account));
    parts.emplace(std::string(1, PoolsKind), encodePools(*changes.pools));
    parts.emplace(std::string(1, RulesKind), encodeRules(*changes.rules));
    return parts;
}

result<success, deployment_part_error> addPart(deployment_changes &changes, std::string_view key,
                                               std::string_view value)
{
    const char kind = key.empty() ? '\0' : key.front();
    const std::string_view name = key.substr(key.empty() ? 0 : 1);
    try {
        if (kind == RouteKind)
            changes.routes.push_back(decodeRoute(parseRouteKey(name), value));
        else if (kind == AccountKind)
            changes.accounts.emplace(name, decodeAccount(value));
        else if (kind == PoolsKind)
            changes.pools = decodePools(value);
        else if (kind == RulesKind)
            changes.rules = decodeRules(value);
        else
            return unknownKey(key);
        return success{};
    } catch (const std::exception &error) {
        return basic_error<deployment_part_error>{ deployment_part_error::NotReadable, error.what(),
                                                   std::string(key) };
    }
}

result<success, deployment_part_error> addRemovedPart(deployment_changes &changes,
                                                      std::string_view key)
{
    const char kind = key.empty() ? '\0' : key.front();
    if (kind == RouteKind)
        changes.removedRoutes.push_back(std::string(key.substr(1)));
    else if (kind == AccountKind)
        changes.removedAccounts.push_back(std::string(key.substr(1)));
    else
        return unknownKey(key);
    return success{};
}

} // namespace burdockhold
