#ifndef BURDOCKHOLD_ENDPOINT_HEALTH_H
#define BURDOCKHOLD_ENDPOINT_HEALTH_H

// Health of a pool's endpoints as one VM sees it, and the pool's budget for retries.
//
// pool_health ejects an endpoint after consecutive failures, at a high error rate, or when it is
// much slower than the rest of its pool. It never ejects more than half of the active endpoints: an
// endpoint that should go while the cap is reached stays in use. Time and memory are linear in the
// number of endpoints.

#include "burdockhold/catalogue.h"
#include "burdockhold/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

struct health_options
{
    int failuresToEject = 5;       ///< Consecutive failed calls.
    double errorRateToEject = 0.5; ///< Share of failed calls within the rate window.
    int minCallsForRate = 20;      ///< Below this the error rate is not judged.
    double latencyFactor = 3.0;    ///< Times the median of the pool's other endpoints.
    /// Least excess over that median: among fast endpoints a large factor means little.
    duration minLatencyExcess = std::chrono::milliseconds(20);
    int minCallsForLatency = 20;  ///< Successful calls before latency is judged.
    double maxEjectedShare = 0.5; ///< Of the pool's active endpoints, rounded down.
    duration firstEjection = std::chrono::seconds(1); ///< Doubles with each further one.
    duration longestEjection = std::chrono::seconds(60);
    int successesToForgive = 10; ///< Consecutive; the next ejection is then the first again.
    duration maxLoadAge = std::chrono::seconds(2); ///< Older load reports are not used.
};

/// An endpoint of the pool, from the catalogue.
struct pool_member
{
    std::string endpoint;
    endpoint_state state = endpoint_state::Active;
};

/// How a call to an endpoint ended.
struct call_report
{
    std::string incarnation; ///< Empty when the call ended before the endpoint named it.
    bool succeeded = false;
    duration latency = duration::zero(); ///< Time to the first byte. Only of successful calls.
};

struct load_report
{
    std::string incarnation;
    std::int64_t queuedTokens = 0;
    std::int64_t running = 0;
    time_point receivedAt;
};

struct endpoint_health
{
    std::string endpoint;
    bool usable = false; ///< Active and not ejected.
    bool ejected = false;
    int ejections = 0; ///< In a row, without successesToForgive in between.
    int consecutiveFailures = 0;
    double latencySeconds = 0.0; ///< Moving average; 0 before the first success.
    std::optional<load_report> load;
    duration loadAge = duration::zero();
};

/// Health of one pool. Times passed in must not decrease.
class pool_health
{
public:
    explicit pool_health(health_options options = {});

    /// Replaces the pool's members. Endpoints that stay keep their state. When the pool shrinks,
    /// the ejected endpoints closest to their return come back early to keep the cap.
    void setMembers(const std::vector<pool_member> &members, time_point now);

    /// Reports a call. Unknown endpoints and earlier incarnations are ignored.
    void callEnded(std::string_view endpoint, const call_report &report, time_point now);

    /// Reports load; `receivedAt` is when the report arrived. A new incarnation resets the
    /// endpoint's failures, latency and ejection.
    void loadReported(std::string_view endpoint, const load_report &report);

    /// True when new work may go to the endpoint.
    bool isUsable(std::string_view endpoint, time_point now) const;

    /// Returns all members in order of name. Load reports that are too old are left out.
    std::vector<endpoint_health> status(time_point now) const;

private:
    static constexpr std::size_t RateSeconds = 10; // Length of the window for the error rate.
    static constexpr std::size_t MaxPastIncarnations = 4;

    struct rate_bucket
    {
        std::int64_t second = -1;
        int calls = 0;
        int failures = 0;
    };
    struct member_state
    {
        endpoint_state state = endpoint_state::Active;
        std::string incarnation;
        std::deque<std::string> past; // Earlier incarnations, whose late reports do not count.
        int consecutiveFailures = 0;
        int consecutiveSuccesses = 0;
        std::array<rate_bucket, RateSeconds> buckets;
        double latencySeconds = 0.0;
        int latencyCalls = 0;
        int ejections = 0;
        time_point ejectedUntil;
        std::optional<load_report> load;
    };
    using member_map = std::map<std::string, member_state, std::less<>>;

    static bool adoptIncarnation(member_state &member, const std::string &incarnation);
    static void resetCounts(member_state &member);
    void countCall(member_state &member, const call_report &report, time_point now) const;
    bool shouldEject(const member_state &member, time_point now) const;
    bool isSlow(const member_state &member, time_point now) const;
    void eject(member_state &member, time_point now);
    std::size_t ejectedCount(time_point now) const;
    std::size_t ejectionCap() const;

    health_options m_options;
    member_map m_members;
};

/// The retry budget of the design page, section 2.7.
struct retry_budget_options
{
    double share = 0.2;       ///< Retries as a part of the requests.
    std::int64_t minimum = 3; ///< Retries that are always allowed.
    std::int64_t extra = 0;   ///< Retries beyond the share and the minimum.
};

/// Budget of one pool for retries: within every window of 10 s that ends now, at most 20 % of the
/// requests, or 3 if that is more (design, section 2.7). Over any time, a sick pool thus gets at
/// most 1.2 times its load plus 3 calls for each 10 s. Counts are kept in steps of 100 ms, rounded
/// so that the bound holds exactly. Memory is constant.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    /// Counts a first attempt.
    void countRequest(time_point now);

    /// Takes one retry from the budget. Returns false when none is left.
    bool tryRetry(time_point now);

    /// As tryRetry(), for a retry that is only useful: it leaves at least half of the budget.
    bool tryOptionalRetry(time_point now);

private:
    static constexpr std::size_t StepCount = 101; // 10 s and the step that is partly within them.
    struct step
    {
        std::int64_t number = -1;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };

    struct usage
    {
        std::int64_t retries = 0;
        std::int64_t allowed = 0;
    };

    step &stepAt(std::int64_t number);
    usage usageNow(time_point now) const;

    retry_budget_options m_options;
    std::array<step, StepCount> m_steps;
};

} // namespace burdockhold

#endif
