#ifndef BURDOCKHOLD_ADMIN_PAGES_H
#define BURDOCKHOLD_ADMIN_PAGES_H

// Texts of the operators' pages that show state of the blackboard and the measures. Pure; time and
// memory are linear in the catalogue and the measures.

#include "burdockhold/catalogue.h"
#include "burdockhold/metrics.h"

#include <string>

namespace burdockhold {

/// Returns the accounts as JSON: their limits over all VMs, and what this VM served and refused
/// since it started. The use over all VMs is the sum of the pages of all VMs.
std::string formatAccountsPage(const catalogue &config, const metric_snapshot &measures,
                               double uptimeSeconds);

/// Returns the catalogue's endpoints as JSON, with the weights version that their pool should serve
/// for each model.
std::string formatEndpointsPage(const catalogue &config);

} // namespace burdockhold

#endif
