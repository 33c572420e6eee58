#ifndef BURDOCKHOLD_HASH_H
#define BURDOCKHOLD_HASH_H

// Digests. SHA-256 stands for secrets and request bodies wherever they are stored, sent or logged;
// the 64-bit hash serves placement, where speed matters and an adversary gains nothing.

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhold {

/// Returns the SHA-256 digest of bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// Returns a 64-bit hash of bytes, seeded so that hashes can be chained. Stable across processes,
/// versions and machines (XXH64).
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Mixes two 64-bit hashes into one. Not commutative.
std::uint64_t combineHash(std::uint64_t left, std::uint64_t right);

} // namespace burdockhold

#endif
