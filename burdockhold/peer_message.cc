#include "burdockhold/peer_message.h"

#include <msgpack.hpp>

#include <algorithm>
#include <cmath>
#include <exception>

namespace burdockhold {

namespace {

constexpr std::uint32_t EnvelopeFields = 6;

/// Bounds on what the decoder builds, whatever sizes the input claims.
const msgpack::unpack_limit decodeLimits(MaxHeartbeatDigests, 0, MaxPeerNameBytes, 0, 0, 4);

basic_error<peer_message_error> makeError(peer_message_error code, const char *text,
                                          const char *context)
{
    return { code, text, context };
}

// Wire forms: arrays of fields in the order of MSGPACK_DEFINE. They are separate from the structs
// of the decision code, which do not depend on the codec.

struct heartbeat_wire
{
    log_offset applied = 0;
    std::vector<std::string> withdrawals;
    std::vector<std::string> suspects;
    MSGPACK_DEFINE(applied, withdrawals, suspects)
};

struct grant_request_wire
{
    std::string account;
    std::uint64_t borrowerIncarnation = 0;
    std::uint64_t requestId = 0;
    double tokens = 0.0;
    MSGPACK_DEFINE(account, borrowerIncarnation, requestId, tokens)
};

struct grant_reply_wire
{
    std::string account;
    std::uint64_t borrowerIncarnation = 0;
    std::uint64_t requestId = 0;
    std::uint64_t minterIncarnation = 0;
    double tokens = 0.0;
    double remaining = 0.0;
    MSGPACK_DEFINE(account, borrowerIncarnation, requestId, minterIncarnation, tokens, remaining)
};

struct grant_return_wire
{
    std::string account;
    std::uint64_t borrowerIncarnation = 0;
    std::uint64_t requestId = 0;
    std::uint64_t minterIncarnation = 0;
    double returnedTotal = 0.0;
    MSGPACK_DEFINE(account, borrowerIncarnation, requestId, minterIncarnation, returnedTotal)
};

struct withdraw_wire
{
    std::string digest;
    bool held = false;
    MSGPACK_DEFINE(digest, held)
};

heartbeat_wire toWire(const heartbeat_message &m)
{
    return { m.applied, m.withdrawals, m.suspects };
}

grant_request_wire toWire(const grant_request &m)
{
    return { m.account, m.borrowerIncarnation, m.requestId, m.tokens };
}

grant_reply_wire toWire(const grant_reply &m)
{
    return { m.account,  m.borrowerIncarnation, m.requestId, m.minterIncarnation, m.tokens,
             m.remaining };
}

grant_return_wire toWire(const grant_return &m)
{
    return { m.account, m.borrowerIncarnation, m.requestId, m.minterIncarnation, m.returnedTotal };
}

withdraw_wire toWire(const withdraw_message &m)
{
    return { m.digest, m.held };
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= MaxPeerNameBytes;
}

bool isAmount(double tokens)
{
    return std::isfinite(tokens) && tokens >= 0.0;
}

bool areNames(const std::vector<std::string> &texts, std::size_t limit)
{
    return texts.size() <= limit && std::all_of(texts.begin(), texts.end(), isName);
}

bool isWithinLimits(const heartbeat_message &m)
{
    return areNames(m.withdrawals, MaxHeartbeatDigests)
           && areNames(m.suspects, MaxHeartbeatSuspects);
}

bool isWithinLimits(const grant_request &m)
{
    return isName(m.account) && isAmount(m.tokens);
}

bool isWithinLimits(const grant_reply &m)
{
    return isName(m.account) && isAmount(m.tokens) && isAmount(m.remaining);
}

bool isWithinLimits(const grant_return &m)
{
    return isName(m.account) && isAmount(m.returnedTotal);
}

bool isWithinLimits(const withdraw_message &m)
{
    return isName(m.digest);
}

bool isWithinLimits(const peer_message &message)
{
    return isName(message.sender)
           && std::visit([](const auto &m) { return isWithinLimits(m); }, message.body);
}

/// Converts an array of exactly as many fields as the wire form has. Throws msgpack::type_error.
template <typename Wire>
Wire readWire(const msgpack::object &object, std::uint32_t fields)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != fields)
        throw msgpack::type_error();
    return object.as<Wire>();
}

peer_body readBody(std::uint8_t kind, const msgpack::object &object)
{
    switch (kind) {
    case 0: {
        auto w = readWire<heartbeat_wire>(object, 3);
        return heartbeat_message{ w.applied, std::move(w.withdrawals), std::move(w.suspects) };
    }
    case 1: {
        auto w = readWire<grant_request_wire>(object, 4);
        return grant_request{ w.account, w.borrowerIncarnation, w.requestId, w.tokens };
    }
    case 2: {
        auto w = readWire<grant_reply_wire>(object, 6);
        return grant_reply{ w.account,   w.borrowerIncarnation,
                            w.requestId, w.minterIncarnation,
                            w.tokens,    w.remaining };
    }
    case 3: {
        auto w = readWire<grant_return_wire>(object, 5);
        return grant_return{ w.account, w.borrowerIncarnation, w.requestId, w.minterIncarnation,
                             w.returnedTotal };
    }
    default: {
        auto w = readWire<withdraw_wire>(object, 2);
        return withdraw_message{ w.digest, w.held };
    }
    }
}

/// Throws what the codec throws.
result<peer_message, peer_message_error> decodeOrThrow(std::string_view bytes)
{
    std::size_t end = 0;
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), end, nullptr,
                                                          nullptr, decodeLimits);
    const msgpack::object &object = handle.get();
    if (end != bytes.size() || object.type != msgpack::type::ARRAY
        || object.via.array.size != EnvelopeFields)
        return makeError(peer_message_error::Malformed, "the envelope has another form",
                         "envelope");
    const msgpack::object *fields = object.via.array.ptr;
    if (fields[0].as<std::uint8_t>() != PeerMessageVersion)
        return makeError(peer_message_error::UnknownVersion, "unknown format version", "version");
    const auto kind = fields[4].as<std::uint8_t>();
    if (kind >= std::variant_size_v<peer_body>)
        return makeError(peer_message_error::UnknownKind, "unknown kind of message", "kind");
    peer_message message{ fields[1].as<std::string>(), fields[2].as<std::uint64_t>(),
                          fields[3].as<std::uint64_t>(), readBody(kind, fields[5]) };
    if (!isWithinLimits(message))
        return makeError(peer_message_error::OutOfBounds, "a field exceeds its limit", "body");
    return message;
}

} // namespace

result<std::string, peer_message_error> formatPeerMessage(const peer_message &message)
{
    if (!isWithinLimits(message))
        return makeError(peer_message_error::OutOfBounds, "a field exceeds its limit", "body");
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(EnvelopeFields);
    packer.pack(PeerMessageVersion);
    packer.pack(message.sender);
    packer.pack(message.incarnation);
    packer.pack(message.messageId);
    packer.pack(static_cast<std::uint8_t>(message.body.index()));
    std::visit([&](const auto &m) { packer.pack(toWire(m)); }, message.body);
    if (buffer.size() > MaxPeerMessageBytes)
        return makeError(peer_message_error::TooLarge, "the message is too large", "envelope");
    return std::string(buffer.data(), buffer.size());
}

result<peer_message, peer_message_error> decodePeerMessage(std::string_view bytes)
{
    if (bytes.size() > MaxPeerMessageBytes)
        return makeError(peer_message_error::TooLarge, "the message is too large", "envelope");
    try {
        return decodeOrThrow(bytes);
    } catch (const std::exception &) {
        return makeError(peer_message_error::Malformed, "the bytes are no message", "envelope");
    }
}

} // namespace burdockhold
