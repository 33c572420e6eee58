#include "burdockhold/loop_duties.h"

#include <algorithm>
#include <utility>

namespace burdockhold {

using boost::system::error_code;

namespace {

constexpr std::string_view DutyGroup = "burdockhold-duties";
constexpr int StatusOk = 200;
constexpr duration EngineCallTimeout = std::chrono::milliseconds(1200);
constexpr duration StoreCheckInterval = std::chrono::milliseconds(500);
constexpr duration StoreCheckTimeout = std::chrono::milliseconds(300);
constexpr duration JoinTimeout = std::chrono::milliseconds(1200);

duty_lease_options leaseOptions(const router_settings &settings)
{
    duty_lease_options options;
    options.takeoverWait = settings.leaseTime + settings.leaseTime / 10;
    return options;
}

} // namespace

duty_controller::duty_controller(boost::asio::io_context &context, router_board &board,
                                 digest_link &digests, boost::asio::ip::tcp::endpoint logServer)
    : m_context(context)
    , m_board(board)
    , m_digests(digests)
    , m_leaseOptions(leaseOptions(board.settings))
    , m_lease(m_leaseOptions, board.settings.logPartitions)
    , m_lane(std::make_shared<log_lane>(context, std::move(logServer)))
    , m_joinTimer(context)
{
}

void duty_controller::start()
{
    join();
}

void duty_controller::join()
{
    const duration sentAt = bootNow();
    const auto ttl = std::chrono::duration_cast<std::chrono::milliseconds>(m_leaseOptions.ttl);
    m_lane->call(platform::joinCall(DutyGroup, m_board.settings.vmName, ttl, m_lease.generation()),
                 JoinTimeout, [this, sentAt](const log_answer &answer) {
                     if (m_leaving)
                         return;
                     const auto joined = platform::decodeJoin(answer.body);
                     if (answer.status == StatusOk && isOk(joined))
                         m_lease.joined(valueOf(joined).generation, valueOf(joined).partitions,
                                        sentAt);
                     joinAfter(m_leaseOptions.joinInterval);
                 });
}

void duty_controller::joinAfter(duration pause)
{
    m_joinTimer.expires_after(pause);
    m_joinTimer.async_wait([this](error_code error) {
        if (!error && !m_leaving)
            join();
    });
}

void duty_controller::leave()
{
    m_leaving = true;
    m_joinTimer.cancel();
    m_lease.release();
    const auto lane = std::make_shared<log_lane>(m_context, *parseAddress(m_board.settings.logAddress));
    lane->call(platform::leaveCall(DutyGroup, m_board.settings.vmName), JoinTimeout,
               [](const log_answer &) {}); // Without an answer the lease lapses by itself.
}

void duty_controller::checkStores(time_point now)
{
    if (now - m_storesCheckedAt < StoreCheckInterval)
        return;
    m_storesCheckedAt = now;
    for (const deployment_pool &pool : m_board.deployment->source().pools) {
        if (pool.store && !m_leaving && m_lease.holds(pool.name, bootNow()))
            checkStore(pool.store->address);
    }
}

/// A store that accepts no connection makes every copy from it a wait of some hundred milliseconds.
void duty_controller::checkStore(const std::string &address)
{
    const auto server = parseAddress(address);
    if (!server)
        return;
    const auto socket = std::make_shared<boost::asio::ip::tcp::socket>(m_context);
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, StoreCheckTimeout);
    timer->async_wait([socket](error_code error) {
        error_code ignored; // The connect reports the end of a socket closed here.
        if (!error)
            socket->close(ignored);
    });
    socket->async_connect(*server, [this, socket, timer, address](error_code error) {
        timer->cancel();
        if (!error) {
            m_board.ownStoreFinding.erase(address);
            return;
        }
        m_board.ownStoreFinding.insert(address);
        m_board.storeIsAway(address, steadyNow());
        m_digests.sendSoon();
    });
}

void duty_controller::step(time_point now)
{
    if (!m_board.deployment)
        return;
    checkStores(now);
    for (const deployment_pool &pool : m_board.deployment->source().pools) {
        if (!pool.engine)
            continue;
        for (const std::string &model : pool.engine->models)
            stepPool(pool.name, model, now);
    }
}

void duty_controller::stepPool(const std::string &pool, const std::string &model, time_point now)
{
    const std::int64_t wanted = m_board.wantedVersion(model);
    const std::string plan = pool + "/" + model;
    weights_planner &planner = m_planners[plan];
    const auto engines = m_board.endpoints.orderedEngines(pool, model, now);
    noteOthers(pool, engines, wanted, planner, now);
    const auto token = m_leaving ? std::nullopt
                                 : m_lease.tokenFor(pool, m_othersActedAt[pool], bootNow());
    const auto actions = planner.step(engines, wanted, token, now);
    for (const std::string &id : planner.loadingEngines(now))
        m_board.endpoints.setLoading(id, now);
    for (const order_action &action : actions)
        std::visit([&](const auto &taken) { carryOut(plan, taken); }, action);
}

/// Another holder may have acted while one was needed, or an engine loads that was not ordered here.
void duty_controller::noteOthers(const std::string &pool,
                                 const std::vector<ordered_engine> &engines, std::int64_t wanted,
                                 const weights_planner &planner, time_point now)
{
    const duration bootTime = bootNow();
    const auto own = planner.loadingEngines(now);
    const bool holds = m_lease.holds(pool, bootTime);
    for (const ordered_engine &engine : engines) {
        const bool isOwn = std::find(own.begin(), own.end(), engine.id) != own.end();
        const bool othersLoad = !isOwn && !planner.isActing()
                && m_board.endpoints.isLoading(engine.id, now);
        if (othersLoad || (!holds && engine.version < wanted))
            m_othersActedAt[pool] = bootTime;
    }
}

void duty_controller::carryOut(const std::string &plan, const ask_engine_state &action)
{
    callEngine(action.address, platform::reportCall(action.endpointId),
               [this, plan, id = action.endpointId](const log_answer &answer) {
                   stateArrived(plan, id, answer);
               });
}

void duty_controller::carryOut(const std::string &plan, const weights_order &action)
{
    const time_point now = steadyNow();
    m_board.metrics.count(router_counter::OrdersGiven);
    m_board.endpoints.setLoading(action.endpointId, now);
    m_digests.sendSoon();
    if (m_board.log.accepts(log_weight::Belief, now))
        m_board.log.write(log_event::OrderGiven,
                          { { "endpoint", action.endpointId },
                            { "model", action.model },
                            { "weights", action.version },
                            { "token", action.fencingToken },
                            { "expected", action.expectedOrders } },
                          now);
    callEngine(action.address, platform::loadWeightsCall(action, m_board.settings.vmName),
               [this, plan, action](const log_answer &answer) {
                   orderAnswered(plan, action, answer);
               });
}

void duty_controller::callEngine(const std::string &address, const platform::engine_call &call,
                                 std::function<void(log_answer)> done)
{
    const auto server = parseAddress(address);
    if (!server) {
        done({});
        return;
    }
    const auto lane = std::make_shared<log_lane>(m_context, *server);
    lane->call({ call.method, call.target, call.body, call.targetField }, EngineCallTimeout,
               std::move(done));
}

void duty_controller::stateArrived(const std::string &plan, const std::string &endpointId,
                                   const log_answer &answer)
{
    const time_point now = steadyNow();
    const auto state = platform::decodeReport(answer.body);
    if (answer.status != StatusOk || !isOk(state)) {
        m_planners[plan].stateFailed(endpointId, now);
        return;
    }
    for (const auto &[model, version] : valueOf(state).weights)
        m_board.endpoints.weightsSeen(endpointId, model, version);
    m_planners[plan].stateArrived(endpointId, valueOf(state), now);
    m_digests.sendSoon();
}

void duty_controller::orderAnswered(const std::string &plan, const weights_order &order,
                                    const log_answer &answer)
{
    const time_point now = steadyNow();
    const order_answer meaning = answer.status == 0 ? order_answer::None
                                                    : platform::decodeOrderAnswer(answer.status);
    m_planners[plan].orderAnswered(order.endpointId, meaning, now);
    if (meaning == order_answer::AlreadyHolds)
        m_board.endpoints.weightsSeen(order.endpointId, order.model, order.version);
    if (m_board.log.accepts(log_weight::Belief, now))
        m_board.log.write(log_event::OrderAnswered,
                          { { "endpoint", order.endpointId },
                            { "weights", order.version },
                            { "token", order.fencingToken },
                            { "answer", nameOf(meaning) },
                            { "status", answer.status } },
                          now);
}

} // namespace burdockhold
