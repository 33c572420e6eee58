#ifndef BURDOCKHOLD_ROUTER_BOARD_H
#define BURDOCKHOLD_ROUTER_BOARD_H

// Shared state of the event-loop router. The comment above each field names the components that
// write it. All access is on the loop's thread, so no locks are needed.
//
// Ages of views are measured on the boot-time clock, which counts suspensions: the views of a VM
// that resumes after a suspension are old.

#include "burdockhold/body_memory.h"
#include "burdockhold/clock.h"
#include "burdockhold/cold_engines.h"
#include "burdockhold/crash_fingerprints.h"
#include "burdockhold/decision_log.h"
#include "burdockhold/decision_options.h"
#include "burdockhold/deployment.h"
#include "burdockhold/duty_claim.h"
#include "burdockhold/endpoint_contact.h"
#include "burdockhold/endpoint_table.h"
#include "burdockhold/engine_lanes.h"
#include "burdockhold/evacuations.h"
#include "burdockhold/known_vms.h"
#include "burdockhold/memory_budget.h"
#include "burdockhold/quota_ledger.h"
#include "burdockhold/region_rules.h"
#include "burdockhold/relay_choice.h"
#include "burdockhold/retry_limit.h"
#include "burdockhold/router_metrics.h"
#include "burdockhold/router_settings.h"
#include "burdockhold/software_rollout.h"
#include "burdockhold/store_era.h"
#include "burdockhold/stored_segments.h"
#include "burdockhold/view_source.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdockhold {

/// A version of a model's weights that the operator has announced.
struct announced_version
{
    std::int64_t version = 0;
    duration announcedAt = duration::zero(); ///< On the boot-time clock.
    /// announcedAt is a guess: this VM started after the announcement, and no other VM has reported
    /// its time.
    bool guessed = false;
};

/// Returns the time since the machine booted, suspensions included. Call it on the loop's thread
/// only.
duration bootTimeNow();

/// Bodies of requests may use the memory limit divided by this. A body is held twice while it is
/// sent to an endpoint, and takes up to three times its size if it came in chunks.
inline constexpr std::size_t RequestBodiesDivisor = 6;

struct router_board
{
    explicit router_board(router_settings source);

    /// Returns the time since the deployment was last confirmed to be the newest one in the log.
    duration deploymentAge() const { return bootTimeNow() - deploymentConfirmedAt; }

    /// Returns the target version of the model's weights, or 0 if none was announced.
    std::int64_t targetVersion(const std::string &model) const;

    /// Returns the lowest announced version above the given one that is known, or 0 if there is
    /// none.
    std::int64_t nextAnnouncedVersion(const std::string &model, std::int64_t version) const;

    /// Records that a version was announced the given time ago. A known time replaces a guessed
    /// one. Of two known or two guessed times the earlier one is kept, since the VM that saw the
    /// announcement first is the most accurate. Returns true if the version was not known before
    /// and is the newest.
    bool recordAnnouncedVersion(const std::string &model, std::int64_t version, duration age,
                                bool guessed);

    /// Records a version that this VM has read in the log. It may have been announced at any time
    /// since the view was last confirmed; for a VM that starts, at any earlier time. Unless other
    /// VMs report the time, it is assumed to be the earliest one possible. Returns true if the
    /// version was not known before and is the newest.
    bool recordReadVersion(const std::string &model, std::int64_t version);

    /// Returns true if a version may have been announced so long ago that no call may begin on any
    /// earlier one, without this VM's knowledge: its view is as old, and so are the last digests of
    /// most of the other VMs, which would have told it.
    bool mayHaveMissedVersion() const;

    /// Returns how much longer calls may begin on this version. Zero or less means that no call
    /// may begin, since a newer version was announced too long ago; duration::max() means that no
    /// newer version is known.
    duration weightsUsableFor(const std::string &model, std::int64_t version) const;

    bool weightsExpired(const std::string &model, std::int64_t version) const
    {
        return weightsUsableFor(model, version) <= duration::zero();
    }

    /// Returns the store for a prefix segment, chosen by rendezvous hashing among the available
    /// stores of the deployment, or nullptr if there is none. All VMs choose the same store. Stores
    /// in the data centre of the segment's preferred endpoint come first, since transfers between
    /// data centres take twice as long. Stores in evacuated data centres and outside of the allowed
    /// regions are not used.
    const cache_store *storeFor(std::string_view segment, std::string_view preferredDataCentre,
                                time_point now, const region_rules &rules = {}) const;

    /// Returns whether the endpoint is in an evacuated data centre.
    bool isEvacuated(std::string_view endpointId) const;
    /// Returns which part of the bound on the evacuation of its data centre has passed; 0 if it is
    /// not evacuated.
    double evacuationProgress(std::string_view endpointId) const;

    /// Returns the quota of transfers over the store's link by all VMs, created on first use. The
    /// unit is one token transferred within a data centre.
    quota_ledger &storeLinkQuota(const cache_store &store, time_point now);

    /// Marks the store as unavailable for a short time and clears the record of stored segments.
    void markStoreUnavailable(const std::string &address, time_point now);

    /// Returns the time between two reads of the endpoints' entries by a VM that reads the log for
    /// its group. The bound on leaving endpoints must cover this interval, one request of the other
    /// VMs for the view, and one reader that stops responding.
    duration endpointReadInterval() const;

    /// Records that the view of the endpoints' entries matched the log at this time of the
    /// boot-time clock.
    void confirmEndpoints(duration at);
    void logEndpointChanged(const endpoint_report &report, time_point now);

    /// Adds a call that is sent now to the endpoint's load and, unless a scheduler has charged its
    /// own share, to this VM's share of its cold rate.
    call_ticket callStarted(std::string_view endpointId, const call_load &load, time_point now,
                            bool onSchedulersShare = false);

    /// Returns the page of metrics, including the gauges of cold engines.
    std::string metricsText(time_point now);

    /// Counts a request towards the pool's retry limit (retry_limit.h).
    void countRequest(const std::string &pool, time_point now);
    /// Returns true and charges the budget if a retry is allowed now.
    bool tryRetry(const std::string &pool, time_point now);
    /// Like tryRetry(), for a retry that is useful but not necessary: it leaves at least half of
    /// the limit.
    bool tryOptionalRetry(const std::string &pool, time_point now);

    /// Limits that apply to all VMs together, by name. Digests report their use.
    using shared_limits = std::map<std::string, quota_ledger>;

    /// Calls visit(name, ledger) for each limit that applies to all VMs together.
    template <typename Visit>
    void forEachSharedLimit(const Visit &visit)
    {
        for (shared_limits *limits : { &quotas, &storeLinks }) {
            for (auto &[name, ledger] : *limits)
                visit(name, ledger);
        }
        for (auto &[name, limit] : retryLimits)
            visit(name, limit.slack());
    }

    /// Returns the state of the pool's software versions, or nullptr if none is known.
    software_rollout *rolloutOf(const std::string &pool)
    {
        const auto found = rollouts.find(pool);
        return found == rollouts.end() ? nullptr : &found->second;
    }

    /// Applies the deployment's limits of the accounts and of the stores' links.
    void applyLimits(time_point now);

    /// Returns the account's quota over all VMs, created on first use.
    quota_ledger &accountQuota(const deployment_account &account, time_point now);

    /// Logs that requests with this fingerprint are blocked from now on, and which VM reported the
    /// crash that blocked them.
    void logFingerprintBlocked(fingerprint suspect, std::string_view reportedBy, time_point now);

    /// Returns tokens that a request was charged for and has not used, since it has not run and
    /// never will.
    void returnTokens(const deployment_account &account, double tokens, time_point now);

    const router_settings settings;
    const decision_options options;

private:
    duration olderWeightsTime() const;
    bool knowsFleet() const;
    retry_limit &retryLimit(const std::string &pool, time_point now);
    quota_ledger_options sharedLimitOptions(std::string_view limit) const;
    std::uint64_t phaseSeedOf(std::string_view limit) const;
    quota_limit linkLimit(const cache_store &store) const;

public:
    // Written by the view controller; announced versions also by the digest exchange, through
    // recordAnnouncedVersion().
    std::shared_ptr<const deployment_index> deployment;
    duration deploymentConfirmedAt = duration::min() / 2;
    duration endpointsConfirmedAt = duration::min() / 2;
    std::map<std::string, std::vector<announced_version>>
            announcedVersions; ///< By model; newest last.

    // Written by the view controller (entries), the routed requests (calls), the duty controller
    // (loading of weights) and the digest exchange (digests), each through its own methods.
    endpoint_table endpoints;

    // Written by the event router (entries, pools, ticks), the routed requests (calls) and the view
    // controller (changes of the reader), each through its own methods.
    cold_engines coldEngines;

    // Written by the endpoint paths.
    endpoint_contact contact;
    // Written by the digest exchange (candidates) and the endpoint paths (refusals).
    relay_choice relays;

    // Written by the connections to the log and the digest exchange.
    store_era storeEra;

    // Written by the event router.
    evacuations evacuated;

    // Written by the rollout controller (orders, versions), the routed requests (calls) and the
    // digest exchange (other VMs' evidence), each through its own methods. By pool.
    std::map<std::string, software_rollout> rollouts;

    // Written by the routed requests and the digest exchange.
    shared_limits quotas;                           ///< By account.
    shared_limits storeLinks;                       ///< By "link/" followed by the store's address.
    std::map<std::string, retry_limit> retryLimits; ///< By "repeats/" followed by the pool.

    // Written by the routed requests (saves by this VM) and the digest exchange (saves by others).
    stored_segments storedSegments;

    // Written by the routed requests (crashes and answers at this VM) and the digest exchange
    // (those of other VMs).
    crash_fingerprints crashes;
    // Filled by the routed requests and emptied by the crash records: fingerprints whose record in
    // the log is to be written or deleted.
    std::set<fingerprint> crashRecordsDue;

    // Written by the routed requests (this VM's demand) and the digest exchange (that of the other
    // VMs), by pool.
    std::map<std::string, lane_demand> laneDemand;

    // Written by the callers' connections and, for responses that are buffered until complete, by
    // the routed requests; the sessions of other VMs take their output from it.
    memory_budget memory{ { settings.memoryBytes,
                            !settings.mechanisms.uses(mechanism::ClientMemory) } };

    // Written by the callers' connections.
    body_memory requestBodies{ settings.memoryBytes / RequestBodiesDivisor, &memory };

    // Written by the duty controller (own checks) and the digest exchange (checks by other VMs):
    // the time until which a store of prefix segments is treated as unavailable, by its address.
    std::map<std::string, time_point> storeUnavailableUntil;

    // Written by the duty controller: stores that this VM's own checks found unavailable.
    std::set<std::string> storesFoundUnavailable;

    bool isVmListRead = false; ///< Written by the event router.

    // Written by the digest exchange.
    std::size_t knownPeers = 0;
    known_vms knownVms;
    std::vector<std::uint32_t> liveVms; ///< shortHashes of the other VMs with recent digests.
    /// Addresses for digests of the VMs that schedule placements, by data centre, without this VM.
    /// Empty unless digests are exchanged in groups.
    std::map<std::string, std::string> schedulers;
    bool actsAsScheduler = false; ///< This VM is the scheduler of its data centre.
    bool usesSchedulers() const
    {
        return settings.mechanisms.uses(mechanism::Schedulers)
               && (actsAsScheduler || !schedulers.empty());
    }
    /// When most of the other VMs were last heard, on the boot-time clock, or that there are none.
    /// In the future without a digest exchange.
    duration fleetHeardAt = duration::max() / 2;
    std::vector<group_vm> groupVms; ///< VMs of the own group that are not shutting down.
    /// Longest time between two digests of a VM, or two summaries of a data centre, if none is
    /// lost.
    duration digestInterval = std::chrono::milliseconds(200);
    std::map<std::uint32_t, duty_claim> peerDutyClaims; ///< By shortHash of the pool.
    /// The last load times that another VM has stated, by shortHashes of the pool and the model.
    std::map<std::pair<std::uint32_t, std::uint32_t>, load_estimate> peerLoadTimes;

    // Set by the routed requests, the duty controller and event_router, cleared by the digest
    // exchange: something changed that should reach the other VMs before the next regular digest.
    bool digestRequested = false;

    // Written by the duty controller.
    std::vector<duty_row> ownDuties;
    std::vector<load_time_row> ownLoadTimes;

    // Written by event_router at shutdown.
    bool leaving = false;
    time_point leavingSince;
    time_point endsCallsAt; ///< Unfinished requests are answered then. Valid while leaving.

    // Written by all components.
    decision_log log;
    router_metrics metrics;
};

} // namespace burdockhold

#endif
