#ifndef BURDOCKHOLD_SOAK_RELAY_H
#define BURDOCKHOLD_SOAK_RELAY_H

// Stands between the routers of a soak: forwards their digests (datagrams) and the connections on
// which they ask each other for views, and drops, repeats and delays digests or cuts a router off.
// Router i listens at its own loopback address and PeerPort; the others know it at RelayPort.

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace burdockhold::testing {

class soak_relay
{
public:
    static constexpr int PeerPort = 7003;
    static constexpr int RelayPort = 7103;

    soak_relay(std::vector<std::string> addresses, std::uint64_t seed);
    ~soak_relay();
    soak_relay(const soak_relay &) = delete;
    soak_relay &operator=(const soak_relay &) = delete;

    /// Sets the share of digests, in percent, that are dropped, repeated and delayed.
    void setFaults(int dropped, int repeated, int delayed);

    /// While true, nothing passes to or from the router.
    void setCut(std::size_t router, bool cut) { m_cut[router] = cut; }

private:
    struct datagram
    {
        std::int64_t dueMs = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;
    };
    /// Both ends of a forwarded connection.
    struct link
    {
        int caller = -1;
        int peer = -1;
        std::size_t to = 0;
    };

    void run();
    void receiveDatagrams(std::size_t to);
    void sendDue(std::int64_t nowMs);
    void send(const datagram &due) const;
    void accept(std::size_t to);
    void forwardLinks();
    bool passes(std::size_t from, std::size_t to) const { return !m_cut[from] && !m_cut[to]; }

    std::vector<std::string> m_addresses;
    std::vector<int> m_sockets;
    std::vector<int> m_listeners;
    std::vector<link> m_links;
    std::vector<datagram> m_waiting;
    std::vector<std::atomic<bool>> m_cut;
    std::atomic<int> m_dropped{ 0 };
    std::atomic<int> m_repeated{ 0 };
    std::atomic<int> m_delayed{ 0 };
    std::atomic<bool> m_stopping{ false };
    std::mt19937_64 m_random;
    std::thread m_thread;
};

} // namespace burdockhold::testing

#endif
