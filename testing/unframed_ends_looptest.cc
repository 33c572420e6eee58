#define BOOST_TEST_MODULE unframed_ends_loop
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>

using namespace burdockhold::testing;

namespace {

/// Engines whose answers have neither length nor chunks. The first engine that is called may
/// terminate after its answer, of which it may have sent a part only.
struct fixture : router_fixture
{
    void answerFirst(const std::string &body, bool terminates)
    {
        setEngineBehaviour([this, body, terminates](const std::string &name,
                                                    const recorded_request &call,
                                                    response_socket &socket) {
            const bool isFirst = callCount() == 1;
            if (isFirst && terminates)
                (name == "e1" ? first : second).stopListening();
            const int lastEvent = call.field("Last-Event-Id").empty() ? 0 : 2;
            socket.write(responseHead(call, "Content-Type: text/event-stream\r\nConnection: close")
                         + (isFirst ? body : events(lastEvent + 1, 4)));
            return false;
        });
    }

    std::string received(const std::string &path)
    {
        test_caller caller(router->callerAddress());
        caller.send(request(path, "key-1", "Connection: close\r\n"));
        std::string text = caller.readUntil("never sent", WaitLimitMs);
        BOOST_TEST(caller.closedByPeer());
        return text;
    }
};

} // namespace

// Guards against a stream that ends as complete although its engine has terminated: the system
// closes its connection in order.
BOOST_FIXTURE_TEST_CASE(streamOfAnEngineThatTerminatesIsNotComplete, fixture)
{
    answerFirst(events(1, 2), true);
    const received_stream stream = decodeStream(received("/once/"));
    BOOST_TEST(stream.body == events(1, 2));
    BOOST_TEST(!stream.complete);
    BOOST_TEST(waitForLog(R"("end":"broken")"));
}

// Guards against a resumable stream that such an end completes.
BOOST_FIXTURE_TEST_CASE(streamOfAnEngineThatTerminatesGoesOnElsewhere, fixture)
{
    answerFirst(events(1, 2), true);
    const received_stream stream = decodeStream(received("/resume/"));
    BOOST_TEST(stream.body == events(1, 4));
    BOOST_TEST(stream.complete);
}

// Guards against a payment whose answer is cut short so and is delivered as a success.
BOOST_FIXTURE_TEST_CASE(answerOfAnEngineThatTerminatesIsNotDelivered, fixture)
{
    answerFirst("pai", true);
    BOOST_TEST(received("/pay/").rfind("HTTP/1.1 502", 0) == 0U);
    BOOST_TEST(callCount() == 1U);
}

// Guards against answers without a length that are lost although their engine goes on.
BOOST_FIXTURE_TEST_CASE(answersOfAnEngineThatGoesOnAreComplete, fixture)
{
    answerFirst(events(1, 2), false);
    const received_stream stream = decodeStream(received("/once/"));
    BOOST_TEST(stream.body == events(1, 2));
    BOOST_TEST(stream.complete);
    const std::string answer = received("/pay/");
    BOOST_TEST(answer.rfind("HTTP/1.1 200", 0) == 0U);
    BOOST_TEST(answer.find(events(1, 4)) != std::string::npos);
}
