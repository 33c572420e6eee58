#include "review/standins/standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <utility>

extern char **environ;

namespace review {

namespace {

constexpr int PollMs = 20;
constexpr int Partitions = 12;
/// A case that runs for longer ends as one that could not run.
constexpr unsigned MaxSeconds = 110;

/// The router that runs now, for endCase(); -1 if none does.
std::atomic<pid_t> runningRouter{ -1 };

/// Ends the router and the case, at the time limit or when the case is told to end.
void endCase(int)
{
    if (runningRouter > 0)
        ::kill(runningRouter, SIGKILL);
    ::_exit(2);
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    const std::size_t end = text.find_last_not_of(" \t");
    return begin == std::string::npos ? std::string() : text.substr(begin, end - begin + 1);
}

sockaddr_in socketAddress(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(value >> shift & 0xff);
    return out;
}

std::uint64_t parseBigEndian(const std::string &bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes)
        value = value << 8 | static_cast<unsigned char>(byte);
    return value;
}

std::string base64(const std::string &bytes)
{
    static const char letters[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group <<= 8;
            if (at + offset < bytes.size())
                group |= static_cast<unsigned char>(bytes[at + offset]);
        }
        for (std::size_t letter = 0; letter < 4; ++letter)
            out += at + letter > bytes.size() ? '=' : letters[group >> (18 - 6 * letter) & 63];
    }
    return out;
}

std::string percentDecoded(const std::string &text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            out += text[at];
        }
    }
    return out;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    std::istringstream query(target.substr(std::min(target.find('?'), target.size() - 1) + 1));
    for (std::string item; std::getline(query, item, '&');) {
        if (item.compare(0, name.size() + 1, name + "=") == 0)
            return percentDecoded(item.substr(name.size() + 1));
    }
    return {};
}

std::string response(int status, const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string jsonResponse(int status, const json &body)
{
    return response(status, body.dump(), "Content-Type: application/json\r\n");
}

} // namespace

bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

record::record(const std::string &folder)
    : m_file(folder + "/record.txt", std::ios::trunc)
    , m_start(steady_clock::now())
{
}

void record::line(const std::string &text)
{
    const std::chrono::duration<double> elapsed = steady_clock::now() - m_start;
    const std::lock_guard lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << std::setw(8) << elapsed.count() << " s  "
           << text << std::endl;
    std::fputs((text + "\n").c_str(), stdout);
}

std::string http_message::field(const std::string &name) const
{
    const auto found = fields.find(toLower(name));
    return found == fields.end() ? std::string() : found->second;
}

stream_socket::stream_socket(int descriptor)
    : m_descriptor(descriptor)
{
}

stream_socket::~stream_socket()
{
    ::close(m_descriptor);
}

bool stream_socket::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent,
                                     MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool stream_socket::readMore()
{
    char chunk[65536];
    const ssize_t received = ::recv(m_descriptor, chunk, sizeof chunk, 0);
    if (received <= 0)
        return false;
    m_buffer.append(chunk, static_cast<std::size_t>(received));
    return true;
}

bool stream_socket::readChunks(std::string &body)
{
    while (true) {
        std::size_t lineEnd = m_buffer.find("\r\n");
        while (lineEnd == std::string::npos) {
            if (!readMore())
                return false;
            lineEnd = m_buffer.find("\r\n");
        }
        const std::size_t size = std::stoul(m_buffer.substr(0, lineEnd), nullptr, 16);
        while (m_buffer.size() < lineEnd + 2 + size + 2) {
            if (!readMore())
                return false;
        }
        body += m_buffer.substr(lineEnd + 2, size);
        m_buffer.erase(0, lineEnd + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

http_message stream_socket::readMessage(const std::function<void(const http_message &)> &headRead)
{
    http_message message;
    std::size_t headEnd = m_buffer.find("\r\n\r\n");
    while (headEnd == std::string::npos) {
        if (!readMore())
            return message;
        headEnd = m_buffer.find("\r\n\r\n");
    }
    std::istringstream head(m_buffer.substr(0, headEnd));
    m_buffer.erase(0, headEnd + 4);
    std::getline(head, message.startLine, '\r');
    for (std::string line; std::getline(head, line, '\r');) {
        const std::size_t colon = line.find(':');
        const std::string name = toLower(trimmed(line.substr(1, colon - 1)));
        if (colon != std::string::npos)
            message.fields.emplace(name, trimmed(line.substr(colon + 1)));
    }
    std::istringstream words(message.startLine);
    words >> message.method >> message.target;
    const bool isResponse = message.method.compare(0, 5, "HTTP/") == 0;
    if (isResponse)
        message.status = std::stoi(message.target);
    if (headRead)
        headRead(message);
    const std::string length = message.field("content-length");
    if (message.field("transfer-encoding") == "chunked") {
        message.complete = readChunks(message.body);
        return message;
    }
    if (isResponse && length.empty()) {
        while (readMore()) { }
        message.body.swap(m_buffer);
        message.complete = true;
        return message;
    }
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (m_buffer.size() < size) {
        if (!readMore()) {
            message.body.swap(m_buffer);
            return message;
        }
    }
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    message.complete = true;
    return message;
}

void stream_socket::setTimeout(std::chrono::milliseconds timeout) const
{
    timeval value{};
    value.tv_sec = timeout.count() / 1000;
    value.tv_usec = timeout.count() % 1000 * 1000;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

void stream_socket::shutDown() const
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::shared_ptr<stream_socket> connectTo(const std::string &address)
{
    const sockaddr_in target = socketAddress(address);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_shared<stream_socket>(descriptor);
}

std::string freeAddress()
{
    while (true) {
        const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = socketAddress("127.0.0.1:0");
        socklen_t size = sizeof address;
        const bool bound = ::bind(tcp, reinterpret_cast<sockaddr *>(&address), size) == 0
                           && ::getsockname(tcp, reinterpret_cast<sockaddr *>(&address), &size) == 0
                           && ::bind(udp, reinterpret_cast<sockaddr *>(&address), size) == 0;
        ::close(tcp);
        ::close(udp);
        if (bound)
            return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }
}

socket_server::socket_server(handler serve)
    : m_serve(std::move(serve))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress("127.0.0.1:0");
    socklen_t size = sizeof address;
    const bool listens = ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) == 0
                         && ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size)
                                    == 0
                         && ::listen(m_listener, 256) == 0;
    if (!listens)
        throw std::runtime_error("cannot listen on loopback");
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    m_acceptor = std::thread([this] { acceptConnections(); });
}

socket_server::~socket_server()
{
    m_stopping = true;
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &socket : m_sockets)
            socket->shutDown();
    }
    for (std::thread &thread : m_threads)
        thread.join();
}

void socket_server::acceptConnections()
{
    while (!m_stopping) {
        pollfd waiting{ m_listener, POLLIN, 0 };
        if (::poll(&waiting, 1, PollMs) <= 0)
            continue;
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const auto socket = std::make_shared<stream_socket>(descriptor);
        const std::lock_guard lock(m_mutex);
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] {
            m_serve(*socket);
            socket->shutDown();
        });
    }
}

log_store::log_store()
    : m_server(std::make_unique<socket_server>([this](stream_socket &socket) { serve(socket); }))
{
}

log_store::~log_store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.reset();
}

void log_store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_partitions[topic + "/0"].records.push_back(bigEndian(key.size(), 1) + key + value);
    m_changed.notify_all();
}

void log_store::serve(stream_socket &socket)
{
    while (true) {
        const http_message request = socket.readMessage();
        if (!request.complete || !socket.send(answer(request)))
            return;
    }
}

std::string log_store::answer(const http_message &request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/log-append")
        return append(request);
    if (path == "/log-read")
        return read(request);
    if (path == "/log-newest")
        return newest(request);
    if (path == "/log-join")
        return join(json::parse(request.body));
    if (path == "/log-leave")
        return leave(json::parse(request.body));
    return jsonResponse(404, json::object());
}

std::string log_store::append(const http_message &request)
{
    const std::string name = queryValue(request.target, "topic") + "/"
                             + queryValue(request.target, "part");
    const std::string at = queryValue(request.target, "at");
    const std::lock_guard lock(m_mutex);
    auto &records = m_partitions[name].records;
    if (!at.empty() && std::stoull(at) != records.size())
        return jsonResponse(412, { { "end", records.size() } });
    const std::size_t first = records.size();
    for (std::size_t position = 0; position + 4 <= request.body.size();) {
        const std::size_t size = parseBigEndian(request.body.substr(position, 4));
        records.push_back(request.body.substr(position + 4, size));
        position += 4 + size;
    }
    m_changed.notify_all();
    return jsonResponse(200, { { "offset", first }, { "end", records.size() } });
}

std::string log_store::read(const http_message &request)
{
    const std::string name = queryValue(request.target, "topic") + "/"
                             + queryValue(request.target, "part");
    const std::size_t from = std::stoull(queryValue(request.target, "from"));
    const std::string wait = queryValue(request.target, "wait_ms");
    std::unique_lock lock(m_mutex);
    const auto &records = m_partitions[name].records;
    if (!wait.empty())
        m_changed.wait_for(lock, std::chrono::milliseconds(std::stoi(wait)),
                           [&] { return m_stopping || records.size() > from; });
    std::string page = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t offset = from; offset < records.size(); ++offset)
        page += bigEndian(records[offset].size(), 4) + records[offset];
    return response(200, page);
}

std::string log_store::newest(const http_message &request)
{
    const std::string name = queryValue(request.target, "topic") + "/"
                             + queryValue(request.target, "part");
    const std::string after = queryValue(request.target, "after");
    const std::lock_guard lock(m_mutex);
    const auto &records = m_partitions[name].records;
    std::map<std::string, std::pair<std::string, std::size_t>> values;
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
        const auto size = static_cast<unsigned char>(records[offset][0]);
        const std::string key = records[offset].substr(1, size);
        const std::string value = records[offset].substr(1 + std::size_t(size));
        values.erase(key);
        if (!value.empty())
            values[key] = { value, offset };
    }
    json items = json::array();
    for (const auto &[key, value] : values) {
        if (key > after)
            items.push_back({ { "key", key },
                              { "value", base64(value.first) },
                              { "offset", value.second } });
    }
    return jsonResponse(200,
                        { { "items", items }, { "has_more", false }, { "end", records.size() } });
}

/// Ends the memberships whose time is over.
void log_store::expire(group_state &group)
{
    bool changed = false;
    for (auto member = group.members.begin(); member != group.members.end();) {
        if (member->second.until > steady_clock::now()) {
            ++member;
            continue;
        }
        for (auto &[partition, owner] : group.owners)
            owner = owner == member->first ? std::string() : owner;
        member = group.members.erase(member);
        changed = true;
    }
    group.generation += changed ? 1 : 0;
}

/// Gives the partitions without an owner to the members with the fewest, and takes surplus ones
/// from owners that have joined with the newest generation.
void log_store::deal(group_state &group, const std::string &topic)
{
    std::map<std::string, int> counts;
    for (const auto &[member, state] : group.members)
        counts[member] = 0;
    for (int number = 0; number < Partitions; ++number)
        ++counts[group.owners[topic + "/" + std::to_string(number)]];
    counts.erase("");
    const int fair = (Partitions + static_cast<int>(group.members.size()) - 1)
                     / static_cast<int>(group.members.size());
    for (int number = 0; number < Partitions; ++number) {
        std::string &owner = group.owners[topic + "/" + std::to_string(number)];
        if (!owner.empty() && counts[owner] > fair
            && group.members[owner].generation >= group.generation) {
            --counts[owner];
            owner.clear();
        }
        if (!owner.empty())
            continue;
        const auto fewest = std::min_element(
                counts.begin(), counts.end(),
                [](const auto &a, const auto &b) { return a.second < b.second; });
        owner = fewest->first;
        ++fewest->second;
    }
}

std::string log_store::join(const json &body)
{
    const std::lock_guard lock(m_mutex);
    group_state &group = m_groups[body.at("group")];
    const std::string member = body.at("member");
    expire(group);
    if (group.members.count(member) == 0)
        ++group.generation;
    group.members[member] = { steady_clock::now()
                                      + std::chrono::milliseconds(body.at("ttl_ms").get<int>()),
                              body.value("generation", std::int64_t(0)) };
    json parts = json::array();
    for (const json &topic : body.at("topics")) {
        deal(group, topic);
        for (int number = 0; number < Partitions; ++number) {
            if (group.owners[topic.get<std::string>() + "/" + std::to_string(number)] == member)
                parts.push_back({ topic, number, 0 });
        }
    }
    return jsonResponse(200, { { "generation", group.generation },
                               { "ttl_ms", body.at("ttl_ms") },
                               { "parts", parts } });
}

std::string log_store::leave(const json &body)
{
    const std::lock_guard lock(m_mutex);
    group_state &group = m_groups[body.at("group")];
    const std::string member = body.at("member");
    if (group.members.erase(member) > 0)
        ++group.generation;
    for (auto &[partition, owner] : group.owners)
        owner = owner == member ? std::string() : owner;
    return jsonResponse(200, json::object());
}

plain_engine::plain_engine(std::string id, std::chrono::milliseconds work)
    : m_id(std::move(id))
    , m_work(work)
    , m_server(std::make_unique<socket_server>([this](stream_socket &socket) { serve(socket); }))
{
}

std::string plain_engine::entry(const std::string &service, const std::string &zone,
                                int slots) const
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    return json{
        { "service", service }, { "address", address() }, { "zone", zone },
        { "version", "v1" },    { "slots", slots },       { "state", "ready" },
        { "seq", 1 },           { "born", now.count() },  { "cold_remaining_ms", 0 }
    }.dump();
}

std::vector<engine_call> plain_engine::calls()
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

std::size_t plain_engine::noteHead(const http_message &request)
{
    const std::lock_guard lock(m_mutex);
    engine_call call;
    call.id = request.field("X-Burdockhold-Attempt-Id");
    call.method = request.method;
    call.target = request.target;
    call.tenant = request.field("X-Burdockhold-Tenant");
    m_calls.push_back(call);
    return m_calls.size() - 1;
}

void plain_engine::serve(stream_socket &socket)
{
    while (true) {
        std::size_t call = 0;
        bool isHealth = false;
        const http_message request = socket.readMessage([&](const http_message &head) {
            isHealth = head.target == "/healthz";
            if (!isHealth)
                call = noteHead(head);
        });
        if (!request.complete)
            return;
        const std::string answer = isHealth ? response(
                                           200, "", "X-Burdockhold-Instance-Id: " + m_id + "\r\n")
                                            : run(call, request);
        if (!socket.send(answer))
            return;
    }
}

std::string plain_engine::run(std::size_t call, const http_message &request)
{
    const std::string intended = request.field("X-Burdockhold-Target-Instance");
    if (!intended.empty() && intended != m_id)
        return response(421, "", "X-Burdockhold-Instance-Id: " + m_id + "\r\n");
    const std::string id = request.field("X-Burdockhold-Attempt-Id");
    if (id.empty())
        return response(400, "", "X-Burdockhold-Not-Executed: 1\r\n");
    {
        const std::lock_guard lock(m_mutex);
        m_calls[call].whole = true;
        m_calls[call].bodyBytes = request.body.size();
        m_calls[call].body = request.body.substr(0, 400);
    }
    std::this_thread::sleep_for(m_work);
    return response(200, "done " + id,
                    "X-Burdockhold-Attempt-Id: " + id + "\r\nX-Burdockhold-Server-Stamp: s." + m_id
                            + "." + id + "\r\n");
}

router_program::router_program(std::string folder, const std::string &name,
                               const std::string &logAddress)
    : m_folder(std::move(folder))
    , m_name(name)
    , m_callers(freeAddress())
    , m_ready(freeAddress())
    , m_settings(m_folder + "/" + name + ".ini")
    , m_logFile(m_folder + "/" + name + ".log")
{
    const std::string peers = freeAddress();
    const std::map<std::string, std::string> values{
        { "node_name", name },
        { "zone", "mayaro-a" },
        { "ip", "127.0.0.1" },
        { "listen.front", m_callers },
        { "listen.ready", m_ready },
        { "internal_ports.0", peers.substr(peers.find(':') + 1) },
        { "platform.address", logAddress },
        { "platform.parts", std::to_string(Partitions) },
        { "bounds.drain_ms", "2000" },
        { "bounds.config_apply_ms", "2000" },
        { "bounds.revoke_ms", "5000" },
        { "bounds.version_ms", "8000" },
        { "bounds.require_fencing", "true" },
        { "bounds.lease_ms", "3000" },
        { "bounds.grace_s", "8" },
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
    for (const auto &[field, value] : values) {
        const std::string place = "{{" + field + "}}";
        for (std::size_t at = text.find(place); at != std::string::npos; at = text.find(place))
            text.replace(at, place.size(), value);
    }
    std::ofstream(m_settings) << text;
}

router_program::~router_program()
{
    if (isRunning()) {
        signal(SIGKILL);
        awaitEnd();
    }
}

bool router_program::start()
{
    // The deploy file's `run` of the role is a program without arguments.
    std::ifstream deploy("deploy/system.toml");
    std::string program;
    for (std::string line; std::getline(deploy, line);) {
        if (line.compare(0, 7, "run = \"") == 0)
            program = line.substr(7, line.rfind('"') - 7);
    }
    ::setenv("BURDOCKHOLD_SETTINGS", m_settings.c_str(), 1);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, 1, m_logFile.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0600);
    char *arguments[] = { program.data(), nullptr };
    pid_t process = -1;
    const bool started = ::posix_spawn(&process, program.c_str(), &actions, nullptr, arguments,
                                       environ)
                         == 0;
    ::posix_spawn_file_actions_destroy(&actions);
    m_process = started ? process : -1;
    runningRouter = m_process.load();
    return started;
}

void router_program::signal(int number) const
{
    if (m_process > 0)
        ::kill(m_process, number);
}

void router_program::awaitEnd()
{
    if (m_process > 0)
        ::waitpid(m_process, nullptr, 0);
    m_process = -1;
    runningRouter = -1;
}

bool router_program::waitReady() const
{
    const time_point end = steady_clock::now() + std::chrono::seconds(15);
    while (steady_clock::now() < end) {
        if (const auto socket = connectTo(m_ready)) {
            socket->setTimeout(std::chrono::seconds(1));
            socket->send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
            if (socket->readMessage().status == 200)
                return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

double router_program::residentMb() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.compare(0, 6, "VmRSS:") == 0)
            return std::stod(line.substr(6)) / 1024.0;
    }
    return 0.0;
}

std::string router_program::log() const
{
    std::ifstream file(m_logFile);
    return { std::istreambuf_iterator<char>(file), {} };
}

int runCase(const std::string &recordFolder, const std::string &rule,
            const std::function<int(const std::string &folder, record &out)> &run)
{
    for (const int number : { SIGALRM, SIGTERM, SIGINT, SIGHUP })
        static_cast<void>(std::signal(number, endCase));
    ::alarm(MaxSeconds);
    record out(recordFolder);
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    int result = 2;
    try {
        if (::mkdtemp(folder.data()) != nullptr)
            result = run(folder, out);
    } catch (const std::exception &error) {
        out.line(std::string("exception: ") + error.what());
    }
    std::error_code ignored; // What is left in the temporary folder does no harm.
    std::filesystem::remove_all(folder, ignored);
    if (result == 2)
        out.line("the case could not run");
    else
        out.line(rule + (result == 1 ? " is broken" : " holds"));
    return result;
}

} // namespace review
