#include "testing/support_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>

namespace burdockhold::testing {

namespace {

constexpr int SegmentBytes = 1400;
constexpr int ReceiveBufferBytes = 4096;
constexpr int ConnectTimeoutMs = 2000;
// A peer that reads takes some bytes of one of the connections within this time.
constexpr int SendTimeoutMs = 1500;

int connectSmall(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof SegmentBytes);
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes);
    pollfd connecting{ descriptor, POLLOUT, 0 };
    const bool started = ::connect(descriptor, reinterpret_cast<sockaddr *>(&target), sizeof target)
                                 == 0
                         || errno == EINPROGRESS;
    if (started && ::poll(&connecting, 1, ConnectTimeoutMs) == 1 && connecting.revents == POLLOUT)
        return descriptor;
    ::close(descriptor);
    return -1;
}

} // namespace

client_crowd::client_crowd(const std::string &address, std::size_t clients)
{
    for (std::size_t client = 0; client < clients; ++client) {
        if (const int descriptor = connectSmall(address); descriptor >= 0)
            m_descriptors.push_back(descriptor);
    }
}

client_crowd::~client_crowd()
{
    for (const int descriptor : m_descriptors)
        ::close(descriptor);
}

void client_crowd::send(const std::string &bytes)
{
    std::vector<std::size_t> sent(m_descriptors.size(), 0);
    std::vector<pollfd> waiting;
    waiting.reserve(m_descriptors.size());
    for (const int descriptor : m_descriptors)
        waiting.push_back({ descriptor, POLLOUT, 0 });
    std::size_t open = waiting.size();
    while (open > 0 && ::poll(waiting.data(), waiting.size(), SendTimeoutMs) > 0) {
        for (std::size_t at = 0; at < waiting.size(); ++at) {
            if (waiting[at].revents == 0)
                continue;
            const ssize_t count = ::send(waiting[at].fd, bytes.data() + sent[at],
                                         bytes.size() - sent[at], MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0)
                sent[at] += static_cast<std::size_t>(count);
            const bool isClosed = count < 0 && errno != EAGAIN;
            if (isClosed || sent[at] == bytes.size()) {
                waiting[at].fd = -1; // Ignored by poll().
                --open;
            }
        }
    }
}

void client_crowd::awaitAnswers(int milliseconds) const
{
    const auto deadline = std::chrono::steady_clock::now()
                          + std::chrono::milliseconds(milliseconds);
    for (const int descriptor : m_descriptors) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                deadline - std::chrono::steady_clock::now());
        pollfd waiting{ descriptor, POLLIN, 0 };
        if (left.count() <= 0 || ::poll(&waiting, 1, static_cast<int>(left.count())) == 0)
            return;
    }
}

} // namespace burdockhold::testing
