#ifndef BURDOCKHOLD_ROUTED_REQUEST_H
#define BURDOCKHOLD_ROUTED_REQUEST_H

// Processes one request on the event loop: admission, placement, call, relay and completion. The
// decisions are made by functions of other headers; this class executes them in order.
//
// Promises:
// - Each request gets exactly one final response, unless its caller disconnects: then the
//   endpoint's connection is closed at once and nothing more is sent.
// - The final response comes no later than the route's time limit or the caller's deadline.
// - An incomplete response never looks complete.
// - While the process stops, no first call is made that is not expected to be answered in time.
// - A stream is ended if it delivers no complete event for longer than its caller waits, even if
//   other bytes arrive; a slow stream that keeps within that time is not ended.
// - Responses that are buffered until they are complete are bounded by a part of the memory budget.
// - An unforeseen exception ends the request that it belongs to at once, and no other.

#include "burdockhold/attempt_rules.h"
#include "burdockhold/caller_request.h"
#include "burdockhold/connection_pool.h"
#include "burdockhold/event_gaps.h"
#include "burdockhold/event_splitter.h"
#include "burdockhold/migration_rules.h"
#include "burdockhold/placement_client.h"
#include "burdockhold/placement_inputs.h"
#include "burdockhold/request_admission.h"
#include "burdockhold/request_log.h"
#include "burdockhold/request_waiting.h"
#include "burdockhold/router_board.h"
#include "burdockhold/wait_queue.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// Sends the response to a request's caller. The caller's connection implements the functions.
struct response_writer
{
    std::function<void(int status, const std::vector<http_field> &fields, const std::string &body)>
            sendResponse;
    std::function<void(int status, const std::vector<http_field> &fields)> beginStream;
    std::function<void(const std::string &bytes)> sendStreamBytes;
    std::function<void()> endStream;
    /// Closes the connection so that the response looks incomplete.
    std::function<void()> abortResponse;
};

class routed_request;

/// Log reasons of a request that ends without a response of an endpoint.
struct unserved_reasons
{
    int unknownStatus = 502;          ///< Status if an endpoint may have run the request.
    std::string_view responseStarted; ///< The response has started and is cut off.
    std::string_view mayHaveRun;
    std::string_view notRun;
};

/// Requests whose current call may be migrated to another endpoint.
using migratable_requests = std::set<std::shared_ptr<routed_request>>;

/// Components of the process that requests use.
struct request_context
{
    boost::asio::io_context &io;
    router_board &board;
    endpoint_paths &paths;
    connection_pool &connections;
    wait_queue &waiting;
    migratable_requests &migratable;
    placement_client *placements = nullptr; ///< Null: requests are placed by this VM alone.
};

class routed_request : public std::enable_shared_from_this<routed_request>
{
public:
    routed_request(request_context context, caller_request request, response_writer writer,
                   time_point arrival);

    void start();

    /// The caller has closed its connection.
    void callerDisconnected();

    /// The process ends before the request could.
    void processEnds();

    /// Pauses and resumes reading from endpoints: backpressure from a slow caller. An endpoint that
    /// is not read is not taken for a silent one.
    void pause();
    void resume();

    /// Tries to place the request at an endpoint. Returns false if the request has to wait,
    /// and true if it was placed or has ended.
    bool place();

    /// Migrates to another endpoint if the current one is about to load weights or is silent.
    void migrateIfNeeded();

    /// The request has left the wait queue without being placed.
    void waitEnded();

    int priority() const { return m_priority; }
    time_point arrival() const { return m_arrival; }

private:
    template <typename Step>
    void guard(const Step &step);
    void stepFailed(const std::string &what);
    void begin();
    bool tryPlace();
    void waitForDeployment();
    bool admit();
    void refuseAdmission(admission_refusal refusal);
    bool admitTokens();
    void returnTokens();
    void startTimer();
    void onTimer();
    void endUnserved(const unserved_reasons &reasons);
    bool isScheduled() const;
    bool waitsInRoom() const;
    void placeOrWait();
    void enterWaitQueue(wait_cause cause);
    bool joinWaitQueue(time_point now);
    void queueWaitEnded(duration retryAfter);
    time_point queueWaitEnd(time_point now) const;
    waiting_call waitingCall() const;

    cache_domain cacheDomain() const;
    placement_query placementQuery() const;
    placement_step choosePlacement(placement_inputs &inputs, const placement_query &query,
                                   time_point now);
    bool refuseIfTooLate(const endpoint_choice &choice, time_point now);
    bool refuseIfNoneReturns(const std::vector<endpoint_candidate> &candidates, time_point now);
    void startCall(const placement_inputs &inputs, const endpoint_choice &choice);
    void prepareCall(std::string_view endpointId, const endpoint_choice &choice,
                     const placement_need &need);
    void countCall(const endpoint_choice &choice);
    endpoint_call_fields callFieldsFor(const std::string &endpointId) const;
    void addSegmentTransfer(endpoint_call_fields &fields, const placement_inputs &inputs,
                            const std::string &holder, bool holderIsKnown);
    std::optional<migration_facts> migrationFacts(time_point now) const;
    bool hasAlternative(double withinMs) const;
    void migrateFromUnwantedEndpoint();
    void migrateFromSilentEndpoint();
    void migrate();
    http_handlers callHandlers();
    bool headReceived(const response_message &message);
    bool isResponseToThisCall(const endpoint_response_head &head) const;
    bool isEventStream() const;
    void bodyReceived(std::string_view bytes);
    void firstByteReceived();
    void relayEvents(std::string_view bytes);
    void sendEvents(const std::string &text);
    void connectionEnded(http_outcome end);
    void checkUnframedEnd();
    call_end classifyEnd(http_outcome end) const;
    bool pathFailed(call_end end) const;
    void callRefused(time_point now);
    void callEnded(call_end end);
    void checkTermination(const attempt_facts &facts);
    void terminationChecked(const attempt_facts &facts, connect_outcome outcome);
    bool refuseIfBlocked(time_point now);
    void takeStep(const next_step &step);
    void releaseCall();
    void discardBody();

    void deliver();
    void refuse(int status, std::string_view reason, duration retryAfter);
    void fail(int status, std::string_view reason);
    void finish(router_counter counter, int status, std::string_view reason);
    void logCall(call_end end);
    request_summary summary(int status, std::string_view reason, time_point now) const;

    request_context m_context;
    caller_request m_request;
    response_writer m_writer;
    time_point m_arrival;
    time_point m_deadline;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const deployment_index> m_deployment;
    const deployment_route *m_route = nullptr;
    const deployment_account *m_account = nullptr;
    const deployment_pool *m_pool = nullptr;
    std::string m_poolName;
    int m_priority = 5;

    // State of the current call.
    std::shared_ptr<http_client_connection> m_connection;
    std::string m_endpointId;
    std::int64_t m_endpointIncarnation = 0;
    call_progress m_progress = call_progress::Unanswered;
    std::string m_address;
    call_load m_load;
    call_ticket m_ticket; ///< Empty once the endpoint has accepted the call.
    bool m_prefillDone = false;
    time_point m_callStarted;
    time_point m_lastProgress; ///< Start of the call, or arrival of its last complete event.
    endpoint_response_head m_head;
    bool m_headReceived = false;
    std::string m_body;
    std::uint64_t m_eventsBeforeCall = 0; ///< Events that earlier calls delivered to the stream.
    bool m_continuesStream = false; ///< An earlier call has begun the response or an event of it.
    cache_domain m_cacheDomain;
    std::string m_segmentKey;
    std::int64_t m_expectedWeights = 0;

    // State of the request across all its calls.
    std::vector<fingerprint> m_fingerprints;
    std::optional<fingerprint> m_trialOf; ///< Blocked fingerprint that the next call tries out.
    bool m_isTrial = false;               ///< A call has been sent as a trial.
    std::set<std::string> m_triedEndpoints;
    std::set<std::string> m_calledAddresses; ///< A call of the attempt may have arrived there.
    std::string m_lastEndpointId;            ///< Endpoint of the last call; empty if none was made.
    int m_callsMade = 0;
    int m_runs = 0;
    int m_resumes = 0; ///< Calls that were to continue the stream that the caller has begun to get.
    bool m_mayHaveRun = false;
    bool m_responseStarted = false;
    std::string m_mediaType; ///< Of the response that has started; may be empty.
    bool m_paused = false;   ///< The caller does not read as fast as the endpoint sends.
    bool m_waiting = false;
    wait_record m_wait;
    bool m_awaitsRetryBudget = false; ///< The next call must first be admitted by the retry budget.
    bool m_ended = false;
    double m_chargedTokens = 0.0; ///< Charged to the account, and returned if nothing runs.
    duration m_queueTime = duration::zero();
    /// Time from the request's arrival to the first byte of the response.
    duration m_timeToFirstByte = duration::zero();
    endpoint_choice m_choice;                    ///< The last placement.
    duration m_callFirstByte = duration::zero(); ///< From the last call to its first byte.
    event_gaps m_gaps;
    bool m_copiesSegments = false;
    bool m_savesSegments = false;
    event_splitter m_events;
    request_placement m_placement;
    std::shared_ptr<rollout_call> m_rolloutCall; ///< Set while the call is sampled.
};

/// Runs a step of the request. An exception must not reach the event loop: the request would keep
/// its caller waiting, and the requests after it in a loop would miss their step.
template <typename Step>
void routed_request::guard(const Step &step)
{
    const auto self = shared_from_this();
    try {
        step();
    } catch (const std::exception &error) {
        stepFailed(error.what());
    } catch (...) {
        stepFailed("an exception of an unknown type");
    }
}

} // namespace burdockhold

#endif
