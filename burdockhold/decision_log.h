#ifndef BURDOCKHOLD_DECISION_LOG_H
#define BURDOCKHOLD_DECISION_LOG_H

// Structured log of the event loop: one JSON object per line, for each decision on a request and
// each change of the router's state.
//
// Promises:
// - Writing never blocks: lines are held in a bounded queue until the descriptor accepts them.
// - The number of lines per second is limited. Successes are dropped first, then failures of
//   requests; state changes are dropped only when the queue is full. Dropped lines are counted and
//   the count is logged.
// Lines are formatted with nlohmann-json. log4cxx is not used, since its appenders write on the
// calling thread.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <string>

namespace burdockhold {

/// Kinds of log lines. docs/OPERATIONS.md lists the fields of each.
enum class log_event {
    Started,
    Stopping,
    Stopped,
    SettingsReloaded,
    DependencyLost,
    DependencyRegained,
    DeploymentApplied,
    DeploymentRefused,
    ViewReceived,
    ViewRequestFailed,
    LogReadRepeated,
    ViewSourceChanged,
    ViewFreshnessChanged,
    WeightsWanted,
    WeightsRefused,
    EndpointChanged,
    EndpointRefused,
    EndpointLeaving,
    EndpointPaused,
    EndpointNoticeEnded,
    PoolBrittle,
    EvacuationStarted,
    EvacuationEnded,
    EvacuationIgnored,
    DutyChanged,
    DutyJoined,
    StoreEraChanged,
    StoreEraUnreadable,
    TopicLoaded,
    EndpointContactLost,
    EndpointContactRegained,
    RelayFailed,
    RolloutStarted,
    RolloutRefused,
    RolloutShare,
    RolloutJudged,
    RolloutStatusWritten,
    RolloutStatusFailed,
    OrderGiven,
    OrderAnswered,
    MessageRefused,
    ConnectionClosed,
    RequestEnded,
    CallEnded,
    EndpointChosen,
    PoolFull,
    OverQuota,
    EndpointCrashed,
    RequestBlocked,
    FingerprintBlocked,
    FingerprintCleared,
    TrialStarted,
    CrashRecordRefused,
    HandlerFailed,
    LinesDropped,
};

template <>
struct enum_names<log_event>
{
    static constexpr std::array<enum_name<log_event>, 55> Table{ {
            { log_event::Started, "started" },
            { log_event::Stopping, "stopping" },
            { log_event::Stopped, "stopped" },
            { log_event::SettingsReloaded, "settings_reloaded" },
            { log_event::DependencyLost, "dependency_lost" },
            { log_event::DependencyRegained, "dependency_regained" },
            { log_event::DeploymentApplied, "deployment_applied" },
            { log_event::DeploymentRefused, "deployment_refused" },
            { log_event::ViewReceived, "view_received" },
            { log_event::ViewRequestFailed, "view_request_failed" },
            { log_event::LogReadRepeated, "log_read_repeated" },
            { log_event::ViewSourceChanged, "view_source_changed" },
            { log_event::ViewFreshnessChanged, "view_freshness_changed" },
            { log_event::WeightsWanted, "weights_wanted" },
            { log_event::WeightsRefused, "weights_refused" },
            { log_event::EndpointChanged, "endpoint_changed" },
            { log_event::EndpointRefused, "endpoint_refused" },
            { log_event::EndpointLeaving, "endpoint_leaving" },
            { log_event::EndpointPaused, "endpoint_paused" },
            { log_event::EndpointNoticeEnded, "endpoint_notice_ended" },
            { log_event::PoolBrittle, "pool_brittle" },
            { log_event::EvacuationStarted, "evacuation_started" },
            { log_event::EvacuationEnded, "evacuation_ended" },
            { log_event::EvacuationIgnored, "evacuation_ignored" },
            { log_event::DutyChanged, "duty_changed" },
            { log_event::DutyJoined, "duty_joined" },
            { log_event::StoreEraChanged, "store_era_changed" },
            { log_event::StoreEraUnreadable, "store_era_unreadable" },
            { log_event::TopicLoaded, "topic_loaded" },
            { log_event::EndpointContactLost, "endpoint_contact_lost" },
            { log_event::EndpointContactRegained, "endpoint_contact_regained" },
            { log_event::RelayFailed, "relay_failed" },
            { log_event::RolloutStarted, "rollout_started" },
            { log_event::RolloutRefused, "rollout_refused" },
            { log_event::RolloutShare, "rollout_share" },
            { log_event::RolloutJudged, "rollout_judged" },
            { log_event::RolloutStatusWritten, "rollout_status_written" },
            { log_event::RolloutStatusFailed, "rollout_status_failed" },
            { log_event::OrderGiven, "order_given" },
            { log_event::OrderAnswered, "order_answered" },
            { log_event::MessageRefused, "message_refused" },
            { log_event::ConnectionClosed, "connection_closed" },
            { log_event::RequestEnded, "request_ended" },
            { log_event::CallEnded, "call_ended" },
            { log_event::EndpointChosen, "endpoint_chosen" },
            { log_event::PoolFull, "pool_full" },
            { log_event::OverQuota, "over_quota" },
            { log_event::EndpointCrashed, "endpoint_crashed" },
            { log_event::RequestBlocked, "request_blocked" },
            { log_event::FingerprintBlocked, "fingerprint_blocked" },
            { log_event::FingerprintCleared, "fingerprint_cleared" },
            { log_event::TrialStarted, "trial_started" },
            { log_event::CrashRecordRefused, "crash_record_refused" },
            { log_event::HandlerFailed, "handler_failed" },
            { log_event::LinesDropped, "lines_dropped" },
    } };
};

/// Decides which lines are dropped when not all can be kept.
enum class log_priority { Success, Failure, StateChange };

struct decision_log_options
{
    int descriptor = 1;
    double linesPerSecond = 50.0; ///< Limit for successes; failures may use four times as many.
    std::size_t queueBytes = std::size_t(256) * 1024;
};

class decision_log
{
public:
    explicit decision_log(std::string vm, decision_log_options options = {});

    /// Returns true if a line of this priority may be written now, and charges it to the limit.
    /// Callers need not build a line that is not accepted; it counts as dropped.
    bool accepts(log_priority priority, time_point now);

    /// Queues the line. Call accepts() first; the fields must form a JSON object.
    void write(log_event event, const nlohmann::ordered_json &fields, time_point now);

    /// Writes as much as the descriptor accepts without blocking.
    void flush();

    std::uint64_t dropped() const { return m_dropped; }

private:
    void refill(time_point now);

    std::string m_vm;
    decision_log_options m_options;
    std::deque<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
    std::size_t m_frontBytesWritten = 0;
    double m_successTokens;
    double m_failureTokens;
    time_point m_refilledAt;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

} // namespace burdockhold

#endif
