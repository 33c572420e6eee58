#include "testing/standin_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <memory>
#include <thread>

namespace burdockhold::standin {

namespace {

// Larger than the router's own body limit, so that the router's limit is what tests meet.
constexpr std::size_t BodyLimitBytes = 64U << 20U;
constexpr int ListenBacklog = 512;

bool sameName(std::string_view left, std::string_view right)
{
    return std::equal(
            left.begin(), left.end(), right.begin(), right.end(),
            [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::map<std::string, std::string> parseQuery(std::string_view text)
{
    std::map<std::string, std::string> query;
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos)
            query[std::string(pair.substr(0, equals))] = pair.substr(equals + 1);
    }
    return query;
}

void parseTarget(const std::string &target, http_request &request)
{
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos)
        request.query = parseQuery(std::string_view(target).substr(mark + 1));
}

std::string head(int status, const std::vector<http_field> &headers, const std::string &contentType)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    text += "Content-Type: " + contentType + "\r\n";
    for (const http_field &field : headers)
        text += field.name + ": " + field.value + "\r\n";
    return text;
}

void serveConnection(int descriptor, const http_handler &handler)
{
    connection peer(descriptor);
    http_request request;
    while (peer.isOpen() && peer.read(request)) {
        try {
            handler(request, peer);
        } catch (const std::exception &error) {
            peer.respond(400, nlohmann::json{ { "error", error.what() } });
        }
        if (sameName(request.header("Connection"), "close"))
            peer.drop();
        request = {};
    }
}

void acceptLoop(int listener, const http_handler &handler)
{
    while (true) {
        const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            continue;
        }
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread(serveConnection, descriptor, std::cref(handler)).detach();
    }
}

// Returns the listening socket and sets port to the chosen one, or returns -1.
int openListener(std::uint16_t &port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    socklen_t size = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (bind(listener, generic, size) != 0 || listen(listener, ListenBacklog) != 0
        || getsockname(listener, generic, &size) != 0) {
        close(listener);
        return -1;
    }
    port = ntohs(address.sin_port);
    return listener;
}

} // namespace

std::string http_request::header(std::string_view name) const
{
    for (const http_field &field : headers) {
        if (sameName(field.name, name))
            return field.value;
    }
    return {};
}

std::uint64_t http_request::number(const std::string &name, std::uint64_t fallback) const
{
    const auto found = query.find(name);
    if (found == query.end() || found->second.empty())
        return fallback;
    char *end = nullptr;
    const std::uint64_t value = std::strtoull(found->second.c_str(), &end, 10);
    return *end == '\0' ? value : fallback;
}

connection::connection(int descriptor)
    : m_descriptor(descriptor)
{
}

connection::~connection()
{
    close(m_descriptor);
}

bool connection::fill()
{
    std::array<char, 16384> piece{};
    const ssize_t count = recv(m_descriptor, piece.data(), piece.size(), 0);
    if (count <= 0) {
        m_open = false;
        return false;
    }
    m_buffer.append(piece.data(), static_cast<std::size_t>(count));
    return true;
}

bool connection::readLine(std::string &line)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (m_buffer.size() > BodyLimitBytes || !fill())
            return false;
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool connection::readBytes(std::size_t count, std::string &bytes)
{
    if (count > BodyLimitBytes)
        return false;
    while (m_buffer.size() < count) {
        if (!fill())
            return false;
    }
    bytes.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    return true;
}

bool connection::readChunks(std::string &body)
{
    std::string line;
    while (readLine(line)) {
        const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
        if (!readBytes(size, body) || !readLine(line))
            return false;
        if (size == 0)
            return true;
    }
    return false;
}

bool connection::readHeaders(http_request &request)
{
    std::string line;
    while (readLine(line)) {
        if (line.empty())
            return true;
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        const std::size_t start = line.find_first_not_of(" \t", colon + 1);
        request.headers.push_back(
                { line.substr(0, colon), start == std::string::npos ? "" : line.substr(start) });
    }
    return false;
}

bool connection::readBody(http_request &request)
{
    if (sameName(request.header("Expect"), "100-continue"))
        sendRaw("HTTP/1.1 100 Continue\r\n\r\n");
    if (sameName(request.header("Transfer-Encoding"), "chunked"))
        return readChunks(request.body);
    const std::string length = request.header("Content-Length");
    return readBytes(std::strtoull(length.c_str(), nullptr, 10), request.body);
}

bool connection::read(http_request &request)
{
    std::string line;
    if (!readLine(line))
        return false;
    const std::size_t first = line.find(' ');
    const std::size_t second = line.rfind(' ');
    if (first == std::string::npos || second <= first)
        return false;
    request.method = line.substr(0, first);
    parseTarget(line.substr(first + 1, second - first - 1), request);
    return readHeaders(request) && readBody(request);
}

void connection::respond(int status, const std::string &body,
                         const std::vector<http_field> &headers, const std::string &contentType)
{
    sendRaw(head(status, headers, contentType) + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body);
}

void connection::respond(int status, const nlohmann::json &body,
                         const std::vector<http_field> &headers)
{
    // Received bodies may hold bytes that are no UTF-8; they are shown replaced.
    respond(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), headers);
}

void connection::respondWithoutLength(int status, const std::string &body,
                                      const std::vector<http_field> &headers)
{
    sendRaw(head(status, headers, "application/json") + "Connection: close\r\n\r\n" + body);
    drop();
}

void connection::startStream(const std::vector<http_field> &headers, const std::string &contentType)
{
    sendRaw(head(200, headers, contentType) + "Transfer-Encoding: chunked\r\n\r\n");
}

bool connection::sendChunk(std::string_view data)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return sendRaw(size.data() + std::string(data) + "\r\n");
}

void connection::endStream()
{
    sendRaw("0\r\n\r\n");
}

bool connection::sendRaw(std::string_view data)
{
    const bool endsHere = m_bytesLeft && m_open && data.size() >= *m_bytesLeft;
    if (endsHere)
        data = data.substr(0, *m_bytesLeft);
    if (m_bytesLeft)
        *m_bytesLeft -= data.size();
    while (m_open && !data.empty()) {
        const ssize_t count = send(m_descriptor, data.data(), data.size(), MSG_NOSIGNAL);
        if (count <= 0)
            m_open = false;
        else
            data.remove_prefix(static_cast<std::size_t>(count));
    }
    if (endsHere && m_open && !m_endTail.empty())
        send(m_descriptor, m_endTail.data(), m_endTail.size(), MSG_NOSIGNAL);
    if (endsHere && m_endWithReset)
        reset();
    else if (endsHere)
        drop();
    return m_open;
}

void connection::drop()
{
    m_open = false;
    shutdown(m_descriptor, SHUT_RDWR);
}

void connection::reset()
{
    m_open = false;
    // The destructor closes the descriptor, which sends the reset.
    const linger resetOnClose{ 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
}

void connection::endAfter(std::size_t bytes, bool withReset, std::string tail)
{
    m_bytesLeft = bytes;
    m_endWithReset = withReset;
    m_endTail = std::move(tail);
}

bool connection::waitForClose(std::chrono::nanoseconds time)
{
    timespec limit{};
    limit.tv_sec = time.count() / 1000000000;
    limit.tv_nsec = time.count() % 1000000000;
    pollfd descriptor{ m_descriptor, POLLRDHUP, 0 };
    if (ppoll(&descriptor, 1, &limit, nullptr) > 0)
        m_open = false;
    return !m_open;
}

void connection::hang()
{
    while (!waitForClose(std::chrono::hours(1))) { }
}

int serve(std::uint16_t port, const http_handler &handler)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    const std::uint16_t wanted = port;
    const int listener = openListener(port);
    if (listener < 0) {
        std::cerr << "standin: cannot listen on 127.0.0.1:" << wanted << ": "
                  << std::generic_category().message(errno) << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "listening http://127.0.0.1:" << port << std::endl;
    std::thread(acceptLoop, listener, std::cref(handler)).detach();

    int signalNumber = 0;
    sigwait(&signals, &signalNumber);
    // Connection threads may be blocked in reads; the process ends without waiting for them.
    std::_Exit(EXIT_SUCCESS);
}

bool fault_control::handle(const http_request &request, connection &peer)
{
    if (request.path == "/faults") {
        set(request, peer);
        return true;
    }
    if (request.path == "/stats" || request.path == "/received")
        return false;
    common_faults faults;
    {
        const std::lock_guard lock(m_mutex);
        faults = m_faults;
    }
    if (faults.delayMs > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(faults.delayMs));
    if (faults.hang)
        peer.hang();
    else if (faults.down)
        peer.respond(503, nlohmann::json{ { "error", "down" } });
    return faults.hang || faults.down;
}

void fault_control::set(const http_request &request, connection &peer)
{
    const nlohmann::json body = nlohmann::json::parse(request.body);
    if (request.method != "POST" || !body.is_object())
        return peer.respond(400, nlohmann::json{ { "error", "POST a JSON object" } });
    const std::lock_guard lock(m_mutex);
    field_reader reader(body);
    reader.read("down", m_faults.down);
    reader.read("hang", m_faults.hang);
    reader.read("delay_ms", m_faults.delayMs);
    if (m_readRole)
        m_readRole(reader);
    if (!reader.complete())
        return peer.respond(400, nlohmann::json{ { "error", "unknown fault in the object" } });
    peer.respond(200, nlohmann::json::object());
}

std::size_t received_log::add(const http_request &request)
{
    const std::lock_guard lock(m_mutex);
    m_entries.push_back({});
    m_entries.back().request = request;
    return m_entries.size() - 1;
}

void received_log::noteDispatch(std::size_t index)
{
    const std::lock_guard lock(m_mutex);
    m_entries[index].dispatch = ++m_dispatched;
    m_entries[index].outcome = "running";
}

void received_log::noteOutcome(std::size_t index, const std::string &outcome, std::int64_t tokens)
{
    const std::lock_guard lock(m_mutex);
    m_entries[index].outcome = outcome;
    m_entries[index].tokens = tokens;
}

nlohmann::json received_log::toJson() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json list = nlohmann::json::array();
    for (const entry &item : m_entries) {
        nlohmann::json headers = nlohmann::json::array();
        for (const http_field &field : item.request.headers)
            headers.push_back({ { "name", field.name }, { "value", field.value } });
        list.push_back({ { "request_id", item.request.header("X-Request-Id") },
                         { "method", item.request.method },
                         { "path", item.request.path },
                         { "headers", headers },
                         { "body", item.request.body },
                         { "dispatch", item.dispatch },
                         { "outcome", item.outcome },
                         { "tokens", item.tokens } });
    }
    return list;
}

std::string takeSegment(std::string_view &path)
{
    if (!path.empty())
        path.remove_prefix(1);
    const std::string_view segment = path.substr(0, path.find('/'));
    path.remove_prefix(segment.size());
    return std::string(segment);
}

void respondNotFound(connection &peer)
{
    peer.respond(404, nlohmann::json{ { "error", "no such path or method" } });
}

} // namespace burdockhold::standin
