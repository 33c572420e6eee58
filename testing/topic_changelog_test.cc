#define BOOST_TEST_MODULE topic_changelog
#include "burdockhold/topic_changelog.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

using records_by_key = std::map<std::string, std::string>;

/// A VM that requests the changes from time to time.
struct test_replica
{
    std::uint64_t sequenceNumber = 0;
    records_by_key records;

    void apply(const topic_changes &changes)
    {
        if (changes.isSnapshot)
            records.clear();
        for (const topic_record &record : changes.records) {
            if (record.removed)
                records.erase(record.key);
            else
                records[record.key] = record.value;
        }
        sequenceNumber = changes.sequenceNumber;
    }
};

std::string randomText(std::mt19937 &random, int choices)
{
    return std::to_string(random() % static_cast<unsigned>(choices));
}

} // namespace

// Guards against a revoked key or a departed endpoint that stays in use at a VM that requests
// changes rarely: replicas that request changes at random times match a plain map after each
// request, also when tombstones were discarded in between.
BOOST_AUTO_TEST_CASE(replicasMatchAPlainMapAfterEachRequest)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        topic_changelog changelog(seed % 2 == 0 ? 3 : 2000);
        records_by_key reference;
        std::vector<test_replica> replicas(5);
        for (int step = 0; step < 800; ++step) {
            const std::string key = randomText(random, 30);
            const unsigned action = random() % 10;
            if (action < 4) {
                const std::string value = randomText(random, 3);
                changelog.put(key, value);
                reference[key] = value;
            } else if (action < 7) {
                changelog.remove(key);
                reference.erase(key);
            } else if (action == 7) {
                const std::set<std::string> kept{ key };
                const auto found = reference.find(key);
                const records_by_key remaining = found == reference.end()
                                                         ? records_by_key()
                                                         : records_by_key{ *found };
                changelog.keepOnly(kept);
                reference = remaining;
            } else {
                test_replica &replica = replicas[random() % replicas.size()];
                replica.apply(changelog.since(replica.sequenceNumber));
                BOOST_REQUIRE(replica.records == reference);
            }
        }
    }
}

// Guards against heartbeats that are forwarded to every VM although nothing has changed.
BOOST_AUTO_TEST_CASE(unchangedRecordIsNoChange)
{
    topic_changelog changelog;
    changelog.put("a", "1");
    const std::uint64_t sequenceNumber = changelog.sequenceNumber();
    changelog.put("a", "1");
    changelog.remove("b");
    BOOST_TEST(changelog.sequenceNumber() == sequenceNumber);
    BOOST_TEST(changelog.since(sequenceNumber).records.empty());
    BOOST_TEST(!changelog.since(sequenceNumber).isSnapshot);
}

// Guards against a replica that keeps records of another changelog: a sequence number that this one
// has not reached gets a snapshot.
BOOST_AUTO_TEST_CASE(unknownSequenceNumberGetsASnapshot)
{
    topic_changelog changelog;
    changelog.put("a", "1");
    BOOST_TEST(changelog.since(7).isSnapshot);
    BOOST_TEST(changelog.since(7).records.size() == 1U);
}

// Guards against a replica that has read another value elsewhere and gets no change for a record
// that the reader has missed and found as before.
BOOST_AUTO_TEST_CASE(replicaThatHasSeenAnotherStateGetsASnapshot)
{
    topic_changelog changelog(1);
    test_replica replica;
    changelog.put("a", "draining");
    changelog.put("b", "ready");
    replica.apply(changelog.since(replica.sequenceNumber));
    replica.records["a"] = "ready";
    changelog.put("a", "draining");
    changelog.requireSnapshots();
    BOOST_TEST(changelog.since(replica.sequenceNumber).isSnapshot);
    replica.apply(changelog.since(replica.sequenceNumber));
    BOOST_TEST(replica.records["a"] == "draining");
    BOOST_TEST(!changelog.since(replica.sequenceNumber).isSnapshot);
    // Tombstones that are discarded later do not make older numbers valid again.
    const std::uint64_t before = replica.sequenceNumber - 1;
    changelog.remove("a");
    changelog.remove("b");
    BOOST_TEST(changelog.since(before).isSnapshot);
}
