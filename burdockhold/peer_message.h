#ifndef BURDOCKHOLD_PEER_MESSAGE_H
#define BURDOCKHOLD_PEER_MESSAGE_H

// Messages between VMs: an envelope (format version, sender, incarnation, message id) and one body.
// Encoded as MessagePack: an array of version, sender, incarnation, message id, kind and body. All
// messages are idempotent, because a request may be delivered more than once. decodePeerMessage()
// accepts only what formatPeerMessage() can produce within the limits below; anything else is an
// error, never a crash, and takes memory in proportion to the input.

#include "burdockhold/account_limits.h"
#include "burdockhold/clock.h"
#include "burdockhold/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockhold {

constexpr std::size_t MaxPeerMessageBytes = 1 << 20;
constexpr std::size_t MaxPeerNameBytes = 256;
constexpr std::size_t MaxHeartbeatDigests = 10000;
constexpr std::size_t MaxHeartbeatSuspects = 1000;
constexpr std::uint8_t PeerMessageVersion = 1;

/// Sent every second to each peer and answered with one.
struct heartbeat_message
{
    log_offset applied = 0; ///< Config offset up to which the sender has applied the log.
    std::vector<std::string> withdrawals; ///< Key digests pending for the log.
    std::vector<std::string> suspects;    ///< Digests of requests that crashed endpoints.
};

/// Tells a peer of a withdrawal at once. The answer is a withdraw_message with held = true.
struct withdraw_message
{
    std::string digest;
    bool held = false;
};

/// The body of a message. The index is the kind on the wire.
using peer_body =
        std::variant<heartbeat_message, grant_request, grant_reply, grant_return, withdraw_message>;

struct peer_message
{
    std::string sender; ///< VM name.
    std::uint64_t incarnation = 0;
    std::uint64_t messageId = 0;
    peer_body body;
};

enum class peer_message_error { Malformed, TooLarge, UnknownVersion, UnknownKind, OutOfBounds };

/// Returns the encoded message, or an error when it exceeds a limit.
result<std::string, peer_message_error> formatPeerMessage(const peer_message &message);

/// Decodes a message. Errors name the part in their context.
result<peer_message, peer_message_error> decodePeerMessage(std::string_view bytes);

} // namespace burdockhold

#endif
