#ifndef BURDOCKHOLD_DIGEST_SUMMARY_H
#define BURDOCKHOLD_DIGEST_SUMMARY_H

// What the VMs of one data centre know, as one digest for the other data centres.
//
// In a large deployment a VM exchanges digests with the VMs of its own data centre only. One of
// them, the speaker, sends a summary to the speaker of each other data centre, which passes it on
// to its VMs. So the messages of a VM grow with the VMs of its data centre, not of the deployment,
// and what crosses between data centres with the number of data centres.
//
// A summary states the whole, as a digest does; a lost or doubled one does no harm. The functions
// are pure.

#include "burdockhold/vm_digest.h"

#include <cstdint>
#include <vector>

namespace burdockhold {

/// Returns the rows of all members together: sums of loads, the newest weights, the union of what
/// was seen. Account totals are left out: they must not fall when a member leaves, so the speaker's
/// ledgers state them. The head (names, numbers) is the caller's to fill.
vm_digest summarize(const std::vector<const vm_digest *> &members);

/// A VM that may speak for its data centre.
struct aggregator_candidate
{
    std::uint32_t vm = 0;       ///< shortHash of its name.
    std::uint32_t capacity = 0; ///< router_settings::capacity().
};

/// True if the first speaks before the second: it has more capacity, since a speaker sends and
/// receives many times what the others do, or as much and the lower hash.
bool outranks(const aggregator_candidate &one, const aggregator_candidate &other);

/// True if the VM speaks for its data centre: it comes before all others that live. VMs with
/// different views may both speak for a moment.
bool isAggregator(const aggregator_candidate &own, const std::vector<aggregator_candidate> &others);

} // namespace burdockhold

#endif
