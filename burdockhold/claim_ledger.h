#ifndef BURDOCKHOLD_CLAIM_LEDGER_H
#define BURDOCKHOLD_CLAIM_LEDGER_H

// At-most-once execution of calls on non-repeatable routes, over all VMs. A call is claimed in the
// log's `claims` stream before it is dispatched. claim_ledger replays the stream; claim_writer is
// one VM's part: it appends claims and decides, by replay alone, which of them it may dispatch.
//
// Promise: within the claim window (log time), at most one claim for an account and idempotency key
// is ever permitted to dispatch, whatever the log and the VMs do, as long as the log keeps records
// for at least the claim window. Accounts never share keys.
//
// Limits: memory is bounded by claim_ledger_options and claim_writer_options. A ledger that is full
// gives no permissions until every claim that it could not hold has expired. apply() and lookup()
// take time logarithmic in the number of claims held.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/result.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace burdockhold {

/// Largest response body kept in a finish record, in bytes.
constexpr std::size_t MaxRetainedBodyBytes = 64UL * 1024;

/// Longest account name, claim id and content type in a record, in bytes.
constexpr std::size_t MaxClaimFieldBytes = 256;

/// Longest text of a record: JSON escapes a control character with six bytes.
constexpr std::size_t MaxClaimRecordBytes = 6 * MaxRetainedBodyBytes + 8UL * 1024;

/// How a dispatched call ended. Unknown: it may or may not have run, and no answer is known.
enum class finish_outcome { Answered, BodyNotRetained, Unknown };

template <>
struct enum_names<finish_outcome>
{
    static constexpr std::array<enum_name<finish_outcome>, 3> Table{ {
            { finish_outcome::Answered, "answered" },
            { finish_outcome::BodyNotRetained, "body_not_retained" },
            { finish_outcome::Unknown, "unknown" },
    } };
};

/// An endpoint's response to a claimed call. The status is 0 when the outcome is unknown.
struct claim_answer
{
    finish_outcome outcome = finish_outcome::Unknown;
    int status = 0;
    std::string contentType;
    std::string body; ///< Empty unless the outcome is Answered.
};

/// Asks for the right to dispatch one call.
struct claim_record
{
    std::string claimId; ///< Unique over all VMs and incarnations.
    std::string account;
    std::string keyDigest;  ///< SHA-256 of the idempotency key.
    std::string bodyDigest; ///< SHA-256 of the request.
};

/// The outcome of a dispatched claim.
struct finish_record
{
    std::string claimId;
    claim_answer answer;
};

/// States that the claim was not and will never be dispatched.
struct release_record
{
    std::string claimId;
};

using claim_stream_record = std::variant<claim_record, finish_record, release_record>;

enum class claim_error { Malformed, UnknownKind, OutOfBounds };

/// Returns the JSON text of a record. Bytes of a body that are not ASCII are written as the code
/// points 128 to 255, so that every body survives.
std::string formatClaimRecord(const claim_stream_record &record);

/// Parses the JSON text of a record. Readers skip a record that fails, all alike.
result<claim_stream_record, claim_error> parseClaimRecord(std::string_view json);

/// Returns the answer to be recorded for a response. A body above MaxRetainedBodyBytes or a content
/// type above MaxClaimFieldBytes is not retained.
claim_answer recordedAnswer(int status, std::string contentType, std::string body);

struct claim_ledger_options
{
    /// How long a claim is remembered, by log time. At most the log's retention.
    log_time_ms claimWindowMs = 24LL * 3600 * 1000;
    /// How long after its claim a call without an outcome counts as in progress. Later it counts as
    /// outcome unknown, because its VM has probably died.
    log_time_ms inProgressMs = 120LL * 1000;
    std::size_t maxClaims = 100000;        ///< Keys and claim ids held, each.
    std::size_t maxBodyBytes = 16U << 20U; ///< Sum of retained bodies; the oldest are dropped.
};

/// What a record did to the ledger.
enum class claim_effect {
    Won,      ///< The claim holds its key.
    Lost,     ///< Another claim holds the key.
    Finished, ///< The holder's outcome is recorded.
    Released, ///< The key is free again.
    Repeated, ///< The record or one of the same meaning was seen before.
    Ignored,  ///< A finish or release that is not from the holder.
    Full,     ///< No permission may be given: the ledger lacks or lacked room.
};

/// What a call with a key finds.
enum class claim_state {
    Free,           ///< No live claim: the call may be claimed.
    InProgress,     ///< 409 with Retry-After.
    Answered,       ///< The stored answer.
    OutcomeUnknown, ///< 502, never run again.
    BodyConflict,   ///< 422: the key was used with another body.
};

template <>
struct enum_names<claim_state>
{
    static constexpr std::array<enum_name<claim_state>, 5> Table{ {
            { claim_state::Free, "free" },
            { claim_state::InProgress, "in_progress" },
            { claim_state::Answered, "answered" },
            { claim_state::OutcomeUnknown, "outcome_unknown" },
            { claim_state::BodyConflict, "body_conflict" },
    } };
};

/// The state of a key as seen by one call. A call in progress is not waited for: a waiting caller
/// would hold a connection and memory on this VM for as long as the other VM may be dead.
struct claim_view
{
    claim_state state = claim_state::Free;
    int retryAfterSeconds = 0; ///< With InProgress, at least 1.
    claim_answer answer;       ///< With Answered.
};

/// Replays the claims stream. Records are applied in offset order; an offset at or below the last
/// applied one is ignored.
class claim_ledger
{
public:
    explicit claim_ledger(claim_ledger_options options = {});

    /// Applies the record at an offset. Time is the record's log time.
    claim_effect apply(log_offset offset, log_time_ms time, const claim_stream_record &record);

    /// Returns what a call with this account, key and body finds. `now` is the log's clock as last
    /// read.
    claim_view lookup(std::string_view account, std::string_view keyDigest,
                      std::string_view bodyDigest, log_time_ms now) const;

    /// True when new claims should be refused (503, not run): nine tenths of the room is used or
    /// permissions are suspended. The last tenth is for claims that other VMs append meanwhile.
    bool isNearlyFull() const;

    log_offset lastOffset() const { return m_lastOffset; }
    std::size_t keyCount() const { return m_keys.size(); }
    std::size_t claimIdCount() const { return m_claims.size(); }
    std::size_t retainedBodyBytes() const { return m_bodyBytes; }

private:
    struct key_name
    {
        std::string account;
        std::string keyDigest;
        friend bool operator<(const key_name &a, const key_name &b)
        {
            return std::tie(a.account, a.keyDigest) < std::tie(b.account, b.keyDigest);
        }
    };
    struct key_state
    {
        std::string claimId;
        std::string bodyDigest;
        log_time_ms claimedAt = 0;
        log_time_ms expiresAt = 0;
        std::optional<claim_answer> answer;
    };

    claim_effect applyClaim(const claim_record &record);
    claim_effect applyFinish(const finish_record &record);
    claim_effect applyRelease(const release_record &record);
    claim_effect refuseForRoom();
    key_state *heldBy(const std::string &claimId);
    void forgetExpired();
    void dropOldestBodies();
    void eraseKey(std::map<key_name, key_state>::iterator key);

    claim_ledger_options m_options;
    log_offset m_lastOffset = 0;
    log_time_ms m_logTime = 0; // Never goes back, so that all VMs forget in the same order.
    log_time_ms m_suspendedUntil = 0;
    std::map<key_name, key_state> m_keys;
    std::map<std::string, key_name> m_claims;           // Every claim id seen within the window.
    std::multimap<log_time_ms, std::string> m_expiries; // Claim ids by time of expiry.
    std::deque<std::string> m_bodyOrder; // Claim ids with a retained body, oldest first.
    std::size_t m_bodyBytes = 0;
};

/// How an append ended. Unknown: the answer was lost, and the append may take effect even later.
enum class append_outcome { Applied, NotApplied, Unknown };

/// A call that wants to be dispatched.
struct claim_request
{
    std::uint64_t requestId = 0;
    std::string account;
    std::string keyDigest;
    std::string bodyDigest;
    time_point deadline; ///< When the call ends in "not run" unless it was permitted before.
};

/// One append to the claims stream.
struct claim_append
{
    std::uint64_t number = 0; ///< Passed back to appendEnded().
    std::vector<claim_stream_record> records;
};

/// The call may be dispatched, once. The caller of the writer checks the deadline again directly
/// before dispatch, and reports released() when it has passed.
struct dispatch_permission
{
    std::uint64_t requestId;
    std::string claimId;
    time_point deadline;
};

/// The call was not run by this claim and never will be.
struct not_run_reply
{
    std::uint64_t requestId;
    std::string claimId;
};

/// Another claim holds the key. `view` is never Free; the call itself was not run.
struct claim_lost_reply
{
    std::uint64_t requestId;
    std::string claimId;
    claim_view view;
};

using claim_decision = std::variant<dispatch_permission, not_run_reply, claim_lost_reply>;

struct claim_writer_options
{
    std::size_t maxEntries = 20000; ///< Claims followed at once; more are refused.
    std::size_t maxAppendRecords = 256;
    std::size_t maxAppendBytes = 1U << 20U; ///< Of bodies in one append; one record always fits.
    duration retryDelay = std::chrono::milliseconds(200); ///< After an append that failed.
    /// How long an abandoned claim that may be in the log is followed. An append that takes effect
    /// later than this leaves its key as outcome unknown until the claim expires.
    duration orphanMemory = std::chrono::minutes(10);
    /// Oldest claim, by the log's clock, that is permitted. The steady clock stops while a VM is
    /// suspended, so the deadline alone would permit a claim that has expired for the others.
    log_time_ms maxClaimAgeMs = 60LL * 1000;
};

/// One VM's claims. A process creates one writer at start with an incarnation never used before;
/// claims of earlier incarnations are unknown to it and therefore never dispatched.
class claim_writer
{
public:
    claim_writer(std::string_view vm, std::string_view incarnation,
                 claim_writer_options options = {});

    /// Takes a call that lookup() found Free. Returns its claim id, or nothing when the writer is
    /// full or the deadline has passed: the call is not run.
    std::optional<std::string> submit(const claim_request &request, time_point now);

    /// Returns the next append, or nothing when one is in flight, none is due or none is needed.
    std::optional<claim_append> nextAppend(time_point now);

    /// Reports how an append ended. A number other than that of the append in flight is ignored.
    void appendEnded(std::uint64_t number, append_outcome outcome, time_point now);

    /// Reports a record that the ledger has applied, before it applies the next one. `effect` is
    /// what apply() returned, `time` the record's log time, and `logNow` the log's clock from the
    /// same read.
    void replayed(const claim_stream_record &record, claim_effect effect, log_time_ms time,
                  const claim_ledger &ledger, log_time_ms logNow, time_point now);

    /// Reports the outcome of a permitted call. Ignored for a call that has reported before.
    void finished(const std::string &claimId, claim_answer answer);

    /// Reports that no byte of a permitted call can have reached an endpoint.
    void released(const std::string &claimId);

    /// Ends calls whose deadline has passed. Called at least once a second.
    void expire(time_point now);

    /// Returns the decisions made since the last call, in order.
    std::vector<claim_decision> takeDecisions();

    std::size_t entryCount() const { return m_entries.size(); }

private:
    enum class phase {
        Claiming,  // The caller waits.
        Abandoned, // The caller was told "not run"; the claim may still appear in the log.
        Permitted, // The call may be running.
        Closing,   // A finish or release is appended until it is seen in replay.
    };
    struct entry
    {
        claim_request request;
        phase state = phase::Claiming;
        claim_stream_record record;
        bool mayBeInLog = false; // Some append of the claim may have taken effect.
        bool toAppend = true;    // The record is to be put into the next append.
        time_point abandonedAt;
    };
    using entry_map = std::map<std::string, entry>;

    void decideClaim(entry_map::iterator it, claim_effect effect, log_time_ms time,
                     const claim_ledger &ledger, log_time_ms logNow, time_point now);
    void close(entry &closed, claim_stream_record record);
    void queue(const std::string &claimId);
    bool isInFlight(const std::string &claimId) const;

    std::string m_prefix;
    claim_writer_options m_options;
    std::uint64_t m_nextClaim = 1;
    std::uint64_t m_nextAppend = 1;
    entry_map m_entries;
    std::deque<std::string> m_queue;          // Claim ids with toAppend set, each once.
    std::vector<std::string> m_inFlight;      // Claim ids of the append in flight.
    std::uint64_t m_inFlightNumber = 0;       // 0 when none is.
    std::vector<std::size_t> m_inFlightKinds; // Alternative of each record in flight.
    time_point m_notBefore;
    std::vector<claim_decision> m_decisions;
};

} // namespace burdockhold

#endif
