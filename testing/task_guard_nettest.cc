#define BOOST_TEST_MODULE task_guard
#include <boost/test/unit_test.hpp>

#include "burdockhold/admin_server.h"
#include "burdockhold/load_controller.h"
#include "burdockhold/task_guard.h"
#include "burdockhold/upstream.h"
#include "testing/support_address.h"
#include "testing/support_fleet.h"
#include "testing/support_http.h"

#include <atomic>
#include <functional>
#include <future>
#include <thread>

using namespace burdockhold;

namespace {

/// Only ends a test that would hang.
constexpr std::chrono::seconds WaitLimit(30);

bool eventually(const std::function<bool()> &holds)
{
    const time_point limit = steadyNow() + WaitLimit;
    while (!holds() && steadyNow() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    return holds();
}

enum class call_step { None, Headers, Bytes, End };

class throwing_observer : public upstream_observer
{
public:
    explicit throwing_observer(call_step step)
        : m_step(step)
    {
    }

    void onHeaders(const upstream_response & /*response*/) override { throwIn(call_step::Headers); }
    bool onBytes(std::string_view /*bytes*/) override
    {
        throwIn(call_step::Bytes);
        return true;
    }
    void onEnd(const std::optional<upstream_failure> &failure) override
    {
        ++ends;
        failed = failure.has_value();
        throwIn(call_step::End);
    }

    std::atomic<int> ends{ 0 };
    std::atomic<bool> failed{ false };

private:
    void throwIn(call_step step) const
    {
        if (step == m_step)
            throw std::runtime_error("thrown by the test");
    }

    call_step m_step;
};

} // namespace

// Guards against an exception that passes the guard, or is not counted.
BOOST_AUTO_TEST_CASE(everyExceptionIsCaughtAndCounted)
{
    const std::uint64_t before = caughtExceptions();
    BOOST_TEST(runStep("test", "", [] {}));
    BOOST_TEST(!runStep("test", "id", [] { throw std::runtime_error("text"); }));
    BOOST_TEST(!runStep("test", "", [] { throw 1; }));
    BOOST_TEST(!runStep("test", "", [] { throw std::runtime_error("\xff is no UTF-8"); }));
    BOOST_TEST(caughtExceptions() == before + 3);
}

// Guards against an observer's exception that ends the process, and against a call that never ends
// or ends twice because of it.
BOOST_AUTO_TEST_CASE(exceptionOfAnObserverEndsOnlyItsCall)
{
    const auto engine = testing::startStandin(BURDOCKHOLD_BINARY_DIR, "engine");
    upstream_clients clients({});
    for (const call_step step :
         { call_step::Headers, call_step::Bytes, call_step::End, call_step::None }) {
        const std::uint64_t before = caughtExceptions();
        const auto observer = std::make_shared<throwing_observer>(step);
        upstream_request request;
        request.url = engine.url;
        request.path = "/v1/completions";
        request.method = "POST";
        request.body = R"({"model":"base","prompt":"p","max_tokens":2,"stream":true})";
        upstream_clients::startCall(clients.prepareCall(request, observer));
        BOOST_TEST(eventually([&] { return observer.use_count() == 1; }));
        BOOST_TEST(observer->ends == 1);
        BOOST_TEST(observer->failed == (step == call_step::Headers || step == call_step::Bytes));
        BOOST_TEST(caughtExceptions() == before + (step == call_step::None ? 0 : 1));
    }
}

// Guards against an exception in the report of a poll that ends the process or the polling.
BOOST_AUTO_TEST_CASE(exceptionOfAPollListenerEndsOnlyItsPoll)
{
    const auto engine = testing::startStandin(BURDOCKHOLD_BINARY_DIR, "engine");
    blackboard board;
    catalogue config;
    config.offset = 1;
    config.endpoints["e1"].value.url = engine.url;
    board.config.publish(config);
    std::atomic<int> polls{ 0 };
    load_controller_options options;
    options.interval = std::chrono::milliseconds(20);
    load_controller loads(options, board, [&](const std::string &, const poll_result &) {
        ++polls;
        throw std::runtime_error("thrown by the test");
    });
    BOOST_TEST(eventually([&] { return polls >= 3; }));
    loads.stop();
}

// Guards against a page of the operators' listener that ends the process.
BOOST_AUTO_TEST_CASE(exceptionOfAPageEndsOnlyItsRequest)
{
    const std::string address = testing::reserveAddress("http://");
    const std::uint64_t before = caughtExceptions();
    admin_server server(address,
                        { { "GET", "/throws", [](const std::string &) -> admin_reply { throw 1; } },
                          { "GET", "/good", [](const std::string &) -> admin_reply {
                               return { 200, "text/plain", "ok" };
                           } } });
    BOOST_REQUIRE(isOk(server.start()));
    testing::http_connection thrown(address, std::chrono::seconds(1));
    thrown.sendRequest("GET", "/throws");
    BOOST_TEST(eventually([&] { return caughtExceptions() == before + 1; }));
    thrown.close();
    BOOST_TEST(testing::httpCall(address, "GET", "/good").status == 200);
}
