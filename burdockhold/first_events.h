#ifndef BURDOCKHOLD_FIRST_EVENTS_H
#define BURDOCKHOLD_FIRST_EVENTS_H

// Records what the first event of a call shows about its engine (engine_pace.h, pace_limit.h) and
// about the expectation of the call's placement.
//
// Only successful calls of streams to model engines count, and none that continues a stream: other
// responses begin when the engine has computed more than the prompt, and the length of a continued
// prompt is not known.

#include "burdockhold/caller_request.h"
#include "burdockhold/deployment.h"
#include "burdockhold/router_board.h"

#include <cstdint>
#include <string>

namespace burdockhold {

/// A call whose first byte has come.
struct answered_call
{
    const std::string &endpointId;
    std::int64_t incarnation = 0; ///< Of the endpoint.
    const deployment_pool *pool = nullptr;
    const deployment_route &route;
    int status = 0;
    bool continuesStream = false;
    duration time = duration::zero(); ///< From the call to its first byte.
};

/// Returns the call's time if it shows the pace of its engine, and otherwise zero.
duration recordFirstEvent(router_board &board, const answered_call &call,
                          const endpoint_choice &choice, time_point now);

} // namespace burdockhold

#endif
