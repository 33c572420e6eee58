#define BOOST_TEST_MODULE duty_lease
#include "burdockhold/duty_lease.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <set>

using namespace burdockhold;

namespace {

using std::chrono::milliseconds;

const std::vector<int> allPartitions{ 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11 };
constexpr int Partitions = 12;
const duration longAgo = std::chrono::hours(1);

/// A group on the log as the platform's page describes it: a member expires one ttl after its last
/// join arrived.
struct group_model
{
    std::int64_t generation = 0;
    std::map<std::string, duration> joinedAt;
    std::string holder;

    void expire(duration now, duration ttl)
    {
        for (auto member = joinedAt.begin(); member != joinedAt.end();) {
            const bool expired = now - member->second > ttl;
            if (expired && member->first == holder)
                holder.clear();
            if (expired)
                ++generation;
            member = expired ? joinedAt.erase(member) : std::next(member);
        }
    }

    bool join(const std::string &vm, duration now, duration ttl)
    {
        expire(now, ttl);
        if (joinedAt.emplace(vm, now).second)
            ++generation;
        joinedAt[vm] = now;
        if (holder.empty())
            holder = vm;
        return holder == vm;
    }
};

} // namespace

// Guards against orders from a holder whose lease expired while it was suspended or partitioned
// from the log.
BOOST_AUTO_TEST_CASE(leaseRunsFromBeforeTheJoinWasSent)
{
    duty_lease lease({}, "pool", Partitions);
    lease.joined(3, allPartitions, milliseconds(1000));
    BOOST_TEST(lease.token(milliseconds(1300), longAgo).value_or(-1) == 3);
    BOOST_TEST(lease.holds(milliseconds(2599)));
    BOOST_TEST(!lease.holds(milliseconds(2600)));
    BOOST_TEST(!lease.token(milliseconds(5000), longAgo).has_value());
}

// Guards against a delayed response to a join that restores an older generation.
BOOST_AUTO_TEST_CASE(olderGenerationIsIgnored)
{
    duty_lease lease({}, "pool", Partitions);
    lease.joined(5, {}, milliseconds(1000));
    lease.joined(4, allPartitions, milliseconds(900));
    BOOST_TEST(!lease.holds(milliseconds(1100)));
}

// Guards against alternating orders from two holders where engines do not check fencing tokens.
BOOST_AUTO_TEST_CASE(withoutFencingOrdersOfTwoHoldersAreALeaseApart)
{
    duty_lease_options options;
    options.orderSpacing = milliseconds(3300);
    duty_lease lease(options, "pool", Partitions);
    lease.joined(1, allPartitions, milliseconds(0));
    BOOST_TEST(!lease.token(milliseconds(1000), milliseconds(2000)).has_value());
    BOOST_TEST(lease.token(milliseconds(1000), milliseconds(3300)).has_value());
}

// Guards against all VMs joining the group at once, which moves the duty with every change of
// members.
BOOST_AUTO_TEST_CASE(vmsJoinOneAfterTheOther)
{
    const duty_lease lease({}, "pool", Partitions);
    std::set<std::size_t> ranks;
    const std::vector<std::uint32_t> vms{ 11, 12, 13, 14 };
    for (const std::uint32_t vm : vms) {
        std::vector<std::uint32_t> others;
        for (const std::uint32_t other : vms) {
            if (other != vm)
                others.push_back(other);
        }
        ranks.insert(dutyRank("pool", vm, others));
    }
    BOOST_TEST(ranks.size() == vms.size());
    BOOST_TEST(lease.shouldJoin(duration::zero(), milliseconds(1001), 0));
    BOOST_TEST(!lease.shouldJoin(duration::zero(), milliseconds(1001), 1));
}

// Guards against two VMs that may act at the same time, or that get the same token, when VMs freeze
// or lose the log at random.
BOOST_AUTO_TEST_CASE(atMostOneHolderActsAtATime)
{
    std::mt19937 random(5);
    const duty_lease_options options;
    for (int round = 0; round < 50; ++round) {
        group_model group;
        std::vector<duty_lease> leases(4, duty_lease(options, "pool", Partitions));
        std::vector<duration> partitionedUntil(4, duration::zero());
        std::map<std::int64_t, std::size_t> tokenOwner;
        for (int tick = 0; tick < 2000; ++tick) {
            const duration now = milliseconds(10 * tick);
            std::size_t activeHolders = 0;
            for (std::size_t vm = 0; vm < leases.size(); ++vm) {
                if (random() % 400 == 0)
                    partitionedUntil[vm] = now + milliseconds(random() % 4000);
                const bool connected = now >= partitionedUntil[vm];
                if (connected && tick % 45 == static_cast<int>(vm)) {
                    const bool held = group.join("vm" + std::to_string(vm), now, options.ttl);
                    leases[vm].joined(group.generation, held ? allPartitions : std::vector<int>{},
                                      now);
                }
                const auto token = leases[vm].token(now, longAgo);
                if (!token)
                    continue;
                ++activeHolders;
                const auto owner = tokenOwner.emplace(*token, vm).first->second;
                BOOST_REQUIRE(owner == vm);
            }
            BOOST_REQUIRE(activeHolders <= 1);
        }
    }
}
