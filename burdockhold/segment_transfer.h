#ifndef BURDOCKHOLD_SEGMENT_TRANSFER_H
#define BURDOCKHOLD_SEGMENT_TRANSFER_H

// Where an engine gets the shared parts of a prompt that it lacks, and whether it saves them.
//
// A store's link serves one transfer after the other, with up to two seconds of waiting, while an
// engine reads the longest shared parts in a fifth of a second. So transfers are ordered only while
// the link has room for what all VMs order (quota_ledger.h), and short parts, which are read sooner
// than a usual part ahead of them in the link is moved, only while it is nearly idle. The functions
// are pure.

#include <cstdint>
#include <string>

namespace burdockhold {

struct segment_transfer_options
{
    /// Shorter parts are read sooner than a usual part ahead of them in the link is moved.
    std::int64_t shortTokens = 1000;
    double idleShare = 0.5; ///< Room of the link, as a part of its burst, that short parts need.
    double betweenDataCentres = 2.0; ///< Time of a transfer as a multiple of one within.
    /// Part of the copies that move anything when the engine is expected to hold the part.
    double lostShare = 0.3;
};

/// What is known of the shared parts at the time of a call.
struct segment_facts
{
    std::int64_t tokens = 0;         ///< Of the deepest shared part; the others are in wide use.
    std::int64_t promptTokens = 0;   ///< Of the whole prompt, which is what a save moves.
    bool expectedCached = false;     ///< The engine should hold the part; it may have yielded.
    bool crossesDataCentres = false; ///< The engine and the store are in different data centres.
    std::string holder;              ///< Address of another engine that should hold the part.
    std::string store;               ///< Address of the store that keeps it; may be empty.
    bool storeHoldsAllSegments =
            false;             ///< The store has it and all parts before it, as far as is known.
    double linkHeadroom = 1.0; ///< Of the store's link, as a part of its burst.
};

/// Addresses; empty where nothing is to be moved.
struct segment_transfer
{
    std::string copyFrom;
    std::string saveTo;
    double storeLoad = 0.0; ///< What the transfers take of the store's link, in tokens within.
};

/// The engine copies from the store if that has everything, else from the other engine. A store
/// that is not known to have the part is asked last: another VM may have saved it, and a miss costs
/// a millisecond.
segment_transfer planTransfer(const segment_facts &facts,
                              const segment_transfer_options &options = {});

/// The plan without the store, for a link that has no room.
segment_transfer planWithoutStore(const segment_facts &facts);

} // namespace burdockhold

#endif
