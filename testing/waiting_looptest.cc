#define BOOST_TEST_MODULE waiting
#include "testing/support_router.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <vector>

// The running router while its plain service is full. Both endpoints together have 12 slots.

using namespace burdockhold::testing;

namespace {

constexpr int CallMs = 60;

/// Sends that many requests at once and returns the responses.
std::vector<std::string> sendAtOnce(const router_fixture &fixture, int count)
{
    std::vector<std::string> responses(count);
    std::vector<std::thread> callers;
    callers.reserve(responses.size());
    for (std::string &response : responses)
        callers.emplace_back(
                [&] { response = fixture.exchangeRequest(router_fixture::request("/pay/")); });
    for (std::thread &caller : callers)
        caller.join();
    return responses;
}

bool startsWith(const std::string &text, const std::string &start)
{
    return text.rfind(start, 0) == 0;
}

} // namespace

// Guards against requests that are refused at a part of their target although room is freed all the
// time and their callers still wait: 96 requests need 8 rounds of 12, which is 480 ms with a target
// of 400 ms and a deadline of 3,000 ms.
BOOST_FIXTURE_TEST_CASE(requestsWaitForRoomThatIsFreed, router_fixture)
{
    setEngineBehaviour([](const std::string &, const recorded_request &call, response_socket &s) {
        std::this_thread::sleep_for(std::chrono::milliseconds(CallMs));
        return s.write(completeResponse(call, "ok"));
    });
    int served = 0;
    for (const std::string &response : sendAtOnce(*this, 96))
        served += startsWith(response, "HTTP/1.1 200") ? 1 : 0;
    BOOST_TEST(served == 96);
    BOOST_TEST(waitForLog("\"wait\":{\"cause\":\"order\""));
}

// Guards against requests that are lost, or held beyond their caller's deadline, while no room is
// freed: each gets a refusal with a time to come back.
BOOST_FIXTURE_TEST_CASE(requestsAreRefusedWhenNothingIsFreed, router_fixture)
{
    std::atomic<bool> isStuck{ true };
    setEngineBehaviour([&](const std::string &, const recorded_request &call, response_socket &s) {
        while (isStuck && !s.peerClosed(20)) { }
        return s.write(completeResponse(call, "ok"));
    });
    std::vector<std::thread> stuck;
    stuck.reserve(12);
    for (int count = 0; count < 12; ++count)
        stuck.emplace_back([this] { exchangeRequest(request("/slow/")); });
    while (callCount() < 12)
        std::this_thread::yield();
    for (const std::string &response : sendAtOnce(*this, 24)) {
        BOOST_TEST(startsWith(response, "HTTP/1.1 503"), response);
        BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
    }
    isStuck = false;
    for (std::thread &caller : stuck)
        caller.join();
    BOOST_TEST(startsWith(exchangeRequest(request("/pay/")), "HTTP/1.1 200"));
}
