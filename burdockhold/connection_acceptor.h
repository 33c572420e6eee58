#ifndef BURDOCKHOLD_CONNECTION_ACCEPTOR_H
#define BURDOCKHOLD_CONNECTION_ACCEPTOR_H

// A listener on the event loop.
//
// Promise: while the process lacks descriptors or the system lacks memory for sockets, it accepts
// nothing for a short time instead of failing again at once, so that the loop serves the open
// connections. New connections wait in the kernel meanwhile.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace burdockhold {

struct acceptor_handlers
{
    std::function<void(boost::asio::ip::tcp::socket)> accepted;
    std::function<void()> exhausted; ///< No descriptor was left. Called before each pause.
};

class connection_acceptor
{
public:
    explicit connection_acceptor(boost::asio::io_context &context);

    /// Listens at the address. Returns an error text, or an empty string.
    std::string listen(const boost::asio::ip::tcp::endpoint &address);

    void start(acceptor_handlers handlers);

    /// Accepts all connections that wait in the kernel now.
    void acceptPending();

    void close();

private:
    void accept();
    void pause();

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pause;
    acceptor_handlers m_handlers;
};

} // namespace burdockhold

#endif
