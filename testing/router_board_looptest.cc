#define BOOST_TEST_MODULE router_board
#include "burdockhold/placement_inputs.h"
#include "burdockhold/router_board.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

using namespace burdockhold;

namespace {

using std::chrono::seconds;

router_settings settings()
{
    router_settings result;
    result.vmName = "vm-1";
    result.weightsBound = seconds(8);
    return result;
}

deployment withStores(int count)
{
    deployment result;
    result.version = 1;
    for (int number = 0; number < count; ++number) {
        deployment_pool pool;
        pool.name = "store" + std::to_string(number);
        pool.store = cache_store{ "10.0.0." + std::to_string(number) + ":1", "dc1" };
        result.pools.push_back(pool);
    }
    return result;
}

} // namespace

// Guards against a restarted VM that misjudges whether an engine's weights have expired. It sees
// which version is the newest but not when it was announced; only the other VMs know the time.
BOOST_AUTO_TEST_CASE(knownAnnouncementTimeReplacesAGuessedOne)
{
    router_board board(settings());
    BOOST_TEST(board.recordAnnouncedVersion("m", 3, seconds(7), true));
    BOOST_TEST(board.weightsExpired("m", 2));
    board.recordAnnouncedVersion("m", 3, seconds(6), true);
    BOOST_TEST(board.weightsExpired("m", 2));
    board.recordAnnouncedVersion("m", 3, seconds(1), false);
    BOOST_TEST(!board.weightsExpired("m", 2));
    board.recordAnnouncedVersion("m", 3, seconds(7), true);
    BOOST_TEST(!board.weightsExpired("m", 2));
    BOOST_TEST(!board.weightsExpired("m", 3));
}

// Guards against an engine two versions behind whose expiry is counted from the announcement of
// the newest version instead of the one after its own.
BOOST_AUTO_TEST_CASE(versionsExpireFromTheAnnouncementOfTheirSuccessor)
{
    router_board board(settings());
    board.recordAnnouncedVersion("m", 4, seconds(1), false);
    BOOST_TEST(!board.recordAnnouncedVersion("m", 3, seconds(7), false));
    BOOST_TEST(board.targetVersion("m") == 4);
    BOOST_TEST(board.weightsExpired("m", 2));
    BOOST_TEST(!board.weightsExpired("m", 3));
}

// Guards against a VM that learns of a version late, after a suspension or from a reader with an
// old view, and takes it for just announced: it would begin calls on older weights for another
// bound, and its digest would tell VMs that have started since the same.
BOOST_AUTO_TEST_CASE(versionThatIsReadLateMayHaveBeenAnnouncedLongAgo)
{
    router_board late(settings());
    late.recordAnnouncedVersion("m", 4, seconds(100), false);
    late.deploymentConfirmedAt = bootTimeNow() - seconds(20);
    BOOST_TEST(late.recordReadVersion("m", 5));
    BOOST_TEST(late.weightsExpired("m", 4));
    BOOST_TEST(late.announcedVersions.at("m").back().guessed);
    late.recordAnnouncedVersion("m", 5, seconds(1), false);
    BOOST_TEST(!late.weightsExpired("m", 4));

    router_board inTime(settings());
    inTime.deploymentConfirmedAt = bootTimeNow() - seconds(1);
    inTime.recordReadVersion("m", 5);
    BOOST_TEST(!inTime.weightsExpired("m", 4));
    BOOST_TEST(!inTime.announcedVersions.at("m").back().guessed);
}

// Guards against a VM that starts long after an announcement and begins calls on older weights
// before the digests of the others tell it the time. In two plays a VM that had been added began
// such a call 20 s and 28 s after the announcement.
BOOST_AUTO_TEST_CASE(startedVmBeginsNoCallsOnOlderWeightsBeforeItHasHeardTheOthers)
{
    router_board board(settings());
    board.fleetHeardAt = duration::min() / 2;
    board.recordReadVersion("m", 5);
    BOOST_TEST(board.weightsExpired("m", 4));
    BOOST_TEST(!board.weightsExpired("m", 5));
    board.fleetHeardAt = bootTimeNow(); // The others have started just as late.
    BOOST_TEST(!board.weightsExpired("m", 4));
}

// Guards against a VM that is cut off from the log and the other VMs and places calls, or continues
// streams, on a version whose successor it cannot know. Routes without keys have no bound on the
// age of the view.
BOOST_AUTO_TEST_CASE(noCallBeginsWhereANewerVersionMayHaveBeenMissed)
{
    router_board board(settings());
    board.recordAnnouncedVersion("m", 4, seconds(100), false);
    endpoint_report report;
    report.id = "e1";
    report.pool = "engines";
    report.slots = 8;
    report.weights = { { "m", 4 } };
    const time_point now = steadyNow();
    board.endpoints.update(report, now);
    deployment_pool engines;
    engines.name = report.pool;
    engines.engine = engine_traits{ 32, 75612, 262144, { "m" } };
    caller_request request;
    request.model = "m";
    const std::set<std::string> none;
    const auto excludedAt = [&](duration viewAge, duration fleetAge) {
        board.deploymentConfirmedAt = bootTimeNow() - viewAge;
        board.fleetHeardAt = bootTimeNow() - fleetAge;
        const placement_query query{ request, {},   &engines, engines.name, none,
                                     none,    true, false,    false,        {} };
        return placementCandidates(board, query, now).front().excluded;
    };
    BOOST_TEST((excludedAt(seconds(20), seconds(20)) == exclusion::ExpiredWeights));
    BOOST_TEST((excludedAt(seconds(1), seconds(20)) == exclusion::None));
    BOOST_TEST((excludedAt(seconds(20), seconds(1)) == exclusion::None)); // The log is down.
}

// Guards against the choice of an unavailable store, and against one store that receives all
// segments.
BOOST_AUTO_TEST_CASE(segmentsAreSpreadOverTheAvailableStores)
{
    router_board board(settings());
    const time_point now = steadyNow();
    BOOST_TEST(board.storeFor("part", "dc1", now) == nullptr);
    board.deployment = std::make_shared<const deployment_index>(withStores(3));
    std::map<std::string, int> segmentsPerStore;
    for (int segment = 0; segment < 300; ++segment)
        ++segmentsPerStore[board.storeFor(std::to_string(segment), "dc1", now)->address];
    BOOST_TEST(segmentsPerStore.size() == 3U);
    for (const auto &[address, count] : segmentsPerStore)
        BOOST_TEST(count > 50);
    const std::string unavailable = board.storeFor("part", "dc1", now)->address;
    board.markStoreUnavailable(unavailable, now);
    BOOST_TEST(board.storeFor("part", "dc1", now)->address != unavailable);
    BOOST_TEST(board.storeFor("part", "dc1", now + seconds(5))->address == unavailable);
}

// Guards against transfers between data centres, which take twice as long, although a store is
// available in the data centre of the segment's preferred endpoint.
BOOST_AUTO_TEST_CASE(storesInThePreferredDataCentreComeFirst)
{
    router_board board(settings());
    const time_point now = steadyNow();
    deployment stores = withStores(3);
    stores.pools[1].store->dataCentre = "dc2";
    board.deployment = std::make_shared<const deployment_index>(stores);
    for (int segment = 0; segment < 50; ++segment)
        BOOST_TEST(board.storeFor(std::to_string(segment), "dc2", now)->dataCentre == "dc2");
    board.markStoreUnavailable(stores.pools[1].store->address, now);
    BOOST_TEST(board.storeFor("part", "dc2", now)->dataCentre == "dc1");
}

// Guards against transfers that are unlimited, or never admitted, after a deployment states the
// rates of the links.
BOOST_AUTO_TEST_CASE(storeLinksAreLimitedByTheDeployedRates)
{
    router_board board(settings());
    const time_point now = steadyNow();
    deployment stores = withStores(1);
    deployment_pool engines;
    engines.name = "engines";
    engines.engine = engine_traits{ 32, 75612, 262144, { "m" } };
    stores.pools.push_back(engines);
    stores.pools[0].store->linkBytesPerSecond = 262144.0 * 100000.0; // 100,000 tokens a second.
    board.deployment = std::make_shared<const deployment_index>(stores);
    board.applyLimits(now);
    quota_ledger &link = board.storeLinkQuota(*stores.pools[0].store, now);
    double admitted = 0.0;
    for (int transfer = 0; transfer < 1000; ++transfer)
        admitted += link.tryAdmit(5000.0, now) ? 5000.0 : 0.0;
    BOOST_TEST(admitted > 0.0);
    BOOST_TEST(admitted <= 50000.0); // The burst of 0.2 s at twice the rate, plus one transfer.
}

// Guards against a read interval that grows with the number of VMs until a leaving endpoint
// receives calls after the bound. This happened with 61 VMs that relied on digests.
BOOST_AUTO_TEST_CASE(endpointReadIntervalKeepsTheLeavingBoundForAnyNumberOfVms)
{
    router_board board(settings());
    duration shortest = duration::max();
    for (const std::size_t vms : { 0, 1, 7, 60, 300, 1300 }) {
        board.liveVms.assign(vms, 1);
        const duration interval = board.endpointReadInterval();
        // A fifth of the bound is reserved for the call itself.
        BOOST_TEST(toSeconds(interval) <= 0.8 * toSeconds(board.settings.leavingBound) + 1e-9);
        shortest = std::min(shortest, interval);
    }
    BOOST_TEST(toSeconds(shortest) >= 0.3 * toSeconds(board.settings.leavingBound));
}

// Guards against a skipped version: an engine that refuses version 3 may have version 4 or 5.
BOOST_AUTO_TEST_CASE(nextAnnouncedVersionIsTheLowestNewerOne)
{
    router_board board(settings());
    BOOST_TEST(board.nextAnnouncedVersion("m", 3) == 0);
    board.recordAnnouncedVersion("m", 5, seconds(1), false);
    board.recordAnnouncedVersion("m", 4, seconds(3), false);
    BOOST_TEST(board.nextAnnouncedVersion("m", 3) == 4);
    BOOST_TEST(board.nextAnnouncedVersion("m", 4) == 5);
    BOOST_TEST(board.nextAnnouncedVersion("m", 5) == 0);
}

// Guards against switches of the board that change nothing.
BOOST_AUTO_TEST_CASE(disabledSlackAndReturnsAreNotUsed)
{
    const auto boardWithout = [](std::string_view names) {
        router_settings changed = settings();
        changed.mechanisms = valueOf(parseDisabledMechanisms(names));
        return std::make_unique<router_board>(changed);
    };
    const time_point now = steadyNow();
    // Without the guard, half of the slack may be used at once after a start.
    BOOST_TEST(boardWithout("start_guard")->tryRetry("pool", now));
    BOOST_TEST(!boardWithout("start_guard,shared_retry_slack")->tryRetry("pool", now));
    BOOST_TEST(!boardWithout("start_guard,shared_retry_slack")->tryOptionalRetry("pool", now));

    deployment_account account;
    account.name = "account";
    account.ratePerSecond = 100.0;
    account.burst = 1000.0;
    const auto returned = [&](std::string_view names) {
        const auto board = boardWithout(names);
        board->accountQuota(account, now).tryAdmit(10.0, now);
        board->returnTokens(account, 10.0, now);
        return board->accountQuota(account, now).returnedTotal();
    };
    BOOST_TEST(returned("") == 10.0);
    BOOST_TEST(returned("returned_tokens") == 0.0);
}
