#define BOOST_TEST_MODULE resumed_streams
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

// Streams that break off after some events and are resumed at an engine that does not complete
// them.

using namespace burdockhold::testing;

namespace {

/// Bytes of an engine's response, and whether the connection is reset after them.
struct engine_response
{
    std::string name;
    std::string fields; ///< Header fields, each with its line end, the framing included.
    std::string body;
    std::string end; ///< Sent after a pause, so that the body has been read before it.
    bool reset = false;
    std::string status = "200 OK";
    bool silent = false; ///< Sends nothing more and waits until the router has left.
};

const std::string eventStream = "Content-Type: text/event-stream\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";

std::string lengthOf(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

/// Returns responses that deliver the events 1 to 3 and break off.
std::vector<engine_response> brokenStreams()
{
    const std::string three = events(1, 3);
    const std::string unfinished = "id: 4\nda";
    const std::string aLength = eventStream + "Content-Length: 1000\r\n";
    return {
        { "chunked, closed", eventStream + chunked, chunk(three), {} },
        { "chunked, silent", eventStream + chunked, chunk(three), {}, false, "200 OK", true },
        { "chunked, reset", eventStream + chunked, chunk(three), {}, true },
        { "chunked, inside a chunk", eventStream + chunked, chunk(three), "20\r\n" + unfinished },
        { "chunked, malformed size", eventStream + chunked, chunk(three), "zz\r\n" },
        { "chunked, second head", eventStream + chunked, chunk(three),
          "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n" },
        { "chunked, half of the last chunk", eventStream + chunked, chunk(three), "0\r\n" },
        { "chunked, complete inside an event", eventStream + chunked, chunk(three),
          chunk(unfinished) + LastChunk },
        { "length, closed", aLength, three, {} },
        { "length, reset", aLength, three, {}, true },
        { "no length, closed inside an event", eventStream, three, unfinished },
        { "no length, reset", eventStream, three, {}, true },
    };
}

/// Returns responses that do not complete a stream which they are asked to continue.
std::vector<engine_response> uselessContinuations()
{
    std::vector<engine_response> responses;
    const std::string text = "error: the engine failed\n\n";
    for (const std::string status :
         { "404 Not Found", "400 Bad", "500 X", "502 X", "504 X", "301 X" }) {
        responses.push_back({ status + " with a length", lengthOf(text), text, {}, false, status });
        responses.push_back(
                { status + " in chunks", chunked, chunk(text) + LastChunk, {}, false, status });
        responses.push_back(
                { status + " without a length", "Connection: close\r\n", text, {}, false, status });
    }
    responses.push_back({ "empty with a length", eventStream + lengthOf({}), {}, {} });
    responses.push_back({ "empty in chunks", eventStream + chunked, LastChunk, {} });
    responses.push_back(
            { "empty without a length", eventStream + "Connection: close\r\n", {}, {} });
    responses.push_back({ "204", {}, {}, {}, false, "204 X" });
    return responses;
}

void respond(const engine_response &response, const recorded_request &request,
             response_socket &socket)
{
    socket.write("HTTP/1.1 " + response.status
                 + "\r\nX-Burdockhold-Attempt-Id: " + request.field("X-Burdockhold-Attempt-Id")
                 + "\r\nX-Burdockhold-Server-Stamp: s1\r\n" + response.fields + "\r\n"
                 + response.body);
    if (response.reset || !response.end.empty())
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
    if (response.silent)
        socket.peerClosed(WaitLimitMs);
    socket.write(response.end);
    if (response.reset)
        socket.reset();
}

struct resumed_fixture : router_fixture
{
    /// Calls a resumable route whose first engine breaks off and whose next one continues badly.
    received_stream call(const engine_response &broken, const engine_response &continuation)
    {
        const std::size_t before = callCount();
        setEngineBehaviour(
                [=](const std::string &, const recorded_request &request, response_socket &socket) {
                    respond(callCount() == before + 1 ? broken : continuation, request, socket);
                    return false;
                });
        std::string bytes = request("/resume/");
        bytes.replace(bytes.find("id1"), 3, "id" + std::to_string(++m_number));
        test_caller caller(router->callerAddress());
        caller.send(bytes);
        received_stream stream = decodeStream(caller.readUntil(LastChunk, WaitLimitMs));
        calls = callCount() - before;
        return stream;
    }

    std::size_t calls = 0; ///< Of the last request.

private:
    int m_number = 0;
};

} // namespace

// Guards against a stream that ends as complete because the engine asked to continue it failed.
BOOST_AUTO_TEST_CASE(streamWhoseContinuationFailsDoesNotEndAsComplete)
{
    const auto broken = brokenStreams();
    const auto continuations = uselessContinuations();
    const auto check = [](resumed_fixture &fixture, const engine_response &first,
                          const engine_response &next) {
        const received_stream stream = fixture.call(first, next);
        const std::string name = first.name + ", then " + next.name;
        BOOST_TEST(stream.head.rfind("HTTP/1.1 200", 0) == 0U, name);
        BOOST_TEST(stream.body == events(1, 3), name << ": " << stream.body);
        BOOST_TEST(!stream.complete, name);
        BOOST_TEST(fixture.calls == 2U, name << ": " << fixture.calls << " calls");
    };
    // A router that has seen more failures of its engines than these stops calling them.
    constexpr std::size_t CasesPerRouter = 8;
    std::unique_ptr<resumed_fixture> fixture;
    std::size_t cases = 0;
    const auto freshFixture = [&]() -> resumed_fixture & {
        if (cases++ % CasesPerRouter == 0)
            fixture = std::make_unique<resumed_fixture>();
        return *fixture;
    };
    for (const engine_response &next : continuations)
        check(freshFixture(), broken.front(), next);
    for (const engine_response &first : broken) {
        check(freshFixture(), first, continuations.front());
        check(freshFixture(), first, continuations.back());
    }
}
