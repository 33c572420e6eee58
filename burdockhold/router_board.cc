#include "burdockhold/router_board.h"

#include <xxhash.h>

#include <ctime>

#include <algorithm>
#include <sstream>
#include <utility>

namespace burdockhold {

namespace {

/// Engines that are further behind are treated as being behind the oldest version kept.
constexpr std::size_t MaxVersionsKept = 16;
/// Allows for the time between the placement of a call and its beginning at the endpoint.
constexpr duration StaleWeightsMargin = std::chrono::milliseconds(1500);
/// How long after a start calls may begin on weights that are older than a version with a guessed
/// announcement time, less the margin of the weights bound. Long enough for the first digests to
/// arrive, and shorter than the platform permits for a started VM.
constexpr duration GuessedVersionGrace = std::chrono::milliseconds(4000);
/// A view that was confirmed within this time has received each change at once: readers wait for
/// changes for at most a fifth of the revocation bound, and other VMs for less than that.
constexpr duration UsualViewAge = std::chrono::seconds(2);
/// How long a store is treated as unavailable after the last report of a failed check. Covers two
/// missed checks.
constexpr duration StoreUnavailableTime = std::chrono::milliseconds(1200);
/// Rate of transfers that may be requested, as a multiple of the link's rate. The link is full
/// duplex, and engines and the store often already hold the requested segments.
constexpr double LinkRateMultiple = 2.0;
/// Burst of transfers that may be requested at once, as time at the permitted rate.
constexpr duration LinkBurst = std::chrono::milliseconds(200);

} // namespace

duration bootTimeNow()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

namespace {

endpoint_table_options tableOptions(const router_settings &settings, endpoint_table_options options)
{
    options.returnSeed = shortHash(settings.vmName);
    return options;
}

cold_engine_options coldOptions(const router_settings &settings)
{
    cold_engine_options options;
    if (!settings.mechanisms.uses(mechanism::ColdRate))
        return options;
    options.overshoot = settings.coldOvershoot;
    options.slack = settings.coldSlack;
    const bool schedulersGrant = settings.mechanisms.uses(mechanism::Schedulers)
                                 && settings.mechanisms.uses(mechanism::ColdGrants);
    if (!schedulersGrant)
        options.grantDelay = duration::zero();
    return options;
}

} // namespace

router_board::router_board(router_settings source)
    : settings(std::move(source))
    , options(optionsFor(settings.mechanisms))
    , endpoints(settings.dataCentre, tableOptions(settings, options.endpoints))
    , coldEngines(coldOptions(settings))
    , knownVms(shortHash(settings.vmName))
    , log(settings.vmName)
{
}

std::int64_t router_board::targetVersion(const std::string &model) const
{
    const auto found = announcedVersions.find(model);
    return found == announcedVersions.end() ? 0 : found->second.back().version;
}

std::int64_t router_board::nextAnnouncedVersion(const std::string &model,
                                                std::int64_t version) const
{
    const auto found = announcedVersions.find(model);
    if (found == announcedVersions.end())
        return 0;
    for (const announced_version &announced : found->second) {
        if (announced.version > version)
            return announced.version;
    }
    return 0;
}

bool router_board::recordAnnouncedVersion(const std::string &model, std::int64_t version,
                                          duration age, bool guessed)
{
    const duration announcedAt = bootTimeNow() - age;
    auto &versions = announcedVersions[model];
    for (announced_version &known : versions) {
        if (known.version != version)
            continue;
        if (known.guessed && !guessed)
            known = { version, announcedAt, false };
        else if (known.guessed == guessed)
            known.announcedAt = std::min(known.announcedAt, announcedAt);
        return false;
    }
    const bool newest = versions.empty() || version > versions.back().version;
    const auto position = std::upper_bound(versions.begin(), versions.end(), version,
                                           [](std::int64_t value, const announced_version &known) {
                                               return value < known.version;
                                           });
    versions.insert(position, { version, announcedAt, guessed });
    if (versions.size() > MaxVersionsKept)
        versions.erase(versions.begin());
    return newest;
}

bool router_board::recordReadVersion(const std::string &model, std::int64_t version)
{
    const bool atStart = deploymentConfirmedAt < duration::zero();
    if (atStart)
        return recordAnnouncedVersion(model, version, settings.weightsBound - GuessedVersionGrace,
                                      true);
    const bool isLate = deploymentAge() > UsualViewAge;
    return recordAnnouncedVersion(model, version, isLate ? deploymentAge() : duration::zero(),
                                  isLate);
}

/// Returns for how long calls on older weights may be placed after an announcement.
duration router_board::olderWeightsTime() const
{
    return settings.weightsBound - StaleWeightsMargin;
}

/// Returns true if most of the other VMs were heard so recently that what they know is known here.
bool router_board::knowsFleet() const
{
    return fleetHeardAt > bootTimeNow() - olderWeightsTime();
}

bool router_board::mayHaveMissedVersion() const
{
    return deploymentAge() > olderWeightsTime() && !knowsFleet();
}

duration router_board::weightsUsableFor(const std::string &model, std::int64_t version) const
{
    const auto found = announcedVersions.find(model);
    if (found == announcedVersions.end())
        return duration::max();
    for (const announced_version &announced : found->second) {
        if (announced.version <= version)
            continue;
        if (announced.guessed && !knowsFleet())
            return duration::zero(); // Other VMs may know an earlier time.
        return olderWeightsTime() - (bootTimeNow() - announced.announcedAt);
    }
    return duration::max();
}

const cache_store *router_board::storeFor(std::string_view segment,
                                          std::string_view preferredDataCentre, time_point now,
                                          const region_rules &rules) const
{
    const cache_store *best = nullptr;
    std::pair<bool, std::uint64_t> bestScore;
    if (!deployment)
        return best;
    const std::uint64_t seed = XXH64(segment.data(), segment.size(), 0);
    for (const deployment_pool &pool : deployment->pools()) {
        if (!pool.store || evacuated.isEvacuated(pool.store->dataCentre)
            || !rules.allows(pool.store->dataCentre, settings.regions))
            continue;
        const std::string &address = pool.store->address;
        const auto unavailable = storeUnavailableUntil.find(address);
        if (unavailable != storeUnavailableUntil.end() && now < unavailable->second)
            continue;
        const std::pair<bool, std::uint64_t> score{ pool.store->dataCentre == preferredDataCentre,
                                                    XXH64(address.data(), address.size(), seed) };
        if (best == nullptr || score > bestScore) {
            best = &*pool.store;
            bestScore = score;
        }
    }
    return best;
}

bool router_board::isEvacuated(std::string_view endpointId) const
{
    if (evacuated.empty())
        return false;
    const endpoint_report *report = endpoints.find(endpointId);
    return report != nullptr && evacuated.isEvacuated(report->dataCentre);
}

double router_board::evacuationProgress(std::string_view endpointId) const
{
    const endpoint_report *report = isEvacuated(endpointId) ? endpoints.find(endpointId) : nullptr;
    if (report == nullptr || !settings.evacuationBound)
        return 0.0;
    return toSeconds(evacuated.inForceFor(report->dataCentre, bootTimeNow()))
           / toSeconds(*settings.evacuationBound);
}

quota_ledger &router_board::storeLinkQuota(const cache_store &store, time_point now)
{
    // The prefix keeps links apart from accounts in digests, which identify both by name.
    const std::string name = "link/" + store.address;
    const auto found = storeLinks.find(name);
    if (found != storeLinks.end())
        return found->second;
    quota_ledger_options linkOptions;
    linkOptions.phaseSeed = phaseSeedOf(name);
    return storeLinks.emplace(name, quota_ledger(linkOptions, linkLimit(store), now)).first->second;
}

/// Returns a seed that differs between VMs and between limits.
std::uint64_t router_board::phaseSeedOf(std::string_view limit) const
{
    return XXH64(limit.data(), limit.size(),
                 XXH64(settings.vmName.data(), settings.vmName.size(), 0));
}

quota_limit router_board::linkLimit(const cache_store &store) const
{
    const double rate = deployment ? LinkRateMultiple * deployment->tokensPerSecond(store) : 0.0;
    return { rate, rate * toSeconds(LinkBurst) };
}

void router_board::applyLimits(time_point now)
{
    for (const auto &[key, account] : deployment->accounts()) {
        const auto quota = quotas.find(account.name);
        if (quota != quotas.end())
            quota->second.setLimit({ account.ratePerSecond, account.burst }, now);
        else if (account.ratePerSecond > 0.0)
            accountQuota(account, now);
    }
    for (const deployment_pool &pool : deployment->pools()) {
        if (pool.store)
            storeLinkQuota(*pool.store, now).setLimit(linkLimit(*pool.store), now);
        else
            retryLimit(pool.name, now);
    }
}

void router_board::markStoreUnavailable(const std::string &address, time_point now)
{
    storeUnavailableUntil[address] = now + StoreUnavailableTime;
    storedSegments.clear();
}

duration router_board::endpointReadInterval() const
{
    constexpr double ShareOfBound = 0.4; // Two reads fit within the bound.
    return fromSeconds(toSeconds(settings.leavingBound) * ShareOfBound);
}

void router_board::confirmEndpoints(duration at)
{
    endpointsConfirmedAt = std::max(endpointsConfirmedAt, at);
    const time_point now = steadyNow();
    const time_point confirmedAt = now - (bootTimeNow() - endpointsConfirmedAt);
    for (const endpoint_report &report : endpoints.confirmView(confirmedAt)) {
        coldEngines.reported(report, true, now);
        logEndpointChanged(report, now);
    }
    coldEngines.confirmView(confirmedAt);
}

void router_board::logEndpointChanged(const endpoint_report &report, time_point now)
{
    if (!log.accepts(log_priority::StateChange, now))
        return;
    log.write(log_event::EndpointChanged,
              { { "endpoint", report.id },
                { "pool", report.pool },
                { "address", report.address },
                { "state", report.leaving ? "leaving" : "ready" } },
              now);
}

call_ticket router_board::callStarted(std::string_view endpointId, const call_load &load,
                                      time_point now, bool onSchedulersShare)
{
    if (!onSchedulersShare)
        coldEngines.requestSent(endpointId, now);
    return endpoints.callStarted(endpointId, load, now);
}

std::string router_board::metricsText(time_point now)
{
    std::ostringstream gauges;
    gauges << "# TYPE burdockhold_cold_engines gauge\nburdockhold_cold_engines "
           << coldEngines.coldCount(now)
           << "\n# TYPE burdockhold_cold_rate gauge\nburdockhold_cold_rate "
           << coldEngines.rate(knownVms, now) << "\n";
    return metrics.text() + gauges.str();
}

retry_limit &router_board::retryLimit(const std::string &pool, time_point now)
{
    const std::string name = "repeats/" + pool;
    const auto found = retryLimits.find(name);
    if (found != retryLimits.end())
        return found->second;
    retry_limit_options limitOptions;
    limitOptions.ratio = settings.retryRatio;
    limitOptions.slack = settings.retrySlack;
    limitOptions.sharesSlack = settings.mechanisms.uses(mechanism::SharedRetrySlack);
    retry_slack_options slackOptions;
    slackOptions.minVms = std::max(slackOptions.minVms, knownPeers + 1);
    slackOptions.isOnlyVm = isVmListRead && knownPeers == 0;
    slackOptions.phaseSeed = phaseSeedOf(name);
    if (!settings.mechanisms.uses(mechanism::StartGuard))
        slackOptions.startGuard = duration::zero();
    return retryLimits.emplace(name, retry_limit(limitOptions, slackOptions, now)).first->second;
}

void router_board::countRequest(const std::string &pool, time_point now)
{
    retryLimit(pool, now).countRequest(now);
}

bool router_board::tryRetry(const std::string &pool, time_point now)
{
    return retryLimit(pool, now).tryRetry(now);
}

bool router_board::tryOptionalRetry(const std::string &pool, time_point now)
{
    return retryLimit(pool, now).tryOptionalRetry(now);
}

quota_ledger &router_board::accountQuota(const deployment_account &account, time_point now)
{
    const auto found = quotas.find(account.name);
    if (found != quotas.end())
        return found->second;
    const quota_limit limit{ account.ratePerSecond, account.burst };
    quota_ledger_options ledgerOptions = sharedLimitOptions(account.name);
    ledgerOptions.rateTolerance = settings.limitTolerance;
    ledgerOptions.amountTolerance = account.countsTokens ? settings.limitToleranceTokens : 0.0;
    return quotas.emplace(account.name, quota_ledger(ledgerOptions, limit, now)).first->second;
}

quota_ledger_options router_board::sharedLimitOptions(std::string_view limit) const
{
    quota_ledger_options ledgerOptions = options.sharedLimits;
    ledgerOptions.minVms = std::max(ledgerOptions.minVms, knownPeers + 1);
    ledgerOptions.phaseSeed = phaseSeedOf(limit);
    return ledgerOptions;
}

void router_board::returnTokens(const deployment_account &account, double tokens, time_point now)
{
    if (settings.mechanisms.uses(mechanism::ReturnedTokens))
        accountQuota(account, now).returnTokens(tokens, now);
}

void router_board::logFingerprintBlocked(fingerprint suspect, std::string_view reportedBy,
                                         time_point now)
{
    metrics.count(router_counter::FingerprintsBlocked);
    if (log.accepts(log_priority::StateChange, now))
        log.write(log_event::FingerprintBlocked,
                  { { "fingerprint", formatFingerprint(suspect) },
                    { "strikes", crashes.strikes(suspect, now) },
                    { "reported_by", reportedBy } },
                  now);
}

} // namespace burdockhold
