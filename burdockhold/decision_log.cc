#include "burdockhold/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace burdockhold {

namespace {

/// Limit of failure lines as a multiple of that of success lines.
constexpr double FailureRateFactor = 4.0;

std::int64_t wallClockMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace

decision_log::decision_log(std::string vm, decision_log_options options)
    : m_vm(std::move(vm))
    , m_options(options)
    , m_successTokens(options.linesPerSecond)
    , m_failureTokens(FailureRateFactor * options.linesPerSecond)
{
    const int flags = ::fcntl(m_options.descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(m_options.descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool decision_log::accepts(log_priority priority, time_point now)
{
    refill(now);
    bool accepted = m_queuedBytes < m_options.queueBytes;
    if (priority == log_priority::Success) {
        accepted = accepted && m_successTokens >= 1.0 && m_queuedBytes < m_options.queueBytes / 4;
        m_successTokens -= accepted ? 1.0 : 0.0;
    } else if (priority == log_priority::Failure) {
        accepted = accepted && m_failureTokens >= 1.0 && m_queuedBytes < m_options.queueBytes / 2;
        m_failureTokens -= accepted ? 1.0 : 0.0;
    }
    if (!accepted)
        ++m_dropped;
    return accepted;
}

void decision_log::write(log_event event, const nlohmann::ordered_json &fields, time_point now)
{
    nlohmann::ordered_json line{ { "t", wallClockMs() },
                                 { "up_ms", now.time_since_epoch().count() / 1000000 },
                                 { "vm", m_vm },
                                 { "event", nameOf(event) } };
    line.update(fields);
    std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    text += '\n';
    m_queuedBytes += text.size();
    m_queue.push_back(std::move(text));
}

void decision_log::flush()
{
    while (!m_queue.empty()) {
        const std::string &line = m_queue.front();
        const ssize_t written = ::write(m_options.descriptor, line.data() + m_frontBytesWritten,
                                        line.size() - m_frontBytesWritten);
        // A full pipe is retried at the next flush. So is any other failure, as there is nowhere
        // to report it.
        if (written <= 0)
            return;
        m_frontBytesWritten += static_cast<std::size_t>(written);
        if (m_frontBytesWritten < line.size())
            continue;
        m_queuedBytes -= line.size();
        m_frontBytesWritten = 0;
        m_queue.pop_front();
    }
    if (m_dropped != m_reportedDropped) {
        m_reportedDropped = m_dropped;
        write(log_event::LinesDropped, { { "total", m_dropped } }, steadyNow());
    }
}

void decision_log::refill(time_point now)
{
    const double seconds = std::max(0.0, toSeconds(now - m_refilledAt));
    m_refilledAt = now;
    const double rate = m_options.linesPerSecond;
    m_successTokens = std::min(rate, m_successTokens + seconds * rate);
    m_failureTokens = std::min(FailureRateFactor * rate,
                               m_failureTokens + seconds * FailureRateFactor * rate);
}

} // namespace burdockhold
