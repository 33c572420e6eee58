#include "burdockhold/part_transfer.h"

namespace burdockhold {

part_transfer planTransfer(const part_facts &facts, const part_transfer_options &options)
{
    const bool isShort = facts.tokens < options.shortTokens;
    if (facts.store.empty() || (isShort && facts.linkRoom < options.idleShare))
        return planWithoutStore(facts);
    part_transfer transfer;
    const bool fromStore = facts.storeHoldsAll || facts.holder.empty();
    transfer.copyFrom = fromStore ? facts.store : facts.holder;
    double moved = 0.0;
    if (facts.storeHoldsAll) {
        moved = static_cast<double>(facts.tokens) * (facts.expectedHeld ? options.lostShare : 1.0);
    } else {
        transfer.saveTo = facts.store;
        moved = static_cast<double>(facts.promptTokens);
    }
    transfer.storeLoad = moved * (facts.crossesDataCentres ? options.betweenDataCentres : 1.0);
    return transfer;
}

part_transfer planWithoutStore(const part_facts &facts)
{
    return { facts.holder, {}, 0.0 };
}

} // namespace burdockhold
