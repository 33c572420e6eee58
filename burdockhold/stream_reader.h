#ifndef BURDOCKHOLD_STREAM_READER_H
#define BURDOCKHOLD_STREAM_READER_H

// Reads a cpprest stream buffer to its end in pieces, as the bytes arrive, without blocking.

#include <cpprest/streams.h>

#include <functional>
#include <string_view>

namespace burdockhold {

struct stream_sink
{
    /// Receives each piece. Returning false stops reading, as an exception does.
    std::function<bool(std::string_view)> bytes;
    /// Called exactly once, at the end of the stream, a failure of it, or a stop.
    std::function<void()> end;
};

/// Largest piece handed to the sink.
inline constexpr std::size_t MaxPieceBytes = 64 << 10;

void readStream(const concurrency::streams::streambuf<std::uint8_t> &buffer, stream_sink sink);

} // namespace burdockhold

#endif
