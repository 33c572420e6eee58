#ifndef BURDOCKHOLD_DEPLOYMENT_H
#define BURDOCKHOLD_DEPLOYMENT_H

// What the operator has configured and which endpoints exist, as the request path reads it.
//
// A deployment is one complete, accepted version of the configuration. deployment_index answers the
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

/// What may be repeated. A stream is at-most-once unless its route is resumable.
enum class call_kind { Idempotent, AtMostOnce, Stream };

/// A pool that takes a share of a route's requests.
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
    duration timeout = std::chrono::seconds(30); ///< Longest time until the final answer.
    duration latencyTarget = std::chrono::seconds(1);
    duration pauseTarget = std::chrono::milliseconds(300); ///< Between events of a stream.
    int maxEndpoints = 1;                                  ///< Endpoints that may run one call.
    int priority = 5;                                      ///< 0 is the most urgent.
    bool publicAccess = false;
    bool resumable = false;
    std::vector<weighted_pool> pools;
};

/// Model engines of a pool.
struct engine_traits
{
    int slots = 1;
    std::int64_t cacheTokens = 0; ///< Memory of running requests and cached parts together.
    std::int64_t tokenBytes = 0;  ///< Size of a cached token; 0 when not stated.
    std::vector<std::string> models;
};

/// A store of cached parts that no route names.
struct cache_store
{
    std::string address; ///< IP:PORT.
    std::string dataCentre;
    double linkBytesPerSecond = 0.0; ///< 0 when not stated.
};

struct deployment_pool
{
    std::string name;
    int maxConnections = 0; ///< Of each endpoint, over all callers; 0 when not stated.
    std::optional<engine_traits> engine;
    std::optional<cache_store> store;
};

struct deployment_account
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Goes before the route's.
    bool isolated = false;       ///< Shares no cached part with another account.
    double ratePerSecond = 0.0;  ///< Tokens or requests; 0 means no limit.
    double burst = 0.0;          ///< In the unit of the rate.
    bool countsTokens = false;   ///< False: each request counts as one.
    double defaultCost = 1.0;    ///< Of a request that states no token count.
};

/// Bounds on what callers may send.
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
    caller_limits limits;
};

/// An accepted deployment with its lookup tables. Pointers it returns live as long as it does.
class deployment_index
{
public:
    explicit deployment_index(deployment source);

    const deployment &source() const { return m_source; }

    /// Returns the route of the host with the longest prefix that begins the path, or nullptr. The
    /// host may be in any case and carry a port; the path may carry a query.
    const deployment_route *findRoute(std::string_view host, std::string_view path) const;

    /// Returns the account that holds the key, or nullptr.
    const deployment_account *findAccount(std::string_view key) const;

    const deployment_pool *findPool(std::string_view name) const;

    /// Returns cached tokens a second that the store's link carries within a data centre; 0 when
    /// the deployment does not state it.
    double tokensPerSecond(const cache_store &store) const;

private:
    deployment m_source;
    std::unordered_map<std::string, std::vector<const deployment_route *>> m_routesByHost;
    std::unordered_map<std::string, const deployment_account *> m_accountsByKey;
    std::unordered_map<std::string, const deployment_pool *> m_pools;
};

/// An endpoint as it reports itself. A new start has a new incarnation, mostly under a new id.
struct endpoint_report
{
    std::string id;
    std::string pool;
    std::string address; ///< IP:PORT.
    std::string dataCentre;
    int slots = 1;
    bool leaving = false;
    std::int64_t incarnation = 0; ///< Unix milliseconds of its start; 0 when unknown.
    std::map<std::string, std::int64_t> weights; ///< Version of each loaded model.
};

} // namespace burdockhold

#endif
