#ifndef BURDOCKHOLD_DUTY_CONTROLLER_H
#define BURDOCKHOLD_DUTY_CONTROLLER_H

// Executes the duties, which one VM at a time performs for all VMs: orders to a pool's engines, and
// checks of a store's availability; the statuses of rollouts belong to it too. Each pool has a duty
// of its own; its holder is determined by duty_lease.h.

#include "burdockhold/duty_lease.h"
#include "burdockhold/router_board.h"
#include "burdockhold/topic_follower.h"
#include "burdockhold/weights_rollout.h"
#include "platform/engine_codec.h"
#include "platform/log_codec.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockhold {

class duty_controller
{
public:
    duty_controller(boost::asio::io_context &context, router_board &board,
                    boost::asio::ip::tcp::endpoint logServer);

    /// Keeps the leases, checks stores, and plans and gives orders. Called on every tick.
    void step(time_point now);

    /// Returns true while this VM holds the pool's duty.
    bool holds(const std::string &pool) const;

    /// Releases all duties and leaves their groups, so that other VMs need not wait until the
    /// leases expire.
    void leave();

private:
    /// State of one pool's duty on this VM, whether it holds the duty or not.
    struct held_duty
    {
        held_duty(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &logServer,
                  store_era &era, const duty_lease_options &options, const std::string &pool,
                  int partitions, duration processStartedAt);

        duty_lease lease;
        std::shared_ptr<log_connection> connection;
        bool joining = false;
        bool isMember = false;
        bool wasHeld = false;
        std::optional<std::int64_t> answeredGeneration; // By the last answer to a join.
        bool wasListed = false;                         // By the same answer.
        std::int64_t newestEra = 0;                     // That this VM has heard of.
        duration releasedAt = duration::min() / 2; // Boot time; an earlier join gives no lease.
        time_point nextJoinAt;
        time_point startedAt;
        time_point orderedAt;
        std::map<std::string, rollout_planner> planners; // By model.
    };

    held_duty &dutyOf(const std::string &pool, time_point now);
    rollout_planner &plannerOf(held_duty &duty, const std::string &model);
    void stepMembership(const std::string &pool, held_duty &duty, time_point now);
    std::size_t rankOf(const std::string &pool) const;
    bool isHandedOver(const std::string &pool, const held_duty &duty) const;
    void endLeaseOfEarlierEra(held_duty &duty);
    static bool isFenced(const held_duty &duty);
    void join(const std::string &pool, held_duty &duty, time_point now);
    void joinAnswered(const std::string &pool, held_duty &duty, const log_response &response,
                      duration sentAt);
    void logMembership(const std::string &pool, held_duty &duty,
                       const platform::group_membership &membership);
    void leaveGroup(const std::string &pool, held_duty &duty);
    void logHolderChange(const std::string &pool, held_duty &duty, time_point now);
    void publishDuties(time_point now);
    void publishLoadTimes();
    void checkStores(time_point now);
    void checkStore(const std::string &address);
    std::vector<rollout_engine> enginesToOrder(const std::string &pool, const std::string &model,
                                               time_point now) const;
    void stepModel(const deployment_pool &pool, held_duty &duty, const std::string &model,
                   time_point now);
    /// Returns whether the engine wants no calls now or is in an evacuated data centre.
    bool mayNotCall(const std::string &endpointId, time_point now) const;
    void execute(const std::string &pool, const std::string &model,
                 const query_engine_state &action);
    void execute(const std::string &pool, const std::string &model, const weights_order &action);
    void callEngine(const std::string &address, const platform::engine_call &call,
                    std::function<void(log_response)> done);
    void stateReceived(const std::string &pool, const std::string &model,
                       const std::string &endpointId, const log_response &response);
    void orderCompleted(const std::string &pool, const weights_order &order,
                        const log_response &response);

    boost::asio::io_context &m_context;
    router_board &m_board;
    boost::asio::ip::tcp::endpoint m_logServer;
    duty_lease_options m_leaseOptions;
    duration m_processStartedAt;               // Boot time.
    std::map<std::string, held_duty> m_duties; // By pool.
    bool m_leaving = false;
    time_point m_storesCheckedAt;
};

} // namespace burdockhold

#endif
