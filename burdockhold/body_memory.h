#ifndef BURDOCKHOLD_BODY_MEMORY_H
#define BURDOCKHOLD_BODY_MEMORY_H

// Bounds the memory of request bodies over all connections of callers: a body is read only once its
// memory is reserved.
//
// Promises:
// - The reservations never exceed the limit together, except for a single one that is larger than
//   the limit.
// - Reservations are granted in the order in which they were asked for, so none waits for ever.
// Not thread-safe.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

namespace burdockhold {

class body_memory
{
public:
    explicit body_memory(std::size_t limit)
        : m_limit(limit)
    {
    }

    /// Reserves the bytes. Returns 0 if they are granted at once. Otherwise the function is called
    /// when they are, unless cancel() is called with the returned id before.
    std::uint64_t reserve(std::size_t bytes, std::function<void()> granted)
    {
        if (m_waiting.empty() && fits(bytes)) {
            m_reserved += bytes;
            return 0;
        }
        m_waiting.push_back({ ++m_lastId, bytes, std::move(granted) });
        return m_lastId;
    }

    /// Withdraws a reservation that waits.
    void cancel(std::uint64_t id)
    {
        const auto withdrawn = std::find_if(m_waiting.begin(), m_waiting.end(),
                                            [id](const waiter &item) { return item.id == id; });
        if (withdrawn == m_waiting.end())
            return;
        m_waiting.erase(withdrawn);
        grant();
    }

    /// Gives back bytes that were granted.
    void release(std::size_t bytes)
    {
        m_reserved -= bytes;
        grant();
    }

    std::size_t reserved() const { return m_reserved; }

private:
    struct waiter
    {
        std::uint64_t id;
        std::size_t bytes;
        std::function<void()> granted;
    };

    bool fits(std::size_t bytes) const
    {
        return m_reserved == 0 || (m_reserved <= m_limit && bytes <= m_limit - m_reserved);
    }

    void grant()
    {
        while (!m_waiting.empty() && fits(m_waiting.front().bytes)) {
            const waiter next = std::move(m_waiting.front());
            m_waiting.pop_front();
            m_reserved += next.bytes;
            next.granted();
        }
    }

    const std::size_t m_limit;
    std::size_t m_reserved = 0;
    std::uint64_t m_lastId = 0;
    std::deque<waiter> m_waiting;
};

} // namespace burdockhold

#endif
