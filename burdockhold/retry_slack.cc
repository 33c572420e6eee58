#include "burdockhold/retry_slack.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace burdockhold {

namespace {

/// Time in which each VM has had its turn to take a retry while a part is less than one.
constexpr duration PhasePeriod = std::chrono::seconds(10);
/// Requests of a pool that may arrive between two digests; more is an absurd value.
constexpr double MaxRequests = 1e7;
/// Time between two computations of the growth, which are linear in the VMs and the window's slots.
constexpr duration GrowthInterval = std::chrono::milliseconds(200);
/// Time between two checks for VMs that have left.
constexpr duration CleanupInterval = std::chrono::milliseconds(200);

} // namespace

retry_slack::retry_slack(retry_slack_options options, time_point now)
    : m_options(options)
    , m_startedAt(now)
    , m_steppedAt(now)
    , m_aloneUntil(now)
    , m_silenceAfter(options.silenceAfter)
    , m_isOnlyVm(options.isOnlyVm)
{
    constexpr double Steps = 4096.0;
    const auto bits = XXH64(&options.phaseSeed, sizeof options.phaseSeed, 0);
    m_phase = static_cast<double>(bits % static_cast<std::uint64_t>(Steps)) / Steps;
}

/// Returns a number from 0 to 1; at any time these are spread evenly over the VMs.
double retry_slack::phaseAt(time_point now) const
{
    const double turns = m_phase + toSeconds(now - m_startedAt) / toSeconds(PhasePeriod);
    return turns - std::floor(turns);
}

void retry_slack::countRequest(time_point now)
{
    m_requested += 1.0;
    m_ownRequests.add(1.0, now);
}

double retry_slack::creditedRequests(time_point now)
{
    if (m_isOnlyVm)
        return m_ownRequests.current(now);
    if (now >= m_growthDueAt) {
        m_growthDueAt = now + GrowthInterval;
        m_growth = fleetGrowth(now);
    }
    const double growth = now - m_steppedAt > m_silenceAfter ? 1.0 : m_growth;
    return std::min(m_ownRequests.current(now), m_ownRequests.previous(now) * growth);
}

/// Returns the growth of the requests at all VMs from the previous window to the current one.
double retry_slack::fleetGrowth(time_point now) const
{
    double current = m_ownRequests.current(now);
    double previous = m_ownRequests.previous(now);
    for (const auto &[name, peer] : m_peers) {
        previous += peer.requests.previous(now);
        current += isSilent(peer, now) ? 0.0 : peer.requests.current(now);
    }
    return previous > 0.0 ? std::max(1.0, current / previous) : 1.0;
}

bool retry_slack::tryTake(time_point now)
{
    expire(now);
    const fleet_view view = viewOf(now);
    const bool isStarting = now < m_startedAt + m_options.startGuard;
    const bool wasSuspended = now < m_aloneUntil || now - m_steppedAt > m_silenceAfter;
    const bool hearsMost = 2.0 * view.heard > view.all;
    const bool isAlone = isStarting || wasSuspended || !hearsMost;
    const double taken = isAlone ? m_own.total() : m_own.since(now - heardAfter());
    if (taken + 1.0 > partOf(view, isAlone, now))
        return false;
    m_own.add(1.0, now);
    m_taken += 1.0;
    return true;
}

/// Returns this VM's part of what is left. VMs that have taken none within the window leave a
/// fraction of their parts to those that have and of which all VMs know it.
double retry_slack::pooledPart(const fleet_view &view, double left, bool isActive) const
{
    const double idlePart = m_options.idleShare * left / view.heard;
    if (!isActive)
        return idlePart;
    const double active = view.active + 1.0;
    return (left - (view.heard - active) * idlePart) / active;
}

/// Returns what this VM may take: within a window if it is alone, else until it was surely heard.
double retry_slack::partOf(const fleet_view &view, bool isAlone, time_point now) const
{
    if (!isAlone) {
        const double heardOwn = m_own.total() - m_own.since(now - heardAfter());
        const double left = m_options.amount - view.charged - heardOwn;
        const double part = pooledPart(view, left, heardOwn > 0.0);
        return view.heard > 1.0 ? std::floor(part + phaseAt(now)) : part;
    }
    const bool isStarting = now < m_startedAt + m_options.startGuard;
    const double share = isStarting ? m_options.startShare : 1.0;
    return std::floor(share * m_options.amount / view.all + m_phase);
}

double retry_slack::headroom(time_point now)
{
    expire(now);
    const double taken = viewOf(now).charged + m_own.total();
    return m_options.amount > 0.0 ? 1.0 - taken / m_options.amount : 0.0;
}

void retry_slack::expire(time_point now)
{
    const time_point before = now - m_options.window;
    m_own.expire(before);
    for (auto &[name, peer] : m_peers)
        peer.taken.expire(before);
}

bool retry_slack::isSilent(const peer_state &peer, time_point now) const
{
    return now - peer.reportedAt > m_silenceAfter;
}

retry_slack::fleet_view retry_slack::viewOf(time_point now) const
{
    fleet_view view;
    view.heard = 1.0;
    view.all = 1.0;
    for (const auto &[name, peer] : m_peers) {
        view.taken += peer.taken.total();
        const double heard = isSilent(peer, now) ? 0.0 : static_cast<double>(peer.vms);
        view.heard += heard;
        view.active += peer.taken.total() > 0.0 ? heard : 0.0;
        view.all += static_cast<double>(peer.mostVms);
    }
    view.all = std::max(view.all, static_cast<double>(m_knownPeers) + 1.0);
    if (now < m_startedAt + m_options.window && !m_isOnlyVm)
        view.all = std::max(view.all, static_cast<double>(m_options.minVms));
    const double left = std::max(0.0, m_options.amount - view.taken - m_own.total());
    const double part = m_options.amount / view.all;
    for (const auto &[name, peer] : m_peers)
        view.charged += silentCharge(peer, left / view.all, part, isSilent(peer, now));
    return view;
}

/// Returns what the VMs of the row may have taken, of which each may have taken this much unheard.
double retry_slack::silentCharge(const peer_state &peer, double unheard, double part,
                                 bool isSilent) const
{
    const auto most = static_cast<double>(peer.mostVms);
    if (isSilent)
        return std::max(peer.taken.total() + most * unheard, most * part);
    return peer.taken.total() + (most - static_cast<double>(peer.vms)) * part;
}

void retry_slack::setReportInterval(duration interval)
{
    m_reportInterval = interval;
    m_silenceAfter = std::max<duration>(m_options.silenceAfter, m_options.lostDigests * interval);
}

void retry_slack::applyPeerTotal(const std::string &peer, double total, time_point now,
                                 const quota_peer &kind)
{
    const auto [found, isNew] = m_peers.try_emplace(peer);
    peer_state &state = found->second;
    if (isNew) {
        // What it took before the first total is not known, and it may be within the window.
        state.taken.add(std::min(total, m_options.amount), now);
        state.reported = total;
        state.reportedRequested = kind.requested;
        state.reportedAt = now;
    }
    state.vms = kind.vms;
    state.leaving = kind.leaving;
    if (kind.vms >= state.mostVms) {
        state.mostVms = kind.vms;
        state.mostVmsAt = now;
    }
    if (total < state.reported || !isPlausible(state, total, now))
        return;
    state.taken.add(total - state.reported, now);
    m_groupTaken += kind.inOwnGroup ? total - state.reported : 0.0;
    state.reported = total;
    applyRequested(state, kind, now);
    state.reportedAt = now;
}

/// Returns false for a total that no VMs could have reached since the last one: it would use up the
/// amount, and hide all totals that follow.
bool retry_slack::isPlausible(const peer_state &peer, double total, time_point now) const
{
    constexpr double Tolerance = 4.0;
    const double windows = 1.0 + toSeconds(now - peer.reportedAt) / toSeconds(m_options.window);
    return total - peer.reported <= std::max(1.0, Tolerance * m_options.amount * windows);
}

/// Counts the requests since the last total at the times at which they arrived.
void retry_slack::applyRequested(peer_state &peer, const quota_peer &kind, time_point now)
{
    const double added = kind.requested - peer.reportedRequested;
    if (added <= 0.0 || added > MaxRequests)
        return;
    peer.requests.addSpread(added, peer.reportedAt, now);
    m_groupRequested += kind.inOwnGroup ? added : 0.0;
    peer.reportedRequested = kind.requested;
}

/// Charges the part of the group's VMs for the time since the group's last total.
void retry_slack::rebasePeerTotal(const std::string &peer, double total, time_point now,
                                  const quota_peer &kind)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    peer_state &state = found->second;
    const double windows = std::min(1.0, toSeconds(now - state.reportedAt)
                                                 / toSeconds(m_options.window));
    const double part = m_options.amount / std::max(1.0, static_cast<double>(m_knownPeers) + 1.0);
    state.taken.add(windows * part * static_cast<double>(state.mostVms), now);
    state.reported = total;
    state.reportedRequested = kind.requested;
    state.reportedAt = now;
}

void retry_slack::resetPeerTotal(std::string_view peer)
{
    const auto found = m_peers.find(std::string(peer));
    if (found == m_peers.end())
        return;
    found->second.reported = 0.0;
    found->second.reportedRequested = 0.0;
}

void retry_slack::step(std::size_t knownPeers, time_point now)
{
    m_knownPeers = knownPeers;
    m_isOnlyVm = m_isOnlyVm && knownPeers == 0;
    if (now - m_steppedAt > m_silenceAfter)
        m_aloneUntil = now + heardAfter();
    m_steppedAt = now;
    if (now < m_cleanupDueAt)
        return;
    m_cleanupDueAt = now + CleanupInterval;
    expire(now);
    const fleet_view view = viewOf(now);
    const bool hearsMost = 2.0 * view.heard > view.all;
    for (auto row = m_peers.begin(); row != m_peers.end();) {
        peer_state &peer = row->second;
        if (hearsMost && now - peer.mostVmsAt > m_options.forgetAfter)
            peer.mostVms = peer.vms;
        row = mayForget(peer, hearsMost, now) ? m_peers.erase(row) : std::next(row);
    }
}

bool retry_slack::mayForget(const peer_state &peer, bool hearsMost, time_point now) const
{
    const duration silent = now - peer.reportedAt;
    return hearsMost && silent > (peer.leaving ? m_options.window : m_options.forgetAfter);
}

} // namespace burdockhold
