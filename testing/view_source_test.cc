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
constexpr duration RequestInterval = std::chrono::milliseconds(700);
/// A stopped VM is presumed alive for this long, unless a request to it fails.
constexpr duration FailureDetectionDelay = std::chrono::seconds(3);
/// Age from which a view is not fresh, and the interval of requests of a VM that has such a view.
constexpr duration MaxFreshAge = std::chrono::seconds(2);
constexpr duration AnyViewInterval = 2 * StepTime;
/// Time between two calls of setGroup().
constexpr duration MembershipUpdateInterval = std::chrono::milliseconds(500);

/// A VM of the simulated group. It has a fresh view while it reads the log and gets answers, or
/// after a response of a VM that does.
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
    bool partitioned = false; ///< From the VMs for which this is false.
    bool cutFromLog = false;  ///< Gets no answers from the log.
    time_point stoppedAt;
    bool reading = false;
    time_point readingSince;
    time_point readAt;  ///< The last answer of the log.
    time_point freshAt; ///< Time of the view, whoever has read it.
    time_point nextRequestAt;
    time_point nextMembershipUpdate;
};

/// A group whose members send requests and read the log in steps of StepTime.
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
            for (auto &vm : m_members) {
                if (vm->alive)
                    step(*vm);
            }
        }
    }

    void stop(member &vm)
    {
        vm.alive = false;
        vm.stoppedAt = m_now;
    }

    void start(member &vm)
    {
        vm.alive = true;
        vm.source = view_source({}, vm.name);
        vm.source.begin(m_now);
        vm.nextMembershipUpdate = m_now;
        vm.reading = false;
        vm.readAt = time_point();
        vm.freshAt = m_now; // The age of a view is counted from the VM's start.
    }

    std::vector<member *> readers()
    {
        std::vector<member *> found;
        for (auto &vm : m_members) {
            if (vm->alive && vm->reading)
                found.push_back(vm.get());
        }
        return found;
    }

    /// Returns the age of the oldest view of all live VMs.
    duration oldestViewAge() const
    {
        duration oldest = duration::zero();
        for (const auto &vm : m_members) {
            if (vm->alive)
                oldest = std::max<duration>(oldest, m_now - vm->freshAt);
        }
        return oldest;
    }

    std::vector<std::unique_ptr<member>> &members() { return m_members; }

private:
    member *find(const std::string &name)
    {
        for (auto &vm : m_members) {
            if (vm->name == name)
                return vm.get();
        }
        return nullptr;
    }

    std::vector<group_vm> membershipSeenBy(const member &vm) const
    {
        std::vector<group_vm> others;
        for (const auto &other : m_members) {
            const bool presumedAlive = other->alive
                                       || m_now - other->stoppedAt < FailureDetectionDelay;
            if (other.get() != &vm && presumedAlive)
                others.push_back({ other->name, other->name });
        }
        return others;
    }

    void step(member &vm)
    {
        if (m_now >= vm.nextMembershipUpdate) {
            vm.nextMembershipUpdate = m_now + MembershipUpdateInterval;
            vm.source.setGroup(membershipSeenBy(vm));
        }
        const bool reads = vm.source.shouldReadLog(m_now);
        if (reads && !vm.reading)
            vm.readingSince = m_now;
        vm.reading = reads;
        if (reads && !vm.cutFromLog && m_now - vm.readingSince >= StepTime)
            vm.readAt = vm.freshAt = m_now;
        vm.source.setViewFresh(m_now - vm.freshAt < MaxFreshAge);
        if (m_now >= vm.nextRequestAt)
            sendRequest(vm);
    }

    void sendRequest(member &vm)
    {
        const auto reader = vm.source.vmToRequestFrom(m_now);
        if (!reader)
            return;
        vm.nextRequestAt = m_now
                           + (vm.source.needsAnyView(m_now) ? AnyViewInterval : RequestInterval);
        member &other = *find(reader->name);
        if (!other.alive || other.partitioned != vm.partitioned) {
            vm.source.requestFailed(other.name, m_now);
            return;
        }
        other.source.requestReceived(m_now);
        const bool loaded = other.reading && m_now - other.readingSince >= StepTime;
        if (loaded)
            vm.freshAt = std::max(vm.freshAt, other.readAt);
        // A response without a loaded view does not refresh the requester's view.
        vm.source.responseReceived(other.name, loaded && m_now - other.readAt < MaxFreshAge, m_now);
        if (!loaded)
            vm.nextRequestAt = m_now + StepTime;
    }

    time_point m_now = time_point(std::chrono::seconds(100));
    std::vector<std::unique_ptr<member>> m_members;
};

} // namespace

// Guards against a number of calls to the log that grows with the number of VMs: one VM reads the
// log for its group.
BOOST_AUTO_TEST_CASE(oneVmReadsForTheGroup)
{
    for (const int count : { 1, 7, 70, 300 }) {
        test_group group(count);
        group.run(std::chrono::seconds(10));
        BOOST_TEST(group.readers().size() == 1U, count << " VMs");
        BOOST_TEST(toSeconds(group.oldestViewAge()) < 1.0);
    }
}

// Guards against VMs whose view becomes stale after their reader stops, while the others still
// presume it alive, and against more than one VM that continues to read afterwards.
BOOST_AUTO_TEST_CASE(viewsStayFreshWhenTheReaderStops)
{
    for (const int count : { 2, 7, 70, 300 }) {
        test_group group(count);
        group.run(std::chrono::seconds(10));
        const std::size_t ends = std::min<std::size_t>(3, static_cast<std::size_t>(count) - 1);
        for (std::size_t end = 0; end < ends; ++end) {
            group.stop(*group.readers().front());
            for (int tick = 0; tick < 20; ++tick) {
                group.run(std::chrono::milliseconds(100));
                BOOST_TEST(toSeconds(group.oldestViewAge()) < 2.0);
            }
            group.run(std::chrono::seconds(10));
            BOOST_TEST(group.readers().size() == 1U, count << " VMs");
        }
    }
}

// Guards against VMs that wait for an unreachable reader: during a network partition each VM on
// both sides has a fresh view, whichever VMs are presumed alive.
BOOST_AUTO_TEST_CASE(bothSidesOfAPartitionHaveAFreshView)
{
    for (const int count : { 7, 70, 300 }) {
        test_group group(count);
        group.run(std::chrono::seconds(10));
        std::mt19937 random(static_cast<unsigned>(count));
        for (auto &vm : group.members())
            vm->partitioned = random() % 3 == 0;
        for (int tick = 0; tick < 100; ++tick) {
            group.run(std::chrono::milliseconds(100));
            BOOST_TEST(toSeconds(group.oldestViewAge()) < 2.0);
        }
        for (auto &vm : group.members())
            vm->partitioned = false;
        group.run(std::chrono::seconds(15));
        BOOST_TEST(group.readers().size() == 1U, count << " VMs");
    }
}

// Guards against VMs that keep an old view while the log does not answer them and their reader, but
// answers other VMs: each of them finds one, also if others request its own view.
BOOST_AUTO_TEST_CASE(vmsWithoutAnswersOfTheLogFindOneThatHasThem)
{
    constexpr double TakeoverSeconds = 1.0;
    for (const int count : { 2, 7, 12 }) {
        for (unsigned seed = 0; seed < 200; ++seed) {
            test_group group(count);
            group.run(std::chrono::seconds(6));
            std::mt19937 random(seed);
            const std::size_t sound = random() % group.members().size();
            for (std::size_t index = 0; index < group.members().size(); ++index)
                group.members()[index]->cutFromLog = index != sound && random() % 3 == 0;
            for (int tick = 0; tick < 60; ++tick) {
                group.run(std::chrono::milliseconds(100));
                BOOST_TEST(toSeconds(group.oldestViewAge())
                                   < toSeconds(MaxFreshAge) + TakeoverSeconds,
                           count << " VMs, seed " << seed);
            }
            for (auto &vm : group.members())
                vm->cutFromLog = false;
            group.run(std::chrono::seconds(15));
            BOOST_TEST(group.readers().size() == 1U, count << " VMs, seed " << seed);
        }
    }
}

// Guards against a restart of all VMs after which no VM reads the log, or all VMs do permanently.
BOOST_AUTO_TEST_CASE(restartOfAllVmsEndsWithOneReader)
{
    for (const int count : { 1, 7, 70, 300 }) {
        test_group group(count);
        group.run(std::chrono::seconds(5));
        for (auto &vm : group.members())
            group.stop(*vm);
        group.run(std::chrono::seconds(1));
        for (auto &vm : group.members())
            group.start(*vm);
        for (int tick = 0; tick < 50; ++tick) {
            group.run(std::chrono::milliseconds(100));
            BOOST_TEST(toSeconds(group.oldestViewAge()) < 1.0);
        }
        group.run(std::chrono::seconds(5));
        BOOST_TEST(group.readers().size() == 1U, count << " VMs");
    }
}

// Guards against a small VM that reads for a group that has a larger VM.
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
        const auto reader = source.preferredReader(now);
        BOOST_TEST((capacity > 200 || !reader || reader->name == "large"));
        BOOST_TEST((capacity <= 200 || !reader));
        BOOST_TEST((capacity >= 200 || reader));
    }
}

// Guards against two VMs that request the view from each other and neither reads the log: a VM that
// receives a request reads the log and sends none.
BOOST_AUTO_TEST_CASE(vmThatReceivesARequestReadsTheLog)
{
    const time_point now = time_point(std::chrono::seconds(100));
    for (const auto &[own, other] : { std::pair("a", "b"), std::pair("b", "a") }) {
        view_source source({}, own);
        source.begin(now);
        source.setGroup({ { other, "address" } });
        source.requestReceived(now);
        BOOST_TEST(source.shouldReadLog(now));
        BOOST_TEST(!source.maySendRequests(now));
    }
}

// Guards against a VM that reads the log before it knows the other VMs: if all VMs started at the
// same time, all would read it.
BOOST_AUTO_TEST_CASE(nothingIsReadBeforeTheOthersAreKnown)
{
    const time_point now = time_point(std::chrono::seconds(100));
    view_source source({}, "a");
    BOOST_TEST(!source.shouldReadLog(now));
    BOOST_TEST(!source.maySendRequests(now));
    source.begin(now);
    BOOST_TEST(source.shouldReadLog(now));
}
