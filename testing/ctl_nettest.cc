#define BOOST_TEST_MODULE ctl_programs
#include <boost/test/unit_test.hpp>

#include "testing/support_catalogue.h"
#include "testing/support_fleet.h"
#include "testing/support_http.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>

using namespace burdockhold::testing;

namespace {

using json = nlohmann::json;

constexpr std::chrono::seconds StepLimit(20);
/// An order is pursued for 20 s; one read of a silent log may take 5 s more, an append too.
constexpr std::chrono::seconds CommandLimit(60);
constexpr std::chrono::seconds ConfigurationLimit(8); // Design page, invariant 12.

// Exit codes as documented; scripts depend on the numbers.
constexpr int Done = 0;
constexpr int Usage = 2;
constexpr int BadInput = 3;
constexpr int LostRace = 4;
constexpr int LogUnreachable = 6;
constexpr int VmUnreachable = 8;
constexpr int OutputLost = 11;

constexpr char Program[] = BURDOCKHOLD_BINARY_DIR "/burdockholdctl";

struct command_result
{
    int code = -1;
    std::string out;
};

/// Waits for a command's end. The `end` line that the shell adds closes its output.
command_result finish(child_process &process)
{
    const int code = std::stoi(process.waitForLine("end-of-command", CommandLimit));
    std::string out = process.output();
    out.erase(out.rfind("end-of-command "));
    BOOST_REQUIRE(process.wait(StepLimit).has_value());
    return { code, out };
}

/// Starts a command through a shell that adds its exit code; $1 and so on are the words.
child_process start(const std::vector<std::string> &words, const std::string &redirection = "")
{
    std::vector<std::string> arguments{ "-c",
                                        "\"$@\" " + redirection + "; echo \"end-of-command $?\"",
                                        "sh", Program };
    arguments.insert(arguments.end(), words.begin(), words.end());
    return { "/bin/sh", arguments };
}

command_result run(const std::vector<std::string> &words, const std::string &redirection = "")
{
    child_process process = start(words, redirection);
    return finish(process);
}

fleet_options options(std::size_t engines)
{
    fleet_options chosen;
    chosen.programFolder = BURDOCKHOLD_BINARY_DIR;
    chosen.engines.resize(engines);
    return chosen;
}

/// Stand-ins without daemons, and the words that give the tool their addresses.
class platform
{
public:
    explicit platform(std::size_t engines = 0)
        : processes(options(engines))
    {
    }

    command_result ctl(std::vector<std::string> words, const std::string &redirection = "")
    {
        return run(withAddresses(std::move(words)), redirection);
    }

    std::vector<std::string> withAddresses(std::vector<std::string> words)
    {
        words.insert(words.begin(),
                     { "--log", processes.log().url, "--vms", processes.vmList().url });
        return words;
    }

    std::string writeFile(const std::string &name, const json &entries)
    {
        std::string path = (processes.folder() / name).string();
        std::ofstream(path) << json{ { "entries", entries } };
        return path;
    }

    /// Returns the redirection that makes a key the command's standard input.
    std::string keyAsInput(const std::string &key)
    {
        const std::string path = (processes.folder() / "key").string();
        std::ofstream(path) << key << '\n';
        return "< " + path;
    }

    std::size_t recordCount()
    {
        const http_response page = httpCall(processes.log().url, "GET",
                                            "/streams/config/records?from=1");
        return page.json().at("records").size();
    }

    fleet processes;
};

json classEntry(int priority, std::uint64_t base)
{
    return { { "entry", "class" },
             { "name", "standard" },
             { "base", base },
             { "value", { { "owner", "test" }, { "priority", priority } } } };
}

/// Entries of a small deployment, in the form of a catalogue file.
json deploymentEntries(fleet &processes)
{
    std::vector<std::string> urls;
    for (const standin_process &engine : processes.engines())
        urls.push_back(engine.url);
    return basicCatalogue(urls, {});
}

/// Repeats a call until its status is the one wanted.
template <typename Call>
void waitForStatus(Call call, int wanted, std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (call().status != wanted) {
        BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

} // namespace

// Guards against help that is missing for a command, and against a wrong command line that is
// carried out in part.
BOOST_AUTO_TEST_CASE(everyCommandHasHelpAndRefusesWhatItDoesNotKnow)
{
    const std::vector<std::vector<std::string>> commands{
        { "catalogue", "apply" },
        { "catalogue", "list" },
        { "catalogue", "show" },
        { "catalogue", "remove" },
        { "key", "issue" },
        { "key", "withdraw" },
        { "key", "list" },
        { "vms" },
        { "status" },
        { "endpoints" },
        { "accounts" },
        { "drain" },
        { "settings", "check" },
        { "report" },
    };
    const std::string all = run({ "--help" }).out;
    BOOST_TEST(all.find("Exit codes:") != std::string::npos);
    for (std::vector<std::string> words : commands) {
        std::string name;
        for (const std::string &word : words)
            name += " " + word;
        BOOST_TEST(all.find("\n " + name) != std::string::npos, name);
        words.emplace_back("--help");
        const command_result help = run(words);
        BOOST_TEST(help.code == Done);
        BOOST_TEST(help.out.find("\n " + name) != std::string::npos, name);
        words.back() = "--unheard-of";
        BOOST_TEST(run(words).code == Usage);
    }
    BOOST_TEST(run({}).code == Usage);
    BOOST_TEST(run({ "catalogue" }).code == Usage);
    BOOST_TEST(run({ "catalogue", "apply" }).code == Usage);
    BOOST_TEST(run({ "catalogue", "list" }).code == Usage);
    BOOST_TEST(run({ "key", "list", "--base", "3" }).code == Usage);
    BOOST_TEST(run({ "key", "withdraw" }).code == Usage);
    BOOST_TEST(run({ "settings", "check", "/nonexistent/file" }).code == BadInput);
}

// Guards against two operators who both believe that their order is in force.
BOOST_AUTO_TEST_CASE(oneOfTwoRacingAppliesWins)
{
    constexpr int Rounds = 10;
    platform site;
    const std::string first = site.writeFile("first.json", json::array({ classEntry(0, 0) }));
    BOOST_TEST(site.ctl({ "catalogue", "apply", first }).code == Done);
    for (int round = 0; round < Rounds; ++round) {
        const command_result shown = site.ctl(
                { "--json", "catalogue", "show", "class", "standard" });
        const auto base = json::parse(shown.out).at("version").get<std::uint64_t>();
        const std::string a = site.writeFile("a.json", json::array({ classEntry(1, base) }));
        const std::string b = site.writeFile("b.json", json::array({ classEntry(2, base) }));
        child_process left = start(site.withAddresses({ "catalogue", "apply", a }));
        child_process right = start(site.withAddresses({ "catalogue", "apply", b }));
        const int leftCode = finish(left).code;
        const int rightCode = finish(right).code;
        BOOST_TEST(std::min(leftCode, rightCode) == Done);
        BOOST_TEST(std::max(leftCode, rightCode) == LostRace);
        const command_result after = site.ctl(
                { "--json", "catalogue", "show", "class", "standard" });
        BOOST_TEST(json::parse(after.out).at("value").at("priority").get<int>()
                   == (leftCode == Done ? 1 : 2));
    }
}

// Guards against an order that is reported lost, or carried out twice, when the log's answer is
// lost after the append took effect.
BOOST_AUTO_TEST_CASE(aLostAnswerOfTheLogIsResolved)
{
    platform site;
    httpCall(site.processes.log().url, "POST", "/faults", R"({"lose_next_append_answers":1})");
    const std::string file = site.writeFile("c.json", json::array({ classEntry(1, 0) }));
    const command_result applied = site.ctl({ "--json", "catalogue", "apply", file });
    BOOST_TEST(applied.code == Done);
    BOOST_TEST(json::parse(applied.out).at("version") == 1);
    BOOST_TEST(site.recordCount() == 1U);
}

// Guards against a success without the log.
BOOST_AUTO_TEST_CASE(anUnreachableLogIsTold)
{
    platform site;
    const std::string file = site.writeFile("c.json", json::array({ classEntry(1, 0) }));
    site.processes.log().process.stop();
    BOOST_TEST(site.ctl({ "catalogue", "apply", file }).code == LogUnreachable);
    BOOST_TEST(site.ctl({ "key", "withdraw", "--key-stdin" }, site.keyAsInput("bk-leaked")).code
               == LogUnreachable);
}

// Guards against a key that was stored but could not be shown to anyone.
BOOST_AUTO_TEST_CASE(lostOutputIsTold)
{
    platform site(1);
    const std::string file = site.writeFile("c.json", deploymentEntries(site.processes));
    BOOST_TEST(site.ctl({ "catalogue", "apply", file }).code == Done);
    BOOST_TEST(site.ctl({ "key", "issue", "--account", "a1" }, "> /dev/full").code == OutputLost);
}

// Guards against commands that pass on stand-ins of the log alone but not on a running deployment.
BOOST_AUTO_TEST_CASE(aSessionOnARunningDeployment)
{
    platform site(2);
    const std::string file = site.writeFile("c.json", deploymentEntries(site.processes));
    BOOST_TEST(site.ctl({ "catalogue", "apply", file }).code == Done);
    std::string key = site.ctl({ "key", "issue", "--account", "a1" }).out;
    key.pop_back();
    site.processes.startDaemon("vm-1");
    site.processes.startDaemon("vm-2");
    running_daemon &daemon = site.processes.daemons().at(0);
    const auto health = [&] { return httpCall(daemon.adminUrl, "GET", "/healthz"); };
    const auto complete = [&] {
        return httpCall(daemon.url, "POST", "/v1/completions", streamingRequestBody("hello", 2),
                        { { "Authorization", "Bearer " + key } });
    };
    waitForStatus(health, 200, StepLimit);
    waitForStatus(complete, 200, ConfigurationLimit);

    // Daemons append records for their membership meanwhile, so the offset lies between two reads.
    const std::int64_t before = site.processes.lastConfigOffset();
    BOOST_TEST(before >= 2);
    const command_result status = site.ctl({ "--json", "status" });
    BOOST_TEST(status.code == Done);
    BOOST_TEST(json::parse(status.out).at("vms").size() == 2U);
    const std::int64_t offset = json::parse(status.out).at("log_offset");
    BOOST_TEST(offset >= before);
    BOOST_TEST(offset <= site.processes.lastConfigOffset());
    BOOST_TEST(json::parse(site.ctl({ "--json", "vms" }).out).size() == 2U);

    const command_result withdrawn = run(
            { "--log", site.processes.log().url, "key", "withdraw", "--key-stdin" },
            site.keyAsInput(key));
    BOOST_TEST(withdrawn.code == Done);
    waitForStatus(complete, 401, ConfigurationLimit);

    BOOST_TEST(site.ctl({ "drain", "vm-1" }).code == Done);
    const auto ended = daemon.process.wait(StepLimit);
    BOOST_REQUIRE(ended.has_value());
    BOOST_TEST(ended->code == 0);
    // The VM list still shows vm-1: what does not reach it must be told.
    const command_result after = site.ctl({ "--json", "status" });
    BOOST_TEST(after.code == VmUnreachable);
    BOOST_TEST(json::parse(after.out).at("unreached").at(0).at("vm") == "vm-1");
    const std::string digest(64, 'a');
    BOOST_TEST(site.ctl({ "key", "withdraw", "--digest-prefix", digest }).code == VmUnreachable);
    const command_result report = site.ctl(
            { "--json", "report", "--profile",
              std::string(BURDOCKHOLD_SOURCE_DIR) + "/examples/objectives-office.ini", "--samples",
              "2", "--interval", "50ms" });
    BOOST_TEST(report.code == VmUnreachable);
    BOOST_TEST(report.out.find("vm-1") != std::string::npos);
}
