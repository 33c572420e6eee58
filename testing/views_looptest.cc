#define BOOST_TEST_MODULE views
#include "burdockhold/view_controller.h"
#include "testing/support_platform.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace burdockhold;
using namespace burdockhold::testing;

namespace {

constexpr int VmCount = 6;
constexpr int FirstPort = 17700;
constexpr duration Patience = std::chrono::seconds(15); // No verdict depends on speed.

/// A VM with its blackboard and its keeper, on a loopback port of its own.
struct test_vm
{
    test_vm(boost::asio::io_context &io, int number, const std::string &logAddress)
        : board(settingsOf(number, logAddress))
        , keeper(io, board, handlers())
    {
        BOOST_REQUIRE(keeper.open().empty());
    }

    static router_settings settingsOf(int number, const std::string &logAddress)
    {
        router_settings settings;
        settings.vmName = "vm-" + std::to_string(number);
        settings.ip = "127.0.0.1";
        settings.firstPeerPort = FirstPort + number;
        settings.logAddress = logAddress;
        return settings;
    }

    view_handlers handlers()
    {
        view_handlers made;
        made.operatorRecord = [this](const auto &record) {
            operatorRecords[record.key] = record.value.value_or("(removed)");
        };
        made.endpointReported = [this](const auto &report) {
            board.endpoints.update(report, steadyNow());
        };
        made.endpointRemoved = [this](const auto &id) { board.endpoints.remove(id, steadyNow()); };
        made.endpointRefused = [this](const auto &, const auto &) { ++refused; };
        made.endpointsListed = [this](const auto &ids) {
            board.endpoints.keepOnly(ids, steadyNow());
        };
        made.logAnswered = [](std::string_view, int) {};
        return made;
    }

    std::size_t usableEndpoints() const
    {
        return board.endpoints.candidates("desk", "", 0, "", {}, steadyNow()).size();
    }

    bool isFresh() const
    {
        return board.deploymentAge() < std::chrono::seconds(3)
               && bootTimeNow() - board.endpointsConfirmedAt < std::chrono::seconds(3);
    }

    router_board board;
    std::map<std::string, std::string> operatorRecords;
    int refused = 0;
    view_controller keeper;
};

std::string entry(const std::string &state, int heartbeat = 1)
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
        log.put("keyed.op", "config", "first");
        log.put("keyed.servers", "e1", entry("ready"));
        for (int number = 0; number < VmCount; ++number)
            vms.push_back(std::make_unique<test_vm>(io, number, log.address()));
        tellOfOthers();
        for (auto &vm : vms)
            vm->keeper.begin();
    }

    void tellOfOthers()
    {
        for (auto &vm : vms) {
            vm->board.groupVms.clear();
            for (const auto &other : vms) {
                const auto &settings = other->board.settings;
                if (other != vm)
                    vm->board.groupVms.push_back(
                            { settings.vmName,
                              "127.0.0.1:" + std::to_string(settings.firstPeerPort),
                              settings.capacity() });
            }
        }
    }

    void run(duration time)
    {
        const time_point end = steadyNow() + time;
        while (steadyNow() < end) {
            for (auto &vm : vms)
                vm->keeper.step(steadyNow());
            io.run_for(std::chrono::milliseconds(10));
            io.restart();
        }
    }

    bool reaches(const std::function<bool(const test_vm &)> &condition)
    {
        const time_point end = steadyNow() + Patience;
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
    standin_log_service log;
    std::vector<std::unique_ptr<test_vm>> vms;
};

} // namespace

// Guards against changes that reach only the VM that reads, and against an endpoint that left or a
// withdrawn key that stays in use at the others.
BOOST_FIXTURE_TEST_CASE(changesReachAllVms, test_group)
{
    BOOST_TEST(reaches([](const test_vm &vm) {
        return vm.isFresh() && vm.operatorRecords.count("config") && vm.usableEndpoints() == 1;
    }));
    log.put("keyed.op", "config", "second");
    log.put("keyed.servers", "e1", entry("draining"));
    log.put("keyed.servers", "e2", "not an entry");
    BOOST_TEST(reaches([](const test_vm &vm) {
        return vm.operatorRecords.at("config") == "second" && vm.usableEndpoints() == 0;
    }));
    log.put("keyed.servers", "e1", entry("ready", 2));
    BOOST_TEST(reaches([](const test_vm &vm) { return vm.usableEndpoints() == 1; }));
    log.remove("keyed.servers", "e1");
    BOOST_TEST(reaches([](const test_vm &vm) { return vm.usableEndpoints() == 0; }));
}

// Guards against calls to the log that grow with the VMs: three seconds of six VMs that read for
// themselves take some thirty calls more.
BOOST_FIXTURE_TEST_CASE(oneVmCallsTheLog, test_group)
{
    BOOST_TEST(reaches([](const test_vm &vm) { return vm.isFresh(); }));
    run(std::chrono::seconds(4)); // Who read at the start has stopped.
    const int before = log.callCount();
    run(std::chrono::seconds(3));
    BOOST_TEST(log.callCount() - before <= 12);
}

// Guards against a view that stays old after its reader has ended or while the log is away, and
// against one that counts as new then.
BOOST_FIXTURE_TEST_CASE(viewsAgeWithTheLogAndRecoverWithoutTheReader, test_group)
{
    BOOST_TEST(reaches([](const test_vm &vm) { return vm.isFresh(); }));
    log.setDown(true);
    run(std::chrono::seconds(4));
    for (const auto &vm : vms)
        BOOST_TEST(toSeconds(vm->board.deploymentAge()) > 3.5);
    log.setDown(false);
    BOOST_TEST(reaches([](const test_vm &vm) { return vm.isFresh(); }));
    // The VMs end one after the other; the rest have a fresh view each time.
    while (vms.size() > 1) {
        vms.erase(vms.begin());
        BOOST_TEST(reaches([](const test_vm &vm) { return vm.isFresh(); }));
        log.put("keyed.op", "config", std::to_string(vms.size()));
        const std::string newest = std::to_string(vms.size());
        BOOST_TEST(reaches(
                [&](const test_vm &vm) { return vm.operatorRecords.at("config") == newest; }));
    }
}

// Guards against questions of other senders that end the process or stop the answers.
BOOST_FIXTURE_TEST_CASE(malformedQuestionsEndTheirConnectionOnly, test_group)
{
    BOOST_TEST(reaches([](const test_vm &vm) { return vm.isFresh(); }));
    const std::string address = "127.0.0.1:" + std::to_string(FirstPort);
    const std::vector<std::string> senders{ "",
                                            "\r\n\r\n",
                                            "GET",
                                            "GET \r\n\r\n",
                                            "GET /views/1 HTTP/1.1\r\n\r\n",
                                            "GET /views/9?reader=1 HTTP/1.1\r\n\r\n",
                                            std::string(100000, 'x') };
    std::vector<std::unique_ptr<test_caller>> callers;
    for (const std::string &bytes : senders) {
        callers.push_back(std::make_unique<test_caller>(address));
        callers.back()->send(bytes);
        run(std::chrono::milliseconds(30));
    }
    log.put("keyed.op", "config", "second");
    BOOST_TEST(
            reaches([](const test_vm &vm) { return vm.operatorRecords.at("config") == "second"; }));
}

// Guards against a number of one reader's history that the next reader takes for one of its own,
// since it answers before it has loaded all topics: what changed before would never be told.
BOOST_AUTO_TEST_CASE(numbersOfAFormerReaderAreForgotten)
{
    std::vector<std::string> questions;
    std::mutex mutex;
    standin_server reader([&](const seen_request &request, answer_socket &socket) {
        const std::lock_guard lock(mutex);
        questions.push_back(request.target);
        view_response answer;
        answer.reader = questions.size() == 1 ? 1 : 2;
        answer.operatorTopic = { true, true, 7, 0, { { "config", false, "first" } } };
        answer.endpointTopic = { questions.size() == 1, true, 9, 0, {} };
        const std::string body = encodeViewResponse(answer);
        return socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                            + "\r\n\r\n" + body);
    });
    boost::asio::io_context io;
    test_vm vm(io, 0, "127.0.0.1:1");
    vm.board.groupVms = { { "reader", reader.address(), vm.board.settings.capacity() + 1 } };
    vm.keeper.begin();
    const time_point end = steadyNow() + Patience;
    const auto asked = [&] {
        const std::lock_guard lock(mutex);
        return questions.size();
    };
    while (asked() < 3 && steadyNow() < end) {
        vm.keeper.step(steadyNow());
        io.run_for(std::chrono::milliseconds(10));
        io.restart();
    }
    BOOST_REQUIRE(asked() >= 3U);
    const std::lock_guard lock(mutex);
    const auto third = decodeViewRequest(questions[2]);
    BOOST_REQUIRE(isOk(third));
    BOOST_TEST(valueOf(third).reader == 2U);
    BOOST_TEST(valueOf(third).operatorNumber == 7U);
    BOOST_TEST(valueOf(third).endpointNumber == 0U);
}
