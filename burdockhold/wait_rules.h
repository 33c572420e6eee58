#ifndef BURDOCKHOLD_WAIT_RULES_H
#define BURDOCKHOLD_WAIT_RULES_H

// Decides how long a request waits for an endpoint, in which order, and how long a stream's caller
// waits for an event. All functions are pure.
//
// Load pattern: every endpoint of a pool is full for a moment. A request that is placed within a
// part of its latency target is still served in time; one that is placed later would be late
// before its prefill starts and would delay requests that are not late yet.

#include "burdockhold/clock.h"
#include "burdockhold/deployment.h"
#include "burdockhold/mechanisms.h"

#include <algorithm>

namespace burdockhold {

/// Longest time in the wait queue, in tenths of the latency target.
inline constexpr int MaxQueueWaitTenths = 6;
/// Longest time in the wait queue for a stream that has started: callers abandon a stream after two
/// seconds without an event.
inline constexpr duration MaxStreamQueueWait = std::chrono::milliseconds(1900);
/// Callers abandon a stream after the longest of two seconds, four times its latency target and
/// eight times its usual gap between events. The margin covers the transit time to the caller.
inline constexpr duration MinCallerTimeout = std::chrono::seconds(2);
inline constexpr int CallerTimeoutLatencyTargets = 4;
inline constexpr int CallerTimeoutEventGaps = 8;
inline constexpr duration CallerTimeoutMargin = std::chrono::milliseconds(500);
/// Priority of every request while requests are not ordered by priority.
inline constexpr int CommonPriority = 5;

/// Returns how long a stream's caller waits for the next event.
inline duration maxEventGap(const deployment_route &route)
{
    return std::max({ MinCallerTimeout, CallerTimeoutLatencyTargets * route.latencyTarget,
                      CallerTimeoutEventGaps * route.eventGapTarget })
           + CallerTimeoutMargin;
}

/// Returns how long a request may wait for an endpoint; zero while requests do not wait.
inline duration maxQueueWait(bool responseStarted, duration latencyTarget,
                             const mechanism_set &mechanisms)
{
    if (!mechanisms.uses(mechanism::WaitQueue))
        return duration::zero();
    return responseStarted ? MaxStreamQueueWait : latencyTarget * MaxQueueWaitTenths / 10;
}

/// Longest time in a scheduler's queue, in tenths of the time that the caller still waits. A
/// request whose latency target has passed is served there after those that can still meet theirs.
inline constexpr int MaxLateWaitTenths = 4;

/// Returns how long a request may wait in a scheduler's queue.
inline duration maxLateWait(duration timeLeft)
{
    return timeLeft * MaxLateWaitTenths / 10;
}

/// Returns the priority of a request; 0 is the most urgent. The account may be nullptr.
inline int requestPriority(const deployment_route &route, const deployment_account *account,
                           const mechanism_set &mechanisms)
{
    if (!mechanisms.uses(mechanism::PriorityOrder))
        return CommonPriority;
    return account != nullptr && account->priority ? *account->priority : route.priority;
}

/// Returns whether a call that starts now is expected to be answered before the end.
inline bool isAnsweredBefore(time_point end, time_point now, double expectedMs)
{
    return expectedMs < 1000.0 * toSeconds(end - now);
}

} // namespace burdockhold

#endif
