#ifndef BURDOCKHOLD_STORE_ERA_H
#define BURDOCKHOLD_STORE_ERA_H

// The era of the platform's log. The log states it in its answers and raises it by one each time it
// returns from a copy; what it had acknowledged since that copy is lost then, and offsets and
// generations of groups are given out again.
//
// Promises:
// - Only the log's own answers decide which era is the current one. What other VMs state of it is a
//   hint that an answer may be awaited, so a wrong statement does not shut the log out.
// - The known era never falls, whichever answers arrive in which order. An answer that states an
//   earlier one is from before the return; nothing in it may be used.
// - A log that states no era is in era 0 for good, and nothing changes.
// - A statement that cannot be read counts as none, and is counted.
//
// Failure pattern: a log that returns from a copy while some VMs still wait for its earlier
// answers. The class reads no clock and does no I/O.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace burdockhold {

/// What an answer states of the era.
struct stated_era
{
    std::optional<std::int64_t> era; ///< Empty if the answer states none, or none that is readable.
    bool unreadable = false;
};

/// A rise of the known era.
struct era_change
{
    std::int64_t from = 0; ///< 0: none was known.
    std::int64_t to = 0;
};

class store_era
{
public:
    /// Returns the highest era that an answer of the log has stated, or 0.
    std::int64_t current() const { return m_current; }

    /// Returns the highest era that an answer or another VM has stated, or 0.
    std::int64_t newestHeardOf() const { return std::max(m_current, m_heardOf); }

    /// Handles the statement of an answer of the log.
    void observe(const stated_era &stated)
    {
        m_unreadable += stated.unreadable ? 1 : 0;
        if (!stated.era || *stated.era <= m_current)
            return;
        noteRise(*stated.era);
        m_change = era_change{ m_change ? m_change->from : m_current, *stated.era };
        m_current = *stated.era;
    }

    /// Returns true if the answer is of an earlier era than the known one.
    bool isOutdated(const stated_era &stated) const
    {
        return stated.era && *stated.era < m_current;
    }

    /// Handles the era that another VM has stated.
    void heardOf(std::int64_t era)
    {
        noteRise(era);
        m_heardOf = std::max(m_heardOf, era);
    }

    /// Returns true if an era has followed another one since this VM knows any.
    bool hasRisen() const { return m_hasRisen; }

    /// Returns the rise of the era since the last call, if there was one.
    std::optional<era_change> takeChange() { return std::exchange(m_change, std::nullopt); }

    /// Returns the number of unreadable statements since the last call.
    std::uint64_t takeUnreadable() { return std::exchange(m_unreadable, 0); }

private:
    void noteRise(std::int64_t era)
    {
        m_hasRisen = m_hasRisen || (newestHeardOf() > 0 && era > newestHeardOf());
    }

    std::int64_t m_current = 0;
    std::int64_t m_heardOf = 0;
    bool m_hasRisen = false;
    std::optional<era_change> m_change;
    std::uint64_t m_unreadable = 0;
};

} // namespace burdockhold

#endif
