#define BOOST_TEST_MODULE quota_ledger
#include "burdockhold/quota_ledger.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <limits>
#include <random>
#include <vector>

using namespace burdockhold;

namespace {

constexpr double Rate = 20000.0;
constexpr double Burst = 40000.0;

time_point at(double seconds)
{
    return time_point{} + fromSeconds(seconds);
}

struct admission
{
    double seconds;
    double tokens;
};

/// Several VMs that exchange totals every 200 ms. Digests may be lost and a VM may be partitioned
/// from the others.
struct fleet
{
    explicit fleet(std::size_t vms)
    {
        for (std::size_t vm = 0; vm < vms; ++vm)
            ledgers.emplace_back(quota_ledger_options{}, quota_limit{ Rate, Burst }, at(0));
    }

    void exchange(double seconds, double lossRate, const std::vector<bool> &partitioned)
    {
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        for (std::size_t from = 0; from < ledgers.size(); ++from) {
            for (std::size_t to = 0; to < ledgers.size(); ++to) {
                const bool reached = from != to && partitioned[from] == partitioned[to]
                                     && chance(random) >= lossRate;
                if (reached)
                    ledgers[to].applyPeerTotal("vm" + std::to_string(from),
                                               ledgers[from].admittedTotal(), at(seconds));
            }
        }
    }

    void step(double seconds)
    {
        for (quota_ledger &ledger : ledgers)
            ledger.step(ledgers.size() - 1, at(seconds));
    }

    std::vector<quota_ledger> ledgers;
    std::mt19937 random{ 11 };
};

/// Returns the largest excess over rate x window + burst in any window of the given length.
double largestExcess(const std::vector<admission> &admitted, double window)
{
    double excess = -Burst;
    double sum = 0.0;
    std::size_t first = 0;
    for (const admission &last : admitted) {
        sum += last.tokens;
        while (admitted[first].seconds < last.seconds - window)
            sum -= admitted[first++].tokens;
        excess = std::max(excess, sum - Rate * window - Burst);
    }
    return excess;
}

/// Runs the fleet at `load` times the rate for 60 s and returns the admissions.
std::vector<admission> run(fleet &vms, double load, double lossRate, double partitionFrom,
                           double partitionTo)
{
    std::vector<admission> admitted;
    std::vector<bool> partitioned(vms.ledgers.size(), false);
    std::uniform_int_distribution<std::size_t> pick(0, vms.ledgers.size() - 1);
    std::exponential_distribution<double> size(1.0 / 3000.0);
    double nextRequest = 0.0;
    for (int tick = 0; tick < 1200; ++tick) {
        const double now = tick * 0.05;
        partitioned[0] = now >= partitionFrom && now < partitionTo;
        if (tick % 4 == 0)
            vms.exchange(now, lossRate, partitioned);
        vms.step(now);
        while (nextRequest < now) {
            const double tokens = std::min(12000.0, size(vms.random));
            if (vms.ledgers[pick(vms.random)].tryAdmit(tokens, at(now)))
                admitted.push_back({ now, tokens });
            nextRequest += 3000.0 / (Rate * load);
        }
    }
    return admitted;
}

double total(const std::vector<admission> &admitted)
{
    double sum = 0.0;
    for (const admission &one : admitted)
        sum += one.tokens;
    return sum;
}

} // namespace

// Guards against an account that exceeds its limit because each VM enforces the limit only on the
// requests it admits itself.
BOOST_AUTO_TEST_CASE(eightVmsTogetherStayNearTheLimit)
{
    fleet vms(8);
    const auto admitted = run(vms, 6.0, 0.0, 0.0, 0.0);
    // The platform tolerates a tenth of a window's limit and 72,000 tokens.
    BOOST_TEST(largestExcess(admitted, 8.0) <= 0.1 * (Rate * 8.0 + Burst) + 72000.0);
    BOOST_TEST(total(admitted) >= 0.9 * Rate * 60.0);
}

// Guards against refusals while the account is within its limit.
BOOST_AUTO_TEST_CASE(loadWithinTheLimitIsAdmitted)
{
    fleet vms(8);
    const double offered = Rate * 0.55 * 60.0;
    BOOST_TEST(total(run(vms, 0.55, 0.0, 0.0, 0.0)) >= 0.97 * offered);
}

// Guards against an exceeded limit when digests are lost, so that VMs do not know what the others
// have admitted.
BOOST_AUTO_TEST_CASE(lostDigestsDoNotRaiseTheLimit)
{
    fleet vms(8);
    const auto admitted = run(vms, 6.0, 0.3, 0.0, 0.0);
    BOOST_TEST(largestExcess(admitted, 8.0) <= 0.1 * (Rate * 8.0 + Burst) + 72000.0);
}

// Guards against a partitioned VM that uses the whole limit by itself while the other VMs use it
// too.
BOOST_AUTO_TEST_CASE(partitionedVmStaysWithinItsShare)
{
    fleet vms(8);
    const auto admitted = run(vms, 6.0, 0.0, 20.0, 32.0);
    BOOST_TEST(largestExcess(admitted, 8.0) <= 0.1 * (Rate * 8.0 + Burst) + 72000.0);
}

// Guards against a lowered limit that applies only once the old bucket is empty.
BOOST_AUTO_TEST_CASE(lowerLimitAppliesAtOnce)
{
    quota_ledger ledger({}, { 1000.0, 100000.0 }, at(0));
    ledger.setLimit({ 10.0, 100.0 }, at(1));
    BOOST_TEST(ledger.tryAdmit(100.0, at(1)));
    BOOST_TEST(!ledger.tryAdmit(100.0, at(1)));
    BOOST_TEST(toSeconds(ledger.timeUntil(100.0, at(1))) > 1.0);
}

// Guards against charging a VM's admissions twice when it restarts and counts from zero.
BOOST_AUTO_TEST_CASE(restartedVmIsChargedOnce)
{
    quota_ledger ledger({}, { Rate, Burst }, at(0));
    ledger.applyPeerTotal("vm1", 0.0, at(0));
    ledger.applyPeerTotal("vm1", 5000.0, at(0.2));
    const double before = ledger.level();
    ledger.resetPeerTotal("vm1");
    ledger.applyPeerTotal("vm1", 0.0, at(0.2));
    BOOST_TEST(ledger.level() == before);
    ledger.applyPeerTotal("vm1", 1000.0, at(0.2));
    BOOST_TEST(ledger.level() == before - 1000.0);
}

// Guards against tokens that are credited although this VM never charged them, and against absurd
// totals of another VM.
BOOST_AUTO_TEST_CASE(onlyChargedTokensAreCredited)
{
    quota_ledger ledger({}, { Rate, Burst }, at(0));
    const auto apply = [&](double total, double returned) {
        quota_peer kind;
        kind.returned = returned;
        ledger.applyPeerTotal("vm1", total, at(0), kind);
    };
    apply(5000.0, 4000.0); // Admitted before this VM heard of it.
    const double before = ledger.level();
    apply(5000.0, 4500.0);
    BOOST_TEST(ledger.level() == before);
    apply(6000.0, 4500.0);
    BOOST_TEST(ledger.level() == before - 1000.0);
    apply(6000.0, 5000.0);
    BOOST_TEST(ledger.level() == before - 500.0);
    apply(6000.0, 5000.0); // A repeated digest.
    apply(6000.0, 1e18);
    apply(6000.0, -1.0);
    apply(6000.0, std::numeric_limits<double>::quiet_NaN());
    apply(6000.0, 4000.0); // Older than the last one.
    BOOST_TEST(ledger.level() == before - 500.0);
    ledger.resetPeerTotal("vm1");
    apply(0.0, 0.0);
    BOOST_TEST(ledger.level() == before - 500.0);
}

// Guards against a data centre's total that decreases when one of its VMs stops or restarts: other
// data centres would charge nothing until the total exceeds its former value.
BOOST_AUTO_TEST_CASE(groupTotalNeverDecreases)
{
    quota_ledger ledger({}, { 1000.0, 5000.0 }, at(0));
    const quota_peer local{ 1, true };
    ledger.applyPeerTotal("vm1", 0.0, at(0), local);
    ledger.applyPeerTotal("vm1", 700.0, at(0.2), local);
    ledger.applyPeerTotal("far", 0.0, at(0.2), { 15, false });
    ledger.applyPeerTotal("far", 900.0, at(0.4), { 15, false });
    BOOST_TEST(ledger.groupAdmittedTotal() == 700.0);
    ledger.resetPeerTotal("vm1");
    ledger.applyPeerTotal("vm1", 100.0, at(0.4), local);
    BOOST_TEST(ledger.groupAdmittedTotal() == 800.0);
    for (double now = 0.5; now < 10.0; now += 0.1) {
        ledger.applyPeerTotal("far", 900.0, at(now), { 15, false });
        ledger.step(16, at(now));
    }
    BOOST_TEST(ledger.groupAdmittedTotal() == 800.0);
}

// Guards against a partition between data centres after which each side forgets the other and
// admits the whole limit. Three totals represent most of the VMs, so the count of silent VMs must
// weigh each total by its VMs.
BOOST_AUTO_TEST_CASE(partitionedDataCentreKeepsChargingForTheOthers)
{
    quota_ledger ledger({}, { 1000.0, 1000.0 }, at(0));
    const auto reportLocal = [&](double now) {
        for (int vm = 0; vm < 14; ++vm)
            ledger.applyPeerTotal("vm" + std::to_string(vm), 0.0, at(now), { 1, true });
    };
    for (double now = 0.0; now < 3.0; now += 0.2) {
        reportLocal(now);
        for (const char *group : { "dc2", "dc3", "dc4" })
            ledger.applyPeerTotal(group, 250.0 * now, at(now), { 15, false });
        ledger.step(59, at(now));
    }
    double admitted = 0.0;
    for (double now = 3.0; now < 23.0; now += 0.2) {
        reportLocal(now);
        ledger.step(59, at(now));
        while (ledger.tryAdmit(50.0, at(now)))
            admitted += 50.0;
    }
    // The three other data centres leave a quarter of the limit; the whole would be 20,000.
    BOOST_TEST(admitted < 8000.0);
}

// Guards against a new aggregator whose first total is charged in full, or whose data centre is not
// charged for the time of the change.
BOOST_AUTO_TEST_CASE(newAggregatorsTotalIsChargedFromNowOn)
{
    quota_ledger ledger({}, { 1000.0, 5000.0 }, at(0));
    for (double now = 0.0; now < 2.05; now += 0.2)
        ledger.applyPeerTotal("dc2", 500.0 * now, at(now), { 15, false });
    const double before = ledger.level();
    ledger.rebasePeerTotal("dc2", 90000.0, at(2.4));
    ledger.applyPeerTotal("dc2", 90000.0, at(2.4), { 15, false });
    BOOST_TEST(before - ledger.level() > 50.0);
    BOOST_TEST(before - ledger.level() < 500.0);
}

// Guards against an exceeded limit after all VMs were killed and start at once: each would admit
// the whole limit until the first digests arrive. 61 VMs, each with more demand than the limit.
BOOST_AUTO_TEST_CASE(vmsThatStartTogetherKeepTheLimitBeforeTheFirstDigests)
{
    constexpr int Vms = 61;
    constexpr double Rate = 300000.0;
    for (const bool guarded : { true, false }) {
        quota_ledger_options options;
        options.startGuard = fromSeconds(guarded ? 1.0 : 0.0);
        // Without the guard, shares of the rate are disabled, since they would keep the limit too.
        options.shareThreshold = guarded ? options.shareThreshold : 1e9;
        std::vector<quota_ledger> ledgers(Vms, quota_ledger(options, { Rate, Rate }, at(0)));
        double admitted = 0.0;
        for (double now = 0.0; now < 0.45; now += 0.05) {
            for (quota_ledger &ledger : ledgers) {
                ledger.step(Vms - 1, at(now));
                admitted += ledger.tryAdmit(5000.0, at(now)) ? 5000.0 : 0.0;
            }
        }
        // The limit over this time is the burst plus 0.45 s of the rate.
        BOOST_TEST((admitted <= 1.45 * Rate) == guarded);
    }
}

// Guards against a restarted VM that refuses requests although the others leave most of the limit.
BOOST_AUTO_TEST_CASE(startGuardEndsOnDigestsFromHalfOfTheOthers)
{
    quota_ledger_options options;
    options.startGuard = fromSeconds(1.0);
    quota_ledger ledger(options, { 1000.0, 1000.0 }, at(0));
    ledger.step(7, at(0));
    ledger.step(7, at(0.05));
    for (int vm = 0; vm < 4; ++vm)
        ledger.applyPeerTotal("vm" + std::to_string(vm), 500.0, at(0.05));
    ledger.step(7, at(0.1));
    const double before = ledger.level();
    ledger.step(7, at(0.2));
    BOOST_TEST(ledger.level() - before > 90.0);
}

// Guards against an even share that refuses an account whose demand is known to fit the shares of
// the data centre, and against one that ends on totals of unknown age, of another data centre or
// of a VM that has restarted since.
BOOST_AUTO_TEST_CASE(evenShareIsPooledWithVmsWhoseDemandFits)
{
    const auto admitted = [](double demand, bool inOwnGroup, bool restarted) {
        int count = 0;
        for (std::uint64_t seed = 0; seed < 100; ++seed) {
            quota_ledger_options options;
            options.startGuard = fromSeconds(1.0);
            options.phaseSeed = seed;
            quota_ledger ledger(options, { Rate, Burst }, at(0));
            for (int vm = 0; vm < 4; ++vm) {
                const std::string name = "vm" + std::to_string(vm);
                ledger.applyPeerTotal(name, 0.0, at(0.1), { 1, inOwnGroup, demand });
                if (restarted)
                    ledger.resetPeerTotal(name);
                ledger.applyPeerTotal(name, 0.0, at(0.1), { 1, inOwnGroup, 0.0 });
            }
            ledger.step(7, at(0.1));
            count += ledger.tryAdmit(4000.0, at(0.1)) ? 1 : 0;
        }
        return count;
    };
    BOOST_TEST(admitted(0.0, true, false) == 100);
    for (const bool restarted : { false, true })
        BOOST_TEST(admitted(2000.0, true, restarted) < 80);
    BOOST_TEST(admitted(0.0, false, false) < 80);
}

namespace {

struct admitted_counts
{
    int small = 0;
    int smallRequests = 0;
    double tokens = 0.0;
};

/// An account at twice its rate at one VM of two with even demand: a few prompts of 30,000 tokens
/// make up most of it. Requests of 100 tokens make up the rest, a fifth of the VM's share.
admitted_counts admitMixedSizes(double smallReserve)
{
    constexpr double Limit = 50000.0;
    constexpr double Seconds = 20.0;
    quota_ledger_options options;
    options.smallReserve = smallReserve;
    options.startGuard = std::chrono::seconds(1);
    quota_ledger ledger(options, { Limit, Limit }, at(0));
    std::mt19937 random(11);
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    admitted_counts counts;
    double other = 0.0;
    for (double now = 0.0; now < Seconds; now += 0.02) {
        other += 0.5 * Limit * 0.02;
        quota_peer peer;
        peer.requested = 2.0 * other;
        ledger.applyPeerTotal("vm1", other, at(now), peer);
        ledger.step(1, at(now));
        const bool large = chance(random) < 0.03;
        const double cost = large ? 30000.0 : 100.0;
        const bool admitted = ledger.tryAdmit(cost, at(now));
        counts.smallRequests += large ? 0 : 1;
        counts.small += admitted && !large ? 1 : 0;
        counts.tokens += admitted ? cost : 0.0;
    }
    return counts;
}

} // namespace

// Guards against small requests that are refused for seconds after one large prompt of the same
// account: on cpt-burdock 448 of 474 refusals by the limit cost under 2,000 tokens while the
// account had tokens left. The baseline is a share in order of arrival.
BOOST_AUTO_TEST_CASE(largePromptDoesNotStarveTheSmallRequestsOfItsAccount)
{
    const admitted_counts inOrder = admitMixedSizes(0.0);
    const admitted_counts reserved = admitMixedSizes(quota_ledger_options().smallReserve);
    BOOST_TEST(inOrder.small < inOrder.smallRequests / 2);
    BOOST_TEST(reserved.small > 0.9 * reserved.smallRequests);
    BOOST_TEST(reserved.tokens > 0.8 * inOrder.tokens); // Large prompts are still served.
}

// Guards against a wait beyond the range of a duration: a VM without requests for a minute has a
// share near zero.
BOOST_AUTO_TEST_CASE(waitOfAVmWithoutRecentDemandIsBounded)
{
    constexpr double LastSecond = 60.0;
    constexpr double LongestWait = 10.0;
    quota_ledger ledger({}, { Rate, Burst }, at(0));
    ledger.tryAdmit(100.0, at(0));
    double others = 0.0;
    for (double seconds = 0.2; seconds < LastSecond; seconds += 0.2) {
        others += Rate * 0.204; // Over the rate, so that the VM is limited to its share.
        ledger.applyPeerTotal("vm1", others, at(seconds), { 1, false, 2.0 * others, 0.0 });
        ledger.step(1, at(seconds));
    }
    BOOST_REQUIRE(ledger.share() < 1e-9);
    while (ledger.tryAdmit(100.0, at(LastSecond))) { }
    const duration wait = ledger.timeUntil(100.0, at(LastSecond));
    BOOST_TEST((wait > duration::zero()));
    BOOST_TEST((wait <= fromSeconds(LongestWait)));
}

// Guards against a wait beyond the range of a duration at a rate close to zero.
BOOST_AUTO_TEST_CASE(waitAtARateCloseToZeroIsBounded)
{
    quota_ledger ledger({}, { 1e-12, 100.0 }, at(0));
    while (ledger.tryAdmit(60.0, at(0))) { }
    const duration wait = ledger.timeUntil(60.0, at(0));
    BOOST_TEST((wait > duration::zero()));
    BOOST_TEST((wait <= std::chrono::hours(1)));
}
