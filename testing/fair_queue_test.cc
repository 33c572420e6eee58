#define BOOST_TEST_MODULE fair_queue
#include "burdockhold/fair_queue.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <random>

using namespace burdockhold;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(std::chrono::milliseconds(ms));
}

queued_request requestOf(std::uint64_t id, const std::string &account, double weight = 1.0,
                         double cost = 1.0, std::int64_t priority = 0)
{
    return { id, account, priority, weight, cost, std::chrono::seconds(10) };
}

struct load
{
    std::string name;
    double weight;
    double cost; ///< Largest.
};

} // namespace

// Guards against shares that depart from the weights under overload. The reference is the exact
// proportional share; the bound is the one that the header states, for every pair at every moment.
BOOST_AUTO_TEST_CASE(shares_follow_the_weights)
{
    double worst = 0.0;
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        fair_queue queue;
        std::vector<load> loads;
        loads.reserve(5);
        std::map<std::string, double> served;
        std::map<std::string, int> waiting;
        std::uint64_t id = 0;
        for (int i = 0; i < 5; ++i)
            loads.push_back(
                    { "a" + std::to_string(i), 1.0 + random() % 8, 10.0 + random() % 1000 });
        const auto fill = [&](const load &l) {
            for (; waiting[l.name] < 3; ++waiting[l.name]) {
                const double cost = 1.0 + std::fmod(random(), l.cost);
                BOOST_REQUIRE(isOk(queue.push(requestOf(++id, l.name, l.weight, cost), at(0))));
            }
        };
        for (const auto &l : loads)
            fill(l);
        for (int i = 0; i < 3000; ++i) {
            const auto popped = queue.pop();
            BOOST_REQUIRE(popped);
            served[popped->account] += popped->costTokens;
            --waiting[popped->account];
            for (const auto &l : loads)
                fill(l);
            for (const auto &a : loads) {
                for (const auto &b : loads) {
                    const double gap = served[a.name] / a.weight - served[b.name] / b.weight;
                    const double bound = (a.cost + 1) / a.weight + (b.cost + 1) / b.weight;
                    BOOST_REQUIRE_MESSAGE(gap <= bound, "seed " << seed << ", step " << i);
                    worst = std::max(worst, gap / bound);
                }
            }
        }
        queue.startPeriod();
        for (int i = 0; i < 500; ++i) {
            const auto popped = queue.pop();
            --waiting[popped->account];
            for (const auto &l : loads)
                fill(l);
        }
        BOOST_TEST(queue.worstServed()->share > 0.5);
        BOOST_TEST(queue.worstServed()->share <= 1.0);
    }
    BOOST_TEST_MESSAGE("largest gap " << worst << " of the bound");
}

// Guards against an account that sends ten times its share and so slows the others down. The
// capacity is 10 requests a second; two other accounts send 3 a second each, within their share.
BOOST_AUTO_TEST_CASE(a_flood_does_not_reduce_other_shares)
{
    for (const int floodPerSecond : { 2, 34 }) {
        fair_queue_options options;
        options.maxWaitingPerAccount = 100;
        fair_queue queue(options);
        std::map<std::string, int> served;
        std::uint64_t id = 0;
        int refused = 0;
        for (std::int64_t second = 0; second < 100; ++second) {
            const time_point now = at(second * 1000);
            for (int i = 0; i < floodPerSecond; ++i)
                refused += isOk(queue.push(requestOf(++id, "flood", 1.0), now)) ? 0 : 1;
            for (int i = 0; i < 3; ++i) {
                BOOST_TEST(isOk(queue.push(requestOf(++id, "x", 1.0), now)));
                BOOST_TEST(isOk(queue.push(requestOf(++id, "y", 1.0), now)));
            }
            for (int i = 0; i < 10; ++i) {
                if (const auto popped = queue.pop())
                    ++served[popped->account];
            }
        }
        BOOST_TEST(served["x"] == 300);
        BOOST_TEST(served["y"] == 300);
        BOOST_TEST(served["flood"] == (floodPerSecond == 2 ? 200 : 400));
        BOOST_TEST((refused > 0) == (floodPerSecond == 34));
    }
}

// Guards against credit for idle time: an account that returns gets its share, not more.
BOOST_AUTO_TEST_CASE(idle_accounts_collect_no_credit)
{
    fair_queue queue;
    std::uint64_t id = 0;
    for (int i = 0; i < 400; ++i)
        queue.push(requestOf(++id, "busy"), at(0));
    for (int i = 0; i < 100; ++i)
        queue.pop();
    for (int i = 0; i < 200; ++i)
        queue.push(requestOf(++id, "late"), at(0));
    int late = 0;
    for (int i = 0; i < 100; ++i)
        late += queue.pop()->account == "late" ? 1 : 0;
    BOOST_TEST(std::abs(late - 50) <= 1);
}

// Guards against a lower class overtaking, and against one that never gets a turn.
BOOST_AUTO_TEST_CASE(classes_go_by_priority_within_the_bound)
{
    fair_queue_options options;
    options.maxPasses = 8;
    fair_queue queue(options);
    std::uint64_t id = 0;
    for (int i = 0; i < 1000; ++i) {
        for (std::int64_t priority = 0; priority < 4; ++priority)
            queue.push(requestOf(++id, "a", 1.0, 1.0, priority), at(0));
    }
    std::map<std::int64_t, int> served;
    std::map<std::int64_t, int> lastTurn;
    for (int i = 1; i <= 1000; ++i) {
        const auto priority = queue.pop()->priority;
        BOOST_TEST(i - lastTurn[priority] <= options.maxPasses + 4);
        lastTurn[priority] = i;
        ++served[priority];
        if (i <= options.maxPasses)
            BOOST_TEST(priority == 0);
    }
    BOOST_TEST(served[0] > 600);
    for (std::int64_t priority = 1; priority < 4; ++priority)
        BOOST_TEST(served[priority] >= 1000 / (options.maxPasses + 4));
}

// Guards against cancelled or expired requests that still get a turn, or cost their account one.
BOOST_AUTO_TEST_CASE(cancelled_and_expired_requests_leave)
{
    fair_queue queue;
    queue.push(requestOf(1, "a", 1.0, 1000.0), at(0));
    queue.push(requestOf(2, "a"), at(5000));
    queue.push(requestOf(3, "b"), at(5000));
    auto endless = requestOf(4, "b");
    endless.maxWait = duration::max();
    queue.push(endless, at(5000));
    BOOST_TEST(queue.cancel(3));
    BOOST_TEST(!queue.cancel(3));
    BOOST_TEST(queue.takeExpired(at(9999)).empty());
    const auto expired = queue.takeExpired(at(10000));
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST(expired[0].id == 1U);
    BOOST_TEST(queue.pop()->id == 2U);
    BOOST_TEST(queue.takeExpired(at(99999999)).empty());
    BOOST_TEST(queue.pop()->id == 4U);
    BOOST_TEST(!queue.pop());
    BOOST_TEST(queue.size() == 0U);
}

// Guards against unbounded memory and against input that breaks the order of accounts.
BOOST_AUTO_TEST_CASE(bad_or_excessive_requests_are_refused)
{
    fair_queue_options options;
    options.maxWaiting = 3;
    options.maxWaitingPerAccount = 2;
    fair_queue queue(options);
    const auto codeOf = [&](const queued_request &request) {
        return errorOf(queue.push(request, at(0))).code;
    };
    BOOST_TEST((codeOf(requestOf(1, "a", 0.0)) == queue_error::BadWeight));
    BOOST_TEST((codeOf(requestOf(1, "a", std::nan(""))) == queue_error::BadWeight));
    BOOST_TEST(isOk(queue.push(requestOf(1, "a", 1.0, std::nan("")), at(0))));
    BOOST_TEST((codeOf(requestOf(1, "a")) == queue_error::DuplicateId));
    BOOST_TEST(isOk(queue.push(requestOf(2, "a", 1.0, -5.0), at(0))));
    BOOST_TEST((codeOf(requestOf(3, "a")) == queue_error::AccountFull));
    BOOST_TEST(isOk(queue.push(requestOf(4, "b"), at(0))));
    BOOST_TEST((codeOf(requestOf(5, "b")) == queue_error::Full));
    BOOST_TEST(queue.size() == 3U);
}

// Guards against a report that hides the account that fares worst.
BOOST_AUTO_TEST_CASE(the_worst_served_account_is_named)
{
    fair_queue queue;
    std::uint64_t id = 0;
    BOOST_TEST(!queue.worstServed());
    for (int i = 0; i < 30; ++i)
        queue.push(requestOf(++id, "small", 1.0, 1.0), at(0));
    queue.push(requestOf(++id, "large", 1.0, 100.0), at(0));
    queue.push(requestOf(++id, "large", 1.0, 100.0), at(0));
    queue.startPeriod();
    queue.pop();
    queue.pop();
    const auto worst = queue.worstServed();
    BOOST_REQUIRE(worst);
    BOOST_TEST(worst->account == "small");
    BOOST_TEST(worst->share < 0.1);
}
