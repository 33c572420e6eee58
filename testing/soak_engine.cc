#include "testing/soak_engine.h"

#include "testing/soak_stream_faults.h"
#include "testing/support_router.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace burdockhold::testing {

namespace {

using ms = std::chrono::milliseconds;

constexpr int SilenceMs = 2000;
constexpr int SlowMs = 800;
constexpr int WorkStepMs = 20;
constexpr ms PauseTime{ 1500 };
constexpr char PauseField[] = "Retry-After: 1.5\r\n";
constexpr ms ShortPauseTime{ 50 };
constexpr char ShortPauseField[] = "Retry-After: 0.05\r\n";
constexpr int EventGapMs = 30;

bool isStream(const std::string &path)
{
    return path.rfind("/resume/", 0) == 0 || path.rfind("/once/", 0) == 0;
}

int serviceMs(std::uint64_t hash)
{
    return static_cast<int>(hash % 8 == 0 ? 700 : hash / 8 % 60);
}

} // namespace

std::uint64_t soakHash(std::uint64_t seed, const std::string &text)
{
    std::uint64_t hash = 14695981039346656037ULL ^ seed * 0x9e3779b97f4a7c15ULL;
    for (const char letter : text)
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
    return hash ^ hash >> 29;
}

std::string soakBody(const std::string &attemptId)
{
    const std::size_t repeats = 1 + soakHash(1, attemptId) % 40;
    std::string body;
    for (std::size_t part = 0; part < repeats; ++part)
        body += attemptId + "/" + std::to_string(part) + "/" + std::to_string(repeats) + ";";
    return body;
}

int soakEventCount(const std::string &attemptId)
{
    return 3 + static_cast<int>(soakHash(2, attemptId) % 20);
}

std::string soakEvent(const std::string &attemptId, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + attemptId + " " + std::to_string(number)
           + " of " + std::to_string(soakEventCount(attemptId));
}

soak_engine::soak_engine(int index, std::uint64_t seed, soak_history &history, soak_log &log)
    : m_index(index)
    , m_seed(seed)
    , m_history(history)
    , m_log(log)
    , m_server([this](const recorded_request &request, response_socket &socket) {
        return serve(request, socket);
    })
{
    announce();
}

void soak_engine::setMode(engine_mode mode)
{
    if (m_mode != engine_mode::Leaving)
        m_mode = mode;
}

std::string soak_engine::id() const
{
    return "e" + std::to_string(m_index) + "n" + std::to_string(m_idNumber);
}

void soak_engine::announce(const std::string &state)
{
    auto entry = nlohmann::json::parse(router_fixture::endpointRecord(m_server.address(), state));
    entry["born"] = 1000 + m_incarnation;
    entry["slots"] = 40;
    entry["version"] = m_software;
    m_log.put("keyed.servers", id(), entry.dump());
}

void soak_engine::announceLeaving()
{
    announce("draining");
    const std::lock_guard lock(m_history.mutex);
    m_history.leavingEngines.emplace(std::make_pair(m_index, m_incarnation.load()),
                                     soak_clock::now());
}

void soak_engine::crash()
{
    m_down = true;
    m_wantsCrash = false;
    m_server.crash();
}

bool soak_engine::restart(bool newId)
{
    if (newId) {
        m_log.remove("keyed.servers", id());
        ++m_idNumber;
    }
    ++m_incarnation;
    m_mode = engine_mode::Sound;
    if (!m_server.listenAgain()) {
        --m_incarnation;
        return false;
    }
    m_down = false;
    announce();
    return true;
}

std::string soak_engine::head(const recorded_request &request, const std::string &framing,
                              const std::string &status) const
{
    const bool leaving = m_mode == engine_mode::Leaving;
    return "HTTP/1.1 " + status
           + "\r\nX-Burdockhold-Attempt-Id: " + request.field("X-Burdockhold-Attempt-Id")
           + "\r\nX-Burdockhold-Server-Stamp: s" + std::to_string(m_index) + "\r\n"
           + (leaving ? "Server-Leaving: 1\r\n" : "") + framing + "\r\n\r\n";
}

soak_arrival soak_engine::arrivalOf(const recorded_request &request) const
{
    soak_arrival arrival;
    arrival.attemptId = request.field("X-Burdockhold-Attempt-Id");
    arrival.path = request.target;
    arrival.account = request.field("X-Burdockhold-Tenant");
    arrival.lastEvent = request.field("Last-Event-Id");
    arrival.credentialPassed = !request.field("X-Burdockhold-Credential").empty();
    arrival.engine = m_index;
    arrival.incarnation = m_incarnation;
    arrival.at = soak_clock::now();
    arrival.saidLeaving = m_mode == engine_mode::Leaving;
    return arrival;
}

bool soak_engine::refuse(const recorded_request &request, response_socket &socket,
                         soak_arrival arrival)
{
    const engine_mode mode = m_mode;
    const bool pausing = mode == engine_mode::Pausing;
    const bool repeating = mode == engine_mode::RepeatedRefusals;
    arrival.refused = true;
    arrival.pause = pausing ? PauseTime : repeating ? ShortPauseTime : ms(0);
    const std::string target = request.field("X-Burdockhold-Target-Instance");
    const bool wrong = !target.empty() && target != id();
    const bool kept = socket.write(
            std::string("HTTP/1.1 ") + (wrong ? "421 X" : "503 X")
            + "\r\nX-Burdockhold-Not-Executed: 1\r\nX-Burdockhold-Attempt-Id: " + arrival.attemptId
            + "\r\n"
            + (pausing     ? PauseField
               : repeating ? ShortPauseField
                           : "")
            + "Content-Length: 0\r\n\r\n");
    arrival.endedAt = soak_clock::now();
    arrival.wouldEndAt = arrival.endedAt;
    m_history.addArrival(arrival);
    return kept;
}

/// Returns whether RepeatedRefusals has refused the attempt, and records that it does now.
bool soak_engine::refusedBefore(const std::string &attemptId)
{
    const std::lock_guard lock(m_mutex);
    return !m_refusedOnce.insert(attemptId).second;
}

bool soak_engine::serve(const recorded_request &request, response_socket &socket)
{
    if (request.target.rfind("/healthz", 0) == 0
        || request.field("X-Burdockhold-Attempt-Id").empty())
        return socket.write("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
    soak_arrival arrival = arrivalOf(request);
    const engine_mode mode = m_mode;
    const std::string target = request.field("X-Burdockhold-Target-Instance");
    const std::uint64_t hash = soakHash(m_seed + static_cast<std::uint64_t>(m_index),
                                        arrival.attemptId);
    if ((!target.empty() && target != id()) || mode == engine_mode::Pausing
        || mode == engine_mode::Full || (mode == engine_mode::RefusingSome && hash / 512 % 4 != 0)
        || (mode == engine_mode::RepeatedRefusals && !refusedBefore(arrival.attemptId)))
        return refuse(request, socket, arrival);
    const int events = isStream(request.target) ? soakEventCount(arrival.attemptId) : 0;
    arrival.wouldEndAt = arrival.at
                         + ms(serviceMs(hash) + events * EventGapMs
                              + (mode == engine_mode::Slow ? SlowMs : 0));
    const std::size_t index = m_history.addArrival(arrival);
    if (mode == engine_mode::RepeatedRefusals)
        socket.write("HTTP/1.1 503 X\r\nX-Burdockhold-Not-Executed: 1\r\nX-Burdockhold-Attempt-Id: "
                     + arrival.attemptId + "\r\n" + ShortPauseField + "Content-Length: 0\r\n\r\n");
    const answer_end end = run(request, socket, { mode, hash, m_streamFaults });
    const bool faulty = end.faulty || mode == engine_mode::RepeatedRefusals
                        || mode == engine_mode::Breaking || mode == engine_mode::LateCopy
                        || mode == engine_mode::Garbage || mode == engine_mode::Silent;
    m_history.endArrival(index,
                         faulty || m_wantsCrash || m_down || m_incarnation != arrival.incarnation);
    return end.kept;
}

soak_engine::answer_end soak_engine::run(const recorded_request &request, response_socket &socket,
                                         const answer_plan &plan)
{
    if (request.field("X-Burdockhold-Prompt-Prefix").find(DeadlySegment) != std::string::npos) {
        m_wantsCrash = true;
        work(socket, SilenceMs);
        return {};
    }
    if (!work(socket, serviceMs(plan.hash) + (plan.mode == engine_mode::Slow ? SlowMs : 0)))
        return {};
    if (plan.mode != engine_mode::Sound && misbehave(request, socket, plan))
        return {};
    if (!isStream(request.target))
        return { sendPlain(request, socket, plan) };
    if (plan.streamFaults && plan.mode != engine_mode::Breaking)
        return sendScript(request, socket, plan);
    return { sendStream(request, socket, plan) };
}

/// Returns true if the connection has to end instead of a whole answer.
bool soak_engine::misbehave(const recorded_request &request, response_socket &socket,
                            const answer_plan &plan)
{
    const std::uint64_t draw = plan.hash / 1024;
    if (plan.mode == engine_mode::Silent) {
        work(socket, SilenceMs);
        return true;
    }
    if (plan.mode == engine_mode::Garbage && draw % 4 == 0) {
        socket.write(draw % 8 == 0 ? "\x01\x02 no answer \r\n\r\n"
                                   : "HTTP/1.1 2x0 OK\r\nA\r\n\r\n");
        return true;
    }
    if (plan.mode != engine_mode::Breaking || draw % 2 != 0 || isStream(request.target))
        return false;
    const std::string body = soakBody(request.field("X-Burdockhold-Attempt-Id"));
    if (draw % 3 != 0)
        socket.write(head(request, "Content-Length: " + std::to_string(body.size()))
                     + body.substr(0, body.size() / 2));
    if (draw % 5 < 2)
        socket.reset();
    return true;
}

bool soak_engine::sendPlain(const recorded_request &request, response_socket &socket,
                            const answer_plan &plan)
{
    const std::string body = soakBody(request.field("X-Burdockhold-Attempt-Id"));
    const std::string answer = head(request, "Content-Length: " + std::to_string(body.size()))
                               + body;
    const bool kept = socket.write(answer);
    if (plan.mode != engine_mode::LateCopy || !kept)
        return kept;
    std::this_thread::sleep_for(ms(plan.hash / 4096 % 40));
    return socket.write(answer);
}

bool soak_engine::sendStream(const recorded_request &request, response_socket &socket,
                             const answer_plan &plan)
{
    const std::string attempt = request.field("X-Burdockhold-Attempt-Id");
    const std::string last = request.field("Last-Event-Id");
    const int count = soakEventCount(attempt);
    const bool breaks = plan.mode == engine_mode::Breaking && plan.hash / 1024 % 2 == 0;
    const int breakAt = 1 + static_cast<int>(plan.hash / 2048 % static_cast<std::uint64_t>(count));
    if (!socket.write(head(request, "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked")))
        return false;
    // An engine that goes on may send the last event again.
    const int repeats = !last.empty() && plan.hash / 131072 % 2 == 0 ? 1 : 0;
    for (int number = last.empty() ? 1 : std::stoi(last) + 1 - repeats; number <= count; ++number) {
        const std::string text = soakEvent(attempt, number) + "\n\n";
        if (breaks && number >= breakAt) {
            socket.write(chunk(text.substr(0, text.size() / 2)));
            if (plan.hash / 65536 % 2 == 0)
                socket.reset();
            return false;
        }
        if (!socket.write(chunk(text)) || !work(socket, EventGapMs))
            return false;
    }
    return socket.write("0\r\n\r\n");
}

soak_engine::answer_end soak_engine::sendScript(const recorded_request &request,
                                                response_socket &socket, const answer_plan &plan)
{
    const stream_script script = drawStream(plan.hash, request.field("X-Burdockhold-Attempt-Id"),
                                            request.field("Last-Event-Id"));
    bool sent = socket.write(
            head(request, "Content-Type: text/event-stream\r\n" + script.fields, script.status));
    for (const std::string &piece : script.pieces)
        sent = sent && socket.write(piece) && work(socket, EventGapMs);
    if (script.resets)
        socket.reset();
    return { sent && script.keepsConnection, script.faulty };
}

/// Works for the given time. Returns false if the connection or the engine ends before.
bool soak_engine::work(response_socket &socket, int milliseconds) const
{
    const int incarnation = m_incarnation;
    const auto until = soak_clock::now() + ms(milliseconds);
    while (soak_clock::now() < until) {
        if (m_down || m_incarnation != incarnation || socket.peerClosed(0))
            return false;
        std::this_thread::sleep_for(
                std::min<soak_clock::duration>(ms(WorkStepMs), until - soak_clock::now()));
    }
    return true;
}

} // namespace burdockhold::testing
