// Measures what the router adds to streams: the same load of open streams goes straight to engines
// and through a daemon, in alternating rounds of one run. Prints the difference of the percentiles
// of the time to the first token and between tokens, the daemon's processor time for a request and
// a token, and its memory for an open stream. Starts no process; see scripts/bench-router. Plain
// sockets in one thread, so that the client adds little and the same to both ways.

#include "burdockhold/clock.h"

#include <boost/program_options.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

constexpr int EventsAtOnce = 256;
constexpr int PollMilliseconds = 20;
constexpr std::size_t ReadBytes = 65536;
constexpr std::string_view TokenMark = "data: {";
constexpr std::string_view BodyEnd = "\r\n0\r\n\r\n";
constexpr duration StartSpread = std::chrono::seconds(1); ///< Streams start over this time.

struct bench_options
{
    std::vector<std::string> direct;
    std::string router;
    std::string key;
    std::string model = "base";
    std::string streams = "10,100,1000";
    int pid = 0;
    int tokens = 50;
    int rounds = 3;
    double seconds = 6.0;
    std::size_t promptBytes = 1000;
};

struct server
{
    sockaddr_in address{};
    std::string authorization; ///< A header line; empty for engines.
};

server parseServer(const std::string &url, const std::string &key)
{
    const std::string prefix = "http://";
    const std::size_t colon = url.rfind(':');
    if (url.compare(0, prefix.size(), prefix) != 0 || colon <= prefix.size())
        throw std::invalid_argument("not http://IP:PORT: " + url);
    server parsed;
    parsed.address.sin_family = AF_INET;
    parsed.address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(url.substr(colon + 1))));
    const std::string host = url.substr(prefix.size(), colon - prefix.size());
    if (inet_pton(AF_INET, host.c_str(), &parsed.address.sin_addr) != 1)
        throw std::invalid_argument("not an IP address: " + host);
    if (!key.empty())
        parsed.authorization = "Authorization: Bearer " + key + "\r\n";
    return parsed;
}

struct samples
{
    std::vector<double> first;   ///< Seconds to the first token.
    std::vector<double> between; ///< Seconds between tokens.
    std::size_t requests = 0;
    std::size_t tokens = 0;
    std::size_t failures = 0;

    void append(const samples &other)
    {
        first.insert(first.end(), other.first.begin(), other.first.end());
        between.insert(between.end(), other.between.begin(), other.between.end());
        requests += other.requests;
        tokens += other.tokens;
        failures += other.failures;
    }
};

/// One caller that sends request after request on a connection.
class caller
{
public:
    caller(const server &target, std::string request, time_point startAt)
        : m_target(target)
        , m_request(std::move(request))
        , m_startAt(startAt)
    {
    }
    ~caller() { disconnect(); }
    caller(const caller &) = delete;
    caller &operator=(const caller &) = delete;

    bool isDue(time_point now) const { return !m_running && now >= m_startAt; }
    bool isRunning() const { return m_running; }

    void send(int poller)
    {
        if (m_socket < 0)
            connectTo(poller);
        m_running = true;
        m_tokens = 0;
        m_buffer.clear();
        m_scanned = 0;
        m_sentAt = steadyNow();
        const ssize_t count = ::send(m_socket, m_request.data(), m_request.size(), MSG_NOSIGNAL);
        if (count != static_cast<ssize_t>(m_request.size()))
            throw std::runtime_error("a request was not sent as a whole");
    }

    /// Reads what has arrived; counts only when `counting`.
    void receive(samples &target, bool counting)
    {
        std::array<char, ReadBytes> piece{};
        const ssize_t count = recv(m_socket, piece.data(), piece.size(), 0);
        if (count < 0 && errno == EAGAIN)
            return;
        if (count <= 0) {
            end(target, true);
            return;
        }
        m_buffer.append(piece.data(), static_cast<std::size_t>(count));
        countTokens(target, counting);
        const bool ended = m_buffer.size() >= BodyEnd.size()
                           && m_buffer.compare(m_buffer.size() - BodyEnd.size(), BodyEnd.size(),
                                               BodyEnd)
                                      == 0;
        const bool good = m_buffer.compare(0, 12, "HTTP/1.1 200") == 0;
        if (!good || ended)
            end(target, !good);
    }

private:
    void connectTo(int poller)
    {
        m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto *address = reinterpret_cast<const sockaddr *>(&m_target.address);
        if (m_socket < 0 || connect(m_socket, address, sizeof(m_target.address)) != 0)
            throw std::runtime_error("cannot connect");
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.ptr = this;
        epoll_ctl(poller, EPOLL_CTL_ADD, m_socket, &event);
        fcntl(m_socket, F_SETFL, fcntl(m_socket, F_GETFL) | O_NONBLOCK);
    }

    void disconnect()
    {
        if (m_socket >= 0)
            close(m_socket);
        m_socket = -1;
    }

    void countTokens(samples &target, bool counting)
    {
        const time_point now = steadyNow();
        std::size_t found = m_buffer.find(TokenMark, m_scanned);
        while (found != std::string::npos) {
            if (counting && m_tokens == 0)
                target.first.push_back(toSeconds(now - m_sentAt));
            else if (counting)
                target.between.push_back(toSeconds(now - m_lastToken));
            if (counting)
                ++target.tokens;
            m_lastToken = now;
            ++m_tokens;
            m_scanned = found + TokenMark.size();
            found = m_buffer.find(TokenMark, m_scanned);
        }
        const std::size_t tail = std::min(m_buffer.size(), TokenMark.size() - 1);
        m_scanned = std::max(m_scanned, m_buffer.size() - tail);
    }

    void end(samples &target, bool failed)
    {
        m_running = false;
        ++target.requests;
        if (!failed)
            return;
        ++target.failures;
        disconnect();
    }

    server m_target;
    std::string m_request;
    time_point m_startAt;
    int m_socket = -1;
    bool m_running = false;
    std::string m_buffer;
    std::size_t m_scanned = 0;
    int m_tokens = 0;
    time_point m_sentAt;
    time_point m_lastToken;
};

std::string makeRequest(const bench_options &options, const server &target, std::size_t number)
{
    std::string prompt = "stream " + std::to_string(number) + " ";
    prompt.resize(std::max(prompt.size(), options.promptBytes), 'x');
    const std::string body = R"({"model":")" + options.model + R"(","prompt":")" + prompt
                             + R"(","max_tokens":)" + std::to_string(options.tokens)
                             + R"(,"stream":true})";
    return "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n" + target.authorization
           + "X-Request-Id: bench-" + std::to_string(number)
           + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

/// Processor seconds and resident bytes of the daemon, from /proc.
struct process_use
{
    double processorSeconds = 0.0;
    double residentBytes = 0.0;
};

process_use readUse(int pid)
{
    process_use use;
    const std::string folder = "/proc/" + std::to_string(pid);
    std::ifstream file(folder + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> words;
    for (std::string word; fields >> word;)
        words.push_back(word);
    if (words.size() < 22)
        throw std::runtime_error("cannot read " + folder + "/stat");
    const double ticks = std::stod(words[11]) + std::stod(words[12]);
    use.processorSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    use.residentBytes = std::stod(words[21]) * static_cast<double>(sysconf(_SC_PAGESIZE));
    return use;
}

struct round_result
{
    samples counted;
    double processorSeconds = 0.0;
    double residentBytes = 0.0; ///< While all streams were open.
};

/// Keeps `streams` streams open for options.seconds after they have all started.
round_result runRound(const bench_options &options, const std::vector<server> &targets,
                      std::size_t streams)
{
    const int poller = epoll_create1(EPOLL_CLOEXEC);
    const time_point start = steadyNow();
    std::vector<std::unique_ptr<caller>> callers;
    for (std::size_t i = 0; i < streams; ++i) {
        const server &target = targets[i % targets.size()];
        const auto delay = StartSpread * static_cast<duration::rep>(i)
                           / static_cast<duration::rep>(streams);
        callers.push_back(
                std::make_unique<caller>(target, makeRequest(options, target, i), start + delay));
    }
    const time_point countFrom = start + 2 * StartSpread;
    const time_point countTo = countFrom + fromSeconds(options.seconds);
    round_result result;
    process_use before;
    bool counting = false;
    while (steadyNow() < countTo) {
        const time_point now = steadyNow();
        if (!counting && now >= countFrom) {
            counting = true;
            result.counted = {};
            before = readUse(options.pid);
        }
        for (const auto &one : callers) {
            if (one->isDue(now))
                one->send(poller);
        }
        std::array<epoll_event, EventsAtOnce> events{};
        const int count = epoll_wait(poller, events.data(), EventsAtOnce, PollMilliseconds);
        for (int i = 0; i < count; ++i)
            static_cast<caller *>(events.at(static_cast<std::size_t>(i)).data.ptr)
                    ->receive(result.counted, counting);
    }
    const process_use after = readUse(options.pid);
    result.processorSeconds = after.processorSeconds - before.processorSeconds;
    result.residentBytes = after.residentBytes;
    callers.clear();
    close(poller);
    return result;
}

double percentile(std::vector<double> &values, double part)
{
    if (values.empty())
        return 0.0;
    const auto place = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(place),
                     values.end());
    return 1e3 * values[place];
}

void printWay(const char *name, samples &counted)
{
    std::printf("  %-7s first token p50 %.3f p99 %.3f ms, between p50 %.3f p99 %.3f ms, "
                "%zu requests, %zu tokens, %zu failed\n",
                name, percentile(counted.first, 0.5), percentile(counted.first, 0.99),
                percentile(counted.between, 0.5), percentile(counted.between, 0.99),
                counted.requests, counted.tokens, counted.failures);
}

void printSize(std::size_t streams, samples &direct, samples &routed, double processorSeconds,
               double residentBytes, double idleBytes)
{
    std::printf("%zu streams\n", streams);
    printWay("direct", direct);
    printWay("routed", routed);
    std::printf("  added   first token p50 %+.3f p99 %+.3f ms, between p50 %+.3f p99 %+.3f ms\n",
                percentile(routed.first, 0.5) - percentile(direct.first, 0.5),
                percentile(routed.first, 0.99) - percentile(direct.first, 0.99),
                percentile(routed.between, 0.5) - percentile(direct.between, 0.5),
                percentile(routed.between, 0.99) - percentile(direct.between, 0.99));
    const auto tokens = static_cast<double>(std::max<std::size_t>(routed.tokens, 1));
    std::printf(
            "  router  %.2f processor s, %.1f us a token, %.0f requests/s and %.0f tokens/s for "
            "a core, %.1f MB resident, %.1f KB a stream\n",
            processorSeconds, 1e6 * processorSeconds / tokens,
            static_cast<double>(routed.requests) / std::max(processorSeconds, 1e-9),
            tokens / std::max(processorSeconds, 1e-9), residentBytes / 1e6,
            (residentBytes - idleBytes) / 1e3 / static_cast<double>(streams));
    std::fflush(stdout);
}

void runSize(const bench_options &options, std::size_t streams, double idleBytes)
{
    std::vector<server> engines;
    for (const std::string &url : options.direct)
        engines.push_back(parseServer(url, ""));
    const std::vector<server> routers{ parseServer(options.router, options.key) };
    samples direct;
    samples routed;
    double processorSeconds = 0.0;
    double residentBytes = 0.0;
    for (int i = 0; i < options.rounds; ++i) {
        direct.append(runRound(options, engines, streams).counted);
        const round_result through = runRound(options, routers, streams);
        routed.append(through.counted);
        processorSeconds += through.processorSeconds;
        residentBytes = std::max(residentBytes, through.residentBytes);
    }
    printSize(streams, direct, routed, processorSeconds, residentBytes, idleBytes);
}

} // namespace

int main(int argc, char **argv)
{
    namespace options_lib = boost::program_options;
    bench_options options;
    options_lib::options_description description("router_bench options");
    auto add = description.add_options();
    add("help", "print this text");
    add("direct", options_lib::value(&options.direct)->required(), "URL of an engine; repeatable");
    add("router", options_lib::value(&options.router)->required(), "URL of the daemon");
    add("key", options_lib::value(&options.key)->required(), "key of the caller");
    add("pid", options_lib::value(&options.pid)->required(), "process id of the daemon");
    add("streams", options_lib::value(&options.streams), "numbers of open streams");
    add("tokens", options_lib::value(&options.tokens), "output tokens of a request");
    add("rounds", options_lib::value(&options.rounds), "rounds each way");
    add("seconds", options_lib::value(&options.seconds), "measured time of a round");
    add("prompt-bytes", options_lib::value(&options.promptBytes), "length of a prompt");
    try {
        options_lib::variables_map values;
        options_lib::store(options_lib::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        options_lib::notify(values);
        const double idleBytes = readUse(options.pid).residentBytes;
        std::printf("idle: %.1f MB resident\n", idleBytes / 1e6);
        std::istringstream sizes(options.streams);
        for (std::string size; std::getline(sizes, size, ',');)
            runSize(options, std::stoul(size), idleBytes);
    } catch (const std::exception &error) {
        std::cerr << "router_bench: " << error.what() << "\n";
        return 2;
    }
    return 0;
}
