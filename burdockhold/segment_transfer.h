#ifndef BURDOCKHOLD_SEGMENT_TRANSFER_H
#define BURDOCKHOLD_SEGMENT_TRANSFER_H

// Decides from where an engine copies the shared prompt segments that it lacks, and whether it
// saves them to a store.
//
// A store's link serves one transfer at a time, with waits of up to two seconds, while an engine
// prefills the longest shared segments in a fifth of a second. So transfers are requested only
// while the link has capacity for the transfers of all VMs (quota_ledger.h). Short segments are
// transferred only while the link is nearly idle: prefilling them takes less time than the transfer
// of one usual segment ahead of them. The functions are pure.

#include <cstdint>
#include <string>

namespace burdockhold {

struct segment_transfer_options
{
    /// Prefilling fewer tokens takes less time than one usual transfer ahead of them on the link.
    std::int64_t shortTokens = 1000;
    /// Least headroom of the link, as a fraction of its burst, for transfers of short segments.
    double minIdleHeadroom = 0.5;
    /// Time of a transfer between data centres as a multiple of one within a data centre.
    double crossDataCentreFactor = 2.0;
    /// Fraction of the copies that transfer data although the engine is expected to hold the
    /// segment.
    double missShare = 0.3;
    bool copySegments = true; ///< False: engines recompute what they lack.
    bool saveSegments = true; ///< False: engines save nothing to a store.
};

/// What is known about the shared segments of a prompt at the time of a call.
struct segment_facts
{
    /// Tokens of the deepest shared segment. The others are widely used, so engines usually
    /// hold them.
    std::int64_t tokens = 0;
    std::int64_t promptTokens = 0; ///< Tokens of the whole prompt, which a save transfers.
    /// The engine should hold the segment, but may have evicted it.
    bool expectedCached = false;
    bool crossesDataCentres = false; ///< The engine and the store are in different data centres.
    std::string holder;              ///< Address of another engine that should hold the segment.
    /// The holder has lately computed or copied the segment, as its scheduler knows.
    bool holderIsKnown = false;
    std::string store; ///< Address of the segment's store; may be empty.
    /// The store is believed to hold the segment and all segments before it.
    bool storeHoldsAllSegments = false;
    double linkHeadroom = 1.0; ///< Headroom of the store's link, as a fraction of its burst.
};

/// A planned transfer. Addresses are empty where nothing is transferred.
struct segment_transfer
{
    std::string copyFrom;
    std::string saveTo;
    /// Load on the store's link, in tokens of a transfer within a data centre.
    double storeLoad = 0.0;
};

/// Plans a copy from an engine that is known to hold the segment, since engines' links are rarely
/// busy; else from the store if it holds all segments, else from the other engine. Without such
/// an engine, a store that is not known to hold the segment is tried: another VM may have saved it,
/// and a miss costs a millisecond.
segment_transfer planTransfer(const segment_facts &facts,
                              const segment_transfer_options &options = {});

/// Plans without the store, for a link without capacity.
segment_transfer planWithoutStore(const segment_facts &facts,
                                  const segment_transfer_options &options = {});

} // namespace burdockhold

#endif
