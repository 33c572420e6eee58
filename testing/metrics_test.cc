#define BOOST_TEST_MODULE metrics
#include <boost/test/unit_test.hpp>

#include "burdockhold/metrics.h"

#include <random>
#include <thread>

using namespace burdockhold;

namespace {

constexpr int Seeds = 20;

/// Records one random measure in each of the given recorders.
void recordRandomly(std::mt19937_64 &random, const std::vector<metrics *> &targets)
{
    static const std::vector<std::string> accounts{ "a", "b\"q", "c\\d", "e\nf", "" };
    const std::string &account = accounts[random() % accounts.size()];
    const std::string route = "r" + std::to_string(random() % 3);
    const auto which = enum_names<timing>::Table[random() % 3].value;
    const auto reason = enum_names<refusal_reason>::Table[random() % 12].value;
    const auto time = duration(static_cast<std::int64_t>(random() % 200000000000ULL)
                               >> random() % 40);
    const std::uint64_t kind = random() % 5;
    const std::uint64_t amount = random() % 5000;
    for (metrics *target : targets) {
        if (kind == 0)
            target->observe(which, account, route, time);
        else if (kind == 1)
            target->addRefusal(reason, account, route);
        else if (kind == 2)
            target->add(counter::PromptTokens, account, route, amount);
        else if (kind == 3)
            target->addRequest(request_outcome::Answered, account, route);
        else
            target->addMove(move_result::InTime);
    }
}

metric_snapshot mustParse(const std::string &text)
{
    const auto parsed = parseMetrics(text);
    if (!isOk(parsed))
        BOOST_FAIL(errorOf(parsed).text + " " + errorOf(parsed).context);
    return valueOf(parsed);
}

} // namespace

// Guards against a fleet-wide sum that depends on which VM recorded a measure or on merge order.
BOOST_AUTO_TEST_CASE(mergeOfPartsEqualsWhole)
{
    for (int seed = 0; seed < Seeds; ++seed) {
        std::mt19937_64 random(seed);
        metrics whole;
        std::array<metrics, 4> parts;
        for (int i = 0; i < 1000; ++i)
            recordRandomly(random, { &whole, &parts[random() % parts.size()] });
        metric_snapshot forward;
        metric_snapshot backward;
        for (std::size_t i = 0; i < parts.size(); ++i) {
            mergeInto(forward, parts[i].snapshot());
            mergeInto(backward, parts[parts.size() - 1 - i].snapshot());
        }
        BOOST_TEST((forward == whole.snapshot()));
        BOOST_TEST((backward == forward));
    }
}

// Guards against values or labels with special characters that change on the way through the text.
BOOST_AUTO_TEST_CASE(textReadsBackEqual)
{
    for (int seed = 0; seed < Seeds; ++seed) {
        std::mt19937_64 random(1000 + seed);
        metrics recorded;
        for (int i = 0; i < 1000; ++i)
            recordRandomly(random, { &recorded });
        const metric_snapshot before = recorded.snapshot();
        BOOST_TEST((mustParse(formatMetrics(before)) == before));
    }
}

// Guards against observations that are lost when threads fill one series.
BOOST_AUTO_TEST_CASE(threadsLoseNothing)
{
    constexpr std::uint64_t PerThread = 20000;
    metrics recorded;
    std::array<std::thread, 4> threads;
    for (std::thread &thread : threads) {
        thread = std::thread([&recorded] {
            for (std::uint64_t i = 0; i < PerThread; ++i) {
                recorded.add(counter::Retries, "a" + std::to_string(i % 7), "r");
                recorded.observe(timing::QueueWait, "a", "r", std::chrono::milliseconds(i % 300));
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    const metric_snapshot total = recorded.snapshot();
    std::uint64_t retries = 0;
    for (const auto &[labels, value] : total.counters.at(counter::Retries))
        retries += value;
    BOOST_TEST(retries == 4 * PerThread);
    const timing_value &waits = total.timings.at(timing::QueueWait).at({ "a", "r", "" });
    BOOST_TEST(observationCount(waits) == 4 * PerThread);
}

// Guards against memory and text that grow with the number of accounts or routes seen.
BOOST_AUTO_TEST_CASE(labelValuesAreBounded)
{
    metrics_options options;
    options.maxAccounts = 10;
    options.maxRoutes = 3;
    options.maxSeries = 20;
    metrics recorded(options);
    for (int i = 0; i < 5000; ++i) {
        recorded.add(counter::Resumes, "account" + std::to_string(i % 500),
                     "route" + std::to_string(i % 70));
    }
    const metric_snapshot all = recorded.snapshot();
    const counter_series &series = all.counters.at(counter::Resumes);
    std::uint64_t total = 0;
    for (const auto &[labels, value] : series)
        total += value;
    BOOST_TEST(series.size() <= 21U);
    BOOST_TEST(total == 5000U);
}

// Guards against a format that usual collectors cannot read.
BOOST_AUTO_TEST_CASE(textHasTheUsualForm)
{
    metrics recorded;
    recorded.addRefusal(refusal_reason::OverRate, "a\"b", "chat");
    recorded.observe(timing::TimeToFirstToken, "x", "chat", std::chrono::milliseconds(2));
    const std::string text = formatMetrics(recorded.snapshot());
    const std::vector<std::string> expected{
        "# HELP burdockhold_refusals_total Refused requests by reason.\n",
        "# TYPE burdockhold_refusals_total counter\n",
        "burdockhold_refusals_total{account=\"a\\\"b\",route=\"chat\",reason=\"over_rate\"} 1\n",
        "# TYPE burdockhold_time_to_first_token_seconds histogram\n",
        "_seconds_bucket{account=\"x\",route=\"chat\",le=\"0.00199526\"} 0\n",
        "_seconds_bucket{account=\"x\",route=\"chat\",le=\"+Inf\"} 1\n",
        "_seconds_sum{account=\"x\",route=\"chat\"} 0.002000000\n",
        "_seconds_count{account=\"x\",route=\"chat\"} 1\n",
    };
    for (const std::string &line : expected)
        BOOST_TEST(text.find(line) != std::string::npos, line << " not in\n" << text);
}

// Guards against a tool that takes damaged text for measures.
BOOST_AUTO_TEST_CASE(damagedTextIsRefused)
{
    const std::string prefix = "burdockhold_";
    const std::vector<std::string> damaged{
        prefix + "retries_total{account=\"a} 1\n",
        prefix + "retries_total{account=\"a\"}\n",
        prefix + "retries_total{account=\"a\"} 1.5\n",
        prefix + "retries_total{colour=\"a\"} 1\n",
        prefix + "queue_wait_seconds_bucket{le=\"7\"} 1\n",
        prefix + "queue_wait_seconds_bucket{le=\"0.00125893\"} 1\n",
    };
    for (const std::string &text : damaged)
        BOOST_TEST(!isOk(parseMetrics(text)), text);
    BOOST_TEST(isOk(parseMetrics("# comment\nother_family{x=\"y\"} 3.5\n")));
}

// Guards against a threshold inside a bucket that counts the bucket wholly or not at all.
BOOST_AUTO_TEST_CASE(thresholdIsInterpolatedWithinItsBucket)
{
    timing_value value;
    value.counts[9] = 100;
    const double middle = (timingBound(8) + timingBound(9)) / 2;
    BOOST_TEST(observationsBelow(value, middle) == 50.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(observationsBelow(value, timingBound(8)) == 0.0);
    BOOST_TEST(observationsBelow(value, 1000.0) == 100.0);
}
