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

constexpr int ShellNotStarted = 127;
constexpr int ShellSignalBase = 128;
constexpr std::chrono::milliseconds WaitStep(5);

exit_status decode(int raw)
{
    return { WIFEXITED(raw) ? WEXITSTATUS(raw) : ShellSignalBase + WTERMSIG(raw) };
}

// Runs in the child, between fork and exec: only async-signal-safe calls.
[[noreturn]] void execChild(char *const *arguments, int out, pid_t parent)
{
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(ShellNotStarted);
    dup2(out, STDOUT_FILENO);
    execv(arguments[0], arguments);
    _exit(ShellNotStarted);
}

} // namespace

child_process::child_process(const std::string &program, const std::vector<std::string> &arguments)
{
    std::vector<std::string> words{ program };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    pointers.reserve(words.size() + 1);
    for (std::string &word : words)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);

    if (access(program.c_str(), X_OK) != 0)
        throw std::runtime_error("cannot execute " + program);
    std::array<int, 2> pipe{};
    if (pipe2(pipe.data(), O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(), "pipe");
    const pid_t parent = getpid();
    m_id = fork();
    if (m_id == 0)
        execChild(pointers.data(), pipe[1], parent);
    const int forkError = errno;
    close(pipe[1]);
    m_out = pipe[0];
    if (m_id < 0) {
        close(m_out);
        throw std::system_error(forkError, std::generic_category(), "fork");
    }
}

child_process::~child_process()
{
    if (m_id > 0 && !m_status) {
        kill(m_id, SIGKILL);
        waitpid(m_id, nullptr, 0);
    }
    if (m_out >= 0)
        close(m_out);
}

child_process::child_process(child_process &&other) noexcept
{
    *this = std::move(other);
}

child_process &child_process::operator=(child_process &&other) noexcept
{
    std::swap(m_id, other.m_id);
    std::swap(m_out, other.m_out);
    std::swap(m_output, other.m_output);
    std::swap(m_scanned, other.m_scanned);
    std::swap(m_status, other.m_status);
    return *this;
}

bool child_process::readMore(std::chrono::milliseconds timeout)
{
    pollfd descriptor{ m_out, POLLIN, 0 };
    if (poll(&descriptor, 1, static_cast<int>(timeout.count())) <= 0)
        return false;
    std::array<char, 4096> piece{};
    const ssize_t count = read(m_out, piece.data(), piece.size());
    if (count <= 0)
        return false;
    m_output.append(piece.data(), static_cast<std::size_t>(count));
    return true;
}

std::string child_process::waitForLine(const std::string &prefix, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (true) {
        std::size_t end = 0;
        while ((end = m_output.find('\n', m_scanned)) != std::string::npos) {
            const std::string line = m_output.substr(m_scanned, end - m_scanned);
            m_scanned = end + 1;
            if (line.rfind(prefix + " ", 0) == 0)
                return line.substr(prefix.size() + 1);
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                deadline - std::chrono::steady_clock::now());
        if (left.count() <= 0 || !readMore(left))
            throw std::runtime_error("no line '" + prefix + "' in the output: " + m_output);
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
        int raw = 0;
        if (waitpid(m_id, &raw, WNOHANG) == m_id)
            m_status = decode(raw);
        else if (std::chrono::steady_clock::now() >= deadline)
            break;
        else
            std::this_thread::sleep_for(WaitStep);
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

std::string waitForUrl(child_process &process)
{
    return process.waitForLine("listening");
}

} // namespace burdockhold::testing
