#include "burdockhold/cold_grants.h"

#include <algorithm>

namespace burdockhold {

void addExcluded(placement_question &question, std::uint32_t endpoint, exclusion reason)
{
    question.tried.push_back(endpoint);
    if (reason == exclusion::Cold)
        ++question.coldTried;
}

void excludeForQuestion(endpoint_candidate &candidate, const placement_question &question,
                        std::uint32_t endpoint)
{
    const auto &tried = question.tried;
    const auto found = std::find(tried.begin(), tried.end(), endpoint);
    // A number above that of the endpoints is absurd; then none counts as cold.
    const std::size_t coldCount = question.coldTried <= tried.size() ? question.coldTried : 0;
    const bool isCold = static_cast<std::size_t>(tried.end() - found) <= coldCount;
    const bool takesColdGrant = question.repetition != 0;
    if (found != tried.end() && !(isCold && candidate.needsColdShare && takesColdGrant))
        excludeTried(candidate);
    if (candidate.needsColdShare && !takesColdGrant && candidate.excluded == exclusion::None)
        candidate.excluded = exclusion::Cold;
}

bool isSuperseded(const placement_answer &given, const placement_question &repeated)
{
    return given.onColdShare && repeated.repetition > given.repetition;
}

bool isUsableGrant(const placement_answer &grant, const placement_question &question,
                   time_point askedAt, time_point now)
{
    if (!grant.onColdShare)
        return true;
    return grant.repetition == question.repetition && now - askedAt <= MaxColdGrantAge;
}

bool allowsCall(const placement_answer &grant, exclusion reason)
{
    return reason == exclusion::None || (reason == exclusion::Cold && grant.onColdShare);
}

} // namespace burdockhold
