#include "burdockhold/view_timing.h"

#include <algorithm>
#include <chrono>

namespace burdockhold {

namespace {

/// Tolerated age of a fresh view beyond two reads: a request to the reader, and round trips.
constexpr duration FreshnessSlack = std::chrono::milliseconds(700);
/// Reserved for a VM that begins to read the log when its view is not fresh any more.
constexpr duration TakeoverTime = std::chrono::milliseconds(500);
/// Fractions of the bounds for key revocation and for leaving endpoints. Two reads of the log, two
/// requests and the timeout of one silent reader fit into each bound.
constexpr double ReadWaitFractionOfRevocationBound = 0.2;
constexpr double RequestWaitFractionOfLeavingBound = 0.25;
constexpr double RequestWaitFractionOfRevocationBound = 0.14;
/// Smallest wait of a read, as a fraction of the bound on configurations.
constexpr double MinReadWaitFractionOfConfigBound = 0.1;

duration fractionOf(duration total, double fraction)
{
    return fromSeconds(fraction * toSeconds(total));
}

duration operatorReadWait(const router_settings &settings)
{
    // Just before a read ends, the view is as old as this read and the one before together.
    const duration longest = (settings.configBound - TakeoverTime - FreshnessSlack) / 2;
    const duration shortest = fractionOf(settings.configBound, MinReadWaitFractionOfConfigBound);
    return std::min(std::max(longest, shortest),
                    fractionOf(settings.revocationBound, ReadWaitFractionOfRevocationBound));
}

} // namespace

view_timing viewTimingOf(const router_settings &settings, duration endpointReadInterval)
{
    view_timing timing;
    timing.operatorReadWait = operatorReadWait(settings);
    timing.requestWait = std::min(
            fractionOf(settings.leavingBound, RequestWaitFractionOfLeavingBound),
            fractionOf(settings.revocationBound, RequestWaitFractionOfRevocationBound));
    timing.operatorMaxAge = 2 * timing.operatorReadWait + FreshnessSlack;
    timing.endpointMaxAge = endpointReadInterval + FreshnessSlack;
    return timing;
}

} // namespace burdockhold
