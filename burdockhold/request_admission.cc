#include "burdockhold/request_admission.h"

namespace burdockhold {

namespace {

// Keys are refused this long before the view reaches the revocation bound, since a request takes
// time to reach its endpoint.
constexpr duration RevocationMargin = std::chrono::milliseconds(300);
constexpr std::uint64_t PoolPoints = 10000; // Resolution of the pools' weights.

/// Returns how a request is refused for something that the deployment does not contain. With a view
/// older than the bound on configurations, a newer one that contains it may be in force.
admission_refusal refusalOfMissing(admission_refusal refusal, const view_age &view)
{
    return view.age > view.configBound ? admission_refusal::StaleView : refusal;
}

} // namespace

admission_result admitRequest(const deployment_index &deployment, const caller_request &request,
                              const view_age &view)
{
    admitted_request admitted;
    admitted.route = deployment.findRoute(request.host, request.target);
    if (admitted.route == nullptr || admitted.route->pools.empty())
        return refusalOfMissing(admission_refusal::NoRoute, view);
    if (admitted.route->publicAccess || !deployment.rules().requiresKeys)
        return admitted;
    if (view.age > view.revocationBound - RevocationMargin)
        return admission_refusal::StaleView;
    admitted.account = deployment.findAccount(request.key);
    if (admitted.account == nullptr)
        return refusalOfMissing(admission_refusal::UnknownKey, view);
    return admitted;
}

double requestCost(const deployment_account &account, const caller_request &request)
{
    if (account.countsTokens && request.declaresTokens)
        return static_cast<double>(request.tokens());
    return account.defaultCost;
}

const std::string &choosePool(const deployment_route &route, std::uint64_t requestHash)
{
    double total = 0.0;
    for (const weighted_pool &pool : route.pools)
        total += pool.weight;
    double point = total * static_cast<double>(requestHash % PoolPoints)
                   / static_cast<double>(PoolPoints);
    for (const weighted_pool &pool : route.pools) {
        point -= pool.weight;
        if (point < 0.0)
            return pool.pool;
    }
    return route.pools.back().pool;
}

} // namespace burdockhold
