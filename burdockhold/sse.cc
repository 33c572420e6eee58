#include "burdockhold/sse.h"

#include <utility>

namespace burdockhold {

sse_parser::sse_parser(std::size_t maxEventBytes)
    : m_maxEventBytes(maxEventBytes)
{
}

result<success, sse_error> sse_parser::feed(std::string_view bytes, std::vector<sse_event> &events)
{
    for (const char byte : bytes) {
        if (!m_failed && ++m_eventBytes > m_maxEventBytes)
            m_failed = true;
        if (m_failed)
            return basic_error<sse_error>{ sse_error::EventTooLarge,
                                           "an event exceeds the size limit", "" };
        if (byte == '\n')
            endLine(events);
        else
            m_line.push_back(byte);
    }
    return success{};
}

void sse_parser::endLine(std::vector<sse_event> &events)
{
    if (!m_line.empty() && m_line.back() == '\r')
        m_line.pop_back();
    if (!m_line.empty()) {
        applyField();
        m_line.clear();
        return;
    }
    if (m_hasData)
        events.push_back(std::move(m_event));
    m_event = {};
    m_hasData = false;
    m_eventBytes = 0;
}

void sse_parser::applyField()
{
    const std::string_view line = m_line;
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);

    if (name == "event") {
        m_event.name = value;
    } else if (name == "data") {
        if (m_hasData)
            m_event.data.push_back('\n');
        m_event.data.append(value);
        m_hasData = true;
    }
}

std::string formatEvent(const sse_event &event)
{
    std::string bytes;
    if (!event.name.empty())
        bytes += "event: " + event.name + "\n";
    std::size_t start = 0;
    for (;;) {
        const std::size_t end = event.data.find('\n', start);
        bytes += "data: ";
        bytes.append(event.data, start, end == std::string::npos ? end : end - start);
        bytes += "\n";
        if (end == std::string::npos)
            break;
        start = end + 1;
    }
    return bytes + "\n";
}

} // namespace burdockhold
