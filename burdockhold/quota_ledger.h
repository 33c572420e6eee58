#ifndef BURDOCKHOLD_QUOTA_LEDGER_H
#define BURDOCKHOLD_QUOTA_LEDGER_H

// One account's limit over all VMs, as one VM keeps it: a bucket for the whole account, charged
// with this VM's admissions at once and with those of the other VMs as their digests arrive.
//
// While the account asks for more than its rate, the bucket alone does not do: every VM would use
// what no digest has told of yet. Then, and while a started VM does not know yet what the others
// do, a VM also keeps to its part of the rate: what its callers ask for as a part of what all ask
// for. A part is often smaller than one request, so each VM begins at a phase of its own: of many
// VMs, together, as many requests pass as the rate allows.
//
// Promises:
// - Counters in digests are totals, so lost or doubled digests change nothing once a later one
//   arrives.
// - A silent VM is charged as if it went on at its last rate, or at an even part of the limit if
//   that is more. A VM that hears fewer than half of the others keeps charging for all of them, so
//   that both sides of a partition together stay near the limit.
// - In any window, all VMs together admit at most rate x window + burst, with half of the
//   operator's tolerance, plus what the account asks for beyond its rate within the age of the
//   digests. testing/quota_fleet_test.cc holds this against the operator's whole tolerance.
// Memory is linear in the number of VMs that serve the account.

#include "burdockhold/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhold {

struct quota_limit
{
    double ratePerSecond = 0.0; ///< 0 means no limit.
    double burst = 0.0;
};

struct quota_ledger_options
{
    double startShare = 0.5; ///< Part of the burst that a started VM assumes to be left.
    /// How long a started VM keeps to an even part of the burst, unless it hears half of the others
    /// sooner. When all VMs start at once, none has heard of what the others admit.
    duration startGuard = std::chrono::milliseconds(0);
    /// How long a started VM keeps to an even part of the rate, unless it knows sooner what most of
    /// the others ask for: several digests, if these are as rare as they may be.
    duration startPart = std::chrono::seconds(3);
    /// VMs keep to their parts from when half of the burst is used up until all callers of the
    /// account together have asked for less than this share of the rate for partLapse: what is
    /// asked for changes by the second.
    double partFrom = 0.9;
    duration partLapse = std::chrono::seconds(1);
    /// What may pass at once of a part, as time of its rate: requests come unevenly.
    duration partBurst = std::chrono::milliseconds(200);
    /// By which this VM begins at another phase than the others; any number of its own.
    std::uint64_t phaseSeed = 0;
    /// VMs that the even part assumes at least: the list of VMs may not be read yet.
    std::size_t minVms = 8;
    /// Tolerance that the operator grants to the enforcement over all VMs: a part of the rate, and
    /// an amount. Half of each is used; the rest covers stale digests.
    double rateTolerance = 0.0;
    double amountTolerance = 0.0;
    duration rateWindow = std::chrono::seconds(1); ///< Over which the others' rates are averaged.
    /// A VM is silent after this time, or after this many digests if they are rarer.
    duration silenceAfter = std::chrono::milliseconds(600);
    int lostDigests = 3;
    /// A silent VM is forgotten after this; by then one without the log has stopped serving keys.
    duration forgetAfter = std::chrono::seconds(6);
};

/// What stands behind a total that a ledger is told.
struct quota_peer
{
    std::size_t vms = 1;     ///< More than one for the summary of a data centre.
    bool inOwnGroup = false; ///< A VM of the own data centre, for groupTotal().
    double asked = 0.0;      ///< Total that was asked for; 0 if the sender does not tell it.
};

class quota_ledger
{
public:
    quota_ledger(quota_ledger_options options, quota_limit limit, time_point now);

    /// A lower limit holds from the next admission; a higher one lets the bucket fill further.
    void setLimit(quota_limit limit, time_point now);

    /// Charges the cost and returns true if the request is within the limit.
    bool tryAdmit(double cost, time_point now);

    /// Returns what was admitted here since the start, for digests.
    double admittedTotal() const { return m_admitted; }

    /// Returns the same with what the VMs of the own data centre have admitted since they were
    /// heard first; it never falls, whichever of them end.
    double groupTotal() const { return m_admitted + m_groupHeard; }

    /// The same totals of what was asked for, admitted or not.
    double requestedTotal() const { return m_asked; }
    double groupRequestedTotal() const { return m_asked + m_groupAsked; }

    /// The longest time between two totals of another VM, if none is lost.
    void setReportInterval(duration interval)
    {
        m_silenceAfter = std::max<duration>(m_options.silenceAfter,
                                            m_options.lostDigests * interval);
    }

    /// A digest of another VM's incarnation has arrived.
    void applyPeerTotal(const std::string &peer, double total, time_point now,
                        const quota_peer &kind = {});

    /// Another VM now states the total of this group of VMs, from a count of its own: the time
    /// since the last total is charged at the group's rate.
    void rebasePeerTotal(const std::string &peer, double total, time_point now);

    /// The VM counts from zero again; what it did before is charged already.
    void resetPeerTotal(std::string_view peer);

    /// Charges silent VMs and forgets those that are gone. Called several times a second.
    void step(std::size_t knownPeers, time_point now);

    /// Returns how long until a request of this cost would be admitted if nobody else sent any.
    duration timeUntil(double cost, time_point now) const;

    double level() const { return m_level; }

    /// What is left of the burst, as a part of it; 1 where there is no limit.
    double room() const { return m_limit.ratePerSecond > 0.0 ? m_level / cap() : 1.0; }

private:
    struct peer_account
    {
        double reported = 0.0;
        double assumed = 0.0; // Charged beyond the reported total.
        double ratePerSecond = 0.0;
        time_point reportedAt;
        time_point chargedAt;
        std::size_t vms = 1;
        double askedReported = 0.0;
        double askedPerSecond = 0.0;
        bool hasRates = false; // Two totals have arrived.
    };

    double rate() const;
    double cap() const;
    double underWay(time_point now) const;
    void refill(time_point now);
    void learnRates(peer_account &account, double total, double asked, time_point now);
    void noteOwnRate(time_point now);
    void decidePart(std::size_t knownPeers, time_point now);
    bool fitsPart(double cost);

    quota_ledger_options m_options;
    quota_limit m_limit;
    double m_level = 0.0;
    double m_admitted = 0.0;
    std::optional<time_point> m_guardUntil;
    double m_evenShare = 1.0;  // While m_guardUntil is set.
    double m_groupHeard = 0.0; // Admitted by other VMs of the own data centre.
    double m_asked = 0.0;
    double m_groupAsked = 0.0;
    double m_askedPerSecond = 0.0; // Here.
    double m_askedAtNote = 0.0;    // m_asked when that was computed.
    time_point m_notedAt;
    time_point m_startedAt;
    bool m_starting = false;               // What the others ask for is not known yet.
    double m_part = 1.0;                   // Of the rate.
    std::optional<time_point> m_partUntil; // Set while this VM keeps to its part.
    std::optional<double> m_partLevel;     // Requests pass from 0 on. Unset before the first.
    duration m_silenceAfter;
    time_point m_refilledAt;
    std::map<std::string, peer_account, std::less<>> m_peers;
};

} // namespace burdockhold

#endif
