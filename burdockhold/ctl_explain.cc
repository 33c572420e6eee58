#include "burdockhold/ctl_explain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <optional>

namespace burdockhold {

namespace {

using json = nlohmann::ordered_json;

// Every log line starts with its time.
constexpr std::string_view LineStart = "{\"t\":";

bool names(const json &value, const std::string &subject)
{
    if (value.is_string())
        return value.get_ref<const std::string &>() == subject;
    return value.is_structured() && std::any_of(value.begin(), value.end(), [&](const json &part) {
               return names(part, subject);
           });
}

std::string fieldText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// The fields that differ from event to event.
std::string fieldsOf(const json &object)
{
    std::string text;
    for (const auto &[name, value] : object.items()) {
        if (name == "t" || name == "up_ms" || name == "vm" || name == "event")
            continue;
        text += (text.empty() ? "" : " ") + name + "=" + fieldText(value);
    }
    return text;
}

/// Returns the line's parts, or nothing when it is no log line.
std::optional<explained_line> parseLine(const json &object, std::string_view text)
{
    const auto time = object.find("t");
    const auto vm = object.find("vm");
    const auto event = object.find("event");
    const bool complete = time != object.end() && time->is_number_integer() && vm != object.end()
                          && vm->is_string() && event != object.end() && event->is_string();
    if (!complete)
        return std::nullopt;
    return explained_line{ time->get<std::int64_t>(), vm->get<std::string>(),
                           event->get<std::string>(), fieldsOf(object), std::string(text) };
}

} // namespace

void line_reader::read(std::istream &stream)
{
    for (std::string line; std::getline(stream, line);) {
        const std::size_t start = line.find(LineStart);
        if (line.find(subject) == std::string::npos || start == std::string::npos)
            continue;
        const std::string_view text = std::string_view(line).substr(start);
        const json object = json::parse(text, nullptr, false);
        const bool isObject = !object.is_discarded() && object.is_object();
        if (isObject && !names(object, subject))
            continue;
        auto parsed = isObject ? parseLine(object, text) : std::nullopt;
        if (parsed)
            lines.push_back(std::move(*parsed));
        else
            ++unreadable;
    }
}

ctl_exit explain(ctl_context &context, const std::string &subject,
                 const std::vector<std::string> &files, std::istream &input)
{
    line_reader reader;
    reader.subject = subject;
    if (files.empty())
        reader.read(input);
    for (const std::string &file : files) {
        std::ifstream stream(file);
        if (!stream)
            return reportError(context, { ctl_exit::BadInput, "the file cannot be read", file });
        reader.read(stream);
    }
    if (reader.unreadable > 0)
        reportRemark(context,
                     std::to_string(reader.unreadable) + " lines hold the text but cannot be read");
    if (reader.lines.empty())
        return reportError(context, { ctl_exit::NotFound, "no log line names it", subject });
    std::stable_sort(reader.lines.begin(), reader.lines.end(),
                     [](const auto &a, const auto &b) { return a.unixMs < b.unixMs; });
    for (const explained_line &line : reader.lines) {
        if (context.json)
            context.out << line.json << '\n';
        else
            context.out << line.unixMs << ' ' << line.vm << ' ' << line.event << ": " << line.fields
                        << '\n';
    }
    return ctl_exit::Done;
}

} // namespace burdockhold
