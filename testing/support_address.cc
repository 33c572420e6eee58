#include "testing/support_address.h"

#include "burdockhold/free_port.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace burdockhold::testing {

namespace {

constexpr int MaxTries = 20;

/// Binds a socket that stays open to the port of 127.0.0.1. Returns false if the port is taken.
bool reservePort(int port)
{
    const int holder = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (holder < 0)
        return false;
    const int reuse = 1;
    ::setsockopt(holder, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(holder, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0)
        return true;
    ::close(holder);
    return false;
}

} // namespace

std::string reserveAddress(const std::string &scheme)
{
    const std::string anyScheme = "tcp://";
    for (int tries = 0; tries < MaxTries; ++tries) {
        const auto chosen = withFreePort(anyScheme + "127.0.0.1:0");
        if (!isOk(chosen))
            throw std::runtime_error("cannot choose a port: " + errorOf(chosen).text);
        const std::string address = valueOf(chosen).substr(anyScheme.size());
        if (reservePort(std::stoi(address.substr(address.find(':') + 1))))
            return scheme + address;
    }
    throw std::runtime_error("cannot reserve a port of 127.0.0.1");
}

} // namespace burdockhold::testing
