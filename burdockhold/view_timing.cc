#include "burdockhold/view_timing.h"

#include <algorithm>
#include <chrono>

namespace burdockhold {

namespace {

/// Reserved for a VM that begins to read the log when its view is not fresh any more.
constexpr duration TakeoverTime = std::chrono::milliseconds(500);
/// Fractions of the bounds for key revocation, for leaving endpoints and for configurations. Two
/// reads of the log, two requests and the timeout of one silent reader fit into each bound.
constexpr double ReadWaitFractionOfRevocationBound = 0.2;
constexpr double RequestWaitFractionOfLeavingBound = 0.25;
constexpr double RequestWaitFractionOfRevocationBound = 0.14;
constexpr double RequestWaitFractionOfConfigBound = 0.25;
/// Tolerated delay of reads and responses, as a fraction of the bound on configurations.
constexpr double DelayFractionOfConfigBound = 0.1;
/// Smallest wait of a read, as a fraction of the bound on configurations.
constexpr double MinReadWaitFractionOfConfigBound = 0.1;

duration fractionOf(duration total, double fraction)
{
    return fromSeconds(fraction * toSeconds(total));
}

duration requestWait(const router_settings &settings)
{
    return std::min({ fractionOf(settings.leavingBound, RequestWaitFractionOfLeavingBound),
                      fractionOf(settings.revocationBound, RequestWaitFractionOfRevocationBound),
                      fractionOf(settings.configBound, RequestWaitFractionOfConfigBound) });
}

/// Returns by how much a view may be older than the reads of a reader that gets answers allow: a
/// response is followed by the next one after the wait of a request.
duration tolerance(const router_settings &settings)
{
    return requestWait(settings) + fractionOf(settings.configBound, DelayFractionOfConfigBound);
}

duration operatorReadWait(const router_settings &settings)
{
    // Just before a read ends, the view is as old as this read and the one before together.
    const duration longest = (settings.configBound - TakeoverTime - tolerance(settings)) / 2;
    const duration shortest = fractionOf(settings.configBound, MinReadWaitFractionOfConfigBound);
    return std::min(std::max(longest, shortest),
                    fractionOf(settings.revocationBound, ReadWaitFractionOfRevocationBound));
}

} // namespace

view_timing viewTimingOf(const router_settings &settings, duration endpointReadInterval)
{
    view_timing timing;
    timing.operatorReadWait = operatorReadWait(settings);
    timing.requestWait = requestWait(settings);
    timing.operatorMaxAge = 2 * timing.operatorReadWait + tolerance(settings);
    timing.endpointMaxAge = endpointReadInterval + tolerance(settings);
    return timing;
}

} // namespace burdockhold
