#ifndef BURDOCKHOLD_REPLAY_H
#define BURDOCKHOLD_REPLAY_H

// Replay of the config stream. Every VM applies the same records in offset order by these rules
// and reaches the same catalogue, the same outcome for each record, and the same versions.
//
// A conditional change is void unless the base of every entry that it touches is the current
// version, its values parse, no withdrawn key is touched, and the references of the catalogue hold
// afterwards. A withdrawal always takes effect and is kept for good. A record whose id occurred
// among the last DuplicateWindow offsets is dropped as a duplicate. A record that cannot be parsed
// has no effect.
//
// Whether a change was void can depend on records that retention has dropped. A reader that begins
// after offset 1 therefore holds records back until it has read a complete refresh that was taken
// at or after the offset before its first record; it then starts from the refresh and applies the
// records after it. A reader that already follows the stream needs no refresh and takes no entry
// from one, so that a refresh can neither bring back a removed entry nor an earlier version.
//
// Time: one change costs O(n log n) in the entries it touches; a removal or a change of an
// endpoint's pool checks all references, O(N). Memory: the catalogue, DuplicateWindow ids, and the
// records held back.

#include "burdockhold/catalogue.h"
#include "burdockhold/record.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdockhold {

/// Offsets over which a repeated id is recognised. At 5,700 changes a day this is 17 hours; a
/// writer gives up repeating a lost append long before.
constexpr log_offset DuplicateWindow = 4096;

/// Keeps a part of a refresh near 150 KB.
constexpr std::size_t RefreshEntriesPerPart = 500;

enum class void_reason {
    None,             ///< The record is not void.
    BaseNotCurrent,   ///< An entry has another version than the change is based on.
    InvalidValue,     ///< A value does not parse, or an entry occurs twice.
    UnknownReference, ///< An entry would refer to one that does not exist.
    KeyWithdrawn,     ///< The change touches a withdrawn key.
    KeyRemoval,       ///< The change removes a key, which would forget its digest.
};

template <>
struct enum_names<void_reason>
{
    static constexpr std::array<enum_name<void_reason>, 6> Table{ {
            { void_reason::None, "none" },
            { void_reason::BaseNotCurrent, "base_not_current" },
            { void_reason::InvalidValue, "invalid_value" },
            { void_reason::UnknownReference, "unknown_reference" },
            { void_reason::KeyWithdrawn, "key_withdrawn" },
            { void_reason::KeyRemoval, "key_removal" },
    } };
};

/// What became of one record. For a void change, the entry that made it void with its base and its
/// current version (0 when it does not exist).
struct record_outcome
{
    outcome_kind kind = outcome_kind::Applied;
    log_offset offset = 0;
    void_reason reason = void_reason::None;
    entry_id entry;
    log_offset base = 0;
    log_offset current = 0;
    std::string text; ///< For people; empty when applied.
};

/// Counts since the reader began; for metrics.
struct replay_counts
{
    std::uint64_t applied = 0;
    std::uint64_t voided = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t malformed = 0;
    std::uint64_t unknownKinds = 0;
};

class replay
{
public:
    /// Begins a reader whose first record will be the earliest retained one, at offset `earliest`.
    explicit replay(log_offset earliest = 1);

    /// Applies the next record. Records at or below the highest offset seen are ignored, so a read
    /// may be repeated. Returns the record's outcome, or nothing when it was ignored, held back
    /// or of an unknown kind.
    std::optional<record_outcome> apply(const log_record &record);

    /// Returns true when the catalogue is complete: the reader began at offset 1 or has read a
    /// complete refresh. Until then, state() is empty.
    bool isComplete() const { return m_complete; }

    /// The catalogue after all records applied so far.
    const catalogue &state() const { return m_state; }

    /// Returns the highest offset read, whether applied or held back.
    log_offset lastOffset() const { return m_lastOffset; }

    const replay_counts &counts() const { return m_counts; }

    /// Returns what became of the first record with this id, if it is among the last
    /// DuplicateWindow offsets.
    std::optional<record_outcome> outcomeOf(const std::string &id) const;

    /// Returns the entries to refresh: all of them when the newest complete refresh, or the
    /// stream's start, is older than half the retention time, else none. A refresh covers every
    /// entry because a reader that starts from it must know of each whether it exists. Half leaves
    /// as much time again for an outage of the log before an entry is lost.
    std::vector<entry_id> dueForRefresh(log_time_ms now, log_time_ms retention) const;

    /// Returns whether a refresh is due, also when there is no entry.
    bool isRefreshDue(log_time_ms now, log_time_ms retention) const;

    /// Returns the records of a refresh of the current state, to be appended in order. `id` must be
    /// unique; the records' ids derive from it. Requires isComplete().
    std::vector<config_record> makeRefresh(
            const std::string &id, std::size_t entriesPerPart = RefreshEntriesPerPart) const;

private:
    /// The parts read so far of one refresh.
    struct partial_refresh
    {
        std::map<std::int64_t, refresh_record> parts;

        bool isComplete() const;
        log_offset asOf() const { return parts.begin()->second.asOf; }
    };

    /// When a record of the last DuplicateWindow offsets was appended, and its id if it had one.
    struct recent_record
    {
        log_offset offset = 0;
        log_time_ms time = 0;
        std::string id;
    };

    /// What a change replaced, to undo it.
    struct replaced_entry
    {
        entry_id entry;
        std::optional<versioned<entry_value>> before;
    };

    std::optional<record_outcome> recentOutcome(const std::string &id, log_offset offset) const;
    std::optional<record_outcome> hold(const log_record &record);
    std::optional<record_outcome> applyNow(const log_record &record);
    std::optional<record_outcome> malformed(const log_record &record,
                                            const basic_error<record_error> &error);
    std::optional<record_outcome> applyBody(log_offset offset, const record_body &body);
    record_outcome applyChange(log_offset offset, const change_record &change);
    record_outcome applyWithdrawal(log_offset offset, const key_withdraw_record &withdrawal);
    record_outcome refuse(log_offset offset, const entry_change &change, void_reason reason,
                          const std::string &text) const;
    std::optional<record_outcome> findConflict(log_offset offset,
                                               const change_record &change) const;
    void undo(const std::vector<replaced_entry> &replaced);
    std::optional<std::string> findBrokenReference(const change_record &change,
                                                   const std::vector<replaced_entry> &replaced,
                                                   std::size_t &culprit) const;
    bool addPart(log_offset offset, const refresh_record &part);
    void startFrom(const partial_refresh &refresh);
    void noteBaseline(log_offset asOf);
    void remember(const log_record &record, const std::string &id, const record_outcome &outcome);

    log_offset m_earliest;
    bool m_complete;
    log_offset m_lastOffset = 0;
    catalogue m_state;
    replay_counts m_counts;
    std::unordered_map<std::string, record_outcome> m_outcomes;
    std::deque<recent_record> m_recent;
    std::optional<log_time_ms> m_baselineTime; ///< Of the newest complete refresh, or the start.
    std::map<std::string, partial_refresh> m_refreshes;
    std::vector<log_record> m_held;
};

} // namespace burdockhold

#endif
