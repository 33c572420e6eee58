#define BOOST_TEST_MODULE record
#include <boost/test/unit_test.hpp>

#include "burdockhold/record.h"

using namespace burdockhold;

namespace {

const std::string keyDigest(64, 'b');

std::string readBack(const std::string &text)
{
    const auto parsed = parseRecord(text);
    return isOk(parsed) ? formatRecord(valueOf(parsed)) : "error: " + errorOf(parsed).text;
}

} // namespace

// Guards against a field that is lost or renamed between writing and reading.
BOOST_AUTO_TEST_CASE(recordsAreReadBack)
{
    for (const std::string &text : {
                 std::string(R"({"changes":[{"base":3,"entry":"class","name":"x",)")
                         + R"("value":{"owner":"o","priority":1}},{"base":4,"entry":"key",)"
                         + R"("name":"y","value":null}],"id":"1","kind":"change"})",
                 R"({"digest":")" + keyDigest + R"(","id":"2","kind":"key_withdraw"})",
                 std::string(R"({"as_of":9,"entries":[{"entry":"class","name":"x","value":{},)")
                         + R"("version":3}],"id":"3","kind":"refresh","part":1,"parts":2,)"
                         + R"("recent_ids":[{"id":"2","offset":8,"outcome":"void"}],)"
                         + R"("refresh":"r"})",
         })
        BOOST_TEST(readBack(text) == text);
}

// Guards against a record that is nested so deeply that replay exhausts the stack.
BOOST_AUTO_TEST_CASE(deeplyNestedRecordIsRefused)
{
    constexpr int Levels = 100000;
    const std::string nested = std::string(Levels, '[') + std::string(Levels, ']');
    BOOST_TEST(!isOk(parseRecord(
            R"({"id":"1","kind":"change","changes":[{"base":3,"entry":"class","name":"x",)"
            R"("value":)"
            + nested + "}]}")));
    BOOST_TEST(!isOk(parseRecord(R"({"id":"1","kind":"later","field":)" + nested + "}")));
}

// Guards against a record kind of a later release that stops replay.
BOOST_AUTO_TEST_CASE(unknownKindIsNoError)
{
    const auto parsed = parseRecord(R"({"id":"1","kind":"later","field":[1]})");
    BOOST_REQUIRE(isOk(parsed));
    BOOST_TEST(std::get<unknown_record>(valueOf(parsed).body).kind == "later");
}

// Guards against malformed records that are taken for well-formed ones.
BOOST_AUTO_TEST_CASE(refusesMalformedRecords)
{
    using error = record_error;
    const auto expect = [](const std::string &text, error code) {
        const auto parsed = parseRecord(text);
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_REQUIRE(!isOk(parsed));
            BOOST_TEST((errorOf(parsed).code == code));
        }
    };
    expect("", error::NotJson);
    expect("[1]", error::NotJson);
    expect("\xff", error::NotJson);
    expect(R"({"kind":"change"})", error::NoId);
    expect(R"({"id":7,"kind":"change"})", error::NoId);
    expect(R"({"id":")" + std::string(129, 'x') + R"(","kind":"change"})", error::NoId);
    expect(R"({"id":"1"})", error::BadField);
    expect(R"({"id":"1","kind":"change"})", error::BadField);
    expect(R"({"id":"1","kind":"change","changes":[]})", error::BadField);
    expect(R"({"id":"1","kind":"change","changes":[1]})", error::BadField);
    expect(R"({"id":"1","kind":"change","changes":[{"entry":"class","name":"x","base":-1,)"
           R"("value":null}]})",
           error::BadField);
    expect(R"({"id":"1","kind":"change","changes":[{"entry":"other","name":"x","base":0,)"
           R"("value":null}]})",
           error::BadField);
    expect(R"({"id":"1","kind":"change","changes":[{"entry":"class","name":"x","base":0}]})",
           error::BadField);
    expect(R"({"id":"1","kind":"key_withdraw","digest":"ab"})", error::BadField);
    expect(R"({"id":"1","kind":"key_withdraw","digest":")" + keyDigest + R"(","extra":1})",
           error::BadField);
}
