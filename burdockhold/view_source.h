#ifndef BURDOCKHOLD_VIEW_SOURCE_H
#define BURDOCKHOLD_VIEW_SOURCE_H

// From whom a VM gets its view of the log: from the log itself, or from another VM that reads it.
//
// The VMs of a group (a data centre, or a whole small deployment) put each other in one order, by
// capacity and then by rendezvous hashing; the first that is alive reads for all, so calls to the
// log grow with the groups and not with the VMs. Nothing is agreed on: whoever is asked reads, and
// VMs with different beliefs of who is alive only cause some more calls for a moment.
//
// Promises:
// - A VM without a fresh view reads the log itself, whatever the others do.
// - Whoever is asked reads. Only what a VM has read itself is told to others, so no two VMs can
//   hand each other the same old view.
// The class holds no clock and makes no calls; memory is linear in the VMs that failed lately.

#include "burdockhold/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// Another VM of the group that was heard of lately and does not leave.
struct group_vm
{
    std::string name;
    std::string address;        ///< IP:PORT at which it answers questions.
    std::uint32_t capacity = 0; ///< router_settings::capacity().
};

struct view_source_options
{
    /// A VM reads on for this long after the last question, and after its own questions are
    /// answered again: beliefs of who is alive change back within this time.
    duration keepReading = std::chrono::seconds(3);
    /// A VM that did not answer, or had an old view, is asked again after this.
    duration avoidFailed = std::chrono::seconds(3);
    /// A VM that starts waits this long for its first answer before it reads for itself.
    duration startupTimeout = std::chrono::milliseconds(250);
    /// This many VMs of the group look for the end of an outage often, the others rarely.
    std::size_t eagerReaders = 3;
};

class view_source
{
public:
    view_source(view_source_options options, std::string ownName, std::uint32_t ownCapacity = 0);

    /// The others are known from now on, as far as they can be.
    void begin(time_point now);

    /// The group has changed, or was heard again.
    void setGroup(std::vector<group_vm> others);

    /// Another VM has asked this one.
    void asked(time_point now);

    /// A question was answered with a view that is fresh, or was not.
    void answered(bool fresh, time_point now);
    void failed(const std::string &vm, time_point now);

    /// Whom to ask now; nothing when this VM comes first.
    std::optional<group_vm> target(time_point now) const;

    /// Decides whether this VM reads the log itself now.
    bool shouldReadLog(time_point now);

    /// True if this VM may ask others. One that is asked itself has no need to.
    bool maySendRequests(time_point now) const { return m_begunAt && !isAskedLately(now); }

    /// True if few VMs of the group come before this one.
    bool retriesEagerly() const { return m_rank < m_options.eagerReaders; }

private:
    bool isAskedLately(time_point now) const;
    bool isAvoided(const std::string &vm, time_point now) const;

    view_source_options m_options;
    std::string m_ownName;
    std::uint32_t m_ownCapacity;
    std::vector<group_vm> m_before; // VMs that come before this one, the first one first.
    std::size_t m_rank = 0;
    std::map<std::string, time_point> m_failedAt;
    std::optional<time_point> m_begunAt;
    std::optional<time_point> m_askedAt;
    std::optional<time_point> m_freshSince; // Set while the last answer was fresh.
    bool m_reading = false;
};

} // namespace burdockhold

#endif
