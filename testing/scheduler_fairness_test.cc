#define BOOST_TEST_MODULE scheduler_fairness
#include "burdockhold/placement_scheduler.h"
#include "burdockhold/vm_digest.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

constexpr std::size_t EngineCount = 10;
constexpr std::uint32_t Accounts = 11;
constexpr std::uint32_t GreedyAccount = 1;
constexpr double TokensPerMs = 45.0;

time_point at(double ms)
{
    return time_point(std::chrono::hours(1)) + fromSeconds(ms / 1000.0);
}

placement_scheduler newScheduler(const scheduler_options &options)
{
    return { options, {}, [](const placement_question &) {
                static const std::array<std::string, EngineCount> ids{
                    "e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"
                };
                std::vector<endpoint_candidate> engines(EngineCount);
                for (std::size_t index = 0; index < EngineCount; ++index) {
                    engines[index].id = ids[index];
                    engines[index].slots = 24;
                    engines[index].cacheTokens = 96000;
                }
                return engines;
            } };
}

placement_question question(std::uint64_t vm, std::uint32_t number, std::uint32_t account,
                            std::uint32_t tokens)
{
    placement_question asked;
    asked.vm = vm;
    asked.number = number;
    asked.pool = 1;
    asked.account = account;
    asked.affinityKey = "m/" + std::to_string(number);
    asked.promptTokens = tokens;
    asked.unsharedTokens = tokens;
    asked.lane = static_cast<std::uint8_t>(engine_lane::Long);
    asked.targetMs = 1200;
    asked.maxWaitMs = 3000;
    return asked;
}

bool isGranted(const placement_answer &answer)
{
    return answer.verdict == static_cast<std::uint8_t>(placement_verdict::Granted);
}

/// What an account asked for and was served.
struct account_totals
{
    double asked = 0.0;
    double served = 0.0;
    double share() const { return served / asked; }
};

/// Runs prompts of all accounts for 30 s: one account asks for 7.5 times what each other does, all
/// together for 1.3 times what the engines can read. With long prompts, every tenth one of the
/// others is five times as large.
std::map<std::uint32_t, account_totals> replay(const scheduler_options &options, bool hasLong,
                                               unsigned seed)
{
    constexpr double OfferedLoad = 1.3;
    constexpr double GreedyShare = 7.5 / (7.5 + Accounts - 1);
    constexpr std::uint32_t Tokens = 4000;
    const double meanTokens = Tokens * (hasLong ? 1.0 + 0.4 * (1.0 - GreedyShare) : 1.0);
    std::mt19937 random(seed);
    std::exponential_distribution<double> gap(OfferedLoad * EngineCount * TokensPerMs / meanTokens);
    std::uniform_real_distribution<double> uniform;
    auto scheduler = newScheduler(options);
    std::map<std::uint32_t, placement_question> questions;
    std::multimap<double, call_row> ending;
    std::map<std::uint32_t, account_totals> totals;
    std::uint64_t sequence = 0;
    std::uint32_t number = 0;
    const auto granted = [&](const placement_answer &answer, double ms) {
        const placement_question &served = questions.at(answer.number);
        totals[served.account].served += served.promptTokens;
        const call_row row{ answer.number, answer.endpoint, 0, 0, std::uint8_t(call_stage::Ended) };
        ending.emplace(ms + served.promptTokens / TokensPerMs, row);
    };
    const auto grantWaiting = [&](double ms) {
        for (const placement_answer &answer : scheduler.takeGrants(at(ms))) {
            if (isGranted(answer))
                granted(answer, ms);
        }
    };
    for (double ms = gap(random); ms < 30000.0; ms += gap(random)) {
        while (!ending.empty() && ending.begin()->first <= ms) {
            const auto [endMs, row] = *ending.begin();
            ending.erase(ending.begin());
            scheduler.apply({ 1, ++sequence, false, { row } }, at(endMs));
            scheduler.step(at(endMs));
            grantWaiting(endMs);
        }
        const bool isGreedy = uniform(random) < GreedyShare;
        const std::uint32_t account = isGreedy ? GreedyAccount : 2 + random() % (Accounts - 1);
        const bool isLong = hasLong && !isGreedy && random() % 10 == 0;
        const auto asked = question(1, ++number, account, isLong ? 5 * Tokens : Tokens);
        questions[number] = asked;
        totals[account].asked += asked.promptTokens;
        const placement_answer answer = scheduler.ask(asked, at(ms));
        if (isGranted(answer))
            granted(answer, ms);
    }
    return totals;
}

double worstShareOfOthers(const std::map<std::uint32_t, account_totals> &totals)
{
    double worst = 1.0;
    for (const auto &[account, total] : totals)
        worst = account == GreedyAccount ? worst : std::min(worst, total.share());
    return worst;
}

} // namespace

// Guards against one account at 7.5 times its share that takes the queue of the others, also where
// long prompts wait among short ones.
BOOST_AUTO_TEST_CASE(greedyAccountDoesNotTakeTheShareOfOthers)
{
    scheduler_options byTarget;
    byTarget.isFair = false;
    for (unsigned seed = 1; seed <= 3; ++seed) {
        for (const bool hasLong : { false, true }) {
            const auto fair = replay({}, hasLong, seed);
            const auto before = replay(byTarget, hasLong, seed);
            BOOST_TEST_MESSAGE("seed " << seed << (hasLong ? ", long prompts" : "")
                                       << ": worst of the others " << worstShareOfOthers(fair)
                                       << ", by target " << worstShareOfOthers(before)
                                       << "; greedy " << fair.at(GreedyAccount).share()
                                       << ", by target " << before.at(GreedyAccount).share());
            BOOST_TEST(worstShareOfOthers(fair) > 0.9);
            BOOST_TEST(worstShareOfOthers(before) < 0.9);
            BOOST_TEST(fair.at(GreedyAccount).share() > 0.3);
        }
    }
}

// Guards against questions of a dead VM that keep their places, or the engines that they get.
BOOST_AUTO_TEST_CASE(questionsOfADeadVmLeaveTheQueue)
{
    auto scheduler = newScheduler({});
    std::vector<placement_answer> running;
    for (std::uint32_t number = 1; number <= EngineCount; ++number)
        running.push_back(scheduler.ask(question(1, number, 2, 4000), at(0)));
    for (std::uint32_t number = 1; number <= 5; ++number)
        scheduler.ask(question(9, number, 3, 4000), at(0)); // This VM dies.
    auto alive = question(2, 1, 4, 4000);
    alive.maxWaitMs = 8000;
    scheduler.ask(alive, at(1));
    BOOST_TEST(scheduler.waiting() == 6U);
    const call_row ended{ 1, running[0].endpoint, 0, 0, std::uint8_t(call_stage::Ended) };
    scheduler.apply({ 1, 1, false, { ended } }, at(2));
    BOOST_TEST(scheduler.takeGrants(at(2)).size() == 1U); // Of the dead VM; it is never stated.
    scheduler.step(at(2100));
    const auto grants = scheduler.takeGrants(at(2100));
    BOOST_TEST(std::any_of(grants.begin(), grants.end(),
                           [](const auto &grant) { return grant.vm == 2; }));
    scheduler.step(at(3100));
    BOOST_TEST(scheduler.waiting() == 0U);
}

// Guards against a full queue in which an account's own crowd keeps another account out, and
// against an evicted question whose VM hears nothing.
BOOST_AUTO_TEST_CASE(fullQueueDeclinesTheAccountThatFillsIt)
{
    scheduler_options options;
    options.maxWaiting = 20;
    auto scheduler = newScheduler(options);
    for (std::uint32_t number = 1; number <= EngineCount + 20; ++number)
        scheduler.ask(question(1, number, GreedyAccount, 4000), at(0));
    BOOST_TEST(scheduler.waiting() == 20U);
    const auto other = scheduler.ask(question(2, 1, 2, 4000), at(1));
    BOOST_TEST(other.verdict == static_cast<std::uint8_t>(placement_verdict::Queued));
    BOOST_TEST(scheduler.waiting() == 20U);
    const auto answers = scheduler.takeGrants(at(1));
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers[0].vm == 1U);
    BOOST_TEST(answers[0].verdict == static_cast<std::uint8_t>(placement_verdict::Declined));
}
