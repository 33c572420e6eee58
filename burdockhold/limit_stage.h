#ifndef BURDOCKHOLD_LIMIT_STAGE_H
#define BURDOCKHOLD_LIMIT_STAGE_H

// The account-limit stage of one request: takes tokens before the request runs and returns the
// unused ones at its end. What is reserved, in tokens: a completion's prompt at 4 bytes a token, at
// least 1, plus its max_tokens; 1 for a call to a plain route. What counts as used: the prompt and
// the output tokens for a request that completed, nothing for one of which no byte can have reached
// an endpoint, else all that was reserved, since the endpoint may have computed it. A prompt that
// is computed again after a failed attempt is not counted twice.

#include "burdockhold/clock.h"
#include "burdockhold/completion.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace burdockhold {

enum class limit_outcome { Admitted, OverRate, TooManyOpen };

/// The decision on one request. The ticket is for settle(), when admitted.
struct limit_verdict
{
    limit_outcome outcome = limit_outcome::OverRate;
    std::uint64_t ticket = 0;
    duration retryAfter = std::chrono::seconds(1);
};

/// Holds accounts to their limits. Thread-safe.
class request_limiter
{
public:
    using verdict_function = std::function<void(const limit_verdict &)>;

    virtual ~request_limiter() = default;

    /// Decides on a request that uses at most reserveTokens. Calls decided once, possibly before
    /// it returns.
    virtual void admit(const std::string &account, double reserveTokens,
                       verdict_function decided) = 0;

    /// Ends an admitted request.
    virtual void settle(std::uint64_t ticket, double usedTokens) = 0;
};

/// How a request ended, as far as its tokens are concerned.
enum class token_use { None, Counted, Unknown };

class limit_stage
{
public:
    /// Called with nothing when the request is admitted, else with the refusal.
    using next_function = std::function<void(const std::optional<error_reply> &refusal)>;

    /// Without a limiter every request is admitted.
    explicit limit_stage(request_limiter *limiter)
        : m_limiter(limiter)
    {
    }

    /// Asks for the tokens of a request of an account; next is called once, possibly on another
    /// thread.
    void admit(const std::string &account, std::size_t promptBytes, std::int64_t maxTokens,
               next_function next);

    /// Returns the unused tokens, if any were taken. Repeated calls do nothing.
    void settle(token_use use, std::int64_t outputTokens);

private:
    request_limiter *m_limiter;
    std::uint64_t m_ticket = 0; ///< 0 when no tokens are held.
    double m_promptTokens = 0.0;
    double m_reserved = 0.0;
};

} // namespace burdockhold

#endif
