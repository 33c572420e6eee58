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

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

std::string_view withoutByteOrderMark(std::string_view text)
{
    if (text.substr(0, ByteOrderMark.size()) == ByteOrderMark)
        text.remove_prefix(ByteOrderMark.size());
    return text;
}

/// Returns the value of an id field. A CR ends the line, and a space at its end is not part of a
/// field that is sent on.
std::string_view idValue(std::string_view value)
{
    value = value.substr(0, value.find('\r'));
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    const std::size_t last = value.find_last_not_of(" \t");
    value = value.substr(0, last == std::string_view::npos ? 0 : last + 1);
    return value.find('\0') == std::string_view::npos ? value : std::string_view();
}

/// Returns the id of an event, or of the part of it that has arrived: its last complete id line.
std::string_view eventId(std::string_view event)
{
    std::string_view id;
    event = withoutByteOrderMark(event);
    for (std::size_t end = event.find('\n'); end != std::string_view::npos;
         end = event.find('\n')) {
        if (event.substr(0, 3) == "id:")
            id = idValue(event.substr(3, end - 3));
        event.remove_prefix(end + 1);
    }
    return id;
}

/// Returns whether the block consists of comments and blank lines, which carry nothing.
bool isComment(std::string_view block)
{
    block = withoutByteOrderMark(block);
    while (!block.empty()) {
        if (block.front() != '\n' && block.front() != ':')
            return false;
        const std::size_t end = block.find('\n');
        if (end == std::string_view::npos)
            return true;
        block.remove_prefix(end + 1);
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
    , m_awaitsFollowing(!m_lastId.empty())
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
            complete.append(m_events > 1 ? withoutByteOrderMark(event) : event);
        begin = next;
    }
    m_partial.erase(0, begin);
    m_failed = m_failed || m_partial.size() > MaxEventBytes;
    return complete;
}

void event_splitter::continueElsewhere()
{
    if (!m_failed && !isComment(m_partial)) {
        const auto id = parseNumber(eventId(m_partial));
        const auto last = parseNumber(m_lastId);
        const bool mayBeRepeated = m_awaitsFollowing && !m_lastId.empty()
                                   && !(id && last && *id > *last);
        if (!mayBeRepeated) {
            m_lacksBegunEvent = true;
            m_begunId = id;
        }
    }
    m_partial.clear();
    m_failed = false;
    m_awaitsFollowing = m_events > 0 || !m_lastId.empty() || m_begunId;
}

/// Returns whether an event with this id follows the last one. Ids need not be numbers, but then
/// nothing tells whether events are missing.
bool event_splitter::follows(std::string_view id) const
{
    const auto number = parseNumber(id);
    if (m_begunId && (!number || *number > *m_begunId))
        return false;
    const auto last = parseNumber(m_lastId);
    if (!last)
        return !id.empty();
    const bool mustBeNext = m_hasNumbers && m_numberedOneByOne;
    return number && (!mustBeNext || *number == *last + 1);
}

bool event_splitter::accept(std::string_view block)
{
    if (isComment(block))
        return !m_awaitsFollowing;
    return acceptEvent(block);
}

bool event_splitter::acceptEvent(std::string_view event)
{
    const std::string_view id = eventId(event);
    const auto number = parseNumber(id);
    const auto last = parseNumber(m_lastId);
    if (number && last && *number <= *last) {
        m_failed = !m_awaitsFollowing;
        return false;
    }
    if (m_awaitsFollowing && !follows(id)) {
        m_failed = true;
        return false;
    }
    m_awaitsFollowing = false;
    m_lacksBegunEvent = false;
    m_begunId.reset();
    if (number)
        recordNumber(*number, last);
    m_lastEventHadId = !id.empty();
    if (!id.empty())
        m_lastId = std::string(id);
    ++m_events;
    return true;
}

void event_splitter::recordNumber(std::uint64_t number, std::optional<std::uint64_t> last)
{
    m_hasNumbers = true;
    m_numberedOneByOne = m_numberedOneByOne && (last ? number == *last + 1 : number <= 1);
}

} // namespace burdockhold
