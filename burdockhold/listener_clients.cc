#include "burdockhold/listener_clients.h"

#include "burdockhold/listener_connection.h"
#include "burdockhold/logging.h"

#include <utility>

namespace burdockhold {

namespace {

// A head that began this long ago is closed before an idle connection. Heads of calm clients arrive
// whole within a round trip. The same time without progress makes a body a stopped one.
constexpr duration StopGrace = std::chrono::milliseconds(500);
// Lines in one second about limits; a crowd of thousands would fill the log otherwise.
constexpr int MaxLinesPerSecond = 5;

} // namespace

listener_clients::listener_clients(std::string name, const memory_budget_options &budget,
                                   std::size_t maxDescriptors, limit_callback onLimit)
    : memory(budget)
    , m_name(std::move(name))
    , m_maxDescriptors(maxDescriptors)
    , m_onLimit(std::move(onLimit))
{
    memory.setReclaim([this](std::optional<memory_part> part) { return reclaim(part); });
}

bool listener_clients::add(const std::shared_ptr<listener_connection> &connection)
{
    if (!makeRoom()) {
        limitReached(listener_limit::Descriptors, "new");
        return false;
    }
    if (!memory.tryTake(memory_part::Connections, ConnectionBytes)) {
        limitReached(listener_limit::Memory, "new");
        return false;
    }
    m_open.insert(connection);
    return true;
}

void listener_clients::remove(const std::shared_ptr<listener_connection> &connection)
{
    if (m_open.erase(connection) != 0)
        memory.give(memory_part::Connections, ConnectionBytes);
}

bool listener_clients::beginCall()
{
    if (!makeRoom())
        return false;
    ++m_calls;
    return true;
}

bool listener_clients::makeRoom()
{
    while (m_open.size() + m_calls >= m_maxDescriptors) {
        if (!freeDescriptor())
            return false;
    }
    return true;
}

bool listener_clients::freeDescriptor()
{
    const time_point stopped = steadyNow() - StopGrace;
    const listener_limit limit = listener_limit::Descriptors;
    return close(readingHead.oldestSince(stopped), limit, "half_read")
           || close(readingBody.oldestSince(stopped), limit, "half_read_body")
           || close(idle.oldest(), limit, "idle")
           || close(readingHead.oldest(), limit, "half_read");
}

bool listener_clients::reclaim(std::optional<memory_part> part)
{
    const listener_limit limit = listener_limit::Memory;
    const auto closeHead = [&] { return close(readingHead.oldest(), limit, "half_read"); };
    const auto closeUnread = [&] { return close(unread.oldest(), limit, "unread"); };
    const auto closeBody = [&] {
        return close(readingBody.oldestSince(steadyNow() - StopGrace), limit, "half_read_body");
    };
    if (part == memory_part::Connections)
        return freeDescriptor();
    if (part == memory_part::Heads)
        return closeHead();
    if (part == memory_part::Bodies)
        return closeBody();
    if (part == memory_part::Output)
        return closeUnread();
    if (part) // What runs is not ended for something new of the same kind.
        return false;
    return closeHead() || closeBody() || closeUnread() || close(idle.oldest(), limit, "idle");
}

bool listener_clients::close(listener_connection *connection, listener_limit limit,
                             std::string_view state)
{
    if (connection == nullptr)
        return false;
    limitReached(limit, state);
    connection->closeForRoom();
    return true;
}

void listener_clients::limitReached(listener_limit limit, std::string_view state)
{
    if (m_onLimit)
        m_onLimit(limit);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const time_point now = steadyNow();
        if (now - m_logSince >= std::chrono::seconds(1)) {
            m_logSince = now;
            m_logged = 0;
        }
        if (++m_logged > MaxLinesPerSecond)
            return;
    }
    logEvent(log_level::Warn, m_name, "a limit of clients was reached",
             { { "reason", nameOf(limit) }, { "state", state } });
}

} // namespace burdockhold
