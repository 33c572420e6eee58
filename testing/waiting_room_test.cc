#define BOOST_TEST_MODULE waiting_room
#include "burdockhold/waiting_room.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>

using namespace burdockhold;
using std::chrono::milliseconds;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(milliseconds(ms));
}

waiting_request requestOf(std::uint64_t id, int priority, std::uint32_t account,
                          std::int64_t tokens, std::int64_t arrivedMs, std::int64_t targetMs)
{
    waiting_request request;
    request.id = id;
    request.priority = priority;
    request.account = account;
    request.tokens = tokens;
    request.arrivedAt = at(arrivedMs);
    request.targetAt = at(arrivedMs + targetMs);
    request.deadlineAt = at(arrivedMs + 5 * targetMs);
    return request;
}

/// The order of waiting_room.h, found by comparing all requests each time.
class simple_room
{
public:
    explicit simple_room(const waiting_room_options &options)
        : m_options(options)
    {
    }

    void add(const waiting_request &request)
    {
        auto &tag = m_tags[request.priority][request.account];
        const bool waits = std::any_of(m_waiting.begin(), m_waiting.end(), [&](const auto &other) {
            return other.priority == request.priority && other.account == request.account;
        });
        if (!waits)
            tag = std::max(tag, m_virtual[request.priority]);
        m_waiting.push_back(request);
    }

    /// Removes and returns the next request that fits.
    bool serveOne(time_point now, std::int64_t largest, waiting_request &served)
    {
        const bool fromOverdue = m_credit > 0.0 && pick(now, largest, true, served);
        if (!fromOverdue && !pick(now, largest, false, served))
            return false;
        const double cost = static_cast<double>(served.tokens);
        const double share = m_options.starvationShare / (1.0 - m_options.starvationShare);
        double first = 0.0;
        time_point firstDue = time_point::max();
        for (const auto &other : m_waiting) {
            if (dueAt(other) <= now && dueAt(other) < firstDue) {
                firstDue = dueAt(other);
                first = static_cast<double>(other.tokens);
            }
        }
        m_credit = fromOverdue ? m_credit - cost : std::min(m_credit + cost * share, first);
        double &tag = m_tags[served.priority][served.account];
        double &virtualTime = m_virtual[served.priority];
        virtualTime = std::max(virtualTime, tag);
        tag += cost / served.weight;
        drop(served.id);
        return true;
    }

    void expire(time_point now)
    {
        const auto waiting = m_waiting;
        for (const auto &request : waiting) {
            if (!canMeetDeadline(request, now))
                drop(request.id);
        }
    }

private:
    time_point dueAt(const waiting_request &request) const
    {
        return request.arrivedAt
               + fromSeconds(m_options.starvationTargets
                             * toSeconds(request.targetAt - request.arrivedAt));
    }

    bool pick(time_point now, std::int64_t largest, bool overdue, waiting_request &best)
    {
        bool isFound = false;
        const auto rank = [&](const waiting_request &r) {
            const bool late = !canMeetTarget(r, now);
            const auto key = late ? r.deadlineAt - r.expectedRun : r.targetAt - r.expectedFirst;
            return overdue ? std::make_tuple(0, false, 0.0, 0U, dueAt(r), r.id)
                           : std::make_tuple(r.priority, late, m_tags[r.priority][r.account],
                                             r.account, key, r.id);
        };
        for (const auto &request : m_waiting) {
            if (request.tokens > largest || (overdue && dueAt(request) > now))
                continue;
            if (!isFound || rank(request) < rank(best))
                best = request;
            isFound = true;
        }
        return isFound;
    }

    void drop(std::uint64_t id)
    {
        const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                        [id](const auto &other) { return other.id == id; });
        const int priority = found->priority;
        m_waiting.erase(found);
        if (std::any_of(m_waiting.begin(), m_waiting.end(),
                        [&](const auto &other) { return other.priority == priority; }))
            return;
        m_tags[priority].clear();
        m_virtual[priority] = 0.0;
    }

    waiting_room_options m_options;
    std::vector<waiting_request> m_waiting;
    std::map<int, std::map<std::uint32_t, double>> m_tags;
    std::map<int, double> m_virtual;
    double m_credit = 0.0;
};

} // namespace

// Guards against an order that differs from the promised one after any sequence of arrivals,
// placements, expiries and transitions to late and overdue.
BOOST_AUTO_TEST_CASE(order_equals_that_of_a_plain_search)
{
    int served = 0;
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        waiting_room_options options;
        options.starvationTargets = 0.5 + 0.5 * (seed % 4);
        waiting_room room(options);
        simple_room reference(options);
        std::uint64_t id = 0;
        std::int64_t now = 0;
        for (int step = 0; step < 400; ++step) {
            now += random() % 20;
            for (int count = random() % 3; count > 0; --count) {
                auto request = requestOf(++id, random() % 3, random() % 4, 1 + random() % 900, now,
                                         50 + random() % 300);
                request.shape = request.tokens; // Each size is tried on its own.
                request.expectedFirst = milliseconds(random() % 30);
                request.expectedRun = request.expectedFirst + milliseconds(random() % 90);
                request.weight = 1.0 + request.account;
                BOOST_REQUIRE(room.add(request, at(now)));
                reference.add(request);
            }
            room.takeExpired(at(now));
            reference.expire(at(now));
            int left = random() % 3;
            const std::int64_t largest = 100 + random() % 900;
            room.serve(at(now), [&](const waiting_request &request) {
                if (left == 0 || request.tokens > largest)
                    return false;
                --left;
                waiting_request expected;
                BOOST_REQUIRE(reference.serveOne(at(now), largest, expected));
                BOOST_REQUIRE_MESSAGE(expected.id == request.id,
                                      "seed " << seed << " step " << step << ": " << request.id
                                              << ", not " << expected.id);
                ++served;
                return true;
            });
        }
    }
    BOOST_TEST_MESSAGE(served << " requests served in the same order");
    BOOST_TEST(served > 10000);
}

// Guards against shares that depart from the weights while all accounts want more than theirs.
BOOST_AUTO_TEST_CASE(shares_of_accounts_follow_the_weights)
{
    double worst = 0.0;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        waiting_room room;
        std::map<std::uint32_t, double> served;
        std::map<std::uint32_t, int> waiting;
        std::uint64_t id = 0;
        const auto fill = [&](std::uint32_t account) {
            for (; waiting[account] < 3; ++waiting[account]) {
                auto request = requestOf(++id, 0, account, 1 + random() % 1000, 0, 1000);
                request.weight = 1.0 + account;
                BOOST_REQUIRE(room.add(request, at(0)));
            }
        };
        for (int turn = 0; turn < 2000; ++turn) {
            for (std::uint32_t account = 0; account < 5; ++account)
                fill(account);
            bool isPlaced = false;
            room.serve(at(0), [&](const waiting_request &request) {
                if (isPlaced)
                    return false;
                isPlaced = true;
                --waiting[request.account];
                served[request.account] += static_cast<double>(request.tokens) / request.weight;
                return true;
            });
            for (std::uint32_t a = 0; a < 5; ++a) {
                for (std::uint32_t b = 0; b < 5; ++b) {
                    const double bound = 1001.0 / (1.0 + a) + 1001.0 / (1.0 + b);
                    worst = std::max(worst, (served[a] - served[b]) / bound);
                }
            }
        }
    }
    BOOST_TEST_MESSAGE("largest gap " << worst << " of the bound");
    BOOST_TEST(worst <= 1.0);
}

// Guards against large requests of the least urgent class that never get a turn, and against
// overdue ones that take more than their share from the others.
BOOST_AUTO_TEST_CASE(overdue_requests_get_their_share)
{
    waiting_room_options options;
    options.starvationShare = 0.125;
    waiting_room room(options);
    std::uint64_t id = 0;
    std::map<int, double> served;
    for (std::int64_t now = 0; now < 60000; now += 10) {
        for (int count = 0; count < 3; ++count)
            room.add(requestOf(++id, 0, 1, 800, now, 300), at(now));
        if (now % 100 == 0)
            room.add(requestOf(++id, 9, 2, 9000, now, 1200), at(now));
        room.takeExpired(at(now));
        int left = 1;
        room.serve(at(now), [&](const waiting_request &request) {
            if (left == 0)
                return false;
            --left;
            served[request.priority] += static_cast<double>(request.tokens);
            return true;
        });
    }
    const double share = served[9] / (served[0] + served[9]);
    BOOST_TEST_MESSAGE("large overdue requests got " << share << " of the tokens");
    BOOST_TEST(share > 0.08);
    BOOST_TEST(share <= 0.13);
}

// Guards against a full room that keeps what is worst off and refuses urgent arrivals, and against
// an account that fills it.
BOOST_AUTO_TEST_CASE(a_full_room_gives_up_what_is_worst_off)
{
    waiting_room_options options;
    options.maxWaiting = 4;
    waiting_room room(options);
    for (std::uint64_t id = 1; id <= 3; ++id)
        BOOST_TEST(room.add(requestOf(id, 1, 1, 100, 0, 100 * id), at(0)));
    BOOST_TEST(room.add(requestOf(4, 1, 2, 100, 0, 900), at(0)));
    BOOST_TEST(!room.add(requestOf(4, 1, 2, 100, 0, 900), at(0)));
    BOOST_TEST((room.lastRefusal() == waiting_refusal::DuplicateId));
    BOOST_TEST(!room.add(requestOf(5, 2, 3, 100, 0, 100), at(0)));
    BOOST_TEST((room.lastRefusal() == waiting_refusal::Full));
    BOOST_TEST(!room.add(requestOf(6, 1, 1, 100, 0, 900), at(0)));
    BOOST_TEST(room.add(requestOf(7, 0, 1, 100, 0, 100), at(0)));
    const auto evicted = room.takeExpired(at(0));
    BOOST_REQUIRE(evicted.size() == 1U);
    BOOST_TEST(evicted[0].id == 3U);
    BOOST_TEST(!room.add(requestOf(8, 0, 1, 100, 0, 100), at(501)));
    BOOST_TEST((room.lastRefusal() == waiting_refusal::TooLate));
}

// Guards against requests that are held although they cannot be answered before their deadline,
// and against a removed one that is tried.
BOOST_AUTO_TEST_CASE(requests_leave_when_they_can_no_longer_be_answered)
{
    waiting_room room;
    auto request = requestOf(1, 0, 1, 100, 0, 100);
    request.expectedRun = milliseconds(50);
    BOOST_TEST(room.add(request, at(0)));
    BOOST_TEST(room.add(requestOf(2, 0, 1, 100, 0, 1000), at(0)));
    room.remove(2);
    room.remove(2);
    BOOST_TEST(room.takeExpired(at(450)).empty());
    BOOST_TEST((room.nextExpiry() > at(450)));
    BOOST_TEST((room.nextExpiry() < at(451)));
    BOOST_TEST(room.takeExpired(at(451)).size() == 1U);
    BOOST_TEST(room.isEmpty());
    room.serve(at(451), [](const waiting_request &) {
        BOOST_ERROR("nothing waits");
        return true;
    });
}

// Guards against a round without bound where no two requests can be placed at the same endpoints.
BOOST_AUTO_TEST_CASE(serving_stops_after_the_failures_given)
{
    waiting_room room;
    for (std::uint64_t id = 1; id <= 50; ++id) {
        waiting_request request = requestOf(id, 0, 1, 100, 0, 1000);
        request.shape = id;
        room.add(request, at(0));
    }
    int tries = 0;
    room.serve(
            at(1), [&](const waiting_request &) { return ++tries % 2 == 0; }, 8);
    BOOST_TEST(tries == 15); // 8 failures, with 7 placements between them.
    BOOST_TEST(room.size() == 43U);
}

// Guards against an expected wait that ignores who is ahead, or how fast room is freed.
BOOST_AUTO_TEST_CASE(expected_wait_follows_the_rate_of_placements)
{
    waiting_room room;
    std::uint64_t id = 0;
    for (int count = 0; count < 200; ++count)
        room.add(requestOf(++id, 1, count % 2, 100, 0, 60000), at(0));
    BOOST_TEST((room.expectedWait(requestOf(999, 1, 1, 100, 0, 1000), at(0)) == duration::zero()));
    for (std::int64_t now = 10; now <= 1000; now += 10) { // 100 requests in a second.
        bool isPlaced = false;
        room.serve(at(now),
                   [&](const waiting_request &) { return !std::exchange(isPlaced, true); });
    }
    const auto waitOf = [&](int priority, std::uint32_t account) {
        return toSeconds(
                room.expectedWait(requestOf(999, priority, account, 100, 1000, 1000), at(1000)));
    };
    BOOST_TEST(waitOf(0, 1) == 0.0);
    BOOST_TEST(waitOf(1, 1) > 0.9);
    BOOST_TEST(waitOf(1, 1) < 1.1);
    BOOST_TEST(waitOf(1, 7) < 0.05);
    BOOST_TEST(waitOf(2, 7) > 0.9);
}
