#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>

#include "burdockhold/settings.h"

#include <fstream>
#include <sstream>

using namespace burdockhold;

namespace {

const std::string minimalFile = "[daemon]\n"
                                "name = vm1\n"
                                "data_centre = dc1\n"
                                "listen = http://127.0.0.1:8080\n"
                                "admin_listen = http://127.0.0.1:8081\n"
                                "peer_listen = tcp://127.0.0.1:8082\n"
                                "[log]\n"
                                "url = http://127.0.0.1:9000\n"
                                "[vms]\n"
                                "url = http://127.0.0.1:9001\n";

basic_error<settings_error> parseFailure(const std::string &text)
{
    const result<daemon_settings, settings_error> parsed = parseSettings(text, "d.ini");
    BOOST_REQUIRE(!isOk(parsed));
    return errorOf(parsed);
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

// Guards against defaults that differ from the documented ones.
BOOST_AUTO_TEST_CASE(minimalFileTakesDefaults)
{
    const result<daemon_settings, settings_error> parsed = parseSettings(minimalFile, "d.ini");
    BOOST_REQUIRE(isOk(parsed));
    const daemon_settings &settings = valueOf(parsed);
    BOOST_TEST(settings.name == "vm1");
    BOOST_TEST(settings.bodyLimitBytes == 16 * 1024 * 1024);
    BOOST_TEST((settings.grantLifetime == std::chrono::milliseconds(500)));
    BOOST_TEST((settings.claimWindow == std::chrono::hours(24)));
    BOOST_TEST((settings.logLevel == log_level::Info));
}

// Guards against a misspelt key that is silently ignored, so that the default applies.
BOOST_AUTO_TEST_CASE(unknownKeyIsRefusedWithItsPlace)
{
    const auto error = parseFailure(minimalFile + "[limits]\nbodyy = 1MiB\n");
    BOOST_TEST((error.code == settings_error::UnknownKey));
    BOOST_TEST(error.context == "d.ini [limits] bodyy");
}

BOOST_AUTO_TEST_CASE(unknownSectionIsRefused)
{
    const auto error = parseFailure(minimalFile + "[limit]\nbody = 1MiB\n");
    BOOST_TEST((error.code == settings_error::UnknownSection));
    BOOST_TEST(error.context == "d.ini [limit]");
}

// Guards against a number read in the wrong unit.
BOOST_AUTO_TEST_CASE(missingOrUnknownUnitIsRefused)
{
    for (const std::string value : { "5", "5 sec", "s", "-1s", "5.5s", "99999999999999999h" }) {
        const auto error = parseFailure(minimalFile + "[freshness]\nmax_view_age = " + value
                                        + "\n");
        BOOST_TEST((error.code == settings_error::BadValue), value);
        BOOST_TEST(error.context == "d.ini [freshness] max_view_age");
    }
}

BOOST_AUTO_TEST_CASE(valueOutOfBoundsIsRefused)
{
    const auto error = parseFailure(minimalFile + "[limits]\nbody = 2GiB\n");
    BOOST_TEST((error.code == settings_error::OutOfBounds));
    BOOST_TEST(error.text == "\"2GiB\" is not between 1KiB and 1GiB");
}

BOOST_AUTO_TEST_CASE(missingValueIsRefused)
{
    const auto error = parseFailure(replaced(minimalFile, "name = vm1\n", ""));
    BOOST_TEST((error.code == settings_error::MissingValue));
    BOOST_TEST(error.context == "d.ini [daemon] name");
}

BOOST_AUTO_TEST_CASE(badAddressIsRefused)
{
    for (const std::string address : { "127.0.0.1:8080", "http://127.0.0.1", "http://:80",
                                       "http://127.0.0.1:99999", "http://host.example:80" }) {
        const auto error = parseFailure(replaced(minimalFile, "http://127.0.0.1:8080", address));
        BOOST_TEST((error.code == settings_error::BadValue), address);
    }
}

BOOST_AUTO_TEST_CASE(malformedFileNamesTheLine)
{
    const auto error = parseFailure("[daemon]\nname vm1\n");
    BOOST_TEST((error.code == settings_error::Malformed));
    BOOST_TEST(error.context == "d.ini line 2");
}

// Guards against a claim that is forgotten by the log while the router still relies on it.
BOOST_AUTO_TEST_CASE(claimWindowBeyondRetentionIsRefused)
{
    const auto error = parseFailure(minimalFile + "[claims]\nwindow = 200h\n");
    BOOST_TEST((error.code == settings_error::OutOfBounds));
    BOOST_TEST(error.context == "d.ini [claims] window");
}

BOOST_AUTO_TEST_CASE(unreadableFileIsReported)
{
    const result<daemon_settings, settings_error> parsed = readSettings("no-such-file.ini");
    BOOST_REQUIRE(!isOk(parsed));
    BOOST_TEST((errorOf(parsed).code == settings_error::CannotRead));
}

// Guards against documentation that lists other keys, defaults or bounds than the parser accepts.
BOOST_AUTO_TEST_CASE(documentationMatchesTheTable)
{
    std::ifstream file(BURDOCKHOLD_SOURCE_DIR "/docs/settings.md");
    std::ostringstream page;
    page << file.rdbuf();
    BOOST_TEST(page.str().find(formatSettingRows()) != std::string::npos);
}
