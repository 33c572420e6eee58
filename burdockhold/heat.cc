#include "burdockhold/heat.h"

#include <algorithm>
#include <cmath>

namespace burdockhold {
namespace {

/// Counts are rescaled after this many half-lives, long before a double overflows.
constexpr double RescaleHalfLives = 40.0;
/// Level of a prefix with less than one decayed request.
constexpr int NoLevel = -1;
constexpr int MaxLevel = 60;

} // namespace

heat_sketch::heat_sketch(const heat_options &options)
    : m_options(options)
{
    m_options.capacity = std::max<std::size_t>(m_options.capacity, 1);
    m_options.halfLife = std::max(m_options.halfLife, duration(1));
    m_entries.reserve(m_options.capacity);
    m_index.reserve(m_options.capacity);
}

double heat_sketch::growth(time_point now) const
{
    return std::exp2(toSeconds(now - m_epoch) / toSeconds(m_options.halfLife));
}

void heat_sketch::rescale(time_point now)
{
    const double factor = 1.0 / growth(now);
    for (heat_entry &entry : m_entries) {
        entry.count *= factor;
        entry.error *= factor;
    }
    m_epoch = now;
}

int heat_sketch::settle(int level, double count) const
{
    if (count < 1.0 && (level <= 0 || count < m_options.hysteresis))
        return level == 0 && count >= m_options.hysteresis ? 0 : NoLevel;
    while (level < MaxLevel && count >= std::exp2(level + 1))
        ++level;
    while (level > 0 && count < std::exp2(level) * m_options.hysteresis)
        --level;
    return std::max(level, 0);
}

std::size_t heat_sketch::smallest() const
{
    const auto less = [](const heat_entry &a, const heat_entry &b) { return a.count < b.count; };
    return static_cast<std::size_t>(std::min_element(m_entries.begin(), m_entries.end(), less)
                                    - m_entries.begin());
}

void heat_sketch::record(std::uint64_t prefix, time_point now)
{
    if (toSeconds(now - m_epoch) > RescaleHalfLives * toSeconds(m_options.halfLife))
        rescale(now);
    const double scale = growth(now);
    auto found = m_index.find(prefix);
    if (found == m_index.end()) {
        heat_entry entry{ prefix, 0.0, 0.0, NoLevel };
        std::size_t position = m_entries.size();
        if (m_entries.size() < m_options.capacity) {
            m_entries.push_back(entry);
        } else {
            position = smallest();
            entry.count = entry.error = m_entries[position].count;
            m_index.erase(m_entries[position].prefix);
            m_entries[position] = entry;
        }
        found = m_index.emplace(prefix, position).first;
    }
    heat_entry &entry = m_entries[found->second];
    entry.count += scale;
    entry.level = settle(entry.level, (entry.count - entry.error) / scale);
}

double heat_sketch::count(std::uint64_t prefix, time_point now) const
{
    const auto found = m_index.find(prefix);
    if (found == m_index.end())
        return 0.0;
    const heat_entry &entry = m_entries[found->second];
    return (entry.count - entry.error) / growth(now);
}

double heat_sketch::settledCount(std::uint64_t prefix, time_point now) const
{
    const auto found = m_index.find(prefix);
    if (found == m_index.end())
        return 0.0;
    const int level = settle(m_entries[found->second].level, count(prefix, now));
    return level == NoLevel ? 0.0 : std::exp2(level);
}

double heat_sketch::ratePerSecond(std::uint64_t prefix, std::size_t vms, time_point now) const
{
    const double meanLifetime = toSeconds(m_options.halfLife) / std::log(2.0);
    return count(prefix, now) * static_cast<double>(vms) / meanLifetime;
}

std::vector<heat_entry> heat_sketch::exportEntries(time_point now) const
{
    const double factor = 1.0 / growth(now);
    std::vector<heat_entry> entries = m_entries;
    for (heat_entry &entry : entries) {
        entry.count *= factor;
        entry.error *= factor;
        entry.level = settle(entry.level, entry.count - entry.error);
    }
    std::sort(entries.begin(), entries.end(), [](const heat_entry &a, const heat_entry &b) {
        return a.count != b.count ? a.count > b.count : a.prefix < b.prefix;
    });
    return entries;
}

void heat_sketch::importEntries(const std::vector<heat_entry> &entries, time_point now)
{
    std::vector<heat_entry> merged = exportEntries(now);
    std::unordered_map<std::uint64_t, std::size_t> positions;
    for (std::size_t i = 0; i < merged.size(); ++i)
        positions.emplace(merged[i].prefix, i);
    for (const heat_entry &entry : entries) {
        const bool valid = std::isfinite(entry.count) && std::isfinite(entry.error)
                           && entry.error >= 0.0 && entry.count >= entry.error;
        if (!valid)
            continue;
        const auto [position, added] = positions.emplace(entry.prefix, merged.size());
        if (added) {
            merged.push_back(entry);
            merged.back().level = std::clamp(entry.level, NoLevel, MaxLevel);
        } else {
            heat_entry &own = merged[position->second];
            own.count += entry.count;
            own.error += entry.error;
        }
    }
    std::sort(merged.begin(), merged.end(), [](const heat_entry &a, const heat_entry &b) {
        return a.count != b.count ? a.count > b.count : a.prefix < b.prefix;
    });
    if (merged.size() > m_options.capacity)
        merged.resize(m_options.capacity);
    m_entries = std::move(merged);
    m_entries.reserve(m_options.capacity);
    m_epoch = now;
    m_index.clear();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        m_entries[i].level = settle(m_entries[i].level, m_entries[i].count - m_entries[i].error);
        m_index.emplace(m_entries[i].prefix, i);
    }
}

} // namespace burdockhold
