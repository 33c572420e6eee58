// Compares placement policies in the event simulation and prints one line for each scenario and
// policy: means over the seeds, and the worst seed's p99.

#include "burdockhold/placement_scheduler.h"
#include "burdockhold/vm_digest.h"
#include "testing/placement_simulation.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <deque>
#include <iomanip>
#include <iostream>
#include <random>

using namespace burdockhold;
using namespace burdockhold::testing;

namespace options_lib = boost::program_options;

namespace {

struct scenario
{
    const char *name;
    std::size_t engines;
    double load;
    double crashAt;
    double restartAt;
    bool copyHeat;
};

constexpr double EventAt = 90.0;

const std::vector<scenario> scenarios{
    { "9 engines, 30 %", 9, 0.3, -1.0, -1.0, true },
    { "4 engines, 30 %", 4, 0.3, -1.0, -1.0, true },
    { "9 engines, 90 %", 9, 0.9, -1.0, -1.0, true },
    { "4 engines, 90 %", 4, 0.9, -1.0, -1.0, true },
    { "64 engines, 90 %", 64, 0.9, -1.0, -1.0, true },
    { "9 engines, 60 %, crash", 9, 0.6, EventAt, -1.0, true },
    { "4 engines, 60 %, crash", 4, 0.6, EventAt, -1.0, true },
    { "9 engines, 60 %, restart, heat copied", 9, 0.6, -1.0, EventAt, true },
    { "9 engines, 60 %, restart, no heat", 9, 0.6, -1.0, EventAt, false },
    { "4 engines, 60 %, restart, heat copied", 4, 0.6, -1.0, EventAt, true },
    { "4 engines, 60 %, restart, no heat", 4, 0.6, -1.0, EventAt, false },
};

struct totals
{
    double hitRate = 0.0;
    double beforeRestart = 0.0;
    double afterRestart = 0.0;
    double p50 = 0.0;
    double p99 = 0.0;
    double worstP99 = 0.0;
    double recomputed = 0.0;
    double utilisation = 0.0;
    double events = 0.0;
};

totals runSeeds(simulation_options options, std::uint64_t seeds)
{
    totals sum;
    const double part = 1.0 / static_cast<double>(seeds);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const simulation_report report = simulatePlacement(options);
        sum.hitRate += part * report.hitRate();
        sum.beforeRestart += part * report.beforeRestart.hitRate();
        sum.afterRestart += part * report.afterRestart.hitRate();
        sum.p50 += part * report.p50Seconds;
        sum.p99 += part * report.p99Seconds;
        sum.worstP99 = std::max(sum.worstP99, report.p99Seconds);
        sum.recomputed += part * report.recomputedTokens / report.promptTokens;
        sum.utilisation += part * report.utilisation;
        sum.events += part * report.cacheEventsPerSecond;
    }
    return sum;
}

void printLine(placement_policy policy, const totals &sum)
{
    std::cout << "  " << std::left << std::setw(13) << nameOf(policy) << std::right << std::fixed
              << std::setprecision(1) << std::setw(7) << 100.0 * sum.hitRate << std::setw(9)
              << 100.0 * sum.beforeRestart << std::setw(8) << 100.0 * sum.afterRestart
              << std::setw(9) << 1000.0 * sum.p50 << std::setw(10) << 1000.0 * sum.p99
              << std::setw(10) << 1000.0 * sum.worstP99 << std::setw(9) << 100.0 * sum.recomputed
              << std::setw(7) << 100.0 * sum.utilisation << std::setw(9) << sum.events << std::endl;
}

void runScenario(const scenario &chosen, const simulation_options &base, std::uint64_t seeds,
                 const std::string &policy)
{
    simulation_options options = base;
    options.engines = chosen.engines;
    options.requestsPerSecond = rateForUtilisation(options, chosen.load);
    options.crashAt = chosen.crashAt;
    options.restartAt = chosen.restartAt;
    options.copyHeat = chosen.copyHeat;
    std::cout << chosen.name << ": " << std::fixed << std::setprecision(1)
              << options.requestsPerSecond << " requests/s, " << seeds << " seeds\n"
              << "  policy        hit % before % after %   p50 ms    p99 ms worst p99 recomp. %  "
                 "busy %\n";
    for (const auto &row : enum_names<placement_policy>::Table) {
        options.policy = row.value;
        if (policy.empty() || policy == row.name)
            printLine(row.value, runSeeds(options, seeds));
    }
}

/// Prints the mean time of a decision with its bookkeeping, for one pool of the target scale.
void measureDecision(std::size_t endpoints, std::size_t levels)
{
    constexpr std::uint64_t Pool = 1;
    constexpr int Decisions = 2000;
    constexpr double RequestsPerSecond = 92.0;
    std::vector<placement_endpoint> pool(endpoints);
    std::vector<endpoint_wait> waits;
    for (std::size_t i = 0; i < endpoints; ++i) {
        pool[i].name = "engine-" + std::to_string(i);
        pool[i].key = endpointKey(pool[i].name);
        waits.push_back({ pool[i].key, 0.1 });
    }
    heat_sketch heat;
    recent_requests recent;
    rendezvous_weights loadWeights;
    std::mt19937_64 random(1);
    duration spent{};
    double sink = 0.0;
    for (int i = 0; i < Decisions; ++i) {
        prompt_prefix prompt;
        for (std::size_t level = 0; level < levels; ++level)
            prompt.levels.push_back(level < 2 ? level + 1 : random());
        prompt.promptTokens = static_cast<std::int64_t>(levels) * prompt.tokensPerBlock;
        const time_point now(fromSeconds(100.0 + i / RequestsPerSecond));
        for (placement_endpoint &endpoint : pool)
            endpoint.loadAsOf = now - std::chrono::milliseconds(500);
        if (i % 23 == 0) // A round of load reports every 250 ms.
            loadWeights.update(waits, now);
        placement_view view;
        view.endpoints = &pool;
        view.heat = &heat;
        view.recent = &recent;
        view.loadWeights = &loadWeights;
        view.pool = Pool;
        view.vms = 100; // The target's 1,300 VMs send to 13 pools.
        view.now = now;
        const time_point start = steadyNow();
        recordHeat(heat, prompt, Pool, now);
        const auto chosen = choosePlacement(view, { &prompt, "", {} });
        const placement_endpoint &endpoint = pool[valueOf(chosen).chosen.endpoint];
        recent.recordSent(prompt, endpoint.key, 0, valueOf(chosen).workSeconds, now);
        spent += steadyNow() - start;
        sink += valueOf(chosen).chosen.scoreSeconds;
    }
    std::cout << endpoints << " endpoints, " << levels << " levels: " << std::fixed
              << std::setprecision(1) << 1e6 * toSeconds(spent) / Decisions
              << " us a decision (mean score " << sink / Decisions << " s)\n";
}

/// A scheduler with engines of its own, whose loads come from the calls alone.
struct scheduler_load
{
    scheduler_load(std::size_t engineCount, const scheduler_options &options)
        : scheduler(options, {}, [this](const placement_question &) { return engines; })
    {
        for (std::size_t index = 0; index < engineCount; ++index)
            ids.push_back("engine-" + std::to_string(index));
        for (const std::string &id : ids) {
            endpoint_candidate engine;
            engine.id = id;
            engine.sameDataCentre = true;
            engine.slots = 32;
            engine.cacheTokens = 100000;
            engines.push_back(engine);
        }
    }

    placement_question question(bool isLong)
    {
        placement_question asked;
        asked.vm = 1 + random() % 84;
        asked.number = ++number;
        asked.pool = 1;
        asked.account = random() % 11;
        asked.segment = isLong ? 1 + random() % 300 : 0;
        asked.affinityKey = "m/" + std::to_string(asked.segment);
        asked.segmentTokens = isLong ? 3800 : 0;
        asked.promptTokens = isLong ? 6000 + random() % 6000 : 400 + random() % 800;
        asked.unsharedTokens = asked.promptTokens - asked.segmentTokens;
        asked.outputTokens = 70;
        asked.lane = static_cast<std::uint8_t>(isLong ? engine_lane::Long : engine_lane::Short);
        asked.priority = static_cast<std::uint8_t>(isLong ? 6 : 3);
        asked.targetMs = isLong ? 1200 : 250;
        asked.deadlineMs = 15000;
        return asked;
    }

    void state(const placement_answer &answer, call_stage stage, time_point now)
    {
        call_row row;
        row.number = answer.number;
        row.endpoint = answer.endpoint;
        row.unreadTokens = 1000;
        row.activeTokens = 1000;
        row.stage = static_cast<std::uint8_t>(stage);
        row.firstEventMs = 40 + random() % 10;
        scheduler.apply({ answer.vm, ++sequence, false, { row } }, now);
    }

    std::mt19937 random{ 1 };
    std::uint32_t number = 0;
    std::uint64_t sequence = 0;
    std::vector<std::string> ids;
    std::vector<endpoint_candidate> engines;
    placement_scheduler scheduler;
};

/// Prints the mean time of one placement by a scheduler, with the statements of its call.
void measureScheduler(std::size_t engines, bool usePace)
{
    constexpr int Placements = 20000;
    constexpr std::size_t Running = 200; // Calls that run at any time.
    scheduler_options options;
    options.usePace = usePace;
    scheduler_load load(engines, options);
    std::deque<placement_answer> running;
    duration spent{};
    for (int placement = 0; placement < Placements; ++placement) {
        const time_point now(fromSeconds(100.0 + placement / 400.0));
        const placement_question question = load.question(false);
        const time_point start = steadyNow();
        running.push_back(load.scheduler.ask(question, now));
        load.state(running.back(), call_stage::Decode, now);
        spent += steadyNow() - start;
        if (running.size() <= Running)
            continue;
        load.state(running.front(), call_stage::Ended, now);
        running.pop_front();
    }
    std::cout << "scheduler, " << engines << " engines" << (usePace ? "" : ", without paces")
              << ": " << std::fixed << std::setprecision(1) << 1e6 * toSeconds(spent) / Placements
              << " us a placement" << std::endl;
}

/// Prints the mean and the longest time of a round of grants in a full queue of which one long
/// prompt can be placed. If the questions exclude engines, they have little in common, and more of
/// them are tried.
void measureGrantRound(std::size_t engines, std::size_t waiting, bool excludesEngines)
{
    constexpr int Rounds = 500;
    scheduler_load load(engines, {});
    const auto at = [](int round) { return time_point(fromSeconds(100.0 + 0.001 * round)); };
    std::deque<placement_answer> running;
    for (std::size_t call = 0; call < engines; ++call)
        running.push_back(load.scheduler.ask(load.question(true), at(0)));
    const auto fill = [&](int round) {
        while (load.scheduler.waiting() < waiting) {
            placement_question question = load.question(true);
            question.maxWaitMs = 600000;
            for (int excluded = 0; excludesEngines && excluded < 40; ++excluded)
                question.tried.push_back(shortHash(load.ids[load.random() % engines]));
            load.scheduler.ask(question, at(round));
        }
    };
    duration spent{};
    duration longest{};
    std::size_t granted = 0;
    for (int round = 0; round < Rounds; ++round) {
        fill(round);
        load.state(running.front(), call_stage::Ended, at(round));
        running.pop_front();
        const time_point start = steadyNow();
        const auto grants = load.scheduler.takeGrants(at(round));
        const duration time = steadyNow() - start;
        spent += time;
        longest = std::max(longest, time);
        granted += grants.size();
        running.insert(running.end(), grants.begin(), grants.end());
    }
    std::cout << "round of grants, " << engines << " engines, " << waiting << " waiting"
              << (excludesEngines ? ", engines excluded: " : ": ") << std::fixed
              << std::setprecision(1) << 1e6 * toSeconds(spent) / Rounds << " us, longest "
              << 1e6 * toSeconds(longest) << " us, " << static_cast<double>(granted) / Rounds
              << " granted" << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    simulation_options options;
    std::uint64_t seeds = 20;
    std::size_t only = 0;
    std::string policy;
    double halfLifeSeconds = 10.0;
    double lifetimeSeconds = 60.0;

    options_lib::options_description description("placement_bench options");
    auto add = description.add_options();
    add("help", "print this text");
    add("decision-time", "print the time of one decision and stop");
    add("scheduler-time", "print the times of a scheduler's placements and grants and stop");
    add("seeds", options_lib::value(&seeds), "number of seeds");
    add("scenario", options_lib::value(&only), "run one scenario, counted from 1; 0 runs all");
    add("policy", options_lib::value(&policy), "run one policy; empty runs all");
    add("replica-factor", options_lib::value(&options.placement.replicaFactor),
        "replicas: factor x share x endpoints");
    add("vms", options_lib::value(&options.vms), "number of VMs");
    add("heat-half-life", options_lib::value(&halfLifeSeconds), "half-life of heat in seconds");
    add("heat-capacity", options_lib::value(&options.heat.capacity), "prefixes in the heat sketch");
    add("recent-lifetime", options_lib::value(&lifetimeSeconds),
        "time after which own requests are forgotten, in seconds");
    add("learning-rate", options_lib::value(&options.recent.learningRate),
        "part by which one response moves the learned confidence");
    add("minimum-count", options_lib::value(&options.placement.minimumCount),
        "decayed requests below which a prefix has one replica");
    add("replica-threshold", options_lib::value(&options.placement.replicaThreshold),
        "share x endpoints below which a prefix has one replica");
    add("initial-confidence", options_lib::value(&options.recent.initialConfidence),
        "confidence in the placement rule before responses");
    add("miss-weight", options_lib::value(&options.placement.missWeight),
        "weight of missing tokens against queue wait");
    add("weight-gain", options_lib::value(&options.loadWeights.gainPerSecond),
        "correction of endpoint weights per second");
    add("load-bound-floor", options_lib::value(&options.placement.loadBoundFloorSeconds),
        "queue wait in seconds below which the load bound does not apply");
    options_lib::variables_map values;
    try {
        options_lib::store(options_lib::parse_command_line(argc, argv, description), values);
        options_lib::notify(values);
    } catch (const options_lib::error &error) {
        std::cerr << "placement_bench: " << error.what() << "\n";
        return 2;
    }
    if (values.count("decision-time") > 0) {
        measureDecision(9, 10);
        measureDecision(770, 10);
        measureDecision(770, 64);
        return 0;
    }
    if (values.count("scheduler-time") > 0) {
        measureScheduler(60, true);
        measureScheduler(60, false);
        measureGrantRound(90, 2000, false);
        measureGrantRound(90, 2000, true);
        return 0;
    }
    if (values.count("help") > 0 || seeds == 0) {
        std::cout << description;
        return values.count("help") > 0 ? 0 : 2;
    }
    options.heat.halfLife = fromSeconds(halfLifeSeconds);
    options.recent.lifetime = fromSeconds(lifetimeSeconds);
    for (std::size_t i = 0; i < scenarios.size(); ++i) {
        if (only == 0 || only == i + 1)
            runScenario(scenarios[i], options, seeds, policy);
    }
    return 0;
}
