#include "burdockhold/peer_link.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <atomic>
#include <cstring>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace burdockhold {

namespace {

/// nng's resend timer, set beyond any request's timeout. A lost reply is asked for again by the
/// layer above, which knows which messages are worth it.
constexpr nng_duration NoResendMs = 24 * 3600 * 1000;

peer_link_error toError(int code)
{
    switch (code) {
    case NNG_EADDRINUSE:
        return peer_link_error::AddressInUse;
    case NNG_EADDRINVAL:
    case NNG_EINVAL:
        return peer_link_error::BadAddress;
    case NNG_ETIMEDOUT:
        return peer_link_error::Timeout;
    case NNG_ECLOSED:
    case NNG_ECANCELED:
        return peer_link_error::Closed;
    default:
        return peer_link_error::Failed;
    }
}

basic_error<peer_link_error> makeError(peer_link_error code, const std::string &text,
                                       const std::string &context)
{
    return { code, text, context };
}

nng_msg *toMessage(const std::string &bytes)
{
    nng_msg *message = nullptr;
    if (nng_msg_alloc(&message, bytes.size()) != 0)
        return nullptr;
    std::memcpy(nng_msg_body(message), bytes.data(), bytes.size());
    return message;
}

std::string_view bytesOf(nng_msg *message)
{
    return { static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message) };
}

struct counters
{
    std::atomic<std::uint64_t> sent{ 0 };
    std::atomic<std::uint64_t> answered{ 0 };
    std::atomic<std::uint64_t> timedOut{ 0 };
    std::atomic<std::uint64_t> refusedLocally{ 0 };
    std::atomic<std::uint64_t> failed{ 0 };
    std::atomic<std::uint64_t> served{ 0 };
    std::atomic<std::uint64_t> malformed{ 0 };
};

} // namespace

/// One of a peer's slots for a request in flight: a context of the request socket and its aio.
struct peer_link::request
{
    peer *owner = nullptr;
    nng_ctx context = NNG_CTX_INITIALIZER;
    nng_aio *aio = nullptr;
    bool receiving = false;
    reply_function onReply;

    static void onEvent(void *argument);
    void advance();
    void finish(const peer_reply &reply);
};

struct peer_link::peer
{
    std::string name;
    std::string address;
    counters *statistics = nullptr;
    nng_duration timeoutMs = 0;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    std::vector<std::unique_ptr<request>> slots;
    std::mutex mutex; ///< Guards the members below.
    std::vector<request *> idle;
    bool closing = false;

    ~peer();
    int open(const peer_link_options &options);
    bool isClosing()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return closing;
    }
    void send(const std::string &bytes, reply_function onReply);
};

/// One context of the reply socket: receives a request, serves it and sends the reply, for ever.
struct peer_link::server
{
    const serve_function *serve = nullptr;
    counters *statistics = nullptr;
    nng_ctx context = NNG_CTX_INITIALIZER;
    nng_aio *aio = nullptr;
    bool sending = false;

    static void onEvent(void *argument);
    void receive();
    void answer(nng_msg *message);
};

struct peer_link::shared_state
{
    peer_link_options options;
    serve_function serve;
    counters statistics;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    std::vector<std::unique_ptr<server>> servers;
    mutable std::mutex mutex; ///< Guards peers.
    std::map<std::string, std::shared_ptr<peer>> peers;

    ~shared_state();
    int listen();
};

void peer_link::request::onEvent(void *argument)
{
    static_cast<request *>(argument)->advance();
}

void peer_link::request::advance()
{
    const int code = nng_aio_result(aio);
    if (code != 0) {
        if (!receiving)
            nng_msg_free(nng_aio_get_msg(aio));
        nng_aio_set_msg(aio, nullptr);
        ++(code == NNG_ETIMEDOUT ? owner->statistics->timedOut : owner->statistics->failed);
        finish(makeError(toError(code), nng_strerror(code), owner->name));
        return;
    }
    if (!receiving) {
        receiving = true;
        if (owner->isClosing()) {
            finish(makeError(peer_link_error::Closed, "the link was closed", owner->name));
            return;
        }
        nng_ctx_recv(context, aio);
        return;
    }
    nng_msg *message = nng_aio_get_msg(aio);
    nng_aio_set_msg(aio, nullptr);
    auto decoded = decodePeerMessage(bytesOf(message));
    nng_msg_free(message);
    if (isOk(decoded)) {
        ++owner->statistics->answered;
        finish(std::move(valueOf(decoded)));
    } else {
        ++owner->statistics->malformed;
        finish(makeError(peer_link_error::Malformed, errorOf(decoded).text, owner->name));
    }
}

void peer_link::request::finish(const peer_reply &reply)
{
    const reply_function callback = std::exchange(onReply, nullptr);
    callback(reply);
    // The slot is free only after the callback, so that closing the peer waits for it.
    const std::lock_guard<std::mutex> lock(owner->mutex);
    owner->idle.push_back(this);
}

int peer_link::peer::open(const peer_link_options &options)
{
    timeoutMs = options.timeoutMs;
    if (const int code = nng_req0_open(&socket))
        return code;
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, options.reconnectMinMs);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, options.reconnectMaxMs);
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, MaxPeerMessageBytes);
    for (std::size_t i = 0; i < options.maxInFlight; ++i) {
        auto slot = std::make_unique<request>();
        slot->owner = this;
        if (const int code = nng_ctx_open(&slot->context, socket))
            return code;
        nng_ctx_set_ms(slot->context, NNG_OPT_REQ_RESENDTIME, NoResendMs);
        if (const int code = nng_aio_alloc(&slot->aio, request::onEvent, slot.get()))
            return code;
        idle.push_back(slot.get());
        slots.push_back(std::move(slot));
    }
    return nng_dial(socket, address.c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

peer_link::peer::~peer()
{
    {
        const std::lock_guard<std::mutex> lock(mutex);
        closing = true;
    }
    // Known fault: closing while callbacks send can wait for ever. nng_aio_stop() before closing
    // was seen to do the same.
    nng_close(socket);
    for (const auto &slot : slots)
        nng_aio_wait(slot->aio);
    for (const auto &slot : slots)
        nng_aio_free(slot->aio);
}

void peer_link::peer::send(const std::string &bytes, reply_function onReply)
{
    request *slot = nullptr;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (!closing && !idle.empty()) {
            slot = idle.back();
            idle.pop_back();
        }
    }
    nng_msg *message = slot == nullptr ? nullptr : toMessage(bytes);
    if (message == nullptr) {
        if (slot != nullptr) {
            const std::lock_guard<std::mutex> lock(mutex);
            idle.push_back(slot);
        }
        ++statistics->refusedLocally;
        onReply(makeError(peer_link_error::QueueFull, "too many requests in flight", name));
        return;
    }
    ++statistics->sent;
    slot->onReply = std::move(onReply);
    slot->receiving = false;
    nng_aio_set_timeout(slot->aio, timeoutMs);
    nng_aio_set_msg(slot->aio, message);
    nng_ctx_send(slot->context, slot->aio);
}

void peer_link::server::onEvent(void *argument)
{
    auto *self = static_cast<server *>(argument);
    const int code = nng_aio_result(self->aio);
    if (self->sending) {
        if (code != 0)
            nng_msg_free(nng_aio_get_msg(self->aio));
        nng_aio_set_msg(self->aio, nullptr);
        if (code != NNG_ECLOSED && code != NNG_ECANCELED)
            self->receive();
        return;
    }
    if (code == NNG_ECLOSED || code == NNG_ECANCELED)
        return;
    if (code != 0) {
        self->receive();
        return;
    }
    nng_msg *message = nng_aio_get_msg(self->aio);
    nng_aio_set_msg(self->aio, nullptr);
    self->answer(message);
}

void peer_link::server::receive()
{
    sending = false;
    nng_ctx_recv(context, aio);
}

void peer_link::server::answer(nng_msg *message)
{
    const auto decoded = decodePeerMessage(bytesOf(message));
    nng_msg_free(message);
    if (!isOk(decoded)) {
        ++statistics->malformed;
        receive(); // No reply: the sender's request times out.
        return;
    }
    const auto bytes = formatPeerMessage((*serve)(valueOf(decoded)));
    nng_msg *reply = isOk(bytes) ? toMessage(valueOf(bytes)) : nullptr;
    if (reply == nullptr) {
        receive();
        return;
    }
    ++statistics->served;
    sending = true;
    nng_aio_set_msg(aio, reply);
    nng_ctx_send(context, aio);
}

int peer_link::shared_state::listen()
{
    if (const int code = nng_rep0_open(&socket))
        return code;
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, MaxPeerMessageBytes);
    for (std::size_t i = 0; i < options.servingContexts; ++i) {
        auto s = std::make_unique<server>();
        s->serve = &serve;
        s->statistics = &statistics;
        if (const int code = nng_ctx_open(&s->context, socket))
            return code;
        if (const int code = nng_aio_alloc(&s->aio, server::onEvent, s.get()))
            return code;
        servers.push_back(std::move(s));
    }
    if (const int code = nng_listen(socket, options.address.c_str(), nullptr, 0))
        return code;
    for (const auto &s : servers)
        s->receive();
    return 0;
}

peer_link::shared_state::~shared_state()
{
    peers.clear();
    for (const auto &s : servers)
        nng_aio_stop(s->aio);
    nng_close(socket);
    for (const auto &s : servers)
        nng_aio_free(s->aio);
}

result<std::unique_ptr<peer_link>, peer_link_error> peer_link::open(
        const peer_link_options &options, serve_function serve)
{
    auto state = std::make_unique<shared_state>();
    state->options = options;
    state->serve = std::move(serve);
    if (const int code = state->listen())
        return makeError(toError(code), nng_strerror(code), options.address);
    return std::unique_ptr<peer_link>(new peer_link(std::move(state)));
}

peer_link::peer_link(std::unique_ptr<shared_state> state)
    : m_state(std::move(state))
{
}

peer_link::~peer_link()
{
    setPeers({});
}

void peer_link::setPeers(const std::map<std::string, std::string> &addresses)
{
    std::map<std::string, std::shared_ptr<peer>> next;
    std::map<std::string, std::shared_ptr<peer>> old;
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        old = m_state->peers;
    }
    for (const auto &[name, address] : addresses) {
        const auto known = old.find(name);
        if (known != old.end() && known->second->address == address) {
            next.insert(*known);
            continue;
        }
        auto added = std::make_shared<peer>();
        added->name = name;
        added->address = address;
        added->statistics = &m_state->statistics;
        if (added->open(m_state->options) == 0)
            next.emplace(name, std::move(added));
    }
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        m_state->peers.swap(next);
        old = m_state->peers;
    }
    // A send() in progress still refers to its peer. The peer must not end there: send() may run in
    // one of the peer's callbacks, which closing the peer waits for.
    for (auto &[name, known] : next) {
        const bool kept = old.count(name) != 0 && old[name] == known;
        while (!kept && known.use_count() > 1)
            std::this_thread::yield();
    }
}

void peer_link::send(const std::string &name, const peer_message &message, reply_function onReply)
{
    std::shared_ptr<peer> target;
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        const auto found = m_state->peers.find(name);
        if (found != m_state->peers.end())
            target = found->second;
    }
    const auto bytes = formatPeerMessage(message);
    if (target && isOk(bytes)) {
        target->send(valueOf(bytes), std::move(onReply));
        return;
    }
    ++m_state->statistics.refusedLocally;
    if (target)
        onReply(makeError(peer_link_error::Malformed, errorOf(bytes).text, name));
    else
        onReply(makeError(peer_link_error::UnknownPeer, "the peer is not in the VM list", name));
}

peer_link_statistics peer_link::statistics() const
{
    const counters &c = m_state->statistics;
    return { c.sent, c.answered, c.timedOut, c.refusedLocally, c.failed, c.served, c.malformed };
}

} // namespace burdockhold
