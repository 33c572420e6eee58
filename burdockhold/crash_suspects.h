#ifndef BURDOCKHOLD_CRASH_SUSPECTS_H
#define BURDOCKHOLD_CRASH_SUSPECTS_H

// Requests that crash the endpoints that run them. A request is known by a digest of its account
// and body. Every request that was running on an endpoint when it died gets one strike for that
// crash, which is an endpoint and its incarnation, however many VMs report it. A request with two
// strikes within ten minutes is refused (422); other requests of the account are not affected.
//
// A request that merely shared a crash has one strike. So that it does not share a second crash
// with the culprit, suspects with one strike are assigned to different endpoints. This fails, and
// an innocent request may be refused for ten minutes, when there are more suspects than endpoints,
// when it is sent again before the VMs have exchanged their reports, or when it meets a second
// culprit.
//
// Merging reports is idempotent and independent of order while the bounds on memory are not
// reached; beyond them the oldest suspects with one strike are dropped first.

#include "burdockhold/clock.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace burdockhold {

/// Returns the digest by which a request is known.
std::string requestDigest(std::string_view account, std::string_view body);

/// States that a request was running on an endpoint when that incarnation died.
struct crash_report
{
    std::string digest;
    std::string endpoint;
    std::string incarnation;
    log_time_ms time = 0; ///< When it was noticed, by the log's clock, which all VMs share.

    friend bool operator==(const crash_report &a, const crash_report &b)
    {
        return std::tie(a.digest, a.endpoint, a.incarnation, a.time)
               == std::tie(b.digest, b.endpoint, b.incarnation, b.time);
    }
};

struct suspect_options
{
    std::size_t strikesToRefuse = 2;
    log_time_ms memoryMs = 10LL * 60 * 1000;
    std::size_t maxSuspects = 10000;
    std::size_t maxCrashesPerSuspect = 4; ///< At least strikesToRefuse; the newest are kept.
};

class crash_suspects
{
public:
    explicit crash_suspects(suspect_options options = {});

    /// Adds a report, own or from a peer. When VMs noticed the same crash at different times, the
    /// earliest counts. Expired reports and reports from over a minute ahead are ignored.
    void add(const crash_report &report, log_time_ms now);

    /// Returns the live reports in a fixed order, for peers.
    std::vector<crash_report> reports(log_time_ms now) const;

    /// Returns the number of distinct live crashes of a request.
    std::size_t strikes(const std::string &digest, log_time_ms now) const;

    /// True when the request must not run (422).
    bool isRefused(const std::string &digest, log_time_ms now) const;

    /// Returns the endpoint that a suspect below the limit has to run on, so that suspects run
    /// apart from each other, or an empty string when the request is free to run anywhere. VMs with
    /// the same reports and the same endpoints agree. `endpoints` are those usable now.
    std::string endpointFor(const std::string &digest, std::vector<std::string> endpoints,
                            log_time_ms now) const;

    /// Forgets what has expired. Called now and then to free memory.
    void forgetExpired(log_time_ms now);

    std::size_t suspectCount() const { return m_suspects.size(); }

private:
    /// Endpoint and incarnation.
    using crash = std::pair<std::string, std::string>;
    using crash_times = std::map<crash, log_time_ms>;

    bool isLive(log_time_ms time, log_time_ms now) const;
    void trimCrashes(crash_times &crashes) const;
    void trimSuspects();

    suspect_options m_options;
    std::map<std::string, crash_times> m_suspects; // By digest.
};

} // namespace burdockhold

#endif
