#define BOOST_TEST_MODULE crash_suspects
#include "burdockhold/crash_suspects.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace burdockhold;

namespace {

constexpr log_time_ms Memory = 600000;

std::vector<std::string> endpointNames(int count)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        names.push_back("e" + std::to_string(i));
    return names;
}

} // namespace

// Guards against refusing another request of the account, or the same body of another account.
BOOST_AUTO_TEST_CASE(digests_keep_accounts_and_bodies_apart)
{
    BOOST_TEST(requestDigest("a", "bc") == requestDigest("a", "bc"));
    BOOST_TEST(requestDigest("a", "bc") != requestDigest("ab", "c"));
    crash_suspects suspects;
    suspects.add({ requestDigest("a", "poison"), "e0", "1", 0 }, 0);
    suspects.add({ requestDigest("a", "poison"), "e1", "1", 0 }, 0);
    BOOST_TEST(suspects.isRefused(requestDigest("a", "poison"), 0));
    BOOST_TEST(!suspects.isRefused(requestDigest("a", "other"), 0));
    BOOST_TEST(!suspects.isRefused(requestDigest("b", "poison"), 0));
}

// Guards against one crash counting twice because several VMs saw it, and against innocent requests
// that shared one crash being refused.
BOOST_AUTO_TEST_CASE(one_crash_is_one_strike)
{
    crash_suspects suspects;
    for (const char *digest : { "culprit", "innocent1", "innocent2" }) {
        for (log_time_ms seen = 0; seen < 5; ++seen)
            suspects.add({ digest, "e0", "1", seen }, 10);
        BOOST_TEST(suspects.strikes(digest, 10) == 1U);
        BOOST_TEST(!suspects.isRefused(digest, 10));
    }
    suspects.add({ "culprit", "e0", "2", 20 }, 20);
    BOOST_TEST(suspects.isRefused("culprit", 20));
    BOOST_TEST(!suspects.isRefused("innocent1", 20));
}

// Guards against a refusal that lasts for ever, also when peers keep sending what they know.
BOOST_AUTO_TEST_CASE(strikes_expire_although_peers_repeat_them)
{
    crash_suspects a;
    crash_suspects b;
    a.add({ "x", "e0", "1", 0 }, 0);
    a.add({ "x", "e1", "1", 100 }, 100);
    for (log_time_ms now = 1000; now < Memory + 5000; now += 1000) {
        for (const auto &report : a.reports(now))
            b.add(report, now + 300);
        for (const auto &report : b.reports(now))
            a.add(report, now + 300);
        BOOST_TEST(a.isRefused("x", now) == (now < Memory));
    }
    a.forgetExpired(Memory + 5000);
    BOOST_TEST(a.suspectCount() == 0U);
    a.add({ "x", "e0", "1", Memory * 3 }, Memory);
    BOOST_TEST(a.suspectCount() == 0U);
}

// Guards against VMs that disagree after they exchanged reports in different orders, some twice.
BOOST_AUTO_TEST_CASE(merging_is_independent_of_order)
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        std::vector<crash_report> reports;
        reports.reserve(60);
        for (int i = 0; i < 60; ++i)
            reports.push_back({ "d" + std::to_string(random() % 20),
                                "e" + std::to_string(random() % 2), std::to_string(random() % 2),
                                static_cast<log_time_ms>(random() % 1000) });
        crash_suspects first;
        for (const auto &report : reports)
            first.add(report, 1000);
        auto again = reports;
        again.insert(again.end(), reports.begin(), reports.end());
        std::shuffle(again.begin(), again.end(), random);
        crash_suspects second;
        for (const auto &report : again)
            second.add(report, 1000);
        BOOST_TEST((first.reports(1000) == second.reports(1000)));
    }
}

// Guards against growth without bound, and against a flood of suspects that lets a known culprit
// run again.
BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    suspect_options options;
    options.maxSuspects = 10;
    crash_suspects suspects(options);
    for (int i = 0; i < 100; ++i)
        suspects.add({ "culprit", "e0", std::to_string(i), i }, i);
    for (int i = 0; i < 100; ++i)
        suspects.add({ "flood" + std::to_string(i), "e1", "1", 200 + i }, 200 + i);
    BOOST_TEST(suspects.suspectCount() == 10U);
    BOOST_TEST(suspects.isRefused("culprit", 300));
    BOOST_TEST(suspects.strikes("culprit", 300) == 4U);
    BOOST_TEST(suspects.strikes("flood99", 300) == 1U);
}

// Guards against an innocent request that shares two crashes with the culprit. All requests of the
// first crash are sent again at once; suspects run apart, so the second crash has one suspect.
BOOST_AUTO_TEST_CASE(suspects_run_apart)
{
    constexpr int Endpoints = 9;
    constexpr int Running = 8;
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        crash_suspects suspects;
        const std::string culprit = "r" + std::to_string(random() % Running);
        for (int i = 0; i < Running; ++i)
            suspects.add({ "r" + std::to_string(i), "e0", "1", 0 }, 0);
        const std::string second = suspects.endpointFor(culprit, endpointNames(Endpoints), 1);
        std::vector<std::string> shared;
        for (int i = 0; i < Running; ++i) {
            const std::string digest = "r" + std::to_string(i);
            if (suspects.endpointFor(digest, endpointNames(Endpoints), 1) == second)
                shared.push_back(digest);
        }
        for (const auto &digest : shared)
            suspects.add({ digest, second, "2", 1 }, 1);
        for (int i = 0; i < Running; ++i) {
            const std::string digest = "r" + std::to_string(i);
            BOOST_TEST(suspects.isRefused(digest, 2) == (digest == culprit));
        }
        BOOST_TEST(suspects.endpointFor("new", endpointNames(Endpoints), 2).empty());
    }
}

// States the limit: with more suspects than endpoints, two of them share one, and a second crash
// there refuses both until the strikes expire.
BOOST_AUTO_TEST_CASE(more_suspects_than_endpoints_share)
{
    crash_suspects suspects;
    for (const char *digest : { "r0", "r1", "r2" })
        suspects.add({ digest, "e0", "1", 0 }, 0);
    const auto names = endpointNames(2);
    const std::string shared = suspects.endpointFor("r0", names, 1);
    BOOST_TEST(suspects.endpointFor("r2", names, 1) == shared);
    BOOST_TEST(suspects.endpointFor("r1", names, 1) != shared);
    for (const char *digest : { "r0", "r2" })
        suspects.add({ digest, shared, "2", 1 }, 1);
    BOOST_TEST(suspects.isRefused("r2", Memory - 1));
    BOOST_TEST(!suspects.isRefused("r2", Memory + 1));
}
