#define BOOST_TEST_MODULE deployment_history
#include "burdockhold/deployment_history.h"
#include "burdockhold/deployment_part.h"
#include "testing/support_mutation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;
using burdockhold::testing::mutated;

namespace {

using parts_by_key = std::map<std::string, std::string>;

bool chance(std::mt19937 &random, unsigned oneIn)
{
    return random() % oneIn == 0;
}

int below(std::mt19937 &random, unsigned bound)
{
    return static_cast<int>(random() % bound);
}

deployment_route randomRoute(std::mt19937 &random)
{
    deployment_route route;
    route.name = "r" + std::to_string(below(random, 30));
    route.host = "h" + std::to_string(below(random, 4)) + ".example";
    route.pathPrefix = "/" + std::to_string(below(random, 8)) + "/";
    if (chance(random, 2))
        route.pathPrefix += std::to_string(below(random, 3)) + "/";
    route.kind = chance(random, 2) ? call_kind::Stream : call_kind::Idempotent;
    route.timeout = std::chrono::milliseconds(below(random, 3));
    route.maxEndpoints = below(random, 3);
    route.publicAccess = chance(random, 2);
    route.resumable = chance(random, 2);
    route.pools = { { "p" + std::to_string(below(random, 3)), 0.5 } };
    return route;
}

deployment_account randomAccount(std::mt19937 &random)
{
    deployment_account account;
    account.name = "a" + std::to_string(below(random, 5));
    for (int keys = below(random, 3); keys > 0; --keys)
        account.keys.push_back("k" + std::to_string(below(random, 20)));
    if (chance(random, 2))
        account.priority = below(random, 3);
    account.isolated = chance(random, 3);
    account.ratePerSecond = below(random, 3);
    account.countsTokens = chance(random, 2);
    return account;
}

deployment_pool randomPool(std::mt19937 &random)
{
    deployment_pool pool;
    pool.name = "p" + std::to_string(below(random, 3));
    pool.maxConnections = below(random, 2);
    if (chance(random, 2))
        pool.engine = engine_traits{ below(random, 3), 5, 6, { "m" } };
    if (chance(random, 2))
        pool.store = cache_store{ "127.0.0.1:1", "dc", 0.5 };
    return pool;
}

/// Changes some parts of the deployment, or none.
void change(deployment &source, std::mt19937 &random)
{
    source.version += 1 + random() % 3;
    for (int changes = below(random, 4); changes > 0; --changes) {
        if (!source.routes.empty() && chance(random, 2))
            source.routes.erase(source.routes.begin()
                                + below(random, static_cast<unsigned>(source.routes.size())));
        source.routes.push_back(randomRoute(random));
    }
    if (chance(random, 4))
        source.accounts.clear();
    if (chance(random, 2))
        source.accounts.push_back(randomAccount(random));
    if (chance(random, 5))
        source.pools = { randomPool(random), randomPool(random) };
    if (chance(random, 5))
        source.requiresKeys = !source.requiresKeys;
    if (chance(random, 5))
        source.limits.bodyBytes = random() % 3;
}

parts_by_key partsOf(const deployment_update &snapshot)
{
    BOOST_REQUIRE(snapshot.isSnapshot);
    parts_by_key parts;
    for (const topic_record &record : snapshot.parts)
        parts[record.key] = record.value;
    return parts;
}

/// Compares what the request path sees of both deployments.
void checkSameLookups(const deployment_index &index, const deployment_index &reference)
{
    for (int host = 0; host < 4; ++host) {
        const std::string name = "H" + std::to_string(host) + ".example:80";
        for (int first = 0; first < 8; ++first) {
            const std::string path = "/" + std::to_string(first) + "/1/x?q";
            const deployment_route *found = index.findRoute(name, path);
            const deployment_route *expected = reference.findRoute(name, path);
            BOOST_REQUIRE((found == nullptr) == (expected == nullptr));
            if (found != nullptr) {
                BOOST_REQUIRE(found->name == expected->name);
                BOOST_REQUIRE((found->kind == expected->kind));
                BOOST_REQUIRE((found->timeout == expected->timeout));
                BOOST_REQUIRE(found->pools.at(0).pool == expected->pools.at(0).pool);
            }
        }
    }
    for (int key = 0; key < 20; ++key) {
        const std::string text = "k" + std::to_string(key);
        const deployment_account *found = index.findAccount(text);
        const deployment_account *expected = reference.findAccount(text);
        BOOST_REQUIRE((found == nullptr) == (expected == nullptr));
        if (found != nullptr)
            BOOST_REQUIRE(found->name == expected->name);
    }
    BOOST_REQUIRE(index.rules().requiresKeys == reference.rules().requiresKeys);
    BOOST_REQUIRE(index.rules().limits.bodyBytes == reference.rules().limits.bodyBytes);
    BOOST_REQUIRE(index.cacheDomainOf(nullptr).isolatedSet
                  == reference.cacheDomainOf(nullptr).isolatedSet);
}

} // namespace

// Guards against a route, key or limit that stays in force at a VM after it was changed: VMs that
// miss versions and take updates from different senders match the operator's deployment.
BOOST_AUTO_TEST_CASE(replicasMatchTheDeploymentAfterEachUpdate)
{
    int deltas = 0;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        const deployment_history_options options{ seed % 2 == 0 ? 3U : 64U,
                                                  seed % 3 == 0 ? 4U : 1000U };
        std::vector<deployment_history> senders(3, deployment_history(options));
        std::vector<deployment_history> replicas(4, deployment_history(options));
        deployment newest;
        for (int step = 0; step < 150; ++step) {
            change(newest, random);
            for (deployment_history &sender : senders) {
                if (chance(random, 2))
                    BOOST_REQUIRE(sender.put(newest));
            }
            deployment_history &sender = senders[random() % senders.size()];
            deployment_history &replica = replicas[random() % replicas.size()];
            if (!sender.isNewerThan(replica.version()))
                continue;
            const deployment_update sent = sender.since(replica.version());
            const auto update = decodeDeploymentUpdate(encodeDeploymentUpdate(sent));
            BOOST_REQUIRE(isOk(update));
            deltas += sent.isSnapshot ? 0 : 1;
            const auto applied = replica.apply(valueOf(update));
            BOOST_REQUIRE(isOk(applied));
            BOOST_REQUIRE(valueOf(applied));
            BOOST_REQUIRE((replica.version() == sender.version()));
            BOOST_REQUIRE(partsOf(replica.since({})) == partsOf(sender.since({})));
            if (sender.version() == newest.version)
                checkSameLookups(*replica.index(), deployment_index(newest));
        }
    }
    BOOST_TEST(deltas > 1000);
}

// Guards against an update with all parts for a deployment in which hardly anything has changed.
BOOST_AUTO_TEST_CASE(updateHasOnlyTheChangedParts)
{
    std::mt19937 random(1);
    deployment source;
    source.version = 5;
    for (int number = 0; number < 500; ++number) {
        source.routes.push_back(randomRoute(random));
        source.routes.back().pathPrefix = "/" + std::to_string(number) + "/";
    }
    deployment_history history;
    BOOST_REQUIRE(history.put(source));
    BOOST_TEST(history.since({}).parts.size() == 502U);
    source.version = 7;
    BOOST_REQUIRE(history.put(source));
    BOOST_TEST(history.since(5).parts.empty());
    source.version = 8;
    source.routes[3].maxEndpoints = 77;
    source.routes.pop_back();
    BOOST_REQUIRE(history.put(source));
    BOOST_TEST(history.since(5).parts.size() == 2U);
    BOOST_TEST(history.since(7).parts.size() == 2U);
    BOOST_TEST(history.since(8).parts.empty());
    BOOST_TEST(history.since(6).isSnapshot);
}

// Guards against a deployment that goes back to an older version, and against an update that is
// applied to another version than the one it is since.
BOOST_AUTO_TEST_CASE(olderOrUnrelatedUpdatesAreIgnored)
{
    deployment source;
    source.version = 5;
    deployment_history sender;
    deployment_history replica;
    BOOST_REQUIRE(sender.put(source));
    BOOST_REQUIRE(replica.put(source));
    source.version = 6;
    source.requiresKeys = false;
    BOOST_REQUIRE(replica.put(source));
    source.version = 9;
    BOOST_REQUIRE(sender.put(source));
    const auto unrelated = replica.apply(sender.since(5));
    BOOST_TEST(!valueOf(unrelated));
    BOOST_TEST(replica.version().value() == 6U);
    BOOST_TEST(valueOf(replica.apply(sender.since(6))));
    source.version = 8;
    BOOST_TEST(!replica.put(source));
    BOOST_TEST(!valueOf(replica.apply(sender.since({}))));
    BOOST_TEST(replica.version().value() == 9U);
}

// Guards against memory that grows with the number of versions.
BOOST_AUTO_TEST_CASE(oldVersionsAreDiscarded)
{
    deployment source;
    deployment_history history({ 8, 4 });
    for (source.version = 1; source.version <= 20; ++source.version)
        BOOST_REQUIRE(history.put(source));
    BOOST_TEST(!history.since(13).isSnapshot);
    BOOST_TEST(history.since(12).isSnapshot);
}

// Guards against a malformed update that throws or changes a part of the deployment.
BOOST_AUTO_TEST_CASE(malformedUpdatesChangeNothing)
{
    std::mt19937 random(2);
    deployment source;
    source.version = 5;
    source.routes = { randomRoute(random), randomRoute(random) };
    source.accounts = { randomAccount(random) };
    source.pools = { randomPool(random) };
    deployment_history sender;
    BOOST_REQUIRE(sender.put(source));
    const std::string encoded = encodeDeploymentUpdate(sender.since({}));
    int refused = 0;
    for (int round = 0; round < 20000; ++round) {
        deployment_history replica;
        const auto update = decodeDeploymentUpdate(mutated(encoded, random));
        if (!isOk(update) || !isOk(replica.apply(valueOf(update)))) {
            ++refused;
            BOOST_REQUIRE(!replica.version());
        }
    }
    BOOST_TEST(refused > 0);
}
