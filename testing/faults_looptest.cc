#define BOOST_TEST_MODULE faults
#include "burdockhold/guarded_loop.h"
#include "burdockhold/vm_digest.h"
#include "testing/support_mutation.h"
#include "testing/support_router.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

// Faulty endpoints, callers and VMs: what they send must not terminate the router, exhaust its
// memory, or be delivered to a caller as a response.

using namespace burdockhold;
using namespace burdockhold::testing;

namespace {

using fixture = router_fixture;

constexpr std::size_t MemoryBytes = std::size_t(110) * 1024 * 1024; // Setting memory_mb.
constexpr int EndlessMs = 30000; // Far above the time limit of any call.

std::string requestWithId(const std::string &path, const std::string &id)
{
    std::string text = fixture::request(path);
    return text.replace(text.find("id1"), 3, id);
}

/// A response of a faulty engine: its beginning, and a piece that is repeated without end.
struct endless_response
{
    std::string name;
    std::string begin; ///< Framing fields of a success; if empty, only its status line is sent.
    std::string piece;
    std::string path;
};

} // namespace

// Guards against an endless head or body that exhausts the memory, blocks the caller, or is
// delivered as a response. Twenty concurrent callers receive each kind of response.
BOOST_FIXTURE_TEST_CASE(answersWithoutEndAreCutOffWithinTheMemory, fixture)
{
    const std::string chunked = "Transfer-Encoding: chunked";
    const std::string oneChunk = "400\r\n" + std::string(1024, 'x') + "\r\n";
    const std::vector<endless_response> kinds{
        { "head that is not HTTP", "", std::string(4096, 'x'), "/safe/" },
        { "head with endless fields", "", "X-Field: " + std::string(200, 'x') + "\r\n", "/safe/" },
        { "interim responses after half a head", "", "HTTP/1.1 102 Processing\r\n\r\n", "/safe/" },
        { "body with a length", "Content-Length: 99999999999", std::string(8192, 'x'), "/safe/" },
        { "chunked body", chunked, oneChunk, "/safe/" },
        { "body of a call that may run once", chunked, oneChunk, "/pay/" },
        { "body without a length", "X: 1", std::string(8192, 'x'), "/safe/" },
        { "stream with an endless event", chunked, oneChunk, "/once/" },
        { "chunk extension", chunked, "4;" + std::string(8192, 'e'), "/once/" },
    };
    for (const endless_response &kind : kinds) {
        std::atomic<int> notCutOff{ 0 };
        setEngineBehaviour(
                [&](const std::string &, const recorded_request &request, response_socket &socket) {
                    socket.write(kind.begin.empty() ? "HTTP/1.1 200 OK\r\n"
                                                    : responseHead(request, kind.begin));
                    notCutOff += writeUntilClosed(socket, kind.piece, EndlessMs) ? 0 : 1;
                    return false;
                });
        std::vector<std::unique_ptr<test_caller>> callers;
        for (int caller = 0; caller < 20; ++caller) {
            callers.push_back(std::make_unique<test_caller>(router->callerAddress()));
            callers.back()->send(requestWithId(kind.path, "id" + std::to_string(caller)));
        }
        for (auto &caller : callers) {
            const std::string response = caller->readUntil("\r\n\r\n", WaitLimitMs);
            BOOST_TEST(response.rfind("HTTP/1.1 2", 0) != 0U, kind.name << ": " << response);
            BOOST_TEST((!response.empty() || caller->closedByPeer()), kind.name);
        }
        BOOST_TEST(notCutOff == 0, kind.name);
        BOOST_TEST(!router->hasExited(), kind.name);
        BOOST_TEST(router->peakMemoryBytes() < MemoryBytes,
                   kind.name << ": " << router->peakMemoryBytes());
    }
    setEngineBehaviour(nullptr);
    BOOST_TEST(waitForResponse(request("/safe/"), "HTTP/1.1 200"));
}

// Guards against interim responses, or answers to other requests, that are read until the call's
// deadline.
BOOST_FIXTURE_TEST_CASE(responsesBeforeTheAnswerAreCutOff, fixture)
{
    constexpr std::size_t MostBytes = std::size_t(16) * 1024 * 1024; // Socket buffers included.
    const std::string other = "HTTP/1.1 200 OK\r\nX-Burdockhold-Attempt-Id: other\r\n"
                              "X-Burdockhold-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n";
    for (const std::string &response :
         { std::string("HTTP/1.1 100 Continue\r\n\r\n"),
           "HTTP/1.1 102 Processing\r\nX: " + std::string(200, 'x') + "\r\n\r\n", other }) {
        std::string piece;
        while (piece.size() < 8192)
            piece += response;
        for (const std::string path : { "/safe/", "/pay/", "/once/" }) {
            std::atomic<std::size_t> sent{ 0 };
            setEngineBehaviour(
                    [&](const std::string &, const recorded_request &, response_socket &socket) {
                        while (socket.write(piece) && sent < 4 * MostBytes)
                            sent += piece.size();
                        return false;
                    });
            const std::string answer = exchangeRequest(request(path));
            BOOST_TEST(answer.rfind("HTTP/1.1 502", 0) == 0U, path << ": " << answer);
            BOOST_TEST(sent < MostBytes, path << " " << piece.substr(0, 30));
        }
    }
    // A server may send some before its answer.
    setEngineBehaviour(
            [](const std::string &, const recorded_request &call, response_socket &socket) {
                return socket.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
                                    + completeResponse(call, "body"));
            });
    BOOST_TEST(exchangeRequest(request("/pay/")).rfind("HTTP/1.1 200", 0) == 0U);
}

// Guards against a faulty log whose endless responses exhaust the memory.
BOOST_FIXTURE_TEST_CASE(logThatSendsWithoutEndIsCutOff, fixture)
{
    log.setEndlessResponses(true);
    std::this_thread::sleep_for(std::chrono::seconds(6)); // Several reads of each topic.
    BOOST_TEST(!router->hasExited());
    BOOST_TEST(router->peakMemoryBytes() < MemoryBytes / 2);
    log.setEndlessResponses(false);
    BOOST_TEST(waitForResponse(request("/safe/"), "HTTP/1.1 200"));
}

// Guards against a stalled stream that is never ended because single bytes keep arriving: before
// the first event, between events, or in the middle of an event.
BOOST_FIXTURE_TEST_CASE(stalledStreamsEndThoughBytesCome, fixture)
{
    for (const std::string &begin : { std::string(), event(1), event(1) + "id: 2\nda" }) {
        std::atomic<bool> ended{ false };
        setEngineBehaviour(
                [&](const std::string &, const recorded_request &request, response_socket &socket) {
                    socket.write(responseHead(request, "Transfer-Encoding: chunked"));
                    if (!begin.empty())
                        socket.write(chunk(begin));
                    while (!socket.peerClosed(100)) {
                        if (!socket.write(chunk(":")))
                            break;
                    }
                    ended = true;
                    return false;
                });
        std::string slowRequest = request("/slow/");
        const std::string deadlineField = "Deadline-Ms: 3000";
        slowRequest.replace(slowRequest.find(deadlineField), deadlineField.size(),
                            "Deadline-Ms: 20000");
        test_caller caller(router->callerAddress());
        const auto sent = std::chrono::steady_clock::now();
        caller.send(slowRequest);
        const std::string response = caller.readUntil("0\r\n\r\n", 15000);
        const auto elapsed = std::chrono::steady_clock::now() - sent;
        BOOST_TEST((elapsed < std::chrono::seconds(12))); // The route's time limit is 20 s.
        const bool success = response.rfind("HTTP/1.1 200", 0) == 0;
        BOOST_TEST((!success || response.find("0\r\n\r\n") == std::string::npos));
        for (int wait = 0; wait < 100 && !ended; ++wait)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        BOOST_TEST(ended);
    }
}

// Guards against healthy streams that are aborted because they are slow: the gaps between events
// are just below the time after which callers abandon a stream.
BOOST_FIXTURE_TEST_CASE(slowButSoundStreamsAreNotCut, fixture)
{
    setEngineBehaviour(
            [](const std::string &, const recorded_request &request, response_socket &socket) {
                socket.write(responseHead(request, "Transfer-Encoding: chunked"));
                for (int id = 1; id <= 4; ++id) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(1900));
                    socket.write(chunk(event(id)));
                }
                return socket.write("0\r\n\r\n");
            });
    std::string slowRequest = request("/slow/");
    const std::string deadlineField = "Deadline-Ms: 3000";
    slowRequest.replace(slowRequest.find(deadlineField), deadlineField.size(),
                        "Deadline-Ms: 20000");
    test_caller caller(router->callerAddress());
    caller.send(slowRequest);
    const std::string response = caller.readUntil("0\r\n\r\n", 20000);
    for (int id = 1; id <= 4; ++id)
        BOOST_TEST(response.find(event(id)) != std::string::npos);
    BOOST_TEST(response.find("0\r\n\r\n") != std::string::npos);
}

// Guards against calls that keep waiting at a silent endpoint although another endpoint could serve
// them: an idempotent call, and a resumable stream.
BOOST_FIXTURE_TEST_CASE(callsLeaveAnEndpointThatIsSilent, fixture)
{
    setEngineBehaviour(
            [](const std::string &name, const recorded_request &request, response_socket &socket) {
                if (name == "e1") {
                    socket.peerClosed(EndlessMs);
                    return false;
                }
                if (request.target == "/safe/")
                    return socket.write(completeResponse(request, "body"));
                socket.write(responseHead(request, "Transfer-Encoding: chunked"));
                return socket.write(chunk(events(1, 3)) + "0\r\n\r\n");
            });
    // Whichever engine is chosen first, each call ends at the one that responds.
    for (int call = 0; call < 6; ++call) {
        const std::string id = "id" + std::to_string(call);
        const std::string response = exchangeRequest(requestWithId("/safe/", id));
        BOOST_TEST(response.rfind("HTTP/1.1 200", 0) == 0U, id << ": " << response);
        test_caller caller(router->callerAddress());
        caller.send(requestWithId("/resume/", id + "r"));
        BOOST_TEST(caller.readUntil("0\r\n\r\n", WaitLimitMs).find(event(3)) != std::string::npos);
    }
}

// Guards against the delivery of a response without an attempt id on a reused connection: it may be
// a late response to an earlier request.
BOOST_FIXTURE_TEST_CASE(answerWithoutAnIdIsNotDeliveredOnAReusedConnection, fixture)
{
    std::atomic<int> onReusedConnection{ 0 };
    setEngineBehaviour(
            [&](const std::string &, const recorded_request &request, response_socket &socket) {
                if (request.isFirstOnConnection)
                    return socket.write(completeResponse(request, "body"));
                ++onReusedConnection;
                return socket.write("HTTP/1.1 500 X\r\nX-Burdockhold-Server-Stamp: s9\r\n"
                                    "Content-Length: 5\r\n\r\nother");
            });
    test_caller caller(router->callerAddress());
    for (int call = 0; call < 8; ++call) {
        const std::string response = exchangeRequest(
                requestWithId("/safe/", "id" + std::to_string(call)));
        BOOST_TEST(response.rfind("HTTP/1.1 200", 0) == 0U, response);
    }
    BOOST_TEST(onReusedConnection > 0);
}

// Guards against requests that are lost in a planned stop: callers keep sending requests on new
// connections until the load balancer stops routing them to the VM, two seconds after the notice.
BOOST_FIXTURE_TEST_CASE(requestsAfterTheNoticeToStopAreServed, fixture)
{
    setEngineBehaviour(
            [](const std::string &, const recorded_request &request, response_socket &socket) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                return socket.write(completeResponse(request, "body"));
            });
    std::atomic<int> served{ 0 };
    std::atomic<int> lost{ 0 };
    const auto begin = std::chrono::steady_clock::now();
    const auto isOver = [begin] {
        return std::chrono::steady_clock::now() - begin > std::chrono::milliseconds(2500);
    };
    constexpr int Threads = 4;
    std::vector<std::thread> threads;
    threads.reserve(Threads);
    for (int thread = 0; thread < Threads; ++thread) {
        threads.emplace_back([&, thread] {
            for (int call = 0; !isOver(); ++call) {
                const std::string id = std::to_string(thread) + "-" + std::to_string(call);
                const std::string response = exchangeRequest(requestWithId("/safe/", id));
                ++(response.rfind("HTTP/1.1 200", 0) == 0 ? served : lost);
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    router->terminate();
    for (std::thread &thread : threads)
        thread.join();
    BOOST_TEST(lost == 0);
    BOOST_TEST(served > 20);
}

// Guards against a malformed message that terminates the process: requests, responses and datagrams
// are mutated at random with a fixed seed.
BOOST_FIXTURE_TEST_CASE(malformedMessagesDoNotEndTheProcess, fixture)
{
    std::mt19937 random(3);
    for (int round = 0; round < 200; ++round) {
        test_caller caller(router->callerAddress());
        caller.send(mutated(request("/safe/", "key-1", "X-Burdockhold-Token-Count: 5,6\r\n", "b"),
                            random));
        caller.readUntil("\r\n\r\n", 5);
    }
    std::mutex randomMutex;
    setEngineBehaviour(
            [&](const std::string &, const recorded_request &request, response_socket &socket) {
                const std::lock_guard lock(randomMutex);
                socket.write(mutated(completeResponse(request, "body"), random));
                return false;
            });
    for (int round = 0; round < 100; ++round)
        exchangeBytes(router->callerAddress(), requestWithId("/pay/", std::to_string(round)), 200);
    setEngineBehaviour(nullptr);

    vm_digest digest;
    digest.vm = "vm-2";
    digest.incarnation = 1;
    digest.dataCentre = "dc1";
    digest.accounts = { { shortHash("acct"), 10, 20 } };
    digest.endpoints = { { shortHash("e1"), 1, 2, 3, 4, 5, 6 } };
    digest.announcedVersions = { { shortHash("m"), 1, 5, false } };
    digest.storedSegments = { 1, 2, 3 };
    digest.crashes = { { 7, { { 1, 20 }, { 2, 30 } }, 40, 50 } };
    digest.rollouts = { { shortHash("desk"), shortHash("v2"), 2, 100, true } };
    digest.rolloutEvidence = { { shortHash("desk"), shortHash("v2"), 3, 9, 1, 8, 2, 90, 1, 80,
                                 2 } };
    boost::asio::io_context io;
    boost::asio::ip::udp::socket socket(io, boost::asio::ip::udp::v4());
    const boost::asio::ip::udp::endpoint target(boost::asio::ip::make_address("127.0.0.1"),
                                                static_cast<unsigned short>(router->peerPort()));
    for (int round = 0; round < 3000; ++round) {
        digest.number = static_cast<std::uint64_t>(round);
        digest.aggregator = round % 2 == 0 ? "" : "127.0.0.1:9";
        socket.send_to(boost::asio::buffer(mutated(encodeDigest(digest), random)), target);
    }
    BOOST_TEST(!router->hasExited());
    BOOST_TEST(waitForResponse(request("/safe/"), "HTTP/1.1 200"));
}

// Guards against a key that was revoked, or an endpoint that departed, while the router was down
// and that is used again after its restart, also if the log is unavailable at the restart.
BOOST_FIXTURE_TEST_CASE(restartedRouterUsesNothingOfBefore, fixture)
{
    BOOST_TEST(exchangeRequest(request("/safe/", "key-1")).rfind("HTTP/1.1 200", 0) == 0U);
    router.reset();
    log.setUnavailable(true);
    putDeployment(2, { "key-2" });
    log.remove("keyed.servers", "e1");
    router = std::make_unique<router_process>(log.address());
    BOOST_TEST(waitForResponse(request("/safe/", "key-1"), "HTTP/1.1 503"));
    const std::size_t before = callCount();
    for (int call = 0; call < 5; ++call)
        BOOST_TEST(exchangeRequest(request("/safe/", "key-2")).rfind("HTTP/1.1 503", 0) == 0U);
    BOOST_TEST(callCount() == before);
    log.setUnavailable(false);
    BOOST_TEST(router->waitReady(true));
    BOOST_TEST(exchangeRequest(request("/safe/", "key-1")).rfind("HTTP/1.1 401", 0) == 0U);
    for (int call = 0; call < 10; ++call)
        BOOST_TEST(exchangeRequest(request("/safe/", "key-2")).rfind("HTTP/1.1 200", 0) == 0U);
    const std::lock_guard lock(mutex);
    for (std::size_t call = before; call < engines.size(); ++call)
        BOOST_TEST(engines[call] == "e2");
}

// Guards against an unexpected exception in one handler that terminates the process with all its
// streams.
BOOST_AUTO_TEST_CASE(exceptionEndsItsHandlerOnly)
{
    boost::asio::io_context io;
    int ran = 0;
    std::vector<std::string> reports;
    boost::asio::post(io, [&] { ++ran; });
    boost::asio::post(io, [] { throw std::runtime_error("first"); });
    boost::asio::post(io, [&] { ++ran; });
    boost::asio::post(io, [] { throw 7; });
    boost::asio::post(io, [&] { ++ran; });
    runGuarded(io, [&](const std::string &text) { reports.push_back(text); });
    BOOST_TEST(ran == 3);
    BOOST_REQUIRE(reports.size() == 2U);
    BOOST_TEST(reports[0] == "first");
}
