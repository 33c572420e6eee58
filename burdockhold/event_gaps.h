#ifndef BURDOCKHOLD_EVENT_GAPS_H
#define BURDOCKHOLD_EVENT_GAPS_H

// Measures the longest time between two events of a stream.
//
// Times in which the caller did not read do not count: the endpoint could send nothing then. Time
// and memory are constant.

#include "burdockhold/clock.h"

#include <algorithm>
#include <optional>

namespace burdockhold {

class event_gaps
{
public:
    void eventArrived(time_point now)
    {
        if (m_lastEvent)
            m_longest = std::max(m_longest, now - *m_lastEvent);
        m_lastEvent = now;
    }

    /// The caller reads again after a pause. Before the first event, this has no effect.
    void resumed(time_point now)
    {
        if (m_lastEvent)
            m_lastEvent = now;
    }

    duration longest() const { return m_longest; }

private:
    std::optional<time_point> m_lastEvent;
    duration m_longest = duration::zero();
};

} // namespace burdockhold

#endif
