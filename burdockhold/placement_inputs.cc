#include "burdockhold/placement_inputs.h"

#include "burdockhold/left_out.h"
#include "burdockhold/prompt_segments.h"

#include <algorithm>

namespace burdockhold {

namespace {

bool isEngineCall(const placement_query &query)
{
    return query.pool != nullptr && query.pool->engine && !query.request.model.empty();
}

/// Excludes the endpoints on whose weights no call may begin.
void excludeExpiredWeights(std::vector<endpoint_candidate> &candidates, const router_board &board,
                           const std::string &model)
{
    const bool allExpired = !model.empty() && board.targetVersion(model) > 0
                            && board.mayHaveMissedVersion();
    for (endpoint_candidate &candidate : candidates) {
        const bool expired = allExpired
                             || (candidate.staleWeights
                                 && board.weightsExpired(
                                         model, board.endpoints.weightsOf(candidate.id, model)));
        if (expired && !isOwnStatement(candidate.excluded))
            candidate.excluded = exclusion::ExpiredWeights;
    }
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

/// Removes the engines outside of the regions in which the request may be served, also as sources
/// of copies.
void removeForbiddenRegions(std::vector<endpoint_candidate> &candidates, const router_board &board,
                            const region_rules &rules)
{
    const auto isForbidden = [&](const endpoint_candidate &candidate) {
        const endpoint_report *report = board.endpoints.find(candidate.id);
        return report == nullptr || !rules.allows(report->dataCentre, board.settings.regions);
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isForbidden),
                     candidates.end());
}

void excludeEvacuated(std::vector<endpoint_candidate> &candidates, const router_board &board)
{
    if (board.evacuated.empty())
        return;
    for (endpoint_candidate &candidate : candidates) {
        if (board.isEvacuated(candidate.id))
            candidate.excluded = exclusion::Evacuated;
    }
}

/// Excludes the engines whose cold rate leaves this VM no request now.
void excludeCold(std::vector<endpoint_candidate> &candidates, router_board &board, time_point now)
{
    for (endpoint_candidate &candidate : candidates) {
        if (candidate.excluded == exclusion::None
            && board.coldEngines.isExcluded(candidate.id, board.knownVms, now))
            candidate.excluded = exclusion::Cold;
    }
}

/// Marks the cold engines, at which a scheduler grants calls within this VM's share only.
void markCold(std::vector<endpoint_candidate> &candidates, router_board &board, time_point now)
{
    excludeCold(candidates, board, now);
    const bool mayGrant = board.settings.mechanisms.uses(mechanism::ColdGrants);
    for (endpoint_candidate &candidate : candidates) {
        candidate.needsColdShare = board.coldEngines.isCold(candidate.id, now);
        if (candidate.needsColdShare && !mayGrant)
            candidate.excluded = exclusion::Cold;
    }
}

/// Returns the store for the request's shared segments, chosen by the data centre of the preferred
/// endpoint.
const cache_store *segmentStore(const router_board &board, const placement_query &query,
                                const placement_inputs &inputs, time_point now)
{
    const auto preferred = preferredEndpoint(inputs.candidates, inputs.need.affinityKey,
                                             inputs.need.lane);
    const endpoint_report *report = nullptr;
    if (preferred)
        report = board.endpoints.find(inputs.candidates[*preferred].id);
    return board.storeFor(deepestSegmentId(query.request),
                          report == nullptr ? "" : report->dataCentre, now, query.regions);
}

/// Sets the lanes of the candidates and of the request.
void divideIntoLanes(router_board &board, const placement_query &query, placement_inputs &inputs,
                     time_point now)
{
    const engine_lane_options &options = board.options.lanes;
    const auto target = board.deployment ? board.deployment->shortestStreamTarget(query.poolName)
                                         : std::nullopt;
    if (!target || inputs.candidates.size() < options.minEngines)
        return;
    inputs.need.lane = laneOf(query.request.promptTokens, *target, options);
    lane_demand &demand = board.laneDemand.try_emplace(query.poolName, options).first->second;
    if (query.isFirstPlacement)
        demand.record(inputs.need.lane, inputs.need, now);
    assignLanes(inputs.candidates,
                shortLaneShare(demand.totalWork(now), inputs.candidates.size(), options));
}

} // namespace

std::vector<endpoint_candidate> placementCandidates(router_board &board,
                                                    const placement_query &query, time_point now)
{
    const caller_request &request = query.request;
    const std::int64_t targetVersion = board.targetVersion(request.model);
    auto candidates = board.endpoints.candidates(
            query.poolName, isEngineCall(query) ? request.model : "", targetVersion,
            deepestSegmentName(request, query.domain, targetVersion), query.triedEndpoints, now);
    excludeExpiredWeights(candidates, board, isEngineCall(query) ? request.model : "");
    if (!query.calledAddresses.empty() && !query.mayCallAgain)
        excludeCalled(candidates, board, query.calledAddresses);
    if (isEngineCall(query) && query.regions.restricts())
        removeForbiddenRegions(candidates, board, query.regions);
    excludeEvacuated(candidates, board);
    excludeCold(candidates, board, now);
    return candidates;
}

std::vector<endpoint_candidate> schedulableCandidates(router_board &board, std::uint32_t pool,
                                                      std::uint32_t model, time_point now)
{
    if (!board.deployment)
        return {};
    const deployment_pool *found = nullptr;
    std::string modelName;
    for (const deployment_pool &known : board.deployment->pools()) {
        if (shortHash(known.name) != pool || !known.engine)
            continue;
        found = &known;
        for (const std::string &name : known.engine->models)
            modelName = shortHash(name) == model ? name : modelName;
    }
    if (found == nullptr || modelName.empty())
        return {};
    auto candidates = board.endpoints.candidates(found->name, modelName,
                                                 board.targetVersion(modelName), {}, {}, now);
    excludeExpiredWeights(candidates, board, modelName);
    excludeEvacuated(candidates, board);
    markCold(candidates, board, now);
    if (const software_rollout *rollout = board.rolloutOf(found->name))
        rollout->removeNewVersion(candidates, now);
    const std::size_t poolSize = candidates.size();
    candidates.erase(
            std::remove_if(candidates.begin(), candidates.end(),
                           [](const auto &candidate) { return !candidate.sameDataCentre; }),
            candidates.end());
    const auto demand = board.laneDemand.find(found->name);
    if (demand != board.laneDemand.end())
        assignLanes(candidates,
                    shortLaneShare(demand->second.totalWork(now), poolSize, board.options.lanes));
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
    divideIntoLanes(board, query, inputs, now);
    if (inputs.need.segmentTokens == 0)
        return inputs;
    inputs.store = segmentStore(board, query, inputs, now);
    if (inputs.store == nullptr)
        return inputs;
    const auto segments = sharedSegmentNames(query.request, query.domain,
                                             board.targetVersion(query.request.model));
    inputs.need.storeHoldsSegment = board.storedSegments.areStored(inputs.store->address, segments,
                                                                   now);
    return inputs;
}

} // namespace burdockhold
