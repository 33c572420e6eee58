#define BOOST_TEST_MODULE repeated_refusals
#include "testing/support_pausing_engines.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

// The running router against engines that refuse an attempt with a pause and, called with it again,
// write that refusal once more while they run the attempt.

using namespace burdockhold::testing;

namespace {

using ms = std::chrono::milliseconds;

const std::string bodyOfRefusal = "no";

/// Header of a refusal with a body of two bytes.
std::string refusalHead(const std::string &status, const std::string &id)
{
    return "HTTP/1.1 " + status + "\r\nX-Burdockhold-Not-Executed: 1\r\nRetry-After: 0.1\r\n"
           + (id.empty() ? "" : "X-Burdockhold-Attempt-Id: " + id + "\r\n")
           + "Content-Length: 2\r\n\r\n";
}

std::string attemptOf(const recorded_request &request)
{
    return request.field("X-Burdockhold-Attempt-Id");
}

std::string refusalOf(const recorded_request &request)
{
    return refusalHead("503 X", attemptOf(request)) + bodyOfRefusal;
}

/// Writes a refusal of a call that the engine runs. Returning false closes the connection.
using refusal_of_run = std::function<bool(const recorded_request &, response_socket &)>;

/// Engines that refuse the first call of an attempt to each of them and run the others.
struct repeating_engines : pausing_fixture
{
    explicit repeating_engines(std::size_t count, const refusal_of_run &writeRefusal)
        : pausing_fixture(count)
    {
        setEngineBehaviour([this, writeRefusal](const std::string &name,
                                                const recorded_request &request,
                                                response_socket &socket) {
            if (countCall(name, attemptOf(request)) == 1)
                return socket.write(refusalOf(request));
            countRun(attemptOf(request));
            return writeRefusal(request, socket);
        });
    }

    int countCall(const std::string &engine, const std::string &attempt)
    {
        const std::lock_guard lock(countsMutex);
        return ++calls[engine + " " + attempt];
    }

    void countRun(const std::string &attempt)
    {
        const std::lock_guard lock(countsMutex);
        ++runs[attempt];
    }

    /// Returns how often engines have run the last attempt that was sent.
    int runsOfLastAttempt()
    {
        const std::lock_guard lock(countsMutex);
        return runs["a" + std::to_string(nextAttempt)];
    }

    std::mutex countsMutex;
    std::map<std::string, int> calls;
    std::map<std::string, int> runs;
};

/// One engine whose address stands in the entries of two ids, as after an engine's end.
/// Construction waits until the router has called both.
struct two_ids_of_one_engine : pausing_fixture
{
    two_ids_of_one_engine()
        : pausing_fixture(1)
    {
        std::set<std::string> called;
        std::mutex calledMutex;
        setEngineBehaviour(
                [&](const std::string &, const recorded_request &request, response_socket &socket) {
                    std::this_thread::sleep_for(ms(60)); // So that the other one is preferred.
                    const std::lock_guard lock(calledMutex);
                    called.insert(request.field("X-Burdockhold-Target-Instance"));
                    return socket.write(completeResponse(request, "ok"));
                });
        log.put("keyed.servers", "other",
                router_fixture::endpointRecord(servers[0]->address(), "ready"));
        const auto deadline = test_clock::now() + ms(WaitLimitMs);
        while (called.size() < 2 && test_clock::now() < deadline)
            call("/pay/"); // The engine has answered when this returns.
        setEngineBehaviour(nullptr);
        BOOST_REQUIRE(called.size() == 2U);
    }
};

/// Repeats the refusal and writes the answer in the same bytes.
bool writeWithAnswer(const recorded_request &request, response_socket &socket)
{
    return socket.write(refusalOf(request) + completeResponse(request, event(1)));
}

/// Repeats the refusal, its head first and its end later.
bool writeInPieces(const recorded_request &request, response_socket &socket)
{
    socket.write(refusalHead("503 X", attemptOf(request)));
    std::this_thread::sleep_for(ms(30));
    return socket.write(bodyOfRefusal + completeResponse(request, event(1)));
}

bool writeWithoutId(const recorded_request &request, response_socket &socket)
{
    return socket.write(refusalHead("503 X", {}) + bodyOfRefusal
                        + completeResponse(request, event(1)));
}

bool writeAsWrongEndpoint(const recorded_request &request, response_socket &socket)
{
    return socket.write(refusalHead("421 X", attemptOf(request)) + bodyOfRefusal
                        + completeResponse(request, event(1)));
}

bool writeIncomplete(const recorded_request &request, response_socket &socket)
{
    socket.write(refusalHead("503 X", attemptOf(request)));
    return false;
}

bool writeIncompleteAndReset(const recorded_request &request, response_socket &socket)
{
    socket.write(refusalHead("503 X", attemptOf(request)));
    std::this_thread::sleep_for(ms(30));
    socket.reset();
    return false;
}

const std::vector<std::pair<std::string, refusal_of_run>> completeRefusals{
    { "with the answer", writeWithAnswer },
    { "in pieces", writeInPieces },
    { "without an id", writeWithoutId },
    { "as wrong endpoint", writeAsWrongEndpoint },
};
const std::vector<std::pair<std::string, refusal_of_run>> incompleteRefusals{
    { "incomplete", writeIncomplete },
    { "incomplete and reset", writeIncompleteAndReset },
};

ms retryAfterOf(const std::string &response)
{
    const std::string name = "Retry-After: ";
    const std::size_t at = response.find(name);
    BOOST_REQUIRE(at != std::string::npos);
    return ms(static_cast<long>(1000.0 * std::atof(response.c_str() + at + name.size())));
}

bool saysNotRun(const std::string &response)
{
    return response.rfind("HTTP/1.1 503", 0) == 0 || response.rfind("HTTP/1.1 429", 0) == 0;
}

} // namespace

// Guards against "not run" for a request that an engine ran while it repeated its refusal.
BOOST_AUTO_TEST_CASE(repeatedRefusalIsNoProofThatNothingRan)
{
    for (const auto &[name, writeRefusal] : completeRefusals) {
        repeating_engines fixture(1, writeRefusal);
        for (const char *path : { "/pay/", "/once/", "/patient/", "/patient-resume/" }) {
            const std::string response = fixture.call(path);
            const int runs = fixture.runsOfLastAttempt();
            BOOST_TEST((runs == 0 || !saysNotRun(response)),
                       name << ", " << path << ": " << runs << " runs, " << response.substr(0, 12));
        }
    }
}

// Guards against a second run of a request that may run once, after a repeated refusal.
BOOST_AUTO_TEST_CASE(requestRunsOnceThoughEnginesRepeatTheirRefusals)
{
    for (const auto &[name, writeRefusal] : completeRefusals) {
        repeating_engines fixture(2, writeRefusal);
        for (const char *path : { "/pay/", "/once/" }) {
            const std::string response = fixture.call(path);
            const int runs = fixture.runsOfLastAttempt();
            BOOST_TEST(runs <= 1,
                       name << ", " << path << ": " << runs << " runs, " << response.substr(0, 12));
        }
    }
}

// Guards against "not run" after an engine refused an attempt as the wrong endpoint and, called
// under its own id, wrote that refusal once more.
BOOST_AUTO_TEST_CASE(refusalRepeatedUnderTheIdOfAnotherEndpointIsNoProofThatNothingRan)
{
    for (const char *path : { "/pay/", "/once/", "/safe/", "/resume/" }) {
        two_ids_of_one_engine fixture;
        std::atomic<int> calls{ 0 };
        fixture.setEngineBehaviour(
                [&](const std::string &, const recorded_request &request, response_socket &socket) {
                    if (++calls > 1)
                        return writeAsWrongEndpoint(request, socket);
                    return socket.write(refusalHead("421 X", attemptOf(request)) + bodyOfRefusal);
                });
        const std::string response = fixture.call(path);
        BOOST_TEST((calls <= 1 || !saysNotRun(response)),
                   path << ": " << calls << " calls, " << response.substr(0, 12));
    }
}

// Guards against an attempt that may run once and is sent twice to an engine that asked for a
// pause: the engine's second refusal would prove nothing.
BOOST_AUTO_TEST_CASE(attemptThatMayRunOnceIsSentOnceToEachEngine)
{
    for (const char *path : { "/pay/", "/once/" }) {
        pausing_fixture fixture(2);
        fixture.setAnswer(0, refusal("0.1"));
        fixture.setAnswer(1, refusal("0.1"));
        BOOST_TEST(fixture.call(path).rfind("HTTP/1.1 503", 0) == 0U, path);
        for (const std::size_t engine : { 0, 1 })
            BOOST_TEST(fixture.arrivalsAt(engine).size() == 1U,
                       path << ": " << fixture.arrivalsAt(engine).size() << " arrivals");
    }
}

// Guards against an attempt that waits for pauses though it may be sent to no engine after them,
// and against a Retry-After before the first of them ends.
BOOST_AUTO_TEST_CASE(attemptThatAllEnginesTurnedAwayIsRefusedAtOnce)
{
    for (const char *path : { "/pay/", "/once/" }) {
        pausing_fixture fixture(2);
        fixture.setAnswer(0, refusal("2"));
        fixture.setAnswer(1, refusal("3"));
        const std::string response = fixture.call(path);
        const auto receivedAt = test_clock::now();
        BOOST_TEST(response.rfind("HTTP/1.1 503", 0) == 0U, path);
        BOOST_REQUIRE(fixture.arrivalsAt(0).size() == 1U);
        const auto answeredAt = fixture.arrivalsAt(0).front().answeredAt;
        BOOST_TEST((receivedAt < answeredAt + ms(1000)), path);
        const ms allowance{ 10 }; // The engine's clock is read after its answer was sent.
        BOOST_TEST((receivedAt + retryAfterOf(response) + allowance >= answeredAt + ms(2000)));
        BOOST_TEST(fixture.waitForLog("\"reason\":\"all_paused\""));
    }
}

// Guards against an attempt that may run once and is refused though another engine can take it.
BOOST_AUTO_TEST_CASE(attemptThatOneEngineTurnedAwayIsServedByTheOther)
{
    pausing_fixture fixture(2);
    fixture.setAnswer(0, refusal("2"));
    for (const char *path : { "/pay/", "/safe/" })
        BOOST_TEST(fixture.call(path).rfind("HTTP/1.1 200", 0) == 0U, path);
}

// Guards against a safe request that is not tried again because its engine refused it twice.
BOOST_AUTO_TEST_CASE(safeRequestIsServedAfterARepeatedRefusal)
{
    pausing_fixture fixture(1);
    std::atomic<int> calls{ 0 };
    fixture.setEngineBehaviour([&calls](const std::string &, const recorded_request &request,
                                        response_socket &socket) {
        return ++calls <= 2 ? socket.write(refusalOf(request))
                            : socket.write(completeResponse(request, "ok"));
    });
    BOOST_TEST(fixture.call("/patient/").rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_TEST(calls == 3);
}

// Guards against "not run", and against a second run, after a refusal whose end never arrived or
// that cannot be matched to its request.
BOOST_AUTO_TEST_CASE(refusalThatIsIncompleteIsNoProofThatNothingRan)
{
    for (const auto &[name, writeRefusal] : incompleteRefusals) {
        pausing_fixture fixture(2);
        std::atomic<int> calls{ 0 };
        fixture.setEngineBehaviour([&calls, write = writeRefusal](const std::string &,
                                                                  const recorded_request &request,
                                                                  response_socket &socket) {
            ++calls;
            return write(request, socket);
        });
        for (const char *path : { "/pay/", "/once/", "/safe/", "/resume/" }) {
            calls = 0;
            const std::string response = fixture.call(path);
            BOOST_TEST(response.rfind("HTTP/1.1 502", 0) == 0U,
                       name << ", " << path << ": " << response.substr(0, 12));
            const bool mayRepeat = std::string(path) == "/safe/" || std::string(path) == "/resume/";
            BOOST_TEST((mayRepeat || calls == 1), name << ", " << path << ": " << calls);
        }
    }
}

// Guards against a refusal of an earlier request, without an id, that is taken for the answer to
// the next request on a kept connection.
BOOST_AUTO_TEST_CASE(refusalWithoutIdOnAKeptConnectionIsNoProofThatNothingRan)
{
    pausing_fixture fixture(1);
    BOOST_REQUIRE(fixture.call("/safe/").rfind("HTTP/1.1 200", 0) == 0U);
    std::atomic<int> calls{ 0 };
    fixture.setEngineBehaviour([&calls](const std::string &, const recorded_request &request,
                                        response_socket &socket) {
        ++calls;
        return writeWithoutId(request, socket);
    });
    BOOST_TEST(fixture.call("/safe/").rfind("HTTP/1.1 502", 0) == 0U);
    BOOST_TEST(calls == 1);
}
