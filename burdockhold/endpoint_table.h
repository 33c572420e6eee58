#ifndef BURDOCKHOLD_ENDPOINT_TABLE_H
#define BURDOCKHOLD_ENDPOINT_TABLE_H

// What this VM knows of every endpoint: its entry in the log, this VM's own calls, and what the
// other VMs' digests say. Written by the router's loop only; the placement of a request reads
// candidates from it.
//
// Promises:
// - An endpoint that leaves or whose entry is gone gets no new call. If a pool's entries all go
//   within a disruption of the log, those that went last stay usable for removalGrace.
// - A new incarnation starts without anything that was known of the former one.
// - A digest replaces what the same VM said before; that of a silent VM lapses after peerLapse.

#include "burdockhold/clock.h"
#include "burdockhold/deployment.h"
#include "burdockhold/endpoint_choice.h"
#include "burdockhold/vm_digest.h"
#include "burdockhold/weights_rollout.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace burdockhold {

struct endpoint_table_options
{
    /// What a VM said lapses after this time, or after this many digests if they are rarer.
    duration peerLapse = std::chrono::milliseconds(1500);
    int lostDigests = 4;
    /// Silence of an endpoint with running requests after which it is suspected: an engine makes
    /// events every few milliseconds, and reads the longest prompts in under 400 ms.
    duration suspectAfter = std::chrono::milliseconds(500);
    duration firstBackOff = std::chrono::milliseconds(
            300); ///< Doubles with each failure to connect.
    duration longestBackOff = std::chrono::seconds(4);
    duration callHalfLife = std::chrono::seconds(3);         ///< Of the counts of recent calls.
    duration refusalPause = std::chrono::milliseconds(150);  ///< About the time of a few steps.
    duration loadingLapse = std::chrono::milliseconds(900);  ///< After the last word of a load.
    duration removalGrace = std::chrono::milliseconds(1500); ///< Entries return within two seconds.
    /// How long others are told that an endpoint leaves: longer than they wait between reads.
    duration goneTold = std::chrono::seconds(10);
    /// An engine enters its weights anew within this time of a change.
    duration guessLapse = std::chrono::milliseconds(1500);
    std::size_t segmentsPerEndpoint =
            400; ///< Remembered parts; more than an engine's memory holds.
};

/// The part of a call that loads its endpoint.
struct call_load
{
    std::int64_t pendingPrefillTokens = 0;
    std::int64_t activeTokens = 0;
};

class endpoint_table
{
public:
    explicit endpoint_table(std::string dataCentre, endpoint_table_options options = {});

    /// Returns true when the endpoint is new or has changed in more than its heartbeat.
    bool update(const endpoint_report &report, time_point now);
    void remove(std::string_view id, time_point now);

    /// The view of the entries is that of the log at this time. It ends what other VMs have told
    /// of leaving before it, and older guesses.
    void confirmView(time_point at);

    /// Drops endpoints that a complete list does not name.
    void keepOnly(const std::set<std::string> &ids, time_point now);

    const endpoint_report *find(std::string_view id) const;

    /// Candidates for a request. Endpoints in tried are excluded. The ids point into the table.
    std::vector<endpoint_candidate> candidates(std::string_view pool, std::string_view model,
                                               std::int64_t targetVersion,
                                               std::string_view segmentKey,
                                               const std::set<std::string> &tried,
                                               time_point now) const;

    /// Memory of each of a pool's engines, as the deployment states it.
    void setCacheTokens(const std::string &pool, std::int64_t tokens)
    {
        m_cacheTokens[pool] = tokens;
    }

    std::vector<rollout_engine> rolloutEngines(std::string_view pool, std::string_view model,
                                               time_point now) const;

    /// Newest version of the model that the endpoint is known or guessed to have; 0 when unknown.
    std::int64_t weightsOf(std::string_view id, std::string_view model) const;
    /// The endpoint itself has stated the version. It ends a guess, also a higher one.
    void weightsSeen(std::string_view id, std::string_view model, std::int64_t version);
    /// The endpoint has refused an older version and named none: it has this one or a newer one.
    /// The guess holds until the endpoint's next entry, or until the view is proven for a time
    /// after guessLapse, and is not told to other VMs.
    void guessWeights(std::string_view id, std::string_view model, std::int64_t version,
                      time_point now);
    /// The endpoint has refused a version that may have been a guess: what it stated holds again.
    void dropGuess(std::string_view id, std::string_view model);
    /// The endpoint drains or loads on this VM's order. Only the VM that ordered it tells the
    /// others: a word that is passed on would never end.
    void setLoading(std::string_view id, time_point now);
    bool isLoading(std::string_view id, time_point now) const;
    /// How long the endpoint has sent nothing to any VM while calls of this VM run there.
    duration silentFor(std::string_view id, time_point now) const;
    /// How long the endpoint has been draining or loading; zero when it is not.
    duration loadingFor(std::string_view id, time_point now) const;
    /// The endpoint refused a call that it did not run: others are better for a moment.
    void callRefused(std::string_view id, time_point now);

    void callStarted(std::string_view id, const call_load &load, time_point now);
    void promptRead(std::string_view id, const call_load &load);
    void callEnded(std::string_view id, const call_load &load, bool promptWasRead);
    void heard(std::string_view id, time_point now);
    void recordCallResult(std::string_view id, bool succeeded, double latencyMs, time_point now);
    void connectFailed(std::string_view id, time_point now);
    void recordCachedSegment(std::string_view id, const std::string &segmentKey);

    /// Fills the endpoint and weights rows of this VM's digest.
    void fillDigest(vm_digest &digest, time_point now) const;
    void applyPeerDigest(const vm_digest &digest, time_point now);
    /// The interval is the longest between two digests.
    void step(duration digestInterval, time_point now);

    std::size_t size() const { return m_entries.size(); }
    /// Calls of this VM that run at the endpoint.
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
        std::uint32_t hash = 0;
        bool removed = false;
        time_point removedAt;
        time_point leavingSeenAt; // When this VM read that it leaves or is gone.
        /// Another VM has read that it leaves; the own view is older than that.
        std::optional<time_point> toldLeavingAt;
        int running = 0;
        std::int64_t pendingPrefillTokens = 0;
        std::int64_t activeTokens = 0;
        decayed_count recent;
        double latencyMs = 0.0;
        int connectFailures = 0;
        time_point backOffUntil;
        time_point heardAt;
        time_point loadingSince;
        time_point loadingUntil;
        time_point ownOrderUntil; // As loadingUntil, for an order of this VM.
        std::map<std::string, std::int64_t, std::less<>> weights; // As the endpoint has stated.
        std::map<std::string, std::int64_t, std::less<>> guesses; // Above what it has stated.
        time_point guessedAt;                                     // The newest guess.
        std::unordered_set<std::string> parts;
        std::deque<std::string> partOrder;
    };
    struct peer_sum
    {
        std::int64_t running = 0;
        std::int64_t pendingPrefillTokens = 0;
        std::int64_t activeTokens = 0;
        double calls = 0.0;
        double failures = 0.0;
    };
    struct peer_view
    {
        vm_digest digest;
        time_point at;
    };

    void removeFormerHolders(const endpoint_report &report, time_point now);
    table_entry *entryOf(std::string_view id);
    const table_entry *entryOf(std::string_view id) const;
    void addRows(const vm_digest &digest, int sign);
    void markLoading(table_entry &entry, time_point now) const;
    void peerWeights(const weights_row &row, time_point now);
    bool isUsable(const table_entry &entry, bool poolIsEmpty, time_point now) const;
    endpoint_candidate candidateOf(const table_entry &entry, std::string_view model,
                                   std::int64_t targetVersion, std::string_view segmentKey,
                                   time_point now) const;
    static void decay(decayed_count &count, duration halfLife, time_point now);
    static std::int64_t versionOf(const table_entry &entry, std::string_view model);

    std::string m_dataCentre;
    std::map<std::string, std::int64_t> m_cacheTokens; // By pool.
    endpoint_table_options m_options;
    std::map<std::string, table_entry, std::less<>> m_entries;
    std::unordered_map<std::uint32_t, std::string> m_idsByHash;
    std::unordered_map<std::uint32_t, peer_sum> m_peerSums;
    std::map<std::string, peer_view, std::less<>> m_peers;
};

} // namespace burdockhold

#endif
