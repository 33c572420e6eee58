#ifndef BURDOCKHOLD_WAIT_RULES_H
#define BURDOCKHOLD_WAIT_RULES_H

// Decides how long a request waits for an endpoint, with which priority, and how long a stream's
// caller waits for an event. All functions are pure. waiting_room.h has the order of service.
//
// Load pattern: every endpoint of a pool is full for a moment. A request that is placed within a
// part of its latency target is still served in time; one that is placed later would be late
// before its prefill starts and would delay requests that are not late yet.

#include "burdockhold/clock.h"
#include "burdockhold/deployment.h"
#include "burdockhold/mechanisms.h"
#include "burdockhold/waiting_room.h"

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

/// Returns whether requests wait in the order of waiting_room.h.
inline bool usesFairWaiting(const mechanism_set &mechanisms)
{
    return mechanisms.uses(mechanism::WaitQueue) && mechanisms.uses(mechanism::FairWaiting);
}

/// Returns the priority of a request; 0 is the most urgent. The account may be nullptr.
inline int requestPriority(const deployment_route &route, const deployment_account *account,
                           const mechanism_set &mechanisms)
{
    if (!mechanisms.uses(mechanism::PriorityOrder))
        return CommonPriority;
    return account != nullptr && account->priority ? *account->priority : route.priority;
}

/// A request may wait for this share of the time that its caller has left, so that a refused caller
/// can still come back within its deadline.
inline constexpr double LateWaitShare = 0.5;
/// Longest total wait in latency targets. A response that comes later is worth little.
inline constexpr int MaxWaitTargets = 4;
/// Time of an engine for each output token; long responses are mostly faster.
inline constexpr duration ExpectedTokenTime = std::chrono::milliseconds(6);
/// Time of a call to a plain service.
inline constexpr duration ExpectedServiceTime = std::chrono::milliseconds(60);
/// Expected times are rough, so they use at most this share of what the caller has left.
inline constexpr double MaxExpectedShare = 0.5;

/// What the time that a request may wait depends on.
struct wait_facts
{
    time_point now;
    time_point arrivedAt;
    time_point deadline;              ///< When the caller has to have the complete response.
    std::int64_t unreadTokens = 0;    ///< Prompt tokens that an engine may have to compute.
    std::int64_t outputTokens = 0;    ///< Expected; 0 for plain services.
    double prefillTokensPerMs = 50.0; ///< Of an engine.
};

/// Returns when a waiting request must be placed at the latest.
inline time_point latestStart(const waiting_request &request)
{
    return request.deadlineAt - request.expectedRun;
}

/// Sets the times of a request that is to wait: its target, how long a call takes, and the end of
/// its wait as the deadline that the waiting room keeps.
///
/// It may wait until its target, and for a share of what its caller has left beyond that, but not
/// so long that the call would end after the deadline or that a stream's caller gives up.
void setWaitTimes(waiting_request &request, const wait_facts &facts, const deployment_route &route);

/// The same for a stream that has started, whose caller soon abandons it.
void setStreamWaitTimes(waiting_request &request, const wait_facts &facts);

/// Returns whether a call that starts now is expected to be answered before the end.
inline bool isAnsweredBefore(time_point end, time_point now, double expectedMs)
{
    return expectedMs < 1000.0 * toSeconds(end - now);
}

} // namespace burdockhold

#endif
