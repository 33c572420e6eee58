#ifndef BURDOCKHOLD_PACE_LIMIT_H
#define BURDOCKHOLD_PACE_LIMIT_H

// Limits the prompt tokens in flight at an engine that has just become usable: after a start, a
// load of weights, a recovery from failures or a pause.
//
// Load pattern: the engine looks idle to every VM at once, and each sends it what it has waiting
// before any of them hears of the others' calls. The engine may still be slow. The limit starts at
// a floor and doubles every doublingTime, and grows faster while first events come in time. A late
// first event or a failure reduces it, and from then on it grows linearly. At the ceiling it no
// longer binds. An engine without a limit that is late or fails several times in a row gets one
// again; single refusals are common under overload.
//
// Promises:
// - The limit is 0 for holdTime after a failure and at least the floor at other times, so that a
//   recovered engine is found. It ends
//   recoveryTime() after the last late event or failure.
// - It is never above a stated one (limitTo()) while that applies.
// - An implausible time changes nothing.
// The limit belongs to the engine; tokensOfVm() gives each VM its part without any exchange. Time
// and memory are constant.

#include "burdockhold/clock.h"

#include <cstddef>
#include <cstdint>
#include <limits>

namespace burdockhold {

/// Tokens of one request at least, so that a part of a limit is useful to a VM.
inline constexpr double MinVmTokens = 2000.0;

struct pace_limit_options
{
    /// Tokens after a start; 100 ms of work of an engine that reads 40 tokens per ms.
    double floorTokens = 4000.0;
    /// Twice the usual limit on pending prompt tokens. Views of VMs that are some hundred
    /// milliseconds old exceed that one too. With many VMs, the ceiling is MinVmTokens for each:
    /// if the limit ended while only some of the VMs use the engine, the others would all come at
    /// once.
    double ceilingTokens = 24000.0;
    duration doublingTime = std::chrono::milliseconds(400);
    /// Growth after a late event or a failure, until the next start: a part of the ceiling per
    /// second.
    double linearGrowth = 0.25;
    /// An event is late if it takes longer than expected by this factor and at least
    /// minLateness: views that are out of date explain less.
    double lateFactor = 2.0;
    duration minLateness = std::chrono::milliseconds(150);
    double lateReduction = 0.7;
    double failureReduction = 0.5;
    /// The limit does not change for this long after a reduction: events of calls that were
    /// placed before it tell nothing new.
    duration holdTime = std::chrono::milliseconds(300);
    /// Late events and failures in a row after which an engine without a limit gets one.
    int maxLateEvents = 4;
};

class pace_limit
{
public:
    /// The limit does not bind before started() or a series of late events.
    explicit pace_limit(pace_limit_options options = {});

    /// The engine has become usable: a new incarnation, a load, a recovery or the end of a pause.
    void started(time_point now);

    /// A first event has come for a call with this many tokens to read.
    void firstEvent(double expectedMs, double actualMs, std::int64_t tokens, time_point now);

    /// The engine has refused a call or failed.
    void failed(time_point now);

    /// Keeps the limit at or below a stated one until a time.
    void limitTo(double tokens, time_point until);

    /// Returns the limit, or infinity if it does not bind.
    double tokens(time_point now) const;

    /// Sets the number of VMs that share the limit; 1 before the first call.
    void setVms(std::size_t vms);

    /// Returns the time after a start, a late event or a failure in which the limit ends if no
    /// other late event or failure follows.
    duration recoveryTime() const;

private:
    enum class growth { Unlimited, Doubling, Linear };

    double ceilingTokens() const;
    double ownTokens(time_point now) const;
    void reduce(double factor, time_point now);

    pace_limit_options m_options;
    std::size_t m_vms = 1;
    growth m_growth = growth::Unlimited;
    double m_tokens = 0.0; ///< Limit at m_since, from which it grows.
    time_point m_since;
    time_point m_closedUntil = time_point::min();
    int m_lateEvents = 0; ///< In a row, with failures.
    double m_statedTokens = std::numeric_limits<double>::infinity();
    time_point m_statedUntil = time_point::min();
};

/// Returns this VM's part of an engine's limit. The fewer tokens there are, the fewer VMs use the
/// engine. The VM's draw is a number in [0, 1) that differs between VMs, engines and incarnations,
/// such as a hash: the expected number of VMs that use the engine is that which the limit allows,
/// and their parts add up to the limit in the mean over draws. A VM that hears of no other counts
/// the VMs that it knows of, so its part does not grow in a partition.
double tokensOfVm(double limit, std::size_t vms, double draw);

} // namespace burdockhold

#endif
