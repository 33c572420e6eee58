#ifndef BURDOCKHOLD_PROMPT_SEGMENTS_H
#define BURDOCKHOLD_PROMPT_SEGMENTS_H

// Names the shared prompt segments of a request for the engines' caches, the segment store and the
// other VMs.
//
// Promises:
// - Segments computed under different versions of the weights have different names, and so have
//   segments of an isolated account and of any other account. Engines check neither account nor
//   version; they find a cached segment only under the salt that it was computed with.
// - When an account becomes isolated, all others stop using the segments computed until then, since
//   engines and stores do not tell which of them its requests computed. They are computed anew
//   once.
// - Segments computed under unknown weights are shared with no other request.
// - A prompt's preferred endpoint does not change with the version of the weights.

#include "burdockhold/caller_request.h"
#include "burdockhold/deployment.h"
#include "burdockhold/endpoint_choice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace burdockhold {

/// Returns the salt under which an engine caches the segments of this request. Version 0 means
/// unknown weights.
std::string cacheSalt(const caller_request &request, const cache_domain &domain,
                      std::int64_t version);

/// Returns the names of the shared segments, the deepest last; empty for a prompt without any.
std::vector<std::string> sharedSegmentNames(const caller_request &request,
                                            const cache_domain &domain, std::int64_t version);

/// Returns the name of the deepest shared segment, or an empty string.
std::string deepestSegmentName(const caller_request &request, const cache_domain &domain,
                               std::int64_t version);

/// Returns the id of the deepest shared segment, by which a store is chosen, or an empty string.
std::string deepestSegmentId(const caller_request &request);

/// Returns the properties of the prompt that the choice of an engine depends on, except
/// storeHoldsSegment, which the caller sets.
placement_need placementNeedFor(const caller_request &request, const cache_domain &domain);

} // namespace burdockhold

#endif
