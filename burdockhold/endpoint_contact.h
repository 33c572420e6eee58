#ifndef BURDOCKHOLD_ENDPOINT_CONTACT_H
#define BURDOCKHOLD_ENDPOINT_CONTACT_H

// Decides whether this VM has lost its way to all endpoints, as opposed to some endpoints having
// failed: from the outcomes of its direct connection attempts, and of probes that it asks for when
// several endpoints in a row could not be reached.
//
// Promises:
// - Contact is lost only after attempts at several endpoints, one of each pool among them, have all
//   failed without a success between them. A pool that fails as a whole is no loss of contact.
// - One endpoint that accepts a connection restores contact, and ends all doubt.
// - A failure of an attempt that did not begin after the last success says nothing.
// - Without doubt nothing is probed. Doubt and loss cost a bounded number of probes a second.
// Failure: endpoints that all fail at once look the same as a lost path. Whoever acts on a loss
// asks other VMs, which then have lost contact as well.
//
// Load pattern: a VM whose links to all endpoints are cut, while its callers, the log and the other
// VMs still reach it. Connections hang or are reset, or live on while new ones are refused.
// The class reads no clock and does no I/O. Time and memory are linear in the number of endpoints
// that have failed lately.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdockhold {

enum class contact_state {
    InTouch,
    Doubtful, ///< Several endpoints could not be reached, and none has been since.
    Lost,
};

template <>
struct enum_names<contact_state>
{
    static constexpr std::array<enum_name<contact_state>, 3> Table{ {
            { contact_state::InTouch, "in_touch" },
            { contact_state::Doubtful, "doubtful" },
            { contact_state::Lost, "lost" },
    } };
};

struct endpoint_contact_options
{
    /// Endpoints in a row whose failure raises doubt; all of them if there are fewer.
    std::size_t failuresForDoubt = 2;
    /// A failure counts for this time.
    duration failureMemory = std::chrono::seconds(3);
    /// Endpoints that are probed at once in doubt, and while contact is lost.
    std::size_t doubtProbes = 4;
    std::size_t lostProbes = 2;
    /// Time between two rounds of probes while contact is lost.
    duration lostProbeInterval = std::chrono::milliseconds(400);
};

/// An endpoint that may be probed.
struct contact_target
{
    std::string address;
    std::string pool;
};

class endpoint_contact
{
public:
    explicit endpoint_contact(endpoint_contact_options options = {})
        : m_options(options)
    {
    }

    /// Records the outcome of a direct connection attempt, a probe included.
    void attemptEnded(const std::string &address, bool connected, time_point startedAt,
                      time_point now);

    /// Returns all endpoints that are in use.
    using target_list = std::function<std::vector<contact_target>()>;

    /// Returns the addresses to probe now; attemptEnded() tells the outcome of each. The targets
    /// are listed only when they are needed; the seed selects among them.
    std::vector<std::string> step(const target_list &targets, std::size_t seed, time_point now);

    contact_state state() const { return m_state; }
    bool isLost() const { return m_state == contact_state::Lost; }

private:
    void forgetOldFailures(time_point now);
    bool hasDoubt(std::size_t targets) const;
    std::vector<std::string> chooseProbes(const std::vector<contact_target> &targets,
                                          std::size_t count, std::size_t seed) const;
    std::vector<std::string> startRound(std::vector<std::string> addresses);

    endpoint_contact_options m_options;
    contact_state m_state = contact_state::InTouch;
    std::map<std::string, time_point> m_failures; // By address, since the last success.
    std::set<std::string> m_probing;              // Probes without an outcome.
    bool m_roundRuns = false;
    time_point m_lastSuccess;
    time_point m_nextRoundAt;
};

} // namespace burdockhold

#endif
