#ifndef BURDOCKHOLD_ROUTER_H
#define BURDOCKHOLD_ROUTER_H

// The decision for one request: which endpoint runs it, from an immutable catalogue snapshot.
// Choosing takes time linear in the number of endpoints.

#include "burdockhold/catalogue.h"
#include "burdockhold/result.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace burdockhold {

/// Identity under which an endpoint may share cache entries between requests.
struct cache_identity
{
    std::string account;
    std::string model;
    std::string adapter;
    std::string version;
};

/// Returns a digest of the identity, sent as X-Cache-Salt.
std::string cacheSalt(const cache_identity &identity);

struct routing_request
{
    std::string pool;
    endpoint_role role = endpoint_role::Engine;
    cache_identity identity;
    std::string_view prompt;        ///< Valid for the call only. Plain routes pass the request id.
    std::set<std::string> excluded; ///< Endpoints that failed earlier attempts.
};

struct routing_choice
{
    std::string endpoint;
    std::string url;
    std::int64_t expectedCachedTokens = 0;
};

enum class routing_error { NoEndpoint };

using routing_result = result<routing_choice, routing_error>;

/// Chooses the endpoint of a request. Implementations are called from many threads.
class router
{
public:
    router() = default;
    router(const router &) = delete;
    router &operator=(const router &) = delete;
    virtual ~router() = default;

    virtual routing_result choose(const catalogue &config, const routing_request &request) = 0;
};

/// Bytes of one prompt block: 2,000 tokens at 4 bytes each (design page, section 7).
inline constexpr std::size_t PromptBlockBytes = 8000;

/// Weighted rendezvous hashing on the first prompt block under the cache identity.
class rendezvous_router : public router
{
public:
    routing_result choose(const catalogue &config, const routing_request &request) override;
};

} // namespace burdockhold

#endif
