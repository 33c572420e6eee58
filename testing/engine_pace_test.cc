#define BOOST_TEST_MODULE engine_pace
#include "burdockhold/engine_pace.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <queue>
#include <random>
#include <vector>

using namespace burdockhold;

namespace {

constexpr double BaseMs = 27.0;
constexpr double TokensPerMs = 42.8;

time_point at(double ms)
{
    return time_point{ std::chrono::hours(1) } + fromSeconds(ms / 1000.0);
}

/// A pool of engines that read prompts one after the other. VMs see what was pending at an engine
/// some time ago.
struct pool_model
{
    struct first_event
    {
        double atMs = 0.0;
        std::size_t engine = 0;
        pace_sample sample;
        bool operator>(const first_event &other) const { return atMs > other.atMs; }
    };
    struct past_call
    {
        double placedMs = 0.0;
        double beginMs = 0.0; ///< The engine begins to read the prompt.
        double doneMs = 0.0;
        std::int64_t tokens = 0;
    };

    /// How many times slower than the reference an engine is at a time.
    std::function<double(std::size_t engine, double ms)> slownessOf;
    std::function<double(double ms)> callsPerEngineSecond;
    std::size_t engines = 20;
    double viewLagMs = 0.0;
    double maxBacklogMs = 1500.0; ///< A caller does not wait longer, and its call is not made.

    /// Runs the model and passes each first event, in order of time.
    void run(double seconds, unsigned seed,
             const std::function<void(const first_event &)> &firstEvent) const
    {
        std::mt19937 random(seed);
        std::vector<std::deque<past_call>> calls(engines);
        std::priority_queue<first_event, std::vector<first_event>, std::greater<>> events;
        for (double ms = 0.0; ms < 1000.0 * seconds;) {
            const double rate = callsPerEngineSecond(ms) * static_cast<double>(engines) / 1000.0;
            ms += std::exponential_distribution<double>(rate)(random);
            for (; !events.empty() && events.top().atMs <= ms; events.pop())
                firstEvent(events.top());
            const std::size_t engine = std::uniform_int_distribution<std::size_t>(0, engines - 1)(
                    random);
            auto &past = calls[engine];
            const double busyUntilMs = past.empty() ? 0.0 : past.back().doneMs;
            if (busyUntilMs - ms > maxBacklogMs)
                continue;
            const bool isLong = std::bernoulli_distribution(0.2)(random);
            const std::int64_t unread = std::uniform_int_distribution<std::int64_t>(
                    isLong ? 5000 : 200, isLong ? 9000 : 900)(random);
            const double noise = std::lognormal_distribution<double>(0.0, 0.08)(random);
            const double slowness = slownessOf(engine, ms) * noise;
            const double readMs = slowness * static_cast<double>(unread) / TokensPerMs;
            const double beginMs = std::max(ms, busyUntilMs);
            const double doneMs = beginMs + readMs;
            events.push({ doneMs + slowness * BaseMs,
                          engine,
                          { unread, seenTokens(past, ms), 0, doneMs + slowness * BaseMs - ms } });
            past.push_back({ ms, beginMs, doneMs, unread });
        }
    }

    /// Returns the tokens pending as the views show them.
    std::int64_t seenTokens(std::deque<past_call> &past, double ms) const
    {
        const double seenMs = ms - viewLagMs;
        while (past.size() > 1 && past.front().doneMs <= seenMs)
            past.pop_front();
        double tokens = 0.0;
        for (const past_call &call : past) {
            if (call.placedMs > seenMs)
                break;
            const double left = (call.doneMs - seenMs) / (call.doneMs - call.beginMs);
            tokens += std::clamp(left, 0.0, 1.0) * static_cast<double>(call.tokens);
        }
        return std::llround(tokens);
    }
};

/// The paces of a pool and its engines, as a VM keeps them.
struct observed_pool
{
    explicit observed_pool(std::size_t count)
        : engines(count)
    {
        for (engine_pace &engine : engines)
            engine.reset(pool, at(0.0));
    }

    void record(const pool_model::first_event &event)
    {
        pool.record(event.sample, at(event.atMs));
        engines[event.engine].follow(pool);
        engines[event.engine].record(event.sample, at(event.atMs));
    }

    engine_pace pool;
    std::vector<engine_pace> engines;
};

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double lastingSlowness(std::size_t engine, double)
{
    return std::pow(1.3, static_cast<double>(engine) / 19.0);
}

} // namespace

// Guards against estimates that miss the difference between engines: the fast ones stay idle.
BOOST_AUTO_TEST_CASE(engines_that_differ_by_1_3_are_told_apart)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        pool_model model;
        model.slownessOf = lastingSlowness;
        model.callsPerEngineSecond = [](double) { return 6.0; };
        observed_pool observed(model.engines);
        std::vector<double> errors;
        model.run(60.0, seed, [&](const pool_model::first_event &event) {
            const pace_sample &sample = event.sample;
            const double expected = observed.engines[event.engine]
                                            .estimate(sample.unreadTokens, sample.tokensAhead, 0,
                                                      at(event.atMs))
                                            .expectedMs;
            if (event.atMs > 20000.0)
                errors.push_back(std::abs(sample.firstEventMs - expected) / expected);
            observed.record(event);
        });
        double worst = 0.0;
        for (std::size_t engine = 0; engine < model.engines; ++engine) {
            const double rate = observed.engines[engine].estimate(0, 0, 0, at(60000.0)).tokensPerMs;
            const double actual = TokensPerMs / lastingSlowness(engine, 0.0);
            worst = std::max(worst, std::abs(rate / actual - 1.0));
        }
        BOOST_TEST_MESSAGE("seed " << seed << ": median error of the expected time "
                                   << median(errors) << ", worst error of an engine's rate "
                                   << worst);
        BOOST_TEST(median(errors) < 0.12);
        BOOST_TEST(worst < 0.2);
    }
}

// Guards against an engine that is slow for good and keeps its share of the calls.
BOOST_AUTO_TEST_CASE(engine_that_is_slow_for_good_is_found)
{
    pool_model model;
    model.slownessOf = [](std::size_t engine, double) { return engine == 0 ? 2.0 : 1.0; };
    model.callsPerEngineSecond = [](double) { return 5.0; };
    observed_pool observed(model.engines);
    double foundMs = -1.0;
    model.run(60.0, 7, [&](const pool_model::first_event &event) {
        observed.record(event);
        if (foundMs < 0.0 && observed.engines[0].slowness(at(event.atMs)) > 1.6)
            foundMs = event.atMs;
    });
    const double slowness = observed.engines[0].slowness(at(60000.0));
    BOOST_TEST_MESSAGE("slowness " << slowness << ", above 1.6 first after " << foundMs << " ms");
    BOOST_TEST(foundMs >= 0.0);
    BOOST_TEST(foundMs < 8000.0); // 40 calls.
    BOOST_TEST(slowness > 1.7);
    BOOST_TEST(slowness < 2.3);
    for (std::size_t engine = 1; engine < model.engines; ++engine)
        BOOST_TEST(observed.engines[engine].slowness(at(60000.0)) < 1.2);
}

// Guards against calls that go on to an engine in a slow moment, and against one that stays
// avoided after it.
BOOST_AUTO_TEST_CASE(slow_moments_are_followed)
{
    pool_model model;
    model.slownessOf = [](std::size_t engine, double ms) {
        return engine == 0 && std::fmod(ms, 10000.0) >= 7000.0 ? 2.5 : 1.0;
    };
    model.callsPerEngineSecond = [](double) { return 8.0; };
    model.maxBacklogMs = 400.0;
    observed_pool observed(model.engines);
    int slowSeen = 0;
    int slowSamples = 0;
    int fastSeen = 0;
    int fastSamples = 0;
    model.run(60.0, 3, [&](const pool_model::first_event &event) {
        const double phase = std::fmod(event.atMs, 10000.0);
        observed.record(event);
        if (event.engine != 0 || event.atMs < 10000.0)
            return;
        const bool isSlow = observed.engines[0].slowness(at(event.atMs)) > 1.6;
        if (phase > 8000.0) {
            ++slowSamples;
            slowSeen += isSlow ? 1 : 0;
        } else if (phase > 1000.0 && phase < 7000.0) {
            ++fastSamples;
            fastSeen += isSlow ? 0 : 1;
        }
    });
    BOOST_TEST_MESSAGE("seen slow " << slowSeen << " of " << slowSamples << ", seen as usual "
                                    << fastSeen << " of " << fastSamples);
    BOOST_TEST(slowSeen > 0.85 * slowSamples);
    BOOST_TEST(fastSeen > 0.97 * fastSamples);
}

// Guards against queueing that is taken for slowness. Views are 300 ms old and the pool is offered
// twice of what it can read. The bound: within 20 s of overload, the pool's rate stays above 0.75
// of the engines' own, also if the overload begins with the first sample.
BOOST_AUTO_TEST_CASE(rate_does_not_read_low_under_overload)
{
    struct overload_case
    {
        double calmMs = 0.0;
        double maxBacklogMs = 0.0;
    };
    for (const overload_case &overload : { overload_case{ 0.0, 1500.0 },
                                           { 10000.0, 1500.0 },
                                           { 0.0, 250.0 },
                                           { 10000.0, 250.0 } }) {
        const double calmMs = overload.calmMs;
        pool_model model;
        model.maxBacklogMs = overload.maxBacklogMs;
        model.slownessOf = [](std::size_t, double) { return 1.0; };
        model.callsPerEngineSecond = [calmMs](double ms) { return ms < calmMs ? 6.0 : 45.0; };
        model.viewLagMs = 300.0;
        for (unsigned seed = 1; seed <= 5; ++seed) {
            observed_pool observed(model.engines);
            double lowest = std::numeric_limits<double>::infinity();
            int samples = 0;
            int lowSamples = 0;
            model.run((calmMs + 20000.0) / 1000.0, seed, [&](const pool_model::first_event &event) {
                observed.record(event);
                const auto rate = [&](const engine_pace &pace) {
                    return pace.estimate(0, 0, 0, at(event.atMs)).tokensPerMs / TokensPerMs;
                };
                lowest = std::min(lowest, rate(observed.pool));
                ++samples;
                lowSamples += rate(observed.engines[event.engine]) < 0.75 ? 1 : 0;
            });
            BOOST_TEST_MESSAGE("calm for "
                               << calmMs << " ms, backlogs up to " << overload.maxBacklogMs
                               << " ms, seed " << seed << ": lowest rate of the pool " << lowest
                               << " of the actual one; the engine's is below 0.75 at " << lowSamples
                               << " of " << samples << " events");
            BOOST_TEST(lowest > 0.75);
            BOOST_TEST(lowSamples < 0.05 * samples);
        }
    }
}

// Guards against a new incarnation that is judged by its predecessor, and against samples that a
// faulty clock or message gives.
BOOST_AUTO_TEST_CASE(reset_and_implausible_samples)
{
    engine_pace pool;
    engine_pace engine;
    engine.reset(pool, at(0.0));
    for (int index = 0; index < 40; ++index)
        engine.record({ 500, 0, 0, 120.0 }, at(100.0 * index));
    BOOST_TEST(engine.slowness(at(4000.0)) > 1.5);
    engine.reset(pool, at(4000.0));
    BOOST_TEST(engine.slowness(at(4000.0)) == 1.0);
    BOOST_TEST(!engine.isKnown());

    const double infinity = std::numeric_limits<double>::infinity();
    for (const pace_sample &sample :
         { pace_sample{ -1, 0, 0, 50.0 }, pace_sample{ 1, -5, 0, 50.0 },
           pace_sample{ 1, 0, -1, 50.0 }, pace_sample{ 1, 0, 0, 0.0 },
           pace_sample{ 1, 0, 0, infinity }, pace_sample{ 1, 0, 0, std::nan("") },
           pace_sample{ std::numeric_limits<std::int64_t>::max(), 0, 0, 50.0 } }) {
        engine.record(sample, at(5000.0));
        pool.record(sample, at(5000.0));
    }
    BOOST_TEST(engine.samples() == 0);
    BOOST_TEST(pool.samples() == 0);
}

// Prints the cost of a call; nothing is asserted, since the machine may be busy.
BOOST_AUTO_TEST_CASE(cost)
{
    constexpr int Calls = 1'000'000;
    engine_pace pool;
    engine_pace engine;
    engine.reset(pool, at(0.0));
    const auto nanoseconds = [](const auto &call) {
        const time_point start = steadyNow();
        for (int index = 0; index < Calls; ++index)
            call(index);
        return 1e9 * toSeconds(steadyNow() - start) / Calls;
    };
    double sum = 0.0;
    const double poolNs = nanoseconds([&](int index) {
        pool.record({ 300 + index % 700, index % 900, 3, 40.0 + index % 50 }, at(index));
    });
    const double engineNs = nanoseconds([&](int index) {
        engine.follow(pool);
        engine.record({ 300 + index % 700, index % 900, 3, 40.0 + index % 50 }, at(index));
    });
    const double estimateNs = nanoseconds(
            [&](int index) { sum += engine.estimate(index % 5000, 900, 3, at(index)).expectedMs; });
    BOOST_TEST_MESSAGE("record at a pool " << poolNs << " ns, at an engine " << engineNs
                                           << " ns, estimate " << estimateNs << " ns");
    BOOST_TEST(sum > 0.0);
}
