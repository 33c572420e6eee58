#define BOOST_TEST_MODULE view_message
#include "burdockhold/view_message.h"
#include "testing/support_mutation.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <climits>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;
using burdockhold::testing::mutated;

namespace {

endpoint_report sampleReport()
{
    endpoint_report report;
    report.id = "e1";
    report.pool = "pool";
    report.address = "10.0.0.1:80";
    report.dataCentre = "dc1";
    report.softwareVersion = "v7";
    report.slots = 12;
    report.leaving = true;
    report.incarnation = 1234567890123;
    report.weights = { { "m", 3 } };
    return report;
}

view_response sampleResponse()
{
    view_response response;
    response.reader = 77;
    response.operatorTopic = { true, true, 5, -1200, { { "version/m", false, "{}" } } };
    response.deploymentUpdate = std::string("update\0", 7);
    response.endpointTopic = {
        true, false, 9, 15, { { "e1", false, encodeReport(sampleReport()) }, { "e2", true, {} } }
    };
    return response;
}

/// A topic's view as builds without the era encode and decode it.
struct topic_view_without_era
{
    bool loaded = false;
    bool isSnapshot = false;
    std::uint64_t sequenceNumber = 0;
    std::int64_t confirmedOffsetMs = 0;
    std::vector<topic_record> records;
    std::uint64_t position = 0;
    MSGPACK_DEFINE_ARRAY(loaded, isSnapshot, sequenceNumber, confirmedOffsetMs, records, position)
};

template <typename To, typename From>
To packedAs(const From &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return msgpack::unpack(buffer.data(), buffer.size()).get().as<To>();
}

} // namespace

// Guards against views that builds with and without the era cannot exchange.
BOOST_AUTO_TEST_CASE(viewsAreReadableForBuildsWithoutTheEra)
{
    topic_view view = sampleResponse().operatorTopic;
    view.position = 31;
    view.era = 4;
    const auto seen = packedAs<topic_view_without_era>(view);
    BOOST_TEST(seen.position == 31U);
    BOOST_TEST(seen.sequenceNumber == view.sequenceNumber);
    BOOST_TEST(seen.records.size() == view.records.size());
    BOOST_TEST(packedAs<topic_view>(view).era == 4);
    const auto received = packedAs<topic_view>(seen);
    BOOST_TEST(received.position == 31U);
    BOOST_TEST(received.era == 0);
    BOOST_TEST(received.records.size() == view.records.size());
}

BOOST_AUTO_TEST_CASE(requestRoundTrips)
{
    const view_request request{ 18446744073709551615U, 7, 12, 31, std::chrono::milliseconds(700) };
    const auto decoded = decodeViewRequest(encodeViewRequest(request));
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST(valueOf(decoded).reader == request.reader);
    BOOST_TEST(valueOf(decoded).operatorSequenceNumber == 7U);
    BOOST_TEST(valueOf(decoded).endpointSequenceNumber == 12U);
    BOOST_TEST((valueOf(decoded).deploymentVersion == request.deploymentVersion));
    BOOST_TEST((valueOf(decoded).wait == request.wait));
}

// Guards against a VM without a deployment that counts as having version 0.
BOOST_AUTO_TEST_CASE(requestWithoutADeploymentRoundTrips)
{
    const auto none = decodeViewRequest(encodeViewRequest({ 1, 2, 3, {}, {} }));
    const auto zero = decodeViewRequest(encodeViewRequest({ 1, 2, 3, 0, {} }));
    BOOST_REQUIRE(isOk(none));
    BOOST_REQUIRE(isOk(zero));
    BOOST_TEST(!valueOf(none).deploymentVersion.has_value());
    BOOST_TEST(valueOf(zero).deploymentVersion.value() == 0U);
}

// Guards against accepting a request of another format version or a malformed request.
BOOST_AUTO_TEST_CASE(malformedOrOtherVersionRequestIsRefused)
{
    const std::string fields = "?reader=1&operator=2&endpoints=3&wait_ms=4";
    BOOST_TEST(isOk(decodeViewRequest("/views/2" + fields)));
    BOOST_TEST(!isOk(decodeViewRequest("/views/1" + fields)));
    BOOST_TEST(!isOk(decodeViewRequest("/views/2")));
    BOOST_TEST(!isOk(decodeViewRequest("")));
    BOOST_TEST(!isOk(decodeViewRequest("/views/2?reader=1&operator=2&endpoints=3")));
    BOOST_TEST(!isOk(decodeViewRequest("/views/2?reader=-1&operator=2&endpoints=3&wait_ms=4")));
    BOOST_TEST(!isOk(decodeViewRequest("/views/2?reader=1x&operator=2&endpoints=3&wait_ms=4")));
    BOOST_TEST(!isOk(decodeViewRequest(
            "/views/2?reader=99999999999999999999&operator=2&endpoints=3&wait_ms=4")));
    BOOST_TEST(!isOk(decodeViewRequest("/views/2" + fields + "&deployment=")));
    BOOST_TEST(!isOk(decodeViewRequest("/views/2" + fields + "&deployment=-1")));
}

// Guards against a request that keeps its connection waiting without a limit.
BOOST_AUTO_TEST_CASE(waitOfARequestIsBounded)
{
    const auto decoded = decodeViewRequest(
            "/views/2?reader=1&operator=2&endpoints=3&wait_ms=18446744073709551615");
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST((valueOf(decoded).wait <= std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(responseRoundTrips)
{
    const auto decoded = decodeViewResponse(encodeViewResponse(sampleResponse()));
    BOOST_REQUIRE(isOk(decoded));
    const view_response &response = valueOf(decoded);
    BOOST_TEST(response.reader == 77U);
    BOOST_TEST(response.operatorTopic.isSnapshot);
    BOOST_TEST(response.operatorTopic.confirmedOffsetMs == -1200);
    BOOST_TEST(response.deploymentUpdate == sampleResponse().deploymentUpdate);
    BOOST_TEST(response.endpointTopic.sequenceNumber == 9U);
    BOOST_REQUIRE(response.endpointTopic.records.size() == 2U);
    BOOST_TEST(response.endpointTopic.records[1].removed);
    const auto report = decodeReport("e1", response.endpointTopic.records[0].value);
    BOOST_TEST(valueOf(report).softwareVersion == "v7");
    BOOST_REQUIRE(isOk(report));
    BOOST_TEST(valueOf(report).address == "10.0.0.1:80");
    BOOST_TEST(valueOf(report).leaving);
    BOOST_TEST(valueOf(report).incarnation == 1234567890123);
    BOOST_TEST(valueOf(report).weights.at("m") == 3);
}

// Guards against an engine of absurd size or age that a reader of an older build hands on.
BOOST_AUTO_TEST_CASE(absurdReportsAreRefused)
{
    const auto isAccepted = [](int slots, std::int64_t incarnation) {
        endpoint_report report = sampleReport();
        report.slots = slots;
        report.incarnation = incarnation;
        return isOk(decodeReport("e1", encodeReport(report)));
    };
    BOOST_TEST(isAccepted(1, 0));
    BOOST_TEST(isAccepted(MaxEndpointSlots, MaxIncarnationMs));
    for (const int slots : { INT_MIN, -1, 0, 65537, INT_MAX })
        BOOST_TEST(!isAccepted(slots, 5), slots);
    for (const std::int64_t incarnation : { INT64_MIN, std::int64_t(-1), INT64_MAX })
        BOOST_TEST(!isAccepted(6, incarnation), incarnation);
}

// Guards against a malformed message that ends the process with an exception: the decoders accept
// or reject a message and never throw.
BOOST_AUTO_TEST_CASE(mutatedMessagesNeverThrow)
{
    std::mt19937 random(1);
    const std::string response = encodeViewResponse(sampleResponse());
    const std::string report = encodeReport(sampleReport());
    const std::string request = encodeViewRequest({ 1, 2, 3, 5, std::chrono::milliseconds(4) });
    for (int round = 0; round < 20000; ++round) {
        BOOST_CHECK_NO_THROW(decodeViewResponse(mutated(response, random)));
        BOOST_CHECK_NO_THROW(decodeReport("e1", mutated(report, random)));
        BOOST_CHECK_NO_THROW(decodeViewRequest(mutated(request, random)));
    }
}
