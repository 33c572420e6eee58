#ifndef BURDOCKHOLD_QUOTA_LEDGER_H
#define BURDOCKHOLD_QUOTA_LEDGER_H

// Enforces one client account's limit over all VMs. Each VM keeps a token bucket for the whole
// account, charged with its own admissions at once and with those of the other VMs as their gossip
// digests arrive.
//
// While the account's demand exceeds its rate, the bucket alone is not enough: every VM would admit
// requests against tokens that other VMs have already used but not yet reported. During that time,
// and after a start until the demand at the other VMs is known, a VM also limits itself to its
// share of the rate and of the bucket: the demand at this VM as a fraction of the demand at all
// VMs. A share is often smaller than one request, so each VM starts at a different phase: the VMs
// together first admit the fraction of the demand that the rate and the bucket cover, and then as
// many requests as the rate allows.
//
// After a start, a VM admits beyond its even share while the demand since then at itself and at the
// VMs of its data centre that it has heard from fits the even shares of all these VMs. Load
// pattern: all VMs restart, and the few large requests of an account well within its rate exceed
// the even share of single VMs, though the data centre's shares together cover them.
//
// Part of a share is kept for small requests. Load pattern: an account beyond its rate sends a few
// prompts of tens of thousands of tokens among many small requests; each prompt overdraws the share
// for seconds, and in order of arrival nearly all small requests would be refused meanwhile.
//
// The limit counts what runs. A request that was admitted but refused by every endpoint returns its
// tokens. Load pattern: engines refuse calls for seconds while callers come back as told; if each
// attempt were charged, accounts well within their rate would be refused for longer than the
// engines. For the same reason the demand and the rates of other VMs are those of tokens that are
// not returned.
//
// Promises:
// - Counters in digests are totals, so a lost or duplicated digest has no effect once a later one
//   arrives.
// - Tokens are returned only after they were charged: a VM credits another VM's returned tokens up
//   to what it has charged for that VM, and the bucket never exceeds its capacity. So a bucket is
//   never fuller than if the returned requests had not been admitted at all.
// - A silent VM is charged as if it continued at its last rate, or at an even share of the limit if
//   that is higher. A VM that hears from fewer than half of the others keeps charging for all of
//   them, so that both sides of a network partition together stay near the limit.
// - In any window, all VMs together admit at most rate x window + burst, with half of the
//   operator's tolerance, plus the demand beyond the account's rate within the age of the digests.
//   testing/quota_fleet_test.cc checks this against the operator's whole tolerance.
// Memory is linear in the number of VMs that serve the account.

#include "burdockhold/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace burdockhold {

struct quota_limit
{
    double ratePerSecond = 0.0; ///< 0 means no limit.
    double burst = 0.0;
};

struct quota_ledger_options
{
    double startShare = 0.5; ///< Fraction of the burst that a VM assumes is left when it starts.
    /// How long a VM limits itself to an even share of the burst after its start, unless it hears
    /// from half of the others sooner. When all VMs start at once, none knows what the others
    /// admit.
    duration startGuard = std::chrono::milliseconds(0);
    /// How long a VM limits itself to an even share of the rate after its start, unless it learns
    /// the demand at most of the others sooner. Covers several digests at the longest digest
    /// interval.
    duration evenRateDuration = std::chrono::seconds(3);
    /// Fraction of the tokens that a start assumes (startShare) on which a VM counts when it
    /// compares the demand in its data centre with the even shares. The rest covers late digests.
    double pooledStartShare = 0.5;
    /// VMs limit themselves to their shares from when half of the burst is used, or sooner if the
    /// demand at the other VMs within meanReportAge exceeds what is left, until the account's
    /// demand at all VMs has been below this fraction of the rate for shareHoldTime, because demand
    /// changes within seconds.
    double shareThreshold = 0.9;
    duration shareHoldTime = std::chrono::milliseconds(700);
    /// Mean age of the other VMs' totals, as a fraction of the report interval.
    double meanReportAge = 0.5;
    /// Burst of a VM's share, as time at the share's rate, because requests arrive unevenly.
    duration shareBurst = std::chrono::milliseconds(200);
    /// Fraction of the share that is kept for requests that fit into the share's burst. A larger
    /// request overdraws the share for seconds, in which the account's small ones would be refused.
    double smallReserve = 0.5;
    /// Longest wait that timeUntil() states for a deficit of the share. A VM without recent demand
    /// has a share near zero, which grows with its next requests.
    duration maxShareWait = std::chrono::seconds(5);
    /// Determines the phase at which this VM starts; must differ between VMs.
    std::uint64_t phaseSeed = 0;
    /// Least number of VMs assumed for an even share, because the list of VMs may not be read yet.
    std::size_t minVms = 8;
    /// Tolerance that the operator grants to the enforcement over all VMs, as a fraction of the
    /// rate and as an amount of tokens. Half of each is used; the rest covers stale digests.
    double rateTolerance = 0.0;
    double amountTolerance = 0.0;
    duration rateWindow = std::chrono::seconds(1); ///< Averaging window for the VMs' rates.
    /// A VM is silent after this time without a digest, or after lostDigests digest intervals if
    /// that is longer.
    duration silenceAfter = std::chrono::milliseconds(600);
    int lostDigests = 3;
    /// A silent VM is forgotten after this time; by then a VM without the log has stopped serving
    /// keys.
    duration forgetAfter = std::chrono::seconds(6);
};

/// Describes the VM or data centre that reports a total.
struct quota_peer
{
    std::size_t vms = 1;     ///< More than one for the summary of a data centre.
    bool inOwnGroup = false; ///< True for a VM of this VM's data centre; see groupAdmittedTotal().
    double requested = 0.0;  ///< Total demand; 0 if the sender does not report it.
    double returned = 0.0;   ///< Total of returned tokens; 0 if the sender does not report it.
    bool leaving = false;    ///< The VM is shutting down.
};

class quota_ledger
{
public:
    quota_ledger(quota_ledger_options options, quota_limit limit, time_point now);

    /// A lower limit applies from the next admission; a higher one lets the bucket fill further.
    void setLimit(quota_limit limit, time_point now);

    /// Charges the cost and returns true if the request is within the limit.
    bool tryAdmit(double cost, time_point now);

    /// Returns the tokens of a request that tryAdmit() has admitted and that has not run and never
    /// will.
    void returnTokens(double cost, time_point now);

    /// Returns the tokens that this VM has admitted since its start, for digests.
    double admittedTotal() const { return m_admitted; }

    /// Returns admittedTotal() plus what the other VMs of this data centre have admitted since
    /// their first digests. Never decreases, even when such a VM stops or restarts.
    double groupAdmittedTotal() const { return m_admitted + m_groupAdmitted; }

    /// The same totals for the demand, whether it was admitted or not.
    double requestedTotal() const { return m_requested; }
    double groupRequestedTotal() const { return m_requested + m_groupRequested; }

    /// The same totals for returned tokens.
    double returnedTotal() const { return m_returned; }
    double groupReturnedTotal() const { return m_returned + m_groupReturned; }

    /// Sets the longest time between two totals of another VM when no digest is lost.
    void setReportInterval(duration interval)
    {
        m_reportInterval = interval;
        m_silenceAfter = std::max<duration>(m_options.silenceAfter,
                                            m_options.lostDigests * interval);
    }

    /// Charges the increase since the last total that this peer reported. A new peer's first total
    /// is not charged.
    void applyPeerTotal(const std::string &peer, double total, time_point now,
                        const quota_peer &kind = {});

    /// Handles a change of the VM that reports a group's total, which starts from a different
    /// count. The time since the last total is charged at the group's last rate.
    void rebasePeerTotal(const std::string &peer, double total, time_point now,
                         const quota_peer &kind = {});

    /// Handles a restart of a VM, whose count starts from zero again. Its former admissions have
    /// already been charged.
    void resetPeerTotal(std::string_view peer);

    /// Charges for silent VMs and forgets departed ones. Called several times a second.
    void step(std::size_t knownPeers, time_point now);

    /// Returns how long until a request of this cost would be admitted if no other request arrived.
    duration timeUntil(double cost, time_point now) const;

    double level() const { return m_level; }
    quota_limit limit() const { return m_limit; }

    /// Returns this VM's fraction of the rate if it is limited to it, else 1.
    double share() const { return m_shareUntil ? m_share : 1.0; }

    /// Returns the fraction of the burst that is left; 1 without a limit.
    double headroom() const { return m_limit.ratePerSecond > 0.0 ? m_level / cap() : 1.0; }

private:
    struct peer_state
    {
        double reported = 0.0;
        double assumed = 0.0; // Charged beyond the reported total.
        double ratePerSecond = 0.0;
        time_point reportedAt;
        time_point chargedAt;
        std::size_t vms = 1;
        bool inOwnGroup = false;
        double reportedRequested = 0.0;
        double requestedPerSecond = 0.0; // Without returned tokens, like ratePerSecond.
        bool hasRates = false;           // Two totals have arrived.
        double reportedReturned = 0.0;
        double charged = 0.0; // Charged for this peer's incarnation and not credited again.
    };

    double rate() const;
    double cap() const;
    double shareCap() const;
    void refillShare(double seconds);
    double estimateUnreported(time_point now) const;
    void refill(time_point now);
    void creditReturned(peer_state &peerState, double increase, const quota_peer &kind);
    void updatePeerRates(peer_state &peerState, double admitted, double requested, time_point now);
    void updateOwnRate(time_point now);
    double reportAgeSeconds() const;
    void updateShare(time_point now);
    double pooledAllowance() const;
    double requiredLevel(double cost) const;
    bool tryChargeShare(double cost);
    double initialShareLevel(double cost) const;

    quota_ledger_options m_options;
    quota_limit m_limit;
    double m_level = 0.0;
    double m_admitted = 0.0;
    std::optional<time_point> m_guardUntil;
    double m_evenShare = 1.0;     // Applies while m_guardUntil is set.
    double m_groupAdmitted = 0.0; // Admitted by the other VMs of this data centre.
    double m_requested = 0.0;
    double m_groupRequested = 0.0;
    // Demand at the other VMs of this data centre with their first totals, which may be too high.
    double m_heardRequested = 0.0;
    double m_pooledAllowance = 0.0; // Demand up to which the even share does not apply.
    double m_returned = 0.0;
    double m_groupReturned = 0.0;
    double m_requestedPerSecond = 0.0; // Demand at this VM without returned tokens.
    double m_requestedAtUpdate = 0.0;  // Requested and not returned by m_ownRateUpdatedAt.
    time_point m_ownRateUpdatedAt;
    time_point m_startedAt;
    bool m_starting = false;                // The demand at the other VMs is not known yet.
    double m_share = 1.0;                   // This VM's fraction of the rate.
    double m_coveredDemand = 1.0;           // Fraction of the demand that rate and bucket cover.
    std::optional<time_point> m_shareUntil; // Set while this VM is limited to its share.
    // Bucket of the share; admits at 0 or more. Unset before the first request.
    std::optional<double> m_shareLevel;
    double m_reserveLevel = 0.0; // Bucket of the part of the share that is kept for small requests.
    duration m_reportInterval = std::chrono::milliseconds(200);
    duration m_silenceAfter;
    time_point m_refilledAt;
    std::size_t m_knownPeers = 0;
    std::optional<time_point> m_sharedAt; // The share was computed; unset before the first step.
    time_point m_stepDueAt;
    std::unordered_map<std::string, peer_state> m_peers;
};

} // namespace burdockhold

#endif
