#ifndef BURDOCKHOLD_SUPPORT_HTTP_H
#define BURDOCKHOLD_SUPPORT_HTTP_H

// A blocking HTTP/1.1 client for tests, on plain sockets. The test controls the bytes that are
// sent, when the connection closes and how long a read waits. The client never retries a request.
// Every failure throws http_failure with its kind.

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockhold::testing {

enum class http_failure_kind { Refused, Closed, Timeout, Malformed };

class http_failure : public std::runtime_error
{
public:
    http_failure(http_failure_kind kind, const std::string &text)
        : std::runtime_error(text)
        , m_kind(kind)
    {
    }

    http_failure_kind kind() const { return m_kind; }

private:
    http_failure_kind m_kind;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_response
{
    int status = 0;
    header_list headers;
    std::string body; ///< Left empty by readHead(); filled by readResponse().

    /// Returns the value of the first header of that name, which is compared without regard to
    /// case, or an empty string.
    std::string header(std::string_view name) const;

    /// Parses the body as JSON.
    nlohmann::json json() const { return nlohmann::json::parse(body); }
};

/// One connection to "http://IP:PORT" (IPv4).
class http_connection
{
public:
    explicit http_connection(const std::string &url,
                             std::chrono::milliseconds timeout = std::chrono::seconds(20));
    ~http_connection();
    http_connection(http_connection &&other) noexcept;
    http_connection &operator=(http_connection &&) = delete;
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /// Sends bytes unchanged, for partial or malformed requests.
    void sendRaw(std::string_view bytes);

    /// Sends a complete request.
    void sendRequest(const std::string &method, const std::string &path,
                     const std::string &body = {}, const header_list &headers = {});

    /// Reads the status line and the headers. readBody() or readEvent() then reads the body.
    http_response readHead();

    /// Reads the rest of the body after readHead().
    std::string readBody();

    /// Reads a complete response.
    http_response readResponse();

    /// Reads the next server-sent event after readHead() and returns its text without the leading
    /// "data: ". Returns nothing at the end of the body. A body that ends before its stated length
    /// or its last chunk throws http_failure_kind::Closed.
    std::optional<std::string> readEvent();

    /// Returns the bytes after the last whole event.
    const std::string &unreadEventBytes() const { return m_eventBuffer; }

    /// Sets how long a read waits for the next byte.
    void setReadTimeout(std::chrono::milliseconds timeout) { m_timeout = timeout; }

    /// Closes the connection. With `reset`, the peer sees a TCP reset instead of an orderly close.
    void close(bool reset = false);

private:
    enum class body_framing { ContentLength, Chunked, UntilClose };

    bool receiveMore();
    std::string readLine();
    bool readSomeBody(std::string &target);
    bool readChunk(std::string &target);
    void selectBodyFraming(const http_response &response);

    int m_socket = -1;
    std::string m_host;
    std::chrono::milliseconds m_timeout;
    std::string m_buffer;
    body_framing m_framing = body_framing::ContentLength;
    std::size_t m_bodyBytesLeft = 0;
    bool m_bodyDone = true;
    std::string m_eventBuffer;
};

/// Sends one request on a new connection and returns the response.
http_response httpCall(const std::string &url, const std::string &method, const std::string &path,
                       const std::string &body = {}, const header_list &headers = {},
                       std::chrono::milliseconds timeout = std::chrono::seconds(20));

} // namespace burdockhold::testing

#endif
