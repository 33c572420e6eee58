#ifndef BURDOCKHOLD_DRAIN_RATE_H
#define BURDOCKHOLD_DRAIN_RATE_H

// How fast waiting requests are placed, in tokens per second.
//
// Promise: only time during which something waited counts, so a pool without demand does not look
// slow. Older observations decay, so the rate follows a change of capacity within a few seconds.
// Time and memory are constant.

#include "burdockhold/clock.h"

#include <cmath>

namespace burdockhold {

class drain_rate
{
public:
    /// Observations lose half of their weight in this time.
    static constexpr duration HalfLife = std::chrono::seconds(1);
    /// Less observed waiting time than this says nothing about the rate: calls that began together
    /// end together, and until then nothing is placed.
    static constexpr duration MinObserved = std::chrono::milliseconds(300);

    /// Counts the time since the last observation. isBusy says whether something waited in it.
    void observe(bool isBusy, time_point now)
    {
        if (now <= m_observedAt)
            return;
        if (isBusy && m_observedAt != time_point::min()) {
            const double elapsed = toSeconds(now - m_observedAt);
            const double kept = std::exp2(-elapsed / toSeconds(HalfLife));
            m_tokens *= kept;
            m_busySeconds = m_busySeconds * kept + elapsed;
        }
        m_observedAt = now;
    }

    /// Counts a request that was placed.
    void placed(double tokens) { m_tokens += tokens; }

    /// Returns the rate in tokens per second, as if it was observed now and this many tokens more
    /// were placed; negative while it is unknown.
    double tokensPerSecond(bool isBusy, time_point now, double moreTokens = 0.0) const
    {
        drain_rate current = *this;
        current.observe(isBusy, now);
        return current.m_busySeconds < toSeconds(MinObserved)
                       ? -1.0
                       : (current.m_tokens + moreTokens) / current.m_busySeconds;
    }

private:
    double m_tokens = 0.0;
    double m_busySeconds = 0.0;
    time_point m_observedAt = time_point::min();
};

} // namespace burdockhold

#endif
