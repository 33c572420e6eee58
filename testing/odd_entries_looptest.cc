#define BOOST_TEST_MODULE odd_entries
#include "testing/support_nesting.h"
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Entries that another writer has left among those of the engines: no such entry names an engine to
// use, and the router goes on with the others.

using namespace burdockhold;
using namespace burdockhold::testing;

namespace {

/// A router with three engines, e1 to e3, of which the third is not listed at first, and a server
/// that only odd entries name.
struct odd_entries_fixture : router_fixture
{
    odd_entries_fixture()
        : third([this](const recorded_request &r, response_socket &s) {
            return engine("e3", r, s);
        })
        , odd([this](const recorded_request &r, response_socket &s) { return engine("odd", r, s); })
    {
    }

    /// Returns the record of the odd server with one field changed to the JSON text.
    std::string oddRecord(const std::string &field, const std::string &value) const
    {
        auto object = nlohmann::json::parse(endpointRecord(odd.address(), "ready"));
        object.erase(field);
        std::string text = object.dump();
        text.pop_back();
        return text + ",\"" + field + "\":" + value + "}";
    }

    void putEntry(const std::string &id, const std::string &value)
    {
        log.put("keyed.servers", id, value);
    }

    std::size_t callsTo(const std::string &name)
    {
        const std::lock_guard lock(mutex);
        return static_cast<std::size_t>(std::count(engines.begin(), engines.end(), name));
    }

    /// Returns true once the condition holds, or false if it does not within WaitLimitMs or the
    /// router ends.
    bool waitUntil(const std::function<bool()> &condition) const
    {
        const auto deadline = std::chrono::steady_clock::now()
                              + std::chrono::milliseconds(WaitLimitMs);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline || router->hasExited())
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return true;
    }

    /// Lets all engines but the first refuse, so that each call reaches it if it is used.
    void refuseAtOtherEngines()
    {
        setEngineBehaviour([](const std::string &name, const recorded_request &r,
                              response_socket &s) {
            if (name == "e1")
                return s.write(completeResponse(r, "body"));
            return s.write("HTTP/1.1 503 Service Unavailable\r\nX-Burdockhold-Attempt-Id: "
                           + r.field("X-Burdockhold-Attempt-Id")
                           + "\r\nX-Burdockhold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        });
    }

    bool firstIsUsed()
    {
        const std::size_t before = callsTo("e1");
        for (int call = 0; call < 5; ++call)
            exchangeRequest(request("/safe/"));
        return callsTo("e1") > before;
    }

    /// Lists the third engine and waits until the router has read its entry, and so all earlier
    /// ones.
    void listThird()
    {
        putEntry("e3", endpointRecord(third.address(), "ready"));
        BOOST_TEST(waitUntil([this] {
            return router->logText().find(R"("endpoint":"e3")") != std::string::npos;
        }));
    }

    /// Checks that the listed engines serve and that only they do.
    void checkThatListIsFollowed()
    {
        listThird();
        BOOST_TEST(!router->hasExited(), router->logText());
        for (int call = 0; call < 20; ++call)
            BOOST_TEST(exchangeRequest(request("/safe/")).rfind("HTTP/1.1 200", 0) == 0U);
        BOOST_TEST(callsTo("e1") + callsTo("e2") + callsTo("e3") == 20U);
        log.remove("keyed.servers", "e1");
        log.remove("keyed.servers", "e2");
        BOOST_TEST(waitUntil([this] {
            exchangeRequest(request("/safe/"));
            return callsTo("e3") > 0;
        }));
        BOOST_TEST(callsTo("odd") == 0U);
        BOOST_TEST(!router->hasExited());
    }

    fake_server third;
    fake_server odd;
};

} // namespace

// Guards against an entry or an operator's record that is nested so deeply that the process
// exhausts its stack and ends.
BOOST_FIXTURE_TEST_CASE(deeplyNestedRecordsDoNotEndTheProcess, odd_entries_fixture)
{
    putEntry("odd-1", oddRecord("models", nestedArrays()));
    putEntry("odd-2", oddRecord("models", nestedObjects()));
    for (const char *field : { "tenants", "limits" })
        log.put("keyed.op", "config",
                R"({"version":9,"routes":[],"services":[],")" + std::string(field)
                        + "\":" + (field[0] == 't' ? nestedArrays() : nestedObjects()) + "}");
    checkThatListIsFollowed();
}

// Guards against an entry with an absurd number, address or type that is used as an engine, that
// ends the process, or after which the list is no longer followed.
BOOST_FIXTURE_TEST_CASE(oddEntriesNameNoEngine, odd_entries_fixture)
{
    const std::string digits = "10000000000000000000000000";
    const std::vector<std::string> numbers{ "1e25", "1e30",  "1e400", digits, "-" + digits, "-1",
                                            "1.5",  "\"6\"", "true",  "null", "[[[6]]]" };
    std::vector<std::string> records;
    for (const char *field : { "slots", "born" }) {
        for (const std::string &number : numbers)
            records.push_back(oddRecord(field, number));
    }
    for (const std::string &number : numbers)
        records.push_back(oddRecord("models", R"([{"name":"m","version":)" + number + "}]"));
    records.push_back(oddRecord("slots", "0"));
    records.push_back(oddRecord("slots", "4294967302")); // 6 in 32 bits.
    for (const char *address : { "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "[::1]:80", "",
                                 "127.0.0.1:99999999999", "localhost:80", R"(127.0.0.1\u0000:80)" })
        records.push_back(oddRecord("address", "\"" + std::string(address) + "\""));
    for (const char *state : { "\"well\"", "null", "1", "[]" })
        records.push_back(oddRecord("state", state));
    records.push_back(oddRecord("service", "\"unknown\""));
    records.push_back(oddRecord("service", "7"));
    records.push_back(oddRecord("zone", "\"\xc3\x28\""));
    records.push_back(oddRecord("later", nestedObjects()));
    for (const std::string &bytes : { std::string("\x01\x02\xff"), std::string("[]"),
                                      std::string(200000, '['), std::string(200000, '{') })
        records.push_back(bytes);
    for (std::size_t at = 0; at < records.size(); ++at)
        putEntry("odd-" + std::to_string(at), records[at]);
    putEntry("odd\r\nX-Odd: 1", endpointRecord(odd.address(), "ready"));
    putEntry(std::string("odd\xff"), endpointRecord(odd.address(), "ready"));
    checkThatListIsFollowed();
}

// Guards against an engine that is still used although an entry that names no engine has replaced
// its own, and against one that stays out of use once its entry can be read again.
BOOST_FIXTURE_TEST_CASE(unreadableEntryReplacesTheKnownOne, odd_entries_fixture)
{
    refuseAtOtherEngines();
    const auto reachesFirst = [this] { return firstIsUsed(); };
    BOOST_TEST(waitUntil(reachesFirst));
    const std::string good = endpointRecord(first.address(), "ready");
    std::string textSlots = good;
    textSlots.replace(textSlots.find(R"("slots":6)"), 9, R"("slots":"6")");
    for (const std::string &bad : { textSlots, std::string("\x81"), std::string("[]") }) {
        putEntry("e1", bad);
        BOOST_TEST(waitUntil([&] { return !reachesFirst(); }), bad);
        BOOST_TEST(!reachesFirst(), bad);
        putEntry("e1", good);
        BOOST_TEST(waitUntil(reachesFirst), bad);
    }
}

// Guards against an engine out of use because another writer's entry names its address and a later
// start.
BOOST_FIXTURE_TEST_CASE(entryThatNamesNoEngineRemovesNoneAtItsAddress, odd_entries_fixture)
{
    refuseAtOtherEngines();
    BOOST_TEST(waitUntil([this] { return firstIsUsed(); }));
    auto later = nlohmann::json::parse(endpointRecord(first.address(), "ready"));
    later["born"] = 2000;
    const std::vector<std::pair<const char *, nlohmann::json>> oddFields{
        { "service", "unknown" }, { "service", 7 }, { "state", "well" }, { "slots", "6" }
    };
    for (const auto &[field, value] : oddFields) {
        auto entry = later;
        entry[field] = value;
        putEntry("odd-" + std::string(field) + value.dump(), entry.dump());
    }
    listThird();
    BOOST_TEST(firstIsUsed());
}

// Guards against a log that an odd entry fills, as each read of the entry adds a line.
BOOST_FIXTURE_TEST_CASE(oddEntryIsLoggedOnce, odd_entries_fixture)
{
    for (int write = 0; write < 5; ++write)
        putEntry("odd-1", oddRecord("slots", "1e25"));
    putEntry("odd-2", oddRecord("born", "1e30"));
    checkThatListIsFollowed();
    const std::string text = router->logText();
    for (const char *id : { "odd-1", "odd-2" }) {
        const std::string line = R"("event":"endpoint_refused","endpoint":")" + std::string(id)
                                 + "\"";
        const auto found = text.find(line);
        BOOST_REQUIRE(found != std::string::npos);
        BOOST_TEST(text.find(line, found + 1) == std::string::npos, text);
        BOOST_TEST(text.find(id[4] == '1' ? "field slots" : "field born", found)
                   != std::string::npos);
    }
}

// Guards against target weights that are refused without a log line, and against one that stops
// the operator's other records.
BOOST_FIXTURE_TEST_CASE(refusedTargetWeightsAreLogged, odd_entries_fixture)
{
    const auto logs = [this](const std::string &text) {
        return waitUntil([&] { return router->logText().find(text) != std::string::npos; });
    };
    log.put("keyed.op", "version/m", R"({"model":"m","version":"seven"})");
    BOOST_TEST(logs(R"("event":"weights_refused","reason":")"));
    log.put("keyed.op", "version/m", R"({"model":"m","version":7})");
    BOOST_TEST(logs(R"("event":"weights_wanted","model":"m","weights":7)"));
}
