#include "burdockhold/mechanisms.h"

#include <algorithm>

namespace burdockhold {

namespace {

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blanks = " \t";
    const auto first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

} // namespace

std::string mechanism_set::disabledNames() const
{
    std::string names;
    for (const auto &row : enum_names<mechanism>::Table) {
        if (uses(row.value))
            continue;
        names += names.empty() ? "" : ",";
        names += row.name;
    }
    return names;
}

result<mechanism_set, mechanism_error> parseDisabledMechanisms(std::string_view names)
{
    using error = basic_error<mechanism_error>;
    mechanism_set parsed;
    if (trimmed(names).empty())
        return parsed;
    for (std::size_t begin = 0; begin <= names.size();) {
        const std::size_t end = std::min(names.find(',', begin), names.size());
        const std::string name(trimmed(names.substr(begin, end - begin)));
        const auto which = parseName<mechanism>(name);
        if (!which)
            return error{ mechanism_error::UnknownName, "no mechanism is called '" + name + "'",
                          name };
        if (!parsed.uses(*which))
            return error{ mechanism_error::RepeatedName, "the mechanism '" + name + "' is repeated",
                          name };
        parsed.disable(*which);
        begin = end + 1;
    }
    return parsed;
}

} // namespace burdockhold
