#ifndef BURDOCKHOLD_SUPPORT_PAUSING_ENGINES_H
#define BURDOCKHOLD_SUPPORT_PAUSING_ENGINES_H

// A fixture for tests of engines that announce that they leave or ask for a pause: a fake log, any
// number of fake engines and one router. A test sets how each engine answers, or one behaviour for
// all of them; the fixture records what reaches each engine.

#include "testing/support_router.h"

#include <cstdlib>

namespace burdockhold::testing {

using test_clock = std::chrono::steady_clock;

/// How an engine answers.
struct engine_answer
{
    enum class form { Whole, Stream, Error, WrongEndpoint, WithoutLength, Refusal };

    form kind = form::Whole;
    std::string fields;  ///< Additional header fields, each with its line end.
    std::string trailer; ///< Additional trailer field of a stream, with its line end.
    bool stamped = true; ///< A success carries the engine's stamp.
    std::chrono::milliseconds delay{ 0 };
};

/// Returns the answer of an engine that refuses with the given Retry-After field.
inline engine_answer refusal(const std::string &retryAfter)
{
    return { engine_answer::form::Refusal, "Retry-After: " + retryAfter + "\r\n", {}, true, {} };
}

inline engine_answer leavingAnswer(engine_answer::form kind)
{
    return { kind, "Server-Leaving: 1\r\n", {}, true, {} };
}

/// Writes the answer. Returns false if the connection has to be closed after it.
inline bool writeAnswer(const engine_answer &answer, const recorded_request &request,
                        response_socket &socket)
{
    std::this_thread::sleep_for(answer.delay);
    const std::string names = "X-Burdockhold-Attempt-Id: "
                              + request.field("X-Burdockhold-Attempt-Id") + "\r\n"
                              + (answer.stamped ? "X-Burdockhold-Server-Stamp: s1\r\n" : "")
                              + answer.fields;
    const auto whole = [&](const std::string &status) {
        return socket.write("HTTP/1.1 " + status + "\r\n" + names + "Content-Length: 2\r\n\r\nok");
    };
    switch (answer.kind) {
    case engine_answer::form::Whole:
        return whole("200 OK");
    case engine_answer::form::Error:
        return whole("500 X");
    case engine_answer::form::WrongEndpoint:
        return whole("421 X");
    case engine_answer::form::Refusal:
        return whole("503 X\r\nX-Burdockhold-Not-Executed: 1");
    case engine_answer::form::Stream:
        return socket.write("HTTP/1.1 200 OK\r\n" + names + "Transfer-Encoding: chunked\r\n\r\n"
                            + chunk(events(1, 2)) + "0\r\n" + answer.trailer + "\r\n");
    case engine_answer::form::WithoutLength:
        socket.write("HTTP/1.1 200 OK\r\n" + names + "Connection: close\r\n\r\nok");
        return false;
    }
    return false;
}

/// A request at an engine.
struct engine_arrival
{
    test_clock::time_point at;
    test_clock::time_point answeredAt;
    std::string attemptId;
    bool refused = false;
};

struct pausing_fixture
{
    explicit pausing_fixture(std::size_t count = 2)
        : answers(count)
        , arrivals(count)
    {
        putDeployment();
        for (std::size_t index = 0; index < count; ++index) {
            servers.push_back(std::make_unique<fake_server>(
                    [this, index](const recorded_request &request, response_socket &socket) {
                        return serve(index, request, socket);
                    }));
            putEngine(index, 1000);
        }
        router = std::make_unique<router_process>(log.address());
        BOOST_REQUIRE(router->waitReady(true));
    }

    /// Writes the engine's entry of the given incarnation, the Unix time of its start in ms.
    void putEngine(std::size_t index, std::int64_t born, const std::string &state = "ready")
    {
        auto entry = nlohmann::json::parse(
                router_fixture::endpointRecord(servers[index]->address(), state));
        entry["born"] = born;
        log.put("keyed.servers", "e" + std::to_string(index), entry.dump());
    }

    void putDeployment()
    {
        const auto route = [](const char *prefix, const char *kind, int targetMs, bool resumable) {
            return nlohmann::json{ { "name", prefix },        { "host", "h" },
                                   { "path_prefix", prefix }, { "kind", kind },
                                   { "timeout_ms", 10000 },   { "target_latency_ms", targetMs },
                                   { "priority", 1 },         { "service", "desk" },
                                   { "max_attempts", 3 },     { "anonymous", true },
                                   { "resumable", resumable } };
        };
        log.put("keyed.op", "config",
                nlohmann::json{ { "version", 1 },
                                { "routes",
                                  { route("/safe/", "safe", 400, false),
                                    route("/patient/", "safe", 15000, false),
                                    route("/resume/", "stream", 400, true),
                                    route("/pay/", "unsafe", 15000, false),
                                    route("/once/", "stream", 15000, false),
                                    route("/patient-resume/", "stream", 15000, true) } },
                                { "services", { { { "name", "desk" } } } },
                                { "limits",
                                  { { "max_header_bytes", 16384 },
                                    { "max_body_bytes", 100000 },
                                    { "header_timeout_ms", 3000 },
                                    { "idle_timeout_ms", 15000 } } },
                                { "tenants", nlohmann::json::array() } }
                        .dump());
    }

    bool serve(std::size_t index, const recorded_request &request, response_socket &socket)
    {
        engine_answer answer;
        engine_behaviour handler;
        std::size_t number = 0;
        {
            const std::lock_guard lock(mutex);
            answer = answers[index];
            handler = behaviour;
            number = arrivals[index].size();
            arrivals[index].push_back({ test_clock::now(), test_clock::time_point::max(),
                                        request.field("X-Burdockhold-Attempt-Id"),
                                        answer.kind == engine_answer::form::Refusal });
        }
        const bool keep = handler ? handler("e" + std::to_string(index), request, socket)
                                  : writeAnswer(answer, request, socket);
        const std::lock_guard lock(mutex);
        arrivals[index][number].answeredAt = test_clock::now();
        return keep;
    }

    void setAnswer(std::size_t index, const engine_answer &answer)
    {
        const std::lock_guard lock(mutex);
        answers[index] = answer;
    }

    /// Sets the behaviour of all engines, in place of the answers set for each.
    void setEngineBehaviour(engine_behaviour handler)
    {
        const std::lock_guard lock(mutex);
        behaviour = std::move(handler);
    }

    std::vector<engine_arrival> arrivalsAt(std::size_t index)
    {
        const std::lock_guard lock(mutex);
        return arrivals[index];
    }

    /// Returns the number of requests that reached the engine between the two times.
    std::size_t arrivalsBetween(std::size_t index, test_clock::time_point from,
                                test_clock::time_point to)
    {
        std::size_t count = 0;
        for (const engine_arrival &arrival : arrivalsAt(index))
            count += arrival.at > from && arrival.at < to ? 1 : 0;
        return count;
    }

    /// Sends a request with an attempt id of its own and returns the head of the response.
    std::string call(const std::string &path)
    {
        const std::string id = "a" + std::to_string(++nextAttempt);
        return exchangeBytes(router->callerAddress(),
                             "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Burdockhold-Attempt-Id: "
                                     + id + "\r\nX-Burdockhold-Deadline-Ms: 9000\r\n"
                                     + "Content-Length: 0\r\n\r\n",
                             10000);
    }

    /// Sends requests until one has reached the engine. Returns false if none has after
    /// WaitLimitMs.
    bool callUntilArrival(std::size_t index, const std::string &path)
    {
        const std::size_t before = arrivalsAt(index).size();
        const auto deadline = test_clock::now() + std::chrono::milliseconds(WaitLimitMs);
        while (test_clock::now() < deadline) {
            call(path);
            if (arrivalsAt(index).size() > before)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    /// Sends requests one after the other for the given time.
    void callFor(std::chrono::milliseconds time, const std::string &path)
    {
        const auto end = test_clock::now() + time;
        while (test_clock::now() < end) {
            call(path);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    /// Returns true once the router has logged the text; false if it has not after WaitLimitMs.
    bool waitForLog(const std::string &text) const
    {
        const auto deadline = test_clock::now() + std::chrono::milliseconds(WaitLimitMs);
        while (test_clock::now() < deadline) {
            if (router->logText().find(text) != std::string::npos)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    /// Returns the value of a counter of the router's metrics page.
    long counter(const std::string &name) const
    {
        test_caller caller(router->readyAddress());
        caller.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
        const std::string page = caller.readUntil("queue_wait_seconds_count", WaitLimitMs);
        const std::string line = "\nburdockhold_" + name + "_total ";
        const std::size_t at = page.find(line);
        return at == std::string::npos ? -1 : std::atol(page.c_str() + at + line.size());
    }

    std::mutex mutex;
    std::vector<engine_answer> answers;
    engine_behaviour behaviour;
    std::vector<std::vector<engine_arrival>> arrivals;
    std::atomic<int> nextAttempt{ 0 };
    fake_log_service log;
    std::vector<std::unique_ptr<fake_server>> servers;
    std::unique_ptr<router_process> router;
};

} // namespace burdockhold::testing

#endif
