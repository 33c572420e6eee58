#ifndef BURDOCKHOLD_DAEMON_H
#define BURDOCKHOLD_DAEMON_H

// One VM's router: wires the controllers, the listeners and the request path together and owns
// their order of start and stop.
//
// Start: settings, log follower, listeners. The health check answers 503 until the configuration
// has been read to the log's tail. Drain: the health check fails first, so that the load balancer
// sends no new callers; after the drain delay new requests are refused; open requests run to their
// end, at most for the drain timeout.

#include "burdockhold/settings.h"

#include <memory>
#include <string>

namespace burdockhold {

enum class daemon_error { CannotListen };

class router_daemon
{
public:
    explicit router_daemon(daemon_settings settings);
    ~router_daemon();
    router_daemon(const router_daemon &) = delete;
    router_daemon &operator=(const router_daemon &) = delete;

    /// Starts the controllers and listeners. Blocks until the sockets are open.
    result<success, daemon_error> start();

    /// Address for callers, with the port that was taken when the settings say 0.
    const std::string &url() const;

    /// Address for operators, likewise.
    const std::string &adminUrl() const;

    /// Returns true once an operator has asked for a drain over HTTP.
    bool drainRequested() const;

    /// Drains and stops. Blocks until open requests have ended or the drain timeout has passed.
    /// Returns the number of requests that were cut off.
    std::size_t drainAndStop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace burdockhold

#endif
