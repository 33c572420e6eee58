#define BOOST_TEST_MODULE routed_request
#include "burdockhold/routed_request.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <stdexcept>
#include <vector>

using namespace burdockhold;

namespace {

/// What a caller has received.
struct caller_record
{
    std::vector<int> statuses;
    int aborts = 0;
};

/// Requests without a network. Every request is refused, since no deployment has a route.
struct fixture
{
    fixture()
        : board(settings())
        , paths(io, board)
        , connections(paths)
        , context{ io, board, paths, connections, waiting, migratable }
    {
        board.deploymentConfirmedAt = bootTimeNow();
    }

    static router_settings settings()
    {
        router_settings result;
        result.vmName = "vm-1";
        return result;
    }

    static std::shared_ptr<const deployment_index> deploymentWithoutRoutes()
    {
        deployment source;
        source.version = 1;
        return std::make_shared<deployment_index>(source);
    }

    std::shared_ptr<routed_request> makeRequest(caller_record &record, bool throwsOnResponse)
    {
        response_writer writer;
        writer.sendResponse = [&record, throwsOnResponse](int status, const auto &, const auto &) {
            if (throwsOnResponse)
                throw std::runtime_error("the response cannot be formatted");
            record.statuses.push_back(status);
        };
        writer.abortResponse = [&record] { ++record.aborts; };
        caller_request request;
        request.attemptId = "a1";
        return std::make_shared<routed_request>(context, request, writer, steadyNow());
    }

    std::uint64_t failures() { return board.metrics.valueOf(router_counter::HandlerFailures); }

    boost::asio::io_context io;
    router_board board;
    endpoint_paths paths;
    connection_pool connections;
    wait_queue waiting;
    migratable_requests migratable;
    request_context context;
    caller_record first;
    caller_record second;
};

} // namespace

// Guards against a caller that waits for its time limit after an exception before the request's
// timer was set.
BOOST_FIXTURE_TEST_CASE(exceptionAtTheStartEndsTheRequest, fixture)
{
    board.deployment = deploymentWithoutRoutes();
    const auto request = makeRequest(first, true);
    BOOST_REQUIRE_NO_THROW(request->start());
    BOOST_TEST(first.aborts == 1);
    BOOST_TEST(failures() == 1U);
    request->callerDisconnected();
    io.run();
    BOOST_TEST(first.aborts == 1);
}

// Guards against an exception in one waiting request that keeps the others from being placed.
BOOST_FIXTURE_TEST_CASE(exceptionOfAWaitingRequestEndsNoOther, fixture)
{
    const auto failing = makeRequest(first, true);
    const auto next = makeRequest(second, false);
    failing->start();
    next->start();
    BOOST_REQUIRE(waiting.size() == 2U);
    board.deployment = deploymentWithoutRoutes();
    BOOST_REQUIRE_NO_THROW(waiting.retry());
    BOOST_TEST(first.aborts == 1);
    BOOST_TEST(waiting.size() == 0U);
    BOOST_REQUIRE(second.statuses.size() == 1U);
    BOOST_TEST(second.statuses.front() == 404);
}
