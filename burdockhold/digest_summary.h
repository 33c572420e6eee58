#ifndef BURDOCKHOLD_DIGEST_SUMMARY_H
#define BURDOCKHOLD_DIGEST_SUMMARY_H

// Merges the digests of one data centre's VMs into one summary for the other data centres.
//
// In a large deployment a VM exchanges digests with the VMs of its own data centre only. One of
// them, the aggregator, sends a summary to the aggregator of each other data centre, which forwards
// it to the VMs there. The number of messages per VM therefore grows with the size of its data
// centre instead of the deployment, and the traffic between data centres with their number.
//
// Like a digest, a summary contains the full state instead of changes, so a lost or duplicated
// summary does no harm. The functions are pure.

#include "burdockhold/vm_digest.h"

#include <cstdint>
#include <vector>

namespace burdockhold {

/// Returns the merged rows of all members: sums of loads, the newest weights versions and unions of
/// the sets of hashes. Account totals are left out: they must not decrease when a member leaves, so
/// the aggregator takes them from its quota ledgers. The caller fills in the header fields (names,
/// incarnation, sequence number).
vm_digest summarize(const std::vector<const vm_digest *> &members);

/// A VM that may become the aggregator of its data centre.
struct aggregator_candidate
{
    std::uint32_t vm = 0;       ///< shortHash of the VM's name.
    std::uint32_t capacity = 0; ///< router_settings::capacity().
};

/// Returns true if the first candidate is preferred to the second: the one with more capacity,
/// since an aggregator sends and receives many times as much as the other VMs; at equal capacity,
/// the one with the lower hash.
bool outranks(const aggregator_candidate &one, const aggregator_candidate &other);

/// Returns true if the VM is the aggregator of its data centre, that is, if it outranks all other
/// live VMs. VMs that disagree on which VMs are live may both be aggregators for a short time.
bool isAggregator(const aggregator_candidate &own, const std::vector<aggregator_candidate> &others);

} // namespace burdockhold

#endif
