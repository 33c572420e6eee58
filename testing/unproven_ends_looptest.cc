#define BOOST_TEST_MODULE unproven_ends
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

// Streams and errors whose end an engine's last answer alone does not prove.

using namespace burdockhold::testing;

namespace {

/// What an engine answers to one call. Without a last chunk the connection breaks off.
struct engine_answer
{
    std::string fields;
    std::string body;
    std::string status = "200 OK";
};

engine_answer chunked(const std::string &text, bool whole = true,
                      const std::string &type = "text/event-stream")
{
    const std::string body = text.empty() ? text : chunk(text);
    return { "Content-Type: " + type + "\r\nTransfer-Encoding: chunked",
             body + (whole ? LastChunk : "") };
}

struct answers_fixture : router_fixture
{
    answers_fixture()
        : m_third([this](const recorded_request &r, response_socket &s) {
            return engine("e3", r, s);
        })
    {
        log.put("keyed.servers", "e3", endpointRecord(m_third.address(), "ready"));
        constexpr int PollMs = 10;
        for (int wait = 0; wait < WaitLimitMs / PollMs && !knowsThird(); ++wait)
            std::this_thread::sleep_for(std::chrono::milliseconds(PollMs));
        BOOST_REQUIRE(knowsThird());
    }

    bool knowsThird() const
    {
        return router->logText().find("\"endpoint\":\"e3\"") != std::string::npos;
    }

    /// Calls the route; the engines give these answers, one for each call.
    received_stream call(const std::string &path, const std::vector<engine_answer> &answers,
                         const std::string &extraFields = {})
    {
        const std::size_t before = callCount();
        setEngineBehaviour([this, answers, before](const std::string & /*engine*/,
                                                   const recorded_request &request,
                                                   response_socket &socket) {
            const std::size_t number = callCount() - before - 1;
            if (number >= answers.size())
                return false;
            const engine_answer &answer = answers[number];
            std::string head = responseHead(request, answer.fields);
            head.replace(head.find("200 OK"), 6, answer.status);
            socket.write(head + answer.body);
            return answer.body.find(LastChunk) != std::string::npos;
        });
        std::string bytes = request(path, "key-1", extraFields + "Connection: close\r\n");
        bytes.replace(bytes.find("id1"), 3, "id" + std::to_string(++m_number));
        test_caller caller(router->callerAddress());
        caller.send(bytes);
        return decodeStream(caller.readUntil(LastChunk, WaitLimitMs));
    }

    static bool succeeded(const received_stream &stream)
    {
        return stream.head.rfind("HTTP/1.1 200", 0) == 0;
    }

private:
    int m_number = 0;
    fake_server m_third;
};

} // namespace

// Guards against a stream that counts as complete without an event that an engine had begun.
BOOST_FIXTURE_TEST_CASE(streamWithoutABegunEventIsNotComplete, answers_fixture)
{
    const engine_answer begun = chunked("id: 1\nda", false);
    for (const engine_answer &empty :
         { chunked(""), chunked(": ping\n\n"), chunked("\n\n"), chunked(events(3, 5)) }) {
        const received_stream stream = call("/resume/", { begun, empty });
        BOOST_TEST(!stream.complete, stream.head << stream.body);
        BOOST_TEST(!succeeded(stream), stream.head);
    }
}

// Guards against an engine that is not asked after one that adds nothing to a begun event.
BOOST_FIXTURE_TEST_CASE(emptyAnswerAfterABegunEventIsContinuedElsewhere, answers_fixture)
{
    const received_stream stream = call(
            "/resume3/", { chunked("id: 1\nda", false), chunked(""), chunked(events(1, 3)) });
    BOOST_TEST(stream.complete);
    BOOST_TEST(stream.body == events(1, 3));
}

// Guards against a stream that is cut off because it began with a comment.
BOOST_FIXTURE_TEST_CASE(streamThatBeganWithACommentIsResumed, answers_fixture)
{
    for (const std::string comment : { ": ok\n\n", "\n\n" }) {
        const received_stream stream = call("/resume/",
                                            { chunked(comment, false), chunked(events(1, 3)) });
        BOOST_TEST(stream.complete);
        BOOST_TEST(stream.body == comment + events(1, 3));
    }
}

// Guards against an engine's text that is joined to a stream which it does not belong to.
BOOST_FIXTURE_TEST_CASE(textThatDoesNotFollowIsNotRelayed, answers_fixture)
{
    const received_stream resumed = call("/resume/", { chunked("data: error\n\n") },
                                         "Last-Event-Id: 3\r\n");
    BOOST_TEST(!succeeded(resumed), resumed.head << resumed.body);
    const engine_answer text = chunked(events(1, 1), false, "text/plain");
    const engine_answer json = chunked("id: 2\n{\"error\":1}\n\n", true, "application/json");
    const received_stream joined = call("/resume/", { text, json });
    BOOST_TEST(joined.body == events(1, 1));
    BOOST_TEST(!joined.complete);
    const received_stream backwards = call("/once/", { chunked(events(1, 2) + event(1)) });
    BOOST_TEST(backwards.body.find(event(1), 1) == std::string::npos);
    BOOST_TEST(!backwards.complete, backwards.head << backwards.body);
}

// Guards against a transfer coding that is relayed as text.
BOOST_FIXTURE_TEST_CASE(unknownTransferCodingIsNoAnswer, answers_fixture)
{
    for (const std::string coding : { "chunked, gzip", "gzip", "chunked, identity" }) {
        const received_stream stream = call(
                "/once/", { { "Content-Type: text/event-stream\r\nTransfer-Encoding: " + coding,
                              chunk(events(1, 2)) } });
        BOOST_TEST(stream.head.rfind("HTTP/1.1 502", 0) == 0U, coding << ": " << stream.head);
        BOOST_TEST(stream.body.empty());
    }
}

// Guards against an engine's error that tells the caller "not run, try again" although the engine
// did not say so and may have run the request.
BOOST_FIXTURE_TEST_CASE(errorThatPromisesNotRunIsAnsweredAsUnknown, answers_fixture)
{
    for (const std::string path : { "/pay/", "/once/" }) {
        for (const std::string status : { "503 X", "429 X", "408 X" }) {
            const received_stream stream = call(path, { { "Content-Length: 1", "x", status } });
            BOOST_TEST(stream.head.rfind("HTTP/1.1 502", 0) == 0U, path << status << stream.head);
            BOOST_TEST(stream.head.find("Server-Stamp") == std::string::npos, stream.head);
        }
        const received_stream failed = call(path, { { "Content-Length: 1", "x", "500 X" } });
        BOOST_TEST(failed.head.rfind("HTTP/1.1 500", 0) == 0U, failed.head);
    }
}

// Guards against memory without bound for a caller that does not read, and against taking the
// engine that is not read meanwhile for a silent one.
BOOST_FIXTURE_TEST_CASE(callerThatDoesNotReadCostsBoundedMemory, answers_fixture)
{
    const std::string data(std::size_t(32) * 1024, 'x');
    setEngineBehaviour([&data](const std::string & /*engine*/, const recorded_request &request,
                               response_socket &socket) {
        socket.write(responseHead(request,
                                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"));
        const std::string last = request.field("Last-Event-Id");
        constexpr int Events = 4000; // 125 MiB
        for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= Events; ++id) {
            if (!socket.write(chunk("id: " + std::to_string(id) + "\ndata: " + data + "\n\n")))
                return false;
        }
        return socket.write(LastChunk);
    });
    test_caller caller(router->callerAddress());
    caller.send(request("/resume3/"));
    std::this_thread::sleep_for(std::chrono::milliseconds(2500)); // Two silences of an engine.
    BOOST_TEST(callCount() == 1U);
    BOOST_TEST(router->peakMemoryBytes() < std::size_t(60) * 1024 * 1024);
}
