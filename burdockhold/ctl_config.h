#ifndef BURDOCKHOLD_CTL_CONFIG_H
#define BURDOCKHOLD_CTL_CONFIG_H

// `check-config`: reads the file of a deployment with the router's own parser and prints what is
// wrong with it (config_check.h), and how it differs from the version in force. Nothing is written
// anywhere, and neither the log nor a VM is needed.
//
// Every error that the parser finds is printed in one run. The other checks need a deployment
// without errors.

#include "burdockhold/ctl_context.h"

#include <string>

namespace burdockhold {

struct config_files
{
    std::string next;
    std::string inForce; ///< Empty if there is nothing to compare with.
};

/// Returns Refused if there are errors, Warnings if there are only warnings and differences, and
/// Done otherwise. Fails with BadInput if a file cannot be read, or if the one in force has errors.
ctl_exit checkConfig(ctl_context &context, const config_files &files);

} // namespace burdockhold

#endif
