#define BOOST_TEST_MODULE request_bodies_loop
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace burdockhold::testing;

namespace {

constexpr std::size_t MemoryBytes = std::size_t(110) * 1024 * 1024; // Setting memory_mb.
constexpr std::size_t BodyBytes = std::size_t(4) * 1024 * 1024;

struct fixture : router_fixture
{
    fixture()
    {
        nlohmann::json body = deploymentBody(5, { "key-1" });
        body["limits"]["max_body_bytes"] = BodyBytes;
        log.put("keyed.op", "config", body.dump());
        BOOST_REQUIRE(waitForLog(R"("event":"deployment_applied","version":5)"));
    }

    static std::string inChunks(const std::string &body)
    {
        std::string bytes = request("/pay/", "key-1", "Transfer-Encoding: chunked\r\n");
        bytes.erase(bytes.find("Content-Length: 0\r\n"), 19);
        return bytes + chunk(body) + LastChunk;
    }

    /// Sends the request the given number of times from each of the callers, which work at the same
    /// time. Each request has its own connection. Returns how many got the status.
    int countAnswers(const std::string &bytes, int callers, int requests, const std::string &status)
    {
        std::atomic<int> answered{ 0 };
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(callers));
        for (int caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&] {
                for (int number = 0; number < requests; ++number) {
                    const std::string answer = exchangeRequest(bytes);
                    answered += answer.rfind("HTTP/1.1 " + status, 0) == 0 ? 1 : 0;
                }
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        return answered;
    }
};

} // namespace

// Guards against connections to endpoints that keep the last request while they are idle.
BOOST_FIXTURE_TEST_CASE(idleConnectionsKeepNoRequest, fixture)
{
    const std::string large = request("/pay/", "key-1", "", std::string(BodyBytes, 'x'));
    constexpr int Requests = 24;
    BOOST_TEST(countAnswers(large, 1, Requests, "200") == Requests);
    BOOST_TEST(router->peakMemoryBytes() < 8 * BodyBytes, router->peakMemoryBytes());
}

// Guards against bodies within the limits that exceed the memory when many arrive at once.
BOOST_FIXTURE_TEST_CASE(largeBodiesAtOnceStayWithinTheMemory, fixture)
{
    setEngineBehaviour([](const std::string &, const recorded_request &call,
                          response_socket &socket) {
        std::this_thread::sleep_for(std::chrono::milliseconds(80));
        return call.body.size() == BodyBytes && socket.write(completeResponse(call, "body"));
    });
    const std::string body(BodyBytes, 'x');
    constexpr int Callers = 16;
    for (const std::string &bytes : { request("/pay/", "key-1", "", body), inChunks(body) }) {
        const int served = countAnswers(bytes, Callers, 2, "200");
        const int refused = 2 * Callers - served;
        BOOST_TEST(served > Callers);
        BOOST_TEST_MESSAGE(refused << " refused");
        BOOST_TEST_MESSAGE(router->peakMemoryBytes() << " bytes");
        BOOST_TEST(router->peakMemoryBytes() < MemoryBytes, router->peakMemoryBytes());
    }
    BOOST_TEST(!router->hasExited());
}

// Guards against memory that stays reserved after its body was refused, cut off or abandoned.
BOOST_FIXTURE_TEST_CASE(memoryOfBodiesIsGivenBack, fixture)
{
    const std::string large = request("/pay/", "key-1", "", std::string(BodyBytes, 'x'));
    for (int round = 0; round < 20; ++round) {
        test_caller leaves(router->callerAddress());
        leaves.send(large.substr(0, 20000));
        test_caller unread(router->callerAddress());
        unread.send(inChunks("x").substr(0, 300) + "zz\r\n");
        unread.readUntil("\r\n\r\n", WaitLimitMs);
    }
    BOOST_TEST(exchangeRequest(request("/none/", "key-1", "", std::string(BodyBytes, 'x')))
                       .rfind("HTTP/1.1 404", 0)
               == 0U);
    BOOST_TEST(countAnswers(large, 4, 2, "200") == 8);
}

// Guards against requests that wait without an answer while slow bodies hold the memory.
BOOST_FIXTURE_TEST_CASE(requestsWithoutRoomAreRefused, fixture)
{
    const std::string large = request("/pay/", "key-1", "", std::string(BodyBytes, 'x'));
    std::vector<std::unique_ptr<test_caller>> slow;
    for (int caller = 0; caller < 8; ++caller) {
        slow.push_back(std::make_unique<test_caller>(router->callerAddress()));
        slow.back()->send(large.substr(0, 20000));
    }
    test_caller caller(router->callerAddress());
    caller.send(large.substr(0, 20000));
    const std::string answer = caller.readUntil("\r\n\r\n", WaitLimitMs);
    BOOST_TEST(answer.rfind("HTTP/1.1 503", 0) == 0U, answer);
    BOOST_TEST(answer.find("Retry-After") != std::string::npos);
    BOOST_TEST(waitForLog(R"("event":"message_refused","id":"id1","status":503)"));
    // One without a body needs no room.
    BOOST_TEST(exchangeRequest(request("/safe/")).rfind("HTTP/1.1 200", 0) == 0U);
}
