#include "burdockhold/segment_transfer.h"

namespace burdockhold {

segment_transfer planTransfer(const segment_facts &facts, const segment_transfer_options &options)
{
    const bool isShort = facts.tokens < options.shortTokens;
    if (facts.store.empty() || (isShort && facts.linkHeadroom < options.idleShare))
        return planWithoutStore(facts);
    segment_transfer transfer;
    const bool fromStore = facts.storeHoldsAllSegments || facts.holder.empty();
    transfer.copyFrom = fromStore ? facts.store : facts.holder;
    double moved = 0.0;
    if (facts.storeHoldsAllSegments) {
        moved = static_cast<double>(facts.tokens)
                * (facts.expectedCached ? options.lostShare : 1.0);
    } else {
        transfer.saveTo = facts.store;
        moved = static_cast<double>(facts.promptTokens);
    }
    transfer.storeLoad = moved * (facts.crossesDataCentres ? options.betweenDataCentres : 1.0);
    return transfer;
}

segment_transfer planWithoutStore(const segment_facts &facts)
{
    return { facts.holder, {}, 0.0 };
}

} // namespace burdockhold
