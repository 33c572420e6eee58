#ifndef BURDOCKHOLD_ENDPOINT_HEALTH_H
#define BURDOCKHOLD_ENDPOINT_HEALTH_H

// Health of a pool's endpoints as observed by one VM, and the pool's retry budget.
//
// pool_health ejects an endpoint after consecutive failures, at a high error rate, or when it is
// much slower than the rest of its pool. It never ejects more than half of the active endpoints:
// while this cap is reached, an endpoint that qualifies for ejection stays in use. Time and memory
// are linear in the number of endpoints.

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
    int minCallsForRate = 20;      ///< The error rate is ignored below this number of calls.
    double latencyFactor = 3.0;    ///< Multiple of the median of the pool's other endpoints.
    /// Minimum excess over that median: among fast endpoints a large factor is insignificant.
    duration minLatencyExcess = std::chrono::milliseconds(20);
    int minCallsForLatency = 20;  ///< Latency is ignored below this number of successful calls.
    double maxEjectedShare = 0.5; ///< Of the pool's active endpoints, rounded down.
    duration initialEjection = std::chrono::seconds(1); ///< Doubles with each further ejection.
    duration maxEjection = std::chrono::seconds(60);
    /// Consecutive successful calls after which the next ejection is initialEjection long again.
    int successesToResetBackOff = 10;
    duration maxLoadAge = std::chrono::seconds(2); ///< Older load reports are ignored.
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
    std::string incarnation; ///< Empty when the call ended before the endpoint stated it.
    bool succeeded = false;
    duration latency = duration::zero(); ///< Time to the first byte; for successful calls only.
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
    int ejections = 0; ///< Since the last successesToResetBackOff consecutive successes.
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

    /// Replaces the pool's members. Endpoints that remain keep their state. When the pool shrinks,
    /// the ejections that end soonest are cut short to respect the cap.
    void setMembers(const std::vector<pool_member> &members, time_point now);

    /// Records the result of a call. Unknown endpoints and earlier incarnations are ignored.
    void callEnded(std::string_view endpoint, const call_report &report, time_point now);

    /// Records a load report. A new incarnation resets the endpoint's failures, latency and
    /// ejection.
    void loadReported(std::string_view endpoint, const load_report &report);

    /// Returns true if the endpoint may receive new calls.
    bool isUsable(std::string_view endpoint, time_point now) const;

    /// Returns all members, sorted by name. Load reports older than maxLoadAge are omitted.
    std::vector<endpoint_health> status(time_point now) const;

private:
    static constexpr std::size_t RateSeconds = 10; // Window of the error rate.
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
        std::deque<std::string> pastIncarnations; // Late reports of these are ignored.
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

/// Limits of the retry budget; see docs/design.md, section 2.7.
struct retry_budget_options
{
    double share = 0.2;       ///< Retries as a share of the requests.
    std::int64_t minimum = 3; ///< Retries that are always allowed.
    std::int64_t extra = 0;   ///< Retries beyond the share and the minimum.
};

/// Retry budget of one pool: within the last 10 s, retries are limited to 20 % of the requests or
/// to 3, whichever is more (docs/design.md, section 2.7). Over any period, a failing pool thus
/// receives at most 1.2 times its load plus 3 calls per 10 s. Counts are kept in slots of 100 ms
/// and rounded so that the bound holds exactly. Memory is constant.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    /// Counts a first attempt.
    void countRequest(time_point now);

    /// Takes one retry from the budget. Returns false when none is left.
    bool tryRetry(time_point now);

    /// Like tryRetry(), for a retry that is not essential: returns false when at least half of the
    /// budget is used.
    bool tryOptionalRetry(time_point now);

private:
    static constexpr std::size_t SlotCount = 101; // 10 s, plus the slot partly inside the window.
    struct time_slot
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

    time_slot &slotAt(std::int64_t number);
    usage currentUsage(time_point now) const;

    retry_budget_options m_options;
    std::array<time_slot, SlotCount> m_slots;
};

} // namespace burdockhold

#endif
