#ifndef BURDOCKHOLD_PREFILL_CALLS_H
#define BURDOCKHOLD_PREFILL_CALLS_H

// Reports the prompts of routed requests' calls to the metrics and to the estimate of their pool's
// prefill rate.

#include "burdockhold/router_board.h"

#include <string>

namespace burdockhold {

/// Counts a call that begins now, and the prompt tokens that its endpoint has cached and has not.
void countCall(router_metrics &metrics, const endpoint_choice &choice, const call_load &load,
               bool isRepeat);

/// Reports the first bytes of a response with this status. Only a stream's first event follows its
/// prompt at once; other responses come after their last output token.
void reportFirstBytes(router_board &board, const deployment_route &route, const std::string &pool,
                      const std::string &endpointId, const prefill_call &call, int status);

/// Returns the time that the endpoint is expected to need for the call's prompt, and for those
/// ahead of it when the call began.
duration expectedPrefill(const router_board &board, const std::string &pool,
                         const prefill_call &call);

} // namespace burdockhold

#endif
