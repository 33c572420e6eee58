#ifndef BURDOCKHOLD_REVIEW_PLATFORM_H
#define BURDOCKHOLD_REVIEW_PLATFORM_H

// Stand-ins for the second review: the platform's store, engines, clients and the start of router
// processes, on loopback. They follow the platform's pages and use no library but the system's.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;

inline double secondsNow()
{
    static const clock_type::time_point start = clock_type::now();
    return std::chrono::duration<double>(clock_type::now() - start).count();
}

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

/// Writes record.txt, with the time of each line.
class record_file
{
public:
    explicit record_file(const std::string &path)
        : m_file(path)
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", secondsNow());
        m_file << time << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int listenOn(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(descriptor, 512) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

inline int portOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// Returns a port that was free a moment ago, below those that the system gives to connections.
inline int freePort()
{
    static std::atomic<int> next{ 10000 + ::getpid() % 400 * 50 };
    while (true) {
        const int port = next++;
        const int descriptor = listenOn(port);
        if (descriptor < 0)
            continue;
        ::close(descriptor);
        return port;
    }
}

inline int connectTo(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

inline bool sendAll(int descriptor, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent,
                                     MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

struct http_request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(lower(name));
        return found == fields.end() ? std::string() : found->second;
    }
    std::string query(const std::string &name) const
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t end = target.find('&', at + 1);
            const std::string part = target.substr(at + 1,
                                                   end == std::string::npos ? end : end - at - 1);
            if (part.compare(0, name.size() + 1, name + "=") == 0)
                return part.substr(name.size() + 1);
            at = end;
        }
        return {};
    }
};

/// Parses the head's lines after the first one.
inline std::map<std::string, std::string> parseFields(const std::string &head)
{
    std::map<std::string, std::string> fields;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t value = line.find_first_not_of(" \t", colon + 1);
        fields[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
    }
    return fields;
}

/// Reads a request whose body has a stated length. Returns false on close or error.
inline bool readRequest(int descriptor, std::string &buffer, http_request &request)
{
    char chunk[8192];
    while (buffer.find("\r\n\r\n") == std::string::npos) {
        const ssize_t count = ::recv(descriptor, chunk, sizeof chunk, 0);
        if (count <= 0)
            return false;
        buffer.append(chunk, static_cast<std::size_t>(count));
    }
    const std::size_t headEnd = buffer.find("\r\n\r\n");
    const std::string head = buffer.substr(0, headEnd + 2);
    std::istringstream first(head);
    first >> request.method >> request.target;
    request.fields = parseFields(head);
    const std::string length = request.field("Content-Length");
    const std::size_t bodySize = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < headEnd + 4 + bodySize) {
        const ssize_t count = ::recv(descriptor, chunk, sizeof chunk, 0);
        if (count <= 0)
            return false;
        buffer.append(chunk, static_cast<std::size_t>(count));
    }
    request.body = buffer.substr(headEnd + 4, bodySize);
    buffer.erase(0, headEnd + 4 + bodySize);
    return true;
}

inline std::string response(int status, const std::string &body,
                            const std::string &fields = "Content-Type: application/json\r\n")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An HTTP server on a loopback port, with a thread for each connection. The handler returns false
/// to close the connection.
class server
{
public:
    using handler = std::function<bool(const http_request &, int descriptor)>;

    explicit server(handler handle)
        : m_handle(std::move(handle))
    {
        const int listener = listenOn(0);
        m_port = portOf(listener);
        begin(listener);
    }
    ~server()
    {
        end();
        for (int wait = 0; m_threads > 0 && wait < 300; ++wait)
            sleepMs(10);
    }
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// Ends as a process that was killed: nothing listens, and all connections close.
    void end()
    {
        const int listener = m_listener.exchange(-1);
        if (listener < 0)
            return;
        ::shutdown(listener, SHUT_RDWR);
        ::close(listener);
        const std::lock_guard lock(m_mutex);
        for (const int descriptor : m_open)
            ::shutdown(descriptor, SHUT_RDWR);
    }

    /// Listens again at the same port.
    bool start()
    {
        const int listener = listenOn(m_port);
        if (listener < 0)
            return false;
        begin(listener);
        return true;
    }
    bool isUp() const { return m_listener >= 0; }

private:
    void begin(int listener)
    {
        m_listener = listener;
        ++m_threads;
        std::thread([this, listener] {
            accept(listener);
            --m_threads;
        }).detach();
    }
    void accept(int listener)
    {
        while (m_listener == listener) {
            const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                return;
            if (m_listener != listener) {
                ::close(descriptor);
                return;
            }
            const int on = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(descriptor);
            }
            ++m_threads;
            std::thread([this, descriptor] {
                std::string buffer;
                http_request request;
                while (readRequest(descriptor, buffer, request) && m_handle(request, descriptor))
                    request = {};
                const std::lock_guard lock(m_mutex);
                m_open.erase(descriptor);
                ::close(descriptor);
                --m_threads;
            }).detach();
        }
    }

    handler m_handle;
    int m_port = 0;
    std::atomic<int> m_listener{ -1 };
    std::atomic<int> m_threads{ 0 };
    std::mutex m_mutex;
    std::set<int> m_open;
};

/// The platform's store: topics with one partition, keyed records, waiting reads, and groups.
class store
{
public:
    store()
        : m_server([this](const http_request &request, int descriptor) {
            return sendAll(descriptor, answer(request));
        })
    {
    }
    std::string address() const { return m_server.address(); }
    int port() const { return m_server.port(); }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back({ key, value });
        m_changed.notify_all();
    }
    void remove(const std::string &topic, const std::string &key) { put(topic, key, ""); }

    /// Returns the newest value of the key, or an empty text.
    std::string get(const std::string &topic, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        const std::vector<record> &records = m_topics[topic];
        const auto found = std::find_if(records.rbegin(), records.rend(),
                                        [&](const record &one) { return one.key == key; });
        return found == records.rend() ? std::string() : found->value;
    }

private:
    struct record
    {
        std::string key;
        std::string value; ///< Empty: the key is dropped.
    };
    struct group
    {
        std::int64_t generation = 0;
        std::map<std::string, clock_type::time_point> members; ///< End of the membership.
        std::vector<std::string> owner = std::vector<std::string>(12);
    };

    static std::string bigEndian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            text += static_cast<char>(value >> shift & 0xff);
        return text;
    }
    static std::string base64(const std::string &bytes)
    {
        static constexpr char Digits[] =
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            const auto byte = [&](std::size_t index) {
                return index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U;
            };
            const unsigned value = byte(at) << 16 | byte(at + 1) << 8 | byte(at + 2);
            text += Digits[value >> 18];
            text += Digits[value >> 12 & 63];
            text += at + 1 < bytes.size() ? Digits[value >> 6 & 63] : '=';
            text += at + 2 < bytes.size() ? Digits[value & 63] : '=';
        }
        return text;
    }
    static std::string jsonText(const std::string &body, const std::string &name)
    {
        const std::size_t at = body.find("\"" + name + "\":\"");
        const std::size_t begin = at + name.size() + 4;
        return at == std::string::npos ? "" : body.substr(begin, body.find('"', begin) - begin);
    }
    static std::int64_t jsonNumber(const std::string &body, const std::string &name)
    {
        const std::size_t at = body.find("\"" + name + "\":");
        return at == std::string::npos ? 0 : std::atoll(body.c_str() + at + name.size() + 3);
    }

    std::string answer(const http_request &request)
    {
        const std::string path = request.target.substr(0, request.target.find('?'));
        if (path == "/log-append")
            return append(request);
        if (path == "/log-read")
            return read(request);
        if (path == "/log-newest")
            return newest(request.query("topic"));
        if (path == "/log-join")
            return join(request.body);
        if (path == "/log-leave")
            return leave(request.body);
        return response(404, "{}");
    }
    std::string append(const http_request &request)
    {
        std::unique_lock lock(m_mutex);
        std::vector<record> &records = m_topics[request.query("topic")];
        const std::string at = request.query("at");
        if (!at.empty() && std::stoul(at) != records.size())
            return response(412, "{\"end\":" + std::to_string(records.size()) + "}");
        const std::size_t offset = records.size();
        std::size_t position = 0;
        while (position + 4 <= request.body.size()) {
            std::size_t length = 0;
            for (int index = 0; index < 4; ++index)
                length = length << 8 | static_cast<unsigned char>(request.body[position + index]);
            const std::string bytes = request.body.substr(position + 4, length);
            const std::size_t keySize = static_cast<unsigned char>(bytes[0]);
            records.push_back({ bytes.substr(1, keySize), bytes.substr(1 + keySize) });
            position += 4 + length;
        }
        m_changed.notify_all();
        return response(200, "{\"offset\":" + std::to_string(offset)
                                     + ",\"end\":" + std::to_string(records.size()) + "}");
    }
    std::string read(const http_request &request)
    {
        std::unique_lock lock(m_mutex);
        const std::string topic = request.query("topic");
        const std::size_t from = std::stoul(request.query("from"));
        const std::string wait = request.query("wait_ms");
        const auto until = clock_type::now()
                           + std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait));
        while (m_topics[topic].size() <= from
               && m_changed.wait_until(lock, until) != std::cv_status::timeout) { }
        const std::vector<record> &records = m_topics[topic];
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (std::size_t at = from; at < records.size(); ++at) {
            const std::string bytes = bigEndian(records[at].key.size(), 1) + records[at].key
                                      + records[at].value;
            body += bigEndian(bytes.size(), 4) + bytes;
        }
        return response(200, body, "Content-Type: application/octet-stream\r\n");
    }
    std::string newest(const std::string &topic)
    {
        const std::lock_guard lock(m_mutex);
        std::map<std::string, std::pair<std::string, std::size_t>> found;
        const std::vector<record> &records = m_topics[topic];
        for (std::size_t at = 0; at < records.size(); ++at)
            found[records[at].key] = { records[at].value, at };
        std::string items;
        for (const auto &[key, value] : found) {
            if (!value.first.empty())
                items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key
                         + "\",\"value\":\"" + base64(value.first)
                         + "\",\"offset\":" + std::to_string(value.second) + "}";
        }
        return response(200, "{\"items\":[" + items + "],\"has_more\":false,\"end\":"
                                     + std::to_string(records.size()) + "}");
    }
    void expire(group &changed)
    {
        for (auto member = changed.members.begin(); member != changed.members.end();) {
            if (member->second > clock_type::now()) {
                ++member;
                continue;
            }
            drop(changed, member->first);
            member = changed.members.erase(member);
            ++changed.generation;
        }
    }
    static void drop(group &changed, const std::string &member)
    {
        for (std::string &owner : changed.owner) {
            if (owner == member)
                owner.clear();
        }
    }
    std::string join(const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        group &joined = m_groups[jsonText(body, "group")];
        const std::string member = jsonText(body, "member");
        expire(joined);
        if (joined.members.count(member) == 0)
            ++joined.generation;
        joined.members[member] = clock_type::now()
                                 + std::chrono::milliseconds(jsonNumber(body, "ttl_ms"));
        // Partitions go to the members in turn. One that has an owner moves when that has joined
        // with the newest generation.
        std::vector<std::string> members;
        for (const auto &row : joined.members)
            members.push_back(row.first);
        std::string rows;
        for (std::size_t part = 0; part < joined.owner.size(); ++part) {
            const std::string &target = members[part % members.size()];
            std::string &owner = joined.owner[part];
            if (owner == member && target != member
                && jsonNumber(body, "generation") >= joined.generation)
                owner.clear();
            if (owner.empty() && target == member)
                owner = member;
            if (owner == member && target == member)
                rows += (rows.empty() ? "" : ",") + std::string("[\"t\",") + std::to_string(part)
                        + ",0]";
        }
        return response(200, "{\"generation\":" + std::to_string(joined.generation) + ",\"parts\":["
                                     + rows + "]}");
    }
    std::string leave(const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        group &left = m_groups[jsonText(body, "group")];
        const std::string member = jsonText(body, "member");
        if (left.members.erase(member) > 0) {
            drop(left, member);
            ++left.generation;
        }
        return response(200, "{}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<record>> m_topics;
    std::map<std::string, group> m_groups;
    server m_server;
};

/// A router process, started with the command and the settings template of the deploy file.
class router
{
public:
    router(const std::string &name, const std::string &zone, const std::string &folder,
           const std::string &storeAddress)
        : m_callers(freePort())
        , m_ready(freePort())
        , m_settings(folder + "/" + name + ".ini")
        , m_log(folder + "/" + name + ".log")
    {
        std::map<std::string, std::string> values{
            { "node_name", name },
            { "zone", zone },
            { "ip", "127.0.0.1" },
            { "listen.front", "127.0.0.1:" + std::to_string(m_callers) },
            { "listen.ready", "127.0.0.1:" + std::to_string(m_ready) },
            { "internal_ports.0", std::to_string(freePort()) },
            { "platform.address", storeAddress },
            { "platform.parts", "12" },
            { "bounds.drain_ms", "2000" },
            { "bounds.config_apply_ms", "2000" },
            { "bounds.revoke_ms", "5000" },
            { "bounds.version_ms", "8000" },
            { "bounds.require_fencing", "true" },
            { "bounds.lease_ms", "3000" },
            { "bounds.grace_s", "8" },
            { "zones|json", "{\"a\":\"r\",\"b\":\"r\",\"c\":\"r\"}" },
            { "bounds.retry_budget_ratio", "0.2" },
            { "bounds.retry_budget_slack", "54" },
            { "bounds.quota_overshoot", "0.1" },
            { "bounds.quota_slack", "72000" },
            { "bounds.exposure_share", "0.1" },
            { "bounds.exposure_slack", "50" },
            { "bounds.rollback_ms", "5000" },
            { "limits.memory_mb", "110" },
            { "limits.max_fds", "4100" },
            { "limits.cpu_share", "0.25" },
            { "limits.link_mbps", "1000.0" },
        };
        std::ifstream file("deploy/router.ini.in");
        std::string text{ std::istreambuf_iterator<char>(file), {} };
        for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{", at)) {
            const std::size_t end = text.find("}}", at);
            const auto value = values.find(text.substr(at + 2, end - at - 2));
            text.replace(at, end + 2 - at, value == values.end() ? "" : value->second);
        }
        std::ofstream(m_settings) << text;
        start();
    }
    ~router() { kill(); }
    router(const router &) = delete;
    router &operator=(const router &) = delete;

    void start()
    {
        m_process = ::fork();
        if (m_process != 0)
            return;
        const int out = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("BURDOCKHOLD_SETTINGS", m_settings.c_str(), 1);
        ::execl("target/burdockhold-router", "target/burdockhold-router", nullptr);
        ::_exit(127);
    }
    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = 0;
    }
    void signal(int number) const { ::kill(m_process, number); }
    int callerPort() const { return m_callers; }

    bool isReady() const
    {
        const int descriptor = connectTo(m_ready);
        if (descriptor < 0)
            return false;
        sendAll(descriptor, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        char text[64] = {};
        pollfd waiting{ descriptor, POLLIN, 0 };
        const bool isOk = ::poll(&waiting, 1, 500) > 0
                          && ::recv(descriptor, text, sizeof text - 1, 0) > 0
                          && std::strncmp(text, "HTTP/1.1 200", 12) == 0;
        ::close(descriptor);
        return isOk;
    }
    /// Returns false if the process has ended or is not ready in time.
    bool waitReady(double seconds) const
    {
        for (const double until = secondsNow() + seconds; secondsNow() < until; sleepMs(50)) {
            if (::waitpid(m_process, nullptr, WNOHANG) != 0)
                return false;
            if (isReady())
                return true;
        }
        return false;
    }
    std::string logText() const
    {
        std::ifstream file(m_log);
        return { std::istreambuf_iterator<char>(file), {} };
    }

private:
    int m_callers;
    int m_ready;
    std::string m_settings;
    std::string m_log;
    pid_t m_process = 0;
};

/// What a client has got.
struct client_answer
{
    int status = 0;        ///< 0: no answer.
    bool complete = false; ///< The whole body has arrived, by its framing.
    std::string body;
    std::map<std::string, std::string> fields;
};

/// Sends a request on a new connection and reads the answer until it is complete, the connection
/// closes or the time is over.
inline client_answer exchange(int port, const std::string &bytes, double seconds)
{
    client_answer answer;
    const int descriptor = connectTo(port);
    if (descriptor < 0)
        return answer;
    std::string text;
    const double until = secondsNow() + seconds;
    char chunk[16384];
    bool open = sendAll(descriptor, bytes);
    while (true) {
        const std::size_t headEnd = text.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            answer.status = std::atoi(text.c_str() + 9);
            answer.fields = parseFields(text.substr(0, headEnd + 2));
            std::string rest = text.substr(headEnd + 4);
            answer.body.clear();
            const auto length = answer.fields.find("content-length");
            if (length != answer.fields.end()) {
                answer.body = rest;
                answer.complete = rest.size() >= std::stoul(length->second);
            } else {
                std::size_t at = 0;
                while (true) {
                    const std::size_t line = rest.find("\r\n", at);
                    if (line == std::string::npos)
                        break;
                    const std::size_t size = std::stoul(rest.substr(at, line - at), nullptr, 16);
                    if (rest.size() < line + 2 + size + 2)
                        break;
                    answer.complete = size == 0;
                    answer.body += rest.substr(line + 2, size);
                    at = line + 2 + size + 2;
                    if (size == 0)
                        break;
                }
            }
            if (answer.complete)
                break;
        }
        const int left = static_cast<int>(1000 * (until - secondsNow()));
        pollfd waiting{ descriptor, POLLIN, 0 };
        if (!open || left <= 0 || ::poll(&waiting, 1, left) <= 0)
            break;
        const ssize_t count = ::recv(descriptor, chunk, sizeof chunk, 0);
        if (count <= 0)
            open = false;
        else
            text.append(chunk, static_cast<std::size_t>(count));
    }
    ::close(descriptor);
    return answer;
}

inline std::string chunkOf(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/// Returns whether the disruption is left out.
inline bool isCalmRun()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string(trouble) == "0";
}

/// Writes a configuration with one resumable stream route and one tenant, as the platform's pages
/// show it, and the first weights of its model.
inline void putDeployment(store &log, int tokensPerSecond)
{
    const std::string rate = std::to_string(tokensPerSecond);
    log.put("keyed.op", "config",
            "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"h.example\","
            "\"path_prefix\":\"/reply/\",\"kind\":\"stream\",\"timeout_ms\":15000,"
            "\"target_latency_ms\":400,\"priority\":0,\"service\":\"llm\",\"max_attempts\":2,"
            "\"anonymous\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":300}],"
            "\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\","
            "\"max_connections\":620,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
            "\"slots\":128,\"kv_capacity_tokens\":95573,\"kv_token_bytes\":262144,"
            "\"models\":[{\"name\":\"m0\"}]}}],\"limits\":{\"max_header_bytes\":16384,"
            "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-1\"],\"priority\":1,"
            "\"unit\":\"token_stream\",\"uncached_tokens\":200,\"isolated\":false,\"rate_per_s\":"
                    + rate + ",\"burst\":" + rate + "}]}");
    log.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
}

using router_list = std::vector<std::unique_ptr<router>>;

/// Starts a router in each of three zones. Returns none if one of them is not ready in time.
inline router_list startRouters(const std::string &folder, const store &log, record_file &record)
{
    router_list routers;
    routers.reserve(3);
    for (const char *zone : { "a", "b", "c" })
        routers.push_back(std::make_unique<router>(std::string("front-") + zone + "-1", zone,
                                                   folder, log.address()));
    for (const auto &one : routers) {
        if (!one->waitReady(20)) {
            record.line("a router is not ready: " + one->logText());
            return {};
        }
    }
    return routers;
}

/// Runs the function in this many threads, with the number of each, until join().
class client_threads
{
public:
    client_threads(int count, const std::function<void(int client)> &function)
    {
        m_threads.reserve(static_cast<std::size_t>(count));
        for (int client = 0; client < count; ++client)
            m_threads.emplace_back(function, client);
    }
    void join()
    {
        for (std::thread &thread : m_threads)
            thread.join();
        m_threads.clear();
    }

private:
    std::vector<std::thread> m_threads;
};

/// Writes the result to the record and the output, and ends the process: its servers may still have
/// threads.
[[noreturn]] inline void endWith(record_file &record, const std::string &text, int result)
{
    record.line(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
    ::_exit(result);
}

} // namespace review

#endif
