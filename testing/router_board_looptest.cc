#define BOOST_TEST_MODULE router_board
#include "burdockhold/router_board.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace burdockhold;

namespace {

using std::chrono::seconds;

router_settings settings()
{
    router_settings made;
    made.vmName = "vm-1";
    made.weightsBound = seconds(8);
    return made;
}

deployment withStores(int count)
{
    deployment made;
    made.version = 1;
    for (int number = 0; number < count; ++number) {
        deployment_pool pool;
        pool.name = "store" + std::to_string(number);
        pool.store = cache_store{ "10.0.0." + std::to_string(number) + ":1", "dc1" };
        made.pools.push_back(pool);
    }
    return made;
}

} // namespace

// Guards against engines that a restarted VM takes for expired, or for good, since it only knows
// that a version is the newest: the other VMs know when it was named.
BOOST_AUTO_TEST_CASE(guessedTimeOfAVersionYieldsToAKnownOne)
{
    router_board board(settings());
    BOOST_TEST(board.noteNamed("m", 3, seconds(7), true));
    BOOST_TEST(board.weightsExpired("m", 2));
    board.noteNamed("m", 3, seconds(6), true);
    BOOST_TEST(board.weightsExpired("m", 2));
    board.noteNamed("m", 3, seconds(1), false);
    BOOST_TEST(!board.weightsExpired("m", 2));
    board.noteNamed("m", 3, seconds(7), true);
    BOOST_TEST(!board.weightsExpired("m", 2));
    BOOST_TEST(!board.weightsExpired("m", 3));
}

// Guards against an engine two versions behind whose time counts from the newest version.
BOOST_AUTO_TEST_CASE(eachVersionIsJudgedFromItsOwnTime)
{
    router_board board(settings());
    board.noteNamed("m", 4, seconds(1), false);
    BOOST_TEST(!board.noteNamed("m", 3, seconds(7), false));
    BOOST_TEST(board.wantedVersion("m") == 4);
    BOOST_TEST(board.weightsExpired("m", 2));
    BOOST_TEST(!board.weightsExpired("m", 3));
}

// Guards against VMs that look for a part in different stores, and one store that gets all parts.
BOOST_AUTO_TEST_CASE(partsAreSpreadOverTheStoresThatAreThere)
{
    router_board board(settings());
    const time_point now = steadyNow();
    BOOST_TEST(board.storeFor("part", now).empty());
    board.deployment = std::make_shared<const deployment_index>(withStores(3));
    std::map<std::string, int> parts;
    for (int part = 0; part < 300; ++part)
        ++parts[board.storeFor(std::to_string(part), now)];
    BOOST_TEST(parts.size() == 3U);
    for (const auto &[address, count] : parts)
        BOOST_TEST(count > 50);
    const std::string lost = board.storeFor("part", now);
    board.storeIsAway(lost, now);
    BOOST_TEST(board.storeFor("part", now) != lost);
    BOOST_TEST(board.storeFor("part", now + seconds(5)) == lost);
}
