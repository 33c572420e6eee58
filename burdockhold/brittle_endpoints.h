#ifndef BURDOCKHOLD_BRITTLE_ENDPOINTS_H
#define BURDOCKHOLD_BRITTLE_ENDPOINTS_H

// Which calls this VM may send to an endpoint that crashes when it has to refuse more than a stated
// number of calls in a second, those of all VMs together.
//
// Guarantees:
// - The VMs' shares of an endpoint's refusals never add up to more than the stated number in any
//   second, and their parts of its slots never to more than its slots, as long as the VMs have the
//   same list of VMs. No message between VMs is needed.
// - A call that may be refused is charged to the share from its start until its answer; a refusal
//   is charged for a second.
// - Without a share, a call is sent only within this VM's part of the slots, or where the endpoint
//   has room for it and for what the other VMs may have sent since their last digests. If this
//   VM's own refusals show that the number may be reached, both are required.
//
// Failure behaviour: a VM that is cut off from the others keeps its list, and so its parts. Without
// a clock the remainders of the shares are unused. VMs whose lists differ, as during a start, may
// exceed the number. A call whose caller has left counts as ended, although the endpoint may go on.
//
// Load pattern: in an overload each freed slot is seen by all VMs, and each sends it a call.
//
// Memory and time are linear in the calls and refusals of the last seconds.

#include "burdockhold/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace burdockhold {

/// This VM among those that share the endpoints.
struct vm_position
{
    std::size_t index = 0; ///< In the list of VMs, which all VMs have in the same order.
    std::size_t vms = 1;
};

/// Returns the position of a VM in the sorted list that contains it.
vm_position positionIn(const std::vector<std::uint32_t> &vms, std::uint32_t self);

/// Returns the position in an order that differs between endpoints, so that remainders of small
/// numbers do not always go to the same VMs.
vm_position rotated(vm_position position, std::uint32_t endpointHash);

/// Returns this VM's part of a number; the parts of all VMs add up to the number.
std::int64_t partOf(std::int64_t number, vm_position position);

/// Returns this VM's share of the refusals that an endpoint bears in a second. The remainder of the
/// division goes round among the VMs, with a pause of more than a second between two turns. Without
/// the Unix time in milliseconds, it is unused.
std::int64_t shareOfRefusals(std::int64_t refusals, vm_position position,
                             std::optional<std::int64_t> unixMs);

/// What an endpoint's pool has stated, and this VM's calls there.
class brittle_pool
{
public:
    /// Records an answer of one of the pool's endpoints: the stated refusals, or none. Returns
    /// whether the statement has changed.
    bool answered(std::optional<std::int64_t> refusals);
    std::optional<std::int64_t> refusals() const { return m_refusals; }

    void callStarted(time_point now);
    /// Returns the calls that this VM has started per second.
    double callsPerSecond(time_point now) const;

private:
    std::optional<std::int64_t> m_refusals;
    std::deque<time_point> m_starts; ///< Only while the endpoints are brittle.
};

/// What is known about an endpoint when a call may be sent to it.
struct brittle_need
{
    std::int64_t refusals = 0; ///< As stated.
    vm_position position;      ///< Rotated.
    std::optional<std::int64_t> unixMs;
    int slots = 1;
    int ownRunning = 0;
    int othersRunning = 0;     ///< Sum of the digests.
    double othersStarts = 0.0; ///< Calls of others that are expected to be missing in the digests.
};

/// Returns how many calls others may have sent unseen, when so many are expected.
double unseenCalls(double expected);

enum class brittle_verdict { Free, OnShare, Excluded };

/// This VM's calls at one endpoint.
class brittle_share
{
public:
    brittle_verdict verdict(const brittle_need &need, time_point now) const;

    /// Charges a call that may be refused, until release().
    void charge() { ++m_charged; }
    void release() { m_charged -= m_charged > 0 ? 1 : 0; }
    void refused(time_point now);

    std::int64_t refusedLately(time_point now) const;

private:
    std::int64_t m_charged = 0;
    std::deque<time_point> m_refusals;
};

} // namespace burdockhold

#endif
