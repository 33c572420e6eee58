#ifndef BURDOCKHOLD_VERSION_MOVE_H
#define BURDOCKHOLD_VERSION_MOVE_H

// Moves of a model's traffic from one weights version to another by a deadline (design 2.6). A
// move, its stages and its end are records in the config stream. Every VM applies the same records
// in the order of their offsets and reaches the same state; a record that breaks a rule is void for
// all. Choosing a version for a request depends only on that state and on the request's id. Nothing
// here fails except parsing.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/result.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockhold {

/// Starts a move at the first stage. Void while another move of the model runs, when basedOn is not
/// the offset of the model's latest record (0 when it has none), and when `from` is not the version
/// that the previous move left.
struct move_record
{
    std::string model;
    std::string from;
    std::string to;
    log_time_ms deadline = 0;
    log_offset basedOn = 0;
};

/// Starts the next stage; stage number FinalStage ends the move with success. Void unless it
/// follows the current stage, whose record's offset is basedOn.
struct stage_record
{
    log_offset move = 0;
    int stage = 0;
    log_offset basedOn = 0;
    std::string evidence;
};

/// Ends a move for good because the new version is bad. Void once the move has ended.
struct halt_record
{
    log_offset move = 0;
    std::string reason;
    std::string evidence;
};

/// Ends a move for good on an operator's request. Void once the move has ended.
struct abort_record
{
    log_offset move = 0;
    std::string reason;
};

using version_record = std::variant<move_record, stage_record, halt_record, abort_record>;

enum class version_record_error { Malformed, UnknownKind, UnknownField, MissingField, BadValue };

/// Parses a record's JSON text; the field "id" is allowed and left to the caller. Errors name the
/// field in their context.
result<version_record, version_record_error> parseVersionRecord(std::string_view json);

/// Returns the JSON text of a record, which parseVersionRecord() reads back to an equal value.
std::string formatVersionRecord(const version_record &record);

/// Requests of each stage that get the new version, in hundredths of a percent.
constexpr std::array<unsigned, 4> StageShares{ 100, 500, 2500, 10000 };
constexpr unsigned FullShare = 10000;

/// Number of the stage record that ends a move with success.
constexpr int FinalStage = static_cast<int>(StageShares.size());

enum class move_phase { Running, Done, Halted, Aborted };

template <>
struct enum_names<move_phase>
{
    static constexpr std::array<enum_name<move_phase>, 4> Table{ {
            { move_phase::Running, "running" },
            { move_phase::Done, "done" },
            { move_phase::Halted, "halted" },
            { move_phase::Aborted, "aborted" },
    } };
};

/// The latest move of one model.
struct move_state
{
    log_offset offset = 0; ///< Of the move record; identifies the move.
    std::string model;
    std::string from;
    std::string to;
    log_time_ms deadline = 0;
    move_phase phase = move_phase::Running;
    int stage = 0;
    log_offset latest = 0; ///< Offset of the latest record in force; fencing number of orders.
    log_time_ms stageSince = 0;
    std::string reason; ///< Why it was halted or aborted.
};

/// All moves after the stream has been applied up to `offset`.
struct version_moves
{
    log_offset offset = 0;
    std::map<std::string, move_state, std::less<>> byModel;
};

enum class record_effect { Applied, Void };

/// Applies one record. Offsets at or below moves.offset are void, so that applying a stretch of the
/// stream twice changes nothing.
record_effect applyVersionRecord(version_moves &moves, log_offset offset, log_time_ms time,
                                 const version_record &record);

/// Which weights version a request gets.
struct version_choice
{
    std::string wanted;
    std::string alternative; ///< Permitted when no endpoint reports `wanted`; empty for none. It is
                             ///< the old version while a move runs, never the new one.
    log_offset move = 0;
    int stage = 0;
    bool isNew = false;
};

/// Chooses by hash of the request's id, alike on each VM. A request that a stage gives the new
/// version also gets it in later stages. haltedHere sends every request to the old version.
version_choice chooseVersion(const move_state &move, std::string_view requestId, bool haltedHere);

/// When the next stage may and should start.
struct stage_window
{
    log_time_ms earliest = 0; ///< Not before, even with enough evidence.
    log_time_ms latest = 0;   ///< From then on without full evidence, unless it points to a flaw.
};

/// Divides the time left before the deadline evenly among the remaining stages. DeadlineReserve of
/// it, and at least StageReserve for each remaining stage, is kept back. A stage lasts at least
/// half of its part and ShortestStage, so that deadlines of 36 s or more after the move can be
/// kept.
stage_window planStage(const move_state &move);

constexpr duration ShortestStage = std::chrono::seconds(5);
constexpr double DeadlineReserve = 0.1;

/// One log poll (2 s) for the previous record to be seen, and as much for the next proposal.
constexpr duration StageReserve = std::chrono::seconds(4);

/// Returns the live VMs in the order in which they take the turn for `key`, by rendezvous hash.
std::vector<std::string> turnOrder(std::vector<std::string> vms, std::string_view key);

/// Returns the place of vm in the turn order, or nothing when it is not live.
std::optional<std::size_t> turnOf(const std::string &vm, const std::vector<std::string> &vms,
                                  std::string_view key);

} // namespace burdockhold

#endif
