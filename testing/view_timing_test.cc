#define BOOST_TEST_MODULE view_timing
#include "burdockhold/view_timing.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <random>

using namespace burdockhold;
using std::chrono::milliseconds;

namespace {

/// Time for a VM to read the log once its view is not fresh any more.
constexpr milliseconds ReadTime(300);
/// Round trips and ticks that a calm deployment needs.
constexpr milliseconds CalmDelay(150);

router_settings settingsWith(milliseconds config, milliseconds leaving, milliseconds revocation)
{
    router_settings settings;
    settings.configBound = config;
    settings.leavingBound = leaving;
    settings.revocationBound = revocation;
    return settings;
}

} // namespace

// Guards against a bound on configurations that passes while a VM still trusts a reader without
// answers, whatever the other bounds are.
BOOST_AUTO_TEST_CASE(viewExpiresBeforeTheBoundOnConfigurations)
{
    std::mt19937 random(61);
    const auto draw = [&random](int from, int to) {
        return milliseconds(std::uniform_int_distribution<int>(from, to)(random));
    };
    for (int round = 0; round < 5000; ++round) {
        const auto settings = settingsWith(draw(1500, 20000), draw(500, 20000), draw(1000, 30000));
        const view_timing timing = viewTimingOf(settings, milliseconds(800));
        BOOST_TEST((timing.operatorMaxAge + ReadTime <= settings.configBound),
                   toSeconds(settings.configBound) << " " << toSeconds(timing.operatorMaxAge));
    }
}

// Guards against VMs that read the log although their reader gets all its answers, since their view
// expires between two responses.
BOOST_AUTO_TEST_CASE(viewOfACalmReaderIsFresh)
{
    for (const int configMs : { 1500, 2000, 3000, 4000, 8000 }) {
        for (const int leavingMs : { 2000, 3000, 4000, 8000 }) {
            const auto settings = settingsWith(milliseconds(configMs), milliseconds(leavingMs),
                                               milliseconds(5000));
            const duration readInterval = milliseconds(leavingMs * 2 / 5);
            const view_timing timing = viewTimingOf(settings, readInterval);
            BOOST_TEST((2 * timing.operatorReadWait + timing.requestWait + CalmDelay
                        <= timing.operatorMaxAge),
                       configMs << " " << leavingMs);
            BOOST_TEST((readInterval + timing.requestWait + CalmDelay <= timing.endpointMaxAge),
                       configMs << " " << leavingMs);
        }
    }
}
