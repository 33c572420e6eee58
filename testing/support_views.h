#ifndef BURDOCKHOLD_SUPPORT_VIEWS_H
#define BURDOCKHOLD_SUPPORT_VIEWS_H

// VMs of which only the view of the log works, on loopback ports of the test's process, and the
// configurations that they read.

#include "burdockhold/view_controller.h"

#include <nlohmann/json.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold::testing {

/// Returns a configuration as the operator writes it.
inline std::string configuration(std::uint64_t version, int routes = 0)
{
    nlohmann::json rows = nlohmann::json::array();
    for (int number = 0; number < routes; ++number)
        rows.push_back({ { "name", "route-" + std::to_string(number) },
                         { "host", "host" + std::to_string(number % 20) + ".example" },
                         { "path_prefix", "/prefix" + std::to_string(number) + "/" },
                         { "kind", "safe" },
                         { "timeout_ms", 1000 },
                         { "target_latency_ms", 100 },
                         { "priority", 2 },
                         { "service", "desk" },
                         { "max_attempts", 2 },
                         { "anonymous", false },
                         { "sticky", false } });
    return nlohmann::json{
        { "version", version },
        { "routes", rows },
        { "services", { { { "name", "desk" } } } },
        { "limits", nlohmann::json::object() },
        { "tenants", nlohmann::json::array() }
    }.dump();
}

/// A VM with its router_board and its view_controller, on its own loopback port.
struct view_vm
{
    static constexpr int FirstPort = 17700;

    view_vm(boost::asio::io_context &io, int number, const std::string &logAddress)
        : board(settingsOf(number, logAddress))
        , controller(io, board, handlers())
    {
        BOOST_REQUIRE(controller.open().empty());
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
        made.deploymentChanged = [this](const auto &index, std::string_view) {
            deployment = index;
        };
        made.deploymentRefused = [](const auto &) {};
        made.endpointReported = [this](const auto &report) {
            board.endpoints.update(report, steadyNow());
        };
        made.endpointRemoved = [this](const auto &id) { board.endpoints.remove(id, steadyNow()); };
        made.endpointRecordRejected = [this](const auto &id, const auto &) {
            ++refused;
            board.endpoints.remove(id, steadyNow());
        };
        made.endpointsListed = [this](const auto &ids) {
            board.endpoints.keepOnly(ids, steadyNow());
        };
        made.logCallCompleted = [](std::string_view, int) {};
        return made;
    }

    std::size_t usableEndpoints() const
    {
        return board.endpoints.candidates("desk", "", 0, "", {}, steadyNow()).size();
    }

    bool hasVersion(std::uint64_t version) const
    {
        return deployment && deployment->version() == version;
    }

    bool isFresh() const
    {
        return board.deploymentAge() < std::chrono::seconds(3)
               && bootTimeNow() - board.endpointsConfirmedAt < std::chrono::seconds(3);
    }

    router_board board;
    std::map<std::string, std::string> operatorRecords;
    std::shared_ptr<const deployment_index> deployment;
    int refused = 0;
    view_controller controller;
};

/// Tells each VM of all the others, at the loopback ports of their views.
inline void announceGroup(const std::vector<std::unique_ptr<view_vm>> &vms)
{
    for (const auto &vm : vms) {
        vm->board.groupVms.clear();
        for (const auto &other : vms) {
            const router_settings &settings = other->board.settings;
            if (other != vm)
                vm->board.groupVms.push_back(
                        { settings.vmName, "127.0.0.1:" + std::to_string(settings.firstPeerPort),
                          settings.capacity() });
        }
    }
}

/// Runs the VMs' event loop and steps the VMs for the given time.
inline void runVms(boost::asio::io_context &io, const std::vector<std::unique_ptr<view_vm>> &vms,
                   duration time)
{
    const time_point end = steadyNow() + time;
    while (steadyNow() < end) {
        for (const auto &vm : vms)
            vm->controller.step(steadyNow());
        io.run_for(std::chrono::milliseconds(10));
        io.restart();
    }
}

} // namespace burdockhold::testing

#endif
