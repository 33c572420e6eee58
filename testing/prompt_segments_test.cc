#define BOOST_TEST_MODULE prompt_segments
#include "burdockhold/prompt_segments.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

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

const cache_domain shared{};

deployment_account accountOf(const std::string &name, bool isolated)
{
    deployment_account account;
    account.name = name;
    account.isolated = isolated;
    return account;
}

deployment_index deploymentOf(const std::vector<deployment_account> &accounts)
{
    deployment source;
    source.accounts = accounts;
    return deployment_index(source);
}

} // namespace

// Guards against a request that uses segments computed under another version of the weights.
BOOST_AUTO_TEST_CASE(versionsShareNoSegments)
{
    const caller_request request = requestOf("a");
    BOOST_TEST(cacheSalt(request, shared, 1) != cacheSalt(request, shared, 2));
    BOOST_TEST(deepestSegmentName(request, shared, 1) != deepestSegmentName(request, shared, 2));
}

// Guards against segments computed under unknown weights that another request reuses as segments
// of a known version or of its own unknown one. Seen on a VM that had just started, as requests
// that ran on stale weights (STALE).
BOOST_AUTO_TEST_CASE(unknownWeightsShareNothing)
{
    const caller_request one = requestOf("a");
    const caller_request other = requestOf("b");
    BOOST_TEST(cacheSalt(one, shared, 0) != cacheSalt(other, shared, 0));
    BOOST_TEST(cacheSalt(one, shared, 0) != cacheSalt(one, shared, 1));
}

// Guards against an isolated account that shares segments, also when its name equals the marker of
// shared salts.
BOOST_AUTO_TEST_CASE(isolatedAccountsShareNothing)
{
    const caller_request request = requestOf("a");
    const cache_domain isolated{ "s", 0 };
    const cache_domain other{ "t", 0 };
    BOOST_TEST(cacheSalt(request, isolated, 1) != cacheSalt(request, other, 1));
    BOOST_TEST(cacheSalt(request, isolated, 1) != cacheSalt(request, shared, 1));
    BOOST_TEST(placementNeedFor(request, isolated).affinityKey
               != placementNeedFor(request, shared).affinityKey);
}

// Guards against segments that an account's requests computed before it became isolated and that
// others go on using.
BOOST_AUTO_TEST_CASE(accountThatBecomesIsolatedTakesItsSegmentsWithIt)
{
    const caller_request request = requestOf("a");
    const deployment_account a = accountOf("a", false);
    const deployment_account b = accountOf("b", false);
    const deployment_index before = deploymentOf({ a, b });
    const deployment_index after = deploymentOf({ accountOf("a", true), b });
    // Requests that the earlier deployment admitted follow the later one.
    const std::string ofA = cacheSalt(request, after.cacheDomainOf(&a), 1);
    const std::string ofB = cacheSalt(request, after.cacheDomainOf(&b), 1);
    const std::string ofNone = cacheSalt(request, after.cacheDomainOf(nullptr), 1);
    const std::string earlier = cacheSalt(request, before.cacheDomainOf(&a), 1);
    BOOST_TEST(ofA != earlier);
    BOOST_TEST(ofB != earlier);
    BOOST_TEST(ofB != ofA);
    BOOST_TEST(ofB == ofNone);
    // Only what an engine caches is named anew; where a prompt prefers to run stays.
    BOOST_TEST(placementNeedFor(request, after.cacheDomainOf(&b)).affinityKey
               == placementNeedFor(request, before.cacheDomainOf(&b)).affinityKey);
}

// Guards against any sequence of changes after which a request uses a segment of an account that is
// isolated, compared with a cache that remembers who computed what.
BOOST_AUTO_TEST_CASE(isolatedAccountsAndOthersNeverShareASegment)
{
    std::mt19937 random(38);
    const std::vector<std::string> names{ "a", "b", "c", "d" };
    const caller_request request = requestOf("x");
    for (int history = 0; history < 200; ++history) {
        std::map<std::string, std::set<std::string>> makersBySalt;
        for (int version = 0; version < 20; ++version) {
            std::vector<deployment_account> accounts;
            std::set<std::string> isolated;
            for (const std::string &name : names) {
                accounts.push_back(accountOf(name, random() % 3 == 0));
                if (accounts.back().isolated)
                    isolated.insert(name);
            }
            std::shuffle(accounts.begin(), accounts.end(), random);
            const deployment_index deployment = deploymentOf(accounts);
            for (const deployment_account &account : accounts) {
                auto &makers =
                        makersBySalt[cacheSalt(request, deployment.cacheDomainOf(&account), 1)];
                for (const std::string &maker : makers) {
                    const bool isWalled = maker != account.name
                                          && (isolated.count(maker) + isolated.count(account.name))
                                                     > 0;
                    BOOST_TEST(!isWalled, account.name << " uses a segment of " << maker);
                }
                makers.insert(account.name);
            }
        }
    }
}

// Guards against preferred endpoints that change with each new version, which would invalidate
// every engine's cache twice.
BOOST_AUTO_TEST_CASE(promptIsSplitIntoSharedAndOwnTokens)
{
    const placement_need need = placementNeedFor(requestOf("a"), shared);
    BOOST_TEST(need.affinityKey == placementNeedFor(requestOf("b"), shared).affinityKey);
    BOOST_TEST(need.segmentTokens == 410);
    BOOST_TEST(need.unsharedTokens == 250);
    BOOST_TEST(need.promptTokens == 1460);
    BOOST_TEST(need.outputTokens == 30);
    BOOST_TEST(sharedSegmentNames(requestOf("a"), shared, 1).size() == 2U);
    BOOST_TEST(deepestSegmentId(requestOf("a")) == "p2");
}

// Guards against prompts without shared segments that all prefer the same endpoint.
BOOST_AUTO_TEST_CASE(promptWithoutSharedSegmentsHasItsOwnAffinityKey)
{
    caller_request one = requestOf("a");
    caller_request other = requestOf("b");
    one.promptSegments = { { "own", 1460 } };
    other.promptSegments = {};
    BOOST_TEST(placementNeedFor(one, shared).affinityKey
               != placementNeedFor(other, shared).affinityKey);
    BOOST_TEST(deepestSegmentName(one, shared, 1).empty());
    BOOST_TEST(deepestSegmentId(other).empty());
}
