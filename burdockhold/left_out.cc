#include "burdockhold/left_out.h"

#include <algorithm>

namespace burdockhold {

left_out countLeftOut(const std::vector<endpoint_candidate> &candidates)
{
    left_out endpoints;
    for (const endpoint_candidate &candidate : candidates) {
        switch (candidate.excluded) {
        case exclusion::Leaving:
            ++endpoints.leaving;
            break;
        case exclusion::Paused:
            ++endpoints.paused;
            endpoints.firstReturn = std::min(endpoints.firstReturn.value_or(candidate.pausedUntil),
                                             candidate.pausedUntil);
            break;
        case exclusion::Tried:
            break; // An endpoint is not tried twice for one request.
        default:
            endpoints.othersMayServe = true;
        }
    }
    return endpoints;
}

bool mustRefuseAtOnce(const left_out &endpoints, time_point waitEnd)
{
    if (endpoints.total() == 0 || endpoints.othersMayServe)
        return false;
    return !endpoints.firstReturn || *endpoints.firstReturn >= waitEnd;
}

} // namespace burdockhold
