#include "burdockhold/quota_ledger.h"

#include <algorithm>

namespace burdockhold {

namespace {

// A request passes with half of its cost in the bucket: a bucket smaller than the largest requests
// would never pass them otherwise. The bucket pays the rest back before the next one passes.
constexpr double PassShare = 0.5;
// A digest newer than this against the one before it gives no usable rate.
constexpr double MinRateSeconds = 0.05;

} // namespace

quota_ledger::quota_ledger(quota_ledger_options options, quota_limit limit, time_point now)
    : m_options(options)
    , m_limit(limit)
    , m_level(limit.burst * options.startShare)
    , m_silenceAfter(options.silenceAfter)
    , m_refilledAt(now)
{
    if (m_options.startGuard <= duration::zero())
        return;
    m_guardUntil = now + m_options.startGuard;
    m_evenShare = 1.0 / static_cast<double>(m_options.leastVms);
    m_level *= m_evenShare;
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
    if (m_limit.ratePerSecond > 0.0 && m_level - underWay(now) < PassShare * std::min(cost, cap()))
        return false;
    m_level -= cost;
    m_admitted += cost;
    return true;
}

void quota_ledger::peerTotal(const std::string &peer, double total, time_point now,
                             const quota_peer &kind)
{
    const auto [found, isNew] = m_peers.try_emplace(peer);
    peer_account &account = found->second;
    if (isNew) {
        // What it admitted before it was known is in the past; only the rest is charged.
        account = { total, 0.0, 0.0, now, now, kind.vms };
        return;
    }
    account.vms = kind.vms;
    if (total < account.reported)
        return;
    if (kind.inOwnGroup)
        m_groupHeard += total - account.reported;
    const double seconds = toSeconds(now - account.reportedAt);
    if (seconds >= MinRateSeconds) {
        const double weight = std::min(1.0, seconds / toSeconds(m_options.rateWindow));
        const double newest = (total - account.reported) / seconds;
        account.ratePerSecond += weight * (newest - account.ratePerSecond);
    }
    m_level = std::min(cap(), m_level - (total - account.reported - account.assumed));
    account.reported = total;
    account.assumed = 0.0;
    account.reportedAt = now;
    account.chargedAt = now;
}

void quota_ledger::peerReplaced(const std::string &peer, double total, time_point now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    peer_account &account = found->second;
    const double charge = account.ratePerSecond * toSeconds(now - account.reportedAt);
    m_level -= std::max(0.0, charge - account.assumed);
    account.reported = total;
    account.assumed = 0.0;
    account.reportedAt = now;
    account.chargedAt = now;
}

void quota_ledger::peerRestarted(std::string_view peer)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    found->second.reported = 0.0;
    found->second.assumed = 0.0;
}

void quota_ledger::step(std::size_t knownPeers, time_point now)
{
    refill(now);
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
    const std::size_t vms = std::max(m_options.leastVms, knownPeers + 1);
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
    return fromSeconds(std::max(0.0, missing / rate()));
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
}

} // namespace burdockhold
