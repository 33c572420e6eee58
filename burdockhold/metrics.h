#ifndef BURDOCKHOLD_METRICS_H
#define BURDOCKHOLD_METRICS_H

// The process's measures. Recording takes a shared lock to find the series and one or two relaxed
// atomic additions; the first use of a new combination of labels takes the exclusive lock once.
// The number of accounts, routes and series of a family is bounded: values beyond the bound are
// counted under "other", so that memory and the size of the text stay bounded. Snapshots are plain
// values of integers; merging them is commutative and associative and loses nothing.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/listener_clients.h"
#include "burdockhold/result.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// Counters. The name in the text is "burdockhold_NAME_total".
enum class counter {
    PromptTokens,
    CachedTokens,
    RecomputedTokens, ///< Prompt tokens that an endpoint had cached or an earlier attempt computed.
    Requests,         ///< Detail: request_outcome.
    Refusals,         ///< Detail: refusal_reason.
    WrongfulRefusals, ///< Refusals although the account was within its rate.
    ServedTokens,
    ServedRequests,
    Retries,
    Resumes,
    Claims, ///< Detail: claim_result.
    Moves,  ///< Detail: move_result. Counted only by the VM that proposed the final record.
    CaughtExceptions, ///< See task_guard.h.
    ListenerLimits,   ///< Detail: listener_limit.
};

template <>
struct enum_names<counter>
{
    static constexpr std::array<enum_name<counter>, 14> Table{ {
            { counter::PromptTokens, "prompt_tokens" },
            { counter::CachedTokens, "cached_tokens" },
            { counter::RecomputedTokens, "recomputed_tokens" },
            { counter::Requests, "requests" },
            { counter::Refusals, "refusals" },
            { counter::WrongfulRefusals, "wrongful_refusals" },
            { counter::ServedTokens, "served_tokens" },
            { counter::ServedRequests, "served_requests" },
            { counter::Retries, "retries" },
            { counter::Resumes, "resumes" },
            { counter::Claims, "claims" },
            { counter::Moves, "version_moves" },
            { counter::CaughtExceptions, "caught_exceptions" },
            { counter::ListenerLimits, "listener_limits" },
    } };
};

/// Distributions of times. The name in the text is "burdockhold_NAME_seconds".
enum class timing { TimeToFirstToken, TimeBetweenTokens, QueueWait };

template <>
struct enum_names<timing>
{
    static constexpr std::array<enum_name<timing>, 3> Table{ {
            { timing::TimeToFirstToken, "time_to_first_token" },
            { timing::TimeBetweenTokens, "time_between_tokens" },
            { timing::QueueWait, "queue_wait" },
    } };
};

enum class request_outcome { Answered, Failed, Refused, Cancelled, OutcomeUnknown };

template <>
struct enum_names<request_outcome>
{
    static constexpr std::array<enum_name<request_outcome>, 5> Table{ {
            { request_outcome::Answered, "answered" },
            { request_outcome::Failed, "failed" },
            { request_outcome::Refused, "refused" },
            { request_outcome::Cancelled, "cancelled" },
            { request_outcome::OutcomeUnknown, "outcome_unknown" },
    } };
};

enum class refusal_reason {
    OverRate,
    UnknownKey,
    Malformed,
    TooLarge,
    NotFound,
    KeyReused,
    CrashSuspect,
    NoEndpoint,
    NotFresh,
    QueueFull,
    LogDown,
    Draining,
};

template <>
struct enum_names<refusal_reason>
{
    static constexpr std::array<enum_name<refusal_reason>, 12> Table{ {
            { refusal_reason::OverRate, "over_rate" },
            { refusal_reason::UnknownKey, "unknown_key" },
            { refusal_reason::Malformed, "malformed" },
            { refusal_reason::TooLarge, "too_large" },
            { refusal_reason::NotFound, "not_found" },
            { refusal_reason::KeyReused, "key_reused" },
            { refusal_reason::CrashSuspect, "crash_suspect" },
            { refusal_reason::NoEndpoint, "no_endpoint" },
            { refusal_reason::NotFresh, "not_fresh" },
            { refusal_reason::QueueFull, "queue_full" },
            { refusal_reason::LogDown, "log_down" },
            { refusal_reason::Draining, "draining" },
    } };
};

enum class claim_result { Won, Lost, Answered, Released, OutcomeUnknown };

template <>
struct enum_names<claim_result>
{
    static constexpr std::array<enum_name<claim_result>, 5> Table{ {
            { claim_result::Won, "won" },
            { claim_result::Lost, "lost" },
            { claim_result::Answered, "answered" },
            { claim_result::Released, "released" },
            { claim_result::OutcomeUnknown, "outcome_unknown" },
    } };
};

enum class move_result { InTime, Late, TakenBack };

template <>
struct enum_names<move_result>
{
    static constexpr std::array<enum_name<move_result>, 3> Table{ {
            { move_result::InTime, "in_time" },
            { move_result::Late, "late" },
            { move_result::TakenBack, "taken_back" },
    } };
};

/// Labels of one series. Empty labels are left out of the text.
struct metric_labels
{
    std::string account;
    std::string route;
    std::string detail; ///< Outcome, reason or result, depending on the counter.
};

bool operator<(const metric_labels &left, const metric_labels &right);
bool operator==(const metric_labels &left, const metric_labels &right);

/// Number of finite buckets: ten for each factor of ten from 1 ms to 100 s. A bucket's upper bound
/// is 1.26 times its lower bound, which bounds the error of a threshold read from a histogram.
constexpr std::size_t TimingBuckets = 50;

/// Returns the upper bound of finite bucket i, in seconds.
double timingBound(std::size_t bucket);

/// Counts of one distribution; not cumulative. The first bucket also holds times below 1 ms, the
/// last one (index TimingBuckets) holds times of 100 s or more.
struct timing_value
{
    std::array<std::uint64_t, TimingBuckets + 1> counts{};
    std::uint64_t sumNanoseconds = 0;
};

bool operator==(const timing_value &left, const timing_value &right);

/// Returns the number of observations in all buckets.
std::uint64_t observationCount(const timing_value &value);

/// Returns how many observations were below seconds, interpolated linearly within a bucket.
double observationsBelow(const timing_value &value, double seconds);

using counter_series = std::map<metric_labels, std::uint64_t>;
using timing_series = std::map<metric_labels, timing_value>;

/// All measures of one process at one moment, or of several merged.
struct metric_snapshot
{
    std::map<counter, counter_series> counters;
    std::map<timing, timing_series> timings;
};

bool operator==(const metric_snapshot &left, const metric_snapshot &right);

/// Adds the measures of other to those of target.
void mergeInto(metric_snapshot &target, const metric_snapshot &other);

/// Returns the snapshot in the text exposition format (HELP and TYPE lines, cumulative buckets).
std::string formatMetrics(const metric_snapshot &snapshot);

enum class metrics_error { Malformed, UnknownLabel, WrongBuckets, NotANumber };

/// Reads the text that formatMetrics() writes. Families of other names are skipped, so that a tool
/// can read a newer daemon. Errors name the line number in their context.
result<metric_snapshot, metrics_error> parseMetrics(std::string_view text);

/// Bounds on the number of label values and series.
struct metrics_options
{
    std::size_t maxAccounts = 1024; ///< Target scale: 580 accounts.
    std::size_t maxRoutes = 128;
    std::size_t maxSeries = 2048; ///< In one family; beyond it both labels become "other".
};

/// Label value that stands for all values beyond a bound.
constexpr std::string_view OtherLabel = "other";

/// Records measures. All functions may be called from any thread.
class metrics
{
public:
    explicit metrics(const metrics_options &options = {});
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    /// Adds amount to a counter without detail.
    void add(counter which, std::string_view account, std::string_view route,
             std::uint64_t amount = 1);

    void addRequest(request_outcome outcome, std::string_view account, std::string_view route);
    void addRefusal(refusal_reason reason, std::string_view account, std::string_view route);
    void addClaim(claim_result outcome, std::string_view account, std::string_view route);
    void addMove(move_result outcome);

    void addListenerLimit(listener_limit limit);

    /// Records one time. Negative times count as zero.
    void observe(timing which, std::string_view account, std::string_view route, duration time);

    /// Returns the current values. Counters that change meanwhile may or may not be included.
    metric_snapshot snapshot() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace burdockhold

#endif
