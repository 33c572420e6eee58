#define BOOST_TEST_MODULE overload_admission
#include "burdockhold/overload_admission.h"
#include "burdockhold/retry_after.h"
#include "burdockhold/wait_rules.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <utility>

using namespace burdockhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(milliseconds(ms));
}

waiting_request requestOf(std::uint64_t id, std::int64_t arrivedMs, std::int64_t deadlineMs)
{
    waiting_request request;
    request.id = id;
    request.tokens = 100;
    request.arrivedAt = at(arrivedMs);
    request.targetAt = at(arrivedMs + 200);
    request.deadlineAt = at(arrivedMs + deadlineMs);
    return request;
}

/// Places 100 requests of a room of 150 within a second.
void drain(waiting_room &room)
{
    std::uint64_t id = 0;
    for (int count = 0; count < 150; ++count)
        room.add(requestOf(++id, 0, 60000), at(0));
    for (std::int64_t now = 10; now <= 1000; now += 10) {
        bool isPlaced = false;
        room.serve(at(now),
                   [&](const waiting_request &) { return !std::exchange(isPlaced, true); });
    }
}

} // namespace

// Guards against requests that are held although the queue before them outlasts their deadline, and
// against refusals where nothing is known of the rate.
BOOST_AUTO_TEST_CASE(waits_only_if_it_can_be_placed_in_time)
{
    const overload_admission admission;
    waiting_room room;
    BOOST_TEST(admission.decide(room, requestOf(999, 0, 100), at(0)).mayWait);
    drain(room);
    const auto late = requestOf(999, 1000, 2000);
    auto urgent = requestOf(998, 1000, 100);
    BOOST_TEST(admission.decide(room, late, at(1000)).mayWait);
    BOOST_TEST(!admission.decide(room, urgent, at(1000)).mayWait);
    urgent.priority = -1;
    BOOST_TEST(admission.decide(room, urgent, at(1000)).mayWait);
    auto longRun = late;
    longRun.expectedRun = milliseconds(1700);
    BOOST_TEST(!admission.decide(room, longRun, at(1000)).mayWait);
}

// Guards against callers that come back all at once, later than a third of their time, or sooner
// than the queue can take them.
BOOST_AUTO_TEST_CASE(pauses_spread_refused_callers_at_the_rate)
{
    overload_admission admission;
    waiting_room room;
    drain(room);
    duration last = duration::zero();
    for (std::uint64_t caller = 0; caller < 60; ++caller) {
        const duration pause = admission.refuse(room, requestOf(500 + caller, 1000, 100),
                                                at(1000) + seconds(9), caller, at(1000));
        BOOST_TEST((pause >= last));
        BOOST_TEST((withJitter(pause, 999) <= seconds(3)));
        last = pause;
    }
    // 50 requests wait and 60 were promised: 1.1 s at the rate, of which 0.2 s may be waited.
    BOOST_TEST(toSeconds(last) > 0.8);
    BOOST_TEST(toSeconds(last) < 1.0);
    const duration pause = admission.refuse(room, requestOf(1, 1000, 100), at(1900), 1, at(1000));
    BOOST_TEST((withJitter(pause, 999) <= milliseconds(300)));
}

// Guards against a returning caller that is treated as a new one, or again and again as an old one.
BOOST_AUTO_TEST_CASE(returning_callers_are_known_once)
{
    overload_admission_options options;
    options.maxRefused = 2;
    overload_admission admission(options);
    const waiting_room room;
    for (std::uint64_t caller = 1; caller <= 3; ++caller)
        admission.refuse(room, requestOf(caller, 0, 100), at(1000), caller, at(0));
    BOOST_TEST(admission.takeReturning(1, at(100)));
    BOOST_TEST(!admission.takeReturning(1, at(100)));
    BOOST_TEST(!admission.takeReturning(3, at(100)));
    BOOST_TEST(!admission.takeReturning(2, at(6000)));
}

// Guards against plain services whose callers are refused although room is freed every few
// milliseconds, and against waits that leave no time to run, or to come back.
BOOST_AUTO_TEST_CASE(wait_ends_in_time_to_run_and_to_come_back)
{
    deployment_route route;
    route.latencyTarget = milliseconds(150);
    const auto plain = [&](std::int64_t deadlineMs) {
        waiting_request request;
        setWaitTimes(request, { at(0), at(0), at(deadlineMs) }, route);
        return latestStart(request);
    };
    BOOST_TEST((plain(4000) == at(600)));
    BOOST_TEST((plain(1000) == at(500)));
    BOOST_TEST((plain(100) <= at(50)));

    route.kind = call_kind::Stream;
    route.latencyTarget = milliseconds(1200);
    waiting_request stream;
    setWaitTimes(stream, { at(0), at(0), at(30000), 9190, 400 }, route);
    BOOST_TEST((latestStart(stream) < at(0) + maxEventGap(route)));
    BOOST_TEST((stream.expectedFirst > milliseconds(180)));
    BOOST_TEST((stream.expectedRun > milliseconds(2500)));
    waiting_request tight;
    setWaitTimes(tight, { at(0), at(0), at(3000), 9190, 400 }, route);
    BOOST_TEST((latestStart(tight) == at(1500)));
}
