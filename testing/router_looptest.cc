#define BOOST_TEST_MODULE router_loop
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>

using namespace burdockhold::testing;

namespace {

using fixture = router_fixture;

} // namespace

BOOST_FIXTURE_TEST_CASE(requestReachesAnEngineUnchanged, fixture)
{
    const std::string answer = ask(request("/safe/a%20b?c=d", "key-1", "X-Own: 1\r\n", "hello"));
    BOOST_TEST(answer.rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_TEST(answer.find("X-Burdockhold-Server-Stamp: s1") != std::string::npos);
    BOOST_REQUIRE(callCount() == 1U);
    BOOST_TEST(calls[0].target == "/safe/a%20b?c=d");
    BOOST_TEST(calls[0].body == "hello");
    BOOST_TEST(calls[0].field("X-Own") == "1");
    BOOST_TEST(calls[0].field("X-Burdockhold-Tenant") == "acct");
    BOOST_TEST(calls[0].field("X-Burdockhold-Credential").empty());
    BOOST_TEST(calls[0].field("X-Burdockhold-Target-Instance") == engines[0]);
}

BOOST_FIXTURE_TEST_CASE(unknownRouteAndKeyAreRefused, fixture)
{
    BOOST_TEST(ask(request("/none/")).rfind("HTTP/1.1 404", 0) == 0U);
    BOOST_TEST(ask(request("/safe/", "wrong")).rfind("HTTP/1.1 401", 0) == 0U);
    BOOST_TEST(callCount() == 0U);
}

// Guards against a withdrawn key that goes on working, and a deployment that comes back.
BOOST_FIXTURE_TEST_CASE(withdrawnKeyStopsAndStaysWithdrawn, fixture)
{
    putDeployment(5, { "key-2" });
    BOOST_TEST(becomes(request("/safe/"), "HTTP/1.1 401"));
    putDeployment(3, { "key-1", "key-2" });
    BOOST_TEST(becomes(request("/safe/", "key-2"), "HTTP/1.1 200"));
    BOOST_TEST(ask(request("/safe/")).rfind("HTTP/1.1 401", 0) == 0U);
}

// Guards against a payment that is sent again after its endpoint reset the connection.
BOOST_FIXTURE_TEST_CASE(callThatMayHaveRunIsNotRepeated, fixture)
{
    behave([](const std::string &, const seen_request &, answer_socket &socket) {
        socket.reset();
        return false;
    });
    BOOST_TEST(ask(request("/pay/")).rfind("HTTP/1.1 502", 0) == 0U);
    BOOST_TEST(callCount() == 1U);
}

// Guards against a lookup that fails although another endpoint could serve it.
BOOST_FIXTURE_TEST_CASE(idempotentCallIsRepeatedElsewhere, fixture)
{
    behave([this](const std::string &name, const seen_request &request, answer_socket &socket) {
        if (callCount() > 1)
            return socket.write(wholeAnswer(request, name));
        socket.reset();
        return false;
    });
    BOOST_TEST(ask(request("/safe/")).rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_REQUIRE(callCount() == 2U);
    BOOST_TEST(engines[0] != engines[1]);
}

// Guards against a refusal that is passed on although the other endpoint would take the call.
BOOST_FIXTURE_TEST_CASE(refusedCallIsOfferedToTheOtherEndpoint, fixture)
{
    behave([this](const std::string &, const seen_request &request, answer_socket &socket) {
        if (callCount() > 1)
            return socket.write(wholeAnswer(request, "ok"));
        return socket.write("HTTP/1.1 503 X\r\nX-Burdockhold-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n");
    });
    BOOST_TEST(ask(request("/pay/")).rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_TEST(callCount() == 2U);
}

// Guards against an answer to another request, a body without a signature, and a coded body.
BOOST_FIXTURE_TEST_CASE(answersThatAreNotTheCallsAreNotDelivered, fixture)
{
    const std::string signedHead = "HTTP/1.1 200 OK\r\nX-Burdockhold-Attempt-Id: id1\r\n"
                                   "X-Burdockhold-Server-Stamp: s\r\n";
    const std::vector<std::string> wrong{
        "HTTP/1.1 200 OK\r\nX-Burdockhold-Attempt-Id: id1\r\nContent-Length: 3\r\n\r\nbad",
        "HTTP/1.1 200 OK\r\nX-Burdockhold-Server-Stamp: s\r\nContent-Length: 3\r\n\r\nbad",
        signedHead + "Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nbad",
        signedHead + "Content-Length: 30\r\n\r\nbad",
        "\x01\x02garbage\r\n\r\n",
    };
    for (const std::string &bytes : wrong) {
        behave([bytes](const std::string &, const seen_request &, answer_socket &socket) {
            socket.write(bytes);
            return false;
        });
        const std::string answer = ask(request("/pay/"));
        BOOST_TEST(answer.rfind("HTTP/1.1 502", 0) == 0U, answer);
    }
}

// Guards against a late second answer that the next caller gets.
BOOST_FIXTURE_TEST_CASE(lateAnswerIsNotGivenToTheNextRequest, fixture)
{
    behave([](const std::string &, const seen_request &request, answer_socket &socket) {
        const std::string own = wholeAnswer(request, "own");
        std::string late = own;
        late.replace(late.find("own"), 3, "###");
        late.replace(late.find("id1"), 3, "id0");
        return socket.write(own) && socket.write(late);
    });
    for (int round = 0; round < 4; ++round) {
        test_caller caller(router->callerAddress());
        caller.send(request("/safe/"));
        const std::string answer = caller.readUntil("own", PatienceMs);
        BOOST_TEST(answer.rfind("HTTP/1.1 200", 0) == 0U);
        BOOST_TEST(answer.find("###") == std::string::npos);
    }
}

// Guards against a stream that has a gap, a repeated event or a second head after its engine died.
BOOST_FIXTURE_TEST_CASE(streamGoesOnAtAnotherEngine, fixture)
{
    behave([this](const std::string &, const seen_request &request, answer_socket &socket) {
        const std::string last = request.field("Last-Event-Id");
        socket.write(answerHead(request,
                                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"));
        if (callCount() == 1) {
            socket.write(chunk(events(1, 3) + "id: 4\nda"));
            return false;
        }
        const int from = last.empty() ? 1 : std::stoi(last);
        return socket.write(chunk(events(from, 6)) + "0\r\n\r\n");
    });
    test_caller caller(router->callerAddress());
    caller.send(request("/resume/"));
    const std::string answer = caller.readUntil("0\r\n\r\n", PatienceMs);
    for (int id = 1; id <= 6; ++id) {
        const std::size_t at = answer.find(event(id));
        BOOST_TEST(at != std::string::npos);
        BOOST_TEST(answer.find(event(id), at + 1) == std::string::npos);
    }
    BOOST_TEST(answer.find("HTTP/1.1", 9) == std::string::npos);
    BOOST_REQUIRE(callCount() == 2U);
    BOOST_TEST(calls[1].field("Last-Event-Id") == "3");
}

// Guards against a broken stream that looks complete to its caller.
BOOST_FIXTURE_TEST_CASE(streamThatCannotGoOnIsVisiblyIncomplete, fixture)
{
    behave([](const std::string &, const seen_request &request, answer_socket &socket) {
        socket.write(answerHead(request, "Transfer-Encoding: chunked") + chunk(events(1, 2)));
        return false;
    });
    test_caller caller(router->callerAddress());
    caller.send(request("/once/"));
    const std::string answer = caller.readUntil("never there", PatienceMs);
    BOOST_TEST(caller.closedByPeer());
    BOOST_TEST(answer.find(event(2)) != std::string::npos);
    BOOST_TEST(answer.find("0\r\n\r\n") == std::string::npos);
    BOOST_TEST(callCount() == 1U);
}

// Guards against engines that work on for callers who left before the first event.
BOOST_FIXTURE_TEST_CASE(callersLeavingEndsTheCall, fixture)
{
    std::atomic<bool> arrived{ false };
    std::atomic<bool> noticed{ false };
    behave([&](const std::string &, const seen_request &, answer_socket &socket) {
        arrived = true;
        noticed = socket.peerClosed(PatienceMs);
        return false;
    });
    test_caller caller(router->callerAddress());
    caller.send(request("/resume/"));
    for (int wait = 0; wait < PatienceMs / 10 && !arrived; ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    BOOST_REQUIRE(arrived);
    caller.close();
    for (int wait = 0; wait < PatienceMs / 10 && !noticed; ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    BOOST_TEST(noticed);
}

// Guards against an answer held until after the route's time limit, and a false "not run" for it.
BOOST_FIXTURE_TEST_CASE(timeLimitOfACallThatRunsIsNoRefusal, fixture)
{
    behave([](const std::string &, const seen_request &, answer_socket &socket) {
        socket.peerClosed(PatienceMs);
        return false;
    });
    BOOST_TEST(ask(request("/pay/")).rfind("HTTP/1.1 504", 0) == 0U);
    BOOST_TEST(callCount() == 1U);
}

// Guards against new calls to an endpoint that has announced its leaving.
BOOST_FIXTURE_TEST_CASE(leavingEndpointGetsNoNewCalls, fixture)
{
    log.put("keyed.servers", "e1", entry(first.address(), "draining"));
    // Two seconds are the platform's bound for it.
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    for (int call = 0; call < 20; ++call)
        ask(request("/safe/"));
    const std::lock_guard lock(mutex);
    BOOST_TEST(std::set<std::string>(engines.begin(), engines.end()).count("e1") == 0U);
}

// Guards against keys that work on while nobody can tell whether they were withdrawn.
BOOST_FIXTURE_TEST_CASE(keysAreRefusedWhileTheLogIsAway, fixture)
{
    log.setDown(true);
    BOOST_TEST(becomes(request("/safe/"), "HTTP/1.1 503"));
    BOOST_TEST(router->waitReady(false));
    log.setDown(false);
    BOOST_TEST(becomes(request("/safe/"), "HTTP/1.1 200"));
}

// Guards against a stop that cuts off what it serves, and a stopping VM that still asks for
// callers.
BOOST_FIXTURE_TEST_CASE(stopServesWhatItHasAndEnds, fixture)
{
    behave([this](const std::string &, const seen_request &request, answer_socket &socket) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        return socket.write(wholeAnswer(request, "late"));
    });
    test_caller caller(router->callerAddress());
    caller.send(request("/safe/"));
    for (int wait = 0; wait < PatienceMs / 10 && callCount() == 0; ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    router->terminate();
    BOOST_TEST(router->waitReady(false));
    BOOST_TEST(caller.readUntil("late", PatienceMs).rfind("HTTP/1.1 200", 0) == 0U);
    for (int wait = 0; wait < PatienceMs / 10 && !router->hasEnded(); ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    BOOST_TEST(router->hasEnded());
}

// Guards against a body that is stored although it is over the limit, and against endless headers.
BOOST_FIXTURE_TEST_CASE(limitsOfMessagesHold, fixture)
{
    const std::string tooLong = "POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n";
    BOOST_TEST(ask(tooLong).rfind("HTTP/1.1 413", 0) == 0U);
    const std::string longHead = "GET /safe/ HTTP/1.1\r\nHost: h\r\nX: " + std::string(40000, 'x');
    BOOST_TEST(ask(longHead).rfind("HTTP/1.1 431", 0) == 0U);
    BOOST_TEST(ask("nonsense\r\n\r\n").rfind("HTTP/1.1 400", 0) == 0U);
    BOOST_TEST(callCount() == 0U);
}

// Guards against a second request on a connection that is lost or answered in the wrong order.
BOOST_FIXTURE_TEST_CASE(requestsOnOneConnectionAreAnsweredInOrder, fixture)
{
    behave([](const std::string &, const seen_request &request, answer_socket &socket) {
        return socket.write(wholeAnswer(request, "<" + request.body + ">"));
    });
    test_caller caller(router->callerAddress());
    caller.send(request("/safe/", "key-1", "", "one") + request("/safe/", "key-1", "", "two"));
    const std::string answer = caller.readUntil("<two>", PatienceMs);
    BOOST_TEST(answer.find("<one>") < answer.find("<two>"));
    BOOST_TEST(answer.find("<two>") != std::string::npos);
}

// Guards against a repeat on an idle connection: endpoints crash together, and the request is lost
// once more on a connection whose other end has gone.
BOOST_FIXTURE_TEST_CASE(repeatTakesANewConnection, fixture)
{
    // Calls that run at the same time leave an idle connection at both engines.
    behave([](const std::string &, const seen_request &request, answer_socket &socket) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        return socket.write(wholeAnswer(request, "warm"));
    });
    std::vector<std::unique_ptr<test_caller>> callers;
    for (int call = 0; call < 6; ++call) {
        callers.push_back(std::make_unique<test_caller>(router->callerAddress()));
        std::string other = request("/safe/");
        other.replace(other.find("id1"), 3, "id" + std::to_string(call));
        callers.back()->send(other);
    }
    for (auto &caller : callers)
        BOOST_TEST(caller->readUntil("warm", PatienceMs).rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_REQUIRE(std::set<std::string>(engines.begin(), engines.end()).size() == 2U);
    std::atomic<int> onIdle{ 0 };
    behave([&](const std::string &, const seen_request &request, answer_socket &socket) {
        if (!request.isFirstOnConnection) {
            ++onIdle;
            socket.reset();
            return false;
        }
        return socket.write(wholeAnswer(request, "new"));
    });
    const std::size_t before = callCount();
    BOOST_TEST(ask(request("/safe/")).rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_TEST(onIdle == 1);
    BOOST_TEST(callCount() == before + 2);
}

// Guards against a stream that is cut off although an engine that ended does not count among those
// that the route allows: two engines crash one after the other, the third has the rest.
BOOST_FIXTURE_TEST_CASE(crashedEnginesDoNotUseUpTheRoute, fixture)
{
    const auto relay = [this](const seen_request &request, answer_socket &socket) {
        const std::string last = request.field("Last-Event-Id");
        const int from = last.empty() ? 0 : std::stoi(last);
        socket.write(answerHead(request, "Transfer-Encoding: chunked"));
        return from;
    };
    // Engines that stop listening before they break the stream.
    std::vector<std::unique_ptr<standin_server>> crashing;
    log.remove("keyed.servers", "e1");
    log.remove("keyed.servers", "e2");
    for (const char *name : { "c1", "c2" }) {
        const std::size_t index = crashing.size();
        crashing.push_back(std::make_unique<standin_server>(
                [&, index](const seen_request &request, answer_socket &socket) {
                    const int from = relay(request, socket);
                    socket.write(chunk(events(from + 1, from + 2)));
                    crashing[index]->stopListening();
                    return false;
                }));
        log.put("keyed.servers", name, entry(crashing.back()->address(), "ready"));
    }
    behave([&](const std::string &, const seen_request &request, answer_socket &socket) {
        const int from = relay(request, socket);
        return socket.write(chunk(events(from + 1, 6)) + "0\r\n\r\n");
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(2000)); // The bound for entries.
    test_caller caller(router->callerAddress());
    caller.send(request("/resume/"));
    const std::string begun = caller.readUntil(event(4), PatienceMs);
    // The rest is at an engine that the route's limit alone would not allow.
    BOOST_TEST(begun.find(event(4)) != std::string::npos);
    log.put("keyed.servers", "e3", entry(first.address(), "ready"));
    const std::string answer = caller.readUntil("0\r\n\r\n", PatienceMs);
    for (int id = 1; id <= 6; ++id)
        BOOST_TEST(answer.find(event(id)) != std::string::npos);
    BOOST_TEST(!caller.closedByPeer());
}
