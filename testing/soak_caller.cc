#include "testing/soak_caller.h"

#include "testing/soak_engine.h"

#include <cstdlib>
#include <iterator>

namespace burdockhold::testing {

namespace {

using ms = std::chrono::milliseconds;

constexpr ms ReadTimeout{ 12000 }; ///< Far above the longest time that a route allows.
constexpr int LeaveShare = 12;     ///< One request in this many is left early.
constexpr int DeadlyShare = 40;

/// How often each route is drawn.
constexpr const char *RoutePaths[] = { "/safe/", "/safe/", "/pay/", "/pay/", "/resume/", "/once/" };

std::string requestText(const soak_call &call, const std::string &fields)
{
    const std::string body = "body of " + call.attemptId;
    return "POST " + call.path
           + " HTTP/1.1\r\nHost: h\r\nX-Burdockhold-Attempt-Id: " + call.attemptId
           + "\r\nX-Burdockhold-Credential: " + call.key + "\r\nX-Burdockhold-Deadline-Ms: 3000\r\n"
           + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

soak_outcome outcomeOf(int status)
{
    if (status >= 200 && status < 300)
        return soak_outcome::Complete;
    const bool refused = status == 429 || status == 503 || status == 408 || status == 421;
    return refused ? soak_outcome::Refused : soak_outcome::Failed;
}

/// Names what is wrong with the head of a success.
std::string problemOfHead(const soak_call &call, const http_response &head)
{
    if (head.header("X-Burdockhold-Server-Stamp").empty())
        return "success without a stamp";
    const std::string id = head.header("X-Burdockhold-Attempt-Id");
    return id.empty() || id == call.attemptId ? "" : "answer of another request: " + id;
}

/// Sets outcome and problem from an exception of the connection.
void recordFailure(soak_call &call, const http_failure &failure)
{
    switch (failure.kind()) {
    case http_failure_kind::Timeout:
        call.outcome = soak_outcome::TimedOut;
        break;
    case http_failure_kind::Malformed:
        call.problem = std::string("bytes that are no answer: ") + failure.what();
        call.outcome = soak_outcome::Broken;
        break;
    case http_failure_kind::Refused:
    case http_failure_kind::Closed:
        call.outcome = call.status == 0 ? soak_outcome::NoAnswer : soak_outcome::Broken;
        break;
    }
}

} // namespace

std::string soakKey(int number)
{
    return "key-" + std::to_string(number);
}

soak_caller::soak_caller(int index, std::uint64_t seed, bool metered, soak_targets &targets,
                         soak_history &history)
    : m_index(index)
    , m_metered(metered)
    , m_targets(targets)
    , m_history(history)
    , m_random(seed * 1000 + static_cast<std::uint64_t>(index))
    , m_thread([this] { work(); })
{
}

soak_caller::~soak_caller()
{
    m_thread.join();
}

void soak_caller::pause(ms time) const
{
    const auto until = soak_clock::now() + time;
    while (!m_targets.stopping && soak_clock::now() < until)
        std::this_thread::sleep_for(ms(5));
}

void soak_caller::work()
{
    while (!m_targets.stopping) {
        if (!m_connection && !connect()) {
            pause(ms(20));
            continue;
        }
        soak_call call = nextCall();
        exchange(call);
        if (call.outcome != soak_outcome::Complete && call.outcome != soak_outcome::Failed
            && call.outcome != soak_outcome::Refused)
            m_connection.reset();
        call.endedAt = soak_clock::now();
        m_history.addCall(call);
        if (call.outcome == soak_outcome::Refused)
            pause(std::min(m_retryAfter, ms(300)));
        pause(ms(draw(m_metered ? 10 : 30)));
    }
}

bool soak_caller::connect()
{
    m_router = static_cast<int>(draw(m_targets.addresses.size()));
    m_process = m_targets.starts[static_cast<std::size_t>(m_router)];
    try {
        m_connection.emplace("http://" + m_targets.addresses[static_cast<std::size_t>(m_router)],
                             ReadTimeout);
    } catch (const std::exception &) {
        m_connection.reset();
        return false;
    }
    // A connection that straddles a restart belongs to an unknown process.
    if (m_process != m_targets.starts[static_cast<std::size_t>(m_router)])
        m_connection.reset();
    return m_connection.has_value();
}

soak_call soak_caller::nextCall()
{
    soak_call call;
    call.attemptId = "a" + std::to_string(m_index) + "x" + std::to_string(++m_number);
    call.path = std::string(m_metered ? "/pay/" : RoutePaths[draw(std::size(RoutePaths))]) + "p"
                + std::to_string(draw(99));
    const bool lasting = draw(10) < 6;
    call.key = m_metered ? MeteredKey
                         : soakKey(lasting ? 0 : static_cast<int>(1 + draw(SoakKeys - 1)));
    call.router = m_router;
    call.process = m_process;
    return call;
}

std::string soak_caller::textOf(const soak_call &call)
{
    std::string fields;
    if (m_metered)
        fields = "X-Burdockhold-Token-Count: 60,40\r\n";
    else if (m_targets.deadlySegments && draw(DeadlyShare) == 0)
        fields = std::string("X-Burdockhold-Prompt-Prefix: ") + DeadlySegment + ":50\r\n";
    return requestText(call, fields);
}

void soak_caller::exchange(soak_call &call)
{
    const bool leaves = !m_metered && call.path.rfind("/pay/", 0) != 0 && draw(LeaveShare) == 0;
    try {
        call.sentAt = soak_clock::now();
        m_connection->sendRaw(textOf(call));
        if (leaves)
            leaveEarly(call);
        else
            readAnswer(call);
    } catch (const http_failure &failure) {
        recordFailure(call, failure);
    }
}

void soak_caller::leaveEarly(soak_call &call)
{
    pause(ms(20 + draw(300)));
    m_connection->close();
    call.outcome = soak_outcome::Abandoned;
}

void soak_caller::readAnswer(soak_call &call)
{
    const http_response head = m_connection->readHead();
    call.status = head.status;
    m_retryAfter = ms(static_cast<long>(1000.0 * std::atof(head.header("Retry-After").c_str())));
    const bool success = head.status >= 200 && head.status < 300;
    if (success)
        call.problem = problemOfHead(call, head);
    if (success && head.header("Content-Type") == "text/event-stream") {
        readStream(call);
    } else {
        const std::string body = m_connection->readBody();
        if (success && body != soakBody(call.attemptId))
            call.problem = "body is not the engine's: " + body.substr(0, 60);
    }
    call.outcome = outcomeOf(head.status);
    if (head.header("Connection") == "close" || call.outcome == soak_outcome::Refused)
        m_connection.reset();
}

void soak_caller::readStream(soak_call &call)
{
    try {
        while (const auto event = m_connection->readEvent())
            call.events.push_back(*event);
        call.streamEnded = true;
    } catch (const http_failure &) {
        call.streamRest = m_connection->unreadEventBytes();
        throw;
    }
    call.streamRest = m_connection->unreadEventBytes();
}

soak_call soakProbe(const std::string &address, const std::string &attemptId)
{
    soak_call call;
    call.attemptId = attemptId;
    call.path = "/safe/probe";
    call.key = soakKey(0);
    call.sentAt = soak_clock::now();
    try {
        http_connection connection("http://" + address, ReadTimeout);
        connection.sendRaw(requestText(call, ""));
        const http_response response = connection.readResponse();
        call.status = response.status;
        call.outcome = outcomeOf(response.status);
    } catch (const http_failure &failure) {
        recordFailure(call, failure);
    }
    call.endedAt = soak_clock::now();
    return call;
}

} // namespace burdockhold::testing
