#ifndef BURDOCKHOLD_SUPPORT_SLOW_LINK_H
#define BURDOCKHOLD_SUPPORT_SLOW_LINK_H

// A TCP relay on loopback that counts the bytes from its server and passes them on at a limited
// rate, as the link of a small VM does. Bytes to the server are passed on at once. Connections can
// fall silent: they stay open and pass nothing more. It runs on its own thread.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace burdockhold::testing {

class slow_link
{
public:
    /// Relays connections to the server at IP:PORT. The rate holds for each connection.
    slow_link(const std::string &serverAddress, std::size_t bytesPerSecond);
    ~slow_link();
    slow_link(const slow_link &) = delete;
    slow_link &operator=(const slow_link &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// Returns how many bytes were passed on from the server.
    std::size_t bytesPassed() const { return m_bytesPassed; }
    void setRate(std::size_t bytesPerSecond) { m_bytesPerSecond = bytesPerSecond; }

    /// Silences the connections that are open now. Later ones work.
    void silenceOpen();

    /// Silences all connections, open and later ones, whose last request contains the text. An
    /// empty text ends it for connections that have not fallen silent.
    void silenceRequestsWith(const std::string &text);

private:
    friend class slow_link_session;

    void accept();

    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_server;
    int m_port = 0;
    std::atomic<std::size_t> m_bytesPerSecond;
    std::atomic<std::size_t> m_bytesPassed{ 0 };
    std::string m_silentText; // Used by the thread only, as the next field.
    int m_silentSessions = 0; // Sessions with a lower number are silent.
    int m_nextSession = 0;
    std::thread m_thread;
};

/// Returns the indices of the links in the order of the bytes that they pass on during the pause,
/// most first.
std::vector<std::size_t> linksByTraffic(const std::vector<std::unique_ptr<slow_link>> &links,
                                        const std::function<void()> &pause);

} // namespace burdockhold::testing

#endif
