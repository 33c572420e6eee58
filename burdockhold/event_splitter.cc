#include "burdockhold/event_splitter.h"

#include <charconv>
#include <optional>
#include <utility>

namespace burdockhold {

namespace {

// Large enough for several hundred tokens, small enough for a small VM on which every stream
// buffers an incomplete event.
constexpr std::size_t MaxEventBytes = std::size_t(128) * 1024;
constexpr std::string_view EventEnd = "\n\n";

std::string_view eventId(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        if (line.substr(0, 3) == "id:") {
            line.remove_prefix(3);
            if (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            return line;
        }
        event.remove_prefix(std::min(end + 1, event.size()));
    }
    return {};
}

/// Returns whether the event consists of comments and blank lines, which carry nothing.
bool isComment(std::string_view event)
{
    while (!event.empty()) {
        if (event.front() != '\n' && event.front() != ':')
            return false;
        event.remove_prefix(std::min(event.find('\n') + 1, event.size()));
    }
    return true;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

event_splitter::event_splitter(std::string resumeAfter)
    : m_lastId(std::move(resumeAfter))
{
}

std::string event_splitter::add(std::string_view bytes)
{
    std::string complete;
    if (m_failed)
        return complete;
    m_partial.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = m_partial.find(EventEnd); end != std::string::npos && !m_failed;
         end = m_partial.find(EventEnd, begin)) {
        const std::size_t next = end + EventEnd.size();
        const std::string_view event = std::string_view(m_partial).substr(begin, next - begin);
        if (accept(event))
            complete.append(event);
        begin = next;
    }
    m_partial.erase(0, begin);
    m_failed = m_failed || m_partial.size() > MaxEventBytes;
    return complete;
}

void event_splitter::continueElsewhere()
{
    m_partial.clear();
    m_failed = false;
    m_awaitsFollowing = m_events > 0;
}

/// Returns whether an event with this id follows the last one. Ids need not be numbers, but then
/// nothing tells whether events are missing.
bool event_splitter::follows(std::string_view id) const
{
    const auto number = parseNumber(id);
    const auto last = parseNumber(m_lastId);
    if (!last)
        return !id.empty();
    return number && (!m_numberedOneByOne || *number == *last + 1);
}

bool event_splitter::accept(std::string_view event)
{
    const std::string_view id = eventId(event);
    const auto number = parseNumber(id);
    const auto last = parseNumber(m_lastId);
    if (number && last && *number <= *last)
        return false;
    if (m_awaitsFollowing) {
        if (isComment(event))
            return false;
        m_failed = !follows(id);
        if (m_failed)
            return false;
        m_awaitsFollowing = false;
    }
    if (number)
        m_numberedOneByOne = m_numberedOneByOne && (last ? *number == *last + 1 : *number <= 1);
    if (!isComment(event))
        m_lastEventHadId = !id.empty();
    if (!id.empty())
        m_lastId = std::string(id);
    ++m_events;
    return true;
}

} // namespace burdockhold
