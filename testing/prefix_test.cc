#define BOOST_TEST_MODULE prefix
#include <boost/test/unit_test.hpp>

#include "burdockhold/prefix.h"

#include <algorithm>
#include <random>
#include <set>

using namespace burdockhold;

namespace {

const prefix_options smallBlocks{ 2, 4, 16 };

std::string randomText(std::mt19937_64 &random, std::size_t size)
{
    std::string text(size, ' ');
    for (char &c : text)
        c = static_cast<char>('a' + random() % 2);
    return text;
}

/// Returns the number of whole blocks that two texts have in common at their start.
std::size_t commonBlocks(const std::string &a, const std::string &b, std::size_t blockBytes)
{
    std::size_t blocks = 0;
    const std::size_t end = std::min(a.size(), b.size());
    while ((blocks + 1) * blockBytes <= end
           && a.compare(blocks * blockBytes, blockBytes, b, blocks * blockBytes, blockBytes) == 0)
        ++blocks;
    return blocks;
}

std::size_t commonLevels(const prompt_prefix &a, const prompt_prefix &b)
{
    const std::size_t end = std::min(a.levels.size(), b.levels.size());
    std::size_t levels = 0;
    while (levels < end && a.levels[levels] == b.levels[levels])
        ++levels;
    return levels;
}

} // namespace

// Guards against hashes that match although the leading blocks differ, and hashes that differ
// although the leading blocks match.
BOOST_AUTO_TEST_CASE(levelsMatchExactlyWhenLeadingBlocksDo)
{
    std::mt19937_64 random(1);
    for (int round = 0; round < 2000; ++round) {
        const std::string a = randomText(random, random() % 100);
        std::string b = a.substr(0, random() % (a.size() + 1));
        b += randomText(random, random() % 40);
        const auto pa = cutPrompt(a, 7, smallBlocks);
        const auto pb = cutPrompt(b, 7, smallBlocks);
        BOOST_TEST(commonLevels(pa, pb) == commonBlocks(a, b, 8));
        BOOST_TEST(pa.levels.size() == a.size() / 8);
        BOOST_TEST(pa.promptTokens == static_cast<std::int64_t>((a.size() + 3) / 4));
    }
}

// Guards against a request that uses another account's cached blocks or blocks computed under older
// weights (invariant 1).
BOOST_AUTO_TEST_CASE(everyFieldOfTheIdentitySeparatesHashes)
{
    const cache_identity base{ "account", "model", "adapter", "v1" };
    std::vector<cache_identity> identities(8, base);
    identities[1].account = "other";
    identities[2].model = "other";
    identities[3].adapter = "";
    identities[4].weightsVersion = "v2";
    identities[5] = { "accountm", "odel", "adapter", "v1" };
    identities[6] = { "account", "modela", "dapter", "v1" };
    identities[7] = { "account", "model", "adapterv", "1" };
    std::set<std::uint64_t> seeds;
    std::set<std::uint64_t> firstLevels;
    for (const auto &identity : identities) {
        seeds.insert(identitySeed(identity));
        firstLevels.insert(cutPrompt("12345678", identitySeed(identity), smallBlocks).levels[0]);
    }
    BOOST_TEST(seeds.size() == identities.size());
    BOOST_TEST(firstLevels.size() == identities.size());
}

// Guards against memory that grows without bound with the prompt.
BOOST_AUTO_TEST_CASE(levelsAreBounded)
{
    const auto prefix = cutPrompt(std::string(1 << 20, 'x'), 1, smallBlocks);
    BOOST_TEST(prefix.levels.size() == smallBlocks.maxLevels);
    BOOST_TEST(prefix.promptTokens == (1 << 18));
}

// Guards against a block size that differs from the engines' (design page, section 7).
BOOST_AUTO_TEST_CASE(defaultBlockIsTwoThousandTokensOfFourBytes)
{
    BOOST_TEST(cutPrompt(std::string(7999, 'x'), 1).levels.empty());
    BOOST_TEST(cutPrompt(std::string(8000, 'x'), 1).levels.size() == 1U);
}

// Guards against a division by zero when options are zero.
BOOST_AUTO_TEST_CASE(zeroOptionsAreTreatedAsOne)
{
    BOOST_TEST(cutPrompt("abc", 1, prefix_options{ 0, 0, 2 }).levels.size() == 2U);
    BOOST_TEST(cutPrompt("", 1).promptTokens == 0);
}
