#ifndef BURDOCKHOLD_CONNECTION_POOL_H
#define BURDOCKHOLD_CONNECTION_POOL_H

// Idle connections to endpoints, by address. Only calls that may be repeated travel on a reused
// connection: one that dies after the request went out leaves its outcome unknown.

#include "burdockhold/http_client_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockhold {

enum class connect_outcome { Accepted, Refused, NoAnswer };

/// Connects to the address and closes the connection at once. Refused means that nothing listens
/// there, so that the process that did has ended; NoAnswer says nothing. An address that is none
/// counts as NoAnswer. The handler is called later, never from within.
void checkConnect(boost::asio::io_context &context, const std::string &address, duration timeout,
                  const std::function<void(connect_outcome)> &done);

class connection_pool
{
public:
    explicit connection_pool(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    /// Returns a connection that was used before, or a new one. Null when the address is not one.
    std::shared_ptr<http_client_connection> take(const std::string &address, bool mayReuse);

    /// Keeps the connection if it can be used again, and closes it otherwise.
    void giveBack(const std::string &address, std::shared_ptr<http_client_connection> link);

    /// Closes connections that have been idle for too long.
    void sweep();

private:
    boost::asio::io_context &m_context;
    std::map<std::string, std::vector<std::shared_ptr<http_client_connection>>> m_idle;
};

} // namespace burdockhold

#endif
