#ifndef BURDOCKHOLD_SUPPORT_HTTP_H
#define BURDOCKHOLD_SUPPORT_HTTP_H

// A blocking HTTP/1.1 client for tests, on plain sockets: what is sent, when the connection closes
// and how long a read waits are under the test's control. Nothing is ever sent twice. Failures
// (refused, closed, timeout, malformed) throw http_failure.

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
    std::string body; ///< Empty until it is read when the response was opened as a stream.

    /// Returns the value of a header, or an empty string. Case of the name does not matter.
    std::string header(std::string_view name) const;

    /// Returns the body as JSON.
    nlohmann::json json() const { return nlohmann::json::parse(body); }
};

/// One connection to "http://IP:PORT".
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

    /// Sends bytes as they are, for partial requests.
    void sendRaw(std::string_view bytes);

    /// Sends a whole request.
    void sendRequest(const std::string &method, const std::string &path,
                     const std::string &body = {}, const header_list &headers = {});

    /// Reads status line and headers; the body is then read by readBody() or readEvent().
    http_response readHead();

    /// Reads the rest of the body after readHead().
    std::string readBody();

    /// Reads a whole response.
    http_response readResponse();

    /// Reads the next server-sent event after readHead() and returns its data, without "data: ".
    /// Returns nothing at the proper end of the body; a body that is cut off throws Closed.
    std::optional<std::string> readEvent();

    /// Sets how long a read waits for the next byte.
    void setTimeout(std::chrono::milliseconds timeout) { m_timeout = timeout; }

    /// Closes the connection; with reset, the peer sees a reset instead of an orderly end.
    void close(bool reset = false);

private:
    enum class body_kind { Length, Chunks, UntilClose };

    bool fill();
    std::string readLine();
    bool readBodyPiece(std::string &target);
    bool readChunk(std::string &target);
    void chooseBody(const http_response &response);

    int m_socket = -1;
    std::string m_host;
    std::chrono::milliseconds m_timeout;
    std::string m_buffer;
    body_kind m_kind = body_kind::Length;
    std::size_t m_left = 0;
    bool m_bodyDone = true;
    std::string m_events;
};

/// Sends one request on a connection of its own and returns the response.
http_response httpCall(const std::string &url, const std::string &method, const std::string &path,
                       const std::string &body = {}, const header_list &headers = {},
                       std::chrono::milliseconds timeout = std::chrono::seconds(20));

} // namespace burdockhold::testing

#endif
