#define BOOST_TEST_MODULE endpoint_table
#include "burdockhold/endpoint_table.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <string>

using namespace burdockhold;

namespace {

constexpr const char *Model = "m";

time_point at(double seconds)
{
    return time_point{} + fromSeconds(seconds);
}

endpoint_report report(const std::string &id, std::int64_t incarnation = 1,
                       const std::string &address = "127.0.0.1:1")
{
    endpoint_report entry;
    entry.id = id;
    entry.pool = "pool";
    entry.address = address;
    entry.slots = 8;
    entry.incarnation = incarnation;
    entry.weights[Model] = 1;
    return entry;
}

endpoint_candidate candidate(const endpoint_table &table, const std::string &id, time_point now,
                             std::int64_t targetVersion = 1)
{
    for (const auto &found : table.candidates("pool", Model, targetVersion, "", {}, now)) {
        if (found.id == id)
            return found;
    }
    return {};
}

std::size_t candidates(const endpoint_table &table, time_point now)
{
    return table.candidates("pool", Model, 1, "", {}, now).size();
}

vm_digest digestOf(const endpoint_table &table, const std::string &vm, time_point now)
{
    vm_digest digest;
    digest.vm = vm;
    table.fillDigest(digest, now);
    return digest;
}

} // namespace

// Guards against an engine that stays excluded forever because VMs relay its loading state to each
// other and each digest renews the state at the others.
BOOST_AUTO_TEST_CASE(wordOfALoadIsNotPassedOn)
{
    endpoint_table holder("dc1");
    endpoint_table other("dc1");
    endpoint_table third("dc1");
    for (endpoint_table *table : { &holder, &other, &third })
        table->update(report("e1"), at(0));
    holder.setLoading("e1", duration::zero(), at(1));
    other.applyPeerDigest(digestOf(holder, "holder", at(1)), at(1));
    third.applyPeerDigest(digestOf(other, "other", at(1.1)), at(1.1));
    BOOST_TEST((candidate(other, "e1", at(1.2)).excluded == exclusion::Loading));
    BOOST_TEST((candidate(third, "e1", at(1.2)).excluded == exclusion::None));
    BOOST_TEST((candidate(other, "e1", at(3)).excluded == exclusion::None));
}

// Guards against calls to engines that load when the VM that ordered the loads stops in the midst
// of them: with 51 engines loading, 2,700 requests were refused within four seconds.
BOOST_AUTO_TEST_CASE(loadingLastsUntilItsExpectedEndWhenTheHolderStops)
{
    endpoint_table holder("dc1");
    endpoint_table other("dc1");
    holder.update(report("e1"), at(0));
    other.update(report("e1"), at(0));
    holder.setLoading("e1", fromSeconds(3.0), at(1));
    other.applyPeerDigest(digestOf(holder, "holder", at(1)), at(1));
    BOOST_TEST((candidate(other, "e1", at(3.9)).excluded == exclusion::Loading));
    BOOST_TEST((candidate(other, "e1", at(4.1)).excluded == exclusion::None));
}

// Guards against a digest that states an absurd end of a load and takes an engine out of service.
BOOST_AUTO_TEST_CASE(expectedEndOfALoadIsBounded)
{
    endpoint_table holder("dc1");
    endpoint_table other("dc1");
    holder.update(report("e1"), at(0));
    other.update(report("e1"), at(0));
    holder.setLoading("e1", std::chrono::hours(24 * 365), at(1));
    other.applyPeerDigest(digestOf(holder, "holder", at(1)), at(1));
    const double bound = 1.0 + toSeconds(endpoint_table_options().maxLoadingMark);
    BOOST_TEST((candidate(other, "e1", at(bound + 0.1)).excluded == exclusion::None));
}

// Guards against an engine with new weights that other VMs still treat as loading or stale.
BOOST_AUTO_TEST_CASE(newWeightsEndLoadingOnAllVms)
{
    endpoint_table holder("dc1");
    endpoint_table other("dc1");
    holder.update(report("e1"), at(0));
    other.update(report("e1"), at(0));
    holder.setLoading("e1", duration::zero(), at(1));
    other.applyPeerDigest(digestOf(holder, "holder", at(1)), at(1));
    holder.recordStatedWeights("e1", Model, 2);
    other.applyPeerDigest(digestOf(holder, "holder", at(1.2)), at(1.2));
    BOOST_TEST(other.weightsOf("e1", Model) == 2);
    BOOST_TEST((candidate(other, "e1", at(1.25), 2).excluded == exclusion::None));
    BOOST_TEST(!candidate(other, "e1", at(1.25), 2).staleWeights);
}

// Guards against calls to an endpoint that has announced that it is leaving.
BOOST_AUTO_TEST_CASE(leavingEndpointIsNoCandidate)
{
    endpoint_table table("dc1");
    table.update(report("e1"), at(0));
    endpoint_report leaving = report("e1");
    leaving.leaving = true;
    table.update(leaving, at(1));
    BOOST_TEST(candidates(table, at(1)) == 0U);
}

// Guards against calls to a leaving endpoint by a VM that reads the log less often than others.
BOOST_AUTO_TEST_CASE(leavingIsGossipedToPeers)
{
    endpoint_table reader("dc1");
    endpoint_table other("dc1");
    reader.update(report("e1"), at(0));
    other.update(report("e1"), at(0));
    endpoint_report leaving = report("e1");
    leaving.leaving = true;
    reader.update(leaving, at(1));
    other.applyPeerDigest(digestOf(reader, "reader", at(1.1)), at(1.1));
    BOOST_TEST(candidates(other, at(1.1)) == 0U);
    BOOST_TEST(digestOf(other, "other", at(1.2)).departedEndpoints.empty());
    // The endpoint is back, as the other VM's own read of the log shows.
    other.update(report("e1", 2), at(3));
    BOOST_TEST(candidates(other, at(3)) == 1U);
}

// Guards against a pool without endpoints after an outage of the log in which all entries expired,
// and against calls to departed endpoints after that.
BOOST_AUTO_TEST_CASE(lastEntriesOfAPoolStayUsableBriefly)
{
    endpoint_table table("dc1");
    table.update(report("e1"), at(0));
    table.update(report("e2", 1, "127.0.0.1:2"), at(0));
    table.remove("e1", at(10));
    BOOST_TEST(candidates(table, at(10)) == 1U);
    table.remove("e2", at(10.1));
    BOOST_TEST(candidates(table, at(10.2)) == 2U);
    BOOST_TEST(candidates(table, at(12)) == 0U);
}

// Guards against calls to an endpoint that has ended and whose address another endpoint now uses.
BOOST_AUTO_TEST_CASE(laterEndpointReplacesTheOneAtItsAddress)
{
    endpoint_table table("dc1");
    table.namePools({ "pool" }, at(0));
    table.update(report("old", 100), at(0));
    table.update(report("other", 100, "127.0.0.1:2"), at(0));
    table.update(report("new", 200), at(5));
    BOOST_TEST(candidates(table, at(5)) == 2U);
    BOOST_TEST(candidate(table, "old", at(5)).id.empty());
}

// Guards against an entry of another writer that removes an engine at its address, and against an
// engine that has ended and stays in use once the deployment names the pool of the later one.
BOOST_AUTO_TEST_CASE(entryOfAnUnnamedPoolReplacesNone)
{
    endpoint_table table("dc1");
    endpoint_report other = report("odd", 200);
    other.pool = "unnamed";
    table.update(report("e1", 100), at(0));
    table.update(other, at(1));
    BOOST_TEST(candidates(table, at(1)) == 1U);
    table.namePools({ "pool" }, at(2));
    BOOST_TEST(candidates(table, at(2)) == 1U);
    table.update(report("e2", 100, "127.0.0.1:2"),
                 at(2)); // Without it e1 is used for a while more.
    table.namePools({ "pool", "unnamed" }, at(3));
    BOOST_TEST(candidate(table, "e1", at(3)).id.empty());
}

// Guards against state of an earlier incarnation that is applied to a new one with the same id.
BOOST_AUTO_TEST_CASE(newIncarnationResetsState)
{
    endpoint_table table("dc1");
    table.update(report("e1", 1), at(0));
    table.recordStatedWeights("e1", Model, 4);
    table.recordCachedSegment("e1", "part");
    table.callStarted("e1", { 100, 200 }, at(0));
    table.update(report("e1", 2), at(1));
    BOOST_TEST(table.weightsOf("e1", Model) == 1);
    BOOST_TEST(table.ownRunning("e1") == 0);
    BOOST_TEST(!candidate(table, "e1", at(1)).holdsSegment);
    // The call to the earlier incarnation ends later.
    table.callEnded("e1", { 100, 200 }, false);
    BOOST_TEST(table.ownRunning("e1") == 0);
    BOOST_TEST(candidate(table, "e1", at(1)).activeTokens == 0);
}

// Guards against load of a crashed VM that is counted forever.
BOOST_AUTO_TEST_CASE(loadOfASilentVmExpires)
{
    endpoint_table own("dc1");
    endpoint_table other("dc1");
    own.update(report("e1"), at(0));
    other.update(report("e1"), at(0));
    other.callStarted("e1", { 1000, 2000 }, at(0));
    own.applyPeerDigest(digestOf(other, "other", at(0.1)), at(0.1));
    own.applyPeerDigest(digestOf(other, "other", at(0.3)), at(0.3));
    BOOST_TEST(candidate(own, "e1", at(0.4)).activeTokens == 2000);
    own.step(std::chrono::milliseconds(200), at(3));
    BOOST_TEST(candidate(own, "e1", at(3)).activeTokens == 0);
}

// Guards against new calls to an engine that went silent with running calls, before its entry
// expires.
BOOST_AUTO_TEST_CASE(silentEngineIsSuspected)
{
    endpoint_table table("dc1");
    table.update(report("e1"), at(0));
    table.callStarted("e1", { 0, 10 }, at(1));
    BOOST_TEST(!candidate(table, "e1", at(1.3)).suspect);
    BOOST_TEST(candidate(table, "e1", at(1.7)).suspect);
    table.recordActivity("e1", at(1.8));
    BOOST_TEST(!candidate(table, "e1", at(1.9)).suspect);
}

// Guards against an unreachable endpoint that every request tries again.
BOOST_AUTO_TEST_CASE(backOffGrowsWithEachConnectFailure)
{
    endpoint_table table("dc1");
    table.update(report("e1"), at(0));
    table.connectFailed("e1", at(0));
    BOOST_TEST((candidate(table, "e1", at(0.2)).excluded == exclusion::BackOff));
    BOOST_TEST((candidate(table, "e1", at(0.4)).excluded == exclusion::None));
    table.connectFailed("e1", at(0.4));
    BOOST_TEST((candidate(table, "e1", at(0.8)).excluded == exclusion::BackOff));
}

// Guards against an inferred version that is too new and never dropped: the engine refuses every
// call, and is not ordered to load the newest weights because it seems to have them. Three engines
// were idle for eight seconds when two versions were announced within four seconds.
BOOST_AUTO_TEST_CASE(statedVersionReplacesInferredVersion)
{
    endpoint_table table("dc1");
    table.update(report("e1"), at(0));
    table.recordInferredWeights("e1", Model, 3, at(0.5));
    BOOST_TEST(table.weightsOf("e1", Model) == 3);
    endpoint_report next = report("e1");
    next.weights[Model] = 2;
    table.update(next, at(1));
    BOOST_TEST(table.weightsOf("e1", Model) == 2);

    table.recordInferredWeights("e1", Model, 3, at(1.5));
    table.recordStatedWeights("e1", Model, 3);
    table.update(next, at(2));
    BOOST_TEST(table.weightsOf("e1", Model) == 3);

    table.recordInferredWeights("e1", Model, 5, at(2));
    BOOST_TEST(table.weightsOf("e1", Model) == 5);
    table.dropInferredWeights("e1", Model);
    BOOST_TEST(table.weightsOf("e1", Model) == 3);

    // An inferred version does not drop the engine's cached segments.
    table.recordCachedSegment("e1", "part");
    table.recordInferredWeights("e1", Model, 4, at(2));
    table.dropInferredWeights("e1", Model);
    BOOST_TEST(table.candidates("pool", Model, 3, "part", {}, at(2)).front().holdsSegment);
}

// Guards against an inferred version that other VMs take for one stated by the engine.
BOOST_AUTO_TEST_CASE(inferredVersionIsNotGossiped)
{
    endpoint_table table("dc1");
    endpoint_table other("dc1");
    table.update(report("e1"), at(0));
    other.update(report("e1"), at(0));
    table.recordInferredWeights("e1", Model, 3, at(0.5));
    other.applyPeerDigest(digestOf(table, "vm", at(1)), at(1));
    BOOST_TEST(other.weightsOf("e1", Model) == 1);
    table.recordStatedWeights("e1", Model, 3);
    other.applyPeerDigest(digestOf(table, "vm", at(1.2)), at(1.2));
    BOOST_TEST(other.weightsOf("e1", Model) == 3);
}

// Guards against an engine that is judged by its previous incarnation, and against samples of calls
// to that one.
BOOST_AUTO_TEST_CASE(paceBelongsToAnIncarnation)
{
    endpoint_table table("dc1");
    for (const char *id : { "e1", "e2" })
        table.update(report(id), at(0));
    BOOST_TEST(candidate(table, "e1", at(0)).poolPace == nullptr);
    for (int index = 0; index < 60; ++index) {
        const time_point now = at(0.1 * index);
        table.recordFirstEvent({ "e1", 1, { 800, 0, 0, 43.0 }, 43.0 }, now);
        table.recordFirstEvent({ "e2", 1, { 800, 0, 0, 86.0 }, 43.0 }, now);
    }
    const endpoint_candidate fast = candidate(table, "e1", at(6));
    const endpoint_candidate slow = candidate(table, "e2", at(6));
    BOOST_TEST(slow.slowness > 1.4 * fast.slowness);
    table.update(report("e2", 2), at(6));
    table.recordFirstEvent({ "e2", 1, { 800, 0, 0, 860.0 }, 43.0 }, at(6));
    BOOST_TEST(candidate(table, "e2", at(6)).slowness == 1.0);
    BOOST_TEST(candidate(table, "e2", at(6)).poolPace != nullptr);

    endpoint_table_options options;
    options.usePace = false;
    endpoint_table without("dc1", options);
    without.update(report("e1"), at(0));
    for (int index = 0; index < 60; ++index)
        without.recordFirstEvent({ "e1", 1, { 800, 0, 0, 43.0 }, 43.0 }, at(0.1 * index));
    BOOST_TEST(candidate(without, "e1", at(6)).poolPace == nullptr);
}

// Guards against all VMs sending what they have to an engine that has just started, and against
// limits on engines that ran before this VM started.
BOOST_AUTO_TEST_CASE(startedEngineIsSharedByFewVms)
{
    constexpr std::int64_t NowMs = 1'700'000'000'000;
    int users = 0;
    for (std::uint64_t vm = 0; vm < 77; ++vm) {
        endpoint_table_options options;
        options.returnSeed = shortHash("vm-" + std::to_string(vm));
        endpoint_table table("dc1", options);
        table.setVms(77);
        table.setUnixTime(NowMs, at(0));
        table.update(report("old", NowMs - 3'600'000, "127.0.0.1:2"), at(0));
        table.update(report("new", NowMs - 50), at(0));
        BOOST_TEST(std::isinf(candidate(table, "old", at(0)).tokensLeft));
        if (candidate(table, "new", at(0)).tokensLeft > 0.0) {
            ++users;
            table.callStarted("new", { 1500, 1600 }, at(0));
            BOOST_TEST(candidate(table, "new", at(0)).tokensLeft < 1500.0);
        }
        BOOST_TEST(std::isinf(candidate(table, "new", at(3)).tokensLeft));
    }
    BOOST_TEST(users >= 1);
    BOOST_TEST(users <= 6);
}
