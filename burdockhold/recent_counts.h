#ifndef BURDOCKHOLD_RECENT_COUNTS_H
#define BURDOCKHOLD_RECENT_COUNTS_H

// Counts within a sliding window, and the same for the window before it. Plain state with an
// explicit clock; times must not decrease.

#include "burdockhold/clock.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

namespace burdockhold {

/// Events since a time, with their exact times. Memory is linear in the events.
class recent_count
{
public:
    void add(double count, time_point now)
    {
        if (count <= 0.0)
            return;
        m_counts.emplace_back(now, count);
        m_total += count;
    }

    /// Drops the events before the given time.
    void expire(time_point before)
    {
        for (; !m_counts.empty() && m_counts.front().first < before; m_counts.pop_front())
            m_total -= m_counts.front().second;
    }

    double total() const { return m_total; }

    double since(time_point start) const
    {
        double total = 0.0;
        for (auto row = m_counts.rbegin(); row != m_counts.rend() && row->first >= start; ++row)
            total += row->second;
        return total;
    }

private:
    std::deque<std::pair<time_point, double>> m_counts;
    double m_total = 0.0;
};

/// Events of the last two windows of 10 s, in slots of 100 ms. Memory is constant. A slot that is
/// partly outside a window does not count for it.
class window_counts
{
public:
    void add(double count, time_point now) { slotAt(numberOf(now)).count += count; }

    /// Adds events that are known to lie evenly between two times.
    void addSpread(double count, time_point from, time_point now)
    {
        const std::int64_t last = numberOf(now);
        const std::int64_t first = std::min(numberOf(from), last);
        const std::int64_t kept = std::max(first, last - Slots + 1);
        const double each = count / static_cast<double>(last - first + 1);
        for (std::int64_t number = kept; number <= last; ++number)
            slotAt(number).count += each;
    }

    double current(time_point now) const { return sum(numberOf(now) - WindowSlots + 1, now); }
    double previous(time_point now) const
    {
        return sum(numberOf(now) - 2 * WindowSlots + 1, now) - current(now);
    }

private:
    static constexpr std::int64_t WindowSlots = 100;
    static constexpr std::int64_t Slots = 2 * WindowSlots;
    static constexpr duration SlotLength = std::chrono::milliseconds(100);
    struct slot
    {
        std::int64_t number = -1;
        double count = 0.0;
    };

    static std::int64_t numberOf(time_point now) { return now.time_since_epoch() / SlotLength; }

    slot &slotAt(std::int64_t number)
    {
        slot &found = m_slots[static_cast<std::size_t>(number % Slots)];
        if (found.number != number)
            found = slot{ number, 0.0 };
        return found;
    }

    double sum(std::int64_t first, time_point now) const
    {
        const std::int64_t last = numberOf(now);
        double total = 0.0;
        for (const slot &one : m_slots)
            total += one.number >= first && one.number <= last ? one.count : 0.0;
        return total;
    }

    std::array<slot, static_cast<std::size_t>(Slots)> m_slots;
};

} // namespace burdockhold

#endif
