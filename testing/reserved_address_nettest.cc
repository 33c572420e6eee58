#define BOOST_TEST_MODULE reserved_address
#include "testing/support_address.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <string>

using boost::asio::ip::tcp;
using burdockhold::testing::reserveAddress;

namespace {

tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return { boost::asio::ip::address_v4::loopback(),
             static_cast<unsigned short>(std::stoi(address.substr(colon + 1))) };
}

boost::system::error_code bindTo(tcp::acceptor &acceptor, const tcp::endpoint &endpoint, bool reuse)
{
    boost::system::error_code error;
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(reuse));
    acceptor.bind(endpoint, error);
    return error;
}

} // namespace

// Guards against a port that another socket takes before the program under test binds it: the test
// then fails because its server does not start.
BOOST_AUTO_TEST_CASE(nobodyElseGetsTheChosenPort)
{
    int firstOutgoing = 32768;
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> firstOutgoing;
    constexpr int Rounds = 50;
    boost::asio::io_context io;
    for (int round = 0; round < Rounds; ++round) {
        const tcp::endpoint endpoint = endpointOf(reserveAddress("http://"));
        BOOST_TEST(endpoint.port() < firstOutgoing);
        tcp::acceptor other(io);
        BOOST_TEST(bindTo(other, endpoint, false) == boost::asio::error::address_in_use);
    }
}

// Guards against a reservation that keeps out the listener that it is made for.
BOOST_AUTO_TEST_CASE(theChosenPortCanBeListenedOnAgainAndAgain)
{
    boost::asio::io_context io;
    const tcp::endpoint endpoint = endpointOf(reserveAddress());
    for (int start = 0; start < 3; ++start) {
        tcp::acceptor listener(io);
        BOOST_REQUIRE(!bindTo(listener, endpoint, true));
        listener.listen();
        tcp::socket caller(io);
        caller.connect(endpoint);
        tcp::socket accepted = listener.accept();
    }
}
