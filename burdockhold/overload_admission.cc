#include "burdockhold/overload_admission.h"

#include <algorithm>

namespace burdockhold {

namespace {

// withJitter() adds up to half to a pause, and a caller's pause is at most a third of its time.
constexpr double LongestPauseShare = 1.0 / 3.0 / 1.5;

} // namespace

duration longestPause(duration timeLeft)
{
    return fromSeconds(LongestPauseShare * std::max(0.0, toSeconds(timeLeft)));
}

overload_admission::overload_admission(overload_admission_options options)
    : m_options(options)
{
}

overload_verdict overload_admission::decide(const waiting_room &room,
                                            const waiting_request &request, time_point now) const
{
    overload_verdict verdict;
    verdict.expectedWait = room.expectedWait(request, now);
    const duration longest = request.deadlineAt - request.expectedRun - now;
    verdict.mayWait = verdict.expectedWait <= longest && longest >= duration::zero();
    return verdict;
}

duration overload_admission::refuse(const waiting_room &room, const waiting_request &request,
                                    time_point callerEnd, std::uint64_t requestHash, time_point now)
{
    forgetOld(now);
    if (m_refusals.size() < m_options.maxRefused) {
        m_refused[requestHash] = now;
        m_refusals.emplace_back(now, requestHash);
    }
    const double rate = room.tokensPerSecond(request.priority, now);
    const double tokens = std::max(1.0, static_cast<double>(request.tokens));
    const duration own = rate > 0.0 ? std::min(m_options.maxPromise, fromSeconds(tokens / rate))
                                    : duration::zero();
    // A request that comes back may wait until its target once more.
    const duration mayWait = request.targetAt - request.arrivedAt;
    const duration wait = std::min<duration>(room.expectedWait(request, now), m_options.maxPromise);
    const time_point turn = std::max(m_promisedUntil, now + wait - mayWait) + own;
    m_promisedUntil = std::clamp(turn, now, now + m_options.maxPromise);
    const duration pause = std::max<duration>(m_promisedUntil - now, MinPause);
    return std::max<duration>(MinPause, std::min(pause, longestPause(callerEnd - now)));
}

bool overload_admission::takeReturning(std::uint64_t requestHash, time_point now)
{
    forgetOld(now);
    return m_refused.erase(requestHash) > 0;
}

void overload_admission::forgetOld(time_point now)
{
    while (!m_refusals.empty() && m_refusals.front().first + m_options.returnTime < now) {
        const auto [refusedAt, hash] = m_refusals.front();
        m_refusals.pop_front();
        const auto found = m_refused.find(hash);
        if (found != m_refused.end() && found->second <= refusedAt)
            m_refused.erase(found);
    }
}

} // namespace burdockhold
