#ifndef BURDOCKHOLD_EVENT_ROUTER_H
#define BURDOCKHOLD_EVENT_ROUTER_H

// The event-loop router: one thread and one event loop serve callers, endpoints, the platform's log
// and the other VMs. event_router connects the components, applies what the log reports, answers
// the load balancer's readiness probes and shuts down.

#include "burdockhold/caller_connection.h"
#include "burdockhold/connection_acceptor.h"
#include "burdockhold/crash_records.h"
#include "burdockhold/digest_exchange.h"
#include "burdockhold/duty_controller.h"
#include "burdockhold/endpoint_paths.h"
#include "burdockhold/endpoint_relay.h"
#include "burdockhold/readiness_server.h"
#include "burdockhold/rollout_controller.h"
#include "burdockhold/router_board.h"
#include "burdockhold/topic_follower.h"
#include "burdockhold/view_controller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace burdockhold {

class event_router
{
public:
    explicit event_router(router_settings settings);

    /// Runs until the shutdown that SIGTERM or SIGINT starts is complete. Returns an error text, or
    /// an empty string.
    std::string run();

private:
    std::string open();
    static std::string listen(connection_acceptor &acceptor, const std::string &address);
    void handlerFailed(const std::string &text);
    void acceptConnections();
    void startCaller(boost::asio::ip::tcp::socket socket);
    void descriptorsExhausted();
    std::string probeResponse(std::string_view request);
    bool isReady() const;
    endpoint_relay_options relayOptions();

    view_handlers viewHandlers();
    void announce();
    void scheduleAnnounceRetry();
    void listVms(const std::string &after);
    void vmPageReceived(const log_response &response);
    bool usesEvacuations() const;
    void applyEvacuation(const platform::keyed_record &record);
    void operatorListed(const std::set<std::string> &keys);
    void operatorConfirmed(duration at);
    void evacuationEnded(const std::string &dataCentre);
    void logEvacuation(log_event event, const std::string &dataCentre, std::string_view reason);
    void operatorRecord(const platform::keyed_record &record);
    void applyDeployment(std::shared_ptr<const deployment_index> next, std::string_view from);
    void deploymentRefused(const std::string &reason);
    void applyTargetWeights(std::string_view body);
    void endpointReported(const endpoint_report &report);
    void logRefusedColdTime(const endpoint_report &report, time_point now);
    void endpointRemoved(const std::string &id);
    void endpointRecordRejected(const std::string &id, const std::string &reason);
    void endpointsListed(const std::set<std::string> &ids);
    void updateTopicState(std::string_view topic, int status);

    void scheduleTick();
    void tick();
    void logEra(time_point now);
    void waitForSignal();
    void beginShutdown();
    void stepShutdown(time_point now);

    boost::asio::io_context m_io;
    router_board m_board;
    placement_client m_placements; // Outlives the requests.
    endpoint_paths m_paths;
    connection_pool m_connections;
    endpoint_relay m_relay;
    wait_queue m_waitQueue;
    migratable_requests m_migratable;
    caller_registry m_callers;
    readiness_server m_readiness;
    digest_exchange m_digests;
    view_controller m_views;
    std::unique_ptr<duty_controller> m_duties;
    std::unique_ptr<crash_records> m_crashRecords;
    std::unique_ptr<rollout_controller> m_rollouts;
    connection_acceptor m_callerAcceptor;
    connection_acceptor m_readyAcceptor;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_announceTimer;
    std::shared_ptr<log_connection> m_announceConnection;
    std::map<std::string, bool, std::less<>> m_topicUnavailable; // By topic of the log.
    std::map<std::string, std::string> m_refusedRecords;         // Reasons, by endpoint id.
    std::set<std::string> m_refusedColdTimes;                    // By endpoint id.
    time_point m_sweptAt;
};

} // namespace burdockhold

#endif
