#include "burdockhold/pace_limit.h"

#include <algorithm>
#include <cmath>

namespace burdockhold {

namespace {

constexpr double Infinity = std::numeric_limits<double>::infinity();

} // namespace

pace_limit::pace_limit(pace_limit_options options)
    : m_options(options)
{
}

void pace_limit::started(time_point now)
{
    m_growth = growth::Doubling;
    m_tokens = m_options.floorTokens;
    m_since = now;
    m_lateEvents = 0;
    m_closedUntil = time_point::min();
}

void pace_limit::setVms(std::size_t vms)
{
    m_vms = std::max<std::size_t>(1, vms);
}

double pace_limit::ceilingTokens() const
{
    return std::max(m_options.ceilingTokens, MinVmTokens * static_cast<double>(m_vms));
}

/// Returns the limit from events alone; at least the floor.
double pace_limit::ownTokens(time_point now) const
{
    const double seconds = std::max(0.0, toSeconds(now - m_since));
    switch (m_growth) {
    case growth::Unlimited:
        return Infinity;
    case growth::Doubling:
        return m_tokens * std::exp2(seconds / toSeconds(m_options.doublingTime));
    case growth::Linear:
        return m_tokens + seconds * m_options.linearGrowth * ceilingTokens();
    }
    return Infinity;
}

double pace_limit::tokens(time_point now) const
{
    if (now < m_closedUntil)
        return 0.0;
    const double own = ownTokens(now);
    const double bounded = own >= ceilingTokens() ? Infinity : own;
    return now < m_statedUntil ? std::min(bounded, m_statedTokens) : bounded;
}

void pace_limit::firstEvent(double expectedMs, double actualMs, std::int64_t tokens, time_point now)
{
    if (!(expectedMs > 0.0) || !(actualMs > 0.0) || !std::isfinite(expectedMs)
        || !std::isfinite(actualMs) || tokens < 0)
        return;
    const double latestMs = std::max(m_options.lateFactor * expectedMs,
                                     expectedMs + 1000.0 * toSeconds(m_options.minLateness));
    const bool isLate = actualMs > latestMs;
    m_lateEvents = isLate ? m_lateEvents + 1 : 0;
    if (ownTokens(now) >= ceilingTokens()) {
        if (m_lateEvents >= m_options.maxLateEvents)
            reduce(m_options.lateReduction, now);
        else
            m_growth = growth::Unlimited;
        return;
    }
    if (isLate) {
        reduce(m_options.lateReduction, now);
    } else if (m_growth == growth::Doubling) {
        m_tokens = ownTokens(now) + static_cast<double>(tokens);
        m_since = std::max(m_since, now);
    }
}

void pace_limit::failed(time_point now)
{
    const bool isLimited = ownTokens(now) < ceilingTokens();
    ++m_lateEvents;
    if (!isLimited && m_lateEvents < m_options.maxLateEvents)
        return;
    reduce(m_options.failureReduction, now);
    m_closedUntil = now + m_options.holdTime;
}

/// Reduces the limit and ends its doubling. A reduction within the hold time of the last one has no
/// effect.
void pace_limit::reduce(double factor, time_point now)
{
    if (m_growth == growth::Linear && now < m_since)
        return;
    const double present = std::min(ownTokens(now), ceilingTokens());
    m_growth = growth::Linear;
    m_tokens = std::max(m_options.floorTokens, factor * present);
    m_since = now + m_options.holdTime;
    m_lateEvents = 0;
}

void pace_limit::limitTo(double tokens, time_point until)
{
    if (!(tokens >= 0.0))
        return;
    m_statedTokens = tokens;
    m_statedUntil = until;
}

duration pace_limit::recoveryTime() const
{
    return m_options.holdTime + fromSeconds(1.0 / m_options.linearGrowth);
}

double tokensOfVm(double limit, std::size_t vms, double draw)
{
    if (std::isinf(limit))
        return limit;
    const double all = std::max(1.0, static_cast<double>(vms));
    const double users = std::clamp(std::floor(limit / MinVmTokens), 1.0, all);
    return draw * all < users ? limit / users : 0.0;
}

} // namespace burdockhold
