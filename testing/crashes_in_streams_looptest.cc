#define BOOST_TEST_MODULE crashes_in_streams
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

// Requests that crash the engines that run them, after the first event of their stream.

using namespace burdockhold::testing;

namespace {

constexpr std::size_t Engines = 8;

/// A log, one router and engines of which each crashes while it answers the deadly request.
struct crashing_engines : router_fixture
{
    crashing_engines()
    {
        for (std::size_t index = 0; index < Engines; ++index) {
            servers.push_back(std::make_unique<fake_server>(
                    [this, index](const recorded_request &request, response_socket &socket) {
                        return serve(index, request, socket);
                    }));
            log.put("keyed.servers", "crashing" + std::to_string(index),
                    endpointRecord(servers.back()->address(), "ready"));
        }
        log.remove("keyed.servers", "e1");
        log.remove("keyed.servers", "e2");
        const auto deadline = std::chrono::steady_clock::now()
                              + std::chrono::milliseconds(WaitLimitMs);
        while (!isUsed && std::chrono::steady_clock::now() < deadline)
            soundIsServed();
        BOOST_REQUIRE(isUsed);
    }

    bool serve(std::size_t index, const recorded_request &request, response_socket &socket)
    {
        isUsed = true;
        const std::string last = request.field("Last-Event-Id");
        const int from = last.empty() ? 1 : std::stoi(last) + 1;
        socket.write("HTTP/1.1 200 OK\r\nX-Burdockhold-Attempt-Id: "
                     + request.field("X-Burdockhold-Attempt-Id")
                     + "\r\nX-Burdockhold-Server-Stamp: s1\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                     + chunk(event(from)));
        if (request.body != "dead")
            return socket.write(chunk(events(from + 1, from + 2)) + LastChunk);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        servers[index]->stopListening();
        ++crashes;
        socket.reset();
        return false;
    }

    received_stream send(const std::string &path, const std::string &body) const
    {
        test_caller caller(router->callerAddress());
        caller.send(request(path, "key-1", {}, body));
        const std::string response = caller.readUntil(LastChunk, WaitLimitMs);
        received_stream stream = decodeStream(response);
        if (stream.head.empty())
            stream.head = response;
        return stream;
    }

    bool soundIsServed() const { return send("/resume/", "sound").complete; }

    std::atomic<std::size_t> crashes{ 0 };
    std::atomic<bool> isUsed{ false };
    std::vector<std::unique_ptr<fake_server>> servers;
};

} // namespace

// Guards against a request that crashes one engine after the other, since each sends its first
// event before it crashes.
BOOST_FIXTURE_TEST_CASE(requestThatCrashesAfterItsFirstEventIsBlocked, crashing_engines)
{
    for (int attempt = 0; attempt < 4; ++attempt) {
        const received_stream stream = send("/resume/", "dead");
        BOOST_TEST(!stream.complete);
    }
    BOOST_TEST(crashes == 3U);
    BOOST_TEST(send("/resume/", "dead").head.rfind("HTTP/1.1 503", 0) == 0U);
    BOOST_TEST(soundIsServed());
}

// Guards against the same fault on a route whose streams are not resumed.
BOOST_FIXTURE_TEST_CASE(requestOfARouteThatIsNotResumedIsBlocked, crashing_engines)
{
    for (int attempt = 0; attempt < 5; ++attempt)
        send("/once/", "dead");
    BOOST_TEST(crashes == 3U);
    BOOST_TEST(soundIsServed());
}
