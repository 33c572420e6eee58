#ifndef BURDOCKHOLD_SUPPORT_CONTINUATIONS_H
#define BURDOCKHOLD_SUPPORT_CONTINUATIONS_H

// Responses of fake engines for tests of streams that are resumed: ways to break off, and answers
// to the request for the rest that do not complete the stream.

#include "testing/support_router.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace burdockhold::testing {

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

inline const std::string eventStream = "Content-Type: text/event-stream\r\n";
inline const std::string chunked = "Transfer-Encoding: chunked\r\n";

inline std::string lengthOf(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

/// Returns responses that deliver the events 1 to 3 and break off.
inline std::vector<engine_response> brokenStreams()
{
    const std::string three = events(1, 3);
    const std::string unfinished = "id: 4\nda";
    const std::string aLength = eventStream + "Content-Length: 1000\r\n";
    return {
        { "chunked, closed", eventStream + chunked, chunk(three), {} },
        { "chunked, silent", eventStream + chunked, chunk(three), {}, false, "200 OK", true },
        { "chunked, reset", eventStream + chunked, chunk(three), {}, true },
        { "chunked, inside a chunk", eventStream + chunked, chunk(three), "20\r\n" + unfinished },
        { "chunked, last chunk inside a chunk", eventStream + chunked, chunk(three),
          "20\r\nid: 4\r\n0\r\n\r\n" },
        { "length, last chunk inside an event", aLength, three, "id: 4\r\n0\r\n\r\n" },
        { "no length, last chunk inside an event", eventStream, three, "id: 4\r\n0\r\n\r\n" },
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
inline std::vector<engine_response> uselessContinuations()
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

/// Returns complete responses whose events do not follow the events 1 to 3.
inline std::vector<engine_response> continuationsOfOtherStreams()
{
    const auto response = [](const std::string &name, const std::string &body) {
        return engine_response{ name, eventStream + chunked, chunk(body) + LastChunk, {} };
    };
    const std::string json = "{\"error\":\"x\"}\n\n";
    return {
        response("JSON with a blank line", json),
        response("comment only", ": ping\n\n"),
        response("blank lines", "\n\n\n\n"),
        response("gap", events(6, 7)),
        response("event without an id", "data: error\n\n"),
        response("event with a text as id", "id: x4\ndata: x\n\n"),
        response("repeated events only", events(1, 3)),
        { "plain text",
          "Content-Type: text/plain\r\n" + chunked,
          chunk(events(4, 6)) + LastChunk,
          {} },
    };
}

inline void respond(const engine_response &response, const recorded_request &request,
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

} // namespace burdockhold::testing

#endif
