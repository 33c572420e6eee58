#ifndef BURDOCKHOLD_EVENT_SPLITTER_H
#define BURDOCKHOLD_EVENT_SPLITTER_H

// Splits a stream of server-sent events into complete events without changing a byte, so that a
// stream that breaks off inside an event can be resumed after the last complete one.
//
// An event whose numeric id is not above the last id returned is dropped, because an endpoint that
// resumes a stream may send the last event again. A continuation whose first new event does not
// follow the last one returned makes the stream fail before any of its bytes is returned: it has no
// id, or skips ids in a stream that has numbered its events one by one from 0 or 1. Memory is
// bounded by the largest event; an event above 128 KiB makes the stream fail.

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhold {

class event_splitter
{
public:
    /// The stream begins after the event with this id; empty for its first event.
    explicit event_splitter(std::string resumeAfter = {});

    /// Appends bytes and returns the events that they complete.
    std::string add(std::string_view bytes);

    /// The next bytes come from another endpoint, which continues the stream. Drops the bytes of an
    /// incomplete event and a failure of the previous endpoint.
    void continueElsewhere();

    /// Returns whether another endpoint can continue the stream: the last event returned, if any,
    /// had an id.
    bool canContinue() const { return m_events == 0 || m_lastEventHadId; }

    /// True while bytes of an incomplete event are buffered.
    bool hasPartial() const { return !m_partial.empty(); }

    /// True once an event has exceeded the limit or a continuation does not follow the stream; no
    /// more events are returned.
    bool failed() const { return m_failed; }

    /// Returns the id of the last event returned that had one, or the id given at the start.
    const std::string &lastId() const { return m_lastId; }

    std::uint64_t events() const { return m_events; }

private:
    bool accept(std::string_view event);
    bool follows(std::string_view id) const;

    std::string m_partial;
    std::string m_lastId;
    std::uint64_t m_events = 0;
    bool m_lastEventHadId = false;
    /// Each numeric id so far is the one before it plus 1, and the first one is 0 or 1.
    bool m_numberedOneByOne = true;
    bool m_awaitsFollowing = false; ///< The next new event must follow the last one returned.
    bool m_failed = false;
};

} // namespace burdockhold

#endif
