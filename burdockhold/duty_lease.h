#ifndef BURDOCKHOLD_DUTY_LEASE_H
#define BURDOCKHOLD_DUTY_LEASE_H

// Whether this VM holds a duty, from its membership of a group on the log. The group gives each
// partition to one member; a duty belongs to a partition, and the group's generation is the fencing
// token.
//
// Promises:
// - The lease ends at the holder no later than at the log: it runs from before the join was sent,
//   on a clock that counts suspensions.
// - A new holder waits until orders of the former one are at least one lease old, because the log
//   may deal partitions anew without asking their holders. If the former holder had nothing to order
//   for a lease before that, the end of its own lease is enough.
// Every method takes the time of the suspension-counting clock. Nothing here reads a clock.

#include "burdockhold/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace burdockhold {

struct duty_lease_options
{
    duration ttl = std::chrono::milliseconds(1600);         ///< As stated in each join.
    duration joinInterval = std::chrono::milliseconds(450); ///< Under a third of the ttl.
    duration takeoverWait = std::chrono::milliseconds(3300); ///< The platform's lease time and 10 %.
};

class duty_lease
{
public:
    explicit duty_lease(duty_lease_options options, int partitionCount);

    /// A join that was sent at sentAt has been answered.
    void joined(std::int64_t generation, const std::vector<int> &partitions, duration sentAt);

    /// Returns the fencing token if this VM may act on the duty now. The second time is when another
    /// VM may last have acted on it.
    std::optional<std::int64_t> tokenFor(std::string_view duty, duration othersActedAt,
                                         duration now) const;

    /// True while this VM is the holder, even if it may not act yet.
    bool holds(std::string_view duty, duration now) const;

    std::int64_t generation() const { return m_generation; }

    /// Ends all duties at once, before the VM leaves the group.
    void release();

    int partitionOf(std::string_view duty) const;

private:
    duty_lease_options m_options;
    std::vector<std::optional<duration>> m_heldSince; // By partition.
    std::int64_t m_generation = 0;
    duration m_validUntil = duration::zero();
};

} // namespace burdockhold

#endif
