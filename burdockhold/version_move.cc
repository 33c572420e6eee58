#include "burdockhold/version_move.h"

#include "burdockhold/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace burdockhold {

namespace {

using nlohmann::json;
using failure = basic_error<version_record_error>;

/// Reads the fields of one record and remembers the first failure.
class field_reader
{
public:
    explicit field_reader(const json &record)
        : m_record(record)
    {
    }

    void read(const char *name, std::string &target, bool mayBeEmpty = true)
    {
        const json *value = find(name);
        if (value == nullptr)
            return;
        if (!value->is_string() || (!mayBeEmpty && value->get_ref<const std::string &>().empty()))
            return fail(version_record_error::BadValue, name);
        target = value->get<std::string>();
    }

    template <typename Integer>
    void readInteger(const char *name, Integer &target, std::int64_t lowest, std::int64_t highest)
    {
        const json *value = find(name);
        if (value == nullptr)
            return;
        if (!value->is_number_integer()
            || (value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX))
            return fail(version_record_error::BadValue, name);
        const auto number = value->get<std::int64_t>();
        if (number < lowest || number > highest)
            return fail(version_record_error::BadValue, name);
        target = static_cast<Integer>(number);
    }

    template <typename Record>
    result<version_record, version_record_error> finish(Record record)
    {
        // The kind was read by the caller; "id" belongs to the envelope.
        const std::size_t envelope = 1 + m_record.count("id");
        if (!m_failure && m_record.size() != m_found + envelope)
            fail(version_record_error::UnknownField, m_record.value("kind", "").c_str());
        if (m_failure)
            return *m_failure;
        return version_record(std::move(record));
    }

private:
    const json *find(const char *name)
    {
        const auto value = m_record.find(name);
        if (value == m_record.end()) {
            fail(version_record_error::MissingField, name);
            return nullptr;
        }
        ++m_found;
        return &*value;
    }

    void fail(version_record_error code, const char *name)
    {
        if (!m_failure)
            m_failure = failure{ code, "the field is unknown, missing or out of bounds", name };
    }

    const json &m_record;
    std::size_t m_found = 0;
    std::optional<failure> m_failure;
};

result<version_record, version_record_error> parseMove(const json &source)
{
    field_reader reader(source);
    move_record record;
    reader.read("model", record.model, false);
    reader.read("from", record.from, false);
    reader.read("to", record.to, false);
    reader.readInteger("deadline", record.deadline, 0, INT64_MAX);
    reader.readInteger("based_on", record.basedOn, 0, INT64_MAX);
    return reader.finish(std::move(record));
}

result<version_record, version_record_error> parseStage(const json &source)
{
    field_reader reader(source);
    stage_record record;
    reader.readInteger("move", record.move, 1, INT64_MAX);
    reader.readInteger("stage", record.stage, 1, FinalStage);
    reader.readInteger("based_on", record.basedOn, 1, INT64_MAX);
    reader.read("evidence", record.evidence);
    return reader.finish(std::move(record));
}

result<version_record, version_record_error> parseHalt(const json &source)
{
    field_reader reader(source);
    halt_record record;
    reader.readInteger("move", record.move, 1, INT64_MAX);
    reader.read("reason", record.reason);
    reader.read("evidence", record.evidence);
    return reader.finish(std::move(record));
}

result<version_record, version_record_error> parseAbort(const json &source)
{
    field_reader reader(source);
    abort_record record;
    reader.readInteger("move", record.move, 1, INT64_MAX);
    reader.read("reason", record.reason);
    return reader.finish(std::move(record));
}

move_state *findRunning(version_moves &moves, log_offset move)
{
    for (auto &[model, state] : moves.byModel) {
        if (state.offset == move && state.phase == move_phase::Running)
            return &state;
    }
    return nullptr;
}

std::string versionInForce(const move_state &move)
{
    return move.phase == move_phase::Done ? move.to : move.from;
}

bool startMove(version_moves &moves, log_offset offset, log_time_ms time, const move_record &record)
{
    const auto previous = moves.byModel.find(record.model);
    if (previous == moves.byModel.end()) {
        if (record.basedOn != 0)
            return false;
    } else {
        const move_state &before = previous->second;
        if (before.phase == move_phase::Running || before.latest != record.basedOn
            || versionInForce(before) != record.from)
            return false;
    }
    if (record.from == record.to || record.deadline <= time)
        return false;
    move_state state;
    state.offset = offset;
    state.model = record.model;
    state.from = record.from;
    state.to = record.to;
    state.deadline = record.deadline;
    state.latest = offset;
    state.stageSince = time;
    moves.byModel[record.model] = std::move(state);
    return true;
}

bool startStage(version_moves &moves, log_offset offset, log_time_ms time,
                const stage_record &record)
{
    move_state *state = findRunning(moves, record.move);
    if (state == nullptr || state->latest != record.basedOn || record.stage != state->stage + 1)
        return false;
    state->stage = record.stage;
    state->latest = offset;
    state->stageSince = time;
    if (record.stage == FinalStage)
        state->phase = move_phase::Done;
    return true;
}

bool endMove(version_moves &moves, log_offset offset, log_offset move, move_phase phase,
             const std::string &reason)
{
    move_state *state = findRunning(moves, move);
    if (state == nullptr)
        return false;
    state->phase = phase;
    state->latest = offset;
    state->reason = reason;
    return true;
}

} // namespace

result<version_record, version_record_error> parseVersionRecord(std::string_view text)
{
    const json source = json::parse(text.begin(), text.end(), nullptr, false);
    if (!source.is_object())
        return failure{ version_record_error::Malformed, "a record is a JSON object", {} };
    const auto kind = source.find("kind");
    if (kind == source.end() || !kind->is_string())
        return failure{ version_record_error::MissingField, "a record has a kind", "kind" };
    const auto name = kind->get<std::string>();
    if (name == "move")
        return parseMove(source);
    if (name == "stage")
        return parseStage(source);
    if (name == "halt")
        return parseHalt(source);
    if (name == "abort")
        return parseAbort(source);
    return failure{ version_record_error::UnknownKind, "unknown kind of record", name };
}

std::string formatVersionRecord(const version_record &record)
{
    const json out = std::visit(
            overloaded{ [](const move_record &r) {
                           return json{ { "kind", "move" },         { "model", r.model },
                                        { "from", r.from },         { "to", r.to },
                                        { "deadline", r.deadline }, { "based_on", r.basedOn } };
                       },
                        [](const stage_record &r) {
                            return json{ { "kind", "stage" },
                                         { "move", r.move },
                                         { "stage", r.stage },
                                         { "based_on", r.basedOn },
                                         { "evidence", r.evidence } };
                        },
                        [](const halt_record &r) {
                            return json{ { "kind", "halt" },
                                         { "move", r.move },
                                         { "reason", r.reason },
                                         { "evidence", r.evidence } };
                        },
                        [](const abort_record &r) {
                            return json{ { "kind", "abort" },
                                         { "move", r.move },
                                         { "reason", r.reason } };
                        } },
            record);
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

record_effect applyVersionRecord(version_moves &moves, log_offset offset, log_time_ms time,
                                 const version_record &record)
{
    if (offset <= moves.offset)
        return record_effect::Void;
    moves.offset = offset;
    const bool applied = std::visit(
            overloaded{ [&](const move_record &r) { return startMove(moves, offset, time, r); },
                        [&](const stage_record &r) { return startStage(moves, offset, time, r); },
                        [&](const halt_record &r) {
                            return endMove(moves, offset, r.move, move_phase::Halted, r.reason);
                        },
                        [&](const abort_record &r) {
                            return endMove(moves, offset, r.move, move_phase::Aborted, r.reason);
                        } },
            record);
    return applied ? record_effect::Applied : record_effect::Void;
}

version_choice chooseVersion(const move_state &move, std::string_view requestId, bool haltedHere)
{
    version_choice choice;
    choice.move = move.offset;
    choice.stage = move.stage;
    if (move.phase == move_phase::Done) {
        choice.wanted = move.to;
        choice.isNew = true;
        return choice;
    }
    if (move.phase == move_phase::Running && !haltedHere) {
        const unsigned share = StageShares[static_cast<std::size_t>(move.stage)];
        choice.isNew = hash64(requestId, move.offset) % FullShare < share;
    }
    choice.wanted = choice.isNew ? move.to : move.from;
    if (choice.isNew)
        choice.alternative = move.from;
    return choice;
}

stage_window planStage(const move_state &move)
{
    const auto shortest = std::chrono::milliseconds(
            std::chrono::duration_cast<std::chrono::milliseconds>(ShortestStage));
    const int stages = std::max(1, FinalStage - move.stage);
    const auto left = static_cast<double>(
            std::max<log_time_ms>(move.deadline - move.stageSince, 0));
    const std::chrono::milliseconds forLog = std::chrono::duration_cast<std::chrono::milliseconds>(
                                                     StageReserve)
                                             * stages;
    const double reserve = std::max(left * DeadlineReserve, static_cast<double>(forLog.count()));
    const double part = std::max(0.0, left - reserve) / stages;
    stage_window window;
    window.latest = move.stageSince
                    + std::max<log_time_ms>(static_cast<log_time_ms>(part), shortest.count());
    window.earliest = move.stageSince
                      + std::max<log_time_ms>(static_cast<log_time_ms>(part / 2), shortest.count());
    return window;
}

std::vector<std::string> turnOrder(std::vector<std::string> vms, std::string_view key)
{
    const std::uint64_t seed = hash64(key);
    std::sort(vms.begin(), vms.end(), [seed](const std::string &left, const std::string &right) {
        const std::uint64_t a = hash64(left, seed);
        const std::uint64_t b = hash64(right, seed);
        return a != b ? a > b : left < right;
    });
    return vms;
}

std::optional<std::size_t> turnOf(const std::string &vm, const std::vector<std::string> &vms,
                                  std::string_view key)
{
    const std::vector<std::string> order = turnOrder(vms, key);
    const auto found = std::find(order.begin(), order.end(), vm);
    if (found == order.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - order.begin());
}

} // namespace burdockhold
