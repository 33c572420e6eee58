#define BOOST_TEST_MODULE endpoint_relay
#include "burdockhold/connect_check.h"
#include "burdockhold/endpoint_relay.h"
#include "burdockhold/http_client_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace burdockhold;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

using ms = std::chrono::milliseconds;

constexpr int AtOnceMs = 1000; // A generous bound for what takes no waiting.
constexpr std::size_t LongBody = std::size_t(32) * 1024 * 1024; // Above the socket buffers.

std::string formatted(const tcp::endpoint &endpoint)
{
    return "127.0.0.1:" + std::to_string(endpoint.port());
}

/// The library drops the option when it closes a socket by its destructor.
void reset(tcp::socket &socket)
{
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
}

/// Returns true if the connection ends within the time, read or not.
bool ends(tcp::socket &socket, int milliseconds)
{
    pollfd entry{ socket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&entry, 1, milliseconds) > 0;
}

/// Writes without reading until the socket takes no more for a while.
std::size_t writeUntilBlocked(tcp::socket &socket)
{
    const std::string piece(std::size_t(64) * 1024, 'x');
    std::size_t written = 0;
    pollfd entry{ socket.native_handle(), POLLOUT, 0 };
    while (::poll(&entry, 1, 300) > 0 && written < LongBody) {
        socket.non_blocking(true);
        error_code error;
        written += socket.write_some(boost::asio::buffer(piece), error);
        if (error && error != boost::asio::error::would_block)
            break;
    }
    socket.non_blocking(false);
    return written;
}

/// An endpoint's listener, a port that hands its connections to a relay, and the relay's loop.
struct relay_fixture
{
    relay_fixture()
    {
        endpoint_relay_options options;
        options.maxConnections = 4;
        options.allowed = [this](const std::string &) { return relays.load(); };
        options.answered = [this](relay_answer) { ++answers; };
        relay = std::make_unique<endpoint_relay>(context, options);
        accept();
        thread = std::thread([this] { context.run(); });
    }

    ~relay_fixture()
    {
        stop();
        thread.join();
    }

    relay_fixture(const relay_fixture &) = delete;
    relay_fixture &operator=(const relay_fixture &) = delete;

    /// Ends the relay as the process of its VM would.
    void stop()
    {
        boost::asio::post(context, [this] {
            relay.reset();
            error_code ignored;
            port.close(ignored);
            work.reset();
        });
    }

    void accept()
    {
        port.async_accept([this](error_code error, tcp::socket socket) {
            if (error)
                return;
            readRequest(std::make_shared<tcp::socket>(std::move(socket)));
            accept();
        });
    }

    void readRequest(const std::shared_ptr<tcp::socket> &socket)
    {
        const auto input = std::make_shared<std::string>();
        boost::asio::async_read_until(*socket, boost::asio::dynamic_buffer(*input), "\r\n\r\n",
                                      [this, socket, input](error_code error, std::size_t bytes) {
                                          const auto address = decodeRelayRequest(*input);
                                          if (!error && address && relay)
                                              relay->start(std::move(*socket), *address,
                                                           input->substr(bytes));
                                      });
    }

    std::size_t size()
    {
        std::promise<std::size_t> result;
        boost::asio::post(context, [&] { result.set_value(relay->size()); });
        return result.get_future().get();
    }

    /// Waits until the relay has this many connections.
    bool hasSize(std::size_t expected)
    {
        for (int waited = 0; waited < AtOnceMs; waited += 10) {
            if (size() == expected)
                return true;
            std::this_thread::sleep_for(ms(10));
        }
        return false;
    }

    /// Asks for a connection, with some bytes behind the request.
    relay_answer ask(tcp::socket &asker, const std::string &address, const std::string &more = {})
    {
        asker.connect(port.local_endpoint());
        boost::asio::write(asker, boost::asio::buffer(encodeRelayRequest(address) + more));
        std::string head;
        error_code error;
        // Byte by byte, so that what follows stays in the socket.
        for (char next = 0; head.find("\r\n\r\n") == std::string::npos && !error; head += next)
            boost::asio::read(asker, boost::asio::buffer(&next, 1), error);
        return decodeRelayAnswer(head);
    }

    /// Connects both sides through the relay.
    void connectBoth(tcp::socket &asker, tcp::socket &server)
    {
        BOOST_REQUIRE(
                (ask(asker, formatted(endpoint.local_endpoint())) == relay_answer::Connected));
        endpoint.accept(server);
    }

    /// Makes a call through the relay and returns how it ends; the server function plays the
    /// endpoint.
    http_outcome call(const std::string &request, const std::function<void(tcp::socket &)> &server,
                      std::string &body)
    {
        boost::asio::io_context callContext;
        std::thread serverThread([&] {
            tcp::socket socket = endpoint.accept();
            server(socket);
        });
        http_client_options options;
        options.relay = port.local_endpoint();
        const auto connection = std::make_shared<http_client_connection>(
                callContext, endpoint.local_endpoint(), options);
        auto outcome = http_outcome::NotConnected;
        connection->call(request, { [](const response_message &) { return true; },
                                    [&](std::string_view bytes) { body.append(bytes); },
                                    [&](http_outcome end) { outcome = end; } });
        callContext.run();
        serverThread.join();
        return outcome;
    }

    boost::asio::io_context context;
    boost::asio::io_context blocking; // Of the sockets of the test's own threads.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
        context.get_executor()
    };
    tcp::acceptor port{ context, { boost::asio::ip::address_v4::loopback(), 0 } };
    tcp::acceptor endpoint{ blocking, { boost::asio::ip::address_v4::loopback(), 0 } };
    std::unique_ptr<endpoint_relay> relay;
    std::atomic<bool> relays{ true };
    std::atomic<int> answers{ 0 };
    std::thread thread;
};

std::string randomBytes(std::mt19937 &random, std::size_t size)
{
    std::string bytes(size, '\0');
    for (char &byte : bytes)
        byte = static_cast<char>(random());
    return bytes;
}

/// Writes the bytes in pieces of random sizes, with pauses.
void writeInPieces(tcp::socket &socket, const std::string &bytes, unsigned seed)
{
    std::mt19937 random(seed);
    for (std::size_t at = 0; at < bytes.size();) {
        const std::size_t size = std::min<std::size_t>(1 + random() % 30000, bytes.size() - at);
        boost::asio::write(socket, boost::asio::buffer(bytes.data() + at, size));
        at += size;
        if (random() % 4 == 0)
            std::this_thread::sleep_for(ms(random() % 5));
    }
}

std::string readAll(tcp::socket &socket, std::size_t size)
{
    std::string bytes(size, '\0');
    error_code error;
    bytes.resize(boost::asio::read(socket, boost::asio::buffer(bytes), error));
    return bytes;
}

std::string responseWithoutLength(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body;
}

std::string postOf(std::size_t size)
{
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"
           + std::string(size, 'x');
}

void readHead(tcp::socket &socket)
{
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
}

} // namespace

BOOST_FIXTURE_TEST_CASE(bytesArriveUnchangedInBothDirections, relay_fixture)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        std::mt19937 random(seed);
        const std::string up = randomBytes(random, random() % 1000000);
        const std::string down = randomBytes(random, random() % 1000000);
        const std::string early = randomBytes(random, random() % 900);
        tcp::socket asker(blocking);
        tcp::socket server(blocking);
        BOOST_REQUIRE((ask(asker, formatted(endpoint.local_endpoint()), early)
                       == relay_answer::Connected));
        endpoint.accept(server);
        std::thread upWriter([&] { writeInPieces(asker, up, seed); });
        std::thread downWriter([&] { writeInPieces(server, down, seed + 1000); });
        std::string received;
        std::thread upReader([&] { received = readAll(server, early.size() + up.size()); });
        const bool downEqual = readAll(asker, down.size()) == down;
        for (std::thread *each : { &upWriter, &downWriter, &upReader })
            each->join();
        BOOST_TEST(downEqual, "seed " << seed);
        BOOST_TEST((received == early + up), "seed " << seed);
    }
}

// Guards against an answer without length or chunks that looks complete after a reset.
BOOST_FIXTURE_TEST_CASE(answerThatEndsWithAResetIsNotComplete, relay_fixture)
{
    std::string body;
    const auto end = call(
            postOf(0),
            [](tcp::socket &socket) {
                readHead(socket);
                boost::asio::write(socket, boost::asio::buffer(responseWithoutLength("part")));
                std::this_thread::sleep_for(ms(50));
                reset(socket);
            },
            body);
    BOOST_TEST((end == http_outcome::Broken));
    BOOST_TEST(body == "part");
}

// Guards against an answer without length or chunks that looks complete when its relay's process
// ends: the system closes its connections in order.
BOOST_FIXTURE_TEST_CASE(answerThatEndsWithItsRelayedConnectionIsNotComplete, relay_fixture)
{
    std::string body;
    const auto end = call(
            postOf(10),
            [](tcp::socket &socket) {
                readHead(socket);
                boost::asio::write(socket, boost::asio::buffer(responseWithoutLength("whole")));
            },
            body);
    BOOST_TEST((end == http_outcome::Broken));
    BOOST_TEST(body == "whole");
}

// Guards against an answer that looks complete although the relay holds bytes of the request that
// the endpoint has not taken: the asker cannot see them.
BOOST_FIXTURE_TEST_CASE(answerBeforeTheRequestIsPassedOnIsNotComplete, relay_fixture)
{
    endpoint.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    for (const std::size_t kilobytes : { 2500U, 3000U, 3500U, 4500U, 6000U, 8000U, 32000U }) {
        std::string body;
        const auto end = call(
                postOf(kilobytes * 1024),
                [](tcp::socket &socket) {
                    readHead(socket);
                    std::this_thread::sleep_for(ms(100)); // The asker writes what it can.
                    boost::asio::write(socket, boost::asio::buffer(responseWithoutLength("part")));
                    socket.shutdown(tcp::socket::shutdown_send);
                    std::this_thread::sleep_for(ms(100));
                    reset(socket);
                },
                body);
        BOOST_TEST((end == http_outcome::Broken), kilobytes << " KB");
    }
}

BOOST_FIXTURE_TEST_CASE(endOfTheAskerReachesTheEndpointAtOnce, relay_fixture)
{
    for (const bool withReset : { false, true }) {
        tcp::socket asker(blocking);
        tcp::socket server(blocking);
        connectBoth(asker, server);
        if (withReset)
            reset(asker);
        else
            asker.close();
        BOOST_TEST(ends(server, AtOnceMs), "reset " << withReset);
        BOOST_TEST(hasSize(0));
    }
}

// Guards against a connection that stays with an endpoint that does not read after its asker has
// gone.
BOOST_FIXTURE_TEST_CASE(resetOfTheAskerReachesAnEndpointThatDoesNotRead, relay_fixture)
{
    tcp::socket asker(blocking);
    tcp::socket server(blocking);
    connectBoth(asker, server);
    writeUntilBlocked(asker);
    reset(asker);
    BOOST_TEST(ends(server, AtOnceMs));
    BOOST_TEST(hasSize(0));
}

// Guards against memory that grows with what a side does not read.
BOOST_FIXTURE_TEST_CASE(sideThatDoesNotReadBlocksTheOther, relay_fixture)
{
    for (const bool upwards : { true, false }) {
        tcp::socket asker(blocking);
        tcp::socket server(blocking);
        connectBoth(asker, server);
        rusage before{};
        ::getrusage(RUSAGE_SELF, &before);
        BOOST_TEST(writeUntilBlocked(upwards ? asker : server) < LongBody);
        rusage after{};
        ::getrusage(RUSAGE_SELF, &after);
        BOOST_TEST(after.ru_maxrss - before.ru_maxrss
                   < 2048); // KB; socket buffers are the kernel's.
    }
}

BOOST_FIXTURE_TEST_CASE(endpointsThatMayNotBeRelayedAreNotCalled, relay_fixture)
{
    tcp::socket first(blocking);
    relays = false; // As for an unknown address, a VM that leaves, or one that is cut off.
    BOOST_TEST((ask(first, formatted(endpoint.local_endpoint())) == relay_answer::NotRelayed));
    BOOST_TEST(ends(first, AtOnceMs));
    relays = true;
    tcp::socket second(blocking);
    BOOST_TEST((ask(second, "no-address") == relay_answer::NotRelayed));
    BOOST_TEST(hasSize(0));
    std::vector<tcp::socket> askers;
    std::vector<tcp::socket> servers;
    for (int count = 0; count < 4; ++count) {
        askers.emplace_back(blocking);
        servers.emplace_back(blocking);
        connectBoth(askers.back(), servers.back());
    }
    tcp::socket beyond(blocking);
    BOOST_TEST((ask(beyond, formatted(endpoint.local_endpoint())) == relay_answer::NotRelayed));
    BOOST_TEST(answers == 7);
}

BOOST_FIXTURE_TEST_CASE(refusalAndSilenceOfTheEndpointAreToldApart, relay_fixture)
{
    tcp::acceptor closed(blocking, { boost::asio::ip::address_v4::loopback(), 0 });
    const std::string address = formatted(closed.local_endpoint());
    closed.close();
    tcp::socket first(blocking);
    BOOST_TEST((ask(first, address) == relay_answer::EndpointRefused));
    // A full queue of a listener drops further connection attempts.
    tcp::acceptor full(blocking, tcp::v4());
    full.bind({ boost::asio::ip::address_v4::loopback(), 0 });
    full.listen(0);
    std::vector<tcp::socket> waiting;
    for (int count = 0; count < 3; ++count) {
        waiting.emplace_back(blocking);
        waiting.back().open(tcp::v4());
        waiting.back().non_blocking(true);
        const tcp::endpoint target = full.local_endpoint();
        // The library's connect would wait for the outcome.
        static_cast<void>(::connect(waiting.back().native_handle(), target.data(), target.size()));
    }
    std::this_thread::sleep_for(ms(20));
    tcp::socket second(blocking);
    BOOST_TEST((ask(second, formatted(full.local_endpoint())) == relay_answer::EndpointSilent));
}

// A request is written only after the relay has confirmed, so before that the call counts as not
// sent and may go elsewhere.
BOOST_AUTO_TEST_CASE(relayThatDiesBeforeItConfirmsHasSentNothing)
{
    for (const bool withReset : { false, true }) {
        boost::asio::io_context context;
        tcp::acceptor port(context, { boost::asio::ip::address_v4::loopback(), 0 });
        std::string received;
        std::thread relay([&] {
            tcp::socket socket = port.accept();
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n");
            if (withReset)
                reset(socket);
        });
        http_client_options options;
        options.relay = port.local_endpoint();
        int reported = 0;
        options.connectEnded = [&](bool connected, std::optional<relay_answer> answer) {
            BOOST_TEST(!connected);
            BOOST_TEST(!answer.has_value());
            ++reported;
        };
        auto outcome = http_outcome::Complete;
        const auto connection = std::make_shared<http_client_connection>(
                context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 1), options);
        connection->call(postOf(10),
                         { [](const response_message &) { return true; }, [](std::string_view) {},
                           [&](http_outcome end) { outcome = end; } });
        context.run();
        relay.join();
        BOOST_TEST((outcome == http_outcome::NotConnected));
        BOOST_TEST(received == encodeRelayRequest("127.0.0.1:1"));
        BOOST_TEST(reported == 1);
    }
}

// Guards against a second run of a request that may not be repeated.
BOOST_FIXTURE_TEST_CASE(relayThatDiesAfterItHasConfirmedBreaksTheCall, relay_fixture)
{
    std::string body;
    const auto end = call(
            postOf(10),
            [this](tcp::socket &socket) {
                readHead(socket);
                stop();
                BOOST_TEST(ends(socket, AtOnceMs));
            },
            body);
    BOOST_TEST((end == http_outcome::Broken));
}
