#ifndef BURDOCKHOLD_EVENT_SPLITTER_H
#define BURDOCKHOLD_EVENT_SPLITTER_H

// Splits a stream of server-sent events into complete events without changing a byte, so that a
// stream that breaks off inside an event can be resumed after the last complete one.
//
// - An endpoint that continues a stream may first send events again; those whose numeric id is not
//   above the last id are dropped. Later in its response such an id makes the stream fail.
// - The first new event of a continuation must follow the stream, or the stream fails before any of
//   its bytes is returned. It must have an id. It must not skip ids in a stream that has numbered
//   its events one by one, nor the id of an event that an earlier endpoint had begun.
// - Lines end with LF, CR LF or CR, and a blank line ends an event.
// - Comments and blank lines are not events. They are returned, but not at the start of a
//   continuation.
// - Memory is bounded by the largest event; an event above 128 KiB makes the stream fail.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhold {

class event_splitter
{
public:
    /// The stream begins after the event with this id; empty for its first event.
    explicit event_splitter(std::string resumeAfter = {});

    /// Appends bytes and returns the events and comments that they complete.
    std::string add(std::string_view bytes);

    /// The next bytes come from another endpoint, which continues the stream. Drops the bytes of an
    /// incomplete event and a failure of the previous endpoint.
    void continueElsewhere();

    /// Returns whether another endpoint can continue the stream: the last event returned, if any,
    /// had an id.
    bool canContinue() const { return m_events == 0 || m_lastEventHadId; }

    /// True while bytes of an incomplete event are buffered.
    bool hasPartial() const { return !m_partial.empty(); }

    /// Returns whether an endpoint had begun an event that has not arrived since. So the stream is
    /// not complete.
    bool lacksBegunEvent() const { return m_lacksBegunEvent; }

    /// True once an event has exceeded the limit, ids do not grow, or a continuation does not
    /// follow the stream; no more events are returned.
    bool failed() const { return m_failed; }

    /// Returns the id of the last event returned that had one, or the id given at the start.
    const std::string &lastId() const { return m_lastId; }

    /// Returns the number of events returned, without comments.
    std::uint64_t events() const { return m_events; }

private:
    bool accept(std::string_view block);
    bool acceptEvent(std::string_view event);
    bool follows(std::string_view id) const;
    void recordNumber(std::uint64_t number, std::optional<std::uint64_t> last);

    std::string m_partial;
    std::string m_lastId;
    std::uint64_t m_events = 0;
    bool m_lastEventHadId = false;
    bool m_hasNumbers = false;      ///< Some id was a number and could be compared.
    bool m_numberedOneByOne = true; ///< Each numeric id so far, from 0 or 1 on, is the next one.
    bool m_awaitsFollowing = false; ///< The next new event must follow the last one returned.
    bool m_lacksBegunEvent = false;
    /// Numeric id of the event that an earlier endpoint had begun and that has not arrived since.
    std::optional<std::uint64_t> m_begunId;
    bool m_failed = false;
};

} // namespace burdockhold

#endif
