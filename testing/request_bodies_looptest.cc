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

    /// Sends the request from each of the callers at the same time, one after the other on a kept
    /// connection. Returns how many got the status.
    int countAnswers(const std::string &bytes, int callers, int requests, const std::string &status)
    {
        std::atomic<int> answered{ 0 };
        std::vector<std::thread> threads;
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
