#define BOOST_TEST_MODULE endpoint_choice
#include "burdockhold/endpoint_choice.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

const std::vector<std::string> names = [] {
    std::vector<std::string> made;
    made.reserve(300);
    for (int number = 0; number < 300; ++number)
        made.push_back("e" + std::to_string(number));
    return made;
}();

std::vector<endpoint_candidate> idleEngines(std::size_t count)
{
    std::vector<endpoint_candidate> engines;
    for (std::size_t index = 0; index < count; ++index) {
        endpoint_candidate engine;
        engine.id = names[index];
        engine.slots = 128;
        engine.cacheTokens = 95573;
        engines.push_back(engine);
    }
    return engines;
}

placement_need longPrompt(const std::string &subject)
{
    placement_need need;
    need.affinityKey = "m/" + subject;
    need.segmentTokens = 3780;
    need.ownTokens = 2890;
    need.outputTokens = 17;
    need.promptTokens = 9190;
    return need;
}

} // namespace

// Guards against VMs that send the same prompt to different engines, each of which reads it anew.
BOOST_AUTO_TEST_CASE(idlePoolSendsAPromptHome)
{
    const auto engines = idleEngines(9);
    for (int subject = 0; subject < 200; ++subject) {
        const placement_need need = longPrompt(std::to_string(subject));
        const auto home = preferredEndpoint(engines, need.affinityKey);
        for (std::uint64_t seed = 0; seed < 5; ++seed)
            BOOST_TEST(chooseEndpoint(engines, need, seed)->index == *home);
    }
}

// Guards against prompts that change their home when another engine comes or goes.
BOOST_AUTO_TEST_CASE(homesStayWhenAnotherEngineLeaves)
{
    const auto all = idleEngines(9);
    auto fewer = all;
    fewer.erase(fewer.begin() + 4);
    for (int subject = 0; subject < 500; ++subject) {
        const std::string key = std::to_string(subject);
        const std::string_view before = all[*preferredEndpoint(all, key)].id;
        if (before != names[4])
            BOOST_TEST(fewer[*preferredEndpoint(fewer, key)].id == before);
    }
}

// Load answered: engines lost while the rest are full (scale day of nine engines, three left).
// Guards against requests that pile up at engines that cannot keep the parts of prompts any more.
BOOST_AUTO_TEST_CASE(fullEnginesGetNothingMore)
{
    auto engines = idleEngines(3);
    for (endpoint_candidate &engine : engines) {
        engine.running = 60;
        engine.activeTokens = 72000;
    }
    BOOST_TEST(!chooseEndpoint(engines, longPrompt("a"), 0).has_value());
    engines[1].activeTokens = 40000;
    BOOST_TEST(chooseEndpoint(engines, longPrompt("a"), 0)->index == 1U);
}

// Load answered: many long prompts at once. Guards against an engine that reads prompts without a
// pause, which slows all of its streams.
BOOST_AUTO_TEST_CASE(waitingPromptsAreBoundedAtAnEngine)
{
    auto engines = idleEngines(9);
    std::map<std::size_t, std::int64_t> unread;
    int placed = 0;
    for (int number = 0; number < 400; ++number) {
        const placement_need need = longPrompt(std::to_string(number));
        const auto choice = chooseEndpoint(engines, need, 0);
        if (!choice)
            continue;
        ++placed;
        endpoint_candidate &engine = engines[choice->index];
        ++engine.running;
        engine.pendingPrefillTokens += need.promptTokens - choice->expectedCachedTokens;
        engine.activeTokens += need.promptTokens + need.outputTokens;
    }
    const endpoint_choice_options options;
    BOOST_TEST(placed >= 9);
    for (const endpoint_candidate &engine : engines)
        BOOST_TEST(engine.pendingPrefillTokens <= options.maxPendingPrefillTokens);
}

// Guards against a prompt larger than the limits that is never served.
BOOST_AUTO_TEST_CASE(idleEngineTakesAPromptOfAnySize)
{
    placement_need need = longPrompt("a");
    need.ownTokens = 80000;
    need.promptTokens = 90000;
    BOOST_TEST(chooseEndpoint(idleEngines(2), need, 0).has_value());
}

// Guards against calls to endpoints that must get none.
BOOST_AUTO_TEST_CASE(excludedEndpointIsNeverChosen)
{
    std::mt19937 random(9);
    for (int round = 0; round < 2000; ++round) {
        auto engines = idleEngines(1 + random() % 9);
        bool anyFree = false;
        for (endpoint_candidate &engine : engines) {
            engine.running = static_cast<int>(random() % 130);
            engine.activeTokens = static_cast<std::int64_t>(random() % 95573);
            engine.excluded = static_cast<exclusion>(random() % 5);
            engine.suspect = random() % 3 == 0;
            anyFree = anyFree || (engine.excluded == exclusion::None && engine.running == 0);
        }
        const auto choice = chooseEndpoint(engines, longPrompt("x"), random());
        if (choice) {
            BOOST_TEST((engines[choice->index].excluded == exclusion::None));
            BOOST_TEST(engines[choice->index].running < engines[choice->index].slots);
        }
        BOOST_TEST((choice.has_value() || !anyFree));
    }
}

// Guards against a grey endpoint that keeps its share because its health check is good.
BOOST_AUTO_TEST_CASE(failingServiceGetsLess)
{
    std::vector<endpoint_candidate> services = idleEngines(4);
    for (endpoint_candidate &service : services) {
        service.slots = 6;
        service.recentCalls = 20.0;
    }
    services[2].failureShare = 0.45;
    for (std::uint64_t seed = 0; seed < 100; ++seed)
        BOOST_TEST(chooseEndpoint(services, {}, seed)->index != 2U);
}

// Guards against equal services of which the first gets all calls.
BOOST_AUTO_TEST_CASE(equalServicesShareTheCalls)
{
    const auto services = idleEngines(4);
    std::map<std::size_t, int> calls;
    for (std::uint64_t seed = 0; seed < 400; ++seed)
        ++calls[chooseEndpoint(services, {}, seed)->index];
    for (std::size_t index = 0; index < services.size(); ++index)
        BOOST_TEST(calls[index] == 100);
}

// Guards against parts copied from an engine whose weights differ.
BOOST_AUTO_TEST_CASE(partsAreNotCopiedFromOldWeights)
{
    auto engines = idleEngines(3);
    const placement_need need = longPrompt("a");
    const std::size_t home = *preferredEndpoint(engines, need.affinityKey);
    engines[home].holdsSegment = true;
    engines[home].staleWeights = true;
    engines[home].pendingPrefillTokens = 11000;
    const auto choice = chooseEndpoint(engines, need, 0);
    BOOST_REQUIRE(choice.has_value());
    BOOST_REQUIRE(choice->index != home);
    BOOST_TEST(!choice->copyFrom.has_value());
}

// Guards against a load that differs by a few requests and sends prompts away from the engines that
// hold their parts: each copy takes the store's link and makes another part yield.
BOOST_AUTO_TEST_CASE(smallDifferencesOfLoadLeaveAPromptAtItsHome)
{
    auto engines = idleEngines(9);
    placement_need need = longPrompt("a");
    need.storeHoldsSegment = true;
    const std::size_t home = *preferredEndpoint(engines, need.affinityKey);
    engines[home].running = 20;
    engines[home].pendingPrefillTokens = 1500;
    BOOST_TEST(chooseEndpoint(engines, need, 3)->index == home);
    engines[home].pendingPrefillTokens = 11000;
    BOOST_TEST(chooseEndpoint(engines, need, 3)->index != home);
}

// Guards against VMs that, with views of the same age, all send to the one idle engine of a large
// pool until the next digests.
BOOST_AUTO_TEST_CASE(manyVmsDoNotAllChooseTheSameIdleEngine)
{
    auto engines = idleEngines(60);
    for (endpoint_candidate &engine : engines) {
        engine.running = 10;
        engine.pendingPrefillTokens = 2000;
    }
    engines[17].running = 1;
    engines[17].pendingPrefillTokens = 0;
    std::mt19937_64 random(11);
    int atIdle = 0;
    for (int call = 0; call < 300; ++call) {
        placement_need need = longPrompt(std::to_string(call));
        need.segmentTokens = 80;
        need.promptTokens = 700;
        need.ownTokens = 620;
        atIdle += chooseEndpoint(engines, need, random())->index == 17 ? 1 : 0;
    }
    // An even share is 5; with all engines compared it is 300.
    BOOST_TEST(atIdle > 5);
    BOOST_TEST(atIdle < 75);
}

// Guards against a refusal while an engine outside the sample has room.
BOOST_AUTO_TEST_CASE(lastEngineWithRoomOfALargePoolIsFound)
{
    auto engines = idleEngines(300);
    for (endpoint_candidate &engine : engines)
        engine.running = engine.slots;
    engines[211].running = 0;
    std::mt19937_64 random(12);
    for (int call = 0; call < 50; ++call) {
        const auto choice = chooseEndpoint(engines, longPrompt(std::to_string(call)), random());
        BOOST_REQUIRE(choice.has_value());
        BOOST_TEST(choice->index == 211U);
    }
}
