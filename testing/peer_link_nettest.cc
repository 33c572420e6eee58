#define BOOST_TEST_MODULE peer_link
#include "burdockhold/peer_link.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <future>
#include <thread>

using namespace burdockhold;

namespace {

/// A socket that listens on a free port of the loopback address and answers nothing.
class silent_listener
{
public:
    silent_listener()
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        BOOST_REQUIRE(bind(m_socket, generic, size) == 0);
        BOOST_REQUIRE(listen(m_socket, 8) == 0);
        BOOST_REQUIRE(getsockname(m_socket, generic, &size) == 0);
        m_port = ntohs(address.sin_port);
    }
    ~silent_listener() { close(m_socket); }
    silent_listener(const silent_listener &) = delete;
    silent_listener &operator=(const silent_listener &) = delete;

    int port() const { return m_port; }

private:
    int m_socket;
    int m_port = 0;
};

int freePort()
{
    return silent_listener().port();
}

std::string addressOf(int port)
{
    return "tcp://127.0.0.1:" + std::to_string(port);
}

/// Answers a grant_request with a reply that carries the same id, and 1000 + incarnation tokens.
std::unique_ptr<peer_link> openLink(int port, std::uint64_t incarnation, std::size_t inFlight = 64)
{
    peer_link_options options;
    options.address = addressOf(port);
    options.maxInFlight = inFlight;
    auto link = peer_link::open(options, [incarnation](const peer_message &m) {
        grant_reply reply;
        if (const auto *request = std::get_if<grant_request>(&m.body))
            reply.requestId = request->requestId;
        reply.account = "x";
        reply.tokens = 1000.0 + static_cast<double>(incarnation);
        return peer_message{ "server", incarnation, m.messageId, reply };
    });
    BOOST_REQUIRE(isOk(link));
    return std::move(valueOf(link));
}

peer_message makeRequest(std::uint64_t id)
{
    return { "client", 1, id, grant_request{ "x", 1, id, 5.0 } };
}

peer_reply call(peer_link &link, std::uint64_t id)
{
    auto promise = std::make_shared<std::promise<peer_reply>>();
    auto future = promise->get_future();
    link.send("server", makeRequest(id), [promise](const peer_reply &r) { promise->set_value(r); });
    BOOST_REQUIRE(future.wait_for(std::chrono::seconds(60)) == std::future_status::ready);
    return future.get();
}

/// Repeats a call until it is answered, for at most 60 s.
double tokensAfterRetries(peer_link &link)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    for (std::uint64_t id = 1000; std::chrono::steady_clock::now() < deadline; ++id) {
        const peer_reply reply = call(link, id);
        if (isOk(reply))
            return std::get<grant_reply>(valueOf(reply).body).tokens;
    }
    return 0.0;
}

} // namespace

// Guards against replies that reach another request when many are in flight.
BOOST_AUTO_TEST_CASE(repliesReachTheirRequests)
{
    const int port = freePort();
    const auto server = openLink(port, 1);
    const auto client = openLink(freePort(), 2);
    client->setPeers({ { "server", addressOf(port) } });
    BOOST_REQUIRE(tokensAfterRetries(*client) == 1001.0);
    std::vector<std::thread> threads;
    std::atomic<int> wrong{ 0 };
    std::atomic<int> answered{ 0 };
    threads.reserve(4);
    for (std::uint64_t t = 0; t < 4; ++t) {
        threads.emplace_back([&, t] {
            for (std::uint64_t id = t * 100; id < t * 100 + 100; ++id) {
                const peer_reply reply = call(*client, id);
                if (!isOk(reply))
                    continue;
                ++answered;
                const auto &body = std::get<grant_reply>(valueOf(reply).body);
                wrong += body.requestId != id || valueOf(reply).messageId != id ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads)
        thread.join();
    BOOST_TEST(wrong == 0);
    BOOST_TEST(answered > 0);
}

// Guards against a link that stays cut after the peer's process was replaced.
BOOST_AUTO_TEST_CASE(peerThatDiesAndReturnsIsReachedAgain)
{
    const int port = freePort();
    auto server = openLink(port, 1);
    const auto client = openLink(freePort(), 9);
    client->setPeers({ { "server", addressOf(port) } });
    BOOST_TEST(tokensAfterRetries(*client) == 1001.0);
    server.reset();
    BOOST_TEST(!isOk(call(*client, 1)));
    server = openLink(port, 2);
    BOOST_TEST(tokensAfterRetries(*client) == 1002.0);
}

// Guards against a silent peer that holds requests for ever or lets them pile up.
BOOST_AUTO_TEST_CASE(silentPeerTimesOutAndTheQueueIsBounded)
{
    const silent_listener silent;
    const auto client = openLink(freePort(), 1, 4);
    client->setPeers({ { "server", addressOf(silent.port()) } });
    std::atomic<int> full{ 0 };
    std::atomic<int> late{ 0 };
    for (std::uint64_t id = 0; id < 10; ++id) {
        client->send("server", makeRequest(id), [&](const peer_reply &r) {
            BOOST_REQUIRE(!isOk(r));
            ++(errorOf(r).code == peer_link_error::QueueFull ? full : late);
        });
    }
    for (int i = 0; i < 6000 && full + late < 10; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    BOOST_TEST(full + late == 10);
    BOOST_TEST(late >= 4);
    BOOST_TEST(client->statistics().timedOut == static_cast<std::uint64_t>(late));
}

// Guards against garbage on the listening port that stops the service.
BOOST_AUTO_TEST_CASE(garbageDoesNotStopTheService)
{
    const int port = freePort();
    const auto server = openLink(port, 1);
    for (int i = 0; i < 5; ++i) {
        const int garbage = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        BOOST_REQUIRE(connect(garbage, reinterpret_cast<sockaddr *>(&address), sizeof address)
                      == 0);
        // A valid nng greeting of a request socket, a message header and a body that is no message.
        std::string bytes("\0SP\0\0\x30\0\0", 8);
        bytes += std::string("\0\0\0\0\0\0\0\x08\x80\0\0\x01zzzz", 16);
        if (i % 2 == 0)
            bytes = std::string(1000, '\xff');
        BOOST_TEST(::send(garbage, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
        for (int wait = 0; i % 2 == 1 && wait < 6000 && server->statistics().malformed == 0; ++wait)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        close(garbage);
    }
    BOOST_TEST(server->statistics().malformed > 0U);
    const auto client = openLink(freePort(), 2);
    client->setPeers({ { "server", addressOf(port) } });
    BOOST_TEST(tokensAfterRetries(*client) == 1001.0);
}

// Guards against a deadlock or a lost callback when peers change while callbacks send.
BOOST_AUTO_TEST_CASE(peersChangeWhileCallbacksSend)
{
    const int port = freePort();
    const auto server = openLink(port, 1);
    auto client = openLink(freePort(), 2, 8);
    std::atomic<int> sent{ 0 };
    std::atomic<int> ended{ 0 };
    std::function<void(int)> chain = [&](int left) {
        ++sent;
        client->send("server", makeRequest(1), [&, left](const peer_reply &) {
            if (left > 0)
                chain(left - 1);
            ++ended;
        });
    };
    for (int round = 0; round < 30; ++round) {
        client->setPeers({ { "server", addressOf(port) } });
        for (int i = 0; i < 4; ++i)
            chain(20);
        std::this_thread::sleep_for(std::chrono::milliseconds(round % 7));
        client->setPeers({});
    }
    BOOST_TEST(sent == 30 * 4 * 21);
    BOOST_TEST(ended == sent);
    BOOST_TEST(client->statistics().answered > 0U);
}

// Guards against callbacks that are lost when a link or a peer goes away.
BOOST_AUTO_TEST_CASE(closingEndsRequests)
{
    const silent_listener silent;
    std::atomic<int> closed{ 0 };
    auto client = openLink(freePort(), 1);
    client->setPeers({ { "server", addressOf(silent.port()) } });
    const auto count = [&](const peer_reply &r) { closed += isOk(r) ? 0 : 1; };
    client->send("server", makeRequest(1), count);
    client->setPeers({});
    BOOST_TEST(closed == 1);
    client->send("server", makeRequest(2), count);
    BOOST_TEST(closed == 2);
    client.reset();
    BOOST_TEST(!isOk(peer_link::open({ "nonsense" }, nullptr)));
}
