#include "burdockhold/weights_load_estimator.h"

#include <algorithm>
#include <cmath>

namespace burdockhold {

namespace {

/// The limit is in use when the number of loads in progress is at most this far below it.
constexpr double FullUse = 0.5;
/// More loads at once than a pool can have; bounds what other VMs state.
constexpr double MaxLimit = 1e6;

bool isPlausibleLoadTime(duration time)
{
    return time > duration::zero() && time <= MaxLoadTime;
}

bool isPlausibleDrainTime(duration time)
{
    return time >= duration::zero() && time <= MaxLoadTime;
}

void moveTowards(duration &average, duration newest, double weight)
{
    average += fromSeconds(weight * toSeconds(newest - average));
}

} // namespace

bool isPlausible(const load_estimate &estimate)
{
    return isPlausibleDrainTime(estimate.drainTime) && isPlausibleLoadTime(estimate.loadTime)
           && isPlausibleLoadTime(estimate.fastest) && estimate.limit >= 1.0
           && estimate.limit <= MaxLimit;
}

weights_load_estimator::weights_load_estimator(load_estimator_options options)
    : m_options(options)
{
    m_estimate.drainTime = options.initialDrainTime;
    m_estimate.loadTime = options.initialLoadTime;
    m_estimate.fastest = options.initialLoadTime;
}

void weights_load_estimator::loadFinished(const finished_load &load)
{
    if (!isPlausibleLoadTime(load.loadTime) || !isPlausibleDrainTime(load.drainTime)
        || !(load.concurrent >= 1.0))
        return;
    const double weight = m_known ? m_options.newestWeight : 1.0;
    moveTowards(m_estimate.drainTime, load.drainTime, weight);
    moveTowards(m_estimate.loadTime, load.loadTime, weight);
    const duration drifted = fromSeconds((1.0 + m_options.fastestDrift)
                                         * toSeconds(m_estimate.fastest));
    m_estimate.fastest = m_known ? std::min(drifted, load.loadTime) : load.loadTime;
    m_estimate.limit = loadLimit();
    m_known = true;
    m_measured = true;

    const double fastest = toSeconds(m_estimate.fastest);
    const double slow = std::max(m_options.slowdown * fastest,
                                 fastest + toSeconds(m_options.minSlowdown));
    if (toSeconds(load.loadTime) > slow) {
        const double fullRate = load.concurrent * fastest / toSeconds(load.loadTime);
        m_estimate.limit = std::max(static_cast<double>(m_options.minLimit), fullRate);
        m_estimate.storeIsLimit = true;
    } else if (load.concurrent + FullUse >= m_estimate.limit) {
        m_estimate.limit += m_options.growth / m_estimate.limit;
    }
}

void weights_load_estimator::adopt(const load_estimate &estimate)
{
    if (m_measured || !isPlausible(estimate))
        return;
    m_estimate = estimate;
    m_known = true;
}

double weights_load_estimator::loadLimit() const
{
    if (m_known)
        return m_estimate.limit;
    return std::max(static_cast<double>(m_options.minLimit),
                    std::ceil(m_options.initialShare * static_cast<double>(m_poolSize)));
}

int weights_load_estimator::orderLimit() const
{
    const double drainShare = toSeconds(m_estimate.drainTime) / toSeconds(m_estimate.loadTime);
    const double orders = loadLimit() * (1.0 + drainShare);
    return std::max(m_options.minLimit, static_cast<int>(std::min(MaxLimit, std::round(orders))));
}

} // namespace burdockhold
