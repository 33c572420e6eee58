#ifndef BURDOCKHOLD_EXCHANGE_METRICS_H
#define BURDOCKHOLD_EXCHANGE_METRICS_H

// Reports the course of one request to the process's measures: what is counted, under which labels,
// and when. Routes are labelled by the path of their entry and never by the caller's path, because
// callers without a key could otherwise use up the bounded number of labels.
//
// Calls for one request come one at a time. Nothing here fails.

#include "burdockhold/access_log.h"
#include "burdockhold/clock.h"
#include "burdockhold/metrics.h"

#include <cstdint>
#include <optional>
#include <string>

namespace burdockhold {

/// Prompt tokens as the headers of an endpoint's answer state them.
struct prompt_use
{
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
};

class exchange_metrics
{
public:
    /// With a null target nothing is counted. The target must outlive the request.
    exchange_metrics(metrics *target, time_point started);

    /// Sets the labels; each once it is known.
    void setRoute(std::string route) { m_route = std::move(route); }
    void setAccount(std::string account) { m_account = std::move(account); }

    /// An attempt is about to be sent, after `delivered` output tokens of earlier attempts.
    void attemptStarted(std::int64_t delivered, time_point now);

    /// An endpoint answered. Prompt and cached tokens count once for a request, by its first
    /// answer. Recomputed are the tokens that endpoints after the first attempt computed. What the
    /// placement expected in a cache does not count: for a new prefix it is only a probability.
    void attemptAnswered(const prompt_use &use);

    /// The stream's delivered output tokens are now `total`. The time between tokens counts once
    /// for each event, however many tokens it carries.
    void tokensDelivered(std::int64_t total, time_point now);

    /// The request has ended. `repeatable` tells whether its route permits retries.
    void ended(const access_record &record, bool repeatable);

private:
    void add(counter which, std::int64_t amount);

    metrics *m_target;
    time_point m_started;
    time_point m_lastToken;
    std::string m_route;
    std::string m_account;
    int m_attempts = 0;
    std::int64_t m_tokens = 0;
    std::optional<prompt_use> m_use;
};

/// Returns how a request with this access record counts. A request that failed before a byte can
/// have reached an endpoint (status 503) counts as refused.
request_outcome outcomeOf(const access_record &record, bool repeatable);

/// Returns the reason under which a refusal with this status and error code counts.
refusal_reason refusalReason(int status, const std::string &code);

} // namespace burdockhold

#endif
