#include "burdockhold/recent_requests.h"

#include <algorithm>
#include <tuple>

namespace burdockhold {
namespace {

/// Work older than this is certainly part of a newer load report or of a lost one.
constexpr duration WorkLifetime = std::chrono::seconds(2);

} // namespace

recent_requests::recent_requests(const recent_options &options)
    : m_options(options)
    , m_ruleConfidence(options.initialConfidence)
    , m_ownConfidence(1.0)
{
}

prefix_holders &recent_requests::holdersForUpdate(std::uint64_t prefix)
{
    const auto found = m_current.find(prefix);
    if (found != m_current.end())
        return found->second;
    if (m_current.size() >= std::max<std::size_t>(m_options.maxPrefixes / 2, 1)) {
        m_previous = std::move(m_current);
        m_current.clear();
    }
    const auto older = m_previous.find(prefix);
    return m_current.emplace(prefix, older == m_previous.end() ? prefix_holders{} : older->second)
            .first->second;
}

void recent_requests::recordSent(const prompt_prefix &prompt, std::uint64_t endpoint,
                                 std::uint64_t incarnation, double workSeconds, time_point now)
{
    for (std::uint64_t level : prompt.levels) {
        prefix_holders &holders = holdersForUpdate(level);
        prefix_holder *place = holders.data();
        for (prefix_holder &holder : holders) {
            if (holder.endpoint == endpoint) {
                place = &holder;
                break;
            }
            if (holder.sentAt < place->sentAt)
                place = &holder;
        }
        *place = { endpoint, incarnation, now };
    }
    while (!m_work.empty()
           && (m_work.front().at + WorkLifetime < now || m_work.size() >= m_options.maxUnreported))
        m_work.pop_front();
    m_work.push_back({ endpoint, workSeconds, now });
}

void recent_requests::recordReported(double ownTokens, double ruleTokens, double reportedTokens)
{
    const auto learn = [this](double &confidence, double share) {
        confidence += m_options.learningRate * (std::clamp(share, 0.0, 1.0) - confidence);
        confidence = std::max(confidence, m_options.smallestConfidence);
    };
    if (ownTokens > 0.0)
        learn(m_ownConfidence, reportedTokens / ownTokens);
    if (ruleTokens > ownTokens)
        learn(m_ruleConfidence, (reportedTokens - ownTokens) / (ruleTokens - ownTokens));
}

void recent_requests::forget(const prompt_prefix &prompt, std::uint64_t endpoint)
{
    for (holder_map *map : { &m_current, &m_previous }) {
        for (std::uint64_t level : prompt.levels) {
            const auto found = map->find(level);
            if (found == map->end())
                continue;
            for (prefix_holder &holder : found->second) {
                if (holder.endpoint == endpoint)
                    holder = {};
            }
        }
    }
}

std::vector<prefix_remainder> recent_requests::remainders(const prompt_prefix &prompt,
                                                          time_point now) const
{
    std::vector<prefix_remainder> found;
    for (std::size_t level = prompt.levels.size(); level > 0; --level) {
        const prefix_holders *known = holders(prompt.levels[level - 1]);
        if (known == nullptr)
            continue;
        const auto tokens = static_cast<std::int64_t>(level) * prompt.tokensPerBlock;
        for (const prefix_holder &holder : *known) {
            if (holder.endpoint != 0 && holder.sentAt + m_options.lifetime > now)
                found.push_back({ holder.endpoint, holder.incarnation, tokens });
        }
    }
    // Deepest first within an incarnation, so that the first entry of each is the one to keep.
    std::sort(found.begin(), found.end(), [](const prefix_remainder &a, const prefix_remainder &b) {
        return std::tie(a.endpoint, a.incarnation, b.tokens)
               < std::tie(b.endpoint, b.incarnation, a.tokens);
    });
    const auto same = [](const prefix_remainder &a, const prefix_remainder &b) {
        return a.endpoint == b.endpoint && a.incarnation == b.incarnation;
    };
    found.erase(std::unique(found.begin(), found.end(), same), found.end());
    return found;
}

std::int64_t recent_requests::cachedTokens(const prompt_prefix &prompt, std::uint64_t endpoint,
                                           std::uint64_t incarnation, time_point now) const
{
    for (const prefix_remainder &left : remainders(prompt, now)) {
        if (left.endpoint == endpoint && left.incarnation == incarnation)
            return left.tokens;
    }
    return 0;
}

const prefix_holders *recent_requests::holders(std::uint64_t prefix) const
{
    for (const holder_map *map : { &m_current, &m_previous }) {
        const auto found = map->find(prefix);
        if (found != map->end())
            return &found->second;
    }
    return nullptr;
}

work_sent recent_requests::workSentSince(std::uint64_t endpoint, time_point since) const
{
    work_sent sum;
    for (auto work = m_work.rbegin(); work != m_work.rend() && work->at > since; ++work) {
        sum.toAllSeconds += work->seconds;
        if (work->endpoint == endpoint)
            sum.toEndpointSeconds += work->seconds;
    }
    return sum;
}

} // namespace burdockhold
