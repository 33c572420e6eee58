#ifndef BURDOCKHOLD_SOFTWARE_ROLLOUT_H
#define BURDOCKHOLD_SOFTWARE_ROLLOUT_H

// Decides which calls of one pool may go to endpoints of a new software version, and whether the
// version is kept. One instance per pool and VM; a pure state machine over time and events.
//
// Promises:
// - Until the version is kept, at most exposureShare of the calls that this VM makes to the pool go
//   to it. The part is counted by each VM for itself and starts at zero with the process and with
//   the order, so that the sum over all VMs keeps to the share whatever digests are lost and
//   whichever VMs restart. A version that differs from the established one without an order is
//   limited in the same way.
// - Once the evidence of this VM, or the verdict of another one, says that the version is bad, this
//   VM makes no more calls to it, repeats included. Running calls end as they would.
// - The version is kept by the holder of the pool's duty alone, and only shortly before the
//   deadline, if all routes together have passed the test, none points to a flaw, neither over the
//   whole rollout nor by its last outcomes, each busy route has outcomes and more than one VM has
//   some. Without that it is taken back: a kept bad version costs all requests, a good one that is
//   taken back costs one more rollout.
// - The version is kept so late that the calls which it gets from then on until the deadline are at
//   most the slack that the operator tolerates, unless writing the status takes longer: it may turn
//   bad just then, and the endpoints of the established version stop when it is kept.
// - A VM that starts during a rollout sends nothing to the new version before it has heard another
//   VM or read the status in the log.
//
// Evidence is exchanged in digests as counts that only grow in one incarnation of a VM; the larger
// of two counts is kept, so that lost, repeated and late digests do no harm. The tests are those of
// move_evidence.h.
//
// - An order that a reader with an older view repeats replaces no newer one.
//
// Limits: an order that repeats the target of the last one is taken for the same order, also after
// its verdict; takeIgnoredOrder() tells of it if its time differs. If no
// endpoint of the established version has been usable for noOldGrace, calls go to the new one
// without a limit, and to a bad one after badGrace. A VM counted by its own digest and again in the
// summary of its data centre counts twice as evidence.

#include "burdockhold/deployment.h"
#include "burdockhold/endpoint_choice.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/rollout_sampler.h"
#include "burdockhold/vm_digest.h"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockhold {

/// Ordered by finality: of two VMs' states, the later one counts.
enum class rollout_state { Idle, Watching, Running, RolledBack, Complete };

template <>
struct enum_names<rollout_state>
{
    static constexpr std::array<enum_name<rollout_state>, 5> Table{ {
            { rollout_state::Idle, "idle" },
            { rollout_state::Watching, "watching" },
            { rollout_state::Running, "running" },
            { rollout_state::RolledBack, "rolled_back" },
            { rollout_state::Complete, "complete" },
    } };
};

/// Why a rollout has its state.
enum class rollout_reason {
    None,
    Failures,
    SlowCalls,
    Proven,
    Unproven,
    OtherVm,
    Log,
    NoOldVersion
};

template <>
struct enum_names<rollout_reason>
{
    static constexpr std::array<enum_name<rollout_reason>, 8> Table{ {
            { rollout_reason::None, "none" },
            { rollout_reason::Failures, "failures" },
            { rollout_reason::SlowCalls, "slow_calls" },
            { rollout_reason::Proven, "proven" },
            { rollout_reason::Unproven, "unproven" },
            { rollout_reason::OtherVm, "other_vm" },
            { rollout_reason::Log, "log" },
            { rollout_reason::NoOldVersion, "no_old_version" },
    } };
};

struct software_rollout_options
{
    double exposureShare = 0.1; ///< Of the pool's calls, over all VMs; from the settings.
    /// Part of the share that is used; the rest covers calls that do not arrive.
    double usedShare = 0.9;
    /// Calls that may be made up for after a time without a usable endpoint of the new version.
    double maxCredit = 2.0;
    /// Endpoints of the new version that take its calls at a time, so that they run as many calls
    /// as the others: an idle endpoint hides a flaw under load.
    duration canaryTime = std::chrono::seconds(3);
    double exposureSlack = 50.0; ///< Calls beyond the share that are tolerated; from the settings.
    /// Part of the slack for the calls between the decision and the deadline.
    double usedSlack = 0.8;
    /// The decision falls at most this long before the deadline: the longer of a time and a part.
    duration decisionMargin = std::chrono::seconds(2);
    double decisionMarginPart = 0.15;
    /// It falls at least this long before the deadline, besides the time to write the status.
    duration minDecisionMargin = std::chrono::milliseconds(700);
    /// An undecided rollout is taken back this long before its deadline.
    duration lastMargin = std::chrono::milliseconds(600);
    double busyRouteShare = 0.15;       ///< Of the pool's calls.
    std::uint64_t minRouteOutcomes = 4; ///< Of the new version, on each busy route.
    std::size_t minVms = 2;             ///< With outcomes of the new version, if there are others.
    duration noOldGrace = std::chrono::seconds(2);
    duration badGrace = std::chrono::seconds(10);
    std::size_t maxCounts = 8192; ///< Of all VMs, routes and versions.
    evidence_options evidence{ 0.02, 0.05, 2000, 0.02, 0.15, 0.10, 0.30 };
    rollout_sampler_options sampler;
};

class software_rollout
{
public:
    software_rollout(std::string pool, std::string vm, software_rollout_options options);

    /// Returns true if the order is new. The age is a guess if this VM started after the order. An
    /// order of the target of an earlier one changes nothing until viewConfirmed().
    bool orderReceived(const software_order &order, bool guessed, time_point now);
    /// Records that the view of the orders was that of the log at the given time. Returns true if
    /// an order of an earlier target that was received before is the newest one, and so begins.
    bool viewConfirmed(time_point at);
    /// Returns the last order if it has been ignored though it differs from the one in force, which
    /// has the same target. Returns each once.
    std::optional<software_order> takeIgnoredOrder() { return std::exchange(m_ignoredOrder, {}); }

    /// Updates the versions of the pool's usable endpoints.
    void setVersions(const std::vector<version_presence> &versions, time_point now);

    /// Returns true if calls are to be sampled: the pool has a new version without a verdict.
    bool isSampling() const;
    rollout_sampler &sampler() { return m_sampler; }

    /// Removes the candidates that may get no call now.
    void removeNewVersion(std::vector<endpoint_candidate> &candidates, time_point now) const;

    /// Returns the candidate of the new version that is to get the next call, or nothing if the
    /// part is used up or no candidate is suitable.
    std::optional<endpoint_candidate> nextCanary(const std::vector<endpoint_candidate> &candidates,
                                                 time_point now) const;

    /// Counts a call. Returns the call to be sampled, or nothing.
    std::shared_ptr<rollout_call> callStarted(std::string_view version, const rollout_call &call);
    /// Takes back the count of a call of which no byte was sent.
    void callNotSent(std::string_view version);

    /// Tests the evidence and, if this VM holds the pool's duty, the deadline.
    void step(const std::function<bool(const std::string &)> &isLoading, bool holdsDuty,
              std::size_t liveVms, time_point now);

    /// Records how long a call to the log of statuses takes.
    void setStatusTime(duration time) { m_statusTime = time; }
    /// Returns true if a decision may be due soon, so that the statuses should be read.
    bool isDecisionNear(time_point now) const;
    /// Returns once whether this VM has counted bad outcomes of the new version since the last
    /// call, of which the other VMs should hear soon.
    bool takeNewFlaws() { return std::exchange(m_hasNewFlaws, false); }

    /// Returns the state that the holder of the duty writes to the log, or nothing without an
    /// order. Complete comes into force when it is written: the old endpoints stop then.
    std::optional<rollout_state> wantedStatus() const;
    /// Applies the status that is in the log, or none. A final one holds against this VM's own.
    void statusRead(std::optional<rollout_state> state, std::string_view target);

    /// Adds this VM's state and evidence to its digest.
    void fillDigest(vm_digest &digest, time_point now) const;
    /// Applies the rows of this pool. Returns the number of rows that were implausible.
    std::size_t applyPeerDigest(const vm_digest &digest, time_point now);

    const std::string &pool() const { return m_pool; }
    rollout_state state() const { return m_state; }
    rollout_reason reason() const { return m_reason; }
    const std::string &target() const { return m_newVersion; }
    const std::string &established() const { return m_established; }
    bool isOrdered() const { return m_order.has_value(); }
    /// Returns true if this VM does not know yet whether the order was decided before its start.
    bool needsStatus() const { return m_order && !m_confirmed; }
    bool isAgeGuessed() const { return m_orderAgeGuessed; }
    /// Returns the time from the order to its deadline; zero without an order.
    duration moveTime() const { return m_order ? m_order->moveTime : duration::zero(); }
    duration timeToDeadline(time_point now) const;
    std::uint64_t calls() const { return m_calls; }
    std::uint64_t exposed() const { return m_exposed; }
    /// Returns the sums over all VMs, by route.
    std::map<std::string, version_counts> totals() const;

    bool isNew(std::string_view version) const;

private:
    void beginOrder(const software_order &order, bool guessed, time_point now);
    void beginVersion(const std::string &version, rollout_state state, time_point now);
    void decide(rollout_state state, rollout_reason reason);
    void mergeOwnCounts();
    move_evidence pooledEvidence() const;
    void testEvidence();
    duration longestMargin() const;
    duration decisionMargin(time_point now) const;
    void testDeadline(std::size_t liveVms, time_point now);
    void proposeCompletion(rollout_reason reason);
    bool isProven(std::size_t liveVms) const;
    bool keepPeerCounts(const vm_digest &digest, const rollout_evidence_row &row);
    bool applyState(const rollout_row &row, time_point now);

    std::string m_pool;
    std::string m_vm;
    software_rollout_options m_options;
    rollout_sampler m_sampler;
    std::optional<software_order> m_order;
    std::deque<std::string> m_earlierTargets;      ///< Of the orders before, the newest last.
    std::optional<software_order> m_repeatedOrder; ///< Of an earlier target; not in force.
    time_point m_repeatedAt;
    bool m_repeatedAgeGuessed = false;
    std::optional<software_order> m_ignoredOrder;
    duration m_ignoredMoveTime = duration::zero(); ///< Of the last ignored order.
    time_point m_orderedAt;
    bool m_orderAgeGuessed = false;
    bool m_confirmed = true;
    rollout_state m_state = rollout_state::Idle;
    rollout_reason m_reason = rollout_reason::None;
    bool m_completionProposed = false;
    duration m_statusTime = duration::zero();
    bool m_hasNewFlaws = false;
    std::string m_established; ///< The version that has the pool's traffic.
    std::string m_retired;     ///< The version before a kept one; its last endpoints may get calls.
    std::string m_newVersion;
    time_point m_newSeenAt;
    time_point m_oldSeenAt;
    bool m_newPresent = false;
    double m_credit = 0.0; ///< Calls that may go to the new version.
    std::uint64_t m_calls = 0;
    std::uint64_t m_exposed = 0;
    move_evidence m_evidence; ///< Of all VMs.
    bool m_evidenceChanged = false;
    std::optional<fleet_watch> m_watch;
};

} // namespace burdockhold

#endif
