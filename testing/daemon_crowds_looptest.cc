#define BOOST_TEST_MODULE daemon_crowds_loop
#include "testing/support_catalogue.h"
#include "testing/support_crowd.h"
#include "testing/support_fleet.h"
#include "testing/support_http.h"
#include "testing/support_platform.h"

#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <list>
#include <string>
#include <thread>

// Each case runs a crowd of clients against a daemon with little memory or few descriptors. Only
// three things are checked: the process lives within its limits, and an ordinary request is
// answered, both beside the crowd and after it.

using namespace burdockhold::testing;

namespace {

constexpr std::size_t MemoryBytes = std::size_t(96) * 1024 * 1024;
constexpr std::size_t MaxResidentBytes = MemoryBytes * 8 / 10;
constexpr rlim_t Descriptors = 2000;
constexpr rlim_t FewDescriptors = 200;
constexpr std::chrono::seconds RequestLimit(20);
constexpr int ServeAttempts = 20;
constexpr std::size_t EventBytes = 50000;

/// Limits the descriptors of the processes that are started while it exists.
class descriptor_limit
{
public:
    explicit descriptor_limit(rlim_t descriptors)
    {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        const rlimit lowered{ descriptors, m_before.rlim_max };
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &m_before); }
    descriptor_limit(const descriptor_limit &) = delete;
    descriptor_limit &operator=(const descriptor_limit &) = delete;

private:
    rlimit m_before{};
};

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string all;
    while (all.size() < bytes)
        all += text;
    return all;
}

/// One request's stream with as many large events as it asked for.
bool streamEvents(const recorded_request &call, response_socket &socket)
{
    const std::string id = call.field("x-request-id");
    const auto body = nlohmann::json::parse(call.body, nullptr, false);
    if (!body.is_object())
        return false;
    const int count = body.value("max_tokens", 1);
    if (!socket.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id
                      + "\r\nX-Weights-Version: v1\r\nConnection: close\r\n\r\n"))
        return false;
    const std::string text(EventBytes, 'x');
    for (int index = 0; index < count; ++index) {
        nlohmann::json event{ { "id", id }, { "token_index", index } };
        event["choices"] = nlohmann::json::array({ { { "index", 0 }, { "text", text } } });
        if (index + 1 == count)
            event["usage"] = { { "prompt_tokens", 1 },
                               { "completion_tokens", count },
                               { "cached_tokens", 0 } };
        if (!socket.write("data: " + event.dump() + "\n\n"))
            return false;
    }
    socket.write("data: [DONE]\n\n");
    return false;
}

bool answerAsEngine(const recorded_request &call, response_socket &socket)
{
    if (call.method == "POST")
        return streamEvents(call, socket);
    const std::string body = R"({"incarnation":"i1","weights_version":"v1","queued_tokens":0,)"
                             R"("running":0,"cached_blocks":0})";
    return socket.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body);
}

struct crowd_fixture
{
    explicit crowd_fixture(rlim_t descriptors = Descriptors)
        : maxDescriptors(descriptors)
        , engine(answerAsEngine)
        , site(options())
    {
        site.loadCatalogue(
                basicCatalogue({ "http://" + engine.address() }, { site.services().front().url }));
        key = site.issueKey("a1");
        {
            const descriptor_limit limit(descriptors);
            site.startDaemon("vm-1");
        }
        BOOST_REQUIRE(serves());
    }

    static fleet_options options()
    {
        fleet_options options;
        options.programFolder = BURDOCKHOLD_BINARY_DIR;
        options.services = { {} };
        options.extraSettings = "memory = " + std::to_string(MemoryBytes / 1024 / 1024) + "MiB\n";
        return options;
    }

    running_daemon &daemon() { return site.daemons().front(); }
    std::string address() { return daemon().url.substr(std::string("http://").size()); }

    client_crowd &crowd(std::size_t clients)
    {
        crowds.emplace_back(address(), clients);
        return crowds.back();
    }

    std::string completionHead(std::size_t bodyBytes) const
    {
        return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key
               + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    }

    std::string streamingRequest(int events) const
    {
        const std::string body = streamingRequestBody("p", events);
        return completionHead(body.size()) + body;
    }

    /// Returns whether an ordinary stream is answered, tried again after a refusal.
    bool serves()
    {
        for (int attempt = 0; attempt < ServeAttempts; ++attempt) {
            try {
                const http_response answer = httpCall(
                        daemon().url, "POST", "/v1/completions", streamingRequestBody("p", 2),
                        { { "Authorization", "Bearer " + key } }, RequestLimit);
                if (answer.status == 200 && answer.body.find("[DONE]") != std::string::npos)
                    return true;
            } catch (const http_failure &failure) {
                BOOST_TEST_MESSAGE("no answer: " << failure.what());
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(250));
        }
        return false;
    }

    std::size_t peakMemoryBytes()
    {
        std::ifstream status("/proc/" + std::to_string(daemon().process.id()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.rfind("VmHWM:", 0) == 0)
                return std::stoul(line.substr(6)) * 1024;
        }
        return 0;
    }

    std::size_t openDescriptors()
    {
        std::error_code error; // The process may end meanwhile; then it has none.
        const std::filesystem::directory_iterator entries(
                "/proc/" + std::to_string(daemon().process.id()) + "/fd", error);
        return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

    void checkDaemon()
    {
        BOOST_TEST(serves());
        BOOST_TEST(openDescriptors() <= maxDescriptors);
        crowds.clear();
        BOOST_TEST(serves());
        BOOST_TEST(!daemon().process.wait(std::chrono::milliseconds(0)));
        BOOST_TEST_MESSAGE(peakMemoryBytes() / 1024 << " KB at most");
        BOOST_TEST(peakMemoryBytes() > 0U);
        BOOST_TEST(peakMemoryBytes() < MaxResidentBytes);
    }

    const std::size_t maxDescriptors;
    fake_server engine;
    fleet site;
    std::string key;
    std::list<client_crowd> crowds;
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
    crowd(300).send("GET /stock HTTP/1.1\r\nHost: x\r\nX-Padding: " + std::string(400000, 'a'));
    crowd(300).send("GET /stock HTTP/1.1\r\nHost: x\r\nX-Padding: " + std::string(15000, 'a'));
    checkDaemon();
}

// Guards against heads without end, and empty lines before a request, that are kept.
BOOST_FIXTURE_TEST_CASE(headsWithoutEnd, crowd_fixture)
{
    crowd(150).send("GET /stock HTTP/1.1\r\nHost: x"
                    + repeated("\r\nX-Padding: aaaaaaaaaaaaaaaa", 900000));
    crowd(150).send(repeated("\r\n", 200000));
    crowd(150).send(repeated("\n", 900000));
    checkDaemon();
}

// Guards against bodies that are bounded each and exceed the memory in sum.
BOOST_FIXTURE_TEST_CASE(bodiesThatStop, crowd_fixture)
{
    crowd(200).send(completionHead(1000000) + std::string(990000, 'x'));
    checkDaemon();
}

// Guards against events that are kept for each caller that does not read.
BOOST_FIXTURE_TEST_CASE(streamsThatNobodyReads, crowd_fixture)
{
    crowd(100).send(streamingRequest(40));
    crowds.back().awaitAnswers(10000);
    checkDaemon();
}

// Guards against parts that are bounded each and exceed the memory together.
BOOST_FIXTURE_TEST_CASE(mixedCrowds, crowd_fixture)
{
    crowd(60).send(completionHead(1000000) + std::string(990000, 'x'));
    crowd(50).send(streamingRequest(40));
    crowds.back().awaitAnswers(10000);
    crowd(100).send("GET /stock HTTP/1.1\r\nHost: x\r\nX-Padding: " + std::string(400000, 'a'));
    crowd(700).send("GET /stock HTTP/1.1\r\nHost: x\r\nX-Padding: " + std::string(15000, 'a'));
    checkDaemon();
}

// Guards against idle connections that use up the descriptors.
BOOST_FIXTURE_TEST_CASE(moreConnectionsThanDescriptors, few_descriptors_fixture)
{
    crowd(300);
    crowd(100).send("GET /stock HTTP/1.1\r\n");
    checkDaemon();
}

// Guards against connections to the operators' address that use up the descriptors.
BOOST_FIXTURE_TEST_CASE(connectionsToTheAdminAddress, few_descriptors_fixture)
{
    crowds.emplace_back(daemon().adminUrl.substr(std::string("http://").size()), 300);
    crowds.back().send("GET /metrics HTTP/1.1\r\n");
    checkDaemon();
}
