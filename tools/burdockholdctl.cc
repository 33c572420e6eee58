// The operators' tool. Every command and exit code is listed by --help; see docs/OPERATIONS.md.

#include "burdockhold/ctl_catalogue.h"
#include "burdockhold/ctl_config.h"
#include "burdockhold/ctl_explain.h"
#include "burdockhold/ctl_http.h"
#include "burdockhold/ctl_key.h"
#include "burdockhold/ctl_report.h"
#include "burdockhold/ctl_vms.h"
#include "burdockhold/log_client.h"
#include "burdockhold/random_id.h"
#include "burdockhold/settings.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

using namespace burdockhold;

namespace {

namespace po = boost::program_options;

/// A command with what was given on the command line.
struct invocation
{
    ctl_context &context;
    std::vector<std::string> arguments;
    po::variables_map values;

    std::string text(const char *option) const
    {
        return values.count(option) > 0 ? values[option].as<std::string>() : std::string();
    }
};

/// A row of the command table.
struct command
{
    std::string words;     ///< "catalogue apply".
    std::string arguments; ///< As shown by --help.
    std::size_t minimum;   ///< Number of arguments.
    std::size_t maximum;
    std::set<std::string> options; ///< Names of the command's own options.
    std::string help;
    ctl_exit (*run)(const invocation &given);
};

ctl_exit usageError(ctl_context &context, const std::string &text)
{
    return reportError(context, { ctl_exit::Usage, text + "; see --help", "" });
}

po::options_description globalOptions()
{
    po::options_description description("Global options");
    description.add_options()("help,h", "show this text and stop");
    description.add_options()("log", po::value<std::string>()->value_name("URL"),
                              "address of the log service (or environment BURDOCKHOLD_LOG)");
    description.add_options()("vms", po::value<std::string>()->value_name("URL"),
                              "address of the VM list (or environment BURDOCKHOLD_VMS)");
    description.add_options()("json", "print results and errors as JSON");
    return description;
}

po::options_description commandOptions()
{
    po::options_description description("Options");
    const auto text = [&](const char *name, const char *value, const char *help) {
        description.add_options()(name, po::value<std::string>()->value_name(value), help);
    };
    text("account", "A", "account that the key is for");
    text("label", "L", "text to tell keys apart");
    text("digest-prefix", "D", "start of the key's SHA-256 digest, or all of it");
    description.add_options()("key-stdin", "read the key from the first line of standard input");
    text("base", "N", "version that the order is based on");
    text("in-force", "FILE", "deployment in force, to compare with");
    text("profile", "FILE", "objectives in INI format; see examples/");
    text("samples", "N", "samples to take (default 2)");
    text("interval", "D", "time between samples, with its unit (default 10s)");
    return description;
}

/// Parses a whole non-negative decimal number.
std::optional<std::uint64_t> parseCount(const std::string &text)
{
    constexpr std::size_t MaxDigits = 18;
    if (text.empty() || text.size() > MaxDigits
        || text.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return std::stoull(text);
}

ctl_exit runRemove(const invocation &given)
{
    const auto base = parseCount(given.text("base"));
    if (!base)
        return usageError(given.context, "--base N must be given, a version");
    return removeEntry(given.context, given.arguments[0], given.arguments[1], *base);
}

ctl_exit runIssue(const invocation &given)
{
    if (given.text("account").empty())
        return usageError(given.context, "--account A must be given");
    return issueKey(given.context, given.text("account"), given.text("label"));
}

ctl_exit runWithdraw(const invocation &given)
{
    const bool fromInput = given.values.count("key-stdin") > 0;
    if (fromInput == (given.values.count("digest-prefix") > 0))
        return usageError(given.context, "give either --digest-prefix D or --key-stdin");
    if (fromInput)
        return withdrawKeyFrom(given.context, std::cin);
    return withdrawKeyByDigest(given.context, given.text("digest-prefix"));
}

ctl_exit runSettingsCheck(const invocation &given)
{
    const auto settings = readSettings(given.arguments[0]);
    if (!isOk(settings))
        return reportError(given.context, { ctl_exit::BadInput, errorOf(settings).text,
                                            errorOf(settings).context });
    given.context.out << (given.context.json ? "{\"valid\":true}" : "settings are valid") << '\n';
    return ctl_exit::Done;
}

ctl_exit runCheckConfig(const invocation &given)
{
    if (given.values.count("in-force") > 0 && given.text("in-force").empty())
        return usageError(given.context, "--in-force needs the name of a file");
    return checkConfig(given.context, { given.arguments[0], given.text("in-force") });
}

ctl_exit runReport(const invocation &given)
{
    report_options options;
    options.profileFile = given.text("profile");
    if (options.profileFile.empty())
        return usageError(given.context, "--profile FILE must be given");
    if (given.values.count("samples") > 0) {
        const auto samples = parseCount(given.text("samples"));
        if (!samples)
            return usageError(given.context, "--samples is no number");
        options.samples = *samples;
    }
    if (given.values.count("interval") > 0) {
        const auto interval = parseDuration(given.text("interval"));
        if (!isOk(interval))
            return usageError(given.context, "--interval: " + errorOf(interval).text);
        options.interval = valueOf(interval);
    }
    return printBurnReport(given.context, options);
}

ctl_exit runApply(const invocation &given)
{
    return applyCatalogue(given.context, given.arguments[0]);
}

ctl_exit runList(const invocation &given)
{
    return listCatalogue(given.context, given.arguments.empty() ? "" : given.arguments[0]);
}

ctl_exit runShow(const invocation &given)
{
    return showEntry(given.context, given.arguments[0], given.arguments[1]);
}

ctl_exit runKeyList(const invocation &given)
{
    return listKeys(given.context);
}

ctl_exit runVms(const invocation &given)
{
    return listVms(given.context);
}

ctl_exit runStatus(const invocation &given)
{
    return showStatus(given.context);
}

ctl_exit runEndpoints(const invocation &given)
{
    return showPages(given.context, "/endpoints");
}

ctl_exit runAccounts(const invocation &given)
{
    return showPages(given.context, "/accounts");
}

ctl_exit runDrain(const invocation &given)
{
    return drainVm(given.context, given.arguments[0]);
}

ctl_exit runExplain(const invocation &given)
{
    const std::vector<std::string> files(given.arguments.begin() + 1, given.arguments.end());
    return explain(given.context, given.arguments[0], files, std::cin);
}

constexpr char ApplyHelp[] =
        "Applies the entries of a JSON file as one record: all of them or none. An entry without "
        "\"base\" replaces the version that is current when the command reads the log; a null "
        "value removes the entry.";
constexpr char RemoveHelp[] = "Removes one entry, if its version is the one given by --base.";
constexpr char IssueHelp[] = "Issues a key and prints it, once. Only its digest is stored.";
constexpr char WithdrawHelp[] =
        "Withdraws a key for good. With --vms each VM is told as well; VMs that did not confirm "
        "are named.";
constexpr char StatusHelp[] =
        "Shows the status of each VM and, with --log, how many records its configuration is behind "
        "the log.";
constexpr char DrainHelp[] = "Drains one VM: its daemon ends when its requests have ended.";
constexpr char ReportHelp[] = "Samples the measures of all VMs and prints the service-level burn.";

constexpr char CheckConfigHelp[] =
        "Checks the file of a deployment for the routers: errors, entries that can never match, "
        "limits that contradict each other and, with --in-force, differences. Writes nothing.";
constexpr char ExplainHelp[] =
        "Prints the log lines that name a request, an endpoint or a VM in any field, oldest first "
        "over all files; without files it reads standard input.";
constexpr std::size_t MaxLogFiles = 10000;

/// Returns all commands in the order in which --help shows them.
const std::vector<command> &commands()
{
    // clang-format off
    static const std::vector<command> all{
        { "catalogue apply", "FILE", 1, 1, {}, ApplyHelp, runApply },
        { "catalogue list", "[KIND]", 0, 1, {}, "Lists the entries, of one kind or all.", runList },
        { "catalogue show", "KIND NAME", 2, 2, {}, "Shows one entry with its version.", runShow },
        { "catalogue remove", "KIND NAME", 2, 2, { "base" }, RemoveHelp, runRemove },
        { "key issue", "", 0, 0, { "account", "label" }, IssueHelp, runIssue },
        { "key withdraw", "", 0, 0, { "digest-prefix", "key-stdin" }, WithdrawHelp, runWithdraw },
        { "key list", "", 0, 0, {}, "Lists the keys' digests, accounts and states.", runKeyList },
        { "vms", "", 0, 0, {}, "Shows the VM list.", runVms },
        { "status", "", 0, 0, {}, StatusHelp, runStatus },
        { "endpoints", "", 0, 0, {}, "Shows each VM's page /endpoints.", runEndpoints },
        { "accounts", "", 0, 0, {}, "Shows each VM's page /accounts.", runAccounts },
        { "drain", "VM", 1, 1, {}, DrainHelp, runDrain },
        { "settings check", "FILE", 1, 1, {}, "Checks a daemon's settings file.",
          runSettingsCheck },
        { "check-config", "FILE", 1, 1, { "in-force" }, CheckConfigHelp, runCheckConfig },
        { "explain", "ID [FILE...]", 1, MaxLogFiles, {}, ExplainHelp, runExplain },
        { "report", "", 0, 0, { "profile", "samples", "interval" }, ReportHelp, runReport },
    };
    // clang-format on
    return all;
}

/// Breaks a text into indented lines.
std::string wrapped(const std::string &text)
{
    constexpr std::size_t Width = 72;
    std::istringstream words(text);
    std::string result;
    std::string line;
    for (std::string word; words >> word;) {
        if (!line.empty() && line.size() + 1 + word.size() > Width) {
            result += "      " + line + '\n';
            line.clear();
        }
        line += (line.empty() ? "" : " ") + word;
    }
    return result + "      " + line + '\n';
}

bool startsWith(const std::string &words, const std::vector<std::string> &given)
{
    std::string prefix;
    for (const std::string &word : given)
        prefix += word + ' ';
    return (words + ' ').compare(0, prefix.size(), prefix) == 0;
}

/// Prints the help of the commands that start with the words given, all when none do.
void printHelp(const std::vector<std::string> &words)
{
    std::cout << "Usage: burdockholdctl [global options] COMMAND\n\nCommands:\n";
    std::set<std::string> used;
    for (const command &row : commands()) {
        if (!startsWith(row.words, words))
            continue;
        std::cout << "  " << row.words << (row.arguments.empty() ? "" : " ") << row.arguments
                  << '\n'
                  << wrapped(row.help);
        used.insert(row.options.begin(), row.options.end());
    }
    po::options_description shown("Options of these commands");
    const po::options_description all = commandOptions();
    for (const auto &option : all.options()) {
        if (used.count(option->long_name()) > 0)
            shown.add(option);
    }
    if (!used.empty())
        std::cout << '\n' << shown;
    std::cout << '\n' << globalOptions() << "\nExit codes:\n" << formatExitCodes();
}

/// Returns the command whose words the given ones start with, and takes these away.
const command *findCommand(std::vector<std::string> &words)
{
    for (const command &row : commands()) {
        const std::size_t count = std::size_t(std::count(row.words.begin(), row.words.end(), ' '))
                                  + 1;
        if (words.size() < count
            || !startsWith(row.words, { words.begin(), words.begin() + std::ptrdiff_t(count) }))
            continue;
        words.erase(words.begin(), words.begin() + std::ptrdiff_t(count));
        return &row;
    }
    return nullptr;
}

/// Returns the name of a command's option that this command does not have, or nothing.
std::optional<std::string> foreignOption(const command &chosen, const po::variables_map &values)
{
    const po::options_description all = commandOptions();
    for (const auto &option : all.options()) {
        const std::string &name = option->long_name();
        if (values.count(name) > 0 && chosen.options.count(name) == 0)
            return name;
    }
    return std::nullopt;
}

/// Returns an option's value, else the environment's.
std::string address(const po::variables_map &values, const char *option, const char *variable)
{
    if (values.count(option) > 0)
        return values[option].as<std::string>();
    const char *text = std::getenv(variable);
    return text == nullptr ? std::string() : std::string(text);
}

std::string withoutTrailingSlash(std::string url)
{
    while (!url.empty() && url.back() == '/')
        url.pop_back();
    return url;
}

po::variables_map parseCommandLine(int argc, char **argv)
{
    using style = po::command_line_style::style_t;
    po::options_description hidden;
    hidden.add_options()("word", po::value<std::vector<std::string>>());
    po::options_description all;
    all.add(globalOptions()).add(commandOptions()).add(hidden);
    po::positional_options_description positional;
    positional.add("word", -1);
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv)
                      .options(all)
                      .positional(positional)
                      .style(style::unix_style & ~style::allow_guessing)
                      .run(),
              values);
    return values;
}

ctl_exit runWith(ctl_context &context, const po::variables_map &values)
{
    std::vector<std::string> words;
    if (values.count("word") > 0)
        words = values["word"].as<std::vector<std::string>>();
    if (values.count("help") > 0) {
        std::vector<std::string> rest = words;
        const command *chosen = findCommand(rest);
        words.resize(words.size() - (chosen == nullptr ? 0 : rest.size()));
        printHelp(words);
        return ctl_exit::Done;
    }
    const command *chosen = findCommand(words);
    if (chosen == nullptr)
        return usageError(context, "no such command");
    if (const auto option = foreignOption(*chosen, values))
        return usageError(context, chosen->words + " has no option --" + *option);
    if (words.size() < chosen->minimum || words.size() > chosen->maximum)
        return usageError(context,
                          "wrong number of arguments: " + chosen->words + " " + chosen->arguments);
    return chosen->run({ context, words, values });
}

ctl_exit runCommandLine(int argc, char **argv, ctl_context &context)
{
    try {
        const po::variables_map values = parseCommandLine(argc, argv);
        context.json = values.count("json") > 0;
        context.vmsUrl = withoutTrailingSlash(address(values, "vms", "BURDOCKHOLD_VMS"));
        const std::string logUrl = withoutTrailingSlash(address(values, "log", "BURDOCKHOLD_LOG"));
        ctl_http http;
        context.http = &http;
        log_client_options options;
        options.url = logUrl;
        blocking_log log(options);
        if (!logUrl.empty())
            context.log = &log;
        return runWith(context, values);
    } catch (const po::error &error) {
        return usageError(context, error.what());
    }
}

} // namespace

int main(int argc, char **argv)
{
    // A closed pipe must show as a failed write, so that a lost key is reported.
    std::signal(SIGPIPE, SIG_IGN);
    ctl_context context(std::cout, std::cerr);
    context.randomHex = randomHex;
    context.now = steadyNow;
    context.sleep = [](duration time) { std::this_thread::sleep_for(time); };
    context.wallClock = [] {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    };
    const ctl_exit code = runCommandLine(argc, argv, context);
    if (!std::cout.flush() && code == ctl_exit::Done)
        return static_cast<int>(reportError(
                context, { ctl_exit::OutputLost, "standard output could not be written", "" }));
    return static_cast<int>(code);
}
