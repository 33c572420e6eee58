#define BOOST_TEST_MODULE cut_heads_loop
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <string>
#include <vector>

using namespace burdockhold::testing;

namespace {

using fixture = router_fixture;

constexpr char Chunked[] = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";

/// A response that an engine breaks off before a place in it, in order or by a reset.
struct cut_response
{
    std::string text;
    std::size_t cut = 0;
    bool isReset = false;
};

/// Writes the response up to its cut, in two pieces so that a head can arrive divided.
bool writeCut(const cut_response &response, response_socket &socket)
{
    const std::size_t half = response.cut / 2;
    socket.write(response.text.substr(0, half));
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    socket.write(response.text.substr(half, response.cut - half));
    if (response.isReset)
        socket.reset();
    return false;
}

/// Returns the places within the first bytes of the text, about as many as asked for, the last one
/// among them.
std::vector<std::size_t> places(std::size_t bytes, std::size_t count)
{
    std::vector<std::size_t> all;
    const std::size_t step = std::max<std::size_t>(1, bytes / count);
    for (std::size_t at = 0; at < bytes; at += step)
        all.push_back(at);
    all.push_back(bytes);
    return all;
}

} // namespace

// Guards against a head that ends early, also behind interim responses or with a folded line, and
// reaches the caller as a success.
BOOST_FIXTURE_TEST_CASE(headsThatEndEarlyAreNoSuccess, fixture)
{
    std::atomic<const cut_response *> current{ nullptr };
    setEngineBehaviour([&](const std::string &, const recorded_request &, response_socket &socket) {
        return writeCut(*current, socket);
    });
    const std::string head = "HTTP/1.1 200 OK\r\nX-Burdockhold-Attempt-Id: id1\r\n"
                             "X-Burdockhold-Server-Stamp: s1\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (const std::string &start : { head, interim + head, head + "X-Folded: a\r\n b\r\n" }) {
        for (const std::string &framing :
             { std::string("Content-Length: 4\r\n"), std::string("Transfer-Encoding: chunked\r\n"),
               std::string("Connection: close\r\n") }) {
            const std::string text = start + framing + "\r\n";
            for (const std::size_t cut : places(text.size() - 1, 12)) {
                for (const bool isReset : { false, true }) {
                    const cut_response response{ text, cut, isReset };
                    current = &response;
                    for (const std::string path : { "/pay/", "/once/" }) {
                        const std::string answer = exchangeRequest(request(path));
                        BOOST_TEST(answer.rfind("HTTP/1.1 502", 0) == 0U,
                                   path << " cut at " << cut << " of " << text << ": " << answer);
                    }
                }
            }
        }
    }
}

// Guards against a stream that is completed by a head, a chunk or a trailer that ends early in its
// second call.
BOOST_AUTO_TEST_CASE(continuationsThatEndEarlyCompleteNoStream)
{
    const recorded_request own{ "POST", "/resume/", { { "x-burdockhold-attempt-id", "id1" } }, {} };
    const std::string text = responseHead(own, Chunked) + chunk(event(2))
                             + "0\r\nX-Late: 1\r\n\r\n";
    const auto streamWith = [](fixture &site, const cut_response &response) {
        site.setEngineBehaviour(
                [&](const std::string &, const recorded_request &call, response_socket &socket) {
                    if (!call.field("Last-Event-Id").empty())
                        return writeCut(response, socket);
                    socket.write(responseHead(call, Chunked) + chunk(event(1)));
                    return false;
                });
        test_caller caller(site.router->callerAddress());
        caller.send(fixture::request("/resume/"));
        const std::string received = caller.readUntil(LastChunk, WaitLimitMs);
        const std::lock_guard lock(site.mutex);
        BOOST_TEST(site.calls.back().field("Last-Event-Id") == "1", received);
        return decodeStream(received);
    };
    constexpr int CasesPerRouter = 6; // After more failures, it stops calling the engines.
    int cases = 0;
    std::unique_ptr<fixture> site;
    for (const std::size_t cut : places(text.size() - 1, 20)) {
        for (const bool isReset : { false, true }) {
            if (cases++ % CasesPerRouter == 0)
                site = std::make_unique<fixture>();
            BOOST_TEST(!streamWith(*site, { text, cut, isReset }).complete, "cut at " << cut);
        }
    }
    fixture fresh;
    BOOST_TEST(streamWith(fresh, { text, text.size(), false }).complete);
}
