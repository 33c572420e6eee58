#include "burdockhold/prompt_segments.h"

namespace burdockhold {

namespace {

std::string ownerPart(const cache_domain &domain)
{
    if (!domain.isolatedAccount.empty())
        return "a." + domain.isolatedAccount;
    return domain.isolatedSet == 0 ? "s" : "s." + std::to_string(domain.isolatedSet);
}

} // namespace

std::string cacheSalt(const caller_request &request, const cache_domain &domain,
                      std::int64_t version)
{
    if (version == 0)
        return "u." + request.attemptId;
    return ownerPart(domain) + "." + std::to_string(version);
}

std::vector<std::string> sharedSegmentNames(const caller_request &request,
                                            const cache_domain &domain, std::int64_t version)
{
    std::vector<std::string> names;
    const std::string start = request.model + "/" + cacheSalt(request, domain, version) + "/";
    for (std::size_t index = 0; index + 1 < request.promptSegments.size(); ++index)
        names.push_back(start + request.promptSegments[index].id);
    return names;
}

std::string deepestSegmentName(const caller_request &request, const cache_domain &domain,
                               std::int64_t version)
{
    const auto names = sharedSegmentNames(request, domain, version);
    return names.empty() ? std::string() : names.back();
}

std::string deepestSegmentId(const caller_request &request)
{
    return request.promptSegments.size() < 2
                   ? std::string()
                   : request.promptSegments[request.promptSegments.size() - 2].id;
}

placement_need placementNeedFor(const caller_request &request, const cache_domain &domain)
{
    placement_need need;
    need.promptTokens = request.promptTokens;
    need.outputTokens = request.expectedOutputTokens();
    need.unsharedTokens = request.promptTokens;
    need.affinityKey = request.model;
    if (!domain.isolatedAccount.empty())
        need.affinityKey += "/" + domain.isolatedAccount;
    if (request.promptSegments.size() < 2) {
        need.affinityKey += "/" + request.attemptId;
        return need;
    }
    const prompt_segment &deepest = request.promptSegments[request.promptSegments.size() - 2];
    need.affinityKey += "/" + deepest.id;
    need.segmentTokens = deepest.tokens;
    need.unsharedTokens = request.promptSegments.back().tokens;
    return need;
}

} // namespace burdockhold
