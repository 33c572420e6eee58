#ifndef BURDOCKHOLD_DEPLOYMENT_PART_H
#define BURDOCKHOLD_DEPLOYMENT_PART_H

// Encodes a deployment as parts that change independently of each other: each route, each account,
// the list of pools, and the rules for callers. A part has a key, which is unique within the
// deployment, and a value.
//
// Of several routes with the same host and path prefix only the first one has a part, since no
// request finds the others. Times are encoded in whole milliseconds, as the operator states them.

#include "burdockhold/deployment.h"
#include "burdockhold/result.h"

#include <map>
#include <string>
#include <string_view>

namespace burdockhold {

enum class deployment_part_error { UnknownKey, NotReadable };

/// Returns the values of all parts by key.
std::map<std::string, std::string> encodeDeploymentParts(const deployment &source);

/// Decodes the part and adds it to the changes.
result<success, deployment_part_error> addPart(deployment_changes &changes, std::string_view key,
                                               std::string_view value);

/// Adds the removal of the part to the changes. Only routes and accounts are ever removed.
result<success, deployment_part_error> addRemovedPart(deployment_changes &changes,
                                                      std::string_view key);

} // namespace burdockhold

#endif
