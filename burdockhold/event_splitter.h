#ifndef BURDOCKHOLD_EVENT_SPLITTER_H
#define BURDOCKHOLD_EVENT_SPLITTER_H

// Splits a stream of server-sent events into complete events without changing a byte, so that a
// stream that breaks off inside an event can be resumed after the last complete one.
//
// An event whose numeric id is not above the last id returned is dropped, because an endpoint that
// resumes a stream may send the last event again. Memory is bounded by the largest event; an event
// above 128 KiB makes the stream fail.

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhold {

class event_splitter
{
public:
    /// Appends bytes and returns the events that they complete.
    std::string add(std::string_view bytes);

    /// Drops the bytes of an incomplete event before the stream migrates to another endpoint.
    void dropPartial() { m_partial.clear(); }

    /// True while bytes of an incomplete event are buffered.
    bool hasPartial() const { return !m_partial.empty(); }

    /// True once an event has exceeded the limit; no more events are returned.
    bool failed() const { return m_failed; }

    /// Returns the id of the last event returned that had one, or an empty string.
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
