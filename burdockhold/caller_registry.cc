#include "burdockhold/caller_registry.h"

#include "burdockhold/caller_connection.h"

#include <limits>

namespace burdockhold {

namespace {

// A head that began this long ago is closed before an idle connection. Heads of calm callers arrive
// whole within a round trip.
constexpr duration HeadGrace = std::chrono::milliseconds(500);

} // namespace

caller_registry::caller_registry(router_board &board)
    : m_board(board)
    , m_maxDescriptors(board.settings.mechanisms.uses(mechanism::ClientMemory)
                               ? descriptor_shares(board.settings.descriptors).clients
                               : std::numeric_limits<std::size_t>::max())
{
    m_board.memory.setReclaim([this](std::optional<memory_part> part) { return reclaim(part); });
}

bool caller_registry::add(const std::shared_ptr<caller_connection> &connection)
{
    if (!makeRoom() || !m_board.memory.tryTake(memory_part::Connections, ConnectionBytes)) {
        m_board.metrics.count(router_counter::ConnectionsRefused);
        return false;
    }
    m_open.insert(connection);
    return true;
}

void caller_registry::remove(const std::shared_ptr<caller_connection> &connection)
{
    if (m_open.erase(connection) != 0)
        m_board.memory.give(memory_part::Connections, ConnectionBytes);
}

bool caller_registry::beginCall()
{
    if (!makeRoom())
        return false;
    ++m_calls;
    return true;
}

bool caller_registry::makeRoom()
{
    while (m_open.size() + m_calls >= m_maxDescriptors) {
        if (!freeDescriptor())
            return false;
    }
    return true;
}

bool caller_registry::freeDescriptor()
{
    caller_connection *stopped = halfRead.oldestSince(steadyNow() - HeadGrace);
    return close(stopped, router_counter::ClosedHalfRead, "half_read")
           || close(idle.oldest(), router_counter::ClosedIdle, "idle")
           || close(halfRead.oldest(), router_counter::ClosedHalfRead, "half_read")
           || close(readingBody.oldest(), router_counter::ClosedHalfRead, "half_read_body");
}

bool caller_registry::reclaim(std::optional<memory_part> part)
{
    const auto closeHalfRead = [this] {
        return close(halfRead.oldest(), router_counter::ClosedHalfRead, "half_read");
    };
    const auto closeUnread = [this] {
        return close(unread.oldest(), router_counter::ClosedUnread, "unread");
    };
    if (part == memory_part::Connections)
        return freeDescriptor();
    if (part == memory_part::Heads)
        return closeHalfRead();
    if (part == memory_part::Output)
        return closeUnread();
    if (part) // What runs is not ended for something new of the same kind.
        return false;
    return closeHalfRead() || closeUnread()
           || close(readingBody.oldest(), router_counter::ClosedHalfRead, "half_read_body")
           || close(idle.oldest(), router_counter::ClosedIdle, "idle");
}

bool caller_registry::close(caller_connection *connection, router_counter counter,
                            std::string_view reason)
{
    if (connection == nullptr)
        return false;
    m_board.metrics.count(counter);
    const time_point now = steadyNow();
    if (m_board.log.accepts(log_priority::Failure, now))
        m_board.log.write(log_event::ConnectionClosed,
                          { { "reason", reason },
                            { "open", m_open.size() },
                            { "client_bytes", m_board.memory.used() } },
                          now);
    connection->closeForRoom();
    return true;
}

} // namespace burdockhold
