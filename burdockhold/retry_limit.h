#ifndef BURDOCKHOLD_RETRY_LIMIT_H
#define BURDOCKHOLD_RETRY_LIMIT_H

// Limits the retries to one pool: a fraction of this VM's requests, and a slack that all VMs share
// (retry_slack.h).

#include "burdockhold/clock.h"
#include "burdockhold/recent_counts.h"
#include "burdockhold/retry_slack.h"

namespace burdockhold {

struct retry_limit_options
{
    double ratio = 0.2;      ///< Retries as a share of the requests.
    double slack = 50.0;     ///< Retries beyond the ratio, over all VMs, in any 10 s.
    bool sharesSlack = true; ///< False: only the ratio is used.
    /// Fraction of the ratio and the slack that is used. The rest covers windows of different VMs
    /// that are not aligned.
    double usedShare = 0.9;
};

class retry_limit
{
public:
    /// The amount of the slack is taken from the limit's options.
    retry_limit(retry_limit_options options, retry_slack_options slackOptions, time_point now);

    /// Counts a first attempt.
    void countRequest(time_point now) { m_slack.countRequest(now); }

    /// Returns true and charges the limit if a retry is allowed now.
    bool tryRetry(time_point now);

    /// Like tryRetry(), for a retry that is useful but not necessary: it leaves at least half of
    /// the ratio and of the slack.
    bool tryOptionalRetry(time_point now);

    /// Returns the shared slack, whose use the VMs tell each other.
    retry_slack &slack() { return m_slack; }

private:
    bool tryOwn(double share, time_point now);

    retry_limit_options m_options;
    recent_count m_own; // Retries that this VM's requests have earned.
    retry_slack m_slack;
};

} // namespace burdockhold

#endif
