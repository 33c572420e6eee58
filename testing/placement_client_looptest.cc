#define BOOST_TEST_MODULE placement_client
#include "burdockhold/digest_exchange.h"
#include "burdockhold/placement_client.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <variant>

using namespace burdockhold;

namespace {

constexpr int FirstPort = 17800;

deployment sampleDeployment()
{
    deployment made;
    made.version = 1;
    deployment_pool pool;
    pool.name = "engines";
    pool.engine = engine_traits{ 24, 96000, 163840, { "m" } };
    made.pools.push_back(pool);
    return made;
}

/// A VM that exchanges messages with schedulers over its own loopback port.
struct test_vm
{
    test_vm(boost::asio::io_context &io, int number, const std::string &dataCentre,
            std::string_view disabledMechanisms = "")
        : board(settingsOf(number, dataCentre, disabledMechanisms))
        , exchange(io, board)
        , client(io, board, [this](const auto &address, std::string_view bytes) {
            exchange.sendTo(address, bytes);
        })
    {
        board.deployment = std::make_shared<const deployment_index>(sampleDeployment());
        for (int engine = 0; engine < 4; ++engine) {
            endpoint_report report;
            report.id = "e" + std::to_string(engine);
            report.pool = "engines";
            report.address = "127.0.0.1:" + std::to_string(engine + 1);
            report.dataCentre = engine < 2 ? "dc1" : "dc2";
            report.slots = 24;
            report.incarnation = 1;
            report.weights = { { "m", 1 } };
            board.endpoints.update(report, steadyNow());
        }
        board.endpoints.setCacheTokens("engines", 96000);
        exchange.setSchedulerHandler([this](std::string_view bytes, const auto &sender) {
            client.datagramReceived(bytes, sender);
        });
        BOOST_REQUIRE(exchange.open().empty());
    }

    static router_settings settingsOf(int number, const std::string &dataCentre,
                                      std::string_view disabledMechanisms)
    {
        router_settings settings;
        settings.mechanisms = valueOf(parseDisabledMechanisms(disabledMechanisms));
        settings.vmName = "vm-" + std::to_string(number);
        settings.dataCentre = dataCentre;
        settings.ip = "127.0.0.1";
        settings.firstPeerPort = FirstPort + number;
        settings.coldOvershoot = 1.5;
        settings.coldSlack = 5.0;
        return settings;
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(board.settings.firstPeerPort);
    }

    router_board board;
    digest_exchange exchange;
    placement_client client;
};

/// A request of a VM that is to be placed.
struct test_request
{
    explicit test_request(test_vm &vm)
        : m_vm(vm)
        , placement(&vm.client)
    {
        request.model = "m";
        request.attemptId = "a";
        request.promptTokens = 9000;
        request.promptSegments = { { "shared", 4000 }, { "own", 5000 } };
    }

    placement_step choose(duration maxWait = std::chrono::milliseconds(300))
    {
        const std::set<std::string> none;
        const deployment_pool *pool = m_vm.board.deployment->findPool("engines");
        const placement_query query{ request, {},   pool,  pool->name, none,
                                     none,    true, false, false,      {} };
        const placement_inputs inputs = collectPlacementInputs(m_vm.board, query, steadyNow());
        const placement_facts facts{
            query,  inputs, "account", 5, std::chrono::milliseconds(1000), std::chrono::seconds(5),
            maxWait
        };
        const placement_step step = placement.choose(facts, [this] { isAnswered = true; });
        if (const auto *choice = std::get_if<endpoint_choice>(&step))
            chosen = std::string(inputs.candidates[choice->index].id);
        return step;
    }

    void startCall() { placement.callStarted(*m_vm.board.endpoints.find(chosen), { 9000, 9000 }); }

private:
    test_vm &m_vm;

public:
    caller_request request;
    request_placement placement;
    bool isAnswered = false;
    std::string chosen;
};

void runUntil(boost::asio::io_context &io, const std::function<bool()> &isDone)
{
    const time_point end = steadyNow() + std::chrono::seconds(5);
    while (!isDone() && steadyNow() < end) {
        io.restart();
        io.run_one_for(std::chrono::milliseconds(20));
    }
    BOOST_REQUIRE(isDone());
}

} // namespace

// Guards against VMs that choose the same idle engine, and against a request that is lost between
// the VM and the scheduler.
BOOST_AUTO_TEST_CASE(schedulerPlacesTheRequestsOfAllVms)
{
    boost::asio::io_context io;
    test_vm scheduler(io, 1, "dc1");
    test_vm other(io, 2, "dc1");
    scheduler.board.actsAsScheduler = true;
    other.board.schedulers["dc1"] = scheduler.address();

    test_request first(other);
    BOOST_TEST(std::holds_alternative<await_placement>(first.choose()));
    runUntil(io, [&] { return first.isAnswered; });
    BOOST_TEST(std::holds_alternative<endpoint_choice>(first.choose()));
    first.startCall();

    test_request second(scheduler);
    BOOST_TEST(std::holds_alternative<endpoint_choice>(second.choose()));
    BOOST_TEST(first.chosen != second.chosen);
    second.startCall();
}

// Guards against callers that wait for a scheduler that has ended.
BOOST_AUTO_TEST_CASE(silentSchedulerIsNotWaitedFor)
{
    boost::asio::io_context io;
    test_vm vm(io, 3, "dc1");
    vm.board.schedulers["dc1"] = "127.0.0.1:" + std::to_string(FirstPort + 99);
    test_request request(vm);
    BOOST_TEST(std::holds_alternative<await_placement>(request.choose()));
    runUntil(io, [&] { return request.isAnswered; });
    BOOST_TEST(std::holds_alternative<place_locally>(request.choose()));
    test_request next(vm);
    BOOST_TEST(std::holds_alternative<place_locally>(next.choose()));
}

// Guards against a request that is refused while another data centre has room, and against a
// scheduler that takes the evacuated endpoints for usable ones.
BOOST_AUTO_TEST_CASE(otherDataCentreIsAskedWhileTheOwnOneIsEvacuated)
{
    boost::asio::io_context io;
    test_vm own(io, 4, "dc1");
    test_vm remote(io, 5, "dc2");
    own.board.actsAsScheduler = true;
    remote.board.actsAsScheduler = true;
    own.board.schedulers["dc2"] = remote.address();
    for (test_vm *vm : { &own, &remote })
        vm->board.evacuated.recordRead("dc1", bootTimeNow());
    test_request request(own);
    request.choose();
    runUntil(io, [&] { return request.isAnswered; });
    BOOST_TEST(std::holds_alternative<endpoint_choice>(request.choose()));
    const bool isRemote = request.chosen == "e2" || request.chosen == "e3";
    BOOST_TEST(isRemote);
}

namespace {

/// Makes the engines of dc1 cold at the VM, which has a share of their rate.
void makeCold(test_vm &vm)
{
    const time_point now = steadyNow();
    vm.board.coldEngines.setPools({ { "engines", { std::chrono::seconds(30), 8.7 } } });
    vm.board.coldEngines.vmsListed(now - std::chrono::seconds(2));
    for (const char *id : { "e0", "e1" })
        vm.board.coldEngines.maybeCold(*vm.board.endpoints.find(id), now);
}

/// Runs until the request is placed. Under load, a grant may come too late and be asked for again.
placement_step settledStep(boost::asio::io_context &io, test_request &request)
{
    placement_step step = request.choose();
    while (std::holds_alternative<await_placement>(step)) {
        runUntil(io, [&] { return request.isAnswered; });
        request.isAnswered = false;
        step = request.choose();
    }
    return step;
}

} // namespace

// Guards against cold engines that get nothing although the scheduler has a share of their rate,
// and against a call that is charged to the asking VM's share.
BOOST_AUTO_TEST_CASE(schedulerGrantsCallsAtColdEngines)
{
    boost::asio::io_context io;
    test_vm scheduler(io, 6, "dc1");
    test_vm other(io, 7, "dc1");
    scheduler.board.actsAsScheduler = true;
    other.board.schedulers["dc1"] = scheduler.address();
    makeCold(scheduler);
    makeCold(other);
    other.board.coldEngines.requestSent("e0", steadyNow());
    test_request request(other);
    const placement_step step = settledStep(io, request);
    const auto *choice = std::get_if<endpoint_choice>(&step);
    BOOST_REQUIRE(choice != nullptr);
    BOOST_TEST(choice->onSchedulersShare);
    BOOST_TEST(scheduler.board.metrics.valueOf(router_counter::ColdGrants) >= 1U);
}

// Guards against a call on a grant that was charged long before.
BOOST_AUTO_TEST_CASE(lateColdGrantIsDroppedAndAskedForAgain)
{
    boost::asio::io_context io;
    test_vm scheduler(io, 8, "dc1");
    test_vm other(io, 9, "dc1");
    scheduler.board.actsAsScheduler = true;
    other.board.schedulers["dc1"] = scheduler.address();
    makeCold(scheduler);
    test_request request(other);
    request.choose();
    runUntil(io, [&] { return request.isAnswered; });
    std::this_thread::sleep_for(MaxColdGrantAge + std::chrono::milliseconds(5));
    request.isAnswered = false;
    BOOST_TEST(std::holds_alternative<await_placement>(request.choose()));
    BOOST_TEST(other.board.metrics.valueOf(router_counter::ColdGrantsDropped) == 1U);
    BOOST_TEST(std::holds_alternative<endpoint_choice>(settledStep(io, request)));
    BOOST_TEST(scheduler.board.metrics.valueOf(router_counter::ColdGrants) >= 2U);
}

// Guards against a mechanism that stays on at one of the two VMs after it was switched off.
BOOST_AUTO_TEST_CASE(withoutColdGrantsSchedulersGrantNone)
{
    for (const bool isOffAtScheduler : { false, true }) {
        boost::asio::io_context io;
        test_vm scheduler(io, 10, "dc1", isOffAtScheduler ? "cold_grants" : "");
        test_vm other(io, 11, "dc1", isOffAtScheduler ? "" : "cold_grants");
        scheduler.board.actsAsScheduler = true;
        other.board.schedulers["dc1"] = scheduler.address();
        makeCold(scheduler);
        test_request request(other);
        BOOST_TEST(std::holds_alternative<await_placement>(request.choose(duration::zero())));
        runUntil(io, [&] { return request.isAnswered; });
        BOOST_TEST(!std::holds_alternative<endpoint_choice>(request.choose(duration::zero())));
        BOOST_TEST(scheduler.board.metrics.valueOf(router_counter::ColdGrants) == 0U);
    }
}

// Guards against requests that wait in the queue of an evacuated data centre.
BOOST_AUTO_TEST_CASE(evacuatedDataCentreIsNotAsked)
{
    boost::asio::io_context io;
    test_vm own(io, 12, "dc1");
    test_vm remote(io, 13, "dc2");
    remote.board.actsAsScheduler = true;
    own.board.schedulers["dc1"] = "127.0.0.1:" + std::to_string(FirstPort + 99); // Answers nothing.
    own.board.schedulers["dc2"] = remote.address();
    own.board.evacuated.recordRead("dc1", bootTimeNow());
    test_request request(own);
    const placement_step step = settledStep(io, request);
    BOOST_TEST(std::holds_alternative<endpoint_choice>(step));
    BOOST_TEST(own.board.metrics.valueOf(router_counter::SchedulerTimeouts) == 0U);
}
