#include "burdockhold/crash_guard.h"

namespace burdockhold {

bool showsCrash(const std::string &incarnation, poll_outcome outcome, const engine_load &load)
{
    switch (outcome) {
    case poll_outcome::Reported:
        return !incarnation.empty() && load.incarnation != incarnation;
    case poll_outcome::Refused:
    case poll_outcome::Failed:
        return true;
    case poll_outcome::TimedOut:
        break;
    }
    return false;
}

crash_guard::crash_guard(suspect_options options)
    : m_suspects(options)
{
}

void crash_guard::noteCrash(const crash_report &report)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_suspects.forgetExpired(report.time);
    m_suspects.add(report, report.time);
}

bool crash_guard::isRefused(const std::string &digest, log_time_ms now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_suspects.isRefused(digest, now);
}

std::string crash_guard::endpointFor(const std::string &digest,
                                     const std::vector<std::string> &endpoints,
                                     log_time_ms now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_suspects.endpointFor(digest, endpoints, now);
}

bool crash_guard::isSuspect(const std::string &digest, log_time_ms now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_suspects.strikes(digest, now) > 0;
}

std::vector<crash_report> crash_guard::reports(log_time_ms now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_suspects.reports(now);
}

void crash_guard::addReports(const std::vector<crash_report> &reports, log_time_ms now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const crash_report &report : reports)
        m_suspects.add(report, now);
}

} // namespace burdockhold
