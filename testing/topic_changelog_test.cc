#define BOOST_TEST_MODULE view_history
#include "burdockhold/topic_changelog.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

using records_by_key = std::map<std::string, std::string>;

/// A VM that asks from time to time.
struct asker
{
    std::uint64_t number = 0;
    records_by_key records;

    void take(const topic_changes &changes)
    {
        if (changes.whole)
            records.clear();
        for (const topic_record &record : changes.records) {
            if (record.removed)
                records.erase(record.key);
            else
                records[record.key] = record.value;
        }
        number = changes.number;
    }
};

std::string textOf(std::mt19937 &random, int choices)
{
    return std::to_string(random() % static_cast<unsigned>(choices));
}

} // namespace

// Guards against a key that was withdrawn or an endpoint that left and stays in use at a VM that
// asks seldom: askers that ask at random times agree with a plain map after each question, also
// when removals had to be forgotten.
BOOST_AUTO_TEST_CASE(askersAgreeWithAPlainMapAfterEachQuestion)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        topic_changelog history(seed % 2 == 0 ? 3 : 2000);
        records_by_key reference;
        std::vector<asker> askers(5);
        for (int step = 0; step < 800; ++step) {
            const std::string key = textOf(random, 30);
            const unsigned action = random() % 10;
            if (action < 4) {
                const std::string value = textOf(random, 3);
                history.put(key, value);
                reference[key] = value;
            } else if (action < 7) {
                history.remove(key);
                reference.erase(key);
            } else if (action == 7) {
                const std::set<std::string> kept{ key };
                const auto found = reference.find(key);
                const records_by_key left = found == reference.end() ? records_by_key()
                                                                     : records_by_key{ *found };
                history.keepOnly(kept);
                reference = left;
            } else {
                asker &one = askers[random() % askers.size()];
                one.take(history.since(one.number));
                BOOST_REQUIRE(one.records == reference);
            }
        }
    }
}

// Guards against heartbeats that are passed on to every VM though nothing has changed.
BOOST_AUTO_TEST_CASE(unchangedRecordIsNoChange)
{
    topic_changelog history;
    history.put("a", "1");
    const std::uint64_t number = history.number();
    history.put("a", "1");
    history.remove("b");
    BOOST_TEST(history.number() == number);
    BOOST_TEST(history.since(number).records.empty());
    BOOST_TEST(!history.since(number).whole);
}

// Guards against an asker whose number is of another history: it gets the whole.
BOOST_AUTO_TEST_CASE(numberOfTheFutureGetsTheWhole)
{
    topic_changelog history;
    history.put("a", "1");
    BOOST_TEST(history.since(7).whole);
    BOOST_TEST(history.since(7).records.size() == 1U);
}
