#include "testing/soak_order_engine.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace burdockhold::testing {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds LoadTime{ 150 };
constexpr int LostAnswerEvery = 5;

std::string response(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
           + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

soak_order_engine::soak_order_engine(int index, bool checksFences, soak_history &history,
                                     fake_log_service &log)
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
    finishLoad();
    if (request.field("X-Burdockhold-Target-Instance") != id())
        return socket.write(response(421, ""));
    if (request.target == "/report")
        return socket.write(response(200, R"({"seq":)" + std::to_string(m_accepted) + R"(,"busy":)"
                                                  + (m_loading > 0 ? "true" : "false")
                                                  + R"(,"models":)" + models() + "}"));
    if (request.target != "/order")
        return socket.write(response(404, ""));
    const int status = execute(request);
    if (++m_answers % LostAnswerEvery == 0)
        return false;
    return socket.write(response(status, ""));
}

int soak_order_engine::execute(const recorded_request &request)
{
    const json body = json::parse(request.body);
    soak_order order;
    order.engine = m_index;
    order.at = soak_clock::now();
    order.holder = body.value("holder", "");
    order.token = body.value("fencing_token", std::int64_t{ 0 });
    order.version = body.value("version", 0);
    order.hasExpected = body.contains("expected");
    order.status = statusOf(order, body.value("expected", m_accepted) == m_accepted);
    m_highestToken = std::max(m_highestToken, order.token);
    if (order.status == 202) {
        ++m_accepted;
        m_loading = order.version;
        m_loadedAt = order.at + LoadTime;
    }
    const std::lock_guard lock(m_history.mutex);
    m_history.orders.push_back(order);
    return order.status;
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
