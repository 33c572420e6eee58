#define BOOST_TEST_MODULE stored_segments
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

// Guards against every VM saving the same segment.
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

// Guards against digests that grow with all segments ever saved.
BOOST_AUTO_TEST_CASE(eachSaveIsAnnouncedThreeTimes)
{
    stored_segments segments;
    for (int number = 0; number < 100; ++number) {
        segments.save(std::to_string(number), at(number));
        BOOST_TEST(segments.nextAnnouncement().size() == std::min<std::size_t>(number + 1, 3));
    }
    segments.nextAnnouncement();
    segments.nextAnnouncement();
    BOOST_TEST(segments.nextAnnouncement().empty());
}

// Guards against saves that no digest announces. Digests of large deployments can be further apart
// than a fixed announcement time, and every VM then saved every segment itself.
BOOST_AUTO_TEST_CASE(saveIsAnnouncedHoweverLateTheDigest)
{
    stored_segments segments;
    segments.save("a", at(0));
    BOOST_TEST(segments.nextAnnouncement().size() == 1U);
}

// Guards against copies from a store that has evicted the segment long ago.
BOOST_AUTO_TEST_CASE(unusedSegmentExpiresAndUsedOneStays)
{
    stored_segments segments;
    segments.save("used", at(0));
    segments.save("unused", at(0));
    segments.touch("used", at(15));
    BOOST_TEST(segments.isStored("used", at(30)));
    BOOST_TEST(!segments.isStored("unused", at(30)));
}

// Guards against copies from a store that has restarted empty.
BOOST_AUTO_TEST_CASE(clearedStoreHoldsNothing)
{
    stored_segments segments;
    segments.save("a", at(0));
    segments.clear();
    BOOST_TEST(!segments.isStored("a", at(0.1)));
    BOOST_TEST(segments.nextAnnouncement().empty());
}
