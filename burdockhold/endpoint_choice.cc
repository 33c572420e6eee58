#include "burdockhold/endpoint_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace burdockhold {

namespace {

/// Returns the engine's pace, or the assumed one with this base while none is known.
pace_line paceOf(const endpoint_candidate &candidate, const endpoint_choice_options &options,
                 double assumedBaseMs)
{
    if (candidate.poolPace != nullptr)
        return candidate.poolPace->slowedBy(candidate.slowness);
    return { assumedBaseMs, 1.0 / options.prefillTokensPerMs, 0.0, 1.0, 0.0 };
}

double engineMs(const endpoint_candidate &candidate, const placement_need &need, bool holds,
                bool canCopy, const endpoint_choice_options &options)
{
    const pace_line line = paceOf(candidate, options, 0.0);
    // Running requests are charged below, and what views miss is the same for all engines.
    double ms = line.lineMs(need.unsharedTokens, candidate.pendingPrefillTokens, 0);
    ms += options.paceErrorWeight * std::min(line.errorShare, options.maxErrorShare) * ms;
    if (!holds) {
        const auto tokens = static_cast<double>(need.segmentTokens);
        ms += canCopy ? tokens / options.copyTokensPerMs
                      : options.recomputeWeight * tokens * line.msPerToken;
    }
    ms += options.runningRequestMs * candidate.running;
    const double requiredTokens = static_cast<double>(candidate.activeTokens + need.promptTokens
                                                      + need.outputTokens);
    const double usableTokens = options.usableMemoryShare
                                * static_cast<double>(candidate.cacheTokens);
    if (usableTokens > 0.0 && requiredTokens > usableTokens)
        ms += options.preemptionMs * (1.0 + (requiredTokens - usableTokens) / usableTokens);
    return ms;
}

/// Returns true if the candidate can take the request without slowing down its running requests.
bool hasRoom(const endpoint_candidate &candidate, const placement_need &need, bool holds,
             const endpoint_choice_options &options)
{
    if (candidate.running >= candidate.slots)
        return false;
    if (need.affinityKey.empty())
        return true;
    const std::int64_t prefillTokens = holds ? need.unsharedTokens : need.promptTokens;
    if (static_cast<double>(prefillTokens) > candidate.tokensLeft)
        return false;
    if (candidate.running == 0)
        return true;
    // Each event of a stream there would take as long as the chunks of the long prompt between its
    // tokens.
    const bool delaysShort = need.lane == engine_lane::Long && candidate.lane == engine_lane::Short;
    if (delaysShort && options.maxPendingAheadOfLong)
        return false;
    if (need.lane == engine_lane::Long && options.maxPendingAheadOfLong) {
        if (candidate.pendingPrefillTokens > *options.maxPendingAheadOfLong)
            return false;
    } else {
        const double maxPendingTokens = static_cast<double>(options.maxPendingPrefillTokens)
                                        / std::max(1.0, candidate.slowness);
        if (static_cast<double>(candidate.pendingPrefillTokens + prefillTokens) > maxPendingTokens
            && candidate.pendingPrefillTokens > 0)
            return false;
    }
    const auto requiredTokens = static_cast<double>(candidate.activeTokens + need.promptTokens
                                                    + need.outputTokens);
    return candidate.cacheTokens <= 0
           || requiredTokens <= options.maxActiveShare * static_cast<double>(candidate.cacheTokens);
}

double serviceMs(const endpoint_candidate &candidate, const endpoint_choice_options &options)
{
    const double callMs = candidate.latencyMs > 0.0 ? candidate.latencyMs : options.serviceMs;
    const double utilization = static_cast<double>(candidate.running)
                               / std::max(1, candidate.slots);
    return callMs * (1.0 + utilization);
}

bool isOfLane(const endpoint_candidate &candidate, engine_lane lane)
{
    return lane == engine_lane::Any || candidate.lane == engine_lane::Any || candidate.lane == lane;
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

/// Sets what the first event of the call depends on, and its expected time.
void expectFirstEvent(endpoint_choice &choice, const endpoint_candidate &candidate,
                      const placement_need &need, bool holds, bool canCopy,
                      const endpoint_choice_options &options)
{
    const double segmentShare = holds ? 0.0 : canCopy ? options.copyTimeShare : 1.0;
    choice.unreadTokens = need.unsharedTokens
                          + std::llround(segmentShare * static_cast<double>(need.segmentTokens));
    choice.tokensAhead = candidate.pendingPrefillTokens;
    choice.running = candidate.running;
    const pace_line line = paceOf(candidate, options, options.firstEventBaseMs);
    const pace_estimate estimate = line.estimate(choice.unreadTokens, choice.tokensAhead,
                                                 choice.running);
    choice.expectedFirstEventMs = estimate.expectedMs;
    choice.expectedErrorMs = estimate.errorMs;
}

/// Returns a usable candidate other than the chosen one that holds the segment. The preferred
/// endpoint is assumed to hold it: if it has lost the segment, the attempt costs a millisecond.
std::optional<std::size_t> findCopySource(const std::vector<endpoint_candidate> &candidates,
                                          std::size_t chosen, std::optional<std::size_t> preferred)
{
    const auto usable = [&](std::size_t index) {
        const endpoint_candidate &candidate = candidates[index];
        return index != chosen && (candidate.holdsSegment || index == preferred)
               && !candidate.suspect && !candidate.staleWeights
               && candidate.excluded == exclusion::None;
    };
    if (preferred && usable(*preferred))
        return preferred;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (usable(index))
            return index;
    }
    return std::nullopt;
}

/// Returns the expected cost of a call to the candidate, or nothing if it cannot take the request.
std::optional<endpoint_choice> estimateCall(const std::vector<endpoint_candidate> &candidates,
                                            std::size_t index, std::optional<std::size_t> preferred,
                                            const placement_need &need,
                                            const endpoint_choice_options &options)
{
    const endpoint_candidate &candidate = candidates[index];
    const bool isPlainService = need.affinityKey.empty();
    const bool holds = candidate.holdsSegment
                       || (options.assumePreferredHolds && index == preferred);
    if (candidate.excluded != exclusion::None
        || !hasRoom(candidate, need, holds || (need.storeHoldsSegment && options.copySegments),
                    options))
        return std::nullopt;
    endpoint_choice choice;
    choice.index = index;
    if (!isPlainService && !holds && options.copySegments)
        choice.copyFrom = findCopySource(candidates, index,
                                         options.assumePreferredHolds ? preferred : std::nullopt);
    const bool canCopy = choice.copyFrom || (need.storeHoldsSegment && options.copySegments);
    choice.expectedFirstEventMs = serviceMs(candidate, options);
    if (!isPlainService)
        expectFirstEvent(choice, candidate, need, holds, canCopy, options);
    choice.expectedMs = penaltyMs(candidate, options)
                        + (isPlainService ? serviceMs(candidate, options)
                                          : engineMs(candidate, need, holds, canCopy, options));
    if (!isOfLane(candidate, need.lane))
        choice.expectedMs += options.laneCrossingMs;
    choice.expectedCachedTokens = holds ? need.promptTokens - need.unsharedTokens : 0;
    return choice;
}

void keepBetter(std::optional<endpoint_choice> &best, const std::optional<endpoint_choice> &other)
{
    if (other && (!best || other->expectedMs < best->expectedMs))
        best = other;
}

} // namespace

std::optional<std::size_t> preferredEndpoint(const std::vector<endpoint_candidate> &candidates,
                                             std::string_view key, engine_lane lane)
{
    std::optional<std::size_t> best;
    std::pair<bool, std::uint64_t> bestScore;
    const std::uint64_t keyHash = XXH64(key.data(), key.size(), 0);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (candidates[index].excluded == exclusion::Leaving
            || candidates[index].excluded == exclusion::Evacuated)
            continue;
        const std::string_view id = candidates[index].id;
        const std::pair<bool, std::uint64_t> score{ isOfLane(candidates[index], lane),
                                                    XXH64(id.data(), id.size(), keyHash) };
        if (!best || score > bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

namespace {

/// Compares the candidates of the request's lane, or the others, with the best so far.
void compareLane(const std::vector<endpoint_candidate> &candidates, bool ownLane,
                 std::optional<std::size_t> preferred, const placement_need &need,
                 std::uint64_t seed, const endpoint_choice_options &options,
                 std::optional<endpoint_choice> &best)
{
    const bool sampled = !need.affinityKey.empty() && candidates.size() > options.fullScanLimit;
    std::size_t compared = 0;
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const std::size_t index = (step + seed) % candidates.size();
        if (index == preferred || isOfLane(candidates[index], need.lane) != ownLane)
            continue;
        if (sampled && compared >= options.sampleSize && best)
            break;
        compared += candidates[index].excluded == exclusion::None ? 1 : 0;
        keepBetter(best, estimateCall(candidates, index, preferred, need, options));
    }
}

} // namespace

std::optional<endpoint_choice> chooseEndpoint(const std::vector<endpoint_candidate> &candidates,
                                              const placement_need &need, std::uint64_t seed,
                                              const endpoint_choice_options &options)
{
    const bool isPlainService = need.affinityKey.empty();
    const std::optional<std::size_t> preferred = isPlainService || !options.usePreferred
                                                         ? std::nullopt
                                                         : preferredEndpoint(candidates,
                                                                             need.affinityKey,
                                                                             need.lane);
    std::optional<endpoint_choice> best;
    if (preferred)
        keepBetter(best, estimateCall(candidates, *preferred, preferred, need, options));
    compareLane(candidates, true, preferred, need, seed, options, best);
    if (need.lane != engine_lane::Any && (!best || best->expectedMs > options.laneCrossingMs))
        compareLane(candidates, false, preferred, need, seed, options, best);
    return best;
}

} // namespace burdockhold
