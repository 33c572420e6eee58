#define BOOST_TEST_MODULE body_memory
#include "burdockhold/body_memory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace burdockhold;

namespace {

constexpr std::size_t Limit = 100;

/// What a test holds or waits for. Ids are the test's own, in the order of the requests.
struct reservations
{
    std::map<int, std::size_t> held;
    std::map<int, std::pair<std::uint64_t, std::size_t>> waiting;

    std::size_t sum() const
    {
        std::size_t bytes = 0;
        for (const auto &[id, size] : held)
            bytes += size;
        return bytes;
    }
};

} // namespace

// Guards against bodies that together exceed the memory, against one that is never read, and
// against one that overtakes another, over random histories.
BOOST_AUTO_TEST_CASE(bodiesAreReadInOrderWithinTheMemory)
{
    std::mt19937 random(38);
    body_memory memory(Limit);
    reservations all;
    int lastId = 0;
    for (int round = 0; round < 20000; ++round) {
        const std::size_t choice = random() % 4;
        if (choice < 2) {
            const int id = ++lastId;
            const std::size_t bytes = random() % 130;
            const std::uint64_t ticket = memory.reserve(bytes, [&all, id] {
                BOOST_TEST(all.waiting.begin()->first == id);
                all.held[id] = all.waiting.at(id).second;
                all.waiting.erase(id);
            });
            if (ticket == 0)
                all.held[id] = bytes;
            else
                all.waiting[id] = { ticket, bytes };
        } else if (choice == 2 && !all.held.empty()) {
            const auto chosen = std::next(all.held.begin(),
                                          static_cast<int>(random() % all.held.size()));
            const std::size_t bytes = chosen->second;
            all.held.erase(chosen);
            memory.release(bytes);
        } else if (choice == 3 && !all.waiting.empty() && random() % 4 == 0) {
            const auto chosen = std::next(all.waiting.begin(),
                                          static_cast<int>(random() % all.waiting.size()));
            const std::uint64_t ticket = chosen->second.first;
            all.waiting.erase(chosen);
            memory.cancel(ticket);
        }
        BOOST_TEST(memory.reserved() == all.sum());
        const auto holders = std::count_if(all.held.begin(), all.held.end(),
                                           [](const auto &item) { return item.second > 0; });
        BOOST_TEST((all.sum() <= Limit || holders == 1));
        // The first one that waits does so only for lack of memory.
        if (!all.waiting.empty())
            BOOST_TEST(all.sum() + all.waiting.begin()->second.second > Limit);
    }
    BOOST_TEST(lastId > 5000);
}
