#define BOOST_TEST_MODULE endpoint_pause_loop
#include "testing/support_pausing_engines.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

// The running router against engines that announce that they leave (Server-Leaving) or that ask for
// a pause (503 with Retry-After).

using namespace burdockhold::testing;

namespace {

using form = engine_answer::form;
using ms = std::chrono::milliseconds;

constexpr ms OnItsWay{ 500 }; // Requests may still arrive for this long after a refusal.

struct one_engine : pausing_fixture
{
    one_engine()
        : pausing_fixture(1)
    {
    }
};

struct eight_engines : pausing_fixture
{
    eight_engines()
        : pausing_fixture(8)
    {
    }
};

ms secondsOf(const std::string &response)
{
    const std::string name = "Retry-After: ";
    const std::size_t at = response.find(name);
    BOOST_REQUIRE(at != std::string::npos);
    return ms(static_cast<long>(1000.0 * std::atof(response.c_str() + at + name.size())));
}

} // namespace

// Guards against requests to an engine that has said in any kind of answer that it leaves.
BOOST_AUTO_TEST_CASE(engineThatSaysItLeavesGetsNoMoreRequests)
{
    for (const form kind : { form::Whole, form::Stream, form::Error, form::WrongEndpoint,
                             form::WithoutLength, form::Refusal }) {
        pausing_fixture fixture;
        fixture.setAnswer(0, leavingAnswer(kind));
        const std::string path = kind == form::Stream ? "/resume/" : "/safe/";
        BOOST_REQUIRE(fixture.callUntilArrival(0, path));
        const std::size_t before = fixture.arrivalsAt(0).size();
        fixture.callFor(ms(1200), path);
        BOOST_TEST(fixture.arrivalsAt(0).size() == before,
                   "kind " << static_cast<int>(kind) << ": "
                           << fixture.arrivalsAt(0).size() - before << " requests arrived");
    }
}

// Guards against an entry of the log that says "ready" and so revokes the engine's own word, and
// against a new incarnation that inherits the state of the one before.
BOOST_FIXTURE_TEST_CASE(leavingHoldsUntilTheNextIncarnation, one_engine)
{
    setAnswer(0, leavingAnswer(form::Whole));
    BOOST_REQUIRE(callUntilArrival(0, "/safe/"));
    setAnswer(0, {});
    putEngine(0, 1000, "draining");
    putEngine(0, 1000);
    callFor(ms(1500), "/safe/");
    BOOST_TEST(arrivalsAt(0).size() == 1U);
    BOOST_TEST(call("/safe/").rfind("HTTP/1.1 503", 0) == 0U);
    BOOST_TEST(waitForLog("\"reason\":\"all_leaving\""));
    const auto bornAt = std::chrono::system_clock::now().time_since_epoch();
    putEngine(0, std::chrono::duration_cast<ms>(bornAt).count());
    BOOST_TEST(callUntilArrival(0, "/safe/"));
    BOOST_TEST(waitForLog("\"event\":\"endpoint_leaving\""));
    BOOST_TEST(waitForLog("\"reason\":\"new_incarnation\""));
}

// Guards against a stream that is cut off because its engine leaves, and against its resumption at
// an engine that leaves.
BOOST_FIXTURE_TEST_CASE(streamResumesAtAnEngineThatStays, pausing_fixture)
{
    setAnswer(0, leavingAnswer(form::Stream));
    BOOST_REQUIRE(callUntilArrival(0, "/resume/"));
    engine_answer broken{ form::Stream, {}, {}, true, {} };
    broken.trailer = "not a trailer"; // Malformed, so the stream breaks after its events.
    setAnswer(1, broken);
    call("/resume/");
    BOOST_TEST(arrivalsAt(0).size() == 1U);
    BOOST_TEST(arrivalsAt(1).size() >= 1U);
}

// Guards against requests to an engine during the pause that it asked for, and against an engine
// that gets none after it.
BOOST_FIXTURE_TEST_CASE(engineGetsNothingDuringItsPause, pausing_fixture)
{
    setAnswer(0, refusal("1.5"));
    BOOST_REQUIRE(callUntilArrival(0, "/safe/"));
    const auto answeredAt = arrivalsAt(0).front().answeredAt;
    callFor(ms(1600), "/safe/");
    BOOST_TEST(arrivalsBetween(0, answeredAt + OnItsWay, answeredAt + ms(1500)) <= 2U);
    setAnswer(0, {});
    // The slower of two idle engines gets no request.
    setAnswer(1, { form::Whole, {}, {}, true, ms(100) });
    BOOST_TEST(callUntilArrival(0, "/safe/"));
    BOOST_TEST(counter("engine_pauses") >= 1);
    BOOST_TEST(waitForLog("\"event\":\"endpoint_paused\""));
    BOOST_TEST(waitForLog("\"reason\":\"time_over\""));
}

// Guards against an earlier end that a second refusal states for a pause that is longer.
BOOST_FIXTURE_TEST_CASE(nestedPausesEndAtTheLaterTime, one_engine)
{
    setAnswer(0, { form::Refusal, "Retry-After: 2\r\n", {}, true, ms(100) });
    std::thread first([this] { call("/safe/"); });
    while (arrivalsAt(0).empty())
        std::this_thread::sleep_for(ms(1));
    setAnswer(0, { form::Refusal, "Retry-After: 0.1\r\n", {}, true, ms(300) });
    call("/safe/");
    first.join();
    const auto seen = arrivalsAt(0);
    BOOST_REQUIRE(seen.size() == 2U);
    setAnswer(0, {});
    BOOST_REQUIRE(callUntilArrival(0, "/safe/"));
    BOOST_TEST((arrivalsAt(0)[2].at >= seen[0].answeredAt + ms(1990)));
}

// Guards against callers that all return to an engine at the end of its pause, before one request
// has shown that it serves.
BOOST_FIXTURE_TEST_CASE(firstRequestAfterThePauseGoesAlone, one_engine)
{
    setAnswer(0, refusal("0.8"));
    BOOST_REQUIRE(callUntilArrival(0, "/safe/"));
    setAnswer(0, { form::Whole, {}, {}, true, ms(400) });
    std::vector<std::thread> callers;
    callers.reserve(12);
    std::atomic<int> served{ 0 };
    for (int caller = 0; caller < 12; ++caller)
        callers.emplace_back(
                [&] { served += call("/patient/").rfind("HTTP/1.1 200", 0) == 0 ? 1 : 0; });
    for (std::thread &caller : callers)
        caller.join();
    const auto seen = arrivalsAt(0);
    BOOST_TEST(served == 12);
    BOOST_REQUIRE(seen.size() == 13U);
    const auto firstAnswer = seen[1].answeredAt - ms(50);
    BOOST_TEST(arrivalsBetween(0, seen[1].at, firstAnswer) == 0U);
}

// Guards against a request that waits for engines which all return after its longest wait, and
// against a Retry-After before the first of them does.
BOOST_FIXTURE_TEST_CASE(requestIsRefusedAtOnceWhileAllPause, pausing_fixture)
{
    setAnswer(0, refusal("4"));
    setAnswer(1, refusal("5"));
    BOOST_REQUIRE(callUntilArrival(0, "/safe/"));
    BOOST_REQUIRE(callUntilArrival(1, "/safe/"));
    const std::string response = call("/safe/");
    const auto receivedAt = test_clock::now();
    BOOST_TEST(response.rfind("HTTP/1.1 503", 0) == 0U);
    const auto end = arrivalsAt(0).front().answeredAt + ms(4000);
    const ms allowance{ 10 }; // The engine's clock is read after its answer was sent.
    BOOST_TEST((receivedAt + secondsOf(response) + allowance >= end));
    BOOST_TEST(secondsOf(response).count() <= 6500);
    BOOST_TEST(waitForLog("\"reason\":\"all_paused\""));
}

// Guards against the refusal of a request that can wait until the pause of all engines ends.
BOOST_FIXTURE_TEST_CASE(requestWaitsForTheEndOfAShortPause, one_engine)
{
    setAnswer(0, refusal("0.5"));
    BOOST_REQUIRE(callUntilArrival(0, "/safe/"));
    setAnswer(0, {});
    BOOST_TEST(call("/patient/").rfind("HTTP/1.1 200", 0) == 0U);
}

// Guards against the refusal of a request that its only engine turned away for a short time.
BOOST_FIXTURE_TEST_CASE(requestReturnsToTheEngineThatTurnedItAway, one_engine)
{
    setAnswer(0, refusal("0.3"));
    std::string response;
    std::thread caller([&] { response = call("/patient/"); });
    while (arrivalsAt(0).empty())
        std::this_thread::sleep_for(ms(1));
    setAnswer(0, {});
    caller.join();
    BOOST_TEST(response.rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_TEST(arrivalsAt(0).size() == 2U);
}

// Guards against malformed fields that pause an engine.
BOOST_AUTO_TEST_CASE(malformedPausesAreIgnoredAndCounted)
{
    for (const char *value : { "Fri, 04 Dec 2026 22:00:00 GMT", "-5", "", "soon", "1e3", "inf",
                               "nan", "5 s", "0x10" }) {
        one_engine fixture;
        fixture.setAnswer(0, refusal(value));
        BOOST_REQUIRE(fixture.callUntilArrival(0, "/safe/"));
        fixture.setAnswer(0, {});
        BOOST_TEST(fixture.call("/patient/").rfind("HTTP/1.1 200", 0) == 0U, value);
        BOOST_TEST(fixture.counter("engine_notices_ignored") >= 1, value);
        BOOST_TEST(fixture.counter("engine_pauses") == 0, value);
    }
}

// Guards against a pause by an answer other than 503, and against a leaving that an answer states
// in another form, contradicts, or that is not the engine's answer to this call.
BOOST_AUTO_TEST_CASE(noticesThatDoNotCountAreIgnoredAndCounted)
{
    std::vector<engine_answer> answers{
        { form::Error, "Retry-After: 30\r\n", {}, true, {} },
        { form::Whole, "Retry-After: 30\r\n", {}, true, {} },
        { form::Whole, "Server-Leaving: 0\r\n", {}, true, {} },
        { form::Whole, "Server-Leaving: true\r\n", {}, true, {} },
        { form::Whole, "Server-Leaving:\r\n", {}, true, {} },
        { form::Whole, "Server-Leaving: 1\r\nServer-Leaving: 0\r\n", {}, true, {} },
        { form::Whole, "Server-Leaving: 1\r\n", {}, false, {} },
        { form::Stream, {}, "Server-Leaving: 1\r\n", true, {} },
        { form::Stream, {}, "Retry-After: 30\r\n", true, {} },
    };
    for (const engine_answer &answer : answers) {
        one_engine fixture;
        fixture.setAnswer(0, answer);
        const std::string path = answer.kind == form::Stream ? "/resume/" : "/safe/";
        BOOST_REQUIRE(fixture.callUntilArrival(0, path));
        fixture.setAnswer(0, {});
        BOOST_TEST(fixture.call("/patient/").rfind("HTTP/1.1 200", 0) == 0U,
                   answer.fields + answer.trailer);
        BOOST_TEST(fixture.counter("engine_notices_ignored") >= 1, answer.fields + answer.trailer);
    }
}

// Guards against a field that is stated twice and then counts for nothing.
BOOST_AUTO_TEST_CASE(repeatedFieldsCountOnce)
{
    one_engine leaving;
    leaving.setAnswer(0,
                      { form::Whole, "Server-Leaving: 1\r\nServer-Leaving: 1\r\n", {}, true, {} });
    BOOST_REQUIRE(leaving.callUntilArrival(0, "/safe/"));
    leaving.callFor(ms(300), "/safe/");
    BOOST_TEST(leaving.arrivalsAt(0).size() == 1U);

    one_engine pausing;
    pausing.setAnswer(0, { form::Refusal, "Retry-After: 0.1\r\nRetry-After: 2\r\n", {}, true, {} });
    BOOST_REQUIRE(pausing.callUntilArrival(0, "/safe/"));
    const auto answeredAt = pausing.arrivalsAt(0).front().answeredAt;
    pausing.callFor(ms(1900), "/safe/");
    BOOST_TEST(pausing.arrivalsBetween(0, answeredAt + OnItsWay, answeredAt + ms(2000)) <= 2U);
    BOOST_TEST(pausing.counter("engine_notices_ignored") >= 1);
}

// Guards against requests that follow seven of eight engines into their pauses, under more load
// than the eighth can take.
BOOST_FIXTURE_TEST_CASE(sevenOfEightEnginesPauseTogether, eight_engines)
{
    constexpr int Callers = 48; // As many as the engines have slots.
    constexpr ms WorkTime{ 40 };
    constexpr ms Phase{ 1000 };
    constexpr ms Pause{ 2000 };
    for (std::size_t index = 0; index < 8; ++index)
        setAnswer(index, { form::Whole, {}, {}, true, WorkTime });
    struct phase_counts
    {
        std::atomic<int> sent{ 0 };
        std::atomic<int> served{ 0 };
        double share() const { return static_cast<double>(served) / std::max(1, sent.load()); }
    };
    std::atomic<bool> stop{ false };
    std::atomic<std::size_t> phase{ 0 };
    std::array<phase_counts, 3> counts; // Before, during and after the pauses, by time of sending.
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    for (int caller = 0; caller < Callers; ++caller)
        callers.emplace_back([&] {
            while (!stop) {
                phase_counts &current = counts[phase];
                ++current.sent;
                const std::string response = call("/safe/");
                if (response.rfind("HTTP/1.1 200", 0) == 0)
                    ++current.served;
                else
                    std::this_thread::sleep_for(ms(100));
            }
        });
    std::this_thread::sleep_for(Phase);
    const auto pauseStart = test_clock::now();
    const auto pauseEnd = pauseStart + Pause;
    phase = 1;
    for (std::size_t index = 1; index < 8; ++index)
        setAnswer(index, refusal("2"));
    std::this_thread::sleep_until(pauseEnd);
    phase = 2;
    for (std::size_t index = 1; index < 8; ++index)
        setAnswer(index, { form::Whole, {}, {}, true, WorkTime });
    std::this_thread::sleep_for(Phase + ms(1000));
    stop = true;
    for (std::thread &caller : callers)
        caller.join();

    std::size_t duringPauses = 0;
    for (std::size_t index = 1; index < 8; ++index) {
        const auto seen = arrivalsAt(index);
        const auto refused = std::find_if(seen.begin(), seen.end(),
                                          [&](const auto &a) { return a.refused; });
        BOOST_REQUIRE((refused != seen.end()));
        const auto from = refused->answeredAt + OnItsWay;
        const std::size_t count = arrivalsBetween(index, from, refused->answeredAt + Pause);
        duringPauses += count;
        BOOST_TEST(count <= 2U, "engine " << index << ": " << count);
        BOOST_TEST(arrivalsBetween(index, {}, pauseStart) > 0U, "engine " << index);
        BOOST_TEST(arrivalsBetween(index, pauseEnd, test_clock::now()) > 0U, "engine " << index);
    }
    const auto atOthers = arrivalsBetween(0, pauseStart, pauseEnd);
    std::cout << "served of sent: before " << counts[0].served << " of " << counts[0].sent
              << ", during " << counts[1].served << " of " << counts[1].sent << ", after "
              << counts[2].served << " of " << counts[2].sent
              << "; arrivals during the pauses: " << duringPauses << " at the seven engines, "
              << atOthers << " at the eighth\n";
    BOOST_TEST(counts[0].share() >= 0.95);
    BOOST_TEST(counts[1].share() >= 0.5);
    BOOST_TEST(counts[2].share() >= 0.95);
    BOOST_TEST(duringPauses <= 7U);
    BOOST_TEST(atOthers > 0U);
}

// Guards against choices and refusals whose log lines do not say how many engines were left out.
BOOST_FIXTURE_TEST_CASE(logStatesHowManyEnginesWereLeftOut, pausing_fixture)
{
    setAnswer(0, leavingAnswer(form::Whole));
    BOOST_REQUIRE(callUntilArrival(0, "/safe/"));
    BOOST_REQUIRE(callUntilArrival(1, "/safe/"));
    BOOST_TEST(waitForLog("\"endpoint\":\"e1\",\"endpoints\":2,\"leaving\":1,\"paused\":0"));
    setAnswer(1, refusal("5"));
    BOOST_REQUIRE(callUntilArrival(1, "/safe/"));
    BOOST_TEST(call("/safe/").rfind("HTTP/1.1 503", 0) == 0U);
    BOOST_TEST(waitForLog("\"event\":\"pool_full\""));
    BOOST_TEST(waitForLog("\"endpoints\":2,\"leaving\":1,\"paused\":1,\"listed\""));
}

// Guards against an engine that an answer without a stamp takes out for its whole incarnation.
BOOST_AUTO_TEST_CASE(unsignedErrorsTakeNoEngineOut)
{
    for (const form kind : { form::Error, form::Refusal, form::WrongEndpoint }) {
        one_engine fixture;
        fixture.setAnswer(0, { kind, "Server-Leaving: 1\r\n", {}, false, {} });
        BOOST_REQUIRE(fixture.callUntilArrival(0, "/safe/"));
        fixture.setAnswer(0, {});
        BOOST_TEST(fixture.call("/patient/").rfind("HTTP/1.1 200", 0) == 0U,
                   "kind " << static_cast<int>(kind));
        BOOST_TEST(fixture.counter("engine_leavings") == 0);
        const bool isRefusal = kind != form::Error;
        BOOST_TEST(fixture.counter("engine_pauses") == (isRefusal ? 1 : 0));
        BOOST_TEST(fixture.counter("engine_notices_ignored") == (isRefusal ? 0 : 1));
    }
}

// Guards against a pause that counts for nothing, as refusals bear no stamp by the protocol.
BOOST_FIXTURE_TEST_CASE(unsignedRefusalPausesItsEngine, one_engine)
{
    setAnswer(0, { form::Refusal, "Retry-After: 1.5\r\n", {}, false, {} });
    BOOST_REQUIRE(callUntilArrival(0, "/safe/"));
    callFor(ms(1200), "/safe/");
    BOOST_TEST(arrivalsAt(0).size() == 1U);
}
