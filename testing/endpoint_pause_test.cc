#define BOOST_TEST_MODULE endpoint_pause
#include "burdockhold/endpoint_table.h"
#include "burdockhold/left_out.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace burdockhold;

namespace {

time_point at(double seconds)
{
    return time_point{} + fromSeconds(seconds);
}

constexpr auto Open = endpoint_pause::state::Open;
constexpr auto Paused = endpoint_pause::state::Paused;
constexpr auto Leaving = endpoint_pause::state::Leaving;

endpoint_report report(const std::string &id, std::int64_t incarnation)
{
    endpoint_report entry;
    entry.id = id;
    entry.pool = "pool";
    entry.address = "127.0.0.1:" + id.substr(1);
    entry.slots = 1000;
    entry.incarnation = incarnation;
    return entry;
}

exclusion excluded(const endpoint_table &table, const std::string &id, double seconds)
{
    for (const auto &candidate : table.candidates("pool", "", 0, "", {}, at(seconds))) {
        if (candidate.id == id)
            return candidate.excluded;
    }
    return exclusion::Tried;
}

endpoint_notice pauseOf(double seconds)
{
    endpoint_notice notice;
    notice.pause = fromSeconds(seconds);
    return notice;
}

endpoint_notice leavingNotice()
{
    endpoint_notice notice;
    notice.leaving = true;
    return notice;
}

// A simulation of VMs that send requests to engines, in steps of a millisecond. The VMs use the
// endpoint table. The reference knows nothing of it: it counts arrivals at engines by the two
// rules.

constexpr int EngineCount = 3;
constexpr int VmCount = 2;
constexpr int Duration = 90000;
constexpr int MaxTransit = 200;
constexpr int OnItsWay = 500;
constexpr int MaxArrivalsInPause = 2;

struct sim_call
{
    int vm = 0;
    int vmStart = 0; // Number of the VM's start that made the call.
    int engine = 0;
    call_ticket ticket;
    int sentAt = 0;
};

struct refusal_record
{
    int vm;
    std::int64_t incarnation;
    int from;
    int to;
};

struct arrival_record
{
    int vm;
    std::int64_t incarnation;
    int sentAt;
    int at;
};

/// Times of freezes and restarts of one VM.
using excuses = std::vector<std::pair<int, int>>;

bool isExcused(const excuses &times, int from, int to)
{
    return std::any_of(times.begin(), times.end(),
                       [&](const auto &time) { return time.first <= to && time.second >= from; });
}

struct reference
{
    std::vector<refusal_record> refusals;
    std::vector<refusal_record> leavings; // From when the answer was passed on; no end.
    std::vector<arrival_record> arrivals;
    std::vector<excuses> excused = std::vector<excuses>(VmCount);

    std::size_t requestsInPauses() const
    {
        std::size_t broken = 0;
        for (const refusal_record &pause : refusals) {
            const auto count = std::count_if(
                    arrivals.begin(), arrivals.end(), [&](const arrival_record &arrival) {
                        return arrival.vm == pause.vm && arrival.incarnation == pause.incarnation
                               && arrival.at > pause.from + OnItsWay && arrival.at < pause.to;
                    });
            const bool counts = !isExcused(excused[static_cast<std::size_t>(pause.vm)], pause.from,
                                           pause.to);
            broken += counts && count > MaxArrivalsInPause ? 1 : 0;
        }
        return broken;
    }

    std::size_t requestsAfterLeaving(int drainMs) const
    {
        std::size_t broken = 0;
        for (const refusal_record &leaving : leavings) {
            broken += static_cast<std::size_t>(std::count_if(
                    arrivals.begin(), arrivals.end(), [&](const arrival_record &arrival) {
                        return arrival.vm == leaving.vm
                               && arrival.incarnation == leaving.incarnation
                               && arrival.sentAt > leaving.from + drainMs
                               && !isExcused(excused[static_cast<std::size_t>(arrival.vm)],
                                             leaving.from, arrival.at);
                    }));
        }
        return broken;
    }
};

struct sim_engine
{
    std::int64_t incarnation = 1;
    int pausedUntil = 0;
    bool leaving = false;
    int endsAt = Duration + 1; // Restarts then.
};

struct sim_vm
{
    std::unique_ptr<endpoint_table> table;
    int start = 0;
    int frozenUntil = 0;
};

/// An event of the simulation at a time. Answers and entries wait while their VM is frozen.
struct sim_event
{
    enum class type { Arrival, Answer, NoAnswer, Entry };

    type kind = type::Arrival;
    sim_call call;
    std::int64_t incarnation = 0;
    endpoint_notice notice;
    bool refused = false;
};

class simulation
{
public:
    /// Without obedience the VMs ignore what engines say.
    simulation(unsigned seed, bool obeys, int maxEntryDelay = 900)
        : m_random(seed)
        , m_obeys(obeys)
        , m_maxEntryDelay(maxEntryDelay)
        , m_engines(EngineCount)
        , m_vms(VmCount)
    {
        for (sim_engine &engine : m_engines)
            engine.incarnation = nextIncarnation();
        for (int vm = 0; vm < VmCount; ++vm)
            startVm(vm);
    }

    reference run()
    {
        for (m_now = 0; m_now < Duration; ++m_now) {
            stepEngines();
            stepVms();
            for (auto due = m_events.find(m_now); due != m_events.end();
                 due = m_events.find(m_now)) {
                const sim_event event = due->second;
                m_events.erase(due);
                handle(event);
            }
        }
        return std::move(m_reference);
    }

private:
    using type = sim_event::type;

    int between(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }
    bool chance(int in) { return between(1, in) == 1; }
    time_point now() const { return time_point{} + std::chrono::milliseconds(m_now); }
    sim_vm &vmOf(int vm) { return m_vms[static_cast<std::size_t>(vm)]; }
    sim_engine &engineOf(int engine) { return m_engines[static_cast<std::size_t>(engine)]; }
    static std::string nameOfEngine(int engine) { return "e" + std::to_string(engine); }
    void schedule(int delay, const sim_event &event) { m_events.emplace(m_now + delay, event); }

    /// Returns the time of the start in milliseconds, or a little later.
    std::int64_t nextIncarnation()
    {
        m_incarnations = std::max<std::int64_t>(m_incarnations + 1, m_now);
        return m_incarnations;
    }

    void startVm(int vm)
    {
        sim_vm &entry = vmOf(vm);
        endpoint_table_options options;
        options.returnSeed = m_random();
        entry.table = std::make_unique<endpoint_table>("dc", options);
        entry.table->setUnixTime(m_now, now());
        ++entry.start;
        for (int engine = 0; engine < EngineCount; ++engine)
            entry.table->update(report(nameOfEngine(engine), engineOf(engine).incarnation), now());
    }

    void stepEngines()
    {
        for (int index = 0; index < EngineCount; ++index) {
            sim_engine &engine = engineOf(index);
            if (m_now >= engine.pausedUntil && chance(4000))
                engine.pausedUntil = m_now
                                     + (chance(8) ? between(30000, 80000) : between(100, 6000));
            if (!engine.leaving && chance(15000)) {
                engine.leaving = true;
                engine.endsAt = m_now + between(100, 12000);
            }
            if (m_now >= engine.endsAt || chance(20000))
                restart(index);
        }
    }

    void restart(int index)
    {
        sim_engine next;
        next.incarnation = nextIncarnation();
        if (chance(3)) // Some pause from the start on.
            next.pausedUntil = m_now + between(500, 5000);
        engineOf(index) = next;
        for (int vm = 0; vm < VmCount; ++vm) {
            sim_event entry;
            entry.kind = type::Entry;
            entry.call.vm = vm;
            entry.call.engine = index;
            entry.incarnation = next.incarnation;
            schedule(between(10, m_maxEntryDelay), entry);
        }
    }

    void stepVms()
    {
        for (int index = 0; index < VmCount; ++index) {
            sim_vm &vm = vmOf(index);
            if (m_now < vm.frozenUntil)
                continue;
            if (chance(20000)) {
                vm.frozenUntil = m_now + between(200, 4000);
                m_reference.excused[static_cast<std::size_t>(index)].emplace_back(m_now,
                                                                                  vm.frozenUntil);
                continue;
            }
            if (chance(30000)) {
                startVm(index);
                m_reference.excused[static_cast<std::size_t>(index)].emplace_back(m_now, m_now);
            }
            vm.table->step(std::chrono::milliseconds(200), now());
            const int requests = chance(50) ? between(2, 12) : chance(12) ? 1 : 0;
            for (int request = 0; request < requests; ++request)
                send(index);
        }
    }

    void send(int index)
    {
        sim_vm &vm = vmOf(index);
        std::vector<std::string> usable;
        for (const auto &candidate : vm.table->candidates("pool", "", 0, "", {}, now())) {
            if (candidate.excluded == exclusion::None)
                usable.emplace_back(candidate.id);
        }
        if (usable.empty())
            return;
        const std::string id = usable[m_random() % usable.size()];
        sim_event event;
        event.call.vm = index;
        event.call.vmStart = vm.start;
        event.call.engine = id[1] - '0';
        event.call.sentAt = m_now;
        event.call.ticket = vm.table->callStarted(id, {}, now());
        schedule(between(1, MaxTransit), event);
    }

    void handle(const sim_event &event)
    {
        if (event.kind == type::Arrival) {
            arrive(event);
            return;
        }
        const sim_vm &vm = vmOf(event.call.vm);
        if (m_now < vm.frozenUntil)
            schedule(vm.frozenUntil - m_now, event);
        else if (event.kind == type::Entry)
            vm.table->update(report(nameOfEngine(event.call.engine), event.incarnation), now());
        else if (event.kind != type::Entry && event.call.vmStart == vm.start)
            answer(event);
    }

    void arrive(const sim_event &event)
    {
        const sim_engine &engine = engineOf(event.call.engine);
        m_reference.arrivals.push_back(
                { event.call.vm, engine.incarnation, event.call.sentAt, m_now });
        sim_event reply = event;
        reply.kind = chance(50) ? type::NoAnswer : type::Answer;
        reply.incarnation = engine.incarnation;
        reply.notice.leaving = engine.leaving;
        reply.refused = m_now < engine.pausedUntil;
        if (reply.refused) {
            reply.kind = type::Answer;
            reply.notice.pause = std::chrono::milliseconds(engine.pausedUntil - m_now);
            m_reference.refusals.push_back(
                    { event.call.vm, engine.incarnation, m_now, engine.pausedUntil });
        }
        schedule((reply.refused ? 0 : between(1, 700)) + between(1, MaxTransit), reply);
    }

    void answer(const sim_event &event)
    {
        endpoint_table &table = *vmOf(event.call.vm).table;
        const std::string id = nameOfEngine(event.call.engine);
        call_ticket ticket = event.call.ticket;
        if (event.kind == type::Answer && m_obeys)
            table.recordNotice(id, ticket, event.notice, now());
        if (event.kind == type::Answer && event.notice.leaving)
            m_reference.leavings.push_back({ event.call.vm, event.incarnation, m_now, Duration });
        if (event.kind == type::Answer && !event.refused) {
            table.callAccepted(id, ticket);
            ticket = {};
        }
        table.callEnded(id, {}, true, ticket);
    }

    std::mt19937 m_random;
    bool m_obeys;
    int m_maxEntryDelay;
    int m_now = 0;
    std::int64_t m_incarnations = 0; // The last one; unique over all engines.
    std::vector<sim_engine> m_engines;
    std::vector<sim_vm> m_vms;
    std::multimap<int, sim_event> m_events;
    reference m_reference;
};

} // namespace

// Guards against calls during a pause or after a leaving, in histories of engines that leave, pause
// and restart at the same address, and of VMs that freeze and restart.
BOOST_AUTO_TEST_CASE(arrivalsKeepBothRulesInRandomHistories)
{
    std::size_t arrivals = 0;
    std::size_t refusals = 0;
    std::size_t leavings = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        const reference counted = simulation(seed, true).run();
        arrivals += counted.arrivals.size();
        refusals += counted.refusals.size();
        leavings += counted.leavings.size();
        BOOST_TEST(counted.requestsInPauses() == 0U, "seed " << seed);
        BOOST_TEST(counted.requestsAfterLeaving(0) == 0U, "seed " << seed);
    }
    BOOST_TEST_MESSAGE(arrivals << " arrivals, " << refusals << " refusals, " << leavings
                                << " answers of leaving engines");
    BOOST_TEST(refusals > 100U);
    BOOST_TEST(leavings > 100U);
}

// Guards against a reference that finds nothing: it must find VMs that ignore what engines say.
BOOST_AUTO_TEST_CASE(referenceFindsVmsThatDoNotObey)
{
    const reference counted = simulation(1, false).run();
    BOOST_TEST(counted.requestsInPauses() > 0U);
    BOOST_TEST(counted.requestsAfterLeaving(2000) > 0U);
}

// Guards against several calls at once after a pause, and against a call without an answer that
// blocks the others for good.
BOOST_AUTO_TEST_CASE(callsAfterAPauseGrowWithTheAcceptedOnes)
{
    endpoint_pause pause;
    BOOST_TEST(pause.recordPause(fromSeconds(1), 0.0, at(0)));
    BOOST_TEST((pause.stateAt(at(0.99)) == Paused));
    BOOST_TEST((pause.stateAt(at(1)) == Open));
    const auto first = pause.callStarted(at(1));
    BOOST_TEST((pause.stateAt(at(1.1)) == Paused));
    pause.callEnded(first);
    BOOST_TEST((pause.stateAt(at(1.2)) == Open));
    pause.callAccepted(pause.callStarted(at(1.2)));
    pause.callStarted(at(1.3));
    BOOST_TEST((pause.stateAt(at(1.3)) == Open));
    pause.callStarted(at(1.3));
    BOOST_TEST((pause.stateAt(at(1.3)) == Paused));
}

// Guards against a pause without bound, an end that moves back, and VMs that return together.
BOOST_AUTO_TEST_CASE(pausesAreBoundedNestedAndSpread)
{
    endpoint_pause pause;
    pause.recordPause(std::chrono::hours(1), 0.0, at(0));
    BOOST_TEST((pause.pausedUntil() == at(30)));
    BOOST_TEST(!pause.recordPause(fromSeconds(1), 0.0, at(1)));
    BOOST_TEST((pause.pausedUntil() == at(30)));
    endpoint_pause early;
    endpoint_pause late;
    early.recordPause(fromSeconds(1), 0.0, at(0));
    late.recordPause(fromSeconds(1), 1.0, at(0));
    BOOST_TEST((early.pausedUntil() == at(1)));
    BOOST_TEST((late.pausedUntil() == at(1.25)));
    late.recordLeaving();
    BOOST_TEST((late.stateAt(at(9)) == Leaving));
}

// Guards against the state of an incarnation that passes to the next one, or that a late answer of
// the previous one brings back.
BOOST_AUTO_TEST_CASE(noticesBelongToOneIncarnation)
{
    endpoint_table table("dc");
    table.update(report("e1", 1), at(0));
    const call_ticket old = table.callStarted("e1", {}, at(0));
    BOOST_TEST(table.recordNotice("e1", old, leavingNotice(), at(0.1)).leavingBegan);
    table.update(report("e1", 1), at(0.2));
    BOOST_TEST((excluded(table, "e1", 0.2) == exclusion::Leaving));
    table.update(report("e1", 2), at(0.3));
    BOOST_TEST((excluded(table, "e1", 0.3) == exclusion::None));
    BOOST_TEST(table.recordNotice("e1", old, leavingNotice(), at(0.4)).outdated);
    BOOST_TEST(table.recordNotice("e1", old, pauseOf(5), at(0.4)).outdated);
    BOOST_TEST((excluded(table, "e1", 0.4) == exclusion::None));
    const auto ended = table.takeEndedNotices();
    BOOST_REQUIRE(ended.size() == 1U);
    BOOST_TEST((ended[0].reason == notice_end::NewIncarnation));
}

// Guards against a pause that is taken for a failure of the endpoint, or that other VMs adopt.
BOOST_AUTO_TEST_CASE(pauseChangesNeitherEstimatesNorDigests)
{
    endpoint_table table("dc");
    table.update(report("e1", 1), at(0));
    vm_digest before;
    table.fillDigest(before, at(1));
    const call_ticket ticket = table.callStarted("e1", {}, at(0));
    table.recordNotice("e1", ticket, pauseOf(3), at(0.1));
    table.recordNotice("e1", ticket, leavingNotice(), at(0.1));
    table.callEnded("e1", {}, true, ticket);
    vm_digest after;
    table.fillDigest(after, at(1));
    BOOST_TEST(encodeDigest(before) == encodeDigest(after));
    for (const auto &candidate : table.candidates("pool", "", 0, "", {}, at(4))) {
        BOOST_TEST(candidate.recentCalls == 0.0);
        BOOST_TEST(candidate.latencyMs == 0.0);
    }
}

// Guards against the refusal of requests that an endpoint may still take before their longest wait
// ends.
BOOST_AUTO_TEST_CASE(requestIsRefusedOnlyIfNoEndpointReturnsInTime)
{
    endpoint_candidate leaving;
    leaving.excluded = exclusion::Leaving;
    endpoint_candidate paused;
    paused.excluded = exclusion::Paused;
    paused.pausedUntil = at(5);
    endpoint_candidate tried;
    tried.excluded = exclusion::Tried;
    endpoint_candidate full;
    BOOST_TEST(mustRefuseAtOnce(countLeftOut({ leaving, paused, tried }), at(4)));
    BOOST_TEST(!mustRefuseAtOnce(countLeftOut({ leaving, paused, tried }), at(6)));
    BOOST_TEST(!mustRefuseAtOnce(countLeftOut({ leaving, paused, full }), at(4)));
    BOOST_TEST(mustRefuseAtOnce(countLeftOut({ leaving }), at(4)));
    BOOST_TEST(!mustRefuseAtOnce(countLeftOut({ tried }), at(4)));
    BOOST_TEST(!mustRefuseAtOnce(countLeftOut({}), at(4)));
}

// Guards against a request that waits for the end of a pause though it was sent to that endpoint
// already, and against a stated return after the first end of a pause.
BOOST_AUTO_TEST_CASE(pauseOfATriedEndpointIsNotWaitedFor)
{
    endpoint_candidate triedAndPaused;
    triedAndPaused.excluded = exclusion::Paused;
    triedAndPaused.pausedUntil = at(3);
    triedAndPaused.tried = true;
    endpoint_candidate paused;
    paused.excluded = exclusion::Paused;
    paused.pausedUntil = at(5);
    endpoint_candidate full;
    BOOST_TEST(mustRefuseAtOnce(countLeftOut({ triedAndPaused }), at(6)));
    BOOST_TEST(!mustRefuseAtOnce(countLeftOut({ triedAndPaused, full }), at(6)));
    BOOST_TEST(!mustRefuseAtOnce(countLeftOut({ triedAndPaused, paused }), at(6)));
    BOOST_TEST(mustRefuseAtOnce(countLeftOut({ triedAndPaused, paused }), at(4)));
    BOOST_TEST((countLeftOut({ paused, triedAndPaused }).firstEnd == at(3)));
    BOOST_TEST((countLeftOut({ paused, triedAndPaused }).firstReturn == at(5)));
    BOOST_TEST(countLeftOut({ triedAndPaused }).total() == 1);
}

// Guards against the entry of an older incarnation that revokes what the newer one has said and
// drops the count of its running calls.
BOOST_AUTO_TEST_CASE(olderEntryRevokesNoLeaving)
{
    endpoint_table table("dc");
    table.update(report("e1", 2), at(0));
    const call_ticket ticket = table.callStarted("e1", {}, at(0));
    BOOST_TEST(table.recordNotice("e1", ticket, leavingNotice(), at(0.1)).leavingBegan);
    BOOST_TEST(!table.update(report("e1", 1), at(0.2))); // A reader whose view is older.
    BOOST_TEST(table.confirmView(at(0.15)).empty());     // Its view has this age.
    BOOST_TEST(!table.update(report("e1", 2), at(0.3)));
    BOOST_TEST(table.confirmView(at(5)).empty());
    BOOST_TEST((excluded(table, "e1", 10) == exclusion::Leaving));
    BOOST_TEST(table.ownRunning("e1") == 1);
}

// Guards against an engine that is shut out for good since its clock was behind at its last start.
BOOST_AUTO_TEST_CASE(restartWithAnEarlierClockIsAdopted)
{
    for (const bool isRemoved : { false, true }) {
        endpoint_table table("dc");
        table.update(report("e1", 5000), at(0));
        table.recordNotice("e1", table.callStarted("e1", {}, at(0)), leavingNotice(), at(0.1));
        if (isRemoved)
            table.remove("e1", at(0.15));
        BOOST_TEST(!table.update(report("e1", 4000), at(0.2)));
        BOOST_TEST(!table.update(report("e1", 4000), at(0.6))); // A heartbeat.
        const auto adopted = table.confirmView(at(0.5));
        BOOST_REQUIRE(adopted.size() == 1U);
        BOOST_TEST(adopted[0].incarnation == 4000);
        BOOST_TEST((excluded(table, "e1", 0.7) == exclusion::None));
        BOOST_TEST(!table.update(report("e1", 4000), at(0.8)));
        BOOST_TEST(table.update(report("e1", 6000), at(0.9)));
    }
}

// Guards against the leaving of an incarnation that is forgotten since its entry was not read yet.
BOOST_AUTO_TEST_CASE(leavingOfAnIncarnationWithoutEntryIsObeyed)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        const reference counted = simulation(seed, true, 6000).run();
        BOOST_TEST(counted.requestsAfterLeaving(0) == 0U, "seed " << seed);
    }
}

// Guards against an engine that gets nothing since its previous incarnation has left, and against
// one that is excluded for good since it may have been the one that left.
BOOST_AUTO_TEST_CASE(leavingPassesOnlyToAnIncarnationThatHadStarted)
{
    for (const std::int64_t born : { 1000300, 1000800 }) {
        endpoint_table table("dc");
        table.setUnixTime(1000000, at(0));
        table.update(report("e1", 1), at(0));
        const call_ticket ticket = table.callStarted("e1", {}, at(0.1));
        BOOST_TEST(table.recordNotice("e1", ticket, leavingNotice(), at(0.4)).leavingBegan);
        table.update(report("e1", born), at(0.9));
        const bool hadStarted = born < 1000400;
        BOOST_TEST((excluded(table, "e1", 1) == exclusion::Leaving) == hadStarted);
        BOOST_TEST(table.takeEndedNotices().empty() == hadStarted);
        BOOST_TEST((excluded(table, "e1", 31) == exclusion::None));
        table.callStarted("e1", {}, at(31));
        BOOST_TEST((excluded(table, "e1", 31.1) == exclusion::Paused)); // The first goes alone.
    }
    endpoint_table table("dc");
    table.setUnixTime(1000000, at(0));
    table.update(report("e1", 1), at(0));
    const call_ticket ticket = table.callStarted("e1", {}, at(0.1));
    table.update(report("e1", 1000200), at(0.3));
    BOOST_TEST(table.recordNotice("e1", ticket, leavingNotice(), at(0.4)).leavingAssumed);
    BOOST_TEST((excluded(table, "e1", 1) == exclusion::Leaving));
    table.step(std::chrono::milliseconds(200), at(31));
    BOOST_TEST(table.takeEndedNotices().size() == 1U);
}

// Guards against more than two calls in a stated pause, and against one answer that takes an
// endpoint out for long.
BOOST_AUTO_TEST_CASE(longPauseGetsTwoCallsAtMost)
{
    for (const double stated : { 40.0, 91.0, 200.0, 599.0, 3600.0, 86000.0 }) {
        const double step = stated > 3600.0 ? 0.5 : 0.05;
        endpoint_table table("dc");
        table.update(report("e1", 1), at(0));
        table.recordNotice("e1", table.callStarted("e1", {}, at(0)), pauseOf(stated), at(0));
        BOOST_TEST((excluded(table, "e1", 30.5) == exclusion::None));
        int arrivals = 0;
        for (double t = 0.5; t < stated; t += step) {
            table.step(std::chrono::milliseconds(200), at(t));
            if (excluded(table, "e1", t) != exclusion::None)
                continue;
            ++arrivals;
            const call_ticket ticket = table.callStarted("e1", {}, at(t));
            table.recordNotice("e1", ticket, pauseOf(stated - t), at(t));
            table.callEnded("e1", {}, true, ticket);
        }
        BOOST_TEST(arrivals <= 2, stated << " s: " << arrivals);
        BOOST_TEST_MESSAGE(arrivals << " calls in " << stated << " s");
    }
}

// Guards against a long exclusion by the first answer after the endpoint has served again.
BOOST_AUTO_TEST_CASE(acceptedCallResetsTheBoundOfPauses)
{
    endpoint_pause pause;
    pause.recordPause(std::chrono::hours(1), 0.0, at(0));
    pause.callEnded(pause.callStarted(at(30)));
    pause.recordPause(std::chrono::hours(1), 0.0, at(30));
    BOOST_TEST((pause.pausedUntil() == at(150)));
    pause.callAccepted(pause.callStarted(at(150)));
    pause.recordPause(std::chrono::hours(1), 0.0, at(151));
    BOOST_TEST((pause.pausedUntil() == at(181)));
}

// Guards against calls at once to a pausing incarnation that follows two restarts, whose first
// entry arrives after the refusals and shortly before its second.
BOOST_AUTO_TEST_CASE(limitPassesToTheIncarnationAfterTheNext)
{
    endpoint_table table("dc");
    table.update(report("e1", 1), at(0));
    const call_ticket ticket = table.callStarted("e1", {}, at(0));
    table.recordNotice("e1", ticket, pauseOf(5), at(0.1));
    table.callEnded("e1", {}, true, ticket);
    table.update(report("e1", 2), at(0.2));
    table.update(report("e1", 3), at(0.3));
    table.callStarted("e1", {}, at(0.4));
    BOOST_TEST((excluded(table, "e1", 0.4) == exclusion::Paused));
}

// Guards against a notice that the log reports as ended while its endpoint is still excluded.
BOOST_AUTO_TEST_CASE(removalAndReturnEndNoNotice)
{
    endpoint_table table("dc");
    table.update(report("e1", 2), at(0));
    const call_ticket ticket = table.callStarted("e1", {}, at(0));
    table.recordNotice("e1", ticket, leavingNotice(), at(0.1));
    table.callEnded("e1", {}, true, ticket);
    table.remove("e1", at(0.2));
    table.update(report("e1", 2), at(0.3));
    BOOST_TEST(table.takeEndedNotices().empty());
    BOOST_TEST((excluded(table, "e1", 0.4) == exclusion::Leaving));
    table.remove("e1", at(0.5));
    table.step(std::chrono::milliseconds(200), at(31));
    const auto ended = table.takeEndedNotices();
    BOOST_REQUIRE(ended.size() == 1U);
    BOOST_TEST((ended[0].reason == notice_end::Removed));
}
