#ifndef BURDOCKHOLD_JSON_DEPTH_H
#define BURDOCKHOLD_JSON_DEPTH_H

// A bound on the nesting of JSON from outside, to be checked before the text is parsed.
//
// The JSON library parses, compares and destroys values without recursion, but copies and
// serialises them with one call per level, which exhausts the stack for deep nesting.

#include <string_view>

namespace burdockhold {

/// Deepest nesting of arrays and objects that is accepted.
inline constexpr int MaxJsonDepth = 64;

/// Returns true if arrays and objects of the text are nested deeper than MaxJsonDepth. The text
/// need not be valid JSON.
bool nestsTooDeep(std::string_view text);

} // namespace burdockhold

#endif
