#ifndef BURDOCKHOLD_CLOCK_H
#define BURDOCKHOLD_CLOCK_H

// Time as the decision code sees it. Decision code never reads a clock: its callers pass the time
// in, so that a decision can be replayed. Steady time only grows and is meaningful within one
// process; log time is the log service's wall clock, in milliseconds since the Unix epoch, and is
// the same for every reader of a record.

#include <chrono>
#include <cstdint>

namespace burdockhold {

using duration = std::chrono::nanoseconds;

/// A point on this process's steady clock.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Milliseconds since the Unix epoch by the log service's clock.
using log_time_ms = std::int64_t;

/// Position of a record in a stream of the log service. The first record has offset 1; 0 stands for
/// "no record".
using log_offset = std::uint64_t;

/// Reads the steady clock. For the network shell and the programs only.
inline time_point steadyNow()
{
    return std::chrono::steady_clock::now();
}

/// Returns d in seconds as a floating-point number.
inline double toSeconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Returns a duration of the given number of seconds.
inline duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace burdockhold

#endif
