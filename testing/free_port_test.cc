#define BOOST_TEST_MODULE free_port
#include "burdockhold/free_port.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <string>

using namespace burdockhold;

// Guards against a listener whose port an outgoing connection takes between the choice and the
// bind: a daemon then does not start (seen once in routing_nettest, "Address already in use").
BOOST_AUTO_TEST_CASE(portsOfOutgoingConnectionsAreNotChosen)
{
    int firstOutgoing = 32768;
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> firstOutgoing;
    for (int round = 0; round < 200; ++round) {
        const auto address = withFreePort("http://127.0.0.1:0");
        BOOST_REQUIRE(isOk(address));
        const int port = std::stoi(valueOf(address).substr(valueOf(address).rfind(':') + 1));
        BOOST_TEST(port > 1024);
        BOOST_TEST(port < firstOutgoing);
    }
}

// Guards against an address that was given being replaced.
BOOST_AUTO_TEST_CASE(statedPortIsKept)
{
    BOOST_TEST(valueOf(withFreePort("http://127.0.0.1:81")) == "http://127.0.0.1:81");
    BOOST_TEST(!isOk(withFreePort("nonsense")));
    BOOST_TEST(!isOk(withFreePort("http://not-an-ip:0")));
}
