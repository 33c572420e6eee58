#include "burdockhold/prefix.h"

#include "burdockhold/hash.h"

#include <algorithm>

namespace burdockhold {

std::uint64_t identitySeed(const cache_identity &identity)
{
    std::uint64_t seed = 0;
    for (std::string_view field :
         { std::string_view(identity.account), std::string_view(identity.model),
           std::string_view(identity.adapter), std::string_view(identity.weightsVersion) })
        seed = combineHash(combineHash(seed, field.size()), hash64(field, seed));
    return seed;
}

prompt_prefix cutPrompt(std::string_view text, std::uint64_t seed, const prefix_options &options)
{
    const std::size_t bytesPerToken = std::max<std::size_t>(options.bytesPerToken, 1);
    const std::size_t tokensPerBlock = std::max<std::size_t>(options.tokensPerBlock, 1);
    const std::size_t blockBytes = bytesPerToken * tokensPerBlock;

    prompt_prefix prefix;
    prefix.promptTokens = static_cast<std::int64_t>((text.size() + bytesPerToken - 1)
                                                    / bytesPerToken);
    prefix.tokensPerBlock = static_cast<std::int64_t>(tokensPerBlock);

    const std::size_t levels = std::min(text.size() / blockBytes, options.maxLevels);
    prefix.levels.reserve(levels);
    std::uint64_t chain = seed;
    for (std::size_t level = 0; level < levels; ++level) {
        chain = hash64(text.substr(level * blockBytes, blockBytes), chain);
        prefix.levels.push_back(chain);
    }
    return prefix;
}

} // namespace burdockhold
