#define BOOST_TEST_MODULE wait_rules
#include "burdockhold/wait_rules.h"

#include <boost/test/unit_test.hpp>

using namespace burdockhold;
using std::chrono::milliseconds;

// Guards against a first call late in a stop that is cut off, and against one that is refused
// although it can be answered.
BOOST_AUTO_TEST_CASE(firstCallMustBeAnsweredBeforeTheProcessEnds)
{
    const time_point now = steadyNow();
    const time_point end = now + milliseconds(300);
    BOOST_TEST(isAnsweredBefore(end, now, 0.0));
    BOOST_TEST(isAnsweredBefore(end, now, 299.5));
    BOOST_TEST(!isAnsweredBefore(end, now, 300.5));
    BOOST_TEST(!isAnsweredBefore(end, end, 0.0));
    BOOST_TEST(!isAnsweredBefore(end, now, 1e300)); // An estimate has no bound.
}
