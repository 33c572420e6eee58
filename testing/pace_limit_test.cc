#define BOOST_TEST_MODULE pace_limit
#include "burdockhold/pace_limit.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

constexpr double TokensPerMs = 42.8;
constexpr double BaseMs = 27.0;
constexpr double MeanTokens = 2000.0;
constexpr double Demand = 8.0; ///< Relative to an engine's full speed.
constexpr int TickMs = 10;
constexpr int LagTicks = 30; ///< Age of what a VM knows of the other VMs' calls.
constexpr int Ticks = 800;
constexpr double MaxPendingTokens = 12000.0; ///< Limit without pace_limit.

time_point at(int tick)
{
    return time_point{ std::chrono::hours(1) } + std::chrono::milliseconds(TickMs) * tick;
}

enum class policy { Limit, AllAtOnce, LinearInTime };

struct model_case
{
    std::string name;
    /// Share of the full speed at a time after the engine's start.
    std::function<double(int ms)> speed;
    int refusesForMs = 0;
    bool falseReport = false;
    int engines = 1; ///< That start at once; each gets its part of the calls.
};

struct outcome
{
    /// Most calls over the engine's capacity that arrived in a second which began in the first
    /// second, and in any second.
    double firstOvershoot = 0.0;
    double overshoot = 0.0;
    double carriesAfterMs = 99999.0; ///< Until the engine does 0.9 of its share for half a second.
};

/// One engine that starts, and VMs which have eight times as many calls for it as it can take.
class fleet_model
{
public:
    fleet_model(const model_case &subject, policy rule, int vms, unsigned seed)
        : m_case(subject)
        , m_policy(rule)
        , m_vms(static_cast<std::size_t>(vms))
        , m_random(seed)
    {
        std::uniform_real_distribution<double> draw(0.0, 1.0);
        for (vm &each : m_vms) {
            each.draw = draw(m_random);
            each.limit.setVms(m_vms.size());
            each.limit.started(at(0));
            if (subject.falseReport) {
                each.limit.limitTo(std::nan(""), at(Ticks));
                each.limit.limitTo(-5.0, at(Ticks));
                each.limit.limitTo(1e15, at(Ticks));
            }
        }
    }

    outcome run()
    {
        std::poisson_distribution<int> arrivals(Demand / m_case.engines * TokensPerMs * TickMs
                                                / MeanTokens);
        for (m_tick = 0; m_tick < Ticks; ++m_tick) {
            for (int count = arrivals(m_random); count > 0; --count)
                offer();
            work();
            for (vm &each : m_vms) {
                each.history.push_back(each.pending);
                if (each.history.size() > LagTicks)
                    each.history.pop_front();
            }
        }
        return measure();
    }

private:
    struct vm
    {
        pace_limit limit;
        double draw = 0.0;
        double pending = 0.0;
        std::deque<double> history;
    };
    struct call
    {
        std::size_t vm = 0;
        double tokens = 0.0;
        double left = 0.0;
        double expectedMs = 0.0;
        int tick = 0;
    };

    void offer()
    {
        vm &caller =
                m_vms[std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random)];
        const double tokens = std::uniform_real_distribution<double>(500.0, 3500.0)(m_random);
        double seen = caller.pending;
        for (const vm &other : m_vms)
            seen += &other == &caller || other.history.empty() ? 0.0 : other.history.front();
        if (!accepts(caller, tokens, seen))
            return;
        m_arrived[static_cast<std::size_t>(m_tick)] += tokens;
        if (m_tick * TickMs < m_case.refusesForMs) {
            caller.limit.failed(at(m_tick));
            return;
        }
        caller.pending += tokens;
        m_queue.push_back({ static_cast<std::size_t>(&caller - m_vms.data()), tokens, tokens,
                            BaseMs + (seen + tokens) / TokensPerMs, m_tick });
    }

    bool accepts(const vm &caller, double tokens, double seen)
    {
        const bool usual = seen == 0.0 || seen + tokens <= MaxPendingTokens;
        if (m_policy == policy::AllAtOnce)
            return usual;
        if (m_policy == policy::LinearInTime)
            return usual
                   && std::bernoulli_distribution(std::min(1.0, m_tick * TickMs / 10000.0))(
                           m_random);
        const double limit = caller.limit.tokens(at(m_tick));
        const double part = tokensOfVm(limit, m_vms.size(), caller.draw);
        const bool isFirst = caller.pending == 0.0 && part > 0.0;
        return usual && seen < limit && (isFirst || caller.pending + tokens <= part);
    }

    double capacity(int tick) const { return m_case.speed(tick * TickMs) * TokensPerMs * TickMs; }

    void work()
    {
        double budget = capacity(m_tick);
        while (budget > 0.0 && !m_queue.empty()) {
            call &first = m_queue.front();
            const double done = std::min(budget, first.left);
            first.left -= done;
            budget -= done;
            m_done[static_cast<std::size_t>(m_tick)] += done;
            if (first.left > 0.0)
                break;
            vm &caller = m_vms[first.vm];
            caller.pending -= first.tokens;
            const double base = BaseMs / m_case.speed(m_tick * TickMs);
            caller.limit.firstEvent(first.expectedMs, (m_tick - first.tick) * TickMs + base,
                                    std::llround(first.tokens), at(m_tick));
            m_queue.pop_front();
        }
    }

    outcome measure() const
    {
        outcome result;
        for (int begin = 0; begin + 100 <= Ticks; ++begin) {
            double arrived = 0.0;
            double possible = 0.0;
            for (int tick = begin; tick < begin + 100; ++tick) {
                arrived += m_arrived[static_cast<std::size_t>(tick)];
                possible += tick * TickMs < m_case.refusesForMs ? 0.0 : capacity(tick);
            }
            result.overshoot = std::max(result.overshoot, (arrived - possible) / MeanTokens);
            if (begin * TickMs <= 1000)
                result.firstOvershoot = result.overshoot;
        }
        for (int begin = m_case.refusesForMs / TickMs; begin + 50 <= Ticks; ++begin) {
            double done = 0.0;
            double possible = 0.0;
            for (int tick = begin; tick < begin + 50; ++tick) {
                done += m_done[static_cast<std::size_t>(tick)];
                possible += capacity(tick) * std::min(1.0, Demand / m_case.engines);
            }
            if (done >= 0.9 * possible) {
                result.carriesAfterMs = begin * TickMs;
                break;
            }
        }
        return result;
    }

    const model_case &m_case;
    policy m_policy;
    std::vector<vm> m_vms;
    std::mt19937 m_random;
    std::deque<call> m_queue;
    std::array<double, Ticks> m_arrived{};
    std::array<double, Ticks> m_done{};
    int m_tick = 0;
};

/// Returns the worst outcome of some seeds.
outcome worstOf(const model_case &subject, policy rule, int vms)
{
    outcome worst{ 0.0, 0.0, 0.0 };
    for (unsigned seed = 1; seed <= 5; ++seed) {
        const outcome one = fleet_model(subject, rule, vms, seed).run();
        worst.firstOvershoot = std::max(worst.firstOvershoot, one.firstOvershoot);
        worst.overshoot = std::max(worst.overshoot, one.overshoot);
        worst.carriesAfterMs = std::max(worst.carriesAfterMs, one.carriesAfterMs);
    }
    return worst;
}

const std::vector<model_case> cases = {
    { "full speed at once", [](int) { return 1.0; } },
    { "warms up over 3 s", [](int ms) { return std::min(1.0, 0.2 + ms / 3750.0); } },
    { "slow for good", [](int) { return 0.5; } },
    { "slow for a moment", [](int ms) { return ms >= 1500 && ms < 3000 ? 0.4 : 1.0; } },
    { "refuses for 1 s", [](int) { return 1.0; }, 1000 },
    { "false report", [](int) { return 1.0; }, 0, true },
    { "ten at once", [](int) { return 1.0; }, 0, false, 10 },
};

} // namespace

// Guards against the surge to an engine that has just become usable, and against one that is left
// idle. The bounds hold for the worst of five seeds. Once the limit has ended, views that are out
// of date overshoot as they do without it.
BOOST_AUTO_TEST_CASE(engine_is_neither_overloaded_nor_left_idle)
{
    for (const model_case &subject : cases) {
        for (const int vms : { 1, 7, 77 }) {
            const outcome limited = worstOf(subject, policy::Limit, vms);
            const outcome atOnce = worstOf(subject, policy::AllAtOnce, vms);
            const outcome linear = worstOf(subject, policy::LinearInTime, vms);
            const auto text = [](const outcome &one) {
                std::ostringstream out;
                out << std::llround(one.firstOvershoot) << " / " << std::llround(one.overshoot)
                    << " / " << std::llround(one.carriesAfterMs);
                return out.str();
            };
            BOOST_TEST_MESSAGE(subject.name << ", VMs " << vms
                                            << ": overshoot at first / ever / ms to 0.9: limited "
                                            << text(limited) << ", all at once " << text(atOnce)
                                            << ", linear " << text(linear));
            BOOST_TEST(limited.firstOvershoot <= 25.0);
            if (vms == 77 && subject.engines == 1)
                BOOST_TEST(limited.firstOvershoot < 0.5 * atOnce.firstOvershoot);
            BOOST_TEST(limited.overshoot <= 5.0 + 1.25 * atOnce.overshoot);
            // Ten engines have little demand each, so all VMs have to use them first.
            const double boundMs = subject.engines == 1 ? 1500.0 : 2500.0;
            BOOST_TEST(limited.carriesAfterMs <= subject.refusesForMs + boundMs);
            if (subject.speed(0) == 1.0)
                BOOST_TEST(limited.carriesAfterMs < linear.carriesAfterMs);
        }
    }
}

// Guards against times of a faulty message that open or close the limit, and against a limit that
// an engine without events keeps.
BOOST_AUTO_TEST_CASE(limit_ends_and_ignores_implausible_times)
{
    pace_limit limit;
    BOOST_TEST(std::isinf(limit.tokens(at(0))));
    limit.started(at(0));
    const pace_limit_options options;
    BOOST_TEST(limit.tokens(at(0)) == options.floorTokens);
    for (const double ms : { std::nan(""), -1.0, 0.0, HUGE_VAL }) {
        limit.firstEvent(ms, 50.0, 1000, at(0));
        limit.firstEvent(50.0, ms, 1000, at(0));
    }
    limit.firstEvent(50.0, 50.0, -1000, at(0));
    BOOST_TEST(limit.tokens(at(0)) == options.floorTokens);
    limit.failed(at(1));
    BOOST_TEST(limit.tokens(at(2)) == 0.0);
    const time_point end = at(1) + limit.recoveryTime();
    BOOST_TEST(std::isfinite(limit.tokens(end - std::chrono::milliseconds(900))));
    BOOST_TEST(std::isinf(limit.tokens(end)));
    limit.limitTo(500.0, end + std::chrono::seconds(1));
    BOOST_TEST(limit.tokens(end) == 500.0);
    BOOST_TEST(std::isinf(limit.tokens(end + std::chrono::seconds(1))));
}

// Guards against parts that add up to more than the limit.
BOOST_AUTO_TEST_CASE(parts_of_vms_add_up_to_the_limit)
{
    for (const int vms : { 1, 7, 77, 1300 }) {
        for (const double limit : { 500.0, 4000.0, 12000.0, 23000.0 }) {
            // Evenly spread draws give the mean over all draws.
            double sum = 0.0;
            for (int vm = 0; vm < vms; ++vm)
                sum += tokensOfVm(limit, static_cast<std::size_t>(vms), (vm + 0.5) / vms);
            BOOST_TEST(sum == limit, boost::test_tools::tolerance(1e-9));
        }
    }
}
