#define BOOST_TEST_MODULE prompt_segments
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
    request.promptSegments = { { "p1", 800 }, { "p2", 410 }, { "own-" + attemptId, 250 } };
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

// Guards against a request that uses segments computed under another version of the weights.
BOOST_AUTO_TEST_CASE(versionsShareNoSegments)
{
    const caller_request request = requestOf("a");
    BOOST_TEST(cacheSalt(request, nullptr, 1) != cacheSalt(request, nullptr, 2));
    BOOST_TEST(deepestSegmentName(request, nullptr, 1) != deepestSegmentName(request, nullptr, 2));
}

// Guards against segments computed under unknown weights that another request reuses as segments
// of a known version or of its own unknown one. Seen on a VM that had just started, as requests
// that ran on stale weights (STALE).
BOOST_AUTO_TEST_CASE(unknownWeightsShareNothing)
{
    const caller_request one = requestOf("a");
    const caller_request other = requestOf("b");
    BOOST_TEST(cacheSalt(one, nullptr, 0) != cacheSalt(other, nullptr, 0));
    BOOST_TEST(cacheSalt(one, nullptr, 0) != cacheSalt(one, nullptr, 1));
}

// Guards against an isolated account that shares segments, also when its name equals the marker of
// shared salts.
BOOST_AUTO_TEST_CASE(isolatedAccountsShareNothing)
{
    const caller_request request = requestOf("a");
    const deployment_account isolatedAccount = accountOf("s", true);
    const deployment_account other = accountOf("t", true);
    const deployment_account sharedAccount = accountOf("s", false);
    BOOST_TEST(cacheSalt(request, &isolatedAccount, 1) != cacheSalt(request, &other, 1));
    BOOST_TEST(cacheSalt(request, &isolatedAccount, 1) != cacheSalt(request, &sharedAccount, 1));
    BOOST_TEST(cacheSalt(request, &sharedAccount, 1) == cacheSalt(request, nullptr, 1));
    BOOST_TEST(placementNeedFor(request, &isolatedAccount).affinityKey
               != placementNeedFor(request, &sharedAccount).affinityKey);
}

// Guards against preferred endpoints that change with each new version, which would invalidate
// every engine's cache twice.
BOOST_AUTO_TEST_CASE(promptIsSplitIntoSharedAndOwnTokens)
{
    const placement_need need = placementNeedFor(requestOf("a"), nullptr);
    BOOST_TEST(need.affinityKey == placementNeedFor(requestOf("b"), nullptr).affinityKey);
    BOOST_TEST(need.segmentTokens == 410);
    BOOST_TEST(need.unsharedTokens == 250);
    BOOST_TEST(need.promptTokens == 1460);
    BOOST_TEST(need.outputTokens == 30);
    BOOST_TEST(sharedSegmentNames(requestOf("a"), nullptr, 1).size() == 2U);
    BOOST_TEST(deepestSegmentId(requestOf("a")) == "p2");
}

// Guards against prompts without shared segments that all prefer the same endpoint.
BOOST_AUTO_TEST_CASE(promptWithoutSharedSegmentsHasItsOwnAffinityKey)
{
    caller_request one = requestOf("a");
    caller_request other = requestOf("b");
    one.promptSegments = { { "own", 1460 } };
    other.promptSegments = {};
    BOOST_TEST(placementNeedFor(one, nullptr).affinityKey
               != placementNeedFor(other, nullptr).affinityKey);
    BOOST_TEST(deepestSegmentName(one, nullptr, 1).empty());
    BOOST_TEST(deepestSegmentId(other).empty());
}
