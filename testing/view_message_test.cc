#define BOOST_TEST_MODULE view_message
#include "burdockhold/view_message.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <random>
#include <string>

using namespace burdockhold;

namespace {

endpoint_report someReport()
{
    endpoint_report report;
    report.id = "e1";
    report.pool = "pool";
    report.address = "10.0.0.1:80";
    report.dataCentre = "dc1";
    report.slots = 12;
    report.leaving = true;
    report.incarnation = 1234567890123;
    report.weights = { { "m", 3 } };
    return report;
}

view_response someAnswer()
{
    view_response answer;
    answer.reader = 77;
    answer.operatorTopic = { true, true, 5, -1200, { { "config", false, "{}" } } };
    answer.endpointTopic = {
        true, false, 9, 15, { { "e1", false, encodeReport(someReport()) }, { "e2", true, {} } }
    };
    return answer;
}

/// Changes, cuts or lengthens the bytes by the seed.
std::string mutated(std::string bytes, std::mt19937 &random)
{
    for (unsigned change = random() % 4; change-- > 0 && !bytes.empty();) {
        const std::size_t at = random() % bytes.size();
        switch (random() % 3) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(at, 1 + random() % 8);
            break;
        default:
            bytes.insert(at, 1 + random() % 8, static_cast<char>(random()));
        }
    }
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_CASE(questionComesBackAsItWas)
{
    const view_request question{ 18446744073709551615U, 7, 12, std::chrono::milliseconds(700) };
    const auto decoded = decodeViewRequest(encodeViewRequest(question));
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST(valueOf(decoded).reader == question.reader);
    BOOST_TEST(valueOf(decoded).operatorNumber == 7U);
    BOOST_TEST(valueOf(decoded).endpointNumber == 12U);
    BOOST_TEST((valueOf(decoded).wait == question.wait));
}

// Guards against a question of another build, or a forged one, that is taken for one of ours.
BOOST_AUTO_TEST_CASE(questionOfAnotherFormIsRefused)
{
    const std::string fields = "?reader=1&operator=2&endpoints=3&wait_ms=4";
    BOOST_TEST(isOk(decodeViewRequest("/views/1" + fields)));
    BOOST_TEST(!isOk(decodeViewRequest("/views/2" + fields)));
    BOOST_TEST(!isOk(decodeViewRequest("/views/1")));
    BOOST_TEST(!isOk(decodeViewRequest("")));
    BOOST_TEST(!isOk(decodeViewRequest("/views/1?reader=1&operator=2&endpoints=3")));
    BOOST_TEST(!isOk(decodeViewRequest("/views/1?reader=-1&operator=2&endpoints=3&wait_ms=4")));
    BOOST_TEST(!isOk(decodeViewRequest("/views/1?reader=1x&operator=2&endpoints=3&wait_ms=4")));
    BOOST_TEST(!isOk(decodeViewRequest(
            "/views/1?reader=99999999999999999999&operator=2&endpoints=3&wait_ms=4")));
}

// Guards against a question that holds its connection for as long as it likes.
BOOST_AUTO_TEST_CASE(waitOfAQuestionIsBounded)
{
    const auto decoded = decodeViewRequest(
            "/views/1?reader=1&operator=2&endpoints=3&wait_ms=18446744073709551615");
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST((valueOf(decoded).wait <= std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(answerComesBackAsItWas)
{
    const auto decoded = decodeViewResponse(encodeViewResponse(someAnswer()));
    BOOST_REQUIRE(isOk(decoded));
    const view_response &answer = valueOf(decoded);
    BOOST_TEST(answer.reader == 77U);
    BOOST_TEST(answer.operatorTopic.whole);
    BOOST_TEST(answer.operatorTopic.confirmedOffsetMs == -1200);
    BOOST_TEST(answer.endpointTopic.number == 9U);
    BOOST_REQUIRE(answer.endpointTopic.records.size() == 2U);
    BOOST_TEST(answer.endpointTopic.records[1].removed);
    const auto report = decodeReport("e1", answer.endpointTopic.records[0].value);
    BOOST_REQUIRE(isOk(report));
    BOOST_TEST(valueOf(report).address == "10.0.0.1:80");
    BOOST_TEST(valueOf(report).leaving);
    BOOST_TEST(valueOf(report).incarnation == 1234567890123);
    BOOST_TEST(valueOf(report).weights.at("m") == 3);
}

// Guards against one malformed message that takes the process down: decoders refuse or accept, and
// throw nothing.
BOOST_AUTO_TEST_CASE(mutatedMessagesNeverThrow)
{
    std::mt19937 random(1);
    const std::string answer = encodeViewResponse(someAnswer());
    const std::string report = encodeReport(someReport());
    const std::string question = encodeViewRequest({ 1, 2, 3, std::chrono::milliseconds(4) });
    for (int round = 0; round < 20000; ++round) {
        BOOST_CHECK_NO_THROW(decodeViewResponse(mutated(answer, random)));
        BOOST_CHECK_NO_THROW(decodeReport("e1", mutated(report, random)));
        BOOST_CHECK_NO_THROW(decodeViewRequest(mutated(question, random)));
    }
}
