#include "burdockhold/topic_changelog.h"

#include <algorithm>

namespace burdockhold {

topic_changelog::topic_changelog(std::size_t maxTombstones)
    : m_maxTombstones(maxTombstones)
{
}

void topic_changelog::put(const std::string &key, const std::string &value)
{
    const auto [found, isNew] = m_values.try_emplace(key);
    sequenced_value &current = found->second;
    if (!isNew && !current.removed && current.value == value)
        return;
    if (current.removed)
        --m_tombstones;
    current = { ++m_sequenceNumber, false, value };
}

void topic_changelog::remove(const std::string &key)
{
    const auto found = m_values.find(key);
    if (found == m_values.end() || found->second.removed)
        return;
    found->second = { ++m_sequenceNumber, true, {} };
    ++m_tombstones;
    pruneTombstones();
}

void topic_changelog::keepOnly(const std::set<std::string> &keys)
{
    std::vector<std::string> removedKeys;
    for (const auto &[key, value] : m_values) {
        if (!value.removed && keys.count(key) == 0)
            removedKeys.push_back(key);
    }
    for (const std::string &key : removedKeys)
        remove(key);
}

void topic_changelog::requireSnapshots()
{
    m_prunedUpTo = ++m_sequenceNumber;
}

/// Discards the older half of the tombstones once there are more than m_maxTombstones.
void topic_changelog::pruneTombstones()
{
    if (m_tombstones <= m_maxTombstones)
        return;
    std::vector<std::uint64_t> sequenceNumbers;
    for (const auto &[key, value] : m_values) {
        if (value.removed)
            sequenceNumbers.push_back(value.sequenceNumber);
    }
    const auto middle = sequenceNumbers.begin()
                        + static_cast<std::ptrdiff_t>(sequenceNumbers.size() / 2);
    std::nth_element(sequenceNumbers.begin(), middle, sequenceNumbers.end());
    m_prunedUpTo = std::max(m_prunedUpTo, *middle);
    for (auto row = m_values.begin(); row != m_values.end();) {
        const bool prune = row->second.removed && row->second.sequenceNumber <= m_prunedUpTo;
        m_tombstones -= prune ? 1 : 0;
        row = prune ? m_values.erase(row) : std::next(row);
    }
}

topic_changes topic_changelog::since(std::uint64_t sequenceNumber) const
{
    topic_changes changes;
    changes.sequenceNumber = m_sequenceNumber;
    changes.isSnapshot = sequenceNumber == 0 || sequenceNumber < m_prunedUpTo
                         || sequenceNumber > m_sequenceNumber;
    for (const auto &[key, value] : m_values) {
        const bool included = changes.isSnapshot ? !value.removed
                                                 : value.sequenceNumber > sequenceNumber;
        if (included)
            changes.records.push_back({ key, value.removed, value.value });
    }
    return changes;
}

} // namespace burdockhold
