#define BOOST_TEST_MODULE config_check_command
#include <boost/test/unit_test.hpp>

#include "burdockhold/ctl_config.h"
#include "platform/deployment_codec.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace burdockhold;

namespace {

using json = nlohmann::json;

json cleanBody()
{
    return json::parse(
            R"({"version":2,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe",)"
            R"("service":"p"}],"services":[{"name":"p"}],)"
            R"("tenants":[{"name":"t","api_keys":["k"]}]})");
}

/// Runs the command on two files, which are removed afterwards.
struct fixture
{
    ~fixture()
    {
        std::remove(nextFile.c_str());
        std::remove(inForceFile.c_str());
    }

    ctl_exit check(const std::string &next, const std::string &inForce = "")
    {
        std::ofstream(nextFile) << next;
        std::ofstream(inForceFile) << inForce;
        out.str("");
        err.str("");
        return checkConfig(context, { nextFile, inForce.empty() ? "" : inForceFile });
    }

    std::string unique = std::to_string(::getpid());
    std::string nextFile = "config-check-next-" + unique + ".json";
    std::string inForceFile = "config-check-in-force-" + unique + ".json";
    std::ostringstream out;
    std::ostringstream err;
    ctl_context context{ out, err };
};

} // namespace

#define CHECK_EXIT(actual, expected)                                                               \
    BOOST_TEST(static_cast<int>(actual) == static_cast<int>(ctl_exit::expected))

BOOST_FIXTURE_TEST_SUITE(checkConfigCommand, fixture)

// Guards against an exit status that does not tell errors, warnings and differences apart.
BOOST_AUTO_TEST_CASE(exitStatusDependsOnTheWorstFinding)
{
    json body = cleanBody();
    CHECK_EXIT(check(body.dump()), Done);
    BOOST_TEST(out.str() == "nothing found\n");
    body["version"] = 3;
    body["routes"][0]["priority"] = 1;
    CHECK_EXIT(check(body.dump(), cleanBody().dump()), Done);
    BOOST_TEST(out.str()
               == "difference routes[0].priority: route \"h/\": priority changed from 5 to 1 "
                  "(changed)\n");
    body["routes"][0]["timeout_ms"] = 100;
    CHECK_EXIT(check(body.dump(), cleanBody().dump()), Warnings);
    body["routes"][0]["timeout_ms"] = -1;
    CHECK_EXIT(check(body.dump(), cleanBody().dump()), Refused);
}

// Guards against a file with several errors that needs several runs, and against a parser that
// accepts what the router refuses.
BOOST_AUTO_TEST_CASE(allErrorsAreFoundInOneRun)
{
    json body = cleanBody();
    body["version"] = "2";
    body["routes"][0].erase("host");
    body["routes"][0]["timeout_ms"] = -1;
    body["routes"].push_back(7);
    body["services"][0]["engine"] = { { "slots", 0 } };
    body["tenants"][0]["api_keys"] = { 1 };
    body["limits"] = { { "max_body_bytes", "much" } };
    context.json = true;
    CHECK_EXIT(check(body.dump()), Refused);
    std::vector<std::string> found;
    for (const json &finding : json::parse(out.str())) {
        BOOST_TEST(finding.size() == 4U);
        BOOST_TEST(finding.at("severity") == "error");
        found.push_back(finding.at("place").get<std::string>() + " "
                        + finding.at("code").get<std::string>());
    }
    const std::vector<std::string> expected{ "version wrong_type",
                                             "routes[0].host missing_field",
                                             "routes[0].timeout_ms out_of_bounds",
                                             "routes[1] wrong_type",
                                             "services[0].engine out_of_bounds",
                                             "tenants[0].api_keys wrong_type",
                                             "limits.max_body_bytes wrong_type" };
    BOOST_TEST(found == expected, boost::test_tools::per_element());
    const auto router = platform::decodeDeployment(body.dump());
    BOOST_REQUIRE(!isOk(router));
    BOOST_TEST(errorOf(router).text.find("version: ") == 0U);
}

// Guards against messages that do not say what is wrong with the file as a whole.
BOOST_AUTO_TEST_CASE(filesOfAnotherKindAreTold)
{
    CHECK_EXIT(check("{\n  \"version\": 2,\n  oops\n}"), Refused);
    BOOST_TEST(out.str().find("not JSON: unexpected text or end at line 3, column 3")
               != std::string::npos);
    CHECK_EXIT(check(""), Refused);
    BOOST_TEST(out.str().find("line 1, column 1") != std::string::npos);
    CHECK_EXIT(check("[]"), Refused);
    BOOST_TEST(out.str().find("not a JSON object") != std::string::npos);
    CHECK_EXIT(check(R"({"entries":[]})"), Refused);
    BOOST_TEST(out.str().find("not a deployment") != std::string::npos);
    CHECK_EXIT(check(R"({"version":1e999})"), Refused);
}

// Guards against a file that is taken for an empty deployment because it cannot be read.
BOOST_AUTO_TEST_CASE(unreadableFilesAreTold)
{
    CHECK_EXIT(checkConfig(context, { "no-such-file.json", "" }), BadInput);
    CHECK_EXIT(checkConfig(context, { ".", "" }), BadInput);
    CHECK_EXIT(check(cleanBody().dump(), R"({"version":"1"})"), BadInput);
    BOOST_TEST(err.str().find("version") != std::string::npos);
    BOOST_TEST(out.str().empty());
}

BOOST_AUTO_TEST_SUITE_END()
