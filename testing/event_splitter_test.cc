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

std::string withLineEnds(const std::string &text, const std::string &lineEnd)
{
    std::string out;
    for (const char byte : text)
        out += byte == '\n' ? lineEnd : std::string(1, byte);
    return out;
}

constexpr const char *LineEnds[] = { "\n", "\r\n", "\r" };

} // namespace

// Guards against bytes that are lost or changed when events arrive in pieces of any size.
BOOST_AUTO_TEST_CASE(anyPiecesGiveTheSameBytes)
{
    std::mt19937 random(7);
    for (int round = 0; round < 300; ++round) {
        const std::string text = withLineEnds(stream(1, 40), LineEnds[round % 3]);
        event_splitter splitter;
        std::string out;
        for (std::size_t at = 0; at < text.size();) {
            const std::size_t size = 1 + random() % 60;
            out += splitter.add(text.substr(at, size));
            at += size;
        }
        BOOST_TEST(out == text);
        BOOST_TEST(splitter.lastId() == "40");
        BOOST_TEST(splitter.events() == 40U);
        BOOST_TEST(!splitter.hasPartial());
    }
}

// Guards against events with CR LF or CR that are kept back as one event without end.
BOOST_AUTO_TEST_CASE(linesOfAnyEndEndEvents)
{
    for (const char *const lineEnd : LineEnds) {
        const std::string first = withLineEnds(event(1, "x"), lineEnd);
        event_splitter splitter;
        BOOST_TEST(splitter.add(first + "id: 2") == first);
        BOOST_TEST(splitter.hasPartial());
        BOOST_TEST(splitter.add(lineEnd) == "");
        BOOST_TEST(splitter.add(withLineEnds("data: y\n\n", lineEnd))
                   == withLineEnds(event(2, "y"), lineEnd));
        BOOST_TEST(splitter.lastId() == "2");
        BOOST_TEST(!splitter.hasPartial());
    }
}

// Guards against a resumed stream that is joined in the middle of an event or contains an event
// twice.
BOOST_AUTO_TEST_CASE(streamResumesAfterTheLastCompleteEvent)
{
    for (const char *const lineEnd : LineEnds) {
        const std::string text = withLineEnds(stream(1, 30), lineEnd);
        for (std::size_t cut = 0; cut <= text.size(); ++cut) {
            event_splitter splitter;
            std::string out = splitter.add(text.substr(0, cut));
            splitter.continueElsewhere();
            const int last = splitter.lastId().empty() ? 0 : std::stoi(splitter.lastId());
            // The second endpoint sends the last delivered event again.
            out += splitter.add(withLineEnds(stream(std::max(1, last), 30), lineEnd));
            BOOST_TEST(out == text);
        }
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

// Guards against a stream that cannot be resumed because a comment came before its first event, and
// against a comment that counts as an event.
BOOST_AUTO_TEST_CASE(commentsAreNoEvents)
{
    for (const std::string comment : { ": ok\n\n", "\n\n", ":\n: x\n\n" }) {
        event_splitter splitter;
        BOOST_TEST(splitter.add(comment) == comment);
        BOOST_TEST(splitter.events() == 0U);
        BOOST_TEST(splitter.canContinue());
        splitter.continueElsewhere();
        BOOST_TEST(!splitter.lacksBegunEvent());
        BOOST_TEST(splitter.add(stream(1, 3)) == stream(1, 3));
        BOOST_TEST(splitter.events() == 3U);
    }
}

// Guards against an event that an endpoint had begun and that the next one skips.
BOOST_AUTO_TEST_CASE(begunEventMustArrive)
{
    for (int delivered = 0; delivered <= 3; ++delivered) {
        for (int next = 1; next <= 6; ++next) {
            event_splitter splitter;
            splitter.add(stream(1, delivered) + "id: " + std::to_string(delivered + 1) + "\nda");
            splitter.continueElsewhere();
            BOOST_TEST(splitter.lacksBegunEvent());
            const std::string rest = splitter.add(stream(next, 6));
            BOOST_TEST(splitter.failed() == (next > delivered + 1));
            BOOST_TEST(splitter.lacksBegunEvent() == splitter.failed());
            BOOST_TEST(rest == (splitter.failed() ? "" : stream(delivered + 1, 6)));
        }
    }
    event_splitter repeated;
    repeated.add(stream(1, 3));
    repeated.continueElsewhere();
    repeated.add("id: 3\nda"); // Sent again, so nothing is known of a fourth event.
    repeated.continueElsewhere();
    BOOST_TEST(!repeated.lacksBegunEvent());
}

// Guards against text without an id that is relayed to a caller who resumes by itself, and against
// events that it has.
BOOST_AUTO_TEST_CASE(streamOfACallerThatResumesFollowsItsLastEvent)
{
    event_splitter error("3");
    BOOST_TEST(error.add("data: error\n\n").empty());
    BOOST_TEST(error.failed());
    event_splitter repeated("3");
    BOOST_TEST(repeated.add(stream(2, 6)) == stream(4, 6));
    event_splitter steps("3"); // The ids may grow in steps.
    BOOST_TEST(steps.add(event(6, "x")) == event(6, "x"));
}

// Guards against an event that is dropped without a trace because its id does not grow.
BOOST_AUTO_TEST_CASE(idsThatDoNotGrowFail)
{
    for (const int id : { 1, 2 }) {
        event_splitter splitter;
        BOOST_TEST(splitter.add(stream(1, 2) + event(id, "other")) == stream(1, 2));
        BOOST_TEST(splitter.failed());
    }
}

// Guards against ids that the next endpoint does not understand, or that add a field to the call.
BOOST_AUTO_TEST_CASE(idsAreReadAsTheFormatSays)
{
    const std::pair<std::string, std::string> cases[] = {
        { "id: 2 \n", "2" },
        { "id:2\n", "2" },
        { "id: 1\nid: 2\n", "2" },
        { "id: 2\rX-Odd: y\n", "" }, // The line ends differ.
        { "id: 2\nX-Odd: y\n", "2" },
        { "id\n", "" },
        { "\xEF\xBB\xBFid: 2\n", "2" },
        { std::string("id: 2\0\n", 7), "" },
    };
    for (const auto &[line, id] : cases) {
        event_splitter splitter;
        splitter.add(line + "data: x\n\n");
        BOOST_TEST(splitter.lastId() == id, line);
    }
    event_splitter splitter;
    splitter.add("id: 2\rX-Odd: y\rdata: x\r\r");
    BOOST_TEST(splitter.lastId() == "2");
}

// Guards against a block without data that is taken for an event: an engine broke off in the middle
// of one, and what it or the framing sent next ended its line or its block. The caller gets whole
// events only, and all of them from the engine that continues.
BOOST_AUTO_TEST_CASE(bytesAfterABreakDoNotCompleteAnEvent)
{
    const std::string tails[] = { "\r\n0\r\n\r\n",
                                  "\r\n",
                                  "\r\n0\r\n",
                                  "HTTP/1.1 200 OK\r\n",
                                  "HTTP/1.1 500 Internal\r\n",
                                  "id: 9\n",
                                  "data: y\r\n" };
    for (const char *const lineEnd : LineEnds) {
        const std::string two = withLineEnds(stream(1, 2), lineEnd);
        const std::string three = withLineEnds(stream(1, 3), lineEnd);
        for (std::size_t cut = two.size() + 1; cut < three.size(); ++cut) {
            for (const std::string &tail : tails) {
                const std::string received = three.substr(0, cut) + tail;
                event_splitter splitter;
                std::string out = splitter.add(received);
                const bool isWhole = received.substr(0, three.size()) == three;
                BOOST_TEST(out == (isWhole ? three : two), cut << " " << tail);
                splitter.continueElsewhere();
                out += splitter.add(withLineEnds(stream(isWhole ? 4 : 3, 6), lineEnd));
                BOOST_TEST(out == withLineEnds(stream(1, 6), lineEnd), cut << " " << tail);
            }
        }
    }
}

// Guards against sound blocks without data that are lost or come before their time.
BOOST_AUTO_TEST_CASE(blocksWithoutDataWaitForTheNextEvent)
{
    for (const char *const lineEnd : LineEnds) {
        const std::string block = withLineEnds("retry: 100\n\nid: 4\nevent: x\n\n", lineEnd);
        const std::string next = withLineEnds(event(5, "x"), lineEnd);
        event_splitter splitter;
        BOOST_TEST(splitter.add(withLineEnds(event(1, "x"), lineEnd) + block)
                   == withLineEnds(event(1, "x"), lineEnd));
        BOOST_TEST(splitter.hasPartial());
        BOOST_TEST(splitter.lastId() == "1");
        BOOST_TEST(splitter.add(next) == block + next);
        BOOST_TEST(splitter.lastId() == "5");
        BOOST_TEST(splitter.add(block).empty());
        BOOST_TEST(splitter.takeBlocksAtEnd() == block);
        BOOST_TEST(!splitter.hasPartial());
        splitter.add(block + "data: cut");
        BOOST_TEST(splitter.takeBlocksAtEnd() == block);
        BOOST_TEST(splitter.hasPartial());
    }
}

// Guards against a stream whose line ends change, which no engine sends.
BOOST_AUTO_TEST_CASE(lineEndsDoNotChangeWithinAResponse)
{
    for (const char *const first : LineEnds) {
        for (const char *const second : LineEnds) {
            event_splitter splitter;
            const std::string one = withLineEnds(event(1, "x"), first);
            const std::string two = withLineEnds(event(2, "x"), second);
            const bool isSame = std::string(first) == second;
            BOOST_TEST(splitter.add(one + two) == (isSame ? one + two : one));
            BOOST_TEST(splitter.failed() == !isSame);
            splitter.continueElsewhere();
            const std::string rest = withLineEnds(event(isSame ? 3 : 2, "x"), second);
            BOOST_TEST(splitter.add(rest) == rest);
        }
    }
}

// Compares sound and broken streams with a plain reference: whatever arrives, in pieces of any
// size, the caller gets a prefix of the engine's whole events and in the end all of them.
BOOST_AUTO_TEST_CASE(brokenStreamsGiveAPrefixOfWholeEvents)
{
    const std::string tails[] = { "", "\r\n0\r\n\r\n", "\r\n", "HTTP/1.1 503 X\r\n" };
    std::mt19937 random(11);
    for (int round = 0; round < 3000; ++round) {
        const char *const lineEnd = LineEnds[random() % 3];
        const int count = 1 + static_cast<int>(random() % 12);
        const std::string whole = withLineEnds(stream(1, count), lineEnd);
        const bool isSound = random() % 4 == 0;
        const std::size_t cut = isSound ? whole.size() : random() % whole.size();
        std::string received = whole.substr(0, cut);
        // Between two events, a tail can be a blank line of the stream.
        bool isBetweenEvents = cut == 0;
        for (int id = 1; id <= count; ++id)
            isBetweenEvents = isBetweenEvents || cut == withLineEnds(stream(1, id), lineEnd).size();
        if (!isBetweenEvents)
            received += tails[random() % 4];
        event_splitter splitter;
        std::string out;
        for (std::size_t at = 0; at < received.size();) {
            const std::size_t size = 1 + random() % 30;
            out += splitter.add(received.substr(at, size));
            at += size;
        }
        const auto delivered = static_cast<int>(splitter.events());
        BOOST_REQUIRE(out == withLineEnds(stream(1, delivered), lineEnd));
        BOOST_REQUIRE(whole.compare(0, out.size(), out) == 0);
        BOOST_REQUIRE(!isSound || delivered == count);
        splitter.continueElsewhere();
        out += splitter.add(withLineEnds(stream(delivered + 1, count + 1), lineEnd));
        BOOST_REQUIRE(out == withLineEnds(stream(1, count + 1), lineEnd));
    }
}
