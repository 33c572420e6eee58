#include "burdockhold/placement.h"

#include "burdockhold/hash.h"

#include <algorithm>
#include <cmath>

namespace burdockhold {
namespace {

bool isEligible(const placement_endpoint &endpoint, const placement_request &request)
{
    if (endpoint.leaving || endpoint.ejected)
        return false;
    if (!request.weightsVersion.empty() && !endpoint.weightsVersion.empty()
        && endpoint.weightsVersion != request.weightsVersion)
        return false;
    return std::find(request.excluded.begin(), request.excluded.end(), endpoint.key)
           == request.excluded.end();
}

/// Mixes without the byte interface of hash64(); the rendezvous step runs for every endpoint.
std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

/// Score of weighted rendezvous hashing: an endpoint wins a share of prefixes in proportion to its
/// weight, and adding or removing another endpoint never changes it.
double rendezvousScore(std::uint64_t prefix, std::uint64_t endpoint, double weight)
{
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    const double uniform = (static_cast<double>(mix(prefix, endpoint) >> 11) + 0.5) * Scale;
    return -std::max(weight, 1e-6) / std::log(uniform);
}

struct scored_position
{
    double score;
    std::uint64_t key;
    double weight;
    std::size_t position; ///< In the eligible list.
};

bool ranksBefore(const scored_position &a, const scored_position &b)
{
    return a.score != b.score ? a.score > b.score : a.key < b.key;
}

std::size_t replicas(const placement_view &view, std::uint64_t prefix, std::size_t endpoints,
                     const placement_options &options)
{
    const double all = view.heat->settledCount(view.pool, view.now);
    const double count = view.heat->settledCount(prefix, view.now);
    if (all <= 0.0 || count < options.minimumCount)
        return 1;
    const double fair = static_cast<double>(endpoints) * count / all;
    if (fair < options.replicaThreshold)
        return 1;
    const double wanted = options.replicaFactor * fair;
    return static_cast<std::size_t>(
            std::clamp(std::ceil(wanted), 1.0, static_cast<double>(endpoints)));
}

/// Queue wait now: the reported queue, less what was computed since, plus what this VM has sent
/// since and what the other VMs will have sent, taken as this VM's mean.
double queueWait(const placement_view &view, const placement_endpoint &endpoint,
                 std::size_t endpoints)
{
    const double rate = std::max(endpoint.prefillTokensPerSecond, 1.0);
    const double age = std::max(0.0, toSeconds(view.now - endpoint.loadAsOf));
    const double reported = std::max<double>(0.0, endpoint.queuedTokens) / rate;
    const work_sent sent = view.recent->workSentSince(endpoint.key, endpoint.loadAsOf);
    const std::size_t otherVms = std::max<std::size_t>(view.vms, 1) - 1;
    const double others = sent.toAllSeconds * static_cast<double>(otherVms)
                          / static_cast<double>(endpoints);
    return std::max(0.0, reported + sent.toEndpointSeconds + others - age);
}

/// Lets what an engine's events say replace the expectation from the rule. This VM's own requests
/// still count, because events come later than the next prompt of the same prefix.
void applyCacheView(placement_candidate &candidate, const cache_view &cache,
                    const placement_endpoint &endpoint, const prompt_prefix &prompt)
{
    const cached_prefix cached = cache.cachedTokens(prompt, endpoint.key, endpoint.incarnation);
    const double held = static_cast<double>(cached.tokens);
    if (cached.exact) {
        candidate.ruleTokens = std::max(held, candidate.ownTokens);
        candidate.cachedTokens = candidate.ruleTokens;
    } else {
        candidate.cachedTokens = std::max(candidate.cachedTokens, held);
    }
}

std::int64_t tokensLeft(const std::vector<prefix_remainder> &remainders,
                        const placement_endpoint &endpoint)
{
    auto left = std::lower_bound(
            remainders.begin(), remainders.end(), endpoint.key,
            [](const prefix_remainder &a, std::uint64_t key) { return a.endpoint < key; });
    for (; left != remainders.end() && left->endpoint == endpoint.key; ++left) {
        if (left->incarnation == endpoint.incarnation)
            return left->tokens;
    }
    return 0;
}

placement_candidate evaluate(const placement_view &view, const placement_request &request,
                             const std::vector<prefix_remainder> &remainders, std::size_t position,
                             std::size_t level, std::size_t eligible,
                             const placement_options &options)
{
    const placement_endpoint &endpoint = (*view.endpoints)[position];
    const prompt_prefix &prompt = *request.prompt;
    placement_candidate candidate;
    candidate.endpoint = position;
    candidate.level = level;
    candidate.queueWaitSeconds = queueWait(view, endpoint, eligible);
    candidate.ownTokens = static_cast<double>(tokensLeft(remainders, endpoint));
    candidate.ruleTokens = std::max(candidate.ownTokens,
                                    static_cast<double>(level) * prompt.tokensPerBlock);
    candidate.cachedTokens = view.recent->ownConfidence() * candidate.ownTokens
                             + view.recent->ruleConfidence()
                                       * (candidate.ruleTokens - candidate.ownTokens);
    if (view.cache != nullptr)
        applyCacheView(candidate, *view.cache, endpoint, prompt);
    const double missing = static_cast<double>(prompt.promptTokens) - candidate.cachedTokens;
    candidate.missingSeconds = std::max(0.0, missing)
                               / std::max(endpoint.prefillTokensPerSecond, 1.0);
    candidate.scoreSeconds = candidate.queueWaitSeconds
                             + options.missWeight * candidate.missingSeconds;
    return candidate;
}

/// Order among endpoints of equal cost and level; lowest first. Prompts below one block have no
/// level that follows the weights, so the order has to.
double tieRank(const placement_view &view, const placement_request &request, std::size_t position)
{
    const placement_endpoint &endpoint = (*view.endpoints)[position];
    const auto &levels = request.prompt->levels;
    if (!levels.empty())
        return static_cast<double>(mix(levels.back(), endpoint.key));
    const double weight = endpoint.weight * view.loadWeights->factor(endpoint.key);
    return -rendezvousScore(request.tieKey, endpoint.key, weight);
}

void applyLoadBound(std::vector<placement_candidate> &candidates, const placement_options &options)
{
    double total = 0.0;
    for (const placement_candidate &candidate : candidates)
        total += candidate.queueWaitSeconds;
    const double bound = std::max(options.loadBoundFloorSeconds,
                                  options.loadBound * total
                                          / static_cast<double>(candidates.size()));
    for (placement_candidate &candidate : candidates)
        candidate.overBound = candidate.queueWaitSeconds > bound;
}

} // namespace

std::uint64_t endpointKey(std::string_view name)
{
    return hash64(name);
}

std::vector<std::size_t> rendezvousLevels(const placement_view &view,
                                          const std::vector<std::size_t> &eligible,
                                          const prompt_prefix &prompt,
                                          const placement_options &options)
{
    std::vector<std::size_t> levels(eligible.size(), 0);
    std::vector<scored_position> set(eligible.size());
    for (std::size_t i = 0; i < eligible.size(); ++i) {
        const placement_endpoint &endpoint = (*view.endpoints)[eligible[i]];
        const double weight = endpoint.weight * view.loadWeights->factor(endpoint.key);
        set[i] = { 0.0, endpoint.key, weight, i };
    }

    for (std::size_t level = 1; level <= prompt.levels.size(); ++level) {
        const std::uint64_t prefix = prompt.levels[level - 1];
        const std::size_t wanted = set.size() > 1 ? replicas(view, prefix, eligible.size(), options)
                                                  : 1;
        if (wanted < set.size()) {
            for (scored_position &member : set)
                member.score = rendezvousScore(prefix, member.key, member.weight);
            std::nth_element(set.begin(), set.begin() + static_cast<std::ptrdiff_t>(wanted),
                             set.end(), ranksBefore);
            set.resize(wanted);
        }
        for (const scored_position &member : set)
            levels[member.position] = level;
    }
    return levels;
}

result<placement_choice, placement_error> choosePlacement(const placement_view &view,
                                                          const placement_request &request,
                                                          const placement_options &options)
{
    std::vector<std::size_t> eligible;
    for (std::size_t i = 0; i < view.endpoints->size(); ++i) {
        if (isEligible((*view.endpoints)[i], request))
            eligible.push_back(i);
    }
    if (eligible.empty()) {
        return basic_error<placement_error>{ placement_error::NoEndpoint,
                                             "no endpoint may take the request",
                                             request.weightsVersion };
    }

    const auto levels = rendezvousLevels(view, eligible, *request.prompt, options);
    const auto remainders = view.recent->remainders(*request.prompt, view.now);
    std::vector<placement_candidate> candidates;
    candidates.reserve(eligible.size());
    for (std::size_t i = 0; i < eligible.size(); ++i)
        candidates.push_back(evaluate(view, request, remainders, eligible[i], levels[i],
                                      eligible.size(), options));
    applyLoadBound(candidates, options);

    // Equal costs go to the deepest set, then by rendezvous of the whole prompt, so that all VMs
    // agree and idle endpoints share new prompts evenly.
    const auto preferred = [&](const placement_candidate &a, const placement_candidate &b) {
        if (a.overBound != b.overBound)
            return b.overBound;
        if (a.scoreSeconds != b.scoreSeconds)
            return a.scoreSeconds < b.scoreSeconds;
        if (a.level != b.level)
            return a.level > b.level;
        const std::uint64_t keyA = (*view.endpoints)[a.endpoint].key;
        const std::uint64_t keyB = (*view.endpoints)[b.endpoint].key;
        return std::make_pair(tieRank(view, request, a.endpoint), keyA)
               < std::make_pair(tieRank(view, request, b.endpoint), keyB);
    };
    const std::size_t kept = std::clamp<std::size_t>(options.decisionCandidates, 1,
                                                     candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                      candidates.end(), preferred);

    placement_choice choice;
    choice.eligible = candidates.size();
    candidates.resize(kept);
    choice.chosen = candidates.front();
    choice.workSeconds = choice.chosen.missingSeconds;
    choice.candidates = std::move(candidates);
    return choice;
}

void recordHeat(heat_sketch &heat, const prompt_prefix &prompt, std::uint64_t pool, time_point now)
{
    heat.record(pool, now);
    for (std::uint64_t level : prompt.levels)
        heat.record(level, now);
}

} // namespace burdockhold
