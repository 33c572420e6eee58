#ifndef BURDOCKHOLD_CALLER_REPLY_H
#define BURDOCKHOLD_CALLER_REPLY_H

// The response to one caller: an error, a complete body, or a stream of events, each flushed when
// it is sent. Every response carries X-Request-Id. A response has one head: what follows the head
// of a stream is an event of it or is not sent at all, because cpprest throws at a second head.
//
// Limitations of cpprest: a caller that disconnects is noticed only when a write fails, one or two
// writes later. While nothing is written, for instance before the first token, the disconnect goes
// unnoticed. There is no backpressure: events are buffered without a bound if the caller reads
// slowly.

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
    /// Called once, when the response has been written (true), or the caller disconnected or the
    /// response could not be written (false).
    using closed_callback = std::function<void(bool)>;

    caller_reply(const web::http::http_request &message, std::string requestId);

    /// Sets the callback. Must be called before anything is sent.
    void setClosed(closed_callback onClosed) { m_onClosed = std::move(onClosed); }

    /// Ends the response with an error: with its status and the refusal headers of section 5 of the
    /// design page if nothing was sent, as the last event if a stream has begun. Does nothing once
    /// the response has ended.
    void sendError(const error_reply &error);
    /// Sends a complete response. Returns false, and sends nothing, if a head was sent before.
    [[nodiscard]] bool sendBody(int status, const std::vector<header> &headers,
                                const std::string &body);

    /// Sends status 200 and the headers of an event stream. Does nothing if a head was sent before.
    void beginStream();
    /// Sends and flushes one event. Does nothing unless a stream is open.
    void sendEvent(const std::string &data);
    /// Ends the stream. Does nothing unless a stream is open.
    void endStream();

    /// Returns true once any part of the response was sent.
    bool started() const { return m_state != reply_state::Unsent; }

private:
    enum class reply_state { Unsent, Streaming, Ended };

    bool takeHead(reply_state next);
    void send(web::http::http_response response);

    web::http::http_request m_message;
    std::string m_requestId;
    closed_callback m_onClosed;
    std::atomic<reply_state> m_state{ reply_state::Unsent };
    concurrency::streams::producer_consumer_buffer<std::uint8_t> m_buffer;
};

} // namespace burdockhold

#endif
