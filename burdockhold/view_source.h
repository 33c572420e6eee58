#ifndef BURDOCKHOLD_VIEW_SOURCE_H
#define BURDOCKHOLD_VIEW_SOURCE_H

// Decides where a VM gets its view of the log from: the log itself, or another VM that reads it.
//
// The VMs of an aggregation group (a data centre, or an entire small deployment) are ordered by
// capacity and then by rendezvous hashing. The first live VM of that order reads the log for the
// group, so the number of calls to the log grows with the number of groups instead of VMs. The VMs
// need no consensus: a VM that receives requests for its view reads the log, and VMs that disagree
// on which VMs are live only cause some additional calls for a short time.
//
// Guarantees:
// - A VM without a fresh view reads the log itself, whatever the other VMs do, unless a response
//   with a view is just arriving.
// - A VM that receives a request for its view reads the log. VMs pass on only what they have read
//   from the log themselves, so two VMs cannot keep sending each other the same stale view.
// - A VM without a fresh view requests it from the first VMs of the order in turn as well, also if
//   other VMs request its own view: the log may be out of reach for this VM and its reader only.
// The class has no clock and does no I/O. Beyond the list of the group, its memory is linear in the
// number of VMs to which a request recently failed, or whose view recently was not fresh.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// Another live VM of the group that is not leaving.
struct group_vm
{
    std::string name;
    std::string address;        ///< IP:PORT at which it serves view requests.
    std::uint32_t capacity = 0; ///< router_settings::capacity().
};

/// Why a VM reads the log itself.
enum class reading_cause {
    None,        ///< It does not.
    Requested,   ///< Another VM requests its view.
    RanksFirst,  ///< There is no VM to request the view from.
    NoFreshView, ///< The view is not fresh.
    Lingering,   ///< The view became fresh a short time ago.
};

template <>
struct enum_names<reading_cause>
{
    static constexpr std::array<enum_name<reading_cause>, 5> Table{ {
            { reading_cause::None, "none" },
            { reading_cause::Requested, "requested" },
            { reading_cause::RanksFirst, "ranks_first" },
            { reading_cause::NoFreshView, "no_fresh_view" },
            { reading_cause::Lingering, "lingering" },
    } };
};

struct view_source_options
{
    /// A VM continues to read the log for this long after the last request that it received, and
    /// after its own requests get fresh views again: a wrong belief about which VMs are live is
    /// corrected within this time.
    duration readingLinger = std::chrono::seconds(3);
    /// Time without requests to a VM after a request to it failed.
    duration failureBackoff = std::chrono::seconds(3);
    /// A VM that starts waits this long for a fresh view before it reads the log itself.
    duration startupTimeout = std::chrono::milliseconds(250);
    /// During an outage of the log, this many VMs of the group retry at short intervals, the others
    /// at long ones.
    std::size_t eagerReaders = 3;
    /// A VM without a fresh view requests it from this many VMs in turn.
    std::size_t fallbackReaders = 6;
    /// Time without such requests to a VM whose view was not fresh.
    duration staleBackoff = std::chrono::seconds(1);
};

class view_source
{
public:
    view_source(view_source_options options, std::string ownName, std::uint32_t ownCapacity = 0);

    /// Starts the selection. Called once the other VMs had time to announce themselves.
    void begin(time_point now);

    /// Replaces the list of the other live VMs of the group.
    void setGroup(std::vector<group_vm> others);

    /// Records that another VM has requested this VM's view.
    void requestReceived(time_point now);

    /// Records the VM's response to this VM's request, and whether the view in it is fresh.
    void responseReceived(const std::string &vm, bool fresh, time_point now);

    /// States whether this VM's view is fresh, wherever it is from.
    void setViewFresh(bool fresh);

    /// Records that a request to the VM failed.
    void requestFailed(const std::string &vm, time_point now);

    /// Tells whether a response to this VM's request is arriving. Meanwhile the VM does not begin
    /// to read the log, which would take longer than the rest of the response.
    void setResponseArriving(bool arriving) { m_responseArriving = arriving; }

    /// Returns the VM to request the view from, or nothing if this VM ranks first among the VMs to
    /// which no request failed recently.
    std::optional<group_vm> preferredReader(time_point now) const;

    /// Tells whether this VM requests the view from any VM, since its own is not fresh.
    bool needsAnyView(time_point now) const;

    /// Returns the VM to request the view from now, or nothing.
    std::optional<group_vm> vmToRequestFrom(time_point now) const;

    /// Decides whether this VM reads the log itself now.
    bool shouldReadLog(time_point now);

    /// Returns why the last shouldReadLog() decided as it did.
    reading_cause cause() const { return m_cause; }

    /// Returns true if this VM may request the view from others. A VM that receives requests reads
    /// the log itself and has no need to.
    bool maySendRequests(time_point now) const { return m_startedAt && !hasRecentRequest(now); }

    /// Returns true if this VM ranks high enough to retry the log at short intervals.
    bool retriesEagerly() const { return m_rank < m_options.eagerReaders; }

private:
    reading_cause decideCause(time_point now) const;
    bool hasRecentRequest(time_point now) const;
    bool isBackedOff(const std::string &vm, time_point now) const;
    bool wasStale(const std::string &vm, time_point now) const;
    std::optional<group_vm> fallbackReader(time_point now) const;

    view_source_options m_options;
    std::string m_ownName;
    std::uint32_t m_ownCapacity;
    std::vector<group_vm> m_others; // In descending order of preference.
    std::size_t m_rank = 0;         // The number of other VMs that rank higher than this one.
    std::map<std::string, time_point> m_lastFailureAt;
    std::map<std::string, time_point> m_lastStaleAt;
    std::optional<time_point> m_startedAt;
    std::optional<time_point> m_lastRequestAt;
    std::optional<time_point> m_freshSince; // Set while responses give fresh views.
    bool m_responseArriving = false;
    bool m_viewFresh = false;
    bool m_viewWasFresh = false; // At any time.
    reading_cause m_cause = reading_cause::None;
};

} // namespace burdockhold

#endif
