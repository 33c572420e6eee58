#define BOOST_TEST_MODULE peer_message
#include "burdockhold/peer_message.h"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <random>

using namespace burdockhold;

namespace {

std::vector<peer_message> examples()
{
    return {
        { "vm1", 2, 3, heartbeat_message{ 9, { "d1", "d2" }, { "s" } } },
        { "vm1", 2, 4, grant_request{ "x", 5, 6, 7.5 } },
        { "vm1", 2, 5, grant_reply{ "x", 5, 6, 8, 7.5, 100.25 } },
        { "vm1", 2, 6, grant_return{ "x", 5, 6, 8, 2.5 } },
        { "vm1", 2, 7, withdraw_message{ "d", true } },
    };
}

std::string encoded(const peer_message &message)
{
    const auto bytes = formatPeerMessage(message);
    return isOk(bytes) ? valueOf(bytes) : std::string();
}

} // namespace

// Guards against a field that is lost or swapped on the wire: equal messages have equal bytes.
BOOST_AUTO_TEST_CASE(messagesSurviveTheCodec)
{
    for (const auto &message : examples()) {
        const std::string bytes = encoded(message);
        const auto decoded = decodePeerMessage(bytes);
        BOOST_REQUIRE(isOk(decoded));
        BOOST_TEST(valueOf(decoded).body.index() == message.body.index());
        BOOST_TEST(valueOf(decoded).messageId == message.messageId);
        BOOST_TEST(encoded(valueOf(decoded)) == bytes);
    }
    const auto reply = decodePeerMessage(encoded(examples()[2]));
    const auto &grant = std::get<grant_reply>(valueOf(reply).body);
    BOOST_TEST(grant.account == "x");
    BOOST_TEST(grant.borrowerIncarnation == 5U);
    BOOST_TEST(grant.minterIncarnation == 8U);
    BOOST_TEST(grant.tokens == 7.5);
    BOOST_TEST(grant.remaining == 100.25);
}

// Guards against a malformed message that crashes the process or is taken for a good one.
BOOST_AUTO_TEST_CASE(malformedMessagesAreErrors)
{
    std::mt19937 random(1);
    for (const auto &message : examples()) {
        const std::string good = encoded(message);
        for (std::size_t size = 0; size < good.size(); ++size)
            BOOST_TEST(!isOk(decodePeerMessage(good.substr(0, size))));
        BOOST_TEST(!isOk(decodePeerMessage(good + "x")));
        for (int i = 0; i < 20000; ++i) {
            std::string changed = good;
            for (unsigned n = 0; n <= random() % 4; ++n)
                changed[random() % changed.size()] = static_cast<char>(random() % 256);
            const auto decoded = decodePeerMessage(changed);
            // What is accepted must be within the limits, so it can be encoded again.
            BOOST_TEST((!isOk(decoded) || isOk(formatPeerMessage(valueOf(decoded)))));
        }
    }
}

// Guards against a short message that claims huge or deeply nested content.
BOOST_AUTO_TEST_CASE(claimedSizesAreBounded)
{
    BOOST_TEST(!isOk(decodePeerMessage(std::string("\xdd\xff\xff\xff\xff", 5))));
    BOOST_TEST(!isOk(decodePeerMessage(std::string("\xdb\xff\xff\xff\xff", 5))));
    BOOST_TEST(!isOk(decodePeerMessage(std::string(500000, '\x91'))));
    BOOST_TEST(!isOk(decodePeerMessage(std::string(MaxPeerMessageBytes + 1, '\0'))));
}

// Guards against amounts that break the limiter's arithmetic, and against oversized fields.
BOOST_AUTO_TEST_CASE(valuesOutOfBoundsAreErrors)
{
    for (const double tokens : { -1.0, std::numeric_limits<double>::infinity(),
                                 std::numeric_limits<double>::quiet_NaN() })
        BOOST_TEST(!isOk(formatPeerMessage({ "a", 1, 1, grant_request{ "x", 1, 1, tokens } })));
    const std::string longName(MaxPeerNameBytes + 1, 'x');
    BOOST_TEST(!isOk(formatPeerMessage({ longName, 1, 1, withdraw_message{ "d", false } })));
    BOOST_TEST(!isOk(formatPeerMessage({ "a", 1, 1, withdraw_message{ longName, false } })));
    heartbeat_message heartbeat;
    heartbeat.withdrawals.assign(MaxHeartbeatDigests + 1, "d");
    BOOST_TEST(!isOk(formatPeerMessage({ "a", 1, 1, heartbeat })));
}

// Guards against a message of a later version that is read by the rules of this one.
BOOST_AUTO_TEST_CASE(unknownVersionAndKindAreNamed)
{
    std::string bytes = encoded(examples()[4]);
    bytes[1] = 2;
    const auto version = decodePeerMessage(bytes);
    BOOST_REQUIRE(!isOk(version));
    BOOST_TEST((errorOf(version).code == peer_message_error::UnknownVersion));
    bytes[1] = 1;
    bytes[8] = 9; // After the array, version, 4 bytes of sender, incarnation and message id.
    const auto kind = decodePeerMessage(bytes);
    BOOST_REQUIRE(!isOk(kind));
    BOOST_TEST((errorOf(kind).code == peer_message_error::UnknownKind));
}
