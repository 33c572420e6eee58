#define BOOST_TEST_MODULE router_loop
#include "testing/support_router.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
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
    const std::string response = exchangeRequest(
            request("/safe/a%20b?c=d", "key-1", "X-Own: 1\r\n", "hello"));
    BOOST_TEST(response.rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_TEST(response.find("X-Burdockhold-Server-Stamp: s1") != std::string::npos);
    BOOST_REQUIRE(callCount() == 1U);
    BOOST_TEST(calls[0].target == "/safe/a%20b?c=d");
    BOOST_TEST(calls[0].body == "hello");
    BOOST_TEST(calls[0].field("X-Own") == "1");
    BOOST_TEST(calls[0].field("X-Burdockhold-Tenant") == "acct");
    BOOST_TEST(calls[0].field("X-Burdockhold-Credential").empty());
    BOOST_TEST(calls[0].field("X-Burdockhold-Target-Instance") == engines[0]);
}

// Guards against a line whose names were freed before it was written.
BOOST_FIXTURE_TEST_CASE(linesOfRequestsNameTheirRouteAndAccount, fixture)
{
    nlohmann::json body = deploymentBody(5, { "key-1" });
    body["routes"][0]["name"] = "a-route-whose-name-does-not-fit-into-a-string-object";
    body["tenants"][0]["name"] = "an-account-whose-name-does-not-either";
    log.put("keyed.op", "config", body.dump());
    BOOST_REQUIRE(waitForLog(R"("event":"deployment_applied","version":5)"));
    exchangeRequest(request("/safe/"));
    BOOST_TEST(waitForLog(R"("route":"a-route-whose-name-does-not-fit-into-a-string-object",)"
                          R"("account":"an-account-whose-name-does-not-either")"));
}

BOOST_FIXTURE_TEST_CASE(unknownRouteAndKeyAreRefused, fixture)
{
    BOOST_TEST(exchangeRequest(request("/none/")).rfind("HTTP/1.1 404", 0) == 0U);
    BOOST_TEST(exchangeRequest(request("/safe/", "wrong")).rfind("HTTP/1.1 401", 0) == 0U);
    BOOST_TEST(callCount() == 0U);
}

// Guards against a revoked key that keeps working, and against an older deployment version that
// arrives late and replaces a newer one.
BOOST_FIXTURE_TEST_CASE(withdrawnKeyStopsAndStaysWithdrawn, fixture)
{
    putDeployment(5, { "key-2" });
    BOOST_TEST(waitForResponse(request("/safe/"), "HTTP/1.1 401"));
    putDeployment(3, { "key-1", "key-2" });
    BOOST_TEST(waitForResponse(request("/safe/", "key-2"), "HTTP/1.1 200"));
    BOOST_TEST(exchangeRequest(request("/safe/")).rfind("HTTP/1.1 401", 0) == 0U);
}

// Guards against routes that are open to everybody once the last account is taken away, or to
// requests without a key where an account has an empty one.
BOOST_FIXTURE_TEST_CASE(accountsThatAreTakenAwayOpenNoRoute, fixture)
{
    const auto isRefused = [this](const std::string &key) {
        return exchangeRequest(request("/pay/", key)).rfind("HTTP/1.1 401", 0) == 0;
    };
    nlohmann::json body = deploymentBody(5, {});
    body["tenants"] = nlohmann::json::array();
    log.put("keyed.op", "config", body.dump());
    BOOST_TEST(waitForResponse(request("/safe/"), "HTTP/1.1 401"));
    BOOST_TEST(isRefused("never-a-key"));
    BOOST_TEST(isRefused(""));
    putDeployment(6, { "", "key-2" });
    BOOST_TEST(waitForResponse(request("/safe/", "key-2"), "HTTP/1.1 200"));
    BOOST_TEST(isRefused(""));
    const std::lock_guard lock(mutex);
    for (const recorded_request &call : calls)
        BOOST_TEST(call.target == "/safe/");
}

// Guards against a payment that runs twice: its endpoint resets the connection, and the router
// sends the call to another endpoint although the first one may have run it.
BOOST_FIXTURE_TEST_CASE(callThatMayHaveRunIsNotRepeated, fixture)
{
    setEngineBehaviour([](const std::string &, const recorded_request &, response_socket &socket) {
        socket.reset();
        return false;
    });
    BOOST_TEST(exchangeRequest(request("/pay/")).rfind("HTTP/1.1 502", 0) == 0U);
    BOOST_TEST(callCount() == 1U);
}

// Guards against an idempotent call that fails because one endpoint reset the connection, although
// the other endpoint could serve it.
BOOST_FIXTURE_TEST_CASE(idempotentCallIsRetriedAtTheOtherEndpoint, fixture)
{
    setEngineBehaviour([this](const std::string &name, const recorded_request &request,
                              response_socket &socket) {
        if (callCount() > 1)
            return socket.write(completeResponse(request, name));
        socket.reset();
        return false;
    });
    BOOST_TEST(exchangeRequest(request("/safe/")).rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_REQUIRE(callCount() == 2U);
    BOOST_TEST(engines[0] != engines[1]);
}

// Guards against a refusal that is forwarded to the caller although it states that the call did not
// run and the other endpoint would accept it.
BOOST_FIXTURE_TEST_CASE(refusedCallIsRetriedAtTheOtherEndpoint, fixture)
{
    setEngineBehaviour(
            [this](const std::string &, const recorded_request &request, response_socket &socket) {
                if (callCount() > 1)
                    return socket.write(completeResponse(request, "ok"));
                return socket.write("HTTP/1.1 503 X\r\nX-Burdockhold-Not-Executed: 1\r\n"
                                    "Content-Length: 0\r\n\r\n");
            });
    BOOST_TEST(exchangeRequest(request("/pay/")).rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_TEST(callCount() == 2U);
}

// Guards against the delivery of responses that do not belong to the call: without the endpoint's
// signature, without the attempt's id, with a content coding, shorter than stated, or not HTTP.
BOOST_FIXTURE_TEST_CASE(answersThatAreNotTheCallsAreNotDelivered, fixture)
{
    const std::string signedHead = "HTTP/1.1 200 OK\r\nX-Burdockhold-Attempt-Id: id1\r\n"
                                   "X-Burdockhold-Server-Stamp: s\r\n";
    const std::vector<std::string> wrongResponses{
        "HTTP/1.1 200 OK\r\nX-Burdockhold-Attempt-Id: id1\r\nContent-Length: 3\r\n\r\nbad",
        "HTTP/1.1 200 OK\r\nX-Burdockhold-Server-Stamp: s\r\nContent-Length: 3\r\n\r\nbad",
        signedHead + "Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nbad",
        signedHead + "Content-Length: 30\r\n\r\nbad",
        "\x01\x02garbage\r\n\r\n",
    };
    for (const std::string &bytes : wrongResponses) {
        setEngineBehaviour(
                [bytes](const std::string &, const recorded_request &, response_socket &socket) {
                    socket.write(bytes);
                    return false;
                });
        const std::string response = exchangeRequest(request("/pay/"));
        BOOST_TEST(response.rfind("HTTP/1.1 502", 0) == 0U, response);
    }
}

// Guards against a late second response that stays unread on a reused connection and is delivered
// to the next caller.
BOOST_FIXTURE_TEST_CASE(lateAnswerIsNotGivenToTheNextRequest, fixture)
{
    setEngineBehaviour(
            [](const std::string &, const recorded_request &request, response_socket &socket) {
                const std::string own = completeResponse(request, "own");
                std::string late = own;
                late.replace(late.find("own"), 3, "###");
                late.replace(late.find("id1"), 3, "id0");
                return socket.write(own) && socket.write(late);
            });
    for (int round = 0; round < 4; ++round) {
        test_caller caller(router->callerAddress());
        caller.send(request("/safe/"));
        const std::string response = caller.readUntil("own", WaitLimitMs);
        BOOST_TEST(response.rfind("HTTP/1.1 200", 0) == 0U);
        BOOST_TEST(response.find("###") == std::string::npos);
    }
}

// Guards against a gap, a duplicate event or a second head in a stream that resumes at another
// engine after its first engine failed in the middle of an event.
BOOST_FIXTURE_TEST_CASE(streamGoesOnAtAnotherEngine, fixture)
{
    setEngineBehaviour([this](const std::string &, const recorded_request &request,
                              response_socket &socket) {
        const std::string last = request.field("Last-Event-Id");
        socket.write(responseHead(request,
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
    const std::string response = caller.readUntil("0\r\n\r\n", WaitLimitMs);
    for (int id = 1; id <= 6; ++id) {
        const std::size_t at = response.find(event(id));
        BOOST_TEST(at != std::string::npos);
        BOOST_TEST(response.find(event(id), at + 1) == std::string::npos);
    }
    BOOST_TEST(response.find("HTTP/1.1", 9) == std::string::npos);
    BOOST_REQUIRE(callCount() == 2U);
    BOOST_TEST(calls[1].field("Last-Event-Id") == "3");
}

// Guards against a line on a stream without what its placement expected and its longest pause. The
// pool is a plain service without earlier calls.
BOOST_FIXTURE_TEST_CASE(linesOfStreamsStateExpectedAndActualTimes, fixture)
{
    setEngineBehaviour([](const std::string &, const recorded_request &request,
                          response_socket &socket) {
        socket.write(responseHead(request,
                                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"));
        socket.write(chunk(events(1, 3)));
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        return socket.write(chunk(events(4, 6)) + "0\r\n\r\n");
    });
    test_caller caller(router->callerAddress());
    caller.send(request("/resume/"));
    caller.readUntil("0\r\n\r\n", WaitLimitMs);
    BOOST_REQUIRE(waitForLog(R"("expected_first_ms":20)"));
    const std::string lines = router->logText();
    const auto valueOf = [&lines](const std::string &field) {
        const std::size_t found = lines.find("\"" + field + "\":");
        return found == std::string::npos ? -1.0
                                          : std::stod(lines.substr(found + field.size() + 3));
    };
    BOOST_TEST(valueOf("longest_gap_ms") >= 50.0);
    BOOST_TEST(valueOf("call_first_ms") > 0.0);
    BOOST_TEST(valueOf("call_first_ms") <= valueOf("first_ms"));
}

// Guards against a stream that looks complete to its caller although its engine failed and its
// route cannot resume.
BOOST_FIXTURE_TEST_CASE(streamThatCannotResumeIsVisiblyIncomplete, fixture)
{
    setEngineBehaviour([](const std::string &, const recorded_request &request,
                          response_socket &socket) {
        socket.write(responseHead(request, "Transfer-Encoding: chunked") + chunk(events(1, 2)));
        return false;
    });
    test_caller caller(router->callerAddress());
    caller.send(request("/once/"));
    const std::string response = caller.readUntil("never there", WaitLimitMs);
    BOOST_TEST(caller.closedByPeer());
    BOOST_TEST(response.find(event(2)) != std::string::npos);
    BOOST_TEST(response.find("0\r\n\r\n") == std::string::npos);
    BOOST_TEST(callCount() == 1U);
}

// Guards against engines that keep running a call whose caller disconnected before the first event.
BOOST_FIXTURE_TEST_CASE(callerDisconnectEndsTheCall, fixture)
{
    std::atomic<bool> arrived{ false };
    std::atomic<bool> noticed{ false };
    setEngineBehaviour([&](const std::string &, const recorded_request &, response_socket &socket) {
        arrived = true;
        noticed = socket.peerClosed(WaitLimitMs);
        return false;
    });
    test_caller caller(router->callerAddress());
    caller.send(request("/resume/"));
    for (int wait = 0; wait < WaitLimitMs / 10 && !arrived; ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    BOOST_REQUIRE(arrived);
    caller.close();
    for (int wait = 0; wait < WaitLimitMs / 10 && !noticed; ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    BOOST_TEST(noticed);
}

// Guards against a call that outlasts the route's time limit, and against a refusal that says "not
// run" for it although the endpoint may have run it.
BOOST_FIXTURE_TEST_CASE(timeLimitOfACallThatRunsIsNoRefusal, fixture)
{
    setEngineBehaviour([](const std::string &, const recorded_request &, response_socket &socket) {
        socket.peerClosed(WaitLimitMs);
        return false;
    });
    BOOST_TEST(exchangeRequest(request("/pay/")).rfind("HTTP/1.1 504", 0) == 0U);
    BOOST_TEST(callCount() == 1U);
}

// Guards against new calls to an endpoint that has announced that it is draining.
BOOST_FIXTURE_TEST_CASE(drainingEndpointGetsNoNewCalls, fixture)
{
    log.put("keyed.servers", "e1", endpointRecord(first.address(), "draining"));
    // The platform allows two seconds until calls must stop.
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    for (int call = 0; call < 20; ++call)
        exchangeRequest(request("/safe/"));
    const std::lock_guard lock(mutex);
    BOOST_TEST(std::set<std::string>(engines.begin(), engines.end()).count("e1") == 0U);
}

// Guards against a new software version that gets calls like any other before it is proven.
BOOST_FIXTURE_TEST_CASE(newVersionGetsItsShareOnly, fixture)
{
    setEngineBehaviour([](const std::string &name, const recorded_request &call,
                          response_socket &socket) {
        if (name == "e1") // The established version looks slower, so that the other is preferred.
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        return socket.write(completeResponse(call, "body"));
    });
    nlohmann::json entry = nlohmann::json::parse(endpointRecord(second.address(), "ready"));
    entry["version"] = "v2";
    entry["born"] = 2000;
    log.put("keyed.op", "rollout/desk", R"({"service":"desk","target":"v2","duration_s":600})");
    log.put("keyed.servers", "e2", entry.dump());
    // The bound for entries of endpoints.
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    const std::size_t before = callCount();
    for (int call = 0; call < 100; ++call)
        exchangeRequest(request("/safe/"));
    const std::lock_guard lock(mutex);
    const auto toNew = std::count(engines.begin() + static_cast<std::ptrdiff_t>(before),
                                  engines.end(), "e2");
    BOOST_TEST(toNew <= 10);
    BOOST_TEST(toNew > 0);
}

// Guards against keys that keep working while the log is unavailable, when the router cannot know
// whether they have been revoked.
BOOST_FIXTURE_TEST_CASE(keysAreRefusedWhileTheLogIsAway, fixture)
{
    log.setUnavailable(true);
    BOOST_TEST(waitForResponse(request("/safe/"), "HTTP/1.1 503"));
    BOOST_TEST(router->waitReady(false));
    log.setUnavailable(false);
    BOOST_TEST(waitForResponse(request("/safe/"), "HTTP/1.1 200"));
}

// Guards against a stop that aborts requests in flight, and against a stopping VM that still
// reports itself ready for callers.
BOOST_FIXTURE_TEST_CASE(stopCompletesRequestsInFlightAndExits, fixture)
{
    setEngineBehaviour(
            [this](const std::string &, const recorded_request &request, response_socket &socket) {
                // Bytes now and then, since a call leaves an engine that is silent.
                constexpr int Parts = 15;
                socket.write(responseHead(request, "Content-Length: 19"));
                for (int part = 0; part < Parts; ++part) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(100));
                    socket.write(".");
                }
                return socket.write("late");
            });
    test_caller caller(router->callerAddress());
    caller.send(request("/safe/"));
    for (int wait = 0; wait < WaitLimitMs / 10 && callCount() == 0; ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    router->terminate();
    BOOST_TEST(router->waitReady(false));
    const std::string response = caller.readUntil("late", WaitLimitMs);
    BOOST_TEST(response.rfind("HTTP/1.1 200", 0) == 0U, response << "\n" << router->logText());
    for (int wait = 0; wait < WaitLimitMs / 10 && !router->hasExited(); ++wait)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    BOOST_TEST(router->hasExited());
    BOOST_TEST(callCount() == 1U);
}

// Guards against a body over the limit that is stored, and against a header without end.
BOOST_FIXTURE_TEST_CASE(messageLimitsAreEnforced, fixture)
{
    const std::string oversizedBody =
            "POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n";
    BOOST_TEST(exchangeRequest(oversizedBody).rfind("HTTP/1.1 413", 0) == 0U);
    const std::string oversizedHead = "GET /safe/ HTTP/1.1\r\nHost: h\r\nX: "
                                      + std::string(40000, 'x');
    BOOST_TEST(exchangeRequest(oversizedHead).rfind("HTTP/1.1 431", 0) == 0U);
    BOOST_TEST(exchangeRequest("nonsense\r\n\r\n").rfind("HTTP/1.1 400", 0) == 0U);
    BOOST_TEST(callCount() == 0U);
}

// Guards against a pipelined request that is lost or whose response is out of order.
BOOST_FIXTURE_TEST_CASE(pipelinedRequestsAreServedInOrder, fixture)
{
    setEngineBehaviour(
            [](const std::string &, const recorded_request &request, response_socket &socket) {
                return socket.write(completeResponse(request, "<" + request.body + ">"));
            });
    test_caller caller(router->callerAddress());
    caller.send(request("/safe/", "key-1", "", "one") + request("/safe/", "key-1", "", "two"));
    const std::string response = caller.readUntil("<two>", WaitLimitMs);
    BOOST_TEST(response.find("<one>") < response.find("<two>"));
    BOOST_TEST(response.find("<two>") != std::string::npos);
}

// Guards against a retry on an idle connection: endpoints crash together, and the request fails
// again on a connection whose endpoint has terminated.
BOOST_FIXTURE_TEST_CASE(retryUsesANewConnection, fixture)
{
    // Concurrent calls leave an idle connection to each of the two engines.
    setEngineBehaviour(
            [](const std::string &, const recorded_request &request, response_socket &socket) {
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
                return socket.write(completeResponse(request, "warm"));
            });
    std::vector<std::unique_ptr<test_caller>> callers;
    for (int call = 0; call < 6; ++call) {
        callers.push_back(std::make_unique<test_caller>(router->callerAddress()));
        std::string other = request("/safe/");
        other.replace(other.find("id1"), 3, "id" + std::to_string(call));
        callers.back()->send(other);
    }
    for (auto &caller : callers)
        BOOST_TEST(caller->readUntil("warm", WaitLimitMs).rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_REQUIRE(std::set<std::string>(engines.begin(), engines.end()).size() == 2U);
    std::atomic<int> onIdleConnection{ 0 };
    setEngineBehaviour(
            [&](const std::string &, const recorded_request &request, response_socket &socket) {
                if (!request.isFirstOnConnection) {
                    ++onIdleConnection;
                    socket.reset();
                    return false;
                }
                return socket.write(completeResponse(request, "new"));
            });
    const std::size_t before = callCount();
    BOOST_TEST(exchangeRequest(request("/safe/")).rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_TEST(onIdleConnection == 1);
    BOOST_TEST(callCount() == before + 2);
}

// Guards against a stream that is aborted because crashed engines use up the route's limit of
// endpoints, against which a terminated engine must not count. Two engines crash one after the
// other, and the third sends the rest.
BOOST_FIXTURE_TEST_CASE(crashedEnginesDoNotCountAgainstTheRouteLimit, fixture)
{
    const auto beginResponse = [this](const recorded_request &request, response_socket &socket) {
        const std::string last = request.field("Last-Event-Id");
        const int from = last.empty() ? 0 : std::stoi(last);
        socket.write(responseHead(request, "Transfer-Encoding: chunked"));
        return from;
    };
    // Engines that stop listening before they break the stream.
    std::vector<std::unique_ptr<fake_server>> crashing;
    log.remove("keyed.servers", "e1");
    log.remove("keyed.servers", "e2");
    for (const char *name : { "c1", "c2" }) {
        const std::size_t index = crashing.size();
        crashing.push_back(std::make_unique<fake_server>(
                [&, index](const recorded_request &request, response_socket &socket) {
                    const int from = beginResponse(request, socket);
                    socket.write(chunk(events(from + 1, from + 2)));
                    crashing[index]->stopListening();
                    return false;
                }));
        log.put("keyed.servers", name, endpointRecord(crashing.back()->address(), "ready"));
    }
    setEngineBehaviour(
            [&](const std::string &, const recorded_request &request, response_socket &socket) {
                const int from = beginResponse(request, socket);
                return socket.write(chunk(events(from + 1, 6)) + "0\r\n\r\n");
            });
    // The platform's bound for changes of endpoints to take effect.
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    test_caller caller(router->callerAddress());
    caller.send(request("/resume/"));
    const std::string received = caller.readUntil(event(4), WaitLimitMs);
    // The rest comes from a third engine, beyond the route's limit of two.
    BOOST_TEST(received.find(event(4)) != std::string::npos);
    log.put("keyed.servers", "e3", endpointRecord(first.address(), "ready"));
    const std::string response = caller.readUntil("0\r\n\r\n", WaitLimitMs);
    for (int id = 1; id <= 6; ++id)
        BOOST_TEST(response.find(event(id)) != std::string::npos);
    BOOST_TEST(!caller.closedByPeer());
}

// Guards against a response that is cut off at the idle timeout while its caller still reads it.
BOOST_FIXTURE_TEST_CASE(slowCallerGetsTheWholeResponse, fixture)
{
    constexpr std::size_t BodyBytes = 8000000;
    constexpr std::size_t BytesPerRead = 200000;
    putDeployment(2, { "key-1" }, 1000);
    setEngineBehaviour(
            [](const std::string &, const recorded_request &call, response_socket &socket) {
                return socket.write(completeResponse(call, std::string(BodyBytes, 'x')));
            });
    std::this_thread::sleep_for(
            std::chrono::milliseconds(1500)); // Until the deployment is applied.
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket caller(io);
    const std::string address = router->callerAddress();
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.find(':') + 1)));
    caller.open(boost::asio::ip::tcp::v4());
    caller.set_option(boost::asio::socket_base::receive_buffer_size(BytesPerRead));
    caller.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    boost::asio::write(caller, boost::asio::buffer(request("/safe/")));
    std::vector<char> bytes(BytesPerRead);
    std::size_t received = 0;
    boost::system::error_code error;
    while (received < BodyBytes && !error) {
        received += boost::asio::read(caller, boost::asio::buffer(bytes), error);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    BOOST_TEST(received >= BodyBytes);
}

// Guards against a pipelined request that has been read and ends without an answer, as the response
// before it ends during a shutdown.
BOOST_FIXTURE_TEST_CASE(pipelinedRequestIsAnsweredDuringAShutdown, fixture)
{
    setEngineBehaviour([](const std::string &, const recorded_request &call,
                          response_socket &socket) {
        if (call.body == "two")
            return socket.write(completeResponse(call, "<two>"));
        socket.write(responseHead(call, "Transfer-Encoding: chunked") + chunk(events(1, 1)));
        std::this_thread::sleep_for(std::chrono::milliseconds(1000));
        return socket.write(chunk(events(2, 2)) + "0\r\n\r\n");
    });
    test_caller caller(router->callerAddress());
    caller.send(request("/once/", "key-1", "", "one"));
    caller.readUntil("id: 1", WaitLimitMs);
    caller.send(request("/safe/", "key-1", "", "two"));
    router->terminate();
    const std::string response = caller.readUntil("<two>", WaitLimitMs);
    BOOST_TEST(response.find("id: 2") != std::string::npos);
    BOOST_TEST(response.find("<two>") != std::string::npos);
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
}
