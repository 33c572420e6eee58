#define BOOST_TEST_MODULE deployment_transfers
#include "testing/support_platform.h"
#include "testing/support_slow_link.h"
#include "testing/support_views.h"

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

constexpr int VmCount = 5;
constexpr duration Timeout = std::chrono::seconds(20); // Generous: no check depends on speed.
constexpr std::size_t FastBytesPerSecond = 1000000000;

struct transfer_fixture
{
    transfer_fixture()
    {
        log.setFaults([this](const std::string &target) {
            if (target.rfind("/log-newest", 0) == 0)
                ++loads;
            return log_fault::None;
        });
    }

    /// Starts VMs that know the deployment with the given version and number of routes.
    void startVms(std::uint64_t version, int routes)
    {
        log.put("keyed.op", "config", configuration(version, routes));
        for (int number = 0; number < VmCount; ++number) {
            const std::string peer = "127.0.0.1:" + std::to_string(view_vm::FirstPort + number);
            links.push_back(std::make_unique<slow_link>(peer, FastBytesPerSecond));
            vms.push_back(std::make_unique<view_vm>(io, number, log.address()));
        }
        for (auto &vm : vms) {
            for (int number = 0; number < VmCount; ++number) {
                const auto index = static_cast<std::size_t>(number);
                const auto &other = vms[index];
                if (other != vm)
                    vm->board.groupVms.push_back({ other->board.settings.vmName,
                                                   links[index]->address(),
                                                   other->board.settings.capacity() });
            }
            vm->controller.begin();
        }
        BOOST_REQUIRE(reaches(version));
        run(std::chrono::seconds(4)); // Additional readers from the start have stopped.
    }

    void run(duration time) { runVms(io, vms, time); }

    bool reaches(std::uint64_t version)
    {
        const time_point end = steadyNow() + Timeout;
        const auto hasVersion = [version](const auto &vm) { return vm->hasVersion(version); };
        while (steadyNow() < end && !std::all_of(vms.begin(), vms.end(), hasVersion))
            run(std::chrono::milliseconds(20));
        return std::all_of(vms.begin(), vms.end(), hasVersion);
    }

    std::size_t bytesBetweenVms() const
    {
        std::size_t bytes = 0;
        for (const auto &link : links)
            bytes += link->bytesPassed();
        return bytes;
    }

    boost::asio::io_context io;
    fake_log_service log;
    std::vector<std::unique_ptr<slow_link>> links;
    std::vector<std::unique_ptr<view_vm>> vms;
    std::atomic<int> loads{ 0 }; ///< Calls with which a VM begins to read the log.
};

} // namespace

// Guards against a new version of the configuration that is sent whole to each VM, although hardly
// anything has changed.
BOOST_FIXTURE_TEST_CASE(unchangedRoutesAreNotSentAgain, transfer_fixture)
{
    constexpr int Routes = 2000;
    constexpr std::size_t MaxBytes = 20000;
    startVms(1, Routes);
    std::size_t before = bytesBetweenVms();
    log.put("keyed.op", "config", configuration(2, Routes));
    BOOST_TEST(reaches(2));
    BOOST_TEST(bytesBetweenVms() - before < MaxBytes);
    before = bytesBetweenVms();
    log.put("keyed.op", "config", configuration(3, Routes + 5));
    BOOST_TEST(reaches(3));
    BOOST_TEST(bytesBetweenVms() - before < MaxBytes);
}

// Guards against a transfer between VMs that is cut off although it progresses, after which all VMs
// read the log at the same time.
BOOST_FIXTURE_TEST_CASE(slowTransferBetweenVmsIsNotCutOff, transfer_fixture)
{
    startVms(1, 5);
    const int before = loads;
    for (auto &link : links)
        link->setRate(60000);
    log.put("keyed.op", "config", configuration(2, 3000));
    BOOST_TEST(reaches(2));
    BOOST_TEST(loads == before);
}

// Guards against a VM with a slow link that never gets a large configuration from the log, since
// each of its reads is cut off.
BOOST_FIXTURE_TEST_CASE(slowReadOfTheLogIsNotCutOff, transfer_fixture)
{
    log.put("keyed.op", "config", configuration(2, 3000));
    slow_link link(log.address(), 250000);
    vms.push_back(std::make_unique<view_vm>(io, 0, link.address()));
    vms.back()->controller.begin();
    BOOST_TEST(reaches(2));
}
