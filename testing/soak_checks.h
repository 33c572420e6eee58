#ifndef BURDOCKHOLD_SOAK_CHECKS_H
#define BURDOCKHOLD_SOAK_CHECKS_H

// Judges the history of a soak by the promises that callers, engines and the operator rely on. Pure
// over the history. Returns a line for each violation, which starts with the name of the check.
//
// Checks with a time bound excuse a router that was killed, frozen or cut off shortly before, a
// faulty log, and every span in which the soak itself ran late; so no verdict depends on the speed
// of the machine. The other checks hold at all times.

#include "testing/soak_history.h"

#include <string>
#include <vector>

namespace burdockhold::testing {

/// Bounds of the settings with which the soak starts the routers.
struct soak_bounds
{
    std::chrono::milliseconds revocation{ 5000 };
    std::chrono::milliseconds config{ 2000 };
    std::chrono::milliseconds leaving{ 2000 };
    std::chrono::milliseconds gone{ 1000 }; ///< Twice the half second that callers are promised.
    std::chrono::milliseconds pauseGrace{ 500 };
    std::size_t pauseArrivals = 2;
    /// A request that crosses the close of its connection is lost within this time after its send.
    std::chrono::milliseconds crossing{ 700 };
    std::chrono::milliseconds answer{ 2900 }; ///< Just below the time limit of the routes.
    std::chrono::milliseconds contact{ 3000 };
    std::chrono::milliseconds window{ 4000 }; ///< Of the account's limit.
    std::chrono::milliseconds repeatWindow{ 10000 };
    std::chrono::milliseconds lease{ 3000 };     ///< In which holders do not take turns.
    std::chrono::milliseconds thaw{ 1000 };      ///< After a thaw or a cut, orders do not count.
    std::chrono::milliseconds aftermath{ 1000 }; ///< Of engines' faults, for "recover".
    double recoverFailures = 10.0;               ///< First tries that may fail in a cut, and
    double recoverShare = 0.02;                  ///< this share of all.
    double windowTokens = (MeteredRate * 4.0 + MeteredBurst) * 1.1 + MeteredTolerance;
};

std::vector<std::string> findViolations(const soak_history &history,
                                        const soak_bounds &bounds = {});

} // namespace burdockhold::testing

#endif
