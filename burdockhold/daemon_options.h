#ifndef BURDOCKHOLD_DAEMON_OPTIONS_H
#define BURDOCKHOLD_DAEMON_OPTIONS_H

// Turns the daemon's settings into the options of each part. Units and defaults are those of
// settings.h. Seeds of jitter differ in each process, so that VMs spread out.

#include "burdockhold/claims_controller.h"
#include "burdockhold/config_follower.h"
#include "burdockhold/front_server.h"
#include "burdockhold/limits_controller.h"
#include "burdockhold/load_controller.h"
#include "burdockhold/membership_controller.h"
#include "burdockhold/placement_router.h"
#include "burdockhold/settings.h"

#include <cstdint>
#include <string>

namespace burdockhold {

config_follower_options followerOptions(const daemon_settings &settings);

claims_options claimsOptions(const daemon_settings &settings);

/// incarnation differs between processes of the same VM.
membership_options membershipOptions(const daemon_settings &settings, std::uint64_t incarnation);

/// incarnation is that of membershipOptions().
limits_options limitsOptions(const daemon_settings &settings, std::uint64_t incarnation);

/// address is where to listen for callers, with a port other than 0.
front_options frontOptions(const daemon_settings &settings, const std::string &address);

placement_router_options routingOptions(const daemon_settings &settings);

load_controller_options loadOptions(const daemon_settings &settings);

} // namespace burdockhold

#endif
