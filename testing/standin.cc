// Stand-ins for the platform and the endpoints: `standin ROLE [options]`.

#include "testing/standin_roles.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace burdockhold::standin;
namespace po = boost::program_options;

constexpr int UsageStatus = 2;

struct all_options
{
    std::uint16_t port = 0;
    log_options log;
    engine_options engine;
    vmlist_options vmlist;
    weights_options weights;
    kvstore_options kvstore;
};

struct role
{
    po::options_description description;
    std::function<int()> run;
};

template <typename T>
po::typed_value<T> *value(T &target)
{
    return po::value(&target)->default_value(target);
}

void addEngineOptions(po::options_description &description, engine_options &options)
{
    description.add_options()                                                               //
            ("version", value(options.version), "weights version at the start")             //
            ("block-tokens", value(options.blockTokens), "tokens in a cache block")         //
            ("cache-blocks", value(options.cacheBlocks), "blocks kept in the prefix cache") //
            ("prefill-us-per-token", value(options.prefillUsPerToken),
             "microseconds for each prompt token that is not cached")                            //
            ("token-ms", value(options.tokenMs), "milliseconds for each output token")           //
            ("max-running", value(options.maxRunning), "requests that run at once, 0: no bound") //
            ("load-ms", value(options.loadMs), "milliseconds to load a version")                 //
            ("check-fencing", po::bool_switch(&options.checkFencing),
             "refuse orders with an old fencing number");
    engine_statements &statements = options.statements;
    description.add_options() //
            ("leaving", po::bool_switch(&statements.leaving),
             "say Server-Leaving in all answers") //
            ("answer-status", value(statements.status),
             "status of the answer to all completion calls, 0: serve them") //
            ("retry-after", po::value(&statements.retryAfter)->composing(),
             "text of a Retry-After field beside the answer status; may be repeated") //
            ("no-length", po::bool_switch(&statements.noLength),
             "end whole answers with the connection");
}

std::map<std::string, role> makeRoles(all_options &options)
{
    std::map<std::string, role> roles;
    roles["log"].run = [&] { return runLog(options.port, options.log); };
    roles["engine"].run = [&] { return runEngine(options.port, options.engine); };
    roles["service"].run = [&] { return runService(options.port); };
    roles["vmlist"].run = [&] { return runVmList(options.port, options.vmlist); };
    roles["weights"].run = [&] { return runWeights(options.port, options.weights); };
    roles["kvstore"].run = [&] { return runKvStore(options.port, options.kvstore); };
    for (auto &[name, entry] : roles)
        entry.description.add_options()("help", "print this help")(
                "port", value(options.port), "port on 127.0.0.1, 0: a free one");
    roles["log"].description.add_options()("retention-records", value(options.log.retentionRecords),
                                           "records kept in each stream, 0: all");
    addEngineOptions(roles["engine"].description, options.engine);
    roles["vmlist"].description.add_options()("lag-ms", value(options.vmlist.lagMs),
                                              "age that a list has before readers see it");
    roles["weights"].description.add_options()("size-bytes", value(options.weights.sizeBytes),
                                               "size of every download")(
            "bytes-per-second", value(options.weights.bytesPerSecond),
            "rate that all downloads share");
    roles["kvstore"].description.add_options()("capacity-bytes",
                                               value(options.kvstore.capacityBytes), "bytes kept");
    return roles;
}

void printUsage(std::ostream &out, const std::map<std::string, role> &roles)
{
    out << "usage: standin ROLE [options]\nroles:";
    for (const auto &[name, entry] : roles)
        out << ' ' << name;
    out << "\n`standin ROLE --help` lists the options of a role\n";
}

// Boost converts a negative number into a large unsigned one without an error. The text of a field
// may be anything.
void refuseNegative(const po::parsed_options &parsed)
{
    for (const po::option &option : parsed.options) {
        for (const std::string &text : option.value) {
            if (option.string_key != "retry-after" && !text.empty() && text.front() == '-')
                throw std::invalid_argument("option '--" + option.string_key
                                            + "' must not be negative");
        }
    }
}

int runRole(const std::string &name, const role &chosen, const std::vector<std::string> &arguments)
{
    const po::positional_options_description noPositional;
    const po::parsed_options parsed = po::command_line_parser(arguments)
                                              .options(chosen.description)
                                              .positional(noPositional)
                                              .run();
    refuseNegative(parsed);
    po::variables_map values;
    po::store(parsed, values);
    if (values.count("help") > 0) {
        std::cout << "standin " << name << ":\n" << chosen.description;
        return EXIT_SUCCESS;
    }
    po::notify(values);
    return chosen.run();
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    all_options options;
    const std::map<std::string, role> roles = makeRoles(options);
    if (arguments.empty()) {
        printUsage(std::cerr, roles);
        return UsageStatus;
    }
    const std::string name = arguments.front();
    if (name == "--help") {
        printUsage(std::cout, roles);
        return EXIT_SUCCESS;
    }
    const auto found = roles.find(name);
    if (found == roles.end()) {
        std::cerr << "standin: unknown role '" << name << "'\n";
        printUsage(std::cerr, roles);
        return UsageStatus;
    }
    arguments.erase(arguments.begin());
    try {
        return runRole(name, found->second, arguments);
    } catch (const std::exception &error) {
        std::cerr << "standin " << name << ": " << error.what() << '\n';
        return UsageStatus;
    }
}
