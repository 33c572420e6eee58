#ifndef BURDOCKHOLD_COLD_ENGINES_H
#define BURDOCKHOLD_COLD_ENGINES_H

// Which engines count as cold, and how many requests this VM may send to them.
//
// An engine is cold for some seconds after it starts, and may become cold again at any moment.
// While cold it takes few requests per second; well above that rate it crashes.
//
// Guarantee: in any second, all VMs together send an engine that they count as cold at most
// perSecond * overshoot + slack requests, as long as their lists of VMs select at most twice
// maxSharers VMs for it. Each of the selected VMs has a fixed share, spread evenly over time. No
// message between VMs is needed, and a VM that is cut off has its own share only.
//
// Failure behaviour: while the log is unreachable, an engine that may have become cold stays cold.
// A share of a VM that has ended is unused until the list of VMs changes. A VM that has not read
// the list of VMs yet sends nothing to cold engines.
//
// Load pattern: all engines of a data centre return at once, and every VM sends its waiting
// requests to them.
//
// An engine that is not cold costs nothing; a cold one takes about 200 bytes. A lookup is
// logarithmic in the number of cold engines. The selection is linear in the VMs, once for each cold
// engine and list of VMs.

#include "burdockhold/clock.h"
#include "burdockhold/deployment.h"
#include "burdockhold/known_vms.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhold {

/// A VM uses a scheduler's grant of a call at a cold engine at most this long after it has asked
/// for it (cold_grants.h).
constexpr duration MaxColdGrantAge = std::chrono::milliseconds(50);

struct cold_engine_options
{
    /// Factor and requests by which the rate of cold engines may be exceeded in a second. Nothing
    /// limits requests to cold engines unless both are set.
    std::optional<double> overshoot;
    std::optional<double> slack;
    /// Number of VMs that send requests to a cold engine.
    std::size_t maxSharers = 3;
    /// Requests arrive at an engine closer together than they were sent by up to this time.
    duration arrivalSpread = std::chrono::milliseconds(100);
    /// Calls on a share are sent up to this long after the share was charged. Zero where schedulers
    /// grant no calls at cold engines.
    duration grantDelay = MaxColdGrantAge;
    /// A view that is confirmed this long after an engine may have become cold contains an entry
    /// that the engine has written since, unless its entry is silent (entry_silence.h). Longer than
    /// entry_silence_options::silentAfter and two reads of the log.
    duration viewDelay = std::chrono::milliseconds(4500);
    /// Shares are used from this time after the list of VMs was read: of VMs that start together,
    /// each has heard of the others by then.
    duration startDelay = std::chrono::seconds(1);
};

/// What each of the selected VMs may send to a cold engine.
struct cold_share
{
    std::size_t sharers = 0;              ///< Number of VMs that are selected.
    duration interval = duration::zero(); ///< Least time between two requests of a VM.
};

/// Returns the shares of an engine that takes this many requests per second while cold.
cold_share coldShare(double perSecond, std::size_t knownVms, const cold_engine_options &options);

/// Returns how many of the VMs come before this one in the order of the engine's start. The order
/// is a rendezvous hash, the same on all VMs.
std::size_t sharerRank(std::string_view engine, std::int64_t incarnation, const known_vms &vms);

class cold_engines
{
public:
    explicit cold_engines(cold_engine_options options = {});

    bool isEnabled() const { return m_options.overshoot && m_options.slack; }

    /// Sets the pools whose engines can be cold, by name.
    void setPools(std::map<std::string, cold_traits> pools);

    /// Called once the list of VMs has been read from the log.
    void vmsListed(time_point now);

    /// Records an entry of an engine. The remaining time that it states counts from now, since its
    /// age is not known; it is limited to the pool's cold time.
    void reported(const endpoint_report &report, bool isNewIncarnation, time_point now);

    /// Records that the engine may have become cold without having reported it: it did not answer,
    /// refused a connection, or was out of use.
    void maybeCold(const endpoint_report &report, time_point now);

    /// Records that the view of the entries was that of the log at the given time.
    void confirmView(time_point at);

    /// Records that the entries come from another reader of the log, which does not know yet which
    /// entries are silent.
    void readerChanged(time_point now);

    void removed(std::string_view engine);

    bool isCold(std::string_view engine, time_point now) const;

    /// Returns whether the engine is cold and this VM's share allows no request to it now.
    bool isExcluded(std::string_view engine, const known_vms &vms, time_point now);

    /// Charges a request that is sent now. Does nothing for an engine that is not cold.
    void requestSent(std::string_view engine, time_point now);

    /// Charges a request that another VM is to send now on this VM's share. Returns false if the
    /// share allows none. An engine that is not cold needs no share.
    bool tryCharge(std::string_view engine, const known_vms &vms, time_point now);

    /// Forgets engines that are not cold any more.
    void step(time_point now);

    std::size_t coldCount(time_point now) const;
    /// Returns the requests per second that this VM may send to all cold engines.
    double rate(const known_vms &vms, time_point now);

private:
    struct cold_state
    {
        std::string pool;
        std::int64_t incarnation = 0;
        bool entryIsSilent = false;
        time_point coldUntil = time_point::min();
        std::optional<time_point> maybeColdSince;
        time_point nextRequestAt = time_point::min();
        std::uint64_t listVersion = 0; // Of the list by which the share was computed; 0 if none.
        std::size_t rank = 0;
        cold_share share;
    };

    static bool isCold(const cold_state &state, time_point now);
    const cold_traits *traitsOf(const std::string &pool) const;
    cold_state &stateOf(const endpoint_report &report);
    void updateShare(std::string_view engine, cold_state &state, const known_vms &vms,
                     time_point now) const;

    cold_engine_options m_options;
    std::map<std::string, cold_traits> m_pools;
    std::map<std::string, cold_state, std::less<>> m_states;
    std::optional<time_point> m_listedAt;
};

} // namespace burdockhold

#endif
