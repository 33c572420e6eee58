#define BOOST_TEST_MODULE ctl_explain
#include "burdockhold/ctl_explain.h"

#include <boost/test/unit_test.hpp>

#include <stdlib.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

using namespace burdockhold;

namespace {

const std::string refused = R"({"t":30,"up_ms":9,"vm":"vm-2","event":"request_ended","id":"ab12",)"
                            R"("status":503,"reason":"no_endpoint"})";
const std::string full = R"({"t":20,"up_ms":9,"vm":"vm-2","event":"pool_full","id":"ab12",)"
                         R"("listed":[{"endpoint":"e7","excluded":"loading"}]})";
const std::string otherRequest =
        R"({"t":25,"up_ms":9,"vm":"vm-1","event":"request_ended","id":"ab123","status":200})";

/// A file of its own under /tmp, removed at the end.
struct log_file
{
    explicit log_file(const std::string &line)
    {
        const int descriptor = ::mkstemp(name.data());
        BOOST_REQUIRE(descriptor >= 0);
        ::close(descriptor);
        std::ofstream(name) << line << "\n";
    }
    ~log_file() { std::remove(name.c_str()); }

    std::string name = "/tmp/explain-XXXXXX";
};

struct fixture
{
    ctl_exit run(const std::string &subject, const std::string &lines, bool json = false)
    {
        std::istringstream input(lines);
        context.json = json;
        return explain(context, subject, {}, input);
    }

    std::ostringstream out;
    std::ostringstream err;
    ctl_context context{ out, err };
};

} // namespace

// Guards against a story out of order, and one that mixes in a request whose id begins alike.
BOOST_FIXTURE_TEST_CASE(linesOfTheRequestAreInOrderOfTime, fixture)
{
    const std::string lines = refused + "\n" + otherRequest + "\n 12.5 vm-2 " + full + "\n";
    BOOST_TEST((run("ab12", lines) == ctl_exit::Done));
    BOOST_TEST(out.str()
               == "20 vm-2 pool_full: id=ab12 listed=[{\"endpoint\":\"e7\",\"excluded\":"
                  "\"loading\"}]\n30 vm-2 request_ended: id=ab12 status=503 reason=no_endpoint\n");
}

// Guards against an endpoint that can only be found where it stands at the top of a line.
BOOST_FIXTURE_TEST_CASE(subjectIsFoundWithinLists, fixture)
{
    BOOST_TEST((run("e7", refused + "\n" + full + "\n", true) == ctl_exit::Done));
    BOOST_TEST(out.str() == full + "\n");
}

// Guards against silence where nothing was found, and against lines that stop the command.
BOOST_FIXTURE_TEST_CASE(absentSubjectsAndBadLinesAreTold, fixture)
{
    BOOST_TEST((run("zz", refused + "\n") == ctl_exit::NotFound));
    BOOST_TEST((run("ab12", refused.substr(0, refused.size() - 4) + "\n" + full + "\n")
                == ctl_exit::Done));
    BOOST_TEST(err.str().find("1 lines hold the text but cannot be read") != std::string::npos);
    std::istringstream none;
    BOOST_TEST((explain(context, "ab12", { "/nowhere/day.log" }, none) == ctl_exit::BadInput));
}

// Guards against files of several VMs that are printed one after the other.
BOOST_FIXTURE_TEST_CASE(filesAreMergedByTime, fixture)
{
    const log_file first(refused);
    const log_file second(full);
    std::istringstream none;
    BOOST_TEST((explain(context, "ab12", { first.name, second.name }, none) == ctl_exit::Done));
    BOOST_TEST(out.str().find("pool_full") < out.str().find("request_ended"));
}
