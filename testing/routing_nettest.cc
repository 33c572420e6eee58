#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>

#include "testing/support_site.h"

#include <csignal>

// Placement, health and the retry budget in a real daemon. What was decided is read from the
// daemon's access log.

using namespace burdockhold::testing;

namespace {

/// Waits for the access line of a request, which is written after the caller's last byte.
nlohmann::json decisionOf(site &place, const std::string &requestId)
{
    nlohmann::json found;
    BOOST_REQUIRE(eventually([&] {
        for (const auto &line : accessLines(place.logFile())) {
            if (line.at("data").at("request_id") == requestId)
                found = line.at("data");
        }
        return !found.is_null();
    }));
    return found;
}

/// Runs a whole stream, compares it with the reference and returns its decision.
nlohmann::json runStream(site &place, const std::string &prompt)
{
    open_stream stream = place.open(prompt, 4);
    place.checkWhole(stream);
    return decisionOf(place, stream.requestId);
}

/// Returns whether the first attempt could have gone to the endpoint. Later attempts exclude those
/// that failed, so decisions with a retry do not tell.
bool mayGetWork(const nlohmann::json &decision, const std::string &endpoint)
{
    if (decision.at("attempts") != 1)
        return true;
    for (const auto &candidate : decision.at("candidates")) {
        if (candidate.at("endpoint") == endpoint)
            return true;
    }
    return false;
}

} // namespace

// Guards against requests to an engine with other weights: once it has reported its version, it is
// not even a candidate.
BOOST_AUTO_TEST_CASE(otherWeightsGetNoRequests)
{
    site place(engine_arguments{ { "--version", "v0" }, {}, {} });
    int count = 0;
    BOOST_REQUIRE(eventually([&] {
        const std::string prompt = "wait " + std::to_string(++count);
        return !mayGetWork(runStream(place, prompt), "engine-1");
    }));
    const std::size_t before = received(place.engines()[0]).size();
    for (int i = 0; i < 20; ++i)
        runStream(place, "prompt " + std::to_string(i));
    BOOST_TEST(received(place.engines()[0]).size() == before);
}

// Guards against a placement that forgets its own requests: what they left on the engine is
// expected in full once the engine has named its incarnation.
BOOST_AUTO_TEST_CASE(expectsWhatItsOwnRequestsLeft)
{
    site place(1);
    const std::string prompt(25000, 'x');
    BOOST_TEST(runStream(place, prompt).at("cached_tokens") == 0);
    int count = 0;
    BOOST_TEST(eventually([&] {
        const nlohmann::json next = runStream(place, prompt + std::to_string(++count));
        BOOST_TEST(next.at("cached_tokens") == 6000);
        return next.at("expected_cached_tokens") == 6000;
    }));
}

// Guards against a silent engine that costs every request a retry, and against one that never gets
// work again after it continued.
BOOST_AUTO_TEST_CASE(silentEngineIsEjectedAndComesBack)
{
    site place(2);
    runStream(place, "first");
    place.engines()[0].process.signal(SIGSTOP);
    int count = 0;
    BOOST_TEST(eventually([&] {
        return !mayGetWork(runStream(place, "stopped " + std::to_string(++count)), "engine-1");
    }));
    place.engines()[0].process.signal(SIGCONT);
    const std::size_t before = received(place.engines()[0]).size();
    BOOST_TEST(eventually([&] {
        runStream(place, "continued " + std::to_string(++count));
        return received(place.engines()[0]).size() > before;
    }));
}

// Guards against retries that multiply the load on a pool that fails as a whole: with no answer
// from any engine, at most three retries are made, and then requests fail with their reason.
BOOST_AUTO_TEST_CASE(retriesStayWithinTheBudget)
{
    site place(engine_arguments{ {}, {} }, "");
    for (const standin_process &engine : place.engines())
        setFaults(engine, { { "empty_answers", 1000 } });
    constexpr std::size_t Requests = 10;
    std::size_t overBudget = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < Requests; ++i) {
        const http_response reply = httpCall(place.daemon().url, "POST", "/v1/completions",
                                             streamingRequestBody("p" + std::to_string(i), 4),
                                             place.withKey(), WaitLimit);
        BOOST_TEST(reply.status == 502);
        const nlohmann::json decision = decisionOf(place, reply.header("X-Request-Id"));
        const bool refused = reply.json().at("error").at("code") == "retry_budget";
        BOOST_TEST((decision.at("reason") == "retry_budget") == refused);
        overBudget += refused ? 1 : 0;
    }
    // The minimum of three is given anew for every 10 s that the calls took.
    const auto windows = static_cast<std::size_t>(
            1 + (std::chrono::steady_clock::now() - start) / std::chrono::seconds(10));
    const std::size_t attempts = received(place.engines()[0]).size()
                                 + received(place.engines()[1]).size();
    BOOST_TEST(attempts <= Requests + 3 * windows);
    BOOST_TEST(overBudget >= 1u);
}
