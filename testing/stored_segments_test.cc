#define BOOST_TEST_MODULE saved_parts
#include "burdockhold/stored_segments.h"
#include "burdockhold/vm_digest.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace burdockhold;

namespace {

time_point at(double seconds)
{
    return time_point{} + fromSeconds(seconds);
}

} // namespace

// Guards against a part that every VM saves for itself.
BOOST_AUTO_TEST_CASE(savesOfOtherVmsAreKnown)
{
    stored_segments own;
    stored_segments other;
    own.save("m/s.1/a", at(1));
    for (const std::uint32_t hash : own.nextAnnouncement())
        other.applyPeerStored(hash, at(1.1));
    BOOST_TEST(other.isStored("m/s.1/a", at(2)));
    BOOST_TEST(!other.isStored("m/s.2/a", at(2)));
}

// Guards against digests that grow with everything ever saved.
BOOST_AUTO_TEST_CASE(eachSaveIsAnnouncedThreeTimes)
{
    stored_segments parts;
    for (int number = 0; number < 100; ++number) {
        parts.save(std::to_string(number), at(number));
        BOOST_TEST(parts.nextAnnouncement().size() == std::min<std::size_t>(number + 1, 3));
    }
    parts.nextAnnouncement();
    parts.nextAnnouncement();
    BOOST_TEST(parts.nextAnnouncement().empty());
}

// Guards against saves that no digest tells of, since digests of large deployments are further
// apart than a fixed time of announcing: each VM then saved each part for itself.
BOOST_AUTO_TEST_CASE(saveIsAnnouncedHoweverLateTheDigest)
{
    stored_segments parts;
    parts.save("a", at(0));
    BOOST_TEST(parts.nextAnnouncement().size() == 1U);
}

// Guards against copies that are asked of a store that has dropped the part long ago.
BOOST_AUTO_TEST_CASE(unusedPartLapsesAndUsedOneStays)
{
    stored_segments parts;
    parts.save("used", at(0));
    parts.save("unused", at(0));
    parts.touch("used", at(15));
    BOOST_TEST(parts.isStored("used", at(30)));
    BOOST_TEST(!parts.isStored("unused", at(30)));
}

// Guards against copies from a store that restarted empty.
BOOST_AUTO_TEST_CASE(lostStoreHoldsNothing)
{
    stored_segments parts;
    parts.save("a", at(0));
    parts.clear();
    BOOST_TEST(!parts.isStored("a", at(0.1)));
    BOOST_TEST(parts.nextAnnouncement().empty());
}
