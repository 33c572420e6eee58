#ifndef BURDOCKHOLD_VIEW_TIMING_H
#define BURDOCKHOLD_VIEW_TIMING_H

// Times by which a VM keeps its view of the platform's log within the bounds of the settings. Pure.
//
// Promise: a VM that reads the log without getting answers is given up early enough that another VM
// has read it within the bound on configurations, if that bound is 1.5 s or more.

#include "burdockhold/clock.h"
#include "burdockhold/router_settings.h"

namespace burdockhold {

struct view_timing
{
    /// How long the log holds a read of the operator's records while there are no new ones.
    duration operatorReadWait = duration::zero();
    /// How long a VM holds a request for its view while nothing changes.
    duration requestWait = duration::zero();
    /// The view of the operator's records is fresh up to this age. A record is acknowledged after
    /// the last read that confirmed the view was sent, so it is known by then or not at all.
    duration operatorMaxAge = duration::zero();
    duration endpointMaxAge = duration::zero(); ///< The same for the endpoints' records.
};

/// The interval is that between reads of the endpoints' records.
view_timing viewTimingOf(const router_settings &settings, duration endpointReadInterval);

} // namespace burdockhold

#endif
