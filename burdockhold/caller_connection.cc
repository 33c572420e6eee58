#include "burdockhold/caller_connection.h"

#include "burdockhold/message_framing.h"
#include "platform/request_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
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

// Above this many pending bytes, reading from the endpoint pauses until less than half remains.
constexpr std::size_t MaxPendingOutputBytes = std::size_t(256) * 1024;
// Bytes of pipelined requests that are read while one is processed.
constexpr std::size_t MaxReadAhead = std::size_t(64) * 1024;
// Callers reuse a connection until four fifths of the idle timeout; the rest and this margin cover
// the transit time of their requests.
constexpr duration IdleTimeoutMargin = std::chrono::seconds(1);
// During a shutdown, a caller that was not told to close may send its next request at once, so its
// connection counts as idle only after this time.
constexpr duration MinIdleBeforeClose = std::chrono::milliseconds(200);
// Time after which the kernel closes a connection with unacknowledged bytes.
constexpr int UnacknowledgedTimeoutMs = 5000;
// Callers give up a request that is not read for about a second.
constexpr duration MaxWaitForMemory = std::chrono::milliseconds(900);
// Most bodies without a stated length are not longer.
constexpr std::size_t ShortBodyBytes = std::size_t(64) * 1024;
constexpr char RetryAfterMemory[] = "0.5"; // Seconds.

void setSocketOption(tcp::socket &socket, int level, int option, int value)
{
    // Errors are ignored: without the option, a dead caller is only noticed later.
    ::setsockopt(socket.native_handle(), level, option, &value, sizeof value);
}

std::string encodeChunk(const std::string &bytes)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = bytes.size(); rest > 0; rest /= 16)
        size.insert(size.begin(), Digits[rest % 16]);
    return size + "\r\n" + bytes + "\r\n";
}

} // namespace

caller_connection::caller_connection(tcp::socket socket, request_context context,
                                     caller_connections &openConnections)
    : m_socket(std::move(socket))
    , m_context(context)
    , m_openConnections(openConnections)
    , m_timer(context.io)
    , m_readBuffer()
{
    setSocketOption(m_socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setSocketOption(m_socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_KEEPIDLE, 2);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_KEEPCNT, 3);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedTimeoutMs);
}

void caller_connection::start()
{
    m_openConnections.insert(shared_from_this());
    resetParser();
    armIdleTimer();
    startRead();
}

caller_limits caller_connection::limits() const
{
    const auto &deployment = m_context.board.deployment;
    return deployment ? deployment->rules().limits : caller_limits{};
}

void caller_connection::resetParser()
{
    m_parser.emplace(limits());
    m_requestStarted = false;
}

void caller_connection::armIdleTimer()
{
    m_timer.expires_after(limits().idleTimeout + IdleTimeoutMargin);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error)
            self->timerExpired();
    });
}

void caller_connection::armRequestTimer()
{
    m_timer.expires_after(limits().headerTimeout);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error)
            self->timerExpired();
    });
}

void caller_connection::timerExpired()
{
    if (m_closed || m_request)
        return;
    if (m_reservation != 0) {
        memoryWaitEnded();
        return;
    }
    if (m_requestStarted && !m_closeAfterWrite) {
        m_keepAlive = false;
        m_closeAfterWrite = true;
        writeResponse(408, {}, {});
        return;
    }
    abortIfUnfinished();
    close();
}

void caller_connection::startRead()
{
    const bool full = m_request != nullptr && m_input.size() >= MaxReadAhead;
    if (m_reading || m_closed || full || m_reservation != 0)
        return;
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
                             [self = shared_from_this()](error_code error, std::size_t bytes) {
                                 self->m_reading = false;
                                 if (self->m_closed)
                                     return;
                                 if (error)
                                     self->peerClosed();
                                 else
                                     self->bytesReceived(bytes);
                             });
}

void caller_connection::bytesReceived(std::size_t bytes)
{
    if (!m_closeAfterWrite)
        m_input.append(m_readBuffer.data(), bytes);
    parseInput();
    startRead();
}

void caller_connection::parseInput()
{
    while (!m_request && !m_closed && !m_closeAfterWrite && m_reservation == 0
           && !m_input.empty()) {
        if (!m_requestStarted) {
            m_requestStarted = true;
            armRequestTimer();
        }
        const bool headWasComplete = m_parser->isHeadComplete();
        const bool progressed = m_parser->parse(m_input);
        if (m_parser->refusalStatus() != 0) {
            rejectMessage(m_parser->refusalStatus());
            return;
        }
        if (m_parser->isComplete()) {
            serve();
            return;
        }
        if (m_parser->isHeadComplete()) {
            armRequestTimer();
            if (!headWasComplete && m_parser->awaitsContinue())
                write("HTTP/1.1 100 Continue\r\n\r\n");
            if (!reserveBody())
                return;
        }
        if (!progressed)
            return;
    }
}

/// Reserves memory for the body before more of it is read. If its length is not stated, that is
/// little at first and then all that it may have: bodies that each waited for a further part of
/// their memory could wait for each other. Returns false if it has to wait.
bool caller_connection::reserveBody()
{
    const auto length = m_parser->statedLength();
    const bool isLong = m_parser->bodyBytes() + m_readBuffer.size() > ShortBodyBytes;
    const std::size_t needed = length   ? *length
                               : isLong ? std::max(limits().bodyBytes, ShortBodyBytes)
                                        : ShortBodyBytes;
    if (needed <= m_reservedBytes)
        return true;
    const std::size_t bytes = needed - m_reservedBytes;
    m_reservation = m_context.board.requestBodies.reserve(
            bytes, [self = shared_from_this(), bytes] { self->bodyReserved(bytes); });
    if (m_reservation == 0) {
        m_reservedBytes += bytes;
        return true;
    }
    m_timer.expires_after(MaxWaitForMemory);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error)
            self->timerExpired();
    });
    return false;
}

void caller_connection::bodyReserved(std::size_t bytes)
{
    m_reservation = 0;
    m_reservedBytes += bytes;
    armRequestTimer();
    boost::asio::post(m_context.io, [self = shared_from_this()] {
        self->parseInput();
        self->startRead();
    });
}

/// Gives back the memory of the body beyond the bytes that it keeps, and stops waiting for more.
void caller_connection::releaseBody(std::size_t kept)
{
    if (const std::uint64_t reservation = std::exchange(m_reservation, 0); reservation != 0)
        m_context.board.requestBodies.cancel(reservation);
    const std::size_t bytes = m_reservedBytes - std::min(kept, m_reservedBytes);
    m_reservedBytes -= bytes;
    if (bytes != 0)
        m_context.board.requestBodies.release(bytes);
}

void caller_connection::memoryWaitEnded()
{
    const time_point now = steadyNow();
    releaseBody(0);
    decision_log &log = m_context.board.log;
    if (log.accepts(log_priority::Failure, now))
        log.write(log_event::MessageRefused, { { "id", m_parser->attemptId() }, { "status", 503 } },
                  now);
    m_keepAlive = false;
    m_closeAfterWrite = true;
    writeResponse(503, { { "Retry-After", RetryAfterMemory } }, {});
    startRead(); // What still arrives is discarded.
}

void caller_connection::rejectMessage(int status)
{
    releaseBody(0);
    decision_log &log = m_context.board.log;
    const time_point now = steadyNow();
    if (log.accepts(log_priority::Failure, now))
        log.write(log_event::MessageRefused,
                  { { "id", m_parser->attemptId() }, { "status", status } }, now);
    m_keepAlive = false;
    m_closeAfterWrite = true;
    writeResponse(status, {}, {});
}

void caller_connection::serve()
{
    m_timer.cancel();
    releaseBody(m_parser->bodyBytes());
    platform::http_request message = m_parser->release();
    m_keepAlive = message.keep_alive();
    m_isHeadRequest = message.method() == http::verb::head;
    m_acceptsChunks = message.version() >= FirstVersionWithChunks;
    m_request = std::make_shared<routed_request>(
            m_context, platform::decodeRequest(std::move(message)), responseWriter(), steadyNow());
    const auto request = m_request;
    request->start();
}

response_writer caller_connection::responseWriter()
{
    const auto self = shared_from_this();
    return { [self](int status, const std::vector<http_field> &fields, const std::string &body) {
                self->writeResponse(status, fields, body);
                self->responseFinished();
            },
             [self](int status, const std::vector<http_field> &fields) {
                 self->writeStreamHead(status, fields);
             },
             [self](const std::string &bytes) { self->writeStreamBytes(bytes); },
             [self] {
                 if (self->m_acceptsChunks)
                     self->write("0\r\n\r\n");
                 self->responseFinished();
             },
             [self] { self->abortResponse(); } };
}

void caller_connection::abortResponse()
{
    m_request = nullptr;
    releaseBody(0);
    if (!m_acceptsChunks) {
        reset();
        return;
    }
    // Relayed bytes are sent first; the missing last chunk shows the abort.
    m_closeAfterWrite = true;
    if (!m_writing)
        close();
}

std::string caller_connection::formatHead(int status, const std::vector<http_field> &fields) const
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const http_field &field : fields)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    if (m_closeAnnounced)
        text.append("Connection: close\r\n");
    return text;
}

bool caller_connection::closesAfterResponse() const
{
    return !m_keepAlive || m_context.board.leaving;
}

void caller_connection::writeResponse(int status, const std::vector<http_field> &fields,
                                      const std::string &body)
{
    m_closeAnnounced = closesAfterResponse();
    std::string text = formatHead(status, fields);
    const bool hasNoBody = status == 204 || status == 304;
    if (!hasNoBody)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    if (!hasNoBody && !m_isHeadRequest)
        text += body;
    write(std::move(text));
}

void caller_connection::writeStreamHead(int status, const std::vector<http_field> &fields)
{
    m_closeAnnounced = closesAfterResponse() || !m_acceptsChunks;
    write(formatHead(status, fields)
          + (m_acceptsChunks ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
}

void caller_connection::writeStreamBytes(const std::string &bytes)
{
    write(m_acceptsChunks ? encodeChunk(bytes) : bytes);
    if (m_outputBytes > MaxPendingOutputBytes && m_request && !m_paused) {
        m_paused = true;
        m_request->pause();
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
    m_socket.async_write_some(boost::asio::buffer(m_output.front()) + m_frontBytesWritten,
                              [self = shared_from_this()](error_code error, std::size_t bytes) {
                                  self->bytesWritten(error, bytes);
                              });
}

void caller_connection::bytesWritten(error_code error, std::size_t bytes)
{
    m_writing = false;
    if (m_closed)
        return;
    if (error) {
        peerClosed();
        return;
    }
    m_outputBytes -= bytes;
    m_frontBytesWritten += bytes;
    if (m_frontBytesWritten == m_output.front().size()) {
        m_output.pop_front();
        m_frontBytesWritten = 0;
    }
    if (m_paused && m_request && m_outputBytes < MaxPendingOutputBytes / 2) {
        m_paused = false;
        m_request->resume();
    }
    if (!m_output.empty()) {
        // A caller that still takes the response is not idle.
        if (!m_request && !m_requestStarted)
            armIdleTimer();
        writeNext();
    } else if (m_closeAfterWrite) {
        close();
    }
}

void caller_connection::responseFinished()
{
    m_request = nullptr;
    releaseBody(0);
    m_paused = false;
    m_requestStarted = false; // So that the idle timer is set again while the caller reads.
    if (m_closed)
        return;
    armIdleTimer();
    // Without the announcement, the next request may have been sent or even read already.
    if (m_closeAnnounced) {
        m_closeAfterWrite = true;
        if (!m_writing)
            close();
        return;
    }
    m_responseFinishedAt = steadyNow();
    resetParser();
    // The next request may have been read already. It starts from the event loop, not from within
    // the completion of this response.
    boost::asio::post(m_context.io, [self = shared_from_this()] {
        self->parseInput();
        self->startRead();
    });
}

void caller_connection::closeIfIdle()
{
    if (m_request || m_requestStarted || !m_output.empty() || !m_input.empty()
        || steadyNow() - m_responseFinishedAt < MinIdleBeforeClose)
        return;
    // Unread bytes belong to a request: closing now would reset the connection and lose it.
    char byte = 0;
    if (::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
        close();
}

void caller_connection::endRequest()
{
    if (const auto request = m_request)
        request->processEnds();
}

void caller_connection::peerClosed()
{
    const auto self = shared_from_this();
    if (const auto request = std::exchange(m_request, nullptr))
        request->callerDisconnected();
    close();
}

void caller_connection::reset()
{
    error_code ignored; // The close follows in any case.
    m_socket.set_option(tcp::socket::linger(true, 0), ignored);
    m_request = nullptr;
    close();
}

void caller_connection::abortIfUnfinished()
{
    if (!m_acceptsChunks && (m_request || !m_output.empty()))
        reset();
}

void caller_connection::close()
{
    if (m_closed)
        return;
    const auto self = shared_from_this();
    m_closed = true;
    releaseBody(0);
    m_timer.cancel();
    error_code ignored; // The connection is closed in any case.
    tcp::socket::linger linger;
    m_socket.get_option(linger, ignored);
    if (!linger.enabled()) // Otherwise the close is to reset the connection.
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
    m_openConnections.erase(self);
}

} // namespace burdockhold
