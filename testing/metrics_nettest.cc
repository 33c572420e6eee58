#define BOOST_TEST_MODULE metrics_net
#include <boost/test/unit_test.hpp>

#include "burdockhold/metrics.h"
#include "testing/support_catalogue.h"
#include "testing/support_fleet.h"
#include "testing/support_http.h"

#include <csignal>
#include <functional>
#include <thread>

using namespace burdockhold;
using namespace burdockhold::testing;

namespace {

constexpr std::chrono::seconds Limit(20);
constexpr const char *Completions = "POST /v1/completions";
constexpr int PromptBytes = 25000; // 6,250 tokens in three whole blocks and a part.
constexpr std::uint64_t PromptTokens = 6250;
constexpr std::uint64_t CachedTokens = 6000;

void waitUntil(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + Limit;
    while (!condition()) {
        BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

/// Two engines, a service and one daemon.
class deployment
{
public:
    explicit deployment(const std::vector<std::string> &engineArguments = {})
        : m_fleet({ BURDOCKHOLD_BINARY_DIR,
                    { engineArguments, engineArguments },
                    { {} },
                    {},
                    {},
                    "" })
    {
        std::vector<std::string> engines;
        for (const standin_process &engine : m_fleet.engines())
            engines.push_back(engine.url);
        m_fleet.loadCatalogue(basicCatalogue(engines, { m_fleet.services().at(0).url }));
        m_key = m_fleet.issueKey("a1");
        m_fleet.startDaemon("vm-1");
        waitUntil([this] { return page("/healthz").status == 200; });
    }

    fleet &processes() { return m_fleet; }
    const std::string &url() { return m_fleet.daemons().at(0).url; }
    http_response page(const std::string &path)
    {
        return httpCall(m_fleet.daemons().at(0).adminUrl, "GET", path);
    }
    header_list withKey() const { return { { "Authorization", "Bearer " + m_key } }; }

    http_connection startStream(const std::string &prompt, int maxTokens)
    {
        http_connection connection(url());
        connection.sendRequest("POST", "/v1/completions", streamingRequestBody(prompt, maxTokens),
                               withKey());
        BOOST_REQUIRE_EQUAL(connection.readHead().status, 200);
        return connection;
    }

    /// Reads the measures once `requests` requests have ended. They are counted after the reply.
    metric_snapshot measuresAfter(std::uint64_t requests)
    {
        metric_snapshot measures;
        waitUntil([&] {
            measures = readMeasures();
            std::uint64_t ended = 0;
            for (const auto &series : measures.counters[counter::Requests])
                ended += series.second;
            return ended == requests;
        });
        return measures;
    }

private:
    metric_snapshot readMeasures()
    {
        const http_response response = page("/metrics");
        BOOST_REQUIRE_EQUAL(response.status, 200);
        BOOST_TEST(response.header("Content-Type").find("text/plain") == 0);
        auto parsed = parseMetrics(response.body);
        BOOST_REQUIRE(isOk(parsed));
        return valueOf(parsed);
    }

    fleet m_fleet;
    std::string m_key;
};

void readToEnd(http_connection connection)
{
    std::string last;
    while (const auto event = connection.readEvent())
        last = *event;
    BOOST_TEST(last == "[DONE]");
}

std::uint64_t count(const metric_snapshot &measures, counter which, const metric_labels &labels)
{
    const auto family = measures.counters.find(which);
    if (family == measures.counters.end())
        return 0;
    const auto series = family->second.find(labels);
    return series == family->second.end() ? 0 : series->second;
}

std::uint64_t count(const metric_snapshot &measures, timing which, const metric_labels &labels)
{
    const auto family = measures.timings.find(which);
    if (family == measures.timings.end())
        return 0;
    const auto series = family->second.find(labels);
    return series == family->second.end() ? 0 : observationCount(series->second);
}

} // namespace

// Guards against measures that the request path does not report, or reports twice: the counts of
// two equal streams are known exactly.
BOOST_AUTO_TEST_CASE(streamsAreMeasured)
{
    deployment site;
    const std::string prompt(PromptBytes, 'x');
    readToEnd(site.startStream(prompt, 20));
    readToEnd(site.startStream(prompt, 20));
    const metric_snapshot measures = site.measuresAfter(2);
    const metric_labels labels{ "a1", Completions, "" };
    BOOST_TEST(count(measures, timing::TimeToFirstToken, labels) == 2);
    BOOST_TEST(count(measures, timing::TimeBetweenTokens, labels) == 38);
    BOOST_TEST(count(measures, timing::QueueWait, labels) == 2);
    BOOST_TEST(count(measures, counter::PromptTokens, labels) == 2 * PromptTokens);
    BOOST_TEST(count(measures, counter::CachedTokens, labels) == CachedTokens);
    BOOST_TEST(count(measures, counter::RecomputedTokens, labels) == 0);
    BOOST_TEST(count(measures, counter::Requests, { "a1", Completions, "answered" }) == 2);
    BOOST_TEST(count(measures, counter::ServedRequests, labels) == 2);
    BOOST_TEST(count(measures, counter::ServedTokens, labels) == 2 * (PromptTokens + 20));
    BOOST_TEST(count(measures, counter::Retries, labels) == 0);
}

// Guards against refusals that are counted under a wrong reason, and against callers without a key
// that fill the bounded labels with paths of their own.
BOOST_AUTO_TEST_CASE(refusalsAreCountedByReason)
{
    deployment site;
    httpCall(site.url(), "POST", "/v1/completions", streamingRequestBody("p", 4),
             { { "Authorization", "Bearer wrong" } });
    httpCall(site.url(), "POST", "/v1/completions", "{\"model\":", site.withKey());
    httpCall(site.url(), "POST", "/v1/completions", R"({"model":"other","prompt":"p"})",
             site.withKey());
    httpCall(site.url(), "GET", "/nowhere-1");
    httpCall(site.url(), "GET", "/nowhere-2");
    const http_response stock = httpCall(site.url(), "GET", "/stock");
    BOOST_TEST(stock.status == 200);
    const metric_snapshot measures = site.measuresAfter(6);
    BOOST_TEST(count(measures, counter::Refusals, { "", Completions, "unknown_key" }) == 1);
    BOOST_TEST(count(measures, counter::Refusals, { "a1", Completions, "malformed" }) == 1);
    BOOST_TEST(count(measures, counter::Refusals, { "a1", Completions, "not_found" }) == 1);
    BOOST_TEST(count(measures, counter::Refusals, { "", "", "not_found" }) == 2);
    BOOST_TEST(count(measures, counter::Requests, { "", "GET /stock", "answered" }) == 1);
    BOOST_TEST(site.page("/metrics").body.find("nowhere") == std::string::npos);
}

// Guards against a resume that goes unseen and against recomputation that is not counted: the
// second engine has no part of the prompt in its cache.
BOOST_AUTO_TEST_CASE(resumeAfterACrashIsCounted)
{
    deployment site({ "--token-ms", "30" });
    http_connection connection = site.startStream(std::string(PromptBytes, 'x'), 30);
    BOOST_REQUIRE(connection.readEvent());
    for (standin_process &engine : site.processes().engines()) {
        if (httpCall(engine.url, "GET", "/load").json().at("running") == 1)
            engine.process.signal(SIGKILL);
    }
    readToEnd(std::move(connection));
    const metric_snapshot measures = site.measuresAfter(1);
    const metric_labels labels{ "a1", Completions, "" };
    BOOST_TEST(count(measures, counter::Retries, labels) == 1);
    BOOST_TEST(count(measures, counter::Resumes, labels) == 1);
    BOOST_TEST(count(measures, counter::PromptTokens, labels) == PromptTokens);
    BOOST_TEST(count(measures, counter::RecomputedTokens, labels) == PromptTokens);
    BOOST_TEST(count(measures, timing::TimeToFirstToken, labels) == 1);
    BOOST_TEST(count(measures, timing::TimeBetweenTokens, labels) == 29);
}

// Guards against a refusal that is counted as a failure: with no engine alive nothing was run.
BOOST_AUTO_TEST_CASE(requestsThatReachNoEndpointCountAsRefused)
{
    deployment site;
    for (standin_process &engine : site.processes().engines()) {
        engine.process.signal(SIGKILL);
        engine.process.wait(Limit);
    }
    const http_response response = httpCall(site.url(), "POST", "/v1/completions",
                                            streamingRequestBody("p", 4), site.withKey());
    BOOST_TEST(response.status == 503);
    const metric_snapshot measures = site.measuresAfter(1);
    BOOST_TEST(count(measures, counter::Requests, { "a1", Completions, "refused" }) == 1);
    BOOST_TEST(count(measures, counter::Refusals, { "a1", Completions, "no_endpoint" }) == 1);
}

// Guards against operator pages that disagree with the catalogue or with what was served.
BOOST_AUTO_TEST_CASE(pagesShowAccountsAndEndpoints)
{
    deployment site;
    readToEnd(site.startStream(std::string(PromptBytes, 'x'), 20));
    site.measuresAfter(1);
    const nlohmann::json accounts = site.page("/accounts").json().at("accounts");
    BOOST_REQUIRE_EQUAL(accounts.size(), 2);
    BOOST_TEST(accounts[0].at("name") == "a1");
    BOOST_TEST(accounts[0].at("tokens_per_second") == 1000000.0);
    BOOST_TEST(accounts[0].at("this_vm").at("served_tokens") == PromptTokens + 20);
    BOOST_TEST(accounts[1].at("this_vm").at("served_tokens") == 0);

    const nlohmann::json endpoints = site.page("/endpoints").json().at("endpoints");
    BOOST_REQUIRE_EQUAL(endpoints.size(), 3);
    BOOST_TEST(endpoints[0].at("name") == "engine-1");
    BOOST_TEST(endpoints[0].at("url") == site.processes().engines().at(0).url);
    BOOST_TEST(endpoints[0].at("state") == "active");
    BOOST_TEST(endpoints[0].at("wanted_weights").at("base") == "v1");
    // The daemon appends records for its membership meanwhile, so the offset lies between two.
    const std::int64_t shown = site.page("/endpoints").json().at("config_offset");
    BOOST_TEST(shown >= 2);
    BOOST_TEST(shown <= site.processes().lastConfigOffset());
}
