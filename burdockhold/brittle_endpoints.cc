#include "burdockhold/brittle_endpoints.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace burdockhold {

namespace {

/// Refusals reach VMs at different delays, so a second at the endpoint may look longer here.
constexpr duration RefusalWindow = std::chrono::milliseconds(1200);
constexpr duration RateWindow = std::chrono::seconds(2);

/// A remainder is used in the first part of a turn. The rest exceeds a second by the difference of
/// the VMs' clocks and the time that a refusal takes.
constexpr std::int64_t TurnMs = 2500;
constexpr std::int64_t UsedTurnMs = 1000;

std::int64_t countSince(const std::deque<time_point> &times, time_point from)
{
    return std::count_if(times.begin(), times.end(), [from](time_point at) { return at > from; });
}

void dropUntil(std::deque<time_point> &times, time_point to)
{
    while (!times.empty() && times.front() <= to)
        times.pop_front();
}

} // namespace

vm_position positionIn(const std::vector<std::uint32_t> &vms, std::uint32_t self)
{
    const auto found = std::lower_bound(vms.begin(), vms.end(), self);
    return { static_cast<std::size_t>(found - vms.begin()), std::max<std::size_t>(1, vms.size()) };
}

vm_position rotated(vm_position position, std::uint32_t endpointHash)
{
    return { (position.index + endpointHash) % position.vms, position.vms };
}

std::int64_t partOf(std::int64_t number, vm_position position)
{
    const auto vms = static_cast<std::int64_t>(position.vms);
    const bool hasRemainder = static_cast<std::int64_t>(position.index) < number % vms;
    return number / vms + (hasRemainder ? 1 : 0);
}

std::int64_t shareOfRefusals(std::int64_t refusals, vm_position position,
                             std::optional<std::int64_t> unixMs)
{
    const auto vms = static_cast<std::int64_t>(position.vms);
    if (!unixMs || *unixMs < 0 || *unixMs % TurnMs >= UsedTurnMs)
        return refusals / vms;
    const auto turn = static_cast<std::size_t>(*unixMs / TurnMs);
    return partOf(refusals, { (position.index + turn) % position.vms, position.vms });
}

bool brittle_pool::answered(std::optional<std::int64_t> refusals)
{
    const bool changed = refusals != m_refusals;
    m_refusals = refusals;
    if (!refusals)
        m_starts.clear();
    return changed;
}

void brittle_pool::callStarted(time_point now)
{
    if (!m_refusals)
        return;
    dropUntil(m_starts, now - RateWindow);
    m_starts.push_back(now);
}

double brittle_pool::callsPerSecond(time_point now) const
{
    return static_cast<double>(countSince(m_starts, now - RateWindow)) / toSeconds(RateWindow);
}

double unseenCalls(double expected)
{
    // Two standard deviations of a Poisson process, and one call that is not expected.
    return std::ceil(expected + 2.0 * std::sqrt(expected)) + 1.0;
}

brittle_verdict brittle_share::verdict(const brittle_need &need, time_point now) const
{
    const std::int64_t refusedNow = refusedLately(now);
    const bool withinPart = need.ownRunning < partOf(need.slots, need.position);
    const double unseen = need.position.vms > 1 ? unseenCalls(need.othersStarts) : 0.0;
    const bool hasRoom = need.ownRunning + need.othersRunning + unseen < need.slots;
    const bool mayBeReached = refusedNow > 0
                              && refusedNow * static_cast<std::int64_t>(need.position.vms)
                                         >= need.refusals;
    if (mayBeReached ? withinPart && hasRoom : withinPart || hasRoom)
        return brittle_verdict::Free;
    const std::int64_t share = shareOfRefusals(need.refusals, need.position, need.unixMs);
    return m_charged + refusedNow < share ? brittle_verdict::OnShare : brittle_verdict::Excluded;
}

void brittle_share::refused(time_point now)
{
    dropUntil(m_refusals, now - RefusalWindow);
    m_refusals.push_back(now);
}

std::int64_t brittle_share::refusedLately(time_point now) const
{
    return countSince(m_refusals, now - RefusalWindow);
}

} // namespace burdockhold
