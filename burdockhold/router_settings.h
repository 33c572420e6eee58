#ifndef BURDOCKHOLD_ROUTER_SETTINGS_H
#define BURDOCKHOLD_ROUTER_SETTINGS_H

// Settings of the event-loop router, in INI. The platform fills deploy/router.ini.in at every
// start; docs/settings.md lists the keys. An unknown key is ignored, since the platform adds
// fields; a missing or unreadable one is an error that names its section and key.

#include "burdockhold/clock.h"
#include "burdockhold/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhold {

struct router_settings
{
    std::string vmName;
    std::string dataCentre;
    std::string ip;
    std::string callerAddress; ///< IP:PORT where callers connect.
    std::string readyAddress;  ///< IP:PORT that the load balancer asks for readiness.
    std::string logAddress;    ///< IP:PORT of the platform's log.
    int firstPeerPort = 0;     ///< First of the ports that VMs may use between themselves.
    int logPartitions = 1;     ///< Of each topic.
    duration leavingBound = std::chrono::seconds(2);    ///< Calls stop after an endpoint's notice.
    duration configBound = std::chrono::seconds(2);     ///< A deployment is in force.
    duration revocationBound = std::chrono::seconds(5); ///< A withdrawn key stops working.
    duration shutdownGrace = std::chrono::seconds(8);   ///< From SIGTERM to SIGKILL.
    duration weightsBound = std::chrono::seconds(8); ///< No call begins on older weights after it.
    duration leaseTime = std::chrono::seconds(3);    ///< Orders of two holders stay this far apart.
    bool enginesCheckFencingTokens =
            false;                     ///< Engines refuse an order with an older fencing token.
    double limitTolerance = 0.0;       ///< Part of an account's limit that VMs together may exceed.
    double limitToleranceTokens = 0.0; ///< Tokens beyond it.
    double retryRatio = 0.2;           ///< Repeats as a part of the requests.
    double retrySlack = 50.0;          ///< Repeats beyond it, over all VMs.
    std::size_t memoryBytes = std::size_t(128) * 1024 * 1024;
    int descriptors = 1024;
    double processorShare = 1.0; ///< Of one core.
    double linkMegabits = 100.0; ///< Of this VM's own link, a second.

    /// Rough measure of what the VM can do for others, by which duties go to the VMs with room for
    /// them: the scarcer of thousandths of a core and megabits a second.
    std::uint32_t capacity() const;
};

enum class router_settings_error { NotReadable, Missing, Invalid };

result<router_settings, router_settings_error> parseRouterSettings(std::string_view text);

} // namespace burdockhold

#endif
