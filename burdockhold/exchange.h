#ifndef BURDOCKHOLD_EXCHANGE_H
#define BURDOCKHOLD_EXCHANGE_H

// The life of one request: authenticate, read the body, admit, claim, place, call, deliver, settle.
// Each stage is a function; a stage that refuses the request replies and ends it. An exchange keeps
// itself alive through the callbacks it waits for. At most one call runs at a time, and the next
// one starts only after the previous one has ended. A stage that throws ends its request with an
// error: 502 if an endpoint may have run it, else 503.

#include "burdockhold/access_log.h"
#include "burdockhold/byte_budget.h"
#include "burdockhold/caller_reply.h"
#include "burdockhold/claim_stage.h"
#include "burdockhold/exchange_metrics.h"
#include "burdockhold/front_server.h"
#include "burdockhold/load_controller.h"
#include "burdockhold/placement_router.h"
#include "burdockhold/sse.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace burdockhold {

/// What all exchanges of a server share.
struct exchange_context
{
    const front_options &options;
    const blackboard &board;
    const front_services &services;
    upstream_clients &clients;
    const std::atomic<bool> &accepting; ///< False once the process stops.
    byte_budget &responseBytes;         ///< Of responses that are delivered whole, of all requests.
};

class exchange : public upstream_observer, public std::enable_shared_from_this<exchange>
{
public:
    exchange(exchange_context context, std::shared_ptr<http_call> call, std::string requestId);

    /// Runs the request. closed is called once, after the reply was written or the caller left
    /// and no call to an endpoint runs.
    void run(std::function<void()> closed);

    /// Refuses the request without running it, because the server is stopping.
    void refuseStopping(std::function<void()> closed);

    /// Cancels the running call and ends the request with an error.
    void cancel();

    const std::string &requestId() const { return m_requestId; }
    /// Digest of the caller's key; empty on open routes.
    std::string keyDigest() const;
    /// Returns whether this is a completion whose key was read.
    bool isKeyedCompletion() const;

    void onHeaders(const upstream_response &response) override;
    bool onBytes(std::string_view bytes) override;
    void onEnd(const std::optional<upstream_failure> &failure) override;

private:
    void takeHeaders(const upstream_response &response);
    bool takeBytes(std::string_view bytes);
    void takeEnd(const std::optional<upstream_failure> &failure);
    enum class delivery { Events, Whole };

    /// State of the attempt that runs.
    struct attempt
    {
        routing_choice choice;
        time_point startedAt{};
        duration firstByte = duration::zero(); ///< From the start to the headers.
        upstream_response response;
        sse_parser parser{ DefaultMaxEventBytes };
        std::string fault;        ///< Why the attempt is unusable; empty while it is usable.
        bool passThrough = false; ///< A reply of the endpoint that is final though not a success.
        bool lost = false;        ///< The connection broke; the endpoint may have died.
        bool notJudged = false;   ///< How it ended says nothing about the endpoint.
    };

    template <typename Stage>
    void guard(const Stage &stage);
    void stageFailed();
    void endAfterException();

    // Stages, in order. From admit() on, each stage starts the next one, at once or later.
    bool checkFraming();
    bool identifyRoute();
    bool authenticate();
    void readBody();
    bool hasEnded() const;
    void onBodyRead(received_body body);
    bool checkBody(body_end end);
    bool parseBody();
    void admit();
    void claim();
    void onClaimDecided(const claim_verdict &verdict);
    void replay(const claim_answer &answer);
    void place();
    void call(const routing_choice &choice);
    void deliverEvent(const sse_event &event);
    void deliverWhole();
    void settle(const std::string &outcome, const std::string &reason);
    token_use tokenUse(const std::string &outcome) const;

    bool keyIsValid(const catalogue &config) const;
    bool keyStillServes() const;
    bool viewIsFresh() const;
    std::string checkResponse(const upstream_response &response) const;
    bool servesOtherVersion(const upstream_response &response) const;
    std::string checkWhole() const;
    upstream_request buildRequest(const routing_choice &choice) const;
    void abandonAttempt(const std::string &why);
    void afterStreamAttempt(const std::optional<upstream_failure> &failure);
    void afterWholeAttempt(const std::optional<upstream_failure> &failure);
    void reportAttempt(bool succeeded);
    void afterFailedAttempt();
    void probeForCrash(int polls);
    void onProbe(const poll_result &answer, int polls);
    bool isKnownToCrash();
    void isolateSuspect(const catalogue &config);
    void retryOrFail();
    void failRequest();
    void refuse(const error_reply &error);
    prompt_use promptUse(const upstream_response &response) const;
    void onReplyClosed(bool delivered);
    void finishIfIdle();

    exchange_context m_context;
    std::shared_ptr<http_call> m_message;
    std::string m_requestId;
    caller_reply m_reply;
    std::function<void()> m_closed;
    time_point m_started;
    access_record m_record;
    claim_stage m_claim;
    exchange_metrics m_measures;

    std::shared_ptr<const catalogue> m_config;
    std::optional<completion_kind> m_kind; ///< Nothing for a plain route.
    route_entry m_route;
    model_entry m_model;
    account_entry m_account;
    std::int64_t m_priority = 0;
    completion_request m_request;
    std::int64_t m_maxTokens = 0;
    std::string m_body;
    std::string m_digest; ///< By which crash suspects are known.
    delivery m_delivery = delivery::Whole;
    routing_request m_routing;
    limit_stage m_limits;
    stream_continuity m_continuity;
    attempt m_attempt;
    budgeted_text m_responseBody; ///< Of the attempt, unless its events are delivered one by one.
    bool m_reached = false;       ///< A byte of some attempt may have reached an endpoint.
    bool m_silent = false;        ///< The last attempt ended by a watchdog.
    std::string m_failureCode;    ///< Code of the error when it is not the last attempt's.

    mutable std::mutex m_mutex; ///< Guards the members below.
    std::string m_keyDigest;
    std::shared_ptr<upstream_call> m_call;
    bool m_cancelled = false;
    bool m_callerLeft = false;
    bool m_callRuns = false; ///< Until the call's onEnd().
    bool m_replyClosed = false;
    bool m_idle = true; ///< No stage and no call is running.
    bool m_closedReported = false;
};

} // namespace burdockhold

#endif
