#define BOOST_TEST_MODULE client_crowds_loop
#include "testing/support_crowd.h"
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

// Each case runs a crowd of clients against a router with little memory or few descriptors. Only
// three things are checked: the process lives within its limits, and an ordinary request is
// answered, both beside the crowd and after it.

using namespace burdockhold::testing;

namespace {

constexpr int MemoryMb = 32;
constexpr int Descriptors = 2000;
constexpr int FewDescriptors = 200;
constexpr std::size_t MaxResidentBytes = std::size_t(MemoryMb) * 1024 * 1024 * 8 / 10;
constexpr int EngineSlots = 4000;

std::string patientRequest(const std::string &path, const std::string &body = {})
{
    std::string bytes = router_fixture::request(path, "key-1", {}, body);
    const std::string deadline = "Deadline-Ms: ";
    bytes.replace(bytes.find(deadline) + deadline.size(), 4, "20000");
    return bytes;
}

/// A head within the limit of 16,384 bytes without its last lines.
std::string unfinishedHead(std::size_t bytes = 16000)
{
    std::string head = router_fixture::request("/safe/");
    head.resize(head.size() - 4);
    head += "\r\nX-Padding: ";
    return head + std::string(bytes - head.size(), 'a');
}

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string all;
    while (all.size() < bytes)
        all += text;
    return all;
}

std::string largeEvent(std::size_t bytes)
{
    return "id: 1\ndata: " + std::string(bytes, 'x') + "\n\n";
}

std::string manyEvents(std::size_t bytes)
{
    std::string all;
    for (int id = 1; all.size() < bytes; ++id)
        all += "id: " + std::to_string(id) + "\ndata: " + std::string(4000, 'x') + "\n\n";
    return all;
}

struct crowd_fixture : router_fixture
{
    explicit crowd_fixture(int descriptors = Descriptors)
        : router_fixture(place(descriptors), EngineSlots)
        , maxDescriptors(static_cast<std::size_t>(descriptors))
    {
        streamed = chunk(manyEvents(600000)) + LastChunk;
        setEngineBehaviour(
                [this](const std::string &, const recorded_request &call, response_socket &socket) {
                    if (call.target.rfind("/slow/", 0) != 0)
                        return socket.write(completeResponse(call, body));
                    return socket.write(responseHead(call, "Transfer-Encoding: chunked"))
                           && socket.write(streamed);
                });
    }

    static router_place place(int descriptors)
    {
        router_place settings;
        settings.memoryMb = MemoryMb;
        settings.descriptors = descriptors;
        settings.enforcedDescriptors = descriptors;
        return settings;
    }

    client_crowd &crowd(std::size_t clients)
    {
        crowds.emplace_back(router->callerAddress(), clients);
        return crowds.back();
    }

    /// Clients in small groups, each of which has got the beginning of its answers before the next
    /// group starts, so that the engines' answers follow each other.
    void crowdInGroups(std::size_t groups, std::size_t clients, const std::string &bytes)
    {
        for (std::size_t group = 0; group < groups; ++group) {
            crowd(clients).send(bytes);
            crowds.back().awaitAnswers(WaitLimitMs);
        }
    }

    void checkRouter()
    {
        setEngineBehaviour(nullptr);
        BOOST_TEST(waitForResponse(request("/safe/"), "HTTP/1.1 200"));
        BOOST_TEST(router->openDescriptors() <= maxDescriptors);
        crowds.clear();
        BOOST_TEST(waitForResponse(request("/safe/", "key-1", {}, "body"), "HTTP/1.1 200"));
        BOOST_TEST(!router->hasExited());
        BOOST_TEST_MESSAGE(router->peakMemoryBytes() / 1024 << " KB at most");
        BOOST_TEST(router->peakMemoryBytes() < MaxResidentBytes);
    }

    const std::size_t maxDescriptors;
    std::string body = "body";
    std::string streamed;
    std::vector<client_crowd> crowds;
};

struct few_descriptors_fixture : crowd_fixture
{
    few_descriptors_fixture()
        : crowd_fixture(FewDescriptors)
    {
    }
};

} // namespace

// Guards against memory of half-read heads that only the number of connections bounds.
BOOST_FIXTURE_TEST_CASE(headsThatStop, crowd_fixture)
{
    crowd(1500).send(unfinishedHead());
    checkRouter();
}

// Guards against heads over the limit, without end, and empty lines before a request that are kept.
BOOST_FIXTURE_TEST_CASE(headsWithoutEnd, crowd_fixture)
{
    crowd(300).send(unfinishedHead(20000));
    crowd(300).send(router_fixture::request("/safe/").substr(0, 40)
                    + repeated("\r\nX-Padding: aaaaaaaaaaaaaaaa", 400000));
    crowd(300).send(repeated("\r\n", 200000));
    crowd(300).send(repeated("\n", 200000));
    checkRouter();
}

// Guards against bodies in sum, and against what their connections hold besides.
BOOST_FIXTURE_TEST_CASE(bodiesThatStop, crowd_fixture)
{
    const std::string large = request("/pay/", "key-1", {}, std::string(99000, 'x'));
    crowd(1500).send(large.substr(0, large.size() - 1000));
    checkRouter();
}

// Guards against events that are kept for each caller that does not read.
BOOST_FIXTURE_TEST_CASE(streamsThatNobodyReads, crowd_fixture)
{
    crowd(250).send(patientRequest("/slow/"));
    crowds.back().awaitAnswers(WaitLimitMs);
    checkRouter();
}

// Guards against large events, which exceed a bound on what is pending at once.
BOOST_FIXTURE_TEST_CASE(largeEventsThatNobodyReads, crowd_fixture)
{
    streamed = chunk(largeEvent(120000)) + chunk(manyEvents(300000)) + LastChunk;
    crowdInGroups(30, 10, patientRequest("/slow/"));
    checkRouter();
}

// Guards against whole answers that count only until they are complete.
BOOST_FIXTURE_TEST_CASE(bodiesThatNobodyReads, crowd_fixture)
{
    body = std::string(2000000, 'x');
    crowdInGroups(40, 2, patientRequest("/safe/"));
    checkRouter();
}

// Guards against requests that are served while nobody reads the answers before them.
BOOST_FIXTURE_TEST_CASE(pipelinedRequestsWithUnreadAnswers, crowd_fixture)
{
    body = std::string(20000, 'x');
    crowdInGroups(10, 20, repeated(patientRequest("/safe/"), 12000));
    checkRouter();
}

// Guards against requests that wait for an engine with all that they have sent.
BOOST_FIXTURE_TEST_CASE(requestsThatWait, crowd_fixture)
{
    setEngineBehaviour([](const std::string &, const recorded_request &, response_socket &socket) {
        return !socket.peerClosed(WaitLimitMs);
    });
    crowd(600).send(unfinishedHead(15000) + "\r\n\r\n");
    crowds.back().awaitAnswers(WaitLimitMs); // They come at the requests' deadlines.
    checkRouter();
}

// Guards against parts that are bounded each and exceed the memory together.
BOOST_FIXTURE_TEST_CASE(mixedCrowds, crowd_fixture)
{
    body = std::string(100000, 'x');
    const std::string large = request("/pay/", "key-1", {}, std::string(99000, 'x'));
    crowd(500).send(large.substr(0, large.size() - 1000));
    crowdInGroups(10, 8, patientRequest("/safe/"));
    crowd(80).send(patientRequest("/slow/"));
    crowds.back().awaitAnswers(WaitLimitMs);
    crowd(100).send(repeated("\r\n", 20000));
    crowd(700).send(unfinishedHead());
    checkRouter();
}

// Guards against idle connections that use up the descriptors.
BOOST_FIXTURE_TEST_CASE(moreConnectionsThanDescriptors, few_descriptors_fixture)
{
    crowd(300);
    crowd(100).send(unfinishedHead(200));
    checkRouter();
}

// Guards against connections to the readiness address, which had neither a bound nor a time limit.
BOOST_FIXTURE_TEST_CASE(connectionsToTheReadinessAddress, few_descriptors_fixture)
{
    crowds.emplace_back(router->readyAddress(), 300);
    crowds.back().send("GET /metrics HTTP/1.1\r\n");
    BOOST_TEST(router->waitReady(true));
    checkRouter();
}

// Guards against sessions of other VMs that use up the descriptors.
BOOST_FIXTURE_TEST_CASE(connectionsOfOtherVms, few_descriptors_fixture)
{
    crowds.emplace_back("127.0.0.1:" + std::to_string(router->peerPort()), 300);
    crowds.back().send("GET /view");
    checkRouter();
}
