#define BOOST_TEST_MODULE deployment
#include "burdockhold/deployment.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <string>

using namespace burdockhold;

namespace {

deployment_route makeRoute(const std::string &name, const std::string &host,
                           const std::string &prefix)
{
    deployment_route made;
    made.name = name;
    made.host = host;
    made.pathPrefix = prefix;
    return made;
}

/// Reference implementation by linear search: the host's route with the longest prefix of the path.
std::string referenceRoute(const deployment &source, const std::string &host,
                           const std::string &path)
{
    const deployment_route *best = nullptr;
    for (const deployment_route &candidate : source.routes) {
        const bool matches = candidate.host == host && path.rfind(candidate.pathPrefix, 0) == 0;
        if (matches && (best == nullptr || candidate.pathPrefix.size() > best->pathPrefix.size()))
            best = &candidate;
    }
    return best == nullptr ? std::string() : best->name;
}

std::string randomPath(std::mt19937 &random)
{
    std::string path = "/";
    for (unsigned part = random() % 4; part > 0; --part)
        path += std::string(1, static_cast<char>('a' + random() % 3)) + "/";
    return path;
}

} // namespace

// Guards against a request that is routed by a shorter prefix although a longer one matches.
BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostWins)
{
    std::mt19937 random(3);
    for (int round = 0; round < 200; ++round) {
        deployment source;
        std::set<std::string> seen;
        for (int number = 0; number < 12; ++number) {
            const std::string host = random() % 2 == 0 ? "a.example" : "b.example";
            const std::string prefix = randomPath(random);
            if (seen.insert(host + prefix).second)
                source.routes.push_back(makeRoute(std::to_string(number), host, prefix));
        }
        const deployment_index index(source);
        for (int number = 0; number < 20; ++number) {
            const std::string path = randomPath(random) + "x";
            const deployment_route *found = index.findRoute("A.example:80", path + "?q=/b/");
            const std::string name = found == nullptr ? std::string() : found->name;
            BOOST_TEST(name == referenceRoute(source, "a.example", path));
        }
    }
}

// Guards against a comparison of API keys by prefix only.
BOOST_AUTO_TEST_CASE(keyBelongsToItsAccountOnly)
{
    deployment source;
    deployment_account account;
    account.name = "one";
    account.keys = { "abc" };
    source.accounts.push_back(account);
    const deployment_index index(source);
    BOOST_TEST(index.findAccount("abc")->name == "one");
    BOOST_TEST(index.findAccount("ab") == nullptr);
    BOOST_TEST(index.findAccount("abcd") == nullptr);
    BOOST_TEST(index.findAccount("") == nullptr);
}
