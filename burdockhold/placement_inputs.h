#ifndef BURDOCKHOLD_PLACEMENT_INPUTS_H
#define BURDOCKHOLD_PLACEMENT_INPUTS_H

// Collects what the choice of an endpoint for a request's next call depends on: which endpoints may
// take it, what it needs, and the store of its shared segments. endpoint_choice.h chooses.

#include "burdockhold/router_board.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdockhold {

/// A request whose next call is to be placed. The references must outlive the query.
struct placement_query
{
    const caller_request &request;
    cache_domain domain;
    const deployment_pool *pool = nullptr; ///< Null if the deployment does not define it.
    const std::string &poolName;
    const std::set<std::string> &triedEndpoints;
    const std::set<std::string> &calledAddresses; ///< A call of the attempt may have arrived there.
    bool mayCallAgain = false;                    ///< At an address that was called before.
    bool mayUseCanary = false;                    ///< The call may go to a version under test.
    bool isFirstPlacement = false;                ///< The request's first attempt to be placed.
};

/// Inputs of one placement decision. The store belongs to the deployment in force.
struct placement_inputs
{
    std::vector<endpoint_candidate> candidates;
    std::optional<endpoint_candidate> canary; ///< Endpoint of a new version that is due a call.
    placement_need need;
    const cache_store *store = nullptr; ///< Store for the shared segments; null if there is none.
};

/// Returns the endpoints of the pool with their state; those that cannot take the call are marked
/// as excluded.
std::vector<endpoint_candidate> placementCandidates(router_board &board,
                                                    const placement_query &query, time_point now);

/// Returns the endpoints of this VM's data centre in the pool for a request that another VM places,
/// without its own exclusions. The pool and the model are given by their shortHashes. Empty if the
/// deployment does not know the pool or the model.
std::vector<endpoint_candidate> schedulableCandidates(router_board &board, std::uint32_t pool,
                                                      std::uint32_t model, time_point now);

placement_inputs collectPlacementInputs(router_board &board, const placement_query &query,
                                        time_point now);

} // namespace burdockhold

#endif
