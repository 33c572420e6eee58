#ifndef BURDOCKHOLD_CTL_VMS_H
#define BURDOCKHOLD_CTL_VMS_H

// The commands of burdockholdctl that ask or tell the VMs. Each one reads the VM list, calls all
// VMs concerned, and names every VM that did not answer with the reason.

#include "burdockhold/ctl_context.h"

#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// A VM as the VM list shows it.
struct listed_vm
{
    std::string name;
    std::string dataCentre;
    std::string admin; ///< "http://IP:PORT" for operators.
    std::string state; ///< "live" or "leaving".
};

/// A call that a VM did not answer with the status wanted.
struct vm_failure
{
    std::string vm;
    std::string reason;
};

/// The answer of one VM.
struct vm_answer
{
    listed_vm vm;
    std::string body;
};

/// The answers of all VMs called, in the order of the VM list.
struct vm_answers
{
    std::vector<vm_answer> answered;
    std::vector<vm_failure> failed;
};

/// Parses the answer of the VM list (design page, section 5). Fails with BadAnswer.
ctl_result<std::vector<listed_vm>> parseListedVms(std::string_view text);

/// Reads the VM list. Fails with Usage when no address was given, VmListUnreachable or BadAnswer.
ctl_result<std::vector<listed_vm>> readVmList(ctl_context &context);

/// Calls a page of each VM's admin address. A VM that answers with another status than 200 or 202
/// counts as failed.
vm_answers callVms(ctl_context &context, const std::vector<listed_vm> &vms,
                   const std::string &method, const std::string &path, const std::string &body);

/// Names the VMs that failed on standard error. Returns VmUnreachable, or Done when none failed.
ctl_exit reportFailures(ctl_context &context, const std::vector<vm_failure> &failures);

/// `vms`: the VM list.
ctl_exit listVms(ctl_context &context);

/// `status`: GET /status of each VM, and how far its configuration is behind the log.
ctl_exit showStatus(ctl_context &context);

/// `accounts` and `endpoints`: GET of that page of each VM.
ctl_exit showPages(ctl_context &context, const std::string &path);

/// `drain VM`.
ctl_exit drainVm(ctl_context &context, const std::string &name);

} // namespace burdockhold

#endif
