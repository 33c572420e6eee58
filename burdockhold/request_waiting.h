#ifndef BURDOCKHOLD_REQUEST_WAITING_H
#define BURDOCKHOLD_REQUEST_WAITING_H

// Describes a request for the wait queue: its times, its cost in tokens, and which requests can be
// placed at the same endpoints. Pure functions.

#include "burdockhold/caller_request.h"
#include "burdockhold/deployment.h"
#include "burdockhold/waiting_room.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace burdockhold {

/// Requests that wait may hold the memory limit divided by this.
inline constexpr std::size_t WaitingBytesDivisor = 8;

/// A request that is to wait in a room. The id of its entry is given by the queue.
struct wait_entry
{
    std::string pool;
    waiting_request request;
    std::size_t bytes = 0;         ///< Memory that it holds.
    std::uint64_t requestHash = 0; ///< The same when its caller comes back.
    time_point callerEnd;          ///< When its caller no longer waits.
    bool mustWait = false;         ///< Refusing it would lose what the caller has got.
};

/// A request whose next call cannot be placed. The references must outlive it.
struct waiting_call
{
    const caller_request &request;
    const deployment_route &route;
    std::string_view account; ///< Empty on public routes.
    const std::string &pool;
    const std::set<std::string> &triedEndpoints;
    std::uint64_t requestHash = 0;
    time_point arrival;
    time_point deadline;
    int priority = 0;
    bool isEnginePool = false;
    bool responseStarted = false;
    bool awaitsRetryBudget = false;
};

/// Returns the entry for the call's next wait.
wait_entry waitEntryFor(const waiting_call &call, time_point now);

} // namespace burdockhold

#endif
