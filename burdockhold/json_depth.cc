#include "burdockhold/json_depth.h"

#include <cstddef>

namespace burdockhold {

bool nestsTooDeep(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                inString = false;
        } else if (c == '"') {
            inString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > MaxJsonDepth)
                return true;
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return false;
}

} // namespace burdockhold
