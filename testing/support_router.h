#ifndef BURDOCKHOLD_SUPPORT_ROUTER_H
#define BURDOCKHOLD_SUPPORT_ROUTER_H

// A fixture for tests of the router program: a fake log, two fake engines and one router that
// forwards to them. Each test sets the behaviour of the engines.

#include "testing/support_platform.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace burdockhold::testing {

/// Limit on a test's wait for the router. It is far above any wait of the router itself, so that no
/// result depends on speed.
inline constexpr int WaitLimitMs = 8000;

inline constexpr char LastChunk[] = "0\r\n\r\n";

/// Handles one call to the named engine. Returning false closes the connection.
using engine_behaviour =
        std::function<bool(const std::string &engine, const recorded_request &, response_socket &)>;

/// Returns the header of a response with status 200. The framing is its last field, for example
/// Content-Length.
inline std::string responseHead(const recorded_request &request, const std::string &framing)
{
    return "HTTP/1.1 200 OK\r\nX-Burdockhold-Attempt-Id: "
           + request.field("X-Burdockhold-Attempt-Id") + "\r\nX-Burdockhold-Server-Stamp: s1\r\n"
           + framing + "\r\n\r\n";
}

inline std::string completeResponse(const recorded_request &request, const std::string &body)
{
    return responseHead(request, "Content-Length: " + std::to_string(body.size())) + body;
}

/// Returns the bytes as one chunk of the chunked transfer coding.
inline std::string chunk(const std::string &bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/// Returns the server-sent events with the ids from first to last, both included.
inline std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += event(id);
    return text;
}

/// A chunked response as its caller sees it.
struct received_stream
{
    std::string head;
    std::string body;
    bool complete = false; ///< The last chunk has arrived.
};

/// Decodes the bytes of a response. One that is not chunked is returned as its head.
inline received_stream decodeStream(const std::string &response)
{
    received_stream stream;
    const std::size_t headEnd = response.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return stream;
    stream.head = response.substr(0, headEnd);
    if (stream.head.find("chunked") == std::string::npos)
        return stream;
    std::size_t at = headEnd + 4;
    while (true) {
        const std::size_t lineEnd = response.find("\r\n", at);
        if (lineEnd == std::string::npos)
            return stream;
        const std::size_t size = std::stoul(response.substr(at, lineEnd - at), nullptr, 16);
        if (size == 0) {
            stream.complete = response.compare(lineEnd, 4, "\r\n\r\n") == 0;
            return stream;
        }
        stream.body += response.substr(lineEnd + 2, size);
        at = lineEnd + 2 + size + 2;
    }
}

/// A log, two engines and one router. Construction waits until the router is ready.
struct router_fixture
{
    explicit router_fixture(const router_place &place = {}, int slots = 6)
        : first([this](const recorded_request &r, response_socket &s) {
            return engine("e1", r, s);
        })
        , second([this](const recorded_request &r, response_socket &s) {
            return engine("e2", r, s);
        })
    {
        putDeployment(1, { "key-1", "key-2" });
        log.put("keyed.servers", "e1", endpointRecord(first.address(), "ready", slots));
        log.put("keyed.servers", "e2", endpointRecord(second.address(), "ready", slots));
        router = std::make_unique<router_process>(log.address(), place);
        BOOST_REQUIRE_MESSAGE(router->waitReady(true), router->logText());
    }

    /// Returns the log record of an endpoint at the given address.
    static std::string endpointRecord(const std::string &address, const std::string &state,
                                      int slots = 6)
    {
        return nlohmann::json{
            { "service", "desk" },      { "address", address }, { "zone", "dc1" },
            { "version", "v1" },        { "slots", slots },     { "state", state },
            { "cold_remaining_ms", 0 }, { "born", 1000 },       { "seq", 1 }
        }.dump();
    }

    /// Writes a deployment with the given version and one account, which has the given API keys.
    void putDeployment(int version, const std::vector<std::string> &keys, int idleTimeoutMs = 15000)
    {
        log.put("keyed.op", "config", deploymentBody(version, keys, idleTimeoutMs).dump());
    }

    static nlohmann::json deploymentBody(int version, const std::vector<std::string> &keys,
                                         int idleTimeoutMs = 15000)
    {
        const auto route = [](const char *prefix, const char *kind, int attempts, bool resumable,
                              int timeoutMs = 3000) {
            return nlohmann::json{ { "name", prefix },
                                   { "host", "h" },
                                   { "path_prefix", prefix },
                                   { "kind", kind },
                                   { "timeout_ms", timeoutMs },
                                   { "target_latency_ms", 400 },
                                   { "priority", 1 },
                                   { "service", "desk" },
                                   { "max_attempts", attempts },
                                   { "anonymous", false },
                                   { "resumable", resumable } };
        };
        return {
            { "version", version },
            { "routes",
              { route("/safe/", "safe", 2, false), route("/pay/", "unsafe", 1, false),
                route("/resume/", "stream", 2, true), route("/resume3/", "stream", 3, true),
                route("/once/", "stream", 1, false), route("/slow/", "stream", 1, false, 20000) } },
            { "services", { { { "name", "desk" } } } },
            { "limits",
              { { "max_header_bytes", 16384 },
                { "max_body_bytes", 100000 },
                { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", idleTimeoutMs } } },
            { "tenants", nlohmann::json::array({ { { "name", "acct" }, { "api_keys", keys } } }) }
        };
    }

    /// Records a call to an engine and handles it by the current behaviour.
    bool engine(const std::string &name, const recorded_request &request, response_socket &socket)
    {
        engine_behaviour handler;
        {
            const std::lock_guard lock(mutex);
            calls.push_back(request);
            engines.push_back(name);
            handler = behaviour;
        }
        return handler ? handler(name, request, socket)
                       : socket.write(completeResponse(request, "body"));
    }

    /// Sets the behaviour of both engines. With nullptr every call gets status 200.
    void setEngineBehaviour(engine_behaviour handler)
    {
        const std::lock_guard lock(mutex);
        behaviour = std::move(handler);
    }

    std::size_t callCount()
    {
        const std::lock_guard lock(mutex);
        return calls.size();
    }

    static std::string request(const std::string &path, const std::string &key = "key-1",
                               const std::string &extraFields = {}, const std::string &body = {})
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Burdockhold-Attempt-Id: id1\r\n"
               + "X-Burdockhold-Credential: " + key + "\r\nX-Burdockhold-Deadline-Ms: 3000\r\n"
               + extraFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// Sends the bytes to the router over a new connection and returns the response as far as it
    /// has been read by the end of its header.
    std::string exchangeRequest(const std::string &bytes) const
    {
        return exchangeBytes(router->callerAddress(), bytes, WaitLimitMs);
    }

    /// Sends the request repeatedly until a response starts with the given text. Returns false if
    /// none has after WaitLimitMs.
    bool waitForResponse(const std::string &bytes, const std::string &expectedStart) const
    {
        const auto deadline = std::chrono::steady_clock::now()
                              + std::chrono::milliseconds(WaitLimitMs);
        while (std::chrono::steady_clock::now() < deadline) {
            if (exchangeRequest(bytes).rfind(expectedStart, 0) == 0)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return false;
    }

    /// Waits until the router has logged the text, at most WaitLimitMs. Returns whether it has.
    bool waitForLog(const std::string &text) const
    {
        const auto deadline = std::chrono::steady_clock::now()
                              + std::chrono::milliseconds(WaitLimitMs);
        while (router->logText().find(text) == std::string::npos) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return true;
    }

    std::mutex mutex;
    engine_behaviour behaviour;
    std::vector<recorded_request> calls;
    std::vector<std::string> engines;
    fake_log_service log;
    fake_server first;
    fake_server second;
    std::unique_ptr<router_process> router;
};

} // namespace burdockhold::testing

#endif
