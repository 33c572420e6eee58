#include "burdockhold/rollout_controller.h"

#include "platform/rollout_codec.h"

#include <utility>

namespace burdockhold {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusConditionFailed = 412;
constexpr duration CallTimeout = std::chrono::milliseconds(1200);
constexpr duration RetryInterval = std::chrono::milliseconds(300);
constexpr duration VersionsInterval = std::chrono::milliseconds(200);
constexpr duration ShareLogInterval = std::chrono::seconds(2);

software_rollout_options optionsOf(const router_settings &settings)
{
    software_rollout_options options;
    options.exposureShare = settings.exposureShare;
    options.exposureSlack = settings.exposureSlack;
    return options;
}

software_order_status orderStatusOf(rollout_state state)
{
    if (state == rollout_state::Complete)
        return software_order_status::Complete;
    return state == rollout_state::RolledBack ? software_order_status::RolledBack
                                              : software_order_status::Running;
}

rollout_state stateOf(software_order_status status)
{
    if (status == software_order_status::Complete)
        return rollout_state::Complete;
    return status == software_order_status::RolledBack ? rollout_state::RolledBack
                                                       : rollout_state::Running;
}

bool isFinal(std::optional<rollout_state> state)
{
    return state == rollout_state::Complete || state == rollout_state::RolledBack;
}

nlohmann::ordered_json countsOf(const software_rollout &rollout)
{
    nlohmann::ordered_json routes = nlohmann::ordered_json::array();
    for (const auto &[route, counts] : rollout.totals()) {
        const outcome_counts &news = counts.newVersion;
        const outcome_counts &olds = counts.oldVersion;
        routes.push_back({ { "route", route },
                           { "new", news.requests },
                           { "new_failed", news.errors },
                           { "new_timed", news.judged },
                           { "new_slow", news.slow },
                           { "old", olds.requests },
                           { "old_failed", olds.errors },
                           { "old_timed", olds.judged },
                           { "old_slow", olds.slow } });
    }
    return routes;
}

} // namespace

rollout_controller::rollout_controller(boost::asio::io_context &context, router_board &board,
                                       boost::asio::ip::tcp::endpoint logServer)
    : m_board(board)
    , m_connection(std::make_shared<log_connection>(context, std::move(logServer), &board.storeEra))
{
}

software_rollout &rollout_controller::rolloutOf(const std::string &pool)
{
    return m_board.rollouts
            .try_emplace(pool, pool, m_board.settings.vmName, optionsOf(m_board.settings))
            .first->second;
}

void rollout_controller::orderReceived(std::string_view body, time_point now)
{
    const auto decoded = platform::decodeSoftwareOrder(body);
    if (!isOk(decoded)) {
        if (m_board.log.accepts(log_priority::StateChange, now))
            m_board.log.write(log_event::RolloutRefused, { { "reason", errorOf(decoded).text } },
                              now);
        return;
    }
    const software_order &order = valueOf(decoded);
    const bool atStart = m_board.deploymentConfirmedAt < duration::zero();
    software_rollout &rollout = rolloutOf(order.pool);
    if (rollout.orderReceived(order, atStart, now))
        orderBegan(rollout, atStart, now);
    const auto ignored = rollout.takeIgnoredOrder();
    if (ignored && m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::RolloutRefused,
                          { { "reason", "the order in force has the same target" },
                            { "pool", ignored->pool },
                            { "target", ignored->targetVersion },
                            { "move_s", toSeconds(ignored->moveTime) },
                            { "state", nameOf(rollout.state()) } },
                          now);
}

void rollout_controller::orderBegan(const software_rollout &rollout, bool ageGuessed,
                                    time_point now)
{
    m_board.digestRequested = true;
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::RolloutStarted,
                          { { "pool", rollout.pool() },
                            { "target", rollout.target() },
                            { "established", rollout.established() },
                            { "move_s", toSeconds(rollout.moveTime()) },
                            { "age_guessed", ageGuessed },
                            { "share", m_board.settings.exposureShare },
                            { "slack", m_board.settings.exposureSlack },
                            { "rollback_ms", 1000.0 * toSeconds(m_board.settings.rollbackBound) },
                            { "state", nameOf(rollout.state()) } },
                          now);
}

void rollout_controller::updateVersions(time_point now)
{
    if (now - m_versionsUpdatedAt < VersionsInterval)
        return;
    m_versionsUpdatedAt = now;
    const auto versions = m_board.endpoints.softwareVersions();
    for (const auto &[pool, present] : versions)
        rolloutOf(pool).setVersions(present, now);
}

void rollout_controller::step(const std::function<bool(const std::string &)> &holdsDuty,
                              time_point now)
{
    updateVersions(now);
    const auto isLoading = [this, now](const std::string &endpoint) {
        return m_board.endpoints.isLoading(endpoint, now);
    };
    const time_point viewAt = now - m_board.deploymentAge();
    for (auto &[pool, rollout] : m_board.rollouts) {
        if (rollout.viewConfirmed(viewAt))
            orderBegan(rollout, rollout.isAgeGuessed(), now);
        const bool holds = holdsDuty(pool);
        rollout.setStatusTime(m_callTime);
        rollout.step(isLoading, holds, m_board.liveVms.size() + 1, now);
        m_board.digestRequested = rollout.takeNewFlaws() || m_board.digestRequested;
        rollout_status &status = m_statuses[pool];
        logState(rollout, status, now);
        logShare(rollout, status, now);
        const auto wanted = rollout.wantedStatus();
        const bool isWritten = status.target == rollout.target()
                               && (status.written == wanted || isFinal(status.written));
        if (m_calling || now < m_nextCallAt)
            continue;
        // Read before the decision, so that the status takes one call when it is due.
        const bool isWriteNear = holds && ((wanted && !isWritten) || rollout.isDecisionNear(now));
        if (rollout.needsStatus() || (isWriteNear && !m_end))
            readStatuses({}, now);
        else if (holds && wanted && !isWritten)
            writeStatus(rollout, *wanted, now);
    }
}

/// Logs a change of the state with the counts behind it, and tells the other VMs at once.
void rollout_controller::logState(const software_rollout &rollout, rollout_status &status,
                                  time_point now)
{
    if (rollout.state() == status.logged)
        return;
    status.logged = rollout.state();
    m_board.digestRequested = true;
    if (isFinal(rollout.state()))
        m_board.metrics.count(rollout.state() == rollout_state::Complete
                                      ? router_counter::RolloutsCompleted
                                      : router_counter::RolloutsRolledBack);
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::RolloutJudged,
                          { { "pool", rollout.pool() },
                            { "target", rollout.target() },
                            { "state", nameOf(rollout.state()) },
                            { "reason", nameOf(rollout.reason()) },
                            { "own_calls", rollout.calls() },
                            { "own_exposed", rollout.exposed() },
                            { "routes", countsOf(rollout) } },
                          now);
}

void rollout_controller::logShare(const software_rollout &rollout, rollout_status &status,
                                  time_point now)
{
    if (!rollout.isSampling() || now - status.shareLoggedAt < ShareLogInterval)
        return;
    status.shareLoggedAt = now;
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::RolloutShare,
                          { { "pool", rollout.pool() },
                            { "target", rollout.target() },
                            { "own_calls", rollout.calls() },
                            { "own_exposed", rollout.exposed() },
                            { "routes", countsOf(rollout) } },
                          now);
}

void rollout_controller::readStatuses(const std::string &after, time_point now)
{
    callBegins(now);
    if (after.empty())
        m_end.reset();
    m_connection->call(platform::newestCall(platform::StatusTopic, after), CallTimeout,
                       [this](const log_response &response) { statusesReceived(response); });
}

void rollout_controller::callBegins(time_point now)
{
    m_calling = true;
    m_callBeganAt = now;
    m_nextCallAt = now + RetryInterval;
}

void rollout_controller::callEnds(time_point now)
{
    m_calling = false;
    m_callTime = now - m_callBeganAt;
}

void rollout_controller::statusesReceived(const log_response &response)
{
    const time_point now = steadyNow();
    callEnds(now);
    const auto page = platform::decodeNewest(response.body);
    if (response.status != StatusOk || !isOk(page)) {
        logCallFailed("read", response.status, now);
        return;
    }
    std::map<std::string, platform::software_status> found;
    for (const platform::keyed_record &record : valueOf(page).records) {
        const auto status = platform::decodeSoftwareStatus(record);
        if (isOk(status))
            found[valueOf(status).pool] = valueOf(status);
    }
    for (auto &[pool, rollout] : m_board.rollouts) {
        const auto status = found.find(pool);
        if (status == found.end()) {
            if (!valueOf(page).hasMore)
                rollout.statusRead(std::nullopt, {});
            continue;
        }
        const rollout_state state = stateOf(status->second.status);
        m_statuses[pool].written = state;
        m_statuses[pool].target = status->second.targetVersion;
        rollout.statusRead(state, status->second.targetVersion);
    }
    if (valueOf(page).hasMore && !valueOf(page).records.empty()) {
        readStatuses(valueOf(page).records.back().key, now);
        return;
    }
    m_end = valueOf(page).end;
    m_nextCallAt = now;
}

void rollout_controller::writeStatus(software_rollout &rollout, rollout_state wanted,
                                     time_point now)
{
    callBegins(now);
    const platform::software_status status{ rollout.pool(), rollout.target(),
                                            orderStatusOf(wanted) };
    m_connection->call(platform::appendKeyedAtCall(platform::StatusTopic,
                                                   platform::encodeSoftwareStatus(status), *m_end),
                       CallTimeout,
                       [this, pool = rollout.pool(), target = rollout.target(),
                        wanted](const log_response &response) {
                           statusWritten(pool, target, wanted, response);
                       });
}

void rollout_controller::statusWritten(const std::string &pool, const std::string &target,
                                       rollout_state state, const log_response &response)
{
    const time_point now = steadyNow();
    callEnds(now);
    m_end.reset(); // Read again before the next append, also if this one may have been executed.
    if (response.status != StatusOk) {
        if (response.status != StatusConditionFailed)
            logCallFailed("append", response.status, now);
        return;
    }
    m_nextCallAt = now;
    m_statuses[pool].written = state;
    m_statuses[pool].target = target;
    software_rollout &rollout = rolloutOf(pool);
    rollout.statusRead(state, target);
    logState(rollout, m_statuses[pool], now);
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::RolloutStatusWritten,
                          { { "pool", pool }, { "target", target }, { "state", nameOf(state) } },
                          now);
}

void rollout_controller::logCallFailed(std::string_view call, int status, time_point now)
{
    if (m_board.log.accepts(log_priority::Failure, now))
        m_board.log.write(log_event::RolloutStatusFailed,
                          { { "call", call }, { "status", status } }, now);
}

} // namespace burdockhold
