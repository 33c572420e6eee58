#define BOOST_TEST_MODULE endpoint_choice
#include "burdockhold/endpoint_choice.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

const std::vector<std::string> endpointIds = [] {
    std::vector<std::string> ids;
    ids.reserve(300);
    for (int number = 0; number < 300; ++number)
        ids.push_back("e" + std::to_string(number));
    return ids;
}();

std::vector<endpoint_candidate> idleEngines(std::size_t count)
{
    std::vector<endpoint_candidate> engines;
    for (std::size_t index = 0; index < count; ++index) {
        endpoint_candidate engine;
        engine.id = endpointIds[index];
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
    need.unsharedTokens = 2890;
    need.outputTokens = 17;
    need.promptTokens = 9190;
    return need;
}

} // namespace

// Guards against VMs that send the same prompt to different engines, each of which computes it.
BOOST_AUTO_TEST_CASE(idlePoolUsesThePreferredEndpoint)
{
    const auto engines = idleEngines(9);
    for (int subject = 0; subject < 200; ++subject) {
        const placement_need need = longPrompt(std::to_string(subject));
        const auto preferred = preferredEndpoint(engines, need.affinityKey);
        for (std::uint64_t seed = 0; seed < 5; ++seed)
            BOOST_TEST(chooseEndpoint(engines, need, seed)->index == *preferred);
    }
}

// Guards against prompts whose preferred endpoint changes when another engine joins or leaves.
BOOST_AUTO_TEST_CASE(preferredEndpointIsStableWhenAnotherEngineLeaves)
{
    const auto all = idleEngines(9);
    auto fewer = all;
    fewer.erase(fewer.begin() + 4);
    for (int subject = 0; subject < 500; ++subject) {
        const std::string key = std::to_string(subject);
        const std::string_view before = all[*preferredEndpoint(all, key)].id;
        if (before != endpointIds[4])
            BOOST_TEST(fewer[*preferredEndpoint(fewer, key)].id == before);
    }
}

// Guards against requests that pile up at engines without memory left for shared segments. This
// happened when a pool of nine engines lost six and the remaining three were full.
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

// Guards against an engine that prefills without pause, which slows all of its streams. This
// happens when many long prompts arrive at once.
BOOST_AUTO_TEST_CASE(waitingPromptsAreBoundedAtAnEngine)
{
    auto engines = idleEngines(9);
    std::map<std::size_t, std::int64_t> prefillTokens;
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

// Guards against a prompt that exceeds the limits and is never served.
BOOST_AUTO_TEST_CASE(idleEngineTakesAPromptOfAnySize)
{
    placement_need need = longPrompt("a");
    need.unsharedTokens = 80000;
    need.promptTokens = 90000;
    BOOST_TEST(chooseEndpoint(idleEngines(2), need, 0).has_value());
}

// Guards against calls to excluded or full endpoints, and against a request that is refused
// although an idle endpoint is available.
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

// Guards against an endpoint that fails many calls but keeps its share of them because it passes
// its health check.
BOOST_AUTO_TEST_CASE(failingServiceIsAvoided)
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

// Guards against sending all calls to the first of several equal services.
BOOST_AUTO_TEST_CASE(equalServicesShareTheCalls)
{
    const auto services = idleEngines(4);
    std::map<std::size_t, int> calls;
    for (std::uint64_t seed = 0; seed < 400; ++seed)
        ++calls[chooseEndpoint(services, {}, seed)->index];
    for (std::size_t index = 0; index < services.size(); ++index)
        BOOST_TEST(calls[index] == 100);
}

// Guards against copying a segment from an engine with different weights.
BOOST_AUTO_TEST_CASE(segmentsAreNotCopiedFromStaleWeights)
{
    auto engines = idleEngines(3);
    const placement_need need = longPrompt("a");
    const std::size_t preferred = *preferredEndpoint(engines, need.affinityKey);
    engines[preferred].holdsSegment = true;
    engines[preferred].staleWeights = true;
    engines[preferred].pendingPrefillTokens = 11000;
    const auto choice = chooseEndpoint(engines, need, 0);
    BOOST_REQUIRE(choice.has_value());
    BOOST_REQUIRE(choice->index != preferred);
    BOOST_TEST(!choice->copyFrom.has_value());
}

// Guards against prompts that leave the engine that caches their segments because its load is
// higher by a few requests. Each copy uses the store's link and evicts another segment.
BOOST_AUTO_TEST_CASE(smallLoadDifferencesKeepThePreferredEndpoint)
{
    auto engines = idleEngines(9);
    placement_need need = longPrompt("a");
    need.storeHoldsSegment = true;
    const std::size_t preferred = *preferredEndpoint(engines, need.affinityKey);
    engines[preferred].running = 20;
    engines[preferred].pendingPrefillTokens = 1500;
    BOOST_TEST(chooseEndpoint(engines, need, 3)->index == preferred);
    engines[preferred].pendingPrefillTokens = 11000;
    BOOST_TEST(chooseEndpoint(engines, need, 3)->index != preferred);
}

// Guards against VMs with views of the same age that all send requests to the one idle engine of a
// large pool until the next digests arrive.
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
        need.unsharedTokens = 620;
        atIdle += chooseEndpoint(engines, need, random())->index == 17 ? 1 : 0;
    }
    // An even distribution gives 5 calls; comparing all engines would give 300.
    BOOST_TEST(atIdle > 5);
    BOOST_TEST(atIdle < 75);
}

// Guards against a refusal while an engine outside the sample has capacity.
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

// Guards against a logged expectation that contains penalties: it could not be compared with the
// time that came.
BOOST_AUTO_TEST_CASE(expected_first_event_has_no_penalties)
{
    std::vector<endpoint_candidate> engines = idleEngines(1);
    engines[0].pendingPrefillTokens = 5000;
    engines[0].running = 4;
    engines[0].holdsSegment = true;
    const placement_need need = longPrompt("s");
    const auto clean = chooseEndpoint(engines, need, 0);
    engines[0].suspect = true;
    engines[0].staleWeights = true;
    const auto penalized = chooseEndpoint(engines, need, 0);
    BOOST_TEST(penalized->expectedMs > clean->expectedMs + 1000.0);
    BOOST_TEST(penalized->expectedFirstEventMs == clean->expectedFirstEventMs);
    BOOST_TEST(clean->tokensAhead == 5000);
    BOOST_TEST(clean->unreadTokens == need.unsharedTokens);
    const endpoint_choice_options options;
    const double tokens = static_cast<double>(5000 + need.unsharedTokens);
    BOOST_TEST(clean->expectedFirstEventMs
                       == options.firstEventBaseMs + tokens / options.prefillTokensPerMs,
               boost::test_tools::tolerance(1e-9));
}

// Guards against an engine in a slow moment that gets as much as the others, and against a limit
// that excludes an engine from a prompt which it has cached.
BOOST_AUTO_TEST_CASE(slow_and_limited_engines_get_less)
{
    std::vector<endpoint_candidate> engines = idleEngines(2);
    const pace_line line{ 27.0, 1.0 / 40.0, 0.2, 1.0, 0.4 };
    for (endpoint_candidate &engine : engines) {
        engine.poolPace = &line;
        engine.holdsSegment = true;
        engine.running = 1;
        engine.pendingPrefillTokens = 2000;
    }
    placement_need need = longPrompt("s");
    engines[0].slowness = 2.5;
    engines[1].pendingPrefillTokens = 4500;
    const auto choice = chooseEndpoint(engines, need, 0);
    BOOST_REQUIRE(choice);
    BOOST_TEST(choice->index == 1U);
    BOOST_TEST(choice->expectedErrorMs == 0.4 * choice->expectedFirstEventMs,
               boost::test_tools::tolerance(1e-9));

    engines[0].pendingPrefillTokens = 6000; // Half of what an engine at full speed may have.
    engines[1].tokensLeft = 0.0;
    BOOST_TEST(!chooseEndpoint(engines, need, 0).has_value());
    need.unsharedTokens = 0;
    BOOST_TEST(chooseEndpoint(engines, need, 0)->index == 1U);
}
