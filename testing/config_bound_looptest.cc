#define BOOST_TEST_MODULE config_bound
#include "testing/support_platform.h"
#include "testing/support_slow_link.h"
#include "testing/support_views.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

using namespace burdockhold;
using namespace burdockhold::testing;

namespace {

constexpr std::size_t FastBytesPerSecond = 1000000000;
constexpr duration Timeout = std::chrono::seconds(10);
constexpr std::string_view AnyCall = " HTTP/1.1";

/// VMs of one group that each have their own link to the log.
struct linked_vms
{
    explicit linked_vms(int count)
    {
        log.put("keyed.op", "config", configuration(version));
        for (int number = 0; number < count; ++number) {
            links.push_back(std::make_unique<slow_link>(log.address(), FastBytesPerSecond));
            vms.push_back(std::make_unique<view_vm>(io, number, links.back()->address()));
        }
        announceGroup(vms);
        for (auto &vm : vms)
            vm->controller.begin();
        for (std::size_t index = 0; index < vms.size(); ++index)
            BOOST_REQUIRE(delayOf(index, steadyNow()) < Timeout);
        run(std::chrono::seconds(4)); // Additional readers from the start have stopped.
    }

    void run(duration time) { runVms(io, vms, time); }

    /// Writes the next version.
    void configure() { log.put("keyed.op", "config", configuration(++version)); }

    /// Lets the reader begin a read just before the next version, with a view that was confirmed
    /// just before.
    void confirmView()
    {
        for (int change = 0; change < 2; ++change) {
            configure();
            run(std::chrono::milliseconds(100));
        }
    }

    /// Returns how long after the given time the VM has the newest version, at most the timeout.
    duration delayOf(std::size_t index, time_point since)
    {
        while (!vms[index]->hasVersion(version) && steadyNow() - since < Timeout)
            run(std::chrono::milliseconds(10));
        return std::min<duration>(steadyNow() - since, Timeout);
    }

    /// Checks that the VMs have the version that is written now within the bound.
    void checkNextVersion(const std::vector<std::size_t> &indices)
    {
        configure();
        const time_point writtenAt = steadyNow();
        std::vector<duration> delays(vms.size(), Timeout);
        std::vector<std::size_t> waiting = indices;
        while (!waiting.empty() && steadyNow() - writtenAt < Timeout) {
            run(std::chrono::milliseconds(10));
            for (const std::size_t index : waiting) {
                if (vms[index]->hasVersion(version))
                    delays[index] = steadyNow() - writtenAt;
            }
            waiting.erase(
                    std::remove_if(waiting.begin(), waiting.end(),
                                   [this](auto index) { return vms[index]->hasVersion(version); }),
                    waiting.end());
        }
        for (const std::size_t index : indices) {
            BOOST_TEST_MESSAGE("VM " << index << " after " << toSeconds(delays[index]) << " s");
            BOOST_TEST(toSeconds(delays[index])
                               <= toSeconds(vms[index]->board.settings.configBound),
                       "VM " << index << " after " << toSeconds(delays[index]) << " s");
        }
    }

    /// Returns the VMs in the order of the bytes that they get from the log, most first: the one
    /// that reads for the others comes first.
    std::vector<std::size_t> byCalls()
    {
        return linksByTraffic(links, [this] { run(std::chrono::seconds(2)); });
    }

    std::uint64_t version = 1;
    boost::asio::io_context io;
    fake_log_service log;
    std::vector<std::unique_ptr<slow_link>> links;
    std::vector<std::unique_ptr<view_vm>> vms;
};

} // namespace

// Guards against VMs that trust the view of a reader whose calls for the operator's records get no
// answer, for longer than a configuration may take to come into force.
BOOST_AUTO_TEST_CASE(configurationIsLateAtOtherVmsWhileTheReadersCallsHang)
{
    linked_vms group(4);
    std::vector<std::size_t> others = group.byCalls();
    const std::size_t reader = others.front();
    others.erase(others.begin());
    group.confirmView();
    group.links[reader]->silenceRequestsWith("keyed.op");
    group.checkNextVersion(others);
}

// Guards against a reader that has an older configuration than all other VMs, since it asks none of
// them while its own calls get no answer.
BOOST_AUTO_TEST_CASE(readerWithoutAnswersKeepsAnOlderConfiguration)
{
    linked_vms group(4);
    const std::size_t reader = group.byCalls().front();
    group.confirmView();
    group.links[reader]->silenceRequestsWith(std::string(AnyCall));
    for (int change = 0; change < 3; ++change)
        group.checkNextVersion({ 0, 1, 2, 3 });
}

// Guards against a VM without answers that asks only the reader, which has none either.
BOOST_AUTO_TEST_CASE(twoVmsWithoutAnswersKeepAnOlderConfiguration)
{
    linked_vms group(4);
    const std::size_t reader = group.byCalls().front();
    for (std::size_t second = 0; second < group.vms.size(); ++second) {
        if (second == reader)
            continue;
        group.confirmView();
        group.links[reader]->silenceRequestsWith(std::string(AnyCall));
        group.links[second]->silenceRequestsWith(std::string(AnyCall));
        group.checkNextVersion({ 0, 1, 2, 3 });
        group.links[reader]->silenceRequestsWith("");
        group.links[second]->silenceRequestsWith("");
        group.run(std::chrono::seconds(7));
    }
}

// Guards against a connection to the log that falls silent while new ones work, and delays a
// configuration until the read on it is given up.
BOOST_AUTO_TEST_CASE(silentConnectionToTheLogDelaysAConfiguration)
{
    linked_vms single(1);
    single.confirmView();
    single.links[0]->silenceOpen();
    single.checkNextVersion({ 0 });
}
