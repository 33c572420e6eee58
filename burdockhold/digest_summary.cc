#include "burdockhold/digest_summary.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace burdockhold {

namespace {

std::uint32_t sumOf(std::uint32_t left, std::uint32_t right)
{
    return left > UINT32_MAX - right ? UINT32_MAX : left + right;
}

void addTo(endpoint_row &sum, const endpoint_row &row)
{
    sum.running = sumOf(sum.running, row.running);
    sum.pendingPrefillTokens = sumOf(sum.pendingPrefillTokens, row.pendingPrefillTokens);
    sum.activeTokens = sumOf(sum.activeTokens, row.activeTokens);
    sum.recentCalls = sumOf(sum.recentCalls, row.recentCalls);
    sum.recentFailures = sumOf(sum.recentFailures, row.recentFailures);
    sum.silentMs = std::min(sum.silentMs, row.silentMs);
}

void addTo(weights_row &newest, const weights_row &row)
{
    newest.loading = newest.loading || row.loading;
    newest.version = std::max(newest.version, row.version);
}

void addTo(duty_row &sum, const duty_row &row)
{
    sum.holds = sum.holds || row.holds;
    sum.orderedAgoMs = std::min(sum.orderedAgoMs, row.orderedAgoMs);
}

/// A known time goes before a guessed one; of two alike, the older: its VM saw it first.
void addTo(announced_version_row &best, const announced_version_row &row)
{
    const auto rank = [](const announced_version_row &named) {
        return std::make_pair(!named.guessed, named.ageMs);
    };
    if (rank(row) > rank(best))
        best = row;
}

/// Rows of all members, those with equal keys merged.
template <typename Row, typename Rows, typename Key>
std::vector<Row> mergedRows(const std::vector<const vm_digest *> &members, Rows rowsOf, Key keyOf)
{
    std::map<decltype(keyOf(std::declval<Row>())), Row> merged;
    for (const vm_digest *member : members) {
        for (const Row &row : rowsOf(*member)) {
            const auto [found, isNew] = merged.try_emplace(keyOf(row), row);
            if (!isNew)
                addTo(found->second, row);
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

/// A VM that leaves has given up its duties.
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
    summary.named = mergedRows<announced_version_row>(
            members, [](digest_ref d) -> const auto & { return d.named; },
            [](const announced_version_row &row) {
                return std::make_pair(row.model, row.version);
            });
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
