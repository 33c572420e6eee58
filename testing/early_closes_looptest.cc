#define BOOST_TEST_MODULE early_closes_loop
#include "burdockhold/endpoint_relay.h"
#include "burdockhold/http_client_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

using namespace burdockhold;
using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::seconds WaitLimit(8); // Far above any wait of the connection itself.
constexpr std::chrono::milliseconds Pause(40);
constexpr int ServerBufferBytes = 4096;

// The first fits the socket buffers of the client, but not those of the server; so it counts as
// written while most of it has not arrived. The second one fits neither.
constexpr std::array<std::size_t, 2> BodyBytes{ std::size_t(200) * 1024,
                                                std::size_t(32) * 1024 * 1024 };

/// How the server ends the connection, of whose request it reads only the head.
enum class server_end {
    Reset,           ///< Behind its response.
    ResetAfterPause, ///< When the client has read the response.
    EndThenReset,    ///< Ends its side in order behind its response and resets later.
    EndAfterPause,   ///< Ends its side in order when the client has read the response.
    CloseWithUnread, ///< Closes with unread bytes, for which the system sends a reset.
};

constexpr std::array AllEnds{ server_end::Reset, server_end::ResetAfterPause,
                              server_end::EndThenReset, server_end::EndAfterPause,
                              server_end::CloseWithUnread };

struct early_close
{
    server_end end = server_end::Reset;
    std::size_t bodyBytes = 0;
    bool chunkedRequest = false;
    bool separateBody = false; ///< The server sends head and body in two segments.
    bool relayed = false;
};

std::ostream &operator<<(std::ostream &out, const early_close &c)
{
    return out << "end " << static_cast<int>(c.end) << ", " << c.bodyBytes << " bytes, chunked "
               << c.chunkedRequest << ", separate " << c.separateBody << ", relayed " << c.relayed;
}

std::string requestOf(const early_close &c)
{
    if (!c.chunkedRequest)
        return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(c.bodyBytes) + "\r\n\r\n"
               + std::string(c.bodyBytes, 'x');
    std::string request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
    for (std::size_t bytes = 0; bytes < c.bodyBytes; bytes += 4096)
        request += chunk;
    return request + "0\r\n\r\n";
}

void pause()
{
    std::this_thread::sleep_for(Pause);
}

void serveOnce(tcp::acceptor &acceptor, const early_close &c, const std::string &head)
{
    tcp::socket socket = acceptor.accept();
    boost::system::error_code error; // The client may have closed.
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
    pause(); // The client writes all that it can.
    boost::asio::write(socket, boost::asio::buffer(head + (c.separateBody ? "" : "event")), error);
    if (c.separateBody) {
        pause();
        boost::asio::write(socket, boost::asio::buffer("event", 5), error);
    }
    if (c.end == server_end::ResetAfterPause || c.end == server_end::EndAfterPause)
        pause();
    if (c.end == server_end::EndThenReset || c.end == server_end::EndAfterPause) {
        socket.shutdown(tcp::socket::shutdown_send, error);
        pause();
    }
    if (c.end != server_end::CloseWithUnread)
        socket.set_option(boost::asio::socket_base::linger(true, 0), error);
}

/// Relays one connection to any server.
class relay_server
{
public:
    explicit relay_server(boost::asio::io_context &context)
        : m_acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_relay(context, { 4, std::nullopt, [](const std::string &) { return true; }, {} })
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(m_head), "\r\n\r\n");
            m_relay.start(std::move(socket), decodeRelayRequest(m_head).value_or(""), "");
        });
    }

    tcp::endpoint address() const { return m_acceptor.local_endpoint(); }

private:
    tcp::acceptor m_acceptor;
    endpoint_relay m_relay;
    std::string m_head;
};

/// Returns how a call ends at such a server, whose response has the head.
std::string endOf(const early_close &c, const std::string &head)
{
    boost::asio::io_context relayContext;
    relay_server relay(relayContext);
    std::thread relaying([&] { relayContext.run_for(WaitLimit); });
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    acceptor.open(tcp::v4());
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(ServerBufferBytes));
    acceptor.bind({ boost::asio::ip::address_v4::loopback(), 0 });
    acceptor.listen();
    std::thread server([&] { serveOnce(acceptor, c, head); });
    http_client_options options;
    if (c.relayed)
        options.relay = relay.address();
    auto connection = std::make_shared<http_client_connection>(context, acceptor.local_endpoint(),
                                                               options);
    std::string end = "none";
    connection->call(requestOf(c),
                     { [](const response_message &) { return true; }, [](std::string_view) {},
                       [&](http_outcome outcome) { end = nameOf(outcome); } });
    context.run_for(WaitLimit);
    server.join();
    relayContext.stop();
    relaying.join();
    return end;
}

/// Checks that a response without a length is never complete when it ends so.
void checkAll(bool relayed)
{
    for (const server_end end : AllEnds) {
        for (const std::size_t bytes : BodyBytes) {
            for (const bool chunked : { false, true }) {
                for (const bool separate : { false, true }) {
                    const early_close c{ end, bytes, chunked, separate, relayed };
                    BOOST_TEST(endOf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n") == "broken",
                               c);
                }
            }
        }
    }
}

} // namespace

// Guards against a response without a length that looks complete although its server ended the
// connection while the request was on its way.
BOOST_AUTO_TEST_CASE(closeWhileTheRequestIsOnItsWayDoesNotCompleteAResponse)
{
    checkAll(false);
}

// Guards against a relay that passes such an end on as an orderly one.
BOOST_AUTO_TEST_CASE(relayDoesNotCompleteAResponseEither)
{
    checkAll(true);
}

// Guards against a check that rejects responses without a length whose request has arrived. Those
// of a relayed connection are rejected: it may be the relay that has ended.
BOOST_AUTO_TEST_CASE(orderlyCloseAfterTheRequestCompletesAResponse)
{
    for (const bool relayed : { false, true }) {
        for (const bool separate : { false, true }) {
            for (int run = 0; run < 10; ++run) {
                const early_close c{ server_end::EndAfterPause, 10, false, separate, relayed };
                BOOST_TEST(endOf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
                                   == (relayed ? "broken" : "complete"),
                           c);
            }
        }
    }
}
