#include "burdockhold/event_router.h"

#include "burdockhold/endpoint_notices.h"
#include "burdockhold/guarded_loop.h"
#include "platform/deployment_codec.h"

#include <csignal>

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockhold {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr duration TickInterval = std::chrono::milliseconds(50);
constexpr duration SweepInterval = std::chrono::seconds(1);
constexpr duration AnnounceRetryInterval = std::chrono::milliseconds(700);
constexpr duration AnnounceTimeout = std::chrono::seconds(2);
// How long new callers may still arrive after a shutdown begins: the load balancer probes each
// second and stops sending after two failed probes.
constexpr duration LoadBalancerDelay = std::chrono::milliseconds(2600);
// The process ends this long before the platform would kill it.
constexpr duration ShutdownMargin = std::chrono::milliseconds(300);
// Requests without an answer get one this long before the process ends, so that it is written out.
constexpr duration LastAnswersMargin = std::chrono::milliseconds(200);
// Tenths of the revocation bound after which a VM that cannot read the log reports itself as not
// ready.
constexpr int MaxReadyAgeTenths = 6;
constexpr int StatusOk = 200;
// Relayed connections may use the descriptors divided by this; each takes two.
constexpr std::size_t RelayShare = 8;

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

} // namespace

event_router::event_router(router_settings settings)
    : m_io(1)
    , m_board(std::move(settings))
    , m_placements(m_io, m_board,
                   [this](const auto &address, std::string_view bytes) {
                       m_digests.sendTo(address, bytes);
                   })
    , m_paths(m_io, m_board)
    , m_connections(m_paths)
    , m_relay(m_io, relayOptions())
    , m_callers(m_board)
    , m_readiness(m_io, descriptor_shares(m_board.settings.descriptors).readiness,
                  [this](std::string_view request) { return probeResponse(request); })
    , m_digests(m_io, m_board)
    , m_views(m_io, m_board, viewHandlers())
    , m_callerAcceptor(m_io)
    , m_readyAcceptor(m_io)
    , m_signals(m_io, SIGTERM, SIGHUP, SIGINT)
    , m_tickTimer(m_io)
    , m_announceTimer(m_io)
{
}

std::string event_router::run()
{
    std::string error = open();
    if (!error.empty())
        return error;
    const time_point now = steadyNow();
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::Started,
                          { { "callers", m_board.settings.callerAddress },
                            { "disabled", m_board.settings.mechanisms.disabledNames() } },
                          now);
    waitForSignal();
    acceptConnections();
    announce();
    m_crashRecords->load();
    scheduleTick();
    runGuarded(m_io, [this](const std::string &text) { handlerFailed(text); });
    return {};
}

void event_router::handlerFailed(const std::string &text)
{
    m_board.metrics.count(router_counter::HandlerFailures);
    const time_point now = steadyNow();
    if (m_board.log.accepts(log_priority::Failure, now))
        m_board.log.write(log_event::HandlerFailed, { { "reason", text } }, now);
}

std::string event_router::open()
{
    const auto logServer = parseAddress(m_board.settings.logAddress);
    if (!logServer)
        return "log.address: not an IP:PORT address: " + m_board.settings.logAddress;
    m_duties = std::make_unique<duty_controller>(m_io, m_board, *logServer);
    m_crashRecords = std::make_unique<crash_records>(m_io, m_board, *logServer);
    m_rollouts = std::make_unique<rollout_controller>(m_io, m_board, *logServer);
    m_digests.setAppliedHandler([this] { m_waitQueue.viewChanged(m_io); });
    m_announceConnection = std::make_shared<log_connection>(m_io, *logServer, &m_board.storeEra);
    std::string error = listen(m_callerAcceptor, m_board.settings.callerAddress);
    if (error.empty())
        error = listen(m_readyAcceptor, m_board.settings.readyAddress);
    if (error.empty()) {
        m_digests.setSchedulerHandler([this](std::string_view bytes, const auto &sender) {
            m_placements.datagramReceived(bytes, sender);
        });
        error = m_digests.open();
        if (error.empty())
            error = m_views.open();
        if (!error.empty())
            error = "cannot open the peer port: " + error;
    }
    return error;
}

std::string event_router::listen(connection_acceptor &acceptor, const std::string &address)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return "not an IP:PORT address: " + address;
    const std::string error = acceptor.listen(*endpoint);
    return error.empty() ? error : address + ": " + error;
}

void event_router::acceptConnections()
{
    const auto exhausted = [this] { descriptorsExhausted(); };
    m_callerAcceptor.start(
            { [this](tcp::socket socket) { startCaller(std::move(socket)); }, exhausted });
    m_readyAcceptor.start(
            { [this](tcp::socket socket) { m_readiness.accepted(std::move(socket)); }, exhausted });
}

void event_router::startCaller(tcp::socket socket)
{
    const request_context context{ m_io,        m_board,      m_paths,      m_connections,
                                   m_waitQueue, m_migratable, &m_placements };
    std::make_shared<caller_connection>(std::move(socket), context, m_callers)->start();
}

void event_router::descriptorsExhausted()
{
    m_board.metrics.count(router_counter::AcceptPauses);
    m_callers.freeDescriptor();
}

std::string event_router::probeResponse(std::string_view request)
{
    const bool metrics = request.substr(0, 13) == "GET /metrics ";
    const std::string body = metrics ? m_board.metricsText(steadyNow()) : std::string();
    const std::string status = metrics || isReady() ? "200 OK" : "503 Service Unavailable";
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

bool event_router::isReady() const
{
    const duration maxAge = m_board.settings.revocationBound * MaxReadyAgeTenths / 10;
    return !m_board.leaving && m_board.deployment && m_board.endpoints.size() > 0
           && m_board.deploymentAge() < maxAge;
}

/// A VM that leaves relays nothing new: it would cut the connection when it ends.
endpoint_relay_options event_router::relayOptions()
{
    endpoint_relay_options options;
    options.localAddress = m_paths.localAddress();
    options.maxConnections = static_cast<std::size_t>(m_board.settings.descriptors) / RelayShare;
    options.allowed = [this](const std::string &address) {
        return !m_board.leaving && m_board.contact.state() == contact_state::InTouch
               && m_board.endpoints.hasAddress(address);
    };
    options.answered = [this](relay_answer answer) {
        if (answer == relay_answer::Connected)
            m_board.metrics.count(router_counter::ConnectionsRelayed);
    };
    return options;
}

view_handlers event_router::viewHandlers()
{
    view_handlers handlers;
    handlers.operatorRecord = [this](const auto &record) { operatorRecord(record); };
    handlers.operatorListed = [this](const auto &keys) { operatorListed(keys); };
    handlers.operatorConfirmed = [this](duration at) { operatorConfirmed(at); };
    handlers.deploymentChanged = [this](const auto &index, std::string_view from) {
        applyDeployment(index, from);
    };
    handlers.deploymentRefused = [this](const auto &reason) { deploymentRefused(reason); };
    handlers.endpointReported = [this](const auto &report) { endpointReported(report); };
    handlers.endpointRemoved = [this](const auto &id) { endpointRemoved(id); };
    handlers.endpointRecordRejected = [this](const auto &id, const auto &reason) {
        endpointRecordRejected(id, reason);
    };
    handlers.endpointsListed = [this](const auto &ids) { endpointsListed(ids); };
    handlers.relayRequested = [this](tcp::socket socket, const std::string &address,
                                     std::string input) {
        m_relay.start(std::move(socket), address, std::move(input));
    };
    handlers.logCallCompleted = [this](std::string_view topic, int status) {
        updateTopicState(topic, status);
    };
    return handlers;
}

void event_router::announce()
{
    const platform::keyed_record announcement{ m_board.settings.vmName,
                                               digest_exchange::announcementOf(m_board.settings) };
    m_announceConnection->call(platform::appendKeyedCall(platform::VmTopic, announcement),
                               AnnounceTimeout, [this](const log_response &response) {
                                   // Listed after the own announcement, so that of two
                                   // starting VMs at least one sees the other.
                                   if (response.status == StatusOk)
                                       listVms({});
                                   else
                                       scheduleAnnounceRetry();
                               });
}

void event_router::scheduleAnnounceRetry()
{
    // The log may be unavailable for long. Meanwhile, VMs that already know this VM tell it of the
    // others.
    m_views.begin();
    m_announceTimer.expires_after(AnnounceRetryInterval);
    m_announceTimer.async_wait([this](error_code error) {
        if (!error)
            announce();
    });
}

/// Reads the list of announced VMs page by page.
void event_router::listVms(const std::string &after)
{
    m_announceConnection->call(platform::newestCall(platform::VmTopic, after), AnnounceTimeout,
                               [this](const log_response &response) { vmPageReceived(response); });
}

void event_router::vmPageReceived(const log_response &response)
{
    const auto page = platform::decodeNewest(response.body);
    if (response.status != StatusOk || !isOk(page)) {
        scheduleAnnounceRetry();
        return;
    }
    for (const auto &vm : valueOf(page).records)
        m_digests.addPeer(vm.key, vm.value.value_or(""));
    if (valueOf(page).hasMore && !valueOf(page).records.empty()) {
        listVms(valueOf(page).records.back().key);
        return;
    }
    const time_point now = steadyNow();
    m_digests.step(now);
    m_board.isVmListRead = true;
    m_board.coldEngines.vmsListed(now);
    m_views.begin();
}

void event_router::operatorRecord(const platform::keyed_record &record)
{
    const auto subject = platform::subjectOf(record.key);
    if (subject == platform::operator_subject::Evacuation)
        applyEvacuation(record);
    if (!record.value)
        return;
    switch (subject) {
    case platform::operator_subject::TargetWeights:
        applyTargetWeights(*record.value);
        break;
    case platform::operator_subject::SoftwareRollout:
        m_rollouts->orderReceived(*record.value, steadyNow());
        break;
    case platform::operator_subject::Evacuation: // Applied above.
    case platform::operator_subject::Deployment: // See deploymentChanged.
    case platform::operator_subject::Other:
        break;
    }
}

bool event_router::usesEvacuations() const
{
    return m_board.settings.evacuationBound
           && m_board.settings.mechanisms.uses(mechanism::Evacuation);
}

void event_router::applyEvacuation(const platform::keyed_record &record)
{
    if (!usesEvacuations())
        return;
    const std::string dataCentre = platform::evacuatedDataCentre(record.key);
    const evacuation_outcome outcome = record.value ? m_board.evacuated.recordRead(dataCentre,
                                                                                   bootTimeNow())
                                                    : m_board.evacuated.deletionRead(dataCentre);
    switch (outcome) {
    case evacuation_outcome::Unchanged:
        break;
    case evacuation_outcome::Started:
        logEvacuation(log_event::EvacuationStarted, dataCentre, "");
        break;
    case evacuation_outcome::Ended:
        evacuationEnded(dataCentre);
        break;
    default:
        logEvacuation(log_event::EvacuationIgnored, dataCentre, nameOf(outcome));
    }
}

void event_router::operatorListed(const std::set<std::string> &keys)
{
    std::set<std::string> dataCentres;
    for (const std::string &key : keys) {
        if (platform::subjectOf(key) == platform::operator_subject::Evacuation)
            dataCentres.insert(platform::evacuatedDataCentre(key));
    }
    m_board.evacuated.listed(dataCentres);
}

void event_router::operatorConfirmed(duration at)
{
    for (const std::string &dataCentre : m_board.evacuated.confirmView(at))
        evacuationEnded(dataCentre);
}

/// The engines there may have become cold, without a request that would have shown it.
void event_router::evacuationEnded(const std::string &dataCentre)
{
    const time_point now = steadyNow();
    for (const endpoint_report *report : m_board.endpoints.reportsIn(dataCentre))
        m_board.coldEngines.maybeCold(*report, now);
    logEvacuation(log_event::EvacuationEnded, dataCentre, "");
}

/// The line states how many endpoints the data centre has: none if its name is unknown.
void event_router::logEvacuation(log_event event, const std::string &dataCentre,
                                 std::string_view reason)
{
    const time_point now = steadyNow();
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(event,
                          { { "data_centre", dataCentre },
                            { "endpoints", m_board.endpoints.reportsIn(dataCentre).size() },
                            { "reason", reason } },
                          now);
}

void event_router::applyDeployment(std::shared_ptr<const deployment_index> next,
                                   std::string_view from)
{
    const time_point now = steadyNow();
    std::set<std::string> pools;
    std::map<std::string, cold_traits> coldPools;
    for (const deployment_pool &pool : next->pools()) {
        pools.insert(pool.name);
        if (pool.cold)
            coldPools[pool.name] = *pool.cold;
        if (pool.engine)
            m_board.endpoints.setCacheTokens(pool.name, pool.engine->cacheTokens);
    }
    m_board.endpoints.namePools(std::move(pools), now);
    m_board.coldEngines.setPools(std::move(coldPools));
    m_board.deployment = std::move(next);
    m_board.applyLimits(now);
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::DeploymentApplied,
                          { { "version", m_board.deployment->version() },
                            { "routes", m_board.deployment->routeCount() },
                            { "from", from } },
                          now);
}

void event_router::deploymentRefused(const std::string &reason)
{
    const time_point now = steadyNow();
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::DeploymentRefused, { { "reason", reason } }, now);
}

void event_router::applyTargetWeights(std::string_view body)
{
    const auto decoded = platform::decodeTargetWeights(body);
    const time_point now = steadyNow();
    if (!isOk(decoded)) {
        if (m_board.log.accepts(log_priority::StateChange, now))
            m_board.log.write(log_event::WeightsRefused, { { "reason", errorOf(decoded).text } },
                              now);
        return;
    }
    const platform::target_weights &target = valueOf(decoded);

    if (!m_board.recordReadVersion(target.model, target.version))
        return;
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::WeightsWanted,
                          { { "model", target.model }, { "weights", target.version } }, now);
}

void event_router::endpointReported(const endpoint_report &report)
{
    const time_point now = steadyNow();
    m_refusedRecords.erase(report.id);
    const endpoint_report *known = m_board.endpoints.find(report.id);
    const bool isNewIncarnation = known == nullptr || known->incarnation < report.incarnation;
    const bool isOlder = known != nullptr && known->incarnation > report.incarnation;
    if (m_board.endpoints.update(report, now))
        m_board.logEndpointChanged(report, now);
    if (!isOlder)
        m_board.coldEngines.reported(report, isNewIncarnation, now);
    logRefusedColdTime(report, now);
}

/// Logs a cold time out of bounds once, until the endpoint states one within its bounds.
void event_router::logRefusedColdTime(const endpoint_report &report, time_point now)
{
    if (!report.coldTimeRefused) {
        m_refusedColdTimes.erase(report.id);
        return;
    }
    if (m_refusedColdTimes.insert(report.id).second
        && m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::EndpointRefused,
                          { { "endpoint", report.id },
                            { "reason", "the cold time is out of bounds and is ignored" } },
                          now);
}

void event_router::endpointRemoved(const std::string &id)
{
    const time_point now = steadyNow();
    m_refusedRecords.erase(id);
    m_refusedColdTimes.erase(id);
    m_board.endpoints.remove(id, now);
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::EndpointChanged, { { "endpoint", id }, { "state", "gone" } },
                          now);
}

void event_router::endpointRecordRejected(const std::string &id, const std::string &reason)
{
    const time_point now = steadyNow();
    m_board.endpoints.remove(id, now);
    std::string &known = m_refusedRecords[id];
    if (known == reason)
        return; // Each read of the record would add a line.
    known = reason;
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::EndpointRefused, { { "endpoint", id }, { "reason", reason } },
                          now);
}

void event_router::endpointsListed(const std::set<std::string> &ids)
{
    m_board.endpoints.keepOnly(ids, steadyNow());
    for (auto row = m_refusedRecords.begin(); row != m_refusedRecords.end();)
        row = ids.count(row->first) == 0 ? m_refusedRecords.erase(row) : std::next(row);
}

void event_router::updateTopicState(std::string_view topic, int status)
{
    bool &wasUnavailable = m_topicUnavailable[std::string(topic)];
    const bool isUnavailable = status != StatusOk;
    if (wasUnavailable == isUnavailable)
        return;
    wasUnavailable = isUnavailable;
    const time_point now = steadyNow();
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(isUnavailable ? log_event::DependencyLost : log_event::DependencyRegained,
                          { { "topic", topic }, { "status", status } }, now);
}

void event_router::scheduleTick()
{
    m_tickTimer.expires_after(TickInterval);
    m_tickTimer.async_wait([this](error_code error) {
        if (error)
            return;
        scheduleTick(); // Before tick(), so that ticks continue if tick() throws.
        tick();
    });
}

void event_router::tick()
{
    const time_point now = steadyNow();
    m_board.endpoints.setUnixTime(unixMilliseconds(), now);
    m_board.endpoints.setVms(m_board.knownPeers + 1);
    m_board.endpoints.setPosition(positionIn(m_board.knownVms.list(), m_board.knownVms.self()));
    m_board.endpoints.step(m_board.digestInterval, now);
    m_board.coldEngines.step(now);
    m_board.metrics.count(router_counter::PaceLimitsStarted, m_board.endpoints.takeStartedLimits());
    m_board.crashes.step(now);
    logEndedNotices(m_board, now);
    m_board.forEachSharedLimit([&](const std::string &, auto &ledger) {
        ledger.setReportInterval(m_board.digestInterval);
        ledger.step(m_board.knownPeers, now);
    });
    logEra(now);
    m_paths.step(now);
    m_duties->step(now);
    m_crashRecords->step(now);
    m_rollouts->step([this](const std::string &pool) { return m_duties->holds(pool); }, now);
    m_board.requestBodies.grant(); // Other parts of the memory may have become free.
    m_digests.step(now);
    m_placements.step(now);
    m_views.step(now);
    const migratable_requests migratable = m_migratable;
    for (const auto &stream : migratable)
        stream->migrateIfNeeded();
    if (m_waitQueue.size() > 0)
        m_waitQueue.retry();
    if (now - m_sweptAt >= SweepInterval) {
        m_sweptAt = now;
        m_connections.closeUnusable();
    }
    if (m_board.leaving)
        stepShutdown(now);
    m_board.log.flush();
}

void event_router::logEra(time_point now)
{
    const std::uint64_t unreadable = m_board.storeEra.takeUnreadable();
    if (unreadable > 0 && m_board.log.accepts(log_priority::Failure, now))
        m_board.log.write(log_event::StoreEraUnreadable, { { "answers", unreadable } }, now);
    const auto change = m_board.storeEra.takeChange();
    if (!change)
        return;
    m_board.metrics.count(router_counter::StoreRestores, change->from > 0 ? 1 : 0);
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::StoreEraChanged,
                          { { "from", change->from }, { "to", change->to } }, now);
}

void event_router::waitForSignal()
{
    m_signals.async_wait([this](error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            const time_point now = steadyNow();
            // Addresses and bounds of a running process don't change; they are read at a start.
            if (m_board.log.accepts(log_priority::StateChange, now))
                m_board.log.write(log_event::SettingsReloaded, { { "changed", false } }, now);
        } else if (!m_board.leaving) {
            beginShutdown();
        }
        waitForSignal();
    });
}

void event_router::beginShutdown()
{
    m_board.leaving = true;
    m_board.leavingSince = steadyNow();
    m_board.endsCallsAt = m_board.leavingSince + m_board.settings.shutdownGrace - ShutdownMargin
                          - LastAnswersMargin;
    m_duties->leave();
    m_board.digestRequested = true;
    if (m_board.log.accepts(log_priority::StateChange, m_board.leavingSince))
        m_board.log.write(log_event::Stopping, { { "callers", m_callers.open().size() } },
                          m_board.leavingSince);
}

void event_router::stepShutdown(time_point now)
{
    const duration elapsed = now - m_board.leavingSince;
    if (elapsed < LoadBalancerDelay)
        return;
    // They would be reset otherwise.
    m_callerAcceptor.acceptPending();
    const caller_registry::connection_set callers = m_callers.open();
    for (const auto &caller : callers)
        caller->closeIfIdle();
    if (now >= m_board.endsCallsAt) {
        for (const auto &caller : callers)
            caller->endRequest();
    }
    const bool mustEnd = elapsed >= m_board.settings.shutdownGrace - ShutdownMargin;
    const bool isIdle = m_callers.open().empty() && m_relay.size() == 0;
    if (!isIdle && !mustEnd)
        return;
    for (const auto &caller : callers)
        caller->abortIfUnfinished();
    if (m_board.log.accepts(log_priority::StateChange, now))
        m_board.log.write(log_event::Stopped, { { "cut_off", m_callers.open().size() } }, now);
    m_board.log.flush();
    m_io.stop();
}

} // namespace burdockhold
