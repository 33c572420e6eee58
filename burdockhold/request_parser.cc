#include "burdockhold/request_parser.h"

#include "burdockhold/field_values.h"
#include "burdockhold/message_framing.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <utility>

namespace burdockhold {

namespace http = boost::beast::http;

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusBodyTooLarge = 413;
constexpr int StatusHeaderTooLarge = 431;

int statusForError(boost::system::error_code error)
{
    if (error == http::error::header_limit)
        return StatusHeaderTooLarge;
    return error == http::error::body_limit ? StatusBodyTooLarge : StatusBadRequest;
}

int statusForHead(const platform::http_request &message)
{
    const int status = statusForFraming({ message.version() >= FirstVersionWithChunks,
                                          valuesOf(message, "Transfer-Encoding"),
                                          valuesOf(message, "Content-Length") });
    const bool isHostRepeated = valuesOf(message, "Host").size() > 1;
    return status == 0 && isHostRepeated ? StatusBadRequest : status;
}

} // namespace

request_parser::request_parser(const caller_limits &limits)
    : m_maxHeaderBytes(limits.headerBytes)
{
    m_parser.eager(false); // Until the head is complete.
    m_parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    m_parser.body_limit(limits.bodyBytes);
}

bool request_parser::parse(std::string &input)
{
    const std::size_t before = input.size();
    const bool headWasComplete = isHeadComplete();
    feed(input);
    if (m_refusal == 0 && !headWasComplete && isHeadComplete())
        headCompleted();
    // An overlong header of a chunk, for example.
    const bool needsMore = headWasComplete && !m_parser.is_done();
    if (m_refusal == 0 && needsMore && input.size() > m_maxHeaderBytes)
        m_refusal = StatusHeaderTooLarge;
    return input.size() < before;
}

void request_parser::feed(std::string &input)
{
    boost::system::error_code error;
    const std::size_t consumed = m_parser.put(boost::asio::buffer(input), error);
    input.erase(0, consumed);
    if (error && error != http::error::need_more)
        m_refusal = statusForError(error);
}

void request_parser::headCompleted()
{
    const platform::http_request &message = m_parser.get();
    m_refusal = statusForHead(message);
    if (m_parser.chunked())
        m_headOfChunked = message.base();
    m_parser.eager(true);
}

std::optional<std::size_t> request_parser::statedLength() const
{
    const auto length = m_parser.content_length();
    return length ? std::optional<std::size_t>(*length) : std::nullopt;
}

bool request_parser::awaitsContinue() const
{
    const platform::http_request &message = m_parser.get();
    return message.version() >= FirstVersionWithChunks
           && message[http::field::expect] == "100-continue";
}

platform::http_request request_parser::release()
{
    platform::http_request message = m_parser.release();
    if (m_headOfChunked)
        message.base() = std::move(*m_headOfChunked);
    return message;
}

} // namespace burdockhold
