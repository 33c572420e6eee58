#ifndef BURDOCKHOLD_RELAY_REQUEST_H
#define BURDOCKHOLD_RELAY_REQUEST_H

// Asks another VM for a relayed connection to an endpoint (relay_message.h).

#include "burdockhold/relay_message.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhold {

/// Called with the answer, or with nothing if the VM has not answered, and with the bytes of the
/// endpoint that have arrived after the answer.
using relay_request_handler = std::function<void(std::optional<relay_answer>, std::string input)>;

/// Sends the request on a socket that is connected to the VM. The handler is called once, also when
/// the socket is closed, and keeps the socket alive until then.
void requestRelay(boost::asio::ip::tcp::socket &socket, std::string_view endpointAddress,
                  relay_request_handler done);

} // namespace burdockhold

#endif
