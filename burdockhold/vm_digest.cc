#include "burdockhold/vm_digest.h"

#include <xxhash.h>

#include <algorithm>

namespace burdockhold {

std::string encodeDigest(const vm_digest &digest)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, digest);
    return { buffer.data(), buffer.size() };
}

result<vm_digest, digest_error> decodeDigest(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        return handle.get().as<vm_digest>();
    } catch (const std::exception &error) {
        return basic_error<digest_error>{ digest_error::NotReadable, error.what(), "digest" };
    }
}

std::uint32_t shortHash(std::string_view name)
{
    return XXH32(name.data(), name.size(), 0);
}

std::uint32_t digestMilliseconds(duration time)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, UINT32_MAX));
}

} // namespace burdockhold
