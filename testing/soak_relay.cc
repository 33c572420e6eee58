#include "testing/soak_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace burdockhold::testing {

namespace {

constexpr std::size_t DatagramBytes = 65536;
constexpr int PollMs = 5;
constexpr int MaxDelayMs = 900; ///< Over several digest intervals, so that digests overtake others.

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int boundSocket(const std::string &ip, int type)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int reuse = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    const sockaddr_in address = addressOf(ip, soak_relay::RelayPort);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        throw std::runtime_error("soak relay: cannot bind " + ip);
    if (type == SOCK_STREAM)
        ::listen(descriptor, 64);
    return descriptor;
}

/// Moves the bytes that one end has sent to the other. Returns false once an end has closed.
bool moveBytes(int from, int to)
{
    char bytes[16384];
    const ssize_t count = ::recv(from, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK;
    return count > 0 && ::send(to, bytes, static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

} // namespace

soak_relay::soak_relay(std::vector<std::string> addresses, std::uint64_t seed)
    : m_addresses(std::move(addresses))
    , m_cut(m_addresses.size())
    , m_random(seed)
{
    for (const std::string &ip : m_addresses) {
        m_sockets.push_back(boundSocket(ip, SOCK_DGRAM));
        m_listeners.push_back(boundSocket(ip, SOCK_STREAM));
    }
    m_thread = std::thread([this] { run(); });
}

soak_relay::~soak_relay()
{
    m_stopping = true;
    m_thread.join();
    for (const int descriptor : m_sockets)
        ::close(descriptor);
    for (const int descriptor : m_listeners)
        ::close(descriptor);
    for (const link &open : m_links) {
        ::close(open.caller);
        ::close(open.peer);
    }
}

void soak_relay::setFaults(int dropped, int repeated, int delayed)
{
    m_dropped = dropped;
    m_repeated = repeated;
    m_delayed = delayed;
}

void soak_relay::run()
{
    while (!m_stopping) {
        std::vector<pollfd> waiting;
        for (const int descriptor : m_sockets)
            waiting.push_back({ descriptor, POLLIN, 0 });
        for (const int descriptor : m_listeners)
            waiting.push_back({ descriptor, POLLIN, 0 });
        for (const link &open : m_links) {
            waiting.push_back({ open.caller, POLLIN, 0 });
            waiting.push_back({ open.peer, POLLIN, 0 });
        }
        ::poll(waiting.data(), waiting.size(), PollMs);
        for (std::size_t router = 0; router < m_addresses.size(); ++router) {
            receiveDatagrams(router);
            accept(router);
        }
        forwardLinks();
        sendDue(nowMs());
    }
}

void soak_relay::receiveDatagrams(std::size_t to)
{
    std::string bytes(DatagramBytes, '\0');
    sockaddr_in sender{};
    socklen_t size = sizeof sender;
    ssize_t count = 0;
    while ((count = ::recvfrom(m_sockets[to], bytes.data(), bytes.size(), 0,
                               reinterpret_cast<sockaddr *>(&sender), &size))
           > 0) {
        char text[INET_ADDRSTRLEN] = {};
        ::inet_ntop(AF_INET, &sender.sin_addr, text, sizeof text);
        const auto found = std::find(m_addresses.begin(), m_addresses.end(), text);
        if (found == m_addresses.end())
            continue;
        const auto from = static_cast<std::size_t>(found - m_addresses.begin());
        const auto draw = [this] { return static_cast<int>(m_random() % 100); };
        if (!passes(from, to) || draw() < m_dropped)
            continue;
        const int copies = draw() < m_repeated ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto delay = draw() < m_delayed ? m_random() % MaxDelayMs : 0;
            m_waiting.push_back({ nowMs() + static_cast<std::int64_t>(delay), from, to,
                                  bytes.substr(0, static_cast<std::size_t>(count)) });
        }
    }
}

void soak_relay::sendDue(std::int64_t now)
{
    const auto later = std::stable_partition(
            m_waiting.begin(), m_waiting.end(),
            [now](const datagram &entry) { return entry.dueMs <= now; });
    for (auto due = m_waiting.begin(); due != later; ++due)
        send(*due);
    m_waiting.erase(m_waiting.begin(), later);
}

/// Sends from the sender's relay address, so that the receiver answers through the relay.
void soak_relay::send(const datagram &due) const
{
    const sockaddr_in address = addressOf(m_addresses[due.to], PeerPort);
    ::sendto(m_sockets[due.from], due.bytes.data(), due.bytes.size(), 0,
             reinterpret_cast<const sockaddr *>(&address), sizeof address);
}

void soak_relay::accept(std::size_t to)
{
    const int caller = ::accept4(m_listeners[to], nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0)
        return;
    const int peer = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(m_addresses[to], PeerPort);
    if (m_cut[to]
        || ::connect(peer, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(caller);
        ::close(peer);
        return;
    }
    m_links.push_back({ caller, peer, to });
}

void soak_relay::forwardLinks()
{
    for (auto open = m_links.begin(); open != m_links.end();) {
        const bool alive = !m_cut[open->to] && moveBytes(open->caller, open->peer)
                           && moveBytes(open->peer, open->caller);
        if (alive) {
            ++open;
            continue;
        }
        ::close(open->caller);
        ::close(open->peer);
        open = m_links.erase(open);
    }
}

} // namespace burdockhold::testing
