#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>

#include "testing/placement_simulation.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

using namespace burdockhold;
using namespace burdockhold::testing;

namespace {

constexpr std::uint64_t Pool = 99;

time_point at(double seconds)
{
    return time_point(fromSeconds(seconds));
}

std::vector<placement_endpoint> idleEndpoints(std::size_t count)
{
    std::vector<placement_endpoint> endpoints;
    for (std::size_t i = 0; i < count; ++i) {
        placement_endpoint endpoint;
        endpoint.name = "engine-" + std::to_string(i);
        endpoint.key = endpointKey(endpoint.name);
        endpoint.weightsVersion = "v1";
        endpoint.loadAsOf = at(100.0);
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

prompt_prefix randomPrompt(std::mt19937_64 &random, std::size_t levels)
{
    prompt_prefix prompt;
    for (std::size_t i = 0; i < levels; ++i)
        prompt.levels.push_back(random());
    prompt.promptTokens = static_cast<std::int64_t>(levels) * prompt.tokensPerBlock + 500;
    return prompt;
}

/// The state of one VM and a pool, at 100 s.
struct fixture
{
    std::vector<placement_endpoint> endpoints = idleEndpoints(9);
    heat_sketch heat;
    recent_requests recent;
    rendezvous_weights loadWeights;
    cache_view cache;
    std::mt19937_64 random{ 1 };

    placement_view view() const
    {
        placement_view view{ &endpoints, &heat, &recent, &loadWeights, Pool, 8, at(100.0), &cache };
        return view;
    }

    placement_choice choose(const prompt_prefix &prompt,
                            const std::vector<std::uint64_t> &excluded = {}) const
    {
        const auto chosen = choosePlacement(view(), { &prompt, "v1", excluded });
        BOOST_REQUIRE(isOk(chosen));
        return valueOf(chosen);
    }
};

constexpr std::uint64_t Seeds = 20;
constexpr double EventAt = 90.0;

/// Means over the seeds.
struct measured
{
    double hitRate = 0.0;
    double p99Seconds = 0.0;
    double beforeRestart = 0.0;
    double afterRestart = 0.0;
};

measured runSeeds(simulation_options options, placement_policy policy)
{
    measured mean;
    options.policy = policy;
    constexpr double Part = 1.0 / static_cast<double>(Seeds);
    for (options.seed = 1; options.seed <= Seeds; ++options.seed) {
        const simulation_report report = simulatePlacement(options);
        mean.hitRate += Part * report.hitRate();
        mean.p99Seconds += Part * report.p99Seconds;
        mean.beforeRestart += Part * report.beforeRestart.hitRate();
        mean.afterRestart += Part * report.afterRestart.hitRate();
    }
    return mean;
}

simulation_options atLoad(std::size_t engines, double load)
{
    simulation_options options;
    options.engines = engines;
    options.requestsPerSecond = rateForUtilisation(options, load);
    return options;
}

/// Checks the targets of the design page, section 1.2.
void checkTargets(const simulation_options &options,
                  placement_policy policy = placement_policy::Burdockhold)
{
    const measured own = runSeeds(options, policy);
    BOOST_TEST(own.hitRate >= runSeeds(options, placement_policy::Omniscient).hitRate - 0.03);
    for (placement_policy baseline :
         { placement_policy::RoundRobin, placement_policy::LeastLoaded,
           placement_policy::FirstBlock, placement_policy::WholePrefix })
        BOOST_TEST(own.p99Seconds < runSeeds(options, baseline).p99Seconds, nameOf(baseline));
}

} // namespace

// Guards against VMs that disagree: equal inputs give the same endpoint, whatever the order in
// which the endpoints are listed.
BOOST_FIXTURE_TEST_CASE(choiceDoesNotDependOnTheOrderOfEndpoints, fixture)
{
    fixture other;
    for (int round = 0; round < 300; ++round) {
        const prompt_prefix prompt = randomPrompt(random, random() % 6);
        std::shuffle(other.endpoints.begin(), other.endpoints.end(), random);
        const auto first = choose(prompt);
        const auto second = other.choose(prompt);
        BOOST_TEST(endpoints[first.chosen.endpoint].name
                   == other.endpoints[second.chosen.endpoint].name);
    }
}

// Guards against new work on an endpoint that must not get any (invariant 10), and against a retry
// on the endpoint that failed.
BOOST_FIXTURE_TEST_CASE(ineligibleEndpointsAreNeverChosen, fixture)
{
    for (int round = 0; round < 2000; ++round) {
        std::vector<std::uint64_t> excluded;
        std::set<std::size_t> eligible;
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            endpoints[i].leaving = random() % 4 == 0;
            endpoints[i].ejected = random() % 4 == 0;
            endpoints[i].weightsVersion = random() % 4 == 0 ? "v0" : "v1";
            endpoints[i].queuedTokens = static_cast<std::int64_t>(random() % 100000);
            if (random() % 4 == 0)
                excluded.push_back(endpoints[i].key);
            else if (!endpoints[i].leaving && !endpoints[i].ejected
                     && endpoints[i].weightsVersion == "v1")
                eligible.insert(i);
        }
        const prompt_prefix prompt = randomPrompt(random, random() % 6);
        recent.recordSent(prompt, endpoints[random() % 9].key, 0, 0.1, at(99.0));
        const auto chosen = choosePlacement(view(), { &prompt, "v1", excluded });
        BOOST_TEST(isOk(chosen) == !eligible.empty());
        if (!isOk(chosen))
            continue;
        for (const placement_candidate &candidate : valueOf(chosen).candidates)
            BOOST_TEST(eligible.count(candidate.endpoint) == 1U);
    }
}

// Guards against prefixes that all move when an endpoint fails: only those it held may move.
BOOST_FIXTURE_TEST_CASE(losingAnEndpointMovesOnlyItsPrefixes, fixture)
{
    for (int round = 0; round < 500; ++round) {
        const prompt_prefix prompt = randomPrompt(random, 1);
        endpoints[4].ejected = false;
        const std::size_t before = choose(prompt).chosen.endpoint;
        endpoints[4].ejected = true;
        const std::size_t after = choose(prompt).chosen.endpoint;
        BOOST_TEST((before == after || before == 4U));
    }
}

// Guards against weights that do not act: a share of prefixes in proportion to the weight.
BOOST_FIXTURE_TEST_CASE(prefixesAreSharedByWeight, fixture)
{
    endpoints[0].weight = 4.0;
    int heavy = 0;
    constexpr int Rounds = 6000;
    for (int round = 0; round < Rounds; ++round)
        heavy += choose(randomPrompt(random, 1)).chosen.endpoint == 0 ? 1 : 0;
    // Four parts of twelve; six standard deviations of a binomial.
    BOOST_TEST(std::abs(heavy - Rounds / 3) < 6 * std::sqrt(Rounds * 2.0 / 9.0));
}

// Guards against a level that leaves the set of the level above it, and against a set that shrinks
// where replicas are wanted.
BOOST_FIXTURE_TEST_CASE(setsAreNestedAndGrowWithHeat, fixture)
{
    const prompt_prefix prompt = randomPrompt(random, 4);
    const std::vector<std::size_t> all{ 0, 1, 2, 3, 4, 5, 6, 7, 8 };
    placement_options options;
    options.replicaFactor = 1.0;
    const auto sizeOf = [&](std::size_t level) {
        const auto levels = rendezvousLevels(view(), all, prompt, options);
        return std::count_if(levels.begin(), levels.end(),
                             [&](std::size_t deepest) { return deepest >= level; });
    };
    BOOST_TEST(sizeOf(1) == 1);
    for (int i = 0; i < 200; ++i) {
        heat.record(Pool, at(100.0));
        heat.record(prompt.levels[0], at(100.0));
        if (i % 2 == 0)
            heat.record(prompt.levels[1], at(100.0));
    }
    BOOST_TEST(sizeOf(1) == 9);
    BOOST_TEST(sizeOf(2) >= 2);
    BOOST_TEST(sizeOf(2) < 9);
    BOOST_TEST(sizeOf(4) == 1);
}

// Guards against reliance on entries of a dead engine (invariant 1): a new incarnation holds
// nothing that this VM sent before, and neither does an endpoint after a failure.
BOOST_FIXTURE_TEST_CASE(ownHistoryEndsWithTheIncarnation, fixture)
{
    const prompt_prefix prompt = randomPrompt(random, 4);
    recent.recordSent(prompt, endpoints[2].key, 1, 0.1, at(99.0));
    BOOST_TEST(recent.cachedTokens(prompt, endpoints[2].key, 1, at(100.0)) == 8000);
    BOOST_TEST(recent.cachedTokens(prompt, endpoints[2].key, 2, at(100.0)) == 0);
    BOOST_TEST(recent.cachedTokens(prompt, endpoints[3].key, 1, at(100.0)) == 0);
    BOOST_TEST(recent.cachedTokens(prompt, endpoints[2].key, 1, at(99.0 + 61.0)) == 0);
    recent.forget(prompt, endpoints[2].key);
    BOOST_TEST(recent.cachedTokens(prompt, endpoints[2].key, 1, at(100.0)) == 0);
}

// Guards against a choice that counts on what a dead engine held: the endpoint that was sent the
// prompt is preferred until it reports another incarnation.
BOOST_FIXTURE_TEST_CASE(choiceForgetsADeadIncarnation, fixture)
{
    for (int round = 0; round < 50; ++round) {
        const prompt_prefix prompt = randomPrompt(random, 4);
        const std::size_t home = choose(prompt).chosen.endpoint;
        const std::size_t holder = (home + 1) % endpoints.size();
        endpoints[holder].incarnation = 1;
        recent.recordSent(prompt, endpoints[holder].key, 1, 0.0, at(99.0));
        BOOST_TEST(choose(prompt).chosen.endpoint == holder);
        BOOST_TEST(choose(prompt).chosen.ownTokens == 8000.0);
        endpoints[holder].incarnation = 2;
        BOOST_TEST(choose(prompt).chosen.endpoint == home);
        BOOST_TEST(choose(prompt).chosen.ownTokens == 0.0);
    }
}

// Guards against memory that grows with traffic, in every part of the state.
BOOST_FIXTURE_TEST_CASE(stateIsBounded, fixture)
{
    for (int i = 0; i < 20000; ++i) {
        const prompt_prefix prompt = randomPrompt(random, 3);
        recordHeat(heat, prompt, Pool, at(i * 0.001));
        recent.recordSent(prompt, endpoints[0].key, 1, 0.1, at(i * 0.001));
    }
    BOOST_TEST(heat.size() <= 256U);
    BOOST_TEST(recent.prefixes() <= recent.options().maxPrefixes + 3);
}

// Guards against a sketch that reports more heat than there was, and one that loses the hottest
// prefixes, by comparison with exact decayed counts.
BOOST_AUTO_TEST_CASE(heatNeverExceedsExactCounts)
{
    std::mt19937_64 random(5);
    heat_options options;
    options.capacity = 64;
    heat_sketch sketch(options);
    std::vector<double> exact(2000, 0.0);
    const double decay = std::exp2(-0.01 / 10.0);
    double now = 0.0;
    for (int i = 0; i < 60000; ++i) {
        now += 0.01;
        for (double &value : exact)
            value *= decay;
        const std::size_t prefix = random() % 2 == 0 ? random() % 10 : 10 + random() % 1990;
        exact[prefix] += 1.0;
        sketch.record(prefix, at(now));
        const std::size_t other = random() % exact.size();
        BOOST_REQUIRE(sketch.count(other, at(now)) <= exact[other] * (1.0 + 1e-6) + 1e-6);
    }
    for (std::size_t prefix = 0; prefix < 10; ++prefix)
        BOOST_TEST(sketch.count(prefix, at(now)) > 0.5 * exact[prefix]);
}

// Guards against replicas that move back and forth while the heat stays near a power of two.
BOOST_AUTO_TEST_CASE(settledCountHasHysteresis)
{
    heat_sketch sketch;
    for (int i = 0; i < 8; ++i)
        sketch.record(1, at(0.0));
    BOOST_TEST(sketch.settledCount(1, at(0.0)) == 8.0);
    BOOST_TEST(sketch.settledCount(1, at(4.0)) == 8.0);  // 6.1 requests
    BOOST_TEST(sketch.settledCount(1, at(6.0)) == 4.0);  // 5.3 requests
    BOOST_TEST(sketch.settledCount(1, at(60.0)) == 0.0); // 0.1 requests
}

// Guards against a restarted VM that does not take over its peer's heat, and against a malformed
// copy that makes a prefix hot.
BOOST_AUTO_TEST_CASE(heatIsCopiedBetweenVms)
{
    heat_sketch peer;
    for (int i = 0; i < 1000; ++i)
        peer.record(static_cast<std::uint64_t>(i % 300), at(i * 0.01));
    auto entries = peer.exportEntries(at(10.0));
    heat_sketch fresh;
    entries.push_back({ 7777, std::nan(""), 0.0, 3 });
    entries.push_back({ 7778, -5.0, 0.0, 3 });
    entries.push_back({ 7779, 1.0, 5.0, 3 });
    fresh.importEntries(entries, at(500.0)); // Another process's clock.
    BOOST_TEST(fresh.size() == 256U);
    for (std::uint64_t prefix = 0; prefix < 300; ++prefix)
        BOOST_TEST(std::abs(fresh.count(prefix, at(500.0)) - peer.count(prefix, at(10.0))) < 1e-6);
    BOOST_TEST(fresh.count(7777, at(500.0)) == 0.0);
    BOOST_TEST(fresh.count(7778, at(500.0)) == 0.0);
    BOOST_TEST(fresh.count(7779, at(500.0)) == 0.0);
}

// Guards against an endpoint that stays overloaded because its prefixes never move, and against
// factors that last after the load is even again.
BOOST_AUTO_TEST_CASE(weightsMoveAwayFromLongQueuesAndReturn)
{
    rendezvous_weights loadWeights;
    double now = 0.0;
    for (; now < 30.0; now += 0.25)
        loadWeights.update({ { 1, 4.0 }, { 2, 1.0 }, { 3, 1.0 } }, at(now));
    BOOST_TEST(loadWeights.factor(1) < 0.9);
    BOOST_TEST(loadWeights.factor(2) > 1.0);
    BOOST_TEST(loadWeights.factor(4) == 1.0);
    rendezvous_weights copy;
    copy.importFactors(loadWeights.exportFactors());
    BOOST_TEST(std::abs(copy.factor(1) - loadWeights.factor(1)) < 1e-9);
    for (; now < 1000.0; now += 0.25)
        loadWeights.update({ { 1, 1.0 }, { 2, 1.0 }, { 3, 1.0 } }, at(now));
    BOOST_TEST(std::abs(loadWeights.factor(1) - 1.0) < 0.01);
}

// Guards against a queue that grows without limit because its endpoint holds the prefix.
BOOST_FIXTURE_TEST_CASE(loadBoundSpillsToAnotherEndpoint, fixture)
{
    const prompt_prefix prompt = randomPrompt(random, 3);
    const std::size_t home = choose(prompt).chosen.endpoint;
    endpoints[home].queuedTokens = 2000000; // 100 s.
    const auto choice = choose(prompt);
    BOOST_TEST(choice.chosen.endpoint != home);
    BOOST_TEST(!choice.chosen.overBound);
    BOOST_TEST(choice.eligible == endpoints.size());
}

// Guards against an expectation that overrides what the engine itself reports, and against one from
// a dead engine's report.
BOOST_FIXTURE_TEST_CASE(cacheEventsReplaceTheRule, fixture)
{
    const prompt_prefix prompt = randomPrompt(random, 3);
    const std::size_t home = choose(prompt).chosen.endpoint;
    const std::size_t holder = (home + 1) % endpoints.size();
    cache.watch(prompt);
    for (std::size_t i : { home, holder }) {
        cache.begin(endpoints[i].key, endpoints[i].incarnation);
        cache.resync(endpoints[i].key, endpoints[i].incarnation, 1,
                     i == holder ? prompt.levels : std::vector<std::uint64_t>{});
    }
    BOOST_TEST(choose(prompt).chosen.endpoint == holder);
    BOOST_TEST(choose(prompt).chosen.cachedTokens == 6000.0);
    endpoints[holder].incarnation = 2;
    endpoints[home].incarnation = 2;
    BOOST_TEST(choose(prompt).chosen.endpoint == home);
}

// Guards against a placement that loses cache hits or waits where engines are mostly idle.
BOOST_AUTO_TEST_CASE(targetsHoldAtLowLoad)
{
    checkTargets(atLoad(9, 0.3));
    checkTargets(atLoad(4, 0.3));
}

// Guards against scattered prefixes and hot endpoints near full load.
BOOST_AUTO_TEST_CASE(targetsHoldNearFullLoad)
{
    checkTargets(atLoad(9, 0.9));
    checkTargets(atLoad(4, 0.9));
}

// Guards against cache events that make placement worse than its own rule.
BOOST_AUTO_TEST_CASE(targetsHoldWithCacheEvents)
{
    checkTargets(atLoad(9, 0.9), placement_policy::CacheEvents);
    checkTargets(atLoad(4, 0.9), placement_policy::CacheEvents);
}

// Guards against a placement that does not recover when an engine returns with an empty cache.
BOOST_AUTO_TEST_CASE(targetsHoldThroughAnEngineCrash)
{
    for (std::size_t engines : { 9, 4 }) {
        simulation_options options = atLoad(engines, 0.6);
        options.crashAt = EventAt;
        checkTargets(options);
    }
}

// Guards against a cold start (invariant 3): all VMs restart at once and copy a peer's heat.
BOOST_AUTO_TEST_CASE(restartKeepsTheHitRate)
{
    for (std::size_t engines : { 9, 4 }) {
        simulation_options options = atLoad(engines, 0.6);
        options.restartAt = EventAt;
        const measured own = runSeeds(options, placement_policy::Burdockhold);
        BOOST_TEST(own.afterRestart >= own.beforeRestart - 0.01);
    }
}
