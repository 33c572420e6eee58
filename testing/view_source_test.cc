#define BOOST_TEST_MODULE view_source
#include "burdockhold/view_source.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

constexpr duration StepTime = std::chrono::milliseconds(50);
constexpr duration QuestionTime = std::chrono::milliseconds(700);
/// A dead VM is believed alive for this long, unless a question to it fails.
constexpr duration BeliefLag = std::chrono::seconds(3);
constexpr duration BeliefPause = std::chrono::milliseconds(
        500); ///< Between two lists of the group.

/// One VM of the simulated group. It has a fresh view while it reads, or after an answer of one
/// that reads.
struct member
{
    explicit member(int number)
        : name("vm-" + std::to_string(number))
        , source({}, name)
    {
    }

    std::string name;
    view_source source;
    bool alive = true;
    bool cutOff = false; ///< From the other VMs.
    time_point endedAt;
    bool reading = false;
    time_point readingSince;
    time_point freshAt;
    time_point nextAsk;
    time_point nextBelief;
};

/// A group whose members ask and read in steps of StepTime; the log answers always.
class test_group
{
public:
    explicit test_group(int count)
    {
        for (int number = 0; number < count; ++number) {
            m_members.push_back(std::make_unique<member>(number));
            m_members.back()->source.begin(m_now);
        }
    }

    void run(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += StepTime) {
            for (auto &one : m_members) {
                if (one->alive)
                    step(*one);
            }
        }
    }

    void end(member &one)
    {
        one.alive = false;
        one.endedAt = m_now;
    }

    void start(member &one)
    {
        one.alive = true;
        one.source = view_source({}, one.name);
        one.source.begin(m_now);
        one.nextBelief = m_now;
        one.reading = false;
        one.freshAt = m_now; // Its age is counted from its start.
    }

    std::vector<member *> readers()
    {
        std::vector<member *> found;
        for (auto &one : m_members) {
            if (one->alive && one->reading)
                found.push_back(one.get());
        }
        return found;
    }

    /// Age of the oldest view of a VM that runs.
    duration oldestView() const
    {
        duration oldest = duration::zero();
        for (const auto &one : m_members) {
            if (one->alive)
                oldest = std::max<duration>(oldest, m_now - one->freshAt);
        }
        return oldest;
    }

    std::vector<std::unique_ptr<member>> &members() { return m_members; }

private:
    member *find(const std::string &name)
    {
        for (auto &one : m_members) {
            if (one->name == name)
                return one.get();
        }
        return nullptr;
    }

    std::vector<group_vm> believedBy(const member &one) const
    {
        std::vector<group_vm> others;
        for (const auto &other : m_members) {
            const bool believed = other->alive || m_now - other->endedAt < BeliefLag;
            if (other.get() != &one && believed)
                others.push_back({ other->name, other->name });
        }
        return others;
    }

    void step(member &one)
    {
        if (m_now >= one.nextBelief) {
            one.nextBelief = m_now + BeliefPause;
            one.source.setGroup(believedBy(one));
        }
        const bool reads = one.source.shouldReadLog(m_now);
        if (reads && !one.reading)
            one.readingSince = m_now;
        one.reading = reads;
        if (reads && m_now - one.readingSince >= StepTime)
            one.freshAt = m_now;
        if (one.source.maySendRequests(m_now) && m_now >= one.nextAsk)
            ask(one);
    }

    void ask(member &one)
    {
        const auto target = one.source.target(m_now);
        if (!target)
            return;
        one.nextAsk = m_now + QuestionTime;
        member &other = *find(target->name);
        if (!other.alive || other.cutOff != one.cutOff) {
            one.source.failed(other.name, m_now);
            return;
        }
        other.source.asked(m_now);
        const bool loaded = other.reading && m_now - other.readingSince >= StepTime;
        if (loaded)
            one.freshAt = std::max(one.freshAt, other.freshAt);
        // An answer without a loaded view leaves the asker's view as old as it was.
        one.source.answered(m_now - one.freshAt < std::chrono::seconds(2), m_now);
        if (!loaded)
            one.nextAsk = m_now + StepTime;
    }

    time_point m_now = time_point(std::chrono::seconds(100));
    std::vector<std::unique_ptr<member>> m_members;
};

} // namespace

// Guards against calls to the log that grow with the VMs: one reads for all of a group.
BOOST_AUTO_TEST_CASE(oneVmReadsForTheGroup)
{
    for (const int count : { 1, 7, 70, 300 }) {
        test_group group(count);
        group.run(std::chrono::seconds(10));
        BOOST_TEST(group.readers().size() == 1U, count << " VMs");
        BOOST_TEST(toSeconds(group.oldestView()) < 1.0);
    }
}

// Guards against VMs without a view after their reader has ended, while it still counts as alive,
// and against all VMs that go on reading afterwards.
BOOST_AUTO_TEST_CASE(anotherVmReadsWithinASecondOfTheEndOfTheReader)
{
    for (const int count : { 2, 7, 70, 300 }) {
        test_group group(count);
        group.run(std::chrono::seconds(10));
        const std::size_t ends = std::min<std::size_t>(3, static_cast<std::size_t>(count) - 1);
        for (std::size_t end = 0; end < ends; ++end) {
            group.end(*group.readers().front());
            for (int part = 0; part < 20; ++part) {
                group.run(std::chrono::milliseconds(100));
                BOOST_TEST(toSeconds(group.oldestView()) < 2.0);
            }
            group.run(std::chrono::seconds(10));
            BOOST_TEST(group.readers().size() == 1U, count << " VMs");
        }
    }
}

// Guards against VMs that wait for others which cannot be reached: on both sides of a cut each VM
// has a view, whoever is believed to be alive.
BOOST_AUTO_TEST_CASE(bothSidesOfACutHaveAView)
{
    for (const int count : { 7, 70, 300 }) {
        test_group group(count);
        group.run(std::chrono::seconds(10));
        std::mt19937 random(static_cast<unsigned>(count));
        for (auto &one : group.members())
            one->cutOff = random() % 3 == 0;
        for (int part = 0; part < 100; ++part) {
            group.run(std::chrono::milliseconds(100));
            BOOST_TEST(toSeconds(group.oldestView()) < 2.0);
        }
        for (auto &one : group.members())
            one->cutOff = false;
        group.run(std::chrono::seconds(15));
        BOOST_TEST(group.readers().size() == 1U, count << " VMs");
    }
}

// Guards against a restart of all VMs after which nobody reads, or all do for good.
BOOST_AUTO_TEST_CASE(restartOfAllVmsEndsWithOneReader)
{
    for (const int count : { 1, 7, 70, 300 }) {
        test_group group(count);
        group.run(std::chrono::seconds(5));
        for (auto &one : group.members())
            group.end(*one);
        group.run(std::chrono::seconds(1));
        for (auto &one : group.members())
            group.start(*one);
        for (int part = 0; part < 50; ++part) {
            group.run(std::chrono::milliseconds(100));
            BOOST_TEST(toSeconds(group.oldestView()) < 1.0);
        }
        group.run(std::chrono::seconds(5));
        BOOST_TEST(group.readers().size() == 1U, count << " VMs");
    }
}

// Guards against a small VM that reads for a group although a larger one is there.
BOOST_AUTO_TEST_CASE(theLargestVmReads)
{
    const time_point now = time_point(std::chrono::seconds(100));
    std::vector<group_vm> others;
    others.reserve(21);
    for (int number = 0; number < 20; ++number)
        others.push_back({ "vm-" + std::to_string(number), "small", 20 });
    others.push_back({ "large", "large", 200 });
    for (const std::uint32_t capacity : { 20U, 200U, 500U }) {
        view_source source({}, "own", capacity);
        source.begin(now);
        source.setGroup(others);
        const auto target = source.target(now);
        BOOST_TEST((capacity > 200 || !target || target->name == "large"));
        BOOST_TEST((capacity <= 200 || !target));
        BOOST_TEST((capacity >= 200 || target));
    }
}

// Guards against two VMs that ask each other: who is asked reads.
BOOST_AUTO_TEST_CASE(whoIsAskedReads)
{
    const time_point now = time_point(std::chrono::seconds(100));
    for (const auto &[own, other] : { std::pair("a", "b"), std::pair("b", "a") }) {
        view_source source({}, own);
        source.begin(now);
        source.setGroup({ { other, "address" } });
        source.asked(now);
        BOOST_TEST(source.shouldReadLog(now));
        BOOST_TEST(!source.maySendRequests(now));
    }
}

// Guards against a VM that reads before it knows the others: at a common start all would.
BOOST_AUTO_TEST_CASE(nothingIsReadBeforeTheOthersAreKnown)
{
    const time_point now = time_point(std::chrono::seconds(100));
    view_source source({}, "a");
    BOOST_TEST(!source.shouldReadLog(now));
    BOOST_TEST(!source.maySendRequests(now));
    source.begin(now);
    BOOST_TEST(source.shouldReadLog(now));
}
