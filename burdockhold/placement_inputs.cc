#include "burdockhold/placement_inputs.h"

#include "burdockhold/left_out.h"
#include "burdockhold/prompt_segments.h"

namespace burdockhold {

namespace {

bool isEngineCall(const placement_query &query)
{
    return query.pool != nullptr && query.pool->engine && !query.request.model.empty();
}

/// Excludes the endpoints at addresses that a call of the attempt may have reached.
void excludeCalled(std::vector<endpoint_candidate> &candidates, const router_board &board,
                   const std::set<std::string> &calledAddresses)
{
    for (endpoint_candidate &candidate : candidates) {
        const endpoint_report *report = board.endpoints.find(candidate.id);
        if (report != nullptr && calledAddresses.count(report->address) != 0)
            excludeTried(candidate);
    }
}

/// Returns the store for the request's shared segments, chosen by the data centre of the preferred
/// endpoint.
const cache_store *segmentStore(const router_board &board, const caller_request &request,
                                const placement_inputs &inputs, time_point now)
{
    const auto preferred = preferredEndpoint(inputs.candidates, inputs.need.affinityKey);
    const endpoint_report *report = nullptr;
    if (preferred)
        report = board.endpoints.find(inputs.candidates[*preferred].id);
    return board.storeFor(deepestSegmentId(request), report == nullptr ? "" : report->dataCentre,
                          now);
}

} // namespace

std::vector<endpoint_candidate> placementCandidates(const router_board &board,
                                                    const placement_query &query, time_point now)
{
    const caller_request &request = query.request;
    const std::int64_t targetVersion = board.targetVersion(request.model);
    auto candidates = board.endpoints.candidates(
            query.poolName, isEngineCall(query) ? request.model : "", targetVersion,
            deepestSegmentName(request, query.domain, targetVersion), query.triedEndpoints, now);
    const bool allExpired = targetVersion > 0 && isEngineCall(query)
                            && board.mayHaveMissedVersion();
    for (endpoint_candidate &candidate : candidates) {
        const bool expired = allExpired
                             || (candidate.staleWeights
                                 && board.weightsExpired(
                                         request.model,
                                         board.endpoints.weightsOf(candidate.id, request.model)));
        if (expired && !isOwnStatement(candidate.excluded))
            candidate.excluded = exclusion::ExpiredWeights;
    }
    if (!query.calledAddresses.empty() && !query.mayCallAgain)
        excludeCalled(candidates, board, query.calledAddresses);
    return candidates;
}

placement_inputs collectPlacementInputs(router_board &board, const placement_query &query,
                                        time_point now)
{
    placement_inputs inputs;
    inputs.candidates = placementCandidates(board, query, now);
    if (const software_rollout *rollout = board.rolloutOf(query.poolName)) {
        if (query.mayUseCanary)
            inputs.canary = rollout->nextCanary(inputs.candidates, now);
        rollout->removeNewVersion(inputs.candidates, now);
    }
    if (!isEngineCall(query))
        return inputs;
    inputs.need = placementNeedFor(query.request, query.domain);
    if (inputs.need.segmentTokens == 0)
        return inputs;
    inputs.store = segmentStore(board, query.request, inputs, now);
    if (inputs.store == nullptr)
        return inputs;
    const auto segments = sharedSegmentNames(query.request, query.domain,
                                             board.targetVersion(query.request.model));
    inputs.need.storeHoldsSegment = board.storedSegments.areStored(inputs.store->address, segments,
                                                                   now);
    return inputs;
}

} // namespace burdockhold
