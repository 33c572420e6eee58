#include "burdockhold/exchange_metrics.h"

#include <algorithm>
#include <map>
#include <utility>

namespace burdockhold {

exchange_metrics::exchange_metrics(metrics *target, time_point started)
    : m_target(target)
    , m_started(started)
    , m_lastToken(started)
{
}

void exchange_metrics::add(counter which, std::int64_t amount)
{
    if (m_target != nullptr && amount > 0)
        m_target->add(which, m_account, m_route, static_cast<std::uint64_t>(amount));
}

void exchange_metrics::attemptStarted(std::int64_t delivered, time_point now)
{
    if (m_target == nullptr)
        return;
    ++m_attempts;
    if (m_attempts == 1) {
        m_target->observe(timing::QueueWait, m_account, m_route, now - m_started);
        return;
    }
    add(counter::Retries, 1);
    if (delivered > 0)
        add(counter::Resumes, 1);
}

void exchange_metrics::attemptAnswered(const prompt_use &use)
{
    const std::int64_t computed = use.promptTokens - use.cachedTokens;
    if (m_use) {
        add(counter::RecomputedTokens, computed);
        return;
    }
    m_use = use;
    add(counter::PromptTokens, use.promptTokens);
    add(counter::CachedTokens, use.cachedTokens);
    if (m_attempts > 1)
        add(counter::RecomputedTokens, computed);
}

void exchange_metrics::tokensDelivered(std::int64_t total, time_point now)
{
    if (m_target == nullptr || total <= m_tokens)
        return;
    const timing which = m_tokens == 0 ? timing::TimeToFirstToken : timing::TimeBetweenTokens;
    m_target->observe(which, m_account, m_route, now - m_lastToken);
    m_tokens = total;
    m_lastToken = now;
}

void exchange_metrics::ended(const access_record &record, bool repeatable)
{
    if (m_target == nullptr)
        return;
    const request_outcome outcome = outcomeOf(record, repeatable);
    m_target->addRequest(outcome, m_account, m_route);
    if (outcome == request_outcome::Refused) {
        const std::string &code = record.outcome == "refused" ? record.reason : "no_endpoint";
        m_target->addRefusal(refusalReason(record.status, code), m_account, m_route);
    }
    if (outcome == request_outcome::Answered)
        add(counter::ServedRequests, 1);
    // Tokens delivered before a stream failed or its caller left were served all the same.
    if (outcome == request_outcome::Answered || record.outputTokens > 0)
        add(counter::ServedTokens, record.outputTokens + (m_use ? m_use->promptTokens : 0));
}

request_outcome outcomeOf(const access_record &record, bool repeatable)
{
    if (record.outcome == "complete")
        return request_outcome::Answered;
    if (record.outcome == "refused")
        return request_outcome::Refused;
    if (record.outcome == "caller_left")
        return request_outcome::Cancelled;
    if (record.status == 503)
        return request_outcome::Refused;
    return repeatable ? request_outcome::Failed : request_outcome::OutcomeUnknown;
}

refusal_reason refusalReason(int status, const std::string &code)
{
    static const std::map<std::string, refusal_reason> byCode{
        { "crash_suspect", refusal_reason::CrashSuspect },
        { "queue_full", refusal_reason::QueueFull },
        { "not_fresh", refusal_reason::NotFresh },
        { "stopping", refusal_reason::Draining },
        { "log_down", refusal_reason::LogDown },
    };
    static const std::map<int, refusal_reason> byStatus{
        { 401, refusal_reason::UnknownKey }, { 404, refusal_reason::NotFound },
        { 409, refusal_reason::KeyReused },  { 413, refusal_reason::TooLarge },
        { 422, refusal_reason::KeyReused },  { 429, refusal_reason::OverRate },
        { 503, refusal_reason::NoEndpoint },
    };
    const auto named = byCode.find(code);
    if (named != byCode.end())
        return named->second;
    const auto found = byStatus.find(status);
    return found == byStatus.end() ? refusal_reason::Malformed : found->second;
}

} // namespace burdockhold
