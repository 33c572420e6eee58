#define BOOST_TEST_MODULE engine_lanes
#include "burdockhold/engine_lanes.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

const std::vector<std::string> engineIds = [] {
    std::vector<std::string> ids;
    ids.reserve(90);
    for (int number = 0; number < 90; ++number)
        ids.push_back("engine-" + std::to_string(number));
    return ids;
}();

std::vector<endpoint_candidate> idleEngines(std::size_t count)
{
    std::vector<endpoint_candidate> engines(count);
    for (std::size_t index = 0; index < count; ++index) {
        engines[index].id = engineIds[index];
        engines[index].slots = 24;
        engines[index].cacheTokens = 96000;
    }
    return engines;
}

std::set<std::string> shortLane(std::vector<endpoint_candidate> engines, double share)
{
    assignLanes(engines, share);
    std::set<std::string> ids;
    for (const endpoint_candidate &engine : engines) {
        if (engine.lane == engine_lane::Short)
            ids.insert(std::string(engine.id));
    }
    return ids;
}

placement_need needOf(engine_lane lane, std::int64_t promptTokens)
{
    placement_need need;
    need.affinityKey = "m/x";
    need.unsharedTokens = promptTokens;
    need.promptTokens = promptTokens;
    need.outputTokens = 20;
    need.lane = lane;
    return need;
}

time_point at(int ms)
{
    return time_point(std::chrono::milliseconds(100000 + ms));
}

} // namespace

// Guards against VMs that use different engines for short prompts: the order in which they know the
// engines does not matter, and a slightly different demand moves only engines at the boundary.
BOOST_AUTO_TEST_CASE(allVmsAgreeOnTheLanes)
{
    auto engines = idleEngines(90);
    const auto lane = shortLane(engines, 0.2);
    BOOST_TEST(lane.size() == 18U);
    std::mt19937 random(3);
    std::shuffle(engines.begin(), engines.end(), random);
    BOOST_TEST(shortLane(engines, 0.2) == lane);
    const auto larger = shortLane(engines, 0.23);
    BOOST_TEST(larger.size() == 21U);
    BOOST_TEST(std::includes(larger.begin(), larger.end(), lane.begin(), lane.end()));
}

// Guards against a division that takes capacity from a pool that does not need one.
BOOST_AUTO_TEST_CASE(smallPoolsAndDemandOfOneKindAreNotDivided)
{
    const engine_lane_options options;
    BOOST_TEST(shortLaneShare({ 5e5, 5e5 }, options.minEngines - 1, options) == 0.0);
    BOOST_TEST(shortLaneShare({ 5e6, 0.0 }, 90, options) == 0.0);
    BOOST_TEST(shortLaneShare({ 0.0, 5e6 }, 90, options) == 0.0);
    const double share = shortLaneShare({ 2e5, 1e6 }, 90, options);
    BOOST_TEST(share > 0.2);
    BOOST_TEST(share <= options.maxShortShare);
    BOOST_TEST(shortLaneShare({ 1e6, 1e6 }, 90, options) == options.maxShortShare);
    BOOST_TEST(shortLane(idleEngines(20), 0.0).empty());
}

// Guards against demand that outlives its VM, and against a statement that counts twice.
BOOST_AUTO_TEST_CASE(demandOfOtherVmsIsReplacedAndExpires)
{
    lane_demand demand;
    demand.record(engine_lane::Short, needOf(engine_lane::Short, 800), at(0));
    demand.applyPeerWork("vm-2", { 1000.0, 5000.0 }, at(0));
    demand.applyPeerWork("vm-2", { 2000.0, 4000.0 }, at(100));
    const lane_work total = demand.totalWork(at(100));
    BOOST_TEST(total.longTokens == 4000.0);
    BOOST_TEST(total.shortTokens > 2800.0);
    BOOST_TEST(total.shortTokens < 3000.0);
    BOOST_TEST(demand.totalWork(at(6000)).longTokens == 0.0);
}

// Guards against a short prompt behind a long one while an engine of its own lane has room, and
// against one that is refused while only the other lane has room.
BOOST_AUTO_TEST_CASE(requestsKeepToTheirLaneWhileItHasRoom)
{
    auto engines = idleEngines(30);
    assignLanes(engines, 0.2);
    for (unsigned seed = 0; seed < 200; ++seed) {
        const auto choice = chooseEndpoint(engines, needOf(engine_lane::Short, 800), seed);
        BOOST_TEST((engines[choice->index].lane == engine_lane::Short));
        const auto other = chooseEndpoint(engines, needOf(engine_lane::Long, 9000), seed);
        BOOST_TEST((engines[other->index].lane == engine_lane::Long));
    }
    for (endpoint_candidate &engine : engines) {
        if (engine.lane == engine_lane::Short)
            engine.running = engine.slots;
    }
    const auto spilled = chooseEndpoint(engines, needOf(engine_lane::Short, 800), 1);
    BOOST_REQUIRE(spilled.has_value());
    BOOST_TEST((engines[spilled->index].lane == engine_lane::Long));
}

// Guards against prompts that are urgent but count as long, and the reverse.
BOOST_AUTO_TEST_CASE(lengthIsJudgedByTheShortestTarget)
{
    const engine_lane_options options;
    BOOST_TEST((laneOf(828, std::chrono::milliseconds(250), options) == engine_lane::Short));
    BOOST_TEST((laneOf(9190, std::chrono::milliseconds(250), options) == engine_lane::Long));
    BOOST_TEST((laneOf(9190, std::chrono::milliseconds(1000), options) == engine_lane::Short));
}
