#define BOOST_TEST_MODULE duty_lease
#include "burdockhold/duty_claim.h"
#include "burdockhold/duty_lease.h"

#include "burdockhold/fencing_token.h"
#include "testing/support_log_group.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace burdockhold;
using namespace burdockhold::testing;

namespace {

using std::chrono::milliseconds;

const std::vector<int> allPartitions{ 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11 };
constexpr int Partitions = 12;
const duration longAgo = std::chrono::hours(1);
const duration ttl = duty_lease_options().ttl;
const duration lease = milliseconds(3000); // In which holders do not take turns.

std::int64_t tokenOf(std::int64_t generation, std::int64_t era = 0)
{
    return fencing_token{ era, generation, 0 }.value();
}

duty_lease_options optionsOf(std::size_t vm, duration orderSpacing = duration::zero())
{
    duty_lease_options options;
    options.vm = static_cast<std::uint32_t>(vm) + 1;
    options.orderSpacing = orderSpacing;
    return options;
}

struct history_options
{
    bool statesEra = true;
    log_group_options group;
    duration orderSpacing = duration::zero();
    unsigned orderEvery = 1;       ///< Ticks from one order of a holder to its next, on average.
    duration maxDelay{ 0 };        ///< Of a join on its way to the log, and of its answer.
    bool reassigns = false;        ///< The log reassigns the duty at random.
    std::size_t calm = 1;          ///< By this factor, cuts, copies and returns are rarer.
    bool leaves = false;           ///< VMs stop and start again at random, and say so.
    std::size_t earlierBuilds = 0; ///< VMs that wait for no order that they have not heard of.
};

/// VMs that join one group at random, are cut off from the log and from each other at random, and a
/// log that returns from copies at random.
class restore_history
{
public:
    restore_history(unsigned seed, const history_options &options)
        : m_random(seed)
        , m_options(options)
        , m_group(options.group)
        , m_copy(m_group)
    {
        for (std::size_t vm = 0; vm < Vms; ++vm)
            m_leases.emplace_back(optionsOf(vm, options.orderSpacing), "pool", Partitions,
                                  -longAgo);
    }

    void run(int ticks)
    {
        for (int tick = 0; tick < ticks; ++tick) {
            m_now = milliseconds(10 * tick);
            stepLog();
            if (m_options.leaves && tick % 20 == 0)
                exchangeDigests();
            for (std::size_t vm = 0; vm < Vms; ++vm) {
                stepLeaving(vm);
                stepVm(vm, tick);
                act(vm);
            }
        }
    }

    std::size_t orders = 0;
    std::size_t handovers = 0; ///< Orders that come sooner than without a handover.

private:
    static constexpr std::size_t Vms = 4;

    /// A join on its way, or its answer.
    struct join_call
    {
        duration sentAt;
        duration executedAt;
        duration answeredAt;
        std::optional<log_group_answer> answer = std::nullopt;
        std::int64_t era = 0;
    };

    duration randomDelay()
    {
        return m_options.maxDelay == duration::zero()
                       ? duration::zero()
                       : duration(milliseconds(m_random() % 1000)) % m_options.maxDelay;
    }

    void stepLog()
    {
        if (m_options.reassigns && m_random() % (300 * m_options.calm) == 0)
            m_group.reassign(milliseconds(m_random() % 500), m_now - m_timeLost);
        if (m_random() % (150 * m_options.calm) == 0) {
            m_copy = m_group;
            m_copiedAt = m_now - m_timeLost;
        }
        if (m_random() % (300 * m_options.calm) != 0)
            return;
        m_group = m_copy;
        m_timeLost = m_now - m_copiedAt;
        ++m_era;
    }

    /// VMs that are cut off from none hear who holds the duty and who leaves.
    void exchangeDigests()
    {
        for (std::size_t from = 0; from < Vms; ++from) {
            for (std::size_t to = 0; to < Vms; ++to) {
                if (from == to || m_now < m_cutUntil[from] || m_now < m_cutUntil[to])
                    continue;
                m_toldOrderAt[from] = m_orderedAt[from];
                const duty_process sender{ "vm" + std::to_string(from), m_incarnations[from] };
                if (m_now < m_leavingUntil[from])
                    m_claims[to].left(sender, { time_point(m_now), m_now });
                else if (m_leases[from].holds(m_now))
                    m_claims[to].held(sender, { time_point(m_now), m_now });
            }
        }
    }

    void stepLeaving(std::size_t vm)
    {
        if (!m_options.leaves)
            return;
        const bool wasLeaving = m_leavingUntil[vm] > m_now - milliseconds(10);
        if (wasLeaving && m_now >= m_leavingUntil[vm]) {
            ++m_incarnations[vm];
            m_leases[vm] = duty_lease(optionsOf(vm, m_options.orderSpacing), "pool", Partitions,
                                      m_now);
            m_claims[vm] = duty_claim();
        }
        const unsigned leavesEvery = m_leases[vm].holds(m_now) ? 800 : 4000;
        if (wasLeaving || m_now < m_cutUntil[vm] || m_random() % leavesEvery != 0)
            return;
        m_leavingUntil[vm] = m_now + milliseconds(100 + m_random() % 2000);
        m_calls[vm].reset();
        m_leases[vm].release();
        m_group.leave("vm" + std::to_string(vm), m_now - m_timeLost);
    }

    /// Returns how many VMs, of those from which this one hears, try to take over before it.
    std::size_t rankOf(std::size_t vm) const
    {
        std::vector<std::uint32_t> others;
        for (std::size_t other = 0; other < Vms; ++other) {
            if (other != vm && m_now >= m_cutUntil[other] && m_now >= m_leavingUntil[other]
                && m_claims[vm].holder() != "vm" + std::to_string(other))
                others.push_back(optionsOf(other).vm);
        }
        return dutyRank("pool", optionsOf(vm).vm, others);
    }

    bool isHandedOver(std::size_t vm) const
    {
        return m_options.leaves && rankOf(vm) == 0
               && m_claims[vm].isHandedOver(m_leases[vm].waitAfterTakeover(), m_now);
    }

    /// Where VMs leave, only the holder and those that try to take the duty over are members.
    bool shouldJoin(std::size_t vm) const
    {
        if (!m_options.leaves)
            return true;
        const duration silence = m_claims[vm].silence(duty_lease_options().claimDelay, {},
                                                      time_point(m_now));
        return m_leases[vm].shouldJoin(m_now, silence, rankOf(vm));
    }

    void stepVm(std::size_t vm, int tick)
    {
        if (m_now < m_leavingUntil[vm])
            return;
        if (m_random() % (400 * m_options.calm) == 0)
            m_cutUntil[vm] = m_now + milliseconds(m_random() % 4000);
        if (!shouldJoin(vm)) {
            m_calls[vm].reset();
            m_group.leave("vm" + std::to_string(vm), m_now - m_timeLost);
            return;
        }
        std::optional<join_call> &call = m_calls[vm];
        if (!call && m_now >= m_cutUntil[vm] && tick % 45 == static_cast<int>(vm)) {
            const duration executedAt = m_now + randomDelay();
            call = join_call{ m_now, executedAt, executedAt + randomDelay() };
        }
        if (call && !call->answer && m_now >= call->executedAt) {
            call->answer = m_group.join("vm" + std::to_string(vm), ttl, m_leases[vm].generation(),
                                        m_now - m_timeLost);
            call->era = m_era;
        }
        if (call && call->answer && m_now >= call->answeredAt) {
            answerReceived(vm, *call);
            call.reset();
        }
    }

    void answerReceived(std::size_t vm, const join_call &call)
    {
        duty_lease &own = m_leases[vm];
        if (m_options.statesEra)
            own.setEra(call.era);
        const bool held = own.holds(m_now);
        own.joined(call.answer->generation, call.answer->partitions, call.sentAt, m_now,
                   isHandedOver(vm));
        if (!held && own.holds(m_now))
            m_heldFrom[vm] = m_now;
    }

    /// Returns the token with which the VM may order now.
    std::optional<std::int64_t> tokenToAct(std::size_t vm) const
    {
        const duration othersAge = othersOrderAge(vm);
        if (!isEarlierBuild(vm))
            return m_leases[vm].token(m_now, othersAge);
        return othersAge < m_options.orderSpacing ? std::nullopt : m_leases[vm].heldToken(m_now);
    }

    bool isEarlierBuild(std::size_t vm) const { return vm < m_options.earlierBuilds; }

    void act(std::size_t vm)
    {
        const auto token = tokenToAct(vm);
        if (!token || m_random() % m_options.orderEvery != 0)
            return;
        ++orders;
        handovers += m_now < m_heldFrom[vm] + m_leases[vm].waitAfterTakeover() ? 1 : 0;
        const auto owner = m_owners.emplace(*token, vm).first->second;
        BOOST_REQUIRE_MESSAGE(owner == vm, "token " << *token << " of two VMs");
        if (m_options.orderSpacing > duration::zero())
            checkOrder(vm, *token);
        m_orderedAt[vm] = m_now;
        m_leases[vm].ordered(m_now);
        if (m_now >= m_cutUntil[vm])
            m_toldOrderAt[vm] = m_now;
        m_highest = std::max(m_highest, *token);
    }

    /// Of engines that do not check tokens: tokens do not fall, and no VM of this build orders
    /// again within a lease if another VM has ordered in between.
    void checkOrder(std::size_t vm, std::int64_t token)
    {
        if (m_options.statesEra && m_options.earlierBuilds == 0)
            BOOST_REQUIRE_MESSAGE(token >= m_highest, "token " << token << " after " << m_highest);
        for (std::size_t other = 0; other < Vms; ++other) {
            if (other != vm && !isEarlierBuild(vm) && m_orderedAt[vm] < m_orderedAt[other])
                BOOST_REQUIRE_GE((m_now - m_orderedAt[vm]).count(), lease.count());
        }
    }

    /// What the digests of the other VMs have told; those of a VM that is cut off do not arrive.
    duration othersOrderAge(std::size_t vm) const
    {
        duration age = longAgo;
        for (std::size_t other = 0; other < Vms; ++other) {
            if (other != vm)
                age = std::min<duration>(age, m_now - m_toldOrderAt[other]);
        }
        return age;
    }

    std::mt19937 m_random;
    history_options m_options;
    log_group m_group;
    log_group m_copy;
    std::int64_t m_era = 1;
    duration m_now{ 0 };
    duration m_copiedAt{ 0 };
    duration m_timeLost{ 0 };
    std::vector<duty_lease> m_leases;
    std::map<std::int64_t, std::size_t> m_owners; // Of the tokens.
    std::int64_t m_highest = 0;
    std::array<std::optional<join_call>, Vms> m_calls;
    std::array<duty_claim, Vms> m_claims; // As each VM has heard.
    std::array<std::uint64_t, Vms> m_incarnations{};
    std::array<duration, Vms> m_leavingUntil{};
    std::array<duration, Vms> m_heldFrom{};
    std::array<duration, Vms> m_cutUntil{};
    std::array<duration, Vms> m_orderedAt{ -longAgo, -longAgo, -longAgo, -longAgo };
    std::array<duration, Vms> m_toldOrderAt = m_orderedAt;
};

} // namespace

// Guards against orders from a holder whose lease expired while it was suspended or partitioned
// from the log.
BOOST_AUTO_TEST_CASE(leaseRunsFromBeforeTheJoinWasSent)
{
    duty_lease lease({}, "pool", Partitions, -longAgo);
    lease.joined(3, allPartitions, milliseconds(1000), milliseconds(1000));
    BOOST_TEST(lease.token(milliseconds(1300), longAgo).value_or(-1) == tokenOf(3));
    BOOST_TEST(lease.holds(milliseconds(2599)));
    BOOST_TEST(!lease.holds(milliseconds(2600)));
    BOOST_TEST(!lease.token(milliseconds(5000), longAgo).has_value());
}

// Guards against a delayed response to a join that restores an older generation.
BOOST_AUTO_TEST_CASE(olderGenerationIsIgnored)
{
    duty_lease lease({}, "pool", Partitions, -longAgo);
    lease.joined(5, {}, milliseconds(1000), milliseconds(1000));
    lease.joined(4, allPartitions, milliseconds(900), milliseconds(900));
    BOOST_TEST(!lease.holds(milliseconds(1100)));
}

namespace {

/// Renews a lease every 450 ms.
void renew(duty_lease &held, int fromMs, int untilMs, std::int64_t generation)
{
    for (int ms = fromMs; ms <= untilMs; ms += 450)
        held.joined(generation, allPartitions, milliseconds(ms), milliseconds(ms));
}

} // namespace

// Guards against alternating orders from two holders where engines do not check fencing tokens,
// also if the holder has heard of no order of the other one: it waits for its own last order.
BOOST_AUTO_TEST_CASE(withoutFencingOrdersOfTwoHoldersAreALeaseApart)
{
    duty_lease held(optionsOf(0, milliseconds(3300)), "pool", Partitions, -longAgo);
    renew(held, 0, 4050, 1);
    BOOST_TEST(!held.token(milliseconds(1599), longAgo).has_value());
    BOOST_TEST(!held.token(milliseconds(1600), milliseconds(3299)).has_value());
    BOOST_TEST(held.token(milliseconds(1600), milliseconds(3300)).has_value());
    held.ordered(milliseconds(4100));
    held.joined(2, {}, milliseconds(4500), milliseconds(4500));
    renew(held, 5000, 7250, 3);
    BOOST_TEST(held.holds(milliseconds(7400)));
    BOOST_TEST(!held.token(milliseconds(7399), longAgo).has_value());
    BOOST_TEST(held.token(milliseconds(7400), longAgo).has_value());
}

// The same after a restart: the process before may have ordered until this one started.
BOOST_AUTO_TEST_CASE(withoutFencingARestartedProcessWaitsForOrdersOfTheOneBefore)
{
    duty_lease held(optionsOf(0, milliseconds(3300)), "pool", Partitions, milliseconds(1000));
    renew(held, 1100, 4250, 1);
    BOOST_TEST(!held.token(milliseconds(4299), longAgo).has_value());
    BOOST_TEST(held.token(milliseconds(4300), longAgo).has_value());
}

// Guards against all VMs joining the group at once, which moves the duty with every change of
// members.
BOOST_AUTO_TEST_CASE(vmsJoinOneAfterTheOther)
{
    const duty_lease lease({}, "pool", Partitions, -longAgo);
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
    for (int round = 0; round < 50; ++round) {
        log_group group;
        std::vector<duty_lease> leases;
        for (std::size_t vm = 0; vm < 4; ++vm)
            leases.emplace_back(optionsOf(vm), "pool", Partitions, -longAgo);
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
                    const log_group_answer answer = group.join("vm" + std::to_string(vm), ttl,
                                                               leases[vm].generation(), now);
                    leases[vm].joined(answer.generation, answer.partitions, now, now);
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

// Guards against two VMs with one token when the log gives generations out again: it returns from
// copies, with and without an era, or keeps the generation when a member's time runs out.
BOOST_AUTO_TEST_CASE(noTokenIsOfTwoVmsWhenGenerationsAreGivenOutAgain)
{
    log_group_options sameGeneration;
    sameGeneration.generationGrowsOnExpiry = false;
    for (unsigned seed = 1; seed <= 500; ++seed) {
        for (const bool statesEra : { true, false }) {
            for (const log_group_options &options : { log_group_options(), sameGeneration }) {
                history_options run;
                run.statesEra = statesEra;
                run.group = options;
                restore_history history(seed, run);
                history.run(2000);
                BOOST_TEST(history.orders > 0U);
            }
        }
    }
}

// Guards against turns and lower tokens at engines that do not check them, after the log has
// returned from a copy while the holder of the era before is cut off.
BOOST_AUTO_TEST_CASE(withoutFencingAHolderWaitsForTheLeaseOfTheEraBefore)
{
    history_options options;
    options.orderSpacing = milliseconds(3300);
    std::size_t orders = 0;
    for (unsigned seed = 1; seed <= 500; ++seed) {
        restore_history history(seed, options);
        history.run(2000);
        orders += history.orders;
    }
    BOOST_TEST(orders > 1000U);
}

namespace {

/// Options of histories in which holders order rarely, so that a holder that is cut off may give an
/// order that no other VM hears of.
history_options rareOrders()
{
    history_options options;
    options.orderSpacing = milliseconds(3300);
    options.orderEvery = 60;
    options.calm = 6;
    options.maxDelay = milliseconds(600);
    options.reassigns = true;
    return options;
}

} // namespace

// Guards against turns at engines that do not check tokens: a holder that is cut off orders while
// its lease runs on, and its successor, which has not heard of it, orders within a lease.
BOOST_AUTO_TEST_CASE(withoutFencingAHolderWaitsForOrdersItHasNotHeardOf)
{
    std::size_t orders = 0;
    for (unsigned seed = 1; seed <= 500; ++seed) {
        for (const bool statesEra : { true, false }) {
            history_options options = rareOrders();
            options.statesEra = statesEra;
            restore_history history(seed, options);
            history.run(6000);
            orders += history.orders;
        }
    }
    BOOST_TEST(orders > 1000U);
}

// The same where holders that leave hand the duty over: the next one acts sooner, and waits for the
// orders that it has heard of.
BOOST_AUTO_TEST_CASE(withoutFencingAHandoverKeepsOrdersALeaseApart)
{
    std::size_t handovers = 0;
    for (unsigned seed = 1; seed <= 500; ++seed) {
        history_options options = rareOrders();
        options.leaves = true;
        options.reassigns = false;
        options.calm = 12;
        options.orderEvery = 20;
        restore_history history(seed, options);
        history.run(6000);
        handovers += history.handovers;
    }
    BOOST_TEST(handovers > 100U);
}

// The same beside VMs of an earlier build, which do not wait for their own last order.
BOOST_AUTO_TEST_CASE(withoutFencingAHolderTakesNoTurnsWithVmsOfAnEarlierBuild)
{
    for (unsigned seed = 1; seed <= 500; ++seed) {
        history_options options = rareOrders();
        options.earlierBuilds = 2;
        options.leaves = seed % 2 == 0;
        restore_history history(seed, options);
        history.run(6000);
    }
}

// Guards against a lease that counts as held all the time although the log may have given the duty
// to another VM between two joins: the second one was late, or the group has changed twice.
BOOST_AUTO_TEST_CASE(leaseThatMayHaveMovedIsNew)
{
    const auto isNewAfter = [](std::int64_t generation, int sentMs, int receivedMs) {
        constexpr int LastMs = 9000;
        duty_lease held(optionsOf(0, milliseconds(3300)), "pool", Partitions, -longAgo);
        renew(held, 0, LastMs, 3);
        BOOST_REQUIRE(held.token(milliseconds(LastMs), longAgo).has_value());
        held.joined(generation, allPartitions, milliseconds(LastMs + sentMs),
                    milliseconds(LastMs + receivedMs));
        return !held.token(milliseconds(LastMs + receivedMs), longAgo).has_value();
    };
    BOOST_TEST(!isNewAfter(3, 450, 1500));
    BOOST_TEST(!isNewAfter(4, 450, 460));
    BOOST_TEST(isNewAfter(5, 450, 460));
    BOOST_TEST(isNewAfter(2, 450, 460));
    BOOST_TEST(isNewAfter(3, 450, 1600));
}

// Guards against a holder that goes on with its lease after it has heard of a return from a copy.
BOOST_AUTO_TEST_CASE(laterEraEndsTheLease)
{
    duty_lease lease({}, "pool", Partitions, -longAgo);
    lease.setEra(1);
    lease.joined(7, allPartitions, milliseconds(1000), milliseconds(1000));
    BOOST_TEST(lease.token(milliseconds(1300), longAgo).value_or(-1) == tokenOf(7, 1));
    lease.setEra(2);
    BOOST_TEST(!lease.holds(milliseconds(1300)));
    BOOST_TEST(lease.generation() == 0);
    lease.joined(3, allPartitions, milliseconds(1400), milliseconds(1400));
    BOOST_TEST(lease.token(milliseconds(1700), longAgo).value_or(-1) == tokenOf(3, 2));
    BOOST_TEST(tokenOf(3, 2) > tokenOf(7, 1));
}

// Guards against a duty that stays without a holder whose orders engines accept, because the log
// forgets a group without members and gives the generation out again that engines have refused.
BOOST_AUTO_TEST_CASE(refusedHolderReachesAHigherTokenWhateverGenerationTheLogGives)
{
    for (const bool forgets : { true, false }) {
        log_group_options options;
        options.forgetsEmptyGroup = forgets;
        log_group group(options);
        const std::int64_t highestSeen = fencing_token{ 0, 5, 2 }.value();
        duty_lease held(optionsOf(0), "pool", Partitions, -longAgo);
        std::optional<std::int64_t> token;
        for (int round = 1; round <= 10 && token.value_or(0) <= highestSeen; ++round) {
            const duration now = milliseconds(1000 * round);
            const log_group_answer answer = group.join("vm0", ttl, held.generation(), now);
            held.joined(answer.generation, answer.partitions, now, now);
            BOOST_TEST(held.generation() == answer.generation);
            const auto refused = token;
            token = held.token(now + milliseconds(200), longAgo);
            BOOST_REQUIRE(token.has_value());
            BOOST_REQUIRE(*token > refused.value_or(0));
            if (*token > highestSeen)
                continue;
            held.tokenRefused();
            BOOST_TEST(!held.holds(now + milliseconds(200)));
            group.leave("vm0", now + milliseconds(200));
        }
        BOOST_TEST(token.value_or(0) > highestSeen);
    }
}
