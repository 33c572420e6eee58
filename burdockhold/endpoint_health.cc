#include "burdockhold/endpoint_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockhold {

namespace {

constexpr double LatencySmoothing = 0.2;       // Weight of the newest call in the moving average.
constexpr std::size_t MinOthersForLatency = 2; // The median of fewer endpoints is meaningless.
constexpr int MaxDoublings = 20;

constexpr double ShareRounding = 1e-9; // 0.2 * 15 must give 3, but 0.2 has no exact double.
constexpr duration RetrySlot = std::chrono::milliseconds(100);

std::int64_t secondOf(time_point now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

pool_health::pool_health(health_options options)
    : m_options(options)
{
}

void pool_health::setMembers(const std::vector<pool_member> &members, time_point now)
{
    member_map kept;
    for (const auto &member : members) {
        const auto it = m_members.find(member.endpoint);
        if (it != m_members.end())
            kept.insert_or_assign(member.endpoint, std::move(it->second));
        kept[member.endpoint].state = member.state;
    }
    m_members = std::move(kept);
    while (ejectedCount(now) > ejectionCap()) {
        member_state *earliest = nullptr;
        for (auto &[name, member] : m_members) {
            if (member.state != endpoint_state::Active || member.ejectedUntil <= now)
                continue;
            if (earliest == nullptr || member.ejectedUntil < earliest->ejectedUntil)
                earliest = &member;
        }
        earliest->ejectedUntil = now;
    }
}

bool pool_health::adoptIncarnation(member_state &member, const std::string &incarnation)
{
    if (incarnation.empty() || incarnation == member.incarnation)
        return true;
    if (std::find(member.pastIncarnations.begin(), member.pastIncarnations.end(), incarnation)
        != member.pastIncarnations.end())
        return false;
    if (!member.incarnation.empty()) {
        member.pastIncarnations.push_back(member.incarnation);
        if (member.pastIncarnations.size() > MaxPastIncarnations)
            member.pastIncarnations.pop_front();
        resetCounts(member);
        member.ejections = 0;
        member.ejectedUntil = time_point();
        member.load.reset();
    }
    member.incarnation = incarnation;
    return true;
}

void pool_health::resetCounts(member_state &member)
{
    member.consecutiveFailures = 0;
    member.consecutiveSuccesses = 0;
    member.buckets.fill(rate_bucket{});
    member.latencySeconds = 0.0;
    member.latencyCalls = 0;
}

void pool_health::countCall(member_state &member, const call_report &report, time_point now) const
{
    const std::int64_t second = secondOf(now);
    rate_bucket &bucket = member.buckets[static_cast<std::size_t>(second) % RateSeconds];
    if (bucket.second != second)
        bucket = rate_bucket{ second, 0, 0 };
    ++bucket.calls;
    if (!report.succeeded) {
        ++bucket.failures;
        ++member.consecutiveFailures;
        member.consecutiveSuccesses = 0;
        return;
    }
    member.consecutiveFailures = 0;
    ++member.consecutiveSuccesses;
    if (member.consecutiveSuccesses >= m_options.successesToResetBackOff)
        member.ejections = 0;
    const double seconds = toSeconds(report.latency);
    const bool first = member.latencyCalls == 0;
    member.latencySeconds += (seconds - member.latencySeconds) * (first ? 1.0 : LatencySmoothing);
    ++member.latencyCalls;
}

void pool_health::callEnded(std::string_view endpoint, const call_report &report, time_point now)
{
    const auto it = m_members.find(endpoint);
    if (it == m_members.end() || !adoptIncarnation(it->second, report.incarnation))
        return;
    member_state &member = it->second;
    countCall(member, report, now);
    const bool canBeEjected = member.state == endpoint_state::Active && member.ejectedUntil <= now;
    if (canBeEjected && shouldEject(member, now) && ejectedCount(now) < ejectionCap())
        eject(member, now);
}

void pool_health::loadReported(std::string_view endpoint, const load_report &report)
{
    const auto it = m_members.find(endpoint);
    if (it != m_members.end() && adoptIncarnation(it->second, report.incarnation))
        it->second.load = report;
}

bool pool_health::shouldEject(const member_state &member, time_point now) const
{
    // An endpoint that has been readmitted is ejected again at its first failure.
    if (member.ejections > 0 && member.consecutiveFailures > 0)
        return true;
    if (member.consecutiveFailures >= m_options.failuresToEject)
        return true;
    int calls = 0;
    int failures = 0;
    for (const auto &bucket : member.buckets) {
        if (bucket.second <= secondOf(now) - static_cast<std::int64_t>(RateSeconds))
            continue;
        calls += bucket.calls;
        failures += bucket.failures;
    }
    if (calls >= m_options.minCallsForRate && failures >= calls * m_options.errorRateToEject)
        return true;
    return isSlow(member, now);
}

bool pool_health::isSlow(const member_state &member, time_point now) const
{
    if (member.latencyCalls < m_options.minCallsForLatency)
        return false;
    std::vector<double> others;
    for (const auto &[name, other] : m_members) {
        const bool hasEnoughCalls = other.latencyCalls >= m_options.minCallsForLatency;
        if (&other != &member && hasEnoughCalls && other.ejectedUntil <= now)
            others.push_back(other.latencySeconds);
    }
    if (others.size() < MinOthersForLatency)
        return false;
    const auto middle = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
    std::nth_element(others.begin(), middle, others.end());
    return member.latencySeconds > *middle * m_options.latencyFactor
           && member.latencySeconds > *middle + toSeconds(m_options.minLatencyExcess);
}

void pool_health::eject(member_state &member, time_point now)
{
    duration length = m_options.initialEjection;
    for (int i = 0; i < std::min(member.ejections, MaxDoublings); ++i)
        length = std::min(length * 2, m_options.maxEjection);
    resetCounts(member);
    ++member.ejections;
    member.ejectedUntil = now + length;
}

std::size_t pool_health::ejectedCount(time_point now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_members.begin(), m_members.end(), [&](const auto &entry) {
                return entry.second.state == endpoint_state::Active
                       && entry.second.ejectedUntil > now;
            }));
}

std::size_t pool_health::ejectionCap() const
{
    const auto active = std::count_if(m_members.begin(), m_members.end(), [](const auto &entry) {
        return entry.second.state == endpoint_state::Active;
    });
    return static_cast<std::size_t>(
            std::floor(static_cast<double>(active) * m_options.maxEjectedShare));
}

bool pool_health::isUsable(std::string_view endpoint, time_point now) const
{
    const auto it = m_members.find(endpoint);
    return it != m_members.end() && it->second.state == endpoint_state::Active
           && it->second.ejectedUntil <= now;
}

std::vector<endpoint_health> pool_health::status(time_point now) const
{
    std::vector<endpoint_health> all;
    for (const auto &[name, member] : m_members) {
        endpoint_health health;
        health.endpoint = name;
        health.usable = isUsable(name, now);
        health.ejected = member.ejectedUntil > now;
        health.ejections = member.ejections;
        health.consecutiveFailures = member.consecutiveFailures;
        health.latencySeconds = member.latencySeconds;
        if (member.load && now - member.load->receivedAt <= m_options.maxLoadAge) {
            health.load = member.load;
            health.loadAge = now - member.load->receivedAt;
        }
        all.push_back(std::move(health));
    }
    return all;
}

retry_budget::retry_budget(retry_budget_options options)
    : m_options(options)
{
}

retry_budget::time_slot &retry_budget::slotAt(std::int64_t number)
{
    time_slot &slot = m_slots[static_cast<std::size_t>(number) % SlotCount];
    if (slot.number != number)
        slot = time_slot{ number, 0, 0 };
    return slot;
}

void retry_budget::countRequest(time_point now)
{
    ++slotAt(now.time_since_epoch() / RetrySlot).requests;
}

bool retry_budget::tryRetry(time_point now)
{
    const usage used = currentUsage(now);
    if (used.retries >= used.allowed)
        return false;
    ++slotAt(now.time_since_epoch() / RetrySlot).retries;
    return true;
}

bool retry_budget::tryOptionalRetry(time_point now)
{
    const usage used = currentUsage(now);
    if (2 * used.retries >= used.allowed)
        return false;
    ++slotAt(now.time_since_epoch() / RetrySlot).retries;
    return true;
}

retry_budget::usage retry_budget::currentUsage(time_point now) const
{
    const std::int64_t current = now.time_since_epoch() / RetrySlot;
    const auto oldest = current - static_cast<std::int64_t>(SlotCount) + 1;
    std::int64_t requests = 0;
    usage used;
    for (const auto &slot : m_slots) {
        if (slot.number < oldest)
            continue;
        used.retries += slot.retries;
        // The oldest slot may lie outside the window, so its requests must not add to the budget.
        if (slot.number > oldest)
            requests += slot.requests;
    }
    const auto share = static_cast<std::int64_t>(
            std::floor(m_options.share * static_cast<double>(requests) + ShareRounding));
    used.allowed = std::max(m_options.minimum, share) + m_options.extra;
    return used;
}

} // namespace burdockhold
