#include "burdockhold/known_vms.h"

#include <algorithm>
#include <iterator>

namespace burdockhold {

known_vms::known_vms(std::uint32_t self)
    : m_self(self)
    , m_list{ self }
{
}

void known_vms::update(std::vector<std::uint32_t> others)
{
    others.push_back(m_self);
    std::sort(others.begin(), others.end());
    others.erase(std::unique(others.begin(), others.end()), others.end());
    std::vector<std::uint32_t> stillHeard;
    std::set_intersection(m_list.begin(), m_list.end(), others.begin(), others.end(),
                          std::back_inserter(stillHeard));
    const bool hearsMost = 2 * stillHeard.size() > m_list.size();
    if (!hearsMost) {
        std::vector<std::uint32_t> all;
        std::set_union(m_list.begin(), m_list.end(), others.begin(), others.end(),
                       std::back_inserter(all));
        others = std::move(all);
    }
    if (others == m_list)
        return;
    m_list = std::move(others);
    ++m_version;
}

} // namespace burdockhold
