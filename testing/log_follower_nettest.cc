#define BOOST_TEST_MODULE log_follower
#include <boost/test/unit_test.hpp>

#include "burdockhold/config_follower.h"

#include <boost/asio.hpp>
#include <cpprest/http_listener.h>

#include <atomic>
#include <functional>

using namespace burdockhold;
using namespace std::chrono_literals;

namespace http = web::http;

namespace {

/// Returns a loopback URL whose port was free a moment ago.
std::string freeUrl()
{
    using tcp = boost::asio::ip::tcp;
    boost::asio::io_context context;
    const tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    const tcp::acceptor acceptor(context, any);
    return "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// The log service of the design page's section 5 in one process, one stream, with faults.
class fake_log
{
public:
    fake_log()
        : url(freeUrl())
    {
        open();
    }

    ~fake_log() { close(); }

    void open()
    {
        m_listener = std::make_unique<http::experimental::listener::http_listener>(url);
        m_listener->support([this](const http::http_request &request) { serve(request); });
        m_listener->open().wait();
    }

    void close()
    {
        if (m_listener)
            m_listener->close().wait();
        m_listener.reset();
    }

    void add(const std::string &data)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_records.push_back({ m_records.size() + 1, now, data });
    }

    std::size_t size() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_records.size();
    }

    const std::string url;
    std::atomic<log_offset> earliest{ 1 };
    std::atomic<log_time_ms> now{ 1000 };
    std::atomic<int> failures{ 0 };    ///< Reads to answer with 500.
    std::atomic<int> lostAnswers{ 0 }; ///< Appends to carry out and answer too late.
    std::atomic<int> refusals{ 0 };    ///< Appends to refuse with 413.
    std::atomic<int> reads{ 0 };

private:
    void serve(const http::http_request &request)
    {
        if (request.method() == http::methods::POST)
            return serveAppend(request);
        ++reads;
        serveRead(request);
    }

    void serveAppend(const http::http_request &request)
    {
        if (refusals > 0) {
            --refusals;
            request.reply(http::status_codes::RequestEntityTooLarge);
            return;
        }
        const auto body = request.extract_json(true).get();
        const auto &records = body.at("records").as_array();
        const std::size_t first = size() + 1;
        for (const auto &record : records)
            add(record.as_string());
        if (lostAnswers > 0) {
            --lostAnswers;
            request.reply(http::status_codes::InternalError);
            return;
        }
        web::json::value answer;
        answer["first_offset"] = web::json::value::number(std::uint64_t(first));
        answer["count"] = web::json::value::number(std::uint64_t(records.size()));
        request.reply(http::status_codes::OK, answer);
    }

    void serveRead(const http::http_request &request)
    {
        const auto query = web::uri::split_query(request.request_uri().query());
        const log_offset from = std::stoull(query.at("from"));
        const int waitMs = std::stoi(query.at("wait_ms"));
        if (failures > 0) {
            --failures;
            request.reply(http::status_codes::InternalError);
            return;
        }
        web::json::value answer;
        answer["earliest"] = web::json::value::number(std::uint64_t(earliest));
        if (from < earliest) {
            request.reply(http::status_codes::Gone, answer);
            return;
        }
        for (int waited = 0; waited < waitMs && size() < from; ++waited)
            std::this_thread::sleep_for(1ms);
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::size_t limit = std::stoull(query.at("limit"));
        answer["next"] = web::json::value::number(std::uint64_t(m_records.size() + 1));
        answer["now_ms"] = web::json::value::number(std::int64_t(now));
        answer["records"] = web::json::value::array();
        auto &list = answer["records"].as_array();
        for (std::size_t i = from - 1; i < m_records.size() && list.size() < limit; ++i) {
            auto &item = list[list.size()];
            item["offset"] = web::json::value::number(std::uint64_t(m_records[i].offset));
            item["time_ms"] = web::json::value::number(std::int64_t(m_records[i].time));
            item["data"] = web::json::value::string(m_records[i].data);
        }
        request.reply(http::status_codes::OK, answer);
    }

    mutable std::mutex m_mutex;
    std::vector<log_record> m_records;
    std::unique_ptr<http::experimental::listener::http_listener> m_listener;
};

std::string classRecord(const std::string &id, const std::string &name, log_offset base,
                        int priority)
{
    const std::string value = R"({"owner":"o","priority":)" + std::to_string(priority) + "}";
    return formatRecord(
            { id, change_record{ { { { entry_kind::ServiceClass, name }, base, value } } } });
}

config_follower_options quickOptions(const fake_log &log)
{
    config_follower_options options;
    options.follow.log.url = log.url;
    options.follow.wait = 20ms;
    options.follow.limit = 3;
    options.follow.firstDelay = 1ms;
    options.follow.maxDelay = 10ms;
    return options;
}

/// Waits for a condition. The limit only ends a test that fails.
bool eventually(const std::function<bool()> &holds)
{
    constexpr int MaxMilliseconds = 60000;
    for (int i = 0; i < MaxMilliseconds && !holds(); ++i)
        std::this_thread::sleep_for(1ms);
    return holds();
}

bool reaches(const blackboard &board, log_offset offset)
{
    return eventually([&]() { return board.config.read()->offset >= offset; });
}

} // namespace

// Guards against a client that takes a lost answer for a refusal or the reverse: the first would
// report "not applied" for a change that took effect.
BOOST_AUTO_TEST_CASE(clientTellsNotAppliedFromUnknown)
{
    fake_log log;
    const log_client client({ log.url });
    const auto append = [&]() { return client.append("config", { "a", "b" }).get(); };
    const auto answer = append();
    BOOST_REQUIRE(isOk(answer));
    BOOST_TEST(valueOf(answer).firstOffset == 1U);
    log.lostAnswers = 1;
    const auto lost = append();
    BOOST_REQUIRE(!isOk(lost));
    BOOST_TEST((errorOf(lost).code == log_error::Unknown));
    BOOST_TEST(log.size() == 4U);
    log.refusals = 1;
    const auto refused = append();
    BOOST_REQUIRE(!isOk(refused));
    BOOST_TEST((errorOf(refused).code == log_error::NotApplied));
    log.close();
    const auto unreachable = append();
    BOOST_REQUIRE(!isOk(unreachable));
    BOOST_TEST((errorOf(unreachable).code == log_error::NotApplied));
    BOOST_TEST(log.size() == 4U);
}

// Guards against a call that never ends when the service accepts connections but does not answer,
// and against a timeout that is reported as "not applied".
BOOST_AUTO_TEST_CASE(clientTimesOutWithUnknown)
{
    using tcp = boost::asio::ip::tcp;
    boost::asio::io_context context;
    const tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    const tcp::acceptor silent(context, any);
    log_client_options options;
    options.url = "http://127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    options.appendTimeout = 50ms;
    options.readTimeout = 50ms;
    const log_client client(options);
    const auto append = client.append("config", { "a" }).get();
    BOOST_REQUIRE(!isOk(append));
    BOOST_TEST((errorOf(append).code == log_error::Unknown));
    BOOST_TEST(!isOk(client.read("config", 1, 1, 0ms).get()));
    pplx::cancellation_token_source source;
    options.readTimeout = 60s;
    const auto read = log_client(options).read("config", 1, 1, 0ms, source.get_token());
    source.cancel();
    const auto cancelled = read.get();
    BOOST_REQUIRE(!isOk(cancelled));
    BOOST_TEST((errorOf(cancelled).code == log_error::Cancelled));
}

// Guards against a follower that loses, repeats or reorders records when the log is away, and
// against freshness that is claimed while the log is away.
BOOST_AUTO_TEST_CASE(followerSurvivesOutages)
{
    fake_log log;
    for (int i = 0; i < 10; ++i)
        log.add(classRecord("id" + std::to_string(i), "c" + std::to_string(i), 0, i));
    log.failures = 3;
    blackboard board;
    config_follower follower(quickOptions(log), board);
    BOOST_REQUIRE(reaches(board, 10));
    BOOST_TEST(board.config.read()->classes.size() == 10U);
    BOOST_TEST(follower.status().errors >= 3U);
    log.close();
    const auto errors = follower.status().errors;
    BOOST_REQUIRE(eventually([&]() { return follower.status().errors > errors + 2; }));
    const time_point before = steadyNow();
    log.add(classRecord("x", "c0", 1, 9));
    BOOST_TEST((board.freshness.read()->asOf < before));
    log.open();
    BOOST_REQUIRE(reaches(board, 11));
    BOOST_TEST(board.config.read()->classes.at("c0").version == 11U);
    BOOST_REQUIRE(eventually([&]() { return board.freshness.read()->asOf > before; }));
    BOOST_TEST((follower.outcomeOf("x")->kind == outcome_kind::Applied));
    BOOST_TEST(follower.status().counts.duplicates == 0U);
}

// Guards against a VM that serves an empty or a partial catalogue after its position has fallen out
// of retention.
BOOST_AUTO_TEST_CASE(followerRebuildsAfterRetention)
{
    fake_log log;
    replay writer;
    const auto add = [&](const std::string &data) {
        log.add(data);
        writer.apply({ log.size(), 1000, data });
    };
    for (int i = 0; i < 5; ++i)
        add(classRecord("id" + std::to_string(i), "c" + std::to_string(i), 0, i));
    blackboard board;
    config_follower follower(quickOptions(log), board);
    BOOST_REQUIRE(reaches(board, 5));
    log.close();
    add(classRecord("lost", "c0", 1, 9));
    add(classRecord("kept", "c1", 2, 9));
    log.earliest = 7;
    log.open();
    BOOST_REQUIRE(eventually([&]() { return follower.status().incomplete; }));
    BOOST_TEST(board.config.read()->offset == 5U);
    for (const config_record &part : writer.makeRefresh("r"))
        add(formatRecord(part));
    BOOST_REQUIRE(reaches(board, 8));
    BOOST_TEST(board.config.read()->classes.size() == 5U);
    BOOST_TEST(board.config.read()->classes.at("c0").version == 6U);
    BOOST_TEST(board.config.read()->classes.at("c1").version == 7U);
    BOOST_TEST(!follower.status().rebuilding);
}

// Guards against entries that fall out of retention because no VM refreshes them, and against a
// refresh that is appended over and over.
BOOST_AUTO_TEST_CASE(followerAppendsARefreshWhenDue)
{
    fake_log log;
    log.add(classRecord("1", "x", 0, 1));
    config_follower_options options = quickOptions(log);
    options.retention = 10s;
    blackboard board;
    config_follower follower(options, board);
    BOOST_REQUIRE(reaches(board, 1));
    BOOST_TEST(log.size() == 1U);
    log.now = 8000;
    BOOST_REQUIRE(reaches(board, 2));
    const int reads = log.reads;
    BOOST_REQUIRE(eventually([&]() { return log.reads > reads + 3; }));
    BOOST_TEST(log.size() == 2U);
    log.earliest = 2;
    blackboard laterBoard;
    const config_follower later(quickOptions(log), laterBoard);
    BOOST_REQUIRE(reaches(laterBoard, 2));
    BOOST_TEST(laterBoard.config.read()->classes.at("x").version == 1U);
}

// Guards against VMs that retry in step after an outage, and against delays without a bound.
BOOST_AUTO_TEST_CASE(retryDelaysGrowToABound)
{
    const log_follower_options options;
    std::mt19937 random(7);
    for (unsigned attempt = 0; attempt < 100; ++attempt) {
        const duration delay = retryDelay(options, attempt, random);
        BOOST_TEST((delay <= options.maxDelay));
        BOOST_TEST((delay >= options.firstDelay / 2));
    }
    BOOST_TEST((retryDelay(options, 50, random) >= options.maxDelay / 2));
    BOOST_TEST((retryDelay(options, 0, random) <= options.firstDelay));
}
