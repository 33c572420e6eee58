#ifndef BURDOCKHOLD_SOAK_RUN_H
#define BURDOCKHOLD_SOAK_RUN_H

// Runs one seed of the soak: starts the log, engines, relay and routers, applies the plan's faults,
// ends them, waits until every router serves again, and judges the history.

#include "testing/soak_schedule.h"

#include <string>
#include <vector>

namespace burdockhold::testing {

struct soak_result
{
    std::vector<std::string> violations;
    std::size_t calls = 0;
    std::size_t completed = 0;
    std::size_t runs = 0;
    std::size_t orders = 0; ///< Of duty holders, at engines.
    std::size_t delays = 0; ///< Spans in which the soak itself ran late.
    std::string logs;       ///< Log lines of the routers, kept if there are violations.
};

soak_result runSoak(const soak_plan &plan);

} // namespace burdockhold::testing

#endif
