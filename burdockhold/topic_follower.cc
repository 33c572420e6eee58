#include "burdockhold/topic_follower.h"

#include "burdockhold/field_values.h"
#include "burdockhold/router_board.h"

#include <algorithm>
#include <utility>

namespace burdockhold {

using boost::system::error_code;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusGone = 410; // Records were deleted before they were read.

std::string formatRequest(const platform::log_call &call,
                          const boost::asio::ip::tcp::endpoint &server)
{
    std::string text = call.method + " " + call.target
                       + " HTTP/1.1\r\nHost: " + server.address().to_string() + "\r\n";
    if (!call.field.empty())
        text += call.field + "\r\n";
    if (call.method == "POST") {
        const bool json = !call.body.empty() && call.body.front() == '{';
        text += json ? "Content-Type: application/json\r\n" : "";
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    }
    return text + "\r\n" + call.body;
}

} // namespace

log_connection::log_connection(boost::asio::io_context &context,
                               boost::asio::ip::tcp::endpoint server, store_era *era,
                               std::size_t maxResponseBytes)
    : m_context(context)
    , m_server(std::move(server))
    , m_timer(context)
    , m_era(era)
    , m_maxResponseBytes(maxResponseBytes)
{
}

void log_connection::call(const platform::log_call &call, duration timeout,
                          std::function<void(log_response)> done)
{
    m_done = std::move(done);
    m_response = {};
    if (!m_httpConnection || !m_httpConnection->isReusable())
        m_httpConnection = std::make_shared<http_client_connection>(m_context, m_server);
    const auto self = shared_from_this();
    startTimer(timeout);
    m_httpConnection->call(formatRequest(call, m_server),
                           { [self](const response_message &message) {
                                self->headReceived(message);
                                return true;
                            },
                             [self](std::string_view bytes) { self->bodyReceived(bytes); },
                             [self](http_outcome end) {
                                 // The era may have risen since the head arrived.
                                 const bool outdated = self->m_era != nullptr
                                                       && self->m_era->isOutdated(
                                                               self->m_response.era);
                                 if (end == http_outcome::Complete && !outdated)
                                     self->finish(std::move(self->m_response));
                                 else
                                     self->finishWithoutResponse();
                             } });
}

void log_connection::headReceived(const response_message &message)
{
    m_response.status = static_cast<int>(message.result_int());
    if (m_era == nullptr)
        return;
    m_response.era = platform::decodeEra(valuesOf(message, platform::EraField));
    m_era->observe(m_response.era);
}

void log_connection::startTimer(duration timeout)
{
    m_bytesAtTimerStart = m_response.receivedBytes;
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this(), timeout](error_code error) {
        if (!error && self->m_done)
            self->timerExpired(timeout);
    });
}

void log_connection::timerExpired(duration timeout)
{
    const std::size_t received = m_response.receivedBytes - m_bytesAtTimerStart;
    const double requiredBytes = toSeconds(timeout) * static_cast<double>(MinBytesPerSecond);
    const bool isFirstPiece = m_bytesAtTimerStart == 0 && received > 0;
    if (isFirstPiece || static_cast<double>(received) >= requiredBytes) {
        startTimer(timeout);
        return;
    }
    // A connection with an outstanding response cannot be reused.
    m_httpConnection->close();
    finishWithoutResponse();
}

void log_connection::bodyReceived(std::string_view bytes)
{
    const time_point now = steadyNow();
    if (m_response.receivedBytes == 0)
        m_firstBytesAt = now;
    m_response.transferTime = now - m_firstBytesAt;
    m_response.body.append(bytes);
    m_response.receivedBytes += bytes.size();
    if (m_response.receivedBytes <= m_maxResponseBytes)
        return;
    m_httpConnection->close();
    finishWithoutResponse();
}

void log_connection::finishWithoutResponse()
{
    log_response none;
    none.receivedBytes = m_response.receivedBytes;
    m_response = {};
    finish(std::move(none));
}

void log_connection::close()
{
    m_done = nullptr;
    m_timer.cancel();
    if (m_httpConnection)
        m_httpConnection->close();
}

void log_connection::finish(log_response response)
{
    m_timer.cancel();
    const auto done = std::exchange(m_done, nullptr);
    if (done)
        done(std::move(response));
}

topic_follower::topic_follower(boost::asio::io_context &context,
                               const boost::asio::ip::tcp::endpoint &server, store_era &era,
                               follower_options options, follower_handlers handlers)
    : m_era(era)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_timer(context)
    , m_repeatTimer(context)
{
    for (read_call *call : { &m_call, &m_repeat })
        call->connection = std::make_shared<log_connection>(context, server, &era,
                                                            m_options.maxResponseBytes);
}

void topic_follower::start()
{
    load(load_cause::Started);
}

void topic_follower::load(load_cause cause)
{
    m_loadCause = cause;
    m_newestEraAtLoad = m_era.newestHeardOf();
    m_nextOffset.reset();
    m_loadedRecords.clear();
    m_loadEndOffset.reset();
    m_loadStartedAt = bootTimeNow();
    loadPage({});
}

void topic_follower::stop()
{
    m_stopped = true;
    cancelCalls();
}

void topic_follower::cancelCalls()
{
    ++m_timerUses;
    m_timer.cancel();
    m_repeatTimer.cancel();
    for (read_call *call : { &m_call, &m_repeat }) {
        call->connection->close();
        call->inFlight = false;
    }
}

void topic_follower::checkEra()
{
    if (m_stopped || m_era.newestHeardOf() <= m_newestEraAtLoad)
        return;
    cancelCalls();
    load(load_cause::LaterEra);
}

void topic_follower::loadPage(const std::string &after)
{
    m_call.connection->call(platform::newestCall(m_options.topic, after), m_options.callTimeout,
                            [self = shared_from_this()](const log_response &response) {
                                self->pageReceived(response);
                            });
}

void topic_follower::pageReceived(const log_response &response)
{
    auto page = platform::decodeNewest(response.body);
    if (response.status != StatusOk || !isOk(page)) {
        retryAfterPause(response.status);
        return;
    }
    platform::newest_page &newest = valueOf(page);
    if (m_loadEndOffset && m_loadEra != m_era.current()) {
        load(load_cause::LaterEra);
        return;
    }
    if (!m_loadEndOffset)
        m_loadEndOffset = newest.end;
    m_loadEra = m_era.current();
    m_newestEraAtLoad = std::max(m_newestEraAtLoad, m_loadEra);
    m_loadedRecords.insert(m_loadedRecords.end(), newest.records.begin(), newest.records.end());
    if (newest.hasMore && !newest.records.empty()) {
        loadPage(newest.records.back().key);
        return;
    }
    finishLoad();
}

void topic_follower::finishLoad()
{
    m_nextOffset = m_loadEndOffset;
    m_position = { m_loadEra, *m_nextOffset };
    m_handlers.loaded(m_loadedRecords);
    m_handlers.loadEnded({ m_loadCause, m_position, m_loadedRecords.size() });
    m_loadedRecords.clear();
    m_handlers.confirmed(m_loadStartedAt);
    scheduleNext(m_options.readPause());
}

void topic_follower::read()
{
    send(m_call);
    startRepeatTimer();
}

void topic_follower::send(read_call &call)
{
    call.sentAt = bootTimeNow();
    call.inFlight = true;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.readWait);
    call.connection->call(platform::readCall(m_options.topic, *m_nextOffset, wait),
                          m_options.readWait + m_options.callTimeout,
                          [self = shared_from_this(), &call](const log_response &response) {
                              self->readEnded(call, response);
                          });
}

void topic_follower::startRepeatTimer()
{
    m_repeatTimer.expires_after(m_options.readWait + m_options.repeatAfter);
    m_repeatTimer.async_wait([self = shared_from_this()](error_code error) {
        const read_call &call = self->m_call;
        if (error || self->m_stopped || !call.inFlight || call.connection->isReceiving())
            return;
        self->m_handlers.repeated();
        self->send(self->m_repeat);
    });
}

/// Waits for the other call after a failure, and ends the other one after a success.
void topic_follower::readEnded(read_call &call, const log_response &response)
{
    call.inFlight = false;
    read_call &other = &call == &m_call ? m_repeat : m_call;
    const bool succeeded = response.status == StatusOk || response.status == StatusGone;
    if (!succeeded && other.inFlight)
        return;
    m_repeatTimer.cancel();
    const duration sentAt = call.sentAt;
    if (other.inFlight) {
        other.connection->close();
        other.inFlight = false;
    }
    // The next read uses the connection that works.
    if (&call == &m_repeat)
        std::swap(m_call.connection, m_repeat.connection);
    readReceived(sentAt, response);
}

void topic_follower::readReceived(duration sentAt, const log_response &response)
{
    // An answer without a stated era is of the known one: log_connection drops earlier ones.
    if (m_era.current() != m_position.era) {
        load(load_cause::LaterEra);
        return;
    }
    if (response.status == StatusGone) {
        load(load_cause::RecordsDeleted);
        return;
    }
    auto page = platform::decodeRead(response.body);
    if (response.status != StatusOk || !isOk(page)) {
        retryAfterPause(response.status);
        return;
    }
    const platform::log_page &records = valueOf(page);
    for (const platform::keyed_record &record : records.records) {
        if (!record.key.empty())
            m_handlers.changed(record);
    }
    m_nextOffset = *m_nextOffset + records.records.size();
    m_position.offset = *m_nextOffset;
    const bool caughtUp = *m_nextOffset >= records.end;
    if (caughtUp)
        m_handlers.confirmed(sentAt);
    scheduleNext(caughtUp ? m_options.readPause() : duration::zero());
}

void topic_follower::retryAfterPause(int status)
{
    m_handlers.failed(status);
    m_loadedRecords.clear();
    m_loadEndOffset.reset();
    scheduleNext(m_options.retryPause());
}

void topic_follower::scheduleNext(duration pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([self = shared_from_this(), use = ++m_timerUses](error_code error) {
        if (error || self->m_stopped || use != self->m_timerUses)
            return;
        if (self->m_nextOffset)
            self->read();
        else
            self->load(self->m_loadCause);
    });
}

} // namespace burdockhold
