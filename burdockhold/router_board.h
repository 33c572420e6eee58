#ifndef BURDOCKHOLD_ROUTER_BOARD_H
#define BURDOCKHOLD_ROUTER_BOARD_H

// The blackboard of the event-loop router: what the process believes now. Each field names its one
// writer; everything runs on the loop's thread, so readers need no lock.
//
// Ages of views run on the clock that counts suspensions: a suspended VM wakes with old views.

#include "burdockhold/clock.h"
#include "burdockhold/decision_log.h"
#include "burdockhold/deployment.h"
#include "burdockhold/endpoint_health.h"
#include "burdockhold/endpoint_table.h"
#include "burdockhold/quota_ledger.h"
#include "burdockhold/router_metrics.h"
#include "burdockhold/router_settings.h"
#include "burdockhold/stored_segments.h"
#include "burdockhold/view_source.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace burdockhold {

/// A version of a model's weights that the operator has named, and when, on the clock that counts
/// suspensions.
struct announced_version
{
    std::int64_t version = 0;
    duration announcedAt = duration::zero();
    bool guessed = false; ///< The VM started after it was named, and no other VM has told the time.
};

/// What other VMs have said of a duty.
struct duty_claim
{
    std::string holder; ///< Name of that VM.
    time_point heldAt;  ///< When another VM last said that it holds the duty.
    time_point orderAt; ///< When another VM last gave an order for it.
};

/// Time since the machine's start, suspensions included. For the loop only.
duration bootTimeNow();

struct router_board
{
    explicit router_board(router_settings source);

    /// Age of the newest proof that the deployment is the log's newest.
    duration deploymentAge() const { return bootTimeNow() - deploymentConfirmedAt; }

    /// Version of the model's weights that the operator wants; 0 when none was named.
    std::int64_t targetVersion(const std::string &model) const;

    /// Lowest version above the given one that the operator is known to have named; 0 when there
    /// is none.
    std::int64_t nextAnnouncedVersion(const std::string &model, std::int64_t version) const;

    /// Notes that a version was named this long ago. A known time replaces a guessed one; of two
    /// known ones the older holds: the first VM that saw it knows best. Returns true when the
    /// version is the newest and was not known.
    bool recordAnnouncedVersion(const std::string &model, std::int64_t version, duration age,
                                bool guessed);

    /// How long calls may still begin on this version after a newer one was named; zero or less
    /// when none may, and the longest duration when there is no newer one.
    duration weightsUsableFor(const std::string &model, std::int64_t version) const;

    bool weightsExpired(const std::string &model, std::int64_t version) const
    {
        return weightsUsableFor(model, version) <= duration::zero();
    }

    /// The store that keeps this part, of those that the deployment names and that are not away;
    /// nullptr when there is none. All VMs choose the same one: a store in the data centre of the
    /// part's home if there is any, since transfers between data centres take twice as long.
    const cache_store *storeFor(std::string_view segment, std::string_view preferredDataCentre,
                                time_point now) const;

    /// What all VMs together may move over the store's link; made on first use. Its unit is one
    /// token moved within a data centre.
    quota_ledger &storeLinkQuota(const cache_store &store, time_point now);

    /// Marks the store as away for a moment, and forgets what it held.
    void markStoreUnavailable(const std::string &address, time_point now);

    /// Pause between two reads of the endpoints' entries, by a VM that reads for its group: the
    /// bound on leaving endpoints covers it, one question of the others, and one silent reader.
    duration endpointReadInterval() const;

    /// The view of the endpoints' entries is that of the log at this time, on the clock that counts
    /// suspensions.
    void confirmEndpoints(duration at);

    /// Repeats of a pool's calls: a part of this VM's requests, and a slack that all VMs share.
    /// What is divided evenly is too little where it is needed: of 630 for 295 VMs each would have
    /// two.
    void countRequest(const std::string &pool, time_point now);
    bool tryRetry(const std::string &pool, time_point now);
    /// As tryRetry(), for a repeat that is only useful: it leaves at least half of each.
    bool tryOptionalRetry(const std::string &pool, time_point now);

    /// Everything that is limited over all VMs, by name; digests tell what was used of it.
    using shared_limits = std::map<std::string, quota_ledger>;
    std::array<shared_limits *, 3> sharedLimits() { return { &quotas, &storeLinks, &retrySlack }; }

    /// Sets the limits of the accounts and of the stores' links as the deployment states them.
    void applyLimits(time_point now);

    /// The account's limit over all VMs; made on first use.
    quota_ledger &accountQuota(const deployment_account &account, time_point now);

    const router_settings settings;

private:
    retry_budget &retryBudgetOf(const std::string &pool);
    quota_ledger &retrySlackQuota(const std::string &pool, time_point now);
    std::uint64_t phaseSeedOf(std::string_view limit) const;
    quota_limit linkLimit(const cache_store &store) const;

public:
    // Written by the view keeper; times of versions also by the peer link, through
    // recordAnnouncedVersion().
    std::shared_ptr<const deployment_index> deployment;
    duration deploymentConfirmedAt = duration::min() / 2;
    duration endpointsConfirmedAt = duration::min() / 2;
    std::map<std::string, std::vector<announced_version>> targetWeights; ///< By model; newest last.

    // Written by the view keeper (entries), the exchanges (calls), the order controller (loads)
    // and the peer link (digests), each through methods of its own.
    endpoint_table endpoints;

    // Written by the exchanges and the peer link.
    shared_limits quotas;
    shared_limits storeLinks; ///< By "link/" and the store's address.
    shared_limits retrySlack; ///< By "repeats/" and the pool.
    std::map<std::string, retry_budget> retryBudgets;

    // Written by the exchanges (own saves) and the peer link (those of others).
    stored_segments storedSegments;

    // Written by the exchanges: bytes of answers that wait to be whole.
    std::size_t bufferedBytes = 0;

    // Written by the duty controller (own finding) and the peer link (that of others): until when a
    // store of cached parts counts as away, by its address.
    std::map<std::string, time_point> storeUnavailableUntil;

    // Written by the duty controller: stores whose absence this VM found itself.
    std::set<std::string> storesFoundUnavailable;

    // Written by the peer link.
    std::size_t knownPeers = 0;
    std::vector<std::uint32_t> liveVms; ///< shortHashes of the others that were heard of lately.
    std::vector<group_vm> groupVms;     ///< Those of the own group that do not leave.
    /// Longest time between two digests of a VM or of a data centre, if none is lost.
    duration digestInterval = std::chrono::milliseconds(200);
    std::map<std::uint32_t, duty_claim> otherClaims; ///< By shortHash of the pool.

    // Written by the exchanges and the duty controller, cleared by the peer link: something changed
    // that the other VMs should not wait for.
    bool digestRequested = false;

    // Written by the duty controller.
    std::vector<duty_row> ownDuties;

    // Written by the shutdown controller.
    bool leaving = false;
    time_point leavingSince;

    // Written by all.
    decision_log log;
    router_metrics metrics;
};

} // namespace burdockhold

#endif
