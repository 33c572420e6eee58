#define BOOST_TEST_MODULE stops_loop
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>

using namespace burdockhold::testing;

namespace {

constexpr int GraceMs = 8000; // Setting shutdown_grace_s.

/// Engines with one slot, and a route whose requests wait for longer than the grace period.
struct fixture : router_fixture
{
    fixture()
    {
        nlohmann::json body = deploymentBody(5, { "key-1" });
        for (nlohmann::json &route : body["routes"]) {
            route["timeout_ms"] = 30000;
            route["target_latency_ms"] = 25000;
        }
        body["services"][0]["engine"] = { { "slots", 1 }, { "kv_capacity_tokens", 100 } };
        log.put("keyed.op", "config", body.dump());
        BOOST_REQUIRE(waitForLog(R"("event":"deployment_applied","version":5)"));
        setEngineBehaviour([this](const std::string &, const recorded_request &call,
                                  response_socket &socket) {
            if (call.target == "/once/")
                socket.write(responseHead(call, "Transfer-Encoding: chunked") + chunk(event(1)));
            socket.peerClosed(GraceMs + WaitLimitMs);
            return false;
        });
    }

    static std::string longRequest(const std::string &path, const std::string &fields = {})
    {
        std::string bytes = request(path, "key-1", fields);
        return bytes.replace(bytes.find("Deadline-Ms: 3000"), 17, "Deadline-Ms: 30000");
    }
};

} // namespace

// Guards against requests that get no answer at the end of a planned stop: some that engines work
// at, and one that waits for an engine with its model.
BOOST_FIXTURE_TEST_CASE(requestsAreAnsweredAtTheEndOfAStop, fixture)
{
    const std::string modelFields = "X-Burdockhold-Model: m\r\nX-Burdockhold-Token-Count: 80,10\r\n"
                                    "X-Burdockhold-Prompt-Prefix: aa:80\r\n";
    const auto started = [this](const std::string &bytes) {
        auto caller = std::make_unique<test_caller>(router->callerAddress());
        caller->send(bytes);
        return caller;
    };
    const auto payment = started(longRequest("/pay/"));
    const auto repeatable = started(longRequest("/safe/"));
    const auto waiting = started(longRequest("/pay/", modelFields));
    const auto stream = started(longRequest("/once/"));
    stream->readUntil(event(1), WaitLimitMs);
    router->terminate();
    const auto answerOf = [](test_caller &caller) {
        return caller.readUntil("\r\n\r\n", GraceMs + WaitLimitMs);
    };
    BOOST_TEST(answerOf(*payment).rfind("HTTP/1.1 502", 0) == 0U);
    BOOST_TEST(answerOf(*repeatable).rfind("HTTP/1.1 502", 0) == 0U);
    const std::string refusal = answerOf(*waiting);
    BOOST_TEST(refusal.rfind("HTTP/1.1 503", 0) == 0U, refusal);
    BOOST_TEST(refusal.find("Retry-After") != std::string::npos);
    BOOST_TEST(!decodeStream(stream->readUntil("never sent", GraceMs + WaitLimitMs)).complete);
    BOOST_TEST(stream->closedByPeer());
    BOOST_TEST(callCount() == 3U);
}
