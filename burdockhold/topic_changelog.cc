#include "burdockhold/topic_changelog.h"

#include <algorithm>

namespace burdockhold {

topic_changelog::topic_changelog(std::size_t maxRemoved)
    : m_maxRemoved(maxRemoved)
{
}

void topic_changelog::put(const std::string &key, const std::string &value)
{
    const auto [found, isNew] = m_values.try_emplace(key);
    numbered_value &known = found->second;
    if (!isNew && !known.removed && known.value == value)
        return;
    if (known.removed)
        --m_removed;
    known = { ++m_number, false, value };
}

void topic_changelog::remove(const std::string &key)
{
    const auto found = m_values.find(key);
    if (found == m_values.end() || found->second.removed)
        return;
    found->second = { ++m_number, true, {} };
    ++m_removed;
    forgetRemovals();
}

void topic_changelog::keepOnly(const std::set<std::string> &keys)
{
    std::vector<std::string> gone;
    for (const auto &[key, value] : m_values) {
        if (!value.removed && keys.count(key) == 0)
            gone.push_back(key);
    }
    for (const std::string &key : gone)
        remove(key);
}

/// Forgets the older half of the removals once there are too many.
void topic_changelog::forgetRemovals()
{
    if (m_removed <= m_maxRemoved)
        return;
    std::vector<std::uint64_t> numbers;
    for (const auto &[key, value] : m_values) {
        if (value.removed)
            numbers.push_back(value.number);
    }
    const auto middle = numbers.begin() + static_cast<std::ptrdiff_t>(numbers.size() / 2);
    std::nth_element(numbers.begin(), middle, numbers.end());
    m_forgottenUpTo = *middle;
    for (auto row = m_values.begin(); row != m_values.end();) {
        const bool forget = row->second.removed && row->second.number <= m_forgottenUpTo;
        m_removed -= forget ? 1 : 0;
        row = forget ? m_values.erase(row) : std::next(row);
    }
}

topic_changes topic_changelog::since(std::uint64_t number) const
{
    topic_changes changes;
    changes.number = m_number;
    changes.whole = number == 0 || number < m_forgottenUpTo || number > m_number;
    for (const auto &[key, value] : m_values) {
        const bool told = changes.whole ? !value.removed : value.number > number;
        if (told)
            changes.records.push_back({ key, value.removed, value.value });
    }
    return changes;
}

} // namespace burdockhold
