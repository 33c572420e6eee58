#define BOOST_TEST_MODULE http_client_connection
#include "burdockhold/http_client_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

using namespace burdockhold;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t LongBody = std::size_t(32) * 1024 * 1024; // Above the socket buffers.

std::string requestWithBody(std::size_t size)
{
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"
           + std::string(size, 'x');
}

/// Returns how a call with a long body ends whose server reads the head, sends the response, closes
/// its direction if it closes in order, and resets the connection.
http_outcome outcomeOfEarlyResponse(const std::string &response, bool closesInOrder = false)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    std::string body;
    std::thread server([&] {
        tcp::socket socket = acceptor.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(response));
        if (closesInOrder)
            socket.shutdown(tcp::socket::shutdown_send);
        std::this_thread::sleep_for(std::chrono::milliseconds(50)); // The router reads it.
        socket.set_option(boost::asio::socket_base::linger(true, 0));
    });
    auto connection = std::make_shared<http_client_connection>(context, acceptor.local_endpoint());
    auto outcome = http_outcome::NotConnected;
    connection->call(requestWithBody(LongBody),
                     { [](const response_message &) { return true; },
                       [&](std::string_view bytes) { body.append(bytes); },
                       [&](http_outcome end) { outcome = end; } });
    context.run();
    server.join();
    BOOST_TEST(body == "event");
    return outcome;
}

/// Lets a server answer a request with a body of the size when it has read the head, and read on
/// then. Returns whether the connection could be reused; a second request was made on it if so.
bool reusedAfterEarlyResponse(std::size_t size)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::string received;
    std::thread server([&] {
        tcp::socket socket = acceptor.accept();
        boost::system::error_code error;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(response));
        std::this_thread::sleep_for(std::chrono::milliseconds(50)); // The router reads it.
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
    });
    auto connection = std::make_shared<http_client_connection>(context, acceptor.local_endpoint());
    const std::string first = requestWithBody(size);
    const std::string second = "GET /second HTTP/1.1\r\n\r\n";
    bool reused = false;
    std::string outcome;
    const auto ignoreHead = [](const response_message &) { return true; };
    connection->call(first, { ignoreHead, [](std::string_view) {},
                              [&](http_outcome end) {
                                  outcome = nameOf(end);
                                  reused = connection->isReusable();
                              } });
    context.run();
    if (reused) {
        context.restart();
        connection->call(second, { ignoreHead, [](std::string_view) {}, [](http_outcome) {} });
        context.run_for(std::chrono::milliseconds(100));
    }
    connection->close();
    context.restart();
    context.run();
    server.join();
    BOOST_TEST(outcome == nameOf(http_outcome::Complete));
    const std::string expected = first + (reused ? second : "");
    BOOST_TEST(
            (reused ? received == expected : expected.compare(0, received.size(), received) == 0),
            size);
    return reused;
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

// Guards against a response without a length that looks complete although its server ended while
// the request was still written: the close arrives before the reset.
BOOST_AUTO_TEST_CASE(closeWhileTheRequestIsWrittenDoesNotCompleteAResponse)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    BOOST_TEST(nameOf(outcomeOfEarlyResponse(head + "Connection: close\r\n\r\nevent", true))
               == nameOf(http_outcome::Broken));
    BOOST_TEST(nameOf(outcomeOfEarlyResponse(
                       head + "Transfer-Encoding: chunked\r\n\r\n5\r\nevent\r\n", true))
               == nameOf(http_outcome::Broken));
    BOOST_TEST(nameOf(outcomeOfEarlyResponse(head + "Content-Length: 5\r\n\r\nevent", true))
               == nameOf(http_outcome::Complete));
}

// Guards against a request that its server reads as the rest of the body before it, since the
// server answered before it had read that body.
BOOST_AUTO_TEST_CASE(requestAfterAnEarlyResponseIsNotReadAsTheRestOfABody)
{
    BOOST_TEST(reusedAfterEarlyResponse(1000));
    reusedAfterEarlyResponse(std::size_t(64) * 1024); // May fit the socket buffers.
    BOOST_TEST(!reusedAfterEarlyResponse(LongBody));
}
