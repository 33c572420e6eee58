#define BOOST_TEST_MODULE crash_fingerprints_loop
#include "burdockhold/crash_fingerprints.h"
#include "burdockhold/digest_exchange.h"
#include "testing/support_router.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>

using namespace burdockhold;
using namespace burdockhold::testing;
using boost::asio::ip::udp;

namespace {

const std::string deadlySegment = "dead";

std::string promptField(const std::string &segments)
{
    return "X-Burdockhold-Prompt-Prefix: " + segments + "\r\n";
}

/// A router with engines that crash as soon as they are to answer a prompt with the deadly segment.
struct crash_fixture : router_fixture
{
    crash_fixture()
    {
        setEngineBehaviour([this](const std::string &name, const recorded_request &request,
                                  response_socket &socket) {
            return serve(name == "e1" ? first : second, request, socket);
        });
    }

    bool serve(fake_server &engine, const recorded_request &request, response_socket &socket)
    {
        if (request.field("X-Burdockhold-Prompt-Prefix").find(deadlySegment) == std::string::npos)
            return socket.write(completeResponse(request, "body"));
        ++deadlyCalls;
        engine.stopListening();
        socket.reset();
        return false;
    }

    /// Returns a request whose prompt shares the first segment with all others.
    static std::string prompt(const std::string &middle, int number)
    {
        const std::string last = std::to_string(1000 + number);
        return request("/pay/", "key-1", promptField("aaaa:10," + middle + ":10," + last + ":10"),
                       last);
    }

    bool soundIsServed(int number) const
    {
        return waitForResponse(prompt("bbbb", number), "HTTP/1.1 200");
    }

    /// Sends a digest with the row to the router, as another VM would.
    void sendDigest(const crash_row &row, std::uint64_t number) const
    {
        vm_digest digest;
        digest.vm = "vm-2";
        digest.incarnation = 1;
        digest.number = number;
        digest.crashes.push_back(row);
        boost::asio::io_context io;
        udp::socket socket(io, udp::v4());
        socket.send_to(boost::asio::buffer(encodeDigest(digest)),
                       udp::endpoint(boost::asio::ip::address_v4::loopback(),
                                     static_cast<unsigned short>(router->peerPort())));
    }

    std::atomic<int> deadlyCalls{ 0 };
};

fingerprint fingerprintOfSegment(const std::string &id)
{
    caller_request made;
    made.promptSegments = { { id, 10 }, { "last", 10 } };
    return fingerprintsOf(made, "")[0];
}

} // namespace

// Guards against a VM that does not heed the crashes, or the answers, that another VM reports.
BOOST_FIXTURE_TEST_CASE(crashesReportedByAnotherVmBlockUntilItReportsAnAnswer, crash_fixture)
{
    crash_row row;
    row.fingerprint = fingerprintOfSegment(deadlySegment);
    row.crashes = { { 1, 300 }, { 2, 200 }, { 3, 100 } };
    sendDigest(row, 1);
    BOOST_TEST(waitForResponse(prompt(deadlySegment, 1), "HTTP/1.1 503"));
    BOOST_TEST(soundIsServed(2));
    row.answeredAgeMs = 0;
    sendDigest(row, 2);
    BOOST_TEST(waitForResponse(prompt(deadlySegment, 3), "HTTP/1.1 502"));
}
