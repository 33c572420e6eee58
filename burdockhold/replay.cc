#include "burdockhold/replay.h"

#include <algorithm>
#include <set>

namespace burdockhold {

namespace {

record_outcome appliedAt(log_offset offset)
{
    record_outcome outcome;
    outcome.offset = offset;
    return outcome;
}

std::string describe(const entry_id &id)
{
    return std::string(nameOf(id.kind)) + " " + id.name;
}

log_offset currentVersion(const catalogue &state, const entry_id &id)
{
    const auto entry = findEntry(state, id);
    return entry ? entry->version : 0;
}

bool isWithdrawn(const catalogue &state, const entry_id &id)
{
    if (id.kind != entry_kind::Key)
        return false;
    const auto found = state.keys.find(id.name);
    return found != state.keys.end() && found->second.value.withdrawn;
}

/// Returns whether a change can break references of entries that it does not touch.
bool mayOrphan(const entry_change &change, const std::optional<versioned<entry_value>> &before,
               const catalogue &after)
{
    if (!before)
        return false;
    if (!change.value)
        return true;
    const auto *endpoint = std::get_if<endpoint_entry>(&before->value);
    return endpoint != nullptr
           && endpoint->pool != after.endpoints.at(change.entry.name).value.pool;
}

} // namespace

replay::replay(log_offset earliest)
    : m_earliest(earliest)
    , m_complete(earliest <= 1)
{
}

std::optional<record_outcome> replay::apply(const log_record &record)
{
    if (record.offset <= m_lastOffset)
        return std::nullopt;
    m_lastOffset = record.offset;
    return m_complete ? applyNow(record) : hold(record);
}

std::optional<record_outcome> replay::outcomeOf(const std::string &id) const
{
    return recentOutcome(id, m_state.offset);
}

/// Returns what became of an id that a record at `offset` would repeat.
std::optional<record_outcome> replay::recentOutcome(const std::string &id, log_offset offset) const
{
    const auto found = m_outcomes.find(id);
    if (found == m_outcomes.end() || found->second.offset + DuplicateWindow <= offset)
        return std::nullopt;
    return found->second;
}

/// Keeps a record until a complete refresh tells where to start.
std::optional<record_outcome> replay::hold(const log_record &record)
{
    m_held.push_back(record);
    const auto parsed = parseRecord(record.data);
    if (!isOk(parsed))
        return std::nullopt;
    const auto *part = std::get_if<refresh_record>(&valueOf(parsed).body);
    if (part == nullptr || part->asOf + 1 < m_earliest || !addPart(record.offset, *part))
        return std::nullopt;
    const partial_refresh refresh = std::move(m_refreshes.at(part->refresh));
    startFrom(refresh);
    return std::nullopt;
}

/// Files a part of a refresh. Returns true when it completes the refresh.
bool replay::addPart(log_offset offset, const refresh_record &part)
{
    if (part.asOf >= offset)
        return false;
    partial_refresh &refresh = m_refreshes[part.refresh];
    if (!refresh.parts.empty()) {
        const refresh_record &first = refresh.parts.begin()->second;
        if (first.asOf != part.asOf || first.parts != part.parts)
            return false;
    }
    refresh_record &filed = refresh.parts[part.part];
    filed = part;
    if (m_complete) {
        filed.entries.clear();
        filed.recentIds.clear();
    }
    return refresh.isComplete();
}

bool replay::partial_refresh::isComplete() const
{
    return !parts.empty() && std::int64_t(parts.size()) == parts.begin()->second.parts;
}

void replay::startFrom(const partial_refresh &refresh)
{
    m_complete = true;
    m_refreshes.clear();
    std::vector<log_record> held;
    held.swap(m_held);
    const log_offset asOf = refresh.asOf();
    m_state.offset = asOf;
    for (const auto &[number, part] : refresh.parts) {
        for (const refreshed_entry &entry : part.entries) {
            auto value = parseEntry(entry.entry.kind, entry.entry.name, entry.value);
            if (isOk(value))
                putEntry(m_state, entry.entry.name, entry.version, std::move(valueOf(value)));
            else
                ++m_counts.malformed;
        }
        for (const refreshed_id &id : part.recentIds) {
            record_outcome outcome = appliedAt(id.offset);
            outcome.kind = id.kind;
            m_outcomes[id.id] = outcome;
            m_recent.push_back({ id.offset, held.front().time, id.id });
        }
    }
    const auto first = std::find_if(held.begin(), held.end(),
                                    [&](const log_record &r) { return r.offset > asOf; });
    m_baselineTime = first->time;
    std::for_each(first, held.end(), [this](const log_record &record) { applyNow(record); });
}

std::optional<record_outcome> replay::applyNow(const log_record &record)
{
    if (!m_baselineTime)
        m_baselineTime = record.time;
    m_state.offset = record.offset;
    const auto parsed = parseRecord(record.data);
    if (!isOk(parsed))
        return malformed(record, errorOf(parsed));
    const config_record &content = valueOf(parsed);
    if (const auto earlier = recentOutcome(content.id, record.offset)) {
        ++m_counts.duplicates;
        record_outcome outcome = appliedAt(record.offset);
        outcome.kind = outcome_kind::Duplicate;
        outcome.text = "the record with this id is at offset " + std::to_string(earlier->offset);
        return outcome;
    }
    auto outcome = applyBody(record.offset, content.body);
    remember(record, content.id, outcome.value_or(appliedAt(record.offset)));
    if (outcome)
        ++(outcome->kind == outcome_kind::Applied ? m_counts.applied : m_counts.voided);
    if (const auto *part = std::get_if<refresh_record>(&content.body)) {
        if (addPart(record.offset, *part)) {
            noteBaseline(part->asOf);
            m_refreshes.clear();
        }
    }
    return outcome;
}

std::optional<record_outcome> replay::malformed(const log_record &record,
                                                const basic_error<record_error> &error)
{
    ++m_counts.malformed;
    record_outcome outcome = appliedAt(record.offset);
    outcome.kind = outcome_kind::Malformed;
    outcome.text = error.text;
    const bool isFirst = !error.context.empty() && !recentOutcome(error.context, record.offset);
    remember(record, isFirst ? error.context : std::string(), outcome);
    return outcome;
}

std::optional<record_outcome> replay::applyBody(log_offset offset, const record_body &body)
{
    using optional_outcome = std::optional<record_outcome>;
    return std::visit(
            overloaded{
                    [&](const change_record &change) -> optional_outcome {
                        return applyChange(offset, change);
                    },
                    [&](const key_withdraw_record &withdrawal) -> optional_outcome {
                        return applyWithdrawal(offset, withdrawal);
                    },
                    [&](const refresh_record &) -> optional_outcome { return appliedAt(offset); },
                    [&](const unknown_record &) -> optional_outcome {
                        ++m_counts.unknownKinds;
                        return std::nullopt;
                    },
            },
            body);
}

record_outcome replay::refuse(log_offset offset, const entry_change &change, void_reason reason,
                              const std::string &text) const
{
    record_outcome outcome = appliedAt(offset);
    outcome.kind = outcome_kind::Void;
    outcome.reason = reason;
    outcome.entry = change.entry;
    outcome.base = change.base;
    outcome.current = currentVersion(m_state, change.entry);
    outcome.text = text;
    return outcome;
}

std::optional<record_outcome> replay::findConflict(log_offset offset,
                                                   const change_record &change) const
{
    for (const entry_change &item : change.changes) {
        const std::string entry = describe(item.entry);
        if (isWithdrawn(m_state, item.entry))
            return refuse(offset, item, void_reason::KeyWithdrawn,
                          entry + " is withdrawn for good");
        const log_offset current = currentVersion(m_state, item.entry);
        if (item.base != current)
            return refuse(offset, item, void_reason::BaseNotCurrent,
                          entry + " has version " + std::to_string(current)
                                  + "; the change is based on " + std::to_string(item.base));
        if (!item.value && item.entry.kind == entry_kind::Key)
            return refuse(offset, item, void_reason::KeyRemoval, "a key is withdrawn, not removed");
        if (!item.value && current == 0)
            return refuse(offset, item, void_reason::InvalidValue, entry + " does not exist");
    }
    return std::nullopt;
}

/// Sets the entries one by one and undoes them all when one cannot stand.
record_outcome replay::applyChange(log_offset offset, const change_record &change)
{
    if (auto conflict = findConflict(offset, change))
        return *conflict;
    std::vector<replaced_entry> replaced;
    std::set<entry_id> touched;
    for (const entry_change &item : change.changes) {
        std::optional<std::string> fault;
        if (!touched.insert(item.entry).second)
            fault = describe(item.entry) + " occurs twice in one change";
        replaced.push_back({ item.entry, findEntry(m_state, item.entry) });
        if (!fault && item.value) {
            auto value = parseEntry(item.entry.kind, item.entry.name, *item.value);
            if (isOk(value))
                putEntry(m_state, item.entry.name, offset, std::move(valueOf(value)));
            else
                fault = errorOf(value).context + ": " + errorOf(value).text;
        } else if (!fault) {
            eraseEntry(m_state, item.entry);
        }
        if (fault) {
            undo(replaced);
            return refuse(offset, item, void_reason::InvalidValue, *fault);
        }
    }
    std::size_t culprit = 0;
    if (const auto fault = findBrokenReference(change, replaced, culprit)) {
        undo(replaced);
        return refuse(offset, change.changes[culprit], void_reason::UnknownReference, *fault);
    }
    return appliedAt(offset);
}

void replay::undo(const std::vector<replaced_entry> &replaced)
{
    for (auto item = replaced.rbegin(); item != replaced.rend(); ++item) {
        if (item->before)
            putEntry(m_state, item->entry.name, item->before->version, item->before->value);
        else
            eraseEntry(m_state, item->entry);
    }
}

/// Checks the entries that a change set, and all others if it may have orphaned one. `culprit`
/// becomes the index of the change to blame.
std::optional<std::string> replay::findBrokenReference(const change_record &change,
                                                       const std::vector<replaced_entry> &replaced,
                                                       std::size_t &culprit) const
{
    for (std::size_t i = 0; i < change.changes.size(); ++i) {
        culprit = i;
        const entry_change &item = change.changes[i];
        const bool checksAll = mayOrphan(item, replaced[i].before, m_state);
        const auto entry = findEntry(m_state, item.entry);
        if (!checksAll && !entry)
            continue;
        const auto checked = checksAll ? checkReferences(m_state)
                                       : checkReferences(m_state, item.entry.name, entry->value);
        if (!isOk(checked))
            return errorOf(checked).context + ": " + errorOf(checked).text;
    }
    return std::nullopt;
}

record_outcome replay::applyWithdrawal(log_offset offset, const key_withdraw_record &withdrawal)
{
    const auto found = m_state.keys.find(withdrawal.digest);
    key_entry key = found == m_state.keys.end() ? key_entry() : found->second.value;
    if (!key.withdrawn) {
        key.withdrawn = true;
        putEntry(m_state, withdrawal.digest, offset, key);
    }
    return appliedAt(offset);
}

/// A refresh stays usable while the record after its asOf is retained, so that record's age counts.
void replay::noteBaseline(log_offset asOf)
{
    if (m_recent.empty() || m_recent.front().offset > asOf + 1)
        return;
    const auto next = std::find_if(m_recent.begin(), m_recent.end(),
                                   [&](const recent_record &r) { return r.offset > asOf; });
    if (next != m_recent.end())
        m_baselineTime = std::max(*m_baselineTime, next->time);
}

void replay::remember(const log_record &record, const std::string &id,
                      const record_outcome &outcome)
{
    m_recent.push_back({ record.offset, record.time, id });
    if (!id.empty())
        m_outcomes[id] = outcome;
    while (m_recent.front().offset + DuplicateWindow <= record.offset) {
        const auto found = m_outcomes.find(m_recent.front().id);
        if (found != m_outcomes.end() && found->second.offset == m_recent.front().offset)
            m_outcomes.erase(found);
        m_recent.pop_front();
    }
}

bool replay::isRefreshDue(log_time_ms now, log_time_ms retention) const
{
    return m_complete && m_baselineTime && now - *m_baselineTime >= retention / 2;
}

std::vector<entry_id> replay::dueForRefresh(log_time_ms now, log_time_ms retention) const
{
    return isRefreshDue(now, retention) ? entryIds(m_state) : std::vector<entry_id>();
}

std::vector<config_record> replay::makeRefresh(const std::string &id,
                                               std::size_t entriesPerPart) const
{
    refresh_record empty;
    empty.refresh = id;
    empty.asOf = m_state.offset;
    std::vector<refresh_record> parts(1, empty);
    for (const entry_id &name : entryIds(m_state)) {
        if (parts.back().entries.size() == entriesPerPart)
            parts.push_back(empty);
        const auto entry = findEntry(m_state, name);
        parts.back().entries.push_back({ name, entry->version, formatEntry(entry->value) });
    }
    for (const recent_record &recent : m_recent) {
        const auto found = m_outcomes.find(recent.id);
        if (found != m_outcomes.end() && found->second.offset == recent.offset)
            parts.front().recentIds.push_back({ recent.id, recent.offset, found->second.kind });
    }
    std::vector<config_record> records;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].part = std::int64_t(i);
        parts[i].parts = std::int64_t(parts.size());
        records.push_back({ id + "-" + std::to_string(i), std::move(parts[i]) });
    }
    return records;
}

} // namespace burdockhold
