#ifndef BURDOCKHOLD_GUARDED_LOOP_H
#define BURDOCKHOLD_GUARDED_LOOP_H

// Runs an event loop so that one unforeseen exception does not end the process with all its
// streams: it ends the handler that it left, is reported, and the loop goes on. What the handler
// served ends by its own time limit.

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace burdockhold {

/// Returns when the context was stopped or has nothing left to do. The report gets the text of each
/// exception, and must not throw.
void runGuarded(boost::asio::io_context &context,
                const std::function<void(const std::string &)> &report);

} // namespace burdockhold

#endif
