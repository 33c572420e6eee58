#ifndef BURDOCKHOLD_SUPPORT_PROCESS_H
#define BURDOCKHOLD_SUPPORT_PROCESS_H

// Child processes of tests. A process is ended by its id when its object goes away, also when it is
// stopped or does not react to SIGTERM, and by the kernel when the thread that started it ends:
// start processes from the test program's main thread.

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace burdockhold::testing {

/// How a process ended: its exit status, or 128 + the signal that ended it, as shells report it.
struct exit_status
{
    int code = 0;
};

class child_process
{
public:
    /// No process; one can be moved in.
    child_process() = default;

    /// Starts a program by its path. Throws std::runtime_error when it cannot be started.
    child_process(const std::string &program, const std::vector<std::string> &arguments);
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    pid_t id() const { return m_id; }

    /// Reads standard output up to a line that starts with `prefix` and a space, and returns the
    /// rest of that line. Throws std::runtime_error, with the output so far, when the process ends
    /// or the time is over first.
    std::string waitForLine(const std::string &prefix,
                            std::chrono::milliseconds timeout = std::chrono::seconds(20));

    /// Sends a signal (SIGKILL, SIGSTOP, SIGCONT, SIGTERM). Does nothing after the end.
    void signal(int number) const;

    /// Waits for the end. Returns nothing when the time is over first.
    std::optional<exit_status> wait(std::chrono::milliseconds timeout);

    /// Sends SIGTERM (after SIGCONT), waits, and kills a process that does not end in time.
    /// Returns nothing when it had to be killed.
    std::optional<exit_status> stop(std::chrono::milliseconds timeout = std::chrono::seconds(10));

    /// Returns what was read of standard output; standard error goes to the test's own.
    const std::string &output() const { return m_output; }

private:
    bool readMore(std::chrono::milliseconds timeout);

    pid_t m_id = -1;
    int m_out = -1;
    std::string m_output;
    std::size_t m_scanned = 0; // Start of the first line that waitForLine() has not seen.
    std::optional<exit_status> m_status;
};

/// Waits for the `listening URL` line and returns the URL.
std::string waitForUrl(child_process &process);

} // namespace burdockhold::testing

#endif
