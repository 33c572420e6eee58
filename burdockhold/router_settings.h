#ifndef BURDOCKHOLD_ROUTER_SETTINGS_H
#define BURDOCKHOLD_ROUTER_SETTINGS_H

// Settings of the event-loop router, in INI format. The platform fills in deploy/router.ini.in at
// every start; docs/settings.md lists the keys. An unknown key is ignored, since the platform may
// add fields. A missing or malformed value is an error that names its section and key.

#include "burdockhold/clock.h"
#include "burdockhold/mechanisms.h"
#include "burdockhold/result.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhold {

struct router_settings
{
    std::string vmName;
    std::string dataCentre;
    std::string ip;
    std::string endpointSourceIp; ///< Local address of connections to endpoints, or empty.
    std::string callerAddress;    ///< IP:PORT on which callers connect.
    std::string readyAddress;     ///< IP:PORT on which the load balancer probes readiness.
    std::string logAddress;       ///< IP:PORT of the platform's log.
    int firstPeerPort = 0;        ///< First port of the range for traffic between VMs.
    int logPartitions = 1;        ///< Partitions of each topic.
    /// Longest time from an endpoint's notice of leaving until it receives no more calls.
    duration leavingBound = std::chrono::seconds(2);
    /// Longest time until a new deployment is in force.
    duration configBound = std::chrono::seconds(2);
    /// Longest time until a revoked key stops working.
    duration revocationBound = std::chrono::seconds(5);
    duration shutdownGrace = std::chrono::seconds(8); ///< From SIGTERM to SIGKILL.
    /// Longest time from the announcement of a version until no call begins on older weights.
    duration weightsBound = std::chrono::seconds(8);
    /// Least time between orders of two holders of a duty.
    duration leaseTime = std::chrono::seconds(3);
    /// Engines refuse an order with an older fencing token.
    bool enginesCheckFencingTokens = false;
    /// Fraction of an account's limit by which all VMs together may exceed it.
    double limitTolerance = 0.0;
    double limitToleranceTokens = 0.0; ///< Tokens by which the limit may be exceeded in addition.
    double retryRatio = 0.2;           ///< Retries as a fraction of the requests.
    double retrySlack = 50.0;          ///< Retries beyond retryRatio, over all VMs.
    /// Largest share of a pool's calls that a new software version gets before it is kept.
    double exposureShare = 0.1;
    double exposureSlack = 50.0; ///< Calls beyond the share that the operator tolerates.
    /// Longest time from the evidence that a version is bad until it gets no more calls.
    duration rollbackBound = std::chrono::seconds(5);
    /// Factor and requests by which all VMs together may exceed a cold engine's rate in a second.
    /// The rate is not limited unless the platform states both.
    std::optional<double> coldOvershoot;
    std::optional<double> coldSlack;
    /// Longest time from the order to evacuate a data centre until its endpoints get no more calls.
    /// Orders to evacuate have no effect unless the platform states it.
    std::optional<duration> evacuationBound;
    std::map<std::string, std::string, std::less<>> regions; ///< Regions of data centres.
    std::size_t memoryBytes = std::size_t(128) * 1024 * 1024;
    int descriptors = 1024;
    double processorShare = 1.0; ///< Fraction of one core.
    double linkMegabits = 100.0; ///< Rate of this VM's own link in Mbit/s.
    mechanism_set mechanisms;    ///< All are in use unless the settings disable them.

    /// Returns a rough measure of the VM's resources, used to assign work for other VMs to those
    /// with headroom: the lower of thousandths of a core and Mbit/s.
    std::uint32_t capacity() const;
};

enum class router_settings_error { NotReadable, Missing, Invalid };

/// Parses the settings. An error's context is the key as section.key, or the line if the text is
/// not INI.
result<router_settings, router_settings_error> parseRouterSettings(std::string_view text);

} // namespace burdockhold

#endif
