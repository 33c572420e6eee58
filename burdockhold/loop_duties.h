#ifndef BURDOCKHOLD_LOOP_DUTIES_H
#define BURDOCKHOLD_LOOP_DUTIES_H

// Carries out what one VM at a time does for all: orders to engines. Each pool's orders are a duty
// of their own; the VM that holds the pool's partition of the group on the log carries them out.

#include "burdockhold/duty_lease.h"
#include "burdockhold/loop_log.h"
#include "burdockhold/loop_peers.h"
#include "burdockhold/router_board.h"
#include "burdockhold/weights_orders.h"
#include "platform/engine_codec.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace burdockhold {

class duty_controller
{
public:
    duty_controller(boost::asio::io_context &context, router_board &board, digest_link &digests,
                    boost::asio::ip::tcp::endpoint logServer);

    void start();

    /// Plans and gives orders. Called on every tick.
    void step(time_point now);

    /// Gives up all duties and leaves the group, so that others need not wait for the lease's end.
    void leave();

private:
    void noteOthers(const std::string &pool, const std::vector<ordered_engine> &engines,
                    std::int64_t wanted, const weights_planner &planner, time_point now);
    void checkStores(time_point now);
    void checkStore(const std::string &address);
    void join();
    void joinAfter(duration pause);
    void stepPool(const std::string &pool, const std::string &model, time_point now);
    void carryOut(const std::string &plan, const ask_engine_state &action);
    void carryOut(const std::string &plan, const weights_order &action);
    void callEngine(const std::string &address, const platform::engine_call &call,
                    std::function<void(log_answer)> done);
    void stateArrived(const std::string &plan, const std::string &endpointId,
                      const log_answer &answer);
    void orderAnswered(const std::string &plan, const weights_order &order,
                       const log_answer &answer);

    boost::asio::io_context &m_context;
    router_board &m_board;
    digest_link &m_digests;
    duty_lease_options m_leaseOptions;
    duty_lease m_lease;
    std::shared_ptr<log_lane> m_lane;
    boost::asio::steady_timer m_joinTimer;
    std::map<std::string, weights_planner> m_planners; // By pool and model.
    std::map<std::string, duration> m_othersActedAt;   // By pool; suspension-counting clock.
    bool m_leaving = false;
    time_point m_storesCheckedAt;
};

} // namespace burdockhold

#endif
