#ifndef BURDOCKHOLD_ENDPOINT_PAUSE_H
#define BURDOCKHOLD_ENDPOINT_PAUSE_H

// What one incarnation of an endpoint has said about new calls in its answers to this VM: that it
// leaves, or that it wants none for a while. Pure state over time and events; the endpoint table
// holds one for each endpoint and makes a new one for each incarnation.
//
// Promises:
// - After the endpoint has said that it leaves, no call starts for the rest of the incarnation,
//   whatever its entry in the log says: the endpoint knows best. Calls that run are not ended.
// - After it has asked for a pause, no call starts until the pause is over. Nested pauses end at
//   the latest end. The pause is longer than stated by a share that differs between VMs, so that
//   they do not all come back together.
// - The first call after a pause goes alone. Each call that the endpoint accepts then allows one
//   more call without an answer, until openWindow are allowed; after that there is no limit. A call
//   that ends without an answer allows another one in its place.
// - A pause is no failure: it is not counted as one and changes no estimate.
//
// Failures and limits:
// - A pause above the bound ends at the bound, the first of maxPauses. One answer then takes an
//   endpoint out for at most that time. If the single call that follows is refused before the
//   stated end, the next bound applies: a pause is obeyed to its end once three refusals have
//   stated it, so an endpoint gets two calls at most in it, up to the last bound. An accepted call
//   resets the bound.
// - An earlier statement counts beside the one of a refusal only if this one confirms it
//   (confirmedPause). So a false statement that short pauses follow keeps no endpoint out, and an
//   endpoint that takes back a longer statement gets further calls within it.
// - A call that the endpoint never answers blocks the others after a pause until it ends, by its
//   time limit at the latest.
// - An answer of an incarnation of which this VM has not read the entry yet is recorded for the
//   previous one. A pause is forgotten when the entry arrives; therefore the first call to the
//   incarnation that follows a leaving, pausing or limited one goes alone (limitCalls). What
//   becomes of a leaving is stated in endpoint_table.h.
// - Other VMs are not told. The statement concerns this VM's calls, and a garbled or false one then
//   costs one VM's use of the endpoint, not all of them. What another VM pays for the endpoint's
//   word is one call, which a leaving endpoint serves and a pausing one refuses without running it.
//   A restarted VM has forgotten the state.

#include "burdockhold/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace burdockhold {

struct endpoint_pause_options
{
    /// Bounds of a pause, by the number of bounds that the stated pause has outlasted.
    std::array<duration, 3> maxPauses{ std::chrono::seconds(30), std::chrono::seconds(120),
                                       std::chrono::hours(24) };
    /// A refusal confirms an earlier statement if it states at least this share of the rest of it.
    double confirmingShare = 0.5;
    /// A pause is lengthened by at most this share of it, and by at most maxReturnSpread.
    double returnSpreadShare = 0.25;
    duration maxReturnSpread = std::chrono::milliseconds(400);
    /// Calls without an answer after a pause from which on their number is not limited.
    int openWindow = 8;
};

/// Returns for how long an endpoint wants no call that has now stated a pause while the given rest
/// of an earlier statement was left: the longer of both if the new one confirms the earlier one.
duration confirmedPause(duration stated, duration restOfEarlier, double confirmingShare);

class endpoint_pause
{
public:
    enum class state { Open, Leaving, Paused };

    endpoint_pause() = default;
    explicit endpoint_pause(endpoint_pause_options options)
        : m_options(options)
    {
    }

    /// Records that the endpoint leaves. Returns false if that was known.
    bool recordLeaving();

    /// Records that the endpoint wants no call for the stated time from now on. The spread, from 0
    /// to 1, is the part of the lengthening that applies. Returns true if no pause was running.
    bool recordPause(duration stated, double spread, time_point now);

    /// Lets the next call go alone, as after a pause. Without effect while calls are limited.
    void limitCalls();

    /// Returns whether a call may start now. In state Paused this may be because the calls after a
    /// pause are still limited.
    state stateAt(time_point now) const;

    bool isLeaving() const { return m_leaving; }
    bool isPausing(time_point now) const { return now < m_pausedUntil; }

    /// Returns whether the number of calls without an answer is limited, as after a pause.
    bool isLimited() const { return m_window > 0; }

    /// Returns the end of the last pause, with its lengthening.
    time_point pausedUntil() const { return m_pausedUntil; }
    /// Returns the latest end that was stated; later than pausedUntil() if that is shortened.
    time_point statedEnd() const { return m_statedEnd; }

    /// Records the start of a call. Returns the pause that it follows, or 0 if the number of calls
    /// is not limited.
    std::uint32_t callStarted(time_point now);

    /// Records that the endpoint has accepted a call. The pause is what callStarted() returned;
    /// calls that started before the last pause count for nothing.
    void callAccepted(std::uint32_t pause);

    /// Records that a call has ended or was refused before the endpoint accepted it.
    void callEnded(std::uint32_t pause);

private:
    void beginPause();

    endpoint_pause_options m_options;
    bool m_leaving = false;
    time_point m_pausedUntil = time_point::min();
    time_point m_statedEnd = time_point::min();
    std::size_t m_outlasted = 0; // Bounds that the stated pause has outlasted.
    std::uint32_t m_pauses = 0;  // Number of pauses, nested ones included.
    int m_window = 0;            // Calls without an answer that are allowed; 0 if not limited.
    int m_unanswered = 0;        // Calls of the current pause without an answer.
};

} // namespace burdockhold

#endif
