#define BOOST_TEST_MODULE router
#include <boost/test/unit_test.hpp>

#include "burdockhold/router.h"

#include <map>

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
    rendezvous_router router;
    const auto result = router.choose(config, request);
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
    const std::string block(PromptBlockBytes, 'x');
    const std::string expected = chosen(config, makeRequest(block));
    for (int i = 0; i < 50; ++i) {
        const std::string prompt = block + std::to_string(i);
        BOOST_TEST(chosen(config, makeRequest(prompt)) == expected);
    }
}
