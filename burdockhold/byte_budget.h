#ifndef BURDOCKHOLD_BYTE_BUDGET_H
#define BURDOCKHOLD_BYTE_BUDGET_H

// A bound on the memory of texts that other processes send, over all of them together.
//
// Promise: the texts never hold more than the budget's bytes. A text that would exceed it is not
// extended; what to do then is its owner's decision. Thread-safe, except for one text itself.

#include "burdockhold/text_memory.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>

namespace burdockhold {

class byte_budget
{
public:
    explicit byte_budget(std::size_t limit)
        : m_limit(limit)
    {
    }

    /// Returns false, and takes nothing, if the bytes exceed what is left.
    [[nodiscard]] bool tryTake(std::size_t bytes)
    {
        std::size_t used = m_used;
        do {
            if (bytes > m_limit - used)
                return false;
        } while (!m_used.compare_exchange_weak(used, used + bytes));
        return true;
    }

    void give(std::size_t bytes) { m_used -= bytes; }

    std::size_t used() const { return m_used; }

private:
    const std::size_t m_limit;
    std::atomic<std::size_t> m_used{ 0 };
};

/// A text whose bytes count against a budget, which must outlive it, and against a limit of its
/// own.
class budgeted_text
{
public:
    budgeted_text(byte_budget &budget, std::size_t limit)
        : m_budget(budget)
        , m_limit(limit)
    {
    }

    ~budgeted_text() { clear(); }
    budgeted_text(const budgeted_text &) = delete;
    budgeted_text &operator=(const budgeted_text &) = delete;

    /// Returns false, and leaves the text as it is, if that would exceed the budget or the limit.
    [[nodiscard]] bool append(std::string_view bytes)
    {
        if (bytes.size() > m_limit - m_text.size() || !m_budget.tryTake(bytes.size()))
            return false;
        m_text.append(bytes);
        return true;
    }

    void clear()
    {
        m_budget.give(m_text.size());
        freeText(m_text);
    }

    const std::string &text() const { return m_text; }

private:
    byte_budget &m_budget;
    std::size_t m_limit;
    std::string m_text;
};

} // namespace burdockhold

#endif
