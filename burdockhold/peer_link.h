#ifndef BURDOCKHOLD_PEER_LINK_H
#define BURDOCKHOLD_PEER_LINK_H

// Requests and replies between VMs over nng. A link serves requests at its own address and sends
// requests to peers with a timeout. Requests are not sent again after a time, but nng sends an
// unanswered one again when its connection is replaced: every message must be idempotent.
//
// Limits: at most maxInFlight requests to one peer; further ones fail at once with QueueFull. One
// request is served at a time per serving context, with servingContexts of them. Messages beyond
// MaxPeerMessageBytes close the connection they came by. Callbacks run on nng's threads and must
// not block; they may call send().

#include "burdockhold/peer_message.h"
#include "burdockhold/result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace burdockhold {

enum class peer_link_error {
    AddressInUse,
    BadAddress,
    Timeout,
    UnknownPeer,
    QueueFull,
    Closed,
    Malformed,
    Failed
};

struct peer_link_options
{
    std::string address; ///< "tcp://IP:PORT" to serve at.
    std::size_t maxInFlight = 64;
    std::size_t servingContexts = 8;
    std::int32_t timeoutMs = 250;      ///< For sending a request, and again for its reply.
    std::int32_t reconnectMinMs = 20;  ///< First delay before connecting again.
    std::int32_t reconnectMaxMs = 500; ///< Longest delay before connecting again.
};

struct peer_link_statistics
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t refusedLocally = 0; ///< Queue full, unknown peer or not encodable.
    std::uint64_t failed = 0;
    std::uint64_t served = 0;
    std::uint64_t malformed = 0; ///< Requests and replies that could not be decoded.
};

using peer_reply = result<peer_message, peer_link_error>;

class peer_link
{
public:
    using serve_function = std::function<peer_message(const peer_message &)>;
    using reply_function = std::function<void(const peer_reply &)>;

    /// Listens and serves requests with serve, which may be called by several threads at once.
    static result<std::unique_ptr<peer_link>, peer_link_error> open(
            const peer_link_options &options, serve_function serve);

    /// Ends all requests with Closed and waits for running callbacks. Not to be called by one.
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// Sets the peers and their addresses, by VM name. Those that are gone or have moved are
    /// disconnected; their requests end with Closed. Not to be called by a callback.
    void setPeers(const std::map<std::string, std::string> &addresses);

    /// Sends a request; onReply is called exactly once, possibly before send() returns.
    void send(const std::string &peer, const peer_message &message, reply_function onReply);

    peer_link_statistics statistics() const;

private:
    struct shared_state;
    struct peer;
    struct request;
    struct server;

    explicit peer_link(std::unique_ptr<shared_state> state);

    std::unique_ptr<shared_state> m_state;
};

} // namespace burdockhold

#endif
