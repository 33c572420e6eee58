#ifndef BURDOCKHOLD_CRASH_FINGERPRINTS_H
#define BURDOCKHOLD_CRASH_FINGERPRINTS_H

// Recognises what makes requests crash endpoints, over all VMs, and blocks it.
//
// A request has a fingerprint for each of its shared prompt segments and one for itself. When an
// endpoint crashes, each request that it had accepted and not answered to the end is a suspect: its
// fingerprints get a strike for that crash. An answer to any request with a fingerprint, at any VM,
// clears its earlier strikes. So a segment that many requests share keeps no strikes while some of
// them are answered, and what crashes endpoints collects one strike with each crash, whatever else
// its requests contain. Only a complete response is an answer: a request may crash endpoints after
// its first event.
//
// Promises:
// - A fingerprint with strikesToBlock strikes is blocked at every VM that has heard of them, until
//   a request with it is answered or its strikes expire. One that was answered before its first
//   strike takes strikesToBlockAnswered: a segment that all prompts of a route share is not blocked
//   with a new one that crashes endpoints, even if nothing else is sent meanwhile. Its strikes must
//   extend over minBlockSpan as well: a host or a stop may have ended endpoints together.
// - A strike is counted once for each crash, which is an endpoint's incarnation, however many VMs
//   and requests report it. Merging reports is idempotent and independent of their order.
// - While a fingerprint is blocked, single requests try it out, so that a wrong block ends. The
//   time between trials doubles with each that ends in a crash, and no VM starts a trial while it
//   has heard of one within that time. After maxFailedTrials, or one with strikesToEndTrials
//   strikes, there are none. Crashes within commonCauseTime count as one of them.
// - Segments of a request that an endpoint had begun to answer get no strike once any answer has
//   shown them to be sound: many such requests run at an endpoint, and most have nothing to do with
//   its crash.
// - Once one fingerprint of a request is blocked, the others get no strikes from its crashes,
//   unless it was a trial: then another one may be the cause.
// - Memory is bounded by maxSuspects and recentAnswers. Beyond maxSuspects, the fingerprint with
//   the fewest strikes is dropped first, and of these the one not reported for longest.
//
// Limits: a crash after the end of an answer is not counted. What shares every request with the
// culprit is blocked with it until a trial succeeds. A request that is lost in strikesToBlock
// unrelated crashes before any answer is blocked wrongly. Messages may delay a strike or an answer;
// an answer that arrives late can clear strikes that are younger than it by the delay.

#include "burdockhold/caller_request.h"
#include "burdockhold/clock.h"
#include "burdockhold/vm_digest.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace burdockhold {

/// 64-bit hash of a shared prompt segment or of a whole request.
using fingerprint = std::uint64_t;

/// Returns the fingerprints of a request: its shared segments, then the request itself as known by
/// its account, method, target, segments and body. The last segment belongs to the request alone
/// and has no fingerprint of its own.
std::vector<fingerprint> fingerprintsOf(const caller_request &request, std::string_view account);

/// Returns the fingerprint in 16 hexadecimal digits, for logs.
std::string formatFingerprint(fingerprint suspect);

/// Returns the hash by which digests identify the crash of an endpoint's incarnation.
std::uint32_t crashId(std::string_view endpoint, std::int64_t incarnation);

struct crash_fingerprint_options
{
    std::size_t strikesToBlock = 3;
    std::size_t strikesToBlockAnswered = 5;
    /// After this many trials that ended in a crash there are no more; the block ends when the
    /// strikes expire.
    std::size_t maxFailedTrials = 3;
    /// With this many strikes a failed trial is the last one. Of the crashes within commonCauseTime
    /// one counts: they may have another cause than the requests.
    std::size_t strikesToEndTrials = 6;
    duration commonCauseTime = std::chrono::milliseconds(200);
    /// Time between the first and the last strike of a fingerprint that was answered before.
    duration minBlockSpan = std::chrono::seconds(1);
    /// Crashes kept for each fingerprint; the oldest and the newest ones.
    std::size_t maxStrikes = 12;
    /// Lifetime of the strikes of a fingerprint, counted from the newest.
    duration singleStrikeLifetime = std::chrono::seconds(60);
    duration strikeLifetime = std::chrono::minutes(30); // Longer than maxTrialInterval.
    duration trialInterval = std::chrono::seconds(5);
    duration maxTrialInterval = std::chrono::minutes(10);
    /// When a trial is due, one VM may start it, and one more with each slot that passes: a VM may
    /// get no request with the fingerprint. A slot is longer than the news of a trial takes.
    duration trialSlot = std::chrono::seconds(2);
    std::size_t maxSuspects = 1024;
    /// Answered fingerprints that are remembered, at least; at most twice as many.
    std::size_t recentAnswers = 4096;
    std::size_t maxDigestRows = 32;
    /// How long digests report that a fingerprint was answered after strikes were heard of.
    duration clearanceGossipTime = std::chrono::seconds(10);
};

/// How far an endpoint had come with a request when it crashed.
enum class call_progress { Unanswered, Begun };

/// The VMs among which one is chosen for a trial, by shortHashes of their names.
struct trial_group
{
    std::uint32_t own = 0;
    const std::vector<std::uint32_t> *others = nullptr;
};

/// The request may be sent.
struct not_blocked
{
};
/// The request may be sent as the trial of a blocked fingerprint.
struct trial_of_blocked
{
    fingerprint suspect = 0;
};
/// The request must not be sent.
struct blocked_request
{
    fingerprint suspect = 0;
    std::size_t strikes = 0;
    duration nextTrial = duration::zero(); ///< Time until the next trial is due.
};

using crash_verdict = std::variant<not_blocked, trial_of_blocked, blocked_request>;

class crash_fingerprints
{
public:
    explicit crash_fingerprints(crash_fingerprint_options options = {});

    /// Records that an endpoint crashed with a request, before or after it had begun to answer.
    /// Returns the fingerprints that this strike has blocked.
    std::vector<fingerprint> recordCrash(const std::vector<fingerprint> &request,
                                         std::uint32_t crash, time_point now,
                                         call_progress progress = call_progress::Unanswered);

    /// Records that an endpoint answered a request to the end; an error is not an answer. Returns
    /// the fingerprints that had strikes, of which the other VMs should hear soon.
    std::vector<fingerprint> recordAnswer(const std::vector<fingerprint> &request, time_point now);

    /// Decides whether a request may be sent to an endpoint. Changes nothing.
    crash_verdict judge(const std::vector<fingerprint> &request, const trial_group &group,
                        time_point now) const;

    /// Records that this VM sends a request as a trial.
    void recordTrial(fingerprint suspect, time_point now);

    /// Returns the number of strikes that no answer has cleared.
    std::size_t strikes(fingerprint suspect, time_point now) const;
    bool isBlocked(fingerprint suspect, time_point now) const;
    bool isAnyBlocked(const std::vector<fingerprint> &request, time_point now) const;
    std::size_t blockedCount(time_point now) const;

    /// Returns what this VM knows of a fingerprint; without crashes if nothing counts against it.
    crash_row rowOf(fingerprint suspect, time_point now) const;

    /// Returns the rows for this VM's digest, those with the most strikes first.
    std::vector<crash_row> digestRows(time_point now) const;

    /// Applies a row of another VM or data centre. Returns true if it has blocked the fingerprint.
    bool applyPeerRow(const crash_row &row, time_point now);

    /// Forgets what has expired.
    void step(time_point now);

    std::size_t size() const { return m_suspects.size(); }

private:
    static constexpr time_point Never{ duration::min() / 2 };

    struct suspect_entry
    {
        // With the earliest report of each. Those before the last answer are kept for a while, so
        // that late reports do not bring them back.
        std::map<std::uint32_t, time_point> crashes;
        time_point answeredAt = Never;    // The last answer at any VM.
        time_point ownAnsweredAt = Never; // The last answer at this VM.
        time_point trialAt = Never;       // The last trial of any VM.
        time_point ownTrialAt = Never;    // The last trial of this VM.
        time_point reportedAt{};          // When this VM first heard of the newest crash or answer.
        time_point clearanceUntil{};      // Digests report ownAnsweredAt until then.
    };
    using answer_times = std::unordered_map<fingerprint, time_point>;

    suspect_entry &entryOf(fingerprint suspect, time_point now);
    const suspect_entry *findEntry(fingerprint suspect) const;
    std::size_t strikesOf(const suspect_entry &entry, time_point now) const;
    std::size_t thresholdOf(const suspect_entry &entry) const;
    bool blocks(const suspect_entry &entry, time_point now) const;
    static std::vector<time_point> strikeTimes(const suspect_entry &entry);
    std::size_t separateStrikes(const suspect_entry &entry) const;
    time_point newestCrash(const suspect_entry &entry) const;
    bool isOnTrial(fingerprint suspect) const;
    bool wasAnswered(fingerprint suspect) const;
    std::vector<fingerprint> suspectsOf(const std::vector<fingerprint> &request,
                                        call_progress progress, time_point now) const;
    bool isKnownCrash(const std::vector<fingerprint> &suspects, std::uint32_t crash) const;
    void addCrash(suspect_entry &entry, std::uint32_t crash, time_point at, time_point now);
    static void dropStrike(suspect_entry &entry);
    static std::size_t trialRank(fingerprint suspect, std::size_t strikes,
                                 const trial_group &group);
    std::size_t failedTrials(const suspect_entry &entry) const;
    duration trialIntervalAfter(std::size_t failedTrials) const;
    time_point lastAnswer(fingerprint suspect) const;
    void rememberAnswer(fingerprint suspect, time_point now);
    void dropWeakestSuspect(time_point now);

    crash_fingerprint_options m_options;
    std::unordered_map<fingerprint, suspect_entry> m_suspects;
    // Two generations: when the current one is full, it replaces the previous one.
    answer_times m_recentAnswers;
    answer_times m_olderAnswers;
};

} // namespace burdockhold

#endif
