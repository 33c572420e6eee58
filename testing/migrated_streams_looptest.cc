#define BOOST_TEST_MODULE migrated_streams
#include "burdockhold/routed_request.h"
#include "testing/support_continuations.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

// Requests of a router's loop, without its process, whose first engine is about to load weights or
// becomes silent, and may send the rest of its response late.

using namespace burdockhold;
using namespace burdockhold::testing;

namespace {

using ms = std::chrono::milliseconds;

const engine_response firstPart{
    "first", eventStream + chunked, chunk(events(1, 3)), {}, false, "200 OK", true
};
const engine_response unendedPart{ "first", eventStream + chunked, chunk(events(1, 3)), {} };
const engine_response nothing{ "nothing", {}, {}, {}, false, {}, true };
const engine_response rest{ "rest", eventStream + chunked, chunk(events(4, 6)) + LastChunk, {} };

engine_response refusalWith(const std::string &fields)
{
    return { "refusal", "X-Burdockhold-Not-Executed: 1\r\nContent-Length: 0\r\n" + fields,
             {},        {},
             false,     "503 X" };
}

/// What the caller of a request has received.
struct caller_record
{
    int status = 0;
    std::string events;
    bool begun = false;
    bool complete = false;
    bool aborted = false;

    bool ended() const { return complete || aborted || (status != 0 && !begun); }
};

struct migration_fixture
{
    explicit migration_fixture(std::size_t listedEngines)
        : board(settings())
        , paths(io, board)
        , connections(paths)
        , context{ io, board, paths, connections, waiting, migratable }
    {
        board.deploymentConfirmedAt = bootTimeNow();
        board.deployment = deploymentWithRoutes();
        for (std::size_t index = 0; index < listedEngines; ++index)
            list(engineName(index), index);
    }

    ~migration_fixture() { io.poll(); }

    static router_settings settings()
    {
        router_settings result;
        result.vmName = "vm-1";
        result.retryRatio = 10.0; // So that the retry budget allows each continuation.
        return result;
    }

    static std::shared_ptr<const deployment_index> deploymentWithRoutes()
    {
        const auto route = [](const char *prefix, call_kind kind, bool resumable, int engines) {
            deployment_route result;
            result.host = "h";
            result.pathPrefix = prefix;
            result.kind = kind;
            result.resumable = resumable;
            result.maxEndpoints = engines;
            result.publicAccess = true;
            result.pools = { { "desk", 1.0 } };
            return result;
        };
        deployment source;
        source.version = 1;
        source.routes = { route("/resume/", call_kind::Stream, true, 2),
                          route("/resume3/", call_kind::Stream, true, 3),
                          route("/once/", call_kind::Stream, false, 3),
                          route("/pay/", call_kind::AtMostOnce, false, 3) };
        deployment_pool pool;
        pool.name = "desk";
        source.pools = { pool };
        return std::make_shared<deployment_index>(source);
    }

    static std::string engineName(std::size_t index) { return "e" + std::to_string(index); }

    /// Lists an engine at the address of the server with this index.
    void list(const std::string &id, std::size_t index)
    {
        endpoint_report report;
        report.id = id;
        report.pool = "desk";
        report.address = servers[index]->address();
        report.slots = 6;
        report.incarnation = 1;
        board.endpoints.update(report, steadyNow());
    }

    /// Starts a request; the calls of it get the responses in order.
    void start(const std::string &path, std::vector<engine_response> toSend)
    {
        responses = std::move(toSend);
        response_writer writer;
        writer.sendResponse = [this](int status, const auto &, const auto &) {
            record.status = status;
        };
        writer.beginStream = [this](int status, const auto &) {
            record.status = status;
            record.begun = true;
        };
        writer.sendStreamBytes = [this](const std::string &bytes) { record.events += bytes; };
        writer.endStream = [this] { record.complete = true; };
        writer.abortResponse = [this] { record.aborted = true; };
        caller_request toRoute;
        toRoute.method = "POST";
        toRoute.target = path;
        toRoute.host = "h";
        toRoute.attemptId = "id1";
        toRoute.forwardedFields = { { "X-Burdockhold-Attempt-Id", toRoute.attemptId } };
        toRoute.deadline = ms(2500);
        request = std::make_shared<routed_request>(context, toRoute, writer, steadyNow());
        request->start();
    }

    /// Runs the loop until the condition holds. Returns false if it does not within WaitLimitMs.
    template <typename Condition>
    bool runUntil(const Condition &condition)
    {
        const time_point end = steadyNow() + ms(WaitLimitMs);
        while (!condition()) {
            if (steadyNow() > end)
                return false;
            io.restart();
            io.run_for(ms(2));
            waiting.retry();
            if (stepsMigration)
                migrateIfNeeded();
        }
        return true;
    }

    /// Lets the engine of the first call load weights, and the request leave it if it may.
    void loadAtFirstEngine()
    {
        const time_point now = steadyNow();
        for (const time_point at : { now - MinLoadingToMigrate, now })
            board.endpoints.setLoading(engines.front(), duration::zero(), at);
        migrateIfNeeded();
    }

    bool sawFirstPart() const { return record.events == events(1, 3); }

    void migrateIfNeeded()
    {
        for (const auto &stream : migratable_requests(migratable))
            stream->migrateIfNeeded();
    }

    /// Lets the first engine send its late bytes and waits until they have arrived. The loop does
    /// not run meanwhile.
    void sendLate()
    {
        lateReleased = true;
        while (!lateSent)
            std::this_thread::sleep_for(ms(1));
        std::this_thread::sleep_for(ms(5));
    }

    /// Plays a stream that leaves its first engine after the events 1 to 3.
    void playMigration(const std::string &path, std::vector<engine_response> toSend)
    {
        start(path, std::move(toSend));
        BOOST_REQUIRE(runUntil([this] { return record.events == events(1, 3); }));
        loadAtFirstEngine();
        BOOST_REQUIRE(migratable.size() == 1U);
        BOOST_REQUIRE(runUntil([this] { return record.ended(); }));
    }

    /// Last-Event-Id of each call.
    std::vector<std::string> resumedAfter()
    {
        const std::lock_guard lock(mutex);
        return lastEventIds;
    }

    bool serve(const recorded_request &call, response_socket &socket)
    {
        std::size_t number = 0;
        {
            const std::lock_guard lock(mutex);
            number = lastEventIds.size();
            lastEventIds.push_back(call.field("Last-Event-Id"));
            engines.push_back(call.field("X-Burdockhold-Target-Instance"));
        }
        while (number > 0 && holdsNextCalls)
            std::this_thread::sleep_for(ms(1));
        if (number < responses.size() && !responses[number].status.empty())
            respond(responses[number], call, socket);
        if (number > 0 || late.empty()) {
            if (number < responses.size() && responses[number].silent)
                socket.peerClosed(WaitLimitMs);
            return false;
        }
        while (!lateReleased)
            std::this_thread::sleep_for(ms(1));
        socket.write(late);
        lateSent = true;
        socket.peerClosed(WaitLimitMs);
        return false;
    }

    std::mutex mutex;
    std::vector<engine_response> responses;
    std::vector<std::string> lastEventIds;
    std::vector<std::string> engines;
    std::string late; ///< Sent by the first engine after its response once it is released.
    std::atomic<bool> lateReleased{ false };
    std::atomic<bool> lateSent{ false };
    bool stepsMigration = false;               ///< runUntil() lets requests leave silent engines.
    std::atomic<bool> holdsNextCalls{ false }; ///< Calls after the first one are not answered yet.
    caller_record record;
    boost::asio::io_context io;
    router_board board;
    endpoint_paths paths;
    connection_pool connections;
    wait_queue waiting;
    migratable_requests migratable;
    request_context context;
    std::shared_ptr<routed_request> request;
    std::vector<std::unique_ptr<fake_server>> servers = makeServers();

private:
    std::vector<std::unique_ptr<fake_server>> makeServers()
    {
        constexpr int Servers = 3;
        std::vector<std::unique_ptr<fake_server>> made;
        made.reserve(Servers);
        for (int index = 0; index < Servers; ++index)
            made.push_back(std::make_unique<fake_server>(
                    [this](const recorded_request &call, response_socket &socket) {
                        return serve(call, socket);
                    }));
        return made;
    }
};

/// Checks that the caller gets the events 1 to 3 and sees that the stream is incomplete.
void checkIncomplete(const migration_fixture &fixture, const std::string &name)
{
    BOOST_TEST(fixture.record.status == 200, name);
    BOOST_TEST(fixture.record.events == events(1, 3), name << ": " << fixture.record.events);
    BOOST_TEST(!fixture.record.complete, name);
    BOOST_TEST(fixture.record.aborted, name);
}

void checkComplete(migration_fixture &fixture, const std::string &name)
{
    BOOST_TEST(fixture.record.events == events(1, 6), name << ": " << fixture.record.events);
    BOOST_TEST(fixture.record.complete, name);
    const std::vector<std::string> expected{ "", "3", "3" };
    BOOST_TEST(fixture.resumedAfter() == expected, boost::test_tools::per_element());
}

} // namespace

// Guards against a stream that leaves an engine that loads weights and ends as complete, or gets
// other bytes, because the next engine does not continue it.
BOOST_AUTO_TEST_CASE(migratedStreamWhoseContinuationFailsDoesNotEndAsComplete)
{
    std::vector<engine_response> continuations = uselessContinuations();
    for (const engine_response &other : continuationsOfOtherStreams())
        continuations.push_back(other);
    for (const engine_response &next : continuations) {
        migration_fixture two(3);
        two.playMigration("/resume/", { firstPart, next });
        checkIncomplete(two, next.name);
        BOOST_TEST(two.resumedAfter().size() == 2U, next.name);
        migration_fixture three(3);
        three.playMigration("/resume3/", { firstPart, next, rest });
        checkComplete(three, next.name);
    }
}

// Guards against a migrated stream that is cut off because one engine refuses it.
BOOST_AUTO_TEST_CASE(migratedStreamGoesOnAfterARefusal)
{
    for (const char *fields : { "", "Retry-After: 0.1\r\n" }) {
        migration_fixture fixture(3);
        fixture.playMigration("/resume/", { firstPart, refusalWith(fields), rest });
        checkComplete(fixture, fields);
    }
}

// Guards against a refusal that is repeated after a migration and taken as proof that nothing ran.
BOOST_AUTO_TEST_CASE(repeatedRefusalOfAMigratedStreamCountsAsARun)
{
    migration_fixture fixture(2);
    const engine_response refusal = refusalWith("Retry-After: 0.1\r\n");
    fixture.playMigration("/resume/", { firstPart, refusal, refusal, rest });
    checkIncomplete(fixture, "repeated refusal");
    BOOST_TEST(fixture.resumedAfter().size() == 3U);
}

// Guards against more engines than a route allows: the refusal of a call to the address that a
// stream has left is taken as proof that it did not run.
BOOST_AUTO_TEST_CASE(refusalAtTheAddressThatAStreamHasLeftCountsAsARun)
{
    migration_fixture fixture(1);
    fixture.start("/resume/", { firstPart, refusalWith({}), rest });
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.record.events == events(1, 3); }));
    fixture.list("same-address", 0);
    fixture.holdsNextCalls = true;
    fixture.loadAtFirstEngine();
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.resumedAfter().size() == 2U; }));
    fixture.list(migration_fixture::engineName(1), 1);
    fixture.holdsNextCalls = false;
    BOOST_REQUIRE(fixture.runUntil([&] { return fixture.record.ended(); }));
    checkIncomplete(fixture, "refusal at the same address");
    BOOST_TEST(fixture.resumedAfter().size() == 2U);
}

// Guards against a request that may run once and is sent to a second engine because its first one
// loads weights.
BOOST_AUTO_TEST_CASE(requestThatMayRunOnceDoesNotLeaveALoadingEngine)
{
    for (const char *path : { "/once/", "/pay/" }) {
        migration_fixture fixture(3);
        fixture.start(path, { firstPart, rest });
        BOOST_REQUIRE(fixture.runUntil([&] { return fixture.resumedAfter().size() == 1U; }));
        fixture.loadAtFirstEngine();
        fixture.runUntil([&] { return fixture.record.ended(); });
        BOOST_TEST(fixture.resumedAfter().size() == 1U, path);
        BOOST_TEST(!fixture.record.complete, path);
    }
}

// Guards against late bytes of an engine that a stream has left: they end the call to the next
// engine, complete the stream, or bring an event twice.
BOOST_AUTO_TEST_CASE(lateBytesOfAnEngineThatAStreamHasLeftAreNotUsed)
{
    const engine_response unfinished{
        "unfinished", eventStream + chunked, chunk(events(4, 5)), {}
    };
    const std::string error = "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n";
    for (const std::string &late : { chunk(events(4, 6)) + LastChunk, std::string(LastChunk),
                                     chunk("id: 4\nda"), LastChunk + error, error }) {
        for (const bool unreadAtMigration : { true, false }) {
            for (const engine_response &next : { unfinished, rest }) {
                const std::string name = late + next.name;
                migration_fixture fixture(2);
                fixture.late = late;
                fixture.start("/resume/", { unendedPart, next });
                BOOST_REQUIRE(fixture.runUntil([&] { return fixture.sawFirstPart(); }));
                if (unreadAtMigration)
                    fixture.sendLate();
                fixture.holdsNextCalls = true;
                fixture.loadAtFirstEngine();
                BOOST_REQUIRE(
                        fixture.runUntil([&] { return fixture.resumedAfter().size() == 2U; }));
                if (!unreadAtMigration)
                    fixture.sendLate();
                fixture.holdsNextCalls = false;
                BOOST_REQUIRE(fixture.runUntil([&] { return fixture.record.ended(); }));
                const bool whole = next.name == rest.name;
                BOOST_TEST(fixture.record.events == events(1, whole ? 6 : 5), name);
                BOOST_TEST(fixture.record.complete == whole, name);
                BOOST_TEST(fixture.record.aborted == !whole, name);
            }
        }
    }
}

// Guards against an event that comes twice or is lost where the rest of a stream comes about when
// the stream leaves its silent engine.
BOOST_AUTO_TEST_CASE(streamHasEachEventOnceWhenItsEngineSpeaksAgain)
{
    std::size_t migrated = 0;
    const std::vector<int> offsets{ -500, -30, -20, -10, 0, 10, 20, 30, 500 };
    for (const int offset : offsets) {
        migration_fixture fixture(2);
        fixture.late = chunk(events(4, 6)) + LastChunk;
        fixture.stepsMigration = true;
        fixture.start("/resume/", { unendedPart, rest });
        BOOST_REQUIRE(fixture.runUntil([&] { return fixture.sawFirstPart(); }));
        const time_point due = steadyNow() + MaxEngineSilence + ms(offset);
        fixture.runUntil([&] { return steadyNow() >= due; });
        fixture.lateReleased = true;
        BOOST_REQUIRE(fixture.runUntil([&] { return fixture.record.ended(); }));
        BOOST_TEST(fixture.record.events == events(1, 6), offset);
        BOOST_TEST(fixture.record.complete, offset);
        migrated += fixture.resumedAfter().size() - 1;
    }
    BOOST_TEST(migrated > 0U);
    BOOST_TEST(migrated < offsets.size());
}

// Guards against events that are lost or come twice, and an end that looks complete, because a
// request does not reach its engine until later, or no byte of the continuation arrives.
BOOST_AUTO_TEST_CASE(streamWhoseConnectionIsCutInOneDirectionIsWholeOrCutOff)
{
    const engine_response whole{
        "whole", eventStream + chunked, chunk(events(1, 6)) + LastChunk, {}
    };
    migration_fixture lost(2);
    lost.stepsMigration = true;
    lost.late =
            "HTTP/1.1 200 OK\r\nX-Burdockhold-Attempt-Id: id1\r\nX-Burdockhold-Server-Stamp: s1\r\n"
            + whole.fields + "\r\n" + whole.body;
    lost.holdsNextCalls = true;
    lost.start("/resume/", { nothing, whole });
    BOOST_REQUIRE(lost.runUntil([&] { return lost.resumedAfter().size() == 2U; }));
    lost.sendLate();
    lost.holdsNextCalls = false;
    BOOST_REQUIRE(lost.runUntil([&] { return lost.record.ended(); }));
    BOOST_TEST(lost.record.events == events(1, 6));
    BOOST_TEST(lost.record.complete);

    migration_fixture two(3);
    two.stepsMigration = true;
    two.start("/resume/", { firstPart, nothing });
    BOOST_REQUIRE(two.runUntil([&] { return two.record.ended(); }));
    checkIncomplete(two, nothing.name);

    migration_fixture three(3);
    three.stepsMigration = true;
    three.start("/resume3/", { firstPart, nothing, rest });
    BOOST_REQUIRE(three.runUntil([&] { return three.record.ended(); }));
    checkComplete(three, nothing.name);
}
