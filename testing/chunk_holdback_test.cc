#define BOOST_TEST_MODULE chunk_holdback
#include "burdockhold/chunk_holdback.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

/// A body in chunks, of which all before the last are complete, and how much of it has arrived.
struct chunked_body
{
    std::vector<std::size_t> sizes;
    std::size_t arrived = 0;
    std::string bytes;
};

chunked_body drawBody(std::mt19937 &random)
{
    chunked_body body;
    const std::size_t chunks = 1 + random() % 6;
    std::size_t before = 0;
    for (std::size_t index = 0; index < chunks; ++index) {
        const bool isLarge = random() % 8 == 0;
        body.sizes.push_back(isLarge ? 2 * chunk_holdback::MaxHeldBytes : 1 + random() % 200);
        before += index + 1 < chunks ? body.sizes.back() : 0;
    }
    body.arrived = before + random() % (body.sizes.back() + 1);
    for (std::size_t at = 0; at < body.arrived; ++at)
        body.bytes += static_cast<char>('a' + at % 23);
    return body;
}

/// Reference: what may have been returned when all bytes of the body have arrived.
std::size_t returnedBytes(const chunked_body &body, bool hasChunkEnd)
{
    std::size_t before = 0;
    for (std::size_t index = 0; index + 1 < body.sizes.size(); ++index)
        before += body.sizes[index];
    const bool isComplete = hasChunkEnd && body.arrived == before + body.sizes.back();
    const std::size_t incomplete = isComplete ? 0 : body.arrived - before;
    return body.arrived - std::min(incomplete, chunk_holdback::MaxHeldBytes);
}

} // namespace

// Guards against bytes of an incomplete chunk that are relayed: framing may stand among them.
BOOST_AUTO_TEST_CASE(chunkIsReturnedOnlyWithItsEnd)
{
    chunk_holdback holdback;
    holdback.chunkBegun(8);
    holdback.add("data: 4");
    BOOST_TEST(holdback.take("") == "");
    holdback.add("0");
    BOOST_TEST(holdback.take("") == "");
    BOOST_TEST(holdback.take("\r") == "");
    BOOST_TEST(holdback.held() == "data: 40");
    BOOST_TEST(holdback.take("\r\n") == "data: 40");
    BOOST_TEST(holdback.held() == "");
    holdback.chunkBegun(5);
    holdback.add("data:");
    BOOST_TEST(holdback.take("0\r\n") == "");
}

// Guards against chunks that are held back although the next one has begun, and against large ones
// that are held back as a whole.
BOOST_AUTO_TEST_CASE(randomPiecesAgreeWithTheReference)
{
    std::mt19937 random(5);
    for (int round = 0; round < 3000; ++round) {
        const chunked_body body = drawBody(random);
        const std::size_t pieceSize = 1 + random() % 20000;
        chunk_holdback holdback;
        std::string returned;
        std::size_t chunk = 0;
        std::size_t chunkEnd = 0;
        for (std::size_t at = 0; at < body.arrived;) {
            const std::size_t size = std::min(pieceSize, body.arrived - at);
            while (chunkEnd < at + size) {
                holdback.chunkBegun(body.sizes[chunk]);
                chunkEnd += body.sizes[chunk++];
            }
            holdback.add(body.bytes.substr(at, size));
            at += size;
            returned += holdback.take("");
            BOOST_REQUIRE(holdback.held().size() <= chunk_holdback::MaxHeldBytes);
        }
        for (; chunk < body.sizes.size(); ++chunk)
            holdback.chunkBegun(body.sizes[chunk]);
        returned += holdback.take("");
        BOOST_REQUIRE(returned == body.bytes.substr(0, returnedBytes(body, false)));
        returned += holdback.take("\r\n");
        BOOST_REQUIRE(returned == body.bytes.substr(0, returnedBytes(body, true)));
        BOOST_REQUIRE(returned + holdback.held() == body.bytes);
    }
}
