#include "burdockhold/placement_log.h"

#include <algorithm>
#include <utility>

namespace burdockhold {

nlohmann::ordered_json poolFullFields(const std::string &requestId, const std::string &pool,
                                      std::vector<endpoint_candidate> candidates)
{
    constexpr std::size_t MaxListed = 16;
    const left_out endpoints = countLeftOut(candidates);
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
             { "leaving", endpoints.leaving },
             { "paused", endpoints.paused },
             { "listed", std::move(listed) } };
}

nlohmann::ordered_json endpointChosenFields(const std::string &requestId, const std::string &pool,
                                            const std::vector<endpoint_candidate> &candidates,
                                            const endpoint_choice &choice,
                                            const left_out &endpoints)
{
    return { { "id", requestId },
             { "pool", pool },
             { "endpoint", candidates[choice.index].id },
             { "endpoints", candidates.size() },
             { "leaving", endpoints.leaving },
             { "paused", endpoints.paused },
             { "expected_ms", choice.expectedMs } };
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
