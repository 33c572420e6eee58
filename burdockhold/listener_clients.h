#ifndef BURDOCKHOLD_LISTENER_CLIENTS_H
#define BURDOCKHOLD_LISTENER_CLIENTS_H

// The open connections of an http_listener, and what they hold: memory and descriptors.
//
// Promises:
// - What clients hold stays within the memory budget; connections and running requests together
//   stay within the number of descriptors.
// - If either runs out, half-read heads are closed first, then bodies without progress, then
//   clients that do not read, idle connections last; of each the oldest first. A request that runs
//   is only closed if its client does not read.
// - Each limit that is reached is counted, and logged with its reason. Of many in one second, the
//   first few are logged.
// Failure: if nothing can be closed, the caller of these functions refuses what is new.
// Load pattern: crowds of clients that each stay within the limits of one.
// Belongs to the thread of the listener's event loop, except limitReached().

#include "burdockhold/client_queue.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/memory_budget.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace burdockhold {

class listener_connection;

/// Why a listener refused a request or closed a connection.
enum class listener_limit {
    HeadBytes,   ///< A head, with the empty lines before it, is too long.
    HeadTime,    ///< A head did not arrive in time.
    BodyBytes,   ///< A body is longer than its route allows.
    BodyTime,    ///< A body did not go on arriving.
    Descriptors, ///< Too many connections and running requests.
    Memory,      ///< The memory of the clients is used up.
    Unread,      ///< A client does not read its response.
};

template <>
struct enum_names<listener_limit>
{
    static constexpr std::array<enum_name<listener_limit>, 7> Table{ {
            { listener_limit::HeadBytes, "head_bytes" },
            { listener_limit::HeadTime, "head_time" },
            { listener_limit::BodyBytes, "body_bytes" },
            { listener_limit::BodyTime, "body_time" },
            { listener_limit::Descriptors, "descriptors" },
            { listener_limit::Memory, "memory" },
            { listener_limit::Unread, "unread" },
    } };
};

class listener_clients
{
public:
    using queue = client_queue<listener_connection>;
    using limit_callback = std::function<void(listener_limit)>;

    /// The callback counts; it may be empty and may be called from any thread.
    listener_clients(std::string name, const memory_budget_options &budget,
                     std::size_t maxDescriptors, limit_callback onLimit);

    /// Takes the connection. Returns false if there is no room for it.
    bool add(const std::shared_ptr<listener_connection> &connection);
    void remove(const std::shared_ptr<listener_connection> &connection);

    /// Counts the descriptor of a request's call to an endpoint. Returns false if there is none.
    bool beginCall();
    void endCall() { --m_calls; }

    /// Closes one connection that does not run a request. Returns false if there is none.
    bool freeDescriptor();

    void limitReached(listener_limit limit, std::string_view state);

    std::set<std::shared_ptr<listener_connection>> open() const { return m_open; }

    queue idle;
    queue readingHead;
    queue readingBody; ///< Each part of a body moves its connection to the back.
    queue unread;      ///< Each part of a response that is taken moves its connection to the back.
    memory_budget memory;
    std::array<char, std::size_t(16) * 1024> readBuffer{}; ///< Of all connections.

private:
    bool makeRoom();
    bool reclaim(std::optional<memory_part> part);
    bool close(listener_connection *connection, listener_limit limit, std::string_view state);

    std::string m_name;
    std::size_t m_maxDescriptors;
    limit_callback m_onLimit;
    std::size_t m_calls = 0;
    std::set<std::shared_ptr<listener_connection>> m_open;

    std::mutex m_mutex; ///< Guards the members below.
    time_point m_logSince{};
    int m_logged = 0;
};

} // namespace burdockhold

#endif
