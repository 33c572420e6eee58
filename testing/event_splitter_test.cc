#define BOOST_TEST_MODULE event_splitter
#include "burdockhold/event_splitter.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

using namespace burdockhold;

namespace {

std::string event(int id, const std::string &data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

std::string stream(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += event(id, std::string(static_cast<std::size_t>(id % 17), 'x'));
    return text;
}

} // namespace

// Guards against bytes that are lost or changed when events arrive in pieces of any size.
BOOST_AUTO_TEST_CASE(anyPiecesGiveTheSameBytes)
{
    std::mt19937 random(7);
    for (int round = 0; round < 300; ++round) {
        const std::string text = stream(1, 40);
        event_splitter splitter;
        std::string out;
        for (std::size_t at = 0; at < text.size();) {
            const std::size_t size = 1 + random() % 60;
            out += splitter.add(text.substr(at, size));
            at += size;
        }
        BOOST_TEST(out == text);
        BOOST_TEST(splitter.lastId() == "40");
        BOOST_TEST(!splitter.hasPartial());
    }
}

// Guards against a resumed stream that is joined in the middle of an event or contains an event
// twice.
BOOST_AUTO_TEST_CASE(streamResumesAfterTheLastCompleteEvent)
{
    const std::string text = stream(1, 30);
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        event_splitter splitter;
        std::string out = splitter.add(text.substr(0, cut));
        splitter.continueElsewhere();
        const int last = splitter.lastId().empty() ? 0 : std::stoi(splitter.lastId());
        // The second endpoint sends the last delivered event again.
        out += splitter.add(stream(std::max(1, last), 30));
        BOOST_TEST(out == text);
    }
}

// Guards against unbounded memory when an endpoint sends an event that never ends.
BOOST_AUTO_TEST_CASE(endlessEventFails)
{
    event_splitter splitter;
    const std::string piece(std::size_t(64) * 1024, 'x');
    for (int count = 0; count < 40 && !splitter.failed(); ++count)
        splitter.add(piece);
    BOOST_TEST(splitter.failed());
}

// Guards against a continuation that skips events, or whose bytes are not the stream's: for each
// pair of a cut and a first id, it is accepted only if it leaves no gap.
BOOST_AUTO_TEST_CASE(continuationMustFollowTheLastEvent)
{
    for (int delivered = 1; delivered <= 6; ++delivered) {
        for (int first = 1; first <= 9; ++first) {
            event_splitter splitter;
            std::string out = splitter.add(stream(1, delivered));
            splitter.continueElsewhere();
            out += splitter.add(": keep-alive\n\n" + stream(first, 9));
            const bool hasGap = first > delivered + 1;
            BOOST_TEST(splitter.failed() == hasGap);
            BOOST_TEST(out == stream(1, hasGap ? delivered : 9));
        }
        for (const std::string wrong : { "data: x\n\n", "{\"error\":1}\n\n", "id: x\n\n" }) {
            event_splitter splitter;
            splitter.add(stream(1, delivered));
            splitter.continueElsewhere();
            BOOST_TEST(splitter.add(wrong + stream(delivered + 1, 9)).empty());
            BOOST_TEST(splitter.failed());
            // The failure is the endpoint's; another one may continue.
            splitter.continueElsewhere();
            BOOST_TEST(splitter.add(stream(delivered + 1, 9)) == stream(delivered + 1, 9));
        }
    }
}

// Guards against streams whose ids grow in steps and are taken for streams with a gap.
BOOST_AUTO_TEST_CASE(idsThatGrowInStepsMayContinueWithAnyGreaterId)
{
    for (const int first : { 1, 2 }) {
        event_splitter splitter;
        splitter.add(event(first, "x") + event(5, "x"));
        splitter.continueElsewhere();
        BOOST_TEST(splitter.add(event(5, "x") + event(9, "x")) == event(9, "x"));
        BOOST_TEST(!splitter.failed());
    }
    event_splitter splitter;
    splitter.add(event(3, "x"));
    splitter.continueElsewhere();
    BOOST_TEST(splitter.add(event(6, "x")) == event(6, "x"));
}

// Guards against a stream that is resumed after an event without an id, which would come twice.
BOOST_AUTO_TEST_CASE(onlyAStreamWhoseLastEventHasAnIdCanContinue)
{
    event_splitter splitter;
    BOOST_TEST(splitter.canContinue());
    splitter.add(event(1, "x"));
    BOOST_TEST(splitter.canContinue());
    splitter.add(": comment\n\n");
    BOOST_TEST(splitter.canContinue());
    splitter.add("data: x\n\n");
    BOOST_TEST(!splitter.canContinue());
}
