#define BOOST_TEST_MODULE config_check
#include <boost/test/unit_test.hpp>

#include "burdockhold/config_check.h"

#include <algorithm>

using namespace burdockhold;

namespace {

using std::chrono::milliseconds;

deployment_route makeRoute(const std::string &host, const std::string &prefix)
{
    deployment_route route;
    route.host = host;
    route.pathPrefix = prefix;
    route.pools = { { "p", 1.0 } };
    return route;
}

/// A deployment without findings: one account, two routes, and an engine pool and a store.
deployment cleanDeployment()
{
    deployment source;
    source.version = 2;
    source.routes = { makeRoute("a.example", "/"), makeRoute("a.example", "/v1/") };
    deployment_pool pool{ "p", 10, {}, {}, {} };
    pool.engine = engine_traits{ 8, 90000, 0, { "m" } };
    deployment_pool store{ "s", 0, {}, cache_store{ "127.0.0.1:1", "z", 1.0 }, {} };
    source.pools = { pool, store };
    deployment_account account;
    account.name = "t";
    account.keys = { "secret" };
    account.ratePerSecond = 1000.0;
    account.burst = 100000.0;
    account.countsTokens = true;
    source.accounts = { account };
    return source;
}

std::string summary(const std::vector<config_finding> &findings)
{
    std::string text;
    for (const config_finding &finding : findings) {
        text += text.empty() ? "" : " ";
        text += nameOf(finding.code);
        if (finding.place.index)
            text += "@" + std::to_string(*finding.place.index);
    }
    return text;
}

/// Returns what is found after a change of the clean deployment.
template <typename Change>
std::string found(Change change)
{
    deployment source = cleanDeployment();
    change(source);
    return summary(checkDeployment(source));
}

template <typename Change>
std::vector<config_finding> differences(Change change)
{
    deployment next = cleanDeployment();
    next.version = 3;
    change(next);
    return compareDeployments(cleanDeployment(), next);
}

} // namespace

// Guards against warnings about a usual deployment: a store without a route, and a longer prefix
// behind a shorter one, which the router prefers.
BOOST_AUTO_TEST_CASE(aUsualDeploymentHasNoFindings)
{
    BOOST_TEST(found([](deployment &) {}) == "");
    BOOST_TEST(summary(compareDeployments(cleanDeployment(), cleanDeployment())) == "");
}

// Guards against entries without effect that are not reported.
BOOST_AUTO_TEST_CASE(entriesThatNeverMatchAreFound)
{
    const auto route = [](const std::string &host, const std::string &prefix) {
        return found([&](deployment &d) { d.routes.push_back(makeRoute(host, prefix)); });
    };
    BOOST_TEST(route("A.example:80", "/v1/") == "route_hidden@2");
    BOOST_TEST(route("", "/") == "host_never_matches@2");
    BOOST_TEST(route("http://b.example", "/") == "host_never_matches@2");
    BOOST_TEST(route("b.example/v1", "/") == "host_never_matches@2");
    BOOST_TEST(route("b.example", "v1/") == "prefix_never_matches@2");
    BOOST_TEST(route("b.example", "/v1?x=/") == "prefix_never_matches@2");
    BOOST_TEST(found([](deployment &d) {
                   d.routes[1].pools = { { "q", 1.0 } };
               })
               == "unknown_pool@1");
    BOOST_TEST(found([](deployment &d) { d.routes[1].pools.clear(); }) == "route_without_pool@1");
    BOOST_TEST(found([](deployment &d) {
                   d.pools.push_back({ "q", 0, {}, {}, {} });
               })
               == "pool_unused@2");
    BOOST_TEST(found([](deployment &d) { d.pools.push_back(d.pools[0]); }) == "pool_repeated@2");
}

// Guards against accounts that cannot send a request and are not reported, and against a key that
// counts for another account than the operator thinks.
BOOST_AUTO_TEST_CASE(accountsWithoutAUsableKeyAreFound)
{
    const auto keys = [](const std::vector<std::string> &list) {
        return found([&](deployment &d) {
            d.accounts.push_back(d.accounts[0]);
            d.accounts[1].name = "u";
            d.accounts[1].keys = list;
        });
    };
    BOOST_TEST(keys({ "other" }) == "");
    BOOST_TEST(keys({}) == "account_without_key@1");
    BOOST_TEST(keys({ "" }) == "account_without_key@1");
    BOOST_TEST(keys({ "secret" }) == "key_of_another_account@1 account_without_key@1");
    BOOST_TEST(keys({ "secret", "other" }) == "key_of_another_account@1");
}

// Guards against limits that no request can meet and that are not reported.
BOOST_AUTO_TEST_CASE(contradictingLimitsAreFound)
{
    const auto times = [](int timeout, int target) {
        return found([&](deployment &d) {
            d.routes[0].timeout = milliseconds(timeout);
            d.routes[0].latencyTarget = milliseconds(target);
        });
    };
    BOOST_TEST(times(120, 120) == "");
    BOOST_TEST(times(119, 119) == "timeout_under_transit@0");
    BOOST_TEST(times(500, 501) == "target_above_timeout@0");
    const auto attempts = [](int count, call_kind kind) {
        return found([&](deployment &d) {
            d.routes[0].maxEndpoints = count;
            d.routes[0].kind = kind;
            d.routes[0].resumable = true;
        });
    };
    BOOST_TEST(attempts(4, call_kind::Idempotent) == "");
    BOOST_TEST(attempts(5, call_kind::Idempotent) == "attempts_above_call_limit@0");
    BOOST_TEST(attempts(8, call_kind::Stream) == "");
    BOOST_TEST(attempts(9, call_kind::Stream) == "attempts_above_call_limit@0");
    BOOST_TEST(attempts(52, call_kind::Stream)
               == "attempts_above_call_limit@0 attempts_above_retry_budget@0");
}

// Guards against a burst that refuses the largest requests always.
BOOST_AUTO_TEST_CASE(aBurstBelowOneRequestIsFound)
{
    const auto burst = [](double tokens, bool countsTokens) {
        return found([&](deployment &d) {
            d.accounts[0].burst = tokens;
            d.accounts[0].countsTokens = countsTokens;
        });
    };
    BOOST_TEST(burst(90000.0, true) == "");
    BOOST_TEST(burst(89999.0, true) == "burst_below_request@0");
    BOOST_TEST(burst(1.0, false) == "");
    BOOST_TEST(burst(0.5, false) == "burst_below_request@0");
    BOOST_TEST(found([](deployment &d) {
                   d.accounts[0].burst = 0.0;
                   d.accounts[0].ratePerSecond = 0.0;
               })
               == "");
}

BOOST_AUTO_TEST_CASE(regionsWithoutACommonOneAreFound)
{
    const auto regions = [](bool publicAccess, const std::string &ofAccount) {
        return found([&](deployment &d) {
            d.routes[1].allowedRegions = { "east", "west" };
            d.routes[1].publicAccess = publicAccess;
            d.accounts[0].allowedRegions = { ofAccount };
        });
    };
    BOOST_TEST(regions(false, "west") == "");
    BOOST_TEST(regions(false, "north") == "no_common_region@0");
    BOOST_TEST(regions(true, "north") == "");
}

// Guards against differences that are missed or attributed to the wrong entry.
BOOST_AUTO_TEST_CASE(differencesHaveOldAndNewValues)
{
    const auto findings = differences([](deployment &d) {
        std::swap(d.routes[0], d.routes[1]);
        d.routes[0].timeout = milliseconds(5000);
        d.routes.push_back(makeRoute("b.example", "/"));
        d.pools.pop_back();
        d.accounts[0].burst = 200000.0;
        d.limits.bodyBytes = 1000;
    });
    BOOST_REQUIRE(summary(findings) == "changed@0 added@2 removed@1 changed@0 changed");
    BOOST_TEST(findings[0].text
               == "route \"a.example/v1/\": timeout changed from 30000 ms to 5000 ms");
    BOOST_TEST(findings[3].text == "account \"t\": burst changed from 100000 to 200000");
    BOOST_TEST(findings[4].text == "limits: body bytes changed from 4194304 to 1000");
}

// Guards against API keys in the output, and against a changed key that is not reported.
BOOST_AUTO_TEST_CASE(keysAreShownByTheirDigests)
{
    const auto findings = differences([](deployment &d) { d.accounts[0].keys = { "hidden" }; });
    BOOST_REQUIRE(summary(findings) == "changed@0");
    BOOST_TEST(findings[0].text.find("secret") == std::string::npos);
    BOOST_TEST(findings[0].text.find("hidden") == std::string::npos);
}

// Guards against a change that routers ignore, since they only follow higher versions.
BOOST_AUTO_TEST_CASE(aVersionThatIsNotHigherIsFound)
{
    const auto findings = differences([](deployment &d) {
        d.version = 2;
        d.routes[0].priority = 1;
    });
    BOOST_TEST(summary(findings) == "version_not_higher changed@0");
}
