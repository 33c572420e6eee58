#define BOOST_TEST_MODULE scheduler_message
#include "burdockhold/scheduler_message.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

using namespace burdockhold;

namespace {

placement_question sampleQuestion()
{
    placement_question question;
    question.vm = 0x1122334455667788;
    question.number = 77;
    question.affinityKey = "model/segment";
    question.promptTokens = 9190;
    question.tried = { 1, 2, 3 };
    return question;
}

/// The answer of a build without cold grants.
struct old_answer
{
    std::uint64_t vm = 0;
    std::uint32_t number = 0;
    std::uint8_t verdict = 0;
    std::uint32_t endpoint = 0, expectedMs = 0, cachedTokens = 0, copyFrom = 0, tokensAhead = 0;
    std::uint32_t running = 0;
    MSGPACK_DEFINE_ARRAY(vm, number, verdict, endpoint, expectedMs, cachedTokens, copyFrom,
                         tokensAhead, running)
};

} // namespace

// Guards against fields that are lost on the way.
BOOST_AUTO_TEST_CASE(messagesSurviveTheWire)
{
    const auto question = decodeSchedulerMessage(encodeSchedulerMessage(sampleQuestion()));
    BOOST_REQUIRE(isOk(question));
    const auto &decoded = std::get<placement_question>(valueOf(question));
    BOOST_TEST(decoded.vm == sampleQuestion().vm);
    BOOST_TEST(decoded.affinityKey == "model/segment");
    BOOST_TEST(decoded.tried.size() == 3U);

    call_statement statement{ 5, 6, true, { { 1, 2, 3, 4, 1 } } };
    const auto stated = decodeSchedulerMessage(encodeSchedulerMessage(statement));
    BOOST_REQUIRE(isOk(stated));
    BOOST_TEST(std::get<call_statement>(valueOf(stated)).calls.front().activeTokens == 4U);

    placement_answer answer;
    answer.copyFrom = 99;
    const auto answered = decodeSchedulerMessage(encodeSchedulerMessage(answer));
    BOOST_REQUIRE(isOk(answered));
    BOOST_TEST(std::get<placement_answer>(valueOf(answered)).copyFrom == 99U);
}

// Guards against fields of cold grants that an older build cannot skip, or that are read where it
// sends none.
BOOST_AUTO_TEST_CASE(olderBuildsExchangeMessagesWithoutColdGrants)
{
    placement_answer answer;
    answer.running = 7;
    answer.onColdShare = true;
    answer.repetition = 3;
    const std::string bytes = encodeSchedulerMessage(answer);
    const auto read = msgpack::unpack(bytes.data() + 2, bytes.size() - 2);
    BOOST_TEST(read.get().as<old_answer>().running == 7U);

    msgpack::sbuffer buffer;
    msgpack::pack(buffer, old_answer{});
    const std::string old = bytes.substr(0, 2) + std::string(buffer.data(), buffer.size());
    const auto decoded = decodeSchedulerMessage(old);
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST(!std::get<placement_answer>(valueOf(decoded)).onColdShare);
    BOOST_TEST(std::get<placement_answer>(valueOf(decoded)).repetition == 0U);
}

// Guards against rows of older builds, which do not end with the time of the first event, and
// against a row that is longer than it may be.
BOOST_AUTO_TEST_CASE(firstEventIsOptionalAndShort)
{
    call_statement statement{ 5, 6, false, { { 1, 2, 3, 4, 1 } } };
    const std::string without = encodeSchedulerMessage(statement);
    statement.calls.front().firstEventMs = 3'600'000;
    const std::string with = encodeSchedulerMessage(statement);
    BOOST_TEST(std::get<call_statement>(valueOf(decodeSchedulerMessage(with)))
                       .calls.front()
                       .firstEventMs
               == 3'600'000U);
    std::string older = without;
    older.pop_back(); // The field, 0.
    const char longArray = '\x96';
    const std::size_t row = older.rfind(longArray);
    BOOST_REQUIRE(row != std::string::npos);
    older[row] = '\x95';
    const auto decoded = decodeSchedulerMessage(older);
    BOOST_REQUIRE(isOk(decoded));
    const call_row &call = std::get<call_statement>(valueOf(decoded)).calls.front();
    BOOST_TEST(call.stage == 1);
    BOOST_TEST(call.firstEventMs == 0U);
    BOOST_TEST(with.size() <= older.size() + 5);
}

// Guards against a datagram that ends the process: any sender in the network can reach the port.
BOOST_AUTO_TEST_CASE(damagedMessagesAreRefused)
{
    const std::string bytes = encodeSchedulerMessage(sampleQuestion());
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(!isOk(decodeSchedulerMessage(bytes.substr(0, length))));
    std::string other = bytes;
    other[0] = 2;
    BOOST_TEST(!isOk(decodeSchedulerMessage(other)));
    std::mt19937 random(9);
    for (int round = 0; round < 5000; ++round) {
        std::string damaged = bytes;
        for (int change = 0; change < 4; ++change)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        decodeSchedulerMessage(damaged); // May be accepted; must return.
    }
}
