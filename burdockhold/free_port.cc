#include "burdockhold/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace burdockhold {

namespace {

/// Binds a socket to port 0 of the host and returns the port it got, or 0.
int findFreePort(const std::string &host)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
        return 0;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return 0;
    socklen_t size = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    const bool bound = bind(descriptor, generic, size) == 0
                       && getsockname(descriptor, generic, &size) == 0;
    close(descriptor);
    return bound ? ntohs(address.sin_port) : 0;
}

} // namespace

result<std::string, port_error> withFreePort(const std::string &address)
{
    const std::size_t hostStart = address.find("://");
    const std::size_t colon = address.rfind(':');
    if (hostStart == std::string::npos || colon <= hostStart + 2)
        return basic_error<port_error>{ port_error::BadAddress, "no host and port", address };
    if (address.substr(colon + 1) != "0")
        return address;

    const std::string host = address.substr(hostStart + 3, colon - hostStart - 3);
    const int port = findFreePort(host);
    if (port == 0)
        return basic_error<port_error>{ port_error::NoFreePort, "no free port", address };
    return address.substr(0, colon + 1) + std::to_string(port);
}

} // namespace burdockhold
