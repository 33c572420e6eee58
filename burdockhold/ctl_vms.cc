#include "burdockhold/ctl_vms.h"

#include "burdockhold/ctl_session.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace burdockhold {

namespace {

using json = nlohmann::json;
using ordered_json = nlohmann::ordered_json;

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusNotFound = 404;
constexpr int Indent = 2;
/// Reads of the tail start here to learn `next` without reading records.
constexpr std::size_t OneRecord = 1;

/// Longest part of a VM's error page that is shown.
constexpr std::size_t MaxReasonBytes = 200;

std::string oneLine(std::string text)
{
    text.resize(std::min(text.size(), MaxReasonBytes));
    std::replace(text.begin(), text.end(), '\n', ' ');
    text.erase(text.find_last_not_of(' ') + 1);
    return text;
}

std::string describeStatus(const http_answer &answer, const std::string &path)
{
    if (answer.status == StatusNotFound)
        return "has no page " + path;
    return "answered " + path + " with status " + std::to_string(answer.status) + ": "
           + oneLine(answer.body);
}

bool isText(const json &object, const char *field)
{
    return object.is_object() && object.contains(field) && object[field].is_string();
}

ordered_json failuresJson(const std::vector<vm_failure> &failures)
{
    ordered_json list = ordered_json::array();
    for (const vm_failure &failure : failures)
        list.push_back({ { "vm", failure.vm }, { "reason", failure.reason } });
    return list;
}

/// Returns the offset of the log's last record.
ctl_result<log_offset> readLogOffset(ctl_context &context)
{
    log_offset from = 1;
    // The first read may be out of retention; the second one starts at the earliest record.
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto answer = context.log->read("config", from, OneRecord, duration(0));
        if (!isOk(answer)) {
            const auto &error = errorOf(answer);
            return ctl_error{ error.code == log_error::BadAnswer ? ctl_exit::BadAnswer
                                                                 : ctl_exit::LogUnreachable,
                              "the log cannot be read: " + error.text, error.context };
        }
        if (!valueOf(answer).expired)
            return valueOf(answer).next - 1;
        from = valueOf(answer).earliest;
    }
    return ctl_error{ ctl_exit::BadAnswer, "the log refuses an offset it retains", "" };
}

template <typename T>
std::optional<T> field(const json &object, const char *name)
{
    try {
        return object.at(name).get<T>();
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string yesNo(const std::optional<bool> &value)
{
    return !value ? "-" : *value ? "yes" : "no";
}

std::string number(const std::optional<std::uint64_t> &value)
{
    return value ? std::to_string(*value) : "-";
}

/// Returns how many records a VM has yet to apply. A VM may be ahead of the earlier read.
std::optional<std::uint64_t> recordsBehind(const std::optional<log_offset> &logOffset,
                                           const std::optional<log_offset> &vmOffset)
{
    if (!logOffset || !vmOffset)
        return std::nullopt;
    return *logOffset > *vmOffset ? *logOffset - *vmOffset : 0;
}

std::string seconds(const std::optional<double> &value)
{
    if (!value)
        return "-";
    char text[32];
    std::snprintf(text, sizeof(text), "%.1f s", *value);
    return text;
}

std::vector<std::string> statusRow(const listed_vm &vm, const json &page,
                                   const std::optional<log_offset> &logOffset)
{
    const auto offset = field<log_offset>(page, "config_offset");
    return { vm.name,
             vm.dataCentre,
             vm.state,
             yesNo(field<bool>(page, "synced")),
             yesNo(field<bool>(page, "draining")),
             number(field<std::uint64_t>(page, "open_requests")),
             number(offset),
             number(recordsBehind(logOffset, offset)),
             seconds(field<double>(page, "view_age_seconds")) };
}

ordered_json statusJson(const listed_vm &vm, const json &page,
                        const std::optional<log_offset> &logOffset)
{
    ordered_json line;
    line["vm"] = vm.name;
    line["data_centre"] = vm.dataCentre;
    line["state"] = vm.state;
    line["behind"] = nullptr;
    if (const auto behind = recordsBehind(logOffset, field<log_offset>(page, "config_offset")))
        line["behind"] = *behind;
    line["status"] = page;
    return line;
}

/// Moves answers that are no JSON objects to the failures.
std::vector<json> parseBodies(vm_answers &answers, const std::string &path)
{
    std::vector<json> pages;
    std::vector<vm_answer> usable;
    for (vm_answer &answer : answers.answered) {
        json page = json::parse(answer.body, nullptr, false);
        if (page.is_discarded()) {
            answers.failed.push_back({ answer.vm.name, "answered " + path + " with no JSON" });
            continue;
        }
        pages.push_back(std::move(page));
        usable.push_back(std::move(answer));
    }
    answers.answered = std::move(usable);
    return pages;
}

} // namespace

ctl_result<std::vector<listed_vm>> parseListedVms(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("vms") || !body["vms"].is_array())
        return ctl_error{ ctl_exit::BadAnswer, "the VM list's answer has no list \"vms\"", "" };
    std::vector<listed_vm> vms;
    for (const json &item : body["vms"]) {
        for (const char *name : { "name", "data_centre", "admin", "state" }) {
            if (!isText(item, name))
                return ctl_error{ ctl_exit::BadAnswer,
                                  std::string("the VM list's answer lacks ") + name, "" };
        }
        vms.push_back({ item["name"], item["data_centre"], item["admin"], item["state"] });
    }
    return vms;
}

ctl_result<std::vector<listed_vm>> readVmList(ctl_context &context)
{
    if (context.vmsUrl.empty() || context.http == nullptr)
        return ctl_error{ ctl_exit::Usage,
                          "no address of the VM list: give --vms URL or set BURDOCKHOLD_VMS", "" };
    const auto answer = context.http->callAll({ { "GET", context.vmsUrl + "/vms", "" } }).front();
    if (!isOk(answer))
        return ctl_error{ ctl_exit::VmListUnreachable,
                          "the VM list cannot be read: " + errorOf(answer).text, context.vmsUrl };
    if (valueOf(answer).status != StatusOk)
        return ctl_error{ ctl_exit::VmListUnreachable,
                          "the VM list " + describeStatus(valueOf(answer), "/vms"),
                          context.vmsUrl };
    auto vms = parseListedVms(valueOf(answer).body);
    if (!isOk(vms))
        std::get<1>(vms).context = context.vmsUrl;
    return vms;
}

vm_answers callVms(ctl_context &context, const std::vector<listed_vm> &vms,
                   const std::string &method, const std::string &path, const std::string &body)
{
    std::vector<http_call> calls;
    calls.reserve(vms.size());
    for (const listed_vm &vm : vms)
        calls.push_back({ method, vm.admin + path, body });
    const std::vector<http_call_result> results = context.http->callAll(calls);
    vm_answers answers;
    for (std::size_t i = 0; i < vms.size(); ++i) {
        if (!isOk(results[i])) {
            answers.failed.push_back({ vms[i].name, errorOf(results[i]).text });
            continue;
        }
        const http_answer &answer = valueOf(results[i]);
        if (answer.status == StatusOk || answer.status == StatusAccepted)
            answers.answered.push_back({ vms[i], answer.body });
        else
            answers.failed.push_back({ vms[i].name, describeStatus(answer, path) });
    }
    return answers;
}

ctl_exit reportFailures(ctl_context &context, const std::vector<vm_failure> &failures)
{
    for (const vm_failure &failure : failures)
        reportError(context, { ctl_exit::VmUnreachable, failure.reason, failure.vm });
    return failures.empty() ? ctl_exit::Done : ctl_exit::VmUnreachable;
}

ctl_exit listVms(ctl_context &context)
{
    const auto vms = readVmList(context);
    if (!isOk(vms))
        return reportError(context, errorOf(vms));
    ordered_json list = ordered_json::array();
    std::vector<std::vector<std::string>> rows{ { "VM", "DATA CENTRE", "STATE", "ADMIN" } };
    for (const listed_vm &vm : valueOf(vms)) {
        list.push_back({ { "name", vm.name },
                         { "data_centre", vm.dataCentre },
                         { "state", vm.state },
                         { "admin", vm.admin } });
        rows.push_back({ vm.name, vm.dataCentre, vm.state, vm.admin });
    }
    context.out << (context.json ? list.dump() + "\n" : formatTable(rows));
    return ctl_exit::Done;
}

ctl_exit showStatus(ctl_context &context)
{
    const auto vms = readVmList(context);
    if (!isOk(vms))
        return reportError(context, errorOf(vms));
    std::optional<log_offset> logOffset;
    ctl_exit logExit = ctl_exit::Done;
    if (context.log != nullptr) {
        const auto offset = readLogOffset(context);
        if (isOk(offset))
            logOffset = valueOf(offset);
        else
            logExit = reportError(context, errorOf(offset));
    }
    vm_answers answers = callVms(context, valueOf(vms), "GET", "/status", "");
    const std::vector<json> pages = parseBodies(answers, "/status");
    ordered_json result;
    result["log_offset"] = logOffset ? ordered_json(*logOffset) : ordered_json();
    result["vms"] = ordered_json::array();
    std::vector<std::vector<std::string>> rows{ { "VM", "DATA CENTRE", "STATE", "SYNCED",
                                                  "DRAINING", "OPEN", "CONFIG", "BEHIND",
                                                  "VIEW AGE" } };
    for (std::size_t i = 0; i < pages.size(); ++i) {
        result["vms"].push_back(statusJson(answers.answered[i].vm, pages[i], logOffset));
        rows.push_back(statusRow(answers.answered[i].vm, pages[i], logOffset));
    }
    result["unreached"] = failuresJson(answers.failed);
    if (context.json)
        context.out << result.dump() << '\n';
    else
        context.out << "log offset " << number(logOffset) << '\n' << formatTable(rows);
    const ctl_exit vmExit = reportFailures(context, answers.failed);
    return logExit == ctl_exit::Done ? vmExit : logExit;
}

ctl_exit showPages(ctl_context &context, const std::string &path)
{
    const auto vms = readVmList(context);
    if (!isOk(vms))
        return reportError(context, errorOf(vms));
    vm_answers answers = callVms(context, valueOf(vms), "GET", path, "");
    const std::vector<json> pages = parseBodies(answers, path);
    ordered_json result;
    result["vms"] = ordered_json::object();
    for (std::size_t i = 0; i < pages.size(); ++i) {
        const std::string &name = answers.answered[i].vm.name;
        result["vms"][name] = pages[i];
        if (!context.json)
            context.out << name << ": " << pages[i].dump(Indent) << '\n';
    }
    result["unreached"] = failuresJson(answers.failed);
    if (context.json)
        context.out << result.dump() << '\n';
    return reportFailures(context, answers.failed);
}

ctl_exit drainVm(ctl_context &context, const std::string &name)
{
    const auto vms = readVmList(context);
    if (!isOk(vms))
        return reportError(context, errorOf(vms));
    for (const listed_vm &vm : valueOf(vms)) {
        if (vm.name != name)
            continue;
        const vm_answers answers = callVms(context, { vm }, "POST", "/drain", "");
        if (!answers.failed.empty())
            return reportFailures(context, answers.failed);
        if (context.json)
            context.out << ordered_json{ { "vm", name }, { "draining", true } }.dump() << '\n';
        else
            context.out << name << " is draining\n";
        return ctl_exit::Done;
    }
    return reportError(context, { ctl_exit::NotFound, "the VM list has no such VM", name });
}

} // namespace burdockhold
