#ifndef BURDOCKHOLD_RETRY_AFTER_H
#define BURDOCKHOLD_RETRY_AFTER_H

// The time after which the caller of a refused request may come again. Pure functions.
//
// Promise: the stated time is never shorter than the given one.

#include "burdockhold/clock.h"

#include <cstdint>
#include <string>

namespace burdockhold {

/// Lengthens the pause by up to half of it, by a hash of the attempt's id, so that the retries of
/// refused callers are spread out.
inline duration withJitter(duration pause, std::uint64_t attemptHash)
{
    const double share = static_cast<double>(attemptHash % 1000) / 1000.0;
    return pause + fromSeconds(0.5 * share * toSeconds(pause));
}

/// Returns the time in seconds with three decimals, rounded up.
inline std::string formatSeconds(duration time)
{
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(time).count();
    const std::string milliseconds = std::to_string(ms % 1000);
    return std::to_string(ms / 1000) + "." + std::string(3 - milliseconds.size(), '0')
           + milliseconds;
}

} // namespace burdockhold

#endif
