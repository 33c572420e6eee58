#include "burdockhold/daemon_options.h"

#include "burdockhold/admin_server.h"

#include <sys/resource.h>

#include <algorithm>
#include <random>

namespace burdockhold {

namespace {

/// Time that the HTTP library's inactivity limit leaves to the router's watchdogs.
constexpr std::chrono::seconds BackstopMargin(10);

log_client_options logOptions(const daemon_settings &settings)
{
    log_client_options options;
    options.url = settings.logUrl;
    options.appendTimeout = settings.logTimeout;
    options.readTimeout = settings.logTimeout;
    return options;
}

/// Descriptors that the daemon needs besides those of its callers and operators: the log, the VM
/// list, other VMs, endpoints' load reports and files. An estimate, not measured.
constexpr std::size_t OwnDescriptors = 64;
/// Connections that callers get even if the limit leaves fewer.
constexpr std::size_t MinDescriptors = 16;
/// Whole responses that are being received get this part of the memory.
constexpr std::size_t ResponsesDivisor = 8;

/// Returns how many connections and running requests of callers the process has descriptors for.
std::size_t descriptorsForCallers()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return MinDescriptors;
    const auto all = static_cast<std::size_t>(limit.rlim_cur);
    const std::size_t own = OwnDescriptors + AdminDescriptors;
    return all > own + MinDescriptors ? all - own : MinDescriptors;
}

listener_options listenerOptions(const daemon_settings &settings)
{
    listener_options options;
    options.headBytes = static_cast<std::size_t>(settings.headLimitBytes);
    options.headTime = settings.headTime;
    options.idleTime = settings.idleTime;
    options.descriptors = descriptorsForCallers();
    if (settings.maxConnections > 0)
        options.descriptors = std::min(options.descriptors,
                                       static_cast<std::size_t>(settings.maxConnections));
    options.memoryBytes = static_cast<std::size_t>(settings.memoryBytes) - AdminMemoryBytes;
    return options;
}

/// Returns d in milliseconds of log time.
log_time_ms toMilliseconds(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace

config_follower_options followerOptions(const daemon_settings &settings)
{
    config_follower_options options;
    options.follow.log = logOptions(settings);
    options.follow.wait = settings.logPollWait;
    options.follow.seed = std::random_device{}();
    options.retention = std::chrono::duration_cast<std::chrono::milliseconds>(
            settings.logRetention);
    options.publishesFreshness = false;
    return options;
}

claims_options claimsOptions(const daemon_settings &settings)
{
    claims_options options;
    options.vm = settings.name;
    options.follow.log = logOptions(settings);
    options.follow.wait = settings.logPollWait;
    options.follow.seed = std::random_device{}();
    options.deadline = settings.claimDeadline;
    options.maxViewAge = settings.maxViewAge;
    options.ledger.claimWindowMs = toMilliseconds(settings.claimWindow);
    // The wait for the claim, for the answer and for its last byte.
    options.ledger.inProgressMs = toMilliseconds(settings.claimDeadline
                                                 + 2 * settings.serviceTimeout);
    return options;
}

membership_options membershipOptions(const daemon_settings &settings, std::uint64_t incarnation)
{
    membership_options options;
    options.self = settings.name;
    options.incarnation = incarnation;
    options.vmsUrl = settings.vmsUrl;
    options.vmsInterval = settings.vmsInterval;
    options.heartbeatInterval = settings.heartbeatInterval;
    options.maxViewAge = settings.maxViewAge;
    options.log = logOptions(settings);
    return options;
}

limits_options limitsOptions(const daemon_settings &settings, std::uint64_t incarnation)
{
    limits_options options;
    options.limits.self = settings.name;
    options.limits.incarnation = incarnation;
    options.limits.grantLifetime = settings.grantLifetime;
    options.limits.maxWait = settings.maxLimitWait;
    options.maxOpenRequests = settings.maxOpenRequests;
    return options;
}

front_options frontOptions(const daemon_settings &settings, const std::string &address)
{
    front_options options;
    options.address = address;
    options.bodyLimitBytes = static_cast<std::size_t>(settings.bodyLimitBytes);
    options.listener = listenerOptions(settings);
    options.allResponsesLimitBytes = std::min(options.allResponsesLimitBytes,
                                              options.listener.memoryBytes / ResponsesDivisor);
    options.maxViewAge = settings.maxViewAge;
    options.resume.maxAttempts = static_cast<int>(settings.maxAttempts);
    options.upstream.firstToken = settings.firstTokenTimeout;
    options.upstream.betweenTokens = settings.interTokenTimeout;
    options.wholeTimeout = settings.wholeTimeout;
    options.serviceTimeout = settings.serviceTimeout;
    // The HTTP library's own limit must not end a call before the router's watchdogs do.
    options.upstream.backstop = BackstopMargin
                                + std::max({ settings.firstTokenTimeout, settings.interTokenTimeout,
                                             settings.wholeTimeout, settings.serviceTimeout });
    return options;
}

placement_router_options routingOptions(const daemon_settings &settings)
{
    placement_router_options options;
    options.retries.share = settings.retryPercent / 100.0;
    options.retries.minimum = settings.retryMinimum;
    // Queues change within the age of a load report, so that small excesses say nothing.
    options.health.minLatencyExcess = std::chrono::seconds(1);
    return options;
}

load_controller_options loadOptions(const daemon_settings &settings)
{
    load_controller_options options;
    options.interval = settings.loadInterval;
    options.seed = std::random_device{}();
    return options;
}

} // namespace burdockhold
