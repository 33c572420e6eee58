#ifndef BURDOCKHOLD_SUPPORT_MUTATION_H
#define BURDOCKHOLD_SUPPORT_MUTATION_H

// Random changes of valid messages, for tests that decoders reject what is malformed.

#include <random>
#include <string>

namespace burdockhold::testing {

/// Returns the bytes with one to six random changes: a byte replaced, bytes erased or repeated, or
/// the end cut off.
inline std::string mutated(std::string bytes, std::mt19937 &random)
{
    for (unsigned change = 1 + random() % 6; change-- > 0 && !bytes.empty();) {
        const std::size_t at = random() % bytes.size();
        switch (random() % 4) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(at, 1 + random() % 8);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, random() % 40));
            break;
        default:
            bytes.resize(at);
        }
    }
    return bytes;
}

} // namespace burdockhold::testing

#endif
