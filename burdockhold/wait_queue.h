#ifndef BURDOCKHOLD_WAIT_QUEUE_H
#define BURDOCKHOLD_WAIT_QUEUE_H

// Requests that wait at the router for an endpoint: a waiting_room and an overload_admission for
// each pool.
//
// Promises:
// - Requests of a pool are tried in the order of waiting_room.h, and an arrival does not overtake
//   those that wait. Streams that have started, and callers that come back after a refusal, go
//   before the other requests of their priority.
// - What waits is bounded in requests for each pool, and in bytes for all.
// - When an endpoint has become free, only the requests of its pool are tried, and after
//   MaxFailedTries failed ones no more until the next regular retry.
//
// Requests without a deployment wait outside the rooms, in ascending order of priority number, then
// of arrival. So do all requests while the mechanism fair_waiting is off.

#include "burdockhold/clock.h"
#include "burdockhold/overload_admission.h"
#include "burdockhold/request_waiting.h"
#include "burdockhold/wait_record.h"
#include "burdockhold/waiting_room.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdockhold {

class routed_request;

class wait_queue
{
public:
    static constexpr std::size_t MaxWaitingPerPool = 1024;
    static constexpr int MaxFailedTries = 8;

    /// Adds a request outside the rooms.
    void add(std::shared_ptr<routed_request> waiting);

    /// Adds a request to its pool's room. Returns false, with the pause for its caller, if it is
    /// refused. A request that is evicted in its place is told so.
    bool join(const std::shared_ptr<routed_request> &waiting, const wait_entry &entry,
              std::size_t maxBytes, wait_record &record, duration &retryAfter, time_point now);

    /// Returns the pause for the caller of a request that has waited until its latest start.
    duration retryAfterWait(const wait_entry &entry, time_point now);

    /// Removes a request. Records how it has waited.
    void remove(const routed_request *waiting, wait_record &record);
    void remove(const routed_request *waiting);

    /// The request is placed: like remove(), and it counts as served.
    void placed(const routed_request *waiting, wait_record &record);

    /// Returns whether requests of the pool wait in its room.
    bool hasWaiting(const std::string &pool) const;

    /// Tries to place each waiting request, in order.
    void retry();

    /// Tries to place requests of the pool that has room now. Posted, so that a migrating stream
    /// gets its new endpoint before.
    void roomFreed(boost::asio::io_context &io, const std::string &pool);

    std::size_t size() const { return m_unordered.size() + m_entries.size(); }

private:
    struct pool_queue
    {
        waiting_room room{ roomOptions() };
        overload_admission admission;
        std::uint64_t served = 0;
        std::map<int, std::uint64_t> servedByPriority;
        bool retryPosted = false;
    };
    struct waiting_entry
    {
        std::shared_ptr<routed_request> request;
        std::string pool;
        int priority = 0;
        std::size_t bytes = 0;
        std::uint64_t servedBefore = 0;
        std::uint64_t urgentBefore = 0;
    };
    /// Calls of serve() must not overlap.
    struct serving_mark
    {
        explicit serving_mark(bool &isServing)
            : m_isServing(isServing)
        {
            m_isServing = true;
        }
        ~serving_mark() { m_isServing = false; }
        serving_mark(const serving_mark &) = delete;
        serving_mark &operator=(const serving_mark &) = delete;

    private:
        bool &m_isServing;
    };

    static waiting_room_options roomOptions();
    void serve(pool_queue &pool, int maxFailures, time_point now);
    bool tryPlace(const waiting_request &waiting);
    void retryUnordered();
    void endExpired(pool_queue &pool, time_point now);
    void forget(std::uint64_t id, wait_record &record);
    static std::uint64_t urgentServed(const pool_queue &pool, int priority);

    std::vector<std::shared_ptr<routed_request>> m_unordered;
    std::map<std::string, pool_queue> m_pools;
    std::unordered_map<std::uint64_t, waiting_entry> m_entries;
    std::unordered_map<const routed_request *, std::uint64_t> m_ids;
    std::size_t m_bytes = 0;
    std::uint64_t m_lastId = 0;
    bool m_isServing = false;
    std::uint64_t m_triedId = 0; ///< Entry that serve() is trying to place; 0 if none.
    bool m_triedWasPlaced = false;
};

} // namespace burdockhold

#endif
