#include "burdockhold/left_out.h"

#include <algorithm>

namespace burdockhold {

namespace {

std::optional<time_point> earlier(const std::optional<time_point> &time, time_point other)
{
    return std::min(time.value_or(other), other);
}

} // namespace

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
            endpoints.firstEnd = earlier(endpoints.firstEnd, candidate.pausedUntil);
            if (!candidate.tried)
                endpoints.firstReturn = earlier(endpoints.firstReturn, candidate.pausedUntil);
            break;
        case exclusion::Evacuated:
            ++endpoints.evacuated;
            break;
        case exclusion::Tried:
            ++endpoints.tried;
            break; // An endpoint is not tried twice for one request.
        default:
            endpoints.othersMayServe = true;
        }
    }
    return endpoints;
}

bool mustRefuseAtOnce(const left_out &endpoints, time_point waitEnd)
{
    const bool allEvacuated = endpoints.evacuated > 0 && endpoints.tried == 0;
    if ((endpoints.total() == 0 && !allEvacuated) || endpoints.othersMayServe)
        return false;
    return !endpoints.firstReturn || *endpoints.firstReturn >= waitEnd;
}

std::string_view reasonOf(const left_out &endpoints)
{
    if (endpoints.firstEnd)
        return "all_paused";
    return endpoints.leaving > 0 ? "all_leaving" : "all_evacuated";
}

} // namespace burdockhold
