#include "testing/support_process.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <utility>

namespace burdockhold::testing {

namespace {

constexpr int ExecFailedStatus = 127;
constexpr int SignalStatusBase = 128;
constexpr std::chrono::milliseconds WaitPollInterval(5);

exit_status decodeWaitStatus(int waitStatus)
{
    return { WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus)
                                   : SignalStatusBase + WTERMSIG(waitStatus) };
}

// Runs in the child between fork and exec, and so makes only async-signal-safe calls.
[[noreturn]] void execChild(char *const *arguments, int out, pid_t parent)
{
    sigset_t emptyMask;
    sigemptyset(&emptyMask);
    sigprocmask(SIG_SETMASK, &emptyMask, nullptr);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(ExecFailedStatus);
    dup2(out, STDOUT_FILENO);
    execv(arguments[0], arguments);
    _exit(ExecFailedStatus);
}

} // namespace

child_process::child_process(const std::string &program, const std::vector<std::string> &arguments)
{
    std::vector<std::string> words{ program };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> argumentPointers;
    argumentPointers.reserve(words.size() + 1);
    for (std::string &word : words)
        argumentPointers.push_back(word.data());
    argumentPointers.push_back(nullptr);

    if (access(program.c_str(), X_OK) != 0)
        throw std::runtime_error("not an executable file: " + program);
    std::array<int, 2> pipe{};
    if (pipe2(pipe.data(), O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(), "pipe");
    const pid_t parent = getpid();
    m_id = fork();
    if (m_id == 0)
        execChild(argumentPointers.data(), pipe[1], parent);
    const int forkError = errno;
    close(pipe[1]);
    m_outputPipe = pipe[0];
    if (m_id < 0) {
        close(m_outputPipe);
        throw std::system_error(forkError, std::generic_category(), "fork");
    }
}

child_process::~child_process()
{
    if (m_id > 0 && !m_status) {
        kill(m_id, SIGKILL);
        waitpid(m_id, nullptr, 0);
    }
    if (m_outputPipe >= 0)
        close(m_outputPipe);
}

child_process::child_process(child_process &&other) noexcept
{
    *this = std::move(other);
}

child_process &child_process::operator=(child_process &&other) noexcept
{
    std::swap(m_id, other.m_id);
    std::swap(m_outputPipe, other.m_outputPipe);
    std::swap(m_output, other.m_output);
    std::swap(m_scanOffset, other.m_scanOffset);
    std::swap(m_status, other.m_status);
    return *this;
}

bool child_process::readOutput(std::chrono::milliseconds timeout)
{
    pollfd descriptor{ m_outputPipe, POLLIN, 0 };
    if (poll(&descriptor, 1, static_cast<int>(timeout.count())) <= 0)
        return false;
    std::array<char, 4096> received{};
    const ssize_t count = read(m_outputPipe, received.data(), received.size());
    if (count <= 0)
        return false;
    m_output.append(received.data(), static_cast<std::size_t>(count));
    return true;
}

std::string child_process::waitForLine(const std::string &prefix, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (true) {
        std::size_t end = 0;
        while ((end = m_output.find('\n', m_scanOffset)) != std::string::npos) {
            const std::string line = m_output.substr(m_scanOffset, end - m_scanOffset);
            m_scanOffset = end + 1;
            if (line.rfind(prefix + " ", 0) == 0)
                return line.substr(prefix.size() + 1);
        }
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
                deadline - std::chrono::steady_clock::now());
        if (remaining.count() <= 0 || !readOutput(remaining))
            throw std::runtime_error("no line that starts with '" + prefix
                                     + "' in the output: " + m_output);
    }
}

void child_process::signal(int number) const
{
    if (m_id > 0 && !m_status)
        kill(m_id, number);
}

std::optional<exit_status> child_process::wait(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!m_status) {
        int waitStatus = 0;
        if (waitpid(m_id, &waitStatus, WNOHANG) == m_id)
            m_status = decodeWaitStatus(waitStatus);
        else if (std::chrono::steady_clock::now() >= deadline)
            break;
        else
            std::this_thread::sleep_for(WaitPollInterval);
    }
    return m_status;
}

std::optional<exit_status> child_process::stop(std::chrono::milliseconds timeout)
{
    signal(SIGCONT);
    signal(SIGTERM);
    const std::optional<exit_status> status = wait(timeout);
    if (!status) {
        signal(SIGKILL);
        wait(timeout);
    }
    return status;
}

std::string waitForListeningUrl(child_process &process)
{
    return process.waitForLine("listening");
}

} // namespace burdockhold::testing
