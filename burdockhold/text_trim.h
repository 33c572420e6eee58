#ifndef BURDOCKHOLD_TEXT_TRIM_H
#define BURDOCKHOLD_TEXT_TRIM_H

#include <string_view>

namespace burdockhold {

/// Returns the text without the spaces and tabs at its ends.
inline std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blanks = " \t";
    const auto first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

} // namespace burdockhold

#endif
