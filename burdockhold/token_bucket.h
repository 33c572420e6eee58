#ifndef BURDOCKHOLD_TOKEN_BUCKET_H
#define BURDOCKHOLD_TOKEN_BUCKET_H

// A token bucket whose reservations can be given back in part. It promises: in every window, the
// tokens taken and not given back, counted at the time they were taken, are at most
// rate x time + capacity.
//
// A give-back rewrites history: the bucket behaves as if the reservation had been smaller from the
// start. The level would then have been higher by the same amount ever since, which is only true
// when it would not have reached the capacity. So a give-back restores at most the smallest
// headroom (capacity - level) since the reservation, and it lowers the recorded headroom of that
// period, because a later give-back must respect the rewritten history.
//
// Limits: at most maxSegments periods and maxReservations reservations are remembered. When there
// are more, periods are merged, which can only make a give-back smaller, and the oldest reservation
// is forgotten, which makes its give-back nothing. take() is amortised O(log maxReservations);
// giveBack() is O(maxSegments).

#include "burdockhold/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace burdockhold {

/// Names one reservation of one bucket. Grows with every take() and is never 0.
using reservation_id = std::uint64_t;

struct token_bucket_options
{
    double rate = 0.0;     ///< Tokens per second.
    double capacity = 0.0; ///< Largest level, in tokens.
    bool startFull = false;
    std::size_t maxSegments = 256;
    std::size_t maxReservations = 65536;
};

/// The bucket. Times passed in may repeat or go back; a time before the latest one counts as the
/// latest one.
class token_bucket
{
public:
    token_bucket(const token_bucket_options &options, time_point now);

    /// Deducts tokens and returns the reservation, or nothing when the level is lower than tokens.
    std::optional<reservation_id> take(double tokens, time_point now);

    /// Gives back up to tokens of a reservation and returns how many were restored. Tokens that
    /// cannot be restored are lost. A reservation never gives back more than it took in total; an
    /// unknown one gives back nothing.
    double giveBack(reservation_id id, double tokens, time_point now);

    /// Forgets a reservation that will not be given back any more.
    void close(reservation_id id);

    /// Changes rate and capacity from now on. A larger capacity adds no tokens; a smaller one
    /// cuts the level.
    void setLimits(double rate, double capacity, time_point now);

    /// Removes all tokens, as for a bucket whose recent history is not known.
    void drain(time_point now);

    /// Returns the tokens that can be taken at now.
    double level(time_point now);

    double rate() const { return m_options.rate; }
    double capacity() const { return m_options.capacity; }

private:
    /// The time from one reservation to the next that starts a segment.
    struct segment
    {
        reservation_id first = 0;
        double minHeadroom = 0.0;
    };

    void advance(time_point now);
    void noteHeadroom();
    void dropUnneededSegments();
    void mergeSegments();

    token_bucket_options m_options;
    double m_level = 0.0;
    time_point m_time;
    reservation_id m_last = 0;
    std::deque<segment> m_segments;
    std::map<reservation_id, double> m_reservations; ///< Tokens that may still be given back.
};

} // namespace burdockhold

#endif
