#define BOOST_TEST_MODULE resumed_streams
#include "testing/support_continuations.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

// Streams that break off after some events and are resumed at an engine that does not complete
// them.

using namespace burdockhold::testing;

namespace {

struct resumed_fixture : router_fixture
{
    resumed_fixture()
        : m_third([this](const recorded_request &r, response_socket &s) {
            return engine("e3", r, s);
        })
    {
        log.put("keyed.servers", "e3", endpointRecord(m_third.address(), "ready"));
    }

    /// Calls a resumable route. The engines that are called one after the other send the responses.
    received_stream call(const std::string &path, const std::vector<engine_response> &responses,
                         const std::string &callerFields = {})
    {
        const std::size_t before = callCount();
        setEngineBehaviour(
                [=](const std::string &, const recorded_request &request, response_socket &socket) {
                    const std::size_t number = callCount() - before;
                    if (number <= responses.size())
                        respond(responses[number - 1], request, socket);
                    return false;
                });
        std::string bytes = request(path, "key-1", callerFields);
        bytes.replace(bytes.find("id1"), 3, "id" + std::to_string(++m_number));
        test_caller caller(router->callerAddress());
        caller.send(bytes);
        received_stream stream = decodeStream(caller.readUntil(LastChunk, WaitLimitMs));
        closed = caller.closedByPeer();
        const std::lock_guard lock(mutex);
        resumedAfter.clear();
        for (std::size_t index = before; index < calls.size(); ++index)
            resumedAfter.push_back(calls[index].field("Last-Event-Id"));
        return stream;
    }

    bool closed = false; ///< The router has closed the connection of the last request.
    /// Last-Event-Id of each call of the last request.
    std::vector<std::string> resumedAfter;

private:
    int m_number = 0;
    fake_server m_third;
};

/// Gives each case a router that has not seen many failures of its engines: after some, it stops
/// calling them.
class fresh_fixtures
{
public:
    resumed_fixture &next()
    {
        constexpr std::size_t CasesPerRouter = 6;
        if (m_cases++ % CasesPerRouter == 0)
            m_fixture = std::make_unique<resumed_fixture>();
        return *m_fixture;
    }

private:
    std::size_t m_cases = 0;
    std::unique_ptr<resumed_fixture> m_fixture;
};

std::string withCrLf(const std::string &text)
{
    std::string out;
    for (const char byte : text)
        out += byte == '\n' ? std::string("\r\n") : std::string(1, byte);
    return out;
}

/// Checks that the caller gets the events 1 to 3, nothing else, and no last chunk.
void checkIncomplete(resumed_fixture &fixture, const engine_response &first,
                     const engine_response &next)
{
    const received_stream stream = fixture.call("/resume/", { first, next });
    const std::string name = first.name + ", then " + next.name;
    BOOST_TEST(stream.head.rfind("HTTP/1.1 200", 0) == 0U, name);
    BOOST_TEST(stream.body == events(1, 3), name << ": " << stream.body);
    BOOST_TEST(!stream.complete, name);
    BOOST_TEST(fixture.closed, name);
    BOOST_TEST(fixture.resumedAfter.size() == 2U, name);
}

/// Checks that the caller gets a complete stream from a third engine after the two responses.
void checkResumedElsewhere(resumed_fixture &fixture, const engine_response &first,
                           const engine_response &next)
{
    const engine_response rest{
        "rest", eventStream + chunked, chunk(events(4, 6)) + LastChunk, {}
    };
    const received_stream stream = fixture.call("/resume3/", { first, next, rest });
    BOOST_TEST(stream.body == events(1, 6), next.name << ": " << stream.body);
    BOOST_TEST(stream.complete, next.name);
    const std::vector<std::string> expected{ "", "3", "3" };
    BOOST_TEST(fixture.resumedAfter == expected, boost::test_tools::per_element());
}

} // namespace

// Guards against a stream that ends as complete because the engine asked to continue it failed.
BOOST_AUTO_TEST_CASE(streamWhoseContinuationFailsDoesNotEndAsComplete)
{
    const auto broken = brokenStreams();
    const auto continuations = uselessContinuations();
    fresh_fixtures fixtures;
    for (const engine_response &next : continuations)
        checkIncomplete(fixtures.next(), broken.front(), next);
    for (const engine_response &first : broken) {
        checkIncomplete(fixtures.next(), first, continuations.front());
        checkIncomplete(fixtures.next(), first, continuations.back());
    }
}

// Guards against a stream that is cut off although a third engine could complete it.
BOOST_AUTO_TEST_CASE(failedContinuationIsResumedAtAThirdEngine)
{
    fresh_fixtures fixtures;
    for (const engine_response &next : uselessContinuations())
        checkResumedElsewhere(fixtures.next(), brokenStreams().front(), next);
}

// Guards against bytes of another response in a stream, and against a stream with a gap: the engine
// asked to continue it sends events that do not follow the last one.
BOOST_AUTO_TEST_CASE(continuationThatDoesNotFollowIsNotRelayed)
{
    fresh_fixtures fixtures;
    for (const engine_response &next : continuationsOfOtherStreams()) {
        checkIncomplete(fixtures.next(), brokenStreams().front(), next);
        checkResumedElsewhere(fixtures.next(), brokenStreams().front(), next);
    }
}

// Guards against keep-alive comments before the first event of a continuation that end the stream.
BOOST_FIXTURE_TEST_CASE(commentsBeforeAContinuationAreAllowed, resumed_fixture)
{
    const engine_response rest{
        "rest", eventStream + chunked, chunk(": ping\n\n" + events(3, 6)) + LastChunk, {}
    };
    const received_stream stream = call("/resume/", { brokenStreams().front(), rest });
    BOOST_TEST(stream.body == events(1, 6), stream.body);
    BOOST_TEST(stream.complete);
}

// Guards against a stream without ids that starts again from its first event at another engine.
BOOST_FIXTURE_TEST_CASE(streamWithoutIdsIsNotResumed, resumed_fixture)
{
    const std::string text = "data: a\n\ndata: b\n\n";
    const engine_response broken{ "broken", eventStream + chunked, chunk(text), {} };
    const engine_response whole{ "whole", eventStream + chunked, chunk(text) + LastChunk, {} };
    const received_stream stream = call("/resume/", { broken, whole });
    BOOST_TEST(stream.body == text, stream.body);
    BOOST_TEST(!stream.complete);
    BOOST_TEST(closed);
    BOOST_TEST(resumedAfter.size() == 1U);
}

// Guards against log lines that do not tell how a resumed stream ended.
BOOST_FIXTURE_TEST_CASE(logStatesHowAResumedStreamEnded, resumed_fixture)
{
    const engine_response empty{ "empty", eventStream + lengthOf({}), {}, {} };
    call("/resume/", { brokenStreams().front(), empty });
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(8);
    const std::string ended = "\"reason\":\"stream_cut_off\"";
    while (router->logText().find(ended) == std::string::npos
           && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    const std::string text = router->logText();
    BOOST_TEST(text.find(ended) != std::string::npos);
    BOOST_TEST(text.find("\"end\":\"nothing_added\",\"status\":200") != std::string::npos);
    BOOST_TEST(text.find("\"last_call_events\":0,\"resumes\":1,\"framing\":\"length\"")
               != std::string::npos);
}

// Guards against an event that comes twice when a caller resumes its stream by itself.
BOOST_FIXTURE_TEST_CASE(callerThatResumesGetsNoEventTwice, resumed_fixture)
{
    const engine_response rest{
        "rest", eventStream + chunked, chunk(events(3, 6)) + LastChunk, {}
    };
    const received_stream stream = call("/resume/", { rest }, "Last-Event-Id: 3\r\n");
    BOOST_TEST(stream.body == events(4, 6), stream.body);
    BOOST_TEST(stream.complete);
    BOOST_REQUIRE(resumedAfter.size() == 1U);
    BOOST_TEST(resumedAfter[0] == "3");
}

// Guards against events that are lost because what makes the stream fail arrives together with
// them: the caller got the rest of the stream, framed as complete.
BOOST_AUTO_TEST_CASE(eventsThatArriveWithAFailureAreDelivered)
{
    const std::string failures[] = { "id: 2\ndata: again\n\n", std::string(200000, 'x') };
    for (const std::string &failure : failures) {
        resumed_fixture fixture;
        const engine_response first{
            "failure", eventStream + chunked, chunk(events(1, 3) + failure), {}
        };
        const engine_response rest{
            "rest", eventStream + chunked, chunk(events(4, 6)) + LastChunk, {}
        };
        const received_stream stream = fixture.call("/resume3/", { first, rest });
        BOOST_TEST(stream.body == events(1, 6), stream.body);
        BOOST_TEST(stream.complete);
    }
}

// Guards against the beginning of an event that is relayed as an event, since the engine ended its
// response inside a chunk and the framing reads as the rest of the event.
BOOST_AUTO_TEST_CASE(eventCutInsideItsChunkIsNotRelayed)
{
    const std::vector<std::string> framings{ LastChunk, "0\r\nX-A: b\r\n\r\n" };
    const std::string three = withCrLf(events(1, 3));
    const engine_response rest{
        "rest", eventStream + chunked, chunk(withCrLf(events(4, 6))) + LastChunk, {}
    };
    for (const std::string cut : { "id: 4\r\ndata: 4", "id: 4\r\ndata:", "id: 4\r\nda", "i" }) {
        for (const std::string &framing : framings) {
            resumed_fixture fixture;
            const engine_response first{ "cut", eventStream + chunked, chunk(three),
                                         "40\r\n" + cut + framing };
            const received_stream stream = fixture.call("/resume/", { first, rest });
            BOOST_TEST(stream.body == withCrLf(events(1, 6)), cut << ": " << stream.body);
            BOOST_TEST(stream.complete, cut);
            const std::vector<std::string> expected{ "", "3" };
            BOOST_TEST(fixture.resumedAfter == expected, boost::test_tools::per_element());
        }
    }
}

// Guards against an empty continuation that completes a stream whose first event had begun.
BOOST_FIXTURE_TEST_CASE(emptyContinuationDoesNotCompleteABegunEvent, resumed_fixture)
{
    const engine_response cut{ "cut", eventStream + chunked, "40\r\nid: 1\r\nda", LastChunk };
    const engine_response empty{ "empty", eventStream + chunked, LastChunk, {} };
    const received_stream stream = call("/resume/", { cut, empty });
    BOOST_TEST(!stream.complete);
}

// Guards against an error whose body breaks off that counts as the beginning of an event, so that
// the next engine's empty response does not complete the stream.
BOOST_FIXTURE_TEST_CASE(errorCutInsideAChunkBeginsNoEvent, resumed_fixture)
{
    const engine_response error{ "error", chunked, "40\r\nerror: the", {}, false, "500 X" };
    const engine_response empty{ "empty", eventStream + chunked, LastChunk, {} };
    const received_stream stream = call("/resume/", { error, empty });
    BOOST_TEST(stream.head.rfind("HTTP/1.1 200", 0) == 0U, stream.head);
    BOOST_TEST(resumedAfter.size() == 2U);
}
