#ifndef BURDOCKHOLD_MEMBERSHIP_H
#define BURDOCKHOLD_MEMBERSHIP_H

// Which VMs mint tokens, how fresh a VM's view is, and which withdrawals are pending. All classes
// are pure state machines: time, records and heartbeats are passed in.
//
// Shares of an account over all VMs add up to at most 1 at every moment. The argument: a VM uses
// the least share that it has in any epoch from the last settled one to the newest one it knows.
// An epoch is settled when every VM whose share it lowers has acknowledged it or has lost the right
// to mint without knowing it. So every VM uses at most its share of the settled epoch, and the
// shares of one epoch add up to 1.
//
// Absence from the VM list does not end a VM's right to mint: a paused VM is absent and wakes with
// its old view. A VM mints only while its view is fresh (see view_tracker), so an absent VM counts
// as stopped once maxViewAge has passed since the epoch was known to a majority of the VMs.

#include "burdockhold/clock.h"
#include "burdockhold/result.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockhold {

/// A VM that mints, as an epoch names it. The data centre is in the record so that every reader
/// chooses the same minters.
struct epoch_vm
{
    std::string name;
    std::string dataCentre;
};

inline bool operator==(const epoch_vm &a, const epoch_vm &b)
{
    return a.name == b.name && a.dataCentre == b.dataCentre;
}

/// Proposes a new set of minting VMs. Void unless basedOn is the offset of the current epoch (0
/// when there is none).
struct epoch_record
{
    std::string id;
    log_offset basedOn = 0;
    std::vector<epoch_vm> vms; ///< Sorted by name, no name twice.
};

/// Says that a VM uses at most its share of the epoch at that offset.
struct epoch_ack_record
{
    std::string id;
    log_offset epoch = 0;
    std::string vm;
};

using membership_record = std::variant<epoch_record, epoch_ack_record>;

enum class membership_error { Malformed, UnknownKind, WrongType, OutOfBounds };

/// Returns the JSON text of a record.
std::string formatMembershipRecord(const membership_record &record);

/// Parses a record of kind `epoch` or `epoch_ack`. Errors name the field in their context.
result<membership_record, membership_error> parseMembershipRecord(std::string_view json);

/// Largest number of VMs in one epoch.
constexpr std::size_t MaxEpochVms = 4096;

/// How minters are chosen: all VMs of the epoch when mintersPerDataCentre is 0, else that many in
/// each data centre by rendezvous on the account's name.
struct share_policy
{
    std::size_t mintersPerDataCentre = 0;
};

/// Returns the names of an account's minters, sorted. Each has an equal share.
std::vector<std::string> mintersOf(const std::vector<epoch_vm> &vms, std::string_view account,
                                   const share_policy &policy);

/// Replay of epoch records, and the share that may be used. Memory: the epochs since the last
/// settled one; the proposer stops while MaxUnsettledEpochs are open.
class epoch_history
{
public:
    explicit epoch_history(const share_policy &policy = {})
        : m_policy(policy)
    {
    }

    /// Applies an epoch record. Returns false when it is void.
    bool apply(log_offset offset, const epoch_record &record);

    /// Applies an acknowledgement. Repeated and late ones change nothing.
    void apply(const epoch_ack_record &record);

    /// Tells that vm can no longer mint by a view older than the epoch at that offset.
    void noteStopped(const std::string &vm, log_offset offset);

    /// Returns the offset of the epoch in force, or 0.
    log_offset current() const;

    /// Returns the VMs of the epoch in force.
    std::vector<epoch_vm> vms() const;

    /// Returns the account's minters in the epoch in force.
    std::vector<std::string> minters(std::string_view account) const;

    /// Returns the share of the account's rate that vm may use now, from 0 to 1.
    double usableShare(std::string_view account, const std::string &vm) const;

    /// Returns the epoch that vm has to acknowledge, once it has applied it, or 0.
    log_offset toAcknowledge(const std::string &vm) const;

    /// Returns the VMs that the settling of the epoch in force still waits for.
    std::vector<std::string> unsettledVms() const;

    /// Returns how many epochs are not settled.
    std::size_t unsettled() const { return m_epochs.empty() ? 0 : m_epochs.size() - 1; }

private:
    struct member_epoch
    {
        log_offset offset = 0;
        std::vector<epoch_vm> vms;
    };

    bool hasConfirmed(const std::string &vm, log_offset offset) const;
    bool isSettled(std::size_t index, const std::vector<std::vector<std::string>> &chosen) const;
    std::set<std::string> vmsBefore(std::size_t index) const;
    void dropSettled();

    share_policy m_policy;
    std::vector<member_epoch> m_epochs; ///< From the last settled one to the one in force.
    std::map<std::string, log_offset> m_acknowledged;
    std::map<std::string, log_offset> m_stopped;
};

constexpr std::size_t MaxUnsettledEpochs = 8;

enum class vm_state { Live, Leaving };

/// One row of the platform's VM list.
struct listed_vm
{
    std::string name;
    std::string dataCentre;
    vm_state state = vm_state::Live;
};

struct epoch_proposer_options
{
    std::string self;
    duration hold = std::chrono::seconds(3); ///< Absence before removal, since the list lags.
    duration turn = std::chrono::milliseconds(500); ///< Delay between VMs in rendezvous order.
};

/// Decides when this VM proposes an epoch. Any VM may; each waits its turn in rendezvous order,
/// plus a jitter of up to half a turn, and stops when another one's record takes effect.
class epoch_proposer
{
public:
    explicit epoch_proposer(const epoch_proposer_options &options)
        : m_options(options)
    {
    }

    /// Takes a VM list that was read successfully.
    void observe(const std::vector<listed_vm> &vms, time_point now);

    /// Returns the record to append, without an id, or nothing. Repeats after a further round of
    /// turns when no epoch came into force.
    std::optional<epoch_record> propose(const epoch_history &history, time_point now);

    /// Returns whether vm has been absent from the list for the hold time.
    bool isAbsent(const std::string &vm, time_point now) const;

private:
    std::vector<epoch_vm> wanted(const epoch_history &history, time_point now) const;
    duration delayOf(log_offset basedOn) const;

    epoch_proposer_options m_options;
    std::vector<listed_vm> m_list;
    std::map<std::string, time_point> m_lastListed;
    std::optional<time_point> m_firstList;
    std::vector<epoch_vm> m_pending;
    log_offset m_pendingBase = 0;
    std::optional<time_point> m_due;
};

/// How fresh this VM's view is: by its own reads of the log's tail, or by heartbeats with more than
/// half of the listed VMs, itself included. O(VMs) memory.
class view_tracker
{
public:
    /// Notes a read of the log, sent at sentAt, that showed the tail.
    void noteTailRead(time_point sentAt);

    /// Notes a heartbeat exchange, sent at sentAt, in which the peer reported having applied
    /// offset.
    void noteHeartbeat(const std::string &peer, time_point sentAt, log_offset offset,
                       log_offset applied);

    /// Notes the offset up to which this VM has applied the log.
    void noteApplied(log_offset applied);

    /// Returns the time before which everything accepted is in this VM's view, or nothing.
    std::optional<time_point> asOf(const std::vector<listed_vm> &vms, const std::string &self,
                                   time_point now) const;

    /// Returns whether more than half of the listed VMs have reported offset or a later one.
    bool majorityApplied(log_offset offset, const std::vector<listed_vm> &vms,
                         const std::string &self, log_offset applied) const;

private:
    struct peer_view
    {
        std::optional<time_point> confirmed; ///< Latest exchange whose offset is applied here.
        time_point pendingSince;
        log_offset pendingOffset = 0; ///< Not applied yet; 0 when none.
        log_offset highest = 0;
    };

    std::optional<time_point> m_tailRead;
    std::map<std::string, peer_view> m_peers;
};

/// Tells which absent VMs have stopped minting by an older epoch. One per VM.
class stop_detector
{
public:
    explicit stop_detector(duration maxViewAge)
        : m_maxViewAge(maxViewAge)
    {
    }

    /// Calls noteStopped() for every VM that is absent from the list, maxViewAge after a majority
    /// was first known to have applied the epoch in force.
    void update(epoch_history &history, const epoch_proposer &proposer, bool majorityApplied,
                time_point now);

private:
    duration m_maxViewAge;
    log_offset m_epoch = 0;
    std::optional<time_point> m_majorityAt;
};

/// Largest number of withdrawals that can wait for the log.
constexpr std::size_t MaxPendingWithdrawals = 10000;

/// Withdrawals accepted during a log outage, by key digest. Grows only, so that merging in any
/// order gives the same set; a digest that the log holds is kept too.
class pending_withdrawals
{
public:
    /// Adds a withdrawal. Returns false when it is held already or the set is full.
    bool add(const std::string &digest);

    /// Notes that peer holds these digests, and adds those that are new here. Returns the new ones.
    std::vector<std::string> merge(const std::string &peer,
                                   const std::vector<std::string> &digests);

    /// Notes that the log holds the withdrawal: it needs no further appending.
    void noteLogged(const std::string &digest);

    /// Returns whether this VM holds the withdrawal.
    bool contains(const std::string &digest) const { return m_holders.count(digest) != 0; }

    /// Returns whether more than half of the listed VMs, self included, hold it.
    bool isAccepted(const std::string &digest, const std::vector<listed_vm> &vms,
                    const std::string &self) const;

    /// Returns the listed VMs that have not confirmed it.
    std::vector<std::string> unconfirmed(const std::string &digest,
                                         const std::vector<listed_vm> &vms,
                                         const std::string &self) const;

    /// Returns the digests to send to peers and to append when the log is back.
    std::vector<std::string> pending() const;

private:
    std::map<std::string, std::set<std::string>> m_holders;
    std::set<std::string> m_logged;
};

} // namespace burdockhold

#endif
