#ifndef BURDOCKHOLD_VIEW_ORDER_H
#define BURDOCKHOLD_VIEW_ORDER_H

// The order of two views of one topic of the log, by the era of the log, the offset up to which the
// reader has applied the topic, and the time at which it confirmed the view.
//
// Promises:
// - Of two views of different eras, that of the earlier one is older, whatever their offsets: a log
//   that returns from a copy gives its offsets out again.
// - Within a stated era, the view with the lower offset is older: the log is linearizable.
// - If one of the views states no era, a view is older only if both its offset and its confirmation
//   are, since the log may have returned from a copy between them.
// - Once the log has returned from a copy, a view that states no era counts as older. It is from a
//   VM of an earlier build, which may read on at an offset of the earlier era.
//
// Failure pattern: a reader that was partitioned from the log while it was restored, and goes on to
// serve its view.

#include "burdockhold/clock.h"
#include "burdockhold/store_era.h"

#include <cstdint>
#include <tuple>

namespace burdockhold {

/// A place in a topic of the log.
struct topic_position
{
    std::int64_t era = 0;     ///< 0 if the log or the sender states none.
    std::uint64_t offset = 0; ///< 0 from a VM of an earlier build that states none.
};

/// The place up to which a reader has applied a topic, and when it was confirmed as its end.
struct view_place
{
    topic_position position;
    duration confirmedAt = duration::zero(); ///< By bootTimeNow().
};

/// Returns whether nothing of the view may be applied where the other one is in use.
inline bool isOlderView(const view_place &view, const view_place &inUse, const store_era &known)
{
    const topic_position &position = view.position;
    const topic_position &used = inUse.position;
    if (position.era == 0 && known.hasRisen())
        return true;
    if (position.era != 0 && used.era != 0)
        return std::tie(position.era, position.offset) < std::tie(used.era, used.offset);
    return position.offset != 0 && position.offset < used.offset
           && view.confirmedAt < inUse.confirmedAt;
}

} // namespace burdockhold

#endif
