#include "burdockhold/endpoint_pause.h"

#include <algorithm>

namespace burdockhold {

duration confirmedPause(duration stated, duration restOfEarlier, double confirmingShare)
{
    const bool confirms = toSeconds(stated) >= confirmingShare * toSeconds(restOfEarlier);
    return confirms ? std::max(stated, restOfEarlier) : stated;
}

bool endpoint_pause::recordLeaving()
{
    const bool isNew = !m_leaving;
    m_leaving = true;
    return isNew;
}

bool endpoint_pause::recordPause(duration stated, double spread, time_point now)
{
    const bool isNew = !isPausing(now);
    if (isNew)
        m_outlasted = now < m_statedEnd ? std::min(m_outlasted + 1, m_options.maxPauses.size() - 1)
                                        : 0;
    const duration rest = now < m_statedEnd ? m_statedEnd - now : duration::zero();
    m_statedEnd = std::max(m_statedEnd, now + stated);
    const duration wanted = confirmedPause(stated, rest, m_options.confirmingShare);
    const duration pause = std::min(wanted, m_options.maxPauses[m_outlasted]);
    const duration maxSpread = std::min(fromSeconds(m_options.returnSpreadShare * toSeconds(pause)),
                                        m_options.maxReturnSpread);
    const duration lengthening = fromSeconds(std::clamp(spread, 0.0, 1.0) * toSeconds(maxSpread));
    m_pausedUntil = std::max(m_pausedUntil, now + pause + lengthening);
    beginPause();
    return isNew;
}

void endpoint_pause::limitCalls()
{
    if (!isLimited())
        beginPause();
}

void endpoint_pause::beginPause()
{
    ++m_pauses;
    m_window = 1;
    m_unanswered = 0;
}

endpoint_pause::state endpoint_pause::stateAt(time_point now) const
{
    if (m_leaving)
        return state::Leaving;
    const bool mayStart = !isPausing(now) && (!isLimited() || m_unanswered < m_window);
    return mayStart ? state::Open : state::Paused;
}

std::uint32_t endpoint_pause::callStarted(time_point now)
{
    if (!isLimited() || isPausing(now))
        return 0;
    ++m_unanswered;
    return m_pauses;
}

void endpoint_pause::callAccepted(std::uint32_t pause)
{
    if (pause != m_pauses || !isLimited())
        return;
    m_statedEnd = time_point::min();
    m_unanswered = std::max(0, m_unanswered - 1);
    if (++m_window >= m_options.openWindow)
        m_window = 0;
}

void endpoint_pause::callEnded(std::uint32_t pause)
{
    if (pause == m_pauses && isLimited())
        m_unanswered = std::max(0, m_unanswered - 1);
}

} // namespace burdockhold
