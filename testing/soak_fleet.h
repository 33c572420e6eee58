#ifndef BURDOCKHOLD_SOAK_FLEET_H
#define BURDOCKHOLD_SOAK_FLEET_H

// The processes and stand-ins of one soak, and what the schedule does to them. Used by one thread.

#include "testing/soak_caller.h"
#include "testing/soak_engine.h"
#include "testing/soak_order_engine.h"
#include "testing/soak_relay.h"
#include "testing/soak_schedule.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace burdockhold::testing {

class soak_fleet
{
public:
    soak_fleet(const soak_plan &plan, soak_history &history);
    ~soak_fleet();

    /// Applies one event of the schedule.
    void apply(const soak_event &event);

    /// Ends faults that are due, restarts processes and notes those that ended by themselves.
    void step();

    /// Ends all faults. Call step() until settled() after it.
    void endFaults();
    bool settled() const;

    soak_targets &targets() { return m_targets; }
    std::string logs() const;

private:
    enum class router_state { Running, Frozen, Stopping, Dead };

    struct router
    {
        std::unique_ptr<router_process> process;
        router_state state = router_state::Running;
        soak_time since; ///< Start of the fault.
        soak_time dueAt; ///< End of Frozen or Dead.
        std::chrono::milliseconds downTime{ 0 };
    };

    void startRouters();
    void startDigestFilter();
    void kill(std::size_t index, std::chrono::milliseconds downTime);
    void terminate(std::size_t index, std::chrono::milliseconds downTime);
    void freeze(std::size_t index, std::chrono::milliseconds time);
    void stepRouter(std::size_t index);
    void exited(std::size_t index);
    void startAgain(std::size_t index);
    void crashEngine(std::size_t index, std::chrono::milliseconds downTime, bool newId);
    void restartEngine(std::size_t index, bool newId);
    void setEngineMode(const soak_event &event);
    void setAllModes(engine_mode mode, std::chrono::milliseconds time);
    void leaveEngine(std::size_t index);
    void setLogFault(const soak_event &event);
    void restoreLog(std::chrono::milliseconds away);
    void returnFromCopy();
    void noteDeploymentWritten();
    void cutFromEndpoints(const soak_event &event);
    void cutEngines(const std::set<std::string> &addresses, bool openToo);
    void disturbEngines(std::chrono::milliseconds time);
    void putDeployment();
    void withdrawKey();
    void startRollout();
    void nameWeights();
    void harmHolder(const soak_event &event);
    void after(std::chrono::milliseconds time, std::function<void()> action);
    router &at(int target) { return m_routers[static_cast<std::size_t>(target)]; }

    soak_plan m_plan;
    soak_history &m_history;
    std::atomic<log_fault> m_logFault{ log_fault::None };
    soak_log m_log;
    std::mt19937_64 m_random; // Of the log's restores.
    soak_time m_copiedAt;
    bool m_logAway = false;
    std::vector<std::unique_ptr<soak_engine>> m_engines;
    std::vector<std::unique_ptr<soak_order_engine>> m_orderEngines;
    std::unique_ptr<soak_relay> m_relay;
    std::vector<router> m_routers;
    soak_targets m_targets;
    std::multimap<soak_time, std::function<void()>> m_due;
    int m_version = 0;
    int m_keysWithdrawn = 0;
    bool m_rolloutOrdered = false;
};

/// Returns the loopback address of a router of this process's soak.
std::string soakAddress(std::size_t router);

} // namespace burdockhold::testing

#endif
