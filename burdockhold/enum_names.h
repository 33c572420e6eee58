#ifndef BURDOCKHOLD_ENUM_NAMES_H
#define BURDOCKHOLD_ENUM_NAMES_H

// Tables of names for enumerations. An enumeration that appears in settings, records, logs or
// messages specialises enum_names with one row for each enumerator; nameOf() and parseName() then
// convert in both directions. Lookups are linear in the number of rows and never allocate.

#include <optional>
#include <string_view>

namespace burdockhold {

/// One row of a name table.
template <typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// Specialised for each enumeration with a static constexpr array called `Table`.
template <typename Enum>
struct enum_names;

/// Returns the name of value, or "unknown" when the table has no row for it.
template <typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const auto &row : enum_names<Enum>::Table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// Returns the enumerator called name, or nothing when there is none. Case matters.
template <typename Enum>
constexpr std::optional<Enum> parseName(std::string_view name)
{
    for (const auto &row : enum_names<Enum>::Table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace burdockhold

#endif
