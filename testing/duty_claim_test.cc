#define BOOST_TEST_MODULE duty_claim
#include "burdockhold/duty_claim.h"
#include "burdockhold/duty_lease.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>

using namespace burdockhold;

namespace {

using std::chrono::milliseconds;

const duty_process holder{ "vm-a", 7 };
constexpr milliseconds HeldFor{ 4900 };
constexpr milliseconds ClaimDelay{ 1000 };
constexpr int DigestMs = 200;

claim_time at(int ms)
{
    return { time_point(milliseconds(ms)), milliseconds(ms) };
}

/// Returns the claim of a holder that reports every 200 ms, for the last time at lastMs.
duty_claim claimUntil(int lastMs)
{
    duty_claim claim;
    for (int ms = lastMs % DigestMs; ms <= lastMs; ms += DigestMs)
        claim.held(holder, at(ms));
    return claim;
}

} // namespace

// Guards against all VMs joining at once when a holder leaves, and against a VM whose turn never
// comes since each digest of the leaving VM starts the wait again.
BOOST_AUTO_TEST_CASE(vmsFollowALeavingHolderOneAfterTheOther)
{
    duty_claim claim = claimUntil(6000);
    const duty_lease lease({}, "pool", 12, {});
    const auto joins = [&](int ms, std::size_t rank) {
        const duration silence = claim.silence(ClaimDelay, {}, time_point(milliseconds(ms)));
        return lease.shouldJoin(milliseconds(ms), silence, rank);
    };
    BOOST_TEST(!joins(6150, 0));
    for (int ms = 6100; ms <= 7000; ms += DigestMs) {
        claim.left(holder, at(ms));
        BOOST_TEST(joins(ms + 10, 0));
        BOOST_TEST(joins(ms + 10, 1) == (ms + 10 > 6400));
        BOOST_TEST(joins(ms + 10, 2) == (ms + 10 > 6700));
    }
}

// Guards against a VM that joins late or early when no VM has claimed the duty yet.
BOOST_AUTO_TEST_CASE(unclaimedDutyIsSilentSinceTheStart)
{
    const duty_claim claim;
    const time_point start(milliseconds(5000));
    BOOST_TEST((claim.silence(ClaimDelay, start, start + milliseconds(300)) == milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(leavingHolderHandsItsDutyOverForAShortTime)
{
    duty_claim claim = claimUntil(6000);
    BOOST_TEST(!claim.isHandedOver(HeldFor, milliseconds(6000)));
    claim.left(holder, at(6100));
    BOOST_TEST(claim.isHandedOver(HeldFor, milliseconds(6100)));
    BOOST_TEST(claim.isHandedOver(HeldFor, milliseconds(7700)));
    BOOST_TEST(!claim.isHandedOver(HeldFor, milliseconds(7701)));
}

// Guards against orders of a process that was killed: the one that replaces it does not know them.
BOOST_AUTO_TEST_CASE(restartedProcessHandsNothingOver)
{
    duty_claim claim = claimUntil(6000);
    claim.left({ holder.vm, holder.incarnation + 1 }, at(6100));
    BOOST_TEST(!claim.isHandedOver(HeldFor, milliseconds(6100)));
}

// Guards against orders of the VM that held the duty before the one that leaves.
BOOST_AUTO_TEST_CASE(holderOfAShortTimeHandsNothingOver)
{
    duty_claim claim = claimUntil(4800);
    claim.left(holder, at(4900));
    BOOST_TEST(!claim.isHandedOver(HeldFor, milliseconds(4900)));
}

// Guards against a wait at each of several holders that are replaced one after the other.
BOOST_AUTO_TEST_CASE(handoversInARowCountAsOneTime)
{
    duty_claim claim = claimUntil(3000);
    claim.left(holder, at(3100));
    for (int ms = 3300; ms <= 6300; ms += DigestMs)
        claim.held({ "vm-b", 1 }, at(ms));
    claim.left({ "vm-b", 1 }, at(6400));
    BOOST_TEST(claim.isHandedOver(HeldFor, milliseconds(6400)));

    duty_claim killed = claimUntil(3000);
    for (int ms = 3300; ms <= 6300; ms += DigestMs)
        killed.held({ "vm-b", 1 }, at(ms));
    killed.left({ "vm-b", 1 }, at(6400));
    BOOST_TEST(!killed.isHandedOver(HeldFor, milliseconds(6400)));
}

// Guards against orders of another VM that held the duty while the one that leaves was silent, or
// after it.
BOOST_AUTO_TEST_CASE(handoverEndsWithAnotherHolder)
{
    duty_claim silent = claimUntil(6000);
    silent.held(holder, at(7700));
    silent.left(holder, at(7800));
    BOOST_TEST(!silent.isHandedOver(HeldFor, milliseconds(7800)));

    duty_claim stopped = claimUntil(6000);
    stopped.left(holder, at(7700));
    BOOST_TEST(!stopped.isHandedOver(HeldFor, milliseconds(7700)));

    duty_claim taken = claimUntil(6000);
    taken.left(holder, at(6100));
    taken.held({ "vm-b", 1 }, at(6200));
    BOOST_TEST(!taken.isHandedOver(HeldFor, milliseconds(6200)));
}
