#ifndef BURDOCKHOLD_VM_DIGEST_H
#define BURDOCKHOLD_VM_DIGEST_H

// The gossip digest that a VM sends to its peers several times a second, in one datagram: its
// counters and its first-hand observations of endpoints. A digest contains the full state instead
// of changes, so a lost, duplicated or late digest does no harm; the receiver drops digests of an
// older incarnation or with an older sequence number.
//
// A digest of 5 accounts and 13 endpoints takes about 300 bytes. The data centres of a large
// deployment exchange summaries (digest_summary.h): digests with the sums of one data centre.

#include "burdockhold/clock.h"
#include "burdockhold/result.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// Totals of one account, or of the transfers over one store's link, since the sender started.
struct account_row
{
    std::uint32_t account = 0; ///< shortHash of the account's or the link's name.
    std::uint64_t admitted = 0;
    std::uint64_t requested = 0; ///< Admitted or not; 0 from builds that do not send it.
    std::uint64_t returned = 0;  ///< Admitted but not run; 0 from builds that do not send it.
    MSGPACK_DEFINE_ARRAY(account, admitted, requested, returned)
};

/// The sender's own requests at one endpoint, and the outcomes of its recent calls.
struct endpoint_row
{
    std::uint32_t endpoint = 0; ///< shortHash of the endpoint's id.
    std::uint32_t running = 0;
    std::uint32_t pendingPrefillTokens = 0;
    std::uint32_t activeTokens = 0;
    std::uint32_t recentCalls = 0; ///< Decayed count, in tenths.
    std::uint32_t recentFailures = 0;
    std::uint32_t silentMs = 0; ///< Since the endpoint last sent data, while requests run.
    MSGPACK_DEFINE_ARRAY(endpoint, running, pendingPrefillTokens, activeTokens, recentCalls,
                         recentFailures, silentMs)
};

/// Weights of an engine, known from its responses or from a load order that was sent to it.
struct weights_row
{
    std::uint32_t endpoint = 0;
    std::uint32_t model = 0; ///< shortHash of the model's name.
    std::int64_t version = 0;
    bool loading = false; ///< A load order is in progress; the engine would refuse new calls.
    /// Expected time until the load ends; 0 if it is late or from an older build.
    std::uint32_t loadingLeftMs = 0;
    MSGPACK_DEFINE_ARRAY(endpoint, model, version, loading, loadingLeftMs)
};

/// A duty that the sender holds, or for which it recently sent load orders.
struct duty_row
{
    std::uint32_t pool = 0;
    bool holds = false;
    std::uint32_t lastOrderAgeMs = 0; ///< Age of the last order; NoOrder if none is recent.
    static constexpr std::uint32_t NoOrder = UINT32_MAX;
    MSGPACK_DEFINE_ARRAY(pool, holds, lastOrderAgeMs)
};

/// How long ago the operator announced a version of a model's weights. A VM that starts finds only
/// the newest version in the log, without the time of the announcement.
struct announced_version_row
{
    std::uint32_t model = 0;
    std::int64_t version = 0;
    std::uint32_t ageMs = 0;
    bool guessed = false; ///< The sender started after the announcement.
    MSGPACK_DEFINE_ARRAY(model, version, ageMs, guessed)
};

/// Usual times of loads of a model's weights in a pool, as the sender has measured them.
struct load_time_row
{
    std::uint32_t pool = 0;  ///< shortHash of the pool's name.
    std::uint32_t model = 0; ///< shortHash of the model's name.
    std::uint32_t drainMs = 0;
    std::uint32_t loadMs = 0;
    std::uint32_t fastestMs = 0;
    std::uint32_t limitTenths = 0; ///< Loads at once that the weight store serves at full rate.
    bool storeIsLimit = false;
    static constexpr double LimitScale = 10.0;
    MSGPACK_DEFINE_ARRAY(pool, model, drainMs, loadMs, fastestMs, limitTenths, storeIsLimit)
};

/// A crash of an endpoint, identified by crashId().
struct crash_report_row
{
    std::uint32_t crash = 0;
    std::uint32_t ageMs = 0;
    MSGPACK_DEFINE_ARRAY(crash, ageMs)
};

/// What is known of a fingerprint of requests that were lost in crashes (crash_fingerprints.h).
struct crash_row
{
    std::uint64_t fingerprint = 0;
    std::vector<crash_report_row> crashes; ///< That the sender knows of, own or reported.
    std::uint32_t answeredAgeMs = NoTime;  ///< Age of the last answer that the sender saw itself.
    std::uint32_t trialAgeMs = NoTime;     ///< Age of the last trial that the sender knows of.
    static constexpr std::uint32_t NoTime = UINT32_MAX;
    MSGPACK_DEFINE_ARRAY(fingerprint, crashes, answeredAgeMs, trialAgeMs)
};

/// The sender's state of a rollout of a software version (software_rollout.h).
struct rollout_row
{
    std::uint32_t pool = 0;   ///< shortHash of the pool's name.
    std::uint32_t target = 0; ///< shortHash of the new version.
    std::uint8_t state = 0;   ///< rollout_state.
    std::uint32_t orderAgeMs = NoOrder;
    bool isKnown = false; ///< The sender has seen the order arrive, or heard of a VM that has.
    static constexpr std::uint32_t NoOrder = UINT32_MAX;
    MSGPACK_DEFINE_ARRAY(pool, target, state, orderAgeMs, isKnown)
};

/// Outcomes of the sender's calls on one route during a rollout. Counts only grow.
struct rollout_evidence_row
{
    std::uint32_t pool = 0;
    std::uint32_t target = 0;
    std::uint32_t route = 0; ///< shortHash of the route's name.
    std::uint32_t newCalls = 0;
    std::uint32_t newFailed = 0;
    std::uint32_t newJudged = 0;
    std::uint32_t newSlow = 0;
    std::uint32_t oldCalls = 0;
    std::uint32_t oldFailed = 0;
    std::uint32_t oldJudged = 0;
    std::uint32_t oldSlow = 0;
    MSGPACK_DEFINE_ARRAY(pool, target, route, newCalls, newFailed, newJudged, newSlow, oldCalls,
                         oldFailed, oldJudged, oldSlow)
};

/// Recent work of a pool's requests by kind of prompt (engine_lanes.h), in thousands of tokens.
struct lane_row
{
    std::uint32_t pool = 0; ///< shortHash of the pool's name.
    std::uint32_t shortWork = 0;
    std::uint32_t longWork = 0;
    static constexpr double WorkScale = 1000.0;
    MSGPACK_DEFINE_ARRAY(pool, shortWork, longWork)
};

struct vm_digest
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0; ///< Sequence number within the incarnation.
    bool leaving = false;
    std::vector<account_row> accounts;
    std::vector<endpoint_row> endpoints;
    std::vector<weights_row> weights;
    std::vector<std::uint32_t> storedSegments;    ///< Hashes of segments stored recently.
    std::vector<std::uint32_t> unavailableStores; ///< Hashes of unavailable stores' addresses.
    std::vector<duty_row> duties;
    std::vector<announced_version_row> announcedVersions;
    /// Hashes of endpoints that left or disappeared within the last seconds.
    std::vector<std::uint32_t> departedEndpoints;
    std::string dataCentre;
    /// The address of the aggregator that sent a summary, and the shortHashes of the names of the
    /// VMs that the summary covers. Both are empty in the digest of a single VM.
    std::string aggregator;
    std::vector<std::uint32_t> vms;
    std::uint32_t capacity = 0; ///< router_settings::capacity(); 0 from an older build.
    /// In a summary, the time until the next one is sent; 0 from an older build.
    std::uint32_t intervalMs = 0;
    std::vector<load_time_row> loadTimes; ///< Empty from an older build.
    std::vector<crash_row> crashes;       ///< Empty from an older build.
    std::vector<rollout_row> rollouts;    ///< Empty from an older build, as is the next one.
    std::vector<rollout_evidence_row> rolloutEvidence;
    std::vector<lane_row> lanes; ///< Empty from an older build.
    std::int64_t storeEra = 0;   ///< Of the log, as the sender knows it; 0 from an older build.
    bool cutOff = false; ///< The sender has lost contact with all endpoints (endpoint_contact.h).
    bool relays = false; ///< The sender relays connections; false from an older build.
    MSGPACK_DEFINE_ARRAY(vm, incarnation, number, leaving, accounts, endpoints, weights,
                         storedSegments, unavailableStores, duties, announcedVersions,
                         departedEndpoints, dataCentre, aggregator, vms, capacity, intervalMs,
                         loadTimes, crashes, rollouts, rolloutEvidence, lanes, storeEra, cutOff,
                         relays)

    bool isSummary() const { return !aggregator.empty(); }
};

enum class digest_error { NotReadable };

std::string encodeDigest(const vm_digest &digest);
result<vm_digest, digest_error> decodeDigest(std::string_view bytes);

/// Returns the 32-bit hash by which digests identify accounts, endpoints and other named objects.
std::uint32_t shortHash(std::string_view name);

/// Returns the time in whole milliseconds, limited to what a digest's field holds.
std::uint32_t digestMilliseconds(duration time);

} // namespace burdockhold

#endif
