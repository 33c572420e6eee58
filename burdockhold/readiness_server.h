#ifndef BURDOCKHOLD_READINESS_SERVER_H
#define BURDOCKHOLD_READINESS_SERVER_H

// Answers the load balancer's readiness probes and requests for the metrics, on an address of its
// own.
//
// Promises:
// - The number of connections is bounded; a new one replaces the one that has been silent for
//   longest, so that a crowd of connections does not keep a probe from being answered.
// - A connection that sends no complete request, or takes none of its answer, is closed after a
//   time limit.

#include "burdockhold/client_queue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace burdockhold {

class readiness_session;

class readiness_server
{
public:
    /// Returns the whole response to a request.
    using respond_function = std::function<std::string(std::string_view request)>;

    readiness_server(boost::asio::io_context &context, std::size_t maxSessions,
                     respond_function respond);
    ~readiness_server();
    readiness_server(const readiness_server &) = delete;
    readiness_server &operator=(const readiness_server &) = delete;

    void accepted(boost::asio::ip::tcp::socket socket);

    /// Closes the connection that has been silent for longest, if there is one.
    void closeOldest();

private:
    friend class readiness_session;

    boost::asio::io_context &m_context;
    std::size_t m_maxSessions;
    respond_function m_respond;
    std::set<std::shared_ptr<readiness_session>> m_sessions;
    client_queue<readiness_session> m_silent;
};

} // namespace burdockhold

#endif
