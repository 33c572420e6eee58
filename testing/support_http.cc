#include "testing/support_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

namespace burdockhold::testing {

namespace {

constexpr std::string_view Scheme = "http://";

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return std::equal(
            left.begin(), left.end(), right.begin(), right.end(),
            [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

sockaddr_in parseAddress(const std::string &host)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const std::size_t colon = host.find(':');
    if (colon == std::string::npos
        || inet_pton(AF_INET, host.substr(0, colon).c_str(), &address.sin_addr) != 1)
        throw http_failure(http_failure_kind::Malformed, "host is not IPv4:PORT: " + host);
    const char *port = host.c_str() + colon + 1;
    address.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(port, nullptr, 10)));
    return address;
}

std::string parseHost(const std::string &url)
{
    if (url.rfind(Scheme, 0) != 0)
        throw http_failure(http_failure_kind::Malformed, "URL does not start with http://: " + url);
    const std::string host = url.substr(Scheme.size());
    return host.substr(0, host.find('/'));
}

} // namespace

std::string http_response::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (equalsIgnoreCase(key, name))
            return value;
    }
    return {};
}

http_connection::http_connection(const std::string &url, std::chrono::milliseconds timeout)
    : m_host(parseHost(url))
    , m_timeout(timeout)
{
    sockaddr_in address = parseAddress(m_host);
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    if (connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        close();
        throw http_failure(http_failure_kind::Refused, "cannot connect to " + m_host);
    }
}

http_connection::~http_connection()
{
    close();
}

http_connection::http_connection(http_connection &&other) noexcept
    : m_socket(std::exchange(other.m_socket, -1))
    , m_host(std::move(other.m_host))
    , m_timeout(other.m_timeout)
    , m_buffer(std::move(other.m_buffer))
    , m_framing(other.m_framing)
    , m_bodyBytesLeft(other.m_bodyBytesLeft)
    , m_bodyDone(other.m_bodyDone)
    , m_eventBuffer(std::move(other.m_eventBuffer))
{
}

void http_connection::close(bool reset)
{
    if (m_socket < 0)
        return;
    if (reset) {
        const linger resetOnClose{ 1, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    }
    ::close(m_socket);
    m_socket = -1;
}

void http_connection::sendRaw(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            throw http_failure(http_failure_kind::Closed,
                               "connection closed while sending to " + m_host);
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
}

void http_connection::sendRequest(const std::string &method, const std::string &path,
                                  const std::string &body, const header_list &headers)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + m_host + "\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    sendRaw(text);
}

// Waits for data and appends it to the buffer. Returns false when the connection has ended.
bool http_connection::receiveMore()
{
    pollfd descriptor{ m_socket, POLLIN, 0 };
    if (poll(&descriptor, 1, static_cast<int>(m_timeout.count())) <= 0)
        throw http_failure(http_failure_kind::Timeout, "timed out waiting for data from " + m_host);
    std::array<char, 16384> received{};
    const ssize_t count = recv(m_socket, received.data(), received.size(), 0);
    if (count > 0)
        m_buffer.append(received.data(), static_cast<std::size_t>(count));
    return count > 0;
}

std::string http_connection::readLine()
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!receiveMore())
            throw http_failure(http_failure_kind::Closed, "connection closed by " + m_host);
    }
    std::string line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return line;
}

http_response http_connection::readHead()
{
    http_response response;
    std::string line = readLine();
    if (line.rfind("HTTP/1.1 ", 0) != 0)
        throw http_failure(http_failure_kind::Malformed, "malformed status line: " + line);
    response.status = static_cast<int>(std::strtol(line.c_str() + 9, nullptr, 10));
    while (!(line = readLine()).empty()) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            throw http_failure(http_failure_kind::Malformed, "malformed header line: " + line);
        const std::size_t start = line.find_first_not_of(' ', colon + 1);
        response.headers.emplace_back(line.substr(0, colon),
                                      start == std::string::npos ? "" : line.substr(start));
    }
    selectBodyFraming(response);
    return response;
}

void http_connection::selectBodyFraming(const http_response &response)
{
    const std::string length = response.header("Content-Length");
    m_bodyDone = false;
    m_eventBuffer.clear();
    if (equalsIgnoreCase(response.header("Transfer-Encoding"), "chunked")) {
        m_framing = body_framing::Chunked;
    } else if (length.empty()) {
        m_framing = body_framing::UntilClose;
    } else {
        m_framing = body_framing::ContentLength;
        m_bodyBytesLeft = std::strtoull(length.c_str(), nullptr, 10);
    }
}

bool http_connection::readChunk(std::string &target)
{
    const std::size_t size = std::strtoull(readLine().c_str(), nullptr, 16);
    while (m_buffer.size() < size + 2) {
        if (!receiveMore())
            throw http_failure(http_failure_kind::Closed, "incomplete body from " + m_host);
    }
    target.append(m_buffer, 0, size);
    m_buffer.erase(0, size + 2);
    return size > 0;
}

// Appends the next bytes of the body to `target`. Returns false at the end of the body, and on
// every later call.
bool http_connection::readSomeBody(std::string &target)
{
    if (m_bodyDone)
        return false;
    if (m_framing == body_framing::Chunked) {
        m_bodyDone = !readChunk(target);
        return !m_bodyDone;
    }
    if (m_framing == body_framing::ContentLength && m_bodyBytesLeft == 0) {
        m_bodyDone = true;
        return false;
    }
    if (m_buffer.empty() && !receiveMore()) {
        if (m_framing == body_framing::ContentLength)
            throw http_failure(http_failure_kind::Closed, "incomplete body from " + m_host);
        m_bodyDone = true;
        return false;
    }
    const std::size_t size = m_framing == body_framing::ContentLength
                                     ? std::min(m_bodyBytesLeft, m_buffer.size())
                                     : m_buffer.size();
    target.append(m_buffer, 0, size);
    m_buffer.erase(0, size);
    m_bodyBytesLeft -= m_framing == body_framing::ContentLength ? size : 0;
    return true;
}

std::string http_connection::readBody()
{
    std::string body;
    while (readSomeBody(body)) { }
    return body;
}

http_response http_connection::readResponse()
{
    http_response response = readHead();
    response.body = readBody();
    return response;
}

std::optional<std::string> http_connection::readEvent()
{
    std::size_t end = 0;
    while ((end = m_eventBuffer.find("\n\n")) == std::string::npos) {
        if (!readSomeBody(m_eventBuffer))
            return std::nullopt;
    }
    std::string event = m_eventBuffer.substr(0, end);
    m_eventBuffer.erase(0, end + 2);
    if (event.rfind("data: ", 0) == 0)
        event.erase(0, 6);
    return event;
}

http_response httpCall(const std::string &url, const std::string &method, const std::string &path,
                       const std::string &body, const header_list &headers,
                       std::chrono::milliseconds timeout)
{
    http_connection connection(url, timeout);
    connection.sendRequest(method, path, body, headers);
    return connection.readResponse();
}

} // namespace burdockhold::testing
