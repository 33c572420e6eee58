#include "burdockhold/routed_request.h"

#include "burdockhold/crash_reports.h"
#include "burdockhold/endpoint_notices.h"
#include "burdockhold/endpoint_refusals.h"
#include "burdockhold/enum_names.h"
#include "burdockhold/first_events.h"
#include "burdockhold/placement_log.h"
#include "burdockhold/prompt_segments.h"
#include "burdockhold/retry_after.h"
#include "burdockhold/rollout_calls.h"
#include "burdockhold/segment_calls.h"
#include "burdockhold/text_memory.h"
#include "burdockhold/wait_rules.h"
#include "platform/request_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockhold {

using boost::system::error_code;

namespace {

constexpr int StatusOk = 200;
constexpr std::size_t MaxBufferedResponseBytes = std::size_t(8) * 1024 * 1024;
// A stale view is renewed within about this time, or the caller's next attempt reaches another VM.
constexpr duration StaleViewRetryAfter = std::chrono::milliseconds(300);
// Requests that arrive later than this after the stop notice are refused, since they could outlast
// the process.
constexpr duration AcceptAfterStopNotice = std::chrono::milliseconds(2700);
// A call with at least this many pending prefill tokens triggers a gossip digest at once: until the
// next regular digest, the other VMs would all choose the same idle engine.
constexpr std::int64_t ImmediateDigestTokens = 2000;
// A few round trips, since the stream's caller waits for the check.
constexpr duration TerminationCheckTimeout = std::chrono::milliseconds(60);
// Upper bound of the Retry-After of a blocked request: an answer elsewhere may end the block
// sooner.
constexpr duration MaxBlockedRetryAfter = std::chrono::seconds(60);
// Lower bound of the Retry-After of a refusal. Reconnecting and load balancing take up part of it.
constexpr duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr unserved_reasons TimeLimitReasons{ 504, "time_limit_in_stream", "time_limit",
                                             "time_limit_waiting" };
constexpr unserved_reasons ExceptionReasons{ 502, "exception_in_stream", "exception",
                                             "exception_not_run" };
constexpr unserved_reasons CrashReasons{ 502, "crashes_endpoints_in_stream", "crashes_endpoints",
                                         "crashes_endpoints" };
constexpr unserved_reasons ProcessEndReasons{ 502, "process_end_in_stream", "process_end",
                                              "leaving" };

std::uint64_t hashOf(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

routed_request::routed_request(request_context context, caller_request request,
                               response_writer writer, time_point arrival)
    : m_context(context)
    , m_request(std::move(request))
    , m_writer(std::move(writer))
    , m_arrival(arrival)
    , m_timer(context.io)
    , m_events(m_request.resumeAfter)
    , m_placement(context.placements)
{
}

void routed_request::stepFailed(const std::string &what)
{
    router_board &board = m_context.board;
    board.metrics.count(router_counter::HandlerFailures);
    const time_point now = steadyNow();
    if (board.log.accepts(log_priority::Failure, now))
        board.log.write(log_event::HandlerFailed,
                        { { "id", m_request.attemptId }, { "reason", what } }, now);
    if (m_ended)
        return;
    // Whether the request had been written when the step failed is unknown.
    m_mayHaveRun = m_mayHaveRun || m_connection != nullptr;
    try {
        endUnserved(ExceptionReasons);
    } catch (const std::exception &error) {
        m_writer.abortResponse();
        finish(router_counter::Failed, 0, error.what());
    }
}

void routed_request::start()
{
    guard([this] { begin(); });
}

void routed_request::begin()
{
    m_deployment = m_context.board.deployment;
    if (!m_deployment) {
        waitForDeployment();
        return;
    }
    if (!m_waiting)
        m_context.board.metrics.count(router_counter::Requests);
    m_waiting = false;
    const router_board &board = m_context.board;
    if (board.leaving && steadyNow() - board.leavingSince > AcceptAfterStopNotice) {
        refuse(503, "leaving", MinRetryAfter);
        return;
    }
    if (!admit() || !admitTokens())
        return;
    duration limit = m_route->timeout;
    if (m_request.deadline)
        limit = std::min(limit, *m_request.deadline);
    m_deadline = m_arrival + limit;
    m_poolName = choosePool(*m_route, hashOf(m_request.attemptId));
    m_pool = m_deployment->findPool(m_poolName);
    m_priority = requestPriority(*m_route, m_account, board.settings.mechanisms);
    m_context.board.countRequest(m_poolName, steadyNow());
    m_fingerprints = fingerprintsOf(m_request, m_account == nullptr ? "" : m_account->name);
    startTimer();
    placeOrWait();
}

/// Finds the route and the account. Returns false if the request has been refused.
bool routed_request::admit()
{
    const router_board &board = m_context.board;
    const admission_result result = admitRequest(
            *m_deployment, m_request,
            { board.deploymentAge(), board.settings.configBound, board.settings.revocationBound });
    return std::visit(overloaded{ [this](const admitted_request &admitted) {
                                     m_route = admitted.route;
                                     m_account = admitted.account;
                                     return true;
                                 },
                                  [this](admission_refusal refusal) {
                                      refuseAdmission(refusal);
                                      return false;
                                  } },
                      result);
}

void routed_request::refuseAdmission(admission_refusal refusal)
{
    switch (refusal) {
    case admission_refusal::StaleView:
        refuse(503, "stale_view", StaleViewRetryAfter);
        break;
    case admission_refusal::NoRoute:
        fail(404, "no_route");
        break;
    case admission_refusal::UnknownKey:
        fail(401, "unknown_key");
        break;
    }
}

bool routed_request::admitTokens()
{
    if (m_account == nullptr || m_account->ratePerSecond <= 0.0)
        return true;
    const double cost = requestCost(*m_account, m_request);
    const time_point now = steadyNow();
    quota_ledger &quota = m_context.board.accountQuota(*m_account, now);
    if (quota.tryAdmit(cost, now)) {
        m_chargedTokens = cost;
        return true;
    }
    if (m_context.board.log.accepts(log_priority::Failure, now))
        m_context.board.log.write(
                log_event::OverQuota,
                overQuotaFields(m_request.attemptId, m_account->name, cost, quota), now);
    refuse(429, "over_quota", std::max<duration>(MinRetryAfter, quota.timeUntil(cost, now)));
    return false;
}

/// Returns the charged tokens to the account. Only for a request that has not run and never will.
void routed_request::returnTokens()
{
    if (m_chargedTokens <= 0.0)
        return;
    m_context.board.returnTokens(*m_account, m_chargedTokens, steadyNow());
    m_chargedTokens = 0.0;
}

void routed_request::startTimer()
{
    time_point next = m_deadline;
    if (m_route->kind == call_kind::Stream && m_connection && !m_paused)
        next = std::min(next, m_lastProgress + maxEventGap(*m_route));
    m_timer.expires_at(next);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error && !self->m_ended)
            self->guard([&self] { self->onTimer(); });
    });
}

void routed_request::onTimer()
{
    const time_point now = steadyNow();
    if (now >= m_deadline) {
        endUnserved(TimeLimitReasons);
        return;
    }
    if (!m_connection || m_paused || now - m_lastProgress < maxEventGap(*m_route)) {
        startTimer();
        return;
    }
    m_context.board.metrics.count(router_counter::StalledStreams);
    const auto connection = m_connection;
    connection->close();
    callEnded(call_end::Broken);
}

/// Ends the current call, if there is one, and the request.
void routed_request::endUnserved(const unserved_reasons &reasons)
{
    if (m_connection) {
        // The request is written once connected, so the endpoint may have run it.
        m_mayHaveRun = m_mayHaveRun || m_connection->isConnected();
        m_connection->close();
        releaseCall();
    }
    if (m_responseStarted) {
        m_writer.abortResponse();
        finish(router_counter::Failed, 0, reasons.responseStarted);
    } else if (m_mayHaveRun) {
        fail(reasons.unknownStatus, reasons.mayHaveRun);
    } else {
        refuse(503, reasons.notRun, MinRetryAfter);
    }
}

/// Returns the domain in the deployment in force, since segments must not be shared with an account
/// that has become isolated after this request was admitted.
cache_domain routed_request::cacheDomain() const
{
    const auto &inForce = m_context.board.deployment;
    return (inForce ? inForce : m_deployment)->cacheDomainOf(m_account);
}

placement_query routed_request::placementQuery() const
{
    return { m_request,
             cacheDomain(),
             m_pool,
             m_poolName,
             m_triedEndpoints,
             m_calledAddresses,
             mayCallAgain(m_route->kind, m_route->resumable),
             m_callsMade == 0 && !m_trialOf,
             m_callsMade == 0 && !m_waiting,
             regionRulesOf(*m_route, m_account) };
}

/// Tells the engine where to copy the shared segments from that it lacks, and where to save them.
void routed_request::addSegmentTransfer(endpoint_call_fields &fields,
                                        const placement_inputs &inputs, const std::string &holder,
                                        bool holderIsKnown)
{
    segment_call call;
    call.endpointId = m_endpointId;
    call.segments = sharedSegmentNames(m_request, m_cacheDomain, m_expectedWeights);
    call.segmentTokens = inputs.need.segmentTokens;
    call.promptTokens = inputs.need.promptTokens;
    call.expectedCached = m_load.pendingPrefillTokens < inputs.need.promptTokens;
    call.holder = holder;
    call.holderIsKnown = holderIsKnown;
    call.store = m_expectedWeights > 0 ? inputs.store : nullptr;
    const segment_transfer transfer = planSegments(m_context.board, call, steadyNow());
    fields.copySegmentsFrom = transfer.copyFrom;
    fields.saveSegmentsTo = transfer.saveTo;
    m_copiesSegments = !fields.copySegmentsFrom.empty();
    m_savesSegments = !fields.saveSegmentsTo.empty();
}

bool routed_request::place()
{
    bool placedOrEnded = true;
    guard([this, &placedOrEnded] { placedOrEnded = tryPlace(); });
    return placedOrEnded || m_ended;
}

bool routed_request::tryPlace()
{
    if (m_ended)
        return true;
    if (!m_deployment) {
        if (!m_context.board.deployment)
            return false;
        m_context.waiting.remove(this);
        m_timer.cancel();
        begin();
        return true;
    }
    const time_point now = steadyNow();
    if (m_waiting && m_placement.isPending(now))
        return false;
    if (refuseIfBlocked(now))
        return true;
    const placement_query query = placementQuery();
    placement_inputs inputs = collectPlacementInputs(m_context.board, query, now);
    const placement_step step = choosePlacement(inputs, query, now);
    if (std::holds_alternative<await_placement>(step))
        return false;
    const auto *choice = std::get_if<endpoint_choice>(&step);
    if (choice == nullptr)
        return refuseIfNoneReturns(inputs.candidates, now);
    if (refuseIfTooLate(*choice, now))
        return true;
    if (m_awaitsRetryBudget && !m_context.board.tryRetry(m_poolName, now))
        return false;
    m_awaitsRetryBudget = false;
    if (m_waiting) {
        m_waiting = false;
        m_context.waiting.placed(this, m_wait);
    }
    if (m_callsMade == 0) {
        m_queueTime = now - m_arrival;
        m_context.board.metrics.recordQueueWait(m_queueTime);
    }
    if (m_trialOf) {
        m_isTrial = true;
        reportTrial(m_context.board, m_request.attemptId, *m_trialOf, now);
    }
    logLeftOut(m_context.board, m_request.attemptId, m_poolName, inputs.candidates, *choice);
    startCall(inputs, *choice);
    return true;
}

/// Chooses the endpoint of the next call, by the schedulers if they can be asked.
placement_step routed_request::choosePlacement(placement_inputs &inputs,
                                               const placement_query &query, time_point now)
{
    const placement_facts facts{ query,
                                 inputs,
                                 m_account == nullptr ? "" : m_account->name,
                                 m_priority,
                                 m_arrival + m_route->latencyTarget - now,
                                 m_deadline - now,
                                 queueWaitEnd(now) - now };
    const placement_step step = m_placement.choose(facts, [self = weak_from_this()] {
        if (const auto request = self.lock())
            request->place();
    });
    if (!std::holds_alternative<place_locally>(step))
        return step;
    const auto choice = chooseWithCanary(inputs.candidates, inputs.canary, inputs.need,
                                         hashOf(m_request.attemptId),
                                         m_context.board.options.choice);
    if (!choice)
        return no_room{};
    return *choice;
}

/// Ends the request if what it contains has crashed endpoints, also one whose stream has started:
/// it may crash each endpoint after some events.
bool routed_request::refuseIfBlocked(time_point now)
{
    m_trialOf.reset();
    if (m_isTrial && !m_mayHaveRun)
        return false;
    const crash_verdict verdict = judgeRequest(m_context.board, m_request.attemptId, m_fingerprints,
                                               now);
    const auto *trial = std::get_if<trial_of_blocked>(&verdict);
    if (trial != nullptr)
        m_trialOf = trial->suspect;
    const auto *blocked = std::get_if<blocked_request>(&verdict);
    if (blocked == nullptr)
        return false;
    if (m_mayHaveRun)
        endUnserved(CrashReasons);
    else
        refuse(503, "crashes_endpoints", std::min(blocked->nextTrial, MaxBlockedRetryAfter));
    return true;
}

/// Refuses a request that has not run if the process is expected to end before its answer: another
/// VM can still run it, and a call that is cut off has an unknown outcome.
bool routed_request::refuseIfTooLate(const endpoint_choice &choice, time_point now)
{
    const router_board &board = m_context.board;
    if (!board.leaving || m_mayHaveRun || m_responseStarted
        || isAnsweredBefore(board.endsCallsAt, now, choice.expectedMs))
        return false;
    refuse(503, "leaving", MinRetryAfter);
    return true;
}

/// Refuses a request that has not run if all endpoints leave, are evacuated, have been tried, or
/// pause until after its longest wait.
bool routed_request::refuseIfNoneReturns(const std::vector<endpoint_candidate> &candidates,
                                         time_point now)
{
    if (m_mayHaveRun || m_responseStarted)
        return false;
    const left_out endpoints = countLeftOut(candidates);
    // A caller that is told the end of a long pause does better than one that waits for it.
    const time_point waitEnd = std::min(
            m_waiting ? m_timer.expiry() : queueWaitEnd(now),
            now + maxQueueWait(false, m_route->latencyTarget, m_context.board.settings.mechanisms));
    if (!mustRefuseAtOnce(endpoints, waitEnd))
        return false;
    m_context.board.metrics.count(endpoints.total() > 0 ? router_counter::RefusedAllPaused
                                                        : router_counter::RefusedAllEvacuated);
    logPoolFull(m_context.board, m_request.attemptId, placementQuery(), now);
    refuse(503, reasonOf(endpoints),
           endpoints.firstEnd ? *endpoints.firstEnd - now : m_route->latencyTarget);
    return true;
}

endpoint_call_fields routed_request::callFieldsFor(const std::string &endpointId) const
{
    endpoint_call_fields fields;
    fields.endpointId = endpointId;
    fields.timeLeft = m_deadline - steadyNow();
    if (m_account != nullptr)
        fields.account = m_account->name;
    fields.resumeAfter = m_events.lastId();
    if (m_pool != nullptr && m_pool->engine) {
        fields.priority = std::clamp(m_priority, 0, 9);
        fields.cacheSalt = cacheSalt(m_request, m_cacheDomain, m_expectedWeights);
        if (m_expectedWeights > 0)
            fields.weights = m_expectedWeights;
    }
    return fields;
}

void routed_request::startCall(const placement_inputs &inputs, const endpoint_choice &choice)
{
    const auto &candidates = inputs.candidates;
    prepareCall(candidates[choice.index].id, choice, inputs.need);
    const bool retryable = isRetryable(m_route->kind, m_route->resumable);
    if (retryable)
        m_context.migratable.insert(shared_from_this());
    // A retry uses a new connection: endpoints crash together, and an idle connection to an
    // endpoint that has just crashed fails only after the request was sent.
    m_connection = m_context.connections.acquire(m_address, retryable && m_callsMade == 1);
    startTimer();
    if (!m_connection) {
        callEnded(call_end::NotSent);
        return;
    }
    if (!m_connection->isConnected())
        m_context.board.metrics.count(router_counter::NewConnections);
    endpoint_call_fields fields = callFieldsFor(m_endpointId);
    const std::string holder = choice.copyFrom ? holderAddress(m_context.board,
                                                               candidates[*choice.copyFrom].id,
                                                               m_request.model, m_expectedWeights)
                                               : std::string();
    if (!m_segmentKey.empty() && m_pool != nullptr && m_pool->engine)
        addSegmentTransfer(fields, inputs, holder, choice.copySourceIsKnown);
    m_connection->call(platform::encodeCall(m_request, fields), callHandlers());
    if (m_paused)
        m_connection->pauseReading();
}

/// Resets the state of the previous call and adds the new call to the chosen endpoint's load.
void routed_request::prepareCall(std::string_view endpointId, const endpoint_choice &choice,
                                 const placement_need &need)
{
    router_board &board = m_context.board;
    m_endpointId = std::string(endpointId);
    m_lastEndpointId = m_endpointId;
    const endpoint_report *report = board.endpoints.find(m_endpointId);
    m_address = report->address;
    m_endpointIncarnation = report->incarnation;
    m_progress = call_progress::Unanswered;
    m_triedEndpoints.insert(m_endpointId);
    ++m_callsMade;
    m_choice = choice;
    m_callFirstByte = duration::zero();
    m_prefillDone = false;
    m_headReceived = false;
    m_copiesSegments = false;
    m_savesSegments = false;
    m_head = {};
    discardBody();
    m_eventsBeforeCall = m_events.events();
    m_continuesStream = m_responseStarted || m_events.lacksBegunEvent();
    m_callStarted = steadyNow();
    m_lastProgress = m_callStarted;
    m_load = { need.promptTokens - choice.expectedCachedTokens,
               need.promptTokens + need.outputTokens };
    m_expectedWeights = board.endpoints.weightsOf(m_endpointId, m_request.model);
    if (m_expectedWeights == 0)
        m_expectedWeights = board.targetVersion(m_request.model);
    m_cacheDomain = cacheDomain();
    m_segmentKey = deepestSegmentName(m_request, m_cacheDomain, m_expectedWeights);
    m_ticket = board.callStarted(m_endpointId, m_load, m_callStarted, choice.onSchedulersShare);
    m_placement.callStarted(*report, m_load);
    if (m_load.pendingPrefillTokens >= ImmediateDigestTokens)
        board.digestRequested = true;
    countCall(choice);
    m_rolloutCall = startRolloutCall(board, *m_route, m_poolName, m_endpointId, m_load, need);
}

void routed_request::countCall(const endpoint_choice &choice)
{
    router_metrics &metrics = m_context.board.metrics;
    metrics.count(router_counter::Calls);
    if (m_responseStarted) {
        ++m_resumes;
        metrics.count(router_counter::Resumes);
    }
    if (m_callsMade > 1)
        metrics.count(router_counter::Repeats);
    metrics.count(router_counter::CachedTokens,
                  static_cast<std::uint64_t>(choice.expectedCachedTokens));
    metrics.count(router_counter::UncachedTokens,
                  static_cast<std::uint64_t>(m_load.pendingPrefillTokens));
}

http_handlers routed_request::callHandlers()
{
    const auto self = shared_from_this();
    return { [self](const response_message &message) {
                bool accepted = true;
                self->guard([&] { accepted = self->headReceived(message); });
                return accepted;
            },
             [self](std::string_view bytes) { self->guard([&] { self->bodyReceived(bytes); }); },
             [self](http_outcome end) { self->guard([&] { self->connectionEnded(end); }); } };
}

bool routed_request::isResponseToThisCall(const endpoint_response_head &head) const
{
    const bool success = head.status >= 200 && head.status < 300;
    if (!success)
        return true;
    const bool continuesStream = !m_responseStarted || head.eventStream
                                 || head.mediaType == m_mediaType;
    return head.attemptId == m_request.attemptId && !head.signature.empty() && !head.encoded
           && continuesStream;
}

bool routed_request::headReceived(const response_message &message)
{
    endpoint_response_head head = platform::decodeResponseHead(message);
    m_context.board.endpoints.recordActivity(m_endpointId, steadyNow());
    // A reused connection may still carry a response to an earlier request before this one.
    if (!head.attemptId.empty() && head.attemptId != m_request.attemptId) {
        ignoreNotice(m_context.board, head);
        return false;
    }
    m_head = std::move(head);
    m_headReceived = true;
    // On a reused connection, a response without an id cannot be matched to a request.
    const bool mayBelongToAnotherRequest = m_head.attemptId.empty() && !m_connection->isFirstCall();
    if (mayBelongToAnotherRequest || !isResponseToThisCall(m_head)) {
        ignoreNotice(m_context.board, m_head);
        const auto connection = m_connection;
        connection->close();
        callEnded(call_end::WrongAnswer);
        return true;
    }
    recordRefusalLimit(m_context.board, m_endpointId, m_head);
    const notice_weight weight = weightOf(m_head, m_request.attemptId);
    if (weight == notice_weight::None) {
        ignoreNotice(m_context.board, m_head);
        m_head.notice.leaving = false;
        m_head.notice.pause.reset();
    } else {
        if (weight == notice_weight::Limited)
            limitNotice(m_head.notice);
        recordNotice(m_context.board, m_endpointId, m_ticket, m_head, m_request.attemptId);
    }
    if (!m_head.notExecuted && !m_head.notice.pause) {
        m_context.board.endpoints.callAccepted(m_endpointId, m_ticket);
        m_ticket = {};
    }
    if (m_head.weights)
        m_context.board.endpoints.recordStatedWeights(m_endpointId, m_request.model,
                                                      *m_head.weights);
    return true;
}

/// Returns whether the response to the current call is a stream of events; an error is not.
bool routed_request::isEventStream() const
{
    const bool success = m_head.status >= 200 && m_head.status < 300;
    return m_route->kind == call_kind::Stream && success;
}

void routed_request::bodyReceived(std::string_view bytes)
{
    m_context.board.endpoints.recordActivity(m_endpointId, steadyNow());
    if (!m_prefillDone)
        firstByteReceived();
    if (isEventStream()) {
        relayEvents(bytes);
        return;
    }
    if (m_body.size() + bytes.size() > MaxBufferedResponseBytes
        || !m_context.board.memory.tryTake(memory_part::Responses, bytes.size())) {
        m_connection->close();
        callEnded(call_end::WrongAnswer);
        return;
    }
    m_body.append(bytes);
}

void routed_request::discardBody()
{
    m_context.board.memory.give(memory_part::Responses, m_body.size());
    freeText(m_body);
}

void routed_request::firstByteReceived()
{
    m_prefillDone = true;
    const time_point now = steadyNow();
    m_callFirstByte = now - m_callStarted;
    router_board &board = m_context.board;
    const answered_call call{ m_endpointId,  m_endpointIncarnation, m_pool,         *m_route,
                              m_head.status, m_continuesStream,     m_callFirstByte };
    const duration paceTime = recordFirstEvent(board, call, m_choice, now);
    if (m_rolloutCall)
        m_rolloutCall->firstByteReceived(now);
    board.endpoints.prefillFinished(m_endpointId, m_load);
    m_placement.prefillFinished(paceTime);
    m_context.waiting.roomFreed(m_context.io, m_poolName);
    if (!m_segmentKey.empty() && m_head.status == StatusOk)
        board.endpoints.recordCachedSegment(m_endpointId, m_segmentKey);
    if (!m_responseStarted) {
        m_timeToFirstByte = now - m_arrival;
        board.metrics.recordFirstByte(m_timeToFirstByte);
    }
}

void routed_request::relayEvents(std::string_view bytes)
{
    sendEvents(m_events.add(bytes));
    if (m_events.failed() && !m_ended) {
        m_connection->close();
        callEnded(call_end::WrongAnswer);
    }
}

void routed_request::sendEvents(const std::string &text)
{
    if (text.empty())
        return;
    m_lastProgress = steadyNow();
    m_gaps.eventArrived(m_lastProgress);
    m_progress = call_progress::Begun;
    if (m_rolloutCall)
        m_rolloutCall->eventsReceived(m_events.events() - m_eventsBeforeCall, m_lastProgress);
    if (!m_responseStarted) {
        m_responseStarted = true;
        m_mediaType = m_head.mediaType;
        m_writer.beginStream(m_head.status, m_head.forwardedFields);
    }
    m_writer.sendStreamBytes(text);
}

void routed_request::connectionEnded(http_outcome end)
{
    if (end == http_outcome::Complete && m_headReceived)
        ignoreLateNotices(m_context.board, m_head.notice.fields,
                          platform::countNoticeFields(m_connection->response()));
    if (end == http_outcome::Complete && m_headReceived && !m_connection->endedByClose())
        sendEvents(m_events.takeBlocksAtEnd());
    const call_end ended = classifyEnd(end);
    if (ended == call_end::Complete && m_connection->endedByClose())
        checkUnframedEnd();
    else
        callEnded(ended);
}

/// Probes whether the endpoint has terminated before a response counts as complete whose end is
/// that of its connection: the system closes the connections of a process that terminates in order.
void routed_request::checkUnframedEnd()
{
    m_mayHaveRun = true; // The request may end during the check.
    m_context.paths.check(m_address, TerminationCheckTimeout,
                          [self = shared_from_this(), call = m_callsMade](connect_outcome outcome) {
                              if (self->m_callsMade != call)
                                  return;
                              const bool terminated = outcome == connect_outcome::Refused;
                              self->guard([&] {
                                  self->callEnded(terminated ? call_end::Broken
                                                             : call_end::Complete);
                              });
                          });
}

call_end routed_request::classifyEnd(http_outcome end) const
{
    if (end == http_outcome::NotConnected)
        return call_end::NotSent;
    if (end == http_outcome::Malformed)
        return call_end::WrongAnswer;
    if (end != http_outcome::Complete || !m_headReceived)
        return call_end::Broken;
    response_facts response;
    response.status = m_head.status;
    response.notExecuted = m_head.notExecuted;
    response.calledBefore = m_calledAddresses.count(m_address) != 0;
    response.isStream = m_route->kind == call_kind::Stream;
    response.hasPartialEvent = m_events.hasPartial();
    response.continuesStream = m_continuesStream;
    response.deliveredEvents = m_events.events() > m_eventsBeforeCall;
    return classifyResponse(response);
}

/// Returns true if the call could not be sent, for a reason that is not the endpoint's.
bool routed_request::pathFailed(call_end end) const
{
    return end == call_end::NotSent && m_connection && m_context.paths.hasFailed(*m_connection);
}

void routed_request::callRefused(time_point now)
{
    if (!m_head.notice.pause || m_head.status == 421)
        recordRefusal(m_context.board, { m_endpointId, m_request.model, m_expectedWeights }, m_head,
                      now);
    else if (mayCallAgain(m_route->kind, m_route->resumable))
        m_triedEndpoints.erase(m_endpointId); // It may take the request after its pause.
}

void routed_request::callEnded(call_end end)
{
    if (m_ended || m_endpointId.empty())
        return;
    router_board &board = m_context.board;
    const time_point now = steadyNow();
    // A pause says nothing about how well the endpoint works. Nor does an empty continuation: the
    // stream may have broken off after its last event.
    const bool isPathFailure = pathFailed(end);
    const bool conclusive = !isRefusal(end) && end != call_end::NothingAdded && !m_head.notice.pause
                            && !isPathFailure;
    if (conclusive) {
        const bool succeeded = end == call_end::Complete;
        board.endpoints.recordCallResult(m_endpointId, succeeded,
                                         1000.0 * toSeconds(now - m_callStarted), now);
    }
    if (isPathFailure)
        m_triedEndpoints.erase(m_endpointId);
    else if (mayHaveRestarted(end, m_headReceived))
        recordUnanswered(board, m_endpointId, end, now);
    else if (isRefusal(end))
        callRefused(now);
    if (end != call_end::NotSent && end != call_end::SaidNotRun) {
        m_mayHaveRun = true;
        ++m_runs;
    }
    if (end != call_end::NotSent)
        m_calledAddresses.insert(m_address);
    if (end == call_end::Complete) // An error may precede the work that crashes endpoints.
        reportAnswer(board, m_request.attemptId, m_fingerprints, now);
    endRolloutCall(board, m_poolName, m_endpointId, m_rolloutCall, end);
    logCall(end);
    releaseCall();

    attempt_facts facts;
    facts.end = end;
    facts.kind = m_route->kind;
    facts.resumable = m_route->resumable && m_events.canContinue();
    facts.responseStarted = m_responseStarted;
    facts.deliveredEvents = m_events.events() > m_eventsBeforeCall;
    facts.mayHaveRun = m_mayHaveRun;
    facts.statusSaysNotRun = promisesNotRun(m_head.status);
    facts.executionsLeft = m_route->maxEndpoints - m_runs;
    facts.attemptsLeft = (m_responseStarted ? MaxCallsOfStartedStream : MaxCalls) - m_callsMade;
    facts.timeLeft = m_deadline - now;
    facts.retriesLeft = needsRetry(facts) && board.tryRetry(m_poolName, now);
    if (end == call_end::Broken)
        checkTermination(facts);
    else
        takeStep(decideNextStep(facts));
}

/// Probes whether the endpoint has terminated, as far as one connection attempt can tell, and then
/// takes the next step. The termination of an endpoint that had not answered to the end is a crash
/// that this request may have caused.
void routed_request::checkTermination(const attempt_facts &facts)
{
    m_context.paths.check(m_address, TerminationCheckTimeout,
                          [self = shared_from_this(), facts](connect_outcome outcome) {
                              self->guard([&] { self->terminationChecked(facts, outcome); });
                          });
}

void routed_request::terminationChecked(const attempt_facts &facts, connect_outcome outcome)
{
    const bool terminated = outcome == connect_outcome::Refused;
    if (terminated)
        reportCrash(
                m_context.board,
                { m_request, m_fingerprints, m_lastEndpointId, m_endpointIncarnation, m_progress },
                steadyNow());
    if (m_ended)
        return;
    if (!terminated || !needsTerminationCheck(facts)) {
        takeStep(decideNextStep(facts));
        return;
    }
    --m_runs;
    takeStep(decideNextStep(withTerminatedEndpoint(facts)));
}

void routed_request::takeStep(const next_step &step)
{
    std::visit(
            overloaded{ [this](const try_another &) {
                           m_events.continueElsewhere();
                           placeOrWait();
                       },
                        [this](const deliver_response &) { deliver(); },
                        [this](const end_stream &) {
                            m_writer.endStream();
                            finish(router_counter::Served, m_head.status, "served");
                        },
                        [this](const refuse_not_run &) {
                            refuse(503, "not_run", m_route->latencyTarget / 4);
                        },
                        [this](const respond_outcome_unknown &) { fail(502, "outcome_unknown"); },
                        [this](const await_retry_budget &) {
                            m_awaitsRetryBudget = true;
                            enterWaitQueue(wait_cause::RetryBudget);
                        },
                        [this](const abort_response &) {
                            m_writer.abortResponse();
                            finish(router_counter::Failed, 0, "stream_cut_off");
                        } },
            step);
}

void routed_request::migrateIfNeeded()
{
    guard([this] {
        migrateFromUnwantedEndpoint();
        migrateFromSilentEndpoint();
    });
}

/// Migrates if the endpoint is about to load weights, for which it waits until the stream ends, or
/// if its data centre is evacuated.
void routed_request::migrateFromUnwantedEndpoint()
{
    router_board &board = m_context.board;
    const time_point now = steadyNow();
    const auto facts = migrationFacts(now);
    const double evacuation = board.evacuationProgress(m_endpointId);
    const bool evacuated = facts && shouldLeaveEvacuated(*facts, m_route->kind, evacuation);
    if (!facts || (!evacuated && !shouldLeaveLoading(*facts, board.settings.mechanisms))
        || !hasAlternative(MaxMigrationMs) || !board.tryOptionalRetry(m_poolName, now))
        return;
    board.metrics.count(router_counter::EvacuationMigrations, evacuated ? 1 : 0);
    migrate();
}

/// Migrates if the endpoint sends nothing to any VM.
void routed_request::migrateFromSilentEndpoint()
{
    router_board &board = m_context.board;
    const time_point now = steadyNow();
    const auto facts = migrationFacts(now);
    if (!facts
        || !shouldLeaveSilent(*facts, maxSilence(m_route->kind, m_route->latencyTarget),
                              board.settings.mechanisms))
        return;
    const double timeLeftMs = 1000.0 * toSeconds(m_deadline - now);
    if (!hasAlternative(timeLeftMs) || !board.tryRetry(m_poolName, now))
        return;
    logCall(call_end::Broken);
    migrate();
}

/// Returns nothing while no call is connected.
std::optional<migration_facts> routed_request::migrationFacts(time_point now) const
{
    if (m_ended || m_endpointId.empty() || !m_connection || !m_connection->isConnected())
        return std::nullopt;
    if (m_paused || !m_events.canContinue())
        return std::nullopt;
    // Elsewhere it would be refused.
    if (m_context.board.crashes.isAnyBlocked(m_fingerprints, now))
        return std::nullopt;
    const endpoint_table &endpoints = m_context.board.endpoints;
    return migration_facts{ endpoints.loadingFor(m_endpointId, now),
                            endpoints.silentFor(m_endpointId, now), now - m_lastProgress,
                            m_route->maxEndpoints - m_runs, MaxCalls - m_callsMade };
}

/// Returns whether another endpoint is expected to send the next event within this time.
bool routed_request::hasAlternative(double withinMs) const
{
    const placement_inputs inputs = collectPlacementInputs(m_context.board, placementQuery(),
                                                           steadyNow());
    const auto choice = chooseEndpoint(inputs.candidates, inputs.need, hashOf(m_request.attemptId),
                                       m_context.board.options.choice);
    return choice && choice->expectedMs <= withinMs;
}

/// Ends the current call, which may have run, and starts another one.
void routed_request::migrate()
{
    ++m_runs;
    m_mayHaveRun = true;
    m_calledAddresses.insert(m_address);
    m_connection->close();
    releaseCall();
    takeStep(try_another{});
}

void routed_request::releaseCall()
{
    m_context.migratable.erase(shared_from_this());
    m_placement.callEnded();
    if (m_endpointId.empty())
        return;
    if (m_rolloutCall)
        std::exchange(m_rolloutCall, nullptr)->counted = true; // Without an outcome, if none yet.
    m_context.board.endpoints.callEnded(m_endpointId, m_load, m_prefillDone,
                                        std::exchange(m_ticket, {}));
    m_endpointId.clear();
    if (!m_connection)
        return;
    if (isEventStream())
        m_events.addIncomplete(m_connection->heldBody());
    const auto connection = std::exchange(m_connection, nullptr);
    m_context.connections.release(m_address, connection);
    m_context.waiting.roomFreed(m_context.io, m_poolName);
}

void routed_request::deliver()
{
    const bool success = m_head.status >= 200 && m_head.status < 300;
    m_writer.sendResponse(m_head.status, m_head.forwardedFields, m_body);
    finish(success ? router_counter::Served : router_counter::Failed, m_head.status,
           success ? "served" : "endpoint_failed");
}

void routed_request::refuse(int status, std::string_view reason, duration retryAfter)
{
    returnTokens(); // A refusal states that the request has not run and never will.
    const duration pause = withJitter(std::max(retryAfter, MinRetryAfter),
                                      hashOf(m_request.attemptId));
    m_writer.sendResponse(status, { { "Retry-After", formatSeconds(pause) } }, {});
    const router_counter counter = status == 429            ? router_counter::RefusedQuota
                                   : reason == "stale_view" ? router_counter::RefusedStale
                                                            : router_counter::RefusedNotRun;
    finish(counter, status, reason);
}

void routed_request::fail(int status, std::string_view reason)
{
    m_writer.sendResponse(status, {}, {});
    const router_counter counter = status == 404   ? router_counter::RefusedRoute
                                   : status == 401 ? router_counter::RefusedKey
                                                   : router_counter::Failed;
    finish(counter, status, reason);
}

void routed_request::callerDisconnected()
{
    if (m_ended)
        return;
    if (m_connection) {
        const auto connection = m_connection;
        connection->close();
    } else if (!m_mayHaveRun) {
        returnTokens();
    }
    releaseCall();
    finish(router_counter::CallerLeft, 0, "caller_left");
}

void routed_request::processEnds()
{
    guard([this] {
        if (!m_ended)
            endUnserved(ProcessEndReasons);
    });
}

void routed_request::pause()
{
    m_paused = true;
    if (m_connection)
        m_connection->pauseReading();
}

void routed_request::resume()
{
    m_paused = false;
    m_lastProgress = steadyNow(); // The endpoint could send nothing meanwhile.
    m_gaps.resumed(m_lastProgress);
    if (!m_ended && m_connection)
        startTimer();
    if (m_connection)
        m_connection->resumeReading();
}

void routed_request::finish(router_counter counter, int status, std::string_view reason)
{
    if (m_ended)
        return;
    m_ended = true;
    m_timer.cancel();
    m_placement.callEnded();
    discardBody();
    if (m_waiting) {
        m_waiting = false;
        m_context.waiting.remove(this, m_wait);
    }
    router_board &board = m_context.board;
    board.metrics.count(counter);
    const time_point now = steadyNow();
    if (m_callsMade == 0)
        m_queueTime = now - m_arrival;
    const bool succeeded = counter == router_counter::Served;
    if (board.log.accepts(succeeded ? log_priority::Success : log_priority::Failure, now)) {
        board.log.write(log_event::RequestEnded, requestEndedFields(summary(status, reason, now)),
                        now);
    }
    if (reason == "no_endpoint")
        logPoolFull(board, m_request.attemptId, placementQuery(), now);
    m_writer = {};
}

request_summary routed_request::summary(int status, std::string_view reason, time_point now) const
{
    request_summary result;
    result.requestId = m_request.attemptId;
    // A conditional expression with a literal would make a temporary string.
    if (m_route != nullptr)
        result.route = m_route->name;
    if (m_account != nullptr)
        result.account = m_account->name;
    result.pool = m_poolName;
    result.status = status;
    result.reason = reason;
    result.endpoint = m_lastEndpointId;
    result.calls = m_callsMade;
    result.runs = m_runs;
    result.queued = m_queueTime;
    result.wait = m_wait;
    result.total = now - m_arrival;
    result.firstByte = m_timeToFirstByte;
    addFirstEvent(result, m_choice, m_callFirstByte, m_gaps.longest());
    result.promptTokens = m_request.promptTokens;
    result.maxOutputTokens = m_request.maxOutputTokens;
    result.pendingPrefillTokens = m_load.pendingPrefillTokens;
    result.copiesSegments = m_copiesSegments;
    result.savesSegments = m_savesSegments;
    result.weights = m_expectedWeights;
    result.events = m_events.events();
    result.lastCallEvents = m_events.events() - m_eventsBeforeCall;
    result.resumes = m_resumes;
    result.framing = m_headReceived ? nameOf(m_head.framing) : "";
    result.deployment = m_deployment ? m_deployment->version() : 0;
    result.viewAge = m_context.board.deploymentAge();
    return result;
}

void routed_request::logCall(call_end end)
{
    router_board &board = m_context.board;
    const time_point now = steadyNow();
    if (end == call_end::Complete || !board.log.accepts(log_priority::Failure, now))
        return;
    const call_summary call{ m_request.attemptId,
                             m_endpointId,
                             end,
                             m_head.status,
                             m_expectedWeights,
                             m_callsMade,
                             m_events.events(),
                             m_headReceived ? nameOf(m_head.framing) : "",
                             now - m_callStarted };
    board.log.write(log_event::CallEnded, callEndedFields(call), now);
}

} // namespace burdockhold
