#define BOOST_TEST_MODULE router_parts
#include "burdockhold/decision_log.h"
#include "burdockhold/event_gaps.h"
#include "burdockhold/request_log.h"
#include "burdockhold/router_metrics.h"
#include "burdockhold/router_settings.h"
#include "burdockhold/vm_digest.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <random>
#include <string>

using namespace burdockhold;

namespace {

const std::string validSettings = R"([vm]
name = vm-1
data_centre = dc1
ip = 127.0.0.1
[listen]
callers = 127.0.0.1:1
ready = 127.0.0.1:2
first_peer_port = 3
[log]
address = 127.0.0.1:4
partitions = 12
[bounds]
leaving_ms = 2000
config_ms = 2000
revocation_ms = 5000
weights_ms = 8000
engines_check_fences = true
lease_ms = 3000
shutdown_grace_s = 8
[repeats]
ratio = 0.2
slack = 54
[accounts]
tolerance = 0.1
tolerance_tokens = 72000
[limits]
memory_mb = 110
descriptors = 4100
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

/// A pipe that is read only by readAll().
struct test_pipe
{
    test_pipe() { BOOST_REQUIRE(::pipe(ends.data()) == 0); }
    ~test_pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string readAll() const
    {
        std::string text;
        std::array<char, 65536> buffer;
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        for (ssize_t bytesRead = ::read(ends[0], buffer.data(), buffer.size()); bytesRead > 0;
             bytesRead = ::read(ends[0], buffer.data(), buffer.size()))
            text.append(buffer.data(), static_cast<std::size_t>(bytesRead));
        return text;
    }

    std::array<int, 2> ends{};
};

} // namespace

BOOST_AUTO_TEST_CASE(settingsAreRead)
{
    const auto settings = parseRouterSettings(validSettings);
    BOOST_REQUIRE(isOk(settings));
    BOOST_TEST(valueOf(settings).vmName == "vm-1");
    BOOST_TEST(valueOf(settings).enginesCheckFencingTokens);
    BOOST_TEST(toSeconds(valueOf(settings).weightsBound) == 8.0);
}

// Guards against a start with a default value in place of a malformed or missing setting.
BOOST_AUTO_TEST_CASE(wrongSettingsNameTheirKey)
{
    const auto missing = parseRouterSettings(replaced(validSettings, "lease_ms = 3000\n", ""));
    BOOST_REQUIRE(!isOk(missing));
    BOOST_TEST(errorOf(missing).context == "bounds.lease_ms");
    const auto wrong = parseRouterSettings(replaced(validSettings, "5000", "soon"));
    BOOST_REQUIRE(!isOk(wrong));
    BOOST_TEST(errorOf(wrong).context == "bounds.revocation_ms");
    BOOST_TEST(!isOk(parseRouterSettings("[vm\nname")));
    BOOST_TEST(
            !isOk(parseRouterSettings(replaced(validSettings, "lease_ms = 3000", "lease_ms = 0"))));
}

// Guards against a start with all mechanisms although the settings misspell or repeat one.
BOOST_AUTO_TEST_CASE(disabledMechanismsAreRead)
{
    const auto disabled = [](const std::string &names) {
        return parseRouterSettings(validSettings + "[mechanisms]\ndisabled = " + names + "\n");
    };
    BOOST_TEST(valueOf(parseRouterSettings(validSettings)).mechanisms.disabledNames().empty());
    BOOST_TEST(valueOf(disabled("")).mechanisms.disabledNames().empty());
    BOOST_TEST(valueOf(disabled("wait_queue, load_limit")).mechanisms.disabledNames()
               == "wait_queue,load_limit");
    for (const char *wrong : { "waitqueue", "wait_queue,wait_queue", "wait_queue,," }) {
        BOOST_REQUIRE(!isOk(disabled(wrong)));
        BOOST_TEST(errorOf(disabled(wrong)).context == "mechanisms.disabled");
    }
}

// Guards against an exposure of every call to a new version through a malformed bound.
BOOST_AUTO_TEST_CASE(rolloutBoundsAreChecked)
{
    const auto with = [](const std::string &line) {
        return parseRouterSettings(validSettings + "[rollouts]\n" + line + "\n");
    };
    BOOST_TEST(valueOf(with("exposure_share = 0.2")).exposureShare == 0.2);
    BOOST_TEST(valueOf(with("exposure_share = ")).exposureShare == 0.1);
    for (const std::string line :
         { "exposure_share = 1.5", "exposure_share = -0.1", "exposure_share = nan",
           "exposure_share = much", "exposure_slack = -1", "rollback_ms = 0" })
        BOOST_TEST(!isOk(with(line)), line);
}

// Guards against a start that fails because the platform added a key.
BOOST_AUTO_TEST_CASE(unknownSettingsAreIgnored)
{
    BOOST_TEST(isOk(parseRouterSettings(validSettings + "[new]\nkey = value\n")));
}

// Guards against a stalled reader of standard output that blocks the router, or makes its queue of
// log lines grow without a bound.
BOOST_AUTO_TEST_CASE(stalledReaderNeitherBlocksNorGrowsMemory)
{
    const test_pipe pipe;
    decision_log_options options;
    options.descriptor = pipe.ends[1];
    options.linesPerSecond = 1e9;
    decision_log log("vm-1", options);
    const auto begin = std::chrono::steady_clock::now();
    int written = 0;
    for (int line = 0; line < 20000; ++line) {
        const time_point now = time_point{} + std::chrono::milliseconds(line);
        if (log.accepts(log_priority::StateChange, now)) {
            log.write(log_event::Started, { { "text", std::string(100, 'x') } }, now);
            ++written;
        }
        log.flush();
    }
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    BOOST_TEST(written < 5000);
    BOOST_TEST(log.dropped() == static_cast<std::uint64_t>(20000 - written));
    BOOST_TEST(toSeconds(std::chrono::duration_cast<duration>(elapsed)) < 30.0);
}

// Guards against successes that displace failures and state changes, and against lines that are
// dropped without being counted.
BOOST_AUTO_TEST_CASE(budgetDropsSuccessesFirstAndCountsThem)
{
    const test_pipe pipe;
    decision_log_options options;
    options.descriptor = pipe.ends[1];
    options.linesPerSecond = 10.0;
    decision_log log("vm-1", options);
    const time_point now = time_point{} + std::chrono::seconds(1);
    int successes = 0;
    int failures = 0;
    int stateChanges = 0;
    for (int line = 0; line < 100; ++line) {
        successes += log.accepts(log_priority::Success, now) ? 1 : 0;
        failures += log.accepts(log_priority::Failure, now) ? 1 : 0;
        stateChanges += log.accepts(log_priority::StateChange, now) ? 1 : 0;
    }
    BOOST_TEST(successes == 10);
    BOOST_TEST(failures == 40);
    BOOST_TEST(stateChanges == 100);
    log.flush();
    log.flush();
    BOOST_TEST(pipe.readAll().find("\"event\":\"lines_dropped\",\"total\":150")
               != std::string::npos);
}

// Guards against digests that change in an encoding and decoding, and against crashes on malformed
// bytes.
BOOST_AUTO_TEST_CASE(digestsRoundTripAndMalformedOnesAreRefused)
{
    vm_digest digest;
    digest.vm = "vm-1";
    digest.number = 7;
    digest.accounts.push_back({ 1, 2, 4, 1 });
    digest.endpoints.push_back({ 1, 2, 3, 4, 5, 6, 7 });
    digest.weights.push_back({ 1, 2, 3, true, 900 });
    digest.loadTimes.push_back({ 1, 2, 500, 2500, 2400, 20, true });
    digest.duties.push_back({ 1, true, 20 });
    digest.announcedVersions.push_back({ 1, 2, 3, true });
    digest.storedSegments = { 9 };
    digest.dataCentre = "dc1";
    digest.aggregator = "10.0.0.1:7600";
    digest.vms = { 4, 5 };
    const std::string bytes = encodeDigest(digest);
    const auto decoded = decodeDigest(bytes);
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST(encodeDigest(valueOf(decoded)) == bytes);
    std::mt19937 random(1);
    for (int round = 0; round < 2000; ++round) {
        std::string mutated = bytes.substr(0, random() % bytes.size());
        for (char &c : mutated) {
            if (random() % 20 == 0)
                c = static_cast<char>(random());
        }
        decodeDigest(mutated);
    }
    BOOST_TEST(!isOk(decodeDigest("")));
    BOOST_TEST(!isOk(decodeDigest("hello")));
}

// Guards against neighbouring builds that cannot read each other's digests during a rolling
// restart: rows of older builds end early, and later fields keep their defaults.
BOOST_AUTO_TEST_CASE(rowsOfOlderBuildsAreRead)
{
    const auto unpacked = [](const auto &fields, auto row) {
        msgpack::sbuffer buffer;
        msgpack::pack(buffer, fields);
        msgpack::unpack(buffer.data(), buffer.size()).get().convert(row);
        return row;
    };
    const auto account = unpacked(std::make_tuple(7, 100, 300), account_row{});
    BOOST_TEST(account.requested == 300U);
    BOOST_TEST(account.returned == 0U);
    const auto weights = unpacked(std::make_tuple(7, 8, 2, true), weights_row{});
    BOOST_TEST(weights.loading);
    BOOST_TEST(weights.loadingLeftMs == 0U);
    const auto account2 = unpacked(std::make_tuple(7, 100, 300, 50, "from a newer build"),
                                   account_row{});
    BOOST_TEST(account2.returned == 50U);
}

// Guards against a metrics page whose size grows with the number of requests.
BOOST_AUTO_TEST_CASE(metricsPageIsBounded)
{
    router_metrics metrics;
    for (int number = 0; number < 100000; ++number) {
        metrics.count(router_counter::Served);
        metrics.recordFirstByte(std::chrono::microseconds(number * 97));
    }
    const std::string page = metrics.text();
    BOOST_TEST(page.size() < 10000U);
    BOOST_TEST(page.find("burdockhold_served_total 100000\n") != std::string::npos);
    BOOST_TEST(page.find("burdockhold_first_byte_seconds_count 100000\n") != std::string::npos);
}

// Guards against a caller's slow reading that is logged as a pause of the endpoint.
BOOST_AUTO_TEST_CASE(longestGapLeavesOutTheCallersPauses)
{
    const time_point start{ std::chrono::seconds(1) };
    const auto at = [start](int ms) { return start + std::chrono::milliseconds(ms); };
    event_gaps gaps;
    gaps.resumed(at(0));
    gaps.eventArrived(at(100));
    gaps.eventArrived(at(140));
    gaps.resumed(at(900));
    gaps.eventArrived(at(930));
    BOOST_TEST((gaps.longest() == std::chrono::milliseconds(40)));

    request_summary summary;
    endpoint_choice choice;
    choice.expectedMs = 900.0;
    choice.expectedFirstEventMs = 62.5;
    choice.tokensAhead = 1500;
    addFirstEvent(summary, choice, std::chrono::milliseconds(80), gaps.longest());
    const auto fields = requestEndedFields(summary);
    BOOST_TEST(fields["expected_first_ms"] == 62.5);
    BOOST_TEST(fields["call_first_ms"] == 80.0);
    BOOST_TEST(fields["longest_gap_ms"] == 40.0);
    BOOST_TEST(fields["ahead"] == 1500);
}
