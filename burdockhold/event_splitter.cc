#include "burdockhold/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>
#include <utility>

namespace burdockhold {

namespace {

// Large enough for several hundred tokens, small enough for a small VM on which every stream
// buffers an incomplete event.
constexpr std::size_t MaxEventBytes = std::size_t(128) * 1024;

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

std::string_view withoutByteOrderMark(std::string_view text)
{
    if (text.substr(0, ByteOrderMark.size()) == ByteOrderMark)
        text.remove_prefix(ByteOrderMark.size());
    return text;
}

constexpr std::string_view LineEnds[] = { "", "\n", "\r\n", "\r" }; // By line_end.

std::string_view textOf(line_end end)
{
    return LineEnds[static_cast<std::size_t>(end)];
}

/// Removes the first line and its end, which is LF, CR LF or CR, and returns it without its end.
/// Returns nothing if the line has not ended.
std::optional<std::string_view> takeLine(std::string_view &text)
{
    const std::size_t end = text.find_first_of("\r\n");
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + (text.substr(end, 2) == "\r\n" ? 2 : 1));
    return line;
}

/// Returns the name of the line's field. A line without a colon is the name of an empty field.
std::string_view fieldName(std::string_view line)
{
    return line.substr(0, line.find(':'));
}

/// Returns whether the line may be one of an event stream. The format ignores unknown fields, but
/// no engine sends one without a colon.
bool isFieldOrComment(std::string_view line)
{
    if (line.find(':') != std::string_view::npos)
        return true;
    return line == "data" || line == "id" || line == "event" || line == "retry";
}

/// The beginning of a stream's text.
enum class block_state {
    Incomplete,
    WithoutData, ///< Whole blocks without data, and nothing or the beginning of another block.
    Complete,    ///< An event, or comments and blank lines.
    Foreign,     ///< It is not the text of an event stream.
};

struct first_block
{
    block_state state = block_state::Incomplete;
    std::size_t size = 0; ///< Of the whole blocks.
    bool hasBlockWithoutData = false;
};

/// Finds the first event of the text with the blocks without data before it, or the first comment.
first_block firstBlock(std::string_view text, line_end end)
{
    first_block found;
    const std::string_view endText = textOf(end);
    bool hasField = false;
    bool hasData = false;
    std::size_t at = 0;
    while (end != line_end::Unknown) {
        const std::size_t stop = text.find_first_of("\r\n", at);
        const std::string_view rest = text.substr(std::min(stop, text.size()));
        if (rest.size() < endText.size() && endText.substr(0, rest.size()) == rest)
            return found;
        if (rest.substr(0, endText.size()) != endText)
            return { block_state::Foreign };
        std::string_view line = text.substr(at, stop - at);
        line = at == 0 ? withoutByteOrderMark(line) : line;
        at = stop + endText.size();
        if (line.empty()) {
            if (hasData || !hasField)
                return { block_state::Complete, at, found.hasBlockWithoutData };
            found = { block_state::WithoutData, at, true };
        } else if (!isFieldOrComment(line)) {
            return { block_state::Foreign };
        }
        hasField = hasField || (!line.empty() && line.front() != ':');
        hasData = hasData || fieldName(line) == "data";
    }
    return found;
}

/// Returns the value of an id field. A space at its end is not part of a field that is sent on.
std::string_view idValue(std::string_view value)
{
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
    while (const auto line = takeLine(event)) {
        if (line->substr(0, 3) == "id:")
            id = idValue(line->substr(3));
    }
    return id;
}

/// Returns whether the block consists of comments and blank lines, which carry nothing. The last
/// line need not be complete.
bool isComment(std::string_view block)
{
    block = withoutByteOrderMark(block);
    while (const auto line = takeLine(block)) {
        if (!line->empty() && line->front() != ':')
            return false;
    }
    return block.empty() || block.front() == ':';
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
    learnLineEnd();
    std::string_view rest = m_partial;
    while (!m_failed) {
        const first_block found = firstBlock(rest, m_lineEnd);
        const bool doesNotFollow = m_awaitsFollowing && found.hasBlockWithoutData;
        m_failed = found.state == block_state::Foreign || doesNotFollow;
        if (m_failed || found.state != block_state::Complete)
            break;
        const std::string_view block = rest.substr(0, found.size);
        if (accept(block))
            complete.append(m_events > 1 ? withoutByteOrderMark(block) : block);
        rest.remove_prefix(block.size());
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    m_failed = m_failed || m_partial.size() > MaxEventBytes;
    return complete;
}

/// Learns the line end from the first one of the response. A CR at the end of the text may be the
/// beginning of CR LF.
void event_splitter::learnLineEnd()
{
    const std::size_t end = m_partial.find_first_of("\r\n");
    if (m_lineEnd != line_end::Unknown || end == std::string::npos)
        return;
    if (m_partial[end] == '\n')
        m_lineEnd = line_end::Lf;
    else if (end + 1 < m_partial.size())
        m_lineEnd = m_partial[end + 1] == '\n' ? line_end::CrLf : line_end::Cr;
}

std::string event_splitter::takeBlocksAtEnd()
{
    const first_block found = m_failed ? first_block() : firstBlock(m_partial, m_lineEnd);
    if (found.state != block_state::WithoutData || m_awaitsFollowing)
        return {};
    std::string blocks = m_partial.substr(0, found.size);
    m_partial.erase(0, found.size);
    return blocks;
}

void event_splitter::continueElsewhere()
{
    if (!m_failed && !isComment(m_partial + m_incomplete)) {
        const auto id = parseNumber(eventId(m_partial));
        const auto last = parseNumber(m_lastId);
        const bool mayBeRepeated = m_awaitsFollowing && !m_lastId.empty()
                                   && !(id && last && *id > *last);
        if (!mayBeRepeated) {
            m_lacksBegunEvent = true;
            // An id that does not grow is the beginning of one that does.
            m_begunId = id && last && *id <= *last ? std::nullopt : id;
        }
    }
    m_partial.clear();
    m_incomplete.clear();
    m_lineEnd = line_end::Unknown;
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
