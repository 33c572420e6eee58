#include "burdockhold/caller_reply.h"

#include "burdockhold/sse.h"
#include "burdockhold/task_guard.h"

#include <memory>
#include <utility>

namespace burdockhold {

using web::http::http_response;

namespace {

constexpr std::string_view Component = "caller_reply";

} // namespace

caller_reply::caller_reply(const web::http::http_request &message, std::string requestId)
    : m_message(message)
    , m_requestId(std::move(requestId))
{
}

void caller_reply::sendError(const error_reply &error)
{
    if (!takeHead(reply_state::Ended)) {
        sendEvent(formatError(error));
        endStream();
        return;
    }
    http_response response(static_cast<web::http::status_code>(error.status));
    response.headers().add("X-Burdockhold-Run", std::string(nameOf(error.run)));
    if (error.status == 409 || error.status == 429 || error.status == 503)
        response.headers().add("Retry-After", std::to_string(error.retryAfterSeconds));
    if (error.closes)
        response.headers().add("Connection", "close");
    response.set_body(formatError(error), std::string("application/json"));
    send(std::move(response));
}

bool caller_reply::sendBody(int status, const std::vector<header> &headers, const std::string &body)
{
    if (!takeHead(reply_state::Ended))
        return false;
    http_response response(static_cast<web::http::status_code>(status));
    response.set_body(body, std::string("application/octet-stream"));
    for (const header &field : headers) {
        response.headers().remove(field.name);
        response.headers().add(field.name, field.value);
    }
    send(std::move(response));
    return true;
}

void caller_reply::beginStream()
{
    if (!takeHead(reply_state::Streaming))
        return;
    http_response response(web::http::status_codes::OK);
    response.headers().add("Cache-Control", "no-cache");
    response.set_body(m_buffer.create_istream(), std::string("text/event-stream"));
    send(std::move(response));
}

void caller_reply::sendEvent(const std::string &data)
{
    if (m_state != reply_state::Streaming)
        return;
    const auto bytes = std::make_shared<std::string>(formatEvent({ "", data }));
    auto buffer = m_buffer;
    buffer.putn_nocopy(reinterpret_cast<const std::uint8_t *>(bytes->data()), bytes->size())
            .then([bytes, buffer](const pplx::task<std::size_t> &written) mutable {
                try {
                    written.get();
                } catch (...) {
                    // The caller disconnected; the task of the response reports it.
                    return;
                }
            });
    buffer.sync();
}

void caller_reply::endStream()
{
    reply_state open = reply_state::Streaming;
    if (m_state.compare_exchange_strong(open, reply_state::Ended))
        m_buffer.close(std::ios_base::out);
}

/// Returns whether the caller may send a head, and lets no other call send one.
bool caller_reply::takeHead(reply_state next)
{
    reply_state unsent = reply_state::Unsent;
    return m_state.compare_exchange_strong(unsent, next);
}

void caller_reply::send(http_response response)
{
    // The callback keeps this object alive, so it is not kept here.
    const auto onClosed = std::make_shared<closed_callback>(std::exchange(m_onClosed, nullptr));
    const bool sent = runStep(Component, m_requestId, [&] {
        response.headers().remove("X-Request-Id");
        response.headers().add("X-Request-Id", m_requestId);
        m_message.reply(response).then(
                [onClosed, id = m_requestId](const pplx::task<void> &written) {
                    bool delivered = true;
                    try {
                        written.get();
                    } catch (...) {
                        delivered = false;
                    }
                    runStep(Component, id, [&] { (*onClosed)(delivered); });
                });
    });
    if (!sent)
        (*onClosed)(false);
}

} // namespace burdockhold
