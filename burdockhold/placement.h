#ifndef BURDOCKHOLD_PLACEMENT_H
#define BURDOCKHOLD_PLACEMENT_H

// Decides which endpoint a prompt goes to. The choice is a pure function of a view (endpoints with
// their load reports, heat, this VM's recent requests, the time) and a request; equal inputs give
// the same choice on every VM and on every call.
//
// Nested weighted rendezvous hashing gives each prefix level a set of endpoints: level i takes the
// top n_i of level i-1's set, and n_i grows with the prefix's share of the pool's requests. All
// eligible endpoints are then compared by the expected seconds to the first token: queue wait plus
// missing tokens / prefill rate. An endpoint in a deeper set is expected to hold more of the
// prompt, so that the sets act through the cost of a miss and not as a limit on the candidates.
//
// Time: O(N + L * n + N * W) for N endpoints, L levels with sets of n, and W own requests since the
// last load report; memory O(N) during the call. The state has its own bounds, see heat.h and
// recent_requests.h. Fails only when no endpoint is eligible.

#include "burdockhold/cache_view.h"
#include "burdockhold/clock.h"
#include "burdockhold/heat.h"
#include "burdockhold/prefix.h"
#include "burdockhold/recent_requests.h"
#include "burdockhold/rendezvous_weights.h"
#include "burdockhold/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace burdockhold {

/// One endpoint of a pool as this VM sees it. Keys are made by endpointKey().
struct placement_endpoint
{
    std::string name;
    std::uint64_t key = 0;
    std::uint64_t incarnation = 0; ///< Hash of the reported incarnation.
    std::string weightsVersion;    ///< As last reported; empty before the first report.
    double weight = 1.0;
    double prefillTokensPerSecond = 20000.0;
    bool leaving = false;
    bool ejected = false;
    std::int64_t queuedTokens = 0; ///< By the last load report: prompt tokens still to compute.
    time_point loadAsOf{};         ///< When the endpoint made that report.
};

/// Returns the key of the endpoint or incarnation with this name.
std::uint64_t endpointKey(std::string_view name);

struct placement_options
{
    /// Replicas for a prefix: this factor x its share of the pool's requests x endpoints.
    double replicaFactor = 2.0;
    /// A prefix whose share x endpoints is below this has one replica. Replicas of colder prefixes
    /// cost more misses than they save waiting.
    double replicaThreshold = 3.0;
    /// A prefix with fewer decayed requests on this VM has one replica: less is noise.
    double minimumCount = 4.0;
    /// Weight of the seconds spent on missing tokens against seconds of queue wait. Above 1 because
    /// recomputing also delays later prompts on that endpoint and evicts what they need.
    double missWeight = 16.0;
    /// An endpoint whose queue wait exceeds this multiple of the mean wait spills over.
    double loadBound = 1.25;
    /// The load bound applies to queue waits above this many seconds only.
    double loadBoundFloorSeconds = 10.0;
    std::size_t decisionCandidates = 4; ///< Candidates kept for the decision line.
};

/// What the choice is made from. Pointers must be valid during the call and, but for `cache`, not
/// null.
struct placement_view
{
    const std::vector<placement_endpoint> *endpoints = nullptr; ///< All endpoints of one pool.
    const heat_sketch *heat = nullptr;
    const recent_requests *recent = nullptr;
    const rendezvous_weights *loadWeights = nullptr;
    std::uint64_t pool = 0; ///< Key under which heat counts all requests of the pool.
    std::size_t vms = 1;    ///< VMs that the load balancer spreads requests over.
    time_point now{};
    const cache_view *cache = nullptr; ///< Null when cache events are not followed.
};

struct placement_request
{
    const prompt_prefix *prompt = nullptr;
    std::string weightsVersion;          ///< Empty accepts any version.
    std::vector<std::uint64_t> excluded; ///< Keys of endpoints where an attempt failed.
    std::uint64_t tieKey = 0;            ///< Hash of the whole prompt, for prompts below one block.
};

/// An eligible endpoint with its cost. Tokens are parts of the prompt.
struct placement_candidate
{
    std::size_t endpoint = 0; ///< Position in the view's list.
    std::size_t level = 0;    ///< Deepest level whose set contains the endpoint; 0 for none.
    double queueWaitSeconds = 0.0;
    double ownTokens = 0.0;      ///< Cached tokens known from this VM's own requests.
    double ruleTokens = 0.0;     ///< Cached tokens by the placement rule, if higher.
    double cachedTokens = 0.0;   ///< Expected cached tokens, weighted by learned confidence.
    double missingSeconds = 0.0; ///< Expected time to compute the missing tokens.
    double scoreSeconds = 0.0;   ///< Queue wait plus weighted time for missing tokens; lowest wins.
    bool overBound = false;
};

struct placement_choice
{
    placement_candidate chosen;
    double workSeconds = 0.0; ///< Expected time to compute the missing tokens there.
    /// The best candidates in order of preference, for the decision line.
    std::vector<placement_candidate> candidates;
    std::size_t eligible = 0;
};

enum class placement_error { NoEndpoint };

/// Chooses an endpoint. Leaving, ejected and excluded endpoints and those that reported another
/// weights version are never chosen.
result<placement_choice, placement_error> choosePlacement(const placement_view &view,
                                                          const placement_request &request,
                                                          const placement_options &options = {});

/// Counts a request's levels and its pool, once per request.
void recordHeat(heat_sketch &heat, const prompt_prefix &prompt, std::uint64_t pool, time_point now);

/// Returns for each position of `eligible` the deepest level whose set contains it (0 for none).
/// Positions index view.endpoints.
std::vector<std::size_t> rendezvousLevels(const placement_view &view,
                                          const std::vector<std::size_t> &eligible,
                                          const prompt_prefix &prompt,
                                          const placement_options &options);

} // namespace burdockhold

#endif
