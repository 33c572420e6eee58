#include "burdockhold/endpoint_choice.h"

#include <xxhash.h>

#include <algorithm>

namespace burdockhold {

namespace {

double engineMs(const endpoint_candidate &candidate, const placement_need &need, bool holds,
                bool canCopy, const endpoint_choice_options &options)
{
    double ms = static_cast<double>(candidate.pendingPrefillTokens + need.ownTokens)
                / options.prefillTokensPerMs;
    if (!holds) {
        const auto tokens = static_cast<double>(need.segmentTokens);
        ms += canCopy ? tokens / options.copyTokensPerMs
                      : options.recomputeWeight * tokens / options.prefillTokensPerMs;
    }
    ms += options.runningMs * candidate.running;
    const double need0 = static_cast<double>(candidate.activeTokens + need.promptTokens
                                             + need.outputTokens);
    const double memory = options.memoryShare * static_cast<double>(candidate.cacheTokens);
    if (memory > 0.0 && need0 > memory)
        ms += options.overMemoryMs * (1.0 + (need0 - memory) / memory);
    return ms;
}

/// True if the engine can take the request without slowing down those that it runs.
bool hasRoom(const endpoint_candidate &candidate, const placement_need &need, bool holds,
             const endpoint_choice_options &options)
{
    if (candidate.running >= candidate.slots)
        return false;
    if (need.affinityKey.empty() || candidate.running == 0)
        return true;
    const std::int64_t unread = holds ? need.ownTokens : need.promptTokens;
    if (candidate.pendingPrefillTokens + unread > options.maxPendingPrefillTokens
        && candidate.pendingPrefillTokens > 0)
        return false;
    const auto held = static_cast<double>(candidate.activeTokens + need.promptTokens
                                          + need.outputTokens);
    return candidate.cacheTokens <= 0
           || held <= options.maxActiveShare * static_cast<double>(candidate.cacheTokens);
}

double serviceMs(const endpoint_candidate &candidate, const endpoint_choice_options &options)
{
    const double each = candidate.latencyMs > 0.0 ? candidate.latencyMs : options.serviceMs;
    const double ahead = static_cast<double>(candidate.running) / std::max(1, candidate.slots);
    return each * (1.0 + ahead);
}

double penaltyMs(const endpoint_candidate &candidate, const endpoint_choice_options &options)
{
    const double failures = candidate.failureShare * candidate.recentCalls
                            / (candidate.recentCalls + options.priorCalls);
    double ms = options.failureMs * failures;
    if (candidate.suspect)
        ms += options.suspectMs;
    if (candidate.staleWeights)
        ms += options.staleWeightsMs;
    if (!candidate.sameDataCentre)
        ms += options.crossDataCentreMs;
    return ms;
}

/// Returns a candidate that holds the part, or should, and can be reached, other than the given
/// one. A home that has lost the part costs a millisecond.
std::optional<std::size_t> holderBeside(const std::vector<endpoint_candidate> &candidates,
                                        std::size_t chosen, std::optional<std::size_t> home)
{
    const auto usable = [&](std::size_t index) {
        const endpoint_candidate &candidate = candidates[index];
        return index != chosen && (candidate.holdsSegment || index == home) && !candidate.suspect
               && !candidate.staleWeights && candidate.excluded == exclusion::None;
    };
    if (home && usable(*home))
        return home;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (usable(index))
            return index;
    }
    return std::nullopt;
}

/// What a call at the candidate would cost, or nothing if it cannot take the request.
std::optional<endpoint_choice> expectedOf(const std::vector<endpoint_candidate> &candidates,
                                          std::size_t index, std::optional<std::size_t> home,
                                          const placement_need &need,
                                          const endpoint_choice_options &options)
{
    const endpoint_candidate &candidate = candidates[index];
    const bool plain = need.affinityKey.empty();
    const bool holds = candidate.holdsSegment || index == home;
    if (candidate.excluded != exclusion::None
        || !hasRoom(candidate, need, holds || need.storeHoldsSegment, options))
        return std::nullopt;
    endpoint_choice choice;
    choice.index = index;
    if (!plain && !holds)
        choice.copyFrom = holderBeside(candidates, index, home);
    const bool canCopy = need.storeHoldsSegment || choice.copyFrom;
    choice.expectedMs = penaltyMs(candidate, options)
                        + (plain ? serviceMs(candidate, options)
                                 : engineMs(candidate, need, holds, canCopy, options));
    choice.expectedCachedTokens = holds ? need.promptTokens - need.ownTokens : 0;
    return choice;
}

void keepBetter(std::optional<endpoint_choice> &best, const std::optional<endpoint_choice> &other)
{
    if (other && (!best || other->expectedMs < best->expectedMs))
        best = other;
}

} // namespace

std::optional<std::size_t> preferredEndpoint(const std::vector<endpoint_candidate> &candidates,
                                             std::string_view key)
{
    std::optional<std::size_t> best;
    std::uint64_t bestScore = 0;
    const std::uint64_t keyHash = XXH64(key.data(), key.size(), 0);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::string_view id = candidates[index].id;
        const std::uint64_t score = XXH64(id.data(), id.size(), keyHash);
        if (!best || score > bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

std::optional<endpoint_choice> chooseEndpoint(const std::vector<endpoint_candidate> &candidates,
                                              const placement_need &need, std::uint64_t seed,
                                              const endpoint_choice_options &options)
{
    const bool plain = need.affinityKey.empty();
    const std::optional<std::size_t> home = plain ? std::nullopt
                                                  : preferredEndpoint(candidates, need.affinityKey);
    const bool sampled = !plain && candidates.size() > options.comparedWhole;
    std::optional<endpoint_choice> best;
    if (home)
        keepBetter(best, expectedOf(candidates, *home, home, need, options));
    std::size_t compared = 0;
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const std::size_t index = (step + seed) % candidates.size();
        if (index == home)
            continue;
        if (sampled && compared >= options.sampleSize && best)
            break;
        const auto choice = expectedOf(candidates, index, home, need, options);
        compared += candidates[index].excluded == exclusion::None ? 1 : 0;
        keepBetter(best, choice);
    }
    return best;
}

} // namespace burdockhold
