#include "burdockhold/http_client_connection.h"

#include "burdockhold/field_values.h"
#include "burdockhold/message_framing.h"
#include "burdockhold/relay_request.h"
#include "burdockhold/socket_options.h"
#include "burdockhold/text_memory.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace burdockhold {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// An idle connection is reused for at most half of the timeout that the server states, and never
// for longer than this.
constexpr duration DefaultMaxIdle = std::chrono::seconds(2);
constexpr std::uint32_t MaxResponseHeadBytes = 16384;
// Limit of received bytes that the parser has not consumed, such as an incomplete chunk header. A
// valid response leaves only a few.
constexpr std::size_t MaxUnparsedBytes = std::size_t(2) * MaxResponseHeadBytes;
// Limit of the bytes of all responses before the one to the call. A server sends few interim
// responses, and answers to earlier calls are rare.
constexpr std::size_t MaxSkippedBytes = std::size_t(4) * MaxResponseHeadBytes;

/// Returns whether the status is one of HTTP. Others, such as 000, have no class that says whether
/// the response is interim, final or a success.
bool isStatus(unsigned status)
{
    return status >= 100 && status <= 599;
}

/// Returns whether the body's length or text cannot be known from the head.
bool hasUnreadableBody(const response_message &message)
{
    const transfer_coding coding = transferCodingOf(valuesOf(message, "Transfer-Encoding"));
    return coding == transfer_coding::Unsupported || coding == transfer_coding::Ambiguous;
}

/// Returns the timeout that the response's Keep-Alive field states.
std::optional<duration> keepAliveTimeout(const response_message &message)
{
    const auto field = message[http::field::keep_alive];
    const std::string_view text(field.data(), field.size());
    const std::size_t at = text.find("timeout=");
    if (at == std::string_view::npos)
        return std::nullopt;
    int seconds = 0;
    const char *digits = text.data() + at + 8;
    if (std::from_chars(digits, text.data() + text.size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

std::optional<tcp::endpoint> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    // The library reads the address up to the first zero byte.
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos)
        return std::nullopt;
    error_code error;
    const auto address = boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)),
                                                          error);
    unsigned short port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()
        || port == 0)
        return std::nullopt;
    return tcp::endpoint(address, port);
}

std::string formatAddress(const tcp::endpoint &address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

http_client_connection::http_client_connection(boost::asio::io_context &context,
                                               tcp::endpoint server, http_client_options options)
    : m_socket(context)
    , m_connectTimer(context)
    , m_server(std::move(server))
    , m_options(std::move(options))
    , m_chunkBegun([this](std::uint64_t size, boost::beast::string_view, error_code &) {
        m_holdback.chunkBegun(size);
    })
    , m_readBuffer()
{
}

void http_client_connection::call(std::string request, http_handlers handlers)
{
    m_request = std::move(request);
    m_handlers = std::move(handlers);
    m_active = true;
    m_keepAlive = false;
    m_paused = false;
    m_skippedBytes = 0;
    m_endedByClose = false;
    ++m_callCount;
    resetParser();
    if (m_connected)
        writeRequest();
    else
        connect();
}

void http_client_connection::resetParser()
{
    m_parser.emplace();
    m_holdback = {};
    m_parser->on_chunk_header(m_chunkBegun);
    m_parser->eager(false); // Until the head is complete.
    m_parser->header_limit(MaxResponseHeadBytes);
    // Without a limit, this version of Beast rejects a length as soon as the head is complete.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_headDelivered = false;
    if (m_request.compare(0, 5, "HEAD ") == 0)
        m_parser->skip(true);
}

void http_client_connection::connect()
{
    if (openFrom(m_socket, m_options.localAddress)) {
        // No file descriptor or local address is available. This is reported like an unreachable
        // server, but says nothing about the way to it.
        m_options.connectEnded = nullptr;
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->finish(http_outcome::NotConnected);
        });
        return;
    }
    setSilenceTimeout(m_socket, m_options.silenceTimeout);
    m_connectTimer.expires_after(m_options.connectTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](error_code waitError) {
        if (!waitError && !self->m_connected && !self->m_closed)
            self->finish(http_outcome::NotConnected);
    });
    const tcp::endpoint next = m_options.relay.value_or(m_server);
    m_socket.async_connect(next, [self = shared_from_this()](error_code connectError) {
        if (self->m_closed || !self->m_active)
            return;
        if (connectError)
            self->finish(http_outcome::NotConnected);
        else if (self->m_options.relay)
            self->askRelay();
        else
            self->connected();
    });
}

void http_client_connection::connected()
{
    m_connectTimer.cancel();
    m_connected = true;
    if (m_options.connectEnded)
        m_options.connectEnded(true, m_relayAnswer);
    writeRequest();
}

/// Asks the relay for a connection to the server. The request is not written before it agrees.
void http_client_connection::askRelay()
{
    requestRelay(m_socket, formatAddress(m_server),
                 [self = shared_from_this()](std::optional<relay_answer> answer,
                                             const std::string &input) {
                     if (self->m_closed || !self->m_active)
                         return;
                     self->m_relayAnswer = answer;
                     self->m_input = input;
                     if (answer == relay_answer::Connected)
                         self->connected();
                     else
                         self->finish(http_outcome::NotConnected);
                 });
}

void http_client_connection::writeRequest()
{
    m_writing = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_request),
                             [self = shared_from_this()](error_code error, std::size_t) {
                                 self->m_writing = false;
                                 self->discardRequest();
                                 self->m_writeFailed = self->m_writeFailed || error;
                                 // A response that arrived before the write failed is still read;
                                 // the read reports the end of the connection.
                                 if (error && !self->m_closed && !self->m_reading)
                                     self->finish(http_outcome::Broken);
                             });
    startRead();
}

void http_client_connection::startRead()
{
    if (m_reading || m_paused || m_closed || !m_active)
        return;
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
                             [self = shared_from_this()](error_code error, std::size_t bytes) {
                                 self->m_reading = false;
                                 if (self->m_closed || !self->m_active)
                                     return;
                                 if (error == boost::asio::error::eof)
                                     self->serverClosed();
                                 else if (error)
                                     self->finish(http_outcome::Broken);
                                 else
                                     self->bytesReceived(bytes);
                             });
}

void http_client_connection::bytesReceived(std::size_t bytes)
{
    m_input.append(m_readBuffer.data(), bytes);
    parseInput();
    if (m_active && m_input.size() > MaxUnparsedBytes)
        finish(http_outcome::Malformed);
    startRead();
}

void http_client_connection::parseInput()
{
    const auto self = shared_from_this();
    while (m_active && !m_input.empty()) {
        if (!parseOnce())
            return;
    }
}

/// Feeds the parser and removes what it has consumed from the input. Returns false if the call has
/// ended, since the bytes are not HTTP.
bool http_client_connection::feedParser(std::size_t &consumed)
{
    error_code error;
    const std::size_t bytes = m_parser->put(boost::asio::buffer(m_input), error);
    m_input.erase(0, bytes);
    consumed += bytes;
    if (!error || error == http::error::need_more)
        return true;
    finish(http_outcome::Malformed);
    return false;
}

/// Parses the next part of the response. Returns false when more bytes are needed or the call has
/// ended.
bool http_client_connection::parseOnce()
{
    std::size_t consumed = 0;
    if (!feedParser(consumed))
        return false;
    if (m_parser->is_header_done() && !m_headDelivered) {
        if (!isStatus(m_parser->get().result_int()) || hasUnreadableBody(m_parser->get())) {
            finish(http_outcome::Malformed);
            return false;
        }
        m_headDelivered = true;
        // Parsing the body adds the fields of its trailer to the message.
        std::optional<response_message> headOfChunked;
        if (m_parser->chunked())
            headOfChunked = m_parser->get();
        m_parser->eager(true);
        if (!m_parser->is_done() && !m_input.empty() && !feedParser(consumed))
            return false;
        const response_message &head = headOfChunked ? *headOfChunked : m_parser->get();
        const bool interim = head.result_int() < 200;
        if (interim || !m_handlers.onHead(head)) {
            if (!m_active)
                return false;
            return skipResponse(consumed);
        }
        if (!m_active)
            return false;
    }
    deliverBody();
    if (!m_active)
        return false;
    if (m_parser->is_done()) {
        m_keepAlive = m_parser->keep_alive();
        m_maxIdle = DefaultMaxIdle;
        if (const auto timeout = keepAliveTimeout(m_parser->get()))
            m_maxIdle = std::min(m_maxIdle, *timeout / 2);
        finish(http_outcome::Complete);
        return false;
    }
    return consumed > 0;
}

/// Goes on to the next response after one that does not answer the call. Returns false if that ends
/// the call.
bool http_client_connection::skipResponse(std::size_t bytes)
{
    m_skippedBytes += bytes;
    // If the skipped response is incomplete, its remaining bytes cannot be told from the response
    // to this call.
    if (!m_parser->is_done() || m_skippedBytes > MaxSkippedBytes) {
        finish(http_outcome::Malformed);
        return false;
    }
    resetParser();
    return true;
}

void http_client_connection::deliverBody()
{
    if (!m_headDelivered)
        return;
    std::string bytes = std::exchange(m_parser->get().body(), {});
    if (m_parser->chunked()) {
        m_holdback.add(bytes);
        bytes = m_holdback.take(m_input);
    }
    if (!bytes.empty())
        m_handlers.onBody(bytes);
}

void http_client_connection::serverClosed()
{
    m_endedByClose = true;
    // A failed write consumes the socket's error, so the read after a reset reports an orderly end.
    // The close of a process that ended arrives before the reset that answers later bytes.
    // A request in the socket buffer is written, but may not have reached the server. The end of a
    // relayed connection may be that of the relay's process.
    const bool mayBeCutOff = m_writeFailed || m_writing || isRelayed()
                             || hasUnacknowledgedBytes(m_socket);
    if (!m_headDelivered || mayBeCutOff) {
        finish(http_outcome::Broken);
        return;
    }
    error_code error;
    m_parser->put_eof(error);
    m_keepAlive = false;
    finish(error || !m_parser->is_done() ? http_outcome::Broken : http_outcome::Complete);
}

void http_client_connection::finish(http_outcome end)
{
    if (!m_active)
        return;
    const auto self = shared_from_this();
    m_active = false;
    m_connectTimer.cancel();
    if (end == http_outcome::NotConnected && m_options.connectEnded)
        m_options.connectEnded(false, m_relayAnswer);
    m_idleSince = steadyNow();
    discardRequest();
    const bool reusable = end == http_outcome::Complete && m_keepAlive && !m_writing
                          && !m_writeFailed && m_input.empty();
    const http_handlers handlers = std::exchange(m_handlers, {});
    if (!reusable)
        close();
    handlers.onEnd(end);
}

/// Frees the request's bytes once the call has ended; an idle connection would keep them.
void http_client_connection::discardRequest()
{
    if (!m_active && !m_writing)
        freeText(m_request);
}

void http_client_connection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    m_active = false;
    m_connected = false;
    m_connectTimer.cancel();
    discardRequest();
    // The handlers keep their owner alive and one of them may be running, so they are destroyed
    // later, by the event loop.
    boost::asio::post(m_socket.get_executor(), [handlers = std::exchange(m_handlers, {})] {});
    error_code ignored; // Closing a connection that is already broken is fine.
    m_socket.close(ignored);
}

bool http_client_connection::isReusable()
{
    if (m_closed || m_active || !m_connected)
        return false;
    if (steadyNow() - m_idleSince > m_maxIdle)
        return false;
    // The connection is unusable if bytes or a close arrived after the last response.
    char byte = 0;
    const auto received = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void http_client_connection::pauseReading()
{
    m_paused = true;
}

void http_client_connection::resumeReading()
{
    m_paused = false;
    startRead();
}

} // namespace burdockhold
