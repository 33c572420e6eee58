#ifndef BURDOCKHOLD_REQUEST_ADMISSION_H
#define BURDOCKHOLD_REQUEST_ADMISSION_H

// Decides which route and client account a request belongs to, or how it is refused. Pure.
//
// Guarantees:
// - A request is refused as unauthorized or without a route only while the deployment is recent
//   enough that a newer one would be known. With an older one it is refused as not run, and its
//   caller may try another VM.
// - A key counts only while the deployment is so recent that its withdrawal would be known.

#include "burdockhold/caller_request.h"
#include "burdockhold/clock.h"
#include "burdockhold/deployment.h"

#include <variant>

namespace burdockhold {

/// Age of this VM's view of the deployment, and the bounds on it.
struct view_age
{
    duration age = duration::zero();
    duration configBound = duration::zero();     ///< Within which a deployment is in force.
    duration revocationBound = duration::zero(); ///< Within which a withdrawn key is refused.
};

/// The request may run. Points into the deployment.
struct admitted_request
{
    const deployment_route *route = nullptr;
    const deployment_account *account = nullptr; ///< Null if no key is needed.
};

enum class admission_refusal {
    StaleView, ///< The view is too old to decide; the request has not run.
    NoRoute,
    UnknownKey,
};

using admission_result = std::variant<admitted_request, admission_refusal>;

admission_result admitRequest(const deployment_index &deployment, const caller_request &request,
                              const view_age &view);

/// Returns what the request costs its account, in the unit of the account's rate.
double requestCost(const deployment_account &account, const caller_request &request);

/// Returns the pool of the route that serves the request, drawn by the pools' weights: the same one
/// for the same hash. The route must have a pool.
const std::string &choosePool(const deployment_route &route, std::uint64_t requestHash);

} // namespace burdockhold

#endif
