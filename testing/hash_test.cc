#define BOOST_TEST_MODULE hash
#include <boost/test/unit_test.hpp>

#include "burdockhold/hash.h"

using namespace burdockhold;

// Guards against digests that differ from the published algorithm: keys issued by one release must
// be recognised by the next.
BOOST_AUTO_TEST_CASE(sha256MatchesPublishedVectors)
{
    BOOST_TEST(sha256Hex("") == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
    BOOST_TEST(sha256Hex("abc")
               == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against placement that changes between releases: all VMs must agree on it while they are
// upgraded one by one.
BOOST_AUTO_TEST_CASE(hash64MatchesPublishedVectors)
{
    BOOST_TEST(hash64("") == 0xef46db3751d8e999ULL);
    BOOST_TEST(hash64("abc") == 0x44bc2cf5ad770999ULL);
    BOOST_TEST(hash64("abc", 1) != hash64("abc", 0));
}

// Guards against prefixes whose hashes collide when their levels are swapped.
BOOST_AUTO_TEST_CASE(combineHashDependsOnOrder)
{
    BOOST_TEST(combineHash(1, 2) != combineHash(2, 1));
}
