#include "burdockhold/random_id.h"

#include <openssl/rand.h>

#include <vector>

namespace burdockhold {

std::string randomHex(std::size_t bytes)
{
    constexpr char Digits[] = "0123456789abcdef";
    std::vector<unsigned char> random(bytes);
    if (RAND_bytes(random.data(), int(bytes)) != 1)
        return {};
    std::string text;
    for (const unsigned char byte : random) {
        text += Digits[byte >> 4];
        text += Digits[byte & 15];
    }
    return text;
}

} // namespace burdockhold
