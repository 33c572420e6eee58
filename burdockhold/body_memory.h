#ifndef BURDOCKHOLD_BODY_MEMORY_H
#define BURDOCKHOLD_BODY_MEMORY_H

// Bounds the memory of request bodies over all connections of callers: a body is read only once its
// memory is reserved.
//
// Promises:
// - The reservations never exceed the limit together, except for a single one that is larger than
//   the limit. With a budget of the process, they fit into that as well.
// - Reservations are granted in the order in which they were asked for, so none waits for ever.
// Not thread-safe.

#include "burdockhold/memory_budget.h"

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
    /// The budget of the process must outlive this object; nullptr if there is none.
    explicit body_memory(std::size_t limit, memory_budget *budget = nullptr)
        : m_limit(limit)
        , m_budget(budget)
    {
    }

    /// Reserves the bytes. Returns 0 if they are granted at once. Otherwise the function is called
    /// when they are, unless cancel() is called with the returned id before.
    std::uint64_t reserve(std::size_t bytes, std::function<void()> granted)
    {
        if (m_waiting.empty() && tryReserve(bytes))
            return 0;
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
        giveBack(bytes);
        grant();
    }

    /// Grants what fits now. To be called now and then if other parts of the budget are in use.
    void grant()
    {
        if (m_granting) // Freeing memory for the first one has released another.
            return;
        m_granting = true;
        while (!m_waiting.empty()) {
            const std::uint64_t id = m_waiting.front().id;
            const std::size_t bytes = m_waiting.front().bytes;
            if (!tryReserve(bytes))
                break;
            if (m_waiting.empty() || m_waiting.front().id != id) {
                giveBack(bytes); // Withdrawn while memory was freed for it.
                continue;
            }
            const waiter next = std::move(m_waiting.front());
            m_waiting.pop_front();
            next.granted();
        }
        m_granting = false;
    }

    std::size_t reserved() const { return m_reserved; }

private:
    struct waiter
    {
        std::uint64_t id;
        std::size_t bytes;
        std::function<void()> granted;
    };

    bool tryReserve(std::size_t bytes)
    {
        const bool isAlone = m_reserved == 0;
        if (!isAlone && (m_reserved > m_limit || bytes > m_limit - m_reserved))
            return false;
        const bool fitsBudget = m_budget == nullptr
                                || m_budget->tryTake(memory_part::Bodies, RequestCopies * bytes);
        if (!fitsBudget && !isAlone)
            return false;
        if (!fitsBudget)
            m_budget->take(memory_part::Bodies, RequestCopies * bytes);
        m_reserved += bytes;
        return true;
    }

    void giveBack(std::size_t bytes)
    {
        m_reserved -= bytes;
        if (m_budget != nullptr)
            m_budget->give(memory_part::Bodies, RequestCopies * bytes);
    }

    const std::size_t m_limit;
    memory_budget *const m_budget;
    bool m_granting = false;
    std::size_t m_reserved = 0;
    std::uint64_t m_lastId = 0;
    std::deque<waiter> m_waiting;
};

} // namespace burdockhold

#endif
