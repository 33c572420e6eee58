#ifndef BURDOCKHOLD_CALLER_REPLY_H
#define BURDOCKHOLD_CALLER_REPLY_H

// The response to one caller: an error, a complete body, or a stream of events, each sent at once.
// Every response carries X-Request-Id. A response has one head: what follows the head of a stream
// is an event of it or is not sent at all.
//
// A caller that disconnects is noticed while nothing is written, too, and one that leaves too much
// unread is cut off; see http_listener.h.

#include "burdockhold/completion.h"
#include "burdockhold/http_listener.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace burdockhold {

class caller_reply
{
public:
    /// Called once, when the response has been written (true), or the caller disconnected or was
    /// cut off before (false).
    using closed_callback = std::function<void(bool)>;

    caller_reply(std::shared_ptr<http_call> call, std::string requestId);

    /// Sets the callback. Must be called before anything is sent.
    void setClosed(closed_callback onClosed);

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
    std::vector<header> withRequestId(std::vector<header> fields) const;

    std::shared_ptr<http_call> m_call;
    std::string m_requestId;
    std::atomic<reply_state> m_state{ reply_state::Unsent };
};

} // namespace burdockhold

#endif
