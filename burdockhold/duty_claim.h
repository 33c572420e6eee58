#ifndef BURDOCKHOLD_DUTY_CLAIM_H
#define BURDOCKHOLD_DUTY_CLAIM_H

// What the digests of other VMs have told about one duty: who holds it, when an order was given,
// and whether the holder has handed the duty over.
//
// Promises:
// - A holder that leaves is silent from then on, once: its further digests change nothing, so the
//   other VMs still try to take the duty over one after the other.
// - A duty counts as handed over only if the process that held it has said itself that it leaves,
//   so that its last digest states all its orders, and if it, and those from which the duty was
//   handed over to it, had held the duty for so long that any lease before has ended. A process
//   that has restarted since says nothing of the orders before.
// - A handover is short-lived: soon after it, other VMs may have held the duty.
//
// Failure pattern: holders that are replaced one after the other while new weights are announced.
// Nothing here reads a clock.

#include "burdockhold/clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace burdockhold {

/// A process that may hold duties.
struct duty_process
{
    std::string vm;
    std::uint64_t incarnation = 0;
    bool operator==(const duty_process &other) const
    {
        return vm == other.vm && incarnation == other.incarnation;
    }
};

/// The same moment on both clocks: the second one counts the time of suspensions.
struct claim_time
{
    time_point steady;
    duration boot = duration::zero();
};

class duty_claim
{
public:
    /// Claims of one holder that are further apart than this may have another one between them, and
    /// a handover is valid for this long. Must be at most the ttl of a lease.
    explicit duty_claim(duration validity = std::chrono::milliseconds(1600))
        : m_validity(validity)
    {
    }

    /// Handles a report of a process that it holds the duty.
    void held(const duty_process &holder, const claim_time &now)
    {
        const bool goesOn = holder == m_holder ? now.boot - m_lastHeldAt.boot <= m_validity
                                               : isFreshlyLeft(now.boot);
        if (!goesOn)
            m_heldFrom = now.boot;
        m_holder = holder;
        m_lastHeldAt = now;
        m_leftAt.reset();
    }

    /// Handles a report of a process that it leaves and has given up its duties.
    void left(const duty_process &process, const claim_time &now)
    {
        if (process == m_holder && !m_leftAt)
            m_leftAt = now;
    }

    /// Handles a report of an order, given at this time.
    void ordered(time_point at) { m_orderedAt = std::max(m_orderedAt, at); }

    /// Returns the name of the VM that was the last to report that it holds the duty, or "".
    const std::string &holder() const { return m_holder.vm; }

    /// Returns when a VM last gave an order.
    time_point orderedAt() const { return m_orderedAt; }

    /// Returns for how long the holder has been silent, or, if no VM has claimed the duty, the time
    /// since the start. A holder that leaves has been silent for claimDelay at that moment.
    duration silence(duration claimDelay, time_point startedAt, time_point now) const
    {
        if (m_leftAt)
            return claimDelay + (now - m_leftAt->steady);
        return now - (m_holder.vm.empty() ? startedAt : m_lastHeldAt.steady);
    }

    /// Returns whether a VM that gets the duty now follows a holder which has handed it over, and
    /// which had held it for at least this time, together with those that handed it over to it.
    bool isHandedOver(duration heldFor, duration bootNow) const
    {
        return isFreshlyLeft(bootNow) && m_lastHeldAt.boot - m_heldFrom >= heldFor;
    }

private:
    /// Returns whether the holder has left a moment ago, right after it reported its last claim.
    bool isFreshlyLeft(duration bootNow) const
    {
        return m_leftAt && bootNow - m_leftAt->boot <= m_validity
               && m_leftAt->boot - m_lastHeldAt.boot <= m_validity;
    }

    duration m_validity;
    duty_process m_holder;
    /// Boot time of the first claim in a row of claims and handovers.
    duration m_heldFrom = duration::zero();
    claim_time m_lastHeldAt;
    std::optional<claim_time> m_leftAt;
    time_point m_orderedAt;
};

} // namespace burdockhold

#endif
