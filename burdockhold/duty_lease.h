#ifndef BURDOCKHOLD_DUTY_LEASE_H
#define BURDOCKHOLD_DUTY_LEASE_H

// Tracks whether this VM holds the lease on a duty and decides when to try to acquire it. Each duty
// has a group on the platform's log, whose only member usually is the holder. When the holder has
// been silent for a while, the other VMs join the group one after the other, in an order that
// depends on the duty. The fencing token consists of the log's era, the group's generation and the
// VM (fencing_token.h): a log that returns from a copy gives its generations out again.
//
// Promises:
// - The lease expires at the holder no later than at the log: it runs from before the join was
//   sent, on a clock that counts the time of suspensions.
// - Where engines check fencing tokens, a new holder acts after a short wait, and engines refuse
//   orders of the former holder that are still in flight.
// - Where they do not, holders do not take turns within orderSpacing, whether or not they hear of
//   each other: with a new lease, a VM gives no order before its own last one is that old; one of a
//   process before on the same VM may have been given until this process started. Nor does it give
//   one before the ttl has passed, as a former holder's lease may run on for so long after the log
//   has assigned the duty anew or has returned from a copy, unless the duty was handed over
//   (duty_claim.h). Orders of other VMs that are known of must be that old as well.
// - A lease counts as new unless the answers to its joins show that no other VM can have held the
//   duty in between.
// - A lease ends at once when a later era of the log is known.
// - A holder whose token engines refuse leaves the group and joins again with a higher token, so
//   that a duty does not stay without a holder whose token is high enough. This does not depend on
//   the generation: the log may forget a group without members.
// Nothing here reads a clock.

#include "burdockhold/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace burdockhold {

struct duty_lease_options
{
    duration ttl = std::chrono::milliseconds(1600);         ///< Stated in each join.
    duration joinInterval = std::chrono::milliseconds(450); ///< Under a third of the ttl.
    /// Silence of the holder, about the ttl, after which the first VM tries to take over the duty.
    duration claimDelay = std::chrono::milliseconds(1000);
    duration rankDelay = std::chrono::milliseconds(300); ///< Between the attempts of two VMs.
    /// Least time from a takeover to the first order where engines check fencing tokens.
    duration takeoverWait = std::chrono::milliseconds(200);
    /// Least age of another VM's last order before this VM sends one; zero where engines check
    /// fencing tokens. Must be at least the time in which holders must not take turns.
    duration orderSpacing = std::chrono::milliseconds(0);
    std::uint32_t vm = 0; ///< shortHash of this VM's name.
};

class duty_lease
{
public:
    /// The process has started at startedAt, of the clock that counts suspensions.
    duty_lease(duty_lease_options options, std::string_view duty, int partitionCount,
               duration startedAt);

    /// Handles the response, received now, to a join that was sent at sentAt. All times are of the
    /// clock that counts suspensions. A response to an earlier join than the last one changes
    /// nothing. If this begins a lease that the former holder has handed over to this VM, the wait
    /// for a former holder's lease is left out.
    void joined(std::int64_t generation, const std::vector<int> &partitions, duration sentAt,
                duration now, bool handedOver = false);

    /// Handles the known era of the log, before the responses of that era. A later era than before
    /// ends the lease.
    void setEra(std::int64_t era);

    /// Handles an order that this VM gives now.
    void ordered(duration now) { m_orderedAt = now; }

    /// True while this VM is the holder, even if it may not act yet.
    bool holds(duration now) const;

    /// Returns the fencing token if this VM may act now. othersOrderAge is the age of the last
    /// order that another VM sent.
    std::optional<std::int64_t> token(duration now, duration othersOrderAge) const;

    /// Returns the fencing token of this VM's lease, even if it may not act yet.
    std::optional<std::int64_t> heldToken(duration now) const;

    /// True when this VM should send a join: it holds the duty, or the holder has been silent long
    /// enough for a VM of this rank.
    bool shouldJoin(duration now, duration holderSilence, std::size_t rank) const;

    /// True if the duty's partition is among these.
    bool isListed(const std::vector<int> &partitions) const;

    /// Returns the least time from a takeover to the first order if the duty is not handed over.
    duration waitAfterTakeover() const;

    /// Returns the last generation that the log has given out in this era, or 0.
    std::int64_t generation() const { return m_generation; }

    /// Ends the lease at once, before the VM leaves the group.
    void release();

    /// Ends the lease after engines have refused its token. The next lease of this era has a higher
    /// token, whatever generation the log gives out.
    void tokenRefused();

private:
    /// Returns the token's generation.
    std::int64_t term() const;

    duty_lease_options m_options;
    int m_partition;
    duration m_orderedAt;                   // The last order that this VM may have given.
    std::optional<duration> m_heldSince;    // When the response that began the lease was received.
    duration m_actsFrom = duration::zero(); // In the present lease.
    std::int64_t m_era = 0;
    std::int64_t m_generation = 0;
    std::int64_t m_leastTerm = 0; // Above those of the tokens that engines have refused.
    duration m_joinSentAt = duration::min();
    duration m_validUntil = duration::zero();
};

/// Returns the partition of the duty's group that its holder is assigned.
int dutyPartition(std::string_view duty, int partitionCount);

/// Returns how many of the other VMs try to take over the duty before this one. Each VM is given as
/// the shortHash of its name.
std::size_t dutyRank(std::string_view duty, std::uint32_t ownVm,
                     const std::vector<std::uint32_t> &otherVms);

} // namespace burdockhold

#endif
