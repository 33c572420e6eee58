#ifndef BURDOCKHOLD_CONFIG_CHECK_H
#define BURDOCKHOLD_CONFIG_CHECK_H

// Finds what a deployment that the router accepts contains but cannot have been meant: entries that
// can never match and limits that contradict each other. Also states the differences between two
// deployments. Pure; for the operators' tool, before a deployment is written.
//
// Guarantees:
// - Lookups go through deployment_index, so a route or key is reported as unreachable only if the
//   router does not find it. The longest prefix of a path wins; therefore a route is hidden only
//   by one with an equal host and prefix, never by one with a shorter prefix.
// - No finding contains an API key. Keys are shown by the start of their SHA-256 digest.
// - Texts from the deployment are quoted and escaped as in JSON.
//
// A deployment does not contain the number of a pool's endpoints, which report themselves, nor the
// routers' settings. The attempts of a route are compared with the limit of calls per request and
// with the retry budget of the options.

#include "burdockhold/deployment.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/router_settings.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace burdockhold {

enum class config_severity { Error, Warning, Difference };

template <>
struct enum_names<config_severity>
{
    static constexpr std::array<enum_name<config_severity>, 3> Table{ {
            { config_severity::Error, "error" },
            { config_severity::Warning, "warning" },
            { config_severity::Difference, "difference" },
    } };
};

enum class config_code {
    HostNeverMatches,
    PrefixNeverMatches,
    RouteHidden, ///< By an earlier route with the same host and prefix.
    RouteWithoutPool,
    UnknownPool,
    PoolUnused,
    PoolRepeated,
    AccountWithoutKey,
    KeyOfAnotherAccount,
    TimeoutUnderTransit,
    TargetAboveTimeout,
    AttemptsAboveCallLimit,
    AttemptsAboveRetryBudget,
    BurstBelowRequest,
    NoCommonRegion,
    VersionNotHigher,
    Added,
    Removed, ///< The place is in the deployment in force.
    Changed,
};

template <>
struct enum_names<config_code>
{
    static constexpr std::array<enum_name<config_code>, 19> Table{ {
            { config_code::HostNeverMatches, "host_never_matches" },
            { config_code::PrefixNeverMatches, "prefix_never_matches" },
            { config_code::RouteHidden, "route_hidden" },
            { config_code::RouteWithoutPool, "route_without_pool" },
            { config_code::UnknownPool, "unknown_pool" },
            { config_code::PoolUnused, "pool_unused" },
            { config_code::PoolRepeated, "pool_repeated" },
            { config_code::AccountWithoutKey, "account_without_key" },
            { config_code::KeyOfAnotherAccount, "key_of_another_account" },
            { config_code::TimeoutUnderTransit, "timeout_under_transit" },
            { config_code::TargetAboveTimeout, "target_above_timeout" },
            { config_code::AttemptsAboveCallLimit, "attempts_above_call_limit" },
            { config_code::AttemptsAboveRetryBudget, "attempts_above_retry_budget" },
            { config_code::BurstBelowRequest, "burst_below_request" },
            { config_code::NoCommonRegion, "no_common_region" },
            { config_code::VersionNotHigher, "version_not_higher" },
            { config_code::Added, "added" },
            { config_code::Removed, "removed" },
            { config_code::Changed, "changed" },
    } };
};

enum class config_list { Deployment, Routes, Pools, Accounts, Limits };

/// What a finding is about. The platform's names of these fields are in platform/config_places.h.
enum class config_field {
    None, ///< The whole entry.
    Version,
    RequiresKeys,
    Name,
    Host,
    PathPrefix,
    Kind,
    Timeout,
    LatencyTarget,
    EventGapTarget,
    MaxEndpoints,
    Priority,
    PublicAccess,
    Resumable,
    Pools,
    AllowedRegions,
    MaxConnections,
    Engine,
    Store,
    Cold,
    Keys,
    Isolated,
    Rate,
    Burst,
    Unit,
    DefaultCost,
    HeaderBytes,
    BodyBytes,
    HeaderTimeout,
    IdleTimeout,
};

/// Where a finding is in the deployment.
struct config_place
{
    config_list list = config_list::Deployment;
    std::optional<std::size_t> index; ///< Of the entry in its list.
    config_field field = config_field::None;
};

struct config_finding
{
    config_severity severity = config_severity::Warning;
    config_place place;
    config_code code = config_code::Changed;
    std::string text;
};

struct config_check_options
{
    /// Time that a request and its response need between caller and router. A response later than
    /// the timeout less this time is of no use to the caller.
    duration transitTime = std::chrono::milliseconds(120);
    double retryRatio = router_settings{}.retryRatio; ///< See router_settings.
    double retrySlack = router_settings{}.retrySlack;
};

/// Returns the warnings about a deployment, in the order of its entries.
std::vector<config_finding> checkDeployment(const deployment &source,
                                            const config_check_options &options = {});

/// Returns the differences of a deployment from the one in force, and a warning if the routers will
/// ignore it because its version is not higher.
std::vector<config_finding> compareDeployments(const deployment &inForce, const deployment &next);

} // namespace burdockhold

#endif
