#define BOOST_TEST_MODULE prefill_rates
#include "burdockhold/digest_summary.h"
#include "burdockhold/endpoint_table.h"
#include "burdockhold/migration_rules.h"
#include "burdockhold/prefill_rates.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <limits>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

constexpr int Engines = 9;

time_point at(double seconds)
{
    return time_point{} + fromSeconds(1000.0 + seconds);
}

/// Calls with prompts of 1,000 to 9,000 tokens whose first events take 30 ms besides.
void observe(prefill_rates &rates, int engine, double tokensPerMs, std::mt19937_64 &random,
             double now, double fixedMs = 30.0)
{
    const auto tokens = static_cast<std::int64_t>(1000 + random() % 8000);
    const double noiseMs = static_cast<double>(random() % 10);
    const double ms = fixedMs + noiseMs + static_cast<double>(tokens) / tokensPerMs;
    const prefill_call call{ at(now - ms / 1000.0), 0, tokens, false };
    rates.prefillFinished("pool", "e" + std::to_string(engine), call, at(now));
}

std::vector<prefill_row> rowsOf(double tokensPerMs)
{
    return { { shortHash("pool"),
               static_cast<std::int64_t>(tokensPerMs * prefill_row::RateScale) } };
}

} // namespace

// Guards against an estimate that counts the constant time of a first event as reading.
BOOST_AUTO_TEST_CASE(rateIsLearnedDespiteAConstantTime)
{
    for (const double truth : { 12.0, 50.0, 300.0 }) {
        std::mt19937_64 random(1);
        prefill_rates rates;
        BOOST_TEST(rates.tokensPerMs("pool") == prefill_rates_options{}.initialRate);
        for (int call = 0; call < 400; ++call) {
            observe(rates, call % Engines, truth, random, call * 0.05);
            rates.step("pool", Engines, at(call * 0.05));
        }
        BOOST_TEST(rates.tokensPerMs("pool") > 0.85 * truth);
        BOOST_TEST(rates.tokensPerMs("pool") < 1.15 * truth);
    }
}

// Guards against a few faulty engines that decide the rate of the whole pool, however many of the
// calls they attract.
BOOST_AUTO_TEST_CASE(slowAndLyingEnginesMoveTheRateLittle)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        std::mt19937_64 random(seed);
        prefill_rates rates;
        for (int call = 0; call < 800; ++call) {
            const double now = call * 0.05;
            if (call % 2 == 0)
                observe(rates, 0, 1e9, random, now, 1.0); // Answers without reading.
            else if (call % 9 == 0)
                observe(rates, 1, 5.0, random, now);
            else
                observe(rates, 2 + static_cast<int>(random() % 7), 50.0, random, now);
            rates.step("pool", Engines, at(now));
        }
        BOOST_TEST(rates.tokensPerMs("pool") > 0.75 * 50.0);
        BOOST_TEST(rates.tokensPerMs("pool") < 1.33 * 50.0);
    }
}

// Guards against a started VM that begins with the start value although others have measured, and
// against rates of VMs that have stopped.
BOOST_AUTO_TEST_CASE(startedVmUsesTheRatesOfOthersUntilTheyExpire)
{
    prefill_rates rates;
    BOOST_TEST(rates.applyPeerRows("vm-1", rowsOf(12.0), at(0)) == 0U);
    BOOST_TEST(rates.applyPeerRows("vm-2", rowsOf(13.0), at(0)) == 0U);
    BOOST_TEST(rates.applyPeerRows("vm-3", rowsOf(4000.0), at(0)) == 0U);
    const auto change = rates.step("pool", Engines, at(0));
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->before == 50.0);
    BOOST_TEST(change->rate == 13.0);
    BOOST_TEST(rates.tokensPerMs("pool") == 13.0);
    vm_digest digest;
    rates.fillDigest(digest);
    BOOST_TEST(digest.prefillRates.empty()); // What was heard is not passed on.
    rates.applyPeerRows("vm-4", rowsOf(20.0), at(15));
    rates.step("pool", Engines, at(15));
    BOOST_TEST(rates.tokensPerMs("pool") == 20.0);
}

// Guards against absurd rates of peers, negative and overflowing ones included, that change
// decisions, and against memory that grows with what peers state.
BOOST_AUTO_TEST_CASE(absurdRatesOfPeersAreDroppedAndCounted)
{
    prefill_rates rates;
    for (const std::int64_t tenths :
         { std::int64_t(0), std::int64_t(-1), std::int64_t(9), std::int64_t(50001),
           std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min() })
        BOOST_TEST(rates.applyPeerRows("vm-1", { { shortHash("pool"), tenths } }, at(0)) == 1U);
    rates.step("pool", Engines, at(0));
    BOOST_TEST(rates.tokensPerMs("pool") == 50.0);
    std::size_t dropped = 0;
    for (std::uint32_t pool = 0; pool < 1000; ++pool)
        dropped += rates.applyPeerRows("vm-1", { { pool, 500 } }, at(0));
    BOOST_TEST(dropped == 1000 - prefill_rates_options{}.maxPools);
}

// Guards against digests that an older build cannot read or that are lost with one negative rate.
BOOST_AUTO_TEST_CASE(digestsOfOlderBuildsAndWithNegativeRatesAreDecoded)
{
    vm_digest digest;
    digest.vm = "vm-1";
    digest.number = 7;
    std::string older = encodeDigest(digest);
    BOOST_REQUIRE(older.size() > 3);
    BOOST_REQUIRE(older.back() == '\x90'); // The last field is an empty array.
    older.pop_back();
    --older[2]; // The number of fields.
    const auto decoded = decodeDigest(older);
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST(valueOf(decoded).number == 7U);
    BOOST_TEST(valueOf(decoded).prefillRates.empty());

    digest.prefillRates = { { 1, -5 } };
    const auto negative = decodeDigest(encodeDigest(digest));
    BOOST_REQUIRE(isOk(negative));
    BOOST_TEST(valueOf(negative).prefillRates.front().rateTenths == -5);
}

// Guards against one VM of a data centre that states the rate for all of them.
BOOST_AUTO_TEST_CASE(summaryStatesTheMedianRate)
{
    std::vector<vm_digest> members(5);
    std::vector<const vm_digest *> list;
    const std::vector<std::int64_t> stated{ 490, -3, 500, 90000, 510 };
    for (std::size_t index = 0; index < members.size(); ++index) {
        members[index].prefillRates = { { 7, stated[index] } };
        list.push_back(&members[index]);
    }
    const vm_digest summary = summarize(list);
    BOOST_REQUIRE(summary.prefillRates.size() == 1U);
    BOOST_TEST(summary.prefillRates.front().rateTenths == 500);
}

// Guards against an engine that is suspected, and a stream that leaves it, while it reads a prompt
// of 53,000 tokens at a slow pool's rate.
BOOST_AUTO_TEST_CASE(readingEngineIsNotSuspected)
{
    const duration reading = prefillTime(53000, 12.0);
    BOOST_TEST(toSeconds(reading) == 53.0 / 12.0, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(toSeconds(maxSilence(call_kind::Stream, fromSeconds(0.5), reading)) > 4.4);
    BOOST_TEST(toSeconds(maxSilence(call_kind::Stream, fromSeconds(0.5), {})) == 1.0);

    endpoint_table table("dc");
    endpoint_report report;
    report.id = "e1";
    report.pool = "pool";
    report.slots = 4;
    table.update(report, at(0));
    table.callStarted("e1", { 53000, 53100 }, at(0));
    const auto isSuspect = [&](double now) {
        return table.candidates("pool", "", 0, "", {}, at(now)).front().suspect;
    };
    BOOST_TEST(isSuspect(4.0));
    table.setPrefillRate("pool", 12.0);
    BOOST_TEST(!isSuspect(4.0));
    BOOST_TEST(isSuspect(9.0));
}

// Guards against a rate outside of the bounds, whatever the calls and the peers.
BOOST_AUTO_TEST_CASE(randomHistoriesKeepTheRateWithinItsBounds)
{
    std::mt19937_64 random(4);
    prefill_rates rates;
    for (int step = 0; step < 20000; ++step) {
        const double now = step * 0.01;
        const prefill_call call{ at(now - static_cast<double>(random() % 30000) / 1000.0 + 1.0),
                                 static_cast<std::int64_t>(random() >> (random() % 64)),
                                 static_cast<std::int64_t>(random() >> (random() % 64)), false };
        rates.prefillFinished("pool", "e" + std::to_string(random() % 2000), call, at(now));
        rates.applyPeerRows("vm-" + std::to_string(random() % 5),
                            { { shortHash("pool"), static_cast<std::int64_t>(random()) } },
                            at(now));
        rates.step("pool", 2000, at(now));
        const double rate = rates.tokensPerMs("pool");
        BOOST_REQUIRE(rate >= MinPrefillRate);
        BOOST_REQUIRE(rate <= MaxPrefillRate);
    }
}
