#define BOOST_TEST_MODULE request_framing_loop
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace burdockhold::testing;

namespace {

using fixture = router_fixture;

/// Returns a request whose body has no Content-Length; the fields say how it is framed.
std::string outerRequest(const std::string &framing, const std::string &body,
                         const std::string &version = "HTTP/1.1")
{
    return "POST /safe/ " + version
           + "\r\nHost: h\r\nX-Burdockhold-Attempt-Id: outer\r\nX-Burdockhold-Credential: key-1\r\n"
           + "X-Burdockhold-Deadline-Ms: 3000\r\n" + framing + "\r\n" + body;
}

/// Sends the request on a connection of its own. Returns all that the router sends before it
/// closes.
std::string answersTo(const router_process &router, const std::string &bytes)
{
    test_caller caller(router.callerAddress());
    caller.send(bytes);
    std::string received = caller.readUntil("no such text", WaitLimitMs);
    BOOST_TEST(caller.closedByPeer(), bytes);
    return received;
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

// Guards against a request that is smuggled in a body of unknown length.
BOOST_FIXTURE_TEST_CASE(bodyOfUnknownLengthIsNotTheNextRequest, fixture)
{
    const std::string inner = request("/pay/");
    const std::vector<std::string> codings{
        "gzip",
        "identity",
        "chunked, identity",
        "xchunked",
        "chunked, gzip",
        "",
        "\"chunked\"",
        "chunked;q=1",
        "chunked x",
        "identity, identity",
        "\t",
        "chunked,",
        ", ",
        "deflate\t",
        "chunked, chunked",
        "gzip,",
        "chunked\v",
    };
    for (const std::string &coding : codings) {
        const std::string answers = answersTo(
                *router, outerRequest("Transfer-Encoding: " + coding + "\r\n", inner));
        BOOST_TEST(answers.rfind("HTTP/1.1 400", 0) == 0U, coding << ": " << answers);
        BOOST_TEST(countOf(answers, "HTTP/1.1 ") == 1U, coding << ": " << answers);
    }
    BOOST_TEST(callCount() == 0U);
    BOOST_TEST(waitForLog(R"("event":"message_refused","id":"outer","status":400)"));
}

// Guards against a body whose chunks are read although the engine would read another length.
BOOST_FIXTURE_TEST_CASE(chunksWithAnotherCodingAreNotRun, fixture)
{
    const std::string chunks = chunk(request("/pay/")) + LastChunk;
    const std::string inTwoFields = "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n";
    const std::vector<std::string> refused{
        outerRequest("Transfer-Encoding: gzip, chunked\r\n", chunks),
        outerRequest(inTwoFields, chunks),
        outerRequest("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks),
        outerRequest("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", chunks),
        outerRequest("Transfer-Encoding: chunked\r\n", chunks, "HTTP/1.0"),
        outerRequest("Transfer-Encoding: gzip\r\n", chunks, "HTTP/1.0"),
    };
    for (const std::string &bytes : refused) {
        const std::string answers = answersTo(*router, bytes);
        const bool isRefused = answers.rfind("HTTP/1.1 400", 0) == 0
                               || answers.rfind("HTTP/1.1 501", 0) == 0;
        BOOST_TEST(isRefused, bytes << ": " << answers);
        BOOST_TEST(countOf(answers, "HTTP/1.1 ") == 1U, bytes << ": " << answers);
    }
    BOOST_TEST(callCount() == 0U);
}

// Guards against a body in chunks that is refused with a sound one, whatever the case of its
// coding.
BOOST_FIXTURE_TEST_CASE(bodyInChunksReachesTheEngine, fixture)
{
    for (const std::string coding : { "chunked", "Chunked", "\tchunked  " }) {
        const std::string answer = exchangeRequest(outerRequest(
                "Transfer-Encoding: " + coding + "\r\n", chunk("hel") + chunk("lo") + LastChunk));
        BOOST_TEST(answer.rfind("HTTP/1.1 200", 0) == 0U, answer);
        BOOST_TEST(calls.back().body == "hello");
    }
    BOOST_TEST(callCount() == 3U);
}

// Guards against fields of a trailer that change the header of the call to the engine.
BOOST_FIXTURE_TEST_CASE(trailerFieldsDoNotReachTheEngine, fixture)
{
    const std::string trailer = "X-Own: trailer\r\nX-Late: 1\r\nX-Burdockhold-Model: other\r\n"
                                "X-Burdockhold-Attempt-Id: other\r\nX-Burdockhold-Tenant: other\r\n"
                                "Host: other\r\nX-Burdockhold-Hold: h\r\n";
    const std::string bytes = outerRequest("X-Own: head\r\nTransfer-Encoding: chunked\r\n",
                                           chunk("hello") + "0\r\n" + trailer + "\r\n");
    for (const std::size_t cut : { bytes.size(), bytes.find("\r\n\r\n") + 4, bytes.size() - 9 }) {
        test_caller caller(router->callerAddress());
        caller.send(bytes.substr(0, cut));
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        caller.send(bytes.substr(cut));
        const std::string answer = caller.readUntil("body", WaitLimitMs);
        BOOST_TEST(answer.rfind("HTTP/1.1 200", 0) == 0U, answer);
        BOOST_TEST(calls.back().body == "hello");
        BOOST_TEST(calls.back().field("X-Own") == "head");
        BOOST_TEST(calls.back().field("X-Late").empty());
        BOOST_TEST(calls.back().field("X-Burdockhold-Model").empty());
        BOOST_TEST(calls.back().field("X-Burdockhold-Attempt-Id") == "outer");
        BOOST_TEST(calls.back().field("X-Burdockhold-Tenant") == "acct");
    }
}
