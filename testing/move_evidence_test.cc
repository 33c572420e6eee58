#define BOOST_TEST_MODULE move_evidence
#include <boost/test/unit_test.hpp>

#include "burdockhold/move_evidence.h"

#include <algorithm>
#include <random>

using namespace burdockhold;

namespace {

constexpr log_offset Move = 3;
constexpr int Seeds = 20;

bool sameCounts(const move_evidence &left, const move_evidence &right)
{
    const auto same = [](const auto &a, const auto &b) {
        return !(a.first < b.first) && !(b.first < a.first)
               && a.second.requests == b.second.requests && a.second.errors == b.second.errors
               && a.second.judged == b.second.judged && a.second.slow == b.second.slow;
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), same);
}

} // namespace

// Guards against evidence that is counted twice or lost when messages repeat or change order.
BOOST_AUTO_TEST_CASE(mergeIsCommutativeAndIdempotent)
{
    for (int seed = 0; seed < Seeds; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<move_evidence> messages;
        move_evidence latest;
        for (int vm = 0; vm < 8; ++vm) {
            evidence_recorder recorder("vm" + std::to_string(vm), random() % 2, {});
            for (int i = 0; i < 300; ++i) {
                recorder.add(Move, 0, random() % 10 == 0, random() % 2 == 0 ? "a" : "b",
                             random() % 50 == 0, std::chrono::milliseconds(random() % 300));
                if (i % 50 == 49)
                    messages.push_back(recorder.evidence());
            }
            latest.insert(recorder.evidence().begin(), recorder.evidence().end());
        }
        const std::vector<move_evidence> once = messages;
        messages.insert(messages.end(), once.begin(), once.end());
        std::shuffle(messages.begin(), messages.end(), random);
        move_evidence merged;
        for (const move_evidence &message : messages)
            mergeEvidence(merged, message);
        BOOST_TEST(sameCounts(merged, latest));
    }
}

// Guards against bounds in the documentation that the tests do not keep.
BOOST_AUTO_TEST_CASE(statedCountsHold)
{
    const evidence_options options;
    BOOST_TEST(outcomesToHalt(options, flaw_signal::Errors, 0.01) == 10U);
    BOOST_TEST(outcomesToHalt(options, flaw_signal::Slow, 0.05) == 15U);
    BOOST_TEST(outcomesToAdvance(options, flaw_signal::Errors, 0.0) == 28U);
    BOOST_TEST(outcomesToAdvance(options, flaw_signal::Slow, 0.0) == 12U);
    for (const std::uint64_t good : { 0, 10, 100000 }) {
        flaw_watch watch(options);
        for (std::uint64_t i = 0; i < good; ++i)
            BOOST_REQUIRE(!watch.add({ 1, 0, 1, 0 }, 0.0, 0.0));
        for (int i = 0; i < 9; ++i)
            BOOST_TEST(!watch.add({ 1, 1, 0, 0 }, 0.0, 0.0));
        BOOST_TEST((watch.add({ 1, 1, 0, 0 }, 0.0, 0.0) == flaw_signal::Errors));
    }
}

// Guards against more false alarms or misses than stated. Versions at exactly p0 and p1 are the
// hardest cases; 2000 runs at a stated 1 % give at most 20 + 4 standard deviations.
BOOST_AUTO_TEST_CASE(errorRatesKeepTheirBounds)
{
    constexpr int Runs = 2000;
    constexpr int MostExpected = 20 + 18;
    evidence_options options;
    options.maxRequests = 2000;
    std::mt19937_64 random(1);
    std::bernoulli_distribution atP0(options.errorFloor);
    std::bernoulli_distribution atP1(options.errorFloor + options.errorGap);
    int falseAlarms = 0;
    int missed = 0;
    for (int run = 0; run < Runs; ++run) {
        flaw_watch watch(options);
        bool halted = false;
        for (std::uint64_t i = 0; i < options.maxRequests && !halted; ++i)
            halted = watch.add({ 1, atP0(random) ? 1U : 0U, 0, 0 }, 0.0, 0.0).has_value();
        falseAlarms += halted ? 1 : 0;
        move_evidence evidence;
        outcome_counts &counts = evidence[{ "vm", 0, Move, 0, "a", true }];
        bool passed = false;
        for (int i = 0; i < 300 && !passed; ++i) {
            ++counts.requests;
            counts.errors += atP1(random) ? 1 : 0;
            passed = judgeStage(evidence, Move, 0, options) == stage_verdict::Proven;
        }
        missed += passed ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("false alarms " << falseAlarms << ", missed " << missed << " of " << Runs);
    BOOST_TEST(falseAlarms <= MostExpected);
    BOOST_TEST(missed <= MostExpected);
}

// Guards against a stage that passes although one route has no evidence or points to a flaw.
BOOST_AUTO_TEST_CASE(everyRouteMustPass)
{
    const evidence_options options;
    move_evidence evidence;
    evidence[{ "vm", 0, Move, 0, "a", false }] = { 1000, 2, 0, 0 };
    BOOST_TEST((judgeStage(evidence, Move, 0, options) == stage_verdict::Untested));
    evidence[{ "vm", 0, Move, 0, "a", true }] = { 100, 0, 0, 0 };
    BOOST_TEST((judgeStage(evidence, Move, 0, options) == stage_verdict::Proven));
    evidence[{ "vm", 0, Move, 0, "b", false }] = { 100, 0, 0, 0 };
    BOOST_TEST((judgeStage(evidence, Move, 0, options) == stage_verdict::Unproven));
    evidence[{ "vm", 0, Move, 0, "b", true }] = { 4, 2, 0, 0 };
    BOOST_TEST((judgeStage(evidence, Move, 0, options) == stage_verdict::Leaning));
}

// Guards against halting a good version for a fault that hits both versions alike.
BOOST_AUTO_TEST_CASE(commonFaultHaltsNothing)
{
    std::mt19937_64 random(7);
    std::bernoulli_distribution fails(0.3);
    evidence_recorder recorder("vm", 0, {});
    for (int i = 0; i < 20000; ++i) {
        const bool isNew = i > 2000 && i % 20 == 0;
        BOOST_REQUIRE(!recorder.add(Move, 1, isNew, "a", fails(random), std::nullopt));
    }
}
