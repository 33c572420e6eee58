#define BOOST_TEST_MODULE crash_records
#include "burdockhold/crash_records.h"
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace burdockhold;
using namespace burdockhold::testing;

namespace {

constexpr std::int64_t TimeOfDayMs = 1'790'000'000'000;

std::string promptField(const std::string &segment)
{
    return "X-Burdockhold-Prompt-Prefix: aa:10," + segment + ":10,ff:5\r\n";
}

/// A log, one router and four engines that crash when they are sent the deadly segment.
struct crashing_engines : router_fixture
{
    crashing_engines()
    {
        for (std::size_t index = 0; index < 4; ++index) {
            servers.push_back(std::make_unique<fake_server>(
                    [this, index](const recorded_request &request, response_socket &socket) {
                        return serve(index, request, socket);
                    }));
            log.put("keyed.servers", "crashing" + std::to_string(index),
                    endpointRecord(servers.back()->address(), "ready"));
        }
        log.remove("keyed.servers", "e1");
        log.remove("keyed.servers", "e2");
        const auto deadline = std::chrono::steady_clock::now()
                              + std::chrono::milliseconds(WaitLimitMs);
        while (!isUsed && std::chrono::steady_clock::now() < deadline)
            send("bb");
        BOOST_REQUIRE(isUsed);
    }

    bool serve(std::size_t index, const recorded_request &request, response_socket &socket)
    {
        isUsed = true;
        if (request.field("X-Burdockhold-Prompt-Prefix").find("dead") == std::string::npos)
            return socket.write(completeResponse(request, "body"));
        if (fails) {
            ++errorAnswers;
            return socket.write(
                    "HTTP/1.1 500 X\r\nX-Burdockhold-Attempt-Id: "
                    + request.field("X-Burdockhold-Attempt-Id")
                    + "\r\nX-Burdockhold-Server-Stamp: s1\r\nContent-Length: 0\r\n\r\n");
        }
        servers[index]->stopListening();
        ++crashes;
        socket.reset();
        return false;
    }

    std::string send(const std::string &segment) const
    {
        return exchangeRequest(request("/safe/", "key-1", promptField(segment)));
    }

    std::atomic<int> crashes{ 0 };
    std::atomic<bool> fails{ false }; // Engines answer the deadly segment with an error.
    std::atomic<int> errorAnswers{ 0 };
    std::atomic<bool> isUsed{ false };
    std::vector<std::unique_ptr<fake_server>> servers;
};

} // namespace

BOOST_AUTO_TEST_CASE(recordIsReadBack)
{
    crash_row row;
    row.fingerprint = 0x0123456789abcdef;
    row.crashes = { { 7, 1000 }, { 8, 0 } };
    const std::string value = encodeCrashRecord(row, TimeOfDayMs);
    const auto decoded = decodeCrashRecord("0123456789abcdef", value, TimeOfDayMs + 500);
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST(valueOf(decoded).fingerprint == row.fingerprint);
    BOOST_REQUIRE(valueOf(decoded).crashes.size() == 2U);
    BOOST_TEST(valueOf(decoded).crashes[0].ageMs == 1500U);
    BOOST_TEST(valueOf(decoded).crashes[1].ageMs == 500U);
}

// Guards against a record that takes the process down or blocks something that it does not name.
BOOST_AUTO_TEST_CASE(malformedRecordsAreRefused)
{
    const std::string valid = R"({"crashes":[{"crash":1,"at":5}]})";
    BOOST_TEST(!isOk(decodeCrashRecord("", valid, TimeOfDayMs)));
    BOOST_TEST(!isOk(decodeCrashRecord("xyz", valid, TimeOfDayMs)));
    BOOST_TEST(!isOk(decodeCrashRecord("0123456789abcdef0", valid, TimeOfDayMs)));
    for (const std::string value :
         { "", "{", "[]", "{}", R"({"crashes":1})", R"({"crashes":[1]})",
           R"({"crashes":[{"crash":-1,"at":5}]})", R"({"crashes":[{"crash":1,"at":-5}]})",
           R"({"crashes":[{"crash":1,"at":"5"}]})", R"({"crashes":[{"crash":1}]})" })
        BOOST_TEST(!isOk(decodeCrashRecord("1", value, TimeOfDayMs)), value);
}

BOOST_AUTO_TEST_CASE(timesFromTheFutureCountAsNow)
{
    const auto decoded = decodeCrashRecord("1", R"({"crashes":[{"crash":1,"at":9}]})", 5);
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST(valueOf(decoded).crashes[0].ageMs == 0U);
}

// Guards against a segment that crashes endpoints again after all VMs have restarted.
BOOST_FIXTURE_TEST_CASE(blockOutlivesARestartOfAllVms, crashing_engines)
{
    for (int attempt = 0; attempt < 4; ++attempt)
        send("dead");
    BOOST_TEST(crashes == 3);
    BOOST_TEST(send("dead").rfind("HTTP/1.1 503", 0) == 0U);
    BOOST_TEST(send("bb").rfind("HTTP/1.1 200", 0) == 0U);

    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(WaitLimitMs);
    while (log.keys("keyed.burdockhold-crashes").empty()
           && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    router.reset();
    router = std::make_unique<router_process>(log.address());
    BOOST_REQUIRE(router->waitReady(true));
    BOOST_REQUIRE(waitForResponse(request("/safe/", "key-1", promptField("bb")), "HTTP/1.1 200"));
    BOOST_TEST(send("dead").rfind("HTTP/1.1 503", 0) == 0U);
    BOOST_TEST(crashes == 3);
}

// Guards against a deadly segment that is cleared everywhere because an engine answered its trial
// with an error.
BOOST_FIXTURE_TEST_CASE(errorAnswerOfATrialClearsNoBlock, crashing_engines)
{
    for (int attempt = 0; attempt < 4; ++attempt)
        send("dead");
    BOOST_TEST(send("dead").rfind("HTTP/1.1 503", 0) == 0U);
    fails = true;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(WaitLimitMs);
    while (errorAnswers == 0 && std::chrono::steady_clock::now() < deadline) {
        send("dead");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    BOOST_TEST(errorAnswers >= 1);
    fails = false;
    BOOST_TEST(send("dead").rfind("HTTP/1.1 503", 0) == 0U);
    BOOST_TEST(crashes == 3);
}
