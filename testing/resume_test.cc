#define BOOST_TEST_MODULE resume
#include <boost/test/unit_test.hpp>

#include "burdockhold/resume.h"

#include <nlohmann/json.hpp>

#include <random>
#include <vector>

using namespace burdockhold;

namespace {

std::string token(int index, const std::string &id = "cmpl-r1")
{
    return nlohmann::json{
        { "id", id },
        { "choices", { { { "index", 0 }, { "text", std::to_string(index) } } } },
        { "token_index", index }
    }.dump();
}

std::string usage(int tokens)
{
    return nlohmann::json{
        { "id", "cmpl-r1" },
        { "choices", nlohmann::json::array() },
        { "usage", { { "completion_tokens", tokens }, { "cached_tokens", 4 } } }
    }.dump();
}

/// Feeds events to one attempt until it is over; returns what the caller received.
std::vector<std::string> feed(stream_continuity &stream, const std::vector<std::string> &events)
{
    std::vector<std::string> delivered;
    stream.beginAttempt();
    for (const std::string &event : events) {
        if (stream.state() != stream_state::Streaming)
            break;
        const event_verdict verdict = stream.accept(event);
        if (verdict.action == event_action::Deliver || verdict.action == event_action::Finish)
            delivered.push_back(verdict.text);
    }
    stream.endAttempt("the connection closed");
    return delivered;
}

} // namespace

// Guards against an event that is nested so deeply that delivering it exhausts the stack.
BOOST_AUTO_TEST_CASE(abandonsDeeplyNestedEvent)
{
    constexpr int Levels = 100000;
    std::string event = usage(0);
    event.pop_back();
    event += R"(,"later":)" + std::string(Levels, '[') + std::string(Levels, ']') + "}";
    stream_continuity stream("r1");
    BOOST_TEST(feed(stream, { event }).empty());
    BOOST_TEST((stream.state() == stream_state::NeedsResume));
}

// Guards against tokens delivered twice by an engine that starts again from the first one.
BOOST_AUTO_TEST_CASE(dropsDuplicates)
{
    stream_continuity stream("r1");
    BOOST_TEST(feed(stream, { token(0), token(1) }).size() == 2u);
    BOOST_TEST((stream.state() == stream_state::NeedsResume));
    BOOST_TEST(stream.delivered() == 2);
    const auto rest = feed(stream, { token(0), token(1), token(2), usage(3), "[DONE]" });
    BOOST_TEST(rest.size() == 3u);
    BOOST_TEST(rest.front() == token(2));
    BOOST_TEST((stream.state() == stream_state::Complete));
    BOOST_TEST(stream.cachedTokens() == 4);
}

// Guards against a truncated stream that passes for complete: a usage that counts only the tokens
// since the resume could equal the number delivered by accident.
BOOST_AUTO_TEST_CASE(usageCountsTheWholeStream)
{
    stream_continuity stream("r1");
    feed(stream, { token(0), token(1) });
    feed(stream, { token(2), usage(1), "[DONE]" });
    BOOST_TEST((stream.state() == stream_state::NeedsResume));
    feed(stream, { usage(3), "[DONE]" });
    BOOST_TEST((stream.state() == stream_state::Complete));
}

// Guards against a token delivered again by the event that carries the usage.
BOOST_AUTO_TEST_CASE(usageOfARepeatedTokenComesAlone)
{
    stream_continuity stream("r1");
    feed(stream, { token(0) });
    nlohmann::json last = nlohmann::json::parse(token(0));
    last["usage"] = { { "completion_tokens", 1 } };
    const auto rest = feed(stream, { last.dump(), "[DONE]" });
    BOOST_REQUIRE(rest.size() == 2u);
    BOOST_TEST(nlohmann::json::parse(rest[0])["choices"].empty());
}

// Guards against each way in which a stream can be wrong: none of it may reach the caller.
BOOST_AUTO_TEST_CASE(abandonsBrokenAttempts)
{
    const std::vector<std::vector<std::string>> broken{
        { token(0), token(2) },
        { token(0), token(1, "cmpl-r2") },
        { token(0), "not json" },
        { token(0), R"({"error":{"message":"x"}})" },
        { token(0), R"({"id":"r1","choices":[]})" },
        { token(0), "[DONE]" },
        { token(0), usage(5), "[DONE]" },
        { token(0) },
    };
    for (const auto &events : broken) {
        stream_continuity stream("r1");
        BOOST_TEST(feed(stream, events).size() == 1u);
        BOOST_TEST((stream.state() == stream_state::NeedsResume));
        BOOST_TEST(stream.delivered() == 1);
        BOOST_TEST(!stream.reason().empty());
    }
}

// Guards against endless attempts.
BOOST_AUTO_TEST_CASE(failsAfterTheLastAttempt)
{
    stream_continuity stream("r1", { 2 });
    feed(stream, {});
    BOOST_TEST((stream.state() == stream_state::NeedsResume));
    feed(stream, {});
    BOOST_TEST((stream.state() == stream_state::Failed));
}

// Guards against any mixture of faults that loses, repeats or reorders a token. Reference: the
// caller must hold exactly the tokens 0..n-1 at all times, and all of them, one usage and the end
// when the stream is complete.
BOOST_AUTO_TEST_CASE(randomFaultsKeepTheOrder)
{
    constexpr int Rounds = 3000;
    std::mt19937 random(71);
    int completed = 0;
    for (int round = 0; round < Rounds; ++round) {
        const int total = static_cast<int>(random() % 8);
        stream_continuity stream("r1", { 6 });
        std::vector<std::string> caller;
        while (stream.state() == stream_state::NeedsResume) {
            const auto from = random() % 3 == 0 ? 0 : static_cast<int>(stream.delivered());
            std::vector<std::string> events;
            for (int index = from; index < total; ++index)
                events.push_back(token(index));
            events.push_back(usage(total));
            events.emplace_back("[DONE]");
            for (unsigned faults = random() % 3; faults > 0 && !events.empty(); --faults) {
                const std::size_t at = random() % events.size();
                const auto place = events.begin() + static_cast<std::ptrdiff_t>(at);
                switch (random() % 4) {
                case 0:
                    events.erase(place);
                    break;
                case 1:
                    events.insert(place, events[random() % events.size()]);
                    break;
                case 2:
                    std::swap(events[at], events[random() % events.size()]);
                    break;
                default:
                    events.resize(at);
                }
            }
            for (const std::string &text : feed(stream, events))
                caller.push_back(text);
            for (int index = 0; index < stream.delivered(); ++index)
                BOOST_REQUIRE(caller.at(static_cast<std::size_t>(index)) == token(index));
        }
        if (stream.state() != stream_state::Complete)
            continue;
        ++completed;
        BOOST_REQUIRE(stream.delivered() == total);
        BOOST_REQUIRE(caller.size() == static_cast<std::size_t>(total) + 2);
        BOOST_REQUIRE(nlohmann::json::parse(caller[caller.size() - 2])["usage"]["completion_tokens"]
                      == total);
        BOOST_REQUIRE(caller.back() == "[DONE]");
    }
    BOOST_TEST(completed > Rounds / 2);
}
