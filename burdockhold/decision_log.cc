#include "burdockhold/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace burdockhold {

namespace {

constexpr double FailureFactor = 4.0;

std::int64_t wallClockMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace

decision_log::decision_log(std::string vm, decision_log_options options)
    : m_vm(std::move(vm))
    , m_options(options)
    , m_successLines(options.linesPerSecond)
    , m_failureLines(FailureFactor * options.linesPerSecond)
{
    const int flags = ::fcntl(m_options.descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(m_options.descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool decision_log::accepts(log_priority weight, time_point now)
{
    refill(now);
    bool kept = m_queuedBytes < m_options.queueBytes;
    if (weight == log_priority::Success) {
        kept = kept && m_successLines >= 1.0 && m_queuedBytes < m_options.queueBytes / 4;
        m_successLines -= kept ? 1.0 : 0.0;
    } else if (weight == log_priority::Failure) {
        kept = kept && m_failureLines >= 1.0 && m_queuedBytes < m_options.queueBytes / 2;
        m_failureLines -= kept ? 1.0 : 0.0;
    }
    if (!kept)
        ++m_dropped;
    return kept;
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
        const ssize_t written = ::write(m_options.descriptor, line.data() + m_writtenOfFirst,
                                        line.size() - m_writtenOfFirst);
        // A full pipe is tried again at the next flush; so is any other failure, since there is no
        // place left to report it.
        if (written <= 0)
            return;
        m_writtenOfFirst += static_cast<std::size_t>(written);
        if (m_writtenOfFirst < line.size())
            continue;
        m_queuedBytes -= line.size();
        m_writtenOfFirst = 0;
        m_queue.pop_front();
    }
    if (m_dropped != m_droppedReported) {
        m_droppedReported = m_dropped;
        write(log_event::LinesDropped, { { "total", m_dropped } }, steadyNow());
    }
}

void decision_log::refill(time_point now)
{
    const double seconds = std::max(0.0, toSeconds(now - m_refilledAt));
    m_refilledAt = now;
    const double most = m_options.linesPerSecond;
    m_successLines = std::min(most, m_successLines + seconds * most);
    m_failureLines = std::min(FailureFactor * most,
                              m_failureLines + seconds * FailureFactor * most);
}

} // namespace burdockhold
