#ifndef BURDOCKHOLD_REQUEST_PARSER_H
#define BURDOCKHOLD_REQUEST_PARSER_H

// Reads one request of a caller from the bytes of its connection.
//
// Promises:
// - A complete request has exactly the method, target, header fields and body that its bytes
//   state. A request that can be read in two ways is refused: two lengths, a length together with
//   a transfer coding, a coding other than a single "chunked", any coding in HTTP/1.0, two Host
//   fields, lines that do not end in CR LF.
// - The fields of a trailer are dropped: none becomes a field of the header.
// - A header or body over the limits is refused before it is stored.
// After a refusal, the rest of the input belongs to no request.

#include "burdockhold/deployment.h"
#include "platform/request_codec.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>

namespace burdockhold {

class request_parser
{
public:
    explicit request_parser(const caller_limits &limits);

    /// Parses the input and removes what belongs to this request, up to the end of the head or,
    /// once the head is complete, of the body. Returns whether any byte was removed. Memory for the
    /// body is allocated by the first call after the head.
    bool parse(std::string &input);

    bool isHeadComplete() const { return m_parser.is_header_done(); }
    bool isComplete() const { return m_refusal == 0 && m_parser.is_done(); }

    /// Returns the HTTP status with which the request must be refused, or 0.
    int refusalStatus() const { return m_refusal; }

    /// Returns the length of the body if it is stated. Only after the head.
    std::optional<std::size_t> statedLength() const;
    /// Returns the bytes of the body that have been read.
    std::size_t bodyBytes() const { return m_parser.get().body().size(); }

    /// Returns the message as far as it has been read. Only after the head.
    const platform::http_request &message() const { return m_parser.get(); }

    /// Returns whether the caller waits for status 100 before it sends the body. Only after the
    /// head.
    bool awaitsContinue() const;

    /// Returns the caller's id of the attempt, or an empty string if it has not arrived.
    std::string attemptId() const { return platform::attemptIdOf(m_parser.get()); }

    /// Moves the request out. Only once it is complete, and only once.
    platform::http_request release();

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void feed(std::string &input);
    void headCompleted();

    parser m_parser;
    /// The head of a chunked request: parsing the body adds the fields of its trailer to the
    /// message.
    std::optional<boost::beast::http::request_header<>> m_headOfChunked;
    std::size_t m_maxHeaderBytes;
    int m_refusal = 0;
};

} // namespace burdockhold

#endif
