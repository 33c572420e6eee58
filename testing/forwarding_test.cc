#define BOOST_TEST_MODULE forwarding
#include <boost/test/unit_test.hpp>

#include "burdockhold/forwarding.h"

using namespace burdockhold;

namespace {

catalogue routes()
{
    catalogue config;
    const auto add = [&config](const std::string &name, const std::string &method,
                               const std::string &path) {
        route_entry route;
        route.method = method;
        route.path = path;
        route.pool = name;
        config.routes[name].value = route;
    };
    add("menu", "GET", "/menu/*");
    add("soup", "GET", "/menu/soup");
    add("deep", "GET", "/menu/day/*");
    add("book", "POST", "/bookings");
    return config;
}

std::string poolOf(const std::string &method, const std::string &path)
{
    const catalogue config = routes();
    const route_entry *route = findRoute(config, method, path);
    return route == nullptr ? "" : route->pool;
}

} // namespace

// Guards against a call that reaches another route's services: a keyed route below an open one, for
// instance, or a prefix that matches in the middle of a path segment.
BOOST_AUTO_TEST_CASE(longestMatchingPathWins)
{
    BOOST_TEST(poolOf("GET", "/menu/soup") == "soup");
    BOOST_TEST(poolOf("GET", "/menu/salad") == "menu");
    BOOST_TEST(poolOf("GET", "/menu/day/monday") == "deep");
    BOOST_TEST(poolOf("GET", "/menuitems").empty());
    BOOST_TEST(poolOf("GET", "/menu").empty());
    BOOST_TEST(poolOf("GET", "/bookings").empty());
    BOOST_TEST(poolOf("POST", "/bookings/1").empty());
    BOOST_TEST(poolOf("POST", "/bookings") == "book");
}

// Guards against a caller's key at an endpoint, and against callers that set what only the router
// may say.
BOOST_AUTO_TEST_CASE(keysAndRouterHeadersAreDropped)
{
    for (const std::string name : { "Authorization", "AUTHORIZATION", "Proxy-Authorization",
                                    "X-Cache-Salt", "x-resume-from", "X-Priority", "Connection" })
        BOOST_TEST(!isForwardedHeader(name), name);
    for (const std::string name : { "Content-Type", "Accept", "Idempotency-Key" })
        BOOST_TEST(isForwardedHeader(name), name);
}

// Guards against a retry of a service's own answer, and against an engine's failure passed on.
BOOST_AUTO_TEST_CASE(faultsDifferForEnginesAndServices)
{
    BOOST_TEST(isEndpointFault(500, true));
    BOOST_TEST(!isEndpointFault(500, false));
    BOOST_TEST(isEndpointFault(429, true));
    BOOST_TEST(!isEndpointFault(429, false));
    BOOST_TEST(isEndpointFault(503, false));
    BOOST_TEST(!isEndpointFault(400, true));
}
