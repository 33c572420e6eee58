#include "burdockhold/segment_calls.h"

namespace burdockhold {

namespace {

segment_facts factsOf(router_board &board, const segment_call &call, time_point now)
{
    segment_facts facts;
    facts.tokens = call.segmentTokens;
    facts.promptTokens = call.promptTokens;
    facts.holder = call.holder;
    facts.holderIsKnown = call.holderIsKnown;
    facts.expectedCached = call.expectedCached;
    if (call.store == nullptr)
        return facts;
    const endpoint_report *engine = board.endpoints.find(call.endpointId);
    facts.store = call.store->address;
    facts.crossesDataCentres = engine != nullptr && engine->dataCentre != call.store->dataCentre;
    facts.storeHoldsAllSegments = board.storedSegments.areStored(call.store->address, call.segments,
                                                                 now);
    facts.linkHeadroom = board.storeLinkQuota(*call.store, now).headroom();
    return facts;
}

} // namespace

segment_transfer planSegments(router_board &board, const segment_call &call, time_point now)
{
    const segment_facts facts = factsOf(board, call, now);
    segment_transfer transfer = planTransfer(facts, board.options.transfers);
    if (transfer.storeLoad <= 0.0)
        return transfer;
    if (!board.storeLinkQuota(*call.store, now).tryAdmit(transfer.storeLoad, now)) {
        board.metrics.count(router_counter::TransfersWithoutRoom);
        return planWithoutStore(facts, board.options.transfers);
    }
    board.storedSegments.recordUse(call.store->address, call.segments, !transfer.saveTo.empty(),
                                   now);
    return transfer;
}

std::string holderAddress(const router_board &board, std::string_view engine,
                          const std::string &model, std::int64_t weights)
{
    const endpoint_report *source = board.endpoints.find(engine);
    const bool sameWeights = source != nullptr
                             && board.endpoints.weightsOf(engine, model) == weights;
    return sameWeights ? source->address : std::string();
}

} // namespace burdockhold
