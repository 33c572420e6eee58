#define BOOST_TEST_MODULE endpoint_health
#include "burdockhold/endpoint_health.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace burdockhold;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point at(std::int64_t ms)
{
    return time_point(milliseconds(ms));
}

call_report failed()
{
    return { "", false, duration::zero() };
}

call_report succeeded(std::int64_t latencyMs = 10, const std::string &incarnation = "")
{
    return { incarnation, true, milliseconds(latencyMs) };
}

std::vector<pool_member> poolOf(int count)
{
    std::vector<pool_member> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        members.push_back({ "e" + std::to_string(i), endpoint_state::Active });
    return members;
}

std::size_t ejectedIn(const pool_health &pool, time_point now)
{
    const auto all = pool.status(now);
    return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [](const auto &e) { return e.ejected; }));
}

} // namespace

// Guards against an endpoint that keeps failing but is readmitted after the same short time
// whenever it is ejected.
BOOST_AUTO_TEST_CASE(ejections_grow_to_the_longest)
{
    pool_health pool;
    pool.setMembers(poolOf(4), at(0));
    std::int64_t now = 1000;
    for (int i = 0; i < 4; ++i)
        pool.callEnded("e0", failed(), at(now));
    BOOST_TEST(pool.isUsable("e0", at(now)));
    pool.callEnded("e0", failed(), at(now));
    for (const std::int64_t length : { 1, 2, 4, 8, 16, 32, 60, 60 }) {
        BOOST_TEST(!pool.isUsable("e0", at(now + length * 1000 - 1)));
        now += length * 1000;
        BOOST_TEST(pool.isUsable("e0", at(now)));
        pool.callEnded("e0", failed(), at(now));
    }
    now += 60000;
    for (int i = 0; i < 10; ++i)
        pool.callEnded("e0", succeeded(), at(now));
    pool.callEnded("e0", failed(), at(now));
    BOOST_TEST(pool.isUsable("e0", at(now)));
}

// Guards against an endpoint that fails often, but never enough times in a row to be ejected.
BOOST_AUTO_TEST_CASE(a_high_error_rate_ejects)
{
    pool_health pool;
    pool.setMembers(poolOf(2), at(0));
    for (int i = 0; i < 19; ++i)
        pool.callEnded("e0", i % 2 == 0 ? failed() : succeeded(), at(1000));
    BOOST_TEST(pool.isUsable("e0", at(1000)));
    pool.callEnded("e0", succeeded(), at(1000));
    BOOST_TEST(!pool.isUsable("e0", at(1000)));
}

// Guards against a slow endpoint that raises the tail latency although all of its calls succeed,
// and against ejecting one that is slower by a negligible time.
BOOST_AUTO_TEST_CASE(a_slow_endpoint_is_ejected)
{
    for (const std::int64_t fastMs : { 10, 1 }) {
        pool_health pool;
        pool.setMembers(poolOf(4), at(0));
        for (int i = 0; i < 40; ++i) {
            for (const char *name : { "e0", "e1", "e2" })
                pool.callEnded(name, succeeded(fastMs), at(1000));
            pool.callEnded("e3", succeeded(10 * fastMs), at(1000));
        }
        BOOST_TEST(pool.isUsable("e3", at(1000)) == (fastMs == 1));
        BOOST_TEST(ejectedIn(pool, at(1000)) == (fastMs == 1 ? 0U : 1U));
    }
}

// Guards against calls to a leaving endpoint, and against failures, late call results or load
// reports of an earlier incarnation that count against a new one.
BOOST_AUTO_TEST_CASE(membership_and_incarnations)
{
    pool_health pool;
    auto members = poolOf(2);
    pool.setMembers(members, at(0));
    pool.loadReported("e0", { "a", 100, 1, at(1000) });
    for (int i = 0; i < 5; ++i)
        pool.callEnded("e0", failed(), at(1000));
    BOOST_TEST(!pool.isUsable("e0", at(1000)));
    pool.loadReported("e0", { "b", 5, 1, at(1001) });
    BOOST_TEST(pool.isUsable("e0", at(1001)));
    pool.loadReported("e0", { "a", 100, 1, at(1002) });
    for (int i = 0; i < 5; ++i)
        pool.callEnded("e0", { "a", false, duration::zero() }, at(1002));
    BOOST_TEST(pool.isUsable("e0", at(1002)));
    BOOST_TEST(pool.status(at(1002))[0].load->queuedTokens == 5);
    BOOST_TEST((pool.status(at(1101))[0].loadAge == milliseconds(100)));
    BOOST_TEST(!pool.status(at(4000))[0].load);
    members[0].state = endpoint_state::Leaving;
    pool.setMembers(members, at(4000));
    BOOST_TEST(!pool.isUsable("e0", at(4000)));
    BOOST_TEST(!pool.isUsable("other", at(4000)));
}

// Guards against ejecting more than half of the active endpoints in random sequences of calls,
// membership changes and new incarnations.
BOOST_AUTO_TEST_CASE(at_most_half_is_ejected)
{
    std::size_t maxEjected = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        std::mt19937 random(seed);
        pool_health pool;
        auto members = poolOf(1 + static_cast<int>(random() % 9));
        pool.setMembers(members, at(0));
        std::int64_t now = 0;
        for (int i = 0; i < 3000; ++i) {
            now += random() % 50;
            const auto &name = members[random() % members.size()].endpoint;
            const std::string incarnation = random() % 200 == 0 ? std::to_string(i) : "";
            pool.callEnded(name, { incarnation, random() % 10 == 0, milliseconds(random() % 90) },
                           at(now));
            if (random() % 100 == 0) {
                auto &member = members[random() % members.size()];
                member.state = random() % 2 == 0 ? endpoint_state::Active : endpoint_state::Leaving;
                pool.setMembers(members, at(now));
            }
            std::size_t active = 0;
            std::size_t usable = 0;
            for (const auto &member : members) {
                active += member.state == endpoint_state::Active ? 1 : 0;
                usable += pool.isUsable(member.endpoint, at(now)) ? 1 : 0;
            }
            BOOST_REQUIRE_MESSAGE(usable >= active - active / 2, "seed " << seed);
            maxEjected = std::max(maxEjected, active - usable);
        }
    }
    BOOST_TEST(maxEjected >= 4U);
}

// Guards against a budget that departs from its rule by comparing it with a list of all requests
// and retries of the last 10 s. The budget may be stricter by one slot of 100 ms, never laxer.
BOOST_AUTO_TEST_CASE(the_budget_follows_the_rule)
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        retry_budget budget;
        std::vector<std::int64_t> requests;
        std::vector<std::int64_t> retries;
        std::int64_t now = 0;
        const auto countWithin = [&](const std::vector<std::int64_t> &times,
                                     std::int64_t windowMs) {
            return std::count_if(times.begin(), times.end(),
                                 [&](std::int64_t t) { return t > now - windowMs; });
        };
        const auto hasBudget = [&](std::int64_t requestWindowMs, std::int64_t retryWindowMs) {
            return countWithin(retries, retryWindowMs)
                   < std::max<std::int64_t>(3, countWithin(requests, requestWindowMs) / 5);
        };
        for (int i = 0; i < 2000; ++i) {
            now += random() % 20 == 0 ? random() % 3000 : random() % 40;
            if (random() % 2 == 0) {
                budget.countRequest(at(now));
                requests.push_back(now);
                continue;
            }
            const bool mayAllow = hasBudget(10000, 10000);
            const bool mustAllow = hasBudget(9900, 10100);
            const bool allowed = budget.tryRetry(at(now));
            BOOST_REQUIRE_MESSAGE(!allowed || mayAllow, "too many retries, seed " << seed);
            BOOST_REQUIRE_MESSAGE(allowed || !mustAllow, "too few retries, seed " << seed);
            if (allowed)
                retries.push_back(now);
        }
    }
}

// Guards against retries that multiply the load of a failing pool. Every call fails and is retried
// for as long as the budget allows.
BOOST_AUTO_TEST_CASE(retries_are_bounded_when_every_call_fails)
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        retry_budget budget;
        const std::int64_t periodMs = 20000 + random() % 100000;
        const std::uint32_t rarity = 1 + random() % 300;
        std::int64_t requests = 0;
        std::int64_t calls = 0;
        for (std::int64_t now = 0; now < periodMs; now += 5) {
            if (random() % rarity != 0)
                continue;
            budget.countRequest(at(now));
            ++requests;
            ++calls;
            while (budget.tryRetry(at(now)))
                ++calls;
        }
        const double minimum = 3.0 * (1.0 + static_cast<double>(periodMs) / 10000.0);
        BOOST_TEST(static_cast<double>(calls) <= 1.2 * static_cast<double>(requests) + minimum);
        BOOST_TEST(calls > requests);
    }
}
