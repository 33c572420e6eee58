#include "testing/soak_fleet.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>

namespace burdockhold::testing {

namespace {

using ms = std::chrono::milliseconds;
using nlohmann::json;

constexpr int MaxRelayedRouters = 16; ///< Larger fleets exchange sums that name real addresses.
constexpr int OrderEngines = 3;
constexpr int ErasEvery = 3;                ///< One seed in this many has a log that states no era.
constexpr std::uint64_t LateWriteMs = 1500; ///< Until which the lost values are written again.
constexpr ms DeferredWrite{ 50 };    ///< After which a write is tried again while the log is away.
constexpr ms StopLimit{ 8000 };      ///< shutdown_grace_s of the settings.
constexpr ms StopAllowance{ 4000 };  ///< For a slow test machine, beyond the grace.
constexpr ms MaxSeriesTime{ 5000 };  ///< From the first to the last stop of a series.
constexpr ms LeavingService{ 3000 }; ///< Beyond leaving_ms, so that late requests would be seen.

json route(const char *prefix, const char *kind, bool resumable)
{
    return { { "name", prefix },     { "host", "h" },           { "path_prefix", prefix },
             { "kind", kind },       { "timeout_ms", 3000 },    { "target_latency_ms", 400 },
             { "priority", 1 },      { "service", "desk" },     { "max_attempts", SoakMaxAttempts },
             { "anonymous", false }, { "resumable", resumable } };
}

} // namespace

std::string soakAddress(std::size_t router)
{
    const int process = ::getpid();
    return "127." + std::to_string(100 + process % 100) + "."
           + std::to_string(1 + process / 100 % 250) + "." + std::to_string(1 + router);
}

soak_fleet::soak_fleet(const soak_plan &plan, soak_history &history)
    : m_plan(plan)
    , m_history(history)
    , m_random(plan.seed)
{
    m_log.service().setFaults([this](const std::string &) { return m_logFault.load(); });
    m_log.service().endMemberships();
    if (plan.seed % ErasEvery != 0)
        m_log.service().setEra(1);
    putDeployment();
    m_log.takeCopy();
    m_copiedAt = soak_clock::now();
    for (int index = 0; index < plan.engines; ++index)
        m_engines.push_back(std::make_unique<soak_engine>(index, plan.seed, history, m_log));
    history.enginesCheckFences = plan.seed % 2 == 0;
    for (int index = 0; index < OrderEngines; ++index)
        m_orderEngines.push_back(std::make_unique<soak_order_engine>(
                index, history.enginesCheckFences, history, m_log));
    startRouters();
}

soak_fleet::~soak_fleet() = default;

void soak_fleet::startRouters()
{
    std::vector<std::string> addresses(static_cast<std::size_t>(m_plan.routers));
    for (std::size_t index = 0; index < addresses.size(); ++index)
        addresses[index] = soakAddress(index);
    const bool relayed = m_plan.routers <= MaxRelayedRouters;
    if (relayed)
        startDigestFilter();
    m_relay = std::make_unique<soak_relay>(addresses, m_plan.seed);
    m_targets.starts = std::make_unique<std::atomic<int>[]>(addresses.size());
    for (std::size_t index = 0; index < addresses.size(); ++index) {
        router_place place{ "vm-" + std::to_string(index),
                            relayed || index % 2 == 0 ? "dc1" : "dc2",
                            addresses[index],
                            MeteredTolerance,
                            RepeatSlack,
                            m_history.enginesCheckFences };
        place.callsFromIp = true;
        m_routers.emplace_back();
        m_routers.back().process = std::make_unique<router_process>(m_log.service().address(),
                                                                    place);
        m_targets.addresses.push_back(m_routers.back().process->callerAddress());
    }
}

/// Makes the routers know each other by the relay's ports.
void soak_fleet::startDigestFilter()
{
    m_log.service().setAppendFilter(
            [](const std::string &topic, const std::string &, const std::string &value) {
                const std::string port = ":" + std::to_string(soak_relay::PeerPort);
                const std::size_t found = value.find(port);
                if (topic != "keyed.burdockhold-vms" || found == std::string::npos)
                    return value;
                return value.substr(0, found) + ":" + std::to_string(soak_relay::RelayPort)
                       + value.substr(found + port.size());
            });
}

void soak_fleet::after(ms time, std::function<void()> action)
{
    m_due.emplace(soak_clock::now() + time, std::move(action));
}

void soak_fleet::apply(const soak_event &event)
{
    const auto index = static_cast<std::size_t>(event.target);
    const ms time(event.forMs);
    const bool writesLog = event.action == soak_action::Deployment
                           || event.action == soak_action::WithdrawKey
                           || event.action == soak_action::NameWeights
                           || event.action == soak_action::Rollout;
    if (m_logAway && writesLog)
        return after(DeferredWrite, [this, event] { apply(event); });
    switch (event.action) {
    case soak_action::Kill:
        return kill(index, time);
    case soak_action::Terminate:
        return terminate(index, time);
    case soak_action::Freeze:
        return freeze(index, time);
    case soak_action::KillAll:
        for (std::size_t each = 0; each < m_routers.size(); ++each)
            kill(each, time);
        return;
    case soak_action::TerminateSeries:
        for (std::size_t each = 0; each < m_routers.size(); ++each)
            after(std::min(time * each, MaxSeriesTime * each / m_routers.size()),
                  [this, each] { terminate(each, ms(100)); });
        return;
    case soak_action::CutRouter:
        m_relay->setCut(index, true);
        m_history.addRouterFault(event.target, { soak_clock::now(), soak_clock::now() + time });
        return after(time, [this, index] { m_relay->setCut(index, false); });
    case soak_action::HarmDigests:
        m_relay->setFaults(30, 20, 30);
        return after(time, [this] { m_relay->setFaults(0, 0, 0); });
    case soak_action::EngineMode:
        return setEngineMode(event);
    case soak_action::EngineCrash:
        return crashEngine(index, time, event.mode % 2 == 0);
    case soak_action::EngineLeave:
        return leaveEngine(index);
    case soak_action::DeadlySegments:
        m_targets.deadlySegments = true;
        disturbEngines(time);
        return after(time, [this] { m_targets.deadlySegments = false; });
    case soak_action::LogFault:
        return setLogFault(event);
    case soak_action::ForgetHistory:
        return m_log.service().forgetHistory();
    case soak_action::Deployment:
        return putDeployment();
    case soak_action::WithdrawKey:
        return withdrawKey();
    case soak_action::StreamFaults:
        disturbEngines(time);
        for (auto &engine : m_engines)
            engine->setStreamFaults(true);
        return after(time, [this] {
            for (auto &engine : m_engines)
                engine->setStreamFaults(false);
        });
    case soak_action::RepeatRefusals:
        return setAllModes(engine_mode::RepeatedRefusals, time);
    case soak_action::RefuseSome:
        return setAllModes(engine_mode::RefusingSome, time);
    case soak_action::NameWeights:
        return nameWeights();
    case soak_action::HarmHolder:
        return harmHolder(event);
    case soak_action::ReassignDuties:
        return m_log.service().reassignAll(time);
    case soak_action::Rollout:
        return startRollout();
    case soak_action::CopyLog:
        m_log.takeCopy();
        m_copiedAt = soak_clock::now();
        return;
    case soak_action::RestoreLog:
        return restoreLog(time);
    case soak_action::CutFromEndpoints:
        return cutFromEndpoints(event);
    }
}

void soak_fleet::step()
{
    while (!m_due.empty() && m_due.begin()->first <= soak_clock::now()) {
        const auto action = std::move(m_due.begin()->second);
        m_due.erase(m_due.begin());
        action();
    }
    for (std::size_t index = 0; index < m_routers.size(); ++index)
        stepRouter(index);
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        if (m_engines[index]->wantsCrash() && !m_engines[index]->isDown())
            crashEngine(index, ms(500), false);
    }
}

void soak_fleet::kill(std::size_t index, ms downTime)
{
    router &killed = m_routers[index];
    if (killed.state == router_state::Dead)
        return;
    if (killed.state == router_state::Running)
        killed.since = soak_clock::now();
    {
        const std::lock_guard lock(m_history.mutex);
        m_history.killed.emplace(
                std::make_pair(static_cast<int>(index), m_targets.starts[index].load()),
                soak_clock::now());
    }
    killed.process->signal(SIGKILL);
    killed.state = router_state::Dead;
    killed.dueAt = soak_clock::now() + downTime;
}

void soak_fleet::terminate(std::size_t index, ms downTime)
{
    router &stopped = m_routers[index];
    if (stopped.state != router_state::Running)
        return;
    stopped.since = soak_clock::now();
    stopped.state = router_state::Stopping;
    stopped.downTime = downTime;
    stopped.process->terminate();
}

void soak_fleet::freeze(std::size_t index, ms time)
{
    router &frozen = m_routers[index];
    if (frozen.state != router_state::Running)
        return;
    frozen.since = soak_clock::now();
    frozen.state = router_state::Frozen;
    frozen.dueAt = frozen.since + time;
    frozen.process->signal(SIGSTOP);
}

void soak_fleet::stepRouter(std::size_t index)
{
    router &checked = m_routers[index];
    const soak_time now = soak_clock::now();
    if (checked.state == router_state::Dead) {
        if (now >= checked.dueAt && checked.process->hasExited())
            startAgain(index);
    } else if (checked.process->hasExited()) {
        exited(index);
    } else if (checked.state == router_state::Frozen && now >= checked.dueAt) {
        checked.process->signal(SIGCONT);
        checked.state = router_state::Running;
        m_history.addRouterFault(static_cast<int>(index), { checked.since, now });
    } else if (checked.state == router_state::Stopping
               && now > checked.since + StopLimit + StopAllowance) {
        m_history.addFinding("router " + std::to_string(index) + " outlives its grace");
        kill(index, checked.downTime);
    }
}

/// Handles the end of a process that was not killed.
void soak_fleet::exited(std::size_t index)
{
    router &ended = m_routers[index];
    const int code = ended.process->exitCode();
    if (ended.state != router_state::Stopping)
        m_history.addFinding("router " + std::to_string(index) + " ended by itself, code "
                             + std::to_string(code));
    else if (code != 0)
        m_history.addFinding("router " + std::to_string(index) + " ended with code "
                             + std::to_string(code) + " after SIGTERM");
    if (ended.state == router_state::Running)
        ended.since = soak_clock::now();
    ended.state = router_state::Dead;
    ended.dueAt = soak_clock::now() + ended.downTime;
}

void soak_fleet::startAgain(std::size_t index)
{
    router &started = m_routers[index];
    ++m_targets.starts[index];
    started.process->startAgain();
    started.state = router_state::Running;
    {
        const std::lock_guard lock(m_history.mutex);
        m_history.starts.emplace(
                std::make_pair(static_cast<int>(index), m_targets.starts[index].load()),
                soak_clock::now());
    }
    m_history.addRouterFault(static_cast<int>(index), { started.since, soak_clock::now() });
}

void soak_fleet::crashEngine(std::size_t index, ms downTime, bool newId)
{
    soak_engine &engine = *m_engines[index];
    if (engine.isDown())
        return;
    engine.crash();
    disturbEngines(downTime);
    m_history.addEngineFault(static_cast<int>(index),
                             { soak_clock::now(), soak_clock::now() + downTime });
    after(downTime, [this, index, newId] { restartEngine(index, newId); });
}

void soak_fleet::restartEngine(std::size_t index, bool newId)
{
    // The port may be taken for a moment by a connection that some process has opened.
    if (!m_engines[index]->restart(newId))
        after(ms(100), [this, index, newId] { restartEngine(index, newId); });
}

void soak_fleet::setEngineMode(const soak_event &event)
{
    soak_engine &engine = *m_engines[static_cast<std::size_t>(event.target)];
    const auto mode = static_cast<engine_mode>(event.mode);
    engine.setMode(mode);
    disturbEngines(ms(event.forMs) + (mode == engine_mode::Leaving ? LeavingService : ms(0)));
    // An engine that has said that it leaves does not take it back.
    if (mode == engine_mode::Leaving)
        after(ms(event.forMs) + LeavingService, [this, event] {
            crashEngine(static_cast<std::size_t>(event.target), ms(100), true);
        });
    else
        after(ms(event.forMs), [&engine] { engine.endMode(); });
}

void soak_fleet::setAllModes(engine_mode mode, ms time)
{
    disturbEngines(time);
    for (auto &engine : m_engines)
        engine->setMode(mode);
    after(time, [this] {
        for (auto &engine : m_engines)
            engine->endMode();
    });
}

void soak_fleet::leaveEngine(std::size_t index)
{
    m_engines[index]->announceLeaving();
    disturbEngines(LeavingService);
    after(LeavingService, [this, index] { crashEngine(index, ms(100), true); });
}

void soak_fleet::setLogFault(const soak_event &event)
{
    m_logFault = static_cast<log_fault>(event.mode);
    m_history.addLogFault({ soak_clock::now(), soak_clock::now() + ms(event.forMs) });
    after(ms(event.forMs), [this] { m_logFault = log_fault::None; });
}

void soak_fleet::restoreLog(ms away)
{
    m_logAway = true;
    m_log.service().setUnavailable(true);
    const soak_time now = soak_clock::now();
    m_history.addLogFault({ now, now + away + ms(LateWriteMs) });
    after(away, [this] { returnFromCopy(); });
}

/// The operator and the engines write the lost values again, each at a time of its own.
void soak_fleet::returnFromCopy()
{
    const std::vector<soak_log::lost_write> lost = m_log.restore();
    const soak_time restoredAt = soak_clock::now();
    m_log.service().setUnavailable(false);
    m_logAway = false;
    for (const soak_log::lost_write &write : lost) {
        const bool deployment = write.topic == "keyed.op" && write.key == "config";
        if (deployment) {
            const std::lock_guard lock(m_history.mutex);
            m_history.restores.push_back({ m_copiedAt, restoredAt });
        }
        after(ms(m_random() % LateWriteMs), [this, write, deployment] {
            if (m_log.writeAgain(write) && deployment)
                noteDeploymentWritten();
        });
    }
}

void soak_fleet::noteDeploymentWritten()
{
    const std::lock_guard lock(m_history.mutex);
    for (soak_restore &restore : m_history.restores)
        restore.writtenAgainAt = std::min(restore.writtenAgainAt, soak_clock::now());
}

void soak_fleet::cutFromEndpoints(const soak_event &event)
{
    soak_cut cut;
    std::set<std::string> addresses;
    for (int count = 0; count < event.mode / 2; ++count) {
        const int index = (event.target + count) % m_plan.routers;
        cut.routers.insert(index);
        addresses.insert(soakAddress(static_cast<std::size_t>(index)));
    }
    cutEngines(addresses, event.mode % 2 == 1);
    const soak_time now = soak_clock::now();
    cut.span = { now, now + ms(event.forMs) };
    const std::lock_guard lock(m_history.mutex);
    m_history.endpointCuts.push_back(cut);
    after(ms(event.forMs), [this] { cutEngines({}, true); });
}

void soak_fleet::cutEngines(const std::set<std::string> &addresses, bool openToo)
{
    for (auto &engine : m_engines)
        engine->cutOff(addresses, openToo);
    for (auto &engine : m_orderEngines)
        engine->cutOff(addresses, openToo);
}

void soak_fleet::disturbEngines(ms time)
{
    m_history.addEngineDisturbance({ soak_clock::now(), soak_clock::now() + time });
}

/// Each version gives the account another name, so that engines see which version is in force.
void soak_fleet::putDeployment()
{
    m_version += 1 + m_version % 3;
    json keys = json::array({ soakKey(0) });
    for (int key = 1 + m_keysWithdrawn; key < SoakKeys; ++key)
        keys.push_back(soakKey(key));
    const json body{
        { "version", m_version },
        { "routes",
          { route("/safe/", "safe", false), route("/pay/", "unsafe", false),
            route("/resume/", "stream", true), route("/once/", "stream", false) } },
        { "services",
          { { { "name", "desk" } },
            { { "name", OrderPool },
              { "engine", { { "slots", 6 }, { "models", { { { "name", OrderModel } } } } } } } } },
        { "limits",
          { { "max_header_bytes", 16384 },
            { "max_body_bytes", 100000 },
            { "header_timeout_ms", 3000 },
            { "idle_timeout_ms", 15000 } } },
        { "tenants",
          { { { "name", "v" + std::to_string(m_version) }, { "api_keys", keys } },
            { { "name", "metered" },
              { "api_keys", { MeteredKey } },
              { "unit", "token_stream" },
              { "rate_per_s", MeteredRate },
              { "burst", MeteredBurst },
              { "uncached_tokens", MeteredCost } } } }
    };
    m_log.put("keyed.op", "config", body.dump());
    noteDeploymentWritten();
    const std::lock_guard lock(m_history.mutex);
    m_history.deployments.emplace(m_version, soak_clock::now());
}

void soak_fleet::withdrawKey()
{
    if (m_keysWithdrawn + 1 >= SoakKeys)
        return;
    const std::string key = soakKey(++m_keysWithdrawn);
    putDeployment();
    const std::lock_guard lock(m_history.mutex);
    m_history.withdrawnKeys.emplace(key, soak_clock::now());
}

/// Orders a roll-out and replaces one engine by one with the new software.
void soak_fleet::startRollout()
{
    if (m_rolloutOrdered)
        return;
    m_rolloutOrdered = true;
    m_engines.front()->setSoftware("v2");
    crashEngine(0, ms(200), true);
    const json order{ { "service", "desk" }, { "target", "v2" }, { "duration_s", 5 } };
    m_log.put("keyed.op", "rollout/desk", order.dump());
}

void soak_fleet::nameWeights()
{
    int version = 0;
    {
        const std::lock_guard lock(m_history.mutex);
        version = ++m_history.namedWeights;
    }
    m_log.put("keyed.op", std::string("version/") + OrderModel,
              json{ { "model", OrderModel }, { "version", version } }.dump());
}

void soak_fleet::harmHolder(const soak_event &event)
{
    const std::string holder = m_log.service().dutyHolder(OrderPool);
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        if (holder != "vm-" + std::to_string(index))
            continue;
        if (event.mode == 0)
            terminate(index, ms(event.forMs));
        else if (event.mode == 1)
            freeze(index, ms(event.forMs));
        else
            kill(index, ms(event.forMs));
    }
}

void soak_fleet::endFaults()
{
    m_logFault = log_fault::None;
    m_relay->setFaults(0, 0, 0);
    for (std::size_t index = 0; index < m_routers.size(); ++index)
        m_relay->setCut(index, false);
    m_targets.deadlySegments = false;
    for (auto &engine : m_engines) {
        engine->setStreamFaults(false);
        engine->endMode();
    }
}

bool soak_fleet::settled() const
{
    for (const router &checked : m_routers) {
        if (checked.state != router_state::Running)
            return false;
    }
    return m_due.empty();
}

std::string soak_fleet::logs() const
{
    std::string text;
    for (const router &each : m_routers)
        text += each.process->logText();
    return text;
}

} // namespace burdockhold::testing
