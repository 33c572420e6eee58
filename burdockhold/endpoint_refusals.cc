#include "burdockhold/endpoint_refusals.h"

#include "burdockhold/placement_log.h"

namespace burdockhold {

namespace {

constexpr int StatusMisdirected = 421;

/// Versions only grow. The guess advances by one version at a time: a guess beyond the engine's
/// version would be refused until the engine's next record, and meanwhile nobody would order it to
/// load the newest version.
void inferWeights(router_board &board, const refused_call &call, time_point now)
{
    const std::int64_t next = call.expectedWeights == 0 ? 0
                                                        : board.nextAnnouncedVersion(
                                                                call.model, call.expectedWeights);
    if (next > 0) {
        board.endpoints.recordInferredWeights(call.endpointId, call.model, next, now);
    } else {
        board.endpoints.dropInferredWeights(call.endpointId, call.model);
        board.endpoints.connectFailed(call.endpointId, now);
    }
}

} // namespace

void recordRefusal(router_board &board, const refused_call &call,
                   const endpoint_response_head &head, time_point now)
{
    const bool usesAddressOfAnother = !head.endpointId.empty()
                                      && head.endpointId != call.endpointId;
    if (head.status != StatusMisdirected)
        board.endpoints.recordRefusal(call.endpointId, now);
    else if (usesAddressOfAnother) // So the intended endpoint has terminated.
        board.endpoints.remove(call.endpointId, now);
    else if (!head.weights) // A stated version is recorded already.
        inferWeights(board, call, now);
}

void logPoolFull(router_board &board, const std::string &requestId, const placement_query &query,
                 time_point now)
{
    if (!board.log.accepts(log_priority::Failure, now))
        return;
    board.log.write(
            log_event::PoolFull,
            poolFullFields(requestId, query.poolName, placementCandidates(board, query, now)), now);
}

void recordUnanswered(router_board &board, const std::string &endpointId, call_end end,
                      time_point now)
{
    if (const endpoint_report *report = board.endpoints.find(endpointId))
        board.coldEngines.maybeCold(*report, now);
    if (end == call_end::NotSent)
        board.endpoints.connectFailed(endpointId, now);
}

} // namespace burdockhold
