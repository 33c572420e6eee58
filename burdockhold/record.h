#ifndef BURDOCKHOLD_RECORD_H
#define BURDOCKHOLD_RECORD_H

// Records of the config stream and their JSON codec. A record has an id, which its writer chooses
// and repeats when it appends the same record again after a lost answer, and a body whose kind
// decides what replay does with it (see replay.h). Parsing checks the form of a record only; the
// values of entries stay JSON text until replay parses them. A kind is added with an aggregate, an
// alternative of record_body, a row in the table of record.cc and a case in replay.

#include "burdockhold/catalogue.h"
#include "burdockhold/clock.h"
#include "burdockhold/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockhold {

/// One entry that a change sets or removes.
struct entry_change
{
    entry_id entry;
    log_offset base = 0;              ///< Version that the change replaces; 0 for a new entry.
    std::optional<std::string> value; ///< JSON text of the entry; nothing removes it.
};

/// Takes effect as a whole, and only if the base of each of its entries is the current version.
struct change_record
{
    std::vector<entry_change> changes;
};

/// Withdraws a key for good, whatever its version, even when no such key is known.
struct key_withdraw_record
{
    std::string digest;
};

/// What became of a record. Duplicate stands for a record whose id was seen before.
enum class outcome_kind { Applied, Void, Duplicate, Malformed };

template <>
struct enum_names<outcome_kind>
{
    static constexpr std::array<enum_name<outcome_kind>, 4> Table{ {
            { outcome_kind::Applied, "applied" },
            { outcome_kind::Void, "void" },
            { outcome_kind::Duplicate, "duplicate" },
            { outcome_kind::Malformed, "malformed" },
    } };
};

/// An entry as it stood at the refresh's asOf.
struct refreshed_entry
{
    entry_id entry;
    log_offset version = 0;
    std::string value; ///< JSON text.
};

/// The id of a recent record and what became of it.
struct refreshed_id
{
    std::string id;
    log_offset offset = 0;
    outcome_kind kind = outcome_kind::Applied;
};

/// One part of a refresh: the live entries with their unchanged versions, and the recent record
/// ids, after all records up to and including `asOf`. A reader that begins after retention has
/// dropped older records starts from a refresh whose parts it has all read.
struct refresh_record
{
    std::string refresh; ///< Shared by the parts of one refresh.
    log_offset asOf = 0;
    std::int64_t part = 0;  ///< 0 to parts - 1.
    std::int64_t parts = 1; ///< 1 to MaxRefreshParts.
    std::vector<refreshed_entry> entries;
    std::vector<refreshed_id> recentIds;
};

constexpr std::int64_t MaxRefreshParts = 10000;

/// A record of a kind that this release does not know. Replay skips and counts it.
struct unknown_record
{
    std::string kind;
};

using record_body =
        std::variant<change_record, key_withdraw_record, refresh_record, unknown_record>;

struct config_record
{
    std::string id; ///< Unique; 1 to 128 bytes.
    record_body body;
};

/// A record as the log service returns it.
struct log_record
{
    log_offset offset = 0;
    log_time_ms time = 0;
    std::string data;
};

enum class record_error {
    NotJson,  ///< The text is no JSON object.
    NoId,     ///< The id is missing or out of bounds.
    BadField, ///< A field is missing, unknown, of the wrong type or out of bounds.
};

/// Parses one record. The error's context is the record's id where it has one.
result<config_record, record_error> parseRecord(std::string_view text);

/// Returns the JSON text of a record, on one line. An unknown_record gets its kind only.
std::string formatRecord(const config_record &record);

} // namespace burdockhold

#endif
