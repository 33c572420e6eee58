#ifndef BURDOCKHOLD_SUPPORT_ADDRESS_H
#define BURDOCKHOLD_SUPPORT_ADDRESS_H

// Addresses for the listeners of tests. An address is chosen before the program under test binds
// it, so the port is reserved: a socket that never listens stays bound to it until the test program
// ends. Neither an outgoing connection nor a listener on "any free port" gets a reserved port. A
// listener that sets SO_REUSEADDR can bind it, also again after a restart.

#include <string>

namespace burdockhold::testing {

/// Returns "SCHEME127.0.0.1:PORT" with a reserved port below those of outgoing connections. Throws
/// std::runtime_error if no port is free.
std::string reserveAddress(const std::string &scheme = {});

} // namespace burdockhold::testing

#endif
