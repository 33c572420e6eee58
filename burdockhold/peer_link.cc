#include "burdockhold/peer_link.h"

#include "burdockhold/task_guard.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace burdockhold {

namespace {

/// nng's request protocol marks the last word of a message's routing header by its highest bit.
constexpr std::uint32_t RequestIdMark = 0x80000000U;

/// Requests served, or replies taken from one peer, before the others get their turn.
constexpr int MessagesPerTurn = 64;

constexpr int ReceiveBufferMessages = 64;

/// Replies that wait for nng's own threads to take them. Without this buffer a reply that follows
/// another one at once was not taken: of 60 requests sent at once, 45 were answered.
constexpr int ReplyBufferMessages = 1024;

/// Requests sent to one peer and not answered yet; others wait. Keeps the replies to one peer far
/// below what the reply socket buffers.
constexpr std::size_t MaxUnanswered = 16;

constexpr std::string_view Component = "peer_link";

constexpr duration LongestPoll = std::chrono::milliseconds(100);

basic_error<peer_link_error> makeError(peer_link_error code, const std::string &text,
                                       const std::string &context)
{
    return { code, text, context };
}

peer_link_error toError(int code)
{
    if (code == NNG_EADDRINUSE)
        return peer_link_error::AddressInUse;
    if (code == NNG_EADDRINVAL || code == NNG_EINVAL || code == NNG_ENOTSUP)
        return peer_link_error::BadAddress;
    return peer_link_error::Failed;
}

/// An nng message that is freed unless it was handed to a socket.
class message_holder
{
public:
    message_holder() = default;
    ~message_holder() { nng_msg_free(m_message); }
    message_holder(const message_holder &) = delete;
    message_holder &operator=(const message_holder &) = delete;

    /// Takes the next message of a socket. Returns false when there is none.
    bool receive(nng_socket socket)
    {
        nng_msg_free(std::exchange(m_message, nullptr));
        return nng_recvmsg(socket, &m_message, NNG_FLAG_NONBLOCK) == 0;
    }

    /// Makes a message with a request id as its header. Returns false when memory is short.
    bool make(std::uint32_t requestId, std::string_view bytes)
    {
        return nng_msg_alloc(&m_message, 0) == 0
               && nng_msg_header_append_u32(m_message, requestId) == 0
               && nng_msg_append(m_message, bytes.data(), bytes.size()) == 0;
    }

    /// Replaces the body and keeps the header, which routes a reply.
    bool replaceBody(std::string_view bytes)
    {
        nng_msg_clear(m_message);
        return nng_msg_append(m_message, bytes.data(), bytes.size()) == 0;
    }

    /// Returns false when the socket cannot take the message now.
    bool send(nng_socket socket)
    {
        if (nng_sendmsg(socket, m_message, NNG_FLAG_NONBLOCK) != 0)
            return false;
        m_message = nullptr;
        return true;
    }

    std::string_view body() const
    {
        return { static_cast<const char *>(nng_msg_body(m_message)), nng_msg_len(m_message) };
    }

    std::optional<std::uint32_t> requestId() const
    {
        std::uint32_t id = 0;
        if (nng_msg_header_trim_u32(m_message, &id) != 0)
            return std::nullopt;
        return id;
    }

private:
    nng_msg *m_message = nullptr;
};

/// An nng socket that is closed at the end.
class owned_socket
{
public:
    owned_socket() = default;
    ~owned_socket() { close(); }
    owned_socket(const owned_socket &) = delete;
    owned_socket &operator=(const owned_socket &) = delete;

    int openRequester(const std::string &address, const peer_link_options &options)
    {
        close();
        if (const int code = nng_req0_open_raw(&m_socket))
            return code;
        setLimits();
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, options.reconnectMinMs);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, options.reconnectMaxMs);
        return nng_dial(m_socket, address.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }

    int openReplier(const std::string &address)
    {
        if (const int code = nng_rep0_open_raw(&m_socket))
            return code;
        setLimits();
        nng_socket_set_int(m_socket, NNG_OPT_SENDBUF, ReplyBufferMessages);
        return nng_listen(m_socket, address.c_str(), nullptr, 0);
    }

    void close()
    {
        if (nng_socket_id(m_socket) > 0)
            nng_close(m_socket);
        m_socket = NNG_SOCKET_INITIALIZER;
    }

    void swap(owned_socket &other) { std::swap(m_socket, other.m_socket); }

    nng_socket get() const { return m_socket; }

    /// Returns a descriptor that is readable while the option's operation can proceed, or -1.
    int descriptor(const char *option) const
    {
        int fd = -1;
        return nng_socket_get_int(m_socket, option, &fd) == 0 ? fd : -1;
    }

private:
    void setLimits()
    {
        nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, MaxPeerMessageBytes);
        nng_socket_set_int(m_socket, NNG_OPT_RECVBUF, ReceiveBufferMessages);
        nng_socket_set_bool(m_socket, NNG_OPT_TCP_KEEPALIVE, true);
    }

    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
};

/// A request from send() until its callback was called.
struct link_request
{
    std::string peer;
    result<std::string, peer_message_error> bytes;
    time_point deadline;
    peer_link::reply_function onReply;
};

/// A peer's socket and the requests to it.
struct linked_peer
{
    std::string address;
    owned_socket socket;
    owned_socket replaced;    ///< The former socket, which may still bring replies.
    time_point replacedUntil; ///< All requests sent on the former socket have ended by then.
    std::deque<std::uint32_t> unsent; ///< Ids, oldest first.
    std::size_t inFlight = 0;
    std::size_t unanswered = 0;            ///< Of those in flight, the ones that were sent.
    std::optional<time_point> silentSince; ///< First request sent since the last answer.
};

} // namespace

class peer_link::impl
{
public:
    impl(const peer_link_options &options, serve_function serve)
        : m_options(options)
        , m_serve(std::move(serve))
        , m_wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }

    ~impl()
    {
        close();
        ::close(m_wake);
    }

    int start()
    {
        if (const int code = m_server.openReplier(m_options.address))
            return code;
        m_thread = std::thread([this] { run(); });
        return 0;
    }

    void close()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_stopping = true;
        }
        wake();
        if (m_thread.joinable())
            m_thread.join();
    }

    void setPeers(const std::map<std::string, std::string> &addresses)
    {
        post([this, addresses] { changePeers(addresses); }, false);
    }

    bool send(const std::string &peer, const peer_message &message, reply_function onReply)
    {
        auto request = std::make_shared<link_request>(
                link_request{ peer, formatPeerMessage(message), steadyNow() + m_options.timeout,
                              std::move(onReply) });
        return post([this, request] { begin(std::move(*request)); }, true);
    }

    peer_link_statistics statistics() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_published;
    }

private:
    /// Hands work to the thread. Returns false when it cannot be taken.
    bool post(std::function<void()> work, bool bounded)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_stopping || (bounded && m_work.size() >= m_options.maxQueued))
                return false;
            m_work.push_back(std::move(work));
        }
        wake();
        return true;
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        // A full counter wakes the thread too.
        [[maybe_unused]] const ssize_t written = write(m_wake, &one, sizeof(one));
    }

    void run()
    {
        std::deque<std::function<void()>> work;
        while (takeWork(work)) {
            runWork(work);
            if (!runStep(Component, "", [this] { takeTurn(); }))
                std::this_thread::sleep_for(FailedRoundDelay);
        }
        runWork(work);
        runStep(Component, "", [this] { changePeers({}); });
    }

    static void runWork(const std::deque<std::function<void()>> &work)
    {
        for (const auto &item : work)
            runStep(Component, "", item);
    }

    void takeTurn()
    {
        serveRequests();
        for (auto &item : m_peers) {
            takeReplies(item.first, *item.second, item.second->socket);
            takeReplies(item.first, *item.second, item.second->replaced);
            sendUnsent(item.second);
        }
        expire(steadyNow());
        wait();
    }

    /// Returns false when the link is closing.
    bool takeWork(std::deque<std::function<void()>> &work)
    {
        work.clear();
        const std::lock_guard<std::mutex> lock(m_mutex);
        work.swap(m_work);
        m_published = m_statistics;
        return !m_stopping;
    }

    void begin(link_request request)
    {
        const auto found = m_peers.find(request.peer);
        if (found == m_peers.end())
            return refuse(request, peer_link_error::UnknownPeer, "the peer is not known");
        if (!isOk(request.bytes))
            return refuse(request, peer_link_error::Malformed, errorOf(request.bytes).text);
        if (found->second->inFlight >= m_options.maxInFlight)
            return refuse(request, peer_link_error::QueueFull, "too many requests to the peer");
        const std::uint32_t id = RequestIdMark | m_nextId++;
        ++found->second->inFlight;
        found->second->unsent.push_back(id);
        m_requests.emplace(id, std::move(request));
    }

    void refuse(const link_request &request, peer_link_error code, const std::string &text)
    {
        ++m_statistics.refused;
        runStep(Component, "", [&] { request.onReply(makeError(code, text, request.peer)); });
    }

    void finish(std::uint32_t id, const peer_reply &reply)
    {
        const auto found = m_requests.find(id);
        const link_request request = std::move(found->second);
        m_requests.erase(found);
        const auto peer = m_peers.find(request.peer);
        if (peer != m_peers.end()) {
            auto &unsent = peer->second->unsent;
            const auto waiting = std::find(unsent.begin(), unsent.end(), id);
            if (waiting != unsent.end())
                unsent.erase(waiting);
            else
                --peer->second->unanswered;
            --peer->second->inFlight;
        }
        runStep(Component, "", [&] { request.onReply(reply); });
    }

    void serveRequests()
    {
        message_holder message;
        for (int i = 0; i < MessagesPerTurn && message.receive(m_server.get()); ++i) {
            const auto decoded = decodePeerMessage(message.body());
            if (!isOk(decoded)) {
                ++m_statistics.malformed; // No reply: the sender's request times out.
                continue;
            }
            bool sent = false;
            runStep(Component, "", [&] { sent = reply(message, valueOf(decoded)); });
            ++(sent ? m_statistics.served : m_statistics.droppedReplies);
        }
    }

    bool reply(message_holder &message, const peer_message &request)
    {
        const auto answer = formatPeerMessage(m_serve(request));
        return isOk(answer) && message.replaceBody(valueOf(answer)) && message.send(m_server.get());
    }

    void sendUnsent(const std::unique_ptr<linked_peer> &peer)
    {
        while (!peer->unsent.empty() && peer->unanswered < MaxUnanswered) {
            const std::uint32_t id = peer->unsent.front();
            message_holder message;
            if (!message.make(id, valueOf(m_requests.at(id).bytes))
                || !message.send(peer->socket.get()))
                return;
            peer->unsent.pop_front();
            ++peer->unanswered;
            ++m_statistics.sent;
            if (!peer->silentSince)
                peer->silentSince = steadyNow();
        }
    }

    void takeReplies(const std::string &name, linked_peer &peer, const owned_socket &socket)
    {
        message_holder message;
        for (int i = 0; i < MessagesPerTurn && message.receive(socket.get()); ++i) {
            peer.silentSince.reset();
            const auto id = message.requestId();
            const auto request = id ? m_requests.find(*id) : m_requests.end();
            if (request == m_requests.end() || request->second.peer != name)
                continue; // Late, or not asked for.
            const auto decoded = decodePeerMessage(message.body());
            ++(isOk(decoded) ? m_statistics.answered : m_statistics.malformed);
            if (isOk(decoded))
                finish(*id, valueOf(decoded));
            else
                finish(*id, makeError(peer_link_error::Malformed, errorOf(decoded).text, name));
        }
    }

    void expire(time_point now)
    {
        std::vector<std::uint32_t> over;
        for (const auto &item : m_requests) {
            if (item.second.deadline <= now)
                over.push_back(item.first);
        }
        for (const std::uint32_t id : over) {
            ++m_statistics.timedOut;
            finish(id, makeError(peer_link_error::Timeout, "the peer did not answer in time",
                                 m_requests.at(id).peer));
        }
        for (auto &item : m_peers)
            replaceSilent(*item.second, now);
    }

    void replaceSilent(linked_peer &peer, time_point now)
    {
        if (now >= peer.replacedUntil)
            peer.replaced.close();
        if (!peer.silentSince || now - *peer.silentSince < m_options.silentLimit)
            return;
        peer.silentSince.reset();
        ++m_statistics.reconnected;
        peer.replaced.swap(peer.socket);
        peer.replacedUntil = now + m_options.timeout;
        peer.socket.openRequester(peer.address, m_options);
    }

    void changePeers(const std::map<std::string, std::string> &addresses)
    {
        std::vector<std::string> gone;
        for (const auto &item : m_peers) {
            const auto kept = addresses.find(item.first);
            if (kept == addresses.end() || kept->second != item.second->address)
                gone.push_back(item.first);
        }
        for (const std::string &name : gone)
            removePeer(name);
        for (const auto &[name, address] : addresses) {
            auto peer = std::make_unique<linked_peer>();
            peer->address = address;
            if (m_peers.count(name) == 0 && peer->socket.openRequester(address, m_options) == 0)
                m_peers.emplace(name, std::move(peer));
        }
    }

    void removePeer(const std::string &name)
    {
        m_peers.erase(name);
        std::vector<std::uint32_t> ended;
        for (const auto &item : m_requests) {
            if (item.second.peer == name)
                ended.push_back(item.first);
        }
        for (const std::uint32_t id : ended)
            finish(id, makeError(peer_link_error::Closed, "the peer was removed", name));
    }

    void wait()
    {
        std::vector<pollfd> watched{ { m_wake, POLLIN, 0 },
                                     { m_server.descriptor(NNG_OPT_RECVFD), POLLIN, 0 } };
        for (const auto &item : m_peers) {
            const linked_peer &peer = *item.second;
            watched.push_back({ peer.socket.descriptor(NNG_OPT_RECVFD), POLLIN, 0 });
            watched.push_back({ peer.replaced.descriptor(NNG_OPT_RECVFD), POLLIN, 0 });
            if (!peer.unsent.empty() && peer.unanswered < MaxUnanswered)
                watched.push_back({ peer.socket.descriptor(NNG_OPT_SENDFD), POLLIN, 0 });
        }
        duration longest = LongestPoll;
        const time_point now = steadyNow();
        for (const auto &item : m_requests)
            longest = std::min(longest, std::max(duration::zero(), item.second.deadline - now));
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(longest).count() + 1;
        poll(watched.data(), watched.size(), static_cast<int>(ms));
        std::uint64_t wakes = 0;
        [[maybe_unused]] const ssize_t got = read(m_wake, &wakes, sizeof(wakes));
    }

    const peer_link_options m_options;
    const serve_function m_serve;
    const int m_wake;

    // Used by the thread only.
    owned_socket m_server;
    std::map<std::string, std::unique_ptr<linked_peer>> m_peers;
    std::map<std::uint32_t, link_request> m_requests;
    std::uint32_t m_nextId = 1;
    peer_link_statistics m_statistics;

    mutable std::mutex m_mutex; ///< Guards the members below.
    std::deque<std::function<void()>> m_work;
    peer_link_statistics m_published;
    bool m_stopping = false;

    std::thread m_thread;
};

result<std::unique_ptr<peer_link>, peer_link_error> peer_link::open(
        const peer_link_options &options, serve_function serve)
{
    auto state = std::make_unique<impl>(options, std::move(serve));
    if (const int code = state->start())
        return makeError(toError(code), nng_strerror(code), options.address);
    return std::unique_ptr<peer_link>(new peer_link(std::move(state)));
}

peer_link::peer_link(std::unique_ptr<impl> state)
    : m_impl(std::move(state))
{
}

peer_link::~peer_link() = default;

void peer_link::close()
{
    m_impl->close();
}

void peer_link::setPeers(const std::map<std::string, std::string> &addresses)
{
    m_impl->setPeers(addresses);
}

bool peer_link::send(const std::string &peer, const peer_message &message, reply_function onReply)
{
    return m_impl->send(peer, message, std::move(onReply));
}

peer_link_statistics peer_link::statistics() const
{
    return m_impl->statistics();
}

} // namespace burdockhold
