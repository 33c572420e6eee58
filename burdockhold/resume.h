#ifndef BURDOCKHOLD_RESUME_H
#define BURDOCKHOLD_RESUME_H

// Continuity of one stream over several attempts. Each event of an endpoint carries the index of
// its output token; the caller must get every index once and in order, then the usage, then the
// end. An event that breaks this ends the attempt; the next one continues after what was delivered.
// Each call takes time linear in the event.

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhold {

enum class stream_state { Streaming, Complete, NeedsResume, Failed };

/// What to do with one event.
enum class event_action {
    Deliver, ///< Send `text` to the caller.
    Drop,    ///< Already delivered.
    Finish,  ///< The stream is complete; send the end marker.
    Abandon, ///< The attempt is unusable; see state() and reason().
};

struct event_verdict
{
    event_action action = event_action::Drop;
    std::string text; ///< The event's data for the caller.
};

struct resume_options
{
    int maxAttempts = 4; ///< Attempts for one stream, the first included.
};

class stream_continuity
{
public:
    explicit stream_continuity(std::string requestId, resume_options options = {});

    /// Starts an attempt. Only in state NeedsResume, which is also the initial one.
    void beginAttempt();

    /// Judges the data of one event. Events carry the request's id, alone or after a prefix
    /// ("cmpl-ID"), and the usage counts the tokens of the whole stream, also when it was resumed.
    /// Only in state Streaming.
    event_verdict accept(std::string_view data);

    /// The endpoint's response ended or failed. Does nothing unless the state is Streaming.
    void endAttempt(const std::string &why);

    /// No further attempt is possible, for instance because no endpoint is left.
    void giveUp(const std::string &why);

    stream_state state() const { return m_state; }
    /// Output tokens delivered so far: the value of X-Resume-From for the next attempt.
    std::int64_t delivered() const { return m_delivered; }
    int attempts() const { return m_attempts; }
    std::int64_t cachedTokens() const { return m_cachedTokens; }
    /// Why the last attempt ended early.
    const std::string &reason() const { return m_reason; }

private:
    event_verdict abandon(const std::string &why);
    event_verdict finish();

    std::string m_requestId;
    resume_options m_options;
    stream_state m_state = stream_state::NeedsResume;
    int m_attempts = 0;
    std::int64_t m_delivered = 0;
    std::int64_t m_cachedTokens = 0;
    bool m_usageDelivered = false;
    bool m_usageSeen = false;
    std::string m_reason;
};

} // namespace burdockhold

#endif
