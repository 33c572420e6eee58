#define BOOST_TEST_MODULE resumed_streams
#include <boost/test/unit_test.hpp>

#include "testing/support_site.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

// Streams through a real daemon that began, broke off and are continued by an engine that answers
// with something else than the rest of the stream.

using namespace burdockhold::testing;
using nlohmann::json;

namespace {

/// A stream that has not ended after this time counts as one that never ends. The watchdogs of the
/// daemon end an attempt after one second, and there are at most four attempts.
constexpr std::chrono::seconds EndLimit(8);
constexpr std::int64_t Always = 1000000;

enum class stream_end { Done, ErrorEvent, Nothing, Broken, Never, Wrong, Refused };

const char *nameOf(stream_end end)
{
    constexpr std::array<const char *, 7> Names{ "whole with [DONE]",
                                                 "an error event last",
                                                 "orderly, without [DONE] and error event",
                                                 "without its last chunk",
                                                 "never",
                                                 "with other bytes",
                                                 "before it began" };
    return Names.at(static_cast<std::size_t>(end));
}

/// Reads a stream to its end and returns how it ended. `Done` is the whole reference. Other ends
/// follow a prefix of the reference's events; anything else is `Wrong`.
stream_end readEnd(const site &place, open_stream &stream)
{
    stream_end end = stream_end::Nothing;
    try {
        readToEnd(stream);
    } catch (const http_failure &failure) {
        end = failure.kind() == http_failure_kind::Timeout ? stream_end::Never : stream_end::Broken;
    }
    const std::string whole = place.expected(stream);
    if (stream.body == whole)
        return end == stream_end::Nothing ? stream_end::Done : end;
    std::string events = stream.body;
    const std::size_t error = events.find("data: {\"error\"");
    if (error != std::string::npos && end == stream_end::Nothing) {
        events.resize(error);
        end = stream_end::ErrorEvent;
    }
    const bool isPrefix = whole.compare(0, events.size(), events) == 0
                          && events.find("[DONE]") == std::string::npos;
    return isPrefix ? end : stream_end::Wrong;
}

/// Opens a stream and returns how it ended.
stream_end runStream(site &place, const std::string &prompt, int tokens)
{
    try {
        open_stream stream{ http_connection(place.daemon().url, EndLimit), "", prompt, tokens };
        place.send(stream);
        const http_response head = stream.connection.readHead();
        if (head.status != 200) {
            BOOST_TEST_MESSAGE(prompt << ": " << head.status << " "
                                      << stream.connection.readBody());
            return stream_end::Refused;
        }
        stream.requestId = head.header("X-Request-Id");
        return readEnd(place, stream);
    } catch (const http_failure &) {
        return stream_end::Broken;
    }
}

struct named_answer
{
    std::string name;
    json answer;
};

/// Answers to a continuation: statuses in each framing, and successes that are no continuation.
std::vector<named_answer> continuationAnswers()
{
    const std::string text = R"({"error":{"message":"no such stream","type":"t","code":"c"}})";
    const std::string wholeHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    std::vector<named_answer> answers;
    for (const int status : { 400, 404, 409, 422, 429, 500, 502, 504, 204, 301 }) {
        for (const std::string framing : { "chunks", "length", "none" }) {
            if (status == 204 && framing != "none")
                continue;
            answers.push_back({ std::to_string(status) + " " + framing,
                                { { "status", status },
                                  { "body", status == 204 ? "" : text },
                                  { "framing", framing } } });
        }
    }
    // At each byte of two chunks and the last chunk.
    const std::size_t framed = text.size() + 2 * std::string("1d\r\n\r\n").size() + 5;
    for (std::size_t cut = 0; cut < framed; ++cut) {
        for (const bool reset : { false, true })
            answers.push_back({ "404 chunks cut " + std::to_string(cut) + (reset ? " reset" : ""),
                                { { "status", 404 },
                                  { "body", text },
                                  { "framing", "chunks" },
                                  { "cut", cut },
                                  { "reset", reset } } });
    }
    const auto success = [&](const std::string &name, const std::string &body,
                             const std::string &type, const std::string &echo) {
        for (const std::string framing : { "chunks", "length", "none" })
            answers.push_back({ "200 " + name + " " + framing,
                                { { "body", body },
                                  { "content_type", type },
                                  { "framing", framing },
                                  { "echo", echo } } });
    };
    success("no event", "", "text/event-stream", "own");
    success("only the end marker", "data: [DONE]\n\n", "text/event-stream", "own");
    success("JSON", R"({"id":"ID","choices":[]})", "application/json", "own");
    success("repeated head", wholeHead, "text/event-stream", "own");
    success("error event", "data: " + text + "\n\ndata: [DONE]\n\n", "text/event-stream", "own");
    success("wrong id", "data: [DONE]\n\n", "text/event-stream", "wrong");
    success("missing id", "data: [DONE]\n\n", "text/event-stream", "missing");
    return answers;
}

/// Runs one stream of five tokens for each answer, which breaks off after three.
void checkContinuations(std::int64_t answersPerEngine, stream_end expected)
{
    site place(2);
    for (const named_answer &given : continuationAnswers()) {
        json answer = given.answer;
        answer["count"] = answersPerEngine;
        for (const standin_process &engine : place.engines())
            setFaults(engine, { { "die_after_tokens", 3 }, { "continuation", answer } });
        const stream_end end = runStream(place, given.name, 5);
        BOOST_TEST((end == expected), given.name << " ended " << nameOf(end));
        const auto status = place.daemon().process.wait(std::chrono::milliseconds(0));
        BOOST_REQUIRE_MESSAGE(!status, given.name << " ended the daemon with " << status->code);
    }
    // An exchange that was not settled keeps the daemon from stopping.
    const auto status = place.daemon().process.stop(std::chrono::seconds(20));
    BOOST_REQUIRE(status);
    BOOST_TEST(status->code == 0);
    for (const json &line : accessLines(place.logFile()))
        BOOST_TEST(line.at("data").at("outcome")
                   == (expected == stream_end::Done ? "complete" : "failed"));
}

/// Runs streams whose first engine ends its response after each byte from the given one on, and
/// checks that they are resumed. Each way of ending the response is a set of faults of the engines.
void checkCutsAtAnyByte(std::size_t firstCut, const std::vector<json> &endings)
{
    constexpr int Tokens = 2;
    // Each cut takes a retry, of which a daemon has 1000 in ten seconds.
    constexpr std::size_t CutsPerDaemon = 400;
    std::unique_ptr<site> place = std::make_unique<site>(2);
    open_stream whole = place->open("length", Tokens);
    place->checkWhole(whole);
    // The head and the sizes of the chunks have less than 600 bytes.
    const std::size_t end = whole.body.size() + 600;
    for (std::size_t cut = firstCut; cut < end; ++cut) {
        if (cut > firstCut && cut % CutsPerDaemon == 0)
            place = std::make_unique<site>(2);
        for (std::size_t index = 0; index < endings.size(); ++index) {
            json ending = endings[index];
            ending["cut_first_at_byte"] = cut;
            for (const standin_process &engine : place->engines())
                setFaults(engine, ending);
            const std::string name = std::to_string(cut) + " ending " + std::to_string(index);
            const stream_end how = runStream(*place, name, Tokens);
            BOOST_TEST((how == stream_end::Done), ending << " ended " << nameOf(how));
        }
    }
    // The last cuts lie behind the response: the last stream took one call.
    const json first = received(place->engines()[0]);
    const json second = received(place->engines()[1]);
    const std::string last = std::to_string(end - 1) + " ending "
                             + std::to_string(endings.size() - 1);
    const auto calls = [&last](const json &requests) {
        return std::count_if(requests.begin(), requests.end(), [&last](const json &request) {
            return request.dump().find(last) != std::string::npos;
        });
    };
    BOOST_TEST(calls(first) + calls(second) == 1);
}

} // namespace

// Guards against an error of the next engine that is taken for the response of a stream that has
// begun: the stream must be resumed at another engine.
BOOST_AUTO_TEST_CASE(errorAnswerToAContinuationIsResumed)
{
    checkContinuations(1, stream_end::Done);
}

// Guards against a stream that never ends or looks complete when every continuation is answered
// with an error.
BOOST_AUTO_TEST_CASE(errorAnswersToAllContinuationsEndWithAnErrorEvent)
{
    checkContinuations(Always, stream_end::ErrorEvent);
}

// Guards against a stream that ends without an end marker when its engine ends the response after
// the usage.
BOOST_AUTO_TEST_CASE(streamThatEndsAfterTheUsageIsResumed)
{
    site place(2);
    for (const standin_process &engine : place.engines())
        setFaults(engine, { { "omit_end_markers", 1 } });
    BOOST_TEST(nameOf(runStream(place, "no end marker", 5)) == nameOf(stream_end::Done));
    for (const standin_process &engine : place.engines())
        setFaults(engine, { { "omit_end_markers", Always } });
    BOOST_TEST(nameOf(runStream(place, "never an end marker", 5))
               == nameOf(stream_end::ErrorEvent));
}

// Guards against a daemon that ends, and a request that is never answered, because the usage of a
// whole answer is not of the expected type.
BOOST_AUTO_TEST_CASE(wholeAnswerWithMalformedUsageIsDelivered)
{
    site place(1);
    for (const std::string usage :
         { R"({"completion_tokens":null})", R"({"completion_tokens":"3"})",
           R"({"completion_tokens":{}})", R"({"cached_tokens":[]})", R"({"cached_tokens":true})",
           R"([1])", R"("3")" }) {
        setFaults(place.engines()[0], { { "whole_usage", usage } });
        int status = 0;
        try {
            status = httpCall(place.daemon().url, "POST", "/v1/completions",
                              R"({"model":"base","prompt":"usage","max_tokens":3})",
                              place.withKey(), EndLimit)
                             .status;
        } catch (const http_failure &failure) {
            BOOST_TEST_MESSAGE(usage << ": " << failure.what());
        }
        BOOST_TEST(status == 200, usage << " gave status " << status);
        const auto ended = place.daemon().process.wait(std::chrono::milliseconds(0));
        BOOST_REQUIRE_MESSAGE(!ended, usage << " ended the daemon with " << ended->code);
    }
}

// Guards against lost, repeated or cut events, and against an end marker that follows a part of the
// stream, when an engine closes or resets the connection after any byte of its response.
BOOST_AUTO_TEST_CASE(streamThatBreaksAtAnyByteIsResumed)
{
    checkCutsAtAnyByte(0, { { { "cut_with_reset", false } }, { { "cut_with_reset", true } } });
}

// Guards against the beginning of an event that counts as one, since the engine ended its response
// inside a chunk and the last chunk reads as the rest of the event.
BOOST_AUTO_TEST_CASE(streamThatEndsInsideAChunkIsResumed)
{
    // After a few heads that are cut, the engines count as failing and get no call.
    constexpr std::size_t HeadBytes = 178;
    checkCutsAtAnyByte(HeadBytes, { { { "cut_tail", "0\r\n\r\n" } } });
}
