#define BOOST_TEST_MODULE odd_entries_own
#include <boost/test/unit_test.hpp>

#include "burdockhold/peer_message.h"
#include "testing/support_site.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>

#include <string>
#include <vector>

// Entries of unusual types, sizes and depth in what a real daemon reads.

using namespace burdockhold;
using namespace burdockhold::testing;
using nlohmann::json;

namespace {

constexpr int DeepNesting = 100000;

std::string nested(const std::string &open, const std::string &middle, const std::string &close)
{
    std::string text;
    for (int i = 0; i < DeepNesting; ++i)
        text += open;
    text += middle;
    for (int i = 0; i < DeepNesting; ++i)
        text += close;
    return text;
}

/// One engine and one daemon that serves its catalogue.
class odd_site
{
public:
    odd_site()
        : m_fleet(options())
    {
        m_fleet.append(
                "config",
                { changeRecord("catalogue", basicCatalogue({ m_fleet.engines()[0].url }, {})) });
        m_key = m_fleet.issueKey("a1");
        m_fleet.startDaemon("vm-1");
        BOOST_REQUIRE(eventually(
                [this] { return httpCall(daemon().adminUrl, "GET", "/healthz").status == 200; }));
    }

    running_daemon &daemon() { return m_fleet.daemons().front(); }
    fleet &parts() { return m_fleet; }

    void appendText(const std::string &stream, const std::string &record)
    {
        const auto reply = httpCall(m_fleet.log().url, "POST", "/streams/" + stream + "/records",
                                    json{ { "records", json::array({ record }) } }.dump());
        BOOST_REQUIRE(reply.status < 300);
    }

    std::uint64_t status(const char *field)
    {
        return httpCall(daemon().adminUrl, "GET", "/status").json().at(field).get<std::uint64_t>();
    }

    /// Appends a class, waits until it is in force, and runs a
    /// request.
    void checkServes(const std::string &name)
    {
        const std::string id = "after " + std::to_string(++m_checks);
        m_fleet.append(
                "config",
                { changeRecord(id, { { { "entry", "class" },
                                       { "name", std::to_string(m_checks) },
                                       { "base", 0 },
                                       { "value", { { "owner", "o" }, { "priority", 1 } } } } }) });
        const auto last = static_cast<std::uint64_t>(m_fleet.lastConfigOffset());
        BOOST_TEST(eventually([&] { return status("config_offset") >= last; }), name);
        const auto reply = httpCall(daemon().url, "POST", "/v1/completions",
                                    R"({"model":"base","prompt":"p","max_tokens":2})",
                                    { { "Authorization", "Bearer " + m_key } });
        BOOST_TEST(reply.status == 200, name << ": " << reply.status << " " << reply.body);
        BOOST_REQUIRE(!daemon().process.wait(std::chrono::milliseconds(0)));
    }

private:
    static fleet_options options()
    {
        fleet_options options;
        options.programFolder = BURDOCKHOLD_BINARY_DIR;
        options.engines = { {} };
        return options;
    }

    fleet m_fleet;
    std::string m_key;
    int m_checks = 0;
};

std::string endpointRecord(const std::string &id, const std::string &field,
                           const std::string &value)
{
    return R"({"id":")" + id
           + R"(","kind":"change","changes":[{"entry":"endpoint","name":"odd","base":0,"value":)"
           + R"({"owner":"o","pool":"p","data_centre":"d",")" + field + "\":" + value + "}}]}";
}

} // namespace

// Guards against a record of the log that ends the daemon or its following of the stream.
BOOST_AUTO_TEST_CASE(oddRecordsDoNotEndTheFollowing)
{
    odd_site place;
    std::vector<std::string> odd{
        nested("[", "", "]"),
        nested(R"({"id":)", "1", "}"),
        R"({"id":"deep","kind":"change","changes":)" + nested("[", "", "]") + "}",
        R"({"id":"deep2","kind":"epoch","based_on":0,"vms":)" + nested("[", "", "]") + "}",
        R"({"claim":"c","kind":"claim","account":)" + nested("[", "", "]") + "}",
        "1e999",
        R"({"id":{},"kind":[]})",
        R"({"id":"e1","kind":"epoch","based_on":1e30,"vms":[]})",
        R"({"id":"e2","kind":"epoch","based_on":18446744073709551615,"vms":[{"name":"x","data_centre":"d"}]})",
        R"({"id":"e3","kind":"epoch_ack","epoch":18446744073709551615,"vm":"vm-9"})",
        R"({"id":"r1","kind":"refresh","refresh":"r","as_of":18446744073709551615,"part":0,"parts":1,"entries":[],"recent_ids":[]})",
        R"({"id":"r2","kind":"refresh","refresh":"r","as_of":1,"part":0,"parts":18446744073709551615,"entries":[],"recent_ids":[]})"
    };
    for (const std::string url :
         { R"("http://127.0.0.1:99999")", R"("http://127.0.0.1:0")", R"("http://127.0.0.1:-1")",
           R"("http://[::::]:80")", R"("http://999.1.1.1:80")", "80", "null", "[]" })
        odd.push_back(endpointRecord("url " + std::to_string(odd.size()), "url", url));
    for (const std::string number : { "1e30", "99999999999999999999999", "-1", "\"5\"", "{}" })
        odd.push_back(endpointRecord("n " + std::to_string(odd.size()), "max_concurrent", number));
    for (const std::string &record : odd) {
        place.appendText("config", record);
        place.appendText("claims", record);
        place.checkServes(record.substr(0, 100));
    }
}

// Guards against a peer's odd withdrawal that is appended to the log again and again, and against
// the loss of the others of its message.
BOOST_AUTO_TEST_CASE(oddWithdrawalOfAPeerIsNotAppended)
{
    odd_site place;
    const std::int64_t before = place.parts().lastConfigOffset();
    const auto bytes = formatPeerMessage(
            { "vm-2", 1, 1, heartbeat_message{ 1, { "no digest", std::string(64, 'b') }, {} } });
    BOOST_REQUIRE(isOk(bytes));
    nng_socket sender = NNG_SOCKET_INITIALIZER;
    BOOST_REQUIRE(nng_req0_open(&sender) == 0);
    BOOST_REQUIRE(nng_dial(sender, place.daemon().settings.peer.c_str(), nullptr, 0) == 0);
    std::string message = valueOf(bytes);
    BOOST_REQUIRE(nng_send(sender, message.data(), message.size(), 0) == 0);
    // Another VM's withdrawal is appended after two seconds, and again every half second.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    nng_close(sender);
    BOOST_TEST(place.parts().lastConfigOffset() == before + 1);
    BOOST_TEST(place.status("pending_withdrawals") == 0U);
    place.checkServes("odd withdrawal");
}
