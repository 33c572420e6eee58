#include "burdockhold/decision_options.h"

#include <limits>

namespace burdockhold {

namespace {

/// Time for several digests of every other VM to arrive.
constexpr duration StartGuard = std::chrono::seconds(1);
/// More loads at once than a pool has engines.
constexpr int UnlimitedLoads = 100000;

endpoint_choice_options choiceOptions(const mechanism_set &mechanisms)
{
    endpoint_choice_options options;
    options.usePreferred = mechanisms.uses(mechanism::PreferredEndpoint);
    options.copySegments = mechanisms.uses(mechanism::SegmentCopies);
    if (!mechanisms.uses(mechanism::PoolSampling))
        options.fullScanLimit = std::numeric_limits<std::size_t>::max();
    if (!mechanisms.uses(mechanism::FailureShare))
        options.failureMs = 0.0;
    if (!mechanisms.uses(mechanism::StaleWeightsPenalty))
        options.staleWeightsMs = 0.0;
    return options;
}

rollout_options rolloutOptions(const mechanism_set &mechanisms)
{
    rollout_options options;
    if (!mechanisms.uses(mechanism::LoadLimit))
        options.loads.minLimit = UnlimitedLoads;
    if (!mechanisms.uses(mechanism::DrainWait))
        options.drainedRequests = std::numeric_limits<int>::max();
    return options;
}

quota_ledger_options sharedLimitOptions(const mechanism_set &mechanisms)
{
    quota_ledger_options options;
    if (mechanisms.uses(mechanism::StartGuard))
        options.startGuard = StartGuard;
    if (!mechanisms.uses(mechanism::SmallRequestReserve))
        options.smallReserve = 0.0;
    if (!mechanisms.uses(mechanism::AccountShares)) {
        options.shareThreshold = std::numeric_limits<double>::infinity();
        options.evenRateDuration = duration::zero();
    }
    return options;
}

} // namespace

decision_options optionsFor(const mechanism_set &mechanisms)
{
    decision_options options;
    options.choice = choiceOptions(mechanisms);
    if (!mechanisms.uses(mechanism::SilenceSuspicion))
        options.endpoints.suspectAfter = duration::max();
    if (!mechanisms.uses(mechanism::EngineLanes))
        options.lanes.minEngines = std::numeric_limits<std::size_t>::max();
    options.endpoints.usePace = mechanisms.uses(mechanism::EnginePace);
    options.scheduler.usePace = mechanisms.uses(mechanism::EnginePace)
                                && mechanisms.uses(mechanism::SchedulerPace);
    options.scheduler.isFair = mechanisms.uses(mechanism::SchedulerFairness);
    options.endpoints.limitPace = mechanisms.uses(mechanism::PaceLimit);
    options.transfers.copySegments = mechanisms.uses(mechanism::SegmentCopies);
    options.transfers.saveSegments = mechanisms.uses(mechanism::SegmentSaves);
    options.rollout = rolloutOptions(mechanisms);
    options.sharedLimits = sharedLimitOptions(mechanisms);
    return options;
}

} // namespace burdockhold
