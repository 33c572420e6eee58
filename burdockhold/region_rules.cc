#include "burdockhold/region_rules.h"

#include <algorithm>

namespace burdockhold {

namespace {

bool contains(const std::vector<std::string> *allowed, std::string_view region)
{
    return allowed == nullptr || allowed->empty()
           || std::find(allowed->begin(), allowed->end(), region) != allowed->end();
}

} // namespace

bool region_rules::restricts() const
{
    return (route != nullptr && !route->empty()) || (account != nullptr && !account->empty());
}

bool region_rules::allows(std::string_view dataCentre,
                          const std::map<std::string, std::string, std::less<>> &regions) const
{
    const auto found = regions.find(dataCentre);
    const std::string_view region = found == regions.end() ? dataCentre
                                                           : std::string_view(found->second);
    return contains(route, region) && contains(account, region);
}

region_rules regionRulesOf(const deployment_route &route, const deployment_account *account)
{
    return { &route.allowedRegions, account == nullptr ? nullptr : &account->allowedRegions };
}

} // namespace burdockhold
