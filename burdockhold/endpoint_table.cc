#include "burdockhold/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockhold {

namespace {

constexpr double CountScale = 10.0;   // Digests carry decayed counts in tenths.
constexpr double LatencyWeight = 0.2; // Of the newest call in the moving average.

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
    const auto [row, isNew] = m_entries.try_emplace(report.id);
    table_entry &entry = row->second;
    const bool restarted = !isNew && report.incarnation != entry.report.incarnation;
    if (restarted || isNew) {
        entry = table_entry{};
        entry.hash = shortHash(report.id);
        entry.heardAt = now;
        m_idsByHash[entry.hash] = report.id;
    }
    if (isNew || restarted)
        removeFormerHolders(report, now);
    const bool changed = isNew || restarted || entry.removed
                         || entry.report.leaving != report.leaving
                         || entry.report.address != report.address;
    entry.report = report;
    entry.removed = false;
    if (changed)
        entry.toldLeavingAt.reset();
    if (report.leaving && changed)
        entry.leavingSeenAt = now;
    for (const auto &[model, version] : report.weights)
        weightsSeen(report.id, model, version);
    return changed;
}

/// An endpoint that started later at the same address shows that the others there have ended.
void endpoint_table::removeFormerHolders(const endpoint_report &report, time_point now)
{
    for (const auto &[id, entry] : m_entries) {
        const bool former = id != report.id && entry.report.address == report.address
                            && entry.report.incarnation < report.incarnation;
        if (former)
            remove(id, now);
    }
}

void endpoint_table::remove(std::string_view id, time_point now)
{
    table_entry *entry = entryOf(id);
    if (entry == nullptr || entry->removed)
        return;
    entry->removed = true;
    entry->removedAt = now;
    entry->leavingSeenAt = now;
}

void endpoint_table::confirmView(time_point at)
{
    for (auto &[id, entry] : m_entries) {
        if (entry.toldLeavingAt && *entry.toldLeavingAt < at)
            entry.toldLeavingAt.reset();
        if (!entry.guesses.empty() && entry.guessedAt + m_options.guessLapse < at)
            entry.guesses.clear();
    }
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
    const table_entry *entry = entryOf(id);
    return entry == nullptr ? nullptr : &entry->report;
}

bool endpoint_table::isUsable(const table_entry &entry, bool poolIsEmpty, time_point now) const
{
    if (entry.report.leaving || entry.toldLeavingAt)
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
    std::vector<endpoint_candidate> found;
    for (const auto &[id, entry] : m_entries) {
        if (entry.report.pool != pool || !isUsable(entry, poolIsEmpty, now))
            continue;
        endpoint_candidate candidate = candidateOf(entry, model, targetVersion, segmentKey, now);
        candidate.id = id;
        if (tried.count(id) != 0)
            candidate.excluded = exclusion::Tried;
        found.push_back(candidate);
    }
    return found;
}

endpoint_candidate endpoint_table::candidateOf(const table_entry &entry, std::string_view model,
                                               std::int64_t targetVersion,
                                               std::string_view segmentKey, time_point now) const
{
    peer_sum others;
    if (const auto sum = m_peerSums.find(entry.hash); sum != m_peerSums.end())
        others = sum->second;
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
    candidate.suspect = candidate.running > 0 && now - entry.heardAt > m_options.suspectAfter;
    const bool loading = !model.empty() && now < entry.loadingUntil;
    if (loading)
        candidate.excluded = exclusion::Loading;
    else if (now < entry.backOffUntil)
        candidate.excluded = exclusion::BackOff;
    candidate.staleWeights = !model.empty() && versionOf(entry, model) < targetVersion;
    candidate.holdsSegment = !segmentKey.empty() && entry.parts.count(std::string(segmentKey)) != 0;
    return candidate;
}

std::vector<rollout_engine> endpoint_table::rolloutEngines(std::string_view pool,
                                                           std::string_view model,
                                                           time_point now) const
{
    std::vector<rollout_engine> engines;
    for (const auto &[id, entry] : m_entries) {
        if (entry.report.pool != pool || !isUsable(entry, false, now))
            continue;
        std::int64_t held = entry.activeTokens;
        int running = entry.running;
        if (const auto sum = m_peerSums.find(entry.hash); sum != m_peerSums.end()) {
            held += sum->second.activeTokens;
            running += static_cast<int>(sum->second.running);
        }
        const bool silent = now < entry.backOffUntil
                            || (entry.running > 0 && now - entry.heardAt > m_options.suspectAfter);
        engines.push_back({ id, entry.report.address, entry.report.incarnation, std::string(model),
                            versionOf(entry, model), held, silent, running });
    }
    return engines;
}

std::int64_t endpoint_table::versionOf(const table_entry &entry, std::string_view model)
{
    const auto guess = entry.guesses.find(model);
    if (guess != entry.guesses.end())
        return guess->second;
    const auto found = entry.weights.find(model);
    return found == entry.weights.end() ? 0 : found->second;
}

std::int64_t endpoint_table::weightsOf(std::string_view id, std::string_view model) const
{
    const table_entry *entry = entryOf(id);
    return entry == nullptr ? 0 : versionOf(*entry, model);
}

void endpoint_table::weightsSeen(std::string_view id, std::string_view model, std::int64_t version)
{
    table_entry *entry = entryOf(id);
    if (entry == nullptr)
        return;
    dropGuess(id, model);
    std::int64_t &known = entry->weights[std::string(model)];
    if (version <= known)
        return;
    known = version;
    // New weights empty the engine.
    entry->parts.clear();
    entry->partOrder.clear();
    entry->loadingUntil = {};
    entry->ownOrderUntil = {};
}

void endpoint_table::guessWeights(std::string_view id, std::string_view model, std::int64_t version,
                                  time_point now)
{
    table_entry *entry = entryOf(id);
    if (entry == nullptr || version <= versionOf(*entry, model))
        return;
    entry->guesses[std::string(model)] = version;
    entry->guessedAt = now;
    // An engine that loads refuses in another way.
    entry->loadingUntil = {};
    entry->ownOrderUntil = {};
}

void endpoint_table::dropGuess(std::string_view id, std::string_view model)
{
    table_entry *entry = entryOf(id);
    if (entry == nullptr)
        return;
    const auto guess = entry->guesses.find(model);
    if (guess != entry->guesses.end())
        entry->guesses.erase(guess);
}

void endpoint_table::setLoading(std::string_view id, time_point now)
{
    table_entry *entry = entryOf(id);
    if (entry == nullptr)
        return;
    markLoading(*entry, now);
    entry->ownOrderUntil = entry->loadingUntil;
}

void endpoint_table::markLoading(table_entry &entry, time_point now) const
{
    if (now >= entry.loadingUntil)
        entry.loadingSince = now;
    entry.loadingUntil = now + m_options.loadingLapse;
}

duration endpoint_table::loadingFor(std::string_view id, time_point now) const
{
    const table_entry *entry = entryOf(id);
    return entry == nullptr || now >= entry->loadingUntil ? duration::zero()
                                                          : now - entry->loadingSince;
}

void endpoint_table::callRefused(std::string_view id, time_point now)
{
    if (table_entry *entry = entryOf(id))
        entry->backOffUntil = std::max(entry->backOffUntil, now + m_options.refusalPause);
}

bool endpoint_table::isLoading(std::string_view id, time_point now) const
{
    const table_entry *entry = entryOf(id);
    return entry != nullptr && now < entry->loadingUntil;
}

duration endpoint_table::silentFor(std::string_view id, time_point now) const
{
    const table_entry *entry = entryOf(id);
    return entry == nullptr || entry->running == 0 ? duration::zero() : now - entry->heardAt;
}

void endpoint_table::callStarted(std::string_view id, const call_load &load, time_point now)
{
    table_entry *entry = entryOf(id);
    if (entry == nullptr)
        return;
    if (entry->running == 0)
        entry->heardAt = std::max(entry->heardAt, now);
    ++entry->running;
    entry->pendingPrefillTokens += load.pendingPrefillTokens;
    entry->activeTokens += load.activeTokens;
}

void endpoint_table::promptRead(std::string_view id, const call_load &load)
{
    if (table_entry *entry = entryOf(id))
        entry->pendingPrefillTokens = std::max<std::int64_t>(
                0, entry->pendingPrefillTokens - load.pendingPrefillTokens);
}

void endpoint_table::callEnded(std::string_view id, const call_load &load, bool promptWasRead)
{
    table_entry *entry = entryOf(id);
    if (entry == nullptr)
        return;
    // A restarted endpoint has lost its counts already.
    entry->running = std::max(0, entry->running - 1);
    entry->activeTokens = std::max<std::int64_t>(0, entry->activeTokens - load.activeTokens);
    if (!promptWasRead)
        entry->pendingPrefillTokens = std::max<std::int64_t>(
                0, entry->pendingPrefillTokens - load.pendingPrefillTokens);
}

void endpoint_table::heard(std::string_view id, time_point now)
{
    table_entry *entry = entryOf(id);
    if (entry == nullptr)
        return;
    entry->heardAt = now;
    entry->connectFailures = 0;
}

void endpoint_table::recordCallResult(std::string_view id, bool succeeded, double latencyMs,
                                      time_point now)
{
    table_entry *entry = entryOf(id);
    if (entry == nullptr)
        return;
    decay(entry->recent, m_options.callHalfLife, now);
    entry->recent.calls += 1.0;
    if (!succeeded) {
        entry->recent.failures += 1.0;
        return;
    }
    entry->latencyMs = entry->latencyMs == 0.0
                               ? latencyMs
                               : entry->latencyMs + LatencyWeight * (latencyMs - entry->latencyMs);
}

void endpoint_table::connectFailed(std::string_view id, time_point now)
{
    table_entry *entry = entryOf(id);
    if (entry == nullptr)
        return;
    constexpr int MaxDoublings = 8;
    const int doublings = std::min(entry->connectFailures, MaxDoublings);
    const duration pause = m_options.firstBackOff * (1 << doublings);
    entry->backOffUntil = now + std::min(pause, m_options.longestBackOff);
    ++entry->connectFailures;
}

void endpoint_table::recordCachedSegment(std::string_view id, const std::string &segmentKey)
{
    table_entry *entry = entryOf(id);
    if (entry == nullptr || !entry->parts.insert(segmentKey).second)
        return;
    entry->partOrder.push_back(segmentKey);
    if (entry->partOrder.size() > m_options.segmentsPerEndpoint) {
        entry->parts.erase(entry->partOrder.front());
        entry->partOrder.pop_front();
    }
}

void endpoint_table::fillDigest(vm_digest &digest, time_point now) const
{
    for (const auto &[id, entry] : m_entries) {
        decayed_count recent = entry.recent;
        decay(recent, m_options.callHalfLife, now);
        const auto calls = clamped(std::llround(recent.calls * CountScale));
        if (entry.running > 0 || calls > 0) {
            const auto silent = std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - entry.heardAt);
            digest.endpoints.push_back({ entry.hash, clamped(entry.running),
                                         clamped(entry.pendingPrefillTokens),
                                         clamped(entry.activeTokens), calls,
                                         clamped(std::llround(recent.failures * CountScale)),
                                         clamped(silent.count()) });
        }
        const bool leaves = entry.removed || entry.report.leaving;
        if (leaves && now - entry.leavingSeenAt < m_options.goneTold)
            digest.departedEndpoints.push_back(entry.hash);
        if (entry.removed)
            continue;
        for (const auto &[model, version] : entry.weights) {
            const auto stated = entry.report.weights.find(model);
            const bool ahead = stated == entry.report.weights.end() || stated->second < version;
            const bool loading = now < entry.ownOrderUntil;
            if (ahead || loading)
                digest.weights.push_back({ entry.hash, shortHash(model), version, loading });
        }
    }
}

void endpoint_table::addRows(const vm_digest &digest, int sign)
{
    for (const endpoint_row &row : digest.endpoints) {
        peer_sum &sum = m_peerSums[row.endpoint];
        sum.running += sign * static_cast<std::int64_t>(row.running);
        sum.pendingPrefillTokens += sign * static_cast<std::int64_t>(row.pendingPrefillTokens);
        sum.activeTokens += sign * static_cast<std::int64_t>(row.activeTokens);
        sum.calls += sign * row.recentCalls / CountScale;
        sum.failures += sign * row.recentFailures / CountScale;
    }
}

void endpoint_table::applyPeerDigest(const vm_digest &digest, time_point now)
{
    peer_view &view = m_peers[digest.vm];
    addRows(view.digest, -1);
    view = { digest, now };
    addRows(digest, 1);
    for (const endpoint_row &row : digest.endpoints) {
        const auto id = m_idsByHash.find(row.endpoint);
        if (id == m_idsByHash.end())
            continue;
        if (table_entry *entry = entryOf(id->second))
            entry->heardAt = std::max(entry->heardAt,
                                      now - std::chrono::milliseconds(row.silentMs));
    }
    for (const weights_row &row : digest.weights)
        peerWeights(row, now);
    for (const std::uint32_t gone : digest.departedEndpoints) {
        if (const auto id = m_idsByHash.find(gone); id != m_idsByHash.end())
            entryOf(id->second)->toldLeavingAt = now;
    }
}

void endpoint_table::peerWeights(const weights_row &row, time_point now)
{
    const auto id = m_idsByHash.find(row.endpoint);
    if (id == m_idsByHash.end())
        return;
    table_entry *entry = entryOf(id->second);
    if (entry == nullptr)
        return;
    for (const auto &[model, version] : entry->report.weights) {
        if (shortHash(model) != row.model)
            continue;
        weightsSeen(id->second, model, row.version);
        // A load that is known to have ended is not marked again by a digest sent before.
        if (row.loading && versionOf(*entry, model) <= row.version)
            markLoading(*entry, now);
        return;
    }
}

void endpoint_table::step(duration digestInterval, time_point now)
{
    const duration lapse = std::max<duration>(m_options.peerLapse,
                                              m_options.lostDigests * digestInterval);
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (now - peer->second.at <= lapse) {
            ++peer;
            continue;
        }
        addRows(peer->second.digest, -1);
        peer = m_peers.erase(peer);
    }
    constexpr duration ForgetRemoved = std::chrono::seconds(30);
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const bool forget = entry->second.removed && entry->second.running == 0
                            && now - entry->second.removedAt > ForgetRemoved;
        if (forget)
            m_idsByHash.erase(entry->second.hash);
        entry = forget ? m_entries.erase(entry) : std::next(entry);
    }
}

int endpoint_table::ownRunning(std::string_view id) const
{
    const table_entry *entry = entryOf(id);
    return entry == nullptr ? 0 : entry->running;
}

endpoint_table::table_entry *endpoint_table::entryOf(std::string_view id)
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

const endpoint_table::table_entry *endpoint_table::entryOf(std::string_view id) const
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
