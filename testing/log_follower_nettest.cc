#define BOOST_TEST_MODULE log_follower
#include <boost/test/unit_test.hpp>

#include "burdockhold/config_follower.h"
#include "burdockhold/task_guard.h"
#include "testing/support_mutation.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>

using namespace burdockhold;
using namespace std::chrono_literals;

namespace {

using boost::asio::ip::tcp;

/// The log service of the design page's section 5 in one thread, one stream, one request on each
/// connection, with faults. It is written on sockets because closing cpprest's listener while
/// requests arrive crashed this test.
class fake_log
{
public:
    fake_log()
        : m_acceptor(m_context, { boost::asio::ip::address_v4::loopback(), 0 })
        , url("http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()))
        , m_thread([this]() { run(); })
    {
    }

    ~fake_log()
    {
        m_stopped = true;
        m_thread.join();
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

private:
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;

public:
    const std::string url;
    std::atomic<log_offset> earliest{ 1 };
    std::atomic<log_time_ms> now{ 1000 };
    std::atomic<bool> down{ false };   ///< Close every connection without an answer.
    std::atomic<int> failures{ 0 };    ///< Reads to answer with 500.
    std::atomic<int> lostAnswers{ 0 }; ///< Appends to carry out without an answer.
    std::atomic<int> refusals{ 0 };    ///< Appends to refuse with 413.
    std::atomic<int> reads{ 0 };
    std::atomic<int> mutations{ 0 }; ///< Answers to reads to mutate.

private:
    using json = nlohmann::json;

    void run()
    {
        m_acceptor.non_blocking(true);
        while (!m_stopped) {
            boost::system::error_code error;
            tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (error) {
                std::this_thread::sleep_for(1ms);
                continue;
            }
            socket.non_blocking(false);
            serve(socket);
        }
    }

    void serve(tcp::socket &socket)
    {
        boost::system::error_code error;
        boost::asio::streambuf buffer;
        const std::size_t size = boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
        if (error || down)
            return;
        const auto *data = static_cast<const char *>(buffer.data().data());
        const std::string head(data, size);
        buffer.consume(size);
        const std::string mark = "Content-Length:";
        const auto at = head.find(mark);
        const std::size_t length = at == std::string::npos
                                           ? 0
                                           : std::stoul(head.substr(at + mark.size()));
        if (length > buffer.size())
            boost::asio::read(socket, buffer, boost::asio::transfer_exactly(length - buffer.size()),
                              error);
        const std::string body(static_cast<const char *>(buffer.data().data()), length);
        std::string answer = head.substr(0, 4) == "POST" ? append(body) : read(head);
        if (head.substr(0, 4) != "POST" && mutations > 0) {
            --mutations;
            answer = burdockhold::testing::mutated(answer, m_random);
        }
        boost::asio::write(socket, boost::asio::buffer(answer), error);
    }

    static std::string response(const std::string &status, const json &body)
    {
        const std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace);
        return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nConnection: close"
               + "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    }

    std::string append(const std::string &body)
    {
        if (refusals > 0) {
            --refusals;
            return response("413 Too Large", json::object());
        }
        const json records = json::parse(body)["records"];
        const std::size_t first = size() + 1;
        for (const auto &record : records)
            add(record.get<std::string>());
        if (lostAnswers > 0) {
            --lostAnswers;
            return {};
        }
        return response("200 OK", { { "first_offset", first }, { "count", records.size() } });
    }

    static std::size_t parameter(const std::string &head, const std::string &name)
    {
        const auto at = head.find(name + "=");
        return at == std::string::npos ? 0 : std::stoul(head.substr(at + name.size() + 1));
    }

    std::string read(const std::string &head)
    {
        ++reads;
        if (failures > 0) {
            --failures;
            return response("500 Failed", json::object());
        }
        const log_offset from = parameter(head, "from");
        if (from < earliest)
            return response("410 Gone", { { "earliest", earliest.load() } });
        const std::size_t waitMs = parameter(head, "wait_ms");
        for (std::size_t waited = 0; waited < waitMs && size() < from; ++waited)
            std::this_thread::sleep_for(1ms);
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (down)
            return {};
        const std::size_t limit = parameter(head, "limit");
        json list = json::array();
        for (std::size_t i = from - 1; i < m_records.size() && list.size() < limit; ++i)
            list.push_back({ { "offset", m_records[i].offset },
                             { "time_ms", m_records[i].time },
                             { "data", m_records[i].data } });
        return response("200 OK", { { "earliest", earliest.load() },
                                    { "next", m_records.size() + 1 },
                                    { "now_ms", now.load() },
                                    { "records", list } });
    }

    mutable std::mutex m_mutex;
    std::vector<log_record> m_records;
    std::mt19937 m_random{ 3 };
    std::atomic<bool> m_stopped{ false };
    std::thread m_thread;
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

/// Throws at one record, one page and one tail.
class throwing_reader : public stream_reader
{
public:
    void onPage(const log_page & /*page*/) override
    {
        if (++m_pages == 1)
            throw std::runtime_error("page");
    }
    void onRecord(const log_record &record) override
    {
        if (record.offset == 2)
            throw 2; // Not a std::exception.
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_offsets.push_back(record.offset);
    }
    void onTail(time_point /*asOf*/, const log_page & /*page*/) override
    {
        if (++m_tails == 1)
            throw std::runtime_error("tail");
    }
    void onRestart(log_offset /*earliest*/) override { }
    void onSkipped(const log_record &record) override { skipped = record.offset; }
    void onError(const basic_error<log_error> & /*error*/, duration /*retryAfter*/) override { }

    std::vector<log_offset> offsets() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_offsets;
    }
    int tails() const { return m_tails; }

    std::atomic<log_offset> skipped{ 0 };

private:
    mutable std::mutex m_mutex;
    std::vector<log_offset> m_offsets;
    std::atomic<int> m_pages{ 0 };
    std::atomic<int> m_tails{ 0 };
};

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
    std::string unusedUrl;
    {
        const fake_log gone;
        unusedUrl = gone.url;
    }
    const auto unreachable = log_client({ unusedUrl }).append("config", { "a" }).get();
    BOOST_REQUIRE(!isOk(unreachable));
    BOOST_TEST((errorOf(unreachable).code == log_error::NotApplied));
    BOOST_TEST(log.size() == 4U);
}

// Guards against a call that never ends when the service accepts connections but does not answer,
// and against a timeout that is reported as "not applied".
BOOST_AUTO_TEST_CASE(clientTimesOutWithUnknown)
{
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
    log.down = true;
    const auto errors = follower.status().errors;
    BOOST_REQUIRE(eventually([&]() { return follower.status().errors > errors + 2; }));
    const time_point before = steadyNow();
    log.add(classRecord("x", "c0", 1, 9));
    BOOST_TEST((board.freshness.read()->asOf < before));
    log.down = false;
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
    log.down = true;
    // The read that was waiting must have ended, or it would return the records added now.
    BOOST_REQUIRE(eventually([&]() { return follower.status().errors > 0; }));
    add(classRecord("lost", "c0", 1, 9));
    add(classRecord("kept", "c1", 2, 9));
    log.earliest = 7;
    log.down = false;
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

// Guards against an exception in the handling of a record, a page or the tail that ends the process
// or the following, or hides that a record is missing.
BOOST_AUTO_TEST_CASE(exceptionOfTheReaderEndsOnlyItsRound)
{
    fake_log log;
    for (int i = 0; i < 5; ++i)
        log.add("r");
    throwing_reader reader;
    log_follower_options options = quickOptions(log).follow;
    options.stream = "config";
    const std::uint64_t before = caughtExceptions();
    log_follower follower(options, reader);
    BOOST_REQUIRE(eventually([&]() { return reader.tails() >= 2; }));
    log.add("r");
    BOOST_REQUIRE(eventually([&]() { return reader.offsets().size() >= 5U; }));
    BOOST_TEST((reader.offsets() == std::vector<log_offset>{ 1, 3, 4, 5, 6 }));
    BOOST_TEST(reader.skipped == 2U);
    BOOST_TEST(caughtExceptions() == before + 3);
}

// Guards against a record or an answer of the log that ends the process or the following: seeded
// mutations of both.
BOOST_AUTO_TEST_CASE(mutatedRecordsAndAnswersDoNotEndTheFollowing)
{
    constexpr int Records = 2000;
    fake_log log;
    std::mt19937 random(4);
    const std::string withdrawal = formatRecord(
            { "w", key_withdraw_record{ std::string(64, 'a') } });
    for (int i = 0; i < Records; ++i)
        log.add(testing::mutated(i % 2 == 0 ? classRecord("id", "c", 0, 1) : withdrawal, random));
    log.add(classRecord("last", "last", 0, 1));
    log.mutations = 300;
    blackboard board;
    config_follower_options options = quickOptions(log);
    options.follow.limit = 10;
    options.follow.log.readTimeout = 50ms;
    config_follower follower(options, board);
    BOOST_REQUIRE(eventually([&]() { return log.mutations == 0; }));
    BOOST_REQUIRE(reaches(board, Records + 1));
    BOOST_TEST(board.config.read()->classes.count("last") == 1U);
}

// Guards against a view that is published as current although the handling of a record, which may
// withdraw a key, has failed.
BOOST_AUTO_TEST_CASE(viewWithASkippedRecordIsNotPublished)
{
    class throwing_listener : public config_listener
    {
    public:
        void onConfigRecord(const log_record &record) override
        {
            if (record.offset == 2)
                throw std::runtime_error("thrown by the test");
        }
        void onConfigRestart(log_offset /*earliest*/) override { }
    };
    fake_log log;
    log.add(classRecord("1", "a", 0, 1));
    throwing_listener listener;
    config_follower_options options = quickOptions(log);
    options.listener = &listener;
    blackboard board;
    config_follower follower(options, board);
    BOOST_REQUIRE(reaches(board, 1));
    log.add(classRecord("2", "b", 0, 1));
    BOOST_REQUIRE(eventually([&]() { return follower.status().errors > 0; }));
    const time_point asOf = follower.freshness().asOf;
    const int reads = log.reads;
    log.add(classRecord("3", "c", 0, 1));
    BOOST_REQUIRE(eventually([&]() { return log.reads > reads + 3; }));
    BOOST_TEST(board.config.read()->offset == 1U);
    BOOST_TEST((follower.freshness().asOf == asOf));
}
