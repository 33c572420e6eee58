#ifndef BURDOCKHOLD_RANDOM_ID_H
#define BURDOCKHOLD_RANDOM_ID_H

// Random identifiers and secrets from the operating system's generator. For the network shell and
// the programs; decision code takes seeded generators.

#include <cstddef>
#include <string>

namespace burdockhold {

/// Returns `bytes` random bytes as lower-case hexadecimal digits, or an empty string when the
/// system's generator fails.
std::string randomHex(std::size_t bytes);

} // namespace burdockhold

#endif
