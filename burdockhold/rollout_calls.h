#ifndef BURDOCKHOLD_ROLLOUT_CALLS_H
#define BURDOCKHOLD_ROLLOUT_CALLS_H

// Reports the calls of routed requests to the rollout of their pool's software version.

#include "burdockhold/attempt_rules.h"
#include "burdockhold/router_board.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockhold {

/// Chooses the canary if there is one and it has room, and leaves it as the only candidate.
std::optional<endpoint_choice> chooseWithCanary(std::vector<endpoint_candidate> &candidates,
                                                const std::optional<endpoint_candidate> &canary,
                                                const placement_need &need, std::uint64_t seed,
                                                const endpoint_choice_options &options);

/// Counts a call that begins now. Returns it if it is to be sampled, else null.
std::shared_ptr<rollout_call> startRolloutCall(router_board &board, const deployment_route &route,
                                               const std::string &pool,
                                               const std::string &endpointId, const call_load &load,
                                               const placement_need &need);

/// Reports how a call ended. The call may be null.
void endRolloutCall(router_board &board, const std::string &pool, const std::string &endpointId,
                    const std::shared_ptr<rollout_call> &call, call_end end);

} // namespace burdockhold

#endif
