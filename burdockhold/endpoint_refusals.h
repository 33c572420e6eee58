#ifndef BURDOCKHOLD_ENDPOINT_REFUSALS_H
#define BURDOCKHOLD_ENDPOINT_REFUSALS_H

// Records what an endpoint's refusal of a call shows about the endpoint, and logs why no endpoint
// could take a request.

#include "burdockhold/attempt_rules.h"
#include "burdockhold/placement_inputs.h"
#include "burdockhold/router_board.h"

#include <cstdint>
#include <string>

namespace burdockhold {

/// A call that its endpoint refused.
struct refused_call
{
    std::string endpointId;
    std::string model;                ///< Empty for calls without a model.
    std::int64_t expectedWeights = 0; ///< Version that the call expected; 0 if it named none.
};

/// Records a refusal without a pause: the endpoint is full, another one uses its address, or its
/// weights have another version than expected.
void recordRefusal(router_board &board, const refused_call &call,
                   const endpoint_response_head &head, time_point now);

/// Logs why no endpoint could take the request.
void logPoolFull(router_board &board, const std::string &requestId, const placement_query &query,
                 time_point now);

/// Records that the endpoint refused the connection or did not answer the call.
void recordUnanswered(router_board &board, const std::string &endpointId, call_end end,
                      time_point now);

} // namespace burdockhold

#endif
