#ifndef BURDOCKHOLD_HASH_H
#define BURDOCKHOLD_HASH_H

// Hash functions. SHA-256 digests replace secrets and request bodies wherever they are stored, sent
// or logged. The 64-bit hash is for placement, where speed matters and an adversary gains nothing
// from collisions.

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhold {

/// Returns the SHA-256 digest of bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// Returns the XXH64 hash of bytes. The seed allows hashes to be chained. The result is stable
/// across processes, versions and machines.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Combines two 64-bit hashes into one. Not commutative.
std::uint64_t combineHash(std::uint64_t left, std::uint64_t right);

} // namespace burdockhold

#endif
