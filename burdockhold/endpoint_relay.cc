#include "burdockhold/endpoint_relay.h"

#include "burdockhold/clock.h"
#include "burdockhold/http_client_connection.h"
#include "burdockhold/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <array>
#include <utility>

namespace burdockhold {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t BufferBytes = std::size_t(8) * 1024;
// The VM that asks waits for somewhat longer.
constexpr duration ConnectTimeout = std::chrono::milliseconds(300);

bool isRefused(const error_code &error)
{
    return error == boost::asio::error::connection_refused
           || error == boost::asio::error::connection_reset;
}

} // namespace

/// One relayed connection: the socket of the VM that asked, and the one to the endpoint.
class relayed_connection : public std::enable_shared_from_this<relayed_connection>
{
public:
    relayed_connection(endpoint_relay &relay, tcp::socket asker, std::string input)
        : m_relay(&relay)
        , m_asker(std::move(asker))
        , m_endpoint(relay.m_context)
        , m_timer(relay.m_context)
        , m_answer(std::move(input))
    {
    }

    void connect(const tcp::endpoint &server)
    {
        if (openFrom(m_endpoint, m_relay->m_options.localAddress)) {
            refuse(relay_answer::NotRelayed);
            return;
        }
        m_timer.expires_after(ConnectTimeout);
        m_timer.async_wait([self = shared_from_this()](error_code waitError) {
            error_code ignored; // Closing the socket completes the connect with an error.
            if (!waitError)
                self->m_endpoint.close(ignored);
        });
        m_endpoint.async_connect(server, [self = shared_from_this()](error_code connectError) {
            self->m_timer.cancel();
            if (connectError)
                self->refuse(isRefused(connectError) ? relay_answer::EndpointRefused
                                                     : relay_answer::EndpointSilent);
            else
                self->connected();
        });
    }

    /// Answers that nothing is relayed, and closes the connection.
    void refuse(relay_answer answer)
    {
        report(answer);
        m_answer = encodeRelayAnswer(answer);
        boost::asio::async_write(
                m_asker, boost::asio::buffer(m_answer),
                [self = shared_from_this()](error_code, std::size_t) { self->close(false); });
    }

    void close(bool reset)
    {
        m_timer.cancel();
        for (tcp::socket *socket : { &m_asker, &m_endpoint }) {
            error_code ignored; // The socket is closed in any case.
            if (reset)
                socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        if (m_relay != nullptr)
            std::exchange(m_relay, nullptr)->m_connections.erase(shared_from_this());
    }

private:
    /// One direction of the connection.
    struct direction
    {
        std::array<char, BufferBytes> buffer;
        bool ended = false;
    };

    void report(relay_answer answer) const
    {
        if (m_relay != nullptr && m_relay->m_options.answered)
            m_relay->m_options.answered(answer);
    }

    void connected()
    {
        report(relay_answer::Connected);
        const duration silenceTimeout = http_client_options().silenceTimeout;
        setSilenceTimeout(m_asker, silenceTimeout);
        setSilenceTimeout(m_endpoint, silenceTimeout);
        m_input = std::exchange(m_answer, encodeRelayAnswer(relay_answer::Connected));
        boost::asio::async_write(m_asker, boost::asio::buffer(m_answer),
                                 [self = shared_from_this()](error_code error, std::size_t) {
                                     if (error)
                                         self->close(true);
                                     else
                                         self->forwardInput();
                                 });
        watchAsker();
    }

    /// Notices a reset of the asker also while nothing is read from it, since the endpoint does not
    /// take what has arrived. Errors of the endpoint are left to its read: an answer may precede
    /// them.
    void watchAsker()
    {
        m_asker.async_wait(tcp::socket::wait_error, [self = shared_from_this()](error_code error) {
            int pending = 0;
            socklen_t size = sizeof pending;
            if (!error
                && ::getsockopt(self->m_asker.native_handle(), SOL_SOCKET, SO_ERROR, &pending,
                                &size)
                           == 0
                && pending != 0)
                self->close(true);
        });
    }

    /// Passes on what has arrived with the request.
    void forwardInput()
    {
        boost::asio::async_write(m_endpoint, boost::asio::buffer(m_input),
                                 [self = shared_from_this()](error_code error, std::size_t) {
                                     if (error) {
                                         self->close(true);
                                         return;
                                     }
                                     self->read(self->m_asker, self->m_endpoint,
                                                self->m_toEndpoint);
                                     self->read(self->m_endpoint, self->m_asker, self->m_toAsker);
                                 });
    }

    void read(tcp::socket &from, tcp::socket &to, direction &way)
    {
        from.async_read_some(
                boost::asio::buffer(way.buffer),
                [self = shared_from_this(), &from, &to, &way](error_code error, std::size_t bytes) {
                    if (error == boost::asio::error::eof)
                        self->ended(to, way);
                    else if (error)
                        self->close(true);
                    else
                        self->write(from, to, way, bytes);
                });
    }

    void write(tcp::socket &from, tcp::socket &to, direction &way, std::size_t bytes)
    {
        boost::asio::async_write(
                to, boost::asio::buffer(way.buffer.data(), bytes),
                [self = shared_from_this(), &from, &to, &way](error_code error, std::size_t) {
                    if (error)
                        self->close(true);
                    else
                        self->read(from, to, way);
                });
    }

    /// An asker that ends its side has left, whatever the endpoint still sends.
    void ended(tcp::socket &to, direction &way)
    {
        way.ended = true;
        if (&way == &m_toEndpoint || m_toEndpoint.ended) {
            close(false);
            return;
        }
        error_code error;
        to.shutdown(tcp::socket::shutdown_send, error);
        if (error)
            close(true);
    }

    endpoint_relay *m_relay; // Null once this connection is closed or the relay is gone.
    tcp::socket m_asker;
    tcp::socket m_endpoint;
    boost::asio::steady_timer m_timer;
    std::string m_answer;
    std::string m_input;
    direction m_toEndpoint;
    direction m_toAsker;
};

endpoint_relay::endpoint_relay(boost::asio::io_context &context, endpoint_relay_options options)
    : m_context(context)
    , m_options(std::move(options))
{
}

endpoint_relay::~endpoint_relay()
{
    const auto connections = m_connections;
    for (const auto &connection : connections)
        connection->close(true);
}

void endpoint_relay::start(tcp::socket socket, const std::string &endpointAddress,
                           std::string input)
{
    const auto connection = std::make_shared<relayed_connection>(*this, std::move(socket),
                                                                 std::move(input));
    const auto server = parseAddress(endpointAddress);
    const bool hasRoom = m_connections.size() < m_options.maxConnections;
    m_connections.insert(connection);
    if (server && hasRoom && m_options.allowed(endpointAddress))
        connection->connect(*server);
    else
        connection->refuse(relay_answer::NotRelayed);
}

} // namespace burdockhold
