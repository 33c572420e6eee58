// The daemon. Exit codes: 0 stopped after a drain that cut no request, 1 some requests were cut
// off, 2 wrong command line or settings, 3 the daemon could not start.

#include "burdockhold/daemon.h"
#include "burdockhold/logging.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <ctime>
#include <iostream>
#include <string>

using namespace burdockhold;

namespace {

namespace options = boost::program_options;

enum exit_code { Stopped = 0, CutOff = 1, BadSettings = 2, CannotStart = 3 };

/// How often the main thread looks for a drain request between signals.
constexpr long SignalPollNanoseconds = 100'000'000;

options::options_description describeOptions()
{
    options::options_description description("Usage: burdockholdd --settings FILE [options]");
    description.add_options()("help,h", "show this text and stop");
    description.add_options()("settings,s", options::value<std::string>()->value_name("FILE"),
                              "settings in INI format; see docs/settings.md");
    description.add_options()("check-settings", "check the settings and stop");
    description.add_options()("describe-settings", "print all keys with their defaults and stop");
    return description;
}

template <typename Code>
int fail(exit_code code, const basic_error<Code> &error)
{
    std::cerr << "burdockholdd: " << error.context << ": " << error.text << '\n';
    return code;
}

/// Blocks SIGTERM and SIGINT in all threads, so that only waitForStop() sees them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void waitForStop(const sigset_t &signals, const router_daemon &router)
{
    const timespec interval{ 0, SignalPollNanoseconds };
    while (!router.drainRequested()) {
        if (sigtimedwait(&signals, nullptr, &interval) > 0)
            return;
    }
}

int run(const daemon_settings &settings)
{
    const sigset_t signals = blockStopSignals();
    const result<success, logging_error> logging = startLogging(settings.logFile,
                                                                settings.logLevel);
    if (!isOk(logging))
        return fail(BadSettings, errorOf(logging));

    router_daemon router(settings);
    const result<success, daemon_error> started = router.start();
    if (!isOk(started))
        return fail(CannotStart, errorOf(started));
    std::cout << "listening " << router.url() << std::endl;
    std::cout << "admin " << router.adminUrl() << std::endl;

    waitForStop(signals, router);
    return router.drainAndStop() == 0 ? Stopped : CutOff;
}

int runWith(const options::variables_map &values)
{
    if (values.count("help") > 0) {
        std::cout << describeOptions();
        return Stopped;
    }
    if (values.count("describe-settings") > 0) {
        std::cout << formatSettingRows();
        return Stopped;
    }
    if (values.count("settings") == 0) {
        std::cerr << "burdockholdd: no --settings FILE given; see --help\n";
        return BadSettings;
    }
    const result<daemon_settings, settings_error> settings = readSettings(
            values["settings"].as<std::string>());
    if (!isOk(settings))
        return fail(BadSettings, errorOf(settings));
    if (values.count("check-settings") > 0) {
        std::cout << "settings are valid\n";
        return Stopped;
    }
    return run(valueOf(settings));
}

} // namespace

int main(int argc, char **argv)
{
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, describeOptions()), values);
        return runWith(values);
    } catch (const options::error &error) {
        std::cerr << "burdockholdd: " << error.what() << "; see --help\n";
        return BadSettings;
    }
}
