#include "burdockhold/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <random>

namespace burdockhold {

namespace {

// Below the range from which Linux takes the ports of outgoing connections: one of these could take
// the port before the listener binds it.
constexpr int FirstPort = 18000;
constexpr int LastPort = 32000;
constexpr int MaxTries = 200;

bool canBind(in_addr host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr = host;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return false;
    const bool bound = bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address))
                       == 0;
    close(descriptor);
    return bound;
}

/// Returns a port of the host that can be bound, drawn at random, or 0.
int findFreePort(const std::string &host)
{
    in_addr parsed{};
    if (inet_pton(AF_INET, host.c_str(), &parsed) != 1)
        return 0;
    std::random_device random;
    std::uniform_int_distribution<int> ports(FirstPort, LastPort);
    for (int tries = 0; tries < MaxTries; ++tries) {
        const int port = ports(random);
        if (canBind(parsed, port))
            return port;
    }
    return 0;
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
