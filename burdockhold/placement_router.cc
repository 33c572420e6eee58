#include "burdockhold/placement_router.h"

#include "burdockhold/hash.h"

#include <algorithm>
#include <cmath>

namespace burdockhold {

namespace {

/// Reading whether each endpoint is ejected costs a look-up by name, so it is not done for every
/// request. Ejections last a second at least.
constexpr duration EjectionReadInterval = std::chrono::milliseconds(50);
/// Load weights move by a few percent per second; one update per round of polls is enough.
constexpr duration WeightUpdateInterval = std::chrono::milliseconds(250);

std::uint64_t poolKey(const std::string &name, endpoint_role role)
{
    return combineHash(hash64(name), static_cast<std::uint64_t>(role));
}

std::size_t positionOf(const std::vector<placement_endpoint> &endpoints, const std::string &name)
{
    std::size_t position = 0;
    while (position < endpoints.size() && endpoints[position].name != name)
        ++position;
    return position;
}

basic_error<routing_error> noEndpoint(const std::string &pool)
{
    return { routing_error::NoEndpoint, "no endpoint of the pool may take the request", pool };
}

} // namespace

placement_router::placement_router(placement_router_options options)
    : m_options(options)
{
}

routing_result placement_router::choose(const catalogue &config, const routing_request &request,
                                        time_point now)
{
    // Cutting takes time linear in the prompt, so it is done outside the lock.
    const auto prompt = std::make_shared<const prompt_prefix>(
            cutPrompt(request.prompt, identitySeed(request.identity)));

    const std::lock_guard<std::mutex> lock(m_mutex);
    takeCatalogue(config, now);
    pool_state *pool = findPool(request);
    if (pool == nullptr)
        return noEndpoint(request.pool);
    if (!request.isRetry) {
        pool->budget.countRequest(now);
        recordHeat(m_heat, *prompt, pool->key, now);
    }
    readEjections(*pool, now);
    const auto chosen = choosePlacement(viewOf(*pool, now), requestOf(*pool, request, *prompt),
                                        m_options.placement);
    if (!isOk(chosen))
        return noEndpoint(request.pool);
    const placement_choice &choice = valueOf(chosen);
    const placement_endpoint &endpoint = pool->endpoints[choice.chosen.endpoint];
    m_recent.recordSent(*prompt, endpoint.key, endpoint.incarnation, choice.workSeconds, now);
    routing_choice described = describe(*pool, choice);
    described.prompt = prompt;
    return described;
}

std::vector<std::string> placement_router::usableEndpoints(const catalogue &config,
                                                           const routing_request &request,
                                                           time_point now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    takeCatalogue(config, now);
    std::vector<std::string> usable;
    pool_state *pool = findPool(request);
    if (pool == nullptr)
        return usable;
    readEjections(*pool, now);
    for (const placement_endpoint &endpoint : pool->endpoints) {
        const bool known = !endpoint.weightsVersion.empty()
                           && request.role == endpoint_role::Engine;
        if (endpoint.leaving || endpoint.ejected
            || (known && endpoint.weightsVersion != request.identity.weightsVersion))
            continue;
        usable.push_back(endpoint.name);
    }
    return usable;
}

bool placement_router::tryRetry(const routing_request &request, time_point now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    pool_state *pool = findPool(request);
    return pool != nullptr && pool->budget.tryRetry(now);
}

void placement_router::attemptEnded(const routing_request &request, const routing_choice &choice,
                                    const attempt_report &report, time_point now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_places.find(choice.endpoint);
    if (found == m_places.end())
        return;
    pool_state &pool = *found->second.pool;
    const std::size_t position = found->second.position;
    const placement_endpoint &endpoint = pool.endpoints[position];
    // A load report that is newer than the call knows better.
    if (!report.incarnation.empty() && report.startedAt >= endpoint.loadAsOf)
        takeReport(pool, position, report.incarnation, report.weightsVersion);
    if (report.outcome == attempt_outcome::NotJudged)
        return;

    const bool succeeded = report.outcome == attempt_outcome::Succeeded;
    // What the endpoint needed beyond the expectation; a long prompt is no sign of a slow endpoint.
    const duration excess = report.firstByte - fromSeconds(choice.expectedSeconds);
    pool.health.callEnded(choice.endpoint,
                          { report.incarnation, succeeded, std::max(excess, duration::zero()) },
                          now);
    pool.ejectionsReadAt = {};
    if (choice.prompt == nullptr)
        return;
    if (!succeeded)
        m_recent.forget(*choice.prompt, endpoint.key);
    else if (request.role == endpoint_role::Engine)
        m_recent.recordReported(choice.ownTokens, choice.ruleTokens,
                                static_cast<double>(report.cachedTokens));
}

void placement_router::loadReported(const std::string &endpoint, const engine_load &load,
                                    time_point asOf, time_point now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_places.find(endpoint);
    if (found == m_places.end())
        return;
    pool_state &pool = *found->second.pool;
    placement_endpoint &known = pool.endpoints[found->second.position];
    if (asOf < known.loadAsOf)
        return;
    takeReport(pool, found->second.position, load.incarnation, load.weightsVersion);
    known.queuedTokens = load.queuedTokens;
    known.loadAsOf = asOf;
    pool.health.loadReported(endpoint, { load.incarnation, load.queuedTokens, load.running, asOf });
    updateWeights(pool, now);
}

void placement_router::loadMissed(const std::string &endpoint, time_point now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_places.find(endpoint);
    if (found == m_places.end())
        return;
    found->second.pool->health.callEnded(endpoint, { "", false, duration::zero() }, now);
    found->second.pool->ejectionsReadAt = {};
}

void placement_router::setVms(std::size_t vms)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_options.vms = std::max<std::size_t>(vms, 1);
}

std::vector<heat_entry> placement_router::exportHeat(time_point now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_heat.exportEntries(now);
}

void placement_router::importHeat(const std::vector<heat_entry> &entries, time_point now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_heat.importEntries(entries, now);
}

std::vector<endpoint_view> placement_router::endpoints(time_point now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<endpoint_view> all;
    for (auto &[name, pool] : m_pools) {
        readEjections(pool, now);
        for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
            const placement_endpoint &endpoint = pool.endpoints[i];
            all.push_back({ endpoint.name, name.first, pool.incarnations[i],
                            endpoint.weightsVersion, endpoint.queuedTokens, endpoint.loadAsOf,
                            endpoint.leaving, endpoint.ejected });
        }
    }
    return all;
}

/// Rebuilds the pools after the catalogue has changed. Endpoints that stay keep their reports, and
/// pools their health, budget and weights.
void placement_router::takeCatalogue(const catalogue &config, time_point now)
{
    if (config.offset <= m_offset && m_offset > 0)
        return;
    m_offset = config.offset;
    std::map<pool_name, pool_state> before = std::move(m_pools);
    m_pools.clear();
    m_places.clear();
    std::map<pool_name, std::vector<pool_member>> members;
    for (const auto &[name, entry] : config.endpoints) {
        const pool_name pool{ entry.value.pool, entry.value.role };
        const auto earlier = before.find(pool);
        members[pool].push_back({ name, entry.value.state });
        addEndpoint(poolOf(pool), name, entry.value,
                    earlier == before.end() ? nullptr : &earlier->second);
    }
    for (auto &[name, pool] : m_pools) {
        const auto earlier = before.find(name);
        if (earlier != before.end()) {
            pool.health = std::move(earlier->second.health);
            pool.budget = earlier->second.budget;
            pool.weights = std::move(earlier->second.weights);
        }
        pool.health.setMembers(members[name], now);
        for (std::size_t i = 0; i < pool.endpoints.size(); ++i)
            m_places[pool.endpoints[i].name] = { &pool, i };
    }
}

placement_router::pool_state &placement_router::poolOf(const pool_name &name)
{
    const auto found = m_pools.find(name);
    if (found != m_pools.end())
        return found->second;
    pool_state &added = m_pools[name];
    added.key = poolKey(name.first, name.second);
    added.health = pool_health(m_options.health);
    added.budget = retry_budget(m_options.retries);
    return added;
}

placement_router::pool_state *placement_router::findPool(const routing_request &request)
{
    const auto found = m_pools.find({ request.pool, request.role });
    return found == m_pools.end() ? nullptr : &found->second;
}

void placement_router::addEndpoint(pool_state &pool, const std::string &name,
                                   const endpoint_entry &entry, const pool_state *before)
{
    placement_endpoint endpoint;
    std::string incarnation;
    if (before != nullptr) {
        const std::size_t earlier = positionOf(before->endpoints, name);
        // Another URL is another engine, whose reports are not known yet.
        if (earlier < before->endpoints.size() && before->urls[earlier] == entry.url) {
            endpoint = before->endpoints[earlier];
            incarnation = before->incarnations[earlier];
        }
    }
    endpoint.name = name;
    endpoint.key = endpointKey(name);
    endpoint.weight = entry.weight;
    endpoint.prefillTokensPerSecond = entry.prefillTokensPerSecond;
    endpoint.leaving = entry.state != endpoint_state::Active;
    pool.endpoints.push_back(std::move(endpoint));
    pool.urls.push_back(entry.url);
    pool.incarnations.push_back(incarnation);
}

void placement_router::takeReport(pool_state &pool, std::size_t position,
                                  const std::string &incarnation, const std::string &weightsVersion)
{
    placement_endpoint &endpoint = pool.endpoints[position];
    if (pool.incarnations[position] != incarnation) {
        pool.incarnations[position] = incarnation;
        endpoint.incarnation = endpointKey(incarnation);
        endpoint.queuedTokens = 0;
    }
    if (!weightsVersion.empty())
        endpoint.weightsVersion = weightsVersion;
}

void placement_router::readEjections(pool_state &pool, time_point now)
{
    if (now < pool.ejectionsReadAt + EjectionReadInterval)
        return;
    pool.ejectionsReadAt = now;
    for (placement_endpoint &endpoint : pool.endpoints)
        endpoint.ejected = !endpoint.leaving && !pool.health.isUsable(endpoint.name, now);
}

void placement_router::updateWeights(pool_state &pool, time_point now)
{
    if (now < pool.weightsUpdatedAt + WeightUpdateInterval)
        return;
    pool.weightsUpdatedAt = now;
    std::vector<endpoint_wait> waits;
    waits.reserve(pool.endpoints.size());
    for (const placement_endpoint &endpoint : pool.endpoints) {
        const double rate = std::max(endpoint.prefillTokensPerSecond, 1.0);
        waits.push_back({ endpoint.key, static_cast<double>(endpoint.queuedTokens) / rate });
    }
    pool.weights.update(waits, now);
}

placement_view placement_router::viewOf(const pool_state &pool, time_point now) const
{
    placement_view view;
    view.endpoints = &pool.endpoints;
    view.heat = &m_heat;
    view.recent = &m_recent;
    view.loadWeights = &pool.weights;
    view.pool = pool.key;
    view.vms = m_options.vms;
    view.now = now;
    return view;
}

placement_request placement_router::requestOf(const pool_state &pool,
                                              const routing_request &request,
                                              const prompt_prefix &prompt)
{
    placement_request wanted;
    wanted.prompt = &prompt;
    wanted.tieKey = hash64(request.prompt, identitySeed(request.identity));
    if (request.role == endpoint_role::Engine)
        wanted.weightsVersion = request.identity.weightsVersion;
    for (const std::string &name : request.excluded)
        wanted.excluded.push_back(endpointKey(name));
    if (request.assigned.empty() || request.excluded.count(request.assigned) > 0)
        return wanted;
    for (const placement_endpoint &endpoint : pool.endpoints) {
        if (endpoint.name != request.assigned)
            wanted.excluded.push_back(endpoint.key);
    }
    return wanted;
}

routing_choice placement_router::describe(const pool_state &pool, const placement_choice &choice)
{
    const placement_candidate &chosen = choice.chosen;
    routing_choice described;
    described.endpoint = pool.endpoints[chosen.endpoint].name;
    described.url = pool.urls[chosen.endpoint];
    described.expectedCachedTokens = std::llround(chosen.cachedTokens);
    described.expectedSeconds = chosen.queueWaitSeconds + chosen.missingSeconds;
    described.incarnation = pool.incarnations[chosen.endpoint];
    described.ownTokens = chosen.ownTokens;
    described.ruleTokens = chosen.ruleTokens;
    for (const placement_candidate &candidate : choice.candidates)
        described.candidates.push_back({ pool.endpoints[candidate.endpoint].name,
                                         candidate.queueWaitSeconds, candidate.cachedTokens,
                                         candidate.scoreSeconds });
    return described;
}

} // namespace burdockhold
