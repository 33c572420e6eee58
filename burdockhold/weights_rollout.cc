#include "burdockhold/weights_rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockhold {

rollout_planner::rollout_planner(rollout_options options)
    : m_options(options)
    , m_loads(options.loads)
{
}

std::vector<rollout_action> rollout_planner::step(const std::vector<rollout_engine> &engines,
                                                  const rollout_target &target,
                                                  std::optional<std::int64_t> fencingToken,
                                                  time_point now)
{
    if (!fencingToken || isFenced(*fencingToken))
        return followLoads(now);
    m_loads.setPoolSize(engines.size());
    forgetMissing(engines);
    updateEntries(engines, target.version, now);

    std::vector<const rollout_engine *> sorted;
    sorted.reserve(engines.size());
    for (const rollout_engine &engine : engines)
        sorted.push_back(&engine);
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto *a, const auto *b) {
        return std::make_pair(a->version, a->activeTokens)
               < std::make_pair(b->version, b->activeTokens);
    });

    std::vector<rollout_action> actions;
    int loading = loadingCount(now);
    const int limit = std::max(maxLoading(engines, target.cacheTokens, now),
                               minLoadingBeforeExpiry(engines, target.version));
    int firstWaveLeft = firstWaveRemaining(engines, target.version);
    for (const rollout_engine *engine : sorted) {
        engine_entry &entry = m_engines[engine->id];
        if (entry.callPending || now < entry.nextActionAt)
            continue;
        if (!entry.acceptedOrders || entry.loading) {
            entry.callPending = true;
            actions.emplace_back(query_engine_state{ engine->id, engine->address });
            continue;
        }
        const bool expired = engine->usableFor <= duration::zero();
        const bool mustWait = loading >= limit
                              || (firstWaveLeft <= 0 && !hasDrained(*engine, entry, now));
        if (!entry.behind || (mustWait && !expired))
            continue;
        --firstWaveLeft;
        ++loading;
        entry.callPending = true;
        entry.loading = true;
        entry.loadingSince = now;
        entry.drainedAt.reset();
        entry.loadSeconds = 0.0;
        entry.orderedHere = true;
        actions.emplace_back(weights_order{ engine->id, engine->address, engine->model,
                                            target.version, *fencingToken, *entry.acceptedOrders });
    }
    return actions;
}

/// Returns queries of the engines that this VM has ordered, and forgets the others.
std::vector<rollout_action> rollout_planner::followLoads(time_point now)
{
    m_steppedAt = {}; // Loads are not counted meanwhile.
    std::vector<rollout_action> actions;
    for (auto row = m_engines.begin(); row != m_engines.end();) {
        engine_entry &entry = row->second;
        if (!countsAsLoading(entry, now)) {
            row = m_engines.erase(row);
            continue;
        }
        if (!entry.callPending && now >= entry.nextActionAt) {
            entry.callPending = true;
            actions.emplace_back(query_engine_state{ row->first, entry.address });
        }
        ++row;
    }
    return actions;
}

/// Takes over what the view states about the engines, and notes the progress of their loads.
void rollout_planner::updateEntries(const std::vector<rollout_engine> &engines,
                                    std::int64_t targetVersion, time_point now)
{
    int storeLoads = 0;
    for (const rollout_engine &engine : engines) {
        engine_entry &entry = m_engines[engine.id];
        entry.address = engine.address;
        entry.incarnation = engine.incarnation;
        const bool behind = engine.version < targetVersion;
        if (behind && !entry.behind)
            entry.behindSince = now;
        entry.behind = behind;
        if (!behind && entry.loading) {
            recordFinishedLoad(entry, now);
            entry.loading = false;
        }
        if (entry.loading && !entry.drainedAt && engine.running == 0)
            entry.drainedAt = now;
        storeLoads += entry.loading && entry.drainedAt ? 1 : 0;
    }
    const double elapsed = m_steppedAt == time_point() ? 0.0 : toSeconds(now - m_steppedAt);
    m_steppedAt = now;
    for (auto &[id, entry] : m_engines) {
        if (entry.loading && entry.drainedAt && *entry.drainedAt < now)
            entry.loadSeconds += elapsed * storeLoads;
    }
}

/// Adds a load to the estimate if this VM has seen it from its order on.
void rollout_planner::recordFinishedLoad(engine_entry &entry, time_point now)
{
    const bool seenWhole = entry.orderedHere && entry.drainedAt && *entry.drainedAt < now;
    entry.orderedHere = false;
    if (!seenWhole)
        return;
    const duration loadTime = now - *entry.drainedAt;
    m_loads.loadFinished({ *entry.drainedAt - entry.loadingSince, loadTime,
                           std::max(1.0, entry.loadSeconds / toSeconds(loadTime)) });
}

/// Returns true if the engine runs few requests or has had enough time to drain.
bool rollout_planner::hasDrained(const rollout_engine &engine, const engine_entry &entry,
                                 time_point now) const
{
    return engine.running <= m_options.drainedRequests
           || now - entry.behindSince >= m_options.maxDrainTime;
}

void rollout_planner::stateReceived(std::string_view endpointId, const engine_state &state,
                                    time_point now)
{
    const auto found = m_engines.find(endpointId);
    if (found == m_engines.end())
        return;
    engine_entry &entry = found->second;
    entry.callPending = false;
    // A report from before the last accepted order says nothing about its progress.
    const bool older = entry.acceptedOrders && state.acceptedOrders < *entry.acceptedOrders;
    if (!older) {
        entry.acceptedOrders = state.acceptedOrders;
        if (entry.loading && !state.busy)
            recordFinishedLoad(entry, now);
        entry.loading = state.busy;
        if (state.busy && entry.loadingSince == time_point())
            entry.loadingSince = now;
    }
    entry.nextActionAt = state.busy || older ? now + m_options.queryInterval : now;
}

void rollout_planner::stateFailed(std::string_view endpointId, time_point now)
{
    const auto found = m_engines.find(endpointId);
    if (found == m_engines.end())
        return;
    found->second.callPending = false;
    found->second.nextActionAt = now + m_options.retryDelay;
}

void rollout_planner::orderCompleted(const weights_order &order, order_result result,
                                     time_point now)
{
    if (result == order_result::Fenced)
        m_fencedToken = std::max(m_fencedToken, order.fencingToken);
    const auto found = m_engines.find(order.endpointId);
    if (found == m_engines.end())
        return;
    engine_entry &entry = found->second;
    entry.callPending = false;
    if (result == order_result::Accepted) {
        entry.acceptedOrders = entry.acceptedOrders.value_or(0) + 1;
        entry.nextActionAt = now + std::max(m_options.firstQueryDelay, m_loads.orderTime() / 2);
        return;
    }
    // Without a response the engine may still execute the order, so it counts as loading until its
    // state has been read.
    entry.loading = result == order_result::None;
    entry.acceptedOrders.reset();
    entry.nextActionAt = now + m_options.retryDelay;
}

void rollout_planner::forgetMissing(const std::vector<rollout_engine> &engines)
{
    std::map<std::string_view, std::int64_t> present;
    for (const rollout_engine &engine : engines)
        present.emplace(engine.id, engine.incarnation);
    for (auto entry = m_engines.begin(); entry != m_engines.end();) {
        const auto found = present.find(entry->first);
        const bool same = found != present.end() && found->second == entry->second.incarnation;
        entry = same ? std::next(entry) : m_engines.erase(entry);
    }
}

/// Returns how many engines may load at once while the others have memory for all running requests.
int rollout_planner::maxLoading(const std::vector<rollout_engine> &engines,
                                std::int64_t cacheTokens, time_point now) const
{
    double serving = 0.0;
    double used = 0.0;
    for (const rollout_engine &engine : engines) {
        const auto entry = m_engines.find(engine.id);
        const bool overdue = entry != m_engines.end() && entry->second.loading
                             && !countsAsLoading(entry->second, now);
        if (engine.silent || overdue)
            continue;
        serving += 1.0;
        // Requests that wait at an engine beyond its memory use none of it.
        const std::int64_t engineTokens = cacheTokens > 0
                                                  ? std::min(engine.activeTokens, cacheTokens)
                                                  : engine.activeTokens;
        used += static_cast<double>(engineTokens);
    }
    const double needed = cacheTokens > 0 ? used
                                                    / (m_options.activeShare
                                                       * static_cast<double>(cacheTokens))
                                          : 0.0;
    const double upper = std::min({ std::ceil(m_options.loadingShare * serving),
                                    std::floor(serving - needed),
                                    static_cast<double>(m_loads.orderLimit()) });
    const int lower = std::min(m_options.minLoadingLimit,
                               std::max(1, static_cast<int>(serving) / 2));
    return std::max(lower, static_cast<int>(upper));
}

/// Returns how many engines are still to be ordered at once, before the others may drain.
int rollout_planner::firstWaveRemaining(const std::vector<rollout_engine> &engines,
                                        std::int64_t version) const
{
    const auto started = std::count_if(engines.begin(), engines.end(), [&](const auto &engine) {
        const auto entry = m_engines.find(engine.id);
        return engine.version >= version || (entry != m_engines.end() && entry->second.loading);
    });
    const double share = m_options.firstWaveShare * static_cast<double>(engines.size());
    return std::min(m_loads.orderLimit(), static_cast<int>(std::ceil(share)))
           - static_cast<int>(started);
}

/// Returns how many engines must load at once so that the last one is done before its weights
/// expire.
int rollout_planner::minLoadingBeforeExpiry(const std::vector<rollout_engine> &engines,
                                            std::int64_t version) const
{
    double behind = 0.0;
    duration timeLeft = duration::max();
    for (const rollout_engine &engine : engines) {
        if (engine.version >= version || engine.silent || engine.usableFor <= duration::zero())
            continue;
        behind += 1.0;
        timeLeft = std::min(timeLeft, engine.usableFor);
    }
    // Reserves one load time for the last engines to finish.
    const double rounds = std::max(1.0, toSeconds(timeLeft) / toSeconds(m_loads.fullRateOrderTime())
                                                - 1.0);
    const int needed = static_cast<int>(std::ceil(behind / rounds));
    return m_loads.isLimitedByStore() ? std::min(needed, m_loads.orderLimit()) : needed;
}

bool rollout_planner::countsAsLoading(const engine_entry &entry, time_point now) const
{
    return entry.loading && now - entry.loadingSince < loadTimeout();
}

duration rollout_planner::loadTimeout() const
{
    constexpr int UsualTimes = 3;
    return std::max(m_options.loadTimeout, UsualTimes * m_loads.orderTime());
}

duration rollout_planner::loadTimeLeft(std::string_view endpointId, time_point now) const
{
    const auto found = m_engines.find(endpointId);
    if (found == m_engines.end() || !countsAsLoading(found->second, now))
        return duration::zero();
    return std::max<duration>(duration::zero(),
                              found->second.loadingSince + m_loads.orderTime() - now);
}

std::vector<std::string> rollout_planner::loadingEngines(time_point now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, entry] : m_engines) {
        if (countsAsLoading(entry, now))
            ids.push_back(id);
    }
    return ids;
}

int rollout_planner::loadingCount(time_point now) const
{
    return static_cast<int>(loadingEngines(now).size());
}

} // namespace burdockhold
