#include "burdockhold/retry_limit.h"

#include <cmath>

namespace burdockhold {

namespace {

/// Period over which retries are limited.
constexpr duration Window = std::chrono::seconds(10);
/// Keeps the floor of a product such as 0.2 * 35 at 7.
constexpr double Rounding = 1e-9;

retry_slack_options withAmount(retry_slack_options options, double amount)
{
    options.amount = amount;
    return options;
}

} // namespace

retry_limit::retry_limit(retry_limit_options options, retry_slack_options slackOptions,
                         time_point now)
    : m_options(options)
    , m_slack(withAmount(slackOptions, options.usedShare * options.slack), now)
{
}

/// Takes a retry of those that this VM's requests have earned, if no more than this share is used.
bool retry_limit::tryOwn(double share, time_point now)
{
    m_own.expire(now - Window);
    const double earned = m_options.usedShare * m_options.ratio * m_slack.creditedRequests(now);
    if (m_own.total() + 1.0 > share * std::floor(earned + Rounding))
        return false;
    m_own.add(1.0, now);
    return true;
}

bool retry_limit::tryRetry(time_point now)
{
    return tryOwn(1.0, now) || (m_options.sharesSlack && m_slack.tryTake(now));
}

bool retry_limit::tryOptionalRetry(time_point now)
{
    constexpr double MostUsed = 0.5;
    if (tryOwn(MostUsed, now))
        return true;
    return m_options.sharesSlack && m_slack.headroom(now) >= MostUsed && m_slack.tryTake(now);
}

} // namespace burdockhold
