#include "burdockhold/topic_follower.h"

#include "burdockhold/router_board.h"

#include <utility>

namespace burdockhold {

using boost::system::error_code;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusGone = 410; // Records were deleted before they were read.

std::string requestText(const platform::log_call &call,
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
                               boost::asio::ip::tcp::endpoint server)
    : m_context(context)
    , m_server(std::move(server))
    , m_timer(context)
{
}

void log_connection::call(const platform::log_call &call, duration timeout,
                          std::function<void(log_response)> done)
{
    m_done = std::move(done);
    m_answer = {};
    if (!m_link || !m_link->isReusable())
        m_link = std::make_shared<http_client_connection>(m_context, m_server);
    const auto self = shared_from_this();
    m_timer.expires_after(timeout);
    m_timer.async_wait([self](error_code error) {
        if (error || !self->m_done)
            return;
        // A connection on which an answer was lost returns nothing further.
        self->m_link->close();
        self->finish({});
    });
    m_link->call(requestText(call, m_server),
                 { [self](const response_message &message) {
                      self->m_answer.status = static_cast<int>(message.result_int());
                      return true;
                  },
                   [self](std::string_view bytes) { self->bodyArrived(bytes); },
                   [self](http_outcome end) {
                       self->finish(end == http_outcome::Complete ? std::move(self->m_answer)
                                                                  : log_response{});
                   } });
}

void log_connection::bodyArrived(std::string_view bytes)
{
    m_answer.body.append(bytes);
    if (m_answer.body.size() <= MaxAnswerBytes)
        return;
    m_answer = {};
    m_link->close();
    finish({});
}

void log_connection::close()
{
    m_done = nullptr;
    m_timer.cancel();
    if (m_link)
        m_link->close();
}

void log_connection::finish(log_response answer)
{
    m_timer.cancel();
    const auto done = std::exchange(m_done, nullptr);
    if (done)
        done(std::move(answer));
}

topic_follower::topic_follower(boost::asio::io_context &context,
                               boost::asio::ip::tcp::endpoint server, follower_options options,
                               follower_handlers handlers)
    : m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_lane(std::make_shared<log_connection>(context, std::move(server)))
    , m_timer(context)
{
}

void topic_follower::start()
{
    m_next.reset();
    m_loading.clear();
    m_loadEnd.reset();
    m_loadStartedAt = bootTimeNow();
    loadPage({});
}

void topic_follower::stop()
{
    m_stopped = true;
    m_timer.cancel();
    m_lane->close();
}

void topic_follower::loadPage(const std::string &after)
{
    m_lane->call(
            platform::newestCall(m_options.topic, after), m_options.callTimeout,
            [self = shared_from_this()](const log_response &answer) { self->pageArrived(answer); });
}

void topic_follower::pageArrived(const log_response &answer)
{
    auto page = platform::decodeNewest(answer.body);
    if (answer.status != StatusOk || !isOk(page)) {
        retryAfterPause(answer.status);
        return;
    }
    platform::newest_page &newest = valueOf(page);
    if (!m_loadEnd)
        m_loadEnd = newest.end;
    m_loading.insert(m_loading.end(), newest.records.begin(), newest.records.end());
    if (newest.hasMore && !newest.records.empty()) {
        loadPage(newest.records.back().key);
        return;
    }
    m_handlers.loaded(m_loading);
    m_loading.clear();
    m_next = m_loadEnd;
    m_handlers.proven(m_loadStartedAt);
    continueAfter(m_options.readPause());
}

void topic_follower::read()
{
    m_sentAt = bootTimeNow();
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.readWait);
    m_lane->call(
            platform::readCall(m_options.topic, *m_next, wait),
            m_options.readWait + m_options.callTimeout,
            [self = shared_from_this()](const log_response &answer) { self->readArrived(answer); });
}

void topic_follower::readArrived(const log_response &answer)
{
    if (answer.status == StatusGone) {
        start();
        return;
    }
    auto page = platform::decodeRead(answer.body);
    if (answer.status != StatusOk || !isOk(page)) {
        retryAfterPause(answer.status);
        return;
    }
    const platform::log_page &records = valueOf(page);
    for (const platform::keyed_record &record : records.records) {
        if (!record.key.empty())
            m_handlers.changed(record);
    }
    m_next = *m_next + records.records.size();
    const bool atTail = *m_next >= records.end;
    if (atTail)
        m_handlers.proven(m_sentAt);
    continueAfter(atTail ? m_options.readPause() : duration::zero());
}

void topic_follower::retryAfterPause(int status)
{
    m_handlers.failed(status);
    m_loading.clear();
    m_loadEnd.reset();
    continueAfter(m_options.retryPause());
}

void topic_follower::continueAfter(duration pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (error || self->m_stopped)
            return;
        if (self->m_next)
            self->read();
        else
            self->start();
    });
}

} // namespace burdockhold
