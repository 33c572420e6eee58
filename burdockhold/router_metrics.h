#ifndef BURDOCKHOLD_ROUTER_METRICS_H
#define BURDOCKHOLD_ROUTER_METRICS_H

// Counters and latency histograms of the event-loop router, in the Prometheus text format. The set
// of series is fixed, so the size of the page doesn't depend on the number of accounts or
// endpoints.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"

#include <boost/histogram.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace burdockhold {

enum class router_counter {
    Requests,
    Served,
    RefusedNotRun,
    RefusedQuota,
    RefusedStale,
    RefusedKey,
    RefusedRoute,
    Failed,
    CallerLeft,
    Calls,
    Repeats,
    Resumes,
    NewConnections,
    CachedTokens,
    UncachedTokens,
    OrdersGiven,
    TransfersWithoutRoom,
    StalledStreams,
    SchedulerTimeouts,
    ColdGrants,        ///< Calls at cold engines that this VM granted as a scheduler.
    ColdGrantsDropped, ///< Grants that this VM received too late.
    HandlerFailures,
    DigestRowsRejected,
    RefusedCrashing,
    RequestsLostInCrashes,
    FingerprintsBlocked,
    CanaryCalls,
    RolloutsCompleted,
    RolloutsRolledBack,
    EngineLeavings,
    EnginePauses,
    EnginePausesShortened,
    EngineNoticesIgnored,
    RefusedAllPaused,
    ChoicesWithoutPaused,
    ClosedHalfRead,
    ClosedIdle,
    ClosedUnread,
    ConnectionsRefused,
    RefusedMemory,
    AcceptPauses,
    FirstEventsJudged,
    FirstEventsLate,
    PaceLimitsStarted,
    RefusedAllEvacuated,
    EvacuationMigrations,
    StoreRestores,      ///< Rises of the log's era.
    ContactLosses,      ///< Of contact with all endpoints.
    RelayedCalls,       ///< Connections that were to be relayed by other VMs.
    ConnectionsRelayed, ///< For other VMs.
};

template <>
struct enum_names<router_counter>
{
    static constexpr std::array<enum_name<router_counter>, 50> Table{ {
            { router_counter::Requests, "requests" },
            { router_counter::Served, "served" },
            { router_counter::RefusedNotRun, "refused_not_run" },
            { router_counter::RefusedQuota, "refused_quota" },
            { router_counter::RefusedStale, "refused_stale_view" },
            { router_counter::RefusedKey, "refused_key" },
            { router_counter::RefusedRoute, "refused_route" },
            { router_counter::Failed, "failed" },
            { router_counter::CallerLeft, "caller_left" },
            { router_counter::Calls, "endpoint_calls" },
            { router_counter::Repeats, "repeats" },
            { router_counter::Resumes, "stream_resumes" },
            { router_counter::NewConnections, "new_connections" },
            { router_counter::CachedTokens, "expected_cached_tokens" },
            { router_counter::UncachedTokens, "expected_read_tokens" },
            { router_counter::OrdersGiven, "orders_given" },
            { router_counter::TransfersWithoutRoom, "transfers_without_room" },
            { router_counter::StalledStreams, "stalled_streams" },
            { router_counter::SchedulerTimeouts, "scheduler_timeouts" },
            { router_counter::ColdGrants, "cold_grants" },
            { router_counter::ColdGrantsDropped, "cold_grants_dropped" },
            { router_counter::HandlerFailures, "handler_failures" },
            { router_counter::DigestRowsRejected, "digest_rows_rejected" },
            { router_counter::RefusedCrashing, "refused_crashing" },
            { router_counter::RequestsLostInCrashes, "requests_lost_in_crashes" },
            { router_counter::FingerprintsBlocked, "fingerprints_blocked" },
            { router_counter::CanaryCalls, "canary_calls" },
            { router_counter::RolloutsCompleted, "rollouts_completed" },
            { router_counter::RolloutsRolledBack, "rollouts_rolled_back" },
            { router_counter::EngineLeavings, "engine_leavings" },
            { router_counter::EnginePauses, "engine_pauses" },
            { router_counter::EnginePausesShortened, "engine_pauses_shortened" },
            { router_counter::EngineNoticesIgnored, "engine_notices_ignored" },
            { router_counter::RefusedAllPaused, "refused_all_paused" },
            { router_counter::ChoicesWithoutPaused, "choices_with_paused_left_out" },
            { router_counter::ClosedHalfRead, "connections_closed_half_read" },
            { router_counter::ClosedIdle, "connections_closed_idle" },
            { router_counter::ClosedUnread, "connections_closed_unread" },
            { router_counter::ConnectionsRefused, "connections_refused" },
            { router_counter::RefusedMemory, "refused_memory" },
            { router_counter::AcceptPauses, "accept_pauses" },
            { router_counter::FirstEventsJudged, "first_events_judged" },
            { router_counter::FirstEventsLate, "first_events_later_than_expected" },
            { router_counter::PaceLimitsStarted, "pace_limits_started" },
            { router_counter::RefusedAllEvacuated, "refused_all_evacuated" },
            { router_counter::EvacuationMigrations, "evacuation_migrations" },
            { router_counter::StoreRestores, "store_restores" },
            { router_counter::ContactLosses, "endpoint_contact_losses" },
            { router_counter::RelayedCalls, "relayed_calls" },
            { router_counter::ConnectionsRelayed, "connections_relayed" },
    } };
};

class router_metrics
{
public:
    router_metrics();

    void count(router_counter counter, std::uint64_t amount = 1);
    std::uint64_t valueOf(router_counter counter) const;

    /// Records the time to the first byte of a response.
    void recordFirstByte(duration time);
    /// Records the time that a request spent in the wait queue.
    void recordQueueWait(duration time);

    /// Returns the metrics page: the counters, then the histograms.
    std::string text() const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = decltype(boost::histogram::make_histogram(axis()));

    std::array<std::uint64_t, enum_names<router_counter>::Table.size()> m_counters{};
    histogram m_firstByteTimes;
    histogram m_queueWaits;
};

} // namespace burdockhold

#endif
