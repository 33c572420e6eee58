#include "testing/support_platform.h"

#include "burdockhold/duty_lease.h"
#include "testing/support_address.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

extern char **environ;

namespace burdockhold::testing {

namespace {

using json = nlohmann::json;
using steady_clock = std::chrono::steady_clock;

constexpr int PollMs = 20;

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Appends the next received bytes to the buffer. Returns false on close or error.
bool readMore(int descriptor, std::string &buffer)
{
    char chunk[4096];
    const ssize_t received = ::recv(descriptor, chunk, sizeof chunk, 0);
    if (received <= 0)
        return false;
    buffer.append(chunk, static_cast<std::size_t>(received));
    return true;
}

/// Reads one request and leaves the bytes behind it in the buffer. Returns false on close or error.
bool readRequest(int descriptor, std::string &buffer, recorded_request &request)
{
    while (buffer.find("\r\n\r\n") == std::string::npos) {
        if (!readMore(descriptor, buffer))
            return false;
    }
    const std::size_t headEnd = buffer.find("\r\n\r\n");
    const std::string head = buffer.substr(0, headEnd + 2);
    buffer.erase(0, headEnd + 4);
    std::size_t at = head.find("\r\n");
    const std::string line = head.substr(0, at);
    request.method = line.substr(0, line.find(' '));
    request.target = line.substr(request.method.size() + 1,
                                 line.rfind(' ') - request.method.size() - 1);
    for (at += 2; at < head.size();) {
        const std::size_t end = head.find("\r\n", at);
        const std::string field = head.substr(at, end - at);
        const std::size_t colon = field.find(':');
        // cpprest writes no space behind the colon.
        const std::size_t value = std::min(field.find_first_not_of(' ', colon + 1), field.size());
        request.fields[toLower(field.substr(0, colon))] = field.substr(value);
        at = end + 2;
    }
    const std::string length = request.field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < size) {
        if (!readMore(descriptor, buffer))
            return false;
    }
    request.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(value >> shift & 0xff);
    return out;
}

std::string base64(const std::string &bytes)
{
    static const char alphabet[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group <<= 8;
            if (at + offset < bytes.size())
                group |= static_cast<unsigned char>(bytes[at + offset]);
        }
        for (std::size_t letter = 0; letter < 4; ++letter) {
            const bool padding = at + letter > bytes.size();
            out += padding ? '=' : alphabet[group >> (18 - 6 * letter) & 63];
        }
    }
    return out;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::string makeResponse(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
           + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Makes the socket drop what comes from these IP addresses.
void dropPackets(int descriptor, const std::set<std::string> &addresses)
{
    constexpr unsigned int SourceAddressOffset = 12; // In the header of IP.
    std::vector<sock_filter> code{ BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
                                            static_cast<unsigned int>(SKF_NET_OFF)
                                                    + SourceAddressOffset) };
    for (const std::string &address : addresses) {
        code.push_back(
                BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(::inet_addr(address.c_str())), 0, 1));
        code.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
    }
    code.push_back(BPF_STMT(BPF_RET | BPF_K, UINT32_MAX));
    const sock_fprog program{ static_cast<unsigned short>(code.size()), code.data() };
    BOOST_REQUIRE(::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program)
                  == 0);
}

int connectTo(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

/// Returns a socket that listens on 127.0.0.1 at the port, or at a free one if it is 0; -1 if the
/// port is taken. Connections of a former listener do not keep the port.
int listenOn(int port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
        && ::listen(listener, 64) == 0)
        return listener;
    ::close(listener);
    return -1;
}

void sendAll(int descriptor, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent,
                                     MSG_NOSIGNAL);
        if (count <= 0)
            return;
        sent += static_cast<std::size_t>(count);
    }
}

} // namespace

std::string recorded_request::field(const std::string &name) const
{
    const auto found = fields.find(toLower(name));
    return found == fields.end() ? std::string() : found->second;
}

bool response_socket::write(const std::string &bytes)
{
    return ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL)
           == static_cast<ssize_t>(bytes.size());
}

bool response_socket::peerClosed(int milliseconds)
{
    pollfd waiting{ m_descriptor, POLLIN, 0 };
    if (::poll(&waiting, 1, milliseconds) <= 0)
        return false;
    char byte = 0;
    return ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void response_socket::reset()
{
    const linger abort{ 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
}

fake_server::fake_server(request_handler handler)
    : m_handler(std::move(handler))
{
    m_listener = listenOn(0);
    BOOST_REQUIRE(m_listener >= 0);
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { acceptConnections(); });
}

fake_server::~fake_server()
{
    m_stopping = true;
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const int descriptor : m_connections)
            ::shutdown(descriptor, SHUT_RDWR);
    }
    for (auto &[id, thread] : m_threads)
        thread.join();
}

void fake_server::acceptConnections()
{
    while (!m_stopping) {
        pollfd waiting{ m_listener, POLLIN, 0 };
        if (::poll(&waiting, 1, PollMs) <= 0)
            continue;
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        reapFinishedThreads();
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(descriptor);
        std::thread thread([this, descriptor] { serveConnection(descriptor); });
        m_threads.emplace(thread.get_id(), std::move(thread));
    }
}

void fake_server::reapFinishedThreads()
{
    std::vector<std::thread> finished;
    {
        const std::lock_guard lock(m_mutex);
        for (const std::thread::id id : m_finishedThreads) {
            finished.push_back(std::move(m_threads.at(id)));
            m_threads.erase(id);
        }
        m_finishedThreads.clear();
    }
    for (std::thread &thread : finished)
        thread.join();
}

void fake_server::cutOff(const std::set<std::string> &addresses, bool openToo)
{
    const std::lock_guard lock(m_mutex);
    m_cutAddresses = addresses;
    if (m_listener >= 0)
        dropPackets(m_listener, addresses);
    if (!openToo && !addresses.empty())
        return;
    for (const int descriptor : m_connections)
        dropPackets(descriptor, addresses);
}

void fake_server::crash()
{
    ::close(m_listener.exchange(-1));
    const std::lock_guard lock(m_mutex);
    for (const int descriptor : m_connections) {
        // Disconnecting sends a reset and keeps the descriptor, which its thread closes.
        sockaddr nowhere{};
        nowhere.sa_family = AF_UNSPEC;
        static_cast<void>(
                ::connect(descriptor, &nowhere, sizeof nowhere)); // May be closed already.
    }
}

bool fake_server::listenAgain()
{
    const int listener = listenOn(m_port);
    if (listener < 0)
        return false;
    const std::lock_guard lock(m_mutex);
    dropPackets(listener, m_cutAddresses);
    m_listener = listener;
    return true;
}

void fake_server::stopListening()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
}

void fake_server::serveConnection(int descriptor)
{
    std::string buffer;
    recorded_request request;
    while (readRequest(descriptor, buffer, request)) {
        response_socket socket(descriptor);
        if (!m_handler(request, socket))
            break;
        request = {};
        request.isFirstOnConnection = false;
    }
    const std::lock_guard lock(m_mutex);
    m_connections.erase(std::find(m_connections.begin(), m_connections.end(), descriptor));
    m_finishedThreads.push_back(std::this_thread::get_id());
    ::close(descriptor);
}

fake_log_service::fake_log_service()
    : m_server([this](const recorded_request &request, response_socket &socket) {
        return respond(request, socket);
    })
{
}

void fake_log_service::put(const std::string &topic, const std::string &key,
                           const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_contents.topics[topic].push_back({ key, value });
}

void fake_log_service::remove(const std::string &topic, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_contents.topics[topic].push_back({ key, {}, true });
}

std::set<std::string> fake_log_service::keys(const std::string &topic)
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> found;
    for (const record &entry : m_contents.topics[topic])
        found.insert(entry.key);
    return found;
}

void fake_log_service::forgetHistory()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[topic, records] : m_contents.topics)
        m_contents.firstOffsets[topic] = records.size();
}

void fake_log_service::setFaults(std::function<log_fault(const std::string &target)> faults)
{
    m_faults = std::move(faults);
}

void fake_log_service::setAppendFilter(
        std::function<std::string(const std::string &topic, const std::string &key,
                                  const std::string &value)>
                filter)
{
    m_appendFilter = std::move(filter);
}

bool fake_log_service::respond(const recorded_request &request, response_socket &socket)
{
    ++m_calls;
    if (m_endless) {
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n");
        writeUntilClosed(socket, std::string(8192, 'x'), 60000);
        return false;
    }
    if (m_unavailable)
        return socket.write(withEra(makeResponse(503, "")));
    return respondFaulty(m_faults ? m_faults(request.target) : log_fault::None, request, socket);
}

bool fake_log_service::respondFaulty(log_fault fault, const recorded_request &request,
                                     response_socket &socket)
{
    switch (fault) {
    case log_fault::Unavailable:
        return socket.write(withEra(makeResponse(503, "")));
    case log_fault::Reset:
        socket.reset();
        return false;
    case log_fault::LostAnswer:
        answer(request);
        return false;
    case log_fault::Slow:
        std::this_thread::sleep_for(std::chrono::milliseconds(SlowLogMs));
        break;
    case log_fault::None:
        break;
    }
    const int returns = m_returns;
    const std::string response = answer(request);
    return returns == m_returns && socket.write(withEra(response));
}

std::string fake_log_service::withEra(std::string response) const
{
    const std::int64_t era = m_era;
    if (era > 0)
        response.insert(response.find("\r\n") + 2, "Store-Era: " + std::to_string(era) + "\r\n");
    return response;
}

std::string fake_log_service::answer(const recorded_request &request)
{
    if (request.target.rfind("/log-newest", 0) == 0)
        return makeResponse(200, latestRecords(queryValue(request.target, "topic")));
    if (request.target.rfind("/log-join", 0) == 0)
        return makeResponse(200, joinGroup(request.body));
    if (request.target.rfind("/log-leave", 0) == 0)
        return makeResponse(200, leaveGroup(request.body));
    if (request.target.rfind("/log-append", 0) == 0)
        return append(request);
    if (request.target.rfind("/log-read", 0) == 0)
        return read(request);
    return makeResponse(200, "{}");
}

std::string fake_log_service::append(const recorded_request &request)
{
    const std::string topic = queryValue(request.target, "topic");
    const auto keySize = static_cast<unsigned char>(request.body[4]);
    const std::string key = request.body.substr(5, keySize);
    const std::string value = request.body.substr(5 + keySize);
    put(topic, key, m_appendFilter ? m_appendFilter(topic, key, value) : value);
    return makeResponse(200, R"({"offset":0,"end":1})");
}

std::string fake_log_service::read(const recorded_request &request)
{
    const std::string topic = queryValue(request.target, "topic");
    const std::uint64_t from = std::stoull(queryValue(request.target, "from"));
    const std::string wait = queryValue(request.target, "wait_ms");
    const auto deadline = steady_clock::now()
                          + std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait));
    {
        const std::lock_guard lock(m_mutex);
        // After a return from a copy, a reader may ask for an offset that does not exist yet.
        if (from < m_contents.firstOffsets[topic] || from > m_contents.topics[topic].size())
            return makeResponse(410, json{ { "first", m_contents.firstOffsets[topic] } }.dump());
    }
    std::string page = readPage(topic, from);
    const int returns = m_returns;
    while (page.size() <= 16 && steady_clock::now() < deadline && !m_unavailable
           && returns == m_returns) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        page = readPage(topic, from);
    }
    return makeResponse(200, page);
}

std::string fake_log_service::latestRecords(const std::string &topic)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, record> latest;
    for (const record &entry : m_contents.topics[topic])
        latest[entry.key] = entry;
    json items = json::array();
    for (const auto &[key, entry] : latest) {
        if (!entry.removed)
            items.push_back({ { "key", key }, { "value", base64(entry.value) }, { "offset", 0 } });
    }
    return json{
        { "items", items }, { "has_more", false }, { "end", m_contents.topics[topic].size() }
    }.dump();
}

std::string fake_log_service::readPage(const std::string &topic, std::uint64_t from)
{
    const std::lock_guard lock(m_mutex);
    const auto &records = m_contents.topics[topic];
    std::string page = bigEndian(records.size(), 8) + bigEndian(m_contents.firstOffsets[topic], 8);
    for (std::size_t at = from; at < records.size(); ++at) {
        const std::string body = bigEndian(records[at].key.size(), 1) + records[at].key
                                 + (records[at].removed ? std::string() : records[at].value);
        page += bigEndian(body.size(), 4) + body;
    }
    return page;
}

log_group &fake_log_service::groupOf(const std::string &name)
{
    return m_contents.groups.try_emplace(name, m_groupOptions).first->second;
}

std::chrono::nanoseconds fake_log_service::groupTime() const
{
    return steady_clock::now().time_since_epoch() - m_groupTimeLost;
}

std::string fake_log_service::joinGroup(const std::string &body)
{
    const std::lock_guard lock(m_mutex);
    const json request = json::parse(body);
    const std::chrono::milliseconds ttl(request.at("ttl_ms").get<int>());
    const log_group_answer joined = groupOf(request.at("group"))
                                            .join(request.at("member"), ttl,
                                                  request.at("generation"), groupTime());
    json partitions = json::array();
    for (const int partition : joined.partitions)
        partitions.push_back({ "t", partition, 0 });
    return json{
        { "generation", joined.generation }, { "ttl_ms", ttl.count() }, { "parts", partitions }
    }.dump();
}

std::string fake_log_service::leaveGroup(const std::string &body)
{
    const std::lock_guard lock(m_mutex);
    const json request = json::parse(body);
    groupOf(request.at("group")).leave(request.at("member"), groupTime());
    return "{}";
}

std::string fake_log_service::dutyHolder(const std::string &pool)
{
    const std::lock_guard lock(m_mutex);
    return groupOf("burdockhold-orders/" + pool).ownerOf(dutyPartition(pool, DutyPartitions));
}

void fake_log_service::reassignAll(std::chrono::milliseconds barredFor)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[name, group] : m_contents.groups)
        group.reassign(barredFor, groupTime());
}

void fake_log_service::takeCopy()
{
    const std::lock_guard lock(m_mutex);
    m_copy = m_contents;
    m_copiedAt = groupTime();
}

void fake_log_service::returnFromCopy()
{
    const std::lock_guard lock(m_mutex);
    m_contents = m_copy;
    m_groupTimeLost += groupTime() - m_copiedAt;
    ++m_returns;
    if (m_era > 0)
        ++m_era;
}

router_process::router_process(const std::string &logAddress, const router_place &place)
    : m_callerAddress(place.ip.empty() ? reserveAddress() : place.ip + ":7001")
    , m_readyAddress(place.ip.empty() ? reserveAddress() : place.ip + ":7002")
    , m_program(place.program.empty() ? BURDOCKHOLD_ROUTER : place.program)
    , m_settingsFile("/tmp/burdockhold-router-" + std::to_string(::getpid()) + "-" + place.vm
                     + ".ini")
    , m_logFile(m_settingsFile + ".log")
    , m_enforcedDescriptors(place.enforcedDescriptors)
{
    ::unlink(m_logFile.c_str());
    const std::string peerAddress = place.ip.empty() ? reserveAddress() : place.ip + ":7003";
    m_peerPort = std::stoi(peerAddress.substr(peerAddress.find(':') + 1));
    std::ofstream(m_settingsFile)
            << "[vm]\nname = " << place.vm << "\ndata_centre = " << place.dataCentre
            << "\nip = " << (place.ip.empty() ? "127.0.0.1" : place.ip)
            << "\nendpoint_source_ip = " << (place.callsFromIp ? place.ip : std::string())
            << "\n[listen]\ncallers = " << m_callerAddress << "\nready = " << m_readyAddress
            << "\nfirst_peer_port = " << m_peerPort << "\n[log]\naddress = " << logAddress
            << "\npartitions = 12\n[bounds]\nleaving_ms = 2000\nconfig_ms = 2000\n"
               "revocation_ms = 5000\nweights_ms = 8000\nengines_check_fences = "
            << (place.enginesCheckFences ? "true" : "false")
            << "\nlease_ms = 3000\nshutdown_grace_s = 8\nevacuate_ms = 5000\n"
               "cold_overshoot = 1.5\ncold_slack = 5\n[regions]\n"
               "data_centres = {\"dc1\":\"eu\",\"dc2\":\"us\"}\n[repeats]\nratio = 0.2\nslack = "
            << place.repeatSlack
            << "\n[accounts]\ntolerance = 0.1\ntolerance_tokens = " << place.toleranceTokens
            << "\n[limits]\nmemory_mb = " << place.memoryMb
            << "\ndescriptors = " << place.descriptors << "\n";
    spawn();
}

void router_process::spawn()
{
    const std::string option = "--settings=" + m_settingsFile;
    std::string program = m_program;
    std::string argument = option;
    char *arguments[] = { program.data(), argument.data(), nullptr };
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, 1, m_logFile.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0600);
    BOOST_REQUIRE(::posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments, environ)
                  == 0);
    ::posix_spawn_file_actions_destroy(&actions);
    if (m_enforcedDescriptors == 0)
        return;
    const auto most = static_cast<rlim_t>(m_enforcedDescriptors);
    const rlimit limit{ most, most };
    BOOST_REQUIRE(::prlimit(m_process, RLIMIT_NOFILE, &limit, nullptr) == 0);
}

void router_process::startAgain()
{
    ::waitpid(m_process, nullptr, 0);
    spawn();
}

int router_process::exitCode() const
{
    siginfo_t info{};
    ::waitid(P_PID, static_cast<id_t>(m_process), &info, WEXITED | WNOHANG | WNOWAIT);
    return info.si_code == CLD_EXITED ? info.si_status : 128 + info.si_status;
}

void router_process::signal(int number) const
{
    ::kill(m_process, number);
}

router_process::~router_process()
{
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
    ::unlink(m_settingsFile.c_str());
    ::unlink(m_logFile.c_str());
}

std::string router_process::logText() const
{
    std::ifstream file(m_logFile);
    return { std::istreambuf_iterator<char>(file), {} };
}

void router_process::terminate() const
{
    ::kill(m_process, SIGTERM);
}

bool router_process::hasExited() const
{
    siginfo_t info{};
    ::waitid(P_PID, static_cast<id_t>(m_process), &info, WEXITED | WNOHANG | WNOWAIT);
    return info.si_pid == m_process;
}

std::size_t router_process::peakMemoryBytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0)
            return std::stoul(line.substr(6)) * 1024;
    }
    return 0;
}

std::size_t router_process::openDescriptors() const
{
    const std::filesystem::path directory("/proc/" + std::to_string(m_process) + "/fd");
    std::error_code error; // The process may end meanwhile; then it has none.
    const std::filesystem::directory_iterator entries(directory, error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

bool router_process::waitReady(bool ready) const
{
    const auto deadline = steady_clock::now() + std::chrono::seconds(10);
    while (steady_clock::now() < deadline) {
        const std::string response = exchangeBytes(m_readyAddress,
                                                   "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", 100);
        const bool isReady = response.rfind("HTTP/1.1 200", 0) == 0;
        if (!response.empty() && isReady == ready)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(PollMs));
    }
    return false;
}

bool writeUntilClosed(response_socket &socket, const std::string &bytes, int milliseconds)
{
    const auto deadline = steady_clock::now() + std::chrono::milliseconds(milliseconds);
    while (steady_clock::now() < deadline) {
        if (!socket.write(bytes))
            return true;
    }
    return false;
}

std::string exchangeBytes(const std::string &address, const std::string &bytes, int milliseconds)
{
    test_caller caller(address);
    caller.send(bytes);
    return caller.readUntil("\r\n\r\n", milliseconds);
}

test_caller::test_caller(const std::string &address)
    : m_descriptor(connectTo(address))
{
}

test_caller::~test_caller()
{
    close();
}

void test_caller::send(const std::string &bytes) const
{
    if (m_descriptor >= 0)
        sendAll(m_descriptor, bytes);
}

std::string test_caller::readUntil(const std::string &text, int milliseconds)
{
    const auto deadline = steady_clock::now() + std::chrono::milliseconds(milliseconds);
    while (m_descriptor >= 0 && !m_closed && m_received.find(text) == std::string::npos) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                deadline - steady_clock::now());
        pollfd waiting{ m_descriptor, POLLIN, 0 };
        if (left.count() <= 0 || ::poll(&waiting, 1, static_cast<int>(left.count())) <= 0)
            break;
        errno = 0;
        m_closed = !readMore(m_descriptor, m_received);
        m_reset = m_closed && errno == ECONNRESET;
    }
    return m_received;
}

void test_caller::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

} // namespace burdockhold::testing
