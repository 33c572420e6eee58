#ifndef BURDOCKHOLD_PREFILL_RATES_H
#define BURDOCKHOLD_PREFILL_RATES_H

// Estimates the rate at which the engines of each pool read prompts, in tokens per millisecond.
//
// Load pattern: pools of different hardware and models. With an assumed rate, a router queues a
// second of work at a slow engine, where urgent requests wait behind others, and leaves a fast
// engine idle until the next report of its load.
//
// A VM measures calls whose first event has arrived: unread prompt tokens, their own and those
// ahead of them, against time. A first event takes a constant time besides, so the rate is the
// slope between the medians of the shortest and of the longest prompts. It is the rate that calls
// get: waits behind calls that this VM has not heard of yet lower it. Digests carry what each VM
// has measured itself; the rate in use is the lower median of all VMs' rates, this VM's included.
//
// Promises:
// - Before anything is measured or heard, the rate is initialRate.
// - An engine has at most samplesPerEngine samples in the estimate, and fewer than minEngines
//   engines give none, or all engines of a smaller pool. A minority of slow engines, or of engines
//   that answer without reading, moves the medians little.
// - A VM that starts uses the other VMs' rates as soon as it has heard one. What was heard is not
//   passed on, and is forgotten after peerExpiry.
// - A rate that no measurement can give is dropped; applyPeerRows() returns how many were.
// Memory is bounded by maxPools, maxEngines and maxPeers. A measurement takes time linear in the
// samples of the pool and runs at most once per measureInterval.

#include "burdockhold/clock.h"
#include "burdockhold/vm_digest.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// Rates outside of these bounds, in tokens per millisecond, are faults.
inline constexpr double MinPrefillRate = 1.0;
inline constexpr double MaxPrefillRate = 5000.0;

struct prefill_rates_options
{
    double initialRate = 50.0; ///< Tokens per millisecond.
    std::size_t minEngines = 3;
    std::size_t samplesPerEngine = 12;
    std::size_t minSamples = 18;  ///< In a pool, for a first measurement.
    std::int64_t minTokens = 200; ///< Shorter prompts say little about the rate.
    double minSpread = 1.5;       ///< Of long to short prompts, for a slope.
    duration maxFirstEvent = std::chrono::seconds(20); ///< Longer times are faults.
    duration sampleExpiry = std::chrono::seconds(60);
    duration measureInterval = std::chrono::milliseconds(500);
    double newestWeight = 0.3; ///< Of the newest measurement in the VM's rate.
    /// Rates in digests are forgotten after this time without another.
    duration peerExpiry = std::chrono::seconds(10);
    std::size_t maxPools = 64;
    std::size_t maxEngines = 1024; ///< Of a pool.
    std::size_t maxPeers = 1024;   ///< Of a pool; a summary counts as one.
    /// A relative change of the rate in use that is reported.
    double reportedChange = 0.2;
};

/// A call before its first event, and the prompt tokens that the engine had to read for it.
struct prefill_call
{
    time_point startedAt;
    std::int64_t tokensAhead = 0; ///< Of requests of all VMs before it.
    std::int64_t unreadTokens = 0;
    /// The engine copies segments that it would otherwise read, so unreadTokens are not known.
    bool copies = false;
};

/// A rate that has changed by more than reportedChange since the last report.
struct prefill_rate_change
{
    double before = 0.0;
    double rate = 0.0;
    double measured = 0.0; ///< By this VM; 0 if it has none.
    std::size_t samples = 0;
    std::size_t engines = 0; ///< With samples.
    std::size_t peers = 0;   ///< VMs and data centres whose rates are in use.
};

class prefill_rates
{
public:
    explicit prefill_rates(prefill_rates_options options = {});

    /// Records that the first event of a call has arrived.
    void prefillFinished(std::string_view pool, std::string_view engine, const prefill_call &call,
                         time_point now);

    /// Uses the rates that another VM or a data centre's summary states. Returns the number of rows
    /// that were dropped.
    std::size_t applyPeerRows(const std::string &sender, const std::vector<prefill_row> &rows,
                              time_point now);

    /// Adds what this VM has measured itself.
    void fillDigest(vm_digest &digest) const;

    /// Measures the pool again if that is due. Returns a change that is to be logged.
    std::optional<prefill_rate_change> step(std::string_view pool, std::size_t poolSize,
                                            time_point now);

    /// Returns the rate in use.
    double tokensPerMs(std::string_view pool) const;

private:
    struct sample
    {
        double ownTokens = 0.0;
        double tokens = 0.0; // With those ahead.
        double ms = 0.0;
        time_point at;
    };
    struct stated_rate
    {
        double rate = 0.0;
        time_point at;
    };
    struct pool_state
    {
        std::map<std::string, std::deque<sample>, std::less<>> samples; // By engine.
        std::map<std::string, stated_rate> peers;                       // By sender.
        std::optional<double> measured;
        bool changed = false; // Samples were added since the last measurement.
        double rate = 0.0;
        double reported = 0.0;
        time_point measureDueAt;
    };

    pool_state *poolOf(std::uint32_t pool);
    void measure(pool_state &pool, std::size_t poolSize) const;
    void expire(pool_state &pool, time_point now) const;
    double agreedRate(const pool_state &pool) const;
    std::optional<double> slopeOf(std::vector<sample> samples) const;

    prefill_rates_options m_options;
    std::map<std::uint32_t, pool_state> m_pools; // By shortHash of the name.
};

/// Returns the lower median of the rates; 0 if there are none.
double lowerMedian(std::vector<double> values);

/// Returns the expected time from now until an engine has read these tokens.
duration prefillTime(std::int64_t tokens, double tokensPerMs);

} // namespace burdockhold

#endif
