#include "burdockhold/software_rollout.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace burdockhold {

namespace {

constexpr int OnlyStage = 0;
constexpr std::size_t MaxEarlierTargets = 16; // More than a view is behind.
/// Ratios of the old version from fewer calls say too little; see move_evidence.cc.
constexpr std::uint64_t MinOldCalls = 50;
constexpr std::uint64_t MaxPlausibleCount = std::uint64_t(1) << 30;

const version_presence *largest(const std::vector<version_presence> &versions,
                                std::string_view except)
{
    const version_presence *best = nullptr;
    for (const version_presence &one : versions) {
        if (one.version == except || one.endpoints == 0)
            continue;
        const bool better = best == nullptr || one.endpoints > best->endpoints
                            || (one.endpoints == best->endpoints
                                && one.oldestIncarnation < best->oldestIncarnation);
        if (better)
            best = &one;
    }
    return best;
}

std::uint64_t canaryScore(std::string_view id, std::int64_t turn)
{
    return XXH64(id.data(), id.size(), static_cast<std::uint64_t>(turn));
}

std::uint32_t rowCount(std::uint64_t count)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(count, UINT32_MAX));
}

bool isPlausible(const outcome_counts &counts)
{
    return counts.requests <= MaxPlausibleCount && counts.errors <= counts.requests
           && counts.judged <= counts.requests - counts.errors && counts.slow <= counts.judged;
}

std::string routeKey(std::uint32_t route)
{
    return std::to_string(route);
}

void addTo(outcome_counts &sum, const outcome_counts &more)
{
    sum.requests += more.requests;
    sum.errors += more.errors;
    sum.judged += more.judged;
    sum.slow += more.slow;
}

} // namespace

software_rollout::software_rollout(std::string pool, std::string vm,
                                   software_rollout_options options)
    : m_pool(std::move(pool))
    , m_vm(std::move(vm))
    , m_options(options)
    , m_sampler(options.sampler)
{
}

bool software_rollout::isNew(std::string_view version) const
{
    if (m_state == rollout_state::Complete)
        return version != m_established && version != m_retired;
    if (!m_newVersion.empty() && version == m_newVersion)
        return true;
    return !m_established.empty() && version != m_established && version != m_retired;
}

bool software_rollout::isSampling() const
{
    return m_state == rollout_state::Watching || m_state == rollout_state::Running;
}

void software_rollout::beginVersion(const std::string &version, rollout_state state, time_point now)
{
    m_newVersion = version;
    m_state = state;
    m_reason = rollout_reason::None;
    m_completionProposed = false;
    m_newSeenAt = now;
    m_evidence.clear();
    m_sampler.reset();
    m_watch.emplace(shortHash(version), m_options.evidence);
}

bool software_rollout::orderReceived(const software_order &order, bool guessed, time_point now)
{
    if (m_order && m_order->targetVersion == order.targetVersion) {
        m_repeatedOrder.reset();
        const bool differs = order.moveTime != m_order->moveTime
                             && order.moveTime != m_ignoredMoveTime;
        if (differs) {
            m_ignoredOrder = order;
            m_ignoredMoveTime = order.moveTime;
        }
        return false;
    }
    const bool isRepeated = std::find(m_earlierTargets.begin(), m_earlierTargets.end(),
                                      order.targetVersion)
                            != m_earlierTargets.end();
    if (isRepeated) {
        m_repeatedOrder = order;
        m_repeatedAt = now;
        m_repeatedAgeGuessed = guessed;
        return false;
    }
    beginOrder(order, guessed, now);
    return true;
}

bool software_rollout::viewConfirmed(time_point at)
{
    if (!m_repeatedOrder || m_repeatedAt >= at)
        return false;
    const software_order order = *m_repeatedOrder;
    beginOrder(order, m_repeatedAgeGuessed, m_repeatedAt);
    return true;
}

void software_rollout::beginOrder(const software_order &order, bool guessed, time_point now)
{
    if (m_order)
        m_earlierTargets.push_back(m_order->targetVersion);
    if (m_earlierTargets.size() > MaxEarlierTargets)
        m_earlierTargets.pop_front();
    m_repeatedOrder.reset();
    m_ignoredMoveTime = duration::zero();
    m_order = order;
    m_orderedAt = now;
    m_orderAgeGuessed = guessed;
    m_confirmed = !guessed;
    m_calls = 0;
    m_exposed = 0;
    m_credit = 0.0;
    if (m_established == order.targetVersion)
        m_established.clear();
    m_retired.clear();
    if (m_newVersion != order.targetVersion || m_state == rollout_state::Complete)
        beginVersion(order.targetVersion, rollout_state::Running, now);
    else if (m_state == rollout_state::Watching)
        m_state = rollout_state::Running;
    m_oldSeenAt = now;
}

void software_rollout::setVersions(const std::vector<version_presence> &versions, time_point now)
{
    const bool ordered = m_order && m_state != rollout_state::Complete;
    const auto isPresent = [&](std::string_view version) {
        return std::any_of(versions.begin(), versions.end(), [version](const auto &one) {
            return one.version == version && one.endpoints > 0;
        });
    };
    const version_presence *majority = largest(versions, ordered ? m_newVersion : std::string());
    const bool lost = !isPresent(m_established) && now - m_oldSeenAt > m_options.badGrace;
    if (majority != nullptr && (m_established.empty() || (lost && !ordered)))
        m_established = majority->version;
    if (isPresent(m_established) && !m_established.empty())
        m_oldSeenAt = now;
    m_newPresent = isPresent(m_newVersion);
    if (ordered)
        return;
    const auto unknown = std::find_if(versions.begin(), versions.end(), [this](const auto &one) {
        return one.endpoints > 0 && one.version != m_established && one.version != m_retired;
    });
    if (unknown == versions.end()) {
        if (m_state == rollout_state::Watching)
            m_state = rollout_state::Idle;
        return;
    }
    if (unknown->version != m_newVersion || m_state == rollout_state::Idle
        || m_state == rollout_state::Complete)
        beginVersion(unknown->version, rollout_state::Watching, now);
}

void software_rollout::removeNewVersion(std::vector<endpoint_candidate> &candidates,
                                        time_point now) const
{
    const bool hasNew = std::any_of(candidates.begin(), candidates.end(),
                                    [this](const auto &one) { return isNew(one.softwareVersion); });
    if (!hasNew)
        return;
    const duration grace = m_state == rollout_state::RolledBack ? m_options.badGrace
                                                                : m_options.noOldGrace;
    const bool hasOld = std::any_of(candidates.begin(), candidates.end(), [this](const auto &one) {
        return !isNew(one.softwareVersion);
    });
    if (!hasOld && now - m_oldSeenAt > grace)
        return;
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                    [this](const auto &one) { return isNew(one.softwareVersion); }),
                     candidates.end());
}

std::optional<endpoint_candidate> software_rollout::nextCanary(
        const std::vector<endpoint_candidate> &candidates, time_point now) const
{
    if (!isSampling() || !m_confirmed || m_credit < 1.0 || timeToDeadline(now) < duration::zero())
        return std::nullopt;
    double oldRunning = 0.0;
    double oldEndpoints = 0.0;
    const std::int64_t turn = (now - m_newSeenAt) / m_options.canaryTime;
    const endpoint_candidate *best = nullptr;
    for (const endpoint_candidate &one : candidates) {
        if (!isNew(one.softwareVersion)) {
            oldRunning += one.running;
            oldEndpoints += 1.0;
            continue;
        }
        const bool usable = one.softwareVersion == m_newVersion && one.excluded == exclusion::None
                            && !one.suspect;
        const bool better = best == nullptr
                            || canaryScore(one.id, turn) > canaryScore(best->id, turn);
        if (usable && better)
            best = &one;
    }
    if (best == nullptr || oldEndpoints == 0.0)
        return std::nullopt;
    // One call more than the others run on average: the next call waits for a less busy moment.
    if (best->running > oldRunning / oldEndpoints + 1.0)
        return std::nullopt;
    return *best;
}

std::shared_ptr<rollout_call> software_rollout::callStarted(std::string_view version,
                                                            const rollout_call &call)
{
    const bool toNew = isNew(version);
    ++m_calls;
    m_exposed += toNew ? 1 : 0;
    m_credit = std::min(m_options.maxCredit,
                        m_credit + m_options.usedShare * m_options.exposureShare)
               - (toNew ? 1.0 : 0.0);
    if (!isSampling())
        return nullptr;
    auto sampled = std::make_shared<rollout_call>(call);
    sampled->isNew = toNew;
    m_sampler.callStarted(sampled);
    return sampled;
}

void software_rollout::callNotSent(std::string_view version)
{
    if (isNew(version) || m_calls == 0)
        return; // Whether the endpoint has seen it is not certain enough to repeat it.
    --m_calls;
    m_credit -= m_options.usedShare * m_options.exposureShare;
}

void software_rollout::decide(rollout_state state, rollout_reason reason)
{
    m_state = state;
    m_reason = reason;
    if (state != rollout_state::Complete)
        return;
    m_retired = m_established;
    m_established = m_newVersion;
}

void software_rollout::mergeOwnCounts()
{
    for (const auto &[route, counts] : m_sampler.counts()) {
        evidence_key key{ m_vm, 0, shortHash(m_newVersion), OnlyStage, routeKey(shortHash(route)),
                          true };
        outcome_counts &known = m_evidence[key];
        m_hasNewFlaws = m_hasNewFlaws || counts.newVersion.errors > known.errors
                        || counts.newVersion.slow > known.slow;
        known = counts.newVersion;
        key.isNew = false;
        m_evidence[key] = counts.oldVersion;
    }
    m_evidenceChanged = true;
}

std::map<std::string, version_counts> software_rollout::totals() const
{
    std::map<std::string, version_counts> sums;
    for (const auto &[key, counts] : m_evidence) {
        version_counts &sum = sums[key.route];
        addTo(key.isNew ? sum.newVersion : sum.oldVersion, counts);
    }
    return sums;
}

/// Returns the counts of each source over all routes, as those of a route without a name.
move_evidence software_rollout::pooledEvidence() const
{
    move_evidence pooled;
    for (const auto &[key, counts] : m_evidence) {
        evidence_key all = key;
        all.route.clear();
        addTo(pooled[all], counts);
    }
    return pooled;
}

/// Tests each route alone, and all together: a flaw of all routes shows sooner in the sum.
void software_rollout::testEvidence()
{
    m_evidenceChanged = false;
    const auto sums = totals();
    outcome_counts allOld;
    for (const auto &[route, counts] : sums)
        addTo(allOld, counts.oldVersion);
    move_evidence tested = allOld.requests >= MinOldCalls ? pooledEvidence() : move_evidence();
    for (const auto &[key, counts] : m_evidence) {
        if (sums.at(key.route).oldVersion.requests >= MinOldCalls)
            tested.emplace(key, counts);
    }
    const auto signal = m_watch->update(tested);
    if (signal)
        decide(rollout_state::RolledBack, *signal == flaw_signal::Errors
                                                  ? rollout_reason::Failures
                                                  : rollout_reason::SlowCalls);
}

bool software_rollout::isProven(std::size_t liveVms) const
{
    const auto move = static_cast<log_offset>(shortHash(m_newVersion));
    std::set<std::string> sources;
    std::uint64_t oldCalls = 0;
    for (const auto &[key, counts] : m_evidence) {
        oldCalls += key.isNew ? 0 : counts.requests;
        if (key.isNew && counts.requests > 0)
            sources.insert(key.vm);
    }
    for (const auto &[route, counts] : totals()) {
        const bool busy = static_cast<double>(counts.oldVersion.requests)
                          > m_options.busyRouteShare * static_cast<double>(oldCalls);
        if (busy && counts.newVersion.requests < m_options.minRouteOutcomes)
            return false;
    }
    const std::size_t needed = std::min(m_options.minVms, liveVms);
    return sources.size() >= needed && !m_watch->pointsToFlaw()
           && judgeStage(m_evidence, move, OnlyStage, m_options.evidence) > stage_verdict::Leaning
           && judgeStage(pooledEvidence(), move, OnlyStage, m_options.evidence)
                      == stage_verdict::Proven;
}

duration software_rollout::timeToDeadline(time_point now) const
{
    return m_order ? m_orderedAt + m_order->moveTime - now : duration::max();
}

void software_rollout::proposeCompletion(rollout_reason reason)
{
    m_completionProposed = true;
    m_reason = reason;
}

duration software_rollout::longestMargin() const
{
    return std::max(m_options.decisionMargin,
                    fromSeconds(m_options.decisionMarginPart * toSeconds(m_order->moveTime)));
}

/// Returns how long before the deadline the decision falls: so long that the pool's calls until the
/// deadline are within the slack.
duration software_rollout::decisionMargin(time_point now) const
{
    std::uint64_t outcomes = 0;
    for (const auto &[route, counts] : totals())
        outcomes += counts.newVersion.requests + counts.oldVersion.requests;
    const double watched = toSeconds(now - m_newSeenAt);
    if (outcomes == 0 || watched <= 0.0)
        return longestMargin();
    const double callsPerSecond = static_cast<double>(outcomes) / watched;
    const duration tolerated = fromSeconds(m_options.usedSlack * m_options.exposureSlack
                                           / callsPerSecond);
    const duration shortest = std::min(longestMargin(), m_options.minDecisionMargin + m_statusTime);
    return std::clamp(tolerated, shortest, longestMargin());
}

bool software_rollout::isDecisionNear(time_point now) const
{
    return m_order && m_state == rollout_state::Running && timeToDeadline(now) <= longestMargin();
}

void software_rollout::testDeadline(std::size_t liveVms, time_point now)
{
    if (!m_confirmed || !isDecisionNear(now))
        return;
    const duration left = timeToDeadline(now);
    if (left > decisionMargin(now))
        return;
    if (m_newPresent && now - m_oldSeenAt > m_options.noOldGrace) {
        proposeCompletion(rollout_reason::NoOldVersion);
    } else if (isProven(liveVms)) {
        proposeCompletion(rollout_reason::Proven);
    } else {
        m_completionProposed = false; // Bad outcomes have come since, and it is not written yet.
        if (left <= m_options.lastMargin)
            decide(rollout_state::RolledBack, rollout_reason::Unproven);
    }
}

void software_rollout::step(const std::function<bool(const std::string &)> &isLoading,
                            bool holdsDuty, std::size_t liveVms, time_point now)
{
    if (!isSampling())
        return;
    if (m_sampler.step(isLoading, now))
        mergeOwnCounts();
    if (m_evidenceChanged)
        testEvidence();
    if (holdsDuty)
        testDeadline(liveVms, now);
}

std::optional<rollout_state> software_rollout::wantedStatus() const
{
    if (!m_order || !m_confirmed)
        return std::nullopt;
    return m_completionProposed && m_state == rollout_state::Running ? rollout_state::Complete
                                                                     : m_state;
}

void software_rollout::statusRead(std::optional<rollout_state> state, std::string_view target)
{
    m_confirmed = true;
    const bool final = state == rollout_state::Complete || state == rollout_state::RolledBack;
    if (!final || !m_order || target != m_order->targetVersion || m_state == *state)
        return;
    const bool own = *state == rollout_state::Complete && m_completionProposed;
    decide(*state, own ? m_reason : rollout_reason::Log);
}

void software_rollout::fillDigest(vm_digest &digest, time_point now) const
{
    if (m_state == rollout_state::Idle)
        return;
    const std::string &target = m_newVersion;
    rollout_row row{ shortHash(m_pool), shortHash(target), static_cast<std::uint8_t>(m_state),
                     rollout_row::NoOrder, m_confirmed && !m_orderAgeGuessed };
    if (m_order)
        row.orderAgeMs = digestMilliseconds(now - m_orderedAt);
    digest.rollouts.push_back(row);
    for (const auto &[route, counts] : m_sampler.counts()) {
        const outcome_counts &news = counts.newVersion;
        const outcome_counts &olds = counts.oldVersion;
        digest.rolloutEvidence.push_back({ row.pool, row.target, shortHash(route),
                                           rowCount(news.requests), rowCount(news.errors),
                                           rowCount(news.judged), rowCount(news.slow),
                                           rowCount(olds.requests), rowCount(olds.errors),
                                           rowCount(olds.judged), rowCount(olds.slow) });
    }
}

bool software_rollout::applyState(const rollout_row &row, time_point now)
{
    constexpr duration AgeSlack = std::chrono::minutes(10);
    if (row.state > static_cast<std::uint8_t>(rollout_state::Complete))
        return false;
    const auto state = static_cast<rollout_state>(row.state);
    const bool isFinal = state == rollout_state::RolledBack || state == rollout_state::Complete;
    if (m_order && row.orderAgeMs != rollout_row::NoOrder && row.isKnown) {
        const duration age = std::chrono::milliseconds(row.orderAgeMs);
        if (!isFinal && age > m_order->moveTime + AgeSlack)
            return false;
        m_orderedAt = m_orderAgeGuessed ? now - age : std::min(m_orderedAt, now - age);
        m_orderAgeGuessed = false;
        m_confirmed = true;
    }
    const bool overrules = state == rollout_state::Complete ? m_state != rollout_state::Complete
                                                            : isSampling();
    if (isFinal && overrules)
        decide(state, rollout_reason::OtherVm);
    return true;
}

/// Keeps the larger of each two counts of one source.
bool software_rollout::keepPeerCounts(const vm_digest &digest, const rollout_evidence_row &row)
{
    const outcome_counts news{ row.newCalls, row.newFailed, row.newJudged, row.newSlow };
    const outcome_counts olds{ row.oldCalls, row.oldFailed, row.oldJudged, row.oldSlow };
    if (!isPlausible(news) || !isPlausible(olds))
        return false;
    evidence_key key{ digest.vm,           digest.isSummary() ? 0 : digest.incarnation,
                      row.target,          OnlyStage,
                      routeKey(row.route), true };
    if (m_evidence.size() >= m_options.maxCounts && m_evidence.count(key) == 0)
        return false;
    move_evidence stated;
    stated[key] = news;
    key.isNew = false;
    stated[key] = olds;
    mergeEvidence(m_evidence, stated);
    m_evidenceChanged = true;
    return true;
}

std::size_t software_rollout::applyPeerDigest(const vm_digest &digest, time_point now)
{
    const std::uint32_t pool = shortHash(m_pool);
    const std::uint32_t target = shortHash(m_newVersion);
    std::size_t rejected = 0;
    if (m_state == rollout_state::Idle)
        return rejected;
    for (const rollout_evidence_row &row : digest.rolloutEvidence) {
        if (row.pool == pool && row.target == target && isSampling())
            rejected += keepPeerCounts(digest, row) ? 0 : 1;
    }
    for (const rollout_row &row : digest.rollouts) {
        if (row.pool == pool && row.target == target)
            rejected += applyState(row, now) ? 0 : 1;
    }
    return rejected;
}

} // namespace burdockhold
