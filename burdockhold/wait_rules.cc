#include "burdockhold/wait_rules.h"

namespace burdockhold {

namespace {

/// Returns how long a request takes from its placement to its first event.
duration expectedFirstTime(const wait_facts &facts)
{
    return facts.unreadTokens == 0 ? ExpectedServiceTime
                                   : fromSeconds(static_cast<double>(facts.unreadTokens)
                                                 / facts.prefillTokensPerMs / 1000.0);
}

} // namespace

void setWaitTimes(waiting_request &request, const wait_facts &facts, const deployment_route &route)
{
    const duration left = std::max<duration>(facts.deadline - facts.now, duration::zero());
    const duration longestRun = fromSeconds(MaxExpectedShare * toSeconds(left));
    const duration first = expectedFirstTime(facts);
    request.arrivedAt = facts.arrivedAt;
    request.targetAt = facts.arrivedAt + route.latencyTarget;
    request.expectedFirst = std::min({ first, longestRun, route.latencyTarget / 2 });
    request.expectedRun = std::min(first + ExpectedTokenTime * facts.outputTokens, longestRun);
    const time_point lateEnd = std::min(facts.now + fromSeconds(LateWaitShare * toSeconds(left)),
                                        facts.arrivedAt + MaxWaitTargets * route.latencyTarget);
    time_point end = std::min(std::max(request.targetAt - request.expectedFirst, lateEnd),
                              facts.deadline - request.expectedRun);
    if (route.kind == call_kind::Stream)
        end = std::min(end, facts.arrivedAt + maxEventGap(route) - 2 * CallerTimeoutMargin
                                    - request.expectedFirst);
    request.deadlineAt = end + request.expectedRun;
}

void setStreamWaitTimes(waiting_request &request, const wait_facts &facts)
{
    request.arrivedAt = facts.now;
    request.targetAt = std::min(facts.deadline, facts.now + MaxStreamQueueWait);
    request.deadlineAt = request.targetAt;
}

} // namespace burdockhold
