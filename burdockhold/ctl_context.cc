#include "burdockhold/ctl_context.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace burdockhold {

namespace {

constexpr std::size_t ColumnGap = 2;

std::string_view meaningOf(ctl_exit code)
{
    switch (code) {
    case ctl_exit::Done:
        return "the order took effect, or the question was answered in full";
    case ctl_exit::Refused:
        return "the order is invalid and was not applied";
    case ctl_exit::Usage:
        return "wrong command line";
    case ctl_exit::BadInput:
        return "a file or the standard input cannot be used; nothing was sent";
    case ctl_exit::LostRace:
        return "an entry has another version than the order is based on; nothing was applied";
    case ctl_exit::NotFound:
        return "no entry, key, account or VM of that name; nothing was sent";
    case ctl_exit::LogUnreachable:
        return "the log cannot be reached; nothing was applied through it";
    case ctl_exit::OutcomeUnknown:
        return "the order may take effect; the log did not tell in time";
    case ctl_exit::VmUnreachable:
        return "at least one VM did not answer or confirm; it is named";
    case ctl_exit::BadAnswer:
        return "the log or the VM list answered with something unusable";
    case ctl_exit::VmListUnreachable:
        return "the VM list cannot be reached; no VM was called";
    case ctl_exit::OutputLost:
        return "the result could not be written to standard output";
    case ctl_exit::Warnings:
        return "the file is valid, but has entries that cannot have been meant; they are listed";
    }
    return "";
}

std::string padded(const std::string &text, std::size_t width)
{
    return text + std::string(width - text.size() + ColumnGap, ' ');
}

} // namespace

std::string formatExitCodes()
{
    std::vector<std::vector<std::string>> rows{ { "code", "name", "meaning" } };
    for (const auto &row : enum_names<ctl_exit>::Table) {
        rows.push_back({ std::to_string(static_cast<int>(row.value)), std::string(row.name),
                         std::string(meaningOf(row.value)) });
    }
    return formatTable(rows);
}

ctl_exit reportError(ctl_context &context, const ctl_error &error)
{
    if (context.json) {
        nlohmann::ordered_json line;
        line["error"] = { { "code", nameOf(error.code) },
                          { "context", error.context },
                          { "text", error.text } };
        context.err << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
        return error.code;
    }
    context.err << "burdockholdctl: ";
    if (!error.context.empty())
        context.err << error.context << ": ";
    context.err << error.text << '\n';
    return error.code;
}

void reportRemark(ctl_context &context, const std::string &text)
{
    context.err << "burdockholdctl: " << text << '\n';
}

std::string formatTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += padded(row[i], widths[i]);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

ctl_result<std::string> readInputFile(const std::string &fileName)
{
    std::ifstream file(fileName, std::ios::binary);
    std::ostringstream text;
    // A directory can be opened, and only its first read fails.
    if (file)
        file.peek();
    if (file.good())
        text << file.rdbuf();
    if (file.fail())
        return ctl_error{ ctl_exit::BadInput, "cannot be read or is empty", fileName };
    return text.str();
}

} // namespace burdockhold
