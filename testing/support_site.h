#ifndef BURDOCKHOLD_SUPPORT_SITE_H
#define BURDOCKHOLD_SUPPORT_SITE_H

// A deployment for tests of the request path on real processes: engines with faults, one daemon and
// a reference. The reference is an engine of its own that no daemon knows: for the same request id,
// prompt and version it gives the bytes that the caller must get. To be included by Boost.Test
// programs only.

#include "testing/support_catalogue.h"
#include "testing/support_fleet.h"
#include "testing/support_http.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>

namespace burdockhold::testing {

/// Only ends a test that would hang; no verdict depends on it.
inline constexpr std::chrono::seconds WaitLimit(60);
/// Prompts tried until one reaches the engine with the fault.
inline constexpr int MaxPrompts = 60;
inline constexpr std::size_t EventsBeforeFault = 5;

inline bool eventually(const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + WaitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

inline nlohmann::json received(const standin_process &engine)
{
    return httpCall(engine.url, "GET", "/received").json().at("requests");
}

/// Returns how many requests of an engine ended so.
inline std::size_t outcomes(const standin_process &engine, const std::string &outcome)
{
    std::size_t count = 0;
    for (const auto &request : received(engine))
        count += request.at("outcome") == outcome ? 1 : 0;
    return count;
}

inline void setFaults(const standin_process &engine, const nlohmann::json &faults)
{
    BOOST_REQUIRE_EQUAL(httpCall(engine.url, "POST", "/faults", faults.dump()).status, 200);
}

/// A stream that a caller has opened and partly read.
struct open_stream
{
    http_connection connection;
    std::string requestId;
    std::string prompt;
    int tokens = 0;
    std::string body{}; ///< Events as the caller read them, written out again.
};

/// Reads up to `count` events. Returns false at the end of the stream.
inline bool readEvents(open_stream &stream, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        const auto event = stream.connection.readEvent();
        if (!event)
            return false;
        stream.body += "data: " + *event + "\n\n";
    }
    return true;
}

inline void readToEnd(open_stream &stream)
{
    while (readEvents(stream, 1)) { }
}

using engine_arguments = std::vector<std::vector<std::string>>;

/// Engines, one daemon with short timeouts and the reference engine.
class site
{
public:
    explicit site(std::size_t engines, const std::vector<std::string> &arguments = {})
        : site(engine_arguments(engines, arguments))
    {
    }

    /// Engines with arguments of their own. The retry budget has tests of its own; in others it
    /// must not end a stream.
    explicit site(const engine_arguments &engines,
                  const std::string &retries = "[retries]\nminimum = 1000\n")
        : m_fleet(options(engines, retries))
        , m_reference(startStandin(BURDOCKHOLD_BINARY_DIR, "engine"))
    {
        std::vector<std::string> urls;
        for (const standin_process &engine : m_fleet.engines())
            urls.push_back(engine.url);
        m_changes = basicCatalogue(urls, {});
        m_catalogueOffset = m_fleet.append("config", { changeRecord("catalogue", m_changes) });
        m_key = m_fleet.issueKey("a1");
        m_fleet.startDaemon("vm-1");
        BOOST_REQUIRE(eventually(
                [this] { return httpCall(daemon().adminUrl, "GET", "/healthz").status == 200; }));
    }

    running_daemon &daemon() { return m_fleet.daemons().front(); }
    std::vector<standin_process> &engines() { return m_fleet.engines(); }
    header_list withKey() const { return { { "Authorization", "Bearer " + m_key } }; }

    /// Sends a call and reads the head of its answer.
    open_stream open(const std::string &prompt, int tokens)
    {
        open_stream stream{ http_connection(daemon().url, WaitLimit), "", prompt, tokens };
        send(stream);
        readHead(stream);
        return stream;
    }

    void send(open_stream &stream) const
    {
        stream.connection.sendRequest("POST", "/v1/completions",
                                      streamingRequestBody(stream.prompt, stream.tokens),
                                      withKey());
    }

    static void readHead(open_stream &stream)
    {
        const http_response head = stream.connection.readHead();
        BOOST_REQUIRE_EQUAL(head.status, 200);
        stream.requestId = head.header("X-Request-Id");
    }

    /// Returns the bytes that an undisturbed engine gives for the request.
    std::string expected(const open_stream &stream) const
    {
        return httpCall(m_reference.url, "POST", "/v1/completions",
                        streamingRequestBody(stream.prompt, stream.tokens),
                        { { "X-Request-Id", stream.requestId } })
                .body;
    }

    /// Reads the stream to its end and compares it with the reference.
    void checkWhole(open_stream &stream) const
    {
        readToEnd(stream);
        BOOST_TEST(stream.body == expected(stream));
    }

    /// Runs whole streams with different prompts until the condition holds; every one must be as
    /// from an undisturbed engine.
    void runUntil(const std::function<bool()> &condition)
    {
        for (int i = 0; i < MaxPrompts; ++i) {
            open_stream stream = open("prompt " + std::to_string(i), 12);
            checkWhole(stream);
            if (condition())
                return;
        }
        BOOST_ERROR("no prompt reached the engine with the fault");
    }

    /// Returns the engine that runs the only open request.
    standin_process &runningEngine()
    {
        standin_process *found = nullptr;
        BOOST_REQUIRE(eventually([&] {
            for (standin_process &engine : engines()) {
                if (outcomes(engine, "running") > 0)
                    found = &engine;
            }
            return found != nullptr;
        }));
        return *found;
    }

    /// Sets the state of engine-1 in the catalogue and waits until the daemon has applied it.
    void setFirstEngineState(const std::string &state)
    {
        nlohmann::json change;
        for (const auto &entry : m_changes) {
            if (entry.at("name") == "engine-1")
                change = entry;
        }
        change["base"] = m_catalogueOffset;
        change["value"]["state"] = state;
        const std::uint64_t offset = m_fleet.append(
                "config", { changeRecord("state", nlohmann::json::array({ change })) });
        BOOST_REQUIRE(eventually([&] {
            const auto status = httpCall(daemon().adminUrl, "GET", "/status").json();
            return status.at("config_offset").get<std::uint64_t>() >= offset;
        }));
    }

    std::filesystem::path logFile() { return daemon().settings.logFile; }

private:
    static fleet_options options(const engine_arguments &engines, const std::string &retries)
    {
        fleet_options options;
        options.programFolder = BURDOCKHOLD_BINARY_DIR;
        options.engines = engines;
        options.extraSettings = "[upstream]\nfirst_token_timeout = 1s\ninter_token_timeout = 1s\n"
                                + retries;
        return options;
    }

    fleet m_fleet;
    standin_process m_reference;
    nlohmann::json m_changes;
    std::uint64_t m_catalogueOffset = 0;
    std::string m_key;
};

inline std::vector<nlohmann::json> accessLines(const std::filesystem::path &file)
{
    std::vector<nlohmann::json> lines;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        if (json.is_object() && line.find("\"request_id\"") != std::string::npos)
            lines.push_back(json);
    }
    return lines;
}

} // namespace burdockhold::testing

#endif
