#define BOOST_TEST_MODULE engine_notices
#include "testing/support_fleet.h"
#include "testing/support_http.h"
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

// The running router against the engine program, which says by its options or faults that it leaves
// or wants a pause.

using namespace burdockhold::testing;
using nlohmann::json;

namespace {

using ms = std::chrono::milliseconds;

struct program_fixture
{
    /// The options are those of the only engine.
    explicit program_fixture(const std::vector<std::string> &options = {})
        : engine(startStandin(BURDOCKHOLD_BINARY_DIR, "engine", options))
    {
        const auto route = [](const char *prefix, const char *kind) {
            return json{ { "name", prefix },        { "host", "h" },
                         { "path_prefix", prefix }, { "kind", kind },
                         { "timeout_ms", 10000 },   { "target_latency_ms", 400 },
                         { "priority", 1 },         { "service", "desk" },
                         { "max_attempts", 3 },     { "anonymous", true },
                         { "resumable", false } };
        };
        log.put("keyed.op", "config",
                json{ { "version", 1 },
                      { "routes",
                        { route("/v1/completions", "safe"),
                          route("/v1/chat/completions", "stream") } },
                      { "services", { { { "name", "desk" } } } },
                      { "limits",
                        { { "max_header_bytes", 16384 },
                          { "max_body_bytes", 100000 },
                          { "header_timeout_ms", 3000 },
                          { "idle_timeout_ms", 15000 } } },
                      { "tenants", json::array() } }
                        .dump());
        const std::string address = engine.url.substr(std::string("http://").size());
        log.put("keyed.servers", "e0", router_fixture::endpointRecord(address, "ready"));
        router = std::make_unique<router_process>(log.address());
        BOOST_REQUIRE(router->waitReady(true));
    }

    void setFaults(const json &faults) const
    {
        BOOST_REQUIRE_EQUAL(httpCall(engine.url, "POST", "/faults", faults.dump()).status, 200);
    }

    /// Returns the number of calls that have reached the engine.
    std::size_t arrivals() const
    {
        return httpCall(engine.url, "GET", "/received").json()["requests"].size();
    }

    std::string call(bool stream)
    {
        json body{ { "model", "m" }, { "max_tokens", 1 }, { "stream", stream }, { "prompt", "p" } };
        body["messages"] = { { { "role", "user" }, { "content", "p" } } };
        const std::string text = body.dump();
        return exchangeBytes(router->callerAddress(),
                             std::string("POST /v1/") + (stream ? "chat/" : "")
                                     + "completions HTTP/1.1\r\nHost: h\r\n"
                                       "X-Burdockhold-Deadline-Ms: 9000\r\n"
                                       "X-Burdockhold-Attempt-Id: a"
                                     + std::to_string(++calls) + "\r\nContent-Length: "
                                     + std::to_string(text.size()) + "\r\n\r\n" + text,
                             10000);
    }

    /// Returns false if no further call has reached the engine after WaitLimitMs.
    bool callUntilArrival(bool stream)
    {
        const std::size_t before = arrivals();
        const auto deadline = std::chrono::steady_clock::now() + ms(WaitLimitMs);
        while (std::chrono::steady_clock::now() < deadline) {
            call(stream);
            if (arrivals() > before)
                return true;
        }
        return false;
    }

    void callFor(ms time, bool stream)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            call(stream);
            std::this_thread::sleep_for(ms(10));
        }
    }

    int calls = 0;
    fake_log_service log;
    standin_process engine;
    std::unique_ptr<router_process> router;
};

} // namespace

// Guards against requests to an engine program that has said in any kind of answer that it leaves.
BOOST_AUTO_TEST_CASE(engineProgramThatLeavesGetsNoMoreRequests)
{
    for (const json &faults :
         { json::object(), json{ { "no_length", true } }, json{ { "answer_status", 500 } },
           json{ { "answer_status", 421 } }, json{ { "answer_status", 503 } } }) {
        for (const bool stream : { false, true }) {
            program_fixture fixture({ "--leaving" });
            fixture.setFaults(faults);
            BOOST_REQUIRE(fixture.callUntilArrival(stream));
            const std::size_t before = fixture.arrivals();
            fixture.callFor(ms(600), stream);
            const std::size_t later = fixture.arrivals() - before;
            BOOST_TEST(later == 0U, faults << (stream ? " stream: " : " whole: ") << later);
        }
    }
}

// Guards against requests to an engine program during the pause that it asked for, and against one
// that gets none after it.
BOOST_AUTO_TEST_CASE(engineProgramGetsNothingDuringItsPause)
{
    program_fixture fixture({ "--answer-status", "503", "--retry-after", "1.5" });
    BOOST_REQUIRE(fixture.callUntilArrival(false));
    fixture.callFor(ms(1200), false);
    BOOST_TEST(fixture.arrivals() == 1U);
    fixture.setFaults({ { "answer_status", 0 } });
    BOOST_TEST(fixture.callUntilArrival(false));
}
