#include "burdockhold/placement_log.h"

#include <algorithm>
#include <utility>

namespace burdockhold {

nlohmann::ordered_json poolFullFields(const std::string &requestId, const std::string &pool,
                                      std::vector<endpoint_candidate> candidates)
{
    constexpr std::size_t MaxListed = 16;
    std::sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return std::make_pair(a.excluded, a.activeTokens)
               < std::make_pair(b.excluded, b.activeTokens);
    });
    nlohmann::ordered_json listed = nlohmann::ordered_json::array();
    for (std::size_t index = 0; index < std::min(MaxListed, candidates.size()); ++index) {
        const endpoint_candidate &candidate = candidates[index];
        listed.push_back({ { "endpoint", candidate.id },
                           { "excluded", nameOf(candidate.excluded) },
                           { "suspect", candidate.suspect },
                           { "running", candidate.running },
                           { "unread", candidate.pendingPrefillTokens },
                           { "held", candidate.activeTokens } });
    }
    return { { "id", requestId },
             { "pool", pool },
             { "endpoints", candidates.size() },
             { "listed", std::move(listed) } };
}

nlohmann::ordered_json overQuotaFields(const std::string &requestId, const std::string &account,
                                       double cost, const quota_ledger &quota)
{
    return { { "id", requestId },
             { "account", account },
             { "cost", cost },
             { "level", quota.level() },
             { "rate", quota.limit().ratePerSecond },
             { "burst", quota.limit().burst },
             { "share", quota.share() },
             { "returned", quota.returnedTotal() } };
}

} // namespace burdockhold
