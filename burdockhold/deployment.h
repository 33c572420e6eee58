#ifndef BURDOCKHOLD_DEPLOYMENT_H
#define BURDOCKHOLD_DEPLOYMENT_H

// The operator's configuration and the endpoints' reports as plain data for the request path.
//
// A deployment is one complete, accepted version of the configuration. deployment_index does the
// lookups of the request path in constant or logarithmic time. Nothing here throws.

#include "burdockhold/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burdockhold {

/// Whether a call may be retried. A stream is at-most-once unless its route is resumable.
enum class call_kind { Idempotent, AtMostOnce, Stream };

/// A pool that receives a share of a route's requests.
struct weighted_pool
{
    std::string pool;
    double weight = 1.0;
};

struct deployment_route
{
    std::string name;
    std::string host;       ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    call_kind kind = call_kind::AtMostOnce;
    duration timeout = std::chrono::seconds(30); ///< Maximum time to the complete response.
    duration latencyTarget = std::chrono::seconds(1);
    duration eventGapTarget = std::chrono::milliseconds(300); ///< Between events of a stream.
    int maxEndpoints = 1; ///< Maximum number of endpoints per call.
    int priority = 5;     ///< 0 is the most urgent.
    bool publicAccess = false;
    bool resumable = false;
    std::vector<weighted_pool> pools;
};

/// Properties of a pool's model engines.
struct engine_traits
{
    int slots = 1;
    std::int64_t cacheTokens = 0; ///< KV cache capacity for running requests and cached segments.
    std::int64_t tokenBytes = 0;  ///< KV cache bytes per token; 0 if not configured.
    std::vector<std::string> models;
};

/// A store of cached prompt segments. No route refers to it.
struct cache_store
{
    std::string address; ///< IP:PORT.
    std::string dataCentre;
    double linkBytesPerSecond = 0.0; ///< 0 if not configured.
};

/// How a pool's engines behave after a start.
struct cold_traits
{
    duration coldTime = duration::zero();
    double perSecond = 0.0; ///< Requests that a cold engine takes.
};

struct deployment_pool
{
    std::string name;
    int maxConnections = 0; ///< Per endpoint, over all callers; 0 if not configured.
    std::optional<engine_traits> engine;
    std::optional<cache_store> store;
    std::optional<cold_traits> cold;
};

struct deployment_account
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Overrides the route's priority.
    bool isolated = false;       ///< Shares no cached segment with another account.
    double ratePerSecond = 0.0;  ///< Tokens or requests; 0 means no limit.
    double burst = 0.0;          ///< In the unit of the rate.
    bool countsTokens = false;   ///< If false, each request costs 1.
    double defaultCost = 1.0;    ///< For requests without a token count.
};

/// The requests that may use each other's cached segments.
struct cache_domain
{
    /// Only requests of this account. If empty, the requests of all accounts that are not isolated.
    std::string isolatedAccount;
    /// Identifies the set of accounts that are isolated, whose requests may have computed shared
    /// segments before. 0 if none is.
    std::uint64_t isolatedSet = 0;
};

/// Limits on callers' requests and connections.
struct caller_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = std::size_t(4) * 1024 * 1024;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

/// What holds for all callers.
struct caller_rules
{
    bool requiresKeys = true; ///< See deployment.
    caller_limits limits;
};

struct deployment
{
    std::uint64_t version = 0;
    std::vector<deployment_route> routes;
    std::vector<deployment_pool> pools;
    std::vector<deployment_account> accounts;
    /// Requests on routes that are not public need an account's key. With no account, none runs.
    bool requiresKeys = true;
    caller_limits limits;
};

/// What identifies a route: no request finds a second one with the same values.
struct route_key
{
    std::string host;
    std::string pathPrefix;
};

/// Returns the key as text, with the host in lower case and without a port.
std::string routeKeyText(std::string_view host, std::string_view pathPrefix);
route_key parseRouteKey(std::string_view text);

/// What a version of the deployment changes of the one before. Without a version before, all of it.
struct deployment_changes
{
    std::uint64_t version = 0;
    std::vector<deployment_route> routes;               ///< New or changed.
    std::vector<std::string> removedRoutes;             ///< Their routeKeyText().
    std::map<std::string, deployment_account> accounts; ///< New or changed, by a unique key.
    std::vector<std::string> removedAccounts;           ///< Their keys.
    std::optional<std::vector<deployment_pool>> pools;
    std::optional<caller_rules> rules;
};

/// Returns the changes that make the deployment of nothing. An account with a repeated name gets a
/// key of its own.
deployment_changes changesOf(deployment source);

/// An accepted deployment with its lookup tables. Returned pointers are valid while the index
/// lives. An index of a later version shares the routes that have not changed.
class deployment_index
{
public:
    explicit deployment_index(deployment source);

    /// Applies the changes to the previous version, or to an empty deployment for nullptr.
    deployment_index(const deployment_index *previous, deployment_changes changes);
    deployment_index(const deployment_index &) = delete;
    deployment_index &operator=(const deployment_index &) = delete;

    std::uint64_t version() const { return m_version; }
    const std::vector<deployment_pool> &pools() const { return m_pools; }
    /// Returns the accounts by unique keys.
    const std::map<std::string, deployment_account> &accounts() const { return m_accounts; }
    const caller_rules &rules() const { return m_rules; }
    std::size_t routeCount() const { return m_routes.size(); }

    /// Returns the route of the host with the longest prefix of the path, or nullptr. The host may
    /// be in any case and include a port; the path may include a query.
    const deployment_route *findRoute(std::string_view host, std::string_view path) const;

    /// Returns the account that owns the API key, or nullptr. Nobody owns an empty key, which is
    /// what a request without a key has.
    const deployment_account *findAccount(std::string_view key) const;

    const deployment_pool *findPool(std::string_view name) const;

    /// Returns the shortest latency target among the routes whose streams the pool serves, or
    /// nothing if there is none.
    std::optional<duration> shortestStreamTarget(std::string_view pool) const;

    /// Returns the domain of the account's requests, or of requests without an account for nullptr.
    /// The account may come from another version of the deployment; what this one says of it holds.
    cache_domain cacheDomainOf(const deployment_account *account) const;

    /// Returns the number of cached tokens per second that the store's link can transfer within a
    /// data centre, or 0 if the deployment does not configure it.
    double tokensPerSecond(const cache_store &store) const;

private:
    struct indexed_route
    {
        std::string key; ///< routeKeyText().
        deployment_route route;
    };
    /// The number of routes of a host for each length of their prefixes, the longest first.
    using prefix_lengths = std::map<std::size_t, std::size_t, std::greater<>>;

    void applyChanges(deployment_changes changes);
    void addRoute(deployment_route route);
    void removeRoute(const std::string &key);
    void indexAccounts();
    void indexPools();
    void indexStreamTargets();

    std::uint64_t m_version = 0;
    std::map<std::string, deployment_account> m_accounts;
    std::vector<deployment_pool> m_pools;
    caller_rules m_rules;
    /// By indexed_route::key.
    std::unordered_map<std::string_view, std::shared_ptr<const indexed_route>> m_routes;
    std::unordered_map<std::string, prefix_lengths> m_prefixLengths; ///< By host.
    std::unordered_map<std::string, const deployment_account *> m_accountsByKey;
    std::unordered_map<std::string, const deployment_account *> m_accountsByName;
    std::unordered_map<std::string, const deployment_pool *> m_poolsByName;
    std::map<std::string, duration, std::less<>> m_shortestStreamTargets; ///< By pool.
    std::uint64_t m_isolatedSet = 0;                                      ///< See cache_domain.
};

/// Bounds of what an endpoint may report. A report beyond them is not an endpoint's.
inline constexpr std::int64_t MaxEndpointSlots = 65536;             ///< Concurrent requests.
inline constexpr std::int64_t MaxIncarnationMs = 4102444800000;     ///< Unix time of the year 2100.
inline constexpr std::int64_t MaxWeightsVersion = 9007199254740991; ///< 2^53 - 1, exact in JSON.
inline constexpr std::int64_t MaxColdMs = 86400000;                 ///< Remaining cold time.

/// An endpoint's own report. A restarted endpoint has a new incarnation and usually a new id.
struct endpoint_report
{
    std::string id;
    std::string pool;
    std::string address; ///< IP:PORT.
    std::string dataCentre;
    std::string softwareVersion; ///< Empty if unknown.
    int slots = 1;
    bool leaving = false;
    std::int64_t incarnation = 0;                ///< Start time in Unix milliseconds; 0 if unknown.
    std::map<std::string, std::int64_t> weights; ///< Version of each loaded model.
    std::optional<duration> coldLeft; ///< Remaining cold time, if stated within its bounds.
    bool coldTimeRefused = false;     ///< The stated cold time was out of bounds.
    bool isSilent = false;            ///< The entry is not written any more (entry_silence.h).
};

/// The endpoints of a pool that run one software version.
struct version_presence
{
    std::string version;
    std::size_t endpoints = 0;
    std::int64_t oldestIncarnation = 0;
};

/// The operator's order to move a pool's traffic to endpoints of a software version, which are
/// started beside the others.
struct software_order
{
    std::string pool;
    std::string targetVersion;
    duration moveTime = duration::zero(); ///< From the order to its deadline.
};

/// What the operator is told of such an order.
enum class software_order_status { Running, Complete, RolledBack };

} // namespace burdockhold

#endif
