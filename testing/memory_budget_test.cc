#define BOOST_TEST_MODULE memory_budget
#include "burdockhold/body_memory.h"
#include "burdockhold/client_queue.h"
#include "burdockhold/memory_budget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace burdockhold;

namespace {

constexpr std::size_t MiB = std::size_t(1024) * 1024;
constexpr std::size_t Parts = enum_names<memory_part>::Table.size();

} // namespace

// Guards against a part or the sum that exceeds its limit, and against bytes that are lost or
// counted twice, over random histories with an owner that frees what it took first.
BOOST_AUTO_TEST_CASE(partsAndSumStayWithinTheirLimits)
{
    std::mt19937 random(88);
    memory_budget budget({ 88 * MiB });
    struct holding
    {
        memory_part part;
        std::size_t bytes;
    };
    std::vector<holding> held;
    const auto giveFirst = [&](std::optional<memory_part> part) {
        const auto first = std::find_if(held.begin(), held.end(), [part](const holding &item) {
            return !part || item.part == *part;
        });
        if (first == held.end())
            return false;
        budget.give(first->part, first->bytes);
        held.erase(first);
        return true;
    };
    int refused = 0;
    for (int step = 0; step < 20000; ++step) {
        const bool reclaims = step % 1000 < 500;
        budget.setReclaim(reclaims ? giveFirst : memory_budget::reclaim_function());
        const auto part = static_cast<memory_part>(random() % Parts);
        const std::size_t bytes = random() % (4 * MiB);
        if (budget.tryTake(part, bytes))
            held.push_back({ part, bytes });
        else
            ++refused;
        if (random() % 8 == 0)
            giveFirst(std::nullopt);
        std::array<std::size_t, Parts> expected{};
        for (const holding &item : held)
            expected[static_cast<std::size_t>(item.part)] += item.bytes;
        std::size_t sum = 0;
        for (const auto &row : enum_names<memory_part>::Table) {
            const std::size_t used = expected[static_cast<std::size_t>(row.value)];
            BOOST_REQUIRE_EQUAL(budget.used(row.value), used);
            BOOST_REQUIRE_LE(used, budget.limit(row.value));
            sum += used;
        }
        BOOST_REQUIRE_EQUAL(budget.used(), sum);
        BOOST_REQUIRE_LE(sum, budget.limit());
    }
    BOOST_TEST(refused > 0);
    BOOST_TEST(budget.limit() < 88 * MiB * 8 / 10);
}

// Guards against slow clients that may each have as much as a single one while the part is full.
BOOST_AUTO_TEST_CASE(unreadLimitFallsAsTheOutputFillsUp)
{
    memory_budget budget({ 88 * MiB });
    std::size_t before = budget.unreadLimit();
    BOOST_TEST(before == MiB / 4);
    while (budget.tryTake(memory_part::Output, MiB / 8)) {
        BOOST_REQUIRE_LE(budget.unreadLimit(), before);
        before = budget.unreadLimit();
    }
    BOOST_TEST(before == MiB / 64);
}

// Guards against descriptors that are promised twice, also with few.
BOOST_AUTO_TEST_CASE(descriptorSharesFitTheLimit)
{
    for (const int descriptors : { 0, 16, 40, 200, 1024, 4100, 65536 }) {
        const descriptor_shares shares(descriptors);
        BOOST_TEST(shares.clients >= 1U);
        BOOST_TEST(shares.vms >= 1U);
        BOOST_TEST(shares.readiness >= 1U);
        BOOST_TEST(shares.clients + shares.vms + shares.readiness
                   <= static_cast<std::size_t>(std::max(descriptors, 16)));
    }
    BOOST_TEST(descriptor_shares(4100).clients > 3000U);
}

// Guards against a wrong order, and against clients that stay in a queue that they have left, over
// random moves between two queues.
BOOST_AUTO_TEST_CASE(clientsLeaveInTheOrderOfTheirEntry)
{
    std::mt19937 random(4);
    std::array<client_queue<int>, 2> queues;
    std::array<int, 30> clients{};
    std::array<client_queue<int>::place, clients.size()> places;
    std::array<std::vector<int *>, 2> expected;
    time_point now{};
    for (int step = 0; step < 20000; ++step) {
        now += std::chrono::milliseconds(1);
        const std::size_t at = random() % clients.size();
        for (auto &order : expected)
            order.erase(std::remove(order.begin(), order.end(), &clients[at]), order.end());
        const std::size_t which = random() % 3;
        if (which < queues.size()) {
            queues[which].enter(clients[at], places[at], now);
            expected[which].push_back(&clients[at]);
        } else {
            client_queue<int>::leave(places[at]);
        }
        for (std::size_t queue = 0; queue < queues.size(); ++queue) {
            int *oldest = expected[queue].empty() ? nullptr : expected[queue].front();
            BOOST_REQUIRE_EQUAL(queues[queue].oldest(), oldest);
            BOOST_REQUIRE_EQUAL(queues[queue].oldestSince(now), oldest);
            BOOST_REQUIRE(queues[queue].oldestSince(time_point{}) == nullptr);
        }
    }
}

// Guards against a reservation that is granted after it was withdrawn, while memory is freed for
// it: the owner that frees memory withdraws its own reservation.
BOOST_AUTO_TEST_CASE(reservationWithdrawnWhileMemoryIsFreed)
{
    memory_budget budget({ 32 * MiB });
    body_memory bodies(4 * MiB, &budget);
    BOOST_REQUIRE(budget.tryTake(memory_part::Heads, budget.limit(memory_part::Heads)));
    BOOST_REQUIRE_EQUAL(bodies.reserve(MiB, [] {}), 0U);
    budget.take(memory_part::Output, budget.limit() - budget.used());
    bool granted = false;
    const std::uint64_t id = bodies.reserve(MiB, [&granted] { granted = true; });
    BOOST_REQUIRE_NE(id, 0U);
    budget.setReclaim([&](std::optional<memory_part>) {
        bodies.cancel(id);
        budget.give(memory_part::Heads, budget.used(memory_part::Heads));
        return true;
    });
    bodies.grant();
    BOOST_TEST(!granted);
    BOOST_TEST(bodies.reserved() == MiB);
    BOOST_TEST(budget.used(memory_part::Bodies) == RequestCopies * MiB);
}
