#include "burdockhold/caller_connection.h"

#include "platform/request_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace burdockhold {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// Beyond this the endpoint is not read until the caller has taken some.
constexpr std::size_t MaxOutputBytes = std::size_t(256) * 1024;
// Bytes of a next request that are read ahead while one is served.
constexpr std::size_t MaxReadAhead = std::size_t(64) * 1024;
// Callers use a connection until four fifths of the idle limit; the rest covers their way here.
constexpr duration IdleSlack = std::chrono::seconds(1);
constexpr int SilentCallerMs = 5000; // Unacknowledged bytes after which the kernel gives up.

void setNumber(tcp::socket &socket, int level, int option, int value)
{
    // Without the option a dead caller is noticed later; nothing else changes.
    ::setsockopt(socket.native_handle(), level, option, &value, sizeof value);
}

std::string chunkOf(const std::string &bytes)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = bytes.size(); rest > 0; rest /= 16)
        size.insert(size.begin(), Digits[rest % 16]);
    return size + "\r\n" + bytes + "\r\n";
}

} // namespace

bool statesLengthTwice(const http::fields &fields)
{
    const auto range = fields.equal_range(http::field::content_length);
    if (std::distance(range.first, range.second) > 1)
        return true;
    return range.first != range.second
           && range.first->value().find(',') != boost::beast::string_view::npos;
}

caller_connection::caller_connection(tcp::socket socket, request_context context, caller_set &open)
    : m_socket(std::move(socket))
    , m_context(context)
    , m_open(open)
    , m_timer(context.io)
    , m_chunk()
{
    setNumber(m_socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setNumber(m_socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setNumber(m_socket, IPPROTO_TCP, TCP_KEEPIDLE, 2);
    setNumber(m_socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setNumber(m_socket, IPPROTO_TCP, TCP_KEEPCNT, 3);
    setNumber(m_socket, IPPROTO_TCP, TCP_USER_TIMEOUT, SilentCallerMs);
}

void caller_connection::start()
{
    m_open.insert(shared_from_this());
    newParser();
    armIdleTimer();
    readMore();
}

caller_limits caller_connection::limits() const
{
    const auto &deployment = m_context.board.deployment;
    return deployment ? deployment->source().limits : caller_limits{};
}

void caller_connection::newParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(limits().headerBytes));
    m_parser->body_limit(limits().bodyBytes);
    m_requestBegun = false;
}

void caller_connection::armIdleTimer()
{
    m_timer.expires_after(limits().idleTimeout + IdleSlack);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error)
            self->timedOut();
    });
}

void caller_connection::armRequestTimer()
{
    m_timer.expires_after(limits().headerTimeout);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error)
            self->timedOut();
    });
}

void caller_connection::timedOut()
{
    if (m_closed || m_exchange)
        return;
    if (m_requestBegun && !m_closing) {
        m_keepAlive = false;
        m_closing = true;
        writeWhole(408, {}, {});
        return;
    }
    close();
}

void caller_connection::readMore()
{
    const bool full = m_exchange != nullptr && m_input.size() >= MaxReadAhead;
    if (m_reading || m_closed || full)
        return;
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [self = shared_from_this()](error_code error, std::size_t bytes) {
                                 self->m_reading = false;
                                 if (self->m_closed)
                                     return;
                                 if (error)
                                     self->peerClosed();
                                 else
                                     self->received(bytes);
                             });
}

void caller_connection::received(std::size_t bytes)
{
    if (!m_closing)
        m_input.append(m_chunk.data(), bytes);
    consume();
    readMore();
}

void caller_connection::consume()
{
    while (!m_exchange && !m_closed && !m_closing && !m_input.empty()) {
        if (!m_requestBegun) {
            m_requestBegun = true;
            armRequestTimer();
        }
        const bool headWasDone = m_parser->is_header_done();
        error_code error;
        const std::size_t used = m_parser->put(boost::asio::buffer(m_input), error);
        m_input.erase(0, used);
        if (error && error != http::error::need_more) {
            refuseMessage(error);
            return;
        }
        if (!headWasDone && m_parser->is_header_done() && statesLengthTwice(m_parser->get())) {
            refuseMessage(http::error::bad_content_length);
            return;
        }
        if (m_parser->is_done()) {
            serve();
            return;
        }
        if (m_parser->is_header_done()) {
            armRequestTimer();
            if (!headWasDone && m_parser->get()[http::field::expect] == "100-continue")
                write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (m_input.size() > limits().headerBytes + m_chunk.size()) {
            refuseMessage(http::error::header_limit); // The head of a chunk, for example.
            return;
        }
        if (used == 0 || error == http::error::need_more)
            return;
    }
}

void caller_connection::refuseMessage(error_code error)
{
    int status = 400;
    if (error == http::error::header_limit)
        status = 431;
    else if (error == http::error::body_limit)
        status = 413;
    m_keepAlive = false;
    m_closing = true;
    writeWhole(status, {}, {});
}

void caller_connection::serve()
{
    m_timer.cancel();
    platform::http_request message = m_parser->release();
    m_keepAlive = message.keep_alive();
    m_headOnly = message.method() == http::verb::head;
    m_exchange = std::make_shared<routed_request>(
            m_context, platform::decodeRequest(std::move(message)), responseWriter(), steadyNow());
    const auto started = m_exchange;
    started->start();
}

response_writer caller_connection::responseWriter()
{
    const auto self = shared_from_this();
    return { [self](int status, const std::vector<http_field> &fields, const std::string &body) {
                self->writeWhole(status, fields, body);
                self->answered();
            },
             [self](int status, const std::vector<http_field> &fields) {
                 self->beginStream(status, fields);
             },
             [self](const std::string &bytes) { self->sendStreamBytes(bytes); },
             [self] {
                 self->write("0\r\n\r\n");
                 self->answered();
             },
             [self] {
                 self->m_exchange = nullptr;
                 // What was relayed goes out first; the missing last chunk shows the break.
                 self->m_closing = true;
                 if (!self->m_writing)
                     self->close();
             } };
}

std::string caller_connection::headText(int status, const std::vector<http_field> &fields) const
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const http_field &field : fields)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    if (!m_keepAlive || m_context.board.leaving)
        text.append("Connection: close\r\n");
    return text;
}

void caller_connection::writeWhole(int status, const std::vector<http_field> &fields,
                                   const std::string &body)
{
    std::string text = headText(status, fields);
    const bool bodyless = status == 204 || status == 304;
    if (!bodyless)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    if (!bodyless && !m_headOnly)
        text += body;
    write(std::move(text));
}

void caller_connection::beginStream(int status, const std::vector<http_field> &fields)
{
    write(headText(status, fields) + "Transfer-Encoding: chunked\r\n\r\n");
}

void caller_connection::sendStreamBytes(const std::string &bytes)
{
    write(chunkOf(bytes));
    if (m_outputBytes > MaxOutputBytes && m_exchange && !m_paused) {
        m_paused = true;
        m_exchange->pause();
    }
}

void caller_connection::write(std::string bytes)
{
    if (m_closed)
        return;
    m_outputBytes += bytes.size();
    if (m_output.size() > 1 || (m_output.size() == 1 && !m_writing))
        m_output.back().append(bytes);
    else
        m_output.push_back(std::move(bytes));
    writeNext();
}

void caller_connection::writeNext()
{
    if (m_writing || m_closed || m_output.empty())
        return;
    m_writing = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_output.front()),
                             [self = shared_from_this()](error_code error, std::size_t bytes) {
                                 self->written(error, bytes);
                             });
}

void caller_connection::written(error_code error, std::size_t bytes)
{
    m_writing = false;
    if (m_closed)
        return;
    if (error) {
        peerClosed();
        return;
    }
    m_outputBytes -= bytes;
    m_output.pop_front();
    if (m_paused && m_exchange && m_outputBytes < MaxOutputBytes / 2) {
        m_paused = false;
        m_exchange->resume();
    }
    if (!m_output.empty())
        writeNext();
    else if (m_closing)
        close();
}

void caller_connection::answered()
{
    m_exchange = nullptr;
    m_paused = false;
    if (m_closed)
        return;
    if (!m_keepAlive || m_context.board.leaving) {
        m_closing = true;
        if (!m_writing)
            close();
        return;
    }
    newParser();
    armIdleTimer();
    // The next request may have been read already; it starts from the loop, not from this answer.
    boost::asio::post(m_context.io, [self = shared_from_this()] {
        self->consume();
        self->readMore();
    });
}

void caller_connection::closeIfIdle()
{
    if (m_exchange || m_requestBegun || !m_output.empty())
        return;
    // Bytes that wait to be read are a request: closing would reset it.
    char byte = 0;
    if (::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
        close();
}

void caller_connection::peerClosed()
{
    const auto self = shared_from_this();
    if (const auto serving = std::exchange(m_exchange, nullptr))
        serving->callerDisconnected();
    close();
}

void caller_connection::close()
{
    if (m_closed)
        return;
    const auto self = shared_from_this();
    m_closed = true;
    m_timer.cancel();
    error_code ignored; // The connection ends in any case.
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
    m_open.erase(self);
}

} // namespace burdockhold
