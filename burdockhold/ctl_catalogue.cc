#include "burdockhold/ctl_catalogue.h"

#include "burdockhold/ctl_session.h"

#include <nlohmann/json.hpp>

#include <set>

namespace burdockhold {

namespace {

using json = nlohmann::json;
using ordered_json = nlohmann::ordered_json;

constexpr std::size_t RecordIdBytes = 16;
constexpr int Indent = 2;

ctl_error badInput(const std::string &text, const std::string &where)
{
    return { ctl_exit::BadInput, text + "; nothing was sent", where };
}

std::string describe(const entry_id &id)
{
    return std::string(nameOf(id.kind)) + " " + id.name;
}

/// Parses JSON and refuses objects that give a field twice, of which the library keeps the last.
ctl_result<json> parseStrictly(std::string_view input, const std::string &fileName)
{
    std::vector<std::set<std::string>> open;
    std::string repeated;
    const auto observe = [&](int, json::parse_event_t event, json &value) {
        if (event == json::parse_event_t::object_start)
            open.emplace_back();
        else if (event == json::parse_event_t::object_end)
            open.pop_back();
        else if (event == json::parse_event_t::key
                 && !open.back().insert(value.get<std::string>()).second)
            repeated = value.get<std::string>();
        return true;
    };
    try {
        json parsed = json::parse(input, observe);
        if (!repeated.empty())
            return badInput("field " + repeated + " is given twice in one object", fileName);
        return parsed;
    } catch (const json::parse_error &error) {
        // The library's text begins with the name of its exception in brackets.
        const std::string text = error.what();
        return badInput(text.substr(text.find("] ") + 2), fileName);
    }
}

/// Returns the name of a field that is not in the list, or nothing.
std::optional<std::string> unknownField(const json &object, const std::set<std::string> &known)
{
    for (const auto &[name, value] : object.items()) {
        if (known.count(name) == 0)
            return name;
    }
    return std::nullopt;
}

ctl_result<file_entry> parseFileEntry(const json &item, const std::string &where)
{
    if (!item.is_object())
        return badInput("is no object", where);
    if (const auto field = unknownField(item, { "entry", "name", "base", "value" }))
        return badInput("unknown field " + *field, where);
    for (const char *field : { "entry", "name" }) {
        if (!item.contains(field) || !item[field].is_string())
            return badInput(std::string("field ") + field + " is missing or no text", where);
    }
    const auto kind = parseName<entry_kind>(item["entry"].get<std::string>());
    if (!kind)
        return badInput("unknown kind of entry " + item["entry"].get<std::string>(), where);
    file_entry entry;
    entry.id = { *kind, item["name"].get<std::string>() };
    if (entry.id.name.empty())
        return badInput("the name is empty", where);
    if (item.contains("base")) {
        if (!item["base"].is_number_unsigned())
            return badInput("field base is no version", where);
        entry.base = item["base"].get<log_offset>();
    }
    if (!item.contains("value"))
        return badInput("field value is missing; null removes the entry", where);
    if (item["value"].is_null())
        return entry;
    entry.value = item["value"].dump();
    const auto parsed = parseEntry(entry.id.kind, entry.id.name, *entry.value);
    if (!isOk(parsed))
        return badInput(errorOf(parsed).context + ": " + errorOf(parsed).text, where);
    return entry;
}

ctl_result<entry_kind> parseKind(const std::string &text)
{
    if (const auto kind = parseName<entry_kind>(text))
        return *kind;
    std::string known;
    for (const auto &row : enum_names<entry_kind>::Table)
        known += (known.empty() ? "" : ", ") + std::string(row.name);
    return ctl_error{ ctl_exit::Usage, "unknown kind of entry; known are " + known, text };
}

/// Checks the kind, then reads the config stream to its tail. Returns the entry's id.
ctl_result<entry_id> readForEntry(config_session &session, const std::string &kind,
                                  const std::string &name)
{
    const auto parsed = parseKind(kind);
    if (!isOk(parsed))
        return errorOf(parsed);
    const auto read = session.readToTail();
    if (!isOk(read))
        return errorOf(read);
    return entry_id{ valueOf(parsed), name };
}

std::string ownerOf(const entry_value &value)
{
    return std::visit([](const auto &entry) { return entry.owner; }, value);
}

log_offset currentVersion(const catalogue &state, const entry_id &id)
{
    const auto entry = findEntry(state, id);
    return entry ? entry->version : 0;
}

ordered_json describeEntry(const entry_id &id, const versioned<entry_value> &entry)
{
    ordered_json line;
    line["entry"] = nameOf(id.kind);
    line["name"] = id.name;
    line["version"] = entry.version;
    line["value"] = ordered_json::parse(formatEntry(entry.value));
    return line;
}

ctl_exit reportApplied(ctl_context &context, const config_record &record, log_offset version)
{
    const auto &changes = std::get<change_record>(record.body).changes;
    if (context.json) {
        ordered_json result;
        result["outcome"] = nameOf(outcome_kind::Applied);
        result["record"] = record.id;
        result["version"] = version;
        result["entries"] = ordered_json::array();
        for (const entry_change &change : changes) {
            result["entries"].push_back({ { "entry", nameOf(change.entry.kind) },
                                          { "name", change.entry.name },
                                          { "base", change.base },
                                          { "removed", !change.value } });
        }
        context.out << result.dump() << '\n';
        return ctl_exit::Done;
    }
    for (const entry_change &change : changes) {
        const char *verb = !change.value ? "removed " : change.base == 0 ? "created " : "changed ";
        context.out << verb << describe(change.entry) << '\n';
    }
    context.out << "applied as version " << version << '\n';
    return ctl_exit::Done;
}

/// Submits the changes as one record and reports its outcome.
ctl_exit submitChanges(ctl_context &context, config_session &session, change_record changes)
{
    const config_record record{ context.randomHex(RecordIdBytes), std::move(changes) };
    if (record.id.empty())
        return reportError(context,
                           { ctl_exit::Refused,
                             "the system's random generator failed; nothing was sent", "" });
    const auto version = session.submit(record);
    if (!isOk(version))
        return reportError(context, errorOf(version));
    return reportApplied(context, record, valueOf(version));
}

} // namespace

ctl_result<std::vector<file_entry>> parseCatalogueFile(std::string_view text,
                                                       const std::string &fileName)
{
    const auto parsed = parseStrictly(text, fileName);
    if (!isOk(parsed))
        return errorOf(parsed);
    const json &file = valueOf(parsed);
    if (!file.is_object() || !file.contains("entries") || !file["entries"].is_array())
        return badInput("has no list \"entries\"", fileName);
    if (const auto field = unknownField(file, { "entries" }))
        return badInput("unknown field " + *field, fileName);
    if (file["entries"].empty())
        return badInput("has no entries", fileName);
    std::vector<file_entry> entries;
    std::set<entry_id> seen;
    for (const json &item : file["entries"]) {
        const std::string where = fileName + ": entries[" + std::to_string(entries.size()) + "]";
        auto entry = parseFileEntry(item, where);
        if (!isOk(entry))
            return errorOf(entry);
        if (!seen.insert(valueOf(entry).id).second)
            return badInput(describe(valueOf(entry).id) + " occurs twice", where);
        entries.push_back(std::move(valueOf(entry)));
    }
    return entries;
}

ctl_exit applyCatalogue(ctl_context &context, const std::string &fileName)
{
    const auto text = readInputFile(fileName);
    if (!isOk(text))
        return reportError(context, errorOf(text));
    const auto entries = parseCatalogueFile(valueOf(text), fileName);
    if (!isOk(entries))
        return reportError(context, errorOf(entries));
    config_session session(context);
    const auto read = session.readToTail();
    if (!isOk(read))
        return reportError(context, errorOf(read));
    change_record changes;
    for (const file_entry &entry : valueOf(entries)) {
        const log_offset base = entry.base.value_or(currentVersion(session.state(), entry.id));
        changes.changes.push_back({ entry.id, base, entry.value });
    }
    return submitChanges(context, session, std::move(changes));
}

ctl_exit listCatalogue(ctl_context &context, const std::string &kind)
{
    std::optional<entry_kind> wanted;
    if (!kind.empty()) {
        const auto parsed = parseKind(kind);
        if (!isOk(parsed))
            return reportError(context, errorOf(parsed));
        wanted = valueOf(parsed);
    }
    config_session session(context);
    const auto read = session.readToTail();
    if (!isOk(read))
        return reportError(context, errorOf(read));
    ordered_json list = ordered_json::array();
    std::vector<std::vector<std::string>> rows{ { "KIND", "NAME", "VERSION", "OWNER" } };
    for (const entry_id &id : entryIds(session.state())) {
        if (wanted && id.kind != *wanted)
            continue;
        const auto entry = findEntry(session.state(), id);
        list.push_back(describeEntry(id, *entry));
        rows.push_back({ std::string(nameOf(id.kind)), id.name, std::to_string(entry->version),
                         ownerOf(entry->value) });
    }
    if (context.json)
        context.out << list.dump() << '\n';
    else
        context.out << formatTable(rows);
    return ctl_exit::Done;
}

ctl_exit showEntry(ctl_context &context, const std::string &kind, const std::string &name)
{
    config_session session(context);
    const auto read = readForEntry(session, kind, name);
    if (!isOk(read))
        return reportError(context, errorOf(read));
    const entry_id &id = valueOf(read);
    const auto entry = findEntry(session.state(), id);
    if (!entry)
        return reportError(context, { ctl_exit::NotFound, "no such entry", describe(id) });
    const ordered_json shown = describeEntry(id, *entry);
    context.out << (context.json ? shown.dump() : shown.dump(Indent)) << '\n';
    return ctl_exit::Done;
}

ctl_exit removeEntry(ctl_context &context, const std::string &kind, const std::string &name,
                     log_offset base)
{
    config_session session(context);
    const auto read = readForEntry(session, kind, name);
    if (!isOk(read))
        return reportError(context, errorOf(read));
    const entry_id &id = valueOf(read);
    if (!findEntry(session.state(), id))
        return reportError(context, { ctl_exit::NotFound, "no such entry", describe(id) });
    return submitChanges(context, session, { { { id, base, std::nullopt } } });
}

} // namespace burdockhold
