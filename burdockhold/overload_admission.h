#ifndef BURDOCKHOLD_OVERLOAD_ADMISSION_H
#define BURDOCKHOLD_OVERLOAD_ADMISSION_H

// Decides whether a request that no endpoint can take now may wait, and when the caller of a
// refused one should come back.
//
// Promises:
// - A request is refused at once if it is not expected to be placed before its latest start, by
//   what waits ahead of it and the rate at which requests of its priority are placed.
// - The stated pause is the time after which the request could be placed in time, one refused
//   caller after another at the rate of placement. It is at most a third of the time that the
//   caller has left, jitter included, but not below MinPause.
// - A caller that comes back is recognised once, within returnTime.
//
// Failure behaviour: while no rate is known, requests wait. A rate that was too high lets requests
// wait in vain; they are refused at their latest start. State is bounded by maxRefused.
//
// Load pattern: an overload that lasts. Without refusals each request waits until it is of no use;
// if all refused callers came back together, the overload would return with them.

#include "burdockhold/clock.h"
#include "burdockhold/waiting_room.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace burdockhold {

struct overload_admission_options
{
    /// The promised times of refused callers reach at most this far ahead.
    duration maxPromise = std::chrono::seconds(2);
    /// How long a refused caller is expected back.
    duration returnTime = std::chrono::seconds(5);
    std::size_t maxRefused = 4096; ///< Refused callers that are remembered.
};

struct overload_verdict
{
    bool mayWait = true;
    duration expectedWait = duration::zero();
    duration retryAfter = duration::zero(); ///< Without jitter; only if it may not wait.
};

class overload_admission
{
public:
    /// Connecting again takes up part of a shorter pause.
    static constexpr duration MinPause = std::chrono::milliseconds(50);

    explicit overload_admission(overload_admission_options options = {});

    /// Decides on a request that is not in the room yet.
    overload_verdict decide(const waiting_room &room, const waiting_request &request,
                            time_point now) const;

    /// Returns the pause for the caller of a refused request, and counts it as promised. The
    /// caller's time ends at callerEnd. The hash identifies the request when it comes back.
    duration refuse(const waiting_room &room, const waiting_request &request, time_point callerEnd,
                    std::uint64_t requestHash, time_point now);

    /// Returns true if the request was refused before; once for each refusal.
    bool takeReturning(std::uint64_t requestHash, time_point now);

private:
    void forgetOld(time_point now);

    overload_admission_options m_options;
    time_point m_promisedUntil = time_point::min(); ///< When the last refused caller has its turn.
    std::unordered_map<std::uint64_t, time_point> m_refused;     ///< Times of refusals, by hash.
    std::deque<std::pair<time_point, std::uint64_t>> m_refusals; ///< The oldest first.
};

/// Returns the longest pause for a caller that has this much time left, before jitter.
duration longestPause(duration timeLeft);

} // namespace burdockhold

#endif
