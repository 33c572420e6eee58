#include "burdockhold/weights_rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockhold {

rollout_planner::rollout_planner(rollout_options options)
    : m_options(options)
{
}

std::vector<rollout_action> rollout_planner::step(const std::vector<rollout_engine> &engines,
                                                  const rollout_target &wanted,
                                                  std::optional<std::int64_t> fencingToken,
                                                  time_point now)
{
    if (!fencingToken || isFenced(*fencingToken)) {
        m_engines.clear();
        return {};
    }
    m_token = *fencingToken;
    forgetMissing(engines);

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
    const int most = std::max(mostLoading(engines, wanted.cacheTokens, now),
                              leastInTime(engines, wanted.version));
    int firstWaveLeft = firstWave(engines, wanted.version);
    for (const rollout_engine *engine : sorted) {
        engine_entry &entry = m_engines[engine->id];
        entry.incarnation = engine->incarnation;
        const bool behind = engine->version < wanted.version;
        if (behind && !entry.behind)
            entry.behindSince = now;
        entry.behind = behind;
        if (!behind)
            entry.loading = false;
        if (entry.callOpen || now < entry.nextAction)
            continue;
        if (!entry.acceptedOrders || entry.loading) {
            entry.callOpen = true;
            actions.emplace_back(query_engine_state{ engine->id, engine->address });
            continue;
        }
        if (engine->version >= wanted.version)
            continue;
        const bool ended = engine->usableFor <= duration::zero();
        const bool drained = engine->running <= m_options.fewRunning;
        const bool mayWait = !drained && firstWaveLeft <= 0
                             && now - entry.behindSince < m_options.forceAfter;
        if (!ended && (loading >= most || mayWait))
            continue;
        --firstWaveLeft;
        ++loading;
        entry.callOpen = true;
        entry.loading = true;
        entry.loadingSince = now;
        actions.emplace_back(weights_order{ engine->id, engine->address, engine->model,
                                            wanted.version, *fencingToken, *entry.acceptedOrders });
    }
    return actions;
}

void rollout_planner::stateReceived(std::string_view endpointId, const engine_state &state,
                                    time_point now)
{
    const auto found = m_engines.find(endpointId);
    if (found == m_engines.end())
        return;
    engine_entry &entry = found->second;
    entry.callOpen = false;
    // A report from before the last accepted order says nothing of its progress.
    const bool older = entry.acceptedOrders && state.acceptedOrders < *entry.acceptedOrders;
    if (!older) {
        entry.acceptedOrders = state.acceptedOrders;
        entry.loading = state.busy;
        if (state.busy && entry.loadingSince == time_point())
            entry.loadingSince = now;
    }
    entry.nextAction = state.busy || older ? now + m_options.checkInterval : now;
}

void rollout_planner::stateFailed(std::string_view endpointId, time_point now)
{
    const auto found = m_engines.find(endpointId);
    if (found == m_engines.end())
        return;
    found->second.callOpen = false;
    found->second.nextAction = now + m_options.retryPause;
}

void rollout_planner::orderCompleted(std::string_view endpointId, order_result answer,
                                     time_point now)
{
    if (answer == order_result::Fenced)
        m_fencedToken = std::max(m_fencedToken, m_token);
    const auto found = m_engines.find(endpointId);
    if (found == m_engines.end())
        return;
    engine_entry &entry = found->second;
    entry.callOpen = false;
    if (answer == order_result::Accepted) {
        entry.acceptedOrders = entry.acceptedOrders.value_or(0) + 1;
        entry.nextAction = now + m_options.firstCheck;
        return;
    }
    // Without an answer the order may yet be carried out, so the engine keeps its place among the
    // loading ones until its state has been read.
    entry.loading = answer == order_result::None;
    entry.acceptedOrders.reset();
    entry.nextAction = now + m_options.retryPause;
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

/// Engines that may load at once while the others can hold what all hold now.
int rollout_planner::mostLoading(const std::vector<rollout_engine> &engines,
                                 std::int64_t cacheTokens, time_point now) const
{
    double serving = 0.0;
    double held = 0.0;
    for (const rollout_engine &engine : engines) {
        const auto entry = m_engines.find(engine.id);
        const bool overdue = entry != m_engines.end() && entry->second.loading
                             && !countsAsLoading(entry->second, now);
        if (engine.silent || overdue)
            continue;
        serving += 1.0;
        // What waits at an engine beyond its memory is not held.
        const std::int64_t holds = cacheTokens > 0 ? std::min(engine.activeTokens, cacheTokens)
                                                   : engine.activeTokens;
        held += static_cast<double>(holds);
    }
    const double needed = cacheTokens > 0 ? held
                                                    / (m_options.activeShare
                                                       * static_cast<double>(cacheTokens))
                                          : 0.0;
    const double most = std::min(std::ceil(m_options.loadingShare * serving),
                                 std::floor(serving - needed));
    const int least = std::min(m_options.leastLoading, std::max(1, static_cast<int>(serving) / 2));
    return std::max(least, static_cast<int>(most));
}

/// Engines that are still to be ordered before the rest may drain.
int rollout_planner::firstWave(const std::vector<rollout_engine> &engines,
                               std::int64_t version) const
{
    int begun = 0;
    for (const rollout_engine &engine : engines) {
        const auto entry = m_engines.find(engine.id);
        const bool loading = entry != m_engines.end() && entry->second.loading;
        begun += engine.version >= version || loading ? 1 : 0;
    }
    const double share = m_options.firstWaveShare * static_cast<double>(engines.size());
    return static_cast<int>(std::ceil(share)) - begun;
}

/// Engines that have to load at once so that the last one is done before its weights end.
int rollout_planner::leastInTime(const std::vector<rollout_engine> &engines,
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
    // One load time is left for the last ones to finish.
    const double rounds = std::max(1.0, toSeconds(timeLeft) / toSeconds(m_options.loadTime) - 1.0);
    return static_cast<int>(std::ceil(behind / rounds));
}

bool rollout_planner::countsAsLoading(const engine_entry &entry, time_point now) const
{
    return entry.loading && now - entry.loadingSince < m_options.loadTimeout;
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
