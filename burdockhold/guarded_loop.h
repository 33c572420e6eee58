#ifndef BURDOCKHOLD_GUARDED_LOOP_H
#define BURDOCKHOLD_GUARDED_LOOP_H

// Runs an event loop so that an unexpected exception does not terminate the process with all its
// streams: the exception ends only the handler that threw it and is reported, and the loop
// continues. Requests catch the exceptions of their own steps; see routed_request.h.

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace burdockhold {

/// Runs the context until it is stopped or has no work left. `report` is called with the text of
/// each exception and must not throw.
void runGuarded(boost::asio::io_context &context,
                const std::function<void(const std::string &)> &report);

} // namespace burdockhold

#endif
