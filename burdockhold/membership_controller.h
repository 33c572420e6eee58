#ifndef BURDOCKHOLD_MEMBERSHIP_CONTROLLER_H
#define BURDOCKHOLD_MEMBERSHIP_CONTROLLER_H

// The controller of what VMs must agree on: the VM list, heartbeats, how fresh this VM's view is,
// epochs, and withdrawals of keys. It is the only writer of the blackboard's freshness and
// withdrawals.
//
// A withdrawal is in force here when withdraw() or serve() returns: it is published first and the
// key's running requests are cancelled then, so that a request which saw the older state is found.
// It is sent to all peers at once and with every heartbeat until the config stream holds it.
// While the view is not fresh, running completions of keyed routes are cancelled.
//
// Limits: withdraw() takes MaxPendingWithdrawals keys in one process's life; further ones go
// through the log. Epoch records are not part of a refresh: a reader that began after offset 1, or
// lost its position, cannot know the epoch in force. It then mints nothing, proposes nothing and
// borrows from the listed VMs. So a deployment in which every VM was replaced after the newest
// epoch record left retention mints nothing; retention must exceed the life of the longest-lived
// VM.

#include "burdockhold/blackboard.h"
#include "burdockhold/config_follower.h"
#include "burdockhold/log_client.h"
#include "burdockhold/membership.h"
#include "burdockhold/peer_link.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace burdockhold {

struct membership_options
{
    std::string self;
    std::uint64_t incarnation = 0;
    std::string vmsUrl; ///< "http://IP:PORT".
    duration vmsInterval = std::chrono::seconds(1);
    duration heartbeatInterval = std::chrono::seconds(1);
    duration maxViewAge = std::chrono::seconds(5);
    log_client_options log;
};

/// The VMs' shares of the accounts' limits, as this VM may use them now.
struct share_view
{
    bool known = false;             ///< False when the epoch in force cannot be known.
    const epoch_history &epochs;    ///< Valid during the call only.
    std::vector<std::string> peers; ///< The other listed VMs.
};

/// What the controller uses of the rest of the process. None may block. All are called on the
/// controller's or the link's thread.
struct membership_hooks
{
    std::function<view_freshness()> logFreshness; ///< The config follower's reads of the tail.
    std::function<void(const std::string &digest)> cancelKey;
    std::function<void()> cancelKeyed; ///< Cancels the completions of all keyed requests.
    /// The shares or the catalogue changed.
    std::function<void(const catalogue &config, const share_view &shares)> applyShares;
    std::function<void(time_point until)> setFreshUntil;
};

/// What became of a withdrawal.
struct withdrawal_result
{
    bool held = false;     ///< False when this VM could not take it; nothing was sent.
    bool accepted = false; ///< More than half of the listed VMs hold it, or the log does.
    std::size_t holders = 0;
    std::size_t vms = 0;
    std::vector<std::string> unconfirmed; ///< VMs that have not confirmed it.
};

struct membership_status
{
    log_offset epoch = 0;
    bool epochKnown = false;
    std::size_t vms = 0;
    std::size_t pendingWithdrawals = 0;
    std::vector<std::string> unsettled; ///< VMs that the epoch in force waits for.
    std::uint64_t listErrors = 0;
};

class membership_controller : public config_listener
{
public:
    using withdrawal_callback = std::function<void(const withdrawal_result &)>;

    membership_controller(membership_options options, blackboard &board);
    ~membership_controller() override;
    membership_controller(const membership_controller &) = delete;
    membership_controller &operator=(const membership_controller &) = delete;

    /// Sets what the controller uses. Before start() and before a link calls serve().
    void setHooks(membership_hooks hooks);

    /// Starts polling and heartbeats. The link must outlive stop().
    void start(peer_link &link);

    /// Joins the thread and answers open withdrawals. Nothing is published afterwards.
    void stop();

    /// Answers a heartbeat or a withdrawal of a peer.
    peer_body serve(const peer_message &message);

    /// Withdraws a key by its digest. The callback is called once, after all VMs have confirmed or
    /// after a second.
    void withdraw(const std::string &digest, withdrawal_callback done);

    membership_status status() const;

    void onConfigRecord(const log_record &record) override;
    void onConfigRestart(log_offset earliest) override;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace burdockhold

#endif
