#include "testing/soak_order_engine.h"

#include "testing/soak_engine.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace burdockhold::testing {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds LoadTime{ 150 };
constexpr int LostAnswerEvery = 5;
constexpr int LateOrderEvery = 6;
constexpr std::uint64_t MinLateMs = 1000;
constexpr std::uint64_t MaxLateMs = 3000;

std::string response(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
           + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

soak_order_engine::soak_order_engine(int index, bool checksFences, soak_history &history,
                                     soak_log &log)
    : m_index(index)
    , m_checksFences(checksFences)
    , m_history(history)
    , m_log(log)
    , m_server([this](const recorded_request &request, response_socket &socket) {
        return serve(request, socket);
    })
{
    const std::lock_guard lock(m_mutex);
    announce();
}

bool soak_order_engine::serve(const recorded_request &request, response_socket &socket)
{
    const std::lock_guard lock(m_mutex);
    executeDue();
    finishLoad();
    if (request.field("X-Burdockhold-Target-Instance") != id())
        return socket.write(response(421, ""));
    if (request.target == "/report")
        return socket.write(response(200, R"({"seq":)" + std::to_string(m_accepted) + R"(,"busy":)"
                                                  + (m_loading > 0 ? "true" : "false")
                                                  + R"(,"models":)" + models() + "}"));
    if (request.target != "/order")
        return socket.write(response(404, ""));
    const std::optional<int> status = receive(request);
    if (!status || ++m_answers % LostAnswerEvery == 0)
        return false;
    return socket.write(response(*status, ""));
}

/// Records an order and carries it out unless it is one of the late ones. Returns its status if it
/// has one now.
std::optional<int> soak_order_engine::receive(const recorded_request &request)
{
    const json body = json::parse(request.body);
    soak_order order;
    order.engine = m_index;
    order.at = soak_clock::now();
    order.holder = body.value("holder", "");
    order.token = body.value("fencing_token", std::int64_t{ 0 });
    order.version = body.value("version", 0);
    order.hasExpected = body.contains("expected");
    waiting_order waiting;
    waiting.expected = body.value("expected", std::int64_t{ m_accepted });
    {
        const std::lock_guard lock(m_history.mutex);
        waiting.index = m_history.orders.size();
        m_history.orders.push_back(order);
    }
    if (++m_received % LateOrderEvery != 0)
        return execute(waiting);
    const std::uint64_t draw = soakHash(static_cast<std::uint64_t>(m_index),
                                        "late order " + std::to_string(m_received));
    waiting.dueAt = order.at
                    + std::chrono::milliseconds(MinLateMs + draw % (MaxLateMs - MinLateMs + 1));
    m_waiting.push_back(waiting);
    return std::nullopt;
}

/// Checks the order at this point, carries it out if it passes, and returns its status.
int soak_order_engine::execute(const waiting_order &order)
{
    const std::lock_guard lock(m_history.mutex);
    soak_order &recorded = m_history.orders[order.index];
    recorded.status = statusOf(recorded, order.expected == m_accepted);
    m_highestToken = std::max(m_highestToken, recorded.token);
    if (recorded.status == 202) {
        ++m_accepted;
        m_loading = recorded.version;
        m_loadedAt = soak_clock::now() + LoadTime;
    }
    return recorded.status;
}

/// Carries out the late orders that are due. Routers ask for reports all the time, so this is soon.
void soak_order_engine::executeDue()
{
    const soak_time now = soak_clock::now();
    for (const waiting_order &order : m_waiting) {
        if (order.dueAt > now)
            continue;
        finishLoad();
        execute(order);
    }
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                                   [now](const auto &order) { return order.dueAt <= now; }),
                    m_waiting.end());
}

int soak_order_engine::statusOf(const soak_order &order, bool stated) const
{
    if (order.holder.empty() || order.token == 0)
        return 400;
    if (m_checksFences && order.token < m_highestToken)
        return 412;
    if (m_loading == 0 && order.version == m_version)
        return 200;
    return m_loading > 0 || !stated ? 409 : 202;
}

void soak_order_engine::finishLoad()
{
    if (m_loading == 0 || soak_clock::now() < m_loadedAt)
        return;
    m_version = std::exchange(m_loading, 0);
    announce();
}

std::string soak_order_engine::models() const
{
    return json::array({ { { "name", OrderModel }, { "version", m_version } } }).dump();
}

void soak_order_engine::announce()
{
    const json entry{ { "service", OrderPool },
                      { "address", m_server.address() },
                      { "zone", "dc1" },
                      { "version", "v1" },
                      { "slots", 6 },
                      { "state", "ready" },
                      { "born", 1000 },
                      { "seq", 1 },
                      { "models", json::parse(models()) } };
    m_log.put("keyed.servers", id(), entry.dump());
}

} // namespace burdockhold::testing
