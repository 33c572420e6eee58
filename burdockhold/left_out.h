#ifndef BURDOCKHOLD_LEFT_OUT_H
#define BURDOCKHOLD_LEFT_OUT_H

// The endpoints of a pool that a placement leaves out because they themselves have said that they
// leave or want a pause, or because the operator has evacuated their data centre, and what this
// means for a request that no endpoint can take.
//
// Promises: a request for which an endpoint may become free before it has to be refused anyway is
// not refused. The functions are pure and linear in the number of candidates.
// Limit: endpoints that are about to register are unknown, so they are not waited for.

#include "burdockhold/endpoint_choice.h"

#include <optional>
#include <string_view>
#include <vector>

namespace burdockhold {

struct left_out
{
    int leaving = 0;
    int paused = 0;
    int evacuated = 0; ///< In an evacuated data centre.
    int tried = 0;
    /// End of the first pause; nothing if no endpoint is paused.
    std::optional<time_point> firstEnd;
    /// The same among the endpoints that the request may still be sent to.
    std::optional<time_point> firstReturn;
    /// An endpoint that is not leaving, paused or evacuated may become free for the request.
    bool othersMayServe = false;

    /// Returns the number of those that are left out by their own statement.
    int total() const { return leaving + paused; }
};

left_out countLeftOut(const std::vector<endpoint_candidate> &candidates);

/// Returns whether a request that no endpoint can take now is refused at once: all endpoints leave,
/// pause, are evacuated or have been tried, not all of them only the last, and none that it may
/// still be sent to returns before the end of its longest wait. Evacuated endpoints do not count
/// beside tried ones alone, which may have refused the request for a reason of their own.
bool mustRefuseAtOnce(const left_out &endpoints, time_point waitEnd);

/// Returns the log reason of a request that is refused at once.
std::string_view reasonOf(const left_out &endpoints);

} // namespace burdockhold

#endif
