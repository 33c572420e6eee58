#include "burdockhold/retry_limit.h"

namespace burdockhold {

namespace {

/// Period over which retries are limited.
constexpr duration Window = std::chrono::seconds(10);

/// In any window, half of the slack may be used as a burst and half at a steady rate.
quota_limit slackLimit(const retry_limit_options &options)
{
    const double half = options.usedShare * options.slack / 2.0;
    return { half / toSeconds(Window), half };
}

} // namespace

retry_limit::retry_limit(retry_limit_options options, const quota_ledger_options &slackOptions,
                         time_point now)
    : m_options(options)
    , m_own({ options.usedShare * options.ratio, 0, 0 })
    , m_slack(slackOptions, slackLimit(options), now)
{
}

bool retry_limit::tryRetry(time_point now)
{
    return m_own.tryRetry(now) || (m_options.sharesSlack && m_slack.tryAdmit(1.0, now));
}

bool retry_limit::tryOptionalRetry(time_point now)
{
    constexpr double MinHeadroom = 0.5;
    if (m_own.tryOptionalRetry(now))
        return true;
    return m_options.sharesSlack && m_slack.headroom() >= MinHeadroom && m_slack.tryAdmit(1.0, now);
}

} // namespace burdockhold
