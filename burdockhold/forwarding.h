#ifndef BURDOCKHOLD_FORWARDING_H
#define BURDOCKHOLD_FORWARDING_H

// Rules of forwarding a call: which route it belongs to, which headers pass between caller and
// endpoint, and which statuses of an endpoint mean that it could not run the call. Finding a route
// takes time linear in the number of routes.

#include "burdockhold/catalogue.h"

#include <string>

namespace burdockhold {

/// Returns the route with this method and the longest matching path, or null. A path that ends in
/// "/*" matches all paths below it, any other only itself.
const route_entry *findRoute(const catalogue &config, const std::string &method,
                             const std::string &path);

/// Returns whether a header passes on. Dropped are headers that describe one connection, those that
/// only the router may set, and the caller's key. Case is ignored.
bool isForwardedHeader(const std::string &name);

/// Returns whether a status means that the endpoint could not run the call, so that a repeatable
/// call may be tried elsewhere. A completion call has more such statuses than a plain route, whose
/// service may use them as answers.
bool isEndpointFault(int status, bool completion);

} // namespace burdockhold

#endif
