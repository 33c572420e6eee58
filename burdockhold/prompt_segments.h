#ifndef BURDOCKHOLD_PROMPT_SEGMENTS_H
#define BURDOCKHOLD_PROMPT_SEGMENTS_H

// The shared parts of a request's prompt, as caches, the store and the VMs name them.
//
// Promises:
// - Parts made under different versions of the weights have different names, and so have parts of
//   an isolated account and of any other: engines find a cached part only under the salt that it
//   was made with, and check neither account nor version themselves.
// - Parts made under weights that nobody knows are shared with no other request.
// - A prompt's home does not change with the weights.

#include "burdockhold/caller_request.h"
#include "burdockhold/deployment.h"
#include "burdockhold/endpoint_choice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace burdockhold {

/// Text under which an engine caches what this request makes. Version 0 stands for unknown weights;
/// the account may be nullptr.
std::string cacheSalt(const caller_request &request, const deployment_account *account,
                      std::int64_t version);

/// Names of the shared parts, the deepest last. Empty for a prompt without shared parts.
std::vector<std::string> sharedSegmentNames(const caller_request &request,
                                            const deployment_account *account,
                                            std::int64_t version);

/// Name of the deepest shared part, or an empty string.
std::string deepestSegmentName(const caller_request &request, const deployment_account *account,
                               std::int64_t version);

/// Id of the deepest shared part, or an empty string: stores are chosen by it.
std::string deepestSegmentId(const caller_request &request);

/// What the choice of an engine needs to know of the prompt; storeHoldsSegment is left to the
/// caller.
placement_need placementNeedFor(const caller_request &request, const deployment_account *account);

} // namespace burdockhold

#endif
