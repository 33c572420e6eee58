#ifndef BURDOCKHOLD_ENDPOINT_TABLE_H
#define BURDOCKHOLD_ENDPOINT_TABLE_H

// State of every endpoint as known to this VM: the endpoint's entry in the log, this VM's own
// calls, and the other VMs' digests. Only the router's event loop writes the table; the placement
// of a request reads candidates from it.
//
// Guarantees:
// - An endpoint that is leaving or whose entry was removed gets no new call. If all entries of a
//   pool are removed, as in a disruption of the log, each stays usable for removalGrace after its
//   removal.
// - An endpoint that has said in an answer that it leaves, or that it wants a pause, is excluded
//   (endpoint_pause.h). The statement belongs to the incarnation that got the call. An answer does
//   not name it, so an incarnation that had started when a leaving was stated may be the one that
//   leaves: it is excluded for assumedLeavingTime, and then gets one call alone.
// - A new incarnation starts without any state of the previous one. A report of an older
//   incarnation than the known one has no effect until the view is confirmed at a later time.
// - A digest replaces the previous one of the same VM. The digest of a silent VM expires after
//   peerExpiry.

#include "burdockhold/brittle_endpoints.h"
#include "burdockhold/caller_request.h"
#include "burdockhold/clock.h"
#include "burdockhold/deployment.h"
#include "burdockhold/endpoint_choice.h"
#include "burdockhold/endpoint_contact.h"
#include "burdockhold/endpoint_pause.h"
#include "burdockhold/engine_pace.h"
#include "burdockhold/pace_limit.h"
#include "burdockhold/vm_digest.h"
#include "burdockhold/weights_rollout.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace burdockhold {

struct endpoint_table_options
{
    /// A VM's digest expires after the longer of this time and maxMissedDigests digest intervals.
    duration peerExpiry = std::chrono::milliseconds(1500);
    int maxMissedDigests = 4;
    /// Silence after which an endpoint with running requests is suspected: an engine sends events
    /// every few milliseconds, and prefills the longest prompts in under 400 ms.
    duration suspectAfter = std::chrono::milliseconds(500);
    /// Doubles with each failure to connect.
    duration initialBackOff = std::chrono::milliseconds(300);
    duration maxBackOff = std::chrono::seconds(4);
    duration callHalfLife = std::chrono::seconds(3);          ///< Decay of the recent call counts.
    duration refusalBackOff = std::chrono::milliseconds(150); ///< About the time of a few steps.
    /// An engine counts as loading for this long after the last report of it, or until the load was
    /// expected to end if that is later, but for no longer than maxLoadingMark: the VM that reports
    /// it may stop.
    duration loadingExpiry = std::chrono::milliseconds(900);
    duration maxLoadingMark = std::chrono::seconds(10);
    duration removalGrace = std::chrono::milliseconds(1500); ///< Entries return within two seconds.
    /// How long digests report that an endpoint is leaving; longer than the interval at which other
    /// VMs read the log.
    duration departureGossipTime = std::chrono::seconds(10);
    /// An engine updates its entry within this time of a change of its weights.
    duration inferredWeightsExpiry = std::chrono::milliseconds(1500);
    endpoint_pause_options pause;
    /// How long an incarnation is excluded that may have been the one that said it leaves. An
    /// engine that leaves ends many seconds after it has said so at the latest.
    duration assumedLeavingTime = std::chrono::seconds(30);
    pace_options pace;
    pace_limit_options paceLimit;
    bool usePace = true;   ///< False: candidates have no pace.
    bool limitPace = true; ///< False: candidates have no limit of tokens left.
    /// With fewer VMs, whose digests are exchanged directly, each knows what the others have placed
    /// and no limit is needed; it would refuse requests that are served in time.
    std::size_t minVmsForPaceLimit = 18;
    /// Differs between VMs, so that they come back at different times after an endpoint's pause.
    std::uint64_t returnSeed = 0;
    /// Maximum number of segments tracked per endpoint; more than an engine's KV cache holds.
    std::size_t segmentsPerEndpoint = 400;
};

/// Load that a call places on its endpoint.
struct call_load
{
    std::int64_t pendingPrefillTokens = 0;
    std::int64_t activeTokens = 0;
};

/// Identifies a call for endpoint_pause: the incarnation that it was made to, and the pause that it
/// followed.
struct call_ticket
{
    std::int64_t incarnation = 0;
    std::uint32_t pause = 0;
    bool onRefusalShare = false; ///< Charged to the VM's share of refusals (brittle_endpoints.h).
};

/// The first event of a call to a model engine.
struct first_event
{
    std::string_view endpointId;
    std::int64_t incarnation = 0; ///< That the call was made to.
    pace_sample sample;
    double expectedMs = 0.0;
};

/// What the table has learned from an endpoint's notice.
struct notice_result
{
    bool outdated = false; ///< The call was made to another incarnation; nothing was recorded.
    /// The incarnation that is known now may be the one that leaves; it is excluded for a while.
    bool leavingAssumed = false;
    bool leavingBegan = false;
    bool pauseBegan = false;
    bool pauseShortened = false; ///< The pause was above the bound.
    time_point pausedUntil = time_point::min();
};

/// Why a notice of an endpoint holds no longer.
enum class notice_end { TimeOver, NewIncarnation, Removed };

template <>
struct enum_names<notice_end>
{
    static constexpr std::array<enum_name<notice_end>, 3> Table{ {
            { notice_end::TimeOver, "time_over" },
            { notice_end::NewIncarnation, "new_incarnation" },
            { notice_end::Removed, "removed" },
    } };
};

/// A notice that holds no longer: a leaving or a pause.
struct ended_notice
{
    std::string endpoint;
    std::int64_t incarnation = 0;
    bool leaving = false;
    notice_end reason = notice_end::TimeOver;
};

class endpoint_table
{
public:
    explicit endpoint_table(std::string dataCentre, endpoint_table_options options = {});

    /// Returns true if the endpoint is new or has changed in more than its heartbeat. A report of
    /// an older incarnation than the known one changes nothing: a reader whose view is older sends
    /// it. confirmView() adopts it if it is the newest one after all.
    bool update(const endpoint_report &report, time_point now);
    void remove(std::string_view id, time_point now);

    /// Records that the view of the entries was that of the log at the given time. Drops peers'
    /// reports of departures before that time, and inferred versions that expired before it. Adopts
    /// and returns the reports of older incarnations that were received before that time and that
    /// no newer one has replaced: the clock of these endpoints was behind at their last start.
    std::vector<endpoint_report> confirmView(time_point at);

    /// Sets the pools that the deployment names; none before the first call. An entry whose pool
    /// has no name there may be another writer's, so it shows nothing about its address.
    void namePools(std::set<std::string> pools, time_point now);

    /// Removes the endpoints that are not in ids, a complete list.
    void keepOnly(const std::set<std::string> &ids, time_point now);

    const endpoint_report *find(std::string_view id) const;
    /// Returns the entries of the data centre's endpoints that are not removed. The pointers are
    /// valid until the table changes.
    std::vector<const endpoint_report *> reportsIn(std::string_view dataCentre) const;

    /// Returns the candidates for a request. Endpoints in tried are marked as excluded. The ids
    /// point into the table.
    std::vector<endpoint_candidate> candidates(std::string_view pool, std::string_view model,
                                               std::int64_t targetVersion,
                                               std::string_view segmentKey,
                                               const std::set<std::string> &tried,
                                               time_point now) const;

    /// Sets the size of the KV cache of each of the pool's engines, from the deployment.
    void setCacheTokens(const std::string &pool, std::int64_t tokens)
    {
        m_cacheTokens[pool] = tokens;
    }

    /// Returns the software versions of each pool's endpoints that are not leaving or removed.
    std::map<std::string, std::vector<version_presence>> softwareVersions() const;

    std::vector<rollout_engine> rolloutEngines(std::string_view pool, std::string_view model,
                                               time_point now) const;

    /// Returns the inferred version of the model if there is one, else the newest version that the
    /// endpoint has stated, or 0 if none is known.
    std::int64_t weightsOf(std::string_view id, std::string_view model) const;
    /// Records a version that the endpoint itself has stated. Drops an inferred version, even if
    /// that is newer.
    void recordStatedWeights(std::string_view id, std::string_view model, std::int64_t version);
    /// Records an inferred version: the endpoint has refused an older version without stating its
    /// own, so it has this version or a newer one. The inferred version is valid until the
    /// endpoint's next entry, or until the view is confirmed at a time more than
    /// inferredWeightsExpiry later. It is not sent to other VMs.
    void recordInferredWeights(std::string_view id, std::string_view model, std::int64_t version,
                               time_point now);
    /// Drops an inferred version that the endpoint has refused; the stated version applies again.
    void dropInferredWeights(std::string_view id, std::string_view model);
    /// Marks the endpoint as draining or loading by this VM's order, for the time that the load is
    /// expected to take from now on. Only the VM that gave the order reports it to others: if peers
    /// relayed it, they would renew each other's state forever.
    void setLoading(std::string_view id, duration timeLeft, time_point now);
    bool isLoading(std::string_view id, time_point now) const;
    /// Returns how long the endpoint has sent nothing to any VM; zero if it runs no call of this
    /// VM.
    duration silentFor(std::string_view id, time_point now) const;
    /// Returns how long the endpoint has been draining or loading; zero if it is not.
    duration loadingFor(std::string_view id, time_point now) const;
    /// Records that the endpoint refused a call without running it, and backs off for
    /// refusalBackOff so that other endpoints are used.
    void recordRefusal(std::string_view id, time_point now);

    /// Sets the clock with which the starts of endpoints are compared (incarnations are Unix times
    /// in milliseconds). Called again and again, as the Unix clock may step.
    void setUnixTime(std::int64_t unixMs, time_point now);

    /// Records what the endpoint has said in an answer to the call with this ticket.
    notice_result recordNotice(std::string_view id, const call_ticket &ticket,
                               const endpoint_notice &notice, time_point now);
    /// Records that the endpoint has accepted the call.
    void callAccepted(std::string_view id, const call_ticket &ticket);
    /// Returns whether the endpoint wants nothing from this VM now.
    bool isPausing(std::string_view id, time_point now) const;
    /// Returns the notices that have ended since the last call.
    std::vector<ended_notice> takeEndedNotices() { return std::exchange(m_endedNotices, {}); }

    call_ticket callStarted(std::string_view id, const call_load &load, time_point now);
    void prefillFinished(std::string_view id, const call_load &load);
    /// The ticket is that of a call that the endpoint has not accepted, or empty.
    void callEnded(std::string_view id, const call_load &load, bool prefillDone,
                   const call_ticket &ticket = {});
    void recordActivity(std::string_view id, time_point now);
    void recordCallResult(std::string_view id, bool succeeded, double latencyMs, time_point now);
    void connectFailed(std::string_view id, time_point now);
    /// Ends all back-off after failures to connect: they were not the endpoints' own.
    void forgetConnectFailures();
    /// Returns the endpoints whose entries are not removed.
    std::vector<contact_target> contactTargets() const;
    /// Returns whether an endpoint that is not removed has this address.
    bool hasAddress(std::string_view address) const;
    /// Records a first event in the paces of the engine and its pool. It has no effect if the
    /// engine has restarted.
    void recordFirstEvent(const first_event &event, time_point now);
    /// Sets the number of VMs that share the engines' limits, this VM included.
    void setVms(std::size_t vms) { m_vms = vms; }
    /// Sets this VM's place among those that share the refusals of brittle endpoints.
    void setPosition(const vm_position &position) { m_position = position; }
    /// Records what an answer states about the refusals that the endpoint bears in a second, and
    /// whether it refuses the call. Returns whether the statement of the endpoint's pool has
    /// changed.
    bool recordRefusalLimit(std::string_view id, std::optional<std::int64_t> refusalsPerSecond,
                            bool refuses, time_point now);
    /// Returns how many limits of engines have started since the last call.
    std::uint64_t takeStartedLimits() { return std::exchange(m_startedLimits, 0); }
    void recordCachedSegment(std::string_view id, const std::string &segmentKey);

    /// Adds the endpoint rows, weights rows and departed endpoints to this VM's digest.
    void fillDigest(vm_digest &digest, time_point now) const;
    void applyPeerDigest(const vm_digest &digest, time_point now);
    /// Expires old digests and removed endpoints. The interval is the longest between two digests.
    void step(duration digestInterval, time_point now);

    std::size_t size() const { return m_entries.size(); }
    /// Returns the number of this VM's calls that are running at the endpoint.
    int ownRunning(std::string_view id) const;

private:
    struct decayed_count
    {
        double calls = 0.0;
        double failures = 0.0;
        time_point at;
    };
    struct table_entry
    {
        endpoint_report report;
        /// Report of an older incarnation that was received after that of the known one.
        std::optional<endpoint_report> olderReport;
        time_point olderReportAt;
        std::uint32_t hash = 0;
        bool removed = false;
        time_point removedAt;
        time_point leavingSeenAt; // When this VM read that the endpoint is leaving or removed.
        /// Set while a peer has read that the endpoint is leaving and this VM's view is older.
        std::optional<time_point> peerReportedLeavingAt;
        int running = 0;
        std::int64_t pendingPrefillTokens = 0;
        std::int64_t activeTokens = 0;
        decayed_count recent;
        double latencyMs = 0.0;
        int connectFailures = 0;
        time_point backOffUntil;
        time_point lastActivityAt;
        time_point loadingSince;
        time_point loadingUntil;
        time_point ownLoadingUntil; // This VM reports until then that its order is in progress.
        time_point ownLoadingEnd;   // When the load of this VM's order is expected to end.
        // Versions by model: stated by the endpoint, and inferred ones that are newer.
        std::map<std::string, std::int64_t, std::less<>> weights;
        std::map<std::string, std::int64_t, std::less<>> inferredWeights;
        time_point inferredAt; // Time of the newest inferred version.
        std::unordered_set<std::string> segments;
        std::deque<std::string> segmentOrder;
        endpoint_pause pause;
        bool pauseRuns = false; // The end of the pause has not been noted yet.
        /// Unix time in milliseconds at which an answer last said that the endpoint leaves.
        std::optional<std::int64_t> saidLeavingAt;
        bool leavingAssumed = false; // The end of the assumption has not been noted yet.
        time_point leavingAssumedUntil = time_point::min();
        engine_pace pace = engine_pace();
        pace_limit limit = pace_limit();
        bool loadEnds = false; ///< The end of the load has not been noted yet.
        brittle_share refusals;
    };
    struct pool_pace
    {
        engine_pace pace;
        pace_line line; // Of pace; changes with each first event.
    };
    struct peer_totals
    {
        std::int64_t running = 0;
        std::int64_t pendingPrefillTokens = 0;
        std::int64_t activeTokens = 0;
        double calls = 0.0;
        double failures = 0.0;
    };
    struct peer_view
    {
        std::vector<endpoint_row> endpoints;
        time_point at;
    };

    bool adopt(const endpoint_report &report, time_point now);
    void startLimit(table_entry &entry, time_point at);
    void limitNewIncarnation(table_entry &entry, bool isNew, time_point now);
    double tokensLeft(const table_entry &entry, const endpoint_candidate &candidate,
                      time_point now) const;
    brittle_verdict brittleVerdict(const table_entry &entry, time_point now) const;
    void noteEndedNotices(const table_entry &entry, notice_end reason, bool leavingHolds = false);
    std::optional<std::int64_t> unixTimeAt(time_point now) const;
    static bool saysLeaving(const table_entry &entry, time_point now);
    void assumeLeaving(table_entry &entry, time_point now);
    double returnSpread(std::string_view id, time_point now) const;
    void removeReplacedEndpoints(const endpoint_report &report, time_point now);
    table_entry *findEntry(std::string_view id);
    table_entry *findEntry(std::uint32_t hash); ///< By shortHash of the id.
    const table_entry *findEntry(std::string_view id) const;
    void addDigestRows(const std::vector<endpoint_row> &rows, int sign);
    void recordStatedWeights(table_entry &entry, std::string_view model, std::int64_t version);
    void markLoading(table_entry &entry, duration timeLeft, time_point now) const;
    void applyPeerWeights(const weights_row &row, time_point now);
    bool isUsable(const table_entry &entry, bool poolIsEmpty, time_point now) const;
    endpoint_candidate makeCandidate(const table_entry &entry, std::string_view model,
                                     std::int64_t targetVersion, std::string_view segmentKey,
                                     time_point now) const;
    static void decay(decayed_count &count, duration halfLife, time_point now);
    static std::int64_t knownVersion(const table_entry &entry, std::string_view model);

    std::string m_dataCentre;
    std::set<std::string> m_namedPools;
    std::map<std::string, std::int64_t> m_cacheTokens; // By pool.
    endpoint_table_options m_options;
    std::map<std::string, table_entry, std::less<>> m_entries;
    std::unordered_map<std::uint32_t, table_entry *> m_entriesByHash; // Into m_entries.
    std::unordered_map<std::uint32_t, peer_totals> m_peerTotals;
    std::map<std::string, peer_view, std::less<>> m_peers;
    std::map<std::string, pool_pace, std::less<>> m_poolPaces; // Rows are never removed.
    std::size_t m_vms = 1;
    vm_position m_position;
    std::map<std::string, brittle_pool, std::less<>> m_brittlePools; // Rows are never removed.
    duration m_digestInterval = duration::zero();
    std::uint64_t m_startedLimits = 0;
    std::vector<ended_notice> m_endedNotices;
    std::optional<std::int64_t> m_unixOffsetMs; // Unix time minus the table's time.
};

} // namespace burdockhold

#endif
