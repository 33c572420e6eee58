#define BOOST_TEST_MODULE platform_codec
#include "burdockhold/http_client_connection.h"
#include "burdockhold/request_parser.h"
#include "platform/deployment_codec.h"
#include "platform/engine_codec.h"
#include "platform/log_codec.h"
#include "platform/request_codec.h"
#include "platform/rollout_codec.h"
#include "testing/support_mutation.h"
#include "testing/support_nesting.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/test/unit_test.hpp>

#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

namespace http = boost::beast::http;

namespace {

/// JSON values that are no usable count. Each is too large, too small or of another type.
const std::vector<std::string> absurdNumbers{
    "1e25",
    "1e30",
    "1e400",
    "10000000000000000000000000",
    "-10000000000000000000000000",
    "18446744073709551615",
    "18446744073709551617",
    "9223372036854775807",
    "-9223372036854775808",
    "-1",
    "1.5",
    "6.0",
    "\"6\"",
    "true",
    "null",
    "[6]",
    "{}",
};

/// Parses a caller's request as the router does. Returns nothing if the router refuses it.
std::optional<platform::http_request> parsed(const std::string &bytes)
{
    request_parser parser(caller_limits{});
    std::string rest = bytes;
    while (!rest.empty() && !parser.isComplete() && parser.refusalStatus() == 0) {
        if (!parser.parse(rest))
            break;
    }
    if (!parser.isComplete())
        return std::nullopt;
    return parser.release();
}

std::string request(const std::string &fields, const std::string &body = {})
{
    return "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\n" + fields + "\r\n" + body;
}

const std::string entry = R"({"service":"p","address":"10.0.0.1:80","zone":"z","version":"v1",)"
                          R"("slots":8,"state":"ready","cold_remaining_ms":0,"born":5,)"
                          R"("models":[{"name":"m","version":3,"adapters":[]}],"seq":4})";

std::string changed(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

/// Checks that the entry is refused and that the reason names the field.
void checkRefused(const std::string &body, const std::string &field)
{
    const auto decoded = platform::decodeEndpoint("e1", body);
    BOOST_REQUIRE_MESSAGE(!isOk(decoded), body.substr(0, 300));
    BOOST_TEST(errorOf(decoded).text.find("field " + field + " ") != std::string::npos,
               errorOf(decoded).text << " for " << body.substr(0, 300));
}

} // namespace

// Guards against request smuggling: ambiguous framing that the router reads as one request and the
// endpoint as two.
BOOST_AUTO_TEST_CASE(ambiguousFramingIsRefused)
{
    const std::vector<std::string> refused{
        request("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"),
        request("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"),
        request("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
        request("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"),
        request("Content-Length: +3\r\n", "abc"),
        request("Content-Length: -3\r\n", "abc"),
        request("Content-Length: 3, 3\r\n", "abc"),
        request("Content-Length: 0x3\r\n", "abc"),
        request("Content-Length : 3\r\n", "abc"),
        "POST /a HTTP/1.1\nHost: h\nContent-Length: 0\n\n",
        "POST /a b HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST  /a HTTP/1.1\r\nHost: h\r\n\r\n",
        request("Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n0\r\n\r\n"),
        request("Host: other.example\r\n"),
        "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    };
    for (const std::string &bytes : refused)
        BOOST_TEST(!parsed(bytes).has_value(), bytes);
}

// Guards against callers that set fields reserved for the router, for instance another account's
// name or cache salt.
BOOST_AUTO_TEST_CASE(callersCannotSetRouterFields)
{
    auto message = parsed(request("X-Burdockhold-Attempt-Id: 1\r\n"
                                  "X-Burdockhold-Tenant: other\r\n"
                                  "x-burdockhold-cache-salt: theirs\r\n"
                                  "X-Burdockhold-Hold: h\r\n"
                                  "X-Burdockhold-Pin-Ms: 100\r\n"
                                  "X-Burdockhold-Kv-Backup: 1.2.3.4:5\r\n"
                                  "Kv-From: 1.2.3.4:5/6\r\n"
                                  "X-Burdockhold-Target-Instance: x\r\n"
                                  "X-Burdockhold-Credential: secret\r\n"
                                  "X-Burdockhold-Request-Priority: 0\r\n"
                                  "X-Burdockhold-Expect-Version: 1\r\n"
                                  "X-Burdockhold-Kv-Source: 1.2.3.4:5\r\n"
                                  "X-Burdockhold-Kv-Target: 1.2.3.4:5\r\n"
                                  "X-Own: kept\r\n"
                                  "Content-Length: 0\r\n"));
    BOOST_REQUIRE(message.has_value());
    const caller_request decoded = platform::decodeRequest(std::move(*message));
    BOOST_TEST(decoded.key == "secret");
    endpoint_call_fields callFields;
    callFields.endpointId = "e1";
    callFields.account = "own";
    callFields.timeLeft = std::chrono::milliseconds(1500);
    const std::string call = platform::encodeCall(decoded, callFields);
    for (const char *absent : { "other", "theirs", "Hold", "Pin-Ms", "Backup", "Kv-From", "secret",
                                "Priority", "Expect-Version", "Kv-Source", "Kv-Target" })
        BOOST_TEST(call.find(absent) == std::string::npos, absent);
    BOOST_TEST(call.find("POST /a/b?c=d HTTP/1.1\r\n") == 0U);
    BOOST_TEST(call.find("X-Burdockhold-Tenant: own\r\n") != std::string::npos);
    BOOST_TEST(call.find("X-Burdockhold-Target-Instance: e1\r\n") != std::string::npos);
    BOOST_TEST(call.find("X-Burdockhold-Deadline-Ms: 1500\r\n") != std::string::npos);
    BOOST_TEST(call.find("X-Own: kept\r\n") != std::string::npos);
}

// Guards against a target in absolute form that matches no route, and against an endpoint that is
// told another host than the one that decided the route.
BOOST_AUTO_TEST_CASE(absoluteTargetsAreReadAsTheirOriginForm)
{
    const std::array<std::array<std::string, 3>, 6> cases{ {
            { "http://own:81/a/b?c=d", "/a/b?c=d", "own:81" },
            { "HTTPS://own", "/", "own" },
            { "http://own?c=d", "/?c=d", "own" },
            { "/a", "/a", "h" },
            { "/http://own/a", "/http://own/a", "h" },
            { "ftp://own/a", "ftp://own/a", "h" },
    } };
    for (const auto &[target, origin, host] : cases) {
        auto message = parsed("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
        BOOST_REQUIRE(message.has_value());
        const caller_request decoded = platform::decodeRequest(std::move(*message));
        BOOST_TEST(decoded.target == origin);
        BOOST_TEST(decoded.host == host);
        const std::string call = platform::encodeCall(decoded, {});
        BOOST_TEST(call.find("GET " + origin + " HTTP/1.1\r\n") == 0U, call);
        BOOST_TEST(call.find("Host: " + host + "\r\n") != std::string::npos, call);
    }
}

// Guards against a caller that lists fields in its Connection field so that the router drops them,
// although the endpoint identifies the request by them.
BOOST_AUTO_TEST_CASE(connectionFieldCannotRemoveProtectedFields)
{
    auto message = parsed(request("Connection: close, X-Gone, X-Burdockhold-Attempt-Id, "
                                  "X-Burdockhold-Model, Host\r\n"
                                  "X-Burdockhold-Attempt-Id: 42\r\nX-Burdockhold-Model: m\r\n"
                                  "X-Gone: x\r\nContent-Length: 0\r\n"));
    BOOST_REQUIRE(message.has_value());
    const std::string call = platform::encodeCall(platform::decodeRequest(std::move(*message)), {});
    BOOST_TEST(call.find("X-Burdockhold-Attempt-Id: 42") != std::string::npos);
    BOOST_TEST(call.find("X-Burdockhold-Model: m") != std::string::npos);
    BOOST_TEST(call.find("Host: h.example") != std::string::npos);
    BOOST_TEST(call.find("X-Gone") == std::string::npos);
    BOOST_TEST(call.find("Connection") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(promptSegmentsAndTokensAreDecoded)
{
    auto message = parsed(request("X-Burdockhold-Token-Count: 1460,80\r\n"
                                  "X-Burdockhold-Length-Hint: 30\r\n"
                                  "X-Burdockhold-Prompt-Prefix: 5c:800, 91:410,e4:250\r\n"
                                  "X-Burdockhold-Deadline-Ms: 5000\r\nContent-Length: 2\r\n",
                                  "ab"));
    const caller_request decoded = platform::decodeRequest(std::move(*message));
    BOOST_TEST(decoded.promptTokens == 1460);
    BOOST_TEST(decoded.maxOutputTokens == 80);
    BOOST_TEST(decoded.expectedOutputTokens() == 30);
    BOOST_REQUIRE(decoded.promptSegments.size() == 3U);
    BOOST_TEST(decoded.promptSegments[1].id == "91");
    BOOST_TEST(decoded.promptSegments[1].tokens == 410);
    BOOST_TEST((*decoded.deadline == std::chrono::seconds(5)));
    BOOST_TEST(decoded.body == "ab");
}

// Guards against the use of an endpoint whose entry is malformed, for instance one that another
// writer put into the topic.
BOOST_AUTO_TEST_CASE(unreadableEndpointEntriesAreRefused)
{
    const auto good = platform::decodeEndpoint("e1", entry);
    BOOST_REQUIRE(isOk(good));
    BOOST_TEST(valueOf(good).weights.at("m") == 3);
    BOOST_TEST(valueOf(good).incarnation == 5);
    BOOST_TEST(valueOf(good).softwareVersion == "v1");
    const std::vector<std::string> refused{
        "",
        "\x81\xa4",
        "[]",
        changed(entry, R"("slots":8)", R"("slots":"8")"),
        changed(entry, R"("state":"ready")", R"("state":"well")"),
        changed(entry, R"("address":"10.0.0.1:80",)", ""),
        changed(entry, R"("born":5,)", ""),
        changed(entry, R"("version":3)", R"("version":"3")"),
        changed(entry, R"("version":"v1")", R"("version":1)"),
    };
    for (const std::string &body : refused)
        BOOST_TEST(!isOk(platform::decodeEndpoint("e1", body)), body);
}

// Guards against an order that is carried out with a field missing, of another type or out of
// bounds.
BOOST_AUTO_TEST_CASE(unreadableSoftwareOrdersAreRefused)
{
    const std::string order = R"({"service":"p","target":"v2","duration_s":12})";
    const auto good = platform::decodeSoftwareOrder(order);
    BOOST_REQUIRE(isOk(good));
    BOOST_TEST(valueOf(good).pool == "p");
    BOOST_TEST(valueOf(good).targetVersion == "v2");
    BOOST_TEST(toSeconds(valueOf(good).moveTime) == 12.0);
    for (const std::string &body :
         { std::string(), std::string("[]"), changed(order, R"("v2")", "2"),
           changed(order, R"("service":"p",)", ""), changed(order, "12", "\"12\""),
           changed(order, "12", "0"), changed(order, "12", "-1"), changed(order, "12", "1e300") })
        BOOST_TEST(!isOk(platform::decodeSoftwareOrder(body)), body);
}

BOOST_AUTO_TEST_CASE(softwareStatusRoundTrips)
{
    for (const auto status : { software_order_status::Running, software_order_status::Complete,
                               software_order_status::RolledBack }) {
        const auto record = platform::encodeSoftwareStatus({ "p", "v2", status });
        BOOST_TEST(record.key == "rollout/p");
        const auto decoded = platform::decodeSoftwareStatus(record);
        BOOST_REQUIRE(isOk(decoded));
        BOOST_TEST((valueOf(decoded).status == status));
        BOOST_TEST(valueOf(decoded).targetVersion == "v2");
    }
    BOOST_TEST(!isOk(platform::decodeSoftwareStatus({ "rollout/p", R"({"state":"well"})" })));
    BOOST_TEST(!isOk(platform::decodeSoftwareStatus({ "other/p", R"({"state":"running"})" })));
}

// Guards against truncated reads that are accepted, and against keys or values that lose bytes.
BOOST_AUTO_TEST_CASE(truncatedLogReadsAreRefused)
{
    const auto call = platform::appendKeyedCall("keyed.t", { "key", "va\0lue" });
    const std::string end(7, '\0');
    const std::string page = end + '\x05' + std::string(8, '\0') + call.body;
    const auto read = platform::decodeRead(page);
    BOOST_REQUIRE(isOk(read));
    BOOST_TEST(valueOf(read).end == 5U);
    BOOST_TEST(valueOf(read).records.at(0).key == "key");
    BOOST_TEST(*valueOf(read).records.at(0).value == "va");
    for (std::size_t size = 17; size < page.size(); ++size)
        BOOST_TEST(!isOk(platform::decodeRead(page.substr(0, size))));
}

BOOST_AUTO_TEST_CASE(newestRecordsAreDecodedFromBase64)
{
    const auto page = platform::decodeNewest(
            R"({"items":[{"key":"a","value":"aGVsbG8=","offset":1}],"has_more":true,"end":9})");
    BOOST_REQUIRE(isOk(page));
    BOOST_TEST(*valueOf(page).records.at(0).value == "hello");
    BOOST_TEST(valueOf(page).hasMore);
    BOOST_TEST(!isOk(platform::decodeNewest(R"({"items":[{"key":"a"}],"end":9})")));
    BOOST_TEST(!isOk(platform::decodeNewest("no")));
}

// Guards against retries of calls on a route of an unknown kind, which may not be idempotent.
BOOST_AUTO_TEST_CASE(unknownRouteKindIsTreatedAsAtMostOnce)
{
    const auto decoded = platform::decodeDeployment(
            R"({"version":3,"routes":[{"host":"h","path_prefix":"/","kind":"new","service":"p"}],)"
            R"("services":[{"name":"p"}],"limits":{}})");
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST((valueOf(decoded).routes.at(0).kind == call_kind::AtMostOnce));
    BOOST_TEST(!isOk(platform::decodeDeployment(R"({"version":"3"})")));
}

BOOST_AUTO_TEST_CASE(orderResultsAreDecoded)
{
    BOOST_TEST((platform::decodeOrderResult(202) == order_result::Accepted));
    BOOST_TEST((platform::decodeOrderResult(200) == order_result::AlreadyHolds));
    BOOST_TEST((platform::decodeOrderResult(409) == order_result::Conflict));
    BOOST_TEST((platform::decodeOrderResult(412) == order_result::Fenced));
    BOOST_TEST((platform::decodeOrderResult(421) == order_result::OtherEngine));
    BOOST_TEST((platform::decodeOrderResult(500) == order_result::Refused));
}

// Guards against an empty list of accounts that is taken for a deployment without accounts.
BOOST_AUTO_TEST_CASE(emptyListOfAccountsStillRequiresKeys)
{
    const auto requiresKeys = [](const std::string &fields) {
        const auto decoded = platform::decodeDeployment(R"({"version":3,"routes":[],"services":[])"
                                                        + fields + "}");
        BOOST_REQUIRE(isOk(decoded));
        return valueOf(decoded).requiresKeys;
    };
    BOOST_TEST(requiresKeys(R"(,"tenants":[])"));
    BOOST_TEST(requiresKeys(R"(,"tenants":null)"));
    BOOST_TEST(requiresKeys(R"(,"tenants":[{"name":"t"}])"));
    BOOST_TEST(!requiresKeys(""));
}

// Guards against a list of keys that is null and keeps the earlier deployment in force, and against
// a route whose empty list of shares leaves it without a pool.
BOOST_AUTO_TEST_CASE(listsThatAreNullOrEmptyAreRead)
{
    const auto decoded = [](const std::string &routeFields, const std::string &accountFields) {
        const auto result = platform::decodeDeployment(
                R"({"version":3,"routes":[{"host":"h","path_prefix":"/a/","kind":"safe")"
                + routeFields + R"(}],"services":[],"tenants":[{"name":"t")" + accountFields
                + "}]}");
        BOOST_REQUIRE_MESSAGE(isOk(result), routeFields << accountFields);
        return valueOf(result);
    };
    for (const char *keys : { "", R"(,"api_keys":null)", R"(,"api_keys":[])" })
        BOOST_TEST(decoded("", keys).accounts.front().keys.empty());
    for (const char *split : { "", R"(,"traffic_split":null)", R"(,"traffic_split":[])" }) {
        const auto pools = decoded(std::string(R"(,"service":"p")") + split, "").routes[0].pools;
        BOOST_REQUIRE(pools.size() == 1U);
        BOOST_TEST(pools[0].pool == "p");
    }
    const char *both = R"(,"service":"p","traffic_split":[{"service":"q"}])";
    BOOST_TEST(decoded(both, "").routes[0].pools[0].pool == "q");
}

// Guards against a record or response that is nested so deeply that reading it exhausts the stack.
BOOST_AUTO_TEST_CASE(deeplyNestedTextIsRefused)
{
    const std::string deployment = R"({"version":3,"routes":[],"services":[],"tenants":[],)"
                                   R"("limits":{}})";
    BOOST_REQUIRE(isOk(platform::decodeDeployment(deployment)));
    for (const std::string &nested : { testing::nestedArrays(), testing::nestedObjects() }) {
        const auto extended = changed(entry, R"("seq":4)", R"("seq":4,"later":)" + nested);
        const auto models = changed(entry, R"("models":[)", R"("models":[)" + nested + ",");
        const auto nestedModels = changed(entry,
                                          R"("models":[{"name":"m","version":3,)"
                                          R"("adapters":[]}])",
                                          R"("models":)" + nested);
        for (const std::string &body : { nested, extended, models, nestedModels })
            BOOST_TEST(!isOk(platform::decodeEndpoint("e1", body)), body.substr(0, 200));
        for (const char *field : { R"("tenants":[])", R"("limits":{})", R"("services":[])" }) {
            const std::string name(field, std::string(field).find(':') + 1);
            BOOST_TEST(!isOk(platform::decodeDeployment(changed(deployment, field, name + nested))),
                       field);
        }
        BOOST_TEST(!isOk(platform::decodeDeployment(nested)));
        BOOST_TEST(!isOk(platform::decodeTargetWeights(nested)));
        BOOST_TEST(!isOk(platform::decodeReport(nested)));
        BOOST_TEST(!isOk(platform::decodeSoftwareOrder(nested)));
        BOOST_TEST(!isOk(platform::decodeSoftwareStatus({ "rollout/p", nested })));
        BOOST_TEST(!isOk(platform::decodeNewest(nested)));
        BOOST_TEST(!isOk(platform::decodeJoin(nested)));
    }
}

// Guards against an engine with a number that is converted although it is too large, and so used
// with slots or a start that no engine stated.
BOOST_AUTO_TEST_CASE(absurdNumbersOfEntriesAreRefused)
{
    std::vector<std::string> slots = absurdNumbers;
    slots.insert(slots.end(), { "0", "65537", "2147483648", "4294967304" });
    for (const std::string &number : slots) {
        if (number == "1e400") // Not JSON to the library.
            BOOST_TEST(!isOk(platform::decodeEndpoint("e1", changed(entry, "8", number))));
        else
            checkRefused(changed(entry, R"("slots":8)", R"("slots":)" + number), "slots");
    }
    for (const std::string &number : absurdNumbers) {
        if (number == "1e400")
            continue;
        checkRefused(changed(entry, R"("born":5)", R"("born":)" + number), "born");
        checkRefused(changed(entry, R"("version":3)", R"("version":)" + number), "version");
    }
    for (const char *slotsOfEngine : { "1", "65536" })
        BOOST_TEST(isOk(platform::decodeEndpoint(
                "e1", changed(entry, R"("slots":8)", R"("slots":)" + std::string(slotsOfEngine)))));
    BOOST_TEST(isOk(platform::decodeEndpoint("e1", changed(entry, R"("born":5)", R"("born":0)"))));
}

// Guards against an entry whose address or id no call can use, or that changes the header of a
// call.
BOOST_AUTO_TEST_CASE(addressesThatDoNotParseAreRefused)
{
    for (const std::string address : { "",
                                       ":",
                                       ":80",
                                       "10.0.0.1",
                                       "10.0.0.1:",
                                       "10.0.0.1:0",
                                       "10.0.0.1:65536",
                                       "10.0.0.1:99999999999",
                                       "10.0.0.1:-1",
                                       "10.0.0.1:+80",
                                       "10.0.0.1:80 ",
                                       "10.0.0.1:8x",
                                       " 10.0.0.1:80",
                                       "10.0.0:80",
                                       "10.0.0.256:80",
                                       "10.0.0.1.1:80",
                                       "[::1]:80",
                                       "::1:80",
                                       "engine.example:80",
                                       "http://10.0.0.1:80",
                                       R"(10.0.0.1:80\r\nX: y)",
                                       R"(10.0.0.1\u0000:80)",
                                       R"(10.0.0.1\u0000x:80)",
                                       R"(10.0.0.1:80\u0000)" })
        checkRefused(changed(entry, "10.0.0.1:80", address), "address");
    for (const std::string value : { "null", "80", "[]", "{}", "true" })
        checkRefused(changed(entry, R"("10.0.0.1:80")", value), "address");
    checkRefused(changed(entry, "10.0.0.1:80", std::string(262144, '[')), "address");
    for (const char *address : { "10.0.0.1:1", "10.0.0.1:65535" })
        BOOST_TEST(isOk(platform::decodeEndpoint("e1", changed(entry, "10.0.0.1:80", address))));
    for (const std::string &id : { std::string(), std::string("e 1"), std::string("e1\r\nX: y"),
                                   "e" + std::string(1, '\0'), std::string("e\xff") })
        BOOST_TEST(!isOk(platform::decodeEndpoint(id, entry)), id);
}

BOOST_AUTO_TEST_CASE(unreadableBytesAreNoEntry)
{
    for (const std::string &body :
         { std::string(), std::string(1, '\0'), std::string("\x01\x02"), std::string("null"),
           std::string("5"), std::string(262144, '['), std::string(262144, '{'),
           std::string(262144, '"'), changed(entry, "\"z\"", "\"\xc3\x28\""),
           changed(entry, "\"z\"", "\"\x01\"") })
        BOOST_TEST(!isOk(platform::decodeEndpoint("e1", body)), body.substr(0, 200));
}

// Guards against a mutated entry that throws, or that is accepted with values out of bounds.
BOOST_AUTO_TEST_CASE(mutatedEntriesAreRefusedOrInBounds)
{
    std::mt19937 random(5);
    int accepted = 0;
    for (int round = 0; round < 50000; ++round) {
        std::string body = burdockhold::testing::mutated(entry, random);
        if (round % 2 == 0)
            body = changed(entry, R"("slots":8)",
                           R"("slots":)" + burdockhold::testing::mutated("80000", random));
        const auto decoded = platform::decodeEndpoint("e1", body);
        if (!isOk(decoded))
            continue;
        ++accepted;
        const endpoint_report &report = valueOf(decoded);
        BOOST_TEST(report.slots >= 1, body);
        BOOST_TEST(report.slots <= MaxEndpointSlots, body);
        BOOST_TEST(report.incarnation >= 0, body);
        BOOST_TEST(report.incarnation <= MaxIncarnationMs, body);
        BOOST_TEST(parseAddress(report.address).has_value(), body);
    }
    BOOST_TEST(accepted > 1000);
}

// Guards against a deployment that is applied with a number that nobody can mean.
BOOST_AUTO_TEST_CASE(absurdNumbersOfDeploymentsAreRefused)
{
    const std::string deployment =
            R"({"version":7,"routes":[{"host":"h","path_prefix":"/","kind":"safe",)"
            R"("timeout_ms":5000,"target_latency_ms":600,"gap_target_ms":300,"max_attempts":2,)"
            R"("priority":1,"traffic_split":[{"service":"p","weight":90}]}],)"
            R"("services":[{"name":"p","max_connections":620,"engine":{"slots":128,)"
            R"("kv_capacity_tokens":95573,"kv_token_bytes":262144}},)"
            R"({"name":"s","kv_store_addr":"172.20.0.2:8604","zone":"z","link_mbps":320000.0}],)"
            R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
            R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
            R"("tenants":[{"name":"t","api_keys":["k"],"priority":2,"unit":"token_stream",)"
            R"("uncached_tokens":200,"rate_per_s":130361,"burst":130362}]})";
    BOOST_REQUIRE(isOk(platform::decodeDeployment(deployment)));
    const std::vector<std::string> fields{ R"("version":7)",
                                           R"("timeout_ms":5000)",
                                           R"("target_latency_ms":600)",
                                           R"("gap_target_ms":300)",
                                           R"("max_attempts":2)",
                                           R"("priority":1)",
                                           R"("weight":90)",
                                           R"("max_connections":620)",
                                           R"("slots":128)",
                                           R"("uncached_tokens":200)",
                                           R"("rate_per_s":130361)",
                                           R"("burst":130362)",
                                           R"("link_mbps":320000.0)",
                                           R"("header_timeout_ms":3000)",
                                           R"("idle_timeout_ms":15000)",
                                           R"("max_header_bytes":16384)",
                                           R"("max_body_bytes":4194304)",
                                           R"("kv_capacity_tokens":95573)",
                                           R"("kv_token_bytes":262144)",
                                           R"("priority":2)" };
    for (const std::string &field : fields) {
        const std::string name = field.substr(0, field.find(':') + 1);
        for (const std::string number : { "1e25", "1e30", "10000000000000000000000000",
                                          "18446744073709551615", "-1", "\"6\"", "true", "[]" }) {
            const auto decoded = platform::decodeDeployment(
                    changed(deployment, field, name + number));
            BOOST_REQUIRE_MESSAGE(!isOk(decoded), name << number);
            BOOST_TEST(errorOf(decoded).text.find(name.substr(1, name.size() - 3))
                               != std::string::npos,
                       errorOf(decoded).text);
        }
    }
    for (const char *address : { "172.20.0.2:0", "172.20.0.2", "[::1]:80", "store:80" })
        BOOST_TEST(
                !isOk(platform::decodeDeployment(changed(deployment, "172.20.0.2:8604", address))));
    // An account without a priority of its own.
    BOOST_TEST(isOk(platform::decodeDeployment(
            changed(deployment, R"("priority":2)", R"("priority":null)"))));
}

// Guards against target weights, reports and orders with a number that was converted although it
// does not fit.
BOOST_AUTO_TEST_CASE(absurdNumbersOfOrdersAndReportsAreRefused)
{
    const std::string target = R"({"model":"m","version":2})";
    const std::string report =
            R"({"seq":2,"busy":false,"models":[{"name":"m","version":4,"adapters":[]}]})";
    const std::string newest = R"({"items":[],"has_more":false,"end":9})";
    const std::string joined = R"({"generation":3,"parts":[["t",0,5]]})";
    BOOST_REQUIRE(isOk(platform::decodeTargetWeights(target)));
    BOOST_REQUIRE(isOk(platform::decodeReport(report)));
    BOOST_REQUIRE(isOk(platform::decodeNewest(newest)));
    BOOST_REQUIRE(isOk(platform::decodeJoin(joined)));
    BOOST_TEST(!isOk(platform::decodeTargetWeights(changed(target, "2", "0"))));
    for (const std::string &number : absurdNumbers) {
        BOOST_TEST(!isOk(platform::decodeTargetWeights(changed(target, "2", number))), number);
        BOOST_TEST(!isOk(platform::decodeReport(changed(report, "2", number))), number);
        BOOST_TEST(!isOk(platform::decodeReport(changed(report, "4", number))), number);
        BOOST_TEST(!isOk(platform::decodeNewest(changed(newest, "9", number))), number);
        BOOST_TEST(!isOk(platform::decodeJoin(changed(joined, "3", number))), number);
        BOOST_TEST(!isOk(platform::decodeJoin(changed(joined, "0", number))), number);
    }
    const std::string order = R"({"service":"p","target":"v2","duration_s":12})";
    for (const std::string number : { "1e25", "10000000000000000000000000", "-1", "true", "null" })
        BOOST_TEST(!isOk(platform::decodeSoftwareOrder(changed(order, "12", number))), number);
}
