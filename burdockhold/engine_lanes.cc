#include "burdockhold/engine_lanes.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace burdockhold {

namespace {

constexpr std::uint64_t RankingSeed = 0x6c616e65;

std::uint64_t rankOf(std::string_view engine)
{
    return XXH64(engine.data(), engine.size(), RankingSeed);
}

} // namespace

void lane_demand::record(engine_lane kind, const placement_need &need, time_point now)
{
    m_own = ownWork(now);
    m_ownAt = now;
    const double work = static_cast<double>(need.promptTokens)
                        + m_options.outputTokenWeight * static_cast<double>(need.outputTokens);
    (kind == engine_lane::Short ? m_own.shortTokens : m_own.longTokens) += work;
}

lane_work lane_demand::ownWork(time_point now) const
{
    const double factor = std::exp2(-toSeconds(now - m_ownAt) / toSeconds(m_options.halfLife));
    return { m_own.shortTokens * factor, m_own.longTokens * factor };
}

void lane_demand::applyPeerWork(const std::string &peer, const lane_work &work, time_point now)
{
    m_peers[peer] = { work, now };
    for (auto row = m_peers.begin(); row != m_peers.end();)
        row = now - row->second.at > m_options.peerExpiry ? m_peers.erase(row) : std::next(row);
}

lane_work lane_demand::totalWork(time_point now) const
{
    lane_work total = ownWork(now);
    for (const auto &[peer, stated] : m_peers) {
        if (now - stated.at > m_options.peerExpiry)
            continue;
        total.shortTokens += stated.work.shortTokens;
        total.longTokens += stated.work.longTokens;
    }
    return total;
}

engine_lane laneOf(std::int64_t promptTokens, duration shortestTarget,
                   const engine_lane_options &options)
{
    const double targetMs = 1000.0 * toSeconds(shortestTarget);
    const double longTokens = options.longShareOfTarget * targetMs * options.prefillTokensPerMs;
    return static_cast<double>(promptTokens) > longTokens ? engine_lane::Long : engine_lane::Short;
}

double shortLaneShare(const lane_work &work, std::size_t engines,
                      const engine_lane_options &options)
{
    if (engines < options.minEngines)
        return 0.0;
    const double half = options.priorTokens / 2.0;
    const double shortTokens = work.shortTokens + half;
    const double longTokens = work.longTokens + half;
    const double share = shortTokens / (shortTokens + longTokens);
    if (share < options.minWorkShare || share > 1.0 - options.minWorkShare)
        return 0.0;
    return std::min(options.shortLaneWeight * share, options.maxShortShare);
}

void assignLanes(std::vector<endpoint_candidate> &candidates, double shortShare)
{
    if (shortShare <= 0.0 || candidates.empty())
        return;
    std::vector<std::pair<std::uint64_t, endpoint_candidate *>> ranked;
    ranked.reserve(candidates.size());
    for (endpoint_candidate &candidate : candidates)
        ranked.emplace_back(rankOf(candidate.id), &candidate);
    const auto count = std::clamp<std::ptrdiff_t>(
            std::lround(shortShare * static_cast<double>(ranked.size())), 1,
            static_cast<std::ptrdiff_t>(ranked.size()) - 1);
    std::nth_element(ranked.begin(), ranked.begin() + count, ranked.end());
    for (auto row = ranked.begin(); row != ranked.end(); ++row)
        row->second->lane = row - ranked.begin() < count ? engine_lane::Short : engine_lane::Long;
}

} // namespace burdockhold
