#define BOOST_TEST_MODULE response_statuses_loop
#include "burdockhold/http_client_connection.h"
#include "testing/support_router.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace burdockhold;
using namespace burdockhold::testing;
using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds SilenceLimit(1500);

/// What the server does after the response with the status.
enum class afterwards { Silence, Close, OtherResponse };

constexpr std::array AllAfterwards{ afterwards::Silence, afterwards::Close,
                                    afterwards::OtherResponse };

const std::vector<std::string> framings{ "Connection: close\r\n\r\n",
                                         "Connection: close\r\n\r\nbody",
                                         "Content-Length: 0\r\n\r\n",
                                         "Content-Length: 4\r\n\r\nbody",
                                         "Content-Length: 4\r\n\r\nbo",
                                         "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                                         "Transfer-Encoding: chunked\r\n\r\n4\r\nbo" };

struct call_result
{
    std::string end = "none";  ///< Still "none" if the call had not ended at the limit.
    std::vector<int> statuses; ///< Of the heads that the owner got.
};

/// Returns how a call ends whose server sends the response and then does what is given.
call_result resultOf(const std::string &response, afterwards next)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    std::thread server([&] {
        tcp::socket socket = acceptor.accept();
        boost::system::error_code error;
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        const std::string other = next == afterwards::OtherResponse
                                          ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
                                          : "";
        boost::asio::write(socket, boost::asio::buffer(response + other), error);
        if (next != afterwards::Close)
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "never", error);
    });
    auto connection = std::make_shared<http_client_connection>(context, acceptor.local_endpoint());
    call_result result;
    connection->call("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
                     { [&](const response_message &head) {
                          result.statuses.push_back(static_cast<int>(head.result_int()));
                          return true;
                      },
                       [](std::string_view) {},
                       [&](http_outcome end) {
                           result.end = nameOf(end);
                           BOOST_TEST((end == http_outcome::Complete || !connection->isReusable()));
                       } });
    context.run_for(SilenceLimit);
    connection->close();
    context.restart();
    context.run();
    server.join();
    return result;
}

} // namespace

// Guards against a status that is none: taken for an interim response, the next response on the
// connection counts as the answer; taken for a final one, the caller gets it.
BOOST_AUTO_TEST_CASE(statusThatIsNoneEndsTheCallAtOnce)
{
    for (const char *status : { "000", "001", "042", "099", "600", "700", "999", "20", "2", "2000",
                                "0200", "+20", "-20", "+200", "-200", "2x0", "", " 200" }) {
        for (const std::string &framing : framings) {
            for (const afterwards next : AllAfterwards) {
                const call_result result = resultOf(
                        "HTTP/1.1 " + std::string(status) + " Text\r\n" + framing, next);
                BOOST_TEST_CONTEXT("status '" << status << "', " << framing << ", then "
                                              << static_cast<int>(next))
                {
                    BOOST_TEST(result.end == "malformed");
                    BOOST_TEST(result.statuses.empty());
                }
            }
        }
    }
}

// Guards against an interim response that counts as the answer, and against one that hides it.
BOOST_AUTO_TEST_CASE(interimResponsesAreNoAnswers)
{
    for (const char *status : { "100", "102", "103", "150", "199" }) {
        const std::string interim = "HTTP/1.1 " + std::string(status) + " Text\r\n\r\n";
        const call_result answered = resultOf(interim, afterwards::OtherResponse);
        BOOST_TEST(answered.end == "complete", status);
        BOOST_TEST((answered.statuses == std::vector<int>{ 200 }), status);
        BOOST_TEST(resultOf(interim, afterwards::Close).end == "broken", status);
    }
    BOOST_TEST(resultOf("HTTP/1.1 100 Continue\r\n\r\n", afterwards::Silence).end == "none");
}

// Guards against such a status that reaches a caller, and against an unsafe request that is sent
// again after one: it may have run.
BOOST_FIXTURE_TEST_CASE(callersGetNoStatusThatIsNone, router_fixture)
{
    for (const char *status : { "000", "099", "600", "999", "20", "2000" }) {
        for (const std::string &framing : framings) {
            setEngineBehaviour([&](const std::string &, const recorded_request &call,
                                   response_socket &socket) {
                socket.write("HTTP/1.1 " + std::string(status)
                             + " Text\r\nX-Burdockhold-Attempt-Id: "
                             + call.field("X-Burdockhold-Attempt-Id")
                             + "\r\nX-Burdockhold-Server-Stamp: s1\r\n" + framing);
                return false;
            });
            for (const char *path : { "/safe/", "/pay/", "/resume/", "/once/" }) {
                const std::size_t before = callCount();
                const std::string response = exchangeRequest(request(path));
                BOOST_TEST_CONTEXT(path << " " << status << " " << framing << " " << response)
                {
                    BOOST_TEST(response.rfind("HTTP/1.1 502", 0) == 0U);
                    BOOST_TEST((path != std::string("/pay/") || callCount() == before + 1));
                }
            }
        }
    }
}

// Guards against a response with such a status that hides the one behind it on its connection.
BOOST_FIXTURE_TEST_CASE(responseBehindSuchAStatusIsNotDelivered, router_fixture)
{
    setEngineBehaviour(
            [](const std::string &, const recorded_request &call, response_socket &socket) {
                return socket.write("HTTP/1.1 000 Text\r\nContent-Length: 0\r\n\r\n"
                                    + completeResponse(call, "behind"));
            });
    BOOST_TEST(exchangeRequest(request("/pay/")).rfind("HTTP/1.1 502", 0) == 0U);
    BOOST_TEST(callCount() == 1U);
}
