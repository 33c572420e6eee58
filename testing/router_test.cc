#define BOOST_TEST_MODULE router
#include <boost/test/unit_test.hpp>

#include "burdockhold/placement_router.h"

#include <map>
#include <set>

using namespace burdockhold;

namespace {

catalogue makeCatalogue(int endpoints)
{
    catalogue config;
    for (int i = 0; i < endpoints; ++i) {
        const std::string name = "e" + std::to_string(i);
        endpoint_entry entry;
        entry.url = "http://" + name;
        entry.pool = "p";
        config.endpoints[name].value = entry;
    }
    return config;
}

routing_request makeRequest(std::string_view prompt)
{
    routing_request request;
    request.pool = "p";
    request.identity = { "acme", "m", "", "v1" };
    request.prompt = prompt;
    return request;
}

std::string chosen(const catalogue &config, const routing_request &request)
{
    placement_router router;
    const auto result = router.choose(config, request, time_point(std::chrono::hours(1)));
    return isOk(result) ? valueOf(result).endpoint : "";
}

} // namespace

// Guards against work for endpoints that are leaving, of another pool or role, or failed before.
BOOST_AUTO_TEST_CASE(choosesOnlyCandidates)
{
    catalogue config = makeCatalogue(5);
    config.endpoints["e0"].value.state = endpoint_state::Leaving;
    config.endpoints["e1"].value.pool = "other";
    config.endpoints["e2"].value.role = endpoint_role::Service;
    routing_request request = makeRequest("hello");
    request.excluded = { "e3" };
    BOOST_TEST(chosen(config, request) == "e4");
    request.excluded.insert("e4");
    BOOST_TEST(chosen(config, request).empty());
}

// Guards against a pool change that moves more prompts than it must: only those of the endpoint
// that went.
BOOST_AUTO_TEST_CASE(movesOnlyWhatItMust)
{
    const catalogue all = makeCatalogue(10);
    catalogue fewer = all;
    fewer.endpoints.erase("e3");
    for (int i = 0; i < 1000; ++i) {
        const std::string prompt = "prompt " + std::to_string(i);
        const std::string before = chosen(all, makeRequest(prompt));
        const std::string after = chosen(fewer, makeRequest(prompt));
        BOOST_REQUIRE((before == after || before == "e3"));
    }
}

// Guards against shares that ignore the weights. The seedless hash makes the counts fixed.
BOOST_AUTO_TEST_CASE(followsWeights)
{
    catalogue config = makeCatalogue(2);
    config.endpoints["e0"].value.weight = 3.0;
    std::map<std::string, int> counts;
    for (int i = 0; i < 10000; ++i)
        ++counts[chosen(config, makeRequest("prompt " + std::to_string(i)))];
    BOOST_TEST(counts["e0"] > 7300);
    BOOST_TEST(counts["e0"] < 7700);
}

// Guards against identities that share cache entries because their joined names are equal.
BOOST_AUTO_TEST_CASE(saltSeparatesIdentities)
{
    BOOST_TEST(cacheSalt({ "ab", "c", "", "v" }) != cacheSalt({ "a", "bc", "", "v" }));
    BOOST_TEST(cacheSalt({ "a", "m", "", "v1" }) != cacheSalt({ "a", "m", "", "v2" }));
    BOOST_TEST(cacheSalt({ "a", "m", "", "v1" }) != cacheSalt({ "b", "m", "", "v1" }));
}

// Guards against a prompt's later text that moves it away from the endpoint with its prefix.
BOOST_AUTO_TEST_CASE(firstBlockDecides)
{
    const catalogue config = makeCatalogue(20);
    const std::string block(8000, 'x'); // 2,000 tokens of 4 bytes.
    const std::string expected = chosen(config, makeRequest(block));
    for (int i = 0; i < 50; ++i) {
        const std::string prompt = block + std::to_string(i);
        BOOST_TEST(chosen(config, makeRequest(prompt)) == expected);
    }
}

namespace {

constexpr time_point Start{ std::chrono::hours(1) };

/// Returns the endpoints that 100 prompts go to.
std::set<std::string> chosenOf100(placement_router &router, const catalogue &config, time_point now)
{
    std::set<std::string> all;
    for (int i = 0; i < 100; ++i) {
        const std::string prompt = "prompt " + std::to_string(i);
        const auto result = router.choose(config, makeRequest(prompt), now);
        if (isOk(result))
            all.insert(valueOf(result).endpoint);
    }
    return all;
}

engine_load loadOf(const std::string &incarnation, const std::string &version)
{
    engine_load load;
    load.incarnation = incarnation;
    load.weightsVersion = version;
    return load;
}

} // namespace

// Guards against requests to engines with other weights, and against a start that waits for the
// first reports.
BOOST_AUTO_TEST_CASE(onlyTheWantedVersionOrAnUnknownOne)
{
    const catalogue config = makeCatalogue(3);
    placement_router router;
    BOOST_TEST(chosenOf100(router, config, Start).size() == 3u);
    router.loadReported("e0", loadOf("i0", "v0"), Start, Start);
    router.loadReported("e1", loadOf("i1", "v1"), Start, Start);
    BOOST_TEST((chosenOf100(router, config, Start) == std::set<std::string>{ "e1", "e2" }));
    router.loadReported("e0", loadOf("i0", "v1"), Start, Start);
    BOOST_TEST(chosenOf100(router, config, Start).size() == 3u);
}

// Guards against expecting what a dead incarnation had cached (invariant 1), and against a late
// response of it that hides the new incarnation.
BOOST_AUTO_TEST_CASE(newIncarnationHasNothingCached)
{
    const catalogue config = makeCatalogue(1);
    placement_router router;
    const std::string prompt(25000, 'x');
    const routing_request request = makeRequest(prompt);
    router.loadReported("e0", loadOf("first", "v1"), Start, Start);
    const auto sent = router.choose(config, request, Start);
    BOOST_REQUIRE(isOk(sent));
    // The rule expects what other VMs sent; this VM's own requests are known for certain.
    BOOST_TEST(valueOf(sent).ownTokens == 0.0);
    BOOST_TEST(valueOf(router.choose(config, request, Start)).ownTokens == 6000.0);

    const time_point later = Start + std::chrono::seconds(1);
    router.loadReported("e0", loadOf("second", "v1"), later, later);
    attempt_report late;
    late.outcome = attempt_outcome::Succeeded;
    late.startedAt = Start;
    late.incarnation = "first";
    late.weightsVersion = "v1";
    router.attemptEnded(request, valueOf(sent), late, later);
    BOOST_TEST(valueOf(router.choose(config, request, later)).ownTokens == 0.0);
    BOOST_TEST(valueOf(router.choose(config, request, later)).incarnation == "second");
}

// Guards against work for an endpoint whose polls fail, and against ejecting more than half.
BOOST_AUTO_TEST_CASE(missedPollsEjectAtMostHalf)
{
    const catalogue config = makeCatalogue(4);
    placement_router router;
    chosenOf100(router, config, Start);
    for (int i = 0; i < 5; ++i) {
        for (const char *endpoint : { "e0", "e1", "e2" })
            router.loadMissed(endpoint, Start);
    }
    BOOST_TEST((chosenOf100(router, config, Start) == std::set<std::string>{ "e2", "e3" }));
    router.loadReported("e0", loadOf("new", "v1"), Start, Start);
    const time_point later = Start + std::chrono::seconds(2);
    BOOST_TEST(chosenOf100(router, config, later).size() == 4u);
}

// Guards against retries without a bound, and against a catalogue change that refills the budget.
BOOST_AUTO_TEST_CASE(retryBudgetSurvivesACatalogueChange)
{
    catalogue config = makeCatalogue(2);
    config.offset = 1;
    placement_router router;
    BOOST_REQUIRE(isOk(router.choose(config, makeRequest("p"), Start)));
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(router.tryRetry(makeRequest("p"), Start));
    BOOST_TEST(!router.tryRetry(makeRequest("p"), Start));
    config.offset = 2;
    config.endpoints.erase("e1");
    BOOST_REQUIRE(isOk(router.choose(config, makeRequest("p"), Start)));
    BOOST_TEST(!router.tryRetry(makeRequest("p"), Start));
}

// Guards against load reports that are taken although they are incomplete.
BOOST_AUTO_TEST_CASE(loadReportsAreChecked)
{
    const auto good = parseLoad(
            R"({"incarnation":"i","weights_version":"v1","queued_tokens":7,"running":2})");
    BOOST_REQUIRE(isOk(good));
    BOOST_TEST(valueOf(good).queuedTokens == 7);
    BOOST_TEST(valueOf(good).cachedBlocks == 0);
    for (const char *bad : { "", "[]", R"({"incarnation":"i"})", R"({"weights_version":"v"})",
                             R"({"incarnation":"i","weights_version":"v","running":-1})",
                             R"({"incarnation":"i","weights_version":"v","running":"x"})" })
        BOOST_TEST(!isOk(parseLoad(bad)));
}
