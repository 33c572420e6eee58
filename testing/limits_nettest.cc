#define BOOST_TEST_MODULE limits
#include <boost/test/unit_test.hpp>

#include "testing/support_catalogue.h"
#include "testing/support_fleet.h"
#include "testing/support_http.h"

#include <atomic>
#include <csignal>
#include <functional>
#include <mutex>
#include <thread>

using namespace burdockhold::testing;

namespace {

using steady = std::chrono::steady_clock;

/// Only bounds a test that hangs.
constexpr std::chrono::seconds TestLimit(30);

constexpr double Rate = 2000.0;  // Tokens per second over all VMs.
constexpr double Burst = 4000.0; // Tokens.
constexpr int PromptBytes = 160; // 40 tokens.
constexpr int OutputTokens = 10;
constexpr double RequestTokens = PromptBytes / 4.0 + OutputTokens;

/// Requests within the rate are refused in under 0.5 % of cases when all traffic of an account
/// reaches one VM (design page, targets).
constexpr double WrongfulRefusals = 0.005;

bool eventually(const std::function<bool()> &holds)
{
    const auto deadline = steady::now() + TestLimit;
    while (!holds()) {
        if (steady::now() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

double seconds(steady::duration time)
{
    return std::chrono::duration<double>(time).count();
}

nlohmann::json catalogueOf(const std::vector<std::string> &engines, int maxOpen)
{
    nlohmann::json changes = basicCatalogue(engines, {});
    for (nlohmann::json &change : changes) {
        if (change.at("name") != "a1")
            continue;
        change["value"]["tokens_per_second"] = Rate;
        change["value"]["burst_tokens"] = Burst;
        change["value"]["max_open_requests"] = maxOpen;
    }
    return changes;
}

class deployment
{
public:
    explicit deployment(int maxOpen = 1000, const std::vector<std::string> &engineArguments = {})
        : m_fleet(optionsWith(engineArguments))
    {
        std::vector<std::string> engines;
        for (const standin_process &engine : m_fleet.engines())
            engines.push_back(engine.url);
        m_fleet.loadCatalogue(catalogueOf(engines, maxOpen));
        m_key = m_fleet.issueKey("a1");
        for (int i = 1; i <= 3; ++i)
            m_fleet.startDaemon("vm-" + std::to_string(i));
        waitReady();
    }

    fleet &processes() { return m_fleet; }

    /// Waits until every VM knows all VMs and the epoch with them is settled.
    void waitReady()
    {
        for (const running_daemon &daemon : m_fleet.daemons()) {
            BOOST_REQUIRE(eventually([&] {
                const auto page = httpCall(daemon.adminUrl, "GET", "/status").json();
                return page.at("vms") == 3 && page.at("epoch_unsettled").empty()
                       && page.at("epoch") != 0 && page.at("synced") == true
                       && httpCall(daemon.adminUrl, "GET", "/healthz").status == 200;
            }));
        }
    }

    http_response send(std::size_t vm, const std::string &prompt = std::string(PromptBytes, 'p'))
    {
        return httpCall(m_fleet.daemons().at(vm).url, "POST", "/v1/completions",
                        streamingRequestBody(prompt, OutputTokens),
                        { { "Authorization", "Bearer " + m_key } });
    }

    std::unique_ptr<http_connection> open(std::size_t vm)
    {
        auto connection = std::make_unique<http_connection>(m_fleet.daemons().at(vm).url);
        connection->sendRequest("POST", "/v1/completions",
                                streamingRequestBody(std::string(PromptBytes, 'p'), OutputTokens),
                                { { "Authorization", "Bearer " + m_key } });
        return connection;
    }

    /// Returns the requests that the engines have received.
    std::size_t received()
    {
        std::size_t count = 0;
        for (const standin_process &engine : m_fleet.engines()) {
            const auto page = httpCall(engine.url, "GET", "/received").json();
            for (const auto &request : page.at("requests"))
                count += request.at("path") == "/v1/completions" ? 1 : 0;
        }
        return count;
    }

private:
    static fleet_options optionsWith(const std::vector<std::string> &engineArguments)
    {
        fleet_options options;
        options.programFolder = BURDOCKHOLD_BINARY_DIR;
        options.engines = { engineArguments, engineArguments };
        return options;
    }

    std::string m_key;
    fleet m_fleet;
};

struct flood_result
{
    double seconds = 0.0;
    std::size_t refusals = 0;
    std::size_t badRefusals = 0; ///< Refusals without the shape of section 5.
};

/// Sends from several threads, each to the VM that vmOf names, until the time is over.
flood_result flood(deployment &site, std::chrono::milliseconds time,
                   const std::function<std::size_t(int)> &vmOf,
                   const std::string &prompt = std::string(PromptBytes, 'p'))
{
    constexpr int Senders = 12;
    flood_result result;
    std::mutex mutex;
    const auto start = steady::now();
    std::vector<std::thread> senders;
    senders.reserve(Senders);
    for (int i = 0; i < Senders; ++i) {
        senders.emplace_back([&, i] {
            while (steady::now() - start < time) {
                const http_response response = site.send(vmOf(i), prompt);
                if (response.status == 200)
                    continue;
                const std::lock_guard<std::mutex> lock(mutex);
                ++result.refusals;
                const bool good = response.status == 429 && !response.header("Retry-After").empty()
                                  && response.json().at("error").at("type") == "rate_limit_error"
                                  && response.header("X-Burdockhold-Run") == "not-run";
                result.badRefusals += good ? 0 : 1;
            }
        });
    }
    for (std::thread &sender : senders)
        sender.join();
    result.seconds = seconds(steady::now() - start);
    return result;
}

} // namespace

// Guards against an account that exceeds its rate and burst over all VMs together: under a flood to
// all VMs, the tokens of the requests that engines received are at most rate x time + burst.
BOOST_AUTO_TEST_CASE(floodToAllVmsStaysWithinRateAndBurst)
{
    deployment site;
    const flood_result result = flood(site, std::chrono::seconds(4),
                                      [](int sender) { return std::size_t(sender) % 3; });
    const double tokens = double(site.received()) * RequestTokens;
    BOOST_TEST_MESSAGE("tokens " << tokens << " in " << result.seconds << " s, refusals "
                                 << result.refusals);
    BOOST_TEST(tokens <= Rate * result.seconds + Burst);
    BOOST_TEST(result.badRefusals == 0U);
}

// Guards against refusals of an account that keeps its rate while all its traffic reaches one VM,
// which owns a third of the rate and has to borrow the rest.
BOOST_AUTO_TEST_CASE(requestsWithinTheRateAreAdmittedAtOneVm)
{
    deployment site;
    constexpr double Load = 0.8;
    constexpr int Requests = 200;
    const auto gap = std::chrono::duration_cast<steady::duration>(
            std::chrono::duration<double>(RequestTokens / (Rate * Load)));
    std::vector<std::thread> callers;
    callers.reserve(Requests);
    std::atomic<int> refused{ 0 };
    auto due = steady::now();
    for (int i = 0; i < Requests; ++i) {
        std::this_thread::sleep_until(due);
        // A caller that is late does not catch up, since that would exceed the rate.
        due = std::max(due, steady::now()) + gap;
        callers.emplace_back([&] { refused += site.send(0).status == 200 ? 0 : 1; });
    }
    for (std::thread &caller : callers)
        caller.join();
    BOOST_TEST_MESSAGE("refused " << refused << " of " << Requests);
    BOOST_TEST(refused <= WrongfulRefusals * Requests);
    const auto page = httpCall(site.processes().daemons().at(0).adminUrl, "GET", "/status").json();
    BOOST_TEST(page.at("limits").at("tokens_borrowed").get<double>() > 0.0);
}

// Guards against a second burst by a restart: over a flood before and after all daemons are killed
// and started again, the bound of one burst holds.
BOOST_AUTO_TEST_CASE(restartOfAllDaemonsGivesNoSecondBurst)
{
    deployment site;
    const auto everywhere = [](int sender) { return std::size_t(sender) % 3; };
    // The buckets of the first processes fill up first, and are then emptied.
    std::this_thread::sleep_for(std::chrono::duration<double>(Burst / Rate));
    const auto start = steady::now();
    flood(site, std::chrono::seconds(1), everywhere);
    for (std::size_t i = 0; i < 3; ++i)
        site.processes().restartDaemon(i);
    site.waitReady();
    flood(site, std::chrono::seconds(1), everywhere);
    const double elapsed = seconds(steady::now() - start);
    const double tokens = double(site.received()) * RequestTokens;
    BOOST_TEST_MESSAGE("tokens " << tokens << " in " << elapsed << " s");
    BOOST_TEST(tokens <= Rate * elapsed + Burst);
}

// Guards against a refusal without the usual shape: a request for more tokens than the burst can
// never be admitted.
BOOST_AUTO_TEST_CASE(requestBeyondTheBurstIsRefused)
{
    deployment site;
    const flood_result result = flood(
            site, std::chrono::milliseconds(1), [](int) { return std::size_t(0); },
            std::string(std::size_t(Burst) * 4 + 4, 'p'));
    BOOST_TEST(result.refusals > 0U);
    BOOST_TEST(result.badRefusals == 0U);
    BOOST_TEST(site.received() == 0U);
}

// Guards against an account whose slow requests fill a VM: beyond max_open_requests it is refused,
// and served again when requests have ended.
BOOST_AUTO_TEST_CASE(openRequestsOfAnAccountAreBounded)
{
    deployment site(2, { "--token-ms", "100" });
    std::vector<std::unique_ptr<http_connection>> running;
    for (int i = 0; i < 2; ++i) {
        running.push_back(site.open(0));
        BOOST_TEST(running.back()->readHead().status == 200);
    }
    const http_response refused = site.send(0);
    BOOST_TEST(refused.status == 429);
    BOOST_TEST(refused.json().at("error").at("code") == "too_many_open_requests");
    for (const auto &connection : running)
        while (connection->readEvent()) { }
    BOOST_TEST(eventually([&] { return site.send(0).status == 200; }));
}
