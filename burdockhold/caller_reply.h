#ifndef BURDOCKHOLD_CALLER_REPLY_H
#define BURDOCKHOLD_CALLER_REPLY_H

// The reply to one caller: an error, a whole body, or a stream of events that are flushed one by
// one. Every reply carries X-Request-Id.
//
// What cpprest does not promise: a caller that left is noticed only when a write fails, one or two
// writes later. While nothing is written, for instance before the first token, it goes unnoticed.
// Written events are buffered without a bound when the caller reads slowly.

#include "burdockhold/completion.h"

#include <cpprest/http_msg.h>
#include <cpprest/producerconsumerstream.h>

#include <atomic>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace burdockhold {

class caller_reply
{
public:
    /// Called once, when the reply has been written (true) or the caller left (false).
    using closed_callback = std::function<void(bool)>;

    caller_reply(const web::http::http_request &message, std::string requestId);

    /// Sets the callback. Before the first reply.
    void setClosed(closed_callback onClosed) { m_onClosed = std::move(onClosed); }

    /// Sends an error, with the refusal headers of the design page, section 5.
    void sendError(const error_reply &error);
    void sendWhole(int status, const std::vector<header> &headers, const std::string &body);

    /// Sends status 200 and the headers of an event stream.
    void beginStream();
    /// Sends and flushes one event. Only between beginStream() and endStream().
    void sendEvent(const std::string &data);
    void endStream();

    /// Returns true once any part of the reply was sent.
    bool started() const { return m_started; }

private:
    void send(web::http::http_response response);

    web::http::http_request m_message;
    std::string m_requestId;
    closed_callback m_onClosed;
    std::atomic<bool> m_started{ false };
    concurrency::streams::producer_consumer_buffer<std::uint8_t> m_buffer;
};

} // namespace burdockhold

#endif
