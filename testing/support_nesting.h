#ifndef BURDOCKHOLD_SUPPORT_NESTING_H
#define BURDOCKHOLD_SUPPORT_NESTING_H

// JSON that is nested so deeply that reading it recursively exhausts the stack.

#include <string>

namespace burdockhold::testing {

inline constexpr int NestedLevels = 100000;

inline std::string nestedArrays()
{
    return std::string(NestedLevels, '[') + std::string(NestedLevels, ']');
}

inline std::string nestedObjects()
{
    std::string text;
    for (int level = 0; level < NestedLevels; ++level)
        text += R"({"a":)";
    return text + "1" + std::string(NestedLevels, '}');
}

} // namespace burdockhold::testing

#endif
