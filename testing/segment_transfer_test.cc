#define BOOST_TEST_MODULE segment_transfer
#include "burdockhold/quota_ledger.h"
#include "burdockhold/segment_transfer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace burdockhold;

namespace {

constexpr double PrefillTokensPerMs = 50.0;
constexpr double LinkTokensPerMs = 150.0;
constexpr double MaxWaitMs = 2000.0;
constexpr double LatencyTargetMs = 600.0;

segment_facts longSegment()
{
    segment_facts facts;
    facts.tokens = 3780;
    facts.promptTokens = 9190;
    facts.store = "10.0.0.1:1";
    return facts;
}

/// A link that serves one transfer at a time. The engine prefills instead of waiting too long.
struct link_model
{
    double freeAt = 0.0;

    double transferMs(double tokens, double now)
    {
        const double wait = std::max(0.0, freeAt - now);
        if (wait > MaxWaitMs)
            return tokens / PrefillTokensPerMs;
        freeAt = now + wait + tokens / LinkTokensPerMs;
        return freeAt - now;
    }
};

struct replay_result
{
    double longMs = 0.0; // Mean time until the engine has a prompt's shared segments.
    double shortMs = 0.0;
};

/// Replays 40 s with one store and engines that hold nothing: a prompt of 3,780 shared tokens every
/// 20 ms and one of 80 every 10 ms. The long ones alone are 189,000 tokens per second on a link of
/// 150,000.
replay_result replay(bool limited)
{
    std::mt19937 random(4);
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    link_model link;
    quota_ledger ledger({}, { 1000.0 * LinkTokensPerMs, 200.0 * LinkTokensPerMs }, time_point{});
    replay_result sums;
    int longCount = 0;
    int shortCount = 0;
    double nextLong = 0.0;
    double nextShort = 0.0;
    while (nextLong < 40000.0) {
        const bool isLong = nextLong <= nextShort;
        double &next = isLong ? nextLong : nextShort;
        const double now = next;
        next += (isLong ? 20.0 : 10.0) * jitter(random);
        segment_facts facts = longSegment();
        facts.tokens = isLong ? 3780 : 80;
        facts.storeHoldsAllSegments = true;
        const time_point at = time_point{} + fromSeconds(now / 1000.0);
        ledger.step(0, at);
        facts.linkHeadroom = ledger.headroom();
        const segment_transfer transfer = planTransfer(facts);
        const auto tokens = static_cast<double>(facts.tokens);
        const bool copies = !limited
                            || (transfer.storeLoad > 0.0
                                && ledger.tryAdmit(transfer.storeLoad, at));
        const double ms = copies ? link.transferMs(tokens, now) : tokens / PrefillTokensPerMs;
        (isLong ? sums.longMs : sums.shortMs) += ms;
        ++(isLong ? longCount : shortCount);
    }
    return { sums.longMs / longCount, sums.shortMs / shortCount };
}

} // namespace

// Guards against prompts that wait at a saturated link although an engine could prefill them in
// less time. Always copying, as the baseline does, makes all prompts wait close to the longest
// time.
BOOST_AUTO_TEST_CASE(fullLinkDoesNotDelayPrompts)
{
    const replay_result always = replay(false);
    const replay_result planned = replay(true);
    BOOST_TEST(always.longMs > LatencyTargetMs);
    BOOST_TEST(always.shortMs > LatencyTargetMs);
    // Half of the target is left for the rest of the prompt; a short prompt waits for at most one
    // long segment.
    BOOST_TEST(planned.longMs < LatencyTargetMs / 2.0);
    BOOST_TEST(planned.shortMs < 3780.0 / LinkTokensPerMs + 80.0 / PrefillTokensPerMs);
}

// Guards against copies from an engine that may have evicted the segment while the store holds it.
BOOST_AUTO_TEST_CASE(storeWithAllSegmentsIsPreferredToAnotherEngine)
{
    segment_facts facts = longSegment();
    facts.holder = "10.0.0.2:1";
    BOOST_TEST(planTransfer(facts).copyFrom == facts.holder);
    BOOST_TEST(planTransfer(facts).saveTo == facts.store);
    facts.storeHoldsAllSegments = true;
    BOOST_TEST(planTransfer(facts).copyFrom == facts.store);
    BOOST_TEST(planTransfer(facts).saveTo.empty());
    BOOST_TEST(planWithoutStore(facts).copyFrom == facts.holder);
}

// Guards against a link that seems idle because transfers between data centres, which take longer,
// are charged like those within one.
BOOST_AUTO_TEST_CASE(storeLoadFollowsTheTransferredTokens)
{
    segment_facts facts = longSegment();
    BOOST_TEST(planTransfer(facts).storeLoad == 9190.0);
    facts.storeHoldsAllSegments = true;
    BOOST_TEST(planTransfer(facts).storeLoad == 3780.0);
    facts.crossesDataCentres = true;
    BOOST_TEST(planTransfer(facts).storeLoad == 7560.0);
    facts.expectedCached = true;
    BOOST_TEST(planTransfer(facts).storeLoad < 3780.0);
    facts.store.clear();
    BOOST_TEST(planTransfer(facts).storeLoad == 0.0);
    BOOST_TEST(planTransfer(facts).copyFrom.empty());
}
