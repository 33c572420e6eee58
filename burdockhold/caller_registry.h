#ifndef BURDOCKHOLD_CALLER_REGISTRY_H
#define BURDOCKHOLD_CALLER_REGISTRY_H

// The connections of callers, and which of them is closed when memory or descriptors are needed for
// another.
//
// Promises:
// - Requests that have not been read completely and idle connections are closed before those whose
//   request runs, the oldest first. A request that runs is only cut off if its caller has not read
//   its response for longest.
// - A caller that sends its request at once is the newest, so a crowd that stops does not keep it
//   from being served.
// Failure: if no connection can be closed, the new one or the new request is refused.
// Each closed connection is counted and logged with its reason.

#include "burdockhold/client_queue.h"
#include "burdockhold/memory_budget.h"
#include "burdockhold/router_board.h"

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

namespace burdockhold {

class caller_connection;

class caller_registry
{
public:
    using queue = client_queue<caller_connection>;
    using connection_set = std::set<std::shared_ptr<caller_connection>>;

    /// Sets itself as what frees memory of the board's budget. The board must outlive it.
    explicit caller_registry(router_board &board);

    /// Adds a connection. Returns false, and adds nothing, if there is no room for it.
    [[nodiscard]] bool add(const std::shared_ptr<caller_connection> &connection);
    void remove(const std::shared_ptr<caller_connection> &connection);
    const connection_set &open() const { return m_open; }

    /// Counts a call to an endpoint. Returns false if there is no descriptor for it.
    [[nodiscard]] bool beginCall();
    void endCall() { --m_calls; }

    /// Closes a connection so that its descriptor is free. Returns false if there is none to close.
    bool freeDescriptor();

    /// Connections without the beginning of a request, those with a part of one that has no room
    /// for its body yet, those that read a body, and those with output that is not read.
    queue idle;
    queue halfRead;
    queue readingBody;
    queue unread;

    /// Holds received bytes between two steps of the loop. A buffer in each connection would be
    /// most of what an idle one holds.
    std::array<char, std::size_t(16) * 1024> readBuffer{};

private:
    bool reclaim(std::optional<memory_part> part);
    bool close(caller_connection *connection, router_counter counter, std::string_view reason);
    bool makeRoom();

    router_board &m_board;
    connection_set m_open;
    std::size_t m_calls = 0;
    std::size_t m_maxDescriptors;
};

} // namespace burdockhold

#endif
