#include "testing/soak_history.h"

namespace burdockhold::testing {

std::size_t soak_history::addArrival(const soak_arrival &arrival)
{
    const std::lock_guard lock(mutex);
    arrivals.push_back(arrival);
    return arrivals.size() - 1;
}

void soak_history::endArrival(std::size_t index, bool broken)
{
    const std::lock_guard lock(mutex);
    arrivals[index].endedAt = soak_clock::now();
    arrivals[index].broken = arrivals[index].broken || broken;
}

void soak_history::addCall(const soak_call &call)
{
    const std::lock_guard lock(mutex);
    calls.push_back(call);
}

void soak_history::addRouterFault(int router, soak_span span)
{
    const std::lock_guard lock(mutex);
    routerFaults[router].push_back(span);
}

void soak_history::addEngineFault(int engine, soak_span span)
{
    const std::lock_guard lock(mutex);
    engineFaults[engine].push_back(span);
}

void soak_history::addEngineDisturbance(soak_span span)
{
    const std::lock_guard lock(mutex);
    engineDisturbances.push_back(span);
}

void soak_history::addDelay(soak_span span)
{
    const std::lock_guard lock(mutex);
    delays.push_back(span);
}

void soak_history::addLogFault(soak_span span)
{
    const std::lock_guard lock(mutex);
    logFaults.push_back(span);
}

void soak_history::addFinding(const std::string &text)
{
    const std::lock_guard lock(mutex);
    findings.push_back(text);
}

} // namespace burdockhold::testing
