#include "burdockhold/ctl_config.h"

#include "burdockhold/config_check.h"
#include "platform/config_places.h"
#include "platform/deployment_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <vector>

namespace burdockhold {

namespace {

using ordered_json = nlohmann::ordered_json;

/// Bounds the output for a file that is faulty throughout.
constexpr std::size_t MaxFaults = 1000;

/// A finding as it is printed.
struct printed_finding
{
    config_severity severity = config_severity::Error;
    std::string place;
    std::string_view code;
    std::string text;
};

std::string_view nameOfFault(platform::decode_error code)
{
    switch (code) {
    case platform::decode_error::NotReadable:
        return "not_readable";
    case platform::decode_error::MissingField:
        return "missing_field";
    case platform::decode_error::WrongType:
        return "wrong_type";
    case platform::decode_error::UnknownValue:
        return "unknown_value";
    case platform::decode_error::OutOfBounds:
        return "out_of_bounds";
    }
    return "";
}

std::vector<printed_finding> printedFaults(const std::vector<platform::deployment_fault> &faults)
{
    std::vector<printed_finding> printed;
    printed.reserve(faults.size());
    for (const platform::deployment_fault &fault : faults)
        printed.push_back(
                { config_severity::Error, fault.place, nameOfFault(fault.code), fault.text });
    return printed;
}

void addFindings(std::vector<printed_finding> &printed, const std::vector<config_finding> &findings)
{
    for (const config_finding &finding : findings)
        printed.push_back({ finding.severity, platform::placeText(finding.place),
                            nameOf(finding.code), finding.text });
}

std::string formatJson(const std::vector<printed_finding> &findings)
{
    ordered_json list = ordered_json::array();
    for (const printed_finding &finding : findings)
        list.push_back({ { "severity", nameOf(finding.severity) },
                         { "place", finding.place },
                         { "code", finding.code },
                         { "text", finding.text } });
    return list.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + '\n';
}

/// Returns a line for each finding. An empty place stands for the whole file.
std::string formatText(const std::string &fileName, const std::vector<printed_finding> &findings)
{
    if (findings.empty())
        return "nothing found\n";
    std::string text;
    for (const printed_finding &finding : findings) {
        text += std::string(nameOf(finding.severity)) + " ";
        text += finding.place.empty() ? fileName : finding.place;
        text += ": " + finding.text + " (" + std::string(finding.code) + ")\n";
    }
    return text;
}

void printFindings(ctl_context &context, const config_files &files,
                   const std::vector<printed_finding> &findings)
{
    context.out << (context.json ? formatJson(findings) : formatText(files.next, findings));
}

ctl_exit exitOf(const std::vector<printed_finding> &findings)
{
    const auto has = [&](config_severity severity) {
        return std::any_of(findings.begin(), findings.end(), [&](const printed_finding &finding) {
            return finding.severity == severity;
        });
    };
    if (has(config_severity::Error))
        return ctl_exit::Refused;
    return has(config_severity::Warning) ? ctl_exit::Warnings : ctl_exit::Done;
}

ctl_result<platform::deployment_reading> readFile(const std::string &fileName)
{
    const auto text = readInputFile(fileName);
    if (!isOk(text))
        return errorOf(text);
    return platform::readDeployment(valueOf(text), MaxFaults);
}

/// Returns the deployment in force. All faults of its file are in the error's text.
ctl_result<deployment> readInForce(const std::string &fileName)
{
    auto reading = readFile(fileName);
    if (!isOk(reading))
        return errorOf(reading);
    if (valueOf(reading).faults.empty())
        return std::move(valueOf(reading).value);
    std::string text = "the version in force cannot be used";
    for (const platform::deployment_fault &fault : valueOf(reading).faults)
        text += "; " + (fault.place.empty() ? "" : fault.place + ": ") + fault.text;
    return ctl_error{ ctl_exit::BadInput, text, fileName };
}

ctl_exit printFaults(ctl_context &context, const config_files &files,
                     const std::vector<platform::deployment_fault> &faults)
{
    printFindings(context, files, printedFaults(faults));
    if (faults.size() >= MaxFaults)
        reportRemark(context, "more than " + std::to_string(MaxFaults - 1)
                                      + " errors; the rest of the file was not read");
    reportRemark(context, "the other checks were not made; they need a file without errors");
    return ctl_exit::Refused;
}

} // namespace

ctl_exit checkConfig(ctl_context &context, const config_files &files)
{
    const auto next = readFile(files.next);
    if (!isOk(next))
        return reportError(context, errorOf(next));
    ctl_result<deployment> inForce = deployment{};
    if (!files.inForce.empty())
        inForce = readInForce(files.inForce);
    if (!isOk(inForce))
        return reportError(context, errorOf(inForce));
    const platform::deployment_reading &reading = valueOf(next);
    if (!reading.faults.empty())
        return printFaults(context, files, reading.faults);
    std::vector<printed_finding> findings;
    addFindings(findings, checkDeployment(reading.value));
    if (!files.inForce.empty())
        addFindings(findings, compareDeployments(valueOf(inForce), reading.value));
    printFindings(context, files, findings);
    return exitOf(findings);
}

} // namespace burdockhold
