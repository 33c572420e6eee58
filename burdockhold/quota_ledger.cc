#include "burdockhold/quota_ledger.h"

#include <algorithm>
#include <cstdint>

namespace burdockhold {

namespace {

// A request is admitted when the bucket holds half of its cost; otherwise a bucket smaller than the
// largest requests would never admit them. The bucket refills the rest before it admits the next.
constexpr double AdmitShare = 0.5;
// Two digests closer together than this give no usable rate.
constexpr double MinRateSeconds = 0.05;
// Fraction of the other VMs whose rates a VM waits for after its start; single VMs may be down.
constexpr double KnownRatesShare = 0.9;
// Longest wait that is stated; at a very low rate, the computed one exceeds the range of a
// duration.
constexpr double MaxStatedSeconds = 3600.0;
/// Time between two computations that are linear in the peers. An admission brings them up to date
/// first, so that accounts without requests at this VM cost little.
constexpr duration StepInterval = std::chrono::milliseconds(200);
constexpr duration AdmissionInterval = std::chrono::milliseconds(50);
/// With no more peers than this, each step computes the share anew: that costs little, and fleets
/// of a few VMs have the least room for a late share.
constexpr std::size_t FewPeers = 16;

/// Returns a number from 0 to 1 that differs between VMs.
double initialPhase(std::uint64_t seed)
{
    // The finalizer of splitmix64 maps neighbouring seeds to unrelated phases.
    std::uint64_t bits = seed + 0x9e3779b97f4a7c15ULL;
    bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
    bits ^= bits >> 31;
    return static_cast<double>(bits >> 11) / 9007199254740992.0;
}

} // namespace

quota_ledger::quota_ledger(quota_ledger_options options, quota_limit limit, time_point now)
    : m_options(options)
    , m_limit(limit)
    , m_level(limit.burst * options.startShare)
    , m_ownRateUpdatedAt(now)
    , m_startedAt(now)
    , m_silenceAfter(options.silenceAfter)
    , m_refilledAt(now)
{
    if (m_options.startGuard <= duration::zero())
        return;
    m_guardUntil = now + m_options.startGuard;
    m_evenShare = 1.0 / static_cast<double>(m_options.minVms);
    m_level *= m_evenShare;
    m_starting = true;
    m_share = m_evenShare;
    m_shareUntil = now + m_options.evenRateDuration;
}

double quota_ledger::rate() const
{
    const double tolerated = m_limit.ratePerSecond * (1.0 + m_options.rateTolerance / 2.0);
    return m_guardUntil ? tolerated * m_evenShare : tolerated;
}

void quota_ledger::setLimit(quota_limit limit, time_point now)
{
    refill(now);
    m_limit = limit;
    m_level = std::min(m_level, cap());
}

bool quota_ledger::tryAdmit(double cost, time_point now)
{
    refill(now);
    if (m_peers.size() > FewPeers && m_sharedAt && now - *m_sharedAt >= AdmissionInterval)
        updateShare(now);
    m_requested += cost;
    // Shares already leave to the other VMs what they may have admitted since their last totals.
    const double unreported = m_shareUntil ? 0.0 : estimateUnreported(now);
    if (m_limit.ratePerSecond > 0.0
        && (m_level - unreported < requiredLevel(cost) || !tryChargeShare(cost)))
        return false;
    m_level -= cost;
    m_admitted += cost;
    return true;
}

/// Returns the level at which a request of this cost is admitted. While this VM is limited to its
/// share, a large request does not overdraw the bucket, unless it costs more than half of it, since
/// all small ones would be refused until the bucket has refilled. Just after its start, the bucket
/// holds only this VM's part of the burst, and the rule would refuse nearly all requests.
double quota_ledger::requiredLevel(double cost) const
{
    const double required = AdmitShare * std::min(cost, cap());
    if (!m_shareUntil || m_starting || cost <= shareCap())
        return required;
    return std::max(required, std::min(cost, cap() / 2.0));
}

void quota_ledger::returnTokens(double cost, time_point now)
{
    refill(now);
    m_returned = std::min(m_admitted, m_returned + cost);
    m_level = std::min(cap(), m_level + cost);
    if (m_shareLevel)
        *m_shareLevel = std::min(std::max({ *m_shareLevel, shareCap(), m_share * cap() }),
                                 *m_shareLevel + cost);
}

/// Charges the cost to this VM's share of the rate and returns true if it fits. Always true while
/// this VM is not limited to its share.
bool quota_ledger::tryChargeShare(double cost)
{
    if (!m_shareUntil)
        return true;
    if (!m_shareLevel)
        m_shareLevel = initialShareLevel(cost);
    const bool fitsPooled = m_starting && m_requested + m_heardRequested <= m_pooledAllowance;
    if (*m_shareLevel >= 0.0 || fitsPooled) {
        *m_shareLevel -= cost;
        return true;
    }
    if (cost > shareCap() || m_reserveLevel < cost)
        return false;
    m_reserveLevel -= cost;
    return true;
}

/// Small shares start at different phases, so that this fraction of the VMs admits its first
/// request; a VM with a large share may use its share of the bucket at once. Just after its start,
/// that is its share of the burst that it assumes is left.
double quota_ledger::initialShareLevel(double cost) const
{
    const double phase = initialPhase(m_options.phaseSeed) * (1.0 - m_share);
    if (m_starting)
        return m_share * m_limit.burst * m_options.startShare - cost * phase;
    return std::max(m_share * std::max(0.0, m_level), cost * m_coveredDemand) - cost * phase;
}

void quota_ledger::applyPeerTotal(const std::string &peer, double total, time_point now,
                                  const quota_peer &kind)
{
    const auto [found, isNew] = m_peers.try_emplace(peer);
    peer_state &peerState = found->second;
    if (isNew) {
        // Admissions before the first total are not charged, only those after it.
        peerState = { total, 0.0, 0.0, now, now, kind.vms, kind.inOwnGroup };
        peerState.reportedRequested = std::max(total, kind.requested);
        m_heardRequested += kind.inOwnGroup ? peerState.reportedRequested : 0.0;
        peerState.reportedReturned = kind.returned;
        return;
    }
    peerState.vms = kind.vms;
    if (total < peerState.reported)
        return;
    const double requested = std::max({ total, kind.requested, peerState.reportedRequested });
    if (kind.inOwnGroup) {
        m_groupAdmitted += total - peerState.reported;
        m_groupRequested += requested - peerState.reportedRequested;
        m_heardRequested += requested - peerState.reportedRequested;
    }
    // A total of returned tokens above the admitted one is implausible and ignored.
    const double returned = kind.returned <= total
                                    ? std::max(0.0, kind.returned - peerState.reportedReturned)
                                    : 0.0;
    updatePeerRates(peerState, total - peerState.reported - returned,
                    requested - peerState.reportedRequested - returned, now);
    peerState.reportedRequested = requested;
    m_level = std::min(cap(), m_level - (total - peerState.reported - peerState.assumed));
    peerState.charged += total - peerState.reported;
    peerState.reported = total;
    peerState.assumed = 0.0;
    peerState.reportedAt = now;
    peerState.chargedAt = now;
    creditReturned(peerState, returned, kind);
}

/// Credits what the peer has returned since its last total, up to what this VM has charged for it.
void quota_ledger::creditReturned(peer_state &peerState, double increase, const quota_peer &kind)
{
    peerState.reportedReturned += increase;
    const double credit = std::min(increase, peerState.charged);
    if (kind.inOwnGroup)
        m_groupReturned += credit;
    peerState.charged -= credit;
    m_level = std::min(cap(), m_level + credit);
}

/// Takes the increases since the peer's last total. They are negative while more is returned than
/// requested.
void quota_ledger::updatePeerRates(peer_state &peerState, double admitted, double requested,
                                   time_point now)
{
    const double seconds = toSeconds(now - peerState.reportedAt);
    if (seconds < MinRateSeconds)
        return;
    const double weight = peerState.hasRates
                                  ? std::min(1.0, seconds / toSeconds(m_options.rateWindow))
                                  : 1.0;
    peerState.hasRates = true;
    peerState.ratePerSecond += weight * (admitted / seconds - peerState.ratePerSecond);
    peerState.requestedPerSecond += weight * (requested / seconds - peerState.requestedPerSecond);
}

void quota_ledger::updateOwnRate(time_point now)
{
    const double seconds = toSeconds(now - m_ownRateUpdatedAt);
    if (seconds < MinRateSeconds)
        return;
    const double weight = std::min(1.0, seconds / toSeconds(m_options.rateWindow));
    const double requested = m_requested - m_returned;
    m_requestedPerSecond += weight
                            * ((requested - m_requestedAtUpdate) / seconds - m_requestedPerSecond);
    m_requestedAtUpdate = requested;
    m_ownRateUpdatedAt = now;
}

/// Computes this VM's share of the rate and decides whether it is limited to the share.
void quota_ledger::updateShare(time_point now)
{
    m_sharedAt = now;
    updateOwnRate(now);
    double otherDemand = 0.0;
    std::size_t vmsWithRates = 0;
    for (const auto &row : m_peers) {
        otherDemand += std::max(0.0, row.second.requestedPerSecond);
        vmsWithRates += row.second.hasRates ? row.second.vms : 0;
    }
    const double known = static_cast<double>(m_knownPeers);
    const bool wasStarting = m_starting;
    m_starting = m_starting && now - m_startedAt < m_options.evenRateDuration
                 && static_cast<double>(vmsWithRates) < KnownRatesShare * known;
    if (m_starting) {
        m_share = 1.0 / (known + 1.0);
        m_pooledAllowance = pooledAllowance();
        return;
    }
    // VMs whose rates are unknown are assumed to have the average demand of the known ones.
    const double missing = std::max(0.0, known - static_cast<double>(vmsWithRates));
    const double ratedVms = static_cast<double>(vmsWithRates) + 1.0;
    const double ownDemand = std::max(0.0, m_requestedPerSecond);
    const double totalDemand = (ownDemand + otherDemand) * (1.0 + missing / ratedVms);
    const double left = std::max(0.0, m_level - estimateUnreported(now));
    const bool exceedsThreshold = totalDemand > m_options.shareThreshold * m_limit.ratePerSecond;
    const double limitBelow = std::max(cap() / 2.0, (totalDemand - ownDemand) * reportAgeSeconds());
    if (exceedsThreshold && (m_shareUntil || m_level < limitBelow))
        m_shareUntil = now + m_options.shareHoldTime;
    else if (wasStarting)
        m_shareUntil = now; // The demand at all VMs is now known to fit the rate.
    if (m_shareUntil && now >= *m_shareUntil) {
        m_shareUntil.reset();
        m_shareLevel.reset();
    }
    m_share = totalDemand > 0.0 ? ownDemand / totalDemand : 1.0;
    const double covered = m_limit.ratePerSecond + left / reportAgeSeconds();
    m_coveredDemand = totalDemand > covered ? covered / totalDemand : 1.0;
}

/// Returns what the even shares of this VM and of those heard in its data centre cover together,
/// each from this VM's start to its last total.
double quota_ledger::pooledAllowance() const
{
    double vms = 1.0;
    double seconds = toSeconds(m_refilledAt - m_startedAt);
    for (const auto &row : m_peers) {
        if (!row.second.inOwnGroup)
            continue;
        vms += 1.0;
        seconds += toSeconds(row.second.reportedAt - m_startedAt);
    }
    const double assumed = m_options.pooledStartShare * m_options.startShare * m_limit.burst;
    const double refilled = m_options.shareThreshold * m_limit.ratePerSecond * seconds;
    return m_share * (vms * assumed + refilled);
}

/// Returns the mean age of the other VMs' totals.
double quota_ledger::reportAgeSeconds() const
{
    return std::max(MinRateSeconds, m_options.meanReportAge * toSeconds(m_reportInterval));
}

void quota_ledger::rebasePeerTotal(const std::string &peer, double total, time_point now,
                                   const quota_peer &kind)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    peer_state &peerState = found->second;
    const double charge = peerState.ratePerSecond * toSeconds(now - peerState.reportedAt);
    m_level -= std::max(0.0, charge - peerState.assumed);
    peerState.reported = total;
    peerState.reportedRequested = total;
    peerState.reportedReturned = kind.returned;
    peerState.assumed = 0.0;
    peerState.reportedAt = now;
    peerState.chargedAt = now;
}

void quota_ledger::resetPeerTotal(std::string_view peer)
{
    const auto found = m_peers.find(std::string(peer));
    if (found == m_peers.end())
        return;
    found->second.reported = 0.0;
    found->second.reportedRequested = 0.0;
    found->second.reportedReturned = 0.0;
    found->second.charged = 0.0;
    found->second.assumed = 0.0;
}

void quota_ledger::step(std::size_t knownPeers, time_point now)
{
    m_knownPeers = knownPeers;
    refill(now);
    if (m_peers.size() > FewPeers && now < m_stepDueAt && !m_guardUntil)
        return;
    m_stepDueAt = now + StepInterval;
    updateShare(now);
    const auto isSilent = [&](const auto &row) {
        return now - row.second.reportedAt > m_silenceAfter;
    };
    std::size_t allVms = 0;
    std::size_t heardVms = 0;
    for (const auto &row : m_peers) {
        allVms += row.second.vms;
        heardVms += isSilent(row) ? 0 : row.second.vms;
    }
    const bool hearsFromHalf = 2 * heardVms >= allVms;
    const std::size_t vms = std::max(m_options.minVms, knownPeers + 1);
    m_evenShare = 1.0 / static_cast<double>(vms);
    if (m_guardUntil && (now >= *m_guardUntil || (heardVms > 0 && 2 * heardVms >= knownPeers)))
        m_guardUntil.reset();
    for (auto row = m_peers.begin(); row != m_peers.end();) {
        if (!isSilent(*row)) {
            ++row;
            continue;
        }
        if (hearsFromHalf && now - row->second.reportedAt > m_options.forgetAfter) {
            row = m_peers.erase(row);
            continue;
        }
        peer_state &peerState = row->second;
        const double evenRate = m_limit.ratePerSecond * static_cast<double>(row->second.vms)
                                / static_cast<double>(knownPeers + 1);
        const double charge = std::max(peerState.ratePerSecond, evenRate)
                              * toSeconds(now - peerState.chargedAt);
        peerState.chargedAt = now;
        // Charges for assumed admissions stop at a negative level; otherwise no request would ever
        // be admitted.
        if (m_level > 0.0) {
            peerState.assumed += charge;
            m_level -= charge;
        }
        ++row;
    }
}

duration quota_ledger::timeUntil(double cost, time_point now) const
{
    if (m_limit.ratePerSecond <= 0.0)
        return duration::zero();
    const double level = m_level + toSeconds(now - m_refilledAt) * rate();
    const double missing = requiredLevel(cost) - level;
    const double shareDeficit = m_share > 0.0 ? -m_shareLevel.value_or(0.0) / m_share : 0.0;
    const double shareSeconds = std::min(shareDeficit / rate(), toSeconds(m_options.maxShareWait));
    const double wait = std::max({ 0.0, missing / rate(), shareSeconds });
    return fromSeconds(std::min(wait, MaxStatedSeconds));
}

/// Returns the bucket's capacity. The operator's amount is the same for all accounts, so it raises
/// the capacity by at most half of the burst.
double quota_ledger::cap() const
{
    if (m_guardUntil)
        return m_limit.burst * m_options.startShare * m_evenShare;
    return m_limit.burst + std::min(m_options.amountTolerance / 2.0, m_limit.burst / 2.0);
}

/// Estimates what the other VMs have admitted since their last digests.
double quota_ledger::estimateUnreported(time_point now) const
{
    double tokens = 0.0;
    for (const auto &[name, peerState] : m_peers) {
        if (now - peerState.reportedAt <= m_silenceAfter)
            tokens += std::max(0.0, peerState.ratePerSecond)
                      * toSeconds(now - peerState.reportedAt);
    }
    return tokens;
}

void quota_ledger::refill(time_point now)
{
    const double seconds = toSeconds(now - m_refilledAt);
    m_refilledAt = now;
    m_level = std::min(cap(), m_level + seconds * rate());
    if (m_shareLevel)
        refillShare(seconds);
}

/// Fills the reserve first; what does not fit into it is added to the share.
void quota_ledger::refillShare(double seconds)
{
    const double added = seconds * m_share * m_limit.ratePerSecond;
    const double room = std::max(0.0, shareCap() - m_reserveLevel);
    const double reserved = std::min(room, m_options.smallReserve * added);
    m_reserveLevel += reserved;
    if (*m_shareLevel < shareCap())
        *m_shareLevel = std::min(shareCap(), *m_shareLevel + added - reserved);
}

/// Returns the capacity of the share's bucket.
double quota_ledger::shareCap() const
{
    return toSeconds(m_options.shareBurst) * m_share * m_limit.ratePerSecond;
}

} // namespace burdockhold
