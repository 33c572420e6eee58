#include "testing/soak_schedule.h"

#include "testing/soak_engine.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace burdockhold::testing {

namespace {

constexpr int LogFaults = 4;        ///< Values of log_fault after None.
constexpr int LargeFleetEvery = 25; ///< One seed in this many runs a large fleet.
constexpr int MinStreamFaultsMs = 1000;
constexpr int RepeatRefusalsMs = 4000;
constexpr int RefuseSomeMs = 5000;
constexpr int NameWeightsMs = 700; ///< Between two new weights.
constexpr int MinHarmMs = 1800;    ///< Longer than the ttl of a membership.
constexpr int MinAwayMs = 100;     ///< Of a log that is restored.
constexpr int MaxAwayMs = 1500;
constexpr int MinCopyAgeMs = 500; ///< When the log is back.
constexpr int MaxCopyAgeMs = 4000;
constexpr int SecondRestoreMs = 1000; ///< At most from one restore to the next of a pair.
constexpr int MinEndpointCutMs = 3500;
constexpr int MaxEndpointCutMs = 6000;
constexpr int LastWithdrawalMs = 3000; ///< So that the bound of withdrawals ends before the run.

/// How often an action is drawn.
struct action_weight
{
    soak_action action;
    int weight;
    int maxMs; ///< Longest duration.
};

constexpr action_weight Weights[] = {
    { soak_action::Kill, 3, 1500 },           { soak_action::Terminate, 4, 800 },
    { soak_action::Freeze, 3, 3000 },         { soak_action::KillAll, 1, 1000 },
    { soak_action::TerminateSeries, 1, 900 }, { soak_action::CutRouter, 2, 3000 },
    { soak_action::HarmDigests, 2, 4000 },    { soak_action::EngineMode, 9, 4000 },
    { soak_action::EngineCrash, 4, 1500 },    { soak_action::EngineLeave, 2, 1000 },
    { soak_action::DeadlySegments, 1, 2000 }, { soak_action::LogFault, 4, 4000 },
    { soak_action::ForgetHistory, 2, 1 },     { soak_action::Deployment, 3, 1 },
    { soak_action::Rollout, 1, 1 },
};

class plan_drawer
{
public:
    explicit plan_drawer(std::uint64_t seed)
        : m_random(seed)
    {
    }

    int below(int bound)
    {
        return static_cast<int>(m_random() % static_cast<std::uint64_t>(bound));
    }

    int between(int least, int most) { return least + below(most - least + 1); }

    const action_weight &action()
    {
        int total = 0;
        for (const action_weight &row : Weights)
            total += row.weight;
        int draw = below(total);
        for (const action_weight &row : Weights) {
            draw -= row.weight;
            if (draw < 0)
                return row;
        }
        return Weights[0];
    }

    soak_event event(const soak_plan &plan)
    {
        const action_weight &row = action();
        const bool isEngine = row.action == soak_action::EngineMode
                              || row.action == soak_action::EngineCrash
                              || row.action == soak_action::EngineLeave;
        soak_event drawn;
        drawn.action = row.action;
        drawn.atMs = below(plan.faultMs);
        drawn.target = below(isEngine ? plan.engines : plan.routers);
        drawn.forMs = 1 + below(row.maxMs);
        drawn.mode = 1 + below(row.action == soak_action::LogFault ? LogFaults : EngineModes - 1);
        return drawn;
    }

private:
    std::mt19937_64 m_random;
};

/// Adds the faults that make routers repeat calls. They have draws of their own, so that the other
/// faults of a seed stay as they are.
void addRefusals(soak_plan &plan)
{
    plan_drawer drawer(~plan.seed);
    plan.events.push_back({ drawer.below(plan.faultMs - RefuseSomeMs), soak_action::RefuseSome, 0,
                            RefuseSomeMs });
}

/// Adds new weights and faults of the holder that orders them.
void addDutyFaults(soak_plan &plan)
{
    plan_drawer drawer(plan.seed * 2654435761U + 1);
    for (int at = drawer.below(NameWeightsMs); at < plan.faultMs; at += NameWeightsMs)
        plan.events.push_back({ at, soak_action::NameWeights });
    const int third = plan.faultMs / 3;
    const auto harmAt = [&](int from) {
        const int at = from + drawer.below(third / 2);
        const int time = MinHarmMs + drawer.below(MinHarmMs);
        plan.events.push_back({ at, soak_action::HarmHolder, 0, time, drawer.below(3) });
    };
    harmAt(third / 2);
    plan.events.push_back(
            { third + drawer.below(third), soak_action::ReassignDuties, 0, MinHarmMs });
    harmAt(2 * third);
}

/// Adds one or two restores of the log; one in three is a pair. Beside half of them a router is
/// frozen, killed or cut off.
void addRestores(soak_plan &plan)
{
    constexpr soak_action RouterFaults[] = { soak_action::Freeze, soak_action::Kill,
                                             soak_action::CutRouter };
    plan_drawer drawer(plan.seed * 2654435761U + 2);
    const int restores = 1 + drawer.below(2);
    for (int index = 0; index < restores; ++index) {
        const int part = plan.faultMs / restores;
        const int at = part * index + MinCopyAgeMs + drawer.below(part - 2 * MinCopyAgeMs);
        const int away = drawer.between(MinAwayMs, MaxAwayMs);
        const int age = drawer.between(std::max(away, MinCopyAgeMs), MaxCopyAgeMs);
        plan.events.push_back({ std::max(0, at + away - age), soak_action::CopyLog });
        plan.events.push_back({ at, soak_action::RestoreLog, 0, away });
        if (drawer.below(3) == 0)
            plan.events.push_back({ at + away + drawer.below(SecondRestoreMs / 2),
                                    soak_action::RestoreLog, 0,
                                    drawer.between(MinAwayMs, SecondRestoreMs / 2) });
        if (drawer.below(2) == 0)
            plan.events.push_back({ std::max(0, at - drawer.below(MinAwayMs * 5)),
                                    RouterFaults[drawer.below(3)], drawer.below(plan.routers),
                                    drawer.between(MinCopyAgeMs, MaxAwayMs * 2) });
    }
}

/// Cuts some routers, in a third of the seeds all but one, off from all engines: in half of the
/// seeds at any time, in the others near the end, so that most of the cut is free of other faults.
void addEndpointCut(soak_plan &plan)
{
    plan_drawer drawer(plan.seed * 2654435761U + 3);
    const int quarter = plan.faultMs / 4;
    const int at = drawer.below(2) == 0 ? drawer.below(plan.faultMs)
                                        : 3 * quarter + drawer.below(quarter);
    const int most = std::max(1, plan.routers - 1);
    const int routers = drawer.below(3) == 0 ? most : 1 + drawer.below(most);
    plan.events.push_back({ at, soak_action::CutFromEndpoints, drawer.below(plan.routers),
                            drawer.between(MinEndpointCutMs, MaxEndpointCutMs),
                            2 * routers + drawer.below(2) });
}

} // namespace

soak_plan makeSoakPlan(std::uint64_t seed, int routers, bool repeatRefusals)
{
    plan_drawer drawer(seed);
    soak_plan plan;
    plan.seed = seed;
    const int drawn = 3 + drawer.below(6);
    const int large = 60 + drawer.below(61);
    plan.routers = seed % LargeFleetEvery == 0 ? large : drawn;
    if (routers > 0)
        plan.routers = routers;
    plan.engines = 3 + drawer.below(4);
    const int count = 10 + drawer.below(15);
    for (int index = 0; index < count; ++index)
        plan.events.push_back(drawer.event(plan));
    const int withdrawals = 1 + drawer.below(3);
    for (int index = 0; index < withdrawals; ++index)
        plan.events.push_back({ drawer.below(LastWithdrawalMs), soak_action::WithdrawKey });
    // Drawn last, so that seeds from before these faults keep their other ones.
    const int streamFaults = 2 + drawer.below(2);
    for (int index = 0; index < streamFaults; ++index) {
        const int at = drawer.below(plan.faultMs);
        const int time = MinStreamFaultsMs + drawer.below(2 * MinStreamFaultsMs);
        plan.events.push_back({ at, soak_action::StreamFaults, 0, time });
    }
    if (repeatRefusals)
        plan.events.push_back({ drawer.below(plan.faultMs / 2), soak_action::RepeatRefusals, 0,
                                RepeatRefusalsMs });
    addRefusals(plan);
    addDutyFaults(plan);
    addRestores(plan);
    addEndpointCut(plan);
    std::stable_sort(plan.events.begin(), plan.events.end(),
                     [](const auto &a, const auto &b) { return a.atMs < b.atMs; });
    return plan;
}

std::string describe(const soak_plan &plan)
{
    std::ostringstream text;
    text << "seed " << plan.seed << ": " << plan.routers << " routers, " << plan.engines
         << " engines\n";
    for (const soak_event &event : plan.events)
        text << "  " << event.atMs << " ms: " << nameOf(event.action) << " " << event.target
             << " for " << event.forMs << " ms, mode " << event.mode << "\n";
    return text.str();
}

} // namespace burdockhold::testing
