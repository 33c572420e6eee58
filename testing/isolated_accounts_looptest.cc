#define BOOST_TEST_MODULE isolated_accounts_loop
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace burdockhold::testing;

namespace {

constexpr int PollMs = 20;

/// A pool of model engines and two accounts, of which the first may be isolated.
struct fixture : router_fixture
{
    fixture()
    {
        putAccounts(5, false);
        for (const auto &[id, engine] : { std::pair{ "e1", &first }, std::pair{ "e2", &second } }) {
            nlohmann::json entry = nlohmann::json::parse(
                    endpointRecord(engine->address(), "ready"));
            entry["models"] = nlohmann::json::array({ { { "name", "m" }, { "version", 1 } } });
            log.put("keyed.servers", id, entry.dump());
        }
        BOOST_REQUIRE(waitForResponse(request("/safe/", "key-b"), "HTTP/1.1 200"));
        // While the weights are unknown, each attempt has a salt of its own, which contains its id.
        BOOST_REQUIRE(
                waitUntil([this] { return saltOf("key-b").find("id1") == std::string::npos; }));
    }

    static bool waitUntil(const std::function<bool()> &condition)
    {
        for (int round = 0; round < WaitLimitMs / PollMs; ++round) {
            if (condition())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(PollMs));
        }
        return false;
    }

    void putAccounts(int version, bool isolated)
    {
        nlohmann::json body = deploymentBody(version, { "key-1" });
        body["services"][0]["engine"] = { { "slots", 6 },
                                          { "kv_capacity_tokens", 90000 },
                                          { "models", { { { "name", "m" } } } } };
        body["tenants"][0]["isolated"] = isolated;
        body["tenants"].push_back({ { "name", "other" }, { "api_keys", { "key-b" } } });
        log.put("keyed.op", "config", body.dump());
    }

    /// Sends a prompt and returns the salt that an engine got with it.
    std::string saltOf(const std::string &key)
    {
        const std::string answer = exchangeRequest(request("/safe/", key, promptFields));
        BOOST_REQUIRE_MESSAGE(answer.rfind("HTTP/1.1 200", 0) == 0U, answer);
        const std::lock_guard lock(mutex);
        return calls.back().field("X-Burdockhold-Cache-Salt");
    }

    bool waitForSalt(const std::string &key, const std::string &unlike)
    {
        return waitUntil([&] { return saltOf(key) != unlike; });
    }

    const std::string promptFields = "X-Burdockhold-Model: m\r\nX-Burdockhold-Token-Count: 60,5\r\n"
                                     "X-Burdockhold-Prompt-Prefix: aa:50,bb:10\r\n";
};

} // namespace

// Guards against cached segments of an account that others use after it was isolated.
BOOST_FIXTURE_TEST_CASE(segmentsOfAnAccountThatWasIsolatedAreNotUsed, fixture)
{
    const std::string before = saltOf("key-1");
    BOOST_TEST(saltOf("key-b") == before);
    putAccounts(6, true);
    BOOST_TEST(waitForSalt("key-b", before));
    const std::string ofOthers = saltOf("key-b");
    BOOST_TEST(saltOf("key-1") != before);
    BOOST_TEST(saltOf("key-1") != ofOthers);
    putAccounts(7, false);
    BOOST_TEST(waitForSalt("key-b", ofOthers));
    BOOST_TEST(saltOf("key-1") == saltOf("key-b"));
}

// Guards against a stream that was admitted before the change and goes on under the earlier salt.
BOOST_FIXTURE_TEST_CASE(streamThatIsResumedAfterTheChangeUsesTheNewSalt, fixture)
{
    std::atomic<bool> mayBreak{ false };
    setEngineBehaviour(
            [&](const std::string &, const recorded_request &call, response_socket &socket) {
                const bool isStream = call.target.rfind("/resume/", 0) == 0;
                if (!isStream)
                    return socket.write(completeResponse(call, "body"));
                const std::string head = responseHead(call, "Content-Type: text/event-stream\r\n"
                                                            "Transfer-Encoding: chunked");
                if (call.field("Last-Event-Id") == "1")
                    return socket.write(head + chunk(event(2)) + LastChunk);
                socket.write(head + chunk(event(1)));
                while (!mayBreak)
                    std::this_thread::sleep_for(std::chrono::milliseconds(5));
                return false;
            });
    const std::string before = saltOf("key-b");
    test_caller caller(router->callerAddress());
    caller.send(request("/resume/", "key-b", promptFields));
    caller.readUntil("id: 1", WaitLimitMs);
    putAccounts(6, true);
    BOOST_TEST(waitForSalt("key-b", before));
    mayBreak = true;
    BOOST_TEST(caller.readUntil(LastChunk, WaitLimitMs).find("id: 2") != std::string::npos);
    const std::lock_guard lock(mutex);
    BOOST_TEST(calls.back().target == "/resume/");
    BOOST_TEST(calls.back().field("X-Burdockhold-Cache-Salt") != before);
}
