#ifndef BURDOCKHOLD_CTL_REPORT_H
#define BURDOCKHOLD_CTL_REPORT_H

// `report`: samples GET /metrics of all VMs and prints the service-level burn (burn_report.h).

#include "burdockhold/ctl_context.h"

#include <string>

namespace burdockhold {

/// Bounds memory: a sample of 1,300 VMs with 2,048 series a family takes tens of megabytes.
constexpr std::size_t MaxReportSamples = 1000;

struct report_options
{
    std::string profileFile;
    std::size_t samples = 2; ///< At least two samples show an increase.
    duration interval = std::chrono::seconds(10);
};

/// Reads the VM list before each sample, so that VMs that appear meanwhile are included. VMs
/// without measures at their latest sample are named, and the exit code is VmUnreachable.
ctl_exit printBurnReport(ctl_context &context, const report_options &options);

} // namespace burdockhold

#endif
