#ifndef BURDOCKHOLD_LEFT_OUT_H
#define BURDOCKHOLD_LEFT_OUT_H

// The endpoints of a pool that a placement leaves out because they themselves have said that they
// leave or want a pause, and what this means for a request that no endpoint can take.
//
// Promises: a request for which an endpoint may become free before it has to be refused anyway is
// not refused. The functions are pure and linear in the number of candidates.
// Limit: endpoints that are about to register are unknown, so they are not waited for.

#include "burdockhold/endpoint_choice.h"

#include <optional>
#include <vector>

namespace burdockhold {

struct left_out
{
    int leaving = 0;
    int paused = 0;
    /// End of the first pause; nothing if no endpoint is paused.
    std::optional<time_point> firstEnd;
    /// The same among the endpoints that the request may still be sent to.
    std::optional<time_point> firstReturn;
    /// An endpoint that is neither leaving nor paused may become free for the request.
    bool othersMayServe = false;

    int total() const { return leaving + paused; }
};

left_out countLeftOut(const std::vector<endpoint_candidate> &candidates);

/// Returns whether a request that no endpoint can take now is refused at once: all endpoints leave,
/// pause or have been tried, not all of them only the last, and none that it may still be sent to
/// returns before the end of its longest wait.
bool mustRefuseAtOnce(const left_out &endpoints, time_point waitEnd);

} // namespace burdockhold

#endif
