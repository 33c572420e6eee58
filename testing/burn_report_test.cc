#define BOOST_TEST_MODULE burn_report
#include <boost/test/unit_test.hpp>

#include "burdockhold/burn_report.h"

#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

using namespace burdockhold;

namespace {

constexpr log_time_ms Minute = 60000;
constexpr int Seeds = 20;

std::string readFile(const std::string &name)
{
    std::ifstream file(std::string(BURDOCKHOLD_SOURCE_DIR) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Compares with a golden file, or writes it when BURDOCKHOLD_WRITE_GOLDEN is set.
void checkGolden(const std::string &name, const std::string &actual)
{
    const std::string path = "testing/golden/" + name;
    if (std::getenv("BURDOCKHOLD_WRITE_GOLDEN") != nullptr)
        std::ofstream(std::string(BURDOCKHOLD_SOURCE_DIR) + "/" + path) << actual;
    BOOST_TEST(actual == readFile(path));
}

objective_profile profileOf(const std::string &text)
{
    const auto parsed = parseObjectives(text, "p.ini");
    if (!isOk(parsed))
        BOOST_FAIL(errorOf(parsed).text + " " + errorOf(parsed).context);
    return valueOf(parsed);
}

/// Records one minute of traffic of one VM: one request in 50 of account "small" fails.
void recordMinute(metrics &target, int vm, int minute)
{
    for (int i = 0; i < 60; ++i) {
        const std::string account = i % 6 == 0 ? "small" : "large";
        const std::string route = i % 3 == 0 ? "tools" : "dispatch";
        const bool failed = account == "small" && (i + minute) % 50 == 0;
        target.addRequest(failed ? request_outcome::Failed : request_outcome::Answered, account,
                          route);
        target.add(counter::PromptTokens, account, route, 2000);
        target.add(counter::CachedTokens, account, route, route == "tools" ? 1600 : 1300);
        target.observe(timing::TimeToFirstToken, account, route,
                       std::chrono::milliseconds(100 + (i * 7 + vm * 13 + minute) % 450));
        target.observe(timing::TimeBetweenTokens, account, route, std::chrono::milliseconds(20));
    }
    if (minute % 20 == vm)
        target.add(counter::WrongfulRefusals, "small", "tools");
}

/// Two hours of four VMs: vm2 restarts after 70 min, vm3 is not reached at the end.
std::vector<vm_history> fleetHistory()
{
    std::vector<vm_history> out;
    for (int vm = 0; vm < 4; ++vm) {
        vm_history history;
        history.vm = "vm" + std::to_string(vm);
        auto recorder = std::make_unique<metrics>();
        for (int minute = 0; minute <= 120; ++minute) {
            if (vm == 2 && minute == 70)
                recorder = std::make_unique<metrics>();
            recordMinute(*recorder, vm, minute);
            vm_sample sample;
            sample.at = minute * Minute;
            if (vm != 3 || minute < 119)
                sample.measures = recorder->snapshot();
            history.samples.push_back(std::move(sample));
        }
        out.push_back(std::move(history));
    }
    return out;
}

const std::string availabilityProfile =
        "[profile]\nname = p\n[up]\nindicator = availability\ntarget = 99%\nwindow = 28d\n";

metric_snapshot requestSnapshot(std::uint64_t answered, std::uint64_t failed)
{
    metric_snapshot out;
    out.counters[counter::Requests][{ "a", "r", "answered" }] = answered;
    out.counters[counter::Requests][{ "a", "r", "failed" }] = failed;
    return out;
}

} // namespace

// Guards against reports that change in form or figures without notice, for both deployments.
BOOST_AUTO_TEST_CASE(goldenReports)
{
    for (const std::string name : { "mayaro", "office" }) {
        const auto profile = profileOf(readFile("examples/objectives-" + name + ".ini"));
        const burn_report report = buildBurnReport(profile, fleetHistory(), 120 * Minute);
        checkGolden("burn-" + name + ".txt", formatBurnText(report));
        checkGolden("burn-" + name + ".json", formatBurnJson(report));
    }
}

// Guards against wrong arithmetic: 2 % bad against a budget of 1 % burns at rate 2.
BOOST_AUTO_TEST_CASE(burnFollowsItsDefinition)
{
    vm_history history{ "vm1", {} };
    for (std::uint64_t minute = 0; minute <= 60; ++minute) {
        const auto at = static_cast<log_time_ms>(minute) * Minute;
        history.samples.push_back({ at, requestSnapshot(98 * minute, 2 * minute) });
    }
    const burn_report report = buildBurnReport(profileOf(availabilityProfile), { history },
                                               60 * Minute);
    const auto tolerance = boost::test_tools::tolerance(1e-9);
    const double windowHours = 28 * 24;
    BOOST_REQUIRE(report.rows.size() == 1U);
    BOOST_TEST(report.rows[0].shortBurn == 2.0, tolerance);
    BOOST_TEST(report.rows[0].longBurn == 2.0, tolerance);
    BOOST_TEST(report.rows[0].budgetLeft == 1.0 - 2.0 / windowHours, tolerance);
    BOOST_TEST(*report.rows[0].secondsToExhaustion == (windowHours - 2.0) / 2.0 * 3600.0,
               tolerance);
    BOOST_TEST(report.unreached.empty());
}

// Guards against negative or lost events when VMs restart at any time: events are compared with a
// reference that saw each request. Requests between the last sample and the restart cannot be seen.
BOOST_AUTO_TEST_CASE(restartsGiveNoNegativeRates)
{
    for (int seed = 0; seed < Seeds; ++seed) {
        std::mt19937_64 random(seed);
        double answered = 0.0;
        double failed = 0.0;
        std::vector<vm_history> histories;
        for (int vm = 0; vm < 8; ++vm) {
            vm_history history{ "vm" + std::to_string(vm), { { 0, requestSnapshot(0, 0) } } };
            std::uint64_t good = 0;
            std::uint64_t bad = 0;
            for (int minute = 1; minute <= 60; ++minute) {
                if (random() % 10 == 0)
                    good = bad = 0;
                const std::uint64_t moreGood = 1 + random() % 100;
                const std::uint64_t moreBad = random() % 5;
                // An undetectable restart needs more traffic in a minute than ever before.
                const std::uint64_t before =
                        history.samples.back()
                                .measures->counters[counter::Requests][{ "a", "r", "answered" }];
                if (good == 0 && moreGood >= before && before > 0)
                    continue;
                good += moreGood;
                bad += moreBad;
                answered += static_cast<double>(moreGood);
                failed += static_cast<double>(moreBad);
                history.samples.push_back({ minute * Minute, requestSnapshot(good, bad) });
            }
            histories.push_back(std::move(history));
        }
        const burn_report report = buildBurnReport(profileOf(availabilityProfile), histories,
                                                   60 * Minute);
        const double expected = failed / (answered + failed) / 0.01;
        BOOST_TEST(report.rows[0].longBurn == expected, boost::test_tools::tolerance(1e-9));
        BOOST_TEST(report.rows[0].shortBurn >= 0.0);
    }
}

// Guards against a report that silently leaves out a VM.
BOOST_AUTO_TEST_CASE(unreachedVmIsNamed)
{
    std::vector<vm_history> histories(2);
    histories[0] = { "vm1", { { 0, requestSnapshot(0, 0) }, { Minute, requestSnapshot(9, 1) } } };
    histories[1] = { "vm2", { { 0, requestSnapshot(0, 0) }, { Minute, std::nullopt } } };
    const burn_report report = buildBurnReport(profileOf(availabilityProfile), histories, Minute);
    BOOST_TEST(report.unreached == std::vector<std::string>{ "vm2" });
    BOOST_TEST(formatBurnText(report).find("PARTIAL: not reached: vm2") != std::string::npos);
    BOOST_TEST(formatBurnJson(report).find("\"partial\": true") != std::string::npos);
}

// Guards against profiles whose mistakes pass unnoticed or are reported without their place.
BOOST_AUTO_TEST_CASE(mistakesAreRefusedWithTheirPlace)
{
    struct bad_profile
    {
        std::string section;
        objectives_error code;
        std::string context;
    };
    const std::string good = "indicator = time_to_first_token\nbelow = 510ms\ntarget = 95%\n"
                             "window = 28d\n";
    const std::vector<bad_profile> cases{
        { good + "colour = red\n", objectives_error::UnknownKey, "p.ini [x] colour" },
        { good + "by = moon\n", objectives_error::BadValue, "p.ini [x] by" },
        { good + "weight = -1\n", objectives_error::BadValue, "p.ini [x] weight" },
        { "indicator = hit_rate\ntarget = 95\nwindow = 1h\n", objectives_error::BadValue,
          "p.ini [x] target" },
        { "indicator = hit_rate\ntarget = 100%\nwindow = 1h\n", objectives_error::BadValue,
          "p.ini [x] target" },
        { "indicator = hit_rate\ntarget = 95%\nwindow = 1parsec\n", objectives_error::BadValue,
          "p.ini [x] window" },
        { "indicator = hit_rate\ntarget = 95%\n", objectives_error::MissingValue,
          "p.ini [x] window" },
        { "indicator = hit_rate\ntarget =\nwindow = 1h\n", objectives_error::MissingValue,
          "p.ini [x] target" },
        { "indicator = hit_rate\ntarget = 95%\nwindow = 1h\nbelow = 1s\n",
          objectives_error::UnknownKey, "p.ini [x] below" },
        { "indicator = time_to_first_token\ntarget = 95%\nwindow = 1h\n",
          objectives_error::MissingValue, "p.ini [x] below" },
    };
    for (const bad_profile &mistake : cases) {
        const auto parsed = parseObjectives("[profile]\nname = p\n[x]\n" + mistake.section,
                                            "p.ini");
        BOOST_REQUIRE(!isOk(parsed));
        BOOST_TEST((errorOf(parsed).code == mistake.code), mistake.section);
        BOOST_TEST(errorOf(parsed).context == mistake.context);
    }
    BOOST_TEST(!isOk(parseObjectives("[x]\n" + good, "p.ini")));
    BOOST_TEST(!isOk(parseObjectives("[profile]\nname = p\n", "p.ini")));
    BOOST_TEST(!isOk(parseObjectives("stray = 1\n[profile]\nname = p\n", "p.ini")));
}
