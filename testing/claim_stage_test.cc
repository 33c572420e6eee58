#define BOOST_TEST_MODULE claim_stage
#include <boost/test/unit_test.hpp>

#include "burdockhold/claim_stage.h"

using namespace burdockhold;

namespace {

constexpr time_point Start{ std::chrono::seconds(100) };

/// Claims that answer as the test says and count the reports.
class scripted_claims : public call_claims
{
public:
    claim_start claim(const claim_subject & /*subject*/, decided_callback decided) override
    {
        callback = std::move(decided);
        return answer;
    }
    void finished(const std::string & /*claimId*/, claim_answer reported) override
    {
        finishes.push_back(std::move(reported));
    }
    void released(const std::string & /*claimId*/) override { ++releases; }

    claim_start answer = claim_pending{};
    decided_callback callback;
    std::vector<claim_answer> finishes;
    int releases = 0;
};

/// A stage whose claim is decided at once.
struct fixture
{
    void start(const std::string &account = "a1")
    {
        stage.start(subjectOf(account, "k", "POST", "/pay", "b"),
                    [this](const claim_verdict &next) { verdict = next; });
    }

    void win()
    {
        start();
        claims.callback(dispatch_permission{ 1, "c1", Start });
    }

    error_reply error() const { return std::get<error_reply>(verdict); }

    scripted_claims claims;
    claim_stage stage{ &claims };
    claim_verdict verdict;
};

} // namespace

// Guards against a dispatch after the permission's deadline, as after a pause of the VM, and
// against a key that stays taken although nothing was sent.
BOOST_AUTO_TEST_CASE(doesNotDispatchAfterTheDeadline)
{
    fixture f;
    f.win();
    BOOST_TEST(std::holds_alternative<claim_won>(f.verdict));
    BOOST_TEST(f.stage.mayDispatch(Start - duration(1)));
    BOOST_TEST(!f.stage.mayDispatch(Start));
    f.stage.close(false);
    BOOST_TEST(f.claims.releases == 1);
    BOOST_TEST(f.claims.finishes.empty());
    BOOST_TEST((f.stage.outcome() == claim_outcome::Released));
}

// Guards against a release of a call that an endpoint may have received.
BOOST_AUTO_TEST_CASE(callThatMayHaveReachedAnEndpointIsUnknown)
{
    fixture f;
    f.win();
    f.stage.close(true);
    BOOST_TEST(f.claims.releases == 0);
    BOOST_REQUIRE(f.claims.finishes.size() == 1);
    BOOST_TEST((f.claims.finishes[0].outcome == finish_outcome::Unknown));
}

// Guards against two reports for one call, of which the second could free the key.
BOOST_AUTO_TEST_CASE(reportsTheOutcomeOnce)
{
    fixture f;
    f.win();
    f.stage.answered(200, "text/plain", "paid");
    f.stage.close(false);
    f.stage.close(true);
    BOOST_TEST(f.claims.releases == 0);
    BOOST_REQUIRE(f.claims.finishes.size() == 1);
    BOOST_TEST((f.claims.finishes[0].outcome == finish_outcome::Answered));
    BOOST_TEST(f.claims.finishes[0].body == "paid");
}

// Guards against a finish record that no reader accepts: its call would stay in progress.
BOOST_AUTO_TEST_CASE(statusOutsideOfHttpIsUnknown)
{
    for (const int status : { 0, 99, 600 }) {
        fixture f;
        f.win();
        f.stage.answered(status, "", "");
        BOOST_REQUIRE(f.claims.finishes.size() == 1);
        BOOST_TEST((f.claims.finishes[0].outcome == finish_outcome::Unknown));
    }
}

// Guards against an error that misleads the caller: "not run" is said only when this call did not
// run and no call with its key may have.
BOOST_AUTO_TEST_CASE(repliesForEachState)
{
    const auto errorFor = [](claim_state state, finish_outcome outcome) {
        fixture f;
        f.claims.answer = claim_view{ state, 3, claim_answer{ outcome, 200, "", "" } };
        f.start();
        BOOST_TEST((f.stage.outcome() != claim_outcome::Won));
        f.stage.close(false);
        BOOST_TEST(f.claims.releases == 0);
        return f.error();
    };
    const error_reply running = errorFor(claim_state::InProgress, finish_outcome::Unknown);
    BOOST_TEST(running.status == 409);
    BOOST_TEST(running.retryAfterSeconds == 3);
    BOOST_TEST((running.run == run_state::Unknown));
    const error_reply unknown = errorFor(claim_state::OutcomeUnknown, finish_outcome::Unknown);
    BOOST_TEST(unknown.status == 502);
    BOOST_TEST((unknown.run == run_state::Unknown));
    const error_reply conflict = errorFor(claim_state::BodyConflict, finish_outcome::Unknown);
    BOOST_TEST(conflict.status == 422);
    BOOST_TEST((conflict.run == run_state::NotRun));
    const error_reply dropped = errorFor(claim_state::Answered, finish_outcome::BodyNotRetained);
    BOOST_TEST(dropped.status == 502);
    BOOST_TEST(dropped.code == "answer_not_retained");
}

// Guards against a call that runs without a claim: no claims, no room, no account, or no record in
// time.
BOOST_AUTO_TEST_CASE(runsNothingWithoutAClaim)
{
    fixture full;
    full.claims.answer = claim_refusal::Full;
    full.start();
    BOOST_TEST(full.error().status == 503);
    BOOST_TEST(full.error().code == "claims_full");

    fixture late;
    late.start();
    late.claims.callback(not_run_reply{ 1, "c1" });
    BOOST_TEST(late.error().status == 503);
    BOOST_TEST((late.error().type == error_type::NotRun));

    fixture anonymous;
    anonymous.start("");
    BOOST_TEST(anonymous.error().status == 401);
    BOOST_TEST(!anonymous.claims.callback);

    claim_stage none(nullptr);
    claim_verdict verdict;
    none.start({}, [&](const claim_verdict &next) { verdict = next; });
    BOOST_TEST(std::get<error_reply>(verdict).status == 503);
}

// Guards against equal digests of different calls.
BOOST_AUTO_TEST_CASE(digestCoversMethodPathAndBody)
{
    const auto digest = [](const char *method, const char *path, const char *body) {
        return subjectOf("a", "k", method, path, body).bodyDigest;
    };
    const std::string base = digest("POST", "/pay?to=b", "1");
    BOOST_TEST(base == digest("POST", "/pay?to=b", "1"));
    BOOST_TEST(base != digest("PUT", "/pay?to=b", "1"));
    BOOST_TEST(base != digest("POST", "/pay?to=c", "1"));
    BOOST_TEST(base != digest("POST", "/pay", "1"));
    BOOST_TEST(base != digest("POST", "/pay?to=b", "2"));
    BOOST_TEST(digest("POST", "/pay", "x") != digest("POST", "/payx", ""));
}
