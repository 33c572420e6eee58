#ifndef BURDOCKHOLD_ROLLOUT_CONTROLLER_H
#define BURDOCKHOLD_ROLLOUT_CONTROLLER_H

// Runs the rollouts of software versions (software_rollout.h): passes them the operator's orders
// and the endpoints' versions, logs their decisions, and reads and writes their statuses in the
// log.
//
// The holder of a pool's duty writes the status. It appends under the condition that the topic has
// not changed since it read it, so a late append of a former holder is refused, and it never
// overwrites a final status of the same target. Calls to the log that fail are repeated; until then
// the decision holds on the VMs alone.

#include "burdockhold/router_board.h"
#include "burdockhold/topic_follower.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhold {

class rollout_controller
{
public:
    rollout_controller(boost::asio::io_context &context, router_board &board,
                       boost::asio::ip::tcp::endpoint logServer);

    /// Applies the operator's record of an order.
    void orderReceived(std::string_view body, time_point now);

    /// Called on every tick. holdsDuty tells whether this VM holds the pool's duty.
    void step(const std::function<bool(const std::string &)> &holdsDuty, time_point now);

private:
    /// What the log says of one pool, and what was logged of it.
    struct rollout_status
    {
        std::optional<rollout_state> written;
        std::string target; ///< To which `written` belongs.
        rollout_state logged = rollout_state::Idle;
        time_point shareLoggedAt;
    };

    software_rollout &rolloutOf(const std::string &pool);
    void orderBegan(const software_rollout &rollout, bool ageGuessed, time_point now);
    void updateVersions(time_point now);
    void logState(const software_rollout &rollout, rollout_status &status, time_point now);
    void logShare(const software_rollout &rollout, rollout_status &status, time_point now);
    void writeStatus(software_rollout &rollout, rollout_state wanted, time_point now);
    void callBegins(time_point now);
    void callEnds(time_point now);
    void readStatuses(const std::string &after, time_point now);
    void statusesReceived(const log_response &response);
    void statusWritten(const std::string &pool, const std::string &target, rollout_state state,
                       const log_response &response);
    void logCallFailed(std::string_view call, int status, time_point now);

    router_board &m_board;
    std::shared_ptr<log_connection> m_connection;
    std::map<std::string, rollout_status> m_statuses; // By pool.
    std::optional<std::uint64_t> m_end; // Of the topic of statuses; not set if it must be read.
    bool m_calling = false;
    time_point m_nextCallAt;
    time_point m_callBeganAt;
    duration m_callTime = duration::zero(); ///< Of the last call that has ended.
    time_point m_versionsUpdatedAt;
};

} // namespace burdockhold

#endif
