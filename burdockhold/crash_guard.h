#ifndef BURDOCKHOLD_CRASH_GUARD_H
#define BURDOCKHOLD_CRASH_GUARD_H

// Keeps requests that crash endpoints from crashing more of them. After an attempt whose connection
// was lost, the endpoint is polled on a new connection: when nothing answers there or another
// incarnation does, the request gets a strike; see crash_suspects.h for what follows from it.
//
// A poll without an answer in time is no proof of a crash (the network may be cut) and gives no
// strike. Time is the wall clock in milliseconds; the VMs' clocks must agree within a minute, else
// reports of peers are dropped. All functions may be called from many threads.

#include "burdockhold/crash_suspects.h"
#include "burdockhold/endpoint_loads.h"

#include <mutex>
#include <string>
#include <vector>

namespace burdockhold {

/// Returns whether a poll after a lost connection shows that the incarnation is gone. Without a
/// known incarnation, only an endpoint that does not answer shows it.
bool showsCrash(const std::string &incarnation, poll_outcome outcome, const engine_load &load);

class crash_guard
{
public:
    explicit crash_guard(suspect_options options = {});

    /// Notes that the request was running on the endpoint when that incarnation died.
    void noteCrash(const crash_report &report);

    /// True when the request must not run (422).
    bool isRefused(const std::string &digest, log_time_ms now) const;

    /// Returns the endpoint that a suspect has to run on, or an empty string; see crash_suspects.
    std::string endpointFor(const std::string &digest, const std::vector<std::string> &endpoints,
                            log_time_ms now) const;

    /// True when the request has any strike. Cheap: most requests have none.
    bool isSuspect(const std::string &digest, log_time_ms now) const;

    /// The live reports, for peers, and those of a peer. Merging is idempotent.
    std::vector<crash_report> reports(log_time_ms now) const;
    void addReports(const std::vector<crash_report> &reports, log_time_ms now);

private:
    mutable std::mutex m_mutex;
    crash_suspects m_suspects;
};

} // namespace burdockhold

#endif
