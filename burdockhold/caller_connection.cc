#include "burdockhold/caller_connection.h"

#include "burdockhold/message_framing.h"
#include "burdockhold/socket_options.h"
#include "burdockhold/text_memory.h"
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

// With more unread bytes of its responses, a connection's next request does not start.
constexpr std::size_t MaxUnreadBeforeRequest = std::size_t(64) * 1024;
// Bytes of pipelined requests that are read while one is processed.
constexpr std::size_t MaxReadAhead = std::size_t(16) * 1024;
// An empty input keeps an allocation up to this for the next request.
constexpr std::size_t MaxKeptInput = 1024;
// Shorter bodies of a stated length don't wait behind large ones for memory.
constexpr std::size_t SmallBodyBytes = std::size_t(16) * 1024;
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

/// Returns the bytes that the text has allocated.
std::size_t allocatedBytes(const std::string &text)
{
    static const std::size_t inPlace = std::string().capacity();
    return text.capacity() > inPlace ? text.capacity() : 0;
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
                                     caller_registry &registry)
    : m_socket(std::move(socket))
    , m_context(context)
    , m_registry(registry)
    , m_timer(context.io)
{
    error_code ignored; // A socket that was reset already reports it at the first read.
    m_socket.non_blocking(true, ignored);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setSocketOption(m_socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_KEEPIDLE, 2);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_KEEPCNT, 3);
    setSocketOption(m_socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedTimeoutMs);
}

void caller_connection::start()
{
    if (!m_registry.add(shared_from_this())) {
        close();
        return;
    }
    updateQueue();
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
    m_parser.reset(); // The next request's bytes create it.
    m_requestStarted = false;
    m_headBytes = 0;
    m_hasSmallBody = false;
}

/// Takes the difference between what is held and what has been charged. Returns false if there is
/// no memory, or if this connection was closed to make room.
bool caller_connection::charge(std::size_t &charged, memory_part part, std::size_t held)
{
    memory_budget &memory = m_context.board.memory;
    if (held <= charged) {
        memory.give(part, charged - held);
        charged = held;
        return true;
    }
    const std::size_t more = held - charged;
    if (!memory.tryTake(part, more))
        return false;
    if (m_closed) {
        memory.give(part, more);
        return false;
    }
    charged = held;
    return true;
}

void caller_connection::chargeInput()
{
    if (m_input.empty() && m_input.capacity() > MaxKeptInput)
        freeText(m_input);
    const auto self = shared_from_this();
    const std::size_t body = m_hasSmallBody && m_parser ? *m_parser->statedLength() : 0;
    if (charge(m_chargedInput, memory_part::Heads, allocatedBytes(m_input) + body) || m_closed)
        return;
    m_dropsInput = true;
    freeText(m_input);
    charge(m_chargedInput, memory_part::Heads, 0);
    if (m_request || m_closeAfterWrite)
        return;
    if (m_requestStarted) {
        refuseForMemory();
        return;
    }
    m_closeAfterWrite = true;
    if (!m_writing)
        close();
}

/// Counts the output even if it does not fit, once no other output can be dropped: a single large
/// response is still sent.
void caller_connection::chargeOutput()
{
    const std::size_t held = allocatedBytes(m_sending) + allocatedBytes(m_output);
    if (held <= UncountedOutputBytes && m_chargedOutput == 0)
        return;
    caller_registry::queue::leave(m_unreadPlace);
    const bool isCharged = charge(m_chargedOutput, memory_part::Output, held);
    if (m_closed)
        return;
    if (!isCharged) {
        m_context.board.memory.take(memory_part::Output, held - m_chargedOutput);
        m_chargedOutput = held;
    }
    if (m_outputBytes > 0)
        m_registry.unread.enter(*this, m_unreadPlace, steadyNow());
}

/// Takes the memory and the descriptor of a request that has been read. Returns false if there is
/// no room for it.
bool caller_connection::beginRequest()
{
    caller_registry::queue::leave(m_place); // Others are closed for this request.
    const std::size_t body = m_hasSmallBody ? m_parser->bodyBytes() : 0;
    const std::size_t held = RequestBytes + RequestCopies * (m_headBytes + body);
    if (!charge(m_chargedRequest, memory_part::Requests, held))
        return false;
    if (!m_registry.beginCall())
        return false;
    m_countsCall = true;
    if (m_closed) // To make room for its own call, as its caller does not read.
        releaseRequest();
    return !m_closed;
}

void caller_connection::releaseRequest()
{
    releaseBody(0);
    charge(m_chargedRequest, memory_part::Requests, 0);
    if (std::exchange(m_countsCall, false))
        m_registry.endCall();
}

/// Enters the queue of the connection's state, so that the right one is closed if room is needed.
void caller_connection::updateQueue()
{
    if (m_closed || m_request) {
        caller_registry::queue::leave(m_place);
        return;
    }
    const bool readsBody = m_parser && m_parser->isHeadComplete() && m_reservation == 0
                           && !m_hasSmallBody;
    caller_registry::queue &next = !m_requestStarted ? m_registry.idle
                                   : readsBody       ? m_registry.readingBody
                                                     : m_registry.halfRead;
    if (!next.contains(m_place))
        next.enter(*this, m_place, steadyNow());
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
        armIdleTimer(); // For a caller that does not read the refusal.
        refuseForMemory();
        return;
    }
    if (m_requestStarted && !m_closeAfterWrite) {
        armIdleTimer(); // For a caller that does not read the refusal.
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
    const bool mustWait = m_request != nullptr || m_outputBytes > MaxUnreadBeforeRequest;
    const bool full = mustWait && m_input.size() >= MaxReadAhead;
    if (m_reading || m_closed || full || m_reservation != 0)
        return;
    m_reading = true;
    // Only waits, since a buffer that is passed to the socket must exist until bytes arrive.
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        self->m_reading = false;
        if (self->m_closed)
            return;
        if (error)
            self->peerClosed();
        else
            self->readAvailable();
    });
}

void caller_connection::readAvailable()
{
    error_code error;
    const std::size_t bytes = m_socket.read_some(boost::asio::buffer(m_registry.readBuffer), error);
    if (error == boost::asio::error::would_block)
        startRead();
    else if (error)
        peerClosed();
    else
        bytesReceived(bytes);
}

void caller_connection::bytesReceived(std::size_t bytes)
{
    const auto self = shared_from_this();
    if (!m_closeAfterWrite && !m_dropsInput)
        m_input.append(m_registry.readBuffer.data(), bytes);
    parseInput();
    if (!m_closed)
        chargeInput();
    startRead();
}

void caller_connection::parseInput()
{
    while (!m_request && !m_closed && !m_closeAfterWrite && m_reservation == 0 && !m_input.empty()
           && m_outputBytes <= MaxUnreadBeforeRequest) {
        if (!m_requestStarted) {
            m_requestStarted = true;
            m_parser.emplace(limits());
            armRequestTimer();
            updateQueue();
        }
        const bool headWasComplete = m_parser->isHeadComplete();
        const std::size_t inputBytes = m_input.size();
        const bool progressed = m_parser->parse(m_input);
        if (!headWasComplete)
            m_headBytes += inputBytes - m_input.size();
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
            const bool hasRoom = reserveBody();
            updateQueue();
            if (!hasRoom)
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
    m_hasSmallBody = length && *length <= SmallBodyBytes;
    if (m_hasSmallBody) // chargeInput() counts it.
        return true;
    const bool isLong = m_parser->bodyBytes() + m_registry.readBuffer.size() > ShortBodyBytes;
    const std::size_t needed = length   ? *length
                               : isLong ? std::max(limits().bodyBytes, ShortBodyBytes)
                                        : ShortBodyBytes;
    if (needed <= m_reservedBytes)
        return true;
    const std::size_t bytes = needed - m_reservedBytes;
    m_reservation = m_context.board.requestBodies.reserve(
            bytes, [self = shared_from_this(), bytes] { self->bodyReserved(bytes); });
    if (m_reservation == 0)
        m_reservedBytes += bytes;
    if (m_closed) { // To make room.
        releaseBody(0);
        return false;
    }
    if (m_reservation == 0)
        return true;
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
    updateQueue();
    scheduleParse();
}

/// Parses from the event loop, not from within the completion of something else.
void caller_connection::scheduleParse()
{
    boost::asio::post(m_context.io, [self = shared_from_this()] {
        self->parseInput();
        if (!self->m_closed)
            self->chargeInput();
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

void caller_connection::refuseForMemory()
{
    const time_point now = steadyNow();
    releaseRequest();
    m_context.board.metrics.count(router_counter::RefusedMemory);
    decision_log &log = m_context.board.log;
    if (log.accepts(log_priority::Failure, now))
        log.write(log_event::MessageRefused,
                  { { "id", m_parser->attemptId() }, { "status", 503 }, { "reason", "memory" } },
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
    const auto self = shared_from_this();
    if (!beginRequest()) {
        if (!m_closed)
            refuseForMemory();
        return;
    }
    m_timer.cancel();
    releaseBody(m_parser->bodyBytes());
    platform::http_request message = m_parser->release();
    m_keepAlive = message.keep_alive();
    m_isHeadRequest = message.method() == http::verb::head;
    m_acceptsChunks = message.version() >= FirstVersionWithChunks;
    m_request = std::make_shared<routed_request>(
            m_context, platform::decodeRequest(std::move(message)), responseWriter(), steadyNow());
    const auto request = m_request;
    updateQueue();
    m_parser.reset();
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
    releaseRequest();
    if (!m_acceptsChunks) {
        reset();
        return;
    }
    // Relayed bytes are sent first; the missing last chunk shows the abort.
    m_requestStarted = false; // So that the idle timer is set again while the caller reads.
    armIdleTimer();
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
    return !m_keepAlive || m_dropsInput || m_context.board.leaving;
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
    if (m_outputBytes <= m_context.board.memory.unreadLimit() || !m_request || m_paused)
        return;
    m_paused = true;
    m_pausedAbove = m_outputBytes;
    m_request->pause();
}

void caller_connection::write(std::string bytes)
{
    if (m_closed)
        return;
    m_outputBytes += bytes.size();
    std::string &next = m_writing ? m_output : m_sending;
    if (next.empty())
        next = std::move(bytes);
    else
        next.append(bytes);
    chargeOutput();
    writeNext();
}

void caller_connection::writeNext()
{
    if (m_writing || m_closed || m_outputBytes == 0)
        return;
    m_writing = true;
    m_socket.async_write_some(boost::asio::buffer(m_sending) + m_sentBytes,
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
    m_sentBytes += bytes;
    if (m_sentBytes == m_sending.size()) {
        m_sending.swap(m_output);
        freeText(m_output);
        m_sentBytes = 0;
    }
    chargeOutput();
    if (m_closed)
        return;
    if (m_paused && m_request && m_outputBytes < m_pausedAbove / 2) {
        m_paused = false;
        m_request->resume();
    }
    if (!m_request && !m_input.empty() && m_outputBytes <= MaxUnreadBeforeRequest)
        scheduleParse();
    if (m_outputBytes > 0) {
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
    releaseRequest();
    m_paused = false;
    m_requestStarted = false; // So that the idle timer is set again while the caller reads.
    if (m_closed)
        return;
    armIdleTimer();
    // Without the announcement, the next request may have been sent or even read already.
    if (m_closeAnnounced || m_dropsInput) {
        m_closeAfterWrite = true;
        if (!m_writing)
            close();
        return;
    }
    m_responseFinishedAt = steadyNow();
    resetParser();
    updateQueue();
    scheduleParse(); // The next request may have been read already.
}

void caller_connection::closeIfIdle()
{
    if (m_request || m_requestStarted || m_outputBytes > 0 || !m_input.empty()
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

void caller_connection::closeForRoom()
{
    const auto self = shared_from_this();
    if (m_requestStarted && !m_request && !m_closeAfterWrite && m_outputBytes == 0) {
        const std::string refusal = std::string("HTTP/1.1 503 Service Unavailable\r\nRetry-After: ")
                                    + RetryAfterMemory
                                    + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        // If the bytes cannot be sent at once, the close alone tells the caller.
        static_cast<void>(::send(m_socket.native_handle(), refusal.data(), refusal.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL));
    }
    const auto request = m_request;
    abortIfUnfinished();
    close();
    // Not at once: one of the request's functions may be running.
    if (request)
        boost::asio::post(m_context.io, [self, request] {
            self->m_request = nullptr;
            request->callerDisconnected();
        });
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
    if (!m_acceptsChunks && (m_request || m_outputBytes > 0))
        reset();
}

void caller_connection::close()
{
    if (m_closed)
        return;
    const auto self = shared_from_this();
    m_closed = true;
    m_timer.cancel();
    error_code ignored; // The connection is closed in any case.
    tcp::socket::linger linger;
    m_socket.get_option(linger, ignored);
    if (!linger.enabled()) // Otherwise the close is to reset the connection.
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
    releaseAll();
    m_registry.remove(self);
}

/// Gives back what the closed connection has taken of the memory and leaves its queues. A write
/// that was in progress ends without reading its buffer.
void caller_connection::releaseAll()
{
    updateQueue();
    caller_registry::queue::leave(m_unreadPlace);
    freeText(m_input);
    freeText(m_sending);
    freeText(m_output);
    m_outputBytes = 0;
    charge(m_chargedInput, memory_part::Heads, 0);
    charge(m_chargedOutput, memory_part::Output, 0);
    releaseRequest();
}

} // namespace burdockhold
