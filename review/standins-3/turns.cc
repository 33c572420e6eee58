// Two routers, one model engine and the platform's store. Two machines after the other are cut off
// while new weights are named. Checks the rule ONE on the orders that the engine has got.

#include "review/standins-3/cuttable_link.h"
#include "testing/soak_relay.h"
#include "testing/support_platform.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace burdockhold::testing;
using nlohmann::json;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

namespace {

constexpr char Pool[] = "llm";
constexpr char Model[] = "m0";
constexpr int LeaseMs = 3000;    // bounds.lease_ms
constexpr int ThawSlackMs = 300; // bounds.thaw_slack_ms
constexpr ms LoadTime{ 570 };    // "new weights take an engine 0.57 s", demands/LATER.md
constexpr ms Heartbeat{ 1200 };
constexpr ms EventGap{ 50 };

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

struct order
{
    long at;
    std::string holder;
    std::int64_t token;
    int version;
    int status;
};

/// A model engine that keeps to the pages: it checks no fencing tokens, carries out one order at a
/// time, and lets its runs finish before it loads.
class engine
{
public:
    explicit engine(fake_log_service &log)
        : m_log(log)
        , m_server([this](const recorded_request &request, response_socket &socket) {
            return serve(request, socket);
        })
    {
        m_ticker = std::thread([this] { tick(); });
    }

    ~engine()
    {
        m_stopping = true;
        m_ticker.join();
    }

    std::vector<order> orders()
    {
        const std::lock_guard lock(m_mutex);
        return m_orders;
    }

    int running()
    {
        const std::lock_guard lock(m_mutex);
        return m_running;
    }

    bool idleAt(int version)
    {
        const std::lock_guard lock(m_mutex);
        return m_version == version && m_next == 0;
    }

private:
    static std::string answer(int status, const std::string &body, const std::string &fields = {})
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
               + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
               + "\r\n\r\n" + body;
    }

    json models() const
    {
        return json::array(
                { { { "name", Model }, { "version", m_version }, { "adapters", json::array() } } });
    }

    void announce()
    {
        m_log.put("keyed.servers", "i-1",
                  json{ { "service", Pool },
                        { "address", m_server.address() },
                        { "zone", "dc1" },
                        { "version", "v1" },
                        { "slots", 128 },
                        { "state", "ready" },
                        { "cold_remaining_ms", 0 },
                        { "seq", m_seq },
                        { "born", 1000 },
                        { "stage", "colocated" },
                        { "models", models() } }
                          .dump());
        m_announcedAt = steady::now();
    }

    void tick()
    {
        while (!m_stopping) {
            {
                const std::lock_guard lock(m_mutex);
                if (m_next != 0 && m_running == 0 && !m_loading) {
                    m_loading = true;
                    m_loadedAt = steady::now() + LoadTime;
                }
                if (m_loading && steady::now() >= m_loadedAt) {
                    m_version = m_next;
                    m_next = 0;
                    m_loading = false;
                    note("engine has version " + std::to_string(m_version));
                    announce();
                } else if (steady::now() >= m_announcedAt + Heartbeat) {
                    announce();
                }
            }
            std::this_thread::sleep_for(ms(5));
        }
    }

    int take(const json &body)
    {
        const int version = body.value("version", 0);
        int status = 202;
        if (body.value("holder", "").empty() || !body.contains("fencing_token"))
            status = 400;
        else if (m_next != 0 || body.value("expected", m_seq) != m_seq)
            status = 409;
        else if (version <= m_version)
            status = 200;
        if (status == 202) {
            ++m_seq;
            m_next = version;
        }
        m_orders.push_back({ now(), body.value("holder", ""),
                             body.value("fencing_token", std::int64_t{ 0 }), version, status });
        note("order for version " + std::to_string(version) + " from " + m_orders.back().holder
             + " with token " + std::to_string(m_orders.back().token) + ", answered "
             + std::to_string(status));
        return status;
    }

    bool serve(const recorded_request &request, response_socket &socket)
    {
        const std::string target = request.field("X-Burdockhold-Target-Instance");
        if (!target.empty() && target != "i-1")
            return socket.write(answer(421, "", "X-Burdockhold-Instance-Id: i-1\r\n"));
        if (request.target == "/report") {
            const std::lock_guard lock(m_mutex);
            return socket.write(answer(200, json{ { "stage", "colocated" },
                                                  { "models", models() },
                                                  { "busy", m_next != 0 },
                                                  { "seq", m_seq },
                                                  { "queued", 0 },
                                                  { "active", m_running },
                                                  { "kv_used", 0 },
                                                  { "kv_total", 90000 },
                                                  { "handles", 0 },
                                                  { "born", 1000 } }
                                                    .dump()));
        }
        if (request.target == "/order") {
            int status = 0;
            {
                const std::lock_guard lock(m_mutex);
                status = take(json::parse(request.body));
            }
            return socket.write(answer(status, ""));
        }
        if (request.target.rfind("/chat/", 0) == 0)
            return stream(request, socket);
        return socket.write(answer(404, ""));
    }

    /// Streams 38 events, one each 50 ms.
    bool stream(const recorded_request &request, response_socket &socket)
    {
        const std::string id = request.field("X-Burdockhold-Attempt-Id");
        int version = 0;
        {
            const std::lock_guard lock(m_mutex);
            const std::string expected = request.field("X-Burdockhold-Expect-Version");
            const std::string fields = "X-Burdockhold-Attempt-Id: " + id + "\r\n";
            if (!expected.empty() && expected != std::to_string(m_version))
                return socket.write(answer(421, "", fields));
            if (m_next != 0)
                return socket.write(answer(503, "", fields + "X-Burdockhold-Not-Executed: 1\r\n"));
            ++m_running;
            version = m_version;
        }
        note("engine runs " + id);
        socket.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                     "chunked\r\nX-Burdockhold-Attempt-Id: "
                     + id + "\r\nX-Burdockhold-Server-Stamp: s." + id
                     + "\r\nX-Burdockhold-Weight-Versions: " + std::to_string(version)
                     + "\r\n\r\n");
        bool whole = true;
        for (int event = 1; event <= 38 && whole; ++event) {
            std::this_thread::sleep_for(EventGap);
            const std::string text = "id: " + std::to_string(event) + "\ndata: x\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            whole = socket.write(size + text + "\r\n");
        }
        whole = whole && socket.write("0\r\n\r\n");
        note("engine has ended " + id);
        const std::lock_guard lock(m_mutex);
        --m_running;
        return whole;
    }

    fake_log_service &m_log;
    std::mutex m_mutex;
    int m_version = 1;
    int m_next = 0; // Version of the order in progress, or 0.
    bool m_loading = false;
    steady::time_point m_loadedAt;
    steady::time_point m_announcedAt;
    int m_seq = 0;
    int m_running = 0;
    std::vector<order> m_orders;
    std::atomic<bool> m_stopping{ false };
    fake_server m_server;
    std::thread m_ticker;
};

void putConfiguration(fake_log_service &log)
{
    const json route{ { "name", "chat" },          { "host", "h" },
                      { "path_prefix", "/chat/" }, { "kind", "stream" },
                      { "timeout_ms", 5000 },      { "target_latency_ms", 600 },
                      { "gap_target_ms", 300 },    { "priority", 1 },
                      { "service", Pool },         { "max_attempts", 1 },
                      { "sticky", true } };
    const json service{ { "name", Pool },
                        { "max_connections", 620 },
                        { "engine",
                          { { "slots", 128 },
                            { "kv_capacity_tokens", 90000 },
                            { "kv_token_bytes", 35136 },
                            { "models", { { { "name", Model } } } } } } };
    log.put("keyed.op", "config",
            json{ { "version", 1 },
                  { "routes", { route } },
                  { "services", { service } },
                  { "limits",
                    { { "max_header_bytes", 16384 },
                      { "max_body_bytes", 1000000 },
                      { "header_timeout_ms", 3000 },
                      { "idle_timeout_ms", 15000 } } } }
                    .dump());
}

void nameVersion(fake_log_service &log, int version)
{
    note("version " + std::to_string(version) + " is named");
    log.put("keyed.op", std::string("version/") + Model,
            json{ { "model", Model }, { "version", version } }.dump());
}

template <typename Condition>
bool waitFor(const Condition &condition, ms limit)
{
    const auto end = steady::now() + limit;
    while (!condition()) {
        if (steady::now() > end)
            return false;
        std::this_thread::sleep_for(ms(1));
    }
    return true;
}

/// The machines know each other by the ports of the relay that can cut them off.
std::string throughRelay(const std::string &topic, const std::string &, const std::string &value)
{
    const std::string port = ":" + std::to_string(soak_relay::PeerPort);
    const std::size_t found = value.find(port);
    if (topic != "keyed.burdockhold-vms" || found == std::string::npos)
        return value;
    return value.substr(0, found) + ":" + std::to_string(soak_relay::RelayPort)
           + value.substr(found + port.size());
}

std::vector<std::string> ownAddresses()
{
    const int process = ::getpid();
    const std::string net = "127." + std::to_string(100 + process % 100) + "."
                            + std::to_string(1 + process / 100 % 250) + ".";
    return { net + "1", net + "2" };
}

class trial
{
public:
    trial(std::string program, bool trouble)
        : m_program(std::move(program))
        , m_trouble(trouble)
        , m_ips(ownAddresses())
        , m_links{ cuttable_link(m_log.address()), cuttable_link(m_log.address()) }
        , m_relay(m_ips, 1)
        , m_engine(m_log)
    {
        m_log.endMemberships();
        m_log.setFaults([this](const std::string &target) {
            if (target.rfind("/log-join", 0) == 0)
                m_joinedAt = now();
            return log_fault::None;
        });
        m_log.setAppendFilter(throughRelay);
        nameVersion(m_log, 1);
        putConfiguration(m_log);
    }

    /// The first machine takes the duty, then the second one is added.
    bool startMachines()
    {
        const auto firstHolds = [this] { return m_log.dutyHolder(Pool) == m_names[0]; };
        if (!start(0) || !waitFor(firstHolds, ms(8000)) || !start(1))
            return false;
        std::this_thread::sleep_for(ms(5000));
        return firstHolds();
    }

    /// A stream runs while new weights are named, so the engine is busy with its order for a while.
    /// The cut begins right after the holder has renewed its membership for the third time since.
    bool cutHolder()
    {
        if (!waitForJoins(1))
            return false;
        m_caller = std::make_unique<test_caller>(m_routers[1]->callerAddress());
        note("the client sends c1");
        m_caller->send("POST /chat/1 HTTP/1.1\r\nHost: h\r\nX-Burdockhold-Attempt-Id: c1\r\n"
                       "X-Burdockhold-Model: m0\r\nX-Burdockhold-Token-Count: 100,38\r\n"
                       "X-Burdockhold-Prompt-Prefix: aa:50,bb:50\r\n"
                       "X-Burdockhold-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi");
        if (!waitFor([this] { return m_engine.running() == 1; }, ms(1000)))
            return false;
        nameVersion(m_log, 2);
        const bool begun = waitFor([this] { return ordersOf(0) >= 1; }, ms(1000));
        nameVersion(m_log, 3);
        if (!begun || !waitForJoins(3))
            return false;
        std::this_thread::sleep_for(ms(15));
        cut(0, true);
        std::this_thread::sleep_for(ms(1500));
        nameVersion(m_log, 4);
        const std::string answer = m_caller->readUntil("\r\n0\r\n", 3000);
        note("the client has got " + std::to_string(answer.size()) + " bytes of c1");
        return true;
    }

    /// The successor is cut off once it has given an order, and the first holder comes back.
    void cutSuccessor()
    {
        if (m_trouble) {
            waitFor([this] { return ordersOf(1) >= 1; }, ms(3000));
            cut(1, true);
            cut(0, false);
        }
        std::this_thread::sleep_for(ms(600));
        nameVersion(m_log, 5);
        const long before = ordersOf(0);
        waitFor([&] { return ordersOf(0) > before || m_engine.idleAt(5); }, ms(6000));
        std::this_thread::sleep_for(ms(500));
        cut(1, false);
        std::this_thread::sleep_for(ms(1000));
    }

    /// Returns whether holders take turns within the lease.
    bool isBroken()
    {
        const std::vector<order> orders = countedOrders();
        bool broken = false;
        for (std::size_t last = 0; last < orders.size(); ++last) {
            for (std::size_t first = 0; first < last; ++first)
                broken = areTurns(orders, first, last) || broken;
        }
        return broken;
    }

private:
    bool start(int index)
    {
        router_place place;
        place.vm = m_names[index];
        place.ip = m_ips[index];
        place.enginesCheckFences = false;
        place.program = m_program;
        m_routers[index] = std::make_unique<router_process>(m_links[index].address(), place);
        return m_routers[index]->waitReady(true);
    }

    void cut(int index, bool isCut)
    {
        if (!m_trouble)
            return;
        note(m_names[index]
             + (isCut ? " is cut off from the store and the other machine" : " is back"));
        m_links[index].setCut(isCut);
        m_relay.setCut(static_cast<std::size_t>(index), isCut);
        if (!isCut)
            m_healedAt[index] = now();
    }

    bool waitForJoins(int count)
    {
        for (int join = 0; join < count; ++join) {
            const long before = m_joinedAt;
            if (!waitFor([&] { return m_joinedAt != before; }, ms(2000)))
                return false;
        }
        return true;
    }

    long ordersOf(int index)
    {
        const auto all = m_engine.orders();
        return std::count_if(all.begin(), all.end(),
                             [&](const order &one) { return one.holder == m_names[index]; });
    }

    /// Orders within thaw_slack_ms after their sender's link healed do not count.
    std::vector<order> countedOrders()
    {
        std::vector<order> counted;
        for (const order &one : m_engine.orders()) {
            const long healed = m_healedAt[one.holder == m_names[0] ? 0 : 1];
            if (healed < 0 || one.at < healed || one.at > healed + ThawSlackMs)
                counted.push_back(one);
        }
        return counted;
    }

    /// Returns whether both orders are of one holder, with one of another holder between them, all
    /// within the lease.
    static bool areTurns(const std::vector<order> &orders, std::size_t first, std::size_t last)
    {
        const order &before = orders[first];
        const order &after = orders[last];
        if (after.at - before.at >= LeaseMs)
            return false;
        const std::string span = before.holder + " at " + std::to_string(before.at) + " ms and "
                                 + after.holder + " at " + std::to_string(after.at) + " ms";
        if (before.holder != after.holder) {
            note("two holders order one engine within lease_ms: " + span);
            return false;
        }
        const bool between = std::any_of(
                orders.begin() + static_cast<long>(first), orders.begin() + static_cast<long>(last),
                [&](const order &one) { return one.holder != after.holder; });
        if (between)
            note("ONE is broken: holders take turns within lease_ms: " + span);
        return between;
    }

    std::string m_program;
    bool m_trouble;
    const std::array<std::string, 2> m_names{ "front-a-1", "front-b-1" };
    std::vector<std::string> m_ips;
    std::atomic<long> m_joinedAt{ -1 };
    fake_log_service m_log;
    std::array<cuttable_link, 2> m_links;
    soak_relay m_relay;
    engine m_engine;
    std::array<long, 2> m_healedAt{ -1, -1 };
    std::array<std::unique_ptr<router_process>, 2> m_routers;
    std::unique_ptr<test_caller> m_caller;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: turns ROUTER RECORD TROUBLE\n";
        return 2;
    }
    record.open(argv[2]);
    trial one(argv[1], std::string(argv[3]) != "0");
    if (!one.startMachines() || !one.cutHolder())
        return 2;
    one.cutSuccessor();
    const bool broken = one.isBroken();
    note(broken ? "result: broken" : "result: held");
    return broken ? 1 : 0;
}
