#ifndef BURDOCKHOLD_CLIENT_QUEUE_H
#define BURDOCKHOLD_CLIENT_QUEUE_H

// The clients in one state, the one that has been in it for longest first.
//
// Promises:
// - A client is in one queue at most for each place that it keeps.
// - Entering a queue, moving to its back and leaving it take constant time, and changing the queue
//   allocates nothing.
// A client leaves its queues before it is destroyed. Not thread-safe.

#include "burdockhold/clock.h"

#include <list>

namespace burdockhold {

template <typename Client>
class client_queue
{
    struct entry
    {
        Client *client;
        time_point since;
    };

public:
    /// Where a client is. Kept by the client.
    class place
    {
        friend class client_queue;
        client_queue *m_queue = nullptr;
        typename std::list<entry>::iterator m_at;
    };

    /// Moves the client to the back, from the queue where it is or from none.
    void enter(Client &client, place &at, time_point now)
    {
        if (at.m_queue != nullptr)
            m_entries.splice(m_entries.end(), at.m_queue->m_entries, at.m_at);
        else
            at.m_at = m_entries.insert(m_entries.end(), entry{});
        at.m_queue = this;
        *at.m_at = { &client, now };
    }

    /// Removes the client from the queue where it is, if it is in one.
    static void leave(place &at)
    {
        if (at.m_queue != nullptr)
            at.m_queue->m_entries.erase(at.m_at);
        at.m_queue = nullptr;
    }

    /// Returns whether the place is in this queue.
    bool contains(const place &at) const { return at.m_queue == this; }

    /// Returns the client that has been in the queue for longest, or nullptr.
    Client *oldest() const { return m_entries.empty() ? nullptr : m_entries.front().client; }

    /// Returns the same client if it entered at the given time or before, or nullptr.
    Client *oldestSince(time_point limit) const
    {
        return m_entries.empty() || m_entries.front().since > limit ? nullptr : oldest();
    }

private:
    std::list<entry> m_entries;
};

} // namespace burdockhold

#endif
