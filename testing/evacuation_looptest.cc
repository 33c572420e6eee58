#define BOOST_TEST_MODULE evacuation
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

// The running router with one endpoint in each of two data centres.

using namespace burdockhold::testing;

namespace {

using test_clock = std::chrono::steady_clock;

struct two_data_centres : router_fixture
{
    two_data_centres()
    {
        putEndpoint("e2", second.address(), "dc2", 0, 2000);
        const auto isRead = [this] {
            const std::string text = router->logText();
            const std::size_t original = text.find("\"endpoint\":\"e2\"");
            return text.find("\"endpoint\":\"e2\"", original + 1) != std::string::npos;
        };
        const auto deadline = test_clock::now() + std::chrono::milliseconds(WaitLimitMs);
        while (!isRead() && test_clock::now() < deadline)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        BOOST_REQUIRE(isRead());
    }

    void putEndpoint(const std::string &id, const std::string &address, const std::string &zone,
                     int coldMs, int born = 1000)
    {
        nlohmann::json entry = nlohmann::json::parse(endpointRecord(address, "ready"));
        entry["zone"] = zone;
        entry["born"] = born;
        entry["cold_remaining_ms"] = coldMs;
        log.put("keyed.servers", id, entry.dump());
    }

    void evacuate(const std::string &zone)
    {
        log.put("keyed.op", "evacuate/" + zone, "{}");
        BOOST_REQUIRE(waitForLog("\"event\":\"evacuation_started\",\"data_centre\":\"" + zone));
    }

    /// Returns the endpoints that got the next calls.
    std::vector<std::string> enginesOf(int requests)
    {
        {
            const std::lock_guard lock(mutex);
            engines.clear();
        }
        for (int number = 0; number < requests; ++number)
            exchangeRequest(request("/safe/x"));
        const std::lock_guard lock(mutex);
        return engines;
    }
};

} // namespace

// Guards against requests to an evacuated data centre, and against a wrong reason or a wait when
// all are evacuated.
BOOST_FIXTURE_TEST_CASE(evacuated_data_centre_gets_no_request, two_data_centres)
{
    evacuate("dc1");
    const auto duringFirst = enginesOf(20);
    BOOST_TEST(duringFirst.size() == 20U);
    BOOST_TEST(std::count(duringFirst.begin(), duringFirst.end(), "e1") == 0);

    evacuate("dc2");
    const std::string refusal = exchangeRequest(request("/safe/x"));
    BOOST_TEST(refusal.rfind("HTTP/1.1 503", 0) == 0U);
    BOOST_TEST(refusal.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(waitForLog("all_evacuated"));
    BOOST_TEST(enginesOf(5).empty());

    log.remove("keyed.op", "evacuate/dc1");
    BOOST_TEST(waitForResponse(request("/safe/x"), "HTTP/1.1 200"));
    BOOST_TEST(waitForLog("evacuation_ended"));
    const auto afterFirst = enginesOf(5);
    BOOST_TEST(afterFirst.size() == 5U);
    BOOST_TEST(std::count(afterFirst.begin(), afterFirst.end(), "e2") == 0);
}

// Guards against bad input that changes where requests go.
BOOST_FIXTURE_TEST_CASE(bad_evacuations_have_no_effect, two_data_centres)
{
    log.put("keyed.op", "evacuate/", "{}");
    log.put("keyed.op", "evacuate/nowhere", "no JSON");
    log.remove("keyed.op", "evacuate/dc1");
    BOOST_TEST(waitForLog("bad_name"));
    BOOST_TEST(waitForLog("nowhere"));
    BOOST_TEST(waitForLog("not_in_force"));
    BOOST_TEST(enginesOf(10).size() == 10U);
}

// Guards against a surge to an engine that has just started: its cold rate is 8.7 per second, of
// which the bound allows 18 requests in a second.
BOOST_FIXTURE_TEST_CASE(cold_engine_gets_its_rate_only, two_data_centres)
{
    auto body = deploymentBody(2, { "key-1" }, 15000);
    body["services"][0]["cold_start_s"] = 3.0;
    body["services"][0]["cold_per_s"] = 8.7;
    log.put("keyed.op", "config", body.dump());
    BOOST_REQUIRE(waitForLog("\"version\":2"));
    log.remove("keyed.servers", "e1");
    putEndpoint("e2", second.address(), "dc2", 3000, 3000);
    BOOST_REQUIRE(waitForLog("gone"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const auto end = test_clock::now() + std::chrono::milliseconds(1000);
    std::size_t served = 0;
    while (test_clock::now() < end)
        served += enginesOf(1).size();
    BOOST_TEST_MESSAGE(served << " requests to a cold engine in a second");
    BOOST_TEST(served >= 1U);
    BOOST_TEST(served <= 18U);
}
