#include "burdockhold/rollout_calls.h"

namespace burdockhold {

namespace {

// Time of a prompt up to a constant factor, which the comparison of both versions removes.
constexpr double BaseMs = 30.0;
constexpr double PrefillTokensPerMs = 50.0;

rollout_call_end rolloutEndOf(call_end end)
{
    switch (end) {
    case call_end::Complete:
        return rollout_call_end::Succeeded;
    case call_end::Failed:
    case call_end::Broken:
    case call_end::WrongAnswer:
        return rollout_call_end::Failed;
    case call_end::NotSent:
    case call_end::SaidNotRun:
    case call_end::RefusedAgain:
    case call_end::NothingAdded:
        break;
    }
    return rollout_call_end::NoOutcome;
}

} // namespace

std::optional<endpoint_choice> chooseWithCanary(std::vector<endpoint_candidate> &candidates,
                                                const std::optional<endpoint_candidate> &canary,
                                                const placement_need &need, std::uint64_t seed,
                                                const endpoint_choice_options &options)
{
    if (canary) {
        const auto choice = chooseEndpoint({ *canary }, need, seed, options);
        if (choice) {
            candidates = { *canary };
            return choice;
        }
    }
    return chooseEndpoint(candidates, need, seed, options);
}

std::shared_ptr<rollout_call> startRolloutCall(router_board &board, const deployment_route &route,
                                               const std::string &pool,
                                               const std::string &endpointId, const call_load &load,
                                               const placement_need &need)
{
    software_rollout *rollout = board.rolloutOf(pool);
    const endpoint_report *endpoint = board.endpoints.find(endpointId);
    if (rollout == nullptr || endpoint == nullptr)
        return nullptr;
    const bool isNew = rollout->isNew(endpoint->softwareVersion);
    if (isNew)
        board.metrics.count(router_counter::CanaryCalls);
    // The new version's endpoints have started without cached segments.
    const std::int64_t tokens = isNew ? need.promptTokens : load.pendingPrefillTokens;
    rollout_call call;
    call.route = route.name;
    call.endpoint = endpointId;
    call.isStream = route.kind == call_kind::Stream;
    call.expectedMs = BaseMs + static_cast<double>(tokens) / PrefillTokensPerMs;
    call.startedAt = steadyNow();
    return rollout->callStarted(endpoint->softwareVersion, call);
}

void endRolloutCall(router_board &board, const std::string &pool, const std::string &endpointId,
                    const std::shared_ptr<rollout_call> &call, call_end end)
{
    software_rollout *rollout = board.rolloutOf(pool);
    const endpoint_report *endpoint = board.endpoints.find(endpointId);
    if (rollout == nullptr || endpoint == nullptr)
        return;
    if (end == call_end::NotSent)
        rollout->callNotSent(endpoint->softwareVersion);
    if (!call)
        return;
    const bool loading = board.endpoints.isLoading(endpointId, steadyNow());
    rollout->sampler().callEnded(*call, loading ? rollout_call_end::NoOutcome : rolloutEndOf(end));
}

} // namespace burdockhold
