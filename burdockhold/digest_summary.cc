#include "burdockhold/digest_summary.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace burdockhold {

namespace {

std::uint32_t saturatingSum(std::uint32_t left, std::uint32_t right)
{
    return left > UINT32_MAX - right ? UINT32_MAX : left + right;
}

void mergeInto(endpoint_row &sum, const endpoint_row &row)
{
    sum.running = saturatingSum(sum.running, row.running);
    sum.pendingPrefillTokens = saturatingSum(sum.pendingPrefillTokens, row.pendingPrefillTokens);
    sum.activeTokens = saturatingSum(sum.activeTokens, row.activeTokens);
    sum.recentCalls = saturatingSum(sum.recentCalls, row.recentCalls);
    sum.recentFailures = saturatingSum(sum.recentFailures, row.recentFailures);
    sum.silentMs = std::min(sum.silentMs, row.silentMs);
}

void mergeInto(weights_row &newest, const weights_row &row)
{
    newest.loading = newest.loading || row.loading;
    newest.loadingLeftMs = std::max(newest.loadingLeftMs, row.loadingLeftMs);
    newest.version = std::max(newest.version, row.version);
}

void mergeInto(duty_row &sum, const duty_row &row)
{
    sum.holds = sum.holds || row.holds;
    sum.lastOrderAgeMs = std::min(sum.lastOrderAgeMs, row.lastOrderAgeMs);
}

/// Prefers a known age to a guessed one, and otherwise the larger age: the VM that states it
/// learned of the version first.
void mergeInto(announced_version_row &best, const announced_version_row &row)
{
    const auto rank = [](const announced_version_row &announced) {
        return std::make_pair(!announced.guessed, announced.ageMs);
    };
    if (rank(row) > rank(best))
        best = row;
}

/// Prefers the measurement at the store's full rate.
void mergeInto(load_time_row &best, const load_time_row &row)
{
    if (row.fastestMs < best.fastestMs)
        best = row;
}

constexpr std::size_t MaxCrashesPerRow = 16; // So that a summary fits into a datagram.

/// Unites the crashes, each with the oldest report, and keeps the newest answer and trial.
void mergeInto(crash_row &sum, const crash_row &row)
{
    sum.answeredAgeMs = std::min(sum.answeredAgeMs, row.answeredAgeMs);
    sum.trialAgeMs = std::min(sum.trialAgeMs, row.trialAgeMs);
    for (const crash_report_row &reported : row.crashes) {
        const auto known = std::find_if(
                sum.crashes.begin(), sum.crashes.end(),
                [&](const crash_report_row &other) { return other.crash == reported.crash; });
        if (known == sum.crashes.end() && sum.crashes.size() < MaxCrashesPerRow)
            sum.crashes.push_back(reported);
        else if (known != sum.crashes.end())
            known->ageMs = std::max(known->ageMs, reported.ageMs);
    }
}

/// Keeps the rows with the most crashes, so that a summary fits into a datagram.
std::vector<crash_row> strongestCrashRows(std::vector<crash_row> rows)
{
    constexpr std::size_t MaxRows = 64;
    const auto weight = [](const crash_row &row) {
        constexpr std::size_t ClearanceWeight = 3; // Without it other VMs keep a block.
        return row.crashes.empty() ? ClearanceWeight : row.crashes.size();
    };
    std::stable_sort(rows.begin(), rows.end(),
                     [&](const crash_row &a, const crash_row &b) { return weight(a) > weight(b); });
    rows.resize(std::min(rows.size(), MaxRows));
    return rows;
}

/// Prefers the later state, and the larger of the known ages of the order.
void mergeInto(rollout_row &best, const rollout_row &row)
{
    best.state = std::max(best.state, row.state);
    const bool better = row.orderAgeMs != rollout_row::NoOrder
                        && (best.orderAgeMs == rollout_row::NoOrder
                            || std::make_pair(row.isKnown, row.orderAgeMs)
                                       > std::make_pair(best.isKnown, best.orderAgeMs));
    if (!better)
        return;
    best.orderAgeMs = row.orderAgeMs;
    best.isKnown = row.isKnown;
}

void mergeInto(rollout_evidence_row &sum, const rollout_evidence_row &row)
{
    sum.newCalls = saturatingSum(sum.newCalls, row.newCalls);
    sum.newFailed = saturatingSum(sum.newFailed, row.newFailed);
    sum.newJudged = saturatingSum(sum.newJudged, row.newJudged);
    sum.newSlow = saturatingSum(sum.newSlow, row.newSlow);
    sum.oldCalls = saturatingSum(sum.oldCalls, row.oldCalls);
    sum.oldFailed = saturatingSum(sum.oldFailed, row.oldFailed);
    sum.oldJudged = saturatingSum(sum.oldJudged, row.oldJudged);
    sum.oldSlow = saturatingSum(sum.oldSlow, row.oldSlow);
}

void mergeInto(lane_row &sum, const lane_row &row)
{
    sum.shortWork = saturatingSum(sum.shortWork, row.shortWork);
    sum.longWork = saturatingSum(sum.longWork, row.longWork);
}

/// Returns the rows of all members; rows with equal keys are merged.
template <typename Row, typename Rows, typename Key>
std::vector<Row> mergedRows(const std::vector<const vm_digest *> &members, Rows rowsOf, Key keyOf)
{
    std::map<decltype(keyOf(std::declval<Row>())), Row> merged;
    for (const vm_digest *member : members) {
        for (const Row &row : rowsOf(*member)) {
            const auto [found, isNew] = merged.try_emplace(keyOf(row), row);
            if (!isNew)
                mergeInto(found->second, row);
        }
    }
    std::vector<Row> rows;
    rows.reserve(merged.size());
    for (const auto &entry : merged)
        rows.push_back(entry.second);
    return rows;
}

template <typename Hashes>
std::vector<std::uint32_t> unionOf(const std::vector<const vm_digest *> &members, Hashes hashesOf)
{
    std::set<std::uint32_t> all;
    for (const vm_digest *member : members) {
        const std::vector<std::uint32_t> &hashes = hashesOf(*member);
        all.insert(hashes.begin(), hashes.end());
    }
    return { all.begin(), all.end() };
}

/// Returns the duties of a VM. A VM that is leaving has released them, so none is marked as held.
std::vector<duty_row> dutiesOf(const vm_digest &digest)
{
    std::vector<duty_row> duties = digest.duties;
    for (duty_row &duty : duties)
        duty.holds = duty.holds && !digest.leaving;
    return duties;
}

} // namespace

vm_digest summarize(const std::vector<const vm_digest *> &members)
{
    using digest_ref = const vm_digest &;
    vm_digest summary;
    summary.endpoints = mergedRows<endpoint_row>(
            members, [](digest_ref d) -> const auto & { return d.endpoints; },
            [](const endpoint_row &row) { return row.endpoint; });
    summary.weights = mergedRows<weights_row>(
            members, [](digest_ref d) -> const auto & { return d.weights; },
            [](const weights_row &row) { return std::make_pair(row.endpoint, row.model); });
    summary.duties = mergedRows<duty_row>(members, dutiesOf,
                                          [](const duty_row &row) { return row.pool; });
    summary.announcedVersions = mergedRows<announced_version_row>(
            members, [](digest_ref d) -> const auto & { return d.announcedVersions; },
            [](const announced_version_row &row) {
                return std::make_pair(row.model, row.version);
            });
    summary.loadTimes = mergedRows<load_time_row>(
            members, [](digest_ref d) -> const auto & { return d.loadTimes; },
            [](const load_time_row &row) { return std::make_pair(row.pool, row.model); });
    summary.crashes = strongestCrashRows(mergedRows<crash_row>(
            members, [](digest_ref d) -> const auto & { return d.crashes; },
            [](const crash_row &row) { return row.fingerprint; }));
    summary.rollouts = mergedRows<rollout_row>(
            members, [](digest_ref d) -> const auto & { return d.rollouts; },
            [](const rollout_row &row) { return std::make_pair(row.pool, row.target); });
    summary.rolloutEvidence = mergedRows<rollout_evidence_row>(
            members, [](digest_ref d) -> const auto & { return d.rolloutEvidence; },
            [](const rollout_evidence_row &row) {
                return std::make_tuple(row.pool, row.target, row.route);
            });
    for (const vm_digest *member : members)
        summary.storeEra = std::max(summary.storeEra, member->storeEra);
    summary.lanes = mergedRows<lane_row>(
            members, [](digest_ref d) -> const auto & { return d.lanes; },
            [](const lane_row &row) { return row.pool; });
    summary.storedSegments = unionOf(
            members, [](digest_ref d) -> const auto & { return d.storedSegments; });
    summary.unavailableStores = unionOf(
            members, [](digest_ref d) -> const auto & { return d.unavailableStores; });
    summary.departedEndpoints = unionOf(
            members, [](digest_ref d) -> const auto & { return d.departedEndpoints; });
    for (const vm_digest *member : members) {
        if (!member->leaving)
            summary.vms.push_back(shortHash(member->vm));
    }
    return summary;
}

bool outranks(const aggregator_candidate &one, const aggregator_candidate &other)
{
    if (one.capacity != other.capacity)
        return one.capacity > other.capacity;
    return one.vm < other.vm;
}

bool isAggregator(const aggregator_candidate &own, const std::vector<aggregator_candidate> &others)
{
    return std::all_of(others.begin(), others.end(),
                       [&](const aggregator_candidate &other) { return outranks(own, other); });
}

} // namespace burdockhold
