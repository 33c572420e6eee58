#include "burdockhold/quota_ledger.h"

#include <algorithm>
#include <cstdint>

namespace burdockhold {

namespace {

// A request passes with half of its cost in the bucket: a bucket smaller than the largest requests
// would never pass them otherwise. The bucket pays the rest back before the next one passes.
constexpr double PassShare = 0.5;
// A digest newer than this against the one before it gives no usable rate.
constexpr double MinRateSeconds = 0.05;
// Part of the other VMs whose rates a started VM waits for; single VMs may be down.
constexpr double EnoughKnown = 0.9;

/// A number from 0 to 1 that differs between VMs.
double phaseOf(std::uint64_t seed)
{
    // The finalizer of splitmix64: neighbouring seeds give unrelated phases.
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
    , m_notedAt(now)
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
    m_part = m_evenShare;
    m_partUntil = now + m_options.startPart;
}

double quota_ledger::rate() const
{
    const double whole = m_limit.ratePerSecond * (1.0 + m_options.rateTolerance / 2.0);
    return m_guardUntil ? whole * m_evenShare : whole;
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
    m_asked += cost;
    if (m_limit.ratePerSecond > 0.0
        && (m_level - underWay(now) < PassShare * std::min(cost, cap()) || !fitsPart(cost)))
        return false;
    m_level -= cost;
    m_admitted += cost;
    return true;
}

/// Charges the cost to this VM's part of the rate, while it keeps to one.
bool quota_ledger::fitsPart(double cost)
{
    if (!m_partUntil)
        return true;
    // Many small parts begin at different phases; who has nearly the whole rate begins at once. A
    // started VM may use its part of what it assumes to be left of the burst.
    if (!m_partLevel) {
        const double ofBurst = m_starting ? m_part * m_limit.burst * m_options.startShare : 0.0;
        m_partLevel = ofBurst - cost * phaseOf(m_options.phaseSeed) * (1.0 - m_part);
    }
    if (*m_partLevel < 0.0)
        return false;
    *m_partLevel -= cost;
    return true;
}

void quota_ledger::applyPeerTotal(const std::string &peer, double total, time_point now,
                                  const quota_peer &kind)
{
    const auto [found, isNew] = m_peers.try_emplace(peer);
    peer_account &account = found->second;
    if (isNew) {
        // What it admitted before it was known is in the past; only the rest is charged.
        account = { total, 0.0, 0.0, now, now, kind.vms };
        account.askedReported = std::max(total, kind.asked);
        return;
    }
    account.vms = kind.vms;
    if (total < account.reported)
        return;
    const double asked = std::max({ total, kind.asked, account.askedReported });
    if (kind.inOwnGroup) {
        m_groupHeard += total - account.reported;
        m_groupAsked += asked - account.askedReported;
    }
    learnRates(account, total, asked, now);
    account.askedReported = asked;
    m_level = std::min(cap(), m_level - (total - account.reported - account.assumed));
    account.reported = total;
    account.assumed = 0.0;
    account.reportedAt = now;
    account.chargedAt = now;
}

void quota_ledger::learnRates(peer_account &account, double total, double asked, time_point now)
{
    const double seconds = toSeconds(now - account.reportedAt);
    if (seconds < MinRateSeconds)
        return;
    const double weight = account.hasRates
                                  ? std::min(1.0, seconds / toSeconds(m_options.rateWindow))
                                  : 1.0;
    account.hasRates = true;
    account.ratePerSecond += weight
                             * ((total - account.reported) / seconds - account.ratePerSecond);
    account.askedPerSecond += weight
                              * ((asked - account.askedReported) / seconds
                                 - account.askedPerSecond);
}

void quota_ledger::noteOwnRate(time_point now)
{
    const double seconds = toSeconds(now - m_notedAt);
    if (seconds < MinRateSeconds)
        return;
    const double weight = std::min(1.0, seconds / toSeconds(m_options.rateWindow));
    m_askedPerSecond += weight * ((m_asked - m_askedAtNote) / seconds - m_askedPerSecond);
    m_askedAtNote = m_asked;
    m_notedAt = now;
}

/// Decides whether this VM keeps to a part of the rate, and to which.
void quota_ledger::decidePart(std::size_t knownPeers, time_point now)
{
    double others = 0.0;
    std::size_t vmsWithRates = 0;
    for (const auto &row : m_peers) {
        others += row.second.askedPerSecond;
        vmsWithRates += row.second.hasRates ? row.second.vms : 0;
    }
    const double known = static_cast<double>(knownPeers);
    const bool wasStarting = m_starting;
    m_starting = m_starting && now - m_startedAt < m_options.startPart
                 && static_cast<double>(vmsWithRates) < EnoughKnown * known;
    if (m_starting) {
        m_part = 1.0 / (known + 1.0);
        return;
    }
    // VMs that are not heard may ask for as much as the others do.
    const double missing = std::max(0.0, known - static_cast<double>(vmsWithRates));
    const double heardVms = static_cast<double>(vmsWithRates) + 1.0;
    const double all = (m_askedPerSecond + others) * (1.0 + missing / heardVms);
    const bool asksMore = all > m_options.partFrom * m_limit.ratePerSecond;
    if (asksMore && (m_partUntil || m_level < cap() / 2.0))
        m_partUntil = now + m_options.partLapse;
    else if (wasStarting)
        m_partUntil = now; // What the others ask for is known to fit.
    if (m_partUntil && now >= *m_partUntil) {
        m_partUntil.reset();
        m_partLevel.reset();
    }
    m_part = all > 0.0 ? m_askedPerSecond / all : 1.0;
}

void quota_ledger::rebasePeerTotal(const std::string &peer, double total, time_point now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    peer_account &account = found->second;
    const double charge = account.ratePerSecond * toSeconds(now - account.reportedAt);
    m_level -= std::max(0.0, charge - account.assumed);
    account.reported = total;
    account.askedReported = total;
    account.assumed = 0.0;
    account.reportedAt = now;
    account.chargedAt = now;
}

void quota_ledger::resetPeerTotal(std::string_view peer)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    found->second.reported = 0.0;
    found->second.askedReported = 0.0;
    found->second.assumed = 0.0;
}

void quota_ledger::step(std::size_t knownPeers, time_point now)
{
    refill(now);
    noteOwnRate(now);
    decidePart(knownPeers, now);
    const auto isSilent = [&](const auto &row) {
        return now - row.second.reportedAt > m_silenceAfter;
    };
    std::size_t all = 0;
    std::size_t heard = 0;
    for (const auto &row : m_peers) {
        all += row.second.vms;
        heard += isSilent(row) ? 0 : row.second.vms;
    }
    const bool hearsHalf = 2 * heard >= all;
    const std::size_t vms = std::max(m_options.minVms, knownPeers + 1);
    m_evenShare = 1.0 / static_cast<double>(vms);
    if (m_guardUntil && (now >= *m_guardUntil || (heard > 0 && 2 * heard >= knownPeers)))
        m_guardUntil.reset();
    for (auto row = m_peers.begin(); row != m_peers.end();) {
        if (!isSilent(*row)) {
            ++row;
            continue;
        }
        if (hearsHalf && now - row->second.reportedAt > m_options.forgetAfter) {
            row = m_peers.erase(row);
            continue;
        }
        peer_account &account = row->second;
        const double even = m_limit.ratePerSecond * static_cast<double>(row->second.vms)
                            / static_cast<double>(knownPeers + 1);
        const double charge = std::max(account.ratePerSecond, even)
                              * toSeconds(now - account.chargedAt);
        account.chargedAt = now;
        // Assumptions alone never put the bucket into debt: beyond that nothing would ever pass.
        if (m_level > 0.0) {
            account.assumed += charge;
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
    const double missing = PassShare * std::min(cost, cap()) - level;
    const double ofPart = m_part > 0.0 ? -m_partLevel.value_or(0.0) / m_part : 0.0;
    return fromSeconds(std::max({ 0.0, missing, ofPart }) / rate());
}

/// The operator's amount is used only in proportion to the burst: it is the same for all accounts.
double quota_ledger::cap() const
{
    if (m_guardUntil)
        return m_limit.burst * m_options.startShare * m_evenShare;
    return m_limit.burst + std::min(m_options.amountTolerance / 2.0, m_limit.burst / 2.0);
}

/// What the other VMs have probably admitted since their digests.
double quota_ledger::underWay(time_point now) const
{
    double tokens = 0.0;
    for (const auto &[name, account] : m_peers) {
        if (now - account.reportedAt <= m_silenceAfter)
            tokens += account.ratePerSecond * toSeconds(now - account.reportedAt);
    }
    return tokens;
}

void quota_ledger::refill(time_point now)
{
    const double seconds = toSeconds(now - m_refilledAt);
    m_refilledAt = now;
    m_level = std::min(cap(), m_level + seconds * rate());
    const double partRate = m_part * m_limit.ratePerSecond;
    const double partCap = toSeconds(m_options.partBurst) * partRate;
    if (m_partLevel && *m_partLevel < partCap)
        *m_partLevel = std::min(partCap, *m_partLevel + seconds * partRate);
}

} // namespace burdockhold
