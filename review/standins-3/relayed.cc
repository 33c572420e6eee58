// Three routers and a plain service whose answers have no length and end with their connection. One
// machine is partitioned from all engines for ten seconds. Checks the rules RECOVER and LOST on
// what clients and engines have seen.

#include "testing/support_platform.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <thread>

using namespace burdockhold::testing;
using nlohmann::json;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

namespace {

constexpr int Routers = 3;
constexpr int Engines = 4;
constexpr int ContactMs = 3000; // bounds.contact_ms
constexpr int CutMs = 10000;
constexpr int DeadlineMs = 1000;
constexpr ms Pause{ 60 }; // Between two requests of a client.

const steady::time_point began = steady::now();
std::ofstream record;
std::mutex recordMutex;

long now()
{
    return std::chrono::duration_cast<ms>(steady::now() - began).count();
}

void note(const std::string &text)
{
    const std::lock_guard lock(recordMutex);
    record << now() << " ms " << text << std::endl;
}

/// Runs each request for 15 ms and answers it whole. Counts the runs.
class engine
{
public:
    engine(int index, bool framed)
        : m_id("i-" + std::to_string(index))
        , m_framed(framed)
        , m_server([this](const recorded_request &request, response_socket &socket) {
            return serve(request, socket);
        })
    {
    }

    fake_server &server() { return m_server; }

    json entry() const
    {
        return { { "service", "desk" },
                 { "address", m_server.address() },
                 { "zone", "dc1" },
                 { "version", "v1" },
                 { "slots", 6 },
                 { "state", "ready" },
                 { "seq", 0 },
                 { "born", 1000 },
                 { "models", json::array() },
                 { "cold_remaining_ms", 0 } };
    }

    const std::string &id() const { return m_id; }

    bool hasRun(const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.count(attempt) != 0;
    }

private:
    bool serve(const recorded_request &request, response_socket &socket)
    {
        const std::string attempt = request.field("X-Burdockhold-Attempt-Id");
        if (request.field("X-Burdockhold-Target-Instance") != m_id)
            return socket.write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(ms(15));
        {
            const std::lock_guard lock(m_mutex);
            m_runs.insert(attempt);
        }
        const std::string body(800, 'b');
        const bool written = socket.write(
                "HTTP/1.1 200 OK\r\nX-Burdockhold-Attempt-Id: " + attempt
                + "\r\nX-Burdockhold-Server-Stamp: s." + attempt + "\r\n"
                + (m_framed ? "Content-Length: 800\r\n\r\n" : "Connection: close\r\n\r\n") + body);
        return written && m_framed;
    }

    std::string m_id;
    bool m_framed;
    std::mutex m_mutex;
    std::set<std::string> m_runs;
    fake_server m_server;
};

struct first_try
{
    long sentAt = 0;
    int router = 0;
    std::string id;
    bool served = false;
    bool closed = false; ///< Without an answer.
    std::string status;
};

json configuration()
{
    json routes = json::array();
    for (const char *kind : { "unsafe", "safe" })
        routes.push_back({ { "name", kind },
                           { "host", "h" },
                           { "path_prefix", std::string("/") + kind + "/" },
                           { "kind", kind },
                           { "timeout_ms", 1000 },
                           { "target_latency_ms", 100 },
                           { "priority", 2 },
                           { "service", "desk" },
                           { "max_attempts", 2 } });
    return { { "version", 1 },
             { "routes", routes },
             { "services", { { { "name", "desk" }, { "max_connections", 100 } } } },
             { "limits",
               { { "max_header_bytes", 16384 },
                 { "max_body_bytes", 1000000 },
                 { "header_timeout_ms", 3000 },
                 { "idle_timeout_ms", 15000 } } } };
}

/// Sends requests to one router, one after the other, until told to stop.
void runClient(int router, int number, const std::string &address, const std::string &kind,
               const std::atomic<bool> &stopping, std::vector<first_try> &tries, std::mutex &mutex)
{
    std::optional<test_caller> caller;
    std::size_t answered = 0;
    for (int count = 0; !stopping; ++count) {
        first_try one;
        one.router = router;
        one.id = "c" + std::to_string(router) + "x" + std::to_string(number) + "x"
                 + std::to_string(count);
        one.sentAt = now();
        if (!caller || caller->closedByPeer()) {
            caller.emplace(address);
            answered = 0;
        }
        caller->send("POST /" + kind + "/1 HTTP/1.1\r\nHost: h\r\nX-Burdockhold-Attempt-Id: "
                     + one.id + "\r\nX-Burdockhold-Deadline-Ms: " + std::to_string(DeadlineMs)
                     + "\r\nContent-Length: 2\r\n\r\nhi");
        // The text of an answer ends with its body or, for those without one, with its head.
        const auto end = steady::now() + ms(DeadlineMs + 200);
        std::string text;
        while (steady::now() < end) {
            text = caller->readUntil("\x01", 5).substr(answered);
            const std::size_t head = text.find("\r\n\r\n");
            const std::size_t length = text.find("Content-Length: ");
            if (head != std::string::npos && length < head
                && text.size() >= head + 4 + std::stoul(text.substr(length + 16)))
                break;
            if (caller->closedByPeer())
                break;
        }
        answered += text.size();
        one.status = text.substr(0, 12);
        one.served = one.status == "HTTP/1.1 200" && text.size() > 800;
        one.closed = text.empty() && caller->closedByPeer();
        if (text.empty())
            caller.reset(); // Given up.
        {
            const std::lock_guard lock(mutex);
            tries.push_back(one);
        }
        std::this_thread::sleep_for(Pause);
    }
}

using engine_list = std::vector<std::unique_ptr<engine>>;
using router_list = std::vector<std::unique_ptr<router_process>>;

/// Returns an empty list if a router is not ready in time.
router_list startRouters(const std::string &program, const std::string &store,
                         const std::string &net)
{
    router_list routers;
    for (int index = 0; index < Routers; ++index) {
        router_place place;
        place.vm = "front-" + std::to_string(index);
        place.ip = net + std::to_string(1 + index);
        place.callsFromIp = true;
        place.program = program;
        routers.push_back(std::make_unique<router_process>(store, place));
    }
    for (const auto &router : routers) {
        if (!router->waitReady(true))
            return {};
    }
    return routers;
}

void cutOff(const engine_list &engines, const std::set<std::string> &addresses)
{
    note(addresses.empty() ? "the partition ends" : "front-0 is partitioned from all engines");
    for (const auto &one : engines)
        one->server().cutOff(addresses);
}

/// Returns the script's exit code.
int judge(const std::vector<first_try> &tries, const engine_list &engines, long cutAt,
          long healedAt)
{
    std::array<int, 2> sent{}; // At the machine that is cut off, and at the others.
    std::array<int, 2> served{};
    int ranUnserved = 0;
    int unsafeLost = 0;
    for (const first_try &one : tries) {
        const bool ran = std::any_of(engines.begin(), engines.end(),
                                     [&](const auto &each) { return each->hasRun(one.id); });
        record << one.sentAt << " ms " << one.id << " sent to front-" << one.router << ": "
               << (!one.status.empty() ? one.status
                   : one.closed        ? "closed"
                                       : "no answer")
               << (ran ? ", an engine ran it" : ", no engine ran it") << "\n";
        if (one.sentAt < cutAt + ContactMs || one.sentAt > healedAt - DeadlineMs)
            continue;
        const std::size_t group = one.router == 0 ? 0 : 1;
        ++sent[group];
        served[group] += one.served ? 1 : 0;
        const bool isLost = group == 0 && ran && !one.served;
        ranUnserved += isLost ? 1 : 0;
        unsafeLost += isLost && one.id.substr(0, 4) == "c0x0" ? 1 : 0;
    }
    if (sent[0] == 0 || sent[1] == 0)
        return 2;
    note("from contact_ms after the cut on: front-0 served " + std::to_string(served[0]) + " of "
         + std::to_string(sent[0]) + " first tries, the others " + std::to_string(served[1])
         + " of " + std::to_string(sent[1])
         + "; of those that front-0 did not serve engines had run " + std::to_string(ranUnserved)
         + ", " + std::to_string(unsafeLost) + " of them unsafe");
    const int failed = sent[0] - served[0];
    const bool broken = 3.0 * served[0] * sent[1] < 2.0 * served[1] * sent[0]
                        && failed > 10 + (sent[0] + sent[1]) / 50.0;
    note(broken ? "result: RECOVER is broken" : "result: held");
    return broken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: relayed ROUTER RECORD TROUBLE\n";
        return 2;
    }
    record.open(argv[2]);
    const bool trouble = std::string(argv[3]) != "0";
    const bool framed = std::getenv("FRAMED") != nullptr; // To tell the two causes apart.
    fake_log_service log;
    log.endMemberships();
    log.put("keyed.op", "config", configuration().dump());
    engine_list engines;
    for (int index = 0; index < Engines; ++index) {
        engines.push_back(std::make_unique<engine>(index, framed));
        log.put("keyed.servers", engines.back()->id(), engines.back()->entry().dump());
    }
    const int process = ::getpid();
    const std::string net = "127." + std::to_string(100 + process % 100) + "."
                            + std::to_string(1 + process / 100 % 250) + ".";
    const router_list routers = startRouters(argv[1], log.address(), net);
    if (routers.empty())
        return 2;
    std::this_thread::sleep_for(ms(3500));

    std::atomic<bool> stopping{ false };
    std::vector<first_try> tries;
    std::mutex mutex;
    std::vector<std::thread> clients;
    for (int router = 0; router < Routers; ++router) {
        const std::string address = routers[static_cast<std::size_t>(router)]->callerAddress();
        for (const char *kind : { "unsafe", "safe" })
            clients.emplace_back([&, router, kind, address] {
                runClient(router, kind == std::string("safe") ? 1 : 0, address, kind, stopping,
                          tries, mutex);
            });
    }
    std::this_thread::sleep_for(ms(4000));
    const long cutAt = now();
    if (trouble)
        cutOff(engines, { net + "1" });
    std::this_thread::sleep_for(ms(CutMs));
    const long healedAt = now();
    if (trouble)
        cutOff(engines, {});
    std::this_thread::sleep_for(ms(2000));
    stopping = true;
    for (std::thread &client : clients)
        client.join();
    return judge(tries, engines, cutAt, healedAt);
}
