#define BOOST_TEST_MODULE evacuations
#include "burdockhold/endpoint_choice.h"
#include "burdockhold/evacuations.h"
#include "burdockhold/left_out.h"
#include "burdockhold/migration_rules.h"
#include "burdockhold/region_rules.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

duration at(int tenths)
{
    return std::chrono::milliseconds(100 * tenths);
}

/// The operator's topic as a seeded sequence of records, and the state at each time.
struct reference_topic
{
    std::vector<std::set<std::string>> states; ///< By time in tenths of a second.
};

reference_topic makeTopic(std::mt19937 &random, int tenths)
{
    reference_topic topic;
    std::set<std::string> state;
    for (int now = 0; now < tenths; ++now) {
        const std::string dataCentre = "z" + std::to_string(random() % 4);
        if (random() % 6 == 0 && state.erase(dataCentre) == 0)
            state.insert(dataCentre);
        topic.states.push_back(state);
    }
    return topic;
}

} // namespace

// Guards against an older view of another VM that ends an evacuation, and against an evacuation
// that never ends because the view that shows its end came from another VM.
BOOST_AUTO_TEST_CASE(views_of_changing_readers_follow_the_topic)
{
    constexpr int MaxLag = 12;
    constexpr int Tenths = 2000;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        const reference_topic topic = makeTopic(random, Tenths);
        evacuations evacuated;
        int confirmed = 0;
        for (int now = MaxLag; now < Tenths; ++now) {
            // Each step reads a snapshot of a reader whose view has another age.
            const int viewAt = now - static_cast<int>(random() % MaxLag);
            const auto &state = topic.states[static_cast<std::size_t>(viewAt)];
            for (const std::string &dataCentre : state)
                evacuated.recordRead(dataCentre, at(now));
            evacuated.listed(state);
            evacuated.confirmView(at(viewAt));
            confirmed = std::max(confirmed, viewAt);
            for (const std::string name : { "z0", "z1", "z2", "z3" }) {
                bool always = true; // In force in every view that may have been read since.
                for (int time = now - 2 * MaxLag; time <= now; ++time)
                    always = always && time >= 0
                             && topic.states[static_cast<std::size_t>(time)].count(name) != 0;
                if (always)
                    BOOST_TEST(evacuated.isEvacuated(name));
            }
        }
        evacuated.listed({});
        evacuated.confirmView(at(Tenths + 1));
        BOOST_TEST(evacuated.empty());
    }
}

// Guards against bad input with an effect, and against a log line for each reading of a record.
BOOST_AUTO_TEST_CASE(bad_input_is_reported_once)
{
    evacuations evacuated({ 2, 8 });
    BOOST_TEST((evacuated.deletionRead("z1") == evacuation_outcome::NotInForce));
    BOOST_TEST((evacuated.recordRead("", at(1)) == evacuation_outcome::BadName));
    BOOST_TEST((evacuated.recordRead("too long a name", at(1)) == evacuation_outcome::BadName));
    BOOST_TEST((evacuated.recordRead("z1", at(1)) == evacuation_outcome::Started));
    BOOST_TEST((evacuated.recordRead("z1", at(2)) == evacuation_outcome::AlreadyInForce));
    BOOST_TEST((evacuated.recordRead("z1", at(3)) == evacuation_outcome::Unchanged));
    BOOST_TEST((evacuated.recordRead("z2", at(3)) == evacuation_outcome::Started));
    BOOST_TEST((evacuated.recordRead("z3", at(3)) == evacuation_outcome::TooMany));
    BOOST_TEST((evacuated.inForceFor("z1", at(11)) == at(10)));
    BOOST_TEST((evacuated.deletionRead("z1") == evacuation_outcome::Ended));
    BOOST_TEST(!evacuated.isEvacuated("z1"));
}

// Guards against requests to evacuated endpoints, copies from them, and a preferred endpoint among
// them.
BOOST_AUTO_TEST_CASE(evacuated_and_cold_endpoints_get_no_request)
{
    std::mt19937 random(3);
    for (int round = 0; round < 500; ++round) {
        std::vector<endpoint_candidate> candidates(1 + random() % 24);
        std::vector<std::string> ids;
        for (std::size_t index = 0; index < candidates.size(); ++index)
            ids.push_back("e" + std::to_string(index));
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            candidates[index].id = ids[index];
            candidates[index].slots = 4;
            candidates[index].holdsSegment = random() % 2 == 0;
            if (random() % 2 == 0)
                candidates[index].excluded = random() % 2 == 0 ? exclusion::Evacuated
                                                               : exclusion::Cold;
        }
        placement_need need;
        need.affinityKey = "key" + std::to_string(round);
        need.segmentTokens = 4000;
        need.promptTokens = 5000;
        const auto preferred = preferredEndpoint(candidates, need.affinityKey);
        BOOST_TEST((!preferred || candidates[*preferred].excluded != exclusion::Evacuated));
        const auto choice = chooseEndpoint(candidates, need, random());
        const bool anyUsable = std::any_of(candidates.begin(), candidates.end(), [](const auto &c) {
            return c.excluded == exclusion::None;
        });
        BOOST_TEST(choice.has_value() == anyUsable);
        if (!choice)
            continue;
        BOOST_TEST((candidates[choice->index].excluded == exclusion::None));
        if (choice->copyFrom)
            BOOST_TEST((candidates[*choice->copyFrom].excluded == exclusion::None));
    }
}

// Guards against requests that wait although everything is evacuated, and against that reason where
// an endpoint may still serve.
BOOST_AUTO_TEST_CASE(all_evacuated_is_refused_at_once)
{
    endpoint_candidate evacuated;
    evacuated.excluded = exclusion::Evacuated;
    endpoint_candidate cold;
    cold.excluded = exclusion::Cold;
    endpoint_candidate tried;
    tried.excluded = exclusion::Tried;
    endpoint_candidate leaving;
    leaving.excluded = exclusion::Leaving;
    const time_point end = time_point::max();
    BOOST_TEST(mustRefuseAtOnce(countLeftOut({ evacuated, evacuated }), end));
    BOOST_TEST(mustRefuseAtOnce(countLeftOut({ evacuated, leaving }), end));
    BOOST_TEST(!mustRefuseAtOnce(countLeftOut({ evacuated, cold }), end));
    BOOST_TEST(!mustRefuseAtOnce(countLeftOut({ evacuated, tried }), end));
    BOOST_TEST(reasonOf(countLeftOut({ evacuated, evacuated })) == "all_evacuated");
    BOOST_TEST(reasonOf(countLeftOut({ evacuated, leaving })) == "all_leaving");
}

// Guards against streams that leave at once, all together, or after the bound.
BOOST_AUTO_TEST_CASE(streams_leave_an_evacuated_data_centre_before_the_bound)
{
    migration_facts facts;
    facts.executionsLeft = 2;
    facts.callsLeft = 1;
    BOOST_TEST(!shouldLeaveEvacuated(facts, call_kind::Stream, 0.0));
    BOOST_TEST(!shouldLeaveEvacuated(facts, call_kind::Stream, 0.1));
    BOOST_TEST(shouldLeaveEvacuated(facts, call_kind::Stream, 0.6));
    BOOST_TEST(!shouldLeaveEvacuated(facts, call_kind::Idempotent, 0.6));
    facts.executionsLeft = 1;
    BOOST_TEST(!shouldLeaveEvacuated(facts, call_kind::Stream, 0.6));
}

// Guards against engines outside of the regions of the route or of the account.
BOOST_AUTO_TEST_CASE(both_rules_of_regions_apply)
{
    const std::map<std::string, std::string, std::less<>> regions{ { "z1", "eu" }, { "z2", "us" } };
    deployment_route route;
    deployment_account account;
    BOOST_TEST(!regionRulesOf(route, nullptr).restricts());
    route.allowedRegions = { "eu", "us", "z3" };
    const region_rules ofRoute = regionRulesOf(route, nullptr);
    BOOST_TEST(ofRoute.restricts());
    BOOST_TEST(ofRoute.allows("z1", regions));
    BOOST_TEST(ofRoute.allows("z3", regions)); // A region of its own name.
    BOOST_TEST(!ofRoute.allows("z4", regions));
    account.allowedRegions = { "us" };
    const region_rules both = regionRulesOf(route, &account);
    BOOST_TEST(!both.allows("z1", regions));
    BOOST_TEST(both.allows("z2", regions));
    BOOST_TEST(!both.allows("z3", regions));
}
