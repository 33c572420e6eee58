#define BOOST_TEST_MODULE stream_framing
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

// A short stream that its engine ends at each byte, in each framing, by a close and by a reset.

using namespace burdockhold::testing;

namespace {

constexpr int Events = 2;

struct framing
{
    std::string name;
    std::string fields;
    std::string body;
    bool statesItsEnd = true; ///< By a length or a last chunk.
};

std::vector<framing> framings()
{
    const std::string text = events(1, Events);
    return {
        { "chunked", "Transfer-Encoding: chunked", chunk(event(1)) + chunk(event(2)) + LastChunk },
        { "length", "Content-Length: " + std::to_string(text.size()), text },
        { "neither", "Connection: close", text, false },
    };
}

/// How the engine ends a response.
struct ending
{
    framing response;
    std::size_t bytes; ///< Of the body that it sends.
    bool reset;

    std::string name() const
    {
        return response.name + (reset ? ", reset" : ", closed") + " after " + std::to_string(bytes)
               + " bytes";
    }

    int wholeEvents() const
    {
        const std::string sent = response.body.substr(0, bytes);
        int count = 0;
        while (count < Events && sent.find(event(count + 1)) != std::string::npos)
            ++count;
        return count;
    }

    /// Returns whether the response is complete by the protocol.
    bool isComplete() const
    {
        if (response.statesItsEnd)
            return bytes == response.body.size();
        return !reset && bytes % event(1).size() == 0;
    }
};

struct framing_fixture : router_fixture
{
    framing_fixture() { beSound(); }

    void beSound() { setEngineBehaviour(continueProperly); }

    static bool continueProperly(const std::string & /*engine*/, const recorded_request &request,
                                 response_socket &socket)
    {
        const std::string last = request.field("Last-Event-Id");
        const std::string rest = events(last.empty() ? 1 : std::stoi(last) + 1, Events);
        return socket.write(
                responseHead(request,
                             "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream")
                + (rest.empty() ? rest : chunk(rest)) + LastChunk);
    }

    std::string nextRequest(const std::string &path)
    {
        std::string bytes = request(path, "key-1", "Connection: close\r\n");
        bytes.replace(bytes.find("id1"), 3, "id" + std::to_string(++m_number));
        return bytes;
    }

    /// Calls the route, whose first engine ends its response so and whose next one continues it.
    received_stream call(const std::string &path, const ending &end)
    {
        const std::size_t before = callCount();
        setEngineBehaviour([=](const std::string &engine, const recorded_request &request,
                               response_socket &socket) {
            if (callCount() > before + 1)
                return continueProperly(engine, request, socket);
            socket.write(responseHead(request,
                                      "Content-Type: text/event-stream\r\n" + end.response.fields)
                         + end.response.body.substr(0, end.bytes));
            if (end.reset)
                socket.reset();
            return false;
        });
        test_caller caller(router->callerAddress());
        caller.send(nextRequest(path));
        received_stream stream = decodeStream(caller.readUntil(LastChunk, WaitLimitMs));
        beSound();
        // So that the engines stay in use and the retry budget allows each continuation.
        constexpr int SoundRequests = 7;
        for (int number = 0; number < SoundRequests; ++number)
            BOOST_TEST(exchangeRequest(nextRequest("/resume/")).rfind("HTTP/1.1 200", 0) == 0U);
        return stream;
    }

    /// Calls check for each byte of each framing and both ends.
    void forEachEnding(const std::function<void(const ending &)> &check)
    {
        for (const framing &response : framings()) {
            for (std::size_t bytes = 0; bytes <= response.body.size(); ++bytes) {
                check({ response, bytes, false });
                check({ response, bytes, true });
            }
        }
    }

private:
    int m_number = 0;
};

} // namespace

// Guards against a stream that ends as complete, loses or repeats events where its engine broke
// off.
BOOST_FIXTURE_TEST_CASE(streamThatCannotResumeEndsAsCompleteOnlyByItsFraming, framing_fixture)
{
    forEachEnding([this](const ending &end) {
        const received_stream stream = call("/once/", end);
        const bool begun = end.wholeEvents() > 0;
        BOOST_TEST(stream.body == events(1, end.wholeEvents()), end.name() << ": " << stream.body);
        BOOST_TEST(stream.complete == (begun && end.isComplete()), end.name());
        const bool success = begun || end.isComplete();
        BOOST_TEST(stream.head.rfind(success ? "HTTP/1.1 200" : "HTTP/1.1 502", 0) == 0U,
                   end.name() << ": " << stream.head);
    });
}

// Guards against a resumed stream that lacks or repeats events, or ends as complete without them.
BOOST_FIXTURE_TEST_CASE(resumedStreamHasEachEventOnceWhereverItBrokeOff, framing_fixture)
{
    forEachEnding([this](const ending &end) {
        const received_stream stream = call("/resume/", end);
        const int expected = end.isComplete() ? end.wholeEvents() : Events;
        BOOST_TEST(stream.body == events(1, expected), end.name() << ": " << stream.body);
        BOOST_TEST(stream.head.rfind("HTTP/1.1 200", 0) == 0U, end.name() << ": " << stream.head);
        // The continuation of a stream with all events has none, as that of an engine that fails.
        const bool hadAll = end.wholeEvents() == Events;
        BOOST_TEST(stream.complete == (expected > 0 && (end.isComplete() || !hadAll)), end.name());
    });
}

// Guards against chunked coding that a caller with HTTP/1.0 cannot read, and against an incomplete
// stream whose orderly close looks complete to it.
BOOST_FIXTURE_TEST_CASE(callerWithoutChunksSeesWhetherItsStreamIsComplete, framing_fixture)
{
    for (const bool complete : { true, false }) {
        setEngineBehaviour([complete](const std::string & /*engine*/,
                                      const recorded_request &request, response_socket &socket) {
            socket.write(
                    responseHead(request,
                                 "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked")
                    + chunk(events(1, Events)) + (complete ? LastChunk : ""));
            return complete;
        });
        std::string bytes = nextRequest("/once/");
        bytes.replace(bytes.find("HTTP/1.1"), 8, "HTTP/1.0");
        test_caller caller(router->callerAddress());
        caller.send(bytes);
        const std::string response = caller.readUntil("never sent", WaitLimitMs);
        BOOST_TEST(response.find("chunked") == std::string::npos, response);
        BOOST_TEST(response.find("Connection: close\r\n") != std::string::npos, response);
        BOOST_TEST(caller.closedByPeer());
        BOOST_TEST(caller.resetByPeer() == !complete);
        if (complete)
            BOOST_TEST(response.substr(response.find("\r\n\r\n") + 4) == events(1, Events));
    }
}

// Guards against a stop whose orderly close, at the end of the grace period, completes a running
// response for a caller without chunks.
BOOST_FIXTURE_TEST_CASE(endOfTheGracePeriodResetsACallerWithoutChunks, framing_fixture)
{
    setEngineBehaviour([](const std::string & /*engine*/, const recorded_request &request,
                          response_socket &socket) {
        socket.write(responseHead(request,
                                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"));
        for (int id = 1; socket.write(chunk(event(id))); ++id)
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        return false;
    });
    std::string bytes = nextRequest("/slow/");
    bytes.replace(bytes.find("HTTP/1.1"), 8, "HTTP/1.0");
    bytes.replace(bytes.find("Deadline-Ms: 3000"), 17, "Deadline-Ms: 20000");
    test_caller caller(router->callerAddress());
    caller.send(bytes);
    caller.readUntil(event(1), WaitLimitMs);
    router->terminate();
    constexpr int GraceMs = 8000;
    caller.readUntil("never sent", GraceMs + WaitLimitMs);
    BOOST_TEST(caller.resetByPeer());
}
