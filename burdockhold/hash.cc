#include "burdockhold/hash.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace burdockhold {

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> raw{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), raw.data());

    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(raw.size() * 2);
    for (unsigned char byte : raw) {
        hex.push_back(Digits[byte >> 4]);
        hex.push_back(Digits[byte & 0x0f]);
    }
    return hex;
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t combineHash(std::uint64_t left, std::uint64_t right)
{
    const std::array<std::uint64_t, 2> pair{ left, right };
    return XXH64(pair.data(), sizeof(pair), 0);
}

} // namespace burdockhold
