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

/// True if the VM speaks for its data centre: of the live VMs it has the lowest hash. VMs with
/// different views may both speak for a moment.
bool isSpeaker(std::uint32_t ownVm, const std::vector<std::uint32_t> &otherVms);

} // namespace burdockhold

#endif
