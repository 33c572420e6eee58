#ifndef BURDOCKHOLD_FIELD_VALUES_H
#define BURDOCKHOLD_FIELD_VALUES_H

// Reads repeated header fields, of which Beast's find() returns the first alone.

#include <boost/beast/http/fields.hpp>

#include <string_view>
#include <vector>

namespace burdockhold {

/// Returns the values of all fields with the name, in their order. The values live as long as the
/// fields.
inline std::vector<std::string_view> valuesOf(const boost::beast::http::fields &fields,
                                              std::string_view name)
{
    std::vector<std::string_view> values;
    const auto range = fields.equal_range(boost::beast::string_view(name.data(), name.size()));
    for (auto field = range.first; field != range.second; ++field)
        values.emplace_back(field->value().data(), field->value().size());
    return values;
}

} // namespace burdockhold

#endif
