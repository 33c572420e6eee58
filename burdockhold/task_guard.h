#ifndef BURDOCKHOLD_TASK_GUARD_H
#define BURDOCKHOLD_TASK_GUARD_H

// Runs the steps of the daemon's tasks, threads and timers so that an unexpected exception ends
// only the step that threw it. Without a guard it would end the process: from a thread, a timer or
// an nng callback at once, from a cpprest task when nobody observes the task's result.
//
// An exception is logged as "a step failed", with the component and, where there is one, the id of
// the request, and is counted for the whole process. What the step leaves undone is up to its
// owner: a request ends with an error, a round of a controller is tried again.

#include <chrono>
#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace burdockhold {

/// How long a thread waits after a round that failed, so that one that fails each time neither
/// takes a processor nor fills the log.
inline constexpr std::chrono::milliseconds FailedRoundDelay(200);

/// Returns how many exceptions were caught since the process started.
std::uint64_t caughtExceptions();

/// Logs and counts an exception. `requestId` is empty outside of a request. Never throws: an
/// exception of the log itself is only counted.
void noteCaught(std::string_view component, std::string_view requestId, const char *what) noexcept;

/// Runs a step. Returns false if it threw.
template <typename Step>
bool runStep(std::string_view component, std::string_view requestId, const Step &step)
{
    try {
        step();
        return true;
    } catch (const std::exception &error) {
        noteCaught(component, requestId, error.what());
    } catch (...) {
        noteCaught(component, requestId, "an exception of an unknown type");
    }
    return false;
}

} // namespace burdockhold

#endif
