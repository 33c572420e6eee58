#ifndef BURDOCKHOLD_ADMIN_SERVER_H
#define BURDOCKHOLD_ADMIN_SERVER_H

// The HTTP listener for operators and for the load balancer's health check. It knows no other
// module but the listener: each page is a function that returns the reply. Pages run on the
// listener's threads and must not block. Unknown paths get 404, known paths with another method
// 405. Its connections and memory are bounded apart from those of callers (http_listener.h), so
// that crowds of callers do not keep operators out.

#include "burdockhold/listener_clients.h"
#include "burdockhold/result.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace burdockhold {

struct admin_reply
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

using admin_reply_function = std::function<void(const admin_reply &reply)>;

/// One page of the listener. A handler gets the request's body.
struct admin_page
{
    std::string method; ///< Upper case.
    std::string path;   ///< Exact path.
    std::function<admin_reply(const std::string &body)> handler;
    /// Used when handler is empty: calls reply once, at once or later.
    std::function<void(const std::string &body, admin_reply_function reply)> slowHandler = {};
};

/// Most connections and running requests: balancers, scrapers and a few operators.
inline constexpr std::size_t AdminDescriptors = 32;
/// Memory of which the clients of this listener get their share. Most pages are small, and clients
/// that read none of a page are closed within it.
inline constexpr std::size_t AdminMemoryBytes = std::size_t(16) * 1024 * 1024;

enum class admin_error { CannotListen };

class admin_server
{
public:
    /// address is "http://IP:PORT" with a port other than 0.
    admin_server(const std::string &address, const std::vector<admin_page> &pages,
                 const listener_clients::limit_callback &onLimit = {});
    ~admin_server();
    admin_server(const admin_server &) = delete;
    admin_server &operator=(const admin_server &) = delete;

    /// Starts listening. Blocks until the socket is open.
    result<success, admin_error> start();

    /// Closes the listener. Blocks until running replies are written.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace burdockhold

#endif
