#define BOOST_TEST_MODULE restored_views
#include "burdockhold/view_controller.h"
#include "platform/deployment_codec.h"
#include "testing/support_platform.h"
#include "testing/support_views.h"

#include <nlohmann/json.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace burdockhold;
using namespace burdockhold::testing;

namespace {

constexpr int VmCount = 3;
constexpr duration Timeout = std::chrono::seconds(15); // Generous: no check depends on speed.

std::string endpointRecord(const std::string &state, int number = 1)
{
    return nlohmann::json{
        { "service", "desk" },
        { "address", "127.0.0.1:" + std::to_string(number) },
        { "zone", "dc1" },
        { "version", "v1" },
        { "slots", 6 },
        { "state", state },
        { "cold_remaining_ms", 0 },
        { "born", 1000 },
        { "seq", 1 }
    }.dump();
}

/// VMs that follow a log which states its era.
struct restored_group
{
    restored_group()
    {
        log.setEra(1);
        log.setFaults([this](const std::string &target) {
            loads += target.rfind("/log-newest", 0) == 0 ? 1 : 0;
            return log_fault::None;
        });
        log.put("keyed.op", "config", configuration(1));
        log.put("keyed.servers", "e1", endpointRecord("ready"));
        for (int number = 0; number < VmCount; ++number)
            vms.push_back(std::make_unique<view_vm>(io, number, log.address()));
        announceGroup(vms);
        for (auto &vm : vms)
            vm->controller.begin();
        BOOST_REQUIRE(reaches([](const view_vm &vm) {
            return vm.isFresh() && vm.hasVersion(1) && vm.usableEndpoints() == 1;
        }));
    }

    bool reaches(const std::function<bool(const view_vm &)> &condition)
    {
        const time_point end = steadyNow() + Timeout;
        while (steadyNow() < end) {
            runVms(io, vms, std::chrono::milliseconds(20));
            if (std::all_of(vms.begin(), vms.end(), [&](const auto &vm) { return condition(*vm); }))
                return true;
        }
        return false;
    }

    /// Ends an outage with the return from the copy. What is written before the first call finds
    /// the log again lies at offsets that readers may have passed.
    void returnFromCopy(const std::function<void()> &write)
    {
        log.setUnavailable(true);
        runVms(io, vms, std::chrono::milliseconds(300));
        log.returnFromCopy();
        write();
        log.setUnavailable(false);
    }

    /// Sends a request to the first VM, which reads the log then, until its view is loaded.
    view_response ask(const view_request &request)
    {
        const std::string address = "127.0.0.1:" + std::to_string(view_vm::FirstPort);
        const time_point end = steadyNow() + Timeout;
        while (steadyNow() < end) {
            test_caller caller(address);
            caller.send("GET " + encodeViewRequest(request) + " HTTP/1.1\r\n\r\n");
            runVms(io, vms, std::chrono::milliseconds(200));
            const std::string text = caller.readUntil("no such text", 100);
            const auto response = decodeViewResponse(std::string_view(text).substr(
                    std::min(text.find("\r\n\r\n") + 4, text.size())));
            if (isOk(response) && valueOf(response).operatorTopic.loaded
                && valueOf(response).endpointTopic.loaded)
                return valueOf(response);
        }
        BOOST_FAIL("no loaded view");
        return {};
    }

    boost::asio::io_context io;
    std::atomic<int> loads{ 0 };
    fake_log_service log;
    std::vector<std::unique_ptr<view_vm>> vms;
};

} // namespace

// Guards against a configuration that is never read because the log, after its return from a copy,
// has given it an offset that the reader had passed: a withdrawn key stayed valid for good.
BOOST_FIXTURE_TEST_CASE(configurationAtAPassedOffsetIsRead, restored_group)
{
    log.takeCopy();
    for (const int version : { 2, 3, 4 })
        log.put("keyed.op", "config", configuration(static_cast<std::uint64_t>(version)));
    BOOST_REQUIRE(reaches([](const view_vm &vm) { return vm.hasVersion(4); }));
    returnFromCopy([this] {
        log.put("keyed.op", "config", configuration(5));
        for (const char *key : { "first", "second", "third" })
            log.put("keyed.op", key, "{}");
    });
    BOOST_TEST(reaches([](const view_vm &vm) { return vm.hasVersion(5); }));
}

// The same for an endpoint that is draining, which stayed in use.
BOOST_FIXTURE_TEST_CASE(endpointEntryAtAPassedOffsetIsRead, restored_group)
{
    log.takeCopy();
    for (const int heartbeat : { 2, 3, 4 })
        log.put("keyed.servers", "e" + std::to_string(heartbeat),
                endpointRecord("ready", heartbeat));
    BOOST_REQUIRE(reaches([](const view_vm &vm) { return vm.usableEndpoints() == 4; }));
    returnFromCopy([this] {
        log.put("keyed.servers", "e1", endpointRecord("draining"));
        for (const int heartbeat : { 2, 3, 4 })
            log.put("keyed.servers", "e" + std::to_string(heartbeat),
                    endpointRecord("ready", heartbeat));
    });
    BOOST_TEST(reaches([](const view_vm &vm) { return vm.usableEndpoints() == 3; }));
}

// Guards against a configuration that is missed when the log returns from a copy twice in a row.
BOOST_FIXTURE_TEST_CASE(configurationIsReadAfterTwoReturns, restored_group)
{
    log.takeCopy();
    for (const int version : { 2, 3, 4 })
        log.put("keyed.op", "config", configuration(static_cast<std::uint64_t>(version)));
    BOOST_REQUIRE(reaches([](const view_vm &vm) { return vm.hasVersion(4); }));
    const auto writeOthers = [this] {
        for (const char *key : { "first", "second", "third" })
            log.put("keyed.op", key, "{}");
    };
    returnFromCopy([&] {
        writeOthers();
        log.put("keyed.op", "config", configuration(5));
    });
    returnFromCopy([&] {
        log.put("keyed.op", "config", configuration(6));
        writeOthers();
    });
    BOOST_TEST(reaches([](const view_vm &vm) { return vm.hasVersion(6); }));
}

// Guards against a VM that keeps an entry of the copy, which it has read itself: another reader,
// whose entry is the same before the return and after it was written again, sent no change of it.
BOOST_FIXTURE_TEST_CASE(requestersGetASnapshotAfterAReturn, restored_group)
{
    const view_response first = ask({});
    view_request next;
    next.reader = first.reader;
    next.operatorSequenceNumber = first.operatorTopic.sequenceNumber;
    next.endpointSequenceNumber = first.endpointTopic.sequenceNumber;
    const view_response unchanged = ask(next);
    BOOST_TEST(!unchanged.operatorTopic.isSnapshot);
    BOOST_TEST(!unchanged.endpointTopic.isSnapshot);
    log.takeCopy();
    returnFromCopy([this] { log.put("keyed.op", "config", configuration(2)); });
    BOOST_REQUIRE(reaches([](const view_vm &vm) { return vm.hasVersion(2); }));
    const view_response restored = ask(next);
    BOOST_TEST(restored.operatorTopic.isSnapshot);
    BOOST_TEST(restored.endpointTopic.isSnapshot);
    BOOST_TEST(restored.endpointTopic.era == 2);
    BOOST_TEST(restored.endpointTopic.records.size() == 1U);
}

// Guards against a reader that waits at an offset of the earlier era although other VMs have told
// it of a later one, and against loading the topics more than once for one statement.
BOOST_FIXTURE_TEST_CASE(eraStatedByAnotherVmMakesTheReaderLoadOnce, restored_group)
{
    runVms(io, vms, std::chrono::seconds(4)); // Additional readers from the start have stopped.
    const int before = loads;
    for (int statement = 0; statement < 3; ++statement) {
        for (const auto &vm : vms)
            vm->board.storeEra.heardOf(2);
        runVms(io, vms, std::chrono::milliseconds(300));
    }
    BOOST_TEST(loads - before == 2); // One of each topic.
}

namespace {

/// A VM whose view comes from another VM with the given responses, the last one again and again.
/// Returns the number of usable endpoints afterwards.
std::size_t endpointsAfter(const std::vector<view_response> &responses, bool logHasReturned)
{
    std::atomic<std::size_t> requests{ 0 };
    fake_server reader([&](const recorded_request &, response_socket &socket) {
        const std::size_t number = requests++;
        const std::string body = encodeViewResponse(
                responses[std::min(number, responses.size() - 1)]);
        return socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                            + "\r\n\r\n" + body);
    });
    boost::asio::io_context io;
    std::vector<std::unique_ptr<view_vm>> vms;
    vms.push_back(std::make_unique<view_vm>(io, 0, "127.0.0.1:1"));
    router_board &board = vms.front()->board;
    if (logHasReturned) {
        board.storeEra.observe({ 1, false });
        board.storeEra.observe({ 2, false });
    }
    board.groupVms = { { "reader", reader.address(), board.settings.capacity() + 1 } };
    vms.front()->controller.begin();
    const time_point end = steadyNow() + Timeout;
    while (requests < responses.size() + 2 && steadyNow() < end)
        runVms(io, vms, std::chrono::milliseconds(20));
    BOOST_TEST(requests >= responses.size() + 2);
    return vms.front()->usableEndpoints();
}

/// Returns the response of a reader to a first request, with this entry of an endpoint.
view_response snapshot(std::uint64_t reader, const topic_position &position,
                       const std::string &state)
{
    const auto report = platform::decodeEndpoint("e1", endpointRecord(state));
    BOOST_REQUIRE(isOk(report));
    view_response response;
    response.reader = reader;
    response.operatorTopic = { true, true, 7, 0, {}, position.offset, position.era };
    response.endpointTopic = { true,
                               true,
                               9,
                               0,
                               { { "e1", false, encodeReport(valueOf(report)) } },
                               position.offset,
                               position.era };
    return response;
}

} // namespace

// Guards against a reader that has missed the log's return from a copy and whose view, by its
// higher offset, brings a draining endpoint back.
BOOST_AUTO_TEST_CASE(viewOfAnEarlierEraChangesNothing)
{
    const view_response newer = snapshot(1, { 2, 10 }, "draining");
    const view_response older = snapshot(2, { 1, 90 }, "ready");
    BOOST_TEST(endpointsAfter({ newer, older }, false) == 0U);
    BOOST_TEST(endpointsAfter({ older, newer }, false) == 0U);
    BOOST_TEST(endpointsAfter({ older }, false) == 1U);
}

// Guards against the view of a VM of an earlier build, which states no era and may read on at an
// offset that the log has given out again.
BOOST_AUTO_TEST_CASE(viewWithoutAnEraIsNotUsedAfterAReturn)
{
    const view_response newer = snapshot(1, { 2, 10 }, "draining");
    const view_response unstated = snapshot(2, { 0, 90 }, "ready");
    BOOST_TEST(endpointsAfter({ newer, unstated }, true) == 0U);
    BOOST_TEST(endpointsAfter({ unstated }, false) == 1U);
}
