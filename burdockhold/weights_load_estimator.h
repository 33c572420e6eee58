#ifndef BURDOCKHOLD_WEIGHTS_LOAD_ESTIMATOR_H
#define BURDOCKHOLD_WEIGHTS_LOAD_ESTIMATOR_H

// Estimates how many engines of a pool should load weights at once, from the loads that have ended.
//
// Load pattern: a new version is announced while the pool is busy. The weight store serves a few
// loads at its full rate; beyond that number, loads share the rate. Ten loads at once then take as
// long as ten loads one after the other, but all ten engines are out of service for the whole time.
// The estimator finds the number at which loads begin to slow down, and allows no more than that.
//
// Promises:
// - Before the first load has ended, initialShare of the pool may load.
// - The limit grows slowly while as many loads as it allows are as fast as the fastest ones, and
//   falls to the number that the store served at full rate when loads slow down.
// - A limit is never below minLimit, and an implausible duration changes nothing.
// - A VM that has seen no load end itself uses the estimate of another VM, so that a new holder of
//   the duty does not start without one.
// Time and memory are constant.

#include "burdockhold/clock.h"

#include <cstddef>

namespace burdockhold {

struct load_estimator_options
{
    /// Share of a pool that loads at once before any load has ended. The others take over its
    /// requests.
    double initialShare = 0.2;
    int minLimit = 2;
    /// A load is slow when it takes this many times as long as the fastest ones, and at least
    /// minSlowdown longer; states are queried a few times a second.
    double slowdown = 1.1;
    duration minSlowdown = std::chrono::milliseconds(300);
    /// Weight of the newest load in the averages.
    double newestWeight = 0.2;
    /// The fastest time rises by this fraction with each load, so that an exceptional one is
    /// forgotten.
    double fastestDrift = 0.01;
    /// Added to the limit when as many loads as it allows were as fast as the fastest ones.
    double growth = 0.5;
    /// Assumed before the first load has ended.
    duration initialLoadTime = std::chrono::milliseconds(1200);
    duration initialDrainTime = std::chrono::milliseconds(600);
};

/// Longer loads are faults of an engine and are ignored.
inline constexpr duration MaxLoadTime = std::chrono::seconds(60);

/// A load that has ended.
struct finished_load
{
    duration drainTime = duration::zero(); ///< From the order until no request ran on the engine.
    duration loadTime = duration::zero();  ///< From then on until the new weights were in service.
    double concurrent = 1.0;               ///< Mean number of loads in progress, this one included.
};

/// Usual times of loads, as one VM has measured them.
struct load_estimate
{
    duration drainTime = duration::zero(); ///< Usual time.
    duration loadTime = duration::zero();  ///< Usual time.
    duration fastest = duration::zero();   ///< Load time at the store's full rate.
    double limit = 0.0;                    ///< Loads at once that the store serves at full rate.
    bool storeIsLimit = false;             ///< Loads have slowed down beyond the limit.
};

/// Returns false for an estimate that no measurement can give; another VM may state anything.
bool isPlausible(const load_estimate &estimate);

class weights_load_estimator
{
public:
    explicit weights_load_estimator(load_estimator_options options = {});

    void setPoolSize(std::size_t engines) { m_poolSize = engines; }

    void loadFinished(const finished_load &load);

    /// Uses another VM's estimate until a load has ended on this VM.
    void adopt(const load_estimate &estimate);

    /// Returns the times in use: measured, adopted or assumed.
    const load_estimate &estimate() const { return m_estimate; }

    /// Returns the estimate if a load has ended on this VM, else nullptr.
    const load_estimate *measured() const { return m_measured ? &m_estimate : nullptr; }

    /// Returns how many engines may be ordered at once. Ordered engines that still run requests do
    /// not use the store, so the limit counts them only in part.
    int orderLimit() const;

    /// Returns the usual time from an order until the new weights are in service.
    duration orderTime() const { return m_estimate.drainTime + m_estimate.loadTime; }

    /// The same while the store serves loads at its full rate.
    duration fullRateOrderTime() const { return m_estimate.drainTime + m_estimate.fastest; }

    /// Returns true once loads have slowed down: more loads at once than the limit would only end
    /// later.
    bool isLimitedByStore() const { return m_estimate.storeIsLimit; }

private:
    double loadLimit() const;

    load_estimator_options m_options;
    std::size_t m_poolSize = 0;
    load_estimate m_estimate;
    bool m_known = false;    ///< The estimate comes from loads, of this VM or another.
    bool m_measured = false; ///< A load has ended on this VM.
};

} // namespace burdockhold

#endif
