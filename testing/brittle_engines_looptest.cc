#define BOOST_TEST_MODULE brittle_engines
#include "testing/soak_fleet.h"
#include "testing/support_brittle_engine.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace burdockhold::testing;

namespace {

using steady_clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

constexpr std::size_t Vms = 3;
constexpr std::size_t Engines = 4;
constexpr int CallersPerVm = 12; // More than twice the engines' slots over all VMs.
constexpr ms Contact(3000);      // From the first statement until an engine may crash.
constexpr ms BrittleTime(12000);
constexpr ms BurstInterval(1000); // The engines are idle before each burst.
constexpr int ResponseLimitMs = 2500;

/// Three VMs and four engines that are brittle from the start.
struct brittle_fixture
{
    brittle_fixture()
    {
        log.put("keyed.op", "config", router_fixture::deploymentBody(1, { "key-1" }).dump());
        for (std::size_t index = 0; index < Engines; ++index) {
            engines.push_back(std::make_unique<brittle_engine>(options));
            log.put("keyed.servers", "e" + std::to_string(index),
                    router_fixture::endpointRecord(engines.back()->address(), "ready",
                                                   options.slots));
        }
        for (std::size_t index = 0; index < Vms; ++index) {
            router_place place;
            place.vm = "vm-" + std::to_string(index);
            place.ip = soakAddress(index);
            routers.push_back(std::make_unique<router_process>(log.address(), place));
        }
        for (const auto &router : routers)
            BOOST_REQUIRE_MESSAGE(router->waitReady(true), router->logText());
    }

    /// Calls the VM once in each burst until the time.
    void callUntil(std::size_t vm, steady_clock::time_point start, steady_clock::time_point end)
    {
        for (auto at = start; at < end; at += BurstInterval) {
            std::this_thread::sleep_until(at);
            const std::string id = "a" + std::to_string(nextId++);
            // Bodies differ, or the VMs block the request that ran at several engines that crashed.
            const std::string request = "POST /safe/ HTTP/1.1\r\nHost: h\r\n"
                                        "X-Burdockhold-Attempt-Id: "
                                        + id
                                        + "\r\nX-Burdockhold-Credential: key-1\r\n"
                                          "X-Burdockhold-Deadline-Ms: 2000\r\nContent-Length: "
                                        + std::to_string(id.size()) + "\r\n\r\n" + id;
            const std::string response = exchangeBytes(routers[vm]->callerAddress(), request,
                                                       ResponseLimitMs);
            ++sent;
            if (response.rfind("HTTP/1.1 200", 0) == 0)
                ++served;
            else
                failed(response);
        }
    }

    /// Counts the response by its status line.
    void failed(const std::string &response)
    {
        const std::lock_guard lock(mutex);
        ++failures[response.substr(0, response.find("\r\n"))];
    }

    std::string failureText() const
    {
        std::string text;
        for (const auto &[status, count] : failures)
            text += ", " + std::to_string(count) + " '" + status + "'";
        return text;
    }

    int falls() const
    {
        int sum = 0;
        for (const auto &engine : engines)
            sum += engine->falls();
        return sum;
    }

    brittle_options options;
    std::mutex mutex;
    std::map<std::string, int> failures; ///< By status line.
    std::atomic<int> nextId{ 0 };
    std::atomic<int> sent{ 0 };
    std::atomic<int> served{ 0 };
    fake_log_service log;
    std::vector<std::unique_ptr<brittle_engine>> engines;
    std::vector<std::unique_ptr<router_process>> routers;
};

} // namespace

// Guards against VMs that together send brittle engines more calls than these can refuse.
BOOST_FIXTURE_TEST_CASE(brittleEnginesDoNotFallOver, brittle_fixture)
{
    const auto start = steady_clock::now();
    std::vector<std::thread> callers;
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        for (int caller = 0; caller < CallersPerVm; ++caller)
            callers.emplace_back([this, vm, start] { callUntil(vm, start, start + BrittleTime); });
    }
    std::this_thread::sleep_until(start + Contact);
    for (const auto &engine : engines)
        engine->weaken();
    for (std::thread &caller : callers)
        caller.join();
    const int fallen = falls();
    int refused = 0;
    for (const auto &engine : engines)
        refused += engine->refused();
    const std::string text = std::to_string(fallen) + " falls, " + std::to_string(refused)
                             + " calls refused, " + std::to_string(served) + " of "
                             + std::to_string(sent) + " served" + failureText();
    BOOST_TEST_MESSAGE(text);
    for (const auto &router : routers)
        BOOST_TEST_MESSAGE(router->logText());
    BOOST_TEST(fallen <= 2.0 + Engines / 10.0, text);
    // Engines that nobody calls do not fall over either.
    BOOST_TEST(2 * served >= sent, text);
}
