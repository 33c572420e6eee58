#ifndef BURDOCKHOLD_EVENT_SPLITTER_H
#define BURDOCKHOLD_EVENT_SPLITTER_H

// Splits a stream of server-sent events into complete events without changing a byte, so that a
// stream that breaks off inside an event can be resumed after the last complete one.
//
// - An endpoint that continues a stream may first send events again; those whose numeric id is not
//   above the last id are dropped. Later in its response such an id makes the stream fail.
// - The first new event of a continuation must follow the stream, or the stream fails before any of
//   its bytes is returned. It must have an id, and no block without data may stand before it. It
//   must not skip ids in a stream that has numbered its events one by one, nor the id of an event
//   that an earlier endpoint had begun.
// - An event ends at the blank line after a field named data. By the format a block without data is
//   not an event; it is returned together with the event that follows, or by takeBlocksAtEnd(). So
//   the beginning of an event whose line or block was ended by other bytes is not returned, and its
//   id does not move the point of resumption.
// - Lines end with LF, CR LF or CR, and all lines of a response end alike. The format allows a
//   mixture, but an engine does not change in the middle of a response: what ends otherwise is not
//   the engine's text, such as the framing after a chunk that was cut off, and makes the stream
//   fail. So does a line that is neither a comment nor has a colon or the name of a field.
// - What cannot be told from a sound event by its text is returned: the beginning of an event with
//   data that is followed by a blank line with the stream's line ends. In a chunked response,
//   chunk_holdback.h keeps such bytes from the splitter.
// - Comments and blank lines are not events. They are returned, but not at the start of a
//   continuation.
// - Memory is bounded by the largest event; an event above 128 KiB makes the stream fail.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhold {

/// The ends of the lines of a response.
enum class line_end { Unknown, Lf, CrLf, Cr };

class event_splitter
{
public:
    /// The stream begins after the event with this id; empty for its first event.
    explicit event_splitter(std::string resumeAfter = {});

    /// Appends bytes and returns the events and comments that they complete.
    std::string add(std::string_view bytes);

    /// Returns the blocks without data that are buffered. To be called when the response is
    /// complete by its framing, which shows that they are whole.
    std::string takeBlocksAtEnd();

    /// Appends bytes that belong to an incomplete chunk of a response that has ended. They are not
    /// returned, and an id among them is not relied on, but they show that an event had begun.
    void addIncomplete(std::string_view bytes) { m_incomplete.append(bytes); }

    /// The next bytes come from another endpoint, which continues the stream. Drops the bytes of an
    /// incomplete event and a failure of the previous endpoint.
    void continueElsewhere();

    /// Returns whether another endpoint can continue the stream: the last event returned, if any,
    /// had an id.
    bool canContinue() const { return m_events == 0 || m_lastEventHadId; }

    /// True while bytes are buffered that are not a complete event.
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
    void learnLineEnd();
    bool accept(std::string_view block);
    bool acceptEvent(std::string_view event);
    bool follows(std::string_view id) const;
    void recordNumber(std::uint64_t number, std::optional<std::uint64_t> last);

    std::string m_partial;
    std::string m_incomplete; ///< Follows m_partial in the stream; see addIncomplete().
    line_end m_lineEnd = line_end::Unknown; ///< Of the current response.
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
