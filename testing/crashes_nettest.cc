#define BOOST_TEST_MODULE crashes
#include <boost/test/unit_test.hpp>

#include "testing/support_site.h"

// Requests that crash the engines that run them, through a real daemon.

using namespace burdockhold::testing;

namespace {

constexpr const char *Marker = "CRASH";

/// Runs streams until every engine has answered one, so that connections to all of them are open.
void useAllEngines(site &place)
{
    int count = 0;
    BOOST_REQUIRE(eventually([&] {
        open_stream stream = place.open("warm " + std::to_string(++count), 2);
        place.checkWhole(stream);
        return std::all_of(
                place.engines().begin(), place.engines().end(),
                [](const standin_process &engine) { return outcomes(engine, "answered") > 0; });
    }));
}

std::size_t deadEngines(site &place)
{
    std::size_t dead = 0;
    for (standin_process &engine : place.engines())
        dead += engine.process.wait(std::chrono::milliseconds(0)) ? 1 : 0;
    return dead;
}

/// The connections of a process close before the process can be waited for.
void checkDeadEngines(site &place, std::size_t count)
{
    BOOST_TEST(eventually([&] { return deadEngines(place) >= count; }));
    BOOST_TEST(deadEngines(place) == count);
}

http_response sendMarked(site &place)
{
    return httpCall(place.daemon().url, "POST", "/v1/completions",
                    streamingRequestBody(std::string("prompt with ") + Marker, 4), place.withKey(),
                    WaitLimit);
}

} // namespace

// Guards against a request that crashes one engine after the other, within one call and when it is
// sent again: after the second crash it is refused, and the account's other requests work.
BOOST_AUTO_TEST_CASE(requestIsRefusedAfterTwoCrashes)
{
    site place(4);
    useAllEngines(place);
    for (const standin_process &engine : place.engines())
        setFaults(engine, { { "exit_marker", Marker } });

    const http_response first = sendMarked(place);
    BOOST_TEST(first.status == 422);
    BOOST_TEST(first.json().at("error").at("code") == "crash_suspect");
    BOOST_TEST(first.header("X-Burdockhold-Run") == "unknown");
    checkDeadEngines(place, 2);

    for (int i = 0; i < 5; ++i) {
        const http_response again = sendMarked(place);
        BOOST_TEST(again.status == 422);
        BOOST_TEST(again.header("X-Burdockhold-Run") == "not-run");
    }
    for (int i = 0; i < 10; ++i) {
        open_stream stream = place.open("harmless " + std::to_string(i), 4);
        place.checkWhole(stream);
    }
    BOOST_TEST(deadEngines(place) == 2u);
}

// Guards against a request that crashes one engine after the other, since each sends its first
// token before it crashes.
BOOST_AUTO_TEST_CASE(requestThatCrashesAfterItsFirstTokenIsRefused)
{
    site place(4);
    useAllEngines(place);
    for (const standin_process &engine : place.engines())
        setFaults(engine, { { "exit_marker", Marker }, { "exit_after_tokens", 1 } });
    for (int i = 0; i < 5; ++i)
        sendMarked(place);
    BOOST_TEST(sendMarked(place).status == 422);
    checkDeadEngines(place, 2);
}

// Guards against refusing a request because connections broke: an engine that drops them and lives
// on has not crashed.
BOOST_AUTO_TEST_CASE(brokenConnectionsAreNoCrashes)
{
    site place(2);
    useAllEngines(place);
    for (const standin_process &engine : place.engines())
        setFaults(engine, { { "die_after_tokens", 0 } });
    const std::string body = streamingRequestBody("dropped", 4);
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(httpCall(place.daemon().url, "POST", "/v1/completions", body, place.withKey(),
                            WaitLimit)
                           .status
                   == 502);
    for (const standin_process &engine : place.engines())
        setFaults(engine, { { "die_after_tokens", -1 } });
    open_stream stream = place.open("dropped", 4);
    place.checkWhole(stream);
}
