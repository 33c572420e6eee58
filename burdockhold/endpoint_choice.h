#ifndef BURDOCKHOLD_ENDPOINT_CHOICE_H
#define BURDOCKHOLD_ENDPOINT_CHOICE_H

// Which endpoint of a pool gets a request now.
//
// The choice is the endpoint with the least expected time to the first event, in milliseconds. A
// prompt has a home: the endpoint that rendezvous hashing of its deepest shared part names, the
// same on every VM, so that its parts are cached there without any exchange between VMs. Another
// endpoint is chosen when waiting at the home costs more than reading the part again, or copying it
// from the home. The function is pure; equal inputs give equal choices. Time is linear in the
// number of candidates.
//
// In a pool of more than comparedWhole endpoints only the home and a sample that the seed draws are
// compared: many VMs with views of the same age would otherwise all choose the same idle endpoint.
// The others are looked at only when none of the sample has room.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// Why an endpoint gets no call now.
enum class exclusion { None, Tried, Loading, BackOff, ExpiredWeights };

template <>
struct enum_names<exclusion>
{
    static constexpr std::array<enum_name<exclusion>, 5> Table{ {
            { exclusion::None, "none" },
            { exclusion::Tried, "tried" },
            { exclusion::Loading, "loading" },
            { exclusion::BackOff, "back_off" },
            { exclusion::ExpiredWeights, "expired_weights" },
    } };
};

/// An endpoint as the request path sees it at the moment of the choice.
struct endpoint_candidate
{
    std::string_view id;
    bool sameDataCentre = false;
    exclusion excluded = exclusion::None; ///< Why it gets no call now.
    bool suspect = false; ///< Has running requests but has been silent, or others cannot reach it.
    int slots = 1;
    int running = 0;                       ///< Requests of all VMs.
    std::int64_t pendingPrefillTokens = 0; ///< Prompt tokens of requests without a first event.
    std::int64_t activeTokens = 0;         ///< Prompt and output tokens of all running requests.
    std::int64_t cacheTokens = 0;          ///< Memory; 0 for plain services.
    double failureShare = 0.0;             ///< Of recent calls, as all VMs saw them.
    double recentCalls = 0.0;              ///< Weight of failureShare.
    double latencyMs = 0.0;                ///< Moving average; plain services only.
    bool staleWeights = false;             ///< Older than the wanted version.
    bool holdsSegment = false;             ///< Has read the deepest shared part for these weights.
};

/// What the choice needs to know of a request.
struct placement_need
{
    std::string affinityKey;        ///< Deepest shared part with model; empty for plain services.
    std::int64_t segmentTokens = 0; ///< Of the deepest shared part.
    std::int64_t ownTokens = 0;     ///< Of the prompt beyond shared parts.
    std::int64_t outputTokens = 0;
    std::int64_t promptTokens = 0;
    bool storeHoldsSegment = false; ///< The part can be copied from the store of cached parts.
};

struct endpoint_choice_options
{
    double prefillTokensPerMs = 50.0; ///< Prefill rate of an engine; engines state none.
    /// What an engine that lacks a part costs when it can copy it. The copy itself takes a seventh
    /// of the time of reading; the rest stands for those that wait behind it at the link, and for
    /// the part that yields for it. At the bare time of the copy prompts leave their homes at the
    /// least load, and the store's link is the first thing that is full.
    double copyTokensPerMs = 50.0;
    /// Reading a part again delays the requests behind it too, so it weighs more than its own time.
    double recomputeWeight = 2.0;
    double runningMs = 1.0;      ///< Each running request slows the steps of all.
    double overMemoryMs = 600.0; ///< Preempted requests are read in again.
    double memoryShare = 0.92;   ///< Usable part of the memory: blocks are filled partly.
    /// Prompt tokens that may wait at an engine, about 240 ms of reading. Beyond it requests wait
    /// at the router, where the most urgent goes first and a caller that leaves costs nothing: an
    /// engine that always reads prompts slows the streams that it makes to a tenth.
    std::int64_t maxPendingPrefillTokens = 12000;
    /// Part of an engine's memory for running requests. The rest keeps shared parts: without them
    /// every prompt is read whole, and the pool does not get out of an overload by itself.
    double maxActiveShare = 0.75;
    double suspectMs = 3000.0;
    double staleWeightsMs = 250.0; ///< Half of the usual latency target.
    double failureMs = 800.0;      ///< A failed call costs about a latency target and a repeat.
    double priorCalls = 3.0;       ///< Calls without failure that are assumed of each endpoint.
    double crossDataCentreMs = 1.0;
    double serviceMs = 20.0; ///< Assumed of plain services before their first answer.
    std::size_t comparedWhole = 16;
    std::size_t sampleSize = 6; ///< Beside the home.
};

struct endpoint_choice
{
    std::size_t index = 0; ///< Into the candidates.
    double expectedMs = 0.0;
    std::int64_t expectedCachedTokens = 0;
    std::optional<std::size_t> copyFrom; ///< Candidate that holds the part that the chosen lacks.
};

/// Returns the choice, or nothing when every candidate is excluded or full: out of slots, or an
/// engine at its limits of waiting or held tokens. An idle engine is never full. The seed breaks
/// ties between plain services.
std::optional<endpoint_choice> chooseEndpoint(const std::vector<endpoint_candidate> &candidates,
                                              const placement_need &need, std::uint64_t seed,
                                              const endpoint_choice_options &options = {});

/// Returns the home of the key: the candidate with the highest rendezvous score.
std::optional<std::size_t> preferredEndpoint(const std::vector<endpoint_candidate> &candidates,
                                             std::string_view key);

} // namespace burdockhold

#endif
