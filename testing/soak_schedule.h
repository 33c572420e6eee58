#ifndef BURDOCKHOLD_SOAK_SCHEDULE_H
#define BURDOCKHOLD_SOAK_SCHEDULE_H

// The faults of one soak, drawn from its seed alone. Pure: the same seed gives the same schedule.

#include "burdockhold/enum_names.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace burdockhold {
namespace testing {

enum class soak_action {
    Kill,            ///< SIGKILL to a router; starts again after forMs.
    Terminate,       ///< SIGTERM to a router; starts again forMs after its end.
    Freeze,          ///< SIGSTOP to a router, SIGCONT after forMs.
    KillAll,         ///< SIGKILL to all routers; they start again after forMs.
    TerminateSeries, ///< SIGTERM to each router, forMs apart, so that the stops overlap.
    CutRouter,       ///< No digests and views pass to or from a router for forMs.
    HarmDigests,     ///< Digests are dropped, repeated and delayed for forMs.
    EngineMode,      ///< An engine behaves as `mode` says for forMs.
    EngineCrash,     ///< An engine crashes and is back after forMs, at its address.
    EngineLeave,     ///< An engine announces that it leaves, serves for 3 s, and is replaced.
    DeadlySegments,  ///< Some requests crash engines for forMs.
    LogFault,        ///< The log has the fault that `mode` names for forMs.
    ForgetHistory,   ///< The log deletes its old records.
    Deployment,      ///< A new deployment.
    WithdrawKey,     ///< A new deployment without one of the keys.
    StreamFaults,    ///< All engines break streams off and continue some badly for forMs.
    RepeatRefusals,  ///< All engines are in the mode RepeatedRefusals for forMs.
    RefuseSome,      ///< All engines are in the mode RefusingSome for forMs.
    NameWeights,     ///< New weights are named for the engines that take orders.
    HarmHolder,      ///< The holder of their duty is stopped (mode 0), frozen (1) or killed (2).
    ReassignDuties,  ///< The log takes all partitions from their holders.
    Rollout,         ///< A roll-out of new software is ordered; one engine has it.
    CopyLog,         ///< The log is copied.
    /// `mode` / 2 routers from the target on lose all packets to and from all engines for forMs, on
    /// open connections too if `mode` is odd.
    CutFromEndpoints,
    RestoreLog, ///< The log is away for forMs and returns from the copy.
};

inline constexpr int SoakActions = 25;

/// One fault of a schedule.
struct soak_event
{
    int atMs = 0; ///< Since the start of the faults.
    soak_action action = soak_action::Kill;
    int target = 0; ///< Index of the router or engine.
    int forMs = 0;
    int mode = 0; ///< engine_mode or log_fault.
};

struct soak_plan
{
    std::uint64_t seed = 0;
    int routers = 3;
    int engines = 4;
    int callers = 16;
    int faultMs = 9000;             ///< Time in which faults begin.
    std::vector<soak_event> events; ///< In order of time.
};

/// Draws the plan of a seed. routers overrides the number of routers unless it is 0. Without
/// repeatRefusals the plan has no RepeatRefusals; the other faults are the same.
soak_plan makeSoakPlan(std::uint64_t seed, int routers = 0, bool repeatRefusals = false);

/// Returns a line for each event, for a report.
std::string describe(const soak_plan &plan);

} // namespace testing

template <>
struct enum_names<testing::soak_action>
{
    using action = testing::soak_action;
    static constexpr std::array<enum_name<action>, testing::SoakActions> Table{ {
            { action::Kill, "kill" },
            { action::Terminate, "terminate" },
            { action::Freeze, "freeze" },
            { action::KillAll, "kill_all" },
            { action::TerminateSeries, "terminate_series" },
            { action::CutRouter, "cut_router" },
            { action::HarmDigests, "harm_digests" },
            { action::EngineMode, "engine_mode" },
            { action::EngineCrash, "engine_crash" },
            { action::EngineLeave, "engine_leave" },
            { action::DeadlySegments, "deadly_segments" },
            { action::LogFault, "log_fault" },
            { action::ForgetHistory, "forget_history" },
            { action::Deployment, "deployment" },
            { action::WithdrawKey, "withdraw_key" },
            { action::StreamFaults, "stream_faults" },
            { action::RepeatRefusals, "repeat_refusals" },
            { action::RefuseSome, "refuse_some" },
            { action::NameWeights, "name_weights" },
            { action::HarmHolder, "harm_holder" },
            { action::ReassignDuties, "reassign_duties" },
            { action::Rollout, "rollout" },
            { action::CopyLog, "copy_log" },
            { action::CutFromEndpoints, "cut_from_endpoints" },
            { action::RestoreLog, "restore_log" },
    } };
};

} // namespace burdockhold

#endif
