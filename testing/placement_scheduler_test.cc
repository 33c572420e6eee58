#define BOOST_TEST_MODULE placement_scheduler
#include "burdockhold/placement_scheduler.h"
#include "burdockhold/vm_digest.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

constexpr std::size_t EngineCount = 20;
constexpr std::int64_t CacheTokens = 96000;
constexpr int Slots = 24;

const std::vector<std::string> engineIds = [] {
    std::vector<std::string> ids;
    for (std::size_t number = 0; number < EngineCount; ++number)
        ids.push_back("e" + std::to_string(number));
    return ids;
}();

std::vector<endpoint_candidate> engines()
{
    std::vector<endpoint_candidate> candidates;
    for (const std::string &id : engineIds) {
        endpoint_candidate engine;
        engine.id = id;
        engine.sameDataCentre = true;
        engine.slots = Slots;
        engine.cacheTokens = CacheTokens;
        candidates.push_back(engine);
    }
    return candidates;
}

placement_scheduler newScheduler(scheduler_options options = {})
{
    return { options, {}, [](const placement_question &) { return engines(); } };
}

placement_question shortQuestion(std::uint64_t vm, std::uint32_t number)
{
    placement_question question;
    question.vm = vm;
    question.number = number;
    question.affinityKey = "m/short";
    question.unsharedTokens = 700;
    question.promptTokens = 700;
    question.outputTokens = 70;
    question.lane = static_cast<std::uint8_t>(engine_lane::Short);
    question.targetMs = 250;
    question.deadlineMs = 15000;
    return question;
}

placement_question longQuestion(std::uint64_t vm, std::uint32_t number)
{
    placement_question question = shortQuestion(vm, number);
    question.affinityKey = "m/long" + std::to_string(number);
    question.segment = number;
    question.segmentTokens = 3800;
    question.unsharedTokens = 2900;
    question.promptTokens = 9200;
    question.lane = static_cast<std::uint8_t>(engine_lane::Long);
    question.targetMs = 1200;
    question.priority = 6;
    return question;
}

bool isVerdict(const placement_answer &answer, placement_verdict verdict)
{
    return answer.verdict == static_cast<std::uint8_t>(verdict);
}

call_row stageRow(const placement_answer &answer, const placement_question &question,
                  call_stage stage)
{
    return { answer.number, answer.endpoint, question.promptTokens - answer.cachedTokens,
             question.promptTokens + question.outputTokens, static_cast<std::uint8_t>(stage) };
}

time_point at(int ms)
{
    return time_point(std::chrono::milliseconds(100000 + ms));
}

/// Fills every engine with one long prompt; returns the answers.
std::vector<placement_answer> fillEngines(placement_scheduler &scheduler)
{
    std::vector<placement_answer> answers;
    for (std::uint32_t number = 1; number <= EngineCount; ++number)
        answers.push_back(scheduler.ask(longQuestion(1, number), at(0)));
    return answers;
}

/// Lets four questions wait, of which 201 is late when engines become free, and returns the order
/// in which they are granted.
std::vector<std::uint32_t> orderOfGrants(const scheduler_options &options)
{
    auto scheduler = newScheduler(options);
    auto answers = fillEngines(scheduler);
    struct waiter
    {
        std::uint32_t number;
        std::uint8_t priority;
        std::uint32_t targetMs;
    };
    for (const waiter &next :
         std::vector<waiter>{ { 200, 6, 900 }, { 201, 6, 10 }, { 202, 6, 700 }, { 203, 3, 900 } }) {
        placement_question question = longQuestion(2, next.number);
        question.priority = next.priority;
        question.targetMs = next.targetMs;
        question.maxWaitMs = 2000;
        scheduler.ask(question, at(0));
    }
    std::vector<std::uint32_t> order;
    for (std::uint32_t index = 0; index < 4; ++index) {
        scheduler.apply(
                { 1,
                  index + 1,
                  false,
                  { stageRow(answers[index], longQuestion(1, index + 1), call_stage::Ended) } },
                at(100));
        for (const auto &grant : scheduler.takeGrants(at(100)))
            order.push_back(grant.number);
    }
    return order;
}

} // namespace

// Guards against a second call for a question whose answer was lost.
BOOST_AUTO_TEST_CASE(repeatedQuestionGetsTheSameAnswer)
{
    auto scheduler = newScheduler();
    const placement_answer first = scheduler.ask(longQuestion(1, 7), at(0));
    const placement_answer second = scheduler.ask(longQuestion(1, 7), at(20));
    BOOST_TEST(isVerdict(first, placement_verdict::Granted));
    BOOST_TEST(second.endpoint == first.endpoint);
    BOOST_TEST(scheduler.calls() == 1U);
}

// Guards against long prompts that pile up at one engine while another is idle.
BOOST_AUTO_TEST_CASE(longPromptsGoToDifferentEngines)
{
    auto scheduler = newScheduler();
    std::map<std::uint32_t, int> calls;
    for (const placement_answer &answer : fillEngines(scheduler)) {
        BOOST_TEST(isVerdict(answer, placement_verdict::Granted));
        ++calls[answer.endpoint];
    }
    BOOST_TEST(calls.size() == EngineCount);
}

// Guards against a long prompt that is placed behind another one, where a short prompt that follows
// would wait for both, and against a short one that is refused for it.
BOOST_AUTO_TEST_CASE(longPromptWaitsForTheOneBeforeAndShortOnesDoNot)
{
    auto scheduler = newScheduler();
    const auto answers = fillEngines(scheduler);
    placement_question waiting = longQuestion(2, 100);
    BOOST_TEST(isVerdict(scheduler.ask(waiting, at(1)), placement_verdict::Declined));
    waiting.maxWaitMs = 500;
    BOOST_TEST(isVerdict(scheduler.ask(waiting, at(1)), placement_verdict::Queued));
    BOOST_TEST(isVerdict(scheduler.ask(shortQuestion(2, 101), at(1)), placement_verdict::Granted));

    BOOST_TEST(scheduler.takeGrants(at(2)).empty());
    const call_row finished = stageRow(answers[4], longQuestion(1, 5), call_stage::Decode);
    scheduler.apply({ 1, 1, false, { finished } }, at(3));
    const auto grants = scheduler.takeGrants(at(3));
    BOOST_REQUIRE(grants.size() == 1U);
    BOOST_TEST(grants[0].number == 100U);
    BOOST_TEST(grants[0].endpoint == answers[4].endpoint);
}

// Guards against an urgent request that waits behind less urgent ones, and against one that is late
// already and takes the place of one that can still be in time.
BOOST_AUTO_TEST_CASE(waitingQuestionsAreServedByPriorityThenByWhatCanBeInTime)
{
    scheduler_options options;
    options.isFair = false;
    const std::vector<std::uint32_t> byTarget{ 203, 202, 200, 201 };
    BOOST_TEST(orderOfGrants(options) == byTarget, boost::test_tools::per_element());
}

// Guards against a question that is passed over for as long as others can be in time: the one whose
// target has passed takes its share of the service after the most urgent one.
BOOST_AUTO_TEST_CASE(overdueQuestionsHaveAShare)
{
    const std::vector<std::uint32_t> withShare{ 203, 201, 202, 200 };
    BOOST_TEST(orderOfGrants({}) == withShare, boost::test_tools::per_element());
}

// Guards against engines that count as full forever: a VM that dies, a grant that is lost, a call
// whose end was not heard, and a question that was withdrawn.
BOOST_AUTO_TEST_CASE(whatAVmNoLongerStatesIsForgotten)
{
    auto scheduler = newScheduler();
    const placement_question first = longQuestion(1, 1);
    const placement_answer answer = scheduler.ask(first, at(0));
    scheduler.ask(longQuestion(1, 2), at(0)); // Its answer is lost.
    scheduler.ask(longQuestion(9, 1), at(0)); // This VM dies.
    placement_question waiting = longQuestion(1, 3);
    waiting.maxExpectedMs = 1;
    waiting.maxWaitMs = 5000;
    BOOST_TEST(isVerdict(scheduler.ask(waiting, at(0)), placement_verdict::Queued));

    const call_row running = stageRow(answer, first, call_stage::Prefill);
    scheduler.apply({ 1, 1, true, { running } }, at(300));
    BOOST_TEST(scheduler.calls() == 3U); // The lost grant may still be on its way.
    scheduler.apply({ 1, 2, true, { running } }, at(700));
    BOOST_TEST(scheduler.calls() == 2U);
    scheduler.apply({ 1, 3, false, { { 3, 0, 0, 0, std::uint8_t(call_stage::Ended) } } }, at(700));
    BOOST_TEST(scheduler.waiting() == 0U);
    scheduler.step(at(2100));
    BOOST_TEST(scheduler.calls() == 1U);
    scheduler.apply({ 1, 4, true, {} }, at(2200)); // The call's end was not heard.
    BOOST_TEST(scheduler.calls() == 0U);
    scheduler.apply({ 1, 3, true, { running } }, at(2300)); // Arrives late.
    BOOST_TEST(scheduler.calls() == 0U);
}

// Guards against a new scheduler that takes busy engines for idle ones: the VMs' statements are
// enough, also for calls that it has not placed.
BOOST_AUTO_TEST_CASE(newSchedulerLearnsTheCallsFromStatements)
{
    auto before = newScheduler();
    call_statement statement{ 1, 1, true, {} };
    std::uint32_t number = 0;
    for (const placement_answer &answer : fillEngines(before))
        statement.calls.push_back(stageRow(answer, longQuestion(1, ++number), call_stage::Prefill));
    auto after = newScheduler();
    after.apply(statement, at(10));
    BOOST_TEST(isVerdict(after.ask(longQuestion(2, 1), at(11)), placement_verdict::Declined));
}

// Replays the load pattern: VMs place long and short prompts for which a pool of 20 engines is busy
// to a half. With views that are 300 ms old, short prompts land behind long ones; with the
// scheduler they do not.
BOOST_AUTO_TEST_CASE(shortPromptsLandBehindFewPendingTokens)
{
    constexpr double TokensPerMs = 45.0;
    constexpr int Requests = 6000;
    constexpr int ViewAgeMs = 300;
    struct engine_state
    {
        double finishedAtMs = 0.0;        // When its prefill is done.
        std::map<int, double> finishedBy; // The same, as of each arrival.
    };
    const auto behindShort = [&](bool scheduled) {
        std::mt19937 random(1);
        std::exponential_distribution<double> gap(1.0 / 15.0);
        auto scheduler = newScheduler();
        std::vector<engine_state> states(EngineCount);
        std::multimap<double, std::pair<call_row, std::uint64_t>> finishing;
        std::vector<double> pending;
        std::uint64_t sequence = 0;
        double nowMs = 0.0;
        for (std::uint32_t number = 1; number <= Requests; ++number) {
            nowMs += gap(random);
            while (!finishing.empty() && finishing.begin()->first <= nowMs) {
                call_row row = finishing.begin()->second.first;
                row.stage = static_cast<std::uint8_t>(call_stage::Ended);
                scheduler.apply({ 1, ++sequence, false, { row } },
                                at(static_cast<int>(finishing.begin()->first)));
                finishing.erase(finishing.begin());
            }
            const bool isLong = number % 2 == 0;
            const auto question = isLong ? longQuestion(1, number) : shortQuestion(1, number);
            std::size_t chosen = 0;
            if (scheduled) {
                const auto answer = scheduler.ask(question, at(static_cast<int>(nowMs)));
                if (!isVerdict(answer, placement_verdict::Granted))
                    continue;
                while (shortHash(engineIds[chosen]) != answer.endpoint)
                    ++chosen;
            } else {
                // The least loaded of six engines as of ViewAgeMs ago.
                const auto pendingBefore = [&](std::size_t index) {
                    const auto &history = states[index].finishedBy;
                    const auto known = history.upper_bound(static_cast<int>(nowMs) - ViewAgeMs);
                    return known == history.begin() ? 0.0 : std::prev(known)->second - nowMs;
                };
                chosen = random() % EngineCount;
                for (int draw = 0; draw < 5; ++draw) {
                    const std::size_t other = random() % EngineCount;
                    if (pendingBefore(other) < pendingBefore(chosen))
                        chosen = other;
                }
            }
            engine_state &engine = states[chosen];
            if (!isLong)
                pending.push_back(std::max(0.0, engine.finishedAtMs - nowMs) * TokensPerMs);
            const double work = question.promptTokens / TokensPerMs;
            engine.finishedAtMs = std::max(engine.finishedAtMs, nowMs) + work;
            engine.finishedBy[static_cast<int>(nowMs)] = engine.finishedAtMs;
            call_row row{ number, shortHash(engineIds[chosen]), question.promptTokens,
                          question.promptTokens, std::uint8_t(call_stage::Prefill) };
            finishing.emplace(engine.finishedAtMs, std::make_pair(row, std::uint64_t(1)));
        }
        const auto many = std::count_if(pending.begin(), pending.end(),
                                        [](double tokens) { return tokens > 1500.0; });
        return static_cast<double>(many) / static_cast<double>(pending.size());
    };
    const double byViews = behindShort(false);
    const double byScheduler = behindShort(true);
    BOOST_TEST_MESSAGE("short prompts behind more than 1500 tokens: "
                       << byViews << " by views, " << byScheduler << " by the scheduler");
    BOOST_TEST(byViews > 0.25);
    BOOST_TEST(byScheduler < 0.05);
}

// Guards against loads that drift from the calls: seeded histories of statements, compared with a
// scheduler that gets only the final state.
BOOST_AUTO_TEST_CASE(seededHistoriesLeaveTheStatedCalls)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        auto scheduler = newScheduler();
        std::map<std::uint32_t, call_row> calls;
        std::uint64_t sequence = 0;
        for (int step = 0; step < 400; ++step) {
            const std::uint32_t number = 1 + random() % 60;
            call_row row{ number, shortHash(engineIds[random() % EngineCount]),
                          static_cast<std::uint32_t>(random() % 9000),
                          static_cast<std::uint32_t>(random() % 9000),
                          static_cast<std::uint8_t>(random() % 3) };
            const bool isLost = random() % 5 == 0;
            if (row.stage == static_cast<std::uint8_t>(call_stage::Ended))
                calls.erase(number);
            else
                calls[number] = row;
            ++sequence;
            if (!isLost)
                scheduler.apply({ 1, sequence, false, { row } }, at(step));
        }
        call_statement complete{ 1, ++sequence, true, {} };
        for (const auto &[number, row] : calls)
            complete.calls.push_back(row);
        scheduler.apply(complete, at(401));
        auto reference = newScheduler();
        reference.apply(complete, at(401));
        BOOST_TEST(scheduler.calls() == calls.size());
        const auto answer = scheduler.ask(shortQuestion(2, 1), at(402));
        const auto expected = reference.ask(shortQuestion(2, 1), at(402));
        BOOST_TEST(answer.running == expected.running);
    }
}

namespace {

/// A scheduler of one cold engine that allows the given number of calls.
placement_scheduler coldScheduler(int &left)
{
    const auto source = [](const placement_question &) {
        std::vector<endpoint_candidate> candidates{ engines().front() };
        candidates.front().needsColdShare = true;
        return candidates;
    };
    return { {}, {}, source, [&left](std::string_view, time_point) { return left-- > 0; } };
}

placement_question numberedQuestion(std::uint32_t repetition)
{
    placement_question question = shortQuestion(1, 1);
    question.repetition = repetition;
    return question;
}

} // namespace

// Guards against a grant for a cold engine that is repeated when its time in the engine's rate has
// passed, and against one that is charged twice for a datagram that arrived twice.
BOOST_AUTO_TEST_CASE(coldGrantIsChargedAndNotRepeated)
{
    int left = 2;
    auto scheduler = coldScheduler(left);
    const placement_answer first = scheduler.ask(numberedQuestion(1), at(0));
    BOOST_TEST(isVerdict(first, placement_verdict::Granted));
    BOOST_TEST(first.onColdShare);
    BOOST_TEST(first.repetition == 1U);
    BOOST_TEST(left == 1);
    scheduler.ask(numberedQuestion(1), at(5));
    BOOST_TEST(left == 1);
    BOOST_TEST(scheduler.ask(numberedQuestion(2), at(60)).repetition == 2U);
    BOOST_TEST(left == 0);
    const placement_answer third = scheduler.ask(numberedQuestion(3), at(120));
    BOOST_TEST(isVerdict(third, placement_verdict::Declined));
    BOOST_TEST(scheduler.calls() == 0U);
}

// Guards against a grant from the queue that looks older or newer than it is: it answers the
// repetition that arrived last.
BOOST_AUTO_TEST_CASE(queuedColdGrantNamesTheLatestRepetition)
{
    int left = 0;
    auto scheduler = coldScheduler(left);
    for (const std::uint32_t repetition : { 1U, 3U, 2U }) {
        placement_question question = numberedQuestion(repetition);
        question.maxWaitMs = 1000;
        BOOST_TEST(isVerdict(scheduler.ask(question, at(0)), placement_verdict::Queued));
    }
    left = 1;
    scheduler.step(at(100));
    const auto grants = scheduler.takeGrants(at(100));
    BOOST_REQUIRE(grants.size() == 1U);
    BOOST_TEST(grants.front().repetition == 3U);
}

// Guards against grants at cold engines for VMs that would send them at any age, and for endpoints
// that the asking VM excludes for another reason.
BOOST_AUTO_TEST_CASE(coldGrantsRespectTheAskingVm)
{
    int left = 10;
    auto scheduler = coldScheduler(left);
    BOOST_TEST(isVerdict(scheduler.ask(numberedQuestion(0), at(0)), placement_verdict::Declined));
    placement_question question = numberedQuestion(1);
    question.tried = { shortHash(engineIds[0]) };
    BOOST_TEST(isVerdict(scheduler.ask(question, at(0)), placement_verdict::Declined));
    question.coldTried = 1;
    BOOST_TEST(isVerdict(scheduler.ask(question, at(0)), placement_verdict::Granted));
    question.number = 2;
    question.coldTried = 2; // Absurd: there is one endpoint.
    BOOST_TEST(isVerdict(scheduler.ask(question, at(0)), placement_verdict::Declined));
}
