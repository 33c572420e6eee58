#define BOOST_TEST_MODULE version_move
#include <boost/test/unit_test.hpp>

#include "burdockhold/move_controller.h"
#include "burdockhold/move_orders.h"
#include "burdockhold/version_move.h"

#include <cmath>
#include <random>

using namespace burdockhold;

namespace {

constexpr log_time_ms Deadline = 600000;

version_moves startedMove()
{
    version_moves moves;
    const move_record record{ "m", "v1", "v2", Deadline, 0 };
    BOOST_REQUIRE((applyVersionRecord(moves, 5, 1000, record) == record_effect::Applied));
    return moves;
}

bool applies(version_moves &moves, log_offset offset, const version_record &record)
{
    return applyVersionRecord(moves, offset, 2000, record) == record_effect::Applied;
}

} // namespace

// Guards against two operators who both believe that their move of one model is in force.
BOOST_AUTO_TEST_CASE(secondMoveAtOnceIsVoid)
{
    version_moves moves = startedMove();
    BOOST_TEST(!applies(moves, 6, move_record{ "m", "v1", "v3", Deadline, 0 }));
    BOOST_TEST(!applies(moves, 7, move_record{ "m", "v1", "v3", Deadline, 5 }));
    BOOST_TEST(applies(moves, 8, move_record{ "n", "v1", "v3", Deadline, 0 }));
    BOOST_TEST(moves.byModel.at("m").to == "v2");
}

// Guards against a mover that was paused and acts on a stage that is no longer current.
BOOST_AUTO_TEST_CASE(stageOnStaleBaseIsVoid)
{
    version_moves moves = startedMove();
    BOOST_TEST(!applies(moves, 6, stage_record{ 5, 2, 5, "" }));
    BOOST_TEST(applies(moves, 7, stage_record{ 5, 1, 5, "" }));
    BOOST_TEST(!applies(moves, 8, stage_record{ 5, 1, 5, "" }));
    BOOST_TEST(!applies(moves, 9, stage_record{ 5, 2, 5, "" }));
    BOOST_TEST(applies(moves, 10, stage_record{ 5, 2, 7, "" }));
    BOOST_TEST(moves.byModel.at("m").stage == 2);
}

// Guards against a move that goes on after its halt, and against a halt of a finished move.
BOOST_AUTO_TEST_CASE(haltEndsTheMoveForGood)
{
    version_moves moves = startedMove();
    BOOST_TEST(applies(moves, 6, halt_record{ 5, "errors", "" }));
    BOOST_TEST(!applies(moves, 7, stage_record{ 5, 1, 5, "" }));
    BOOST_TEST(!applies(moves, 8, stage_record{ 5, 1, 6, "" }));
    BOOST_TEST(!applies(moves, 9, abort_record{ 5, "" }));
    BOOST_TEST(chooseVersion(moves.byModel.at("m"), "r", false).wanted == "v1");
    BOOST_TEST(!applies(moves, 10, move_record{ "m", "v1", "v3", Deadline, 5 }));
    BOOST_TEST(applies(moves, 11, move_record{ "m", "v1", "v3", Deadline, 6 }));
    BOOST_TEST(applies(moves, 12, stage_record{ 11, 1, 11, "" }));
    BOOST_TEST(applies(moves, 13, stage_record{ 11, 2, 12, "" }));
    BOOST_TEST(applies(moves, 14, stage_record{ 11, 3, 13, "" }));
    BOOST_TEST(applies(moves, 15, stage_record{ 11, 4, 14, "" }));
    BOOST_TEST(!applies(moves, 16, halt_record{ 11, "errors", "" }));
    BOOST_TEST(chooseVersion(moves.byModel.at("m"), "r", true).wanted == "v3");
    BOOST_TEST(!applies(moves, 17, move_record{ "m", "v1", "v4", Deadline, 15 }));
}

// Guards against VMs that disagree because they applied the stream in other stretches or twice:
// random records, compared with one replay from the start.
BOOST_AUTO_TEST_CASE(replayDoesNotDependOnStretches)
{
    for (int seed = 0; seed < 20; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<version_record> stream;
        for (int i = 0; i < 200; ++i) {
            const log_offset move = 1 + random() % 200;
            const log_offset base = random() % 3 == 0 ? random() % 200 : static_cast<log_offset>(i);
            switch (random() % 6) {
            case 0:
                stream.emplace_back(move_record{ "m", "v1", "v2", Deadline, base });
                break;
            case 1:
                stream.emplace_back(halt_record{ move, "", "" });
                break;
            default:
                stream.emplace_back(
                        stage_record{ move, static_cast<int>(1 + random() % 4), base, "" });
            }
        }
        stream.front() = move_record{ "m", "v1", "v2", Deadline, 0 };
        version_moves whole;
        version_moves parts;
        std::size_t position = 0;
        for (std::size_t i = 0; i < stream.size(); ++i)
            applyVersionRecord(whole, i + 1, 1, stream[i]);
        while (position < stream.size()) {
            // Steps back by up to 5 records, as after a read whose response was lost.
            position -= std::min<std::size_t>(position, random() % 5);
            const std::size_t end = std::min(stream.size(), position + 5 + random() % 10);
            for (; position < end; ++position)
                applyVersionRecord(parts, position + 1, 1, stream[position]);
        }
        const move_state &left = whole.byModel.at("m");
        const move_state &right = parts.byModel.at("m");
        BOOST_TEST(left.offset == right.offset);
        BOOST_TEST(left.latest == right.latest);
        BOOST_TEST(left.stage == right.stage);
        BOOST_TEST((left.phase == right.phase));
    }
}

// Guards against records that change on the way through the log, or that are read leniently.
BOOST_AUTO_TEST_CASE(recordsReadBackEqual)
{
    const std::vector<version_record> records{
        move_record{ "m", "v1", "v2", Deadline, 7 },
        stage_record{ 7, 2, 9, "3 \"quoted\"" },
        halt_record{ 7, "errors", "e" },
        abort_record{ 7, "operator" },
    };
    for (const version_record &record : records) {
        const std::string text = formatVersionRecord(record);
        const auto parsed = parseVersionRecord(text);
        BOOST_REQUIRE(isOk(parsed));
        BOOST_TEST(formatVersionRecord(valueOf(parsed)) == text);
        BOOST_TEST(valueOf(parsed).index() == record.index());
    }
    for (const std::string text :
         { "", "[]", "{\"kind\":\"x\"}", "{\"kind\":\"abort\",\"move\":1}",
           "{\"kind\":\"abort\",\"move\":-1,\"reason\":\"\"}",
           "{\"kind\":\"abort\",\"move\":18446744073709551615,\"reason\":\"\"}",
           "{\"kind\":\"abort\",\"move\":1,\"reason\":\"\",\"more\":1}",
           "{\"kind\":\"stage\",\"move\":1,\"stage\":5,\"based_on\":1,\"evidence\":\"\"}" })
        BOOST_TEST(!isOk(parseVersionRecord(text)), text);
    BOOST_TEST(isOk(
            parseVersionRecord("{\"id\":\"u\",\"kind\":\"abort\",\"move\":1,\"reason\":\"\"}")));
}

// Guards against shares that differ from the stage's, and requests that go back and forth.
BOOST_AUTO_TEST_CASE(sharesAreNestedAndExact)
{
    constexpr int Requests = 200000;
    move_state move = startedMove().byModel.at("m");
    std::array<int, StageShares.size()> counts{};
    for (int i = 0; i < Requests; ++i) {
        bool before = false;
        for (std::size_t stage = 0; stage < StageShares.size(); ++stage) {
            move.stage = static_cast<int>(stage);
            const bool isNew = chooseVersion(move, "request" + std::to_string(i), false).isNew;
            BOOST_REQUIRE((isNew || !before));
            before = isNew;
            counts[stage] += isNew ? 1 : 0;
        }
    }
    for (std::size_t stage = 0; stage < StageShares.size(); ++stage) {
        const double share = StageShares[stage] / double(FullShare);
        const double slack = 4.0 * std::sqrt(Requests * share * (1.0 - share));
        BOOST_TEST(std::abs(counts[stage] - Requests * share) <= slack);
    }
}

// Guards against stages that cannot all end before the deadline.
BOOST_AUTO_TEST_CASE(latestStagesKeepTheDeadline)
{
    for (const log_time_ms deadline : { 60000, 600000, 86400000 }) {
        move_state move = startedMove().byModel.at("m");
        move.deadline = deadline;
        for (; move.stage < FinalStage; ++move.stage) {
            const stage_window window = planStage(move);
            BOOST_TEST(window.earliest <= window.latest);
            // The next stage starts one log poll after the latest time.
            move.stageSince = window.latest + 2000;
        }
        BOOST_TEST(move.stageSince <= deadline);
    }
}

// Guards against stages that advance on an old view of the log, before their time, without an
// endpoint to serve them or out of turn.
BOOST_AUTO_TEST_CASE(stageIsProposedOnlyWhenAllHolds)
{
    const version_moves moves = startedMove();
    const move_state &move = moves.byModel.at("m");
    move_controller controller("vm1", 1);
    controller.setMoves(moves);
    move_outcome outcome;
    outcome.choice.move = move.offset;
    outcome.usedNew = true;
    outcome.route = "chat";
    for (int i = 0; i < 40; ++i)
        controller.observe(outcome);
    move_surroundings good;
    good.now = planStage(move).earliest;
    good.fresh = true;
    good.liveVms = { "vm1" };
    good.endpoints["m"] = 9;
    good.newEndpoints["m"] = 1;
    move_surroundings around = good;
    around.fresh = false;
    BOOST_TEST(controller.proposals(around).empty());
    around = good;
    around.now -= 1;
    BOOST_TEST(controller.proposals(around).empty());
    around = good;
    around.newEndpoints["m"] = 0;
    BOOST_TEST(controller.proposals(around).empty());
    around = good;
    around.liveVms = { "vm2" };
    BOOST_TEST(controller.proposals(around).empty());
    const auto records = controller.proposals(good);
    BOOST_REQUIRE(records.size() == 1U);
    BOOST_REQUIRE(std::holds_alternative<stage_record>(records[0]));
    BOOST_TEST(std::get<stage_record>(records[0]).basedOn == move.latest);
    BOOST_TEST(controller.proposals(good).empty());
    outcome.failed = true;
    for (int i = 0; i < 10; ++i)
        controller.observe(outcome);
    good.now += 4000;
    const auto halts = controller.proposals(good);
    BOOST_REQUIRE(halts.size() == 1U);
    BOOST_TEST(std::holds_alternative<halt_record>(halts[0]));
    BOOST_TEST(controller.choose("m", "any")->wanted == "v1");
}

// Guards against an endpoint with another version that is given requests or left as it is.
BOOST_AUTO_TEST_CASE(endpointsAreOrderedByReports)
{
    const version_moves moves = startedMove();
    std::vector<endpoint_report> reports;
    reports.reserve(9);
    for (int i = 0; i < 9; ++i)
        reports.push_back({ "e" + std::to_string(i), "m", "v1" });
    order_planner planner("vm1");
    const time_point start{};
    BOOST_TEST(planner.ordersNow(moves, reports, { "vm1" }, true, start).empty());
    const auto later = [&](int seconds) { return start + std::chrono::seconds(seconds); };
    BOOST_TEST(planner.ordersNow(moves, reports, { "vm1" }, false, later(1)).empty());
    planner.ordersNow(moves, reports, { "vm1" }, false, later(2));
    BOOST_TEST(planner.ordersNow(moves, reports, { "vm1" }, false, later(3)).empty());
    const auto orders = planner.ordersNow(moves, reports, { "vm1" }, true, later(3));
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(orders[0].version == "v2");
    BOOST_TEST(orders[0].fencing == 5U);
    BOOST_TEST(planner.ordersNow(moves, reports, { "vm1" }, true, later(4)).empty());
    planner.ordersNow(moves, reports, { "vm1" }, true, later(5));
    BOOST_TEST(planner.ordersNow(moves, reports, { "vm1" }, true, later(6)).size() == 1U);
    BOOST_TEST(!mayServe({ "e", "m", "v1" }, "v2"));
    BOOST_TEST(!mayServe({ "e", "m", "" }, ""));
}

// Guards against a stage that advances because good outcomes outweigh those since a flaw began.
BOOST_AUTO_TEST_CASE(stageDoesNotAdvanceWhileTheLastOutcomesAreBad)
{
    const version_moves moves = startedMove();
    const move_state &move = moves.byModel.at("m");
    move_controller controller("vm1", 1);
    controller.setMoves(moves);
    move_outcome outcome;
    outcome.choice.move = move.offset;
    outcome.usedNew = true;
    outcome.route = "chat";
    const auto observe = [&](int count, bool failed) {
        outcome.failed = failed;
        for (int i = 0; i < count; ++i)
            controller.observe(outcome);
        controller.merge({});
    };
    move_surroundings around;
    around.now = planStage(move).earliest;
    around.fresh = true;
    around.liveVms = { "vm1" };
    around.endpoints["m"] = 9;
    around.newEndpoints["m"] = 1;
    observe(200, false);
    observe(4, true);
    BOOST_TEST(controller.proposals(around).empty());
    observe(60, false);
    BOOST_TEST(controller.proposals(around).size() == 1U);
}
