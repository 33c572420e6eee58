#define BOOST_TEST_MODULE keys
#include <boost/test/unit_test.hpp>

#include "burdockhold/hash.h"
#include "testing/support_address.h"
#include "testing/support_catalogue.h"
#include "testing/support_fleet.h"
#include "testing/support_http.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>

using namespace burdockhold::testing;

namespace {

using steady = std::chrono::steady_clock;

/// Only bounds a test that hangs.
constexpr std::chrono::seconds TestLimit(30);

/// A withdrawn key stops working within seconds (design page, invariant 4).
constexpr std::chrono::seconds WithdrawalTarget(5);

constexpr std::chrono::seconds MaxViewAge(2);

fleet_options threeVms()
{
    fleet_options options;
    options.programFolder = BURDOCKHOLD_BINARY_DIR;
    options.engines = { { "--token-ms", "20" }, { "--token-ms", "20" } };
    options.extraSettings = "[freshness]\nmax_view_age = 2s\nheartbeat_interval = 200ms\n";
    return options;
}

bool eventually(const std::function<bool()> &holds, std::chrono::milliseconds limit = TestLimit)
{
    const auto deadline = steady::now() + limit;
    while (!holds()) {
        if (steady::now() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

class deployment
{
public:
    deployment()
        : m_fleet(threeVms())
    {
        std::vector<std::string> engines;
        for (const standin_process &engine : m_fleet.engines())
            engines.push_back(engine.url);
        m_fleet.loadCatalogue(basicCatalogue(engines, {}));
        key = m_fleet.issueKey("a1");
        other = m_fleet.issueKey("a2");
        for (int i = 1; i <= 3; ++i)
            m_fleet.startDaemon("vm-" + std::to_string(i));
        for (std::size_t i = 0; i < 3; ++i)
            BOOST_REQUIRE(eventually([&] { return isReady(i); }));
    }

    fleet &processes() { return m_fleet; }
    running_daemon &vm(std::size_t index) { return m_fleet.daemons().at(index); }

    nlohmann::json status(std::size_t index)
    {
        return httpCall(vm(index).adminUrl, "GET", "/status").json();
    }

    /// Knows all VMs, and the epoch with them is settled.
    bool isReady(std::size_t index)
    {
        const auto page = status(index);
        return page.at("vms") == 3 && page.at("synced") == true && page.at("epoch") != 0
               && page.at("epoch_unsettled").empty() && complete(index, key) == 200;
    }

    int complete(std::size_t index, const std::string &with)
    {
        return httpCall(vm(index).url, "POST", "/v1/completions", streamingRequestBody("p", 1),
                        { { "Authorization", "Bearer " + with } })
                .status;
    }

    std::unique_ptr<http_connection> openStream(std::size_t index)
    {
        auto stream = std::make_unique<http_connection>(vm(index).url);
        stream->sendRequest("POST", "/v1/completions", streamingRequestBody("long", 4000),
                            { { "Authorization", "Bearer " + key } });
        BOOST_REQUIRE_EQUAL(stream->readHead().status, 200);
        BOOST_REQUIRE(stream->readEvent());
        return stream;
    }

    http_response withdraw(std::size_t index, const std::string &digest)
    {
        const nlohmann::json body{ { "digest", digest } };
        return httpCall(vm(index).adminUrl, "POST", "/withdraw", body.dump());
    }

    void setLogDown(bool down)
    {
        const nlohmann::json body{ { "down", down } };
        BOOST_REQUIRE_EQUAL(httpCall(m_fleet.log().url, "POST", "/faults", body.dump()).status,
                            200);
    }

    /// Returns how many requests the engines have received with this marker in their body.
    std::size_t received(const std::string &marker)
    {
        std::size_t count = 0;
        for (const standin_process &engine : m_fleet.engines()) {
            const auto page = httpCall(engine.url, "GET", "/received").json();
            for (const auto &request : page.at("requests"))
                count += request.at("body").get<std::string>().find(marker) != std::string::npos;
        }
        return count;
    }

    /// Stops a VM's process and waits until all its threads have stopped.
    void pause(std::size_t index)
    {
        const child_process &process = vm(index).process;
        process.signal(SIGSTOP);
        BOOST_REQUIRE(eventually([&] {
            const std::filesystem::path tasks = "/proc/" + std::to_string(process.id()) + "/task";
            for (const auto &task : std::filesystem::directory_iterator(tasks)) {
                const std::string stat = readFile(task.path() / "stat");
                if (stat.compare(stat.rfind(')') + 1, 2, " T") != 0)
                    return false;
            }
            return true;
        }));
    }

    /// Adds a VM that no daemon runs on to the VM list.
    void listAlso(const std::string &name, const std::string &peer)
    {
        auto list = httpCall(m_fleet.vmList().url, "GET", "/vms").json();
        list["vms"].push_back({ { "name", name },
                                { "data_centre", "dc1" },
                                { "peer", peer },
                                { "admin", "" },
                                { "state", "live" } });
        BOOST_REQUIRE_EQUAL(httpCall(m_fleet.vmList().url, "PUT", "/vms", list.dump()).status, 200);
    }

    std::string key;
    std::string other;

private:
    fleet m_fleet;
};

/// Reads to the end of a stream. Returns whether it was ended by an error event.
bool endsWithError(http_connection &stream)
{
    bool error = false;
    while (const auto event = stream.readEvent())
        error = error || event->find("\"error\"") != std::string::npos;
    return error;
}

/// A peer that keeps what it receives and answers nothing.
class message_recorder
{
public:
    message_recorder()
        : address(burdockhold::testing::reserveAddress("tcp://"))
    {
        BOOST_REQUIRE_EQUAL(nng_rep0_open_raw(&m_socket), 0);
        BOOST_REQUIRE_EQUAL(nng_listen(m_socket, address.c_str(), nullptr, 0), 0);
    }

    ~message_recorder() { nng_close(m_socket); }
    message_recorder(const message_recorder &) = delete;
    message_recorder &operator=(const message_recorder &) = delete;

    /// Returns the bytes of all messages so far.
    const std::string &received()
    {
        nng_msg *message = nullptr;
        while (nng_recvmsg(m_socket, &message, NNG_FLAG_NONBLOCK) == 0) {
            m_bytes.append(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
            nng_msg_free(message);
        }
        return m_bytes;
    }

    const std::string address;

private:
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    std::string m_bytes;
};

} // namespace

// Guards against a withdrawal in the log that reaches new requests only, or one VM only: all VMs
// refuse the key, and streams that run under it end. Another key goes on.
BOOST_AUTO_TEST_CASE(withdrawalInTheLogStopsTheKeyEverywhere)
{
    deployment site;
    std::vector<std::unique_ptr<http_connection>> streams;
    for (std::size_t i = 0; i < 3; ++i)
        streams.push_back(site.openStream(i));
    const auto start = steady::now();
    site.processes().append("config", { { { "id", "w-1" },
                                          { "kind", "key_withdraw" },
                                          { "digest", burdockhold::sha256Hex(site.key) } } });
    for (std::size_t i = 0; i < 3; ++i) {
        BOOST_TEST(endsWithError(*streams[i]));
        BOOST_TEST(eventually([&] { return site.complete(i, site.key) == 401; }));
        BOOST_TEST(site.complete(i, site.other) == 200);
    }
    BOOST_TEST((steady::now() - start < WithdrawalTarget));
}

// Guards against a key that works on while the log is down: a withdrawal given to one VM stops the
// key and its streams on all VMs, and it reaches the log when the log is back.
BOOST_AUTO_TEST_CASE(withdrawalDuringALogOutageStopsTheKeyEverywhere)
{
    deployment site;
    std::vector<std::unique_ptr<http_connection>> streams;
    for (std::size_t i = 0; i < 3; ++i)
        streams.push_back(site.openStream(i));
    site.setLogDown(true);
    const auto start = steady::now();
    const http_response answer = site.withdraw(0, burdockhold::sha256Hex(site.key));
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.json().at("accepted") == true);
    BOOST_TEST(answer.json().at("holders") == 3);
    BOOST_TEST(answer.json().at("vms") == 3);
    for (std::size_t i = 0; i < 3; ++i) {
        BOOST_TEST(site.complete(i, site.key) == 401);
        BOOST_TEST(endsWithError(*streams[i]));
    }
    BOOST_TEST((steady::now() - start < WithdrawalTarget));
    // Beyond maxViewAge the VMs stay fresh by their heartbeats, and other keys work.
    std::this_thread::sleep_for(2 * MaxViewAge);
    for (std::size_t i = 0; i < 3; ++i)
        BOOST_TEST(site.complete(i, site.other) == 200);

    site.setLogDown(false);
    BOOST_TEST(eventually([&] {
        const auto page = httpCall(site.processes().log().url, "GET",
                                   "/streams/config/records?from=1&limit=1000");
        return page.body.find("key_withdraw") != std::string::npos;
    }));
    BOOST_TEST(eventually([&] { return site.status(2).at("pending_withdrawals") == 0; }));
    for (std::size_t i = 0; i < 3; ++i)
        BOOST_TEST(site.complete(i, site.key) == 401);
}

// Guards against a VM that was paused while a key was withdrawn and goes on with its old view:
// after it wakes, it sends no request of the key to an engine, with the log up and with the log
// down.
BOOST_AUTO_TEST_CASE(pausedVmServesNoWithdrawnKey)
{
    for (const bool logDown : { false, true }) {
        deployment site;
        site.setLogDown(logDown);
        const auto stream = site.openStream(2);
        site.pause(2);
        const http_response answer = site.withdraw(0, burdockhold::sha256Hex(site.key));
        BOOST_TEST(answer.json().at("accepted") == true);
        if (logDown) {
            BOOST_TEST(answer.json().at("holders") == 2);
            BOOST_TEST(answer.json().at("unconfirmed").at(0) == "vm-3");
        }
        std::this_thread::sleep_for(MaxViewAge + std::chrono::milliseconds(100));

        // The requests wait in the paused VM's sockets, so they are the first thing it sees.
        std::vector<std::unique_ptr<http_connection>> waiting;
        for (int i = 0; i < 20; ++i) {
            waiting.push_back(std::make_unique<http_connection>(site.vm(2).url));
            waiting.back()->sendRequest("POST", "/v1/completions",
                                        streamingRequestBody("marker-paused", 1),
                                        { { "Authorization", "Bearer " + site.key } });
        }
        site.vm(2).process.signal(SIGCONT);
        for (const auto &connection : waiting) {
            const int status = connection->readResponse().status;
            BOOST_TEST((status == 401 || status == 503));
        }
        BOOST_TEST(endsWithError(*stream));
        BOOST_TEST(eventually([&] { return site.complete(2, site.other) == 200; }));
        BOOST_TEST(site.complete(2, site.key) == 401);
        BOOST_TEST(site.received("marker-paused") == 0U);
    }
}

// Guards against a VM that serves by an old view: cut off from the log and its peers, it refuses
// keyed requests and ends its streams at maxViewAge.
BOOST_AUTO_TEST_CASE(cutOffVmRefusesKeyedRequests)
{
    deployment site;
    site.setLogDown(true);
    site.pause(1);
    site.pause(2);
    const auto stream = site.openStream(0);
    BOOST_TEST(endsWithError(*stream));
    BOOST_TEST(site.complete(0, site.key) == 503);
    site.vm(1).process.signal(SIGCONT);
    BOOST_TEST(eventually([&] { return site.complete(0, site.key) == 200; }));
}

// Guards against a withdrawal that is reported as accepted although most VMs do not hold it.
BOOST_AUTO_TEST_CASE(withdrawalByAMinorityIsNotAccepted)
{
    deployment site;
    BOOST_TEST(site.withdraw(0, "no digest").status == 400);
    site.setLogDown(true);
    site.pause(1);
    site.pause(2);
    const http_response answer = site.withdraw(0, burdockhold::sha256Hex(site.key));
    BOOST_TEST(answer.status == 202);
    BOOST_TEST(answer.json().at("accepted") == false);
    BOOST_TEST(answer.json().at("holders") == 1);
    BOOST_TEST(site.complete(0, site.key) != 200);
}

// Guards against the key's bytes leaving the router: they are in no engine's requests, no line of
// the daemons' logs, no record, and no message to a listed peer, which the test receives itself.
BOOST_AUTO_TEST_CASE(keyBytesStayInTheRouter)
{
    deployment site;
    message_recorder recorder;
    site.listAlso("vm-x", recorder.address);
    for (std::size_t i = 0; i < 3; ++i) {
        BOOST_REQUIRE(eventually([&] { return site.status(i).at("vms") == 4; }));
        BOOST_TEST(site.complete(i, site.key) == 200);
        BOOST_TEST(site.complete(i, "wrong-" + site.key) == 401);
    }
    const std::string digest = burdockhold::sha256Hex(site.key);
    site.withdraw(0, digest);
    BOOST_TEST(site.complete(1, site.key) == 401);
    const auto lacksKey = [&](const std::string &text) {
        return !text.empty() && text.find(site.key) == std::string::npos;
    };
    std::string messages;
    BOOST_TEST(eventually([&] {
        messages = recorder.received();
        return messages.find(digest) != std::string::npos;
    }));
    BOOST_TEST(lacksKey(messages));
    for (const standin_process &engine : site.processes().engines()) {
        const std::string text = httpCall(engine.url, "GET", "/received").body;
        BOOST_TEST(lacksKey(text));
        BOOST_TEST(text.find("Bearer") == std::string::npos);
    }
    BOOST_TEST(lacksKey(
            httpCall(site.processes().log().url, "GET", "/streams/config/records?from=1&limit=1000")
                    .body));
    for (std::size_t i = 0; i < 3; ++i)
        BOOST_TEST(lacksKey(readFile(site.vm(i).settings.logFile)));
}
