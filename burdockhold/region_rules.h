#ifndef BURDOCKHOLD_REGION_RULES_H
#define BURDOCKHOLD_REGION_RULES_H

// In which data centres the engines of a request may be.
//
// Guarantee: an engine is allowed only if its data centre's region is among the allowed regions of
// the route and among those of the account, where each has any. A data centre without a region in
// the settings counts as a region of its own name, so a missing entry allows nothing else.
//
// The functions are pure. Time is linear in the regions of the rules, which are few.

#include "burdockhold/deployment.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// The rules of one request. The pointers may be null; what they point to must outlive the rules.
struct region_rules
{
    const std::vector<std::string> *route = nullptr;
    const std::vector<std::string> *account = nullptr;

    /// Returns whether there is a rule at all.
    bool restricts() const;

    /// Returns whether engines and stores in this data centre are allowed.
    bool allows(std::string_view dataCentre,
                const std::map<std::string, std::string, std::less<>> &regions) const;
};

/// Returns the rules of a request on this route and by this account, which may be null.
region_rules regionRulesOf(const deployment_route &route, const deployment_account *account);

} // namespace burdockhold

#endif
