#include "burdockhold/relay_message.h"

#include <algorithm>

namespace burdockhold {

namespace {

constexpr std::string_view Method = "CONNECT ";
constexpr std::string_view Version = " HTTP/1.1\r\n";

struct answer_status
{
    relay_answer answer;
    std::string_view line;
};

constexpr std::array<answer_status, 4> Statuses{ {
        { relay_answer::Connected, "HTTP/1.1 200 Connected\r\n" },
        { relay_answer::EndpointRefused, "HTTP/1.1 502 Endpoint Refused\r\n" },
        { relay_answer::EndpointSilent, "HTTP/1.1 504 Endpoint Silent\r\n" },
        { relay_answer::NotRelayed, "HTTP/1.1 503 Not Relayed\r\n" },
} };

/// Returns true for a target of a request line: without spaces, line ends and other bytes that are
/// not printable.
bool isTarget(std::string_view text)
{
    return !text.empty()
           && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

} // namespace

std::string encodeRelayRequest(std::string_view endpointAddress)
{
    const std::string address(endpointAddress);
    return std::string(Method) + address + std::string(Version) + "Host: " + address + "\r\n\r\n";
}

std::optional<std::string> decodeRelayRequest(std::string_view head)
{
    if (head.substr(0, Method.size()) != Method)
        return std::nullopt;
    head.remove_prefix(Method.size());
    const std::size_t end = head.find(Version);
    if (end == std::string_view::npos || !isTarget(head.substr(0, end)))
        return std::nullopt;
    return std::string(head.substr(0, end));
}

std::string encodeRelayAnswer(relay_answer answer)
{
    for (const answer_status &status : Statuses) {
        if (status.answer == answer)
            return std::string(status.line) + "\r\n";
    }
    return std::string(Statuses.back().line) + "\r\n";
}

relay_answer decodeRelayAnswer(std::string_view head)
{
    for (const answer_status &status : Statuses) {
        if (head.substr(0, status.line.size()) == status.line)
            return status.answer;
    }
    return relay_answer::NotRelayed;
}

} // namespace burdockhold
