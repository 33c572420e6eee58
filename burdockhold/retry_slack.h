#ifndef BURDOCKHOLD_RETRY_SLACK_H
#define BURDOCKHOLD_RETRY_SLACK_H

// The retries to one pool that all VMs together may take beyond the ratio to their requests, in any
// window of 10 s. What each VM has taken is a total in its digests.
//
// Load pattern: an endpoint fails, and all VMs want retries at the same moment, before any digest
// can tell what the others take. So until the others have surely heard of its last retries, a VM
// takes at most its part of what is left; then its part of the rest. A VM that has taken none
// within the window leaves most of its part to those that have, since failures are often seen by a
// few VMs only. A part may be less than one retry, so each VM has a phase, and that fraction of the
// VMs may take one. The phase changes slowly, so that each VM has its turn.
//
// Guarantees:
// - While digests arrive, all VMs together take at most the amount in any window.
// - A VM that hears from no more than half of the VMs has a fixed part: the amount divided by the
//   number of VMs, less what it has taken within the window. The others charge a silent VM with
//   that part, or with what it has taken and may have taken unheard, if that is more. So does a VM
//   that was suspended, until digests that waited for it have been replaced.
// - A VM that starts has a fraction (startShare) of the fixed part for the first window, since its
//   former incarnation may have taken its part and more, for which the others keep charging.
// - Requests that have only moved to this VM from others earn no retries for one window, since
//   those VMs may have taken the retries of these requests: this VM's requests count up to what
//   they were in the window before, times the growth at all VMs. The requests of a silent VM are
//   assumed to have moved.
// - A VM that hears from most of the others forgets a silent one after forgetAfter, one that has
//   left after a window. A VM that hears from fewer forgets none.
// Failure: links that work in one direction only, or between some pairs of VMs only, let VMs
// disagree on who is silent; each such VM may then take up to a part more than it should.
// Memory and time are linear in the VMs of the data centre, the other data centres, and the amount.

#include "burdockhold/clock.h"
#include "burdockhold/quota_ledger.h"
#include "burdockhold/recent_counts.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace burdockhold {

struct retry_slack_options
{
    double amount = 50.0; ///< Retries of all VMs in any window.
    duration window = std::chrono::seconds(10);
    /// How long a VM has only a fraction of its fixed part after its start.
    duration startGuard = std::chrono::seconds(10);
    double startShare = 0.34; ///< That fraction.
    /// Fraction of an equal part that a VM has while it has taken none within the window.
    double idleShare = 0.4;
    /// A VM is silent after this time without a digest, or after lostDigests digest intervals if
    /// that is longer.
    duration silenceAfter = std::chrono::milliseconds(600);
    int lostDigests = 3;
    /// By then, a VM that cannot reach the log has stopped serving.
    duration forgetAfter = std::chrono::seconds(60);
    /// Number of VMs assumed at least within the first window: the list may not be read yet.
    std::size_t minVms = 8;
    /// The list of VMs was read and has no other VM. Then minVms does not apply, and requests earn
    /// retries from the first one on: they cannot have moved here from another VM.
    bool isOnlyVm = false;
    std::uint64_t phaseSeed = 0; ///< Must differ between VMs.
};

class retry_slack
{
public:
    retry_slack(retry_slack_options options, time_point now);

    /// Counts a first attempt.
    void countRequest(time_point now);

    /// Returns the requests of the last window that earn retries at this VM.
    double creditedRequests(time_point now);

    /// Takes one retry if one is left for this VM.
    bool tryTake(time_point now);

    /// Returns the fraction of the amount that is left to all VMs.
    double headroom(time_point now);

    // The following has the meaning that it has in quota_ledger, so that digests treat both alike.
    double admittedTotal() const { return m_taken; }
    double groupAdmittedTotal() const { return m_taken + m_groupTaken; }
    double requestedTotal() const { return m_requested; }
    double groupRequestedTotal() const { return m_requested + m_groupRequested; }
    double returnedTotal() const { return 0.0; }
    double groupReturnedTotal() const { return 0.0; }
    void setReportInterval(duration interval);
    void applyPeerTotal(const std::string &peer, double total, time_point now,
                        const quota_peer &kind = {});
    void rebasePeerTotal(const std::string &peer, double total, time_point now,
                         const quota_peer &kind = {});
    void resetPeerTotal(std::string_view peer);
    void step(std::size_t knownPeers, time_point now);

private:
    struct peer_state
    {
        double reported = 0.0;
        double reportedRequested = 0.0;
        recent_count taken;
        window_counts requests;
        time_point reportedAt;
        std::size_t vms = 1;
        std::size_t mostVms = 1; // A data centre's summary leaves out the VMs that it cannot hear.
        time_point mostVmsAt;
        bool leaving = false;
    };
    /// What this VM knows of the others at one moment.
    struct fleet_view
    {
        double taken = 0.0;   // By the others, as far as it was heard.
        double charged = 0.0; // The same with what silent VMs may have taken.
        double heard = 0.0;   // Number of VMs that are not silent, and this one.
        double active = 0.0; // Number of the other VMs that may have taken some and are not silent.
        double all = 0.0;
    };

    void expire(time_point now);
    fleet_view viewOf(time_point now) const;
    double silentCharge(const peer_state &peer, double unheard, double part, bool isSilent) const;
    bool isSilent(const peer_state &peer, time_point now) const;
    bool isPlausible(const peer_state &peer, double total, time_point now) const;
    bool mayForget(const peer_state &peer, bool hearsMost, time_point now) const;
    duration heardAfter() const { return m_silenceAfter + m_reportInterval; }
    double phaseAt(time_point now) const;
    double fleetGrowth(time_point now) const;
    double pooledPart(const fleet_view &view, double left, bool isActive) const;
    double partOf(const fleet_view &view, bool isAlone, time_point now) const;
    void applyRequested(peer_state &peer, const quota_peer &kind, time_point now);

    retry_slack_options m_options;
    recent_count m_own;
    window_counts m_ownRequests;
    double m_taken = 0.0;
    double m_groupTaken = 0.0;
    double m_requested = 0.0;
    double m_groupRequested = 0.0;
    std::size_t m_knownPeers = 0;
    time_point m_startedAt;
    time_point m_steppedAt;
    time_point m_aloneUntil; // After a suspension.
    time_point m_growthDueAt;
    time_point m_cleanupDueAt;
    double m_growth = 1.0;
    duration m_reportInterval = std::chrono::milliseconds(200);
    duration m_silenceAfter;
    double m_phase = 0.0;
    bool m_isOnlyVm;
    std::unordered_map<std::string, peer_state> m_peers;
};

} // namespace burdockhold

#endif
