#define BOOST_TEST_MODULE request_admission
#include "burdockhold/request_admission.h"

#include "burdockhold/result.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

using namespace burdockhold;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ConfigBound(2000);
constexpr milliseconds RevocationBound(5000);

/// What a deployment says of accounts.
enum class accounts_state { NotConfigured, None, One };

deployment_index makeDeployment(accounts_state accounts)
{
    deployment source;
    deployment_route keyed;
    keyed.host = "h";
    keyed.pathPrefix = "/keyed/";
    keyed.pools = { { "p", 1.0 } };
    deployment_route open = keyed;
    open.pathPrefix = "/open/";
    open.publicAccess = true;
    deployment_route empty = keyed;
    empty.pathPrefix = "/empty/";
    empty.pools.clear();
    source.routes = { keyed, open, empty };
    source.requiresKeys = accounts != accounts_state::NotConfigured;
    if (accounts == accounts_state::One) {
        deployment_account account;
        account.name = "a";
        account.keys = { "key-1" };
        source.accounts = { account };
    }
    return deployment_index(source);
}

/// The rules as a person would state them; returns a word for each outcome.
std::string reference(const std::string &path, const std::string &key, accounts_state accounts,
                      milliseconds age)
{
    const bool mayBeOutdated = age > ConfigBound;
    if (path != "/keyed/" && path != "/open/")
        return mayBeOutdated ? "stale" : "no route";
    if (path == "/open/" || accounts == accounts_state::NotConfigured)
        return "without account";
    if (age > RevocationBound - milliseconds(300))
        return "stale";
    if (key == "key-1" && accounts == accounts_state::One)
        return "with account";
    return mayBeOutdated ? "stale" : "unknown key";
}

std::string outcomeOf(const admission_result &result)
{
    return std::visit(
            overloaded{ [](const admitted_request &admitted) {
                           return std::string(admitted.account == nullptr ? "without account"
                                                                          : "with account");
                       },
                        [](admission_refusal refusal) {
                            return std::string(refusal == admission_refusal::StaleView ? "stale"
                                               : refusal == admission_refusal::NoRoute
                                                       ? "no route"
                                                       : "unknown key");
                        } },
            result);
}

} // namespace

// Guards against routes that are open to everybody once the last account is taken away, against a
// wrong 401 or 404 of a VM with an old view, and against a key that counts for
// longer than its withdrawal may take.
BOOST_AUTO_TEST_CASE(oldViewsRefuseOnlyAsNotRun)
{
    std::mt19937 random(32);
    const auto draw = [&random](std::size_t count) { return random() % count; };
    const std::string paths[] = { "/keyed/", "/open/", "/empty/", "/none/" };
    const std::string keys[] = { "key-1", "key-2", "" };
    const accounts_state states[] = { accounts_state::NotConfigured, accounts_state::None,
                                      accounts_state::One };
    const deployment_index deployments[] = { makeDeployment(states[0]), makeDeployment(states[1]),
                                             makeDeployment(states[2]) };
    for (int round = 0; round < 5000; ++round) {
        caller_request request;
        request.host = "h";
        request.target = paths[draw(4)];
        request.key = keys[draw(3)];
        const std::size_t accounts = draw(3);
        const milliseconds age(draw(7000));
        const auto result = admitRequest(deployments[accounts], request,
                                         { age, ConfigBound, RevocationBound });
        BOOST_TEST(outcomeOf(result)
                           == reference(request.target, request.key, states[accounts], age),
                   request.target << " " << request.key << " " << age.count());
    }
}

// Guards against requests that move to another pool when they are repeated, and against shares of a
// split route that differ from its weights.
BOOST_AUTO_TEST_CASE(poolsAreDrawnByTheirWeights)
{
    deployment_route route;
    route.pools = { { "old", 3.0 }, { "new", 1.0 }, { "none", 0.0 } };
    std::mt19937_64 random(7);
    constexpr int Draws = 20000;
    int draws = 0;
    for (int draw = 0; draw < Draws; ++draw) {
        const std::uint64_t hash = random();
        const std::string &pool = choosePool(route, hash);
        BOOST_TEST(pool != "none");
        BOOST_TEST(&pool == &choosePool(route, hash));
        draws += pool == "new" ? 1 : 0;
    }
    BOOST_TEST(draws > Draws * 23 / 100);
    BOOST_TEST(draws < Draws * 27 / 100);
}

// Guards against an account that is charged by requests where its limit counts tokens, and the
// other way round.
BOOST_AUTO_TEST_CASE(costFollowsTheUnitOfTheLimit)
{
    deployment_account account;
    account.defaultCost = 40.0;
    caller_request request;
    request.promptTokens = 900;
    request.maxOutputTokens = 100;
    request.declaresTokens = true;
    BOOST_TEST(requestCost(account, request) == 40.0);
    account.countsTokens = true;
    BOOST_TEST(requestCost(account, request) == 1000.0);
    request.declaresTokens = false;
    BOOST_TEST(requestCost(account, request) == 40.0);
}
