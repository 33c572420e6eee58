// Two routers, a plain service and the platform's store, which returns once from a copy. Then the
// operator takes a key away. Checks the rule CONFIG on the requests that engines have run.

#include "testing/support_platform.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <thread>

using namespace burdockhold::testing;
using nlohmann::json;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

namespace {

constexpr int Routers = 2;
constexpr int RevokeMs = 5000; // bounds.revoke_ms
constexpr int AwayMs = 600;
constexpr ms WriteAgainAfter{ 1500 };
constexpr ms StoreAnswer{ 4 }; // "4 ms an answer"
constexpr int AfterMs = 15000; // For how long requests go on after the key was taken away.

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

struct run
{
    long at;
    std::string id;
};

class engine
{
public:
    engine()
        : m_server([this](const recorded_request &request, response_socket &socket) {
            const std::string id = request.field("X-Burdockhold-Attempt-Id");
            if (request.field("X-Burdockhold-Target-Instance") != "i-1")
                return socket.write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
            std::this_thread::sleep_for(ms(15));
            {
                const std::lock_guard lock(m_mutex);
                m_runs.push_back({ now(), id });
            }
            return socket.write("HTTP/1.1 200 OK\r\nX-Burdockhold-Attempt-Id: " + id
                                + "\r\nX-Burdockhold-Server-Stamp: s." + id
                                + "\r\nContent-Length: 2\r\n\r\nok");
        })
    {
    }

    std::string entry() const
    {
        return json{
            { "service", "desk" },
            { "address", m_server.address() },
            { "zone", "dc1" },
            { "version", "v1" },
            { "slots", 6 },
            { "state", "ready" },
            { "seq", 0 },
            { "born", 1000 },
            { "models", json::array() },
            { "cold_remaining_ms", 0 }
        }.dump();
    }

    bool hasRun(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return std::any_of(m_runs.begin(), m_runs.end(),
                           [&](const run &one) { return one.id == id; });
    }

private:
    std::mutex m_mutex;
    std::vector<run> m_runs;
    fake_server m_server;
};

/// The operator: writes records, and again what the store has lost.
class operator_of_store
{
public:
    explicit operator_of_store(fake_log_service &log)
        : m_log(log)
    {
    }

    void configure(int version, bool withKey, int timeoutMs)
    {
        json keys = json::array({ "key-other" });
        if (withKey)
            keys.push_back("key-taken");
        write("config",
              json{ { "version", version },
                    { "routes",
                      { { { "name", "pay" },
                          { "host", "h" },
                          { "path_prefix", "/pay/" },
                          { "kind", "unsafe" },
                          { "timeout_ms", timeoutMs },
                          { "target_latency_ms", 100 },
                          { "priority", 2 },
                          { "service", "desk" },
                          { "max_attempts", 1 },
                          { "anonymous", false } } } },
                    { "services", { { { "name", "desk" }, { "max_connections", 100 } } } },
                    { "tenants",
                      { { { "name", "sese880" }, { "api_keys", keys }, { "rate_per_s", 0 } } } },
                    { "limits",
                      { { "max_header_bytes", 16384 },
                        { "max_body_bytes", 1000000 },
                        { "header_timeout_ms", 3000 },
                        { "idle_timeout_ms", 15000 } } } }
                      .dump());
        note("configuration " + std::to_string(version) + (withKey ? "" : ", without key-taken,")
             + " is acknowledged");
    }

    void nameVersion(int version)
    {
        write("version/m0", json{ { "model", "m0" }, { "version", version } }.dump());
        note("version " + std::to_string(version) + " of the weights is acknowledged");
    }

    /// Writes the newest record of each key again.
    void writeAgain()
    {
        for (const auto &[key, value] : m_newest) {
            m_log.put("keyed.op", key, value);
            std::this_thread::sleep_for(StoreAnswer);
        }
        note("the operator has written its newest records again");
    }

private:
    void write(const std::string &key, const std::string &value)
    {
        m_newest[key] = value;
        m_log.put("keyed.op", key, value);
    }

    fake_log_service &m_log;
    std::map<std::string, std::string> m_newest;
};

struct sent_request
{
    long at;
    int router;
    std::string id;
    std::string key;
    std::string status;
};

using router_list = std::vector<std::unique_ptr<router_process>>;

/// Returns an empty list if a router is not ready in time.
router_list startRouters(const std::string &program, const std::string &store)
{
    const int process = ::getpid();
    const std::string net = "127." + std::to_string(100 + process % 100) + "."
                            + std::to_string(1 + process / 100 % 250) + ".";
    router_list routers;
    for (int index = 0; index < Routers; ++index) {
        router_place place;
        place.vm = "front-" + std::to_string(index);
        place.ip = net + std::to_string(1 + index);
        place.program = program;
        routers.push_back(std::make_unique<router_process>(store, place));
    }
    for (const auto &router : routers) {
        if (!router->waitReady(true))
            return {};
    }
    return routers;
}

/// Sends one request after the other with a key until told to stop.
std::vector<sent_request> runClient(int router, const std::string &address, const std::string &key,
                                    const std::atomic<bool> &stopping)
{
    std::vector<sent_request> sent;
    for (int count = 0; !stopping; ++count) {
        const std::string id = key + "-" + std::to_string(router) + "-" + std::to_string(count);
        const long at = now();
        const std::string text = exchangeBytes(
                address,
                "POST /pay/1 HTTP/1.1\r\nHost: h\r\nX-Burdockhold-Attempt-Id: " + id
                        + "\r\nX-Burdockhold-Deadline-Ms: 1000\r\nX-Burdockhold-Credential: " + key
                        + "\r\nContent-Length: 2\r\n\r\nhi",
                1200);
        sent.push_back({ at, router, id, key, text.substr(0, 12) });
        std::this_thread::sleep_for(ms(80));
    }
    return sent;
}

/// Returns when the configuration without the key was acknowledged.
long runDrill(fake_log_service &log, operator_of_store &writer, const engine &server, bool trouble)
{
    log.takeCopy();
    note("the store is copied");
    std::this_thread::sleep_for(ms(1000));
    writer.configure(2, true, 900);
    std::this_thread::sleep_for(ms(700));
    writer.configure(3, true, 1000);
    std::this_thread::sleep_for(ms(700));
    writer.nameVersion(2);
    std::this_thread::sleep_for(ms(1500));
    if (trouble) {
        note("the store is away");
        log.setUnavailable(true);
        std::this_thread::sleep_for(ms(AwayMs));
        log.returnFromCopy();
        log.setUnavailable(false);
        note("the store is back from its copy, with the next era");
        writer.writeAgain();
        log.put("keyed.servers", "i-1", server.entry());
    }
    writer.configure(4, false, 1000);
    return now();
}

/// The key is taken away, and the store forgets it while a router starts again. Returns when the
/// configuration without the key was acknowledged.
long runDrillAndRestart(fake_log_service &log, operator_of_store &writer, const engine &server,
                        router_process &router, bool trouble)
{
    log.takeCopy();
    note("the store is copied");
    std::this_thread::sleep_for(ms(500));
    writer.configure(2, false, 1000);
    const long takenAt = now();
    std::this_thread::sleep_for(ms(RevokeMs + 500));
    if (!trouble)
        return takenAt;
    note("the store is away, and front-0 is killed");
    router.signal(SIGKILL);
    log.setUnavailable(true);
    std::this_thread::sleep_for(ms(AwayMs));
    log.returnFromCopy();
    log.setUnavailable(false);
    note("the store is back from its copy, with the next era, and front-0 starts again");
    router.startAgain();
    std::this_thread::sleep_for(WriteAgainAfter);
    writer.writeAgain();
    log.put("keyed.servers", "i-1", server.entry());
    return takenAt;
}

/// Returns the script's exit code.
int judge(const std::vector<sent_request> &requests, engine &server, long takenAt)
{
    std::array<int, Routers> late{};
    int served = 0;
    for (const sent_request &one : requests) {
        const bool ran = server.hasRun(one.id);
        record << one.at << " ms " << one.id << " sent to front-" << one.router << ": "
               << (one.status.empty() ? "no answer" : one.status)
               << (ran ? ", the engine ran it" : "") << "\n";
        served += ran && one.key == "key-other" ? 1 : 0;
        if (ran && one.key == "key-taken" && one.at > takenAt + RevokeMs)
            ++late[static_cast<std::size_t>(one.router)];
    }
    if (served < 100)
        return 2;
    const bool broken = late[0] + late[1] > 0;
    note("sent over revoke_ms after the key was taken away and run: " + std::to_string(late[0])
         + " at front-0, " + std::to_string(late[1]) + " at front-1; with the other key "
         + std::to_string(served) + " were run in all");
    note(broken ? "result: CONFIG is broken" : "result: held");
    return broken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4 && argc != 5) {
        std::cerr << "usage: drill ROUTER RECORD TROUBLE [restart]\n";
        return 2;
    }
    record.open(argv[2]);
    const bool trouble = std::string(argv[3]) != "0";
    fake_log_service log;
    log.endMemberships();
    log.setEra(1);
    operator_of_store writer(log);
    engine server;
    log.put("keyed.servers", "i-1", server.entry());
    writer.nameVersion(1);
    writer.configure(1, true, 1000);
    const router_list routers = startRouters(argv[1], log.address());
    if (routers.empty())
        return 2;
    std::this_thread::sleep_for(ms(3500));
    std::atomic<bool> stopping{ false };
    std::vector<std::future<std::vector<sent_request>>> clients;
    for (int router = 0; router < Routers; ++router) {
        for (const char *key : { "key-taken", "key-other" })
            clients.push_back(std::async(std::launch::async, runClient, router,
                                         routers[static_cast<std::size_t>(router)]->callerAddress(),
                                         std::string(key), std::cref(stopping)));
    }
    const long takenAt = argc == 5 ? runDrillAndRestart(log, writer, server, *routers[0], trouble)
                                   : runDrill(log, writer, server, trouble);
    std::this_thread::sleep_for(ms(AfterMs));
    stopping = true;
    std::vector<sent_request> requests;
    for (auto &client : clients) {
        const auto sent = client.get();
        requests.insert(requests.end(), sent.begin(), sent.end());
    }
    return judge(requests, server, takenAt);
}
