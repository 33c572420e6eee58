#ifndef BURDOCKHOLD_DEPLOYMENT_H
#define BURDOCKHOLD_DEPLOYMENT_H

// The operator's configuration and the endpoints' reports as plain data for the request path.
//
// A deployment is one complete, accepted version of the configuration. deployment_index does the
// lookups of the request path in constant or logarithmic time. Nothing here throws.

#include "burdockhold/clock.h"

#include <cstdint>
#include <map>
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

struct deployment_pool
{
    std::string name;
    int maxConnections = 0; ///< Per endpoint, over all callers; 0 if not configured.
    std::optional<engine_traits> engine;
    std::optional<cache_store> store;
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

/// An accepted deployment with its lookup tables. Returned pointers are valid while the index
/// lives.
class deployment_index
{
public:
    explicit deployment_index(deployment source);

    const deployment &source() const { return m_source; }

    /// Returns the route of the host with the longest prefix of the path, or nullptr. The host may
    /// be in any case and include a port; the path may include a query.
    const deployment_route *findRoute(std::string_view host, std::string_view path) const;

    /// Returns the account that owns the API key, or nullptr. Nobody owns an empty key, which is
    /// what a request without a key has.
    const deployment_account *findAccount(std::string_view key) const;

    const deployment_pool *findPool(std::string_view name) const;

    /// Returns the domain of the account's requests, or of requests without an account for nullptr.
    /// The account may come from another version of the deployment; what this one says of it holds.
    cache_domain cacheDomainOf(const deployment_account *account) const;

    /// Returns the number of cached tokens per second that the store's link can transfer within a
    /// data centre, or 0 if the deployment does not configure it.
    double tokensPerSecond(const cache_store &store) const;

private:
    deployment m_source;
    std::unordered_map<std::string, std::vector<const deployment_route *>> m_routesByHost;
    std::unordered_map<std::string, const deployment_account *> m_accountsByKey;
    std::unordered_map<std::string, const deployment_account *> m_accountsByName;
    std::unordered_map<std::string, const deployment_pool *> m_pools;
    std::uint64_t m_isolatedSet = 0; ///< See cache_domain.
};

/// Bounds of what an endpoint may report. A report beyond them is not an endpoint's.
inline constexpr std::int64_t MaxEndpointSlots = 65536;             ///< Concurrent requests.
inline constexpr std::int64_t MaxIncarnationMs = 4102444800000;     ///< Unix time of the year 2100.
inline constexpr std::int64_t MaxWeightsVersion = 9007199254740991; ///< 2^53 - 1, exact in JSON.

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
