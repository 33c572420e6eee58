#ifndef BURDOCKHOLD_ENDPOINT_CHOICE_H
#define BURDOCKHOLD_ENDPOINT_CHOICE_H

// Chooses the endpoint of a pool that receives a request.
//
// The choice is the endpoint with the least expected time to the first event, in milliseconds. Each
// prompt has a preferred endpoint: rendezvous hashing of its deepest shared segment selects it, the
// same one on every VM, so that its segments are cached there without any exchange between VMs.
// Another endpoint is chosen when waiting at the preferred endpoint costs more than recomputing the
// segment, or than copying it from the preferred endpoint. The function is pure; equal inputs give
// equal choices. Time is linear in the number of candidates.
//
// In a pool that is divided into lanes (engine_lanes.h), the endpoints of the request's lane are
// compared first.
//
// In a pool of more than fullScanLimit endpoints, only the preferred endpoint and a sample that
// depends on the seed are compared: many VMs with views of the same age would otherwise all choose
// the same idle endpoint. The other endpoints are evaluated only when none in the sample has
// capacity.

#include "burdockhold/clock.h"
#include "burdockhold/engine_pace.h"
#include "burdockhold/enum_names.h"

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// Why an endpoint is excluded from new calls.
///
/// Leaving and Paused are what the endpoint itself has told this VM (endpoint_pause.h). They weigh
/// more than the other reasons. They apply to this VM's calls only: other VMs have their own word
/// of the endpoint, and a penalty by hearsay would move load for a statement that was not about
/// them. A leaving endpoint is nobody's preferred endpoint, since its cached segments go with it; a
/// paused one keeps its place, since it comes back with them.
///
/// Evacuated is the operator's order for a data centre and weighs more than all other reasons; like
/// a leaving endpoint, an evacuated one is nobody's preferred endpoint. Cold means that this VM's
/// share of a cold engine's rate is used up. Brittle means that the endpoint may refuse the call,
/// and that this VM's share of the refusals that it bears is used up (brittle_endpoints.h).
enum class exclusion {
    None,
    Tried,
    Loading,
    BackOff,
    ExpiredWeights,
    Leaving,
    Paused,
    Evacuated,
    Cold,
    Brittle,
};

template <>
struct enum_names<exclusion>
{
    static constexpr std::array<enum_name<exclusion>, 10> Table{ {
            { exclusion::None, "none" },
            { exclusion::Tried, "tried" },
            { exclusion::Loading, "loading" },
            { exclusion::BackOff, "back_off" },
            { exclusion::ExpiredWeights, "expired_weights" },
            { exclusion::Leaving, "leaving" },
            { exclusion::Paused, "paused" },
            { exclusion::Evacuated, "evacuated" },
            { exclusion::Cold, "cold" },
            { exclusion::Brittle, "brittle" },
    } };
};

/// Returns whether the endpoint itself has said that it wants no calls.
constexpr bool isOwnStatement(exclusion reason)
{
    return reason == exclusion::Leaving || reason == exclusion::Paused;
}

/// Which prompts an engine is set aside for, and which kind a prompt is; see engine_lanes.h.
enum class engine_lane { Any, Short, Long };

/// State of an endpoint at the time of the choice.
struct endpoint_candidate
{
    std::string_view id;
    std::string_view softwareVersion;
    std::int64_t incarnation = 0;
    bool sameDataCentre = false;
    exclusion excluded = exclusion::None;
    time_point pausedUntil = time_point::min(); ///< End of the pause; only if excluded is Paused.
    bool tried = false;   ///< Gets no further call of the request, whatever else excludes it.
    bool suspect = false; ///< Has running requests but has sent nothing for some time.
    int slots = 1;
    int running = 0;                       ///< Requests of all VMs.
    std::int64_t pendingPrefillTokens = 0; ///< Prompt tokens of requests without a first event.
    std::int64_t activeTokens = 0;         ///< Prompt and output tokens of all running requests.
    std::int64_t cacheTokens = 0;          ///< Size of the KV cache; 0 for plain services.
    double failureShare = 0.0;             ///< Share of recent calls of all VMs that failed.
    double recentCalls = 0.0;              ///< Number of calls behind failureShare, decayed.
    double latencyMs = 0.0;                ///< Moving average; plain services only.
    bool staleWeights = false;             ///< The weights are older than the target version.
    std::int64_t weights = 0;              ///< Version of the model's weights; 0 if unknown.
    bool holdsSegment = false; ///< Caches the deepest shared segment for its current weights.
    /// The pace of the pool's engines, which the table or the scheduler owns; null for plain
    /// services and while too little is known.
    const pace_line *poolPace = nullptr;
    double slowness = 1.0; ///< Of the engine relative to its pool, with poolPace.
    /// Unread prompt tokens that this VM may still place there (pace_limit.h).
    double tokensLeft = std::numeric_limits<double>::infinity();
    engine_lane lane = engine_lane::Any;
    /// The engine is cold: a scheduler charges its VM's share with a call there (cold_grants.h).
    bool needsColdShare = false;
};

/// Excludes an endpoint that the request must not be sent to again.
inline void excludeTried(endpoint_candidate &candidate)
{
    candidate.tried = true;
    if (!isOwnStatement(candidate.excluded))
        candidate.excluded = exclusion::Tried;
}

/// Properties of a request that affect the choice.
struct placement_need
{
    std::string affinityKey;        ///< Model and deepest shared segment; empty for plain services.
    std::int64_t segmentTokens = 0; ///< Tokens of the deepest shared segment.
    std::int64_t unsharedTokens = 0; ///< Prompt tokens outside the shared segments.
    std::int64_t outputTokens = 0;
    std::int64_t promptTokens = 0;
    bool storeHoldsSegment = false; ///< The segment can be copied from the segment store.
    engine_lane lane = engine_lane::Any;
};

struct endpoint_choice_options
{
    double prefillTokensPerMs = 50.0; ///< Prefill rate of an engine whose pace is not known.
    /// Time from a call to its first event beyond the prefill. Without paces, only
    /// expectedFirstEventMs includes it, since it is the same for all endpoints.
    double firstEventBaseMs = 27.0;
    double paceErrorWeight = 0.25; ///< Weight of the expected time's error.
    /// Errors above this share of the expected time count as this. Under overload they are several
    /// times the expected time; charged in full, they would outweigh the cached segments.
    double maxErrorShare = 0.5;
    /// Copying a segment takes this share of the time that recomputing it takes.
    double copyTimeShare = 1.0 / 7.0;
    /// Cost of copying a segment to an engine that lacks it. The copy itself takes a seventh of the
    /// prefill time; the rest accounts for the transfers queued behind it on the link, and for the
    /// segment that it evicts. If only the copy time were charged, prompts would leave their
    /// preferred endpoints at the slightest load, and the store's link would be the first
    /// bottleneck.
    double copyTokensPerMs = 50.0;
    /// Recomputing a segment also delays the requests queued behind it, so it is charged more than
    /// its own time.
    double recomputeWeight = 2.0;
    double runningRequestMs = 1.0;   ///< Each running request slows the decode steps of all.
    double preemptionMs = 600.0;     ///< Prefill of preempted requests has to be repeated.
    double usableMemoryShare = 0.92; ///< Cache blocks are partly filled, so some memory is lost.
    /// Limit on pending prefill at an engine, about 240 ms of work; less at a slow engine. Beyond
    /// the limit, requests wait at the router, where the most urgent one goes first and a caller
    /// that disconnects costs nothing. An engine that prefills without pause slows its streams to a
    /// tenth.
    std::int64_t maxPendingPrefillTokens = 12000;
    /// Limit on the pending prefill ahead of a long prompt, in the same way. It takes the place of
    /// the limit above where the pending prefill is known exactly (placement_scheduler.h): then a
    /// long prompt waits at the router until its engine has nearly finished the one before, and a
    /// short one is behind one long prompt at most.
    std::optional<std::int64_t> maxPendingAheadOfLong;
    /// Share of an engine's KV cache for running requests. The rest keeps shared segments: without
    /// them every prompt is computed in full, and the pool does not recover from an overload.
    double maxActiveShare = 0.75;
    double suspectMs = 3000.0;
    double staleWeightsMs = 250.0; ///< Half of the usual latency target.
    double failureMs = 800.0;      ///< A failed call costs about a latency target and a retry.
    double priorCalls = 3.0;       ///< Successful calls assumed for each endpoint in advance.
    double crossDataCentreMs = 1.0;
    /// Engines of the other lane are considered only if those of the own lane are expected to take
    /// longer than this, and are charged it: what they are doing is seen too late.
    double laneCrossingMs = 150.0;
    double serviceMs = 20.0; ///< Latency assumed for plain services before their first response.
    std::size_t fullScanLimit = 16;
    std::size_t sampleSize = 6; ///< In addition to the preferred endpoint.
    bool usePreferred = true;   ///< False: no endpoint is preferred for a prompt.
    bool copySegments = true;   ///< False: missing segments are always recomputed.
    /// Without knowledge of the caches, the preferred endpoint is assumed to hold the segment.
    /// False where the caches are known: then only holdsSegment counts.
    bool assumePreferredHolds = true;
};

struct endpoint_choice
{
    std::size_t index = 0;   ///< Into the candidates.
    double expectedMs = 0.0; ///< Cost that was compared: includes weights and penalties.
    std::int64_t expectedCachedTokens = 0;
    /// Tokens that the engine has to read for the request, and before it; 0 for plain services. A
    /// copied segment counts as the tokens that the engine reads in the time of the copy.
    std::int64_t unreadTokens = 0;
    std::int64_t tokensAhead = 0;
    int running = 0; ///< Requests that run at the endpoint without this one.
    /// Expected time from the call to its first event, without weights and penalties.
    double expectedFirstEventMs = 0.0;
    double expectedErrorMs = 0.0;        ///< How much longer it may well take; 0 if not known.
    std::optional<std::size_t> copyFrom; ///< Candidate to copy the missing segment from.
    bool copySourceIsKnown = false;      ///< It is known to hold the segment.
    bool onSchedulersShare = false;      ///< A scheduler has charged the cold engine's rate.
};

/// Returns the choice, or nothing when every candidate is excluded or full. A candidate is full
/// when it is out of slots or, for an engine, at its limit of pending prefill or active tokens. An
/// idle engine is never full. The seed breaks ties between plain services.
std::optional<endpoint_choice> chooseEndpoint(const std::vector<endpoint_candidate> &candidates,
                                              const placement_need &need, std::uint64_t seed,
                                              const endpoint_choice_options &options = {});

/// Returns the preferred endpoint for the key: the candidate with the highest rendezvous score
/// among those of the lane, if there is any.
std::optional<std::size_t> preferredEndpoint(const std::vector<endpoint_candidate> &candidates,
                                             std::string_view key,
                                             engine_lane lane = engine_lane::Any);

} // namespace burdockhold

#endif
