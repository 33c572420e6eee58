#define BOOST_TEST_MODULE config_processes
#include "testing/soak_fleet.h"
#include "testing/support_router.h"
#include "testing/support_slow_link.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace burdockhold::testing;

namespace {

using steady_clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

constexpr std::size_t Vms = 4;
constexpr std::size_t FastBytesPerSecond = 1000000000;
constexpr ms ConfigBound(2000); // As stated in the settings of the routers.
constexpr ms VersionInterval(2700);
constexpr ms ProbeInterval(50);
constexpr int ProbeLimitMs = 1000;
constexpr const char *AnyCall = " HTTP/1.1";

/// Returns the router program of another build (scripts/other-build), or an empty string.
std::string otherBuild()
{
    const char *program = std::getenv("BURDOCKHOLD_OTHER_ROUTER");
    return program == nullptr ? std::string() : program;
}

boost::test_tools::assertion_result hasOtherBuild(boost::unit_test::test_unit_id)
{
    return !otherBuild().empty();
}

/// Which VMs run the other build.
enum class other_vms { None, Odd, Even };

/// Router processes with a link to the log each. Every version of the configuration adds a route
/// and a key and removes those of the version before. Each VM is asked for both routes all the
/// time.
struct probed_vms
{
    explicit probed_vms(other_vms others)
        : engine([](const recorded_request &request, response_socket &socket) {
            return socket.write(completeResponse(request, "body"));
        })
    {
        configure();
        log.put("keyed.servers", "e1",
                router_fixture::endpointRecord(engine.address(), "ready", 64));
        for (std::size_t index = 0; index < Vms; ++index) {
            links.push_back(std::make_unique<slow_link>(log.address(), FastBytesPerSecond));
            router_place place;
            place.vm = "vm-" + std::to_string(index);
            place.ip = soakAddress(index);
            const auto own = index % 2 == 0 ? other_vms::Odd : other_vms::Even;
            isOwnBuild.push_back(others == other_vms::None || others == own);
            place.program = isOwnBuild.back() ? std::string() : otherBuild();
            routers.push_back(std::make_unique<router_process>(links.back()->address(), place));
        }
        for (const auto &router : routers)
            BOOST_REQUIRE_MESSAGE(router->waitReady(true), router->logText());
    }

    ~probed_vms()
    {
        stopping = true;
        for (std::thread &thread : threads)
            thread.join();
    }

    static std::string routeOf(int number) { return "/v" + std::to_string(number) + "/"; }
    static std::string keyOf(int number) { return "key-" + std::to_string(number); }

    /// Writes the next version. While it is written, no request is judged.
    void configure()
    {
        isSettled = false;
        const int next = version + 1;
        auto body = router_fixture::deploymentBody(next, { keyOf(next) });
        auto route = body["routes"][0];
        route["name"] = route["path_prefix"] = routeOf(next);
        body["routes"].push_back(route);
        log.put("keyed.op", "config", body.dump());
        const std::lock_guard lock(mutex);
        version = next;
        acknowledgedAt = steady_clock::now();
        isSettled = true;
    }

    void startProbes()
    {
        lateness.assign(Vms, ms(0));
        servesNewest.assign(Vms, false);
        for (std::size_t vm = 0; vm < Vms; ++vm)
            threads.emplace_back([this, vm] {
                while (!stopping) {
                    probe(vm, true);
                    probe(vm, false);
                    std::this_thread::sleep_for(ProbeInterval);
                }
            });
    }

    /// Asks for the route of the newest version, or for that of the version before.
    void probe(std::size_t vm, bool newest)
    {
        int number = 0;
        steady_clock::time_point since;
        {
            const std::lock_guard lock(mutex);
            number = version;
            since = acknowledgedAt;
        }
        const auto sentAt = steady_clock::now();
        const int asked = newest ? number : number - 1;
        const std::string response = exchangeBytes(
                routers[vm]->callerAddress(),
                "GET " + routeOf(asked) + "x HTTP/1.1\r\nHost: h\r\nX-Burdockhold-Attempt-Id: p"
                        + std::to_string(nextId++) + "\r\nX-Burdockhold-Credential: " + keyOf(asked)
                        + "\r\nX-Burdockhold-Deadline-Ms: 800\r\n\r\n",
                ProbeLimitMs);
        const std::string status = response.substr(0, std::min<std::size_t>(12, response.size()));
        const bool isMissing = status == "HTTP/1.1 404" || status == "HTTP/1.1 401";
        const bool isOlder = newest ? isMissing : status == "HTTP/1.1 200";
        const std::lock_guard lock(mutex);
        ++probes;
        if (newest && number == version)
            servesNewest[vm] = status == "HTTP/1.1 200";
        if (isOlder && isSettled && number == version)
            lateness[vm] = std::max(lateness[vm], std::chrono::duration_cast<ms>(sentAt - since));
    }

    /// Waits until a version has to be in force, and checks that the VMs serve its route. A VM that
    /// refuses all requests handles none by an older version.
    void checkServed(const std::string &name)
    {
        std::this_thread::sleep_for(VersionInterval);
        const std::lock_guard lock(mutex);
        for (std::size_t vm = 0; vm < Vms; ++vm)
            BOOST_TEST((servesNewest[vm] || !isOwnBuild[vm]),
                       name << ", VM " << vm << " does not serve version " << version);
    }

    /// Writes versions during and after the disturbance and checks that all VMs follow them.
    void check(const std::string &name, const std::function<void()> &disturb,
               const std::function<void()> &end)
    {
        {
            const std::lock_guard lock(mutex);
            lateness.assign(Vms, ms(0));
        }
        configure();
        std::this_thread::sleep_for(ms(100));
        disturb();
        for (int change = 0; change < 3; ++change) {
            configure();
            checkServed(name);
        }
        end();
        configure();
        checkServed(name);
        const std::lock_guard lock(mutex);
        for (std::size_t vm = 0; vm < Vms; ++vm) {
            BOOST_TEST_MESSAGE(name << ", VM " << vm << ": " << lateness[vm].count() << " ms");
            BOOST_TEST((lateness[vm] <= ConfigBound || !isOwnBuild[vm]),
                       name << ", VM " << vm << ": by an older configuration "
                            << lateness[vm].count() << " ms after the newer one");
        }
    }

    /// Returns the VMs by their traffic with the log: first the one that reads it for the others,
    /// once those that have read it besides have stopped.
    std::vector<std::size_t> readers() const
    {
        std::this_thread::sleep_for(ms(4000));
        return linksByTraffic(links, [] { std::this_thread::sleep_for(ms(2000)); });
    }

    void silence(const std::vector<std::size_t> &vms, const std::string &text)
    {
        for (const std::size_t vm : vms)
            links[vm]->silenceRequestsWith(text);
    }

    /// Disturbs the ways to the log in turn and checks all VMs of this build.
    void checkAll()
    {
        startProbes();
        std::size_t reader = readers().front();
        check(
                "the reader's calls for the operator's records hang",
                [&] { silence({ reader }, "keyed.op"); }, [&] { silence({ reader }, ""); });
        reader = readers().front();
        check(
                "all calls of the reader hang", [&] { silence({ reader }, AnyCall); },
                [&] { silence({ reader }, ""); });
        for (const std::size_t place : { 1, 3 }) {
            const std::vector<std::size_t> order = readers();
            const std::vector<std::size_t> pair{ order[0], order[place] };
            check(
                    "all calls of two VMs hang", [&] { silence(pair, AnyCall); },
                    [&] { silence(pair, ""); });
        }
        check(
                "open connections to the log fall silent",
                [&] {
                    for (const auto &link : links)
                        link->silenceOpen();
                },
                [] {});
        const std::lock_guard lock(mutex);
        BOOST_TEST_MESSAGE(probes << " requests");
        BOOST_TEST(probes > 1000);
    }

    fake_server engine;
    fake_log_service log;
    std::vector<std::unique_ptr<slow_link>> links;
    std::vector<std::unique_ptr<router_process>> routers;
    std::vector<bool> isOwnBuild;
    std::mutex mutex; // Guards the fields below.
    int version = 0;
    steady_clock::time_point acknowledgedAt;
    std::vector<ms> lateness;       ///< Of the last request that a VM handled by an older version.
    std::vector<bool> servesNewest; ///< By the last request for the newest route.
    int probes = 0;
    std::atomic<bool> isSettled{ false };
    std::atomic<bool> stopping{ false };
    std::atomic<int> nextId{ 0 };
    std::vector<std::thread> threads;
};

} // namespace

// Guards against routers that handle requests by an older configuration while the log does not
// answer the VM that reads it for the others, or that VM and another one, or old connections fall
// silent.
BOOST_AUTO_TEST_CASE(requestsAreHandledByAnOlderConfiguration)
{
    probed_vms(other_vms::None).checkAll();
}

// Guards against the same beside VMs of another build, which may read the log for those of this
// one.
BOOST_AUTO_TEST_CASE(olderConfigurationBesideAnotherBuild,
                     *boost::unit_test::precondition(hasOtherBuild))
{
    probed_vms(other_vms::Odd).checkAll();
    probed_vms(other_vms::Even).checkAll();
}
