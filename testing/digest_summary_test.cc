#define BOOST_TEST_MODULE digest_summary
#include "burdockhold/digest_summary.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

vm_digest randomDigest(std::mt19937 &random, int number)
{
    vm_digest digest;
    digest.vm = "vm-" + std::to_string(number);
    digest.leaving = random() % 5 == 0;
    for (std::uint32_t endpoint = 0; endpoint < 8; ++endpoint) {
        if (random() % 2 == 0)
            digest.endpoints.push_back(
                    { endpoint, std::uint32_t(random() % 9), std::uint32_t(random() % 9000),
                      std::uint32_t(random() % 90000), std::uint32_t(random() % 50),
                      std::uint32_t(random() % 9), std::uint32_t(random() % 900) });
        if (random() % 3 == 0)
            digest.weights.push_back(
                    { endpoint, 7, std::int64_t(random() % 5), random() % 2 == 0 });
    }
    digest.duties.push_back(
            { 3, random() % 4 == 0,
              random() % 2 == 0 ? duty_row::NoOrder : std::uint32_t(random() % 99) });
    digest.announcedVersions.push_back({ 7, 2, std::uint32_t(random() % 9000), random() % 2 == 0 });
    digest.storedSegments = { std::uint32_t(random() % 20), std::uint32_t(random() % 20) };
    digest.departedEndpoints = { std::uint32_t(random() % 8) };
    return digest;
}

std::vector<vm_digest> randomDigests(std::mt19937 &random)
{
    std::vector<vm_digest> digests;
    const std::size_t count = 1 + random() % 20;
    digests.reserve(count);
    for (std::size_t number = 0; number < count; ++number)
        digests.push_back(randomDigest(random, static_cast<int>(number)));
    return digests;
}

vm_digest summaryOf(const std::vector<vm_digest> &digests)
{
    std::vector<const vm_digest *> members;
    members.reserve(digests.size());
    for (const vm_digest &digest : digests)
        members.push_back(&digest);
    return summarize(members);
}

} // namespace

// Guards against a summary that counts a VM's load twice or not at all, and against one that
// reports an engine as silent although another VM of the data centre hears it. Compares the summary
// with sums over the single digests.
BOOST_AUTO_TEST_CASE(summaryStatesTheSumsOfItsMembers)
{
    std::mt19937 random(21);
    for (int round = 0; round < 200; ++round) {
        const auto digests = randomDigests(random);
        const vm_digest summary = summaryOf(digests);
        std::map<std::uint32_t, endpoint_row> expected;
        for (const vm_digest &digest : digests) {
            for (const endpoint_row &row : digest.endpoints) {
                const auto [sum, isNew] = expected.try_emplace(row.endpoint);
                sum->second.running += row.running;
                sum->second.pendingPrefillTokens += row.pendingPrefillTokens;
                sum->second.activeTokens += row.activeTokens;
                sum->second.recentCalls += row.recentCalls;
                sum->second.recentFailures += row.recentFailures;
                sum->second.silentMs = isNew ? row.silentMs
                                             : std::min(sum->second.silentMs, row.silentMs);
            }
        }
        BOOST_REQUIRE(summary.endpoints.size() == expected.size());
        for (const endpoint_row &row : summary.endpoints) {
            const endpoint_row &sum = expected.at(row.endpoint);
            BOOST_TEST(row.running == sum.running);
            BOOST_TEST(row.pendingPrefillTokens == sum.pendingPrefillTokens);
            BOOST_TEST(row.activeTokens == sum.activeTokens);
            BOOST_TEST(row.recentCalls == sum.recentCalls);
            BOOST_TEST(row.recentFailures == sum.recentFailures);
            BOOST_TEST(row.silentMs == sum.silentMs);
        }
    }
}

// Guards against a summary that loses evidence on a new version, or states a verdict that a member
// has reached as open.
BOOST_AUTO_TEST_CASE(summaryStatesRolloutsOfItsMembers)
{
    vm_digest one;
    one.rollouts = { { 1, 2, 2, 500, true } };
    one.rolloutEvidence = { { 1, 2, 3, 10, 1, 8, 2, 90, 3, 80, 4 } };
    vm_digest other;
    other.rollouts = { { 1, 2, 3, 900, false } };
    other.rolloutEvidence = { { 1, 2, 3, 5, 0, 5, 5, 40, 0, 40, 1 },
                              { 1, 2, 4, 1, 0, 0, 0, 2, 0, 0, 0 } };
    const vm_digest summary = summaryOf({ one, other });
    BOOST_REQUIRE(summary.rollouts.size() == 1U);
    BOOST_TEST(int(summary.rollouts[0].state) == 3);
    BOOST_TEST(summary.rollouts[0].orderAgeMs == 500U);
    BOOST_TEST(summary.rollouts[0].isKnown);
    BOOST_REQUIRE(summary.rolloutEvidence.size() == 2U);
    BOOST_TEST(summary.rolloutEvidence[0].newCalls == 15U);
    BOOST_TEST(summary.rolloutEvidence[0].newSlow == 7U);
    BOOST_TEST(summary.rolloutEvidence[0].oldCalls == 130U);
}

// Guards against a summary that claims a duty for a leaving VM, which has released it, and against
// one that omits the claim of the VM that holds it.
BOOST_AUTO_TEST_CASE(dutyOfALeavingVmIsNotClaimed)
{
    vm_digest leaving;
    leaving.vm = "a";
    leaving.leaving = true;
    leaving.duties.push_back({ 3, true, 500 });
    vm_digest other;
    other.vm = "b";
    other.duties.push_back({ 3, false, duty_row::NoOrder });
    const vm_digest summary = summaryOf({ leaving, other });
    BOOST_REQUIRE(summary.duties.size() == 1U);
    BOOST_TEST(!summary.duties[0].holds);
    BOOST_TEST(summary.duties[0].lastOrderAgeMs == 500U);
    BOOST_TEST(summary.vms == std::vector<std::uint32_t>{ shortHash("b") });
    other.duties[0].holds = true;
    BOOST_TEST(summaryOf({ leaving, other }).duties[0].holds);
}

// Guards against a guessed age of a weights version that replaces a known age, and against a
// smaller age that replaces a larger one.
BOOST_AUTO_TEST_CASE(knownAgesTakePrecedenceOverGuesses)
{
    std::vector<vm_digest> digests(3);
    digests[0].announcedVersions.push_back({ 7, 2, 9000, true });
    digests[1].announcedVersions.push_back({ 7, 2, 400, false });
    digests[2].announcedVersions.push_back({ 7, 2, 600, false });
    const vm_digest summary = summaryOf(digests);
    BOOST_REQUIRE(summary.announcedVersions.size() == 1U);
    BOOST_TEST(summary.announcedVersions[0].ageMs == 600U);
    BOOST_TEST(!summary.announcedVersions[0].guessed);
}

// Guards against a summary of a large data centre that does not fit into one datagram.
BOOST_AUTO_TEST_CASE(summaryOfAHundredVmsFitsIntoADatagram)
{
    std::vector<vm_digest> digests(118);
    std::mt19937 random(3);
    for (vm_digest &digest : digests) {
        for (int row = 0; row < 64; ++row)
            digest.endpoints.push_back(
                    { std::uint32_t(row) * 1000003U, 9, 9999, 99999, 999, 99, 9 });
        digest.storedSegments = { std::uint32_t(random()) };
    }
    BOOST_TEST(encodeDigest(summaryOf(digests)).size() < 60000U);
}

// Guards against a data centre with no aggregator or with several, and against an aggregator whose
// link is too small for the summaries while another VM's link is large enough.
BOOST_AUTO_TEST_CASE(oneOfTheLargestVmsIsTheAggregator)
{
    for (const std::uint32_t large : { 0, 1, 3, 30 }) {
        std::vector<aggregator_candidate> vms;
        for (std::uint32_t number = 0; number < 30; ++number)
            vms.push_back(
                    { shortHash("vm-" + std::to_string(number)), number < large ? 200U : 20U });
        int aggregators = 0;
        for (std::size_t vm = 0; vm < vms.size(); ++vm) {
            std::vector<aggregator_candidate> others = vms;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(vm));
            if (!isAggregator(vms[vm], others))
                continue;
            ++aggregators;
            BOOST_TEST(vms[vm].capacity == (large > 0 ? 200U : 20U));
        }
        BOOST_TEST(aggregators == 1);
    }
    BOOST_TEST(isAggregator({ 5, 0 }, {}));
}
