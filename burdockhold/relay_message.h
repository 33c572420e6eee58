#ifndef BURDOCKHOLD_RELAY_MESSAGE_H
#define BURDOCKHOLD_RELAY_MESSAGE_H

// The request by which a VM asks another one to relay a connection to an endpoint, and its answer:
// the CONNECT method of HTTP/1.1. The connection carries the endpoint's bytes unchanged after an
// answer with status 200, and is closed after any other one.

#include "burdockhold/enum_names.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhold {

/// How a request to relay was answered.
enum class relay_answer {
    Connected,       ///< The endpoint has accepted the connection.
    EndpointRefused, ///< No process listens at the endpoint's address.
    EndpointSilent,  ///< The endpoint could not be reached in time.
    NotRelayed,      ///< The VM does not relay now, or does not know the endpoint.
};

template <>
struct enum_names<relay_answer>
{
    static constexpr std::array<enum_name<relay_answer>, 4> Table{ {
            { relay_answer::Connected, "connected" },
            { relay_answer::EndpointRefused, "endpoint_refused" },
            { relay_answer::EndpointSilent, "endpoint_silent" },
            { relay_answer::NotRelayed, "not_relayed" },
    } };
};

/// Longest request or answer, with its final line end.
inline constexpr std::size_t MaxRelayMessageBytes = 1024;

std::string encodeRelayRequest(std::string_view endpointAddress);

/// Returns the endpoint's address if the head is a request to relay.
std::optional<std::string> decodeRelayRequest(std::string_view head);

std::string encodeRelayAnswer(relay_answer answer);

/// Returns NotRelayed for anything that is no answer of this kind, as that of an older build.
relay_answer decodeRelayAnswer(std::string_view head);

} // namespace burdockhold

#endif
