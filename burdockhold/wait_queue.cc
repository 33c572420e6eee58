#include "burdockhold/wait_queue.h"

#include "burdockhold/routed_request.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace burdockhold {

waiting_room_options wait_queue::roomOptions()
{
    waiting_room_options options;
    options.maxWaiting = MaxWaitingPerPool;
    return options;
}

void wait_queue::add(std::shared_ptr<routed_request> waiting)
{
    const auto position = std::upper_bound(m_unordered.begin(), m_unordered.end(), waiting,
                                           [](const auto &a, const auto &b) {
                                               return std::make_pair(a->priority(), a->arrival())
                                                      < std::make_pair(b->priority(), b->arrival());
                                           });
    m_unordered.insert(position, std::move(waiting));
}

bool wait_queue::join(const std::shared_ptr<routed_request> &waiting, const wait_entry &entry,
                      std::size_t maxBytes, wait_record &record, duration &retryAfter,
                      time_point now)
{
    pool_queue &pool = m_pools[entry.pool];
    waiting_request request = entry.request;
    request.id = ++m_lastId;
    // Two places for each priority, the first one for those that go before the others.
    record.returned = pool.admission.takeReturning(entry.requestHash, now);
    request.priority = 2 * request.priority + (entry.mustWait || record.returned ? 0 : 1);
    const overload_verdict verdict = pool.admission.decide(pool.room, request, now);
    record.expected = verdict.expectedWait;
    record.waitingBefore = pool.room.size();
    const bool fits = m_bytes + entry.bytes <= maxBytes;
    if (!fits || (!verdict.mayWait && !entry.mustWait) || !pool.room.add(request, now)) {
        retryAfter = pool.admission.refuse(pool.room, request, entry.callerEnd, entry.requestHash,
                                           now);
        return false;
    }
    m_bytes += entry.bytes;
    m_entries[request.id] = { waiting,     entry.pool,  request.priority,
                              entry.bytes, pool.served, urgentServed(pool, request.priority) };
    m_ids[waiting.get()] = request.id;
    endExpired(pool, now);
    return true;
}

duration wait_queue::retryAfterWait(const wait_entry &entry, time_point now)
{
    pool_queue &pool = m_pools[entry.pool];
    waiting_request request = entry.request;
    request.priority = 2 * request.priority + 1;
    return pool.admission.refuse(pool.room, request, entry.callerEnd, entry.requestHash, now);
}

/// Ends the requests that were evicted or can no longer be answered in time.
void wait_queue::endExpired(pool_queue &pool, time_point now)
{
    for (const waiting_request &expired : pool.room.takeExpired(now)) {
        const auto found = m_entries.find(expired.id);
        if (found == m_entries.end())
            continue;
        const auto request = found->second.request;
        request->waitEnded();
    }
}

std::uint64_t wait_queue::urgentServed(const pool_queue &pool, int priority)
{
    std::uint64_t count = 0;
    for (const auto &[other, served] : pool.servedByPriority)
        count += other < priority ? served : 0;
    return count;
}

void wait_queue::forget(std::uint64_t id, wait_record &record)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    const waiting_entry &entry = found->second;
    const pool_queue &pool = m_pools[entry.pool];
    record.servedMeanwhile += pool.served - entry.servedBefore;
    record.moreUrgent += urgentServed(pool, entry.priority) - entry.urgentBefore;
    m_bytes -= entry.bytes;
    m_ids.erase(entry.request.get());
    m_entries.erase(found);
}

void wait_queue::remove(const routed_request *waiting, wait_record &record)
{
    m_unordered.erase(
            std::remove_if(m_unordered.begin(), m_unordered.end(),
                           [waiting](const auto &other) { return other.get() == waiting; }),
            m_unordered.end());
    const auto id = m_ids.find(waiting);
    if (id == m_ids.end())
        return;
    m_pools[m_entries.at(id->second).pool].room.remove(id->second);
    forget(id->second, record);
}

void wait_queue::remove(const routed_request *waiting)
{
    wait_record ignored;
    remove(waiting, ignored);
}

void wait_queue::placed(const routed_request *waiting, wait_record &record)
{
    const auto id = m_ids.find(waiting);
    if (id == m_ids.end() || id->second != m_triedId) {
        remove(waiting, record);
        return;
    }
    // The room removes it once serve() hears that it is placed.
    m_triedWasPlaced = true;
    pool_queue &pool = m_pools[m_entries.at(m_triedId).pool];
    const int priority = m_entries.at(m_triedId).priority;
    forget(m_triedId, record);
    ++pool.served;
    ++pool.servedByPriority[priority];
}

bool wait_queue::hasWaiting(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && !found->second.room.isEmpty();
}

bool wait_queue::tryPlace(const waiting_request &waiting)
{
    const auto found = m_entries.find(waiting.id);
    if (found == m_entries.end())
        return false;
    const auto request = found->second.request;
    m_triedId = waiting.id;
    m_triedWasPlaced = false;
    request->place();
    m_triedId = 0;
    return std::exchange(m_triedWasPlaced, false);
}

void wait_queue::serve(pool_queue &pool, int maxFailures, time_point now)
{
    if (m_isServing)
        return; // The call that is running tries the others.
    const serving_mark mark(m_isServing);
    int failures = 0;
    pool.room.serve(now, [&](const waiting_request &waiting) {
        if (failures >= maxFailures)
            return false;
        const bool isPlaced = tryPlace(waiting);
        failures += !isPlaced && m_entries.count(waiting.id) > 0 ? 1 : 0;
        return isPlaced;
    });
    endExpired(pool, now);
}

void wait_queue::retryUnordered()
{
    const auto requests = m_unordered;
    for (const auto &waiting : requests)
        waiting->place();
}

void wait_queue::retry()
{
    retryUnordered();
    const time_point now = steadyNow();
    for (auto &[name, pool] : m_pools) {
        if (!pool.room.isEmpty())
            serve(pool, std::numeric_limits<int>::max(), now);
    }
}

void wait_queue::roomFreed(boost::asio::io_context &io, const std::string &pool)
{
    if (!m_unordered.empty())
        boost::asio::post(io, [this] { retryUnordered(); });
    const auto found = m_pools.find(pool);
    if (found == m_pools.end() || found->second.room.isEmpty() || found->second.retryPosted)
        return;
    pool_queue &freed = found->second;
    freed.retryPosted = true;
    boost::asio::post(io, [this, &freed] {
        freed.retryPosted = false;
        serve(freed, MaxFailedTries, steadyNow());
    });
}

} // namespace burdockhold
