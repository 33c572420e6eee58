#define BOOST_TEST_MODULE prompt_parts
#include "burdockhold/prompt_segments.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace burdockhold;

namespace {

caller_request requestOf(const std::string &attemptId)
{
    caller_request request;
    request.attemptId = attemptId;
    request.model = "m";
    request.promptTokens = 1460;
    request.maxOutputTokens = 90;
    request.prefix = { { "p1", 800 }, { "p2", 410 }, { "own-" + attemptId, 250 } };
    return request;
}

deployment_account accountOf(const std::string &name, bool isolated)
{
    deployment_account account;
    account.name = name;
    account.isolated = isolated;
    return account;
}

} // namespace

// Guards against a request that runs on parts made under other weights.
BOOST_AUTO_TEST_CASE(versionsShareNoParts)
{
    const caller_request request = requestOf("a");
    BOOST_TEST(cacheSalt(request, nullptr, 1) != cacheSalt(request, nullptr, 2));
    BOOST_TEST(deepestSegmentName(request, nullptr, 1) != deepestSegmentName(request, nullptr, 2));
}

// Guards against parts made under unknown weights that another request takes for those of a known
// or of its own unknown version (STALE, found by a hunt on a VM that had just started).
BOOST_AUTO_TEST_CASE(unknownWeightsShareNothing)
{
    const caller_request one = requestOf("a");
    const caller_request other = requestOf("b");
    BOOST_TEST(cacheSalt(one, nullptr, 0) != cacheSalt(other, nullptr, 0));
    BOOST_TEST(cacheSalt(one, nullptr, 0) != cacheSalt(one, nullptr, 1));
}

// Guards against an isolated account that shares parts, by a name that looks like a version too.
BOOST_AUTO_TEST_CASE(isolatedAccountsShareNothing)
{
    const caller_request request = requestOf("a");
    const deployment_account walled = accountOf("s", true);
    const deployment_account other = accountOf("t", true);
    const deployment_account open = accountOf("s", false);
    BOOST_TEST(cacheSalt(request, &walled, 1) != cacheSalt(request, &other, 1));
    BOOST_TEST(cacheSalt(request, &walled, 1) != cacheSalt(request, &open, 1));
    BOOST_TEST(cacheSalt(request, &open, 1) == cacheSalt(request, nullptr, 1));
    BOOST_TEST(placementNeedFor(request, &walled).affinityKey
               != placementNeedFor(request, &open).affinityKey);
}

// Guards against homes that move with each new version, which empties every engine twice.
BOOST_AUTO_TEST_CASE(promptIsSplitIntoSharedAndOwnTokens)
{
    const placement_need need = placementNeedFor(requestOf("a"), nullptr);
    BOOST_TEST(need.affinityKey == placementNeedFor(requestOf("b"), nullptr).affinityKey);
    BOOST_TEST(need.segmentTokens == 410);
    BOOST_TEST(need.ownTokens == 250);
    BOOST_TEST(need.promptTokens == 1460);
    BOOST_TEST(need.outputTokens == 30);
    BOOST_TEST(sharedSegmentNames(requestOf("a"), nullptr, 1).size() == 2U);
    BOOST_TEST(deepestSegmentId(requestOf("a")) == "p2");
}

// Guards against prompts without shared parts that all get the same home.
BOOST_AUTO_TEST_CASE(promptWithoutSharedPartsHasAHomeOfItsOwn)
{
    caller_request one = requestOf("a");
    caller_request other = requestOf("b");
    one.prefix = { { "own", 1460 } };
    other.prefix = {};
    BOOST_TEST(placementNeedFor(one, nullptr).affinityKey
               != placementNeedFor(other, nullptr).affinityKey);
    BOOST_TEST(deepestSegmentName(one, nullptr, 1).empty());
    BOOST_TEST(deepestSegmentId(other).empty());
}
