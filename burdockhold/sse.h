#ifndef BURDOCKHOLD_SSE_H
#define BURDOCKHOLD_SSE_H

// Server-sent events: an incremental parser and a writer. The parser takes bytes in pieces of any
// size and yields the same events for every split. Lines end in LF or CRLF; comments and fields
// other than "event" and "data" are skipped. Memory is bounded by the largest event allowed.

#include "burdockhold/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

struct sse_event
{
    std::string name; ///< Empty when the event has no "event" field.
    std::string data; ///< "data" lines joined by LF.
};

enum class sse_error { EventTooLarge };

/// Bytes of one event, including field names and line ends, that a parser accepts by default.
inline constexpr std::size_t DefaultMaxEventBytes = 1 << 20;

class sse_parser
{
public:
    explicit sse_parser(std::size_t maxEventBytes = DefaultMaxEventBytes);

    /// Parses further bytes and appends each completed event to events. Fails with EventTooLarge
    /// when an event exceeds the bound; events completed before it are kept, and every later call
    /// fails too.
    result<success, sse_error> feed(std::string_view bytes, std::vector<sse_event> &events);

    /// Returns true when no event has been started and left unfinished.
    bool atBoundary() const { return m_eventBytes == 0; }

private:
    void endLine(std::vector<sse_event> &events);
    void applyField();

    std::size_t m_maxEventBytes;
    std::size_t m_eventBytes = 0;
    bool m_failed = false;
    bool m_hasData = false;
    std::string m_line;
    sse_event m_event;
};

/// Returns the bytes of one event. Data with line ends is written as several "data" lines.
std::string formatEvent(const sse_event &event);

} // namespace burdockhold

#endif
