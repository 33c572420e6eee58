#define BOOST_TEST_MODULE at_most_once
#include <boost/test/unit_test.hpp>

#include "testing/support_catalogue.h"
#include "testing/support_fleet.h"
#include "testing/support_golden.h"
#include "testing/support_http.h"

#include <csignal>
#include <fstream>
#include <functional>
#include <thread>

using namespace burdockhold::testing;
using nlohmann::json;

namespace {

/// Only ends a test that would hang.
constexpr std::chrono::seconds WaitLimit(60);

/// Deadline of a claim in these tests. Long enough for a loaded machine to record a claim, short
/// enough to wait for its end.
constexpr std::chrono::seconds ClaimDeadline(3);

/// How long the daemons' reads of the log wait, as the fleet's settings have it.
constexpr std::chrono::seconds PollWait(1);

constexpr char Settings[] = "[claims]\ndeadline = 3s\n\n[upstream]\nservice_timeout = 1s\n";

/// A claim in these tests outlives every pause of the machine.
constexpr char PatientSettings[] = "[claims]\ndeadline = 60s\n\n[upstream]\nservice_timeout = 1s\n";

void waitUntil(const std::string &what, const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + WaitLimit;
    while (!condition()) {
        BOOST_REQUIRE_MESSAGE(std::chrono::steady_clock::now() < limit, "waited for: " << what);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

void setFaults(const standin_process &standin, const json &faults)
{
    BOOST_REQUIRE_EQUAL(httpCall(standin.url, "POST", "/faults", faults.dump()).status, 200);
}

fleet_options serviceFleet(const std::string &settings, const std::vector<std::string> &log = {})
{
    fleet_options options;
    options.programFolder = BURDOCKHOLD_BINARY_DIR;
    options.services = { {} };
    options.log = log;
    options.extraSettings = settings;
    return options;
}

/// Three daemons in front of one service, with accounts "a1" and "a2".
class deployment
{
public:
    explicit deployment(const std::string &settings = Settings, std::size_t daemons = 3,
                        const std::vector<std::string> &log = {})
        : m_fleet(serviceFleet(settings, log))
    {
        m_fleet.loadCatalogue(basicCatalogue({}, { service().url }));
        key = m_fleet.issueKey("a1");
        otherKey = m_fleet.issueKey("a2");
        for (std::size_t i = 1; i <= daemons; ++i)
            m_fleet.startDaemon("vm-" + std::to_string(i));
        waitHealthy();
    }

    fleet &processes() { return m_fleet; }
    standin_process &log() { return m_fleet.log(); }
    standin_process &service() { return m_fleet.services().front(); }
    running_daemon &vm(std::size_t index) { return m_fleet.daemons().at(index); }

    void waitHealthy()
    {
        for (const running_daemon &daemon : m_fleet.daemons())
            waitUntil("a healthy daemon",
                      [&] { return httpCall(daemon.adminUrl, "GET", "/healthz").status == 200; });
    }

    static header_list headers(const std::string &key, const std::string &idempotencyKey)
    {
        return { { "Authorization", "Bearer " + key }, { "Idempotency-Key", idempotencyKey } };
    }

    http_response pay(std::size_t index, const std::string &idempotencyKey,
                      const std::string &body = "amount=1")
    {
        return httpCall(vm(index).url, "POST", "/pay", body, headers(key, idempotencyKey),
                        WaitLimit);
    }

    /// Sends a call and leaves it waiting.
    http_connection startPay(std::size_t index, const std::string &idempotencyKey)
    {
        http_connection connection(vm(index).url, WaitLimit);
        connection.sendRequest("POST", "/pay", "amount=1", headers(key, idempotencyKey));
        return connection;
    }

    /// Repeats a call until its outcome is known to the VM.
    http_response payUntilSettled(std::size_t index, const std::string &idempotencyKey)
    {
        http_response response;
        waitUntil("an outcome", [&] {
            response = pay(index, idempotencyKey);
            return response.status != 409;
        });
        return response;
    }

    /// Executions that the service counted for an idempotency key, over all callers.
    int executions(const std::string &idempotencyKey)
    {
        const json page = httpCall(service().url, "GET", "/received").json();
        int count = 0;
        for (const json &item : page.at("executions"))
            count += item.at("key") == idempotencyKey ? item.at("count").get<int>() : 0;
        return count;
    }

    /// The records of the claims stream, of one kind or all.
    std::vector<json> records(const std::string &kind = "")
    {
        const json page = httpCall(log().url, "GET", "/streams/claims/records?from=1").json();
        std::vector<json> found;
        for (const json &item : page.value("records", json::array())) {
            json record = json::parse(item.at("data").get<std::string>());
            if (kind.empty() || record.value("kind", "") == kind)
                found.push_back(std::move(record));
        }
        return found;
    }

    void waitForRecords(const std::string &kind, std::size_t count)
    {
        waitUntil(std::to_string(count) + " records of kind " + kind,
                  [&] { return records(kind).size() >= count; });
    }

    void holdClaims(bool held) { setFaults(log(), { { "hold_reads_of", held ? "claims" : "" } }); }

    std::string key;
    std::string otherKey;

private:
    fleet m_fleet;
};

std::string typeOf(const http_response &response)
{
    return response.json().at("error").at("type");
}

void checkUnknown(const http_response &response)
{
    BOOST_TEST(response.status == 502);
    BOOST_TEST(typeOf(response) == "outcome_unknown_error");
    BOOST_TEST(response.header("X-Burdockhold-Run") == "unknown");
}

void checkNotRun(const http_response &response)
{
    BOOST_TEST(response.status == 503);
    BOOST_TEST(typeOf(response) == "not_run_error");
    BOOST_TEST(response.header("X-Burdockhold-Run") == "not-run");
    BOOST_TEST(!response.header("Retry-After").empty());
}

void checkReplayed(const http_response &response, const http_response &first)
{
    BOOST_TEST(response.status == first.status);
    BOOST_TEST(response.body == first.body);
    BOOST_TEST(response.header("Content-Type") == first.header("Content-Type"));
    BOOST_TEST(response.header("X-Burdockhold-Replayed") == "true");
}

void checkInProgress(const http_response &response)
{
    BOOST_TEST(response.status == 409);
    BOOST_TEST(!response.header("Retry-After").empty());
    BOOST_TEST(response.header("X-Burdockhold-Run") == "unknown");
}

} // namespace

// Guards against a second execution by a resend: the HTTP library repeats a request when a
// kept-alive connection is closed before the answer. Also guards against a repeat that another VM
// runs because it does not know about the first call.
BOOST_AUTO_TEST_CASE(serviceThatDiesAfterTheCallExecutesOnce)
{
    deployment site;
    for (int i = 0; i < 3; ++i) // Leaves a kept-alive connection behind.
        BOOST_TEST(httpCall(site.vm(0).url, "GET", "/stock").status == 200);
    setFaults(site.service(), { { "drop_answers", 1 } });
    checkUnknown(site.pay(0, "k"));
    BOOST_TEST(site.executions("k") == 1);
    for (std::size_t vm = 0; vm < 3; ++vm)
        checkUnknown(site.payUntilSettled(vm, "k"));
    BOOST_TEST(site.executions("k") == 1);
}

// Guards against two claims of one call that both dispatch: the log's answer is lost after the
// append took effect, so the same claim is appended again before the VM reads either of them.
BOOST_AUTO_TEST_CASE(lostAnswerToAClaimExecutesOnce)
{
    deployment site(PatientSettings);
    site.holdClaims(true);
    setFaults(site.log(), { { "lose_next_append_answers", 1 } });
    http_connection caller = site.startPay(0, "k");
    site.waitForRecords("claim", 2);
    BOOST_TEST(site.executions("k") == 0);
    site.holdClaims(false);
    const http_response first = caller.readResponse();
    BOOST_TEST(first.status == 200);
    for (std::size_t vm = 0; vm < 3; ++vm)
        checkReplayed(site.payUntilSettled(vm, "k"), first);
    BOOST_TEST(site.executions("k") == 1);
}

// Guards against a race between VMs: both have claimed the call before either of them sees the
// other's claim.
BOOST_AUTO_TEST_CASE(sameCallAtTwoVmsExecutesOnce)
{
    deployment site(PatientSettings);
    site.holdClaims(true);
    http_connection one = site.startPay(0, "k");
    http_connection two = site.startPay(1, "k");
    site.waitForRecords("claim", 2);
    site.holdClaims(false);
    http_response first = one.readResponse();
    http_response second = two.readResponse();
    if (first.status != 200)
        std::swap(first, second);
    BOOST_TEST(first.status == 200);
    BOOST_TEST(first.header("X-Burdockhold-Replayed").empty());
    if (second.status == 409)
        checkInProgress(second);
    else
        checkReplayed(second, first);
    BOOST_TEST(site.executions("k") == 1);
    checkReplayed(site.payUntilSettled(2, "k"), first);
    BOOST_TEST(site.executions("k") == 1);
}

// Guards against another VM that runs a call whose claim it sees: the VM that won may have sent it
// before it died. Here it had not, and the price is that the outcome stays unknown.
BOOST_AUTO_TEST_CASE(vmKilledBetweenClaimAndDispatch)
{
    deployment site;
    site.holdClaims(true);
    http_connection caller = site.startPay(0, "k");
    site.waitForRecords("claim", 1);
    site.vm(0).process.signal(SIGKILL);
    BOOST_REQUIRE(site.vm(0).process.wait(WaitLimit));
    site.holdClaims(false);
    BOOST_CHECK_THROW(caller.readResponse(), http_failure);
    checkUnknown(site.payUntilSettled(1, "k"));
    checkUnknown(site.payUntilSettled(2, "k"));
    BOOST_TEST(site.executions("k") == 0);
}

// Guards against a second execution after the VM that dispatched the call is gone: the claim must
// outlive the VM, also for a new process under the same name.
BOOST_AUTO_TEST_CASE(vmKilledBetweenDispatchAndAnswer)
{
    deployment site;
    setFaults(site.service(), { { "silent", true } });
    http_connection caller = site.startPay(0, "k");
    waitUntil("the execution", [&] { return site.executions("k") == 1; });
    site.vm(0).process.signal(SIGKILL);
    BOOST_REQUIRE(site.vm(0).process.wait(WaitLimit));
    setFaults(site.service(), { { "silent", false } });
    checkUnknown(site.payUntilSettled(1, "k"));
    site.processes().restartDaemon(0);
    site.waitHealthy();
    checkUnknown(site.payUntilSettled(0, "k"));
    BOOST_TEST(site.executions("k") == 1);
}

// Guards against a call that runs without a recorded claim, and against a refusal "not run" that
// turns false later: the log is stopped, takes the claim when it continues, and the call must not
// run then.
BOOST_AUTO_TEST_CASE(logDownMeansNotRun)
{
    deployment site;
    site.log().process.signal(SIGSTOP);
    checkNotRun(site.pay(0, "k"));
    BOOST_TEST(site.executions("k") == 0);
    site.log().process.signal(SIGCONT);
    site.waitForRecords("claim", 1);
    site.waitForRecords("release", 1);
    BOOST_TEST(site.executions("k") == 0);
    // The key is free again, so a repeat runs, once.
    http_response repeat;
    waitUntil("a free key", [&] {
        repeat = site.pay(1, "k");
        return repeat.status == 200;
    });
    checkReplayed(site.payUntilSettled(2, "k"), repeat);
    BOOST_TEST(site.executions("k") == 1);
}

// Guards against a key that stays taken although no byte can have reached the service: the
// connection is refused, so "not run" is true and the claim is released.
BOOST_AUTO_TEST_CASE(refusedConnectionReleasesTheKey)
{
    deployment site;
    site.service().process.signal(SIGKILL);
    BOOST_REQUIRE(site.service().process.wait(WaitLimit));
    checkNotRun(site.pay(0, "k"));
    site.waitForRecords("release", 1);
    checkNotRun(site.payUntilSettled(1, "k"));
    site.waitForRecords("release", 2);
    BOOST_TEST(site.records("finish").empty());
}

// Guards against an answer that is kept in memory only: every VM returns it, also when all
// processes are new.
BOOST_AUTO_TEST_CASE(answerSurvivesRestartOfAllDaemons)
{
    deployment site;
    const http_response first = site.pay(0, "k");
    BOOST_TEST(first.status == 200);
    BOOST_TEST(first.header("X-Burdockhold-Replayed").empty());
    for (std::size_t vm = 0; vm < 3; ++vm)
        checkReplayed(site.payUntilSettled(vm, "k"), first);
    for (std::size_t vm = 0; vm < 3; ++vm)
        site.processes().restartDaemon(vm);
    site.waitHealthy();
    for (std::size_t vm = 0; vm < 3; ++vm)
        checkReplayed(site.pay(vm, "k"), first);
    BOOST_TEST(site.executions("k") == 1);
}

// Guards against the answer of one request being returned for another: body and query belong to
// the call.
BOOST_AUTO_TEST_CASE(otherRequestUnderTheSameKeyIsRefused)
{
    deployment site;
    const http_response first = site.pay(0, "k");
    BOOST_TEST(first.status == 200);
    checkReplayed(site.payUntilSettled(1, "k"), first);
    const http_response otherBody = site.pay(1, "k", "amount=2");
    BOOST_TEST(otherBody.status == 422);
    BOOST_TEST(typeOf(otherBody) == "invalid_request_error");
    const http_response otherQuery = httpCall(site.vm(1).url, "POST", "/pay?to=b", "amount=1",
                                              deployment::headers(site.key, "k"));
    BOOST_TEST(otherQuery.status == 422);
    BOOST_TEST(site.executions("k") == 1);
}

// Guards against accounts that share idempotency keys: one would get the other's answer.
BOOST_AUTO_TEST_CASE(accountsNeverShareKeys)
{
    deployment site;
    const http_response first = site.pay(0, "k");
    BOOST_TEST(first.status == 200);
    checkReplayed(site.payUntilSettled(1, "k"), first);
    const http_response other = httpCall(site.vm(1).url, "POST", "/pay", "amount=1",
                                         deployment::headers(site.otherKey, "k"));
    BOOST_TEST(other.status == 200);
    BOOST_TEST(other.header("X-Burdockhold-Replayed").empty());
    BOOST_TEST(other.body != first.body);
    BOOST_TEST(site.executions("k") == 2);
}

// Guards against a dispatch by a VM that was paused past its deadline: it reads its own winning
// claim when it continues, and must release it instead of sending the call.
BOOST_AUTO_TEST_CASE(vmFrozenPastTheDeadlineDoesNotDispatch)
{
    deployment site;
    site.holdClaims(true);
    http_connection caller = site.startPay(0, "k");
    site.waitForRecords("claim", 1);
    site.vm(0).process.signal(SIGSTOP);
    std::this_thread::sleep_for(ClaimDeadline + std::chrono::milliseconds(200));
    site.holdClaims(false);
    site.vm(0).process.signal(SIGCONT);
    checkNotRun(caller.readResponse());
    site.waitForRecords("release", 1);
    BOOST_TEST(site.executions("k") == 0);
    http_response repeat;
    waitUntil("a free key", [&] {
        repeat = site.pay(1, "k");
        return repeat.status == 200;
    });
    BOOST_TEST(site.executions("k") == 1);
}

// Guards against a cancelled call: a caller that leaves while the service works must not end the
// call, and finds its answer when it comes back.
BOOST_AUTO_TEST_CASE(callerThatLeavesDoesNotCancelTheCall)
{
    deployment site;
    setFaults(site.service(), { { "delay_ms", 500 } });
    http_connection caller = site.startPay(0, "k");
    site.waitForRecords("claim", 1);
    caller.close(true);
    site.waitForRecords("finish", 1);
    setFaults(site.service(), { { "delay_ms", 0 } });
    const http_response answer = site.payUntilSettled(1, "k");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.header("X-Burdockhold-Replayed") == "true");
    BOOST_TEST(site.executions("k") == 1);
}

// Guards against a key that looks free because its claim was missed: a VM is stopped until the
// claims of others have fallen out of the log's retention.
BOOST_AUTO_TEST_CASE(vmThatMissedRecordsRunsNothing)
{
    deployment site(Settings, 2, { "--retention-records", "20" });
    const http_response known = site.pay(0, "known");
    checkReplayed(site.payUntilSettled(1, "known"), known);
    site.vm(1).process.signal(SIGSTOP);
    // Lets the read that the stopped VM has sent end without the records that follow.
    std::this_thread::sleep_for(PollWait + std::chrono::milliseconds(500));
    BOOST_TEST(site.pay(0, "missed").status == 200);
    site.waitForRecords("finish", 2);
    site.processes().append("claims", std::vector<json>(40, json{ { "kind", "filler" } }));
    site.vm(1).process.signal(SIGCONT);
    waitUntil("the gap", [&] {
        return httpCall(site.vm(1).adminUrl, "GET", "/status").json().at("claims_suspended")
               == true;
    });
    // 502 when the claim was in the last page that the stopped VM was sent after all.
    const http_response missed = site.payUntilSettled(1, "missed");
    BOOST_TEST((missed.status == 503 || missed.status == 502));
    waitUntil("a fresh view", [&] { return site.pay(1, "new").status == 503; });
    const http_response fresh = site.pay(1, "new");
    checkNotRun(fresh);
    BOOST_TEST(fresh.json().at("error").at("code") == "claims_suspended");
    checkReplayed(site.pay(1, "known"), known);
    BOOST_TEST(site.executions("missed") == 1);
    BOOST_TEST(site.executions("new") == 0);
}

namespace {

/// A session of one caller with one VM, as text.
class session
{
public:
    explicit session(deployment &site)
        : m_site(site)
    {
    }

    /// Sends a call, waits until its outcome is in the log, and notes both sides' bytes.
    void call(const std::string &title, const std::string &idempotencyKey, const std::string &body)
    {
        header_list headers{ { "Authorization", "Bearer " + m_site.key } };
        if (!idempotencyKey.empty())
            headers.emplace_back("Idempotency-Key", idempotencyKey);
        m_text += "== " + title + "\n> POST /pay\n";
        for (const auto &field : headers)
            m_text += "> " + field.first + ": " + field.second + "\n";
        m_text += "> " + body + "\n";
        const http_response response = httpCall(m_site.vm(0).url, "POST", "/pay", body, headers);
        m_text += "< " + std::to_string(response.status) + "\n";
        for (const auto &field : response.headers)
            m_text += "< " + field.first + ": " + field.second + "\n";
        m_text += "< " + response.body + "\n";
        waitUntil("a settled claim", [&] {
            const json status = httpCall(m_site.vm(0).adminUrl, "GET", "/status").json();
            return status.at("claims_open") == 0 && status.at("open_requests") == 0;
        });
    }

    std::string finish()
    {
        m_text += "== decisions of vm-1\n";
        std::ifstream file(m_site.vm(0).settings.logFile);
        for (std::string line; std::getline(file, line);) {
            if (line.find("\"request_id\"") != std::string::npos)
                m_text += line + "\n";
        }
        m_text += "== record of the service\n";
        const json received = httpCall(m_site.service().url, "GET", "/received").json();
        for (const json &request : received.at("requests"))
            m_text += request.dump() + "\n";
        for (const json &execution : received.at("executions"))
            m_text += execution.dump() + "\n";
        m_text += "== record of the log\n";
        for (const json &record : m_site.records())
            m_text += record.dump() + "\n";
        return canonicalizeSession(m_text);
    }

private:
    deployment &m_site;
    std::string m_text;
};

} // namespace

// Guards against any change of what callers, operators, the service and the log see in a session
// with a first call, a repeat, a key used twice, a missing key and a lost answer.
BOOST_AUTO_TEST_CASE(wholeSessionMatchesTheGoldenFile)
{
    deployment site(PatientSettings, 1);
    session recorded(site);
    recorded.call("first call", "k1", "amount=1");
    recorded.call("repeat", "k1", "amount=1");
    recorded.call("other body", "k1", "amount=2");
    recorded.call("no idempotency key", "", "amount=1");
    setFaults(site.service(), { { "drop_answers", 1 } });
    recorded.call("the service dies without an answer", "k2", "amount=3");
    recorded.call("repeat of the unknown outcome", "k2", "amount=3");
    const std::string difference = diffWithGolden(BURDOCKHOLD_SOURCE_DIR, "at-most-once.txt",
                                                  recorded.finish());
    BOOST_TEST(difference.empty(), "the session differs:\n" << difference);
}

// Guards against a comparer that overlooks a difference.
BOOST_AUTO_TEST_CASE(comparerShowsTheDifference)
{
    BOOST_TEST(diffLines("a\nb\n", "a\nb\n").empty());
    BOOST_TEST(diffLines("a\nb\nc\n", "a\nx\nc\n") == "  a\n- b\n+ x\n  c\n");
    BOOST_TEST(!diffLines("a\n", "a").empty());
    BOOST_TEST(canonicalizeSession("\"total_s\":0.5 127.0.0.1:80")
               == "\"total_s\":<time> <address-1>");
}
