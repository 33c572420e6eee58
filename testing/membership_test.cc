#define BOOST_TEST_MODULE membership
#include "burdockhold/membership.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace burdockhold;

namespace {

time_point at(double seconds)
{
    return time_point{} + fromSeconds(seconds);
}

std::vector<epoch_vm> makeVms(const std::vector<int> &numbers)
{
    std::vector<epoch_vm> vms;
    vms.reserve(numbers.size());
    for (const int n : numbers)
        vms.push_back({ "vm" + std::to_string(n), "dc" + std::to_string(n % 2) });
    return vms;
}

std::vector<listed_vm> makeList(const std::vector<int> &numbers)
{
    std::vector<listed_vm> list;
    list.reserve(numbers.size());
    for (const auto &vm : makeVms(numbers))
        list.push_back({ vm.name, vm.dataCentre, vm_state::Live });
    return list;
}

epoch_proposer makeProposer(const std::string &self)
{
    epoch_proposer_options options;
    options.self = self;
    return epoch_proposer(options);
}

} // namespace

// Guards against a record that reads back differently, or a malformed one that crashes replay.
BOOST_AUTO_TEST_CASE(recordsSurviveTheCodec)
{
    const auto parsed = parseMembershipRecord(
            formatMembershipRecord(epoch_record{ "a", 7, makeVms({ 0, 1, 2 }) }));
    BOOST_REQUIRE(isOk(parsed));
    BOOST_TEST((std::get<epoch_record>(valueOf(parsed)).vms == makeVms({ 0, 1, 2 })));
    BOOST_TEST(std::get<epoch_record>(valueOf(parsed)).basedOn == 7U);
    const auto ack = parseMembershipRecord(formatMembershipRecord(epoch_ack_record{ "b", 9, "x" }));
    BOOST_REQUIRE(isOk(ack));
    BOOST_TEST(std::get<epoch_ack_record>(valueOf(ack)).vm == "x");
    for (const char *text :
         { "", "[]", "{", R"({"id":"a"})", R"({"id":"a","kind":"other"})",
           R"({"id":"a","kind":"epoch","based_on":-1,"vms":[]})",
           R"({"id":"a","kind":"epoch","based_on":0,"vms":[]})",
           R"({"id":"a","kind":"epoch","based_on":0,"vms":[3]})",
           R"({"id":"a","kind":"epoch","based_on":0,"vms":[{"name":"b","data_centre":"d"},
               {"name":"a","data_centre":"d"}]})",
           R"({"id":"a","kind":"epoch_ack","epoch":1})" })
        BOOST_TEST(!isOk(parseMembershipRecord(text)));
}

// Guards against two racing proposals both taking effect.
BOOST_AUTO_TEST_CASE(epochNotBasedOnTheCurrentOneIsVoid)
{
    epoch_history history;
    BOOST_TEST(history.apply(3, epoch_record{ "a", 0, makeVms({ 0, 1 }) }));
    BOOST_TEST(!history.apply(4, epoch_record{ "b", 0, makeVms({ 0 }) }));
    BOOST_TEST(history.current() == 3U);
    BOOST_TEST(history.usableShare("x", "vm0") == 0.5);
}

// Guards against a grown share that is used while the VM that gives it up still mints.
BOOST_AUTO_TEST_CASE(grownShareWaitsForAcknowledgements)
{
    epoch_history history;
    history.apply(1, epoch_record{ "a", 0, makeVms({ 0, 1 }) });
    history.apply(2, epoch_record{ "b", 1, makeVms({ 0, 1, 2, 3 }) });
    BOOST_TEST(history.usableShare("x", "vm0") == 0.25);
    BOOST_TEST(history.usableShare("x", "vm2") == 0.0);
    BOOST_TEST(history.toAcknowledge("vm0") == 2U);
    history.apply(epoch_ack_record{ "c", 2, "vm0" });
    BOOST_TEST(history.toAcknowledge("vm0") == 0U);
    BOOST_TEST(history.usableShare("x", "vm2") == 0.0);
    history.noteStopped("vm1", 2);
    BOOST_TEST(history.usableShare("x", "vm2") == 0.25);
    BOOST_TEST(history.unsettled() == 0U);
}

// Guards against shares of more than 1 in total when VMs know different epochs and different
// acknowledgements. A VM acknowledges only what it has applied.
BOOST_AUTO_TEST_CASE(sharesNeverAddUpToMoreThanOne)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const share_policy policy{ seed % 2 == 0 ? 0U : 2U };
        std::vector<membership_record> log;
        std::vector<epoch_history> views(8, epoch_history(policy));
        std::vector<std::size_t> read(8, 0);
        log_offset current = 0;
        double worst = 0.0;
        for (int i = 0; i < 200; ++i) {
            const std::size_t vm = random() % 8;
            if (random() % 10 == 0 && views[vm].unsettled() < MaxUnsettledEpochs) {
                std::vector<int> members;
                for (int n = 0; n < 8; ++n) {
                    if (random() % 2 == 0)
                        members.push_back(n);
                }
                if (members.empty())
                    members.push_back(0);
                log.emplace_back(epoch_record{ "e", current, makeVms(members) });
                current = log.size();
            } else if (read[vm] < log.size()) {
                const auto &record = log[read[vm]++];
                if (const auto *epoch = std::get_if<epoch_record>(&record))
                    views[vm].apply(read[vm], *epoch);
                else
                    views[vm].apply(std::get<epoch_ack_record>(record));
            } else if (const auto due = views[vm].toAcknowledge("vm" + std::to_string(vm))) {
                log.emplace_back(epoch_ack_record{ "k", due, "vm" + std::to_string(vm) });
            }
            double total = 0.0;
            for (std::size_t n = 0; n < 8; ++n)
                total += views[n].usableShare("x", "vm" + std::to_string(n));
            worst = std::max(worst, total);
        }
        BOOST_TEST(worst <= 1.0 + 1e-9, "seed " << seed << " total " << worst);
    }
}

// Guards against minters that differ between VMs or gather in one data centre.
BOOST_AUTO_TEST_CASE(mintersAreChosenInEachDataCentre)
{
    const auto vms = makeVms({ 0, 1, 2, 3, 4, 5, 6, 7 });
    BOOST_TEST(mintersOf(vms, "x", { 0 }).size() == 8U);
    BOOST_TEST(mintersOf(vms, "x", { 3 }).size() == 6U);
    auto reversed = vms;
    std::reverse(reversed.begin(), reversed.end());
    BOOST_TEST(mintersOf(vms, "x", { 3 }) == mintersOf(reversed, "x", { 3 }));
}

// Guards against removing a VM that only a lagging list omits, and against a herd of proposals.
BOOST_AUTO_TEST_CASE(absentVmIsRemovedAfterTheHoldTimeByOneProposer)
{
    epoch_history history;
    history.apply(1, epoch_record{ "a", 0, makeVms({ 0, 1, 2 }) });
    int proposals = 0;
    std::vector<epoch_proposer> proposers{ makeProposer("vm0"), makeProposer("vm1") };
    for (auto &p : proposers)
        p.observe(makeList({ 0, 1, 2 }), at(0));
    for (int tick = 1; tick <= 100; ++tick) {
        for (auto &p : proposers) {
            p.observe(makeList({ 0, 1 }), at(tick * 0.1));
            const auto record = p.propose(history, at(tick * 0.1));
            if (!record)
                continue;
            BOOST_TEST(tick >= 29);
            BOOST_TEST((record->vms == makeVms({ 0, 1 })));
            BOOST_TEST(history.apply(2, *record));
            ++proposals;
        }
    }
    BOOST_TEST(proposals == 1);
}

// Guards against a paused VM that wakes and mints by its old share while others use the grown one:
// absence from the list alone must not settle an epoch.
BOOST_AUTO_TEST_CASE(absentVmCountsAsStoppedOnlyAfterMaxViewAge)
{
    epoch_history history;
    history.apply(1, epoch_record{ "a", 0, makeVms({ 0, 1 }) });
    history.apply(2, epoch_record{ "b", 1, makeVms({ 0 }) });
    auto proposer = makeProposer("vm0");
    stop_detector detector(std::chrono::seconds(5));
    proposer.observe(makeList({ 0 }), at(0));
    detector.update(history, proposer, false, at(10));
    BOOST_TEST(history.usableShare("x", "vm0") == 0.5);
    detector.update(history, proposer, true, at(20));
    detector.update(history, proposer, true, at(25));
    BOOST_TEST(history.usableShare("x", "vm0") == 0.5);
    detector.update(history, proposer, true, at(25.1));
    BOOST_TEST(history.usableShare("x", "vm0") == 1.0);
}

// Guards against a view that counts as fresh although a majority may know more.
BOOST_AUTO_TEST_CASE(viewIsFreshByTailReadOrMajority)
{
    const auto list = makeList({ 0, 1, 2, 3 });
    view_tracker tracker;
    BOOST_TEST(!tracker.asOf(list, "vm0", at(1)));
    tracker.noteHeartbeat("vm1", at(1), 5, 5);
    BOOST_TEST(!tracker.asOf(list, "vm0", at(2))); // Two of four are no majority.
    tracker.noteHeartbeat("vm2", at(2), 6, 5);
    BOOST_TEST(!tracker.asOf(list, "vm0", at(3))); // Offset 6 is not applied.
    tracker.noteApplied(6);
    BOOST_TEST((tracker.asOf(list, "vm0", at(3)) == at(1)));
    tracker.noteTailRead(at(4));
    BOOST_TEST((tracker.asOf(list, "vm0", at(5)) == at(4)));
    BOOST_TEST(tracker.majorityApplied(5, list, "vm0", 6));
    BOOST_TEST(!tracker.majorityApplied(6, list, "vm0", 6));
}

// Guards against reporting a withdrawal accepted before a majority holds it.
BOOST_AUTO_TEST_CASE(withdrawalIsAcceptedByMajority)
{
    const auto list = makeList({ 0, 1, 2, 3 });
    pending_withdrawals pending;
    BOOST_TEST(pending.add("d"));
    BOOST_TEST(!pending.add("d"));
    pending.merge("vm1", { "d" });
    BOOST_TEST(!pending.isAccepted("d", list, "vm0"));
    BOOST_TEST(pending.unconfirmed("d", list, "vm0").size() == 2U);
    BOOST_TEST(pending.merge("vm2", { "d", "e" }).size() == 1U);
    BOOST_TEST(pending.isAccepted("d", list, "vm0"));
    pending.noteLogged("d");
    BOOST_TEST(pending.pending().size() == 1U);
    BOOST_TEST(pending.contains("d"));
}
