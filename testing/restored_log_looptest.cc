#define BOOST_TEST_MODULE restored_log
#include "testing/soak_fleet.h"
#include "testing/soak_history.h"
#include "testing/soak_log.h"
#include "testing/soak_order_engine.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace burdockhold;
using namespace burdockhold::testing;

namespace {

using nlohmann::json;

constexpr std::size_t Routers = 2;
constexpr int Engines = 2;
constexpr std::chrono::seconds Timeout(20); // Generous: no check depends on speed.

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + Timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

std::string routerName(std::size_t index)
{
    return "vm-" + std::to_string(index);
}

/// Two routers, engines that take orders, and a log that can return from a copy.
struct restored_log_fixture
{
    explicit restored_log_fixture(std::int64_t era)
    {
        log.service().endMemberships();
        log.service().setEra(era);
        writeDeployment();
        for (int index = 0; index < Engines; ++index)
            engines.push_back(std::make_unique<soak_order_engine>(index, true, history, log));
        log.takeCopy();
        for (std::size_t index = 0; index < Routers; ++index) {
            router_place place;
            place.vm = routerName(index);
            place.ip = soakAddress(index);
            routers.push_back(std::make_unique<router_process>(log.service().address(), place));
        }
        for (const auto &router : routers)
            BOOST_REQUIRE(router->waitReady(true));
    }

    /// What the operator writes, again after a restore.
    void writeDeployment()
    {
        const json engine{ { "slots", 6 }, { "models", { { { "name", OrderModel } } } } };
        const json body{ { "version", 1 },
                         { "routes", json::array() },
                         { "services", { { { "name", OrderPool }, { "engine", engine } } } },
                         { "limits", json::object() },
                         { "tenants", json::array() } };
        log.put("keyed.op", "config", body.dump());
    }

    void nameWeights(int version)
    {
        log.put("keyed.op", std::string("version/") + OrderModel,
                json{ { "model", OrderModel }, { "version", version } }.dump());
    }

    std::vector<soak_order> orders()
    {
        const std::lock_guard lock(history.mutex);
        return history.orders;
    }

    /// Returns whether an engine has accepted an order for these weights.
    bool isOrdered(int version)
    {
        for (const soak_order &order : orders()) {
            if (order.version == version && order.status == 202)
                return true;
        }
        return false;
    }

    /// Returns the router that holds the duty.
    std::size_t holder()
    {
        std::string name;
        BOOST_REQUIRE(
                eventually([&] { return !(name = log.service().dutyHolder(OrderPool)).empty(); }));
        return name == routerName(0) ? 0 : 1;
    }

    /// Lets one router order weights 2 and, after the log has returned from a copy of the time
    /// before it joined, the other one weights 3, while both are alive.
    void orderBeforeAndAfterReturn()
    {
        const std::size_t first = holder();
        nameWeights(2);
        BOOST_REQUIRE(eventually([this] { return isOrdered(2); }));
        routers[first]->signal(SIGSTOP);
        log.restore();
        writeDeployment();
        nameWeights(3);
        BOOST_CHECK(eventually([this] { return isOrdered(3); }));
        routers[first]->signal(SIGCONT);
    }

    void checkTokens()
    {
        std::map<std::int64_t, std::string> owners;
        for (const soak_order &order : orders()) {
            const auto owner = owners.emplace(order.token, order.holder).first;
            BOOST_TEST(owner->second == order.holder, "token " << order.token << " of "
                                                               << owner->second << " and "
                                                               << order.holder);
        }
        for (const auto &router : routers)
            BOOST_TEST_MESSAGE(router->logText());
    }

    soak_history history;
    soak_log log;
    std::vector<std::unique_ptr<soak_order_engine>> engines;
    std::vector<std::unique_ptr<router_process>> routers;
};

} // namespace

// Guards against two holders with one fencing token after the log has returned from a copy.
BOOST_AUTO_TEST_CASE(twoHoldersShareNoTokenAfterARestore)
{
    restored_log_fixture fixture(1);
    fixture.orderBeforeAndAfterReturn();
    fixture.checkTokens();
}

// The same where the log does not state its era.
BOOST_AUTO_TEST_CASE(twoHoldersShareNoTokenAfterARestoreWithoutEra)
{
    restored_log_fixture fixture(0);
    fixture.orderBeforeAndAfterReturn();
    fixture.checkTokens();
}
