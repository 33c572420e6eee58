#ifndef REVIEW_CUTTABLE_LINK_H
#define REVIEW_CUTTABLE_LINK_H

// A TCP proxy on loopback. While it is cut, nothing passes in either direction and no connection
// is made; what was sent meanwhile passes when the cut ends, as after a partition.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <string>
#include <thread>
#include <vector>

class cuttable_link
{
public:
    /// Listens on a free port of 127.0.0.1 and forwards to the address, IP:PORT.
    explicit cuttable_link(const std::string &target)
        : m_target(target)
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in own = addressOf("127.0.0.1:0");
        ::bind(m_listener, reinterpret_cast<sockaddr *>(&own), sizeof own);
        ::listen(m_listener, 64);
        socklen_t size = sizeof own;
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&own), &size);
        m_port = ntohs(own.sin_port);
        m_thread = std::thread([this] { run(); });
    }

    ~cuttable_link()
    {
        m_stopping = true;
        m_thread.join();
        ::close(m_listener);
        for (const pair &one : m_pairs) {
            ::close(one.caller);
            ::close(one.server);
        }
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    void setCut(bool cut) { m_cut = cut; }

private:
    struct pair
    {
        int caller;
        int server;
    };

    static sockaddr_in addressOf(const std::string &text)
    {
        const std::size_t colon = text.find(':');
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
        ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
        return address;
    }

    static bool move(int from, int to)
    {
        char bytes[65536];
        const ssize_t count = ::recv(from, bytes, sizeof bytes, MSG_DONTWAIT);
        if (count < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK;
        ssize_t sent = 0;
        while (count > 0 && sent < count) {
            const ssize_t part = ::send(to, bytes + sent, static_cast<std::size_t>(count - sent),
                                        MSG_NOSIGNAL);
            if (part <= 0)
                return false;
            sent += part;
        }
        return count > 0;
    }

    void run()
    {
        while (!m_stopping) {
            if (m_cut) {
                ::usleep(1000);
                continue;
            }
            std::vector<pollfd> waiting{ { m_listener, POLLIN, 0 } };
            for (const pair &one : m_pairs) {
                waiting.push_back({ one.caller, POLLIN, 0 });
                waiting.push_back({ one.server, POLLIN, 0 });
            }
            ::poll(waiting.data(), waiting.size(), 2);
            if (m_cut)
                continue;
            const int caller = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (caller >= 0) {
                const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const sockaddr_in address = addressOf(m_target);
                if (::connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                    == 0) {
                    m_pairs.push_back({ caller, server });
                } else {
                    ::close(caller);
                    ::close(server);
                }
            }
            for (auto one = m_pairs.begin(); one != m_pairs.end();) {
                if (move(one->caller, one->server) && move(one->server, one->caller)) {
                    ++one;
                    continue;
                }
                ::close(one->caller);
                ::close(one->server);
                one = m_pairs.erase(one);
            }
        }
    }

    std::string m_target;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_cut{ false };
    std::atomic<bool> m_stopping{ false };
    std::vector<pair> m_pairs;
    std::thread m_thread;
};

#endif
