#include "testing/soak_run.h"

#include "testing/soak_checks.h"
#include "testing/soak_fleet.h"

#include <algorithm>

namespace burdockhold::testing {

namespace {

using ms = std::chrono::milliseconds;

constexpr ms StepTime{ 5 };
constexpr ms StartLimit{ 30000 };
constexpr ms SettleLimit{ 30000 }; ///< Covers a stop with its whole grace and a pause of an engine.
constexpr ms RecoveryLimit{ 10000 };
constexpr ms DelayThreshold{ 150 }; ///< From which on the soak counts as late.
constexpr ms DelayMargin{ 500 };    ///< After a delay, in which its effects pass.
constexpr int MeteredShare = 4;     ///< One caller in this many uses the metered account.

/// Notes the spans in which this process did not get to run.
class delay_watch
{
public:
    explicit delay_watch(soak_history &history)
        : m_history(history)
        , m_thread([this] { watch(); })
    {
    }

    ~delay_watch()
    {
        m_stopping = true;
        m_thread.join();
    }

    delay_watch(const delay_watch &) = delete;
    delay_watch &operator=(const delay_watch &) = delete;

private:
    void watch()
    {
        soak_time last = soak_clock::now();
        while (!m_stopping) {
            std::this_thread::sleep_for(StepTime);
            const soak_time now = soak_clock::now();
            if (now - last > DelayThreshold)
                m_history.addDelay({ last, now + DelayMargin });
            last = now;
        }
    }

    soak_history &m_history;
    std::atomic<bool> m_stopping{ false };
    std::thread m_thread;
};

class soak_driver
{
public:
    explicit soak_driver(const soak_plan &plan)
        : m_plan(plan)
        , m_fleet(plan, m_history)
    {
    }

    soak_result run()
    {
        const delay_watch watch(m_history);
        soak_result result;
        if (!allServe("start", StartLimit))
            m_history.addFinding("start: not every router serves");
        startCallers();
        applyEvents();
        settle();
        if (!allServe("recovery", RecoveryLimit))
            m_history.addFinding("recovery: not every router serves again in time");
        m_fleet.targets().stopping = true;
        m_callers.clear();
        return judge(result);
    }

private:
    void startCallers()
    {
        for (int index = 0; index < m_plan.callers; ++index)
            m_callers.push_back(std::make_unique<soak_caller>(
                    index, m_plan.seed, index % MeteredShare == 0, m_fleet.targets(), m_history));
    }

    void stepUntil(soak_time time)
    {
        while (soak_clock::now() < time) {
            m_fleet.step();
            std::this_thread::sleep_for(StepTime);
        }
    }

    void applyEvents()
    {
        const soak_time start = soak_clock::now();
        for (const soak_event &event : m_plan.events) {
            stepUntil(start + ms(event.atMs));
            m_fleet.apply(event);
        }
        stepUntil(start + ms(m_plan.faultMs));
    }

    void settle()
    {
        m_fleet.endFaults();
        const soak_time limit = soak_clock::now() + SettleLimit;
        while (!m_fleet.settled() && soak_clock::now() < limit)
            stepUntil(soak_clock::now() + StepTime);
        m_fleet.endFaults();
        if (!m_fleet.settled())
            m_history.addFinding("faults do not end: a process or engine is not back");
    }

    /// Waits until each router has served a request. While the soak is late, the limit moves.
    bool allServe(const std::string &phase, ms limit)
    {
        const soak_time start = soak_clock::now();
        std::vector<bool> served(m_fleet.targets().addresses.size());
        for (int round = 0; std::count(served.begin(), served.end(), false) > 0; ++round) {
            if (soak_clock::now() > start + limit + delaysSince(start))
                return false;
            for (std::size_t index = 0; index < served.size(); ++index) {
                if (!served[index])
                    served[index] = probe(phase, round, index);
            }
            stepUntil(soak_clock::now() + StepTime * 4);
        }
        return true;
    }

    bool probe(const std::string &phase, int round, std::size_t index)
    {
        soak_targets &targets = m_fleet.targets();
        soak_call call = soakProbe(targets.addresses[index],
                                   phase + std::to_string(round) + "r" + std::to_string(index));
        call.router = static_cast<int>(index);
        call.process = targets.starts[index];
        m_history.addCall(call);
        return call.outcome == soak_outcome::Complete;
    }

    soak_clock::duration delaysSince(soak_time start)
    {
        const std::lock_guard lock(m_history.mutex);
        soak_clock::duration total{ 0 };
        for (const soak_span &delay : m_history.delays)
            total += delay.from >= start ? delay.to - delay.from : soak_clock::duration{ 0 };
        return total;
    }

    soak_result judge(soak_result result)
    {
        const std::lock_guard lock(m_history.mutex);
        result.violations = findViolations(m_history);
        result.calls = m_history.calls.size();
        result.completed = static_cast<std::size_t>(
                std::count_if(m_history.calls.begin(), m_history.calls.end(), [](const auto &call) {
                    return call.outcome == soak_outcome::Complete;
                }));
        result.runs = m_history.arrivals.size();
        result.orders = m_history.orders.size();
        result.delays = m_history.delays.size();
        if (!result.violations.empty())
            result.logs = m_fleet.logs();
        return result;
    }

    soak_plan m_plan;
    soak_history m_history;
    soak_fleet m_fleet;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
};

} // namespace

soak_result runSoak(const soak_plan &plan)
{
    return soak_driver(plan).run();
}

} // namespace burdockhold::testing
