#include "burdockhold/limit_stage.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockhold {

namespace {

constexpr std::size_t BytesPerToken = 4;

error_reply refusalOf(const limit_verdict &verdict)
{
    error_reply error;
    error.status = 429;
    error.type = error_type::RateLimit;
    const bool open = verdict.outcome == limit_outcome::TooManyOpen;
    error.code = open ? "too_many_open_requests" : "rate_limit_exceeded";
    error.message = open ? "the account has too many open requests"
                         : "the account's rate of tokens is used up";
    error.retryAfterSeconds = std::max(1, int(std::ceil(toSeconds(verdict.retryAfter))));
    return error;
}

} // namespace

void limit_stage::admit(const std::string &account, std::size_t promptBytes, std::int64_t maxTokens,
                        next_function next)
{
    if (m_limiter == nullptr || account.empty()) {
        next(std::nullopt);
        return;
    }
    // The engines round up too.
    const std::size_t prompt = (promptBytes + BytesPerToken - 1) / BytesPerToken;
    m_promptTokens = double(std::max<std::size_t>(1, prompt));
    m_reserved = m_promptTokens + double(maxTokens);
    m_limiter->admit(account, m_reserved,
                     [this, next = std::move(next)](const limit_verdict &verdict) {
                         if (verdict.outcome == limit_outcome::Admitted) {
                             m_ticket = verdict.ticket;
                             next(std::nullopt);
                         } else {
                             next(refusalOf(verdict));
                         }
                     });
}

void limit_stage::settle(token_use use, std::int64_t outputTokens)
{
    const std::uint64_t ticket = std::exchange(m_ticket, 0);
    if (ticket == 0)
        return;
    double used = m_reserved;
    if (use == token_use::None)
        used = 0.0;
    else if (use == token_use::Counted)
        used = std::min(m_reserved, m_promptTokens + double(outputTokens));
    m_limiter->settle(ticket, used);
}

} // namespace burdockhold
