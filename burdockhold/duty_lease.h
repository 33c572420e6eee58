#ifndef BURDOCKHOLD_DUTY_LEASE_H
#define BURDOCKHOLD_DUTY_LEASE_H

// Whether this VM holds a duty, and whether it should try to. Each duty has a group on the log; its
// holder is the group's only member, as a rule. A VM joins when no other has claimed the duty for a
// while, the VMs one after the other in an order of the duty's own. The group's generation, which
// grows with each change, is the fencing token.
//
// Promises:
// - The lease ends at the holder no later than at the log: it runs from before the join was sent,
//   on a clock that counts suspensions.
// - Where engines check fencing tokens, a new holder acts after a short wait, and an order of the
//   former holder that is still under way is refused. Where they do not, it waits until any order
//   of another VM is one lease old.
// Nothing here reads a clock.

#include "burdockhold/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

struct duty_lease_options
{
    duration ttl = std::chrono::milliseconds(1600);         ///< As stated in each join.
    duration joinInterval = std::chrono::milliseconds(450); ///< Under a third of the ttl.
    /// Silence of the holder, about the ttl, after which the first VM tries to take the duty.
    duration claimLapse = std::chrono::milliseconds(1000);
    duration rankDelay = std::chrono::milliseconds(300); ///< Between the tries of two VMs.
    /// Least time from the gain of a duty to the first order.
    duration takeoverWait = std::chrono::milliseconds(200);
    /// Least age of another VM's last order; zero where engines check fencing tokens.
    duration orderSpacing = std::chrono::milliseconds(0);
};

class duty_lease
{
public:
    duty_lease(duty_lease_options options, std::string duty, int partitionCount);

    /// A join that was sent at sentAt has been answered. Times are of the suspension-counting
    /// clock.
    void joined(std::int64_t generation, const std::vector<int> &partitions, duration sentAt);

    /// True while this VM is the holder, even if it may not act yet.
    bool holds(duration now) const;

    /// Returns the fencing token if this VM may act now. The second time is the age of another VM's
    /// last order.
    std::optional<std::int64_t> token(duration now, duration othersOrderAge) const;

    /// True when this VM should join: it holds the duty, or the holder has been silent for long
    /// enough, considering how many VMs come before this one.
    bool shouldJoin(duration now, duration holderSilence, std::size_t rank) const;

    std::int64_t generation() const { return m_generation; }

    /// Ends the duty at once, before the VM leaves the group.
    void release();

private:
    duty_lease_options m_options;
    std::string m_duty;
    int m_partition;
    std::optional<duration> m_heldSince;
    std::int64_t m_generation = 0;
    duration m_validUntil = duration::zero();
};

/// Returns how many of the other VMs come before this one for the duty. VMs are given by the
/// shortHash of their names.
std::size_t dutyRank(std::string_view duty, std::uint32_t ownVm,
                     const std::vector<std::uint32_t> &otherVms);

} // namespace burdockhold

#endif
