#include "burdockhold/segment_transfer.h"

namespace burdockhold {

segment_transfer planTransfer(const segment_facts &facts, const segment_transfer_options &options)
{
    const bool isShort = facts.tokens < options.shortTokens;
    if (facts.store.empty() || (isShort && facts.linkHeadroom < options.minIdleHeadroom))
        return planWithoutStore(facts, options);
    segment_transfer transfer;
    const bool useHolder = facts.holderIsKnown && !facts.holder.empty();
    const bool fromStore = !useHolder && (facts.storeHoldsAllSegments || facts.holder.empty());
    if (options.copySegments)
        transfer.copyFrom = fromStore ? facts.store : facts.holder;
    double transferredTokens = 0.0;
    if (facts.storeHoldsAllSegments && useHolder) {
        return transfer;
    }
    if (facts.storeHoldsAllSegments && options.copySegments) {
        transferredTokens = static_cast<double>(facts.tokens)
                            * (facts.expectedCached ? options.missShare : 1.0);
    } else if (!facts.storeHoldsAllSegments && options.saveSegments) {
        transfer.saveTo = facts.store;
        transferredTokens = static_cast<double>(facts.promptTokens);
    }
    transfer.storeLoad = transferredTokens
                         * (facts.crossesDataCentres ? options.crossDataCentreFactor : 1.0);
    return transfer;
}

segment_transfer planWithoutStore(const segment_facts &facts,
                                  const segment_transfer_options &options)
{
    return { options.copySegments ? facts.holder : std::string(), {}, 0.0 };
}

} // namespace burdockhold
