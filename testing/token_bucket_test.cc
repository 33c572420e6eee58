#define BOOST_TEST_MODULE token_bucket
#include "burdockhold/token_bucket.h"
#include "testing/window_check.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace burdockhold;
using burdockhold::testing::admitted_tokens;
using burdockhold::testing::largestExcess;

namespace {

time_point at(double seconds)
{
    return time_point{} + fromSeconds(seconds);
}

token_bucket makeBucket(double rate, double capacity, bool full = true)
{
    token_bucket_options options;
    options.rate = rate;
    options.capacity = capacity;
    options.startFull = full;
    return token_bucket(options, at(0));
}

/// Takes and gives back at random; returns the largest excess over all windows.
double randomHistory(unsigned seed, std::size_t maxSegments, std::size_t maxReservations)
{
    std::mt19937 random(seed);
    token_bucket_options options{ 10.0, 30.0, seed % 2 == 0, maxSegments, maxReservations };
    token_bucket bucket(options, at(0));
    std::vector<admitted_tokens> admitted;
    std::vector<std::pair<reservation_id, std::size_t>> open;
    double now = 0.0;
    for (int i = 0; i < 2000; ++i) {
        now += static_cast<double>(random() % 16) / 8.0 * (random() % 4 == 0 ? 1.0 : 0.1);
        const double tokens = random() % 20;
        if (random() % 2 == 0) {
            if (const auto id = bucket.take(tokens, at(now))) {
                open.emplace_back(*id, admitted.size());
                admitted.push_back({ at(now), tokens });
            }
        } else if (!open.empty()) {
            const std::size_t pick = random() % open.size();
            const auto [id, index] = open[pick];
            const double unused = std::min(tokens, admitted[index].used);
            bucket.giveBack(id, unused, at(now));
            admitted[index].used -= unused;
            if (random() % 2 == 0) {
                bucket.close(id);
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(pick));
            }
        }
    }
    return largestExcess(admitted, 10.0);
}

/// Plays one of 6 operations in each of 7 steps of half a second.
double smallHistory(unsigned code)
{
    token_bucket bucket = makeBucket(2.0, 4.0);
    std::vector<admitted_tokens> admitted;
    std::vector<reservation_id> ids;
    for (int step = 0; step < 7; ++step, code /= 6) {
        const time_point now = at(step * 0.5);
        const unsigned operation = code % 6;
        if (operation < 3) {
            const double tokens = operation + 1.0 + (operation == 2 ? 1.0 : 0.0);
            if (const auto id = bucket.take(tokens, now)) {
                ids.push_back(*id);
                admitted.push_back({ now, tokens });
            }
        } else if (operation < 5 && !ids.empty()) {
            const std::size_t index = operation == 3 ? 0 : ids.size() - 1;
            bucket.giveBack(ids[index], admitted[index].used, now);
            admitted[index].used = 0.0;
        }
    }
    return largestExcess(admitted, 2.0);
}

} // namespace

// Guards against starting with tokens that an earlier process may have spent.
BOOST_AUTO_TEST_CASE(startsEmptyOrFullAsTold)
{
    BOOST_TEST(!makeBucket(10, 30, false).take(1, at(0)));
    BOOST_TEST(makeBucket(10, 30, true).take(30, at(0)).has_value());
}

// Guards against a give-back that ignores the time the bucket was full: the refill that was cut off
// at the capacity would be handed out a second time.
BOOST_AUTO_TEST_CASE(naiveGiveBackExceedsTheBound)
{
    for (const bool naive : { true, false }) {
        token_bucket bucket = makeBucket(10, 30);
        std::vector<admitted_tokens> admitted{ { at(0), 0.0 } };
        const auto first = bucket.take(30, at(0));
        BOOST_REQUIRE(first);
        BOOST_TEST(bucket.level(at(3)) == 30.0); // Full again.
        BOOST_REQUIRE(bucket.take(30, at(3)));
        admitted.push_back({ at(3), 30.0 });
        const double restored = naive ? 30.0 : bucket.giveBack(*first, 30, at(3));
        admitted.push_back({ at(3), restored });
        BOOST_TEST((largestExcess(admitted, 10) <= 30.0) == !naive);
    }
}

// Guards against two give-backs that each fit into the headroom but not together, since the first
// one changes the history that the second is judged by.
BOOST_AUTO_TEST_CASE(successiveGiveBacksShareTheHeadroom)
{
    token_bucket bucket = makeBucket(1, 10);
    const auto first = bucket.take(5, at(0));
    const auto second = bucket.take(5, at(0));
    BOOST_REQUIRE(bucket.take(5, at(5)));
    BOOST_TEST(bucket.giveBack(*first, 5, at(5)) == 5.0);
    BOOST_TEST(bucket.giveBack(*second, 5, at(5)) == 0.0);
}

// Guards against creating tokens by giving the same reservation back twice.
BOOST_AUTO_TEST_CASE(reservationGivesBackAtMostWhatItTook)
{
    token_bucket bucket = makeBucket(0, 10);
    const auto id = bucket.take(4, at(0));
    BOOST_TEST(bucket.giveBack(*id, 3, at(0)) == 3.0);
    BOOST_TEST(bucket.giveBack(*id, 3, at(0)) == 1.0);
    BOOST_TEST(bucket.giveBack(*id, 3, at(0)) == 0.0);
    BOOST_TEST(bucket.giveBack(99, 3, at(0)) == 0.0);
}

// Guards against tokens appearing when a limit is raised, or surviving when it is lowered.
BOOST_AUTO_TEST_CASE(changedLimitsCreateNoTokens)
{
    token_bucket bucket = makeBucket(10, 30);
    bucket.setLimits(10, 60, at(0));
    BOOST_TEST(bucket.level(at(0)) == 30.0);
    bucket.setLimits(10, 5, at(0));
    BOOST_TEST(bucket.level(at(0)) == 5.0);
    bucket.setLimits(10, 30, at(0));
    BOOST_TEST(bucket.level(at(0)) == 5.0);
}

// Guards against any short sequence of operations that breaks the bound.
BOOST_AUTO_TEST_CASE(everySmallHistoryKeepsTheBound)
{
    double worst = 0.0;
    for (unsigned code = 0; code < 6 * 6 * 6 * 6 * 6 * 6 * 6; ++code)
        worst = std::max(worst, smallHistory(code));
    BOOST_TEST(worst <= 4.0 + 1e-9);
}

// Guards against long histories that break the bound, also when periods have been merged and
// reservations forgotten.
BOOST_AUTO_TEST_CASE(randomHistoriesKeepTheBound)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(randomHistory(seed, 256, 65536) <= 30.0 + 1e-6);
            BOOST_TEST(randomHistory(seed, 4, 16) <= 30.0 + 1e-6);
        }
    }
}
