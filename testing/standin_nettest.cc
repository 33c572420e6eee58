#define BOOST_TEST_MODULE standin
#include <boost/test/unit_test.hpp>

#include "testing/support_fleet.h"
#include "testing/support_http.h"
#include "testing/support_process.h"

#include <chrono>
#include <csignal>
#include <thread>

using namespace burdockhold::testing;
using nlohmann::json;

namespace {

const std::string programFolder = BURDOCKHOLD_BINARY_DIR;

standin_process start(const std::string &role, const std::vector<std::string> &arguments = {})
{
    return startStandin(programFolder, role, arguments);
}

void setFaults(const standin_process &standin, const json &faults)
{
    BOOST_REQUIRE_EQUAL(httpCall(standin.url, "POST", "/faults", faults.dump()).status, 200);
}

http_response append(const standin_process &log, const json &records)
{
    return httpCall(log.url, "POST", "/streams/s/records", json{ { "records", records } }.dump());
}

http_response readLog(const standin_process &log, const std::string &query)
{
    return httpCall(log.url, "GET", "/streams/s/records?" + query);
}

json received(const standin_process &standin)
{
    return httpCall(standin.url, "GET", "/received").json();
}

json completionBody(const std::string &prompt, int maxTokens, bool stream)
{
    return {
        { "model", "m" }, { "prompt", prompt }, { "max_tokens", maxTokens }, { "stream", stream }
    };
}

http_response complete(const standin_process &engine, const std::string &prompt,
                       const header_list &headers = {}, int maxTokens = 4)
{
    return httpCall(engine.url, "POST", "/v1/completions",
                    completionBody(prompt, maxTokens, false).dump(), headers);
}

http_connection openStream(const standin_process &engine, const std::string &prompt, int maxTokens,
                           const header_list &headers = {})
{
    http_connection connection(engine.url);
    connection.sendRequest("POST", "/v1/completions",
                           completionBody(prompt, maxTokens, true).dump(), headers);
    return connection;
}

// Reads a stream to its proper end and returns its text.
std::string streamText(http_connection &connection)
{
    std::string text;
    BOOST_REQUIRE_EQUAL(connection.readHead().status, 200);
    std::string last;
    while (const auto event = connection.readEvent()) {
        last = *event;
        if (last != "[DONE]")
            text += json::parse(last)["choices"][0]["text"].get<std::string>();
    }
    BOOST_TEST(last == "[DONE]");
    return text;
}

// Returns whether the connection was closed without a byte of an answer.
bool closedWithoutAnswer(http_connection &connection)
{
    try {
        connection.readHead();
    } catch (const http_failure &failure) {
        return failure.kind() == http_failure_kind::Closed;
    }
    return false;
}

bool silent(http_connection &connection)
{
    connection.setReadTimeout(std::chrono::milliseconds(200));
    try {
        connection.readHead();
    } catch (const http_failure &failure) {
        return failure.kind() == http_failure_kind::Timeout;
    }
    return false;
}

// Polls until the condition holds; the bound only ends a test that would hang.
template <typename Condition>
bool eventually(Condition condition)
{
    for (int attempt = 0; attempt < 2000; ++attempt) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

} // namespace

// Guards against readers that see other offsets or another order than the writer was told.
BOOST_AUTO_TEST_CASE(logNumbersRecordsFromOne)
{
    const standin_process log = start("log");
    const json first = append(log, { "a", "b" }).json();
    BOOST_TEST(first["first_offset"] == 1);
    BOOST_TEST(first["count"] == 2);
    BOOST_TEST(append(log, { "c" }).json()["first_offset"] == 3);

    const json page = readLog(log, "from=2&limit=1").json();
    BOOST_TEST(page["earliest"] == 1);
    BOOST_TEST(page["next"] == 4);
    BOOST_TEST(page["now_ms"].get<std::int64_t>() >= page["records"][0]["time_ms"]);
    BOOST_REQUIRE_EQUAL(page["records"].size(), 1);
    BOOST_TEST(page["records"][0]["offset"] == 2);
    BOOST_TEST(page["records"][0]["data"] == "b");
    const json stats = httpCall(log.url, "GET", "/stats").json();
    BOOST_TEST(stats["appends"] == 2);
    BOOST_TEST(stats["records"] == 3);
}

// Guards against a long poll that sleeps through an append.
BOOST_AUTO_TEST_CASE(logLongPollWakesOnAppend)
{
    const standin_process log = start("log");
    http_connection reader(log.url);
    reader.sendRequest("GET", "/streams/s/records?from=1&wait_ms=60000");
    append(log, { "a" });
    BOOST_TEST(reader.readResponse().json()["records"].size() == 1);
    BOOST_TEST(readLog(log, "from=2&wait_ms=10").json()["records"].empty());
}

// Guards against a reader that silently skips records that fell out of retention.
BOOST_AUTO_TEST_CASE(logRefusesReadsOutOfRetention)
{
    const standin_process log = start("log", { "--retention-records", "2" });
    append(log, { "a", "b", "c" });
    const http_response response = readLog(log, "from=1");
    BOOST_TEST(response.status == 410);
    BOOST_TEST(response.json()["earliest"] == 2);
    BOOST_TEST(readLog(log, "from=2").json()["records"].size() == 2);
}

// Guards against a lost answer that also loses the append: the case that record ids exist for.
BOOST_AUTO_TEST_CASE(logAppliesAppendsWhoseAnswerIsLost)
{
    const standin_process log = start("log");
    setFaults(log, { { "lose_next_append_answers", 1 } });
    http_connection writer(log.url);
    writer.sendRequest("POST", "/streams/s/records", R"({"records":["a"]})");
    BOOST_TEST(closedWithoutAnswer(writer));
    BOOST_TEST(readLog(log, "from=1").json()["records"].size() == 1);
    BOOST_TEST(append(log, { "b" }).status == 200);
}

// Guards against outages that the stand-in pretends to have but does not, and against misspelt
// faults that leave a test without its failure.
BOOST_AUTO_TEST_CASE(logOutages)
{
    const standin_process log = start("log");
    setFaults(log, { { "down", true } });
    BOOST_TEST(append(log, { "a" }).status == 503);
    setFaults(log, { { "down", false }, { "hang", true } });
    http_connection writer(log.url);
    writer.sendRequest("POST", "/streams/s/records", R"({"records":["a"]})");
    BOOST_TEST(silent(writer));
    setFaults(log, { { "hang", false }, { "delay_ms", 50 } });
    const auto before = std::chrono::steady_clock::now();
    BOOST_TEST(readLog(log, "from=1").json()["records"].empty());
    BOOST_TEST((std::chrono::steady_clock::now() - before >= std::chrono::milliseconds(50)));
    BOOST_TEST(httpCall(log.url, "POST", "/faults", R"({"dwon":true})").status == 400);
}

// Guards against a resumed stream that differs from the uninterrupted one.
BOOST_AUTO_TEST_CASE(engineResumesWithTheSameTokens)
{
    const standin_process first = start("engine");
    const standin_process second = start("engine");
    http_connection whole = openStream(first, "hello", 8);
    const std::string text = streamText(whole);

    setFaults(first, { { "die_after_tokens", 3 } });
    http_connection cut = openStream(first, "hello", 8);
    BOOST_REQUIRE_EQUAL(cut.readHead().status, 200);
    std::string got;
    BOOST_CHECK_THROW(while (const auto event = cut.readEvent())
                              got += json::parse(*event)["choices"][0]["text"].get<std::string>(),
                      http_failure);
    http_connection rest = openStream(second, "hello", 8, { { "X-Resume-From", "3" } });
    BOOST_TEST(got + streamText(rest) == text);
    BOOST_TEST(complete(second, "hello", {}, 8).json()["choices"][0]["text"] == text);

    const standin_process other = start("engine", { "--version", "v2" });
    BOOST_TEST(complete(other, "hello", {}, 8).json()["choices"][0]["text"] != text);
}

// Guards against cache hits across salts (accounts), and against a cache without a bound.
BOOST_AUTO_TEST_CASE(engineCachesBySaltAndEvicts)
{
    const standin_process engine = start("engine",
                                         { "--block-tokens", "2", "--cache-blocks", "3" });
    const std::string prompt = "aaaaaaaabbbbbbbbcc"; // Two full blocks and a rest.
    const auto cached = [&](const std::string &text, const std::string &salt) {
        return complete(engine, text, { { "X-Cache-Salt", salt } })
                .json()["usage"]["cached_tokens"]
                .get<int>();
    };
    BOOST_TEST(cached(prompt, "s1") == 0);
    BOOST_TEST(cached(prompt, "s1") == 4);
    BOOST_TEST(cached("aaaaaaaaxxxxxxxx", "s1") == 2);
    BOOST_TEST(cached(prompt, "s2") == 0);
    BOOST_TEST(cached(prompt, "s1") < 4);
    const json load = httpCall(engine.url, "GET", "/load").json();
    BOOST_TEST(load["cached_blocks"] == 3);
    const json events = httpCall(engine.url, "GET", "/cache_events?from=2").json();
    BOOST_TEST(events["events"][0]["seq"] == 2);
    BOOST_TEST(events["events"][0]["event"] == "add");
    BOOST_TEST(events["incarnation"] == load["incarnation"]);
}

// Guards against faults that do not happen on the wire.
BOOST_AUTO_TEST_CASE(engineFaults)
{
    const standin_process engine = start("engine");
    const header_list id{ { "X-Request-Id", "r1" } };
    setFaults(engine, { { "empty_answers", 1 } });
    BOOST_TEST(complete(engine, "p", id).body.empty());
    setFaults(engine, { { "wrong_id_answers", 1 } });
    BOOST_TEST(complete(engine, "p", id).header("X-Request-Id") != "r1");
    const http_response good = complete(engine, "p", id);
    BOOST_TEST(good.header("X-Request-Id") == "r1");
    BOOST_TEST(good.header("X-Weights-Version") == "v1");
    BOOST_TEST(good.header("X-Prompt-Tokens") == "1");
    setFaults(engine, { { "fail_version", "v1" } });
    BOOST_TEST(complete(engine, "p").status == 500);
    setFaults(engine, { { "fail_version", "" }, { "silent_after_tokens", 1 } });
    http_connection stream = openStream(engine, "p", 4);
    stream.readHead();
    BOOST_TEST(stream.readEvent().has_value());
    stream.setReadTimeout(std::chrono::milliseconds(200));
    BOOST_CHECK_EXCEPTION(stream.readEvent(), http_failure, [](const http_failure &failure) {
        return failure.kind() == http_failure_kind::Timeout;
    });
}

// Guards against answers of an engine that leaves which do not say so, and against one that says so
// unasked.
BOOST_AUTO_TEST_CASE(engineStatesItsLeavingInAnyAnswer)
{
    const standin_process engine = start("engine", { "--leaving" });
    const header_list id{ { "X-Burdockhold-Attempt-Id", "a1" } };
    const auto check = [&](const json &faults, int status) {
        setFaults(engine, faults);
        http_response response = complete(engine, "p", id);
        BOOST_TEST(response.status == status);
        BOOST_TEST(response.header("Server-Leaving") == "1", faults);
        BOOST_TEST(response.header("X-Burdockhold-Attempt-Id") == "a1", faults);
        return response;
    };
    check(json::object(), 200);
    http_connection stream = openStream(engine, "p", 2);
    BOOST_TEST(stream.readHead().header("Server-Leaving") == "1");
    const http_response whole = check({ { "no_length", true } }, 200);
    BOOST_TEST(whole.header("Content-Length").empty());
    BOOST_TEST(whole.json()["usage"]["completion_tokens"] == 4);
    check({ { "answer_status", 500 } }, 500);
    BOOST_TEST(check({ { "answer_status", 421 }, { "no_length", false } }, 421)
                       .header("X-Burdockhold-Not-Executed")
               == "1");
    check({ { "answer_status", 0 }, { "fail_version", "v1" } }, 500);
    setFaults(engine, { { "leaving", false }, { "fail_version", "" } });
    BOOST_TEST(complete(engine, "p").header("Server-Leaving").empty());
}

// Guards against refusals that lack the stated text, change it, or come after a run.
BOOST_AUTO_TEST_CASE(engineRefusesWithAnyRetryAfter)
{
    const standin_process engine = start(
            "engine", { "--answer-status", "503", "--retry-after=-5", "--retry-after", "2 s" });
    const auto stated = [&] {
        const http_response response = complete(engine, "p");
        BOOST_TEST(response.status == 503);
        std::vector<std::string> texts;
        for (const auto &[name, value] : response.headers) {
            if (name == "Retry-After")
                texts.push_back(value);
        }
        return texts;
    };
    BOOST_TEST((stated() == std::vector<std::string>{ "-5", "2 s" }));
    for (const json &texts : { json::array(), json{ "" }, json{ "1.5" }, json{ "0.1", "2" } }) {
        setFaults(engine, { { "retry_after", texts } });
        BOOST_TEST((json(stated()) == texts), texts);
    }
    BOOST_TEST(received(engine)["requests"][0]["outcome"] == "refused");
    setFaults(engine, { { "answer_status", 0 } });
    BOOST_TEST(complete(engine, "p").status == 200);
}

// Guards against an engine that survives its poison request, or returns as the same incarnation.
BOOST_AUTO_TEST_CASE(engineExitsOnMarkedPrompt)
{
    standin_process engine = start("engine");
    const std::string before = httpCall(engine.url, "GET", "/load").json()["incarnation"];
    setFaults(engine, { { "exit_marker", "poison" } });
    http_connection caller = openStream(engine, "some poison here", 4);
    BOOST_TEST(closedWithoutAnswer(caller));
    const auto status = engine.process.wait(std::chrono::seconds(10));
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST(status->code == 3);
    const standin_process next = start("engine");
    BOOST_TEST(httpCall(next.url, "GET", "/load").json()["incarnation"] != before);
}

// Guards against an engine that obeys an old order although it checks fencing, or forgets to drop
// the entries of the old weights.
BOOST_AUTO_TEST_CASE(engineOrders)
{
    const auto order = [](const standin_process &engine, const std::string &version, int fencing) {
        const json body{ { "order", "load_version" },
                         { "version", version },
                         { "fencing", fencing } };
        return httpCall(engine.url, "POST", "/orders", body.dump()).status;
    };
    const standin_process strict = start(
            "engine", { "--check-fencing", "--load-ms", "0", "--block-tokens", "1" });
    complete(strict, "abcd");
    BOOST_TEST(order(strict, "v2", 7) == 202);
    BOOST_TEST(order(strict, "v1", 6) == 409);
    BOOST_TEST(eventually([&] {
        return httpCall(strict.url, "GET", "/load").json()["weights_version"] == "v2";
    }));
    BOOST_TEST(complete(strict, "abcd").json()["usage"]["cached_tokens"] == 0);
    const standin_process lax = start("engine", { "--load-ms", "0" });
    BOOST_TEST(order(lax, "v2", 7) == 202);
    BOOST_TEST(order(lax, "v1", 6) == 202);
}

// Guards against priorities that are ignored, and against cancelled requests that run on.
BOOST_AUTO_TEST_CASE(engineHonoursPriorityAndCancels)
{
    const standin_process engine = start("engine", { "--max-running", "1" });
    setFaults(engine, { { "silent_after_tokens", 0 } });
    http_connection running = openStream(engine, "first", 1);
    BOOST_TEST(eventually([&] { return received(engine)["requests"].size() == 1; }));
    http_connection low = openStream(engine, "low", 1, { { "X-Priority", "5" } });
    BOOST_TEST(eventually([&] { return received(engine)["requests"].size() == 2; }));
    http_connection high = openStream(engine, "high", 1, { { "X-Priority", "0" } });
    BOOST_TEST(eventually(
            [&] { return httpCall(engine.url, "GET", "/load").json()["queued_tokens"] == 2; }));
    setFaults(engine, { { "silent_after_tokens", -1 } });
    running.close();
    BOOST_TEST(!streamText(low).empty());
    BOOST_TEST(!streamText(high).empty());
    const json requests = received(engine)["requests"];
    BOOST_TEST(requests[1]["dispatch"] == 3);
    BOOST_TEST(requests[2]["dispatch"] == 2);

    setFaults(engine, { { "delay_token_ms", 60000 } });
    http_connection leaving = openStream(engine, "x", 1);
    leaving.readHead();
    leaving.close(true);
    BOOST_TEST(
            eventually([&] { return received(engine)["requests"][3]["outcome"] == "cancelled"; }));
}

// Guards against an engine that answers at once whatever its settings: time to first token is what
// placement is measured by. Only lower bounds, which hold on a busy machine too.
BOOST_AUTO_TEST_CASE(engineTakesItsTime)
{
    const standin_process engine = start("engine", { "--prefill-us-per-token", "20000",
                                                     "--token-ms", "20", "--block-tokens", "1" });
    const auto timed = [&](const std::string &prompt) {
        const auto before = std::chrono::steady_clock::now();
        complete(engine, prompt, {}, 2);
        return std::chrono::steady_clock::now() - before;
    };
    // Four uncached tokens of 20 ms and two output tokens of 20 ms.
    BOOST_TEST((timed("aaaabbbbccccdddd") >= std::chrono::milliseconds(120)));
    BOOST_TEST((timed("aaaabbbbccccdddd") >= std::chrono::milliseconds(40)));
}

// Guards against lost cache events that leave no gap in the numbers: readers find losses by gaps.
BOOST_AUTO_TEST_CASE(engineLosesCacheEventsWithAGap)
{
    const standin_process engine = start("engine", { "--block-tokens", "1" });
    complete(engine, "aaaa");
    setFaults(engine, { { "lose_cache_events", 1 } });
    complete(engine, "bbbb");
    complete(engine, "cccc");
    const json page = httpCall(engine.url, "GET", "/cache_events").json();
    BOOST_REQUIRE_EQUAL(page["events"].size(), 2);
    BOOST_TEST(page["events"][0]["seq"] == 1);
    BOOST_TEST(page["events"][1]["seq"] == 3);
    BOOST_TEST(page["next"] == 4);
}

// Guards against a service that hides executions: at-most-once is judged by its counts.
BOOST_AUTO_TEST_CASE(serviceCountsExecutions)
{
    const standin_process service = start("service");
    setFaults(service, { { "drop_answers", 1 } });
    const header_list headers{ { "Idempotency-Key", "k1" }, { "X-Request-Id", "r1" } };
    http_connection caller(service.url);
    caller.sendRequest("POST", "/pay", "{}", headers);
    BOOST_TEST(closedWithoutAnswer(caller));
    BOOST_TEST(httpCall(service.url, "POST", "/pay", "{}", headers).json()["execution"] == 2);
    setFaults(service, { { "silent", true } });
    http_connection waiting(service.url);
    waiting.sendRequest("POST", "/book", "{}", headers);
    BOOST_TEST(silent(waiting));
    const json log = received(service);
    BOOST_TEST(log["executions"] == json::parse(R"([{"key":"k1","path":"/book","count":1},
                                  {"key":"k1","path":"/pay","count":2}])"));
    BOOST_TEST(log["requests"][0]["request_id"] == "r1");
}

// Guards against a VM list without its lag.
BOOST_AUTO_TEST_CASE(vmListLags)
{
    const standin_process prompt = start("vmlist");
    const std::string body = R"({"vms":[{"name":"a","state":"live"}]})";
    BOOST_TEST(httpCall(prompt.url, "PUT", "/vms", body).status == 200);
    BOOST_TEST(httpCall(prompt.url, "GET", "/vms").json() == json::parse(body));
    const standin_process late = start("vmlist", { "--lag-ms", "3600000" });
    httpCall(late.url, "PUT", "/vms", body);
    BOOST_TEST(httpCall(late.url, "GET", "/vms").json()["vms"].empty());
    const standin_process soon = start("vmlist", { "--lag-ms", "50" });
    httpCall(soon.url, "PUT", "/vms", body);
    BOOST_TEST(
            eventually([&] { return !httpCall(soon.url, "GET", "/vms").json()["vms"].empty(); }));
    BOOST_TEST(httpCall(soon.url, "PUT", "/vms", "{").status == 400);
}

// Guards against downloads above the store's rate, and a KV store without a bound.
BOOST_AUTO_TEST_CASE(weightsAndKvStoreAreBounded)
{
    const standin_process weights = start(
            "weights", { "--size-bytes", "40000", "--bytes-per-second", "400000" });
    const auto before = std::chrono::steady_clock::now();
    BOOST_TEST(httpCall(weights.url, "GET", "/weights/v1").body.size() == 40000);
    BOOST_TEST((std::chrono::steady_clock::now() - before >= std::chrono::milliseconds(100)));

    const standin_process store = start("kvstore", { "--capacity-bytes", "10" });
    httpCall(store.url, "PUT", "/blocks/aa", "123456");
    BOOST_TEST(httpCall(store.url, "GET", "/blocks/aa").body == "123456");
    httpCall(store.url, "PUT", "/blocks/bb", "123456");
    BOOST_TEST(httpCall(store.url, "GET", "/blocks/aa").status == 404);
    BOOST_TEST(httpCall(store.url, "GET", "/stats").json()["bytes"] == 6);
}

// Guards against bad options that are taken silently, and against processes that outlive a test.
BOOST_AUTO_TEST_CASE(processesStopAndRefuseBadOptions)
{
    const std::string program = programFolder + "/standin";
    for (const std::vector<std::string> &arguments : { std::vector<std::string>{ "oven" },
                                                       { "log", "--prot", "1" },
                                                       { "log", "--port", "x" },
                                                       { "log", "extra" },
                                                       { "log", "--cache-blocks", "1" },
                                                       {} }) {
        child_process bad(program, arguments);
        const auto status = bad.wait(std::chrono::seconds(10));
        BOOST_REQUIRE(status.has_value());
        BOOST_TEST(status->code == 2);
    }
    child_process help(program, { "engine", "--help" });
    BOOST_TEST(help.waitForLine("standin") == "engine:");
    BOOST_TEST(help.wait(std::chrono::seconds(10))->code == 0);

    standin_process log = start("log");
    log.process.signal(SIGSTOP);
    http_connection caller(log.url);
    caller.sendRequest("GET", "/stats");
    BOOST_TEST(silent(caller));
    log.process.signal(SIGCONT);
    caller.setReadTimeout(std::chrono::seconds(20));
    BOOST_TEST(caller.readResponse().status == 200);
    BOOST_TEST(log.process.stop()->code == 0);
    BOOST_CHECK_THROW(http_connection{ log.url }, http_failure);

    pid_t id = 0;
    {
        const standin_process stopped = start("log");
        id = stopped.process.id();
        stopped.process.signal(SIGSTOP);
    }
    BOOST_TEST(kill(id, 0) == -1);
}

// Guards against a client that cannot send half a request, and a server that answers it.
BOOST_AUTO_TEST_CASE(partialRequestsAreNotAnswered)
{
    const standin_process log = start("log");
    http_connection caller(log.url);
    caller.sendRaw("POST /streams/s/records HTTP/1.1\r\nContent-Length: 17\r\n\r\n{\"records\"");
    BOOST_TEST(silent(caller));
    caller.sendRaw(":[\"a\"]}");
    caller.setReadTimeout(std::chrono::seconds(20));
    BOOST_TEST(caller.readResponse().json()["first_offset"] == 1);
}

// Guards against a caller that asks for the close and waits for it in vain.
BOOST_AUTO_TEST_CASE(connectionsCloseOnRequest)
{
    const standin_process log = start("log");
    http_connection caller(log.url);
    caller.sendRequest("GET", "/stats", {}, { { "Connection", "close" } });
    BOOST_TEST(caller.readResponse().status == 200);
    BOOST_TEST(closedWithoutAnswer(caller));
    http_connection kept(log.url);
    kept.sendRequest("GET", "/stats");
    BOOST_TEST(kept.readResponse().status == 200);
    kept.sendRequest("GET", "/stats");
    BOOST_TEST(kept.readResponse().status == 200);
}

// Guards against a fleet that loads another catalogue than the test gave, or a key in clear text.
BOOST_AUTO_TEST_CASE(fleetLoadsTheLog)
{
    fleet_options options;
    options.programFolder = programFolder;
    options.engines = { {}, { "--version", "v2" } };
    options.services = { {} };
    fleet deployment(options);
    deployment.loadCatalogue(json::array({ { { "entry", "account" }, { "name", "a" } } }));
    const std::string key = deployment.issueKey("a");
    const http_response config = httpCall(deployment.log().url, "GET",
                                          "/streams/config/records?from=1");
    BOOST_TEST(config.json()["records"].size() == 2);
    BOOST_TEST(config.body.find(key) == std::string::npos);
    deployment.publishVms();
    BOOST_TEST(deployment.engines().size() == 2);
    daemon_settings settings;
    settings.name = "vm1";
    BOOST_TEST(settingsText(settings).find("name = vm1\n") != std::string::npos);
}
