#define BOOST_TEST_MODULE cut_vms
#include "testing/soak_fleet.h"
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace burdockhold::testing;

namespace {

using steady_clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

constexpr std::size_t Vms = 3;
constexpr std::size_t CutVms = 2; // The first ones.
constexpr std::size_t Engines = 4;
constexpr ms Contact(3000); // After the start of a cut, until which nothing is expected.
constexpr ms CutTime(9000);
constexpr ms RequestInterval(40);
constexpr int ResponseLimitMs = 2500;
constexpr std::array<const char *, 3> Paths{ "/safe/", "/pay/", "/resume/" };

/// First tries that were sent in a span of time.
struct first_tries
{
    int sent = 0;
    int served = 0;
    std::string failure; ///< The last one's response.
};

/// Three VMs and four engines. Packets of the first two VMs can be dropped at all engines; the
/// callers, the log and the third VM still reach these VMs.
struct cut_fixture
{
    cut_fixture()
    {
        log.put("keyed.op", "config", router_fixture::deploymentBody(1, { "key-1" }).dump());
        for (std::size_t index = 0; index < Engines; ++index) {
            engines.push_back(std::make_unique<fake_server>(
                    [this](const recorded_request &request, response_socket &socket) {
                        return serve(request, socket);
                    }));
            log.put("keyed.servers", "e" + std::to_string(index),
                    router_fixture::endpointRecord(engines.back()->address(), "ready", 64));
        }
        for (std::size_t index = 0; index < Vms; ++index) {
            router_place place;
            place.vm = "vm-" + std::to_string(index);
            place.ip = soakAddress(index);
            place.callsFromIp = true;
            routers.push_back(std::make_unique<router_process>(log.address(), place));
        }
        for (const auto &router : routers)
            BOOST_REQUIRE_MESSAGE(router->waitReady(true), router->logText());
    }

    bool serve(const recorded_request &request, response_socket &socket)
    {
        {
            const std::lock_guard lock(mutex);
            if (request.target == "/pay/")
                ++payments[request.field("X-Burdockhold-Attempt-Id")];
        }
        if (request.target == "/resume/")
            return socket.write(responseHead(request, "Content-Type: text/event-stream\r\n"
                                                      "Transfer-Encoding: chunked")
                                + chunk(events(1, 3)) + LastChunk);
        return socket.write(completeResponse(request, "body"));
    }

    void setCut(bool cut, bool openToo)
    {
        std::set<std::string> addresses;
        for (std::size_t vm = 0; cut && vm < CutVms; ++vm)
            addresses.insert(soakAddress(vm));
        for (const auto &engine : engines)
            engine->cutOff(addresses, openToo);
    }

    /// Sends requests to the VM, each on a new connection, until the time, and counts those that
    /// are sent after `from`.
    first_tries callFrom(std::size_t vm, steady_clock::time_point from, steady_clock::time_point to)
    {
        first_tries tries;
        std::vector<std::thread> callers;
        std::mutex countMutex;
        for (int number = 0; steady_clock::now() < to; ++number) {
            callers.emplace_back([this, vm, number, from, &tries, &countMutex] {
                const auto sentAt = steady_clock::now();
                const std::string response = callOnce(vm, number);
                const std::lock_guard lock(countMutex);
                if (sentAt < from)
                    return;
                const bool served = response.rfind("HTTP/1.1 200", 0) == 0;
                ++tries.sent;
                tries.served += served ? 1 : 0;
                if (!served)
                    tries.failure = response;
            });
            std::this_thread::sleep_for(RequestInterval);
        }
        for (std::thread &caller : callers)
            caller.join();
        return tries;
    }

    std::string callOnce(std::size_t vm, int number)
    {
        const std::string path = Paths[static_cast<std::size_t>(number) % Paths.size()];
        const std::string id = "a" + std::to_string(vm) + "-" + std::to_string(nextId++);
        const std::string request =
                "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + "X-Burdockhold-Attempt-Id: " + id
                + "\r\nX-Burdockhold-Credential: key-1\r\n"
                  "X-Burdockhold-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
        return exchangeBytes(routers[vm]->callerAddress(), request, ResponseLimitMs);
    }

    /// Cuts the VMs off while callers call all VMs, and judges by the rule of the users.
    void checkCut(bool openToo)
    {
        const auto cutAt = steady_clock::now();
        setCut(true, openToo);
        std::array<first_tries, Vms> tries;
        std::vector<std::thread> threads;
        for (std::size_t vm = 0; vm < Vms; ++vm) {
            threads.emplace_back([this, vm, cutAt, &tries] {
                tries[vm] = callFrom(vm, cutAt + Contact, cutAt + CutTime);
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        setCut(false, openToo);
        checkServed(tries);
    }

    void checkServed(const std::array<first_tries, Vms> &tries)
    {
        first_tries cut;
        first_tries others;
        for (std::size_t vm = 0; vm < Vms; ++vm) {
            first_tries &sum = vm < CutVms ? cut : others;
            sum.sent += tries[vm].sent;
            sum.served += tries[vm].served;
            sum.failure += tries[vm].failure;
        }
        const std::string text = std::to_string(cut.served) + " of " + std::to_string(cut.sent)
                                 + " served at VMs that were cut off, "
                                 + std::to_string(others.served) + " of "
                                 + std::to_string(others.sent) + " at the others; " + cut.failure;
        BOOST_TEST_MESSAGE(text);
        const double allowed = 10.0 + (cut.sent + others.sent) / 50.0;
        const bool servedLess = 3.0 * cut.served * others.sent < 2.0 * others.served * cut.sent;
        BOOST_TEST(!(servedLess && cut.sent - cut.served > allowed), text);
        // VMs in touch are not held back by what the others cannot see.
        BOOST_TEST(others.sent - others.served <= allowed, text << others.failure);
        for (const auto &router : routers)
            BOOST_TEST_MESSAGE(router->logText());
        checkRuns();
    }

    /// An attempt on the route of payments runs once at most.
    void checkRuns()
    {
        const std::lock_guard lock(mutex);
        BOOST_TEST(!payments.empty());
        for (const auto &[id, count] : payments)
            BOOST_TEST(count == 1, id << " ran " << count << " times");
    }

    std::mutex mutex;
    std::map<std::string, int> payments; // Runs by attempt.
    std::atomic<int> nextId{ 0 };
    fake_log_service log;
    std::vector<std::unique_ptr<fake_server>> engines;
    std::vector<std::unique_ptr<router_process>> routers;
};

} // namespace

// Guards against callers whose VM has lost its links to all endpoints and fails all of them.
BOOST_FIXTURE_TEST_CASE(vmsThatAreCutOffServeTheirCallers, cut_fixture)
{
    checkCut(true);
}

// The same while connections that are open live on.
BOOST_FIXTURE_TEST_CASE(vmsThatGetNoNewConnectionsServeTheirCallers, cut_fixture)
{
    checkCut(false);
}
