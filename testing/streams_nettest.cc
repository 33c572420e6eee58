#define BOOST_TEST_MODULE streams
#include <boost/test/unit_test.hpp>

#include "testing/support_site.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <sstream>

// Streams through a real daemon while its engines fail.

using namespace burdockhold::testing;

namespace {

/// Checks that a stream is the beginning of the reference, followed by one error event and no end
/// marker.
void checkExplicitError(const site &place, const open_stream &stream)
{
    const std::size_t start = stream.body.rfind("data: ");
    BOOST_REQUIRE(start != std::string::npos);
    const std::string tokens = stream.body.substr(0, start);
    BOOST_TEST(place.expected(stream).compare(0, tokens.size(), tokens) == 0);
    const auto last = nlohmann::json::parse(stream.body.substr(start + 6));
    BOOST_TEST(last.at("error").at("type") == "server_error");
    BOOST_TEST(!last.at("error").at("message").get<std::string>().empty());
    BOOST_TEST(stream.body.find("[DONE]") == std::string::npos);
}

/// Replaces every occurrence of a text.
std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); !from.empty() && at != std::string::npos;
         at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
    return text;
}

/// Replaces the times in a decision line, also in what it nests.
void clearTimes(nlohmann::json &value)
{
    if (value.is_array()) {
        for (nlohmann::json &element : value)
            clearTimes(element);
    }
    if (!value.is_object())
        return;
    for (auto &[name, field] : value.items()) {
        const bool isTime = name == "time"
                            || (name.size() > 2 && name.compare(name.size() - 2, 2, "_s") == 0);
        if (isTime && !field.is_null())
            field = "TIME";
        else
            clearTimes(field);
    }
}

/// Compares with a file under testing/golden. BURDOCKHOLD_UPDATE_GOLDEN=1 writes it instead.
void checkGolden(const std::string &name, const std::string &text)
{
    const std::string file = std::string(BURDOCKHOLD_SOURCE_DIR) + "/testing/golden/" + name;
    if (std::getenv("BURDOCKHOLD_UPDATE_GOLDEN") != nullptr)
        std::ofstream(file) << text;
    std::ostringstream golden;
    golden << std::ifstream(file).rdbuf();
    BOOST_TEST(text == golden.str());
}

} // namespace

// Guards against tokens that are lost or sent twice when an engine closes the connection in the
// middle of a stream.
BOOST_AUTO_TEST_CASE(engineThatDropsTheConnectionMidStream)
{
    site place(2);
    setFaults(place.engines()[0], { { "die_after_tokens", 3 } });
    place.runUntil([&] { return outcomes(place.engines()[0], "died") > 0; });
}

// Guards against a stream that ends with its engine's process.
BOOST_AUTO_TEST_CASE(engineKilledMidStream)
{
    site place(2, { "--token-ms", "10" });
    open_stream stream = place.open("killed", 60);
    BOOST_REQUIRE(readEvents(stream, EventsBeforeFault));
    place.runningEngine().process.signal(SIGKILL);
    place.checkWhole(stream);
}

// Guards against an empty success that is passed on as an answer.
BOOST_AUTO_TEST_CASE(emptyAnswerIsRetried)
{
    site place(2);
    setFaults(place.engines()[0], { { "empty_answers", 1 } });
    place.runUntil([&] { return outcomes(place.engines()[0], "empty") > 0; });
}

// Guards against waiting for good on an engine that takes a request and sends nothing.
BOOST_AUTO_TEST_CASE(silenceBeforeTheFirstToken)
{
    site place(2);
    setFaults(place.engines()[0], { { "silent_after_tokens", 0 } });
    place.runUntil([&] { return outcomes(place.engines()[0], "silent") > 0; });
}

// Guards against waiting for good on an engine that stops in the middle of a stream.
BOOST_AUTO_TEST_CASE(silenceBetweenTokens)
{
    site place(2);
    setFaults(place.engines()[0], { { "silent_after_tokens", 4 } });
    place.runUntil([&] { return outcomes(place.engines()[0], "silent") > 0; });
}

// Guards against delivering a response that belongs to another request.
BOOST_AUTO_TEST_CASE(crossedAnswerIsDiscarded)
{
    site place(2);
    setFaults(place.engines()[0], { { "wrong_id_answers", 1 } });
    const auto attempts = [&] {
        return received(place.engines()[0]).size() + received(place.engines()[1]).size();
    };
    std::size_t streams = 0;
    place.runUntil([&] { return attempts() > ++streams; });
}

// Guards against the answer of an attempt that was given up: it comes after the watchdog has moved
// the request to another engine and must not appear in the stream.
BOOST_AUTO_TEST_CASE(lateAnswerIsDiscarded)
{
    site place(2);
    setFaults(place.engines()[0], { { "delay_first_ms", 2500 } });
    const auto attempts = [&] {
        return received(place.engines()[0]).size() + received(place.engines()[1]).size();
    };
    std::size_t streams = 0;
    place.runUntil([&] { return attempts() > ++streams; });
    // The late engine has ended its work before the next stream is compared.
    BOOST_TEST(eventually([&] { return outcomes(place.engines()[0], "running") == 0; }));
    setFaults(place.engines()[0], { { "delay_first_ms", 0 } });
    open_stream after = place.open("after the late answer", 12);
    place.checkWhole(after);
}

// Guards against answers that reach the wrong caller when several streams share the engines'
// connections.
BOOST_AUTO_TEST_CASE(callersAtOnceGetTheirOwnStreams)
{
    site place(2, { "--token-ms", "2" });
    std::vector<open_stream> streams;
    for (int i = 0; i < 8; ++i) {
        streams.push_back({ http_connection(place.daemon().url, WaitLimit), "",
                            "caller " + std::to_string(i), 20 + i });
        place.send(streams.back());
    }
    for (open_stream &stream : streams)
        site::readHead(stream);
    for (open_stream &stream : streams)
        place.checkWhole(stream);
}

// Guards against a silent end: when no endpoint is left, the caller gets what was generated and an
// explicit error event, and later calls an error status.
BOOST_AUTO_TEST_CASE(noEndpointLeftGivesAnExplicitError)
{
    site place(1, { "--token-ms", "10" });
    open_stream stream = place.open("last engine", 200);
    BOOST_REQUIRE(readEvents(stream, EventsBeforeFault));
    place.engines()[0].process.signal(SIGKILL);
    readToEnd(stream);
    checkExplicitError(place, stream);

    const http_response later = httpCall(place.daemon().url, "POST", "/v1/completions",
                                         streamingRequestBody("p", 4), place.withKey(), WaitLimit);
    BOOST_TEST(later.status >= 502);
    BOOST_TEST(!later.json().at("error").at("message").get<std::string>().empty());
}

// Guards against attempts without a bound: an engine that dies in every attempt ends the stream
// with an explicit error.
BOOST_AUTO_TEST_CASE(engineThatAlwaysDiesGivesAnExplicitError)
{
    site place(1);
    setFaults(place.engines()[0], { { "die_after_tokens", 3 } });
    open_stream stream = place.open("dies always", 200);
    readToEnd(stream);
    checkExplicitError(place, stream);
    BOOST_TEST(received(place.engines()[0]).size() <= 4u);
}

// Guards against engines that work on for callers who have left.
BOOST_AUTO_TEST_CASE(leavingCallerCancelsTheEnginesWork)
{
    site place(1, { "--token-ms", "10" });
    open_stream stream = place.open("caller leaves", 1024);
    BOOST_REQUIRE(readEvents(stream, EventsBeforeFault));
    stream.connection.close();
    BOOST_TEST(eventually([&] { return outcomes(place.engines()[0], "cancelled") == 1; }));
}

// Guards against connections that stay open and go silent for good: the streams move to the other
// engine, new calls work, and after the stopped engine continues it is used again over new
// connections.
BOOST_AUTO_TEST_CASE(stoppedEngineIsAvoidedAndUsedAgain)
{
    site place(2, { "--token-ms", "10" });
    open_stream stream = place.open("stopped", 60);
    BOOST_REQUIRE(readEvents(stream, EventsBeforeFault));
    standin_process &stopped = place.runningEngine();
    stopped.process.signal(SIGSTOP);
    place.checkWhole(stream);
    for (int i = 0; i < 4; ++i) {
        open_stream next = place.open("while stopped " + std::to_string(i), 12);
        place.checkWhole(next);
    }
    stopped.process.signal(SIGCONT);
    const std::size_t before = outcomes(stopped, "answered");
    BOOST_TEST(eventually([&] {
        open_stream next = place.open("stopped", 12);
        place.checkWhole(next);
        return outcomes(stopped, "answered") > before;
    }));
}

// Guards against new work on a leaving endpoint, and against cutting the work that it has.
BOOST_AUTO_TEST_CASE(leavingEndpointGetsNoNewWork)
{
    site place(2, { "--token-ms", "10" });
    std::vector<open_stream> streams;
    for (int i = 0; i < 8; ++i) {
        streams.push_back(place.open("running " + std::to_string(i), 300));
        BOOST_REQUIRE(readEvents(streams.back(), 1));
    }
    BOOST_REQUIRE(outcomes(place.engines()[0], "running") > 0);
    place.setFirstEngineState("leaving");
    const std::size_t before = received(place.engines()[0]).size();
    for (int i = 0; i < 20; ++i) {
        open_stream stream = place.open("new " + std::to_string(i), 2);
        place.checkWhole(stream);
    }
    for (open_stream &stream : streams)
        place.checkWhole(stream);
    BOOST_TEST(received(place.engines()[0]).size() == before);
    BOOST_TEST(outcomes(place.engines()[0], "answered") == before);
}

// Guards against a shutdown that cuts streams.
BOOST_AUTO_TEST_CASE(terminationWithOpenStreamsCutsNothing)
{
    site place(2, { "--token-ms", "20" });
    std::vector<open_stream> streams;
    for (int i = 0; i < 6; ++i) {
        streams.push_back(place.open("open " + std::to_string(i), 220));
        BOOST_REQUIRE(readEvents(streams.back(), 1));
    }
    place.daemon().process.signal(SIGTERM);
    for (open_stream &stream : streams)
        place.checkWhole(stream);
    for (open_stream &stream : streams)
        stream.connection.close();
    const auto status = place.daemon().process.wait(WaitLimit);
    BOOST_REQUIRE(status);
    BOOST_TEST(status->code == 0);
}

// Guards against unnoticed changes of what callers, engines and operators see of a session: a
// stream, a stream whose engine dies, a whole answer, and two refusals.
BOOST_AUTO_TEST_CASE(wholeSessionIsAsRecorded)
{
    site place(2);
    const std::string &url = place.daemon().url;
    std::vector<http_response> replies;
    const auto call = [&](const std::string &body, const header_list &headers) {
        replies.push_back(httpCall(url, "POST", "/v1/completions", body, headers));
        // The access line is written when the reply is closed, so calls follow one another.
        BOOST_REQUIRE(
                eventually([&] { return accessLines(place.logFile()).size() == replies.size(); }));
    };
    call(streamingRequestBody("a session", 4), place.withKey());
    for (const standin_process &engine : place.engines())
        setFaults(engine, { { "die_after_tokens", 4 } });
    call(streamingRequestBody("a session with a death", 7), place.withKey());
    for (const standin_process &engine : place.engines())
        setFaults(engine, { { "die_after_tokens", -1 } });
    call(R"({"model":"base","prompt":"whole","max_tokens":3})", place.withKey());
    call(streamingRequestBody("p", 4), { { "Authorization", "Bearer wrong" } });
    call(R"({"model":"other","prompt":"p","max_tokens":4})", place.withKey());

    std::ostringstream text;
    for (const http_response &reply : replies)
        text << "== caller got " << reply.status << " " << reply.header("Content-Type") << " "
             << reply.header("X-Burdockhold-Run") << "\n"
             << reply.body << "\n";
    for (nlohmann::json line : accessLines(place.logFile())) {
        clearTimes(line);
        text << "== decision\n" << line.dump() << "\n";
    }
    for (std::size_t i = 0; i < place.engines().size(); ++i) {
        for (const nlohmann::json &request : received(place.engines()[i]))
            text << "== engine-" << i + 1 << " received\n" << request.dump() << "\n";
    }
    std::string canonical = text.str();
    for (std::size_t i = 0; i < replies.size(); ++i)
        canonical = replaced(canonical, replies[i].header("X-Request-Id"),
                             "REQUEST-" + std::to_string(i + 1));
    for (std::size_t i = 0; i < place.engines().size(); ++i)
        canonical = replaced(canonical, place.engines()[i].url.substr(std::strlen("http://")),
                             "ENGINE-" + std::to_string(i + 1));
    checkGolden("streams-session.txt", canonical);
}
