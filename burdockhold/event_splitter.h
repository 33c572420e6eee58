#ifndef BURDOCKHOLD_EVENT_SPLITTER_H
#define BURDOCKHOLD_EVENT_SPLITTER_H

// Splits a stream of server-sent events into whole events without changing a byte, so that a stream
// that breaks off inside an event can be continued after the last whole one.
//
// Events whose number is not above that of an event already returned are dropped: an endpoint that
// continues a stream may repeat the last one. Memory is bounded by the largest event; one above
// 128 KiB makes the stream fail.

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhold {

class event_splitter
{
public:
    /// Adds bytes and returns the whole events that they complete.
    std::string add(std::string_view bytes);

    /// Drops the bytes of an event that was cut off, before the stream goes on elsewhere.
    void dropPartial() { m_partial.clear(); }

    /// True while an event has begun and not ended.
    bool hasPartial() const { return !m_partial.empty(); }

    /// True once an event has exceeded the limit; nothing is returned from then on.
    bool failed() const { return m_failed; }

    /// Id of the last event returned; empty before the first one with an id.
    const std::string &lastId() const { return m_lastId; }

    std::uint64_t events() const { return m_events; }

private:
    bool accept(std::string_view event);

    std::string m_partial;
    std::string m_lastId;
    std::uint64_t m_events = 0;
    bool m_failed = false;
};

} // namespace burdockhold

#endif
