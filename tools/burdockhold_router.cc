// burdockhold-router: the event-loop router for one VM.

#include "burdockhold/event_router.h"
#include "burdockhold/router_settings.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

namespace po = boost::program_options;

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitListen = 4;

/// Name of the settings file: the option, or what the platform sets in the environment.
std::string settingsFile(const po::variables_map &options)
{
    if (options.count("settings") != 0)
        return options["settings"].as<std::string>();
    const char *fromPlatform = std::getenv("BURDOCKHOLD_SETTINGS");
    return fromPlatform == nullptr ? "router.ini" : fromPlatform;
}

int runRouter(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << "burdockhold-router: cannot read " << file << "\n";
        return ExitSettings;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    auto settings = burdockhold::parseRouterSettings(text.str());
    if (!burdockhold::isOk(settings)) {
        const auto &error = burdockhold::errorOf(settings);
        std::cerr << "burdockhold-router: " << file << ": " << error.context << ": " << error.text
                  << "\n";
        return ExitSettings;
    }
    burdockhold::event_router router(std::move(burdockhold::valueOf(settings)));
    const std::string error = router.run();
    if (error.empty())
        return 0;
    std::cerr << "burdockhold-router: " << error << "\n";
    return ExitListen;
}

} // namespace

int main(int argc, char **argv)
{
    po::options_description described("burdockhold-router [options]");
    described.add_options()("help", "print this text")(
            "settings", po::value<std::string>(),
            "settings file in INI; by default the one that BURDOCKHOLD_SETTINGS names");
    po::variables_map options;
    try {
        po::store(po::parse_command_line(argc, argv, described), options);
        po::notify(options);
    } catch (const po::error &error) {
        std::cerr << "burdockhold-router: " << error.what() << "\n" << described;
        return ExitUsage;
    }
    if (options.count("help") != 0) {
        std::cout << described;
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    return runRouter(settingsFile(options));
}
