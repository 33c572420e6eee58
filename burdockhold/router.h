#ifndef BURDOCKHOLD_ROUTER_H
#define BURDOCKHOLD_ROUTER_H

// What the request path asks of routing, and the choice that it gets. The decision itself is made
// by placement_router.

#include "burdockhold/catalogue.h"
#include "burdockhold/clock.h"
#include "burdockhold/prefix.h"
#include "burdockhold/result.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// Returns a digest of the identity, sent as X-Cache-Salt.
std::string cacheSalt(const cache_identity &identity);

struct routing_request
{
    std::string pool;
    endpoint_role role = endpoint_role::Engine;
    cache_identity identity;
    std::string_view prompt;        ///< Valid for the call only. Plain routes pass the request id.
    std::set<std::string> excluded; ///< Endpoints that failed earlier attempts.
    bool isRetry = false; ///< Whether an earlier attempt was made; it then counts no new request.
    /// The only endpoint that may run the request, while it is eligible; empty for any.
    std::string assigned;
};

/// An endpoint that was compared, for the decision line.
struct routing_candidate
{
    std::string endpoint;
    double queueWaitSeconds = 0.0;
    double cachedTokens = 0.0; ///< Expected.
    double scoreSeconds = 0.0; ///< Lowest wins.
};

struct routing_choice
{
    std::string endpoint;
    std::string url;
    std::int64_t expectedCachedTokens = 0;
    double expectedSeconds = 0.0;              ///< Queue wait and the time for missing tokens.
    std::string incarnation;                   ///< Last reported before the choice; may be empty.
    std::vector<routing_candidate> candidates; ///< The best ones, the chosen one first.

    // What the report on the attempt is compared with.
    std::shared_ptr<const prompt_prefix> prompt;
    double ownTokens = 0.0;
    double ruleTokens = 0.0;
};

enum class routing_error { NoEndpoint };

using routing_result = result<routing_choice, routing_error>;

enum class attempt_outcome {
    Succeeded,
    Failed,
    NotJudged, ///< Says nothing about the endpoint: the caller left, or it serves other weights.
};

/// How an attempt at an endpoint ended, and what the endpoint reported in its response.
struct attempt_report
{
    attempt_outcome outcome = attempt_outcome::NotJudged;
    time_point startedAt{};
    duration firstByte = duration::zero(); ///< From the start to the response's headers.
    std::string incarnation;               ///< Empty when the response named none.
    std::string weightsVersion;
    std::int64_t cachedTokens = 0; ///< Only of attempts that succeeded.
};

} // namespace burdockhold

#endif
