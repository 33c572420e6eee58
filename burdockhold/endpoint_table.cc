#include "burdockhold/endpoint_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace burdockhold {

namespace {

constexpr double CountScale = 10.0;   // Digests carry decayed counts in tenths.
constexpr double LatencyWeight = 0.2; // Weight of the newest call in the moving average.
constexpr std::int64_t MaxClockDifferenceMs = 200; // Between VMs and engines.
constexpr std::int64_t MaxStartAgeMs = 60'000;     // Limits of engines end long before.

std::uint32_t clamped(std::int64_t value)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, UINT32_MAX));
}

} // namespace

endpoint_table::endpoint_table(std::string dataCentre, endpoint_table_options options)
    : m_dataCentre(std::move(dataCentre))
    , m_options(options)
{
}

bool endpoint_table::update(const endpoint_report &report, time_point now)
{
    table_entry *known = findEntry(report.id);
    if (known != nullptr && report.incarnation < known->report.incarnation) {
        const bool isSame = known->olderReport
                            && known->olderReport->incarnation == report.incarnation;
        known->olderReport = report;
        if (!isSame) // Heartbeats do not delay its adoption.
            known->olderReportAt = now;
        return false;
    }
    return adopt(report, now);
}

bool endpoint_table::adopt(const endpoint_report &report, time_point now)
{
    const auto [row, isNew] = m_entries.try_emplace(report.id);
    table_entry &entry = row->second;
    entry.olderReport.reset();
    const bool restarted = !isNew && report.incarnation != entry.report.incarnation;
    const bool hadNotice = restarted
                           && (entry.pause.isLeaving() || entry.pause.isPausing(now)
                               || entry.pause.isLimited());
    const auto saidLeavingAt = entry.saidLeavingAt;
    const bool maySayLeaving = restarted && report.incarnation > entry.report.incarnation
                               && saidLeavingAt
                               && report.incarnation <= *saidLeavingAt + MaxClockDifferenceMs;
    if (restarted)
        noteEndedNotices(entry, notice_end::NewIncarnation, maySayLeaving);
    if (restarted || isNew) {
        entry = table_entry{};
        entry.pace = engine_pace(m_options.pace);
        entry.limit = pace_limit(m_options.paceLimit);
        entry.pause = endpoint_pause(m_options.pause);
        entry.saidLeavingAt = saidLeavingAt;
        if (hadNotice)
            entry.pause.limitCalls();
        if (maySayLeaving)
            assumeLeaving(entry, now);
        entry.hash = shortHash(report.id);
        entry.lastActivityAt = now;
        m_entriesByHash[entry.hash] = &entry;
    }
    if (isNew || restarted)
        removeReplacedEndpoints(report, now);
    const bool changed = isNew || restarted || entry.removed
                         || entry.report.leaving != report.leaving
                         || entry.report.address != report.address;
    entry.report = report;
    entry.removed = false;
    if (isNew || restarted)
        limitNewIncarnation(entry, isNew, now);
    if (changed)
        entry.peerReportedLeavingAt.reset();
    if (report.leaving && changed)
        entry.leavingSeenAt = now;
    for (const auto &[model, version] : report.weights)
        recordStatedWeights(report.id, model, version);
    return changed;
}

void endpoint_table::namePools(std::set<std::string> pools, time_point now)
{
    m_namedPools.swap(pools);
    for (const auto &[id, entry] : m_entries) {
        const bool wasNamed = pools.count(entry.report.pool) != 0;
        if (!wasNamed && !entry.removed)
            removeReplacedEndpoints(entry.report, now);
    }
}

/// Removes earlier endpoints at the same address: a later start there shows that they have ended.
void endpoint_table::removeReplacedEndpoints(const endpoint_report &report, time_point now)
{
    if (m_namedPools.count(report.pool) == 0)
        return;
    for (const auto &[id, entry] : m_entries) {
        const bool isReplaced = id != report.id && entry.report.address == report.address
                                && entry.report.incarnation < report.incarnation;
        if (isReplaced)
            remove(id, now);
    }
}

void endpoint_table::remove(std::string_view id, time_point now)
{
    table_entry *entry = findEntry(id);
    if (entry == nullptr)
        return;
    entry->olderReport.reset();
    if (entry->removed)
        return;
    entry->removed = true; // Its notices hold, as the entry of the same incarnation may return.
    entry->removedAt = now;
    entry->leavingSeenAt = now;
}

std::vector<endpoint_report> endpoint_table::confirmView(time_point at)
{
    std::vector<endpoint_report> current;
    for (auto &[id, entry] : m_entries) {
        if (entry.peerReportedLeavingAt && *entry.peerReportedLeavingAt < at)
            entry.peerReportedLeavingAt.reset();
        if (!entry.inferredWeights.empty()
            && entry.inferredAt + m_options.inferredWeightsExpiry < at)
            entry.inferredWeights.clear();
        if (entry.olderReport && entry.olderReportAt < at)
            current.push_back(*entry.olderReport);
    }
    for (const endpoint_report &report : current)
        adopt(report, at);
    return current;
}

void endpoint_table::keepOnly(const std::set<std::string> &ids, time_point now)
{
    for (const auto &[id, entry] : m_entries) {
        if (ids.count(id) == 0)
            remove(id, now);
    }
}

const endpoint_report *endpoint_table::find(std::string_view id) const
{
    const table_entry *entry = findEntry(id);
    return entry == nullptr ? nullptr : &entry->report;
}

std::vector<const endpoint_report *> endpoint_table::reportsIn(std::string_view dataCentre) const
{
    std::vector<const endpoint_report *> found;
    for (const auto &[id, entry] : m_entries) {
        if (!entry.removed && entry.report.dataCentre == dataCentre)
            found.push_back(&entry.report);
    }
    return found;
}

bool endpoint_table::isUsable(const table_entry &entry, bool poolIsEmpty, time_point now) const
{
    if (entry.report.leaving || entry.peerReportedLeavingAt)
        return false;
    if (!entry.removed)
        return true;
    return poolIsEmpty && now - entry.removedAt < m_options.removalGrace;
}

std::vector<endpoint_candidate> endpoint_table::candidates(
        std::string_view pool, std::string_view model, std::int64_t targetVersion,
        std::string_view segmentKey, const std::set<std::string> &tried, time_point now) const
{
    const bool poolIsEmpty = std::none_of(m_entries.begin(), m_entries.end(), [&](const auto &row) {
        return row.second.report.pool == pool && !row.second.removed;
    });
    const auto poolPace = m_poolPaces.find(pool);
    const bool usesPace = m_options.usePace && !model.empty() && poolPace != m_poolPaces.end()
                          && poolPace->second.pace.isKnown();
    std::vector<endpoint_candidate> found;
    found.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        if (entry.report.pool != pool || !isUsable(entry, poolIsEmpty, now))
            continue;
        endpoint_candidate candidate = makeCandidate(entry, model, targetVersion, segmentKey, now);
        candidate.id = id;
        candidate.softwareVersion = entry.report.softwareVersion;
        candidate.incarnation = entry.report.incarnation;
        if (usesPace) {
            candidate.slowness = entry.pace.slowness(now);
            candidate.poolPace = &poolPace->second.line;
        }
        if (m_options.limitPace && m_vms >= m_options.minVmsForPaceLimit && !model.empty())
            candidate.tokensLeft = tokensLeft(entry, candidate, now);
        if (tried.count(id) != 0)
            excludeTried(candidate);
        found.push_back(candidate);
    }
    return found;
}

endpoint_candidate endpoint_table::makeCandidate(const table_entry &entry, std::string_view model,
                                                 std::int64_t targetVersion,
                                                 std::string_view segmentKey, time_point now) const
{
    peer_totals others;
    if (const auto totals = m_peerTotals.find(entry.hash); totals != m_peerTotals.end())
        others = totals->second;
    decayed_count recent = entry.recent;
    decay(recent, m_options.callHalfLife, now);

    endpoint_candidate candidate;
    candidate.sameDataCentre = entry.report.dataCentre == m_dataCentre;
    candidate.slots = entry.report.slots;
    candidate.running = entry.running + static_cast<int>(others.running);
    candidate.pendingPrefillTokens = entry.pendingPrefillTokens + others.pendingPrefillTokens;
    candidate.activeTokens = entry.activeTokens + others.activeTokens;
    candidate.recentCalls = recent.calls + others.calls;
    if (candidate.recentCalls > 0.0)
        candidate.failureShare = (recent.failures + others.failures) / candidate.recentCalls;
    candidate.latencyMs = entry.latencyMs;
    if (const auto memory = m_cacheTokens.find(entry.report.pool); memory != m_cacheTokens.end())
        candidate.cacheTokens = memory->second;
    candidate.suspect = candidate.running > 0
                        && now - entry.lastActivityAt > m_options.suspectAfter;
    const bool loading = !model.empty() && now < entry.loadingUntil;
    const auto state = entry.pause.stateAt(now);
    candidate.pausedUntil = entry.pause.pausedUntil();
    if (saysLeaving(entry, now))
        candidate.excluded = exclusion::Leaving;
    else if (state == endpoint_pause::state::Paused)
        candidate.excluded = exclusion::Paused;
    else if (loading)
        candidate.excluded = exclusion::Loading;
    else if (now < entry.backOffUntil)
        candidate.excluded = exclusion::BackOff;
    else if (brittleVerdict(entry, now) == brittle_verdict::Excluded)
        candidate.excluded = exclusion::Brittle;
    candidate.weights = model.empty() ? 0 : knownVersion(entry, model);
    candidate.staleWeights = !model.empty() && candidate.weights < targetVersion;
    candidate.holdsSegment = !segmentKey.empty()
                             && entry.segments.count(std::string(segmentKey)) != 0;
    return candidate;
}

std::map<std::string, std::vector<version_presence>> endpoint_table::softwareVersions() const
{
    std::map<std::string, std::vector<version_presence>> found;
    for (const auto &[id, entry] : m_entries) {
        if (entry.removed || entry.report.leaving)
            continue;
        const std::string &version = entry.report.softwareVersion;
        std::vector<version_presence> &versions = found[entry.report.pool];
        const auto known = std::find_if(versions.begin(), versions.end(),
                                        [&](const auto &one) { return one.version == version; });
        if (known == versions.end()) {
            versions.push_back({ version, 1, entry.report.incarnation });
            continue;
        }
        ++known->endpoints;
        known->oldestIncarnation = std::min(known->oldestIncarnation, entry.report.incarnation);
    }
    return found;
}

std::vector<rollout_engine> endpoint_table::rolloutEngines(std::string_view pool,
                                                           std::string_view model,
                                                           time_point now) const
{
    std::vector<rollout_engine> engines;
    for (const auto &[id, entry] : m_entries) {
        if (entry.report.pool != pool || !isUsable(entry, false, now) || saysLeaving(entry, now))
            continue;
        std::int64_t activeTokens = entry.activeTokens;
        int running = entry.running;
        if (const auto totals = m_peerTotals.find(entry.hash); totals != m_peerTotals.end()) {
            activeTokens += totals->second.activeTokens;
            running += static_cast<int>(totals->second.running);
        }
        const bool silent = now < entry.backOffUntil || entry.pause.isPausing(now)
                            || (entry.running > 0
                                && now - entry.lastActivityAt > m_options.suspectAfter);
        engines.push_back({ id, entry.report.address, entry.report.incarnation, std::string(model),
                            knownVersion(entry, model), activeTokens, silent, running });
    }
    return engines;
}

std::int64_t endpoint_table::knownVersion(const table_entry &entry, std::string_view model)
{
    const auto inferred = entry.inferredWeights.find(model);
    if (inferred != entry.inferredWeights.end())
        return inferred->second;
    const auto found = entry.weights.find(model);
    return found == entry.weights.end() ? 0 : found->second;
}

std::int64_t endpoint_table::weightsOf(std::string_view id, std::string_view model) const
{
    const table_entry *entry = findEntry(id);
    return entry == nullptr ? 0 : knownVersion(*entry, model);
}

void endpoint_table::recordStatedWeights(std::string_view id, std::string_view model,
                                         std::int64_t version)
{
    if (table_entry *entry = findEntry(id))
        recordStatedWeights(*entry, model, version);
}

void endpoint_table::recordStatedWeights(table_entry &entry, std::string_view model,
                                         std::int64_t version)
{
    const auto inferred = entry.inferredWeights.find(model);
    if (inferred != entry.inferredWeights.end())
        entry.inferredWeights.erase(inferred);
    auto known = entry.weights.find(model);
    if (known == entry.weights.end())
        known = entry.weights.emplace(model, 0).first;
    if (version <= known->second)
        return;
    known->second = version;
    entry.pace = engine_pace(m_options.pace);
    // Loading new weights clears the engine's KV cache.
    entry.segments.clear();
    entry.segmentOrder.clear();
    entry.loadingUntil = {};
    entry.ownLoadingUntil = {};
}

void endpoint_table::recordInferredWeights(std::string_view id, std::string_view model,
                                           std::int64_t version, time_point now)
{
    table_entry *entry = findEntry(id);
    if (entry == nullptr || version <= knownVersion(*entry, model))
        return;
    entry->inferredWeights[std::string(model)] = version;
    entry->inferredAt = now;
    // The engine is not loading: during a load it refuses calls in a different way.
    entry->loadingUntil = {};
    entry->ownLoadingUntil = {};
}

void endpoint_table::dropInferredWeights(std::string_view id, std::string_view model)
{
    table_entry *entry = findEntry(id);
    if (entry == nullptr)
        return;
    const auto inferred = entry->inferredWeights.find(model);
    if (inferred != entry->inferredWeights.end())
        entry->inferredWeights.erase(inferred);
}

void endpoint_table::setLoading(std::string_view id, duration timeLeft, time_point now)
{
    table_entry *entry = findEntry(id);
    if (entry == nullptr)
        return;
    markLoading(*entry, duration::zero(), now);
    entry->ownLoadingUntil = entry->loadingUntil;
    entry->ownLoadingEnd = now + timeLeft;
}

void endpoint_table::markLoading(table_entry &entry, duration timeLeft, time_point now) const
{
    if (now >= entry.loadingUntil)
        entry.loadingSince = now;
    entry.loadEnds = true;
    entry.loadingUntil = now
                         + std::clamp(timeLeft, m_options.loadingExpiry, m_options.maxLoadingMark);
}

duration endpoint_table::loadingFor(std::string_view id, time_point now) const
{
    const table_entry *entry = findEntry(id);
    return entry == nullptr || now >= entry->loadingUntil ? duration::zero()
                                                          : now - entry->loadingSince;
}

void endpoint_table::recordRefusal(std::string_view id, time_point now)
{
    if (table_entry *entry = findEntry(id)) {
        entry->backOffUntil = std::max(entry->backOffUntil, now + m_options.refusalBackOff);
        entry->limit.failed(now);
    }
}

bool endpoint_table::isLoading(std::string_view id, time_point now) const
{
    const table_entry *entry = findEntry(id);
    return entry != nullptr && now < entry->loadingUntil;
}

duration endpoint_table::silentFor(std::string_view id, time_point now) const
{
    const table_entry *entry = findEntry(id);
    return entry == nullptr || entry->running == 0 ? duration::zero() : now - entry->lastActivityAt;
}

/// Notes the end of what the endpoint has said, for takeEndedNotices().
void endpoint_table::noteEndedNotices(const table_entry &entry, notice_end reason,
                                      bool leavingHolds)
{
    const endpoint_report &report = entry.report;
    const bool isLeaving = entry.pause.isLeaving() || entry.leavingAssumed;
    if (isLeaving && !leavingHolds)
        m_endedNotices.push_back({ report.id, report.incarnation, true, reason });
    if (entry.pauseRuns)
        m_endedNotices.push_back({ report.id, report.incarnation, false, reason });
}

void endpoint_table::setUnixTime(std::int64_t unixMs, time_point now)
{
    const auto sinceStart = std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch());
    m_unixOffsetMs = unixMs - sinceStart.count();
}

/// Returns the Unix time in milliseconds, or nothing if the clock is not set.
std::optional<std::int64_t> endpoint_table::unixTimeAt(time_point now) const
{
    if (!m_unixOffsetMs)
        return std::nullopt;
    const auto sinceStart = std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch());
    return *m_unixOffsetMs + sinceStart.count();
}

bool endpoint_table::saysLeaving(const table_entry &entry, time_point now)
{
    return entry.pause.isLeaving() || now < entry.leavingAssumedUntil;
}

/// Excludes an endpoint whose current incarnation may be the one that has said that it leaves.
void endpoint_table::assumeLeaving(table_entry &entry, time_point now)
{
    entry.leavingAssumed = true;
    entry.leavingAssumedUntil = now + m_options.assumedLeavingTime;
    entry.pause.limitCalls();
}

/// Returns a number from 0 to 1 that differs between VMs, endpoints and pauses.
double endpoint_table::returnSpread(std::string_view id, time_point now) const
{
    constexpr std::uint64_t Steps = 1000;
    const auto seed = m_options.returnSeed
                      ^ static_cast<std::uint64_t>(now.time_since_epoch().count());
    return static_cast<double>(XXH64(id.data(), id.size(), seed) % Steps) / Steps;
}

notice_result endpoint_table::recordNotice(std::string_view id, const call_ticket &ticket,
                                           const endpoint_notice &notice, time_point now)
{
    notice_result result;
    table_entry *entry = findEntry(id);
    result.outdated = entry == nullptr || entry->report.incarnation != ticket.incarnation;
    if (result.outdated) {
        // The new incarnation may have answered already.
        if (entry != nullptr)
            entry->pause.limitCalls();
        const bool mayLeave = entry != nullptr && notice.leaving && m_unixOffsetMs
                              && ticket.incarnation < entry->report.incarnation
                              && !saysLeaving(*entry, now);
        if (mayLeave) {
            entry->saidLeavingAt = unixTimeAt(now);
            assumeLeaving(*entry, now);
            result.leavingAssumed = true;
        }
        return result;
    }
    if (notice.leaving)
        entry->saidLeavingAt = unixTimeAt(now);
    result.leavingBegan = notice.leaving && entry->pause.recordLeaving();
    if (notice.pause) {
        result.pauseBegan = entry->pause.recordPause(*notice.pause, returnSpread(id, now), now);
        result.pauseShortened = entry->pause.statedEnd() > entry->pause.pausedUntil();
        result.pausedUntil = entry->pause.pausedUntil();
        entry->pauseRuns = true;
    }
    return result;
}

void endpoint_table::callAccepted(std::string_view id, const call_ticket &ticket)
{
    table_entry *entry = findEntry(id);
    if (entry == nullptr || entry->report.incarnation != ticket.incarnation)
        return;
    entry->pause.callAccepted(ticket.pause);
    if (ticket.onRefusalShare)
        entry->refusals.release();
}

bool endpoint_table::recordRefusalLimit(std::string_view id,
                                        std::optional<std::int64_t> refusalsPerSecond, bool refuses,
                                        time_point now)
{
    table_entry *entry = findEntry(id);
    if (entry == nullptr)
        return false;
    if (refusalsPerSecond && refuses)
        entry->refusals.refused(now);
    const auto pool = m_brittlePools.find(entry->report.pool);
    if (pool != m_brittlePools.end())
        return pool->second.answered(refusalsPerSecond);
    return refusalsPerSecond && m_brittlePools[entry->report.pool].answered(refusalsPerSecond);
}

brittle_verdict endpoint_table::brittleVerdict(const table_entry &entry, time_point now) const
{
    const auto pool = m_brittlePools.find(entry.report.pool);
    if (pool == m_brittlePools.end() || !pool->second.refusals())
        return brittle_verdict::Free;
    const auto others = m_peerTotals.find(entry.hash);
    const auto endpoints = std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &row) {
        return !row.second.removed && row.second.report.pool == entry.report.pool;
    });
    brittle_need need;
    need.refusals = *pool->second.refusals();
    need.position = rotated(m_position, entry.hash);
    need.unixMs = unixTimeAt(now);
    need.slots = entry.report.slots;
    need.ownRunning = entry.running;
    need.othersRunning = others == m_peerTotals.end() ? 0
                                                      : static_cast<int>(others->second.running);
    // The other VMs are assumed to call as often as this one. A digest is as old as two intervals
    // when the next one arrives.
    need.othersStarts = pool->second.callsPerSecond(now) * toSeconds(2 * m_digestInterval)
                        * static_cast<double>(m_position.vms - 1)
                        / static_cast<double>(std::max<std::ptrdiff_t>(1, endpoints));
    return entry.refusals.verdict(need, now);
}

bool endpoint_table::isPausing(std::string_view id, time_point now) const
{
    const table_entry *entry = findEntry(id);
    return entry != nullptr && entry->pause.isPausing(now);
}

call_ticket endpoint_table::callStarted(std::string_view id, const call_load &load, time_point now)
{
    table_entry *entry = findEntry(id);
    if (entry == nullptr)
        return {};
    const bool onShare = brittleVerdict(*entry, now) != brittle_verdict::Free;
    if (onShare)
        entry->refusals.charge();
    if (const auto pool = m_brittlePools.find(entry->report.pool); pool != m_brittlePools.end())
        pool->second.callStarted(now);
    if (entry->running == 0)
        entry->lastActivityAt = std::max(entry->lastActivityAt, now);
    ++entry->running;
    entry->pendingPrefillTokens += load.pendingPrefillTokens;
    entry->activeTokens += load.activeTokens;
    return { entry->report.incarnation, entry->pause.callStarted(now), onShare };
}

void endpoint_table::prefillFinished(std::string_view id, const call_load &load)
{
    if (table_entry *entry = findEntry(id))
        entry->pendingPrefillTokens = std::max<std::int64_t>(
                0, entry->pendingPrefillTokens - load.pendingPrefillTokens);
}

void endpoint_table::callEnded(std::string_view id, const call_load &load, bool prefillDone,
                               const call_ticket &ticket)
{
    table_entry *entry = findEntry(id);
    if (entry == nullptr)
        return;
    if (entry->report.incarnation == ticket.incarnation) {
        entry->pause.callEnded(ticket.pause);
        if (ticket.onRefusalShare)
            entry->refusals.release();
    }
    // The counts may be zero already if the endpoint has restarted.
    entry->running = std::max(0, entry->running - 1);
    entry->activeTokens = std::max<std::int64_t>(0, entry->activeTokens - load.activeTokens);
    if (!prefillDone)
        entry->pendingPrefillTokens = std::max<std::int64_t>(
                0, entry->pendingPrefillTokens - load.pendingPrefillTokens);
}

void endpoint_table::recordActivity(std::string_view id, time_point now)
{
    table_entry *entry = findEntry(id);
    if (entry == nullptr)
        return;
    entry->lastActivityAt = now;
    if (std::exchange(entry->connectFailures, 0) > 0)
        startLimit(*entry, now);
}

void endpoint_table::recordCallResult(std::string_view id, bool succeeded, double latencyMs,
                                      time_point now)
{
    table_entry *entry = findEntry(id);
    if (entry == nullptr)
        return;
    decay(entry->recent, m_options.callHalfLife, now);
    entry->recent.calls += 1.0;
    if (!succeeded) {
        entry->recent.failures += 1.0;
        entry->limit.failed(now);
        return;
    }
    entry->latencyMs = entry->latencyMs == 0.0
                               ? latencyMs
                               : entry->latencyMs + LatencyWeight * (latencyMs - entry->latencyMs);
}

void endpoint_table::connectFailed(std::string_view id, time_point now)
{
    table_entry *entry = findEntry(id);
    if (entry == nullptr)
        return;
    constexpr int MaxDoublings = 8;
    const int doublings = std::min(entry->connectFailures, MaxDoublings);
    const duration backOff = m_options.initialBackOff * (1 << doublings);
    entry->backOffUntil = now + std::min(backOff, m_options.maxBackOff);
    ++entry->connectFailures;
}

void endpoint_table::forgetConnectFailures()
{
    for (auto &[id, entry] : m_entries) {
        entry.connectFailures = 0;
        entry.backOffUntil = time_point();
    }
}

std::vector<contact_target> endpoint_table::contactTargets() const
{
    std::vector<contact_target> targets;
    for (const auto &[id, entry] : m_entries) {
        if (!entry.removed)
            targets.push_back({ entry.report.address, entry.report.pool });
    }
    return targets;
}

bool endpoint_table::hasAddress(std::string_view address) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [address](const auto &row) {
        return !row.second.removed && row.second.report.address == address;
    });
}

void endpoint_table::recordCachedSegment(std::string_view id, const std::string &segmentKey)
{
    table_entry *entry = findEntry(id);
    if (entry == nullptr || !entry->segments.insert(segmentKey).second)
        return;
    entry->segmentOrder.push_back(segmentKey);
    if (entry->segmentOrder.size() > m_options.segmentsPerEndpoint) {
        entry->segments.erase(entry->segmentOrder.front());
        entry->segmentOrder.pop_front();
    }
}

void endpoint_table::fillDigest(vm_digest &digest, time_point now) const
{
    for (const auto &[id, entry] : m_entries) {
        decayed_count recent = entry.recent;
        decay(recent, m_options.callHalfLife, now);
        const auto calls = clamped(std::llround(recent.calls * CountScale));
        if (entry.running > 0 || calls > 0) {
            digest.endpoints.push_back({ entry.hash, clamped(entry.running),
                                         clamped(entry.pendingPrefillTokens),
                                         clamped(entry.activeTokens), calls,
                                         clamped(std::llround(recent.failures * CountScale)),
                                         digestMilliseconds(now - entry.lastActivityAt) });
        }
        const bool isLeaving = entry.removed || entry.report.leaving;
        if (isLeaving && now - entry.leavingSeenAt < m_options.departureGossipTime)
            digest.departedEndpoints.push_back(entry.hash);
        if (entry.removed)
            continue;
        for (const auto &[model, version] : entry.weights) {
            const auto stated = entry.report.weights.find(model);
            const bool isNewer = stated == entry.report.weights.end() || stated->second < version;
            const bool loading = now < entry.ownLoadingUntil;
            if (isNewer || loading)
                digest.weights.push_back(
                        { entry.hash, shortHash(model), version, loading,
                          loading ? digestMilliseconds(entry.ownLoadingEnd - now) : 0 });
        }
    }
}

void endpoint_table::addDigestRows(const std::vector<endpoint_row> &rows, int sign)
{
    for (const endpoint_row &row : rows) {
        peer_totals &totals = m_peerTotals[row.endpoint];
        totals.running += sign * static_cast<std::int64_t>(row.running);
        totals.pendingPrefillTokens += sign * static_cast<std::int64_t>(row.pendingPrefillTokens);
        totals.activeTokens += sign * static_cast<std::int64_t>(row.activeTokens);
        totals.calls += sign * row.recentCalls / CountScale;
        totals.failures += sign * row.recentFailures / CountScale;
    }
}

void endpoint_table::applyPeerDigest(const vm_digest &digest, time_point now)
{
    peer_view &view = m_peers[digest.vm];
    addDigestRows(view.endpoints, -1);
    view.endpoints = digest.endpoints; // Keeps the vector's memory.
    view.at = now;
    addDigestRows(view.endpoints, 1);
    for (const endpoint_row &row : digest.endpoints) {
        if (table_entry *entry = findEntry(row.endpoint))
            entry->lastActivityAt = std::max(entry->lastActivityAt,
                                             now - std::chrono::milliseconds(row.silentMs));
    }
    for (const weights_row &row : digest.weights)
        applyPeerWeights(row, now);
    for (const std::uint32_t departed : digest.departedEndpoints) {
        if (table_entry *entry = findEntry(departed))
            entry->peerReportedLeavingAt = now;
    }
}

void endpoint_table::applyPeerWeights(const weights_row &row, time_point now)
{
    table_entry *entry = findEntry(row.endpoint);
    if (entry == nullptr)
        return;
    for (const auto &[model, version] : entry->report.weights) {
        if (shortHash(model) != row.model)
            continue;
        recordStatedWeights(*entry, model, row.version);
        // A digest sent before a load ended must not mark the endpoint as loading again.
        if (row.loading && knownVersion(*entry, model) <= row.version)
            markLoading(*entry, std::chrono::milliseconds(row.loadingLeftMs), now);
        return;
    }
}

void endpoint_table::step(duration digestInterval, time_point now)
{
    m_digestInterval = digestInterval;
    const duration expiry = std::max<duration>(m_options.peerExpiry,
                                               m_options.maxMissedDigests * digestInterval);
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (now - peer->second.at <= expiry) {
            ++peer;
            continue;
        }
        addDigestRows(peer->second.endpoints, -1);
        peer = m_peers.erase(peer);
    }
    for (auto &[id, entry] : m_entries) {
        if (entry.loadEnds && now >= entry.loadingUntil) {
            entry.loadEnds = false;
            startLimit(entry, now);
        }
        if (entry.leavingAssumed && now >= entry.leavingAssumedUntil) {
            entry.leavingAssumed = false;
            if (!entry.pause.isLeaving())
                m_endedNotices.push_back(
                        { id, entry.report.incarnation, true, notice_end::TimeOver });
        }
        if (!entry.pauseRuns || entry.pause.isPausing(now))
            continue;
        entry.pauseRuns = false;
        startLimit(entry, now);
        m_endedNotices.push_back({ id, entry.report.incarnation, false, notice_end::TimeOver });
    }
    constexpr duration RemovedRetention = std::chrono::seconds(30);
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const bool forget = entry->second.removed && entry->second.running == 0
                            && now - entry->second.removedAt > RemovedRetention;
        if (forget) {
            noteEndedNotices(entry->second, notice_end::Removed);
            m_entriesByHash.erase(entry->second.hash);
        }
        entry = forget ? m_entries.erase(entry) : std::next(entry);
    }
}

void endpoint_table::recordFirstEvent(const first_event &event, time_point now)
{
    table_entry *entry = findEntry(event.endpointId);
    if (entry == nullptr || entry->report.incarnation != event.incarnation)
        return;
    pool_pace &pool = m_poolPaces
                              .try_emplace(entry->report.pool,
                                           pool_pace{ engine_pace(m_options.pace), {} })
                              .first->second;
    pool.pace.record(event.sample, now);
    pool.line = pool.pace.lineAt(now);
    entry->pace.follow(pool.pace);
    entry->pace.record(event.sample, now);
    entry->limit.firstEvent(event.expectedMs, event.sample.firstEventMs, event.sample.unreadTokens,
                            now);
}

void endpoint_table::startLimit(table_entry &entry, time_point at)
{
    entry.limit.setVms(m_vms);
    entry.limit.started(at);
    ++m_startedLimits;
}

/// Limits an engine from its start. An engine that this VM has not known before may have run for
/// long; without a clock to tell, it is not limited.
void endpoint_table::limitNewIncarnation(table_entry &entry, bool isNew, time_point now)
{
    const auto unixMs = unixTimeAt(now);
    if (isNew && !unixMs)
        return;
    duration age = duration::zero();
    if (unixMs)
        age = std::chrono::milliseconds(
                std::clamp<std::int64_t>(*unixMs - entry.report.incarnation, 0, MaxStartAgeMs));
    startLimit(entry, now - age);
}

/// Returns the tokens that this VM may still place at an engine with a limit. A VM with a part of
/// the limit may always have one call there, or a long prompt would never be placed.
double endpoint_table::tokensLeft(const table_entry &entry, const endpoint_candidate &candidate,
                                  time_point now) const
{
    constexpr double Infinity = std::numeric_limits<double>::infinity();
    const double limit = entry.limit.tokens(now);
    if (std::isinf(limit))
        return Infinity;
    const std::string &id = entry.report.id;
    const auto seed = m_options.returnSeed ^ static_cast<std::uint64_t>(entry.report.incarnation);
    const double draw = std::ldexp(static_cast<double>(XXH64(id.data(), id.size(), seed)), -64);
    const double part = tokensOfVm(limit, m_vms, draw);
    if (part <= 0.0 || static_cast<double>(candidate.pendingPrefillTokens) >= limit)
        return 0.0;
    const auto ownTokens = static_cast<double>(entry.pendingPrefillTokens);
    return ownTokens == 0.0 ? Infinity : part - ownTokens;
}

int endpoint_table::ownRunning(std::string_view id) const
{
    const table_entry *entry = findEntry(id);
    return entry == nullptr ? 0 : entry->running;
}

endpoint_table::table_entry *endpoint_table::findEntry(std::string_view id)
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

endpoint_table::table_entry *endpoint_table::findEntry(std::uint32_t hash)
{
    const auto found = m_entriesByHash.find(hash);
    return found == m_entriesByHash.end() ? nullptr : found->second;
}

const endpoint_table::table_entry *endpoint_table::findEntry(std::string_view id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

void endpoint_table::decay(decayed_count &count, duration halfLife, time_point now)
{
    const double factor = std::exp2(-toSeconds(now - count.at) / toSeconds(halfLife));
    count.calls *= factor;
    count.failures *= factor;
    count.at = now;
}

} // namespace burdockhold
