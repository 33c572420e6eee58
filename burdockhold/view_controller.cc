#include "burdockhold/view_controller.h"

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
constexpr std::size_t MaxQuestionBytes = 1024;
/// Sessions beyond this are closed at once: more than the VMs of a data centre at the target.
constexpr std::size_t MaxSessions = 512;
/// An asker that is silent for this long has gone; it asks several times a second.
constexpr duration SessionIdle = std::chrono::seconds(10);
/// Beyond the wait that a question names: a few round trips and a busy reader.
constexpr duration AnswerSlack = std::chrono::milliseconds(300);
/// Least time between two questions, also when answers come at once.
constexpr duration AskPause = std::chrono::milliseconds(20);
/// What a view may be older than its reader's pace explains.
constexpr duration FreshSlack = std::chrono::milliseconds(700);
/// Parts of the bounds on withdrawn keys and on leaving endpoints: two reads, two questions and the
/// silence of one reader pass within each.
constexpr double OperatorWaitShare = 0.2;
constexpr double QuestionShareOfLeaving = 0.25;
constexpr double QuestionShareOfRevocation = 0.14;
constexpr duration EagerRetry = std::chrono::milliseconds(250);
constexpr duration RareRetry = std::chrono::milliseconds(1500);

duration part(duration whole, double share)
{
    return fromSeconds(share * toSeconds(whole));
}

duration questionWait(const router_settings &settings)
{
    return std::min(part(settings.leavingBound, QuestionShareOfLeaving),
                    part(settings.revocationBound, QuestionShareOfRevocation));
}

std::uint64_t newIncarnation()
{
    std::random_device source;
    return std::max<std::uint64_t>(1, (std::uint64_t(source()) << 32) | source());
}

} // namespace

/// Answers one VM's questions, one at a time.
class view_session : public std::enable_shared_from_this<view_session>
{
public:
    view_session(tcp::socket socket, view_controller &keeper)
        : m_socket(std::move(socket))
        , m_timer(keeper.m_context)
        , m_keeper(&keeper)
    {
    }

    void readQuestion()
    {
        m_timer.expires_after(SessionIdle);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error && !self->m_question)
                self->close();
        });
        boost::asio::async_read_until(
                m_socket, boost::asio::dynamic_buffer(m_input, MaxQuestionBytes), "\r\n\r\n",
                [self = shared_from_this()](error_code error, std::size_t bytes) {
                    if (error || self->m_keeper == nullptr)
                        self->close();
                    else
                        self->questionArrived(bytes);
                });
    }

    /// Answers now if there is something to tell.
    void wake()
    {
        if (m_question && m_keeper->hasNews(*m_question))
            answer();
    }

    /// The keeper ends.
    void detach()
    {
        m_keeper = nullptr;
        close();
    }

    void close()
    {
        const auto self = shared_from_this();
        m_timer.cancel();
        error_code ignored; // The connection ends in any case.
        m_socket.close(ignored);
        if (m_keeper != nullptr)
            m_keeper->m_sessions.erase(self);
    }

private:
    void questionArrived(std::size_t bytes)
    {
        // "GET TARGET HTTP/1.1" stands in the first line.
        const std::string_view head = std::string_view(m_input).substr(0, bytes);
        const std::size_t begin = std::min(head.find(' '), head.size());
        const std::size_t end = std::min(head.find(' ', begin + 1), head.size());
        const auto question = decodeViewRequest(
                head.substr(std::min(begin + 1, end), end - std::min(begin + 1, end)));
        m_input.erase(0, bytes);
        m_askedAt = bootTimeNow();
        if (!isOk(question)) {
            refuse();
            return;
        }
        m_question = valueOf(question);
        m_keeper->m_source.asked(steadyNow());
        if (m_keeper->hasNews(*m_question)) {
            answer();
            return;
        }
        m_timer.expires_after(m_question->wait);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->m_question && self->m_keeper != nullptr)
                self->answer();
        });
    }

    void refuse()
    {
        write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", false);
    }

    void answer()
    {
        const std::string body = encodeViewResponse(m_keeper->answerTo(*m_question, m_askedAt));
        m_question.reset();
        write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                      + body,
              true);
    }

    void write(std::string text, bool goOn)
    {
        const auto bytes = std::make_shared<std::string>(std::move(text));
        boost::asio::async_write(
                m_socket, boost::asio::buffer(*bytes),
                [self = shared_from_this(), bytes, goOn](error_code error, std::size_t) {
                    if (error || !goOn)
                        self->close();
                    else
                        self->readQuestion();
                });
    }

    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    view_controller *m_keeper; // Null once the keeper has ended.
    std::string m_input;
    std::optional<view_request> m_question; // Set while its answer is due.
    duration m_askedAt = duration::zero();
};

view_controller::view_controller(boost::asio::io_context &context, router_board &board,
                                 view_handlers handlers)
    : m_context(context)
    , m_board(board)
    , m_handlers(std::move(handlers))
    , m_source({}, board.settings.vmName, board.settings.capacity())
    , m_incarnation(newIncarnation())
    , m_acceptor(context)
{
}

view_controller::~view_controller()
{
    error_code ignored; // Nothing is accepted any more in any case.
    m_acceptor.close(ignored);
    if (m_lane)
        m_lane->close();
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
    if (!error)
        m_acceptor.open(tcp::v4(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind({ ip, static_cast<unsigned short>(m_board.settings.firstPeerPort) }, error);
    if (!error)
        m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error)
        return error.message();
    acceptQuestions();
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
    const bool reads = m_source.shouldReadLog(now);
    if (reads && !m_reading)
        startReading();
    else if (!reads && m_reading)
        stopReading();
    if (m_source.maySendRequests(now) && !m_asking && now >= m_nextAsk)
        ask(now);
}

void view_controller::startReading()
{
    const auto server = parseAddress(m_board.settings.logAddress);
    if (!server)
        return; // Checked when the process starts.
    m_reading = true;
    m_operator.follower = std::make_shared<topic_follower>(m_context, *server, operatorOptions(),
                                                           operatorHandlers());
    m_operator.follower->start();
    m_endpoints.follower = std::make_shared<topic_follower>(m_context, *server, endpointOptions(),
                                                            endpointHandlers());
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
    options.readPause = [] { return duration::zero(); };
    options.readWait = part(m_board.settings.revocationBound, OperatorWaitShare);
    options.retryPause = [this] { return retryPause(); };
    return options;
}

follower_options view_controller::endpointOptions()
{
    follower_options options;
    options.topic = std::string(platform::EndpointTopic);
    options.readPause = [this] { return m_board.endpointReadInterval(); };
    options.retryPause = [this] { return retryPause(); };
    return options;
}

/// In an outage all VMs lack a fresh view: the others learn of its end from the eager ones.
duration view_controller::retryPause() const
{
    return m_source.retriesEagerly() ? EagerRetry : RareRetry;
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
        m_operator.history.keepOnly(keys);
        m_operator.loaded = true;
    };
    handlers.changed = [this](const auto &record) { operatorChanged(record); };
    handlers.proven = [this](duration at) {
        m_board.deploymentConfirmedAt = std::max(m_board.deploymentConfirmedAt, at);
        recordConfirmation(m_operator, at, platform::OperatorTopic);
    };
    handlers.failed = [this](int status) {
        m_handlers.logAnswered(platform::OperatorTopic, status);
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
        m_endpoints.history.keepOnly(ids);
        m_endpoints.loaded = true;
    };
    handlers.changed = [this](const auto &record) { endpointChanged(record); };
    handlers.proven = [this](duration at) {
        m_board.confirmEndpoints(at);
        recordConfirmation(m_endpoints, at, platform::EndpointTopic);
    };
    handlers.failed = [this](int status) {
        m_handlers.logAnswered(platform::EndpointTopic, status);
    };
    return handlers;
}

void view_controller::operatorChanged(const platform::keyed_record &record)
{
    if (record.value)
        m_operator.history.put(record.key, *record.value);
    else
        m_operator.history.remove(record.key);
    m_handlers.operatorRecord(record);
}

void view_controller::endpointChanged(const platform::keyed_record &record)
{
    if (!record.value) {
        m_endpoints.history.remove(record.key);
        m_handlers.endpointRemoved(record.key);
        return;
    }
    const auto decoded = platform::decodeEndpoint(record.key, *record.value);
    if (!isOk(decoded)) {
        m_handlers.endpointRefused(record.key, errorOf(decoded).text);
        return;
    }
    m_endpoints.history.put(record.key, encodeReport(valueOf(decoded)));
    m_handlers.endpointReported(valueOf(decoded));
}

void view_controller::recordConfirmation(read_topic &topic, duration at, std::string_view name)
{
    topic.confirmedAt = at;
    m_handlers.logAnswered(name, StatusOk);
    wakeSessions();
}

void view_controller::ask(time_point now)
{
    const auto target = m_source.target(now);
    const auto server = target ? parseAddress(target->address) : std::nullopt;
    if (!server)
        return;
    if (!m_lane || m_lanePeer != target->address) {
        m_lane = std::make_shared<log_connection>(m_context, *server);
        m_lanePeer = target->address;
    }
    m_asking = true;
    m_known.wait = questionWait(m_board.settings);
    const duration sentAt = bootTimeNow();
    m_lane->call({ "GET", encodeViewRequest(m_known), {}, {} }, m_known.wait + AnswerSlack,
                 [this, from = *target, sentAt](const log_response &answer) {
                     m_asking = false;
                     m_nextAsk = steadyNow() + AskPause;
                     answerArrived(from, sentAt, answer);
                 });
}

void view_controller::answerArrived(const group_vm &from, duration sentAt,
                                    const log_response &answer)
{
    const time_point now = steadyNow();
    const auto decoded = decodeViewResponse(answer.body);
    if (answer.status != StatusOk || !isOk(decoded)) {
        m_source.failed(from.name, now);
        return;
    }
    const view_response &view = valueOf(decoded);
    const duration bootTime = bootTimeNow();
    // The question arrived after it was sent, and what is proven lies in the past.
    const auto confirmedAt = [&](const topic_view &topic) {
        return std::min(bootTime, sentAt + std::chrono::milliseconds(topic.confirmedOffsetMs));
    };
    // Numbers are of one reader's history, also those of a topic that the next one has not loaded.
    if (m_known.reader != view.reader)
        m_known = { view.reader, 0, 0, m_known.wait };
    if (view.operatorTopic.loaded) {
        applyOperator(view.operatorTopic);
        m_board.deploymentConfirmedAt = std::max(m_board.deploymentConfirmedAt,
                                                 confirmedAt(view.operatorTopic));
    }
    if (view.endpointTopic.loaded) {
        applyEndpoints(view.endpointTopic);
        m_board.confirmEndpoints(confirmedAt(view.endpointTopic));
    }
    m_source.answered(isFresh(), now);
}

void view_controller::applyOperator(const topic_view &view)
{
    for (const topic_record &record : view.records) {
        platform::keyed_record keyed{ record.key, {} };
        if (!record.removed)
            keyed.value = record.value;
        m_handlers.operatorRecord(keyed);
    }
    m_known.operatorNumber = view.number;
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
            m_handlers.endpointRefused(record.key, errorOf(report).text);
    }
    if (view.whole)
        m_handlers.endpointsListed(ids);
    m_known.endpointNumber = view.number;
}

/// True if the view is no older than a reader at its usual pace makes it.
bool view_controller::isFresh() const
{
    const duration operatorAge = bootTimeNow() - m_board.deploymentConfirmedAt;
    const duration endpointAge = bootTimeNow() - m_board.endpointsConfirmedAt;
    const duration operatorWait = part(m_board.settings.revocationBound, OperatorWaitShare);
    return operatorAge < 2 * operatorWait + FreshSlack
           && endpointAge < m_board.endpointReadInterval() + FreshSlack;
}

void view_controller::acceptQuestions()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        // Any other failure concerns one connection or a moment without descriptors.
        if (!error && m_sessions.size() < MaxSessions) {
            const auto session = std::make_shared<view_session>(std::move(socket), *this);
            m_sessions.insert(session);
            session->readQuestion();
        }
        acceptQuestions();
    });
}

void view_controller::wakeSessions()
{
    const auto sessions = m_sessions;
    for (const auto &session : sessions)
        session->wake();
}

/// True if an answer now would tell the asker more than the age of the view.
bool view_controller::hasNews(const view_request &question) const
{
    const bool known = question.reader == m_incarnation;
    const auto isNew = [known](const read_topic &topic, std::uint64_t number) {
        return topic.loaded && (!known || topic.history.number() != number);
    };
    const bool both = m_operator.loaded && m_endpoints.loaded;
    return both
           && (isNew(m_operator, question.operatorNumber)
               || isNew(m_endpoints, question.endpointNumber));
}

view_response view_controller::answerTo(const view_request &question, duration askedAt) const
{
    const bool known = question.reader == m_incarnation;
    return { m_incarnation, viewOf(m_operator, known ? question.operatorNumber : 0, askedAt),
             viewOf(m_endpoints, known ? question.endpointNumber : 0, askedAt) };
}

topic_view view_controller::viewOf(const read_topic &topic, std::uint64_t known,
                                   duration askedAt) const
{
    topic_view view;
    view.loaded = topic.loaded;
    if (!topic.loaded)
        return view;
    topic_changes changes = topic.history.since(known);
    view.whole = changes.whole;
    view.number = changes.number;
    view.records = std::move(changes.records);
    const duration after = topic.confirmedAt - askedAt;
    // Rounded down, so that the asker never takes the view for newer than it is.
    view.confirmedOffsetMs = std::chrono::floor<std::chrono::milliseconds>(after).count();
    return view;
}

} // namespace burdockhold
