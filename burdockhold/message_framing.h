#ifndef BURDOCKHOLD_MESSAGE_FRAMING_H
#define BURDOCKHOLD_MESSAGE_FRAMING_H

// The rules of HTTP/1.1 (RFC 9112, section 6) on the length of a message's body that the HTTP
// libraries do not apply. Of a message that breaks one, another implementation may read another
// body, or another message behind it; so it is neither forwarded nor delivered.
//
// Pure functions of the header fields.

#include <string_view>
#include <vector>

namespace burdockhold {

/// HTTP/1.1, the first version with transfer codings and interim responses, as Beast numbers
/// versions.
inline constexpr unsigned FirstVersionWithChunks = 11;

/// What a header states about its message's body.
struct framing_fields
{
    bool allowsCodings = true;             ///< False for HTTP/1.0, which has no transfer codings.
    std::vector<std::string_view> codings; ///< Values of all Transfer-Encoding fields, in order.
    std::vector<std::string_view> lengths; ///< Values of all Content-Length fields.
};

/// How a message states the transfer coding of its body.
enum class transfer_coding {
    None,
    Chunked,
    Unsupported, ///< Ends in "chunked", with other codings before it.
    Ambiguous,   ///< Does not end in "chunked", or has it twice, so that the length is unknown.
};

/// Reads the values of all Transfer-Encoding fields as one list. A field with an empty list is
/// ambiguous.
transfer_coding transferCodingOf(const std::vector<std::string_view> &values);

/// Returns the HTTP status with which a request must be refused for its framing, or 0 if the length
/// of its body is beyond doubt: stated once, as a decimal number or by chunks alone, or not at all.
int statusForFraming(const framing_fields &fields);

} // namespace burdockhold

#endif
