#include "burdockhold/mechanisms.h"

#include "burdockhold/text_trim.h"

#include <algorithm>

namespace burdockhold {

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
