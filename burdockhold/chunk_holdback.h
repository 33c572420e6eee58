#ifndef BURDOCKHOLD_CHUNK_HOLDBACK_H
#define BURDOCKHOLD_CHUNK_HOLDBACK_H

// Holds back the bytes at the end of a chunk until the chunk is complete. A server that fails
// inside a chunk may end its response there, so that framing such as a last chunk follows the bytes
// of the body and reads as a part of it. The sizes of the chunks tell: the chunk stays incomplete.
//
// Promises:
// - Bytes are returned once, in order, and unchanged.
// - The bytes of a chunk are returned as soon as the chunk has all of its bytes and the CR LF
// behind
//   them. Until then, its last MaxHeldBytes are held back, so that what follows the place at which
//   a server failed is not returned.
// - Memory is limited to MaxHeldBytes and what was added since the last take().
//
// Limit: of a larger chunk, bytes that a server sends more than MaxHeldBytes after its failure are
// returned.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhold {

class chunk_holdback
{
public:
    /// Larger than most events, so that the chunks of a stream are held back as a whole.
    static constexpr std::size_t MaxHeldBytes = std::size_t(16) * 1024;

    /// Records the size that the head of a chunk states, in bytes. It follows a complete chunk.
    void chunkBegun(std::uint64_t size);

    /// Appends bytes of the body, of one chunk or of several that have begun.
    void add(std::string_view bytes);

    /// Returns the bytes that need not be held back any longer. `following` is what has arrived
    /// after the bytes that were added.
    std::string take(std::string_view following);

    /// Returns the bytes that are held back.
    const std::string &held() const { return m_held; }

private:
    std::string m_held;
    std::uint64_t m_added = 0;    ///< Bytes of the body that have arrived.
    std::uint64_t m_complete = 0; ///< Bytes in the chunks before the last one that has begun.
    std::uint64_t m_stated = 0;   ///< Bytes in all chunks that have begun.
};

} // namespace burdockhold

#endif
