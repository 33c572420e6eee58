#include "burdockhold/ctl_report.h"

#include "burdockhold/burn_report.h"
#include "burdockhold/ctl_vms.h"

#include <map>

namespace burdockhold {

namespace {

/// Samples of all VMs so far, and why a VM's latest sample is missing.
struct sample_store
{
    std::map<std::string, vm_history> histories;
    std::map<std::string, std::string> reasons;
};

void addSample(sample_store &store, const std::string &vm, vm_sample sample,
               const std::string &reason)
{
    vm_history &history = store.histories[vm];
    history.vm = vm;
    history.samples.push_back(std::move(sample));
    if (reason.empty())
        store.reasons.erase(vm);
    else
        store.reasons[vm] = reason;
}

/// Takes one sample of each VM in the list. Fails as readVmList() does.
ctl_result<success> takeSample(ctl_context &context, sample_store &store)
{
    const auto vms = readVmList(context);
    if (!isOk(vms))
        return errorOf(vms);
    const vm_answers answers = callVms(context, valueOf(vms), "GET", "/metrics", "");
    const log_time_ms at = context.wallClock();
    for (const vm_answer &answer : answers.answered) {
        const auto measures = parseMetrics(answer.body);
        if (isOk(measures))
            addSample(store, answer.vm.name, { at, valueOf(measures) }, "");
        else
            addSample(store, answer.vm.name, { at, std::nullopt },
                      "answered /metrics with unusable text: " + errorOf(measures).context + ": "
                              + errorOf(measures).text);
    }
    for (const vm_failure &failure : answers.failed)
        addSample(store, failure.vm, { at, std::nullopt }, failure.reason);
    return success{};
}

} // namespace

ctl_exit printBurnReport(ctl_context &context, const report_options &options)
{
    if (options.samples == 0 || options.samples > MaxReportSamples)
        return reportError(context,
                           { ctl_exit::Usage, "must be 1 to " + std::to_string(MaxReportSamples),
                             "--samples" });
    const auto text = readInputFile(options.profileFile);
    if (!isOk(text))
        return reportError(context, errorOf(text));
    const auto profile = parseObjectives(valueOf(text), options.profileFile);
    if (!isOk(profile))
        return reportError(context,
                           { ctl_exit::BadInput, errorOf(profile).text, errorOf(profile).context });
    sample_store store;
    for (std::size_t i = 0; i < options.samples; ++i) {
        if (i > 0)
            context.sleep(options.interval);
        const auto taken = takeSample(context, store);
        if (!isOk(taken))
            return reportError(context, errorOf(taken));
    }
    std::vector<vm_history> histories;
    for (auto &[name, history] : store.histories)
        histories.push_back(std::move(history));
    const burn_report report = buildBurnReport(valueOf(profile), histories, context.wallClock());
    context.out << (context.json ? formatBurnJson(report) : formatBurnText(report));
    std::vector<vm_failure> failures;
    for (const auto &[vm, reason] : store.reasons)
        failures.push_back({ vm, reason });
    return reportFailures(context, failures);
}

} // namespace burdockhold
