#include "burdockhold/view_log.h"

#include "burdockhold/enum_names.h"

#include <chrono>
#include <utility>

namespace burdockhold {

namespace {

/// A response of this length takes over 50 ms on a link of 10 Mbit/s.
constexpr std::size_t LargeViewBytes = std::size_t(64) * 1024;

std::int64_t wholeMilliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Returns the age in milliseconds of what was confirmed at this boot time, or null if nothing was.
nlohmann::ordered_json ageSince(duration confirmedAt)
{
    if (confirmedAt < duration::zero())
        return nullptr;
    return wholeMilliseconds(bootTimeNow() - confirmedAt);
}

} // namespace

void view_log::report(bool readsLog, reading_cause cause, std::string_view requestedFrom)
{
    if (readsLog == m_readsLog && requestedFrom == m_requestedFrom)
        return;
    m_readsLog = readsLog;
    m_requestedFrom = requestedFrom;
    write(log_event::ViewSourceChanged,
          { { "reads_log", readsLog },
            { "cause", nameOf(cause) },
            { "from", m_requestedFrom },
            { "operator_age_ms", ageSince(m_board.deploymentConfirmedAt) },
            { "endpoints_age_ms", ageSince(m_board.endpointsConfirmedAt) } });
}

void view_log::reportFreshness(bool fresh, std::string_view from)
{
    if (fresh == m_fresh)
        return;
    m_fresh = fresh;
    write(log_event::ViewFreshnessChanged,
          { { "fresh", fresh },
            { "from", from },
            { "operator_age_ms", ageSince(m_board.deploymentConfirmedAt) },
            { "endpoints_age_ms", ageSince(m_board.endpointsConfirmedAt) } });
}

void view_log::transferEnded(std::string_view from, duration sentAt, const log_response &response,
                             bool isReadable)
{
    if (isReadable && response.receivedBytes < LargeViewBytes)
        return;
    write(isReadable ? log_event::ViewReceived : log_event::ViewRequestFailed,
          { { "from", from },
            { "status", response.status },
            { "bytes", response.receivedBytes },
            { "total_ms", wholeMilliseconds(bootTimeNow() - sentAt) } });
}

void view_log::readRepeated(std::string_view topic)
{
    write(log_event::LogReadRepeated, { { "topic", topic } });
}

void view_log::topicLoaded(std::string_view topic, const topic_load &load)
{
    write(log_event::TopicLoaded, { { "topic", topic },
                                    { "cause", nameOf(load.cause) },
                                    { "era", load.end.era },
                                    { "position", load.end.offset },
                                    { "records", load.records } });
}

void view_log::olderViewReceived(std::string_view from, std::string_view topic,
                                 const topic_view &view, const topic_position &own)
{
    write(log_event::ViewReceived, { { "from", from },
                                     { "topic", topic },
                                     { "older", true },
                                     { "era", view.era },
                                     { "own_era", own.era },
                                     { "position", view.position },
                                     { "own_position", own.offset } });
}

void view_log::write(log_event event, const nlohmann::ordered_json &fields)
{
    const time_point now = steadyNow();
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(event, fields, now);
}

} // namespace burdockhold
