#define BOOST_TEST_MODULE http_client_connection
#include "burdockhold/http_client_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

using namespace burdockhold;
using boost::asio::ip::tcp;

namespace {

/// Returns how a call with a long body ends whose server reads the head, sends the response and
/// resets the connection.
http_outcome outcomeOfEarlyResponse(const std::string &response)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    std::string body;
    std::thread server([&] {
        tcp::socket socket = acceptor.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(response));
        std::this_thread::sleep_for(std::chrono::milliseconds(50)); // The router reads it.
        socket.set_option(boost::asio::socket_base::linger(true, 0));
    });
    constexpr std::size_t LongBody = std::size_t(32) * 1024 * 1024; // Above the socket buffers.
    auto connection = std::make_shared<http_client_connection>(context, acceptor.local_endpoint());
    auto outcome = http_outcome::NotConnected;
    connection->call("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(LongBody) + "\r\n\r\n"
                             + std::string(LongBody, 'x'),
                     { [](const response_message &) { return true; },
                       [&](std::string_view bytes) { body.append(bytes); },
                       [&](http_outcome end) { outcome = end; } });
    context.run();
    server.join();
    BOOST_TEST(body == "event");
    return outcome;
}

} // namespace

// Guards against a response that a reset cut off counting as complete: the failed write of the
// request consumes the socket's error, and the next read reports an orderly end.
BOOST_AUTO_TEST_CASE(resetWhileTheRequestIsWrittenDoesNotCompleteAResponse)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    BOOST_TEST(nameOf(outcomeOfEarlyResponse(head + "Connection: close\r\n\r\nevent"))
               == nameOf(http_outcome::Broken));
    BOOST_TEST(nameOf(outcomeOfEarlyResponse(head + "Content-Length: 5\r\n\r\nevent"))
               == nameOf(http_outcome::Complete));
}
