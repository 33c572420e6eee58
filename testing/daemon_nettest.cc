#define BOOST_TEST_MODULE daemon
#include <boost/test/unit_test.hpp>

#include "testing/support_catalogue.h"
#include "testing/support_fleet.h"
#include "testing/support_http.h"

#include <csignal>
#include <thread>

using namespace burdockhold::testing;

namespace {

constexpr std::chrono::seconds StartLimit(20);

fleet_options smallFleet()
{
    fleet_options options;
    options.programFolder = BURDOCKHOLD_BINARY_DIR;
    options.engines = { {}, {}, {}, {} };
    options.services = { {} };
    return options;
}

std::vector<std::string> urls(const std::vector<standin_process> &standins)
{
    std::vector<std::string> all;
    all.reserve(standins.size());
    for (const standin_process &standin : standins)
        all.push_back(standin.url);
    return all;
}

void waitHealthy(const running_daemon &daemon)
{
    const auto deadline = std::chrono::steady_clock::now() + StartLimit;
    while (httpCall(daemon.adminUrl, "GET", "/healthz").status != 200) {
        BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

/// Four engines, a service and three daemons with the basic catalogue.
class deployment
{
public:
    explicit deployment(const fleet_options &options = smallFleet())
        : m_fleet(options)
    {
        m_fleet.loadCatalogue(basicCatalogue(urls(m_fleet.engines()), urls(m_fleet.services())));
        key = m_fleet.issueKey("a1");
        for (int i = 1; i <= 3; ++i)
            m_fleet.startDaemon("vm-" + std::to_string(i));
        for (const running_daemon &daemon : m_fleet.daemons())
            waitHealthy(daemon);
    }

    fleet &processes() { return m_fleet; }
    running_daemon &daemon(std::size_t index) { return m_fleet.daemons().at(index); }
    header_list withKey() const { return { { "Authorization", "Bearer " + key } }; }

    std::string key;

private:
    fleet m_fleet;
};

struct stream_result
{
    std::string text;
    nlohmann::json usage;
    bool ended = false;
};

stream_result readStream(http_connection &connection)
{
    stream_result result;
    while (const auto event = connection.readEvent()) {
        if (*event == "[DONE]") {
            result.ended = true;
            continue;
        }
        const auto json = nlohmann::json::parse(*event);
        result.text += json.at("choices").at(0).at("text").get<std::string>();
        if (json.contains("usage"))
            result.usage = json["usage"];
    }
    return result;
}

stream_result complete(const running_daemon &daemon, const header_list &headers,
                       const std::string &prompt, int maxTokens)
{
    http_connection connection(daemon.url);
    connection.sendRequest("POST", "/v1/completions", streamingRequestBody(prompt, maxTokens),
                           headers);
    BOOST_REQUIRE_EQUAL(connection.readHead().status, 200);
    return readStream(connection);
}

} // namespace

// Guards against a path that does not hold together as real processes, and against routers that
// choose differently: the second answer must find the prefix that the first one left in a cache.
BOOST_AUTO_TEST_CASE(samePromptThroughAnotherVmHitsTheCache)
{
    deployment site;
    const std::string prompt(25000, 'x');
    const stream_result first = complete(site.daemon(0), site.withKey(), prompt, 20);
    BOOST_TEST(first.ended);
    BOOST_TEST(first.usage.at("completion_tokens") == 20);
    BOOST_TEST(first.usage.at("cached_tokens") == 0);

    const stream_result second = complete(site.daemon(1), site.withKey(), prompt, 20);
    BOOST_TEST(second.text == first.text);
    BOOST_TEST(second.usage.at("cached_tokens") == 6000);
}

// Guards against refusals without the usual error shape, and against a request that runs for
// nobody: an unknown key must reach no engine.
BOOST_AUTO_TEST_CASE(badRequestsGetClearErrors)
{
    deployment site;
    const std::string &url = site.daemon(0).url;
    const auto refused = [&](const http_response &response, int status, const std::string &type) {
        BOOST_TEST(response.status == status);
        BOOST_TEST(response.json().at("error").at("type") == type);
        BOOST_TEST(!response.header("X-Request-Id").empty());
        BOOST_TEST(response.header("X-Burdockhold-Run") == "not-run");
    };
    refused(httpCall(url, "POST", "/v1/completions", streamingRequestBody("p", 4),
                     { { "Authorization", "Bearer wrong" } }),
            401, "authentication_error");
    refused(httpCall(url, "POST", "/v1/completions", "{\"model\":", site.withKey()), 400,
            "invalid_request_error");
    refused(httpCall(url, "POST", "/v1/completions",
                     R"({"model":"other","prompt":"p","max_tokens":4})", site.withKey()),
            404, "invalid_request_error");
    refused(httpCall(url, "POST", "/pay", std::string((1 << 20) + 1, 'x'),
                     { { "Authorization", "Bearer " + site.key }, { "Idempotency-Key", "k" } }),
            413, "invalid_request_error");
    refused(httpCall(url, "GET", "/nowhere"), 404, "invalid_request_error");
    for (const standin_process &engine : site.processes().engines())
        BOOST_TEST(httpCall(engine.url, "GET", "/received").body.find("Bearer")
                   == std::string::npos);
}

// Guards against a shutdown that cuts streams: SIGTERM while a stream is open must let it end, and
// the exit code says that no request was cut.
BOOST_AUTO_TEST_CASE(gracefulShutdownCutsNoStream)
{
    fleet_options options = smallFleet();
    for (auto &arguments : options.engines)
        arguments = { "--token-ms", "20" };
    deployment site(options);
    http_connection connection(site.daemon(0).url);
    connection.sendRequest("POST", "/v1/completions", streamingRequestBody("long", 300),
                           site.withKey());
    BOOST_REQUIRE_EQUAL(connection.readHead().status, 200);
    BOOST_REQUIRE(connection.readEvent());

    site.daemon(0).process.signal(SIGTERM);
    const stream_result rest = readStream(connection);
    BOOST_TEST(rest.ended);
    BOOST_TEST(rest.usage.at("completion_tokens") == 300);
    connection.close();
    const auto status = site.daemon(0).process.wait(std::chrono::seconds(30));
    BOOST_REQUIRE(status);
    BOOST_TEST(status->code == 0);
}
