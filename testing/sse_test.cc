#define BOOST_TEST_MODULE sse
#include <boost/test/unit_test.hpp>

#include "burdockhold/sse.h"

#include <random>

using namespace burdockhold;

namespace {

const std::string streamBytes =
        ": comment\n\nevent: e\r\ndata: one\r\n\r\ndata: two\ndata:three\n\n"
        "id: 7\ndata\n\n\ndata: [DONE]\n\n";

std::string describe(const std::vector<sse_event> &events)
{
    std::string text;
    for (const sse_event &event : events)
        text += event.name + "|" + event.data + "\x1e";
    return text;
}

const std::string expectedEvents = "e|one\x1e|two\nthree\x1e|\x1e|[DONE]\x1e";

} // namespace

// Guards against events that depend on where the network split the bytes: every pair of cuts.
BOOST_AUTO_TEST_CASE(everySplitGivesTheSameEvents)
{
    const std::string_view stream = streamBytes;
    for (std::size_t first = 0; first <= stream.size(); ++first) {
        for (std::size_t second = first; second <= stream.size(); ++second) {
            sse_parser parser;
            std::vector<sse_event> events;
            parser.feed(stream.substr(0, first), events);
            parser.feed(stream.substr(first, second - first), events);
            parser.feed(stream.substr(second), events);
            BOOST_REQUIRE(describe(events) == expectedEvents);
            BOOST_REQUIRE(parser.atBoundary());
        }
    }
}

// Guards against a writer whose events read back differently, under random data and splits.
BOOST_AUTO_TEST_CASE(writtenEventsReadBackEqual)
{
    std::mt19937 random(20261);
    const std::string alphabet = "ab: \n{}";
    for (int round = 0; round < 500; ++round) {
        std::vector<sse_event> written;
        std::string bytes;
        for (unsigned i = 0; i < 1 + random() % 5; ++i) {
            sse_event event;
            for (unsigned length = random() % 12; length > 0; --length)
                event.data.push_back(alphabet[random() % alphabet.size()]);
            written.push_back(event);
            bytes += formatEvent(event);
        }
        sse_parser parser;
        std::vector<sse_event> events;
        for (std::size_t at = 0; at < bytes.size();) {
            const std::size_t size = 1 + random() % 7;
            BOOST_REQUIRE(isOk(parser.feed(std::string_view(bytes).substr(at, size), events)));
            at += size;
        }
        BOOST_REQUIRE(describe(events) == describe(written));
    }
}

// Guards against an endpoint that fills the router's memory with one event, and against losing the
// events before it. The verdict must not depend on the split either.
BOOST_AUTO_TEST_CASE(refusesAnEventOverTheBound)
{
    const std::string bytes = "data: ok\n\ndata: " + std::string(100, 'x') + "\n\n";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        sse_parser parser(50);
        std::vector<sse_event> events;
        parser.feed(std::string_view(bytes).substr(0, cut), events);
        const auto rest = parser.feed(std::string_view(bytes).substr(cut), events);
        BOOST_TEST((isOk(rest) == (cut == bytes.size())));
        BOOST_TEST(!isOk(parser.feed("x", events)));
        BOOST_TEST(describe(events) == "|ok\x1e");
    }
}
