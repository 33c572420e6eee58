#ifndef BURDOCKHOLD_SOCKET_OPTIONS_H
#define BURDOCKHOLD_SOCKET_OPTIONS_H

// Options and states of TCP sockets that the library does not name.

#include "burdockhold/clock.h"

#include <boost/asio/ip/tcp.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>

namespace burdockhold {

/// Sets an option of an integer. Errors are ignored: without these options, a dead peer is only
/// noticed later.
inline void setSocketOption(boost::asio::ip::tcp::socket &socket, int level, int option, int value)
{
    ::setsockopt(socket.native_handle(), level, option, &value, sizeof value);
}

/// Makes the kernel close a connection after this time without acknowledgement of bytes or of
/// keep-alive probes, which it sends each second. Small pieces are sent at once.
inline void setSilenceTimeout(boost::asio::ip::tcp::socket &socket, duration timeout)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    setSocketOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setSocketOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setSocketOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, 1);
    setSocketOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setSocketOption(socket, IPPROTO_TCP, TCP_KEEPCNT,
                    std::max(1, static_cast<int>(ms.count() / 1000) - 1));
    setSocketOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms.count()));
}

/// Returns whether bytes written to the socket are not acknowledged by its peer's system, as far as
/// the own system tells. An end of the peer carries the acknowledgement of all that had arrived
/// before it.
inline bool hasUnacknowledgedBytes(boost::asio::ip::tcp::socket &socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/// Opens the socket and binds it to the local address, if one is given, with a port that the system
/// chooses at the connect.
inline boost::system::error_code openFrom(
        boost::asio::ip::tcp::socket &socket,
        const std::optional<boost::asio::ip::address_v4> &localAddress)
{
    boost::system::error_code error;
    socket.open(boost::asio::ip::tcp::v4(), error);
    if (error || !localAddress)
        return error;
    setSocketOption(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
    socket.bind({ *localAddress, 0 }, error);
    return error;
}

} // namespace burdockhold

#endif
