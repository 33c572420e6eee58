#include "burdockhold/duty_controller.h"

#include "burdockhold/connect_check.h"

#include <algorithm>
#include <utility>

namespace burdockhold {

namespace {

constexpr std::string_view GroupPrefix = "burdockhold-orders/";
constexpr int StatusOk = 200;
// Engines respond within a few round trips. The outcome of a call without a response in time is
// found by a query of the engine's state.
constexpr duration EngineCallTimeout = std::chrono::milliseconds(400);
constexpr duration StoreCheckInterval = std::chrono::milliseconds(500);
constexpr duration StoreCheckTimeout = std::chrono::milliseconds(300);
constexpr duration JoinTimeout = std::chrono::milliseconds(1200);
// How long digests report an order after it was given.
constexpr duration OrderReportTime = std::chrono::seconds(10);

duty_lease_options leaseOptions(const router_settings &settings)
{
    duty_lease_options options;
    options.vm = shortHash(settings.vmName);
    if (!settings.enginesCheckFencingTokens)
        options.orderSpacing = settings.leaseTime + settings.leaseTime / 10;
    return options;
}

std::string groupOf(const std::string &pool)
{
    return std::string(GroupPrefix) + pool;
}

} // namespace

duty_controller::held_duty::held_duty(boost::asio::io_context &context,
                                      const boost::asio::ip::tcp::endpoint &logServer,
                                      store_era &era, const duty_lease_options &options,
                                      const std::string &pool, int partitions,
                                      duration processStartedAt)
    : lease(options, pool, partitions, processStartedAt)
    , connection(std::make_shared<log_connection>(context, logServer, &era))
{
}

duty_controller::duty_controller(boost::asio::io_context &context, router_board &board,
                                 boost::asio::ip::tcp::endpoint logServer)
    : m_context(context)
    , m_board(board)
    , m_logServer(std::move(logServer))
    , m_leaseOptions(leaseOptions(board.settings))
    , m_processStartedAt(bootTimeNow())
{
}

duty_controller::held_duty &duty_controller::dutyOf(const std::string &pool, time_point now)
{
    const auto [entry, isNew] = m_duties.try_emplace(
            pool, m_context, m_logServer, m_board.storeEra, m_leaseOptions, pool,
            m_board.settings.logPartitions, m_processStartedAt);
    if (isNew)
        entry->second.startedAt = now;
    return entry->second;
}

rollout_planner &duty_controller::plannerOf(held_duty &duty, const std::string &model)
{
    return duty.planners.try_emplace(model, m_board.options.rollout).first->second;
}

void duty_controller::stepMembership(const std::string &pool, held_duty &duty, time_point now)
{
    const duration silence = m_board.peerDutyClaims[shortHash(pool)].silence(
            m_leaseOptions.claimDelay, duty.startedAt, now);
    endLeaseOfEarlierEra(duty);
    logHolderChange(pool, duty, now);
    if (isFenced(duty) && !duty.joining && now >= duty.nextJoinAt) {
        duty.lease.tokenRefused();
        leaveGroup(pool, duty);
        return;
    }
    // Orders are given by the holder itself, never relayed, so a VM without contact is no holder.
    const bool shouldJoin = !m_board.contact.isLost()
                            && duty.lease.shouldJoin(bootTimeNow(), silence, rankOf(pool));
    if (shouldJoin && !duty.joining && now >= duty.nextJoinAt)
        join(pool, duty, now);
    if (!shouldJoin && duty.isMember && !duty.joining)
        leaveGroup(pool, duty);
}

/// Returns how many VMs try to take the duty over before this one. The former holder does not.
std::size_t duty_controller::rankOf(const std::string &pool) const
{
    std::vector<std::uint32_t> others = m_board.liveVms;
    const auto claim = m_board.peerDutyClaims.find(shortHash(pool));
    if (claim != m_board.peerDutyClaims.end())
        others.erase(std::remove(others.begin(), others.end(), shortHash(claim->second.holder())),
                     others.end());
    return dutyRank(pool, shortHash(m_board.settings.vmName), others);
}

/// Returns whether the former holder has handed the duty over to this VM: it is the first one to
/// try.
bool duty_controller::isHandedOver(const std::string &pool, const held_duty &duty) const
{
    const auto claim = m_board.peerDutyClaims.find(shortHash(pool));
    return claim != m_board.peerDutyClaims.end() && rankOf(pool) == 0
           && claim->second.isHandedOver(duty.lease.waitAfterTakeover(), bootTimeNow());
}

/// A lease of an earlier era proves nothing: the log may have given the duty to another VM since.
void duty_controller::endLeaseOfEarlierEra(held_duty &duty)
{
    duty.lease.setEra(m_board.storeEra.current());
    const std::int64_t newest = m_board.storeEra.newestHeardOf();
    if (newest <= duty.newestEra)
        return;
    duty.newestEra = newest;
    duty.releasedAt = bootTimeNow();
    duty.lease.release();
}

/// Returns true if engines have refused the token of this VM's lease.
bool duty_controller::isFenced(const held_duty &duty)
{
    const auto token = duty.lease.heldToken(bootTimeNow());
    return token && std::any_of(duty.planners.begin(), duty.planners.end(), [&](const auto &row) {
               return row.second.isFenced(*token);
           });
}

void duty_controller::join(const std::string &pool, held_duty &duty, time_point now)
{
    duty.joining = true;
    duty.isMember = true;
    duty.nextJoinAt = now + m_leaseOptions.joinInterval;
    const duration sentAt = bootTimeNow();
    const auto ttl = std::chrono::duration_cast<std::chrono::milliseconds>(m_leaseOptions.ttl);
    duty.connection->call(platform::joinCall(groupOf(pool), m_board.settings.vmName, ttl,
                                             duty.lease.generation()),
                          JoinTimeout, [this, pool, &duty, sentAt](const log_response &response) {
                              duty.joining = false;
                              if (!m_leaving)
                                  joinAnswered(pool, duty, response, sentAt);
                          });
}

void duty_controller::joinAnswered(const std::string &pool, held_duty &duty,
                                   const log_response &response, duration sentAt)
{
    const auto joined = platform::decodeJoin(response.body);
    if (response.status != StatusOk || !isOk(joined))
        return;
    endLeaseOfEarlierEra(duty);
    const bool isOfNewestEra = response.era.era == duty.newestEra;
    if (!isOfNewestEra && sentAt < duty.releasedAt)
        return;
    const platform::group_membership &membership = valueOf(joined);
    logMembership(pool, duty, membership);
    duty.lease.joined(membership.generation, membership.partitions, sentAt, bootTimeNow(),
                      isHandedOver(pool, duty));
}

/// Logs the first answer to a join, and each one that differs from the one before.
void duty_controller::logMembership(const std::string &pool, held_duty &duty,
                                    const platform::group_membership &membership)
{
    const std::optional<std::int64_t> before = duty.answeredGeneration;
    const bool isListed = duty.lease.isListed(membership.partitions);
    if (before == membership.generation && isListed == duty.wasListed)
        return;
    duty.answeredGeneration = membership.generation;
    duty.wasListed = isListed;
    const time_point now = steadyNow();
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::DutyJoined,
                          { { "pool", pool },
                            { "era", m_board.storeEra.current() },
                            { "generation", membership.generation },
                            { "generation_before", before.value_or(0) },
                            { "assigned", isListed } },
                          now);
}

void duty_controller::leaveGroup(const std::string &pool, held_duty &duty)
{
    duty.isMember = false;
    duty.lease.release();
    // A leave without an answer may take effect late and would end a newer membership. If it fails,
    // the membership expires by its ttl.
    duty.nextJoinAt = steadyNow() + m_leaseOptions.ttl;
    const auto connection = std::make_shared<log_connection>(m_context, m_logServer,
                                                             &m_board.storeEra);
    connection->call(platform::leaveCall(groupOf(pool), m_board.settings.vmName), JoinTimeout,
                     [this, &duty](const log_response &response) {
                         if (response.status == StatusOk)
                             duty.nextJoinAt = steadyNow() + m_leaseOptions.joinInterval;
                     });
}

void duty_controller::logHolderChange(const std::string &pool, held_duty &duty, time_point now)
{
    const bool holds = duty.lease.holds(bootTimeNow());
    if (holds == duty.wasHeld)
        return;
    duty.wasHeld = holds;
    m_board.digestRequested = true; // Other VMs that wait for a holder need not join.
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::DutyChanged,
                          { { "pool", pool },
                            { "holds", holds },
                            { "era", m_board.storeEra.current() },
                            { "generation", duty.lease.generation() },
                            { "token", duty.lease.heldToken(bootTimeNow()).value_or(0) } },
                          now);
}

void duty_controller::publishDuties(time_point now)
{
    m_board.ownDuties.clear();
    for (const auto &[pool, duty] : m_duties) {
        const auto orderAge = std::chrono::duration_cast<std::chrono::milliseconds>(
                now - duty.orderedAt);
        const bool recentlyOrdered = duty.orderedAt != time_point() && orderAge < OrderReportTime;
        const bool holds = duty.lease.holds(bootTimeNow());
        if (!holds && !recentlyOrdered)
            continue;
        m_board.ownDuties.push_back({ shortHash(pool), holds,
                                      recentlyOrdered ? static_cast<std::uint32_t>(orderAge.count())
                                                      : duty_row::NoOrder });
    }
}

void duty_controller::publishLoadTimes()
{
    m_board.ownLoadTimes.clear();
    for (const auto &[pool, duty] : m_duties) {
        for (const auto &[model, planner] : duty.planners) {
            const load_estimate *measured = planner.loads().measured();
            if (measured == nullptr)
                continue;
            m_board.ownLoadTimes.push_back(
                    { shortHash(pool), shortHash(model), digestMilliseconds(measured->drainTime),
                      digestMilliseconds(measured->loadTime), digestMilliseconds(measured->fastest),
                      static_cast<std::uint32_t>(measured->limit * load_time_row::LimitScale),
                      measured->storeIsLimit });
        }
    }
}

bool duty_controller::holds(const std::string &pool) const
{
    const auto duty = m_duties.find(pool);
    return !m_leaving && duty != m_duties.end() && duty->second.lease.holds(bootTimeNow());
}

void duty_controller::leave()
{
    m_leaving = true;
    for (auto &[pool, duty] : m_duties) {
        if (duty.isMember)
            leaveGroup(pool, duty);
    }
    publishDuties(steadyNow());
}

void duty_controller::checkStores(time_point now)
{
    if (now - m_storesCheckedAt < StoreCheckInterval)
        return;
    m_storesCheckedAt = now;
    if (m_board.contact.isLost())
        return;
    for (const deployment_pool &pool : m_board.deployment->pools()) {
        if (pool.store && !m_board.evacuated.isEvacuated(pool.store->dataCentre)
            && dutyOf(pool.name, now).lease.holds(bootTimeNow()))
            checkStore(pool.store->address);
    }
}

/// Checks that the store accepts connections. If it doesn't, every copy from it delays a request by
/// some hundred milliseconds.
void duty_controller::checkStore(const std::string &address)
{
    checkConnect(m_context, address, { StoreCheckTimeout, std::nullopt },
                 [this, address](connect_outcome outcome) {
                     if (outcome == connect_outcome::Accepted) {
                         m_board.storesFoundUnavailable.erase(address);
                         return;
                     }
                     if (m_board.contact.state() != contact_state::InTouch)
                         return;
                     m_board.storesFoundUnavailable.insert(address);
                     m_board.markStoreUnavailable(address, steadyNow());
                     m_board.digestRequested = true;
                 });
}

void duty_controller::step(time_point now)
{
    if (m_leaving)
        publishDuties(now); // Digests go on, and state the age of the last order.
    if (!m_board.deployment || m_leaving)
        return;
    for (const deployment_pool &pool : m_board.deployment->pools()) {
        const software_rollout *rollout = m_board.rolloutOf(pool.name);
        if (!pool.engine && !pool.store && (rollout == nullptr || !rollout->isOrdered()))
            continue;
        held_duty &duty = dutyOf(pool.name, now);
        stepMembership(pool.name, duty, now);
        if (!pool.engine)
            continue;
        for (const std::string &model : pool.engine->models)
            stepModel(pool, duty, model, now);
    }
    checkStores(now);
    publishDuties(now);
    publishLoadTimes();
}

std::vector<rollout_engine> duty_controller::enginesToOrder(const std::string &pool,
                                                            const std::string &model,
                                                            time_point now) const
{
    auto engines = m_board.endpoints.rolloutEngines(pool, model, now);
    engines.erase(std::remove_if(engines.begin(), engines.end(),
                                 [this](const rollout_engine &engine) {
                                     return m_board.isEvacuated(engine.id);
                                 }),
                  engines.end());
    for (rollout_engine &engine : engines)
        engine.usableFor = m_board.weightsUsableFor(model, engine.version);
    return engines;
}

void duty_controller::stepModel(const deployment_pool &pool, held_duty &duty,
                                const std::string &model, time_point now)
{
    const rollout_target target{ m_board.targetVersion(model), pool.engine->cacheTokens };
    rollout_planner &planner = plannerOf(duty, model);
    const auto known = m_board.peerLoadTimes.find({ shortHash(pool.name), shortHash(model) });
    if (known != m_board.peerLoadTimes.end())
        planner.loads().adopt(known->second);
    std::vector<rollout_engine> engines;
    const duration othersOrderAge = now - m_board.peerDutyClaims[shortHash(pool.name)].orderedAt();
    const auto token = duty.lease.token(bootTimeNow(), othersOrderAge);
    // Only the holder lists the engines: for a large pool, doing so on every tick costs more than
    // everything else on a VM that does not hold the duty.
    if (token)
        engines = enginesToOrder(pool.name, model, now);
    const auto actions = planner.step(engines, target, token, now);
    for (const std::string &id : planner.loadingEngines(now))
        m_board.endpoints.setLoading(id, planner.loadTimeLeft(id, now), now);
    for (const rollout_action &action : actions)
        std::visit([&](const auto &concreteAction) { execute(pool.name, model, concreteAction); },
                   action);
}

bool duty_controller::mayNotCall(const std::string &endpointId, time_point now) const
{
    return m_board.endpoints.isPausing(endpointId, now) || m_board.isEvacuated(endpointId);
}

void duty_controller::execute(const std::string &pool, const std::string &model,
                              const query_engine_state &action)
{
    const time_point now = steadyNow();
    if (mayNotCall(action.endpointId, now)) {
        plannerOf(dutyOf(pool, now), model).stateFailed(action.endpointId, now);
        return;
    }
    callEngine(action.address, platform::reportCall(action.endpointId),
               [this, pool, model, id = action.endpointId](const log_response &response) {
                   stateReceived(pool, model, id, response);
               });
}

void duty_controller::execute(const std::string &pool, const std::string &model,
                              const weights_order &action)
{
    const time_point now = steadyNow();
    if (mayNotCall(action.endpointId, now)) {
        // It is ordered after its pause, or when the evacuation has ended.
        plannerOf(dutyOf(pool, now), model).orderCompleted(action, order_result::Refused, now);
        return;
    }
    dutyOf(pool, now).orderedAt = now;
    dutyOf(pool, now).lease.ordered(bootTimeNow());
    m_board.metrics.count(router_counter::OrdersGiven);
    const rollout_planner &planner = plannerOf(dutyOf(pool, now), model);
    m_board.endpoints.setLoading(action.endpointId, planner.loadTimeLeft(action.endpointId, now),
                                 now);
    m_board.digestRequested = true;
    if (m_board.log.accepts(log_priority::StateChange, now)) {
        const load_estimate &estimate = planner.loads().estimate();
        m_board.log.write(log_event::OrderGiven,
                          { { "endpoint", action.endpointId },
                            { "model", model },
                            { "weights", action.version },
                            { "token", action.fencingToken },
                            { "expected", action.expectedOrders },
                            { "loading", planner.loadingEngines(now).size() },
                            { "order_limit", planner.loads().orderLimit() },
                            { "load_limit", estimate.limit },
                            { "drain_ms", 1000.0 * toSeconds(estimate.drainTime) },
                            { "load_ms", 1000.0 * toSeconds(estimate.loadTime) },
                            { "fastest_load_ms", 1000.0 * toSeconds(estimate.fastest) } },
                          now);
    }
    callEngine(action.address, platform::loadWeightsCall(action, m_board.settings.vmName),
               [this, pool, action](const log_response &response) {
                   orderCompleted(pool, action, response);
               });
}

void duty_controller::callEngine(const std::string &address, const platform::engine_call &call,
                                 std::function<void(log_response)> done)
{
    const auto server = parseAddress(address);
    if (!server) {
        done({});
        return;
    }
    const auto connection = std::make_shared<log_connection>(m_context, *server, nullptr);
    connection->call({ call.method, call.target, call.body, call.targetField }, EngineCallTimeout,
                     std::move(done));
}

void duty_controller::stateReceived(const std::string &pool, const std::string &model,
                                    const std::string &endpointId, const log_response &response)
{
    const time_point now = steadyNow();
    rollout_planner &planner = plannerOf(dutyOf(pool, now), model);
    const auto state = platform::decodeReport(response.body);
    if (response.status != StatusOk || !isOk(state)) {
        planner.stateFailed(endpointId, now);
        return;
    }
    for (const auto &[loaded, version] : valueOf(state).weights)
        m_board.endpoints.recordStatedWeights(endpointId, loaded, version);
    planner.stateReceived(endpointId, valueOf(state), now);
    m_board.digestRequested = true;
}

void duty_controller::orderCompleted(const std::string &pool, const weights_order &order,
                                     const log_response &response)
{
    const time_point now = steadyNow();
    const order_result result = response.status == 0 ? order_result::None
                                                     : platform::decodeOrderResult(response.status);
    plannerOf(dutyOf(pool, now), order.model).orderCompleted(order, result, now);
    if (result == order_result::AlreadyHolds)
        m_board.endpoints.recordStatedWeights(order.endpointId, order.model, order.version);
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::OrderAnswered,
                          { { "endpoint", order.endpointId },
                            { "weights", order.version },
                            { "token", order.fencingToken },
                            { "answer", nameOf(result) },
                            { "status", response.status } },
                          now);
}

} // namespace burdockhold
