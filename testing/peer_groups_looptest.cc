#define BOOST_TEST_MODULE peer_groups
#include "burdockhold/digest_exchange.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace burdockhold;

namespace {

constexpr int FirstPort = 17600;
constexpr int VmCount = 9;
constexpr int DataCentres = 3;

/// A VM with its router_board and its digest_exchange, on its own loopback port.
struct test_vm
{
    test_vm(boost::asio::io_context &io, int number)
        : board(settingsOf(number))
        , exchange(io, board, options())
    {
        endpoint_report report;
        report.id = "engine";
        report.pool = "pool";
        report.address = "127.0.0.1:1";
        report.dataCentre = "dc0";
        report.slots = 128;
        report.incarnation = 1;
        board.endpoints.update(report, steadyNow());
        board.endpoints.callStarted("engine", { 100, 1000 }, steadyNow());
        BOOST_REQUIRE(exchange.open().empty());
    }

    static router_settings settingsOf(int number)
    {
        router_settings settings;
        settings.vmName = "vm-" + std::to_string(number);
        settings.dataCentre = "dc" + std::to_string(number % DataCentres);
        settings.ip = "127.0.0.1";
        settings.firstPeerPort = FirstPort + number;
        return settings;
    }

    static digest_exchange_options options()
    {
        digest_exchange_options made;
        made.maxDirectPeers = 3;
        made.interval = std::chrono::milliseconds(50);
        return made;
    }

    int runningAtEngine() const
    {
        const auto candidates = board.endpoints.candidates("pool", "", 0, "", {}, steadyNow());
        return candidates.empty() ? 0 : candidates[0].running;
    }

    router_board board;
    digest_exchange exchange;
};

struct test_fleet
{
    test_fleet()
    {
        for (int number = 0; number < VmCount; ++number)
            vms.push_back(std::make_unique<test_vm>(io, number));
        for (auto &vm : vms) {
            for (int other = 0; other < VmCount; ++other)
                vm->exchange.addPeer("vm-" + std::to_string(other),
                                     digest_exchange::announcementOf(test_vm::settingsOf(other)));
        }
    }

    /// Steps all VMs until the condition holds. Returns false if it does not within ten seconds.
    bool reaches(const std::function<bool()> &condition)
    {
        const time_point end = steadyNow() + std::chrono::seconds(10);
        while (steadyNow() < end) {
            for (auto &vm : vms) {
                vm->exchange.step(steadyNow());
                vm->board.endpoints.step(vm->board.digestInterval, steadyNow());
            }
            io.run_for(std::chrono::milliseconds(10));
            io.restart();
            if (condition())
                return true;
        }
        return false;
    }

    bool allSee(int running) const
    {
        for (const auto &vm : vms) {
            if (vm->runningAtEngine() != running
                || vm->board.liveVms.size() != static_cast<std::size_t>(running - 1))
                return false;
        }
        return true;
    }

    boost::asio::io_context io;
    std::vector<std::unique_ptr<test_vm>> vms;
};

} // namespace

// Guards against a VM that is cut off from the others and takes itself for informed of what they
// know, since it has only read their names in the log; and against one that hears them and does
// not.
BOOST_AUTO_TEST_CASE(vmIsInformedOnceItHearsMostOfTheOthers)
{
    test_fleet fleet;
    for (int step = 0; step < 5; ++step)
        fleet.vms[0]->exchange.step(steadyNow());
    BOOST_TEST((fleet.vms[0]->board.fleetHeardAt < duration::zero()));
    BOOST_TEST(fleet.reaches([&] {
        return std::all_of(fleet.vms.begin(), fleet.vms.end(), [](const auto &vm) {
            return vm->board.fleetHeardAt > duration::zero();
        });
    }));
}

// Guards against requests of VMs in other data centres that are not counted or counted twice, and
// against a data centre that becomes silent when its aggregator stops.
BOOST_AUTO_TEST_CASE(loadsOfAllDataCentresAreSeenAfterAnAggregatorStops)
{
    test_fleet fleet;
    BOOST_TEST(fleet.reaches([&] { return fleet.allSee(VmCount); }));
    for (const auto &vm : fleet.vms)
        BOOST_TEST(vm->board.knownPeers == static_cast<std::size_t>(VmCount - 1));
    // The aggregators stop one after the other until each data centre has one VM left.
    for (int left = VmCount - 1; left >= DataCentres; --left) {
        const std::string dataCentre = "dc" + std::to_string(left % DataCentres);
        std::size_t aggregator = fleet.vms.size();
        for (std::size_t index = 0; index < fleet.vms.size(); ++index) {
            const auto &candidate = fleet.vms[index]->board.settings;
            const bool lower = aggregator == fleet.vms.size()
                               || shortHash(candidate.vmName)
                                          < shortHash(fleet.vms[aggregator]->board.settings.vmName);
            if (candidate.dataCentre == dataCentre && lower)
                aggregator = index;
        }
        fleet.vms.erase(fleet.vms.begin() + static_cast<std::ptrdiff_t>(aggregator));
        BOOST_TEST(fleet.reaches([&] { return fleet.allSee(left); }));
    }
}

// Guards against stored segments that an aggregator announces less often to its own data centre
// than to the others: a segment is announced a limited number of times, and building a summary used
// up one of them, as building a digest does.
BOOST_AUTO_TEST_CASE(summariesDoNotConsumeSegmentAnnouncements)
{
    test_fleet fleet;
    BOOST_TEST(fleet.reaches([&] { return fleet.allSee(VmCount); }));
    // At this later time both the digest and the summary of each VM are due.
    const time_point now = steadyNow() + std::chrono::milliseconds(500);
    for (auto &vm : fleet.vms) {
        vm->board.storedSegments.save("part", now);
        vm->exchange.step(now);
        BOOST_TEST(vm->board.storedSegments.nextAnnouncement().size() == 1U);
        BOOST_TEST(vm->board.storedSegments.nextAnnouncement().size() == 1U);
        BOOST_TEST(vm->board.storedSegments.nextAnnouncement().empty());
    }
}

// Guards against a switch that changes nothing: a requested digest is sent before the next regular
// one only while immediate digests are in use.
BOOST_AUTO_TEST_CASE(requestedDigestWaitsWithoutImmediateDigests)
{
    const auto sentEarly = [](std::string_view disabled) {
        boost::asio::io_context io;
        router_settings settings = test_vm::settingsOf(0);
        settings.mechanisms = valueOf(parseDisabledMechanisms(disabled));
        router_board board(settings);
        digest_exchange_options options = test_vm::options();
        options.interval = std::chrono::seconds(1);
        digest_exchange exchange(io, board, options);
        const time_point now = steadyNow();
        exchange.step(now);
        board.digestRequested = true;
        exchange.step(now + std::chrono::milliseconds(900));
        const bool early = !board.digestRequested;
        exchange.step(now + std::chrono::milliseconds(1100));
        BOOST_TEST(!board.digestRequested);
        return early;
    };
    BOOST_TEST(sentEarly(""));
    BOOST_TEST(!sentEarly("immediate_digests"));
}

// Guards against a late digest of a VM's former incarnation that counts as another restart.
BOOST_AUTO_TEST_CASE(lateDigestOfAFormerIncarnationIsDropped)
{
    boost::asio::io_context io;
    test_vm receiver(io, 0);
    boost::asio::ip::udp::socket sender(io, boost::asio::ip::udp::v4());
    const boost::asio::ip::udp::endpoint target(boost::asio::ip::make_address("127.0.0.1"),
                                                FirstPort);
    const auto runningAfter = [&](std::uint64_t incarnation, std::uint64_t number,
                                  std::uint32_t running) {
        vm_digest digest;
        digest.vm = "vm-1";
        digest.dataCentre = "dc0";
        digest.incarnation = incarnation;
        digest.number = number;
        endpoint_row row;
        row.endpoint = shortHash("engine");
        row.running = running;
        digest.endpoints.push_back(row);
        sender.send_to(boost::asio::buffer(encodeDigest(digest)), target);
        io.run_for(std::chrono::milliseconds(50));
        io.restart();
        return receiver.runningAtEngine();
    };
    const int own = receiver.runningAtEngine();
    BOOST_TEST(runningAfter(1, 5, 7) == own + 7);
    BOOST_TEST(runningAfter(2, 1, 2) == own + 2);
    BOOST_TEST(runningAfter(1, 6, 7) == own + 2);
    BOOST_TEST(runningAfter(2, 2, 3) == own + 3);
}
