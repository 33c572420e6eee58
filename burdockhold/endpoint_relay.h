#ifndef BURDOCKHOLD_ENDPOINT_RELAY_H
#define BURDOCKHOLD_ENDPOINT_RELAY_H

// Relays connections of other VMs to endpoints (relay_message.h). The VM that asks has lost its own
// way to all endpoints; it decides everything on its requests, this VM only passes bytes on.
//
// Promises:
// - Only connections to endpoints that the allowed function knows are relayed.
// - Bytes are passed on unchanged and in order, in both directions, with bounded memory: a side
// that
//   does not read blocks the other one.
// - An orderly end is passed on as one, a reset as a reset. The end of this process looks orderly,
//   so an answer that ends with its relayed connection is never complete.
// - The end of one side ends the other at once: an endpoint learns that its caller has left.
// - The number of connections is bounded; more requests are refused.

#include "burdockhold/relay_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace burdockhold {

class relayed_connection;

struct endpoint_relay_options
{
    std::size_t maxConnections = 256;
    /// Of the connections to endpoints; without one, the system chooses.
    std::optional<boost::asio::ip::address_v4> localAddress = std::nullopt;
    std::function<bool(const std::string &address)> allowed;
    std::function<void(relay_answer)> answered; ///< Called for each request.
};

class endpoint_relay
{
public:
    endpoint_relay(boost::asio::io_context &context, endpoint_relay_options options);
    ~endpoint_relay();
    endpoint_relay(const endpoint_relay &) = delete;
    endpoint_relay &operator=(const endpoint_relay &) = delete;

    /// Takes over a connection on which a request to relay has arrived. The input is what has
    /// arrived after it.
    void start(boost::asio::ip::tcp::socket socket, const std::string &endpointAddress,
               std::string input);

    std::size_t size() const { return m_connections.size(); }

private:
    friend class relayed_connection;

    boost::asio::io_context &m_context;
    endpoint_relay_options m_options;
    std::set<std::shared_ptr<relayed_connection>> m_connections;
};

} // namespace burdockhold

#endif
