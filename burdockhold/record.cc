#include "burdockhold/record.h"

#include "burdockhold/json_depth.h"

#include <nlohmann/json.hpp>

#include <array>
#include <set>

namespace burdockhold {

namespace {

using json = nlohmann::json;

constexpr std::size_t MaxIdBytes = 128;

/// Reads fields of one object and remembers whether one was bad.
class field_reader
{
public:
    explicit field_reader(const json &object)
        : m_object(object)
    {
        if (!object.is_object())
            fail("is no object", "record");
    }

    const json *item(const char *name)
    {
        m_known.insert(name);
        if (m_object.is_object() && m_object.contains(name))
            return &m_object[name];
        fail("is missing", name);
        return nullptr;
    }

    void text(const char *name, std::string &value)
    {
        const json *found = item(name);
        if (found == nullptr)
            return;
        if (!found->is_string())
            return fail("must be a string", name);
        value = found->get<std::string>();
    }

    template <typename Integer>
    void number(const char *name, Integer &value)
    {
        const json *found = item(name);
        if (found == nullptr)
            return;
        if (!found->is_number_unsigned())
            return fail("must be a whole number from 0", name);
        value = found->get<Integer>();
    }

    template <typename Enum>
    void choice(const char *name, Enum &value)
    {
        std::string text;
        this->text(name, text);
        const auto parsed = parseName<Enum>(text);
        if (!parsed)
            return fail("has an unknown value", name);
        value = *parsed;
    }

    /// Reads every element of an array with `read`, which takes a field_reader and the element.
    template <typename Element, typename Function>
    void list(const char *name, std::vector<Element> &values, Function read)
    {
        const json *found = item(name);
        if (found == nullptr)
            return;
        if (!found->is_array())
            return fail("must be an array", name);
        for (const json &element : *found) {
            field_reader reader(element);
            values.emplace_back();
            read(reader, values.back());
            reader.finish();
            if (m_error.empty())
                m_error = reader.m_error;
        }
    }

    void fail(const std::string &fault, const std::string &name)
    {
        if (m_error.empty())
            m_error = "field " + name + " " + fault;
    }

    /// Refuses fields that were not read.
    void finish()
    {
        if (!m_object.is_object())
            return;
        for (const auto &field : m_object.items()) {
            if (m_known.count(field.key()) == 0)
                fail("is not a known field", field.key());
        }
    }

    const std::string &error() const { return m_error; }

private:
    const json &m_object;
    std::set<std::string> m_known;
    std::string m_error;
};

void readEntryId(field_reader &reader, entry_id &id)
{
    reader.choice("entry", id.kind);
    reader.text("name", id.name);
}

void writeEntryId(json &object, const entry_id &id)
{
    object["entry"] = std::string(nameOf(id.kind));
    object["name"] = id.name;
}

json parsedValue(const std::string &text)
{
    return json::parse(text, nullptr, false);
}

void readChange(field_reader &reader, entry_change &change)
{
    readEntryId(reader, change.entry);
    reader.number("base", change.base);
    const json *value = reader.item("value");
    if (value != nullptr && !value->is_null())
        change.value = value->dump();
}

void readBody(field_reader &reader, change_record &body)
{
    reader.list("changes", body.changes, readChange);
    if (body.changes.empty())
        reader.fail("must not be empty", "changes");
}

void writeBody(json &object, const change_record &body)
{
    object["changes"] = json::array();
    for (const entry_change &change : body.changes) {
        json item;
        writeEntryId(item, change.entry);
        item["base"] = change.base;
        item["value"] = change.value ? parsedValue(*change.value) : json();
        object["changes"].push_back(std::move(item));
    }
}

void readBody(field_reader &reader, key_withdraw_record &body)
{
    reader.text("digest", body.digest);
    if (!isKeyDigest(body.digest))
        reader.fail("must be a SHA-256 digest in lower-case hexadecimal", "digest");
}

void writeBody(json &object, const key_withdraw_record &body)
{
    object["digest"] = body.digest;
}

void readBody(field_reader &reader, refresh_record &body)
{
    reader.text("refresh", body.refresh);
    reader.number("as_of", body.asOf);
    reader.number("part", body.part);
    reader.number("parts", body.parts);
    reader.list("entries", body.entries, [](field_reader &item, refreshed_entry &entry) {
        readEntryId(item, entry.entry);
        item.number("version", entry.version);
        if (const json *value = item.item("value"))
            entry.value = value->dump();
    });
    reader.list("recent_ids", body.recentIds, [](field_reader &item, refreshed_id &id) {
        item.text("id", id.id);
        item.number("offset", id.offset);
        item.choice("outcome", id.kind);
    });
    if (body.parts < 1 || body.parts > MaxRefreshParts || body.part < 0 || body.part >= body.parts)
        reader.fail("is out of bounds", "part");
}

void writeBody(json &object, const refresh_record &body)
{
    object["refresh"] = body.refresh;
    object["as_of"] = body.asOf;
    object["part"] = body.part;
    object["parts"] = body.parts;
    object["entries"] = json::array();
    for (const refreshed_entry &entry : body.entries) {
        json item;
        writeEntryId(item, entry.entry);
        item["version"] = entry.version;
        item["value"] = parsedValue(entry.value);
        object["entries"].push_back(std::move(item));
    }
    object["recent_ids"] = json::array();
    for (const refreshed_id &id : body.recentIds) {
        const json item = { { "id", id.id },
                            { "offset", id.offset },
                            { "outcome", std::string(nameOf(id.kind)) } };
        object["recent_ids"].push_back(item);
    }
}

/// One row for each kind that this release knows.
struct kind_row
{
    std::string_view name;
    record_body (*read)(field_reader &);
};

template <typename Body>
record_body readAs(field_reader &reader)
{
    Body body;
    readBody(reader, body);
    return body;
}

constexpr std::array<kind_row, 3> Kinds{ {
        { "change", readAs<change_record> },
        { "key_withdraw", readAs<key_withdraw_record> },
        { "refresh", readAs<refresh_record> },
} };

std::string kindName(const record_body &body)
{
    if (const auto *unknown = std::get_if<unknown_record>(&body))
        return unknown->kind;
    return std::string(Kinds.at(body.index()).name);
}

basic_error<record_error> badField(const std::string &id, const std::string &text)
{
    return { record_error::BadField, text, id };
}

} // namespace

result<config_record, record_error> parseRecord(std::string_view text)
{
    if (nestsTooDeep(text))
        return basic_error<record_error>{ record_error::NotJson, "the record is nested too deeply",
                                          "" };
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return basic_error<record_error>{ record_error::NotJson, "the record is no JSON object",
                                          "" };
    field_reader reader(object);
    config_record record;
    reader.text("id", record.id);
    if (record.id.empty() || record.id.size() > MaxIdBytes)
        return basic_error<record_error>{ record_error::NoId,
                                          "field id must be a string of 1 to 128 bytes", "" };
    std::string kind;
    reader.text("kind", kind);
    if (!reader.error().empty())
        return badField(record.id, reader.error());
    for (const kind_row &row : Kinds) {
        if (row.name != kind)
            continue;
        record.body = row.read(reader);
        reader.finish();
        if (!reader.error().empty())
            return badField(record.id, reader.error());
        return record;
    }
    record.body = unknown_record{ kind };
    return record;
}

std::string formatRecord(const config_record &record)
{
    json object = { { "id", record.id }, { "kind", kindName(record.body) } };
    std::visit(overloaded{ [](const unknown_record &) {},
                           [&](const auto &body) { writeBody(object, body); } },
               record.body);
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace burdockhold
