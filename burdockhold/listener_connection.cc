#include "burdockhold/listener_connection.h"

#include "burdockhold/message_framing.h"
#include "burdockhold/random_id.h"
#include "burdockhold/task_guard.h"
#include "burdockhold/text_memory.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <limits>
#include <sstream>
#include <utility>

namespace burdockhold {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::string_view Component = "http_listener";
// Bytes of pipelined requests that are read while one runs.
constexpr std::size_t MaxReadAhead = std::size_t(16) * 1024;
// A body that nobody wants is read up to this, so that its connection can stay open.
constexpr std::size_t MaxDiscardedBody = std::size_t(64) * 1024;
// An empty input keeps an allocation up to this for the next request.
constexpr std::size_t MaxKeptInput = 1024;
// Clients reuse a connection until their own idle timeout; the margin covers the transit time of
// a request that they send just before it.
constexpr duration IdleTimeMargin = std::chrono::seconds(1);
// Time for a refused client to read its response. Closing while its bytes still arrive would reset
// the connection and could discard the response.
constexpr duration LingerTime = std::chrono::seconds(2);
constexpr int RetryAfterSeconds = 1;
constexpr std::size_t RequestIdBytes = 16;

std::string encodeChunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n";
    return text.str() + bytes + "\r\n";
}

bool isTargetCharacter(char c)
{
    constexpr std::string_view Others = "-._~!$&'()*+,;=:@/?%";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
           || Others.find(c) != std::string_view::npos;
}

/// Returns path and query of a target in origin or absolute form (RFC 9112, 3.2), or an empty
/// string.
std::string originForm(std::string target)
{
    constexpr std::string_view Scheme = "http://";
    if (target.compare(0, Scheme.size(), Scheme) == 0) {
        target.erase(0, std::min(target.find_first_of("/?", Scheme.size()), target.size()));
        if (target.empty() || target.front() == '?')
            target.insert(target.begin(), '/');
    }
    const bool isValid = !target.empty() && target.front() == '/'
                         && std::all_of(target.begin(), target.end(), isTargetCharacter);
    return isValid ? target : std::string();
}

request_head headOf(const request_parser &parser)
{
    request_head head;
    head.fields = parser.message().base();
    head.method = std::string(head.fields.method_string());
    head.target = originForm(std::string(head.fields.target()));
    head.path = head.target.substr(0, head.target.find('?'));
    head.bodyLength = parser.statedLength().value_or(0);
    head.refusalStatus = parser.refusalStatus();
    return head;
}

std::string formatFields(const std::vector<header> &fields)
{
    std::string text;
    for (const header &field : fields)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    return text;
}

error_reply notRun(int status, const std::string &code, const std::string &message)
{
    const error_type type = status == 503 ? error_type::NotRun : error_type::InvalidRequest;
    return { status, type, code, message, "" };
}

std::vector<header> refusalFields(int status)
{
    std::vector<header> fields{ { "X-Request-Id", randomHex(RequestIdBytes) },
                                { "X-Burdockhold-Run", std::string(nameOf(run_state::NotRun)) },
                                { "Content-Type", "application/json" } };
    if (status == 503)
        fields.push_back({ "Retry-After", std::to_string(RetryAfterSeconds) });
    return fields;
}

std::vector<header> withLength(std::vector<header> fields, const std::string &body)
{
    fields.push_back({ "Content-Length", std::to_string(body.size()) });
    return fields;
}

} // namespace

std::string request_head::find(const std::string &name) const
{
    std::string joined;
    const auto range = fields.equal_range(name);
    for (auto field = range.first; field != range.second; ++field) {
        if (field != range.first)
            joined += ", ";
        joined.append(field->value().data(), field->value().size());
    }
    return joined;
}

/// A request of a connection. Its functions post to the event loop.
class connection_call : public http_call, public std::enable_shared_from_this<connection_call>
{
public:
    connection_call(std::shared_ptr<listener_connection> connection, request_head head)
        : m_connection(std::move(connection))
        , m_head(std::move(head))
    {
    }

    const request_head &head() const override { return m_head; }

    void setClosed(closed_callback closed) override
    {
        post([self = shared_from_this(), closed = std::move(closed)]() mutable {
            self->m_connection->setClosed(self.get(), std::move(closed));
        });
    }

    void readBody(std::size_t limit, body_callback done) override
    {
        post([self = shared_from_this(), limit, done = std::move(done)]() mutable {
            self->m_connection->readBody(self.get(), limit, std::move(done));
        });
    }

    void respond(int status, std::vector<header> fields, std::string body, bool closes) override
    {
        post([self = shared_from_this(), status, fields = std::move(fields), body = std::move(body),
              closes] { self->m_connection->respond(self.get(), status, fields, body, closes); });
    }

    void beginStream(int status, std::vector<header> fields) override
    {
        post([self = shared_from_this(), status, fields = std::move(fields)] {
            self->m_connection->beginStream(self.get(), status, fields);
        });
    }

    void sendPart(std::string bytes) override
    {
        post([self = shared_from_this(), bytes = std::move(bytes)] {
            self->m_connection->sendPart(self.get(), bytes);
        });
    }

    void endStream() override
    {
        post([self = shared_from_this()] { self->m_connection->endStream(self.get()); });
    }

private:
    template <typename Step>
    void post(Step &&step)
    {
        boost::asio::post(m_connection->core()->io, std::forward<Step>(step));
    }

    std::shared_ptr<listener_connection> m_connection;
    request_head m_head;
};

listener_connection::listener_connection(tcp::socket socket, std::shared_ptr<listener_core> core)
    : m_socket(std::move(socket))
    , m_core(std::move(core))
    , m_timer(m_core->io)
{
    error_code ignored; // A socket that was reset already reports it at the first read.
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
}

void listener_connection::start()
{
    if (!m_core->clients.add(shared_from_this())) {
        closeForRoom();
        return;
    }
    updateQueue();
    armTimer(m_core->options.idleTime + IdleTimeMargin);
    startRead();
}

/// Takes the difference between what is held and what has been charged. Returns false if there is
/// no memory, or if this connection was closed to make room.
bool listener_connection::charge(std::size_t &charged, memory_part part, std::size_t held)
{
    memory_budget &memory = m_core->clients.memory;
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

void listener_connection::chargeInput()
{
    if (m_closed)
        return;
    if (m_input.empty() && m_input.capacity() > MaxKeptInput)
        freeText(m_input);
    const std::size_t body = m_discardsBody && m_parser ? m_parser->bodyBytes() : 0;
    if (charge(m_chargedInput, memory_part::Heads, m_input.capacity() + body) || m_closed)
        return;
    m_core->clients.limitReached(listener_limit::Memory, "head");
    closeForRoom();
}

/// Counts the output even if it does not fit, once no other output can be dropped: a single large
/// response is still sent.
void listener_connection::chargeOutput()
{
    const std::size_t held = m_sending.capacity() + m_output.capacity();
    if (held <= UncountedOutputBytes && m_chargedOutput == 0)
        return;
    listener_clients::queue::leave(m_unreadPlace); // Others are closed for this output.
    const bool isCharged = charge(m_chargedOutput, memory_part::Output, held);
    if (m_closed)
        return;
    if (!isCharged) {
        m_core->clients.memory.take(memory_part::Output, held - m_chargedOutput);
        m_chargedOutput = held;
    }
    if (!m_sending.empty())
        m_core->clients.unread.enter(*this, m_unreadPlace, steadyNow());
}

/// Enters the queue of the connection's state, so that the right one is closed if room is needed.
void listener_connection::updateQueue()
{
    listener_clients &clients = m_core->clients;
    const time_point now = steadyNow();
    const bool isRunning = m_state == state::Call && !m_onBody;
    if (m_closed || m_state == state::Lingering || isRunning)
        listener_clients::queue::leave(m_place);
    else if (m_state == state::Call)
        clients.readingBody.enter(*this, m_place, now);
    else if (m_state == state::Idle && !clients.idle.contains(m_place))
        clients.idle.enter(*this, m_place, now);
    else if (m_state == state::Head && !clients.readingHead.contains(m_place))
        clients.readingHead.enter(*this, m_place, now);
}

void listener_connection::armTimer(duration time)
{
    m_timer.expires_after(time);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error)
            self->timerExpired();
    });
}

void listener_connection::timerExpired()
{
    const auto self = shared_from_this();
    if (m_closed)
        return;
    if (m_state == state::Head) {
        refuse(408, listener_limit::HeadTime);
    } else if (m_onBody) {
        m_core->clients.limitReached(listener_limit::BodyTime, "half_read_body");
        endBody(body_end::TooSlow);
    } else if (!m_sending.empty()) {
        m_core->clients.limitReached(listener_limit::Unread, "no_progress");
        reset();
    } else if (m_state != state::Call) {
        close();
    }
}

void listener_connection::startRead()
{
    const bool full = m_state == state::Call && !m_onBody && !m_discardsBody
                      && m_input.size() >= MaxReadAhead;
    if (m_reading || m_closed || full)
        return;
    m_reading = true;
    // Only waits, since a buffer that is passed to the socket must exist until bytes arrive.
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        self->m_reading = false;
        if (self->m_closed)
            return;
        if (error)
            self->close();
        else
            self->readAvailable();
    });
}

void listener_connection::readAvailable()
{
    error_code error;
    auto &buffer = m_core->clients.readBuffer;
    const std::size_t bytes = m_socket.read_some(boost::asio::buffer(buffer), error);
    if (error && error != boost::asio::error::would_block) {
        close();
        return;
    }
    if (!error && m_state != state::Lingering) {
        m_input.append(buffer.data(), bytes);
        parseInput();
        chargeInput();
    }
    startRead();
}

void listener_connection::parseInput()
{
    while (!m_closed && !m_input.empty()) {
        if (m_state == state::Call && (m_onBody || m_discardsBody)) {
            parseBody();
            return;
        }
        if (m_state == state::Call || m_state == state::Lingering || !parseHead())
            return;
    }
}

/// Returns whether there may be more to parse.
bool listener_connection::parseHead()
{
    if (m_state == state::Idle) {
        m_state = state::Head;
        m_headBytes = 0;
        // A body's limit depends on its route, which is not known yet.
        m_parser.emplace(caller_limits{ m_core->options.headBytes,
                                        std::numeric_limits<std::size_t>::max(),
                                        m_core->options.headTime, m_core->options.idleTime });
        armTimer(m_core->options.headTime);
        updateQueue();
    }
    const std::size_t before = m_input.size();
    const bool progressed = m_parser->parse(m_input);
    m_headBytes += before - m_input.size();
    const bool isTooLong = m_headBytes > m_core->options.headBytes
                           || (!m_parser->isHeadComplete()
                               && m_headBytes + m_input.size() > m_core->options.headBytes);
    if (isTooLong || m_parser->refusalStatus() == 431) {
        refuse(431, listener_limit::HeadBytes);
        return false;
    }
    if (m_parser->isHeadComplete()) {
        beginCall();
        return true;
    }
    if (m_parser->refusalStatus() != 0) {
        refuseMessage(m_parser->refusalStatus(), "malformed_request", "the request is malformed");
        return false;
    }
    return progressed;
}

void listener_connection::refuse(int status, listener_limit limit)
{
    m_core->clients.limitReached(limit, "half_read");
    refuseMessage(status, std::string(nameOf(limit)), "a limit on requests was reached");
}

/// Answers a request that no handler has got, and closes the connection behind the answer.
void listener_connection::refuseMessage(int status, const std::string &code,
                                        const std::string &message)
{
    const error_reply error = notRun(status, code, message);
    const std::string body = formatError(error);
    m_state = state::Call;
    m_keepAlive = false;
    freeText(m_input);
    m_parser.reset();
    updateQueue();
    write(formatHead(status, withLength(refusalFields(status), body)) + body);
    responseEnded();
}

void listener_connection::beginCall()
{
    const auto self = shared_from_this();
    const auto &message = m_parser->message();
    m_state = state::Call;
    m_bodyRead = m_parser->isComplete();
    m_keepAlive = message.keep_alive() && m_parser->refusalStatus() == 0;
    m_isHeadRequest = message.method() == http::verb::head;
    m_acceptsChunks = message.version() >= FirstVersionWithChunks;
    m_responseEnded = false;
    m_streaming = false;
    m_timer.cancel();
    updateQueue();
    request_head head = headOf(*m_parser);
    const std::size_t held = RequestBytes + RequestCopies * m_headBytes;
    if (!charge(m_chargedRequest, memory_part::Requests, held)) {
        if (!m_closed)
            refuse(503, listener_limit::Memory);
        return;
    }
    if (!m_core->clients.beginCall()) {
        if (!m_closed)
            refuse(503, listener_limit::Descriptors);
        return;
    }
    m_countsCall = true;
    if (head.target.empty() && head.refusalStatus == 0) {
        refuseMessage(400, "malformed_target", "the target of the request is malformed");
        return;
    }
    m_call = std::make_shared<connection_call>(self, std::move(head));
    boost::asio::post(m_core->workers, [core = m_core, call = m_call] {
        runStep(Component, "", [&] { core->onCall(call); });
    });
}

void listener_connection::setClosed(const connection_call *call, http_call::closed_callback closed)
{
    if (call == m_call.get()) {
        m_onClosed = std::move(closed);
        return;
    }
    boost::asio::post(m_core->workers, [closed = std::move(closed)] {
        runStep(Component, "", [&] { closed(false); });
    });
}

void listener_connection::readBody(const connection_call *call, std::size_t limit,
                                   http_call::body_callback done)
{
    if (call != m_call.get() || m_onBody) {
        boost::asio::post(m_core->workers,
                          [done = std::move(done)] { runStep(Component, "", [&] { done({}); }); });
        return;
    }
    m_onBody = std::move(done);
    m_bodyLimit = limit;
    if (m_parser->statedLength().value_or(0) > limit) {
        endBody(body_end::TooLarge);
        return;
    }
    updateQueue();
    armTimer(m_core->options.idleTime);
    if (!m_bodyRead && m_input.empty() && m_parser->awaitsContinue())
        write("HTTP/1.1 100 Continue\r\n\r\n");
    parseBody();
    chargeInput();
    startRead();
}

/// Parses what has arrived of the body.
void listener_connection::parseBody()
{
    const auto self = shared_from_this();
    bool progressed = false;
    while (!m_input.empty() && !m_parser->isComplete() && m_parser->refusalStatus() == 0
           && m_parser->parse(m_input))
        progressed = true;
    m_bodyRead = m_parser->isComplete();
    if (m_discardsBody) {
        if (m_parser->refusalStatus() != 0 || m_parser->bodyBytes() > MaxDiscardedBody)
            m_keepAlive = false;
        else if (m_bodyRead)
            m_discardsBody = false;
        if (m_responseEnded && m_sending.empty())
            outputDrained();
        return;
    }
    if (m_parser->bodyBytes() > m_bodyLimit) {
        endBody(body_end::TooLarge);
        return;
    }
    if (m_parser->refusalStatus() != 0) {
        endBody(body_end::Incomplete);
        return;
    }
    listener_clients::queue::leave(m_place); // Others are closed for this body.
    if (!charge(m_chargedBody, memory_part::Bodies, RequestCopies * m_parser->bodyBytes())) {
        if (m_closed)
            return;
        m_core->clients.limitReached(listener_limit::Memory, "body");
        endBody(body_end::NoMemory);
        return;
    }
    if (m_bodyRead) {
        endBody(body_end::Complete);
        return;
    }
    updateQueue();
    if (progressed)
        armTimer(m_core->options.idleTime);
}

void listener_connection::endBody(body_end end)
{
    if (!m_onBody)
        return;
    received_body body{ end, {} };
    if (end == body_end::Complete) {
        body.text = std::move(m_parser->release().body());
    } else {
        if (end == body_end::TooLarge)
            m_core->clients.limitReached(listener_limit::BodyBytes, "body");
        m_keepAlive = false;
        freeText(m_input);
        m_parser.reset();
        charge(m_chargedBody, memory_part::Bodies, 0);
    }
    m_timer.cancel();
    boost::asio::post(m_core->workers,
                      [done = std::exchange(m_onBody, nullptr), body = std::move(body)]() mutable {
                          runStep(Component, "", [&] { done(std::move(body)); });
                      });
    updateQueue();
}

/// Returns the head with its blank line. Its fields are in the order of their names.
std::string listener_connection::formatHead(int status, std::vector<header> fields) const
{
    if (!m_keepAlive)
        fields.push_back({ "Connection", "close" });
    std::stable_sort(fields.begin(), fields.end(), [](const header &a, const header &b) {
        return boost::algorithm::ilexicographical_compare(a.name, b.name);
    });
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reason.data(), reason.size()).append("\r\n").append(formatFields(fields));
    return text.append("\r\n");
}

void listener_connection::respond(const connection_call *call, int status,
                                  const std::vector<header> &fields, const std::string &body,
                                  bool closes)
{
    if (call != m_call.get() || m_streaming || m_responseEnded)
        return;
    if (!m_bodyRead && m_parser
        && m_parser->statedLength().value_or(MaxDiscardedBody + 1) <= MaxDiscardedBody)
        m_discardsBody = true;
    m_keepAlive = m_keepAlive && !closes && (m_bodyRead || m_discardsBody);
    const bool hasNoBody = status < 200 || status == 204 || status == 304;
    std::string text = formatHead(status, hasNoBody ? fields : withLength(fields, body));
    if (!hasNoBody && !m_isHeadRequest)
        text += body;
    write(std::move(text));
    responseEnded();
}

void listener_connection::beginStream(const connection_call *call, int status,
                                      const std::vector<header> &fields)
{
    if (call != m_call.get() || m_streaming || m_responseEnded)
        return;
    m_streaming = true;
    m_keepAlive = m_keepAlive && m_acceptsChunks && m_bodyRead;
    std::vector<header> all = fields;
    if (m_acceptsChunks)
        all.push_back({ "Transfer-Encoding", "chunked" });
    write(formatHead(status, std::move(all)));
}

void listener_connection::sendPart(const connection_call *call, const std::string &bytes)
{
    if (call != m_call.get() || !m_streaming || m_responseEnded || bytes.empty())
        return;
    if (m_sending.size() - m_sentBytes + m_output.size() > MaxUnreadBytes) {
        m_core->clients.limitReached(listener_limit::Unread, "stream");
        reset();
        return;
    }
    write(m_acceptsChunks ? encodeChunk(bytes) : bytes);
}

void listener_connection::endStream(const connection_call *call)
{
    if (call != m_call.get() || !m_streaming || m_responseEnded)
        return;
    if (m_acceptsChunks)
        write("0\r\n\r\n");
    responseEnded();
}

void listener_connection::write(std::string bytes)
{
    if (m_closed)
        return;
    const auto self = shared_from_this();
    std::string &next = m_writing ? m_output : m_sending;
    if (next.empty())
        next = std::move(bytes);
    else
        next.append(bytes);
    chargeOutput();
    writeNext();
}

void listener_connection::writeNext()
{
    if (m_writing || m_closed || m_sending.empty())
        return;
    m_writing = true;
    if (!m_onBody)
        armTimer(m_core->options.idleTime);
    m_socket.async_write_some(boost::asio::buffer(m_sending) + m_sentBytes,
                              [self = shared_from_this()](error_code error, std::size_t bytes) {
                                  self->bytesWritten(error, bytes);
                              });
}

void listener_connection::bytesWritten(error_code error, std::size_t bytes)
{
    m_writing = false;
    if (m_closed)
        return;
    if (error) {
        close();
        return;
    }
    m_sentBytes += bytes;
    if (m_sentBytes == m_sending.size()) {
        m_sending.swap(m_output);
        freeText(m_output);
        m_sentBytes = 0;
    }
    chargeOutput();
    if (m_closed)
        return;
    if (!m_sending.empty()) {
        writeNext();
        return;
    }
    freeText(m_sending);
    if (!m_onBody)
        m_timer.cancel();
    if (m_responseEnded)
        outputDrained();
}

void listener_connection::responseEnded()
{
    m_responseEnded = true;
    if (!m_closed && m_sending.empty())
        outputDrained();
}

/// The response has been written to its end.
void listener_connection::outputDrained()
{
    const auto self = shared_from_this();
    postClosed(true);
    if (!m_keepAlive) {
        linger();
        return;
    }
    if (m_discardsBody) {
        armTimer(m_core->options.idleTime);
        parseInput();
        startRead();
        return;
    }
    nextRequest();
}

void listener_connection::nextRequest()
{
    charge(m_chargedRequest, memory_part::Requests, 0);
    charge(m_chargedBody, memory_part::Bodies, 0);
    m_parser.reset();
    m_state = state::Idle;
    m_responseEnded = false;
    updateQueue();
    armTimer(m_core->options.idleTime + IdleTimeMargin);
    // Not at once: this may run within parseInput().
    boost::asio::post(m_core->io, [self = shared_from_this()] {
        if (self->m_closed)
            return;
        self->parseInput();
        self->chargeInput();
        self->startRead();
    });
}

/// Ends the response's direction and discards what still arrives for a short time.
void listener_connection::linger()
{
    m_state = state::Lingering;
    charge(m_chargedRequest, memory_part::Requests, 0);
    charge(m_chargedBody, memory_part::Bodies, 0);
    freeText(m_input);
    chargeInput();
    m_parser.reset();
    updateQueue();
    error_code error;
    m_socket.shutdown(tcp::socket::shutdown_send, error);
    if (error) {
        close();
        return;
    }
    m_core->clients.idle.enter(*this, m_place, steadyNow());
    armTimer(LingerTime);
    startRead();
}

/// Tells the request's owner how its response ended, and gives its descriptor back.
void listener_connection::postClosed(bool delivered)
{
    m_call = nullptr;
    if (std::exchange(m_countsCall, false))
        m_core->clients.endCall();
    if (!m_onClosed)
        return;
    boost::asio::post(m_core->workers, [closed = std::exchange(m_onClosed, nullptr), delivered] {
        runStep(Component, "", [&] { closed(delivered); });
    });
}

void listener_connection::closeForRoom()
{
    const auto self = shared_from_this();
    if (m_onBody) { // Its owner refuses the request.
        endBody(body_end::NoMemory);
        return;
    }
    if (m_state == state::Head) {
        const std::string body = formatError(
                notRun(503, "no_room", "the router has no room for this request"));
        m_keepAlive = false;
        const std::string refusal = formatHead(503, withLength(refusalFields(503), body)) + body;
        // If the bytes cannot be sent at once, the close alone tells the client.
        static_cast<void>(::send(m_socket.native_handle(), refusal.data(), refusal.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL));
    }
    if (m_sending.empty())
        close();
    else
        reset();
}

void listener_connection::reset()
{
    error_code ignored; // The close follows in any case.
    m_socket.set_option(tcp::socket::linger(true, 0), ignored);
    close();
}

void listener_connection::close()
{
    if (m_closed)
        return;
    const auto self = shared_from_this();
    m_closed = true;
    m_timer.cancel();
    error_code ignored; // The connection is closed in any case.
    m_socket.close(ignored);
    endBody(body_end::Incomplete);
    postClosed(false);
    updateQueue();
    listener_clients::queue::leave(m_unreadPlace);
    m_parser.reset();
    freeText(m_input);
    freeText(m_output);
    if (!m_writing)
        freeText(m_sending);
    charge(m_chargedInput, memory_part::Heads, 0);
    charge(m_chargedOutput, memory_part::Output, 0);
    charge(m_chargedRequest, memory_part::Requests, 0);
    charge(m_chargedBody, memory_part::Bodies, 0);
    m_core->clients.remove(self);
}

} // namespace burdockhold
