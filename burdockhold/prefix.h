#ifndef BURDOCKHOLD_PREFIX_H
#define BURDOCKHOLD_PREFIX_H

// Cuts a prompt into blocks and computes a 64-bit hash of each leading run of blocks. Two prompts
// have equal hashes at level i exactly when their first i + 1 blocks and their cache identities are
// equal, apart from hash collisions.
//
// Time is linear in the prompt's length; memory is 8 bytes per level. Nothing here fails.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// The properties besides the text that a cached block depends on. A block of one identity is never
/// usable for another, so the identity seeds the hashes.
struct cache_identity
{
    std::string account;
    std::string model;
    std::string adapter; ///< Empty when none.
    std::string weightsVersion;
};

struct prefix_options
{
    std::size_t tokensPerBlock = 2000;
    std::size_t bytesPerToken = 4;
    /// 64 levels cover 128,000 tokens; later blocks of longer prompts are ignored.
    std::size_t maxLevels = 64;
};

/// The leading runs of whole blocks of a prompt.
struct prompt_prefix
{
    std::int64_t promptTokens = 0; ///< Estimate for the whole prompt, rounded up.
    std::int64_t tokensPerBlock = 2000;
    std::vector<std::uint64_t> levels; ///< levels[i] is the hash of the first i + 1 blocks.
};

/// Returns the seed of the identity's hash chains. The lengths of the fields are hashed too, so
/// that moving a character from one field to the next changes the seed.
std::uint64_t identitySeed(const cache_identity &identity);

/// Cuts text into blocks. An incomplete last block counts towards promptTokens but has no level,
/// because engines cache only whole blocks. A block or token size of zero is treated as one.
prompt_prefix cutPrompt(std::string_view text, std::uint64_t seed,
                        const prefix_options &options = {});

} // namespace burdockhold

#endif
