#include "burdockhold/scheduler_message.h"

#include <utility>

namespace burdockhold {

namespace {

/// The first two bytes of a datagram: the format's version and the index of the message's type. A
/// digest, an array of MessagePack, begins with a byte above 0x7f.
constexpr char FormatVersion = 1;
constexpr std::size_t HeadBytes = 2;

template <typename Message>
scheduler_message unpack(std::string_view body)
{
    const msgpack::object_handle handle = msgpack::unpack(body.data(), body.size());
    return handle.get().as<Message>();
}

scheduler_message unpackAs(char type, std::string_view body)
{
    switch (type) {
    case 0:
        return unpack<placement_question>(body);
    case 1:
        return unpack<placement_answer>(body);
    default:
        return unpack<call_statement>(body);
    }
}

} // namespace

bool isSchedulerMessage(std::string_view bytes)
{
    return !bytes.empty() && bytes[0] == FormatVersion;
}

std::string encodeSchedulerMessage(const scheduler_message &message)
{
    msgpack::sbuffer buffer;
    std::visit([&buffer](const auto &content) { msgpack::pack(buffer, content); }, message);
    std::string bytes{ FormatVersion, static_cast<char>(message.index()) };
    return bytes.append(buffer.data(), buffer.size());
}

result<scheduler_message, scheduler_message_error> decodeSchedulerMessage(std::string_view bytes)
{
    using error = basic_error<scheduler_message_error>;
    if (bytes.size() < HeadBytes || bytes[0] != FormatVersion || bytes[1] < 0
        || static_cast<std::size_t>(bytes[1]) >= std::variant_size_v<scheduler_message>)
        return error{ scheduler_message_error::UnsupportedFormat, "unknown format or type",
                      "scheduler message" };
    try {
        return unpackAs(bytes[1], bytes.substr(HeadBytes));
    } catch (const std::exception &failure) {
        return error{ scheduler_message_error::NotReadable, failure.what(), "scheduler message" };
    }
}

} // namespace burdockhold
