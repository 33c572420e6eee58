#ifndef BURDOCKHOLD_MECHANISMS_H
#define BURDOCKHOLD_MECHANISMS_H

// Mechanisms of the router that can be switched off one by one, to measure what each is worth. All
// are on unless the settings name them; docs/settings.md says what replaces each one.
//
// A name that is unknown, empty or repeated is an error, never ignored. Limits of accounts are
// enforced less exactly without account_shares or start_guard, so these are for measurements only.
// Time and memory are constant for a lookup.

#include "burdockhold/enum_names.h"
#include "burdockhold/result.h"

#include <array>
#include <bitset>
#include <cstddef>
#include <string>
#include <string_view>

namespace burdockhold {

enum class mechanism {
    PreferredEndpoint,
    PoolSampling,
    SegmentCopies,
    SegmentSaves,
    WaitQueue,
    PriorityOrder,
    SilenceSuspicion,
    FailureShare,
    StaleWeightsPenalty,
    LoadingMigration,
    SilenceMigration,
    LoadLimit,
    DrainWait,
    ImmediateDigests,
    AccountShares,
    SmallRequestReserve,
    StartGuard,
    SharedRetrySlack,
    ReturnedTokens,
    EngineLanes,
    Schedulers,
    ClientMemory,
    ColdRate,
    Evacuation,
    FairWaiting,
    EnginePace,
    PaceLimit,
    ColdGrants,
    SchedulerPace,
    SchedulerFairness,
};

template <>
struct enum_names<mechanism>
{
    static constexpr std::array<enum_name<mechanism>, 30> Table{ {
            { mechanism::PreferredEndpoint, "preferred_endpoint" },
            { mechanism::PoolSampling, "pool_sampling" },
            { mechanism::SegmentCopies, "segment_copies" },
            { mechanism::SegmentSaves, "segment_saves" },
            { mechanism::WaitQueue, "wait_queue" },
            { mechanism::PriorityOrder, "priority_order" },
            { mechanism::SilenceSuspicion, "silence_suspicion" },
            { mechanism::FailureShare, "failure_share" },
            { mechanism::StaleWeightsPenalty, "stale_weights_penalty" },
            { mechanism::LoadingMigration, "loading_migration" },
            { mechanism::SilenceMigration, "silence_migration" },
            { mechanism::LoadLimit, "load_limit" },
            { mechanism::DrainWait, "drain_wait" },
            { mechanism::ImmediateDigests, "immediate_digests" },
            { mechanism::AccountShares, "account_shares" },
            { mechanism::SmallRequestReserve, "small_request_reserve" },
            { mechanism::StartGuard, "start_guard" },
            { mechanism::SharedRetrySlack, "shared_retry_slack" },
            { mechanism::ReturnedTokens, "returned_tokens" },
            { mechanism::EngineLanes, "engine_lanes" },
            { mechanism::Schedulers, "schedulers" },
            { mechanism::ClientMemory, "client_memory" },
            { mechanism::ColdRate, "cold_rate" },
            { mechanism::Evacuation, "evacuation" },
            { mechanism::FairWaiting, "fair_waiting" },
            { mechanism::EnginePace, "engine_pace" },
            { mechanism::PaceLimit, "pace_limit" },
            { mechanism::ColdGrants, "cold_grants" },
            { mechanism::SchedulerPace, "scheduler_pace" },
            { mechanism::SchedulerFairness, "scheduler_fairness" },
    } };
};

/// The mechanisms in use.
class mechanism_set
{
public:
    bool uses(mechanism which) const { return !m_disabled[static_cast<std::size_t>(which)]; }
    void disable(mechanism which) { m_disabled.set(static_cast<std::size_t>(which)); }

    /// Returns the names of the disabled mechanisms, separated by commas; empty if all are in use.
    std::string disabledNames() const;

private:
    std::bitset<enum_names<mechanism>::Table.size()> m_disabled;
};

enum class mechanism_error { UnknownName, RepeatedName };

/// Parses the names of the mechanisms to disable, separated by commas and optional spaces. Empty
/// text disables none. An error's context is the name.
result<mechanism_set, mechanism_error> parseDisabledMechanisms(std::string_view names);

} // namespace burdockhold

#endif
