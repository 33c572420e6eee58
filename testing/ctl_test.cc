#define BOOST_TEST_MODULE ctl
#include <boost/test/unit_test.hpp>

#include "burdockhold/ctl_catalogue.h"
#include "burdockhold/ctl_key.h"
#include "burdockhold/ctl_report.h"
#include "burdockhold/ctl_session.h"
#include "burdockhold/ctl_vms.h"
#include "burdockhold/hash.h"
#include "burdockhold/metrics.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <map>
#include <sstream>

using namespace burdockhold;

namespace {

using json = nlohmann::json;

/// What the log does with one append.
enum class append_fault { None, LoseAnswer, LoseRequest, Refuse };

class fake_log : public log_service
{
public:
    result<append_answer, log_error> append(const std::string &stream,
                                            const std::vector<std::string> &records) override
    {
        BOOST_TEST(stream == "config");
        ++appends;
        if (beforeAppend)
            std::exchange(beforeAppend, nullptr)();
        append_fault fault = alwaysFails;
        if (!faults.empty()) {
            fault = faults.front();
            faults.pop_front();
        }
        if (fault == append_fault::Refuse)
            return basic_error<log_error>{ log_error::NotApplied, "connection refused", "log" };
        if (fault == append_fault::LoseRequest)
            return basic_error<log_error>{ log_error::Unknown, "no answer", "log" };
        const log_offset first = store(records);
        if (fault == append_fault::LoseAnswer)
            return basic_error<log_error>{ log_error::Unknown, "no answer", "log" };
        return append_answer{ first, records.size() };
    }

    result<log_page, log_error> read(const std::string &, log_offset from, std::size_t limit,
                                     duration) override
    {
        if (isDown)
            return basic_error<log_error>{ log_error::NotApplied, "connection refused", "log" };
        log_page page;
        page.earliest = earliest;
        page.next = stored.size() + 1;
        page.expired = from < earliest;
        // Small pages, so that reading several of them is covered.
        for (log_offset offset = from;
             !page.expired && offset < page.next && page.records.size() < std::min(limit, PageSize);
             ++offset)
            page.records.push_back({ offset, 0, stored[offset - 1] });
        return page;
    }

    log_offset store(const std::vector<std::string> &records)
    {
        stored.insert(stored.end(), records.begin(), records.end());
        return stored.size() - records.size() + 1;
    }

    static constexpr std::size_t PageSize = 2;
    std::vector<std::string> stored;
    log_offset earliest = 1;
    bool isDown = false;
    int appends = 0;
    std::deque<append_fault> faults; ///< Of the next appends.
    append_fault alwaysFails = append_fault::None;
    std::function<void()> beforeAppend; ///< Runs once, before the next append.
};

/// Answers by URL; a URL without an answer is unreachable.
class fake_http : public http_service
{
public:
    std::vector<http_call_result> callAll(const std::vector<http_call> &calls) override
    {
        std::vector<http_call_result> results;
        for (const http_call &call : calls) {
            made.push_back(call.method + " " + call.url + " " + call.body);
            const auto found = answers.find(call.method + " " + call.url);
            if (found == answers.end())
                results.emplace_back(
                        basic_error<http_call_error>{ http_call_error::NoAnswer, "refused", "" });
            else
                results.emplace_back(found->second);
        }
        return results;
    }

    std::map<std::string, http_answer> answers;
    std::vector<std::string> made;
};

std::string readText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Compares with a golden file, or writes it when BURDOCKHOLD_WRITE_GOLDEN is set.
void checkGolden(const std::string &name, const std::string &actual)
{
    const std::string path = std::string(BURDOCKHOLD_SOURCE_DIR) + "/testing/golden/" + name;
    if (std::getenv("BURDOCKHOLD_WRITE_GOLDEN") != nullptr)
        std::ofstream(path) << actual;
    BOOST_TEST(actual == readText(path));
}

/// A file that is removed at the end.
class input_file
{
public:
    explicit input_file(const std::string &text)
    {
        char pattern[] = "/tmp/burdockhold-ctl-XXXXXX";
        const int descriptor = mkstemp(pattern);
        BOOST_REQUIRE(descriptor >= 0);
        name = pattern;
        std::ofstream(name) << text;
        fclose(fdopen(descriptor, "r"));
    }
    ~input_file() { std::remove(name.c_str()); }
    input_file(const input_file &) = delete;
    input_file &operator=(const input_file &) = delete;

    std::string name;
};

struct fixture
{
    fixture()
    {
        context.log = &log;
        context.http = &http;
        context.vmsUrl = "http://vms";
        context.randomHex = [this](std::size_t bytes) {
            std::string text = std::to_string(++ids);
            return std::string(2 * bytes - text.size(), '0') + text;
        };
        context.now = [this] { return now; };
        context.sleep = [this](duration time) { now += time; };
        context.wallClock = [this] {
            return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch())
                    .count();
        };
    }

    ctl_exit apply(const std::vector<json> &entries)
    {
        const input_file file(json{ { "entries", entries } }.dump());
        return applyCatalogue(context, file.name);
    }

    ctl_exit applyText(const std::string &text)
    {
        const input_file file(text);
        const ctl_exit code = applyCatalogue(context, file.name);
        // The name of the file differs from run to run.
        std::string told = err.str();
        for (std::size_t at = 0; (at = told.find(file.name)) != std::string::npos;)
            told.replace(at, file.name.size(), "FILE");
        err.str("");
        err << told;
        return code;
    }

    std::string takeOut()
    {
        std::string text = out.str();
        out.str("");
        return text;
    }

    std::string takeErr()
    {
        std::string text = err.str();
        err.str("");
        return text;
    }

    catalogue replayed() const
    {
        replay reader;
        for (std::size_t i = 0; i < log.stored.size(); ++i)
            reader.apply({ i + 1, 0, log.stored[i] });
        return reader.state();
    }

    void listTwoVms()
    {
        const auto vm = [](const char *name, const char *admin) {
            return json{ { "name", name },
                         { "data_centre", "dc1" },
                         { "peer", "tcp://p" },
                         { "admin", admin },
                         { "state", "live" } };
        };
        const json list{ { "vms", std::vector<json>{ vm("vm-1", "http://one"),
                                                     vm("vm-2", "http://two") } } };
        http.answers["GET http://vms/vms"] = { 200, list.dump() };
    }

    fake_log log;
    fake_http http;
    std::ostringstream out;
    std::ostringstream err;
    ctl_context context{ out, err };
    time_point now;
    int ids = 0;
};

json classEntry(const std::string &name, int priority)
{
    return { { "entry", "class" },
             { "name", name },
             { "value", { { "owner", "test" }, { "priority", priority } } } };
}

json accountEntry(const std::string &name, const std::string &serviceClass)
{
    return { { "entry", "account" },
             { "name", name },
             { "value",
               { { "owner", "test" },
                 { "class", serviceClass },
                 { "tokens_per_second", 10 },
                 { "burst_tokens", 20 } } } };
}

std::vector<json> smallCatalogue()
{
    return { classEntry("standard", 1), accountEntry("a1", "standard") };
}

json based(json entry, log_offset base)
{
    entry["base"] = base;
    return entry;
}

int codeOf(ctl_exit code)
{
    return static_cast<int>(code);
}

} // namespace

#define CHECK_EXIT(actual, expected) BOOST_TEST(codeOf(actual) == codeOf(ctl_exit::expected))

// Guards against exit codes that change their number, which scripts depend on.
BOOST_AUTO_TEST_CASE(exitCodesAreFixed)
{
    checkGolden("ctl-exit-codes.txt", formatExitCodes());
}

BOOST_FIXTURE_TEST_SUITE(catalogueCommands, fixture)

// Guards against output that scripts and pages cannot rely on.
BOOST_AUTO_TEST_CASE(goldenSession)
{
    CHECK_EXIT(apply(smallCatalogue()), Done);
    CHECK_EXIT(apply({ classEntry("standard", 2) }), Done);
    CHECK_EXIT(listCatalogue(context, ""), Done);
    CHECK_EXIT(listCatalogue(context, "class"), Done);
    CHECK_EXIT(showEntry(context, "class", "standard"), Done);
    CHECK_EXIT(removeEntry(context, "account", "a1", 1), Done);
    context.json = true;
    CHECK_EXIT(removeEntry(context, "class", "standard", 2), Done);
    CHECK_EXIT(listCatalogue(context, ""), Done);
    checkGolden("ctl-catalogue.txt", takeOut());
    BOOST_TEST(takeErr().empty());
}

// Guards against an order that is half applied: one bad reference voids all entries.
BOOST_AUTO_TEST_CASE(nothingIsHalfApplied)
{
    CHECK_EXIT(apply({ classEntry("standard", 1), accountEntry("a1", "none") }), Refused);
    BOOST_TEST(log.appends == 0);
    BOOST_TEST(replayed().classes.empty());
}

// Guards against a success that was never in the log: only the answer is lost here.
BOOST_AUTO_TEST_CASE(aLostAnswerIsResolvedById)
{
    log.faults = { append_fault::LoseAnswer };
    CHECK_EXIT(apply(smallCatalogue()), Done);
    BOOST_TEST(log.appends == 1);
    BOOST_TEST(log.stored.size() == 1U);
}

// Guards against an order that is given up although its request was lost.
BOOST_AUTO_TEST_CASE(aLostRequestIsAppendedAgainUnderTheSameId)
{
    log.faults = { append_fault::LoseRequest, append_fault::LoseRequest };
    CHECK_EXIT(apply(smallCatalogue()), Done);
    BOOST_TEST(log.appends == 3);
    BOOST_TEST(log.stored.size() == 1U);
}

// Guards against "nothing was applied" after a lost answer: a later refusal says nothing about the
// first append.
BOOST_AUTO_TEST_CASE(aRefusalAfterALostAnswerProvesNothing)
{
    log.beforeAppend = [this] { log.isDown = true; };
    log.faults = { append_fault::LoseAnswer };
    log.alwaysFails = append_fault::Refuse;
    CHECK_EXIT(apply(smallCatalogue()), OutcomeUnknown);
    BOOST_TEST(log.stored.size() == 1U);
    BOOST_TEST(takeErr().find("may take effect") != std::string::npos);
}

// Guards against a tool that never ends, and against a flood of repeated records.
BOOST_AUTO_TEST_CASE(anOrderIsGivenUpAtTheDeadline)
{
    log.alwaysFails = append_fault::LoseRequest;
    CHECK_EXIT(apply(smallCatalogue()), OutcomeUnknown);
    BOOST_TEST((now.time_since_epoch() <= OrderDeadline + MaxOrderRetryDelay));
    BOOST_TEST(log.appends <= 14);
}

BOOST_AUTO_TEST_CASE(anUnreachableLogIsTold)
{
    log.faults = { append_fault::Refuse };
    CHECK_EXIT(apply(smallCatalogue()), LogUnreachable);
    BOOST_TEST(takeErr().find("nothing was applied") != std::string::npos);
    log.isDown = true;
    CHECK_EXIT(apply(smallCatalogue()), LogUnreachable);
    BOOST_TEST(log.stored.empty());
    context.log = nullptr;
    CHECK_EXIT(apply(smallCatalogue()), Usage);
}

// Guards against an append that is taken for an applied order: another operator's change comes
// between the read and the append.
BOOST_AUTO_TEST_CASE(aLostRaceIsToldWithBothVersions)
{
    CHECK_EXIT(apply(smallCatalogue()), Done);
    takeOut();
    log.beforeAppend = [this] {
        std::ostringstream ignored;
        ctl_context other{ ignored, ignored };
        other.log = &log;
        other.randomHex = [](std::size_t) { return std::string("other"); };
        other.now = context.now;
        other.sleep = context.sleep;
        const input_file file(
                json{ { "entries", std::vector<json>{ classEntry("standard", 5) } } }.dump());
        CHECK_EXIT(applyCatalogue(other, file.name), Done);
    };
    CHECK_EXIT(apply({ classEntry("standard", 3), classEntry("new", 4) }), LostRace);
    BOOST_TEST(takeOut().empty());
    BOOST_TEST(takeErr()
               == "burdockholdctl: class standard: the order is based on version 1, but the "
                  "current version is 2; nothing was applied\n");
    BOOST_TEST(replayed().classes.at("standard").value.priority == 5);
    BOOST_TEST(replayed().classes.count("new") == 0U);
}

// Guards against a lost race that hides behind a lost answer.
BOOST_AUTO_TEST_CASE(aLostRaceAfterALostAnswerIsTold)
{
    CHECK_EXIT(apply(smallCatalogue()), Done);
    log.faults = { append_fault::LoseAnswer };
    log.beforeAppend = [this] {
        log.store({ R"({"id":"other","kind":"change","changes":[{"entry":"class",)"
                    R"("name":"standard","base":1,"value":{"owner":"x","priority":9}}]})" });
    };
    CHECK_EXIT(apply({ classEntry("standard", 3) }), LostRace);
    BOOST_TEST(replayed().classes.at("standard").value.priority == 9);
}

BOOST_AUTO_TEST_CASE(aStaleBaseIsNotSent)
{
    CHECK_EXIT(apply(smallCatalogue()), Done);
    CHECK_EXIT(apply({ based(classEntry("standard", 3), 7) }), LostRace);
    CHECK_EXIT(apply({ based(classEntry("new", 3), 7) }), LostRace);
    CHECK_EXIT(removeEntry(context, "account", "a1", 7), LostRace);
    BOOST_TEST(log.appends == 1);
}

// Guards against files that are read as something else than was meant.
BOOST_AUTO_TEST_CASE(malformedFilesAreRefused)
{
    const std::string item = R"({"entry":"class","name":"c","value":{"owner":"o","priority":1}})";
    const std::vector<std::string> texts{
        "",
        "{",
        "[]",
        R"({"entries":{}})",
        R"({"entries":[]})",
        R"({"entries":[1]})",
        R"({"entries":[)" + item + R"(],"extra":1})",
        R"({"entries":[)" + item + "," + item + "]}",
        R"({"entries":[{"entry":"clas","name":"c","value":{"owner":"o"}}]})",
        R"({"entries":[{"entry":"class","name":"","value":{"owner":"o"}}]})",
        R"({"entries":[{"entry":"class","value":{"owner":"o"}}]})",
        R"({"entries":[{"entry":"class","name":"c"}]})",
        R"({"entries":[{"entry":"class","name":"c","bse":1,"value":{"owner":"o"}}]})",
        R"({"entries":[{"entry":"class","name":"c","base":-1,"value":{"owner":"o"}}]})",
        R"({"entries":[{"entry":"class","name":"c","base":"1","value":{"owner":"o"}}]})",
        R"({"entries":[{"entry":"class","name":"c","value":{"owner":"o","priority":99}}]})",
        R"({"entries":[{"entry":"class","name":"c","value":{"owner":"o","priority":1,"colour":1}}]})",
        R"({"entries":[{"entry":"class","name":"c","value":{"owner":"o","owner":"p"}}]})",
    };
    for (const std::string &text : texts)
        CHECK_EXIT(applyText(text), BadInput);
    CHECK_EXIT(applyCatalogue(context, "/nonexistent/file"), BadInput);
    BOOST_TEST(log.appends == 0);
    BOOST_TEST(takeOut().empty());
    checkGolden("ctl-malformed.txt", takeErr());
}

BOOST_AUTO_TEST_CASE(unknownNamesAreTold)
{
    CHECK_EXIT(showEntry(context, "class", "none"), NotFound);
    CHECK_EXIT(showEntry(context, "clas", "none"), Usage);
    CHECK_EXIT(listCatalogue(context, "clas"), Usage);
    CHECK_EXIT(removeEntry(context, "class", "none", 1), NotFound);
    CHECK_EXIT(issueKey(context, "none", ""), NotFound);
    CHECK_EXIT(apply({ json{ { "entry", "class" }, { "name", "none" }, { "value", nullptr } } }),
               Refused);
    BOOST_TEST(log.appends == 0);
}

// Guards against a catalogue that seems empty because retention has dropped its records.
BOOST_AUTO_TEST_CASE(retentionWithoutARefreshIsTold)
{
    CHECK_EXIT(apply(smallCatalogue()), Done);
    CHECK_EXIT(apply({ classEntry("other", 1) }), Done);
    log.earliest = 2;
    CHECK_EXIT(listCatalogue(context, ""), BadAnswer);
}

BOOST_AUTO_TEST_CASE(aRefreshServesAfterRetention)
{
    CHECK_EXIT(apply(smallCatalogue()), Done);
    replay reader;
    reader.apply({ 1, 0, log.stored[0] });
    for (const config_record &record : reader.makeRefresh("r", 1))
        log.store({ formatRecord(record) });
    log.earliest = 2;
    CHECK_EXIT(apply({ based(classEntry("standard", 7), 1) }), Done);
    takeOut();
    CHECK_EXIT(listCatalogue(context, "account"), Done);
    BOOST_TEST(takeOut().find("a1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(keyCommands, fixture)

// Guards against a key in the log or in a listing.
BOOST_AUTO_TEST_CASE(onlyTheDigestIsStored)
{
    CHECK_EXIT(apply(smallCatalogue()), Done);
    takeOut();
    CHECK_EXIT(issueKey(context, "a1", "printer"), Done);
    std::string key = takeOut();
    key.pop_back();
    BOOST_TEST(key.compare(0, 3, "bk-") == 0);
    BOOST_TEST(replayed().keys.at(sha256Hex(key)).value.account == "a1");
    CHECK_EXIT(listKeys(context), Done);
    context.json = true;
    CHECK_EXIT(listKeys(context), Done);
    for (const std::string &text : { log.stored.back(), out.str(), err.str() })
        BOOST_TEST(text.find(key.substr(3)) == std::string::npos);
    checkGolden("ctl-keys.txt", takeOut());
}

// Guards against a key that is handed out although it may not be in force.
BOOST_AUTO_TEST_CASE(aKeyOfUnknownOutcomeIsNotPrinted)
{
    CHECK_EXIT(apply(smallCatalogue()), Done);
    takeOut();
    log.beforeAppend = [this] { log.isDown = true; };
    log.faults = { append_fault::LoseAnswer };
    CHECK_EXIT(issueKey(context, "a1", ""), OutcomeUnknown);
    BOOST_TEST(takeOut().empty());
    BOOST_TEST(takeErr().find("withdraw digest ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(aKeyIsWithdrawnByPrefixOrByItself)
{
    CHECK_EXIT(apply(smallCatalogue()), Done);
    context.vmsUrl.clear();
    takeOut();
    CHECK_EXIT(issueKey(context, "a1", ""), Done);
    std::string first = takeOut();
    first.pop_back();
    CHECK_EXIT(issueKey(context, "a1", ""), Done);
    std::istringstream second(takeOut());
    CHECK_EXIT(withdrawKeyByDigest(context, sha256Hex(first).substr(0, 12)), Done);
    BOOST_TEST(replayed().keys.at(sha256Hex(first)).value.withdrawn);
    CHECK_EXIT(withdrawKeyFrom(context, second), Done);
    for (const auto &[digest, entry] : replayed().keys)
        BOOST_TEST(entry.value.withdrawn);
    const int appends = log.appends;
    std::istringstream empty("\n");
    CHECK_EXIT(withdrawKeyFrom(context, empty), BadInput);
    CHECK_EXIT(withdrawKeyByDigest(context, "XYZ"), BadInput);
    CHECK_EXIT(withdrawKeyByDigest(context, "0000000000000000"), NotFound);
    BOOST_TEST(log.appends == appends);
}

// Guards against withdrawing another key than the one that was meant.
BOOST_AUTO_TEST_CASE(anAmbiguousPrefixIsRefused)
{
    CHECK_EXIT(apply(smallCatalogue()), Done);
    std::map<char, int> starts;
    for (int i = 0; i < 17; ++i)
        CHECK_EXIT(issueKey(context, "a1", ""), Done);
    const catalogue state = replayed();
    for (const auto &[digest, entry] : state.keys)
        ++starts[digest[0]];
    const auto twice = std::find_if(starts.begin(), starts.end(),
                                    [](const auto &start) { return start.second > 1; });
    BOOST_REQUIRE((twice != starts.end()));
    CHECK_EXIT(withdrawKeyByDigest(context, std::string(1, twice->first)), BadInput);
    for (const auto &[digest, entry] : replayed().keys)
        BOOST_TEST(!entry.value.withdrawn);
}

// Guards against a withdrawal that is reported complete although a VM does not have it.
BOOST_AUTO_TEST_CASE(vmsThatDoNotConfirmAreNamed)
{
    listTwoVms();
    const std::string digest = sha256Hex("bk-leaked");
    http.answers["POST http://one/withdraw"] = { 200, "{}" };
    CHECK_EXIT(withdrawKeyByDigest(context, digest), VmUnreachable);
    BOOST_TEST(takeErr() == "burdockholdctl: vm-2: did not confirm the withdrawal: refused\n");
    BOOST_TEST(takeOut() == "1 of 2 VMs confirmed\nwithdrawn in the log as version 1\n");
    BOOST_TEST(http.made.at(1) == "POST http://one/withdraw {\"digest\":\"" + digest + "\"}");
    http.answers["POST http://two/withdraw"] = { 404, "no such page\n" };
    CHECK_EXIT(withdrawKeyByDigest(context, digest), VmUnreachable);
    http.answers["POST http://two/withdraw"] = { 200, "{}" };
    CHECK_EXIT(withdrawKeyByDigest(context, digest), Done);
}

// Guards against an outage of the log that keeps a withdrawal from the VMs.
BOOST_AUTO_TEST_CASE(aWithdrawalReachesTheVmsDuringALogOutage)
{
    listTwoVms();
    log.isDown = true;
    log.alwaysFails = append_fault::Refuse;
    http.answers["POST http://one/withdraw"] = { 200, "{}" };
    http.answers["POST http://two/withdraw"] = { 200, "{}" };
    std::istringstream key("bk-leaked\n");
    CHECK_EXIT(withdrawKeyFrom(context, key), LogUnreachable);
    BOOST_TEST(takeOut() == "2 of 2 VMs confirmed\n");
    BOOST_TEST(takeErr().find("repeat the command") != std::string::npos);
    CHECK_EXIT(withdrawKeyByDigest(context, "abcd"), LogUnreachable);
}

// Guards against a missing VM list that passes for "all VMs confirmed".
BOOST_AUTO_TEST_CASE(anUnreachableVmListIsTold)
{
    CHECK_EXIT(withdrawKeyByDigest(context, sha256Hex("k")), VmListUnreachable);
    BOOST_TEST(replayed().keys.size() == 1U);
}

// Guards against an endless wait when retention has dropped the catalogue: a withdrawal takes
// effect whatever the state.
BOOST_AUTO_TEST_CASE(aWithdrawalNeedsNoCatalogue)
{
    context.vmsUrl.clear();
    CHECK_EXIT(apply(smallCatalogue()), Done);
    CHECK_EXIT(apply({ classEntry("other", 1) }), Done);
    log.earliest = 2;
    CHECK_EXIT(withdrawKeyByDigest(context, sha256Hex("k")), Done);
    BOOST_TEST(log.appends == 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(vmCommands, fixture)

BOOST_AUTO_TEST_CASE(statusShowsTheDistanceToTheLog)
{
    listTwoVms();
    CHECK_EXIT(apply(smallCatalogue()), Done);
    CHECK_EXIT(apply({ classEntry("other", 1) }), Done);
    takeOut();
    http.answers["GET http://one/status"] = {
        200, R"({"vm":"vm-1","config_offset":1,"synced":true,"draining":false,)"
             R"("open_requests":3,"view_age_seconds":0.25})"
    };
    CHECK_EXIT(showStatus(context), VmUnreachable);
    http.answers["GET http://two/status"] = { 200, "{}" };
    CHECK_EXIT(showStatus(context), Done);
    http.answers["GET http://two/status"] = { 200, "not JSON" };
    context.json = true;
    CHECK_EXIT(showStatus(context), VmUnreachable);
    log.isDown = true;
    CHECK_EXIT(showStatus(context), LogUnreachable);
    checkGolden("ctl-status.txt", takeOut() + takeErr());
}

BOOST_AUTO_TEST_CASE(vmListAndPages)
{
    CHECK_EXIT(listVms(context), VmListUnreachable);
    http.answers["GET http://vms/vms"] = { 200, R"({"vms":[{"name":"x"}]})" };
    CHECK_EXIT(listVms(context), BadAnswer);
    listTwoVms();
    http.answers["GET http://one/accounts"] = { 200, R"({"a1":{"tokens":5}})" };
    http.answers["GET http://two/accounts"] = { 404, "no such page\n" };
    CHECK_EXIT(listVms(context), Done);
    CHECK_EXIT(showPages(context, "/accounts"), VmUnreachable);
    context.json = true;
    CHECK_EXIT(listVms(context), Done);
    CHECK_EXIT(showPages(context, "/accounts"), VmUnreachable);
    context.vmsUrl.clear();
    CHECK_EXIT(listVms(context), Usage);
    checkGolden("ctl-vms.txt", takeOut() + takeErr());
}

BOOST_AUTO_TEST_CASE(drainReachesOneVm)
{
    listTwoVms();
    http.answers["POST http://two/drain"] = { 202, "draining\n" };
    CHECK_EXIT(drainVm(context, "vm-2"), Done);
    CHECK_EXIT(drainVm(context, "vm-1"), VmUnreachable);
    CHECK_EXIT(drainVm(context, "vm-3"), NotFound);
}

// Guards against a report that hides VMs it has not heard from.
BOOST_AUTO_TEST_CASE(reportNamesVmsNotReached)
{
    listTwoVms();
    metrics measures;
    for (int i = 0; i < 99; ++i)
        measures.addRequest(request_outcome::Answered, "a1", "tools");
    http.answers["GET http://one/metrics"] = { 200, formatMetrics(measures.snapshot()) };
    http.answers["GET http://two/metrics"] = { 404, "no such page\n" };
    context.sleep = [&](duration time) {
        now += time;
        measures.addRequest(request_outcome::Failed, "a1", "tools");
        for (int i = 0; i < 99; ++i)
            measures.addRequest(request_outcome::Answered, "a1", "tools");
        http.answers["GET http://one/metrics"] = { 200, formatMetrics(measures.snapshot()) };
    };
    report_options options;
    options.profileFile = std::string(BURDOCKHOLD_SOURCE_DIR) + "/examples/objectives-mayaro.ini";
    CHECK_EXIT(printBurnReport(context, options), VmUnreachable);
    http.answers["GET http://two/metrics"] = { 200, "burdockhold_requests_total x\n" };
    CHECK_EXIT(printBurnReport(context, options), VmUnreachable);
    checkGolden("ctl-report.txt", takeOut() + takeErr());
    http.answers["GET http://two/metrics"] = { 200, formatMetrics(metrics().snapshot()) };
    CHECK_EXIT(printBurnReport(context, options), Done);
    options.samples = 0;
    CHECK_EXIT(printBurnReport(context, options), Usage);
    options.samples = 1;
    options.profileFile = "/nonexistent/profile";
    CHECK_EXIT(printBurnReport(context, options), BadInput);
    const input_file profile("[availability]\nindicator = unheard_of\n");
    options.profileFile = profile.name;
    CHECK_EXIT(printBurnReport(context, options), BadInput);
}

BOOST_AUTO_TEST_SUITE_END()
