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
        splitter.dropPartial();
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
