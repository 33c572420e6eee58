#include "burdockhold/view_controller.h"

#include "burdockhold/relay_message.h"
#include "burdockhold/text_memory.h"
#include "platform/deployment_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace burdockhold {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int StatusOk = 200;
constexpr std::size_t MaxRequestBytes = 1024;
/// Encoded updates that are kept for further requests: usually one since the last version, one for
/// VMs that missed it, and a snapshot for VMs that start.
constexpr std::size_t MaxEncodedUpdates = 4;
/// The operator's topic may use the memory limit divided by this for one response: the response,
/// its text and the decoded document are in memory at the same time.
constexpr std::size_t OperatorResponseDivisor = 20;
/// A requester that is silent for this long counts as departed: requesters send several requests a
/// second.
constexpr duration SessionIdleTimeout = std::chrono::seconds(10);
/// A requester that takes nothing of a response for this time is cut off; it has given up by then.
constexpr duration ResponseWriteTimeout = std::chrono::seconds(3);
/// Added to a request's wait for its timeout. Covers a few round trips and a busy reader.
constexpr duration ResponseSlack = std::chrono::milliseconds(300);
/// Minimum time from a response to the next request, also if responses come at once.
constexpr duration MinRequestInterval = std::chrono::milliseconds(20);
/// Wait of a request to any VM: a VM with a fresh view has it at once, or as soon as it has read
/// the log. Several such requests fit within view_timing's time for a takeover.
constexpr duration AnyViewWait = std::chrono::milliseconds(150);
constexpr duration EagerRetryInterval = std::chrono::milliseconds(250);
constexpr duration RelaxedRetryInterval = std::chrono::milliseconds(1500);

std::uint64_t newIncarnation()
{
    std::random_device source;
    return std::max<std::uint64_t>(1, (std::uint64_t(source()) << 32) | source());
}

topic_position positionOf(const topic_view &view)
{
    return { view.era, view.position };
}

} // namespace

/// Serves the view requests of one VM, one at a time.
class view_session : public std::enable_shared_from_this<view_session>
{
public:
    view_session(tcp::socket socket, view_controller &controller)
        : m_socket(std::move(socket))
        , m_timer(controller.m_context)
        , m_controller(&controller)
    {
    }

    void start()
    {
        m_controller->m_silentSessions.enter(*this, m_place, steadyNow());
        readRequest();
    }

    void readRequest()
    {
        m_timer.expires_after(SessionIdleTimeout);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error && !self->m_request)
                self->close();
        });
        boost::asio::async_read_until(
                m_socket, boost::asio::dynamic_buffer(m_input, MaxRequestBytes), "\r\n\r\n",
                [self = shared_from_this()](error_code error, std::size_t bytes) {
                    if (error || self->m_controller == nullptr)
                        self->close();
                    else
                        self->requestReceived(bytes);
                });
    }

    /// Responds now if there are changes for the waiting request.
    void notifyChange()
    {
        if (m_request && m_controller->hasChangesFor(*m_request))
            respond();
    }

    /// Closes the session when the controller is destroyed.
    void detach()
    {
        m_controller = nullptr;
        close();
    }

    void close()
    {
        const auto self = shared_from_this();
        client_queue<view_session>::leave(m_place);
        m_timer.cancel();
        error_code ignored; // The socket is closed in any case.
        m_socket.close(ignored);
        if (m_controller == nullptr)
            return;
        releaseOutput();
        m_controller->m_sessions.erase(self);
    }

private:
    void requestReceived(std::size_t bytes)
    {
        // The first line is "GET TARGET HTTP/1.1", unless it asks for a relayed connection.
        const std::string_view head = std::string_view(m_input).substr(0, bytes);
        if (const auto address = decodeRelayRequest(head)) {
            handOver(*address, m_input.substr(bytes));
            return;
        }
        const std::size_t begin = std::min(head.find(' '), head.size());
        const std::size_t end = std::min(head.find(' ', begin + 1), head.size());
        const auto request = decodeViewRequest(
                head.substr(std::min(begin + 1, end), end - std::min(begin + 1, end)));
        m_input.erase(0, bytes);
        m_receivedAt = bootTimeNow();
        if (!isOk(request)) {
            refuse();
            return;
        }
        m_request = valueOf(request);
        client_queue<view_session>::leave(m_place);
        m_controller->m_source.requestReceived(steadyNow());
        if (m_controller->hasChangesFor(*m_request)) {
            respond();
            return;
        }
        m_timer.expires_after(m_request->wait);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->m_request && self->m_controller != nullptr)
                self->respond();
        });
    }

    /// Ends this session without closing its socket.
    void handOver(const std::string &address, std::string input)
    {
        const auto relayRequested = m_controller->m_handlers.relayRequested;
        tcp::socket socket = std::move(m_socket);
        close();
        relayRequested(std::move(socket), address, std::move(input));
    }

    void refuse()
    {
        write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", nullptr,
              false);
    }

    void respond()
    {
        auto update = m_controller->deploymentUpdateFor(*m_request);
        const std::size_t updateBytes = update ? update->size() : 0;
        const std::string head = encodeViewResponseHead(
                m_controller->responseTo(*m_request, m_receivedAt), updateBytes);
        m_request.reset();
        write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(head.size() + updateBytes)
                      + "\r\n\r\n" + head,
              std::move(update), true);
    }

    void write(std::string text, std::shared_ptr<const std::string> update, bool keepOpen)
    {
        releaseOutput();
        memory_budget &memory = m_controller->m_board.memory;
        if (!memory.tryTake(memory_part::Output, text.size())) {
            close();
            return;
        }
        m_output = std::move(text);
        m_update = std::move(update);
        m_written = 0;
        writeRest(keepOpen);
    }

    /// Writes piece by piece, with a timeout for each piece.
    void writeRest(bool keepOpen)
    {
        m_timer.expires_after(ResponseWriteTimeout);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error)
                self->close();
        });
        m_socket.async_write_some(unwrittenBytes(), [self = shared_from_this(), keepOpen](
                                                            error_code error, std::size_t bytes) {
            self->m_written += bytes;
            const bool isComplete = self->m_written == self->outputBytes();
            if (self->m_controller == nullptr)
                return;
            if (isComplete)
                self->releaseOutput();
            if (error || (isComplete && !keepOpen))
                self->close();
            else if (isComplete)
                self->readRequest();
            else
                self->writeRest(keepOpen);
        });
    }

    /// An idle session must not keep a response or an old update in memory.
    void releaseOutput()
    {
        m_controller->m_board.memory.give(memory_part::Output, m_output.size());
        freeText(m_output);
        m_update.reset();
    }

    std::size_t outputBytes() const { return m_output.size() + (m_update ? m_update->size() : 0); }

    boost::asio::const_buffer unwrittenBytes() const
    {
        if (m_written < m_output.size())
            return boost::asio::buffer(m_output) + m_written;
        return boost::asio::buffer(*m_update) + (m_written - m_output.size());
    }

    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    view_controller *m_controller;             // Null once the controller is destroyed.
    client_queue<view_session>::place m_place; // Until the first request.
    std::string m_input;
    std::optional<view_request> m_request; // Set until its response is sent.
    duration m_receivedAt = duration::zero();
    // The response is m_output, followed by the update if there is one.
    std::string m_output;
    std::shared_ptr<const std::string> m_update;
    std::size_t m_written = 0;
};

view_controller::view_controller(boost::asio::io_context &context, router_board &board,
                                 view_handlers handlers)
    : m_context(context)
    , m_board(board)
    , m_handlers(std::move(handlers))
    , m_source({}, board.settings.vmName, board.settings.capacity())
    , m_incarnation(newIncarnation())
    , m_log(board)
    , m_maxSessions(descriptor_shares(board.settings.descriptors).vms)
    , m_acceptor(context)
{
}

view_controller::~view_controller()
{
    m_acceptor.close();
    if (m_connection)
        m_connection->close();
    if (m_reading)
        stopReading();
    const auto sessions = std::exchange(m_sessions, {});
    for (const auto &session : sessions)
        session->detach();
}

std::string view_controller::open()
{
    error_code error;
    const auto ip = boost::asio::ip::make_address_v4(m_board.settings.ip, error);
    if (error)
        return error.message();
    std::string problem = m_acceptor.listen(
            { ip, static_cast<unsigned short>(m_board.settings.firstPeerPort) });
    if (!problem.empty())
        return problem;
    acceptConnections();
    return {};
}

void view_controller::begin()
{
    const time_point now = steadyNow();
    m_source.begin(now);
    step(now);
}

void view_controller::step(time_point now)
{
    m_source.setGroup(m_board.groupVms);
    m_source.setResponseArriving(m_requestInFlight && m_connection->isReceiving());
    updateFreshness(now);
    const bool reads = m_source.shouldReadLog(now);
    if (reads && !m_reading)
        startReading();
    else if (!reads && m_reading)
        stopReading();
    for (const read_topic *topic : { &m_operator, &m_endpoints }) {
        if (topic->follower)
            topic->follower->checkEra();
    }
    if (!m_requestInFlight && now >= m_nextRequestAt)
        sendRequest(now);
    m_log.report(m_reading, m_source.cause(), m_source.needsAnyView(now) ? "any" : m_requestedFrom);
}

void view_controller::startReading()
{
    const auto server = parseAddress(m_board.settings.logAddress);
    if (!server)
        return; // Checked when the process starts.
    m_reading = true;
    m_transferTime = duration::zero();
    m_board.coldEngines.readerChanged(steadyNow());
    m_operator.follower = std::make_shared<topic_follower>(m_context, *server, m_board.storeEra,
                                                           operatorOptions(), operatorHandlers());
    m_operator.follower->start();
    m_endpoints.follower = std::make_shared<topic_follower>(m_context, *server, m_board.storeEra,
                                                            endpointOptions(), endpointHandlers());
    m_endpoints.follower->start();
}

void view_controller::stopReading()
{
    m_reading = false;
    for (read_topic *topic : { &m_operator, &m_endpoints }) {
        topic->follower->stop();
        topic->follower.reset();
        topic->loaded = false;
    }
}

follower_options view_controller::operatorOptions()
{
    follower_options options;
    options.topic = std::string(platform::OperatorTopic);
    options.maxResponseBytes = operatorResponseBytes();
    options.readPause = [] { return duration::zero(); };
    options.readWait = timing().operatorReadWait;
    options.retryPause = [this] { return retryPause(); };
    return options;
}

/// The longest response with the operator's records: configurations have no limit of their own.
std::size_t view_controller::operatorResponseBytes() const
{
    return std::max(log_connection::MaxResponseBytes,
                    m_board.settings.memoryBytes / OperatorResponseDivisor);
}

follower_options view_controller::endpointOptions()
{
    follower_options options;
    options.topic = std::string(platform::EndpointTopic);
    options.readPause = [this] { return m_board.endpointReadInterval(); };
    options.retryPause = [this] { return retryPause(); };
    return options;
}

/// Returns the retry interval for the log. In an outage no VM has a fresh view and all VMs retry; a
/// few retry at short intervals, and the others learn from them that the log is available again.
duration view_controller::retryPause() const
{
    return m_source.retriesEagerly() ? EagerRetryInterval : RelaxedRetryInterval;
}

follower_handlers view_controller::operatorHandlers()
{
    follower_handlers handlers;
    handlers.loaded = [this](const auto &records) {
        std::set<std::string> keys;
        for (const auto &record : records) {
            keys.insert(record.key);
            operatorChanged(record);
        }
        m_handlers.operatorListed(keys);
        m_operator.changelog.keepOnly(keys);
        m_operator.loaded = true;
    };
    handlers.changed = [this](const auto &record) { operatorChanged(record); };
    handlers.confirmed = [this](duration at) {
        m_board.deploymentConfirmedAt = std::max(m_board.deploymentConfirmedAt, at);
        m_handlers.operatorConfirmed(at);
        recordConfirmation(m_operator, at, platform::OperatorTopic);
    };
    handlers.repeated = [this] { m_log.readRepeated(platform::OperatorTopic); };
    handlers.loadEnded = [this](const topic_load &load) {
        loadEnded(m_operator, load, platform::OperatorTopic);
    };
    handlers.failed = [this](int status) {
        m_handlers.logCallCompleted(platform::OperatorTopic, status);
    };
    return handlers;
}

follower_handlers view_controller::endpointHandlers()
{
    follower_handlers handlers;
    handlers.loaded = [this](const auto &records) {
        std::set<std::string> ids;
        for (const auto &record : records) {
            ids.insert(record.key);
            endpointChanged(record);
        }
        m_handlers.endpointsListed(ids);
        m_endpoints.changelog.keepOnly(ids);
        m_silence.keepOnly(ids);
        m_endpoints.loaded = true;
    };
    handlers.changed = [this](const auto &record) { endpointChanged(record); };
    handlers.confirmed = [this](duration at) {
        markSilentEntries(at);
        m_board.confirmEndpoints(at);
        recordConfirmation(m_endpoints, at, platform::EndpointTopic);
    };
    handlers.repeated = [this] { m_log.readRepeated(platform::EndpointTopic); };
    handlers.loadEnded = [this](const topic_load &load) {
        loadEnded(m_endpoints, load, platform::EndpointTopic);
    };
    handlers.failed = [this](int status) {
        m_handlers.logCallCompleted(platform::EndpointTopic, status);
    };
    return handlers;
}

void view_controller::operatorChanged(const platform::keyed_record &record)
{
    if (platform::subjectOf(record.key) == platform::operator_subject::Deployment) {
        if (record.value)
            deploymentRead(*record.value);
        return;
    }
    if (record.value)
        m_operator.changelog.put(record.key, *record.value);
    else
        m_operator.changelog.remove(record.key);
    m_handlers.operatorRecord(record);
}

void view_controller::deploymentRead(std::string_view body)
{
    const auto decoded = platform::decodeDeployment(body);
    if (!isOk(decoded)) {
        m_handlers.deploymentRefused(errorOf(decoded).text);
        return;
    }
    // An older or equal version is ignored, so a deployment is never rolled back by a stale read.
    if (!m_deployments.put(valueOf(decoded)))
        return;
    m_encodedUpdates.clear();
    m_handlers.deploymentChanged(m_deployments.index(), "log");
}

void view_controller::endpointChanged(const platform::keyed_record &record)
{
    if (!record.value) {
        m_silence.entryRemoved(record.key);
        m_endpoints.changelog.remove(record.key);
        m_handlers.endpointRemoved(record.key);
        return;
    }
    const auto decoded = platform::decodeEndpoint(record.key, *record.value);
    if (!isOk(decoded)) {
        m_silence.entryRemoved(record.key);
        m_endpoints.changelog.remove(record.key);
        m_handlers.endpointRecordRejected(record.key, errorOf(decoded).text);
        return;
    }
    if (m_board.coldEngines.isEnabled())
        m_silence.entryRead(valueOf(decoded), bootTimeNow());
    m_endpoints.changelog.put(record.key, encodeReport(valueOf(decoded)));
    m_handlers.endpointReported(valueOf(decoded));
}

/// Passes on which endpoints no longer write their entries.
void view_controller::markSilentEntries(duration at)
{
    for (const endpoint_report &report : m_silence.takeSilent(at)) {
        m_endpoints.changelog.put(report.id, encodeReport(report));
        m_handlers.endpointReported(report);
    }
}

void view_controller::loadEnded(read_topic &topic, const topic_load &load, std::string_view name)
{
    if (load.cause == load_cause::RecordsDeleted || load.end.era != topic.loadedEra)
        topic.changelog.requireSnapshots();
    topic.loadedEra = load.end.era;
    m_log.topicLoaded(name, load);
}

void view_controller::recordConfirmation(read_topic &topic, duration at, std::string_view name)
{
    topic.confirmedAt = at;
    topic.used = topic.follower->position();
    m_handlers.logCallCompleted(name, StatusOk);
    notifySessions();
}

void view_controller::sendRequest(time_point now)
{
    const auto reader = m_source.vmToRequestFrom(now);
    const auto server = reader ? parseAddress(reader->address) : std::nullopt;
    m_requestedFrom = server ? reader->name : std::string();
    if (!server)
        return;
    if (!m_connection || m_connectionAddress != reader->address) {
        m_connection = std::make_shared<log_connection>(m_context, *server, nullptr,
                                                        operatorResponseBytes());
        m_connectionAddress = reader->address;
    }
    m_requestInFlight = true;
    const bool needsAnyView = m_source.needsAnyView(now);
    m_nextRequest.wait = needsAnyView ? AnyViewWait : timing().requestWait;
    m_nextRequest.deploymentVersion = m_deployments.version();
    const duration sentAt = bootTimeNow();
    m_connection->call({ "GET", encodeViewRequest(m_nextRequest), {}, {} },
                       m_nextRequest.wait + ResponseSlack,
                       [this, from = *reader, sentAt, needsAnyView](const log_response &response) {
                           m_requestInFlight = false;
                           m_nextRequestAt = steadyNow() + requestInterval(needsAnyView);
                           responseReceived(from, sentAt, response);
                       });
}

void view_controller::responseReceived(const group_vm &from, duration sentAt,
                                       const log_response &response)
{
    const time_point now = steadyNow();
    const auto decoded = decodeViewResponse(response.body);
    const bool isReadable = response.status == StatusOk && isOk(decoded);
    m_log.transferEnded(from.name, sentAt, response, isReadable);
    m_transferTime = isReadable ? response.transferTime : duration::zero();
    if (!isReadable) {
        m_source.requestFailed(from.name, now);
        return;
    }
    const view_response &view = valueOf(decoded);
    const duration bootTime = bootTimeNow();
    // The request arrived after it was sent, so sentAt plus the offset is a lower bound. A
    // confirmed time is never in the future.
    const auto confirmedAt = [&](const topic_view &topic) {
        return std::min(bootTime, sentAt + std::chrono::milliseconds(topic.confirmedOffsetMs));
    };
    // Sequence numbers are valid for one reader only, also for a topic that the new reader has not
    // loaded yet.
    if (m_nextRequest.reader != view.reader) {
        m_nextRequest = { view.reader, 0, 0, {}, m_nextRequest.wait };
        m_board.coldEngines.readerChanged(now);
    }
    const bool hasNewest = applyDeploymentUpdate(view.deploymentUpdate, from);
    const topic_view &operators = view.operatorTopic;
    const topic_view &endpoints = view.endpointTopic;
    if (operators.loaded)
        m_nextRequest.operatorSequenceNumber = operators.sequenceNumber;
    if (endpoints.loaded)
        m_nextRequest.endpointSequenceNumber = endpoints.sequenceNumber;
    if (isOlder(operators, m_operator, confirmedAt(operators), m_board.deploymentConfirmedAt)) {
        m_log.olderViewReceived(from.name, platform::OperatorTopic, operators, m_operator.used);
    } else if (operators.loaded) {
        applyOperator(operators);
        m_handlers.operatorConfirmed(confirmedAt(operators));
        if (hasNewest)
            m_board.deploymentConfirmedAt = std::max(m_board.deploymentConfirmedAt,
                                                     confirmedAt(operators));
    }
    if (isOlder(endpoints, m_endpoints, confirmedAt(endpoints), m_board.endpointsConfirmedAt)) {
        m_log.olderViewReceived(from.name, platform::EndpointTopic, endpoints, m_endpoints.used);
    } else if (endpoints.loaded) {
        applyEndpoints(endpoints);
        m_board.confirmEndpoints(confirmedAt(endpoints));
    }
    const bool loaded = operators.loaded && endpoints.loaded;
    m_source.responseReceived(
            from.name, loaded && isFresh(confirmedAt(operators), confirmedAt(endpoints)), now);
}

/// Returns whether the view is older than the one that this VM uses (view_order.h). Nothing of it
/// is applied then: it holds no change that this VM lacks, also if later changes are relative to
/// it.
bool view_controller::isOlder(const topic_view &view, const read_topic &own, duration confirmedAt,
                              duration ownConfirmedAt) const
{
    return view.loaded
           && isOlderView({ positionOf(view), confirmedAt }, { own.used, ownConfirmedAt },
                          m_board.storeEra);
}

bool view_controller::applyDeploymentUpdate(const std::string &encoded, const group_vm &from)
{
    if (encoded.empty())
        return true;
    const auto update = decodeDeploymentUpdate(encoded);
    const auto applied = isOk(update) ? m_deployments.apply(valueOf(update))
                                      : result<bool, deployment_update_error>(errorOf(update));
    if (!isOk(applied)) {
        m_handlers.deploymentRefused("from " + from.name + ": " + errorOf(applied).text);
        m_source.requestFailed(from.name, steadyNow());
        return false;
    }
    if (valueOf(applied)) {
        m_encodedUpdates.clear();
        m_handlers.deploymentChanged(m_deployments.index(), from.name);
        notifySessions();
    }
    // An update that does not apply is since an older version than this VM has by now. The next
    // request states the version.
    return m_deployments.version() >= valueOf(update).version;
}

void view_controller::applyOperator(const topic_view &view)
{
    std::set<std::string> keys;
    for (const topic_record &record : view.records) {
        platform::keyed_record keyed{ record.key, {} };
        if (!record.removed) {
            keyed.value = record.value;
            keys.insert(record.key);
        }
        m_handlers.operatorRecord(keyed);
    }
    if (view.isSnapshot)
        m_handlers.operatorListed(keys);
    m_operator.used = positionOf(view);
}

void view_controller::applyEndpoints(const topic_view &view)
{
    std::set<std::string> ids;
    for (const topic_record &record : view.records) {
        if (record.removed) {
            m_handlers.endpointRemoved(record.key);
            continue;
        }
        ids.insert(record.key);
        const auto report = decodeReport(record.key, record.value);
        if (isOk(report))
            m_handlers.endpointReported(valueOf(report));
        else
            m_handlers.endpointRecordRejected(record.key, errorOf(report).text);
    }
    if (view.isSnapshot)
        m_handlers.endpointsListed(ids);
    m_endpoints.used = positionOf(view);
}

view_timing view_controller::timing() const
{
    return viewTimingOf(m_board.settings, m_board.endpointReadInterval());
}

/// Returns whether a view that was confirmed at these times is no older than expected from a reader
/// that gets answers. The time that the last response took to arrive does not count: the reader is
/// not to blame for it, and the next response is short.
bool view_controller::isFresh(duration operatorConfirmedAt, duration endpointsConfirmedAt) const
{
    const view_timing limits = timing();
    const duration at = bootTimeNow() - m_transferTime;
    return at - operatorConfirmedAt < limits.operatorMaxAge
           && at - endpointsConfirmedAt < limits.endpointMaxAge;
}

/// A reader without answers may respond for long, so the view ages between its responses as well.
void view_controller::updateFreshness(time_point now)
{
    const bool fresh = isFresh(m_board.deploymentConfirmedAt, m_board.endpointsConfirmedAt);
    m_log.reportFreshness(fresh, m_requestedFrom);
    m_source.setViewFresh(fresh);
    if (m_viewWasFresh && !fresh)
        abandonRequest(now);
    m_viewWasFresh = fresh;
}

/// Ends a request that waits for changes at a VM whose view is not fresh.
void view_controller::abandonRequest(time_point now)
{
    if (!m_requestInFlight || m_connection->isReceiving())
        return;
    m_connection->close();
    m_requestInFlight = false;
    m_nextRequestAt = now;
    m_source.responseReceived(m_requestedFrom, false, now);
}

/// Requests of VMs without a fresh view are many if the log is unavailable, and each response may
/// be a snapshot, so their rate does not grow with the group.
duration view_controller::requestInterval(bool needsAnyView) const
{
    const auto others = static_cast<duration::rep>(m_board.groupVms.size());
    return needsAnyView ? MinRequestInterval * std::max<duration::rep>(1, others)
                        : MinRequestInterval;
}

void view_controller::acceptConnections()
{
    m_acceptor.start({ [this](tcp::socket socket) { startSession(std::move(socket)); },
                       [this] {
                           m_board.metrics.count(router_counter::AcceptPauses);
                           closeSilentSession();
                       } });
}

/// Starts a session in place of one that has never sent a request if there are too many.
void view_controller::startSession(tcp::socket socket)
{
    if (m_sessions.size() >= m_maxSessions && !closeSilentSession()) {
        m_board.metrics.count(router_counter::ConnectionsRefused);
        return;
    }
    const auto session = std::make_shared<view_session>(std::move(socket), *this);
    m_sessions.insert(session);
    session->start();
}

bool view_controller::closeSilentSession()
{
    view_session *oldest = m_silentSessions.oldest();
    if (oldest == nullptr)
        return false;
    m_board.metrics.count(router_counter::ClosedIdle);
    oldest->close();
    return true;
}

void view_controller::notifySessions()
{
    const auto sessions = m_sessions;
    for (const auto &session : sessions)
        session->notifyChange();
}

/// Returns true if a response would contain more than the age of the view.
bool view_controller::hasChangesFor(const view_request &request) const
{
    const bool sameReader = request.reader == m_incarnation;
    const auto hasChanged = [sameReader](const read_topic &topic, std::uint64_t sequenceNumber) {
        return topic.loaded && (!sameReader || topic.changelog.sequenceNumber() != sequenceNumber);
    };
    const bool allLoaded = m_operator.loaded && m_endpoints.loaded;
    return allLoaded
           && (m_deployments.isNewerThan(request.deploymentVersion)
               || hasChanged(m_operator, request.operatorSequenceNumber)
               || hasChanged(m_endpoints, request.endpointSequenceNumber));
}

view_response view_controller::responseTo(const view_request &request, duration receivedAt) const
{
    const bool sameReader = request.reader == m_incarnation;
    return { m_incarnation,
             viewOf(m_operator, sameReader ? request.operatorSequenceNumber : 0, receivedAt),
             viewOf(m_endpoints, sameReader ? request.endpointSequenceNumber : 0, receivedAt),
             {} };
}

/// Returns the encoded update for the requester's deployment, or nullptr if it needs none.
std::shared_ptr<const std::string> view_controller::deploymentUpdateFor(const view_request &request)
{
    if (!m_operator.loaded || !m_deployments.isNewerThan(request.deploymentVersion))
        return nullptr;
    const auto known = m_encodedUpdates.find(request.deploymentVersion);
    if (known != m_encodedUpdates.end())
        return known->second;
    if (m_encodedUpdates.size() >= MaxEncodedUpdates)
        m_encodedUpdates.clear();
    auto encoded = std::make_shared<const std::string>(
            encodeDeploymentUpdate(m_deployments.since(request.deploymentVersion)));
    m_encodedUpdates.emplace(request.deploymentVersion, encoded);
    return encoded;
}

topic_view view_controller::viewOf(const read_topic &topic, std::uint64_t knownSequenceNumber,
                                   duration receivedAt) const
{
    topic_view view;
    view.loaded = topic.loaded;
    if (!topic.loaded)
        return view;
    topic_changes changes = topic.changelog.since(knownSequenceNumber);
    view.isSnapshot = changes.isSnapshot;
    view.sequenceNumber = changes.sequenceNumber;
    const topic_position position = topic.follower->position();
    view.position = position.offset;
    view.era = position.era;
    view.records = std::move(changes.records);
    const duration offset = topic.confirmedAt - receivedAt;
    // Rounded down, so that the requester never takes the view for fresher than it is.
    view.confirmedOffsetMs = std::chrono::floor<std::chrono::milliseconds>(offset).count();
    return view;
}

} // namespace burdockhold
