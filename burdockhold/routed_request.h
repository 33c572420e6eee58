#ifndef BURDOCKHOLD_ROUTED_REQUEST_H
#define BURDOCKHOLD_ROUTED_REQUEST_H

// The life of one request on the event loop: admit, place, call, relay, finish. The decisions are
// functions of other headers; this file carries them out in order.
//
// Promises:
// - Exactly one final answer, unless the caller leaves: then the endpoint's connection is closed at
//   once and nothing more is sent.
// - A final answer no later than the route's time limit or the caller's deadline.
// - An answer that is not whole never looks complete.
// - A stream without a whole event for longer than its caller waits ends, whatever else arrives; a
//   slower one does not. Answers that wait to be whole take a quarter of the memory at most.

#include "burdockhold/attempt_rules.h"
#include "burdockhold/caller_request.h"
#include "burdockhold/connection_pool.h"
#include "burdockhold/event_splitter.h"
#include "burdockhold/router_board.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// How an exchange answers its caller. The connection that owns the caller implements each.
struct response_writer
{
    std::function<void(int status, const std::vector<http_field> &fields, const std::string &body)>
            whole;
    std::function<void(int status, const std::vector<http_field> &fields)> beginStream;
    std::function<void(const std::string &bytes)> streamBytes;
    std::function<void()> endStream;
    std::function<void()> cutOff; ///< Closes the connection so that the answer looks incomplete.
};

class routed_request;

/// Requests that wait until an endpoint of their pool can take them, the most urgent first.
class wait_queue
{
public:
    void enter(std::shared_ptr<routed_request> waiting);
    void leave(const routed_request *waiting);

    /// Lets the waiting requests try again, in order.
    void retry();

    std::size_t size() const { return m_waiting.size(); }

private:
    std::vector<std::shared_ptr<routed_request>> m_waiting;
};

/// Calls that could go on at another endpoint.
using migratable_requests = std::set<std::shared_ptr<routed_request>>;

/// Parts of the process that exchanges use.
struct request_context
{
    boost::asio::io_context &io;
    router_board &board;
    connection_pool &links;
    wait_queue &waiting;
    migratable_requests &movable;
};

class routed_request : public std::enable_shared_from_this<routed_request>
{
public:
    routed_request(request_context context, caller_request request, response_writer port,
                   time_point arrival);

    void start();

    /// The caller has closed its connection.
    void callerLeft();

    /// Too many bytes wait for the caller, or have been delivered.
    void pause();
    void resume();

    /// Tries to place a waiting request; false when it goes on waiting.
    bool place();

    /// Goes on at another endpoint if this one is about to load weights: it would otherwise wait
    /// for the end of the stream, and the pool for it.
    void migrateFromLoadingEndpoint();

    /// Goes on at another endpoint if this one sends nothing to anybody.
    void migrateFromSilentEndpoint();

    int priority() const { return m_priority; }
    time_point arrival() const { return m_arrival; }

private:
    void waitForDeployment();
    bool findRoute();
    bool authenticate();
    bool admitTokens();
    void startTimer();
    void timerFired();
    duration longestPause() const;
    duration longestSilence() const;
    void timeLimitReached();
    void waitForEndpoint();

    /// What one placement is decided on. The store belongs to the deployment that is in force.
    struct placement_inputs
    {
        std::vector<endpoint_candidate> candidates;
        placement_need need;
        const cache_store *store = nullptr; // Of the shared parts; null when there is none.
    };

    placement_inputs inputsNow() const;
    std::vector<endpoint_candidate> candidatesNow() const;
    duration longestWait() const;
    const std::string &choosePool();

    void startCall(const placement_inputs &inputs, const endpoint_choice &choice);
    void beginCall(std::string_view endpointId, const endpoint_choice &choice,
                   const placement_need &need);
    void countCall(const endpoint_choice &choice);
    endpoint_call_fields ordersFor(const std::string &endpointId) const;
    std::string holderAddress(std::string_view engine) const;
    const cache_store *storeOfParts(const placement_inputs &inputs) const;
    bool storeHoldsParts(const cache_store &store, std::int64_t version) const;
    void noteSharedParts(const std::string &store, bool beingSaved);
    void moveParts(endpoint_call_fields &orders, const placement_inputs &inputs,
                   const std::string &holder);
    bool canMigrate() const;
    bool hasAlternative(double withinMs) const;
    void migrate();
    http_handlers handlersOfCall();
    bool headArrived(const response_message &message);
    bool isOwnAnswer(const endpoint_response_head &head) const;
    void bodyArrived(std::string_view bytes);
    void firstByteArrived();
    void relayEvents(std::string_view bytes);
    void linkEnded(http_outcome end);
    call_end judge(http_outcome end) const;
    void learnFromRefusal();
    void callEnded(call_end end);
    void stepAfterCheck(const attempt_facts &facts);
    void takeStep(const next_step &step);
    void releaseCall();
    void dropBody();

    void deliver();
    void refuse(int status, std::string_view reason, duration retryAfter);
    void fail(int status, std::string_view reason);
    void finish(router_counter counter, int status, std::string_view reason);
    void logFullPool(time_point now);
    void logCall(call_end end);

    request_context m_context;
    caller_request m_request;
    response_writer m_port;
    time_point m_arrival;
    time_point m_deadline;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const deployment_index> m_deployment;
    const deployment_route *m_route = nullptr;
    const deployment_account *m_account = nullptr;
    const deployment_pool *m_pool = nullptr;
    std::string m_poolName;
    int m_priority = 5;

    // The call in progress.
    std::shared_ptr<http_client_connection> m_link;
    std::string m_endpointId;
    std::string m_address;
    call_load m_load;
    bool m_promptRead = false;
    time_point m_callStarted;
    time_point m_progressAt; ///< Of the call's start or its last whole event.
    endpoint_response_head m_head;
    bool m_headArrived = false;
    std::string m_body;
    std::uint64_t m_eventsBefore = 0; ///< Events of the stream before this call.
    std::string m_segmentKey;
    std::int64_t m_expectedWeights = 0;

    // Of all calls.
    std::set<std::string> m_tried;
    int m_sends = 0;
    int m_runs = 0;
    bool m_mayHaveRun = false;
    bool m_answerBegun = false;
    bool m_waiting = false;
    bool m_awaitsRetryBudget = false; ///< The next call needs a place in the budget first.
    bool m_ended = false;
    duration m_waited = duration::zero();
    duration m_firstByte = duration::zero(); ///< From the arrival to the answer's first byte.
    double m_expectedMs = 0.0;               ///< What the last placement expected of the call.
    bool m_copied = false;
    bool m_saved = false;
    event_splitter m_events;
};

} // namespace burdockhold

#endif
