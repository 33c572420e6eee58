#define BOOST_TEST_MODULE views
#include "burdockhold/view_controller.h"
#include "platform/deployment_codec.h"
#include "testing/support_platform.h"
#include "testing/support_views.h"

#include <nlohmann/json.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace burdockhold;
using namespace burdockhold::testing;

namespace {

constexpr int VmCount = 6;
constexpr int FirstPort = view_vm::FirstPort;
constexpr duration Timeout = std::chrono::seconds(15); // Generous: no check depends on speed.

std::string endpointRecord(const std::string &state, int heartbeat = 1)
{
    return nlohmann::json{
        { "service", "desk" },
        { "address", "127.0.0.1:1" },
        { "zone", "dc1" },
        { "version", "v1" },
        { "slots", 6 },
        { "state", state },
        { "cold_remaining_ms", 0 },
        { "born", 1000 },
        { "seq", heartbeat }
    }.dump();
}

struct test_group
{
    test_group()
    {
        log.put("keyed.op", "config", configuration(1));
        log.put("keyed.servers", "e1", endpointRecord("ready"));
        for (int number = 0; number < VmCount; ++number)
            vms.push_back(std::make_unique<view_vm>(io, number, log.address()));
        announceGroup(vms);
        for (auto &vm : vms)
            vm->controller.begin();
    }

    void run(duration time) { runVms(io, vms, time); }

    bool reaches(const std::function<bool(const view_vm &)> &condition)
    {
        const time_point end = steadyNow() + Timeout;
        while (steadyNow() < end) {
            run(std::chrono::milliseconds(20));
            const bool all = std::all_of(vms.begin(), vms.end(),
                                         [&](const auto &vm) { return condition(*vm); });
            if (all)
                return true;
        }
        return false;
    }

    boost::asio::io_context io;
    fake_log_service log;
    std::vector<std::unique_ptr<view_vm>> vms;
};

/// Sends a request and does not read the response.
class slow_reader
{
public:
    slow_reader(int port, const std::string &request)
        : m_socket(m_io)
    {
        constexpr int SmallBuffer = 4096;
        m_socket.open(boost::asio::ip::tcp::v4());
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(SmallBuffer));
        m_socket.connect(
                { boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port) });
        boost::asio::write(m_socket, boost::asio::buffer(request));
    }

    /// Reads what has arrived. Returns true if the connection has ended.
    bool isCutOff()
    {
        m_socket.non_blocking(true);
        std::array<char, 65536> bytes{};
        boost::system::error_code error;
        while (!error)
            m_socket.read_some(boost::asio::buffer(bytes), error);
        return error != boost::asio::error::would_block;
    }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace

// Guards against an engine that other VMs still use after the reader has refused the entry that
// replaced its own.
BOOST_FIXTURE_TEST_CASE(refusedEntryIsRemovedAtAllVms, test_group)
{
    std::string second = endpointRecord("ready");
    second.replace(second.find("127.0.0.1:1"), 11, "127.0.0.1:2");
    log.put("keyed.servers", "e2", second);
    BOOST_REQUIRE(reaches([](const view_vm &vm) { return vm.usableEndpoints() == 2; }));
    log.put("keyed.servers", "e1", "[]");
    BOOST_TEST(reaches([](const view_vm &vm) { return vm.usableEndpoints() == 1; }));
    log.put("keyed.servers", "e1", endpointRecord("ready"));
    BOOST_TEST(reaches([](const view_vm &vm) { return vm.usableEndpoints() == 2; }));
}

// Guards against changes that reach only the VM that reads the log, so that a departed endpoint or
// a revoked key stays in use at the other VMs.
BOOST_FIXTURE_TEST_CASE(changesReachAllVms, test_group)
{
    BOOST_TEST(reaches([](const view_vm &vm) {
        return vm.isFresh() && vm.hasVersion(1) && vm.usableEndpoints() == 1;
    }));
    log.put("keyed.op", "config", configuration(2));
    log.put("keyed.servers", "e1", endpointRecord("draining"));
    log.put("keyed.servers", "e2", "not an entry");
    BOOST_TEST(reaches(
            [](const view_vm &vm) { return vm.hasVersion(2) && vm.usableEndpoints() == 0; }));
    log.put("keyed.servers", "e1", endpointRecord("ready", 2));
    BOOST_TEST(reaches([](const view_vm &vm) { return vm.usableEndpoints() == 1; }));
    log.remove("keyed.servers", "e1");
    BOOST_TEST(reaches([](const view_vm &vm) { return vm.usableEndpoints() == 0; }));
}

// Guards against a number of calls to the log that grows with the number of VMs: six VMs that each
// read the log make some thirty calls more in three seconds.
BOOST_FIXTURE_TEST_CASE(oneVmCallsTheLog, test_group)
{
    BOOST_TEST(reaches([](const view_vm &vm) { return vm.isFresh(); }));
    run(std::chrono::seconds(4)); // Additional readers from the start have stopped.
    const int before = log.callCount();
    run(std::chrono::seconds(3));
    BOOST_TEST(log.callCount() - before <= 12);
}

// Guards against a view that stays stale after its reader stops or after an outage of the log, and
// against a view that counts as fresh during the outage.
BOOST_FIXTURE_TEST_CASE(viewsAgeWithTheLogAndRecoverWithoutTheReader, test_group)
{
    BOOST_TEST(reaches([](const view_vm &vm) { return vm.isFresh(); }));
    log.setUnavailable(true);
    run(std::chrono::seconds(4));
    for (const auto &vm : vms)
        BOOST_TEST(toSeconds(vm->board.deploymentAge()) > 3.5);
    log.setUnavailable(false);
    BOOST_TEST(reaches([](const view_vm &vm) { return vm.isFresh(); }));
    // The VMs stop one after the other; the remaining VMs have a fresh view each time.
    while (vms.size() > 1) {
        vms.erase(vms.begin());
        BOOST_TEST(reaches([](const view_vm &vm) { return vm.isFresh(); }));
        const std::uint64_t newest = VmCount + 1 - vms.size();
        log.put("keyed.op", "config", configuration(newest));
        BOOST_TEST(reaches([&](const view_vm &vm) { return vm.hasVersion(newest); }));
    }
}

// Guards against malformed requests that end the process or keep it from serving other requests.
BOOST_FIXTURE_TEST_CASE(malformedRequestsCloseTheirConnectionOnly, test_group)
{
    BOOST_TEST(reaches([](const view_vm &vm) { return vm.isFresh(); }));
    const std::string address = "127.0.0.1:" + std::to_string(FirstPort);
    const std::vector<std::string> malformedRequests{ "",
                                                      "\r\n\r\n",
                                                      "GET",
                                                      "GET \r\n\r\n",
                                                      "GET /views/1 HTTP/1.1\r\n\r\n",
                                                      "GET /views/9?reader=1 HTTP/1.1\r\n\r\n",
                                                      std::string(100000, 'x') };
    std::vector<std::unique_ptr<test_caller>> callers;
    for (const std::string &bytes : malformedRequests) {
        callers.push_back(std::make_unique<test_caller>(address));
        callers.back()->send(bytes);
        run(std::chrono::milliseconds(30));
    }
    log.put("keyed.op", "config", configuration(2));
    BOOST_TEST(reaches([](const view_vm &vm) { return vm.hasVersion(2); }));
}

// Guards against a requester that never reads its response and holds a session for good.
BOOST_FIXTURE_TEST_CASE(unreadResponseEndsItsSession, test_group)
{
    // Together more than the socket buffers hold.
    constexpr std::size_t RecordBytes = 1000000;
    const std::vector<std::string> keys{ "first", "second", "third" };
    for (const std::string &key : keys) {
        log.put("keyed.op", key, std::string(RecordBytes, 'x'));
        BOOST_REQUIRE(reaches([&](const view_vm &vm) { return vm.operatorRecords.count(key); }));
    }
    const std::string request = "GET " + encodeViewRequest({}) + " HTTP/1.1\r\n\r\n";
    std::vector<std::unique_ptr<slow_reader>> readers;
    readers.reserve(VmCount);
    for (int number = 0; number < VmCount; ++number)
        readers.push_back(std::make_unique<slow_reader>(FirstPort + number, request));
    run(std::chrono::seconds(5));
    // Only the VM that reads the log has a long response.
    BOOST_TEST(std::any_of(readers.begin(), readers.end(),
                           [](const auto &reader) { return reader->isCutOff(); }));
}

// Guards against a sequence number of a former reader that the next reader takes for one of its
// own. It happens if the next reader responds before it has loaded all topics; the requester would
// never get the earlier changes.
BOOST_AUTO_TEST_CASE(sequenceNumbersOfAFormerReaderAreDiscarded)
{
    std::vector<std::string> requests;
    std::mutex mutex;
    fake_server reader([&](const recorded_request &request, response_socket &socket) {
        const std::lock_guard lock(mutex);
        requests.push_back(request.target);
        view_response response;
        response.reader = requests.size() == 1 ? 1 : 2;
        response.operatorTopic = { true, true, 7, 0, { { "config", false, "first" } } };
        response.endpointTopic = { requests.size() == 1, true, 9, 0, {} };
        const std::string body = encodeViewResponse(response);
        return socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                            + "\r\n\r\n" + body);
    });
    boost::asio::io_context io;
    view_vm vm(io, 0, "127.0.0.1:1");
    vm.board.groupVms = { { "reader", reader.address(), vm.board.settings.capacity() + 1 } };
    vm.controller.begin();
    const time_point end = steadyNow() + Timeout;
    const auto requestCount = [&] {
        const std::lock_guard lock(mutex);
        return requests.size();
    };
    while (requestCount() < 3 && steadyNow() < end) {
        vm.controller.step(steadyNow());
        io.run_for(std::chrono::milliseconds(10));
        io.restart();
    }
    BOOST_REQUIRE(requestCount() >= 3U);
    const std::lock_guard lock(mutex);
    const auto third = decodeViewRequest(requests[2]);
    BOOST_REQUIRE(isOk(third));
    BOOST_TEST(valueOf(third).reader == 2U);
    BOOST_TEST(valueOf(third).operatorSequenceNumber == 7U);
    BOOST_TEST(valueOf(third).endpointSequenceNumber == 0U);
}

// Guards against a reader that was cut off and passes on its old view when it is back: a VM that
// was in touch used an endpoint again that it had seen draining, and removed a new one.
BOOST_AUTO_TEST_CASE(olderViewOfAnotherReaderChangesNothing)
{
    constexpr std::int64_t OldMs = -5000;
    const auto encoded = [](const std::string &id, const std::string &state) {
        const auto report = platform::decodeEndpoint(id, endpointRecord(state));
        BOOST_REQUIRE(isOk(report));
        return topic_record{ id, false, encodeReport(valueOf(report)) };
    };
    const topic_view operators{ true, true, 7, 0, { { "config", false, "first" } }, 20 };
    topic_view oldOperators = operators;
    oldOperators.confirmedOffsetMs = OldMs;
    const auto response = [](std::uint64_t reader, const topic_view &operatorTopic,
                             const topic_view &endpointTopic) {
        view_response made;
        made.reader = reader;
        made.operatorTopic = operatorTopic;
        made.endpointTopic = endpointTopic;
        return made;
    };
    const topic_view first{ true, true, 9, 0, { encoded("e1", "draining"), encoded("e2", "ready") },
                            30 };
    const topic_view older{ true, true, 3, OldMs, { encoded("e1", "ready") }, 25 };
    const topic_view olderChange{ true, false, 4, OldMs, {}, 26 };
    const topic_view newer{ true, false, 5, 0, { encoded("e3", "ready") }, 31 };
    const std::vector<view_response> responses{ response(1, operators, first),
                                                response(2, oldOperators, older),
                                                response(2, oldOperators, olderChange),
                                                response(2, operators, newer) };
    std::vector<view_request> requests;
    std::mutex mutex;
    std::atomic<bool> hasCaughtUp{ false };
    fake_server reader([&](const recorded_request &request, response_socket &socket) {
        const std::lock_guard lock(mutex);
        const auto decoded = decodeViewRequest(request.target);
        BOOST_REQUIRE(isOk(decoded));
        requests.push_back(valueOf(decoded));
        const std::size_t last = hasCaughtUp ? 3 : 2;
        const std::string body = encodeViewResponse(responses[std::min(requests.size() - 1, last)]);
        return socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                            + "\r\n\r\n" + body);
    });
    boost::asio::io_context io;
    view_vm vm(io, 0, "127.0.0.1:1");
    vm.board.groupVms = { { "reader", reader.address(), vm.board.settings.capacity() + 1 } };
    vm.controller.begin();
    const auto runUntil = [&](std::size_t requestCount) {
        const time_point end = steadyNow() + Timeout;
        while (steadyNow() < end) {
            {
                const std::lock_guard lock(mutex);
                if (requests.size() >= requestCount)
                    return;
            }
            vm.controller.step(steadyNow());
            io.run_for(std::chrono::milliseconds(10));
            io.restart();
        }
    };
    const auto usable = [&] {
        std::set<std::string> ids;
        for (const auto &candidate :
             vm.board.endpoints.candidates("desk", "", 0, "", {}, steadyNow()))
            ids.insert(std::string(candidate.id));
        return ids;
    };
    runUntil(5);
    BOOST_TEST((usable() == std::set<std::string>{ "e2" }));
    hasCaughtUp = true;
    runUntil(7);
    BOOST_TEST((usable() == std::set<std::string>{ "e2", "e3" }));
    const std::lock_guard lock(mutex);
    BOOST_REQUIRE(requests.size() >= 5U);
    BOOST_TEST(requests[3].endpointSequenceNumber == 4U);
}
