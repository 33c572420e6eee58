#ifndef BURDOCKHOLD_CONNECT_CHECK_H
#define BURDOCKHOLD_CONNECT_CHECK_H

// Checks whether a process accepts connections at an address, without sending it anything.

#include "burdockhold/clock.h"
#include "burdockhold/relay_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <optional>
#include <string>

namespace burdockhold {

enum class connect_outcome { Accepted, Refused, Inconclusive };

struct connect_check_options
{
    duration timeout = std::chrono::milliseconds(300);
    /// Local address of the connection; without one, the system chooses.
    std::optional<boost::asio::ip::address_v4> localAddress = std::nullopt;
};

/// Connects to the address and closes the connection at once. Refused means that no process listens
/// there any more, so the endpoint has terminated. Inconclusive says nothing about the endpoint,
/// and is also the outcome for an invalid address. The handler is never called from within this
/// function.
void checkConnect(boost::asio::io_context &context, const std::string &address,
                  const connect_check_options &options,
                  const std::function<void(connect_outcome)> &done);

/// Does the same through a VM that relays connections. The outcome is inconclusive if that VM does
/// not answer.
void checkRelayedConnect(boost::asio::io_context &context,
                         const boost::asio::ip::tcp::endpoint &relay, const std::string &address,
                         const connect_check_options &options,
                         const std::function<void(connect_outcome)> &done);

} // namespace burdockhold

#endif
