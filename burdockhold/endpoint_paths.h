#ifndef BURDOCKHOLD_ENDPOINT_PATHS_H
#define BURDOCKHOLD_ENDPOINT_PATHS_H

// The ways to the endpoints: connections of this VM's own, or, while it has lost contact with all
// endpoints (endpoint_contact.h), connections that another VM relays (relay_choice.h).
//
// Promises:
// - A call is relayed only while contact is lost and another VM is in touch.
// - A relay that fails is no failure of the endpoint.
// - Orders to engines never take this way: an engine would take the relay for their sender.

#include "burdockhold/connect_check.h"
#include "burdockhold/http_client_connection.h"
#include "burdockhold/router_board.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace burdockhold {

class endpoint_paths
{
public:
    endpoint_paths(boost::asio::io_context &context, router_board &board);

    /// Returns a new connection to the endpoint, or null if the address is invalid.
    std::shared_ptr<http_client_connection> connect(const std::string &address);

    /// Returns true if the way to the endpoint has failed, and not the endpoint, when a connection
    /// could not be made.
    bool hasFailed(const http_client_connection &connection) const;

    /// Returns true while new connections would be relayed.
    bool isRelaying() const;

    /// Checks whether the endpoint accepts connections, on the way that a call would take. See
    /// checkConnect().
    void check(const std::string &address, duration timeout,
               const std::function<void(connect_outcome)> &done);

    /// Returns the local address of connections to endpoints, or nothing if the system chooses it.
    const std::optional<boost::asio::ip::address_v4> &localAddress() const
    {
        return m_localAddress;
    }

    /// Probes endpoints while contact is in doubt or lost. Called on every tick.
    void step(time_point now);

private:
    std::optional<boost::asio::ip::tcp::endpoint> chooseRelay();
    void relayedAttemptEnded(const boost::asio::ip::tcp::endpoint &relay, bool connected,
                             std::optional<relay_answer> answer);
    void probe(const std::string &address);
    void logChange(time_point now);

    boost::asio::io_context &m_context;
    router_board &m_board;
    std::optional<boost::asio::ip::address_v4> m_localAddress;
    std::size_t m_seed = 0;
    contact_state m_logged = contact_state::InTouch;
    time_point m_lostAt;
};

} // namespace burdockhold

#endif
