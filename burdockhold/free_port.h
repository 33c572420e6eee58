#ifndef BURDOCKHOLD_FREE_PORT_H
#define BURDOCKHOLD_FREE_PORT_H

// Replaces port 0 in an address by a port that is free at the moment of the call. The HTTP library
// doesn't report which port it bound, so the choice is made before it binds; another process may
// take the port in between, and the listener then fails to open.

#include "burdockhold/result.h"

#include <string>

namespace burdockhold {

enum class port_error { BadAddress, NoFreePort };

/// address is "SCHEME://IP:PORT". An address with another port is returned unchanged.
result<std::string, port_error> withFreePort(const std::string &address);

} // namespace burdockhold

#endif
