#ifndef BURDOCKHOLD_SUPPORT_PROCESS_H
#define BURDOCKHOLD_SUPPORT_PROCESS_H

// Child processes of tests. The destructor of child_process kills its process by id with SIGKILL,
// which also ends a process that is stopped or ignores SIGTERM. The kernel kills the process when
// the thread that started it exits, so start processes from the test program's main thread.

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace burdockhold::testing {

/// How a process ended: its exit code, or 128 + the number of the signal that killed it, as shells
/// report it.
struct exit_status
{
    int code = 0;
};

class child_process
{
public:
    /// Creates an object without a process, to which another object can be moved.
    child_process() = default;

    /// Starts the executable file `program`. Throws std::runtime_error if the file is not
    /// executable or no process can be created. A failed exec shows as exit status 127.
    child_process(const std::string &program, const std::vector<std::string> &arguments);
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    pid_t id() const { return m_id; }

    /// Reads standard output up to a line that starts with `prefix` and a space, and returns the
    /// rest of that line. Throws std::runtime_error, with the output so far, if the process ends or
    /// the timeout expires first.
    std::string waitForLine(const std::string &prefix,
                            std::chrono::milliseconds timeout = std::chrono::seconds(20));

    /// Sends a signal (SIGKILL, SIGSTOP, SIGCONT, SIGTERM). Does nothing once the exit status has
    /// been collected.
    void signal(int number) const;

    /// Waits for the process to end. Returns nothing if the timeout expires first.
    std::optional<exit_status> wait(std::chrono::milliseconds timeout);

    /// Sends SIGCONT and SIGTERM, waits, and sends SIGKILL if the process has not ended by the
    /// timeout. Returns nothing if SIGKILL was needed.
    std::optional<exit_status> stop(std::chrono::milliseconds timeout = std::chrono::seconds(10));

    /// Returns the standard output read so far. Standard error is inherited from the test program.
    const std::string &output() const { return m_output; }

private:
    bool readOutput(std::chrono::milliseconds timeout);

    pid_t m_id = -1;
    int m_outputPipe = -1;
    std::string m_output;
    std::size_t m_scanOffset = 0; // Start of the first line that waitForLine() has not examined.
    std::optional<exit_status> m_status;
};

/// Waits for the line `listening URL` on standard output and returns the URL.
std::string waitForListeningUrl(child_process &process);

} // namespace burdockhold::testing

#endif
