#include "burdockhold/routed_request.h"

#include "burdockhold/enum_names.h"
#include "burdockhold/prompt_segments.h"
#include "burdockhold/segment_transfer.h"
#include "platform/request_codec.h"

#include <boost/asio/post.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockhold {

using boost::system::error_code;

namespace {

constexpr int StatusOk = 200;
constexpr int MaxSends = 4; // Calls of one request, refused ones included.
// Of one whose stream has begun: refusing it would lose what its caller has, and crowded engines
// refuse several times in a row.
constexpr int MaxSendsOfBegunStream = 8;
constexpr std::size_t MaxAnswerBytes = std::size_t(8) * 1024 * 1024;
constexpr std::size_t BufferedPart = 4; // Of the memory: one part is for answers that wait.
// A view this much older than a deployment may take to be in force names neither routes nor keys
// as unknown.
constexpr duration ViewSlack = std::chrono::milliseconds(800);
// Keys stop this long before the bound: the request itself takes time to its endpoint.
constexpr duration RevocationMargin = std::chrono::milliseconds(300);
// A request waits at the router for this part of its latency target: what is placed later is late
// before its prompt is read, and delays others that are not.
constexpr int LongestWaitTenths = 6;
// Callers give a stream up after two seconds without an event.
constexpr duration StreamPauseLimit = std::chrono::milliseconds(1900);
// Callers give a stream up after the longest of two seconds, four times its latency target and
// eight times its usual pause; the slack covers the way to them.
constexpr duration LeastGiveUp = std::chrono::seconds(2);
constexpr int GiveUpTargets = 4;
constexpr int GiveUpPauses = 8;
constexpr duration GiveUpSlack = std::chrono::milliseconds(500);
// An engine that runs streams makes events every few milliseconds, and is silent while it reads
// prompts: for 240 ms as a rule, four times that on a slow one.
constexpr duration EngineSilence = std::chrono::milliseconds(1000);
// A plain service answers within its latency target as a rule.
constexpr duration LeastServiceSilence = std::chrono::milliseconds(250);
constexpr int ServiceSilenceTargets = 2;
constexpr duration MaxWaitForDeployment = std::chrono::milliseconds(600);
// What comes later after the notice to stop could outlast the process.
constexpr duration LastRequestAfterNotice = std::chrono::milliseconds(2700);
// The other VMs hear at once of prompts that keep an engine busy for this many tokens: within one
// interval of digests they would all choose the same idle engine.
constexpr std::int64_t NotedUnreadTokens = 2000;
// Short answers end within this time of an order; what runs on may run for seconds more.
constexpr duration MoveStreamAfter = std::chrono::milliseconds(350);
// A stream moves only where its next event comes within the usual pause, old weights allowed.
constexpr double MaxMoveMs = 450.0;
// A few round trips; a stream's caller waits meanwhile.
constexpr duration EndCheckTimeout = std::chrono::milliseconds(60);
// Least pause that a refusal asks for: a connection and the balancer's choice take part of it.
constexpr duration MinRetryAfter = std::chrono::milliseconds(50);

std::uint64_t hashOf(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

/// Spreads the returns of refused callers over half of the pause more, by the hash of the call.
duration spread(duration pause, std::string_view attemptId)
{
    const double share = static_cast<double>(hashOf(attemptId) % 1000) / 1000.0;
    return pause + fromSeconds(0.5 * share * toSeconds(pause));
}

std::string secondsText(duration time)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    std::string text = std::to_string(ms / 1000) + ".";
    const std::string rest = std::to_string(ms % 1000);
    return text + std::string(3 - rest.size(), '0') + rest;
}

} // namespace

void wait_queue::enter(std::shared_ptr<routed_request> waiting)
{
    const auto place = std::upper_bound(m_waiting.begin(), m_waiting.end(), waiting,
                                        [](const auto &a, const auto &b) {
                                            return std::make_pair(a->priority(), a->arrival())
                                                   < std::make_pair(b->priority(), b->arrival());
                                        });
    m_waiting.insert(place, std::move(waiting));
}

void wait_queue::leave(const routed_request *waiting)
{
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                                   [waiting](const auto &other) { return other.get() == waiting; }),
                    m_waiting.end());
}

void wait_queue::retry()
{
    const auto trying = m_waiting;
    for (const auto &waiting : trying)
        waiting->place();
}

routed_request::routed_request(request_context context, caller_request request,
                               response_writer port, time_point arrival)
    : m_context(context)
    , m_request(std::move(request))
    , m_port(std::move(port))
    , m_arrival(arrival)
    , m_timer(context.io)
{
}

void routed_request::start()
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
    if (board.leaving && steadyNow() - board.leavingSince > LastRequestAfterNotice) {
        refuse(503, "leaving", MinRetryAfter);
        return;
    }
    if (!findRoute() || !authenticate() || !admitTokens())
        return;
    duration limit = m_route->timeout;
    if (m_request.deadline)
        limit = std::min(limit, *m_request.deadline);
    m_deadline = m_arrival + limit;
    m_poolName = choosePool();
    m_pool = m_deployment->findPool(m_poolName);
    m_priority = m_account != nullptr && m_account->priority ? *m_account->priority
                                                             : m_route->priority;
    m_context.board.countRequest(m_poolName, steadyNow());
    startTimer();
    if (!place())
        waitForEndpoint();
}

/// A VM that has just started knows the deployment within some ten milliseconds.
void routed_request::waitForDeployment()
{
    if (!m_waiting) {
        m_context.board.metrics.count(router_counter::Requests);
        m_waiting = true;
        m_context.waiting.enter(shared_from_this());
        m_timer.expires_after(MaxWaitForDeployment);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (error || self->m_ended || self->m_deployment)
                return;
            self->m_context.waiting.leave(self.get());
            self->m_waiting = false;
            self->refuse(503, "no_deployment", std::chrono::milliseconds(300));
        });
    }
}

bool routed_request::findRoute()
{
    m_route = m_deployment->findRoute(m_request.host, m_request.target);
    if (m_route != nullptr && !m_route->pools.empty())
        return true;
    const router_board &board = m_context.board;
    if (board.deploymentAge() > board.settings.configBound + ViewSlack)
        refuse(503, "stale_view", std::chrono::milliseconds(300));
    else
        fail(404, "no_route");
    return false;
}

bool routed_request::authenticate()
{
    const router_board &board = m_context.board;
    if (m_route->publicAccess || m_deployment->source().accounts.empty())
        return true;
    if (board.deploymentAge() > board.settings.revocationBound - RevocationMargin) {
        refuse(503, "stale_view", std::chrono::milliseconds(300));
        return false;
    }
    m_account = m_deployment->findAccount(m_request.key);
    if (m_account != nullptr)
        return true;
    if (board.deploymentAge() > board.settings.configBound + ViewSlack)
        refuse(503, "stale_view", std::chrono::milliseconds(300));
    else
        fail(401, "unknown_key");
    return false;
}

bool routed_request::admitTokens()
{
    if (m_account == nullptr || m_account->ratePerSecond <= 0.0)
        return true;
    double cost = m_account->defaultCost;
    if (m_account->countsTokens && m_request.declaresTokens)
        cost = static_cast<double>(m_request.tokens());
    const time_point now = steadyNow();
    quota_ledger &quota = m_context.board.accountQuota(*m_account, now);
    if (quota.tryAdmit(cost, now))
        return true;
    refuse(429, "over_quota", std::max<duration>(MinRetryAfter, quota.timeUntil(cost, now)));
    return false;
}

void routed_request::startTimer()
{
    time_point next = m_deadline;
    if (m_route->kind == call_kind::Stream && m_link)
        next = std::min(next, m_progressAt + longestPause());
    m_timer.expires_at(next);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error && !self->m_ended)
            self->timerFired();
    });
}

void routed_request::timerFired()
{
    const time_point now = steadyNow();
    if (now >= m_deadline) {
        timeLimitReached();
        return;
    }
    if (!m_link || now - m_progressAt < longestPause()) {
        startTimer();
        return;
    }
    m_context.board.metrics.count(router_counter::StalledStreams);
    const auto link = m_link;
    link->close();
    callEnded(call_end::Broken);
}

/// How long a stream's caller waits for the next event.
duration routed_request::longestPause() const
{
    return std::max({ LeastGiveUp, GiveUpTargets * m_route->latencyTarget,
                      GiveUpPauses * m_route->pauseTarget })
           + GiveUpSlack;
}

/// How long an endpoint that works may send nothing to anybody.
duration routed_request::longestSilence() const
{
    if (m_route->kind == call_kind::Stream)
        return EngineSilence;
    return std::max<duration>(LeastServiceSilence, ServiceSilenceTargets * m_route->latencyTarget);
}

void routed_request::timeLimitReached()
{
    if (m_link) {
        // A connected call has been written, so the endpoint may run it.
        m_mayHaveRun = m_mayHaveRun || m_link->isConnected();
        m_link->close();
        releaseCall();
    }
    if (m_answerBegun) {
        m_port.cutOff();
        finish(router_counter::Failed, 0, "time_limit_in_stream");
    } else if (m_mayHaveRun) {
        fail(504, "time_limit");
    } else {
        refuse(503, "time_limit_waiting", MinRetryAfter);
    }
}

void routed_request::waitForEndpoint()
{
    m_waiting = true;
    m_context.waiting.enter(shared_from_this());
    m_timer.expires_at(std::min(m_deadline, steadyNow() + longestWait()));
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (error || self->m_ended || !self->m_waiting)
            return;
        self->m_context.waiting.leave(self.get());
        self->m_waiting = false;
        if (self->m_mayHaveRun && !self->m_answerBegun)
            self->fail(502, "no_endpoint_for_repeat");
        else if (self->m_answerBegun)
            self->takeStep(abort_response{});
        else
            self->refuse(503, "no_endpoint", self->m_route->latencyTarget);
    });
}

const std::string &routed_request::choosePool()
{
    double total = 0.0;
    for (const weighted_pool &pool : m_route->pools)
        total += pool.weight;
    double point = total * static_cast<double>(hashOf(m_request.attemptId) % 10000) / 10000.0;
    for (const weighted_pool &pool : m_route->pools) {
        point -= pool.weight;
        if (point < 0.0)
            return pool.pool;
    }
    return m_route->pools.back().pool;
}

routed_request::placement_inputs routed_request::inputsNow() const
{
    placement_inputs inputs;
    inputs.candidates = candidatesNow();
    if (m_pool == nullptr || !m_pool->engine || m_request.model.empty())
        return inputs;
    inputs.need = placementNeedFor(m_request, m_account);
    if (inputs.need.segmentTokens == 0)
        return inputs;
    inputs.store = storeOfParts(inputs);
    inputs.need.storeHoldsSegment = inputs.store != nullptr
                                    && storeHoldsParts(*inputs.store, m_context.board.targetVersion(
                                                                              m_request.model));
    return inputs;
}

std::vector<endpoint_candidate> routed_request::candidatesNow() const
{
    const router_board &board = m_context.board;
    const bool engines = m_pool != nullptr && m_pool->engine && !m_request.model.empty();
    const std::int64_t wanted = board.targetVersion(m_request.model);
    auto candidates = board.endpoints.candidates(m_poolName, engines ? m_request.model : "", wanted,
                                                 deepestSegmentName(m_request, m_account, wanted),
                                                 m_tried, steadyNow());
    for (endpoint_candidate &candidate : candidates) {
        if (candidate.staleWeights
            && board.weightsExpired(m_request.model,
                                    board.endpoints.weightsOf(candidate.id, m_request.model)))
            candidate.excluded = exclusion::ExpiredWeights;
    }
    return candidates;
}

/// A stream that has begun may wait until its caller gives it up; a request waits for a part of its
/// latency target.
duration routed_request::longestWait() const
{
    if (m_answerBegun)
        return StreamPauseLimit;
    return m_route->latencyTarget * LongestWaitTenths / 10;
}

/// The store that keeps the request's shared parts, chosen by the home's data centre.
const cache_store *routed_request::storeOfParts(const placement_inputs &inputs) const
{
    const auto home = preferredEndpoint(inputs.candidates, inputs.need.affinityKey);
    const endpoint_report *report = home ? m_context.board.endpoints.find(
                                            inputs.candidates[*home].id)
                                         : nullptr;
    return m_context.board.storeFor(deepestSegmentId(m_request),
                                    report == nullptr ? "" : report->dataCentre, steadyNow());
}

/// True when the store has all shared parts, as far as is known.
bool routed_request::storeHoldsParts(const cache_store &store, std::int64_t version) const
{
    const stored_segments &saved = m_context.board.storedSegments;
    const time_point now = steadyNow();
    const auto keys = sharedSegmentNames(m_request, m_account, version);
    return std::all_of(keys.begin(), keys.end(), [&](const std::string &key) {
        return saved.isStored(store.address + "/" + key, now);
    });
}

/// Notes the shared parts as used, or as being saved.
void routed_request::noteSharedParts(const std::string &store, bool beingSaved)
{
    stored_segments &saved = m_context.board.storedSegments;
    const time_point now = steadyNow();
    for (const std::string &key : sharedSegmentNames(m_request, m_account, m_expectedWeights)) {
        const std::string name = store + "/" + key;
        if (saved.isStored(name, now))
            saved.touch(name, now);
        else if (beingSaved)
            saved.save(name, now);
    }
}

/// Names where the engine gets the shared parts that it lacks, and where it saves them.
void routed_request::moveParts(endpoint_call_fields &orders, const placement_inputs &inputs,
                               const std::string &holder)
{
    router_board &board = m_context.board;
    const placement_need &need = inputs.need;
    const cache_store *store = m_expectedWeights > 0 ? inputs.store : nullptr;
    segment_facts facts;
    facts.tokens = need.segmentTokens;
    facts.promptTokens = need.promptTokens;
    facts.holder = holder;
    facts.expectedCached = m_load.pendingPrefillTokens < need.promptTokens;
    if (store != nullptr) {
        const endpoint_report *engine = board.endpoints.find(m_endpointId);
        facts.store = store->address;
        facts.crossesDataCentres = engine != nullptr && engine->dataCentre != store->dataCentre;
        facts.storeHoldsAllSegments = storeHoldsParts(*store, m_expectedWeights);
        facts.linkHeadroom = board.storeLinkQuota(*store, steadyNow()).room();
    }
    segment_transfer transfer = planTransfer(facts);
    const time_point now = steadyNow();
    if (transfer.storeLoad > 0.0
        && !board.storeLinkQuota(*store, now).tryAdmit(transfer.storeLoad, now)) {
        board.metrics.count(router_counter::TransfersWithoutRoom);
        transfer = planWithoutStore(facts);
    } else if (transfer.storeLoad > 0.0) {
        noteSharedParts(store->address, !transfer.saveTo.empty());
    }
    orders.copySegmentsFrom = transfer.copyFrom;
    orders.saveSegmentsTo = transfer.saveTo;
    m_copied = !orders.copySegmentsFrom.empty();
    m_saved = !orders.saveSegmentsTo.empty();
}

bool routed_request::place()
{
    if (m_ended)
        return true;
    if (!m_deployment) {
        if (!m_context.board.deployment)
            return false;
        m_context.waiting.leave(this);
        m_timer.cancel();
        start();
        return true;
    }
    const time_point now = steadyNow();
    const placement_inputs inputs = inputsNow();
    const auto choice = chooseEndpoint(inputs.candidates, inputs.need, hashOf(m_request.attemptId));
    if (!choice || (m_awaitsRetryBudget && !m_context.board.tryRetry(m_poolName, now)))
        return false;
    m_awaitsRetryBudget = false;
    if (m_waiting) {
        m_waiting = false;
        m_context.waiting.leave(this);
    }
    if (m_sends == 0) {
        m_waited = now - m_arrival;
        m_context.board.metrics.waited(m_waited);
    }
    startCall(inputs, *choice);
    return true;
}

endpoint_call_fields routed_request::ordersFor(const std::string &endpointId) const
{
    endpoint_call_fields orders;
    orders.endpointId = endpointId;
    orders.timeLeft = m_deadline - steadyNow();
    if (m_account != nullptr)
        orders.account = m_account->name;
    orders.resumeAfter = m_events.lastId().empty() ? m_request.resumeAfter : m_events.lastId();
    if (m_pool != nullptr && m_pool->engine) {
        orders.priority = std::clamp(m_priority, 0, 9);
        orders.cacheSalt = cacheSalt(m_request, m_account, m_expectedWeights);
        if (m_expectedWeights > 0)
            orders.weights = m_expectedWeights;
    }
    return orders;
}

/// Address of an engine with the same weights as the call's; empty when it has others.
std::string routed_request::holderAddress(std::string_view engine) const
{
    const endpoint_table &endpoints = m_context.board.endpoints;
    const auto *source = endpoints.find(engine);
    const bool sameWeights = source != nullptr
                             && endpoints.weightsOf(engine, m_request.model) == m_expectedWeights;
    return sameWeights ? source->address : std::string();
}

void routed_request::startCall(const placement_inputs &inputs, const endpoint_choice &choice)
{
    const auto &candidates = inputs.candidates;
    beginCall(candidates[choice.index].id, choice, inputs.need);
    const bool repeatable = isRetryable(m_route->kind, m_route->resumable);
    if (repeatable)
        m_context.movable.insert(shared_from_this());
    // A repeat takes a new connection: endpoints crash together, and an idle connection to one that
    // has just crashed fails after the request went out.
    m_link = m_context.links.take(m_address, repeatable && m_sends == 1);
    startTimer();
    if (!m_link) {
        callEnded(call_end::NotSent);
        return;
    }
    if (!m_link->isConnected())
        m_context.board.metrics.count(router_counter::NewConnections);
    endpoint_call_fields orders = ordersFor(m_endpointId);
    const std::string holder = choice.copyFrom ? holderAddress(candidates[*choice.copyFrom].id)
                                               : std::string();
    if (!m_segmentKey.empty() && m_pool != nullptr && m_pool->engine)
        moveParts(orders, inputs, holder);
    m_link->call(platform::encodeCall(m_request, orders), handlersOfCall());
}

/// Forgets the call before, and charges the chosen endpoint with the new one.
void routed_request::beginCall(std::string_view endpointId, const endpoint_choice &choice,
                               const placement_need &need)
{
    router_board &board = m_context.board;
    m_endpointId = std::string(endpointId);
    m_address = board.endpoints.find(m_endpointId)->address;
    m_tried.insert(m_endpointId);
    ++m_sends;
    m_expectedMs = choice.expectedMs;
    m_promptRead = false;
    m_headArrived = false;
    m_copied = false;
    m_saved = false;
    m_head = {};
    dropBody();
    m_eventsBefore = m_events.events();
    m_callStarted = steadyNow();
    m_progressAt = m_callStarted;
    m_load = { need.promptTokens - choice.expectedCachedTokens,
               need.promptTokens + need.outputTokens };
    m_expectedWeights = board.endpoints.weightsOf(m_endpointId, m_request.model);
    if (m_expectedWeights == 0)
        m_expectedWeights = board.targetVersion(m_request.model);
    m_segmentKey = deepestSegmentName(m_request, m_account, m_expectedWeights);
    board.endpoints.callStarted(m_endpointId, m_load, m_callStarted);
    if (m_load.pendingPrefillTokens >= NotedUnreadTokens)
        board.digestRequested = true;
    countCall(choice);
}

void routed_request::countCall(const endpoint_choice &choice)
{
    router_metrics &metrics = m_context.board.metrics;
    metrics.count(router_counter::Calls);
    if (m_sends > 1)
        metrics.count(router_counter::Repeats);
    metrics.count(router_counter::CachedTokens,
                  static_cast<std::uint64_t>(choice.expectedCachedTokens));
    metrics.count(router_counter::UncachedTokens,
                  static_cast<std::uint64_t>(m_load.pendingPrefillTokens));
}

http_handlers routed_request::handlersOfCall()
{
    const auto self = shared_from_this();
    return { [self](const response_message &message) { return self->headArrived(message); },
             [self](std::string_view bytes) { self->bodyArrived(bytes); },
             [self](http_outcome end) { self->linkEnded(end); } };
}

bool routed_request::isOwnAnswer(const endpoint_response_head &head) const
{
    const bool success = head.status >= 200 && head.status < 300;
    if (!success)
        return true;
    return head.attemptId == m_request.attemptId && !head.signature.empty() && !head.encoded;
}

bool routed_request::headArrived(const response_message &message)
{
    endpoint_response_head head = platform::decodeAnswerHead(message);
    m_context.board.endpoints.heard(m_endpointId, steadyNow());
    // An answer to another request may stand before ours on a reused connection.
    if (!head.attemptId.empty() && head.attemptId != m_request.attemptId)
        return false;
    m_head = std::move(head);
    m_headArrived = true;
    // Without an id it cannot be told whose answer it is there.
    const bool mayBeAnothers = m_head.attemptId.empty() && !m_link->isFresh();
    if (mayBeAnothers || !isOwnAnswer(m_head)) {
        const auto link = m_link;
        link->close();
        callEnded(call_end::WrongAnswer);
        return true;
    }
    if (m_head.weights)
        m_context.board.endpoints.weightsSeen(m_endpointId, m_request.model, *m_head.weights);
    return true;
}

void routed_request::bodyArrived(std::string_view bytes)
{
    m_context.board.endpoints.heard(m_endpointId, steadyNow());
    if (!m_promptRead)
        firstByteArrived();
    const bool success = m_head.status >= 200 && m_head.status < 300;
    if (m_route->kind == call_kind::Stream && success) {
        relayEvents(bytes);
        return;
    }
    m_body.append(bytes);
    router_board &board = m_context.board;
    board.bufferedBytes += bytes.size();
    if (m_body.size() > MaxAnswerBytes
        || board.bufferedBytes > board.settings.memoryBytes / BufferedPart) {
        m_link->close();
        callEnded(call_end::WrongAnswer);
    }
}

void routed_request::dropBody()
{
    m_context.board.bufferedBytes -= m_body.size();
    m_body = {};
}

void routed_request::firstByteArrived()
{
    m_promptRead = true;
    router_board &board = m_context.board;
    board.endpoints.promptRead(m_endpointId, m_load);
    if (m_context.waiting.size() > 0)
        boost::asio::post(m_context.io, [&waiting = m_context.waiting] { waiting.retry(); });
    if (!m_segmentKey.empty() && m_head.status == StatusOk)
        board.endpoints.recordCachedSegment(m_endpointId, m_segmentKey);
    if (!m_answerBegun) {
        m_firstByte = steadyNow() - m_arrival;
        board.metrics.firstByte(m_firstByte);
    }
}

void routed_request::relayEvents(std::string_view bytes)
{
    const std::string whole = m_events.add(bytes);
    if (m_events.failed()) {
        m_link->close();
        callEnded(call_end::WrongAnswer);
        return;
    }
    if (whole.empty())
        return;
    m_progressAt = steadyNow();
    if (!m_answerBegun) {
        m_answerBegun = true;
        m_port.beginStream(m_head.status, m_head.forwardedFields);
    }
    m_port.streamBytes(whole);
}

void routed_request::linkEnded(http_outcome end)
{
    callEnded(judge(end));
}

call_end routed_request::judge(http_outcome end) const
{
    if (end == http_outcome::NotConnected)
        return call_end::NotSent;
    if (end == http_outcome::Malformed)
        return call_end::WrongAnswer;
    if (end != http_outcome::Complete || !m_headArrived)
        return call_end::Broken;
    const bool success = m_head.status >= 200 && m_head.status < 300;
    if (success)
        return m_route->kind == call_kind::Stream && m_events.hasPartial() ? call_end::Broken
                                                                           : call_end::Complete;
    return m_head.notExecuted ? call_end::SaidNotRun : call_end::Failed;
}

void routed_request::learnFromRefusal()
{
    router_board &board = m_context.board;
    if (m_head.status != 421) {
        board.endpoints.callRefused(m_endpointId, steadyNow());
        return;
    }
    // Another endpoint has the address: the one that was meant has ended.
    if (!m_head.endpointId.empty() && m_head.endpointId != m_endpointId) {
        board.endpoints.remove(m_endpointId, steadyNow());
        return;
    }
    if (m_head.weights)
        return; // The engine has named its version, which is noted already.
    // Versions only grow. One at a time: a guess beyond the engine's version would be refused until
    // its next entry, and nobody would order the newest one meanwhile.
    const std::int64_t next = m_expectedWeights == 0 ? 0
                                                     : board.nextAnnouncedVersion(
                                                             m_request.model, m_expectedWeights);
    if (next > 0) {
        board.endpoints.guessWeights(m_endpointId, m_request.model, next, steadyNow());
    } else {
        board.endpoints.dropGuess(m_endpointId, m_request.model);
        board.endpoints.connectFailed(m_endpointId, steadyNow());
    }
}

void routed_request::callEnded(call_end end)
{
    if (m_ended || m_endpointId.empty())
        return;
    router_board &board = m_context.board;
    const time_point now = steadyNow();
    const bool judged = end != call_end::SaidNotRun;
    if (judged) {
        const bool good = end == call_end::Complete;
        board.endpoints.recordCallResult(m_endpointId, good,
                                         1000.0 * toSeconds(now - m_callStarted), now);
    }
    if (end == call_end::NotSent)
        board.endpoints.connectFailed(m_endpointId, now);
    else if (end == call_end::SaidNotRun)
        learnFromRefusal();
    else {
        m_mayHaveRun = true;
        ++m_runs;
    }
    logCall(end);
    releaseCall();

    attempt_facts facts;
    facts.end = end;
    facts.kind = m_route->kind;
    facts.resumable = m_route->resumable;
    facts.responseStarted = m_answerBegun;
    facts.deliveredEvents = m_events.events() > m_eventsBefore;
    facts.mayHaveRun = m_mayHaveRun;
    facts.runsLeft = m_route->maxEndpoints - m_runs;
    facts.sendsLeft = (m_answerBegun ? MaxSendsOfBegunStream : MaxSends) - m_sends;
    facts.timeLeft = m_deadline - now;
    if (end != call_end::Complete && end != call_end::NotSent)
        facts.retriesLeft = board.tryRetry(m_poolName, now);
    if (needsTerminationCheck(facts))
        stepAfterCheck(facts);
    else
        takeStep(decideNextStep(facts));
}

/// Asks whether the endpoint has ended, as far as it can be known at once.
void routed_request::stepAfterCheck(const attempt_facts &facts)
{
    checkConnect(m_context.io, m_address, EndCheckTimeout,
                 [self = shared_from_this(), facts](connect_outcome outcome) {
                     if (self->m_ended)
                         return;
                     if (outcome != connect_outcome::Refused) {
                         self->takeStep(decideNextStep(facts));
                         return;
                     }
                     --self->m_runs;
                     self->takeStep(decideNextStep(withTerminatedEndpoint(facts)));
                 });
}

void routed_request::takeStep(const next_step &step)
{
    std::visit(
            overloaded{ [this](const try_another &) {
                           m_events.dropPartial();
                           if (m_answerBegun)
                               m_context.board.metrics.count(router_counter::Resumes);
                           if (!place())
                               waitForEndpoint();
                       },
                        [this](const deliver_response &) { deliver(); },
                        [this](const refuse_not_run &) {
                            refuse(503, "not_run", m_route->latencyTarget / 4);
                        },
                        [this](const respond_outcome_unknown &) { fail(502, "outcome_unknown"); },
                        [this](const await_retry_budget &) {
                            m_awaitsRetryBudget = true;
                            waitForEndpoint();
                        },
                        [this](const abort_response &) {
                            m_port.cutOff();
                            finish(router_counter::Failed, 0, "stream_cut_off");
                        } },
            step);
}

void routed_request::migrateFromLoadingEndpoint()
{
    router_board &board = m_context.board;
    const time_point now = steadyNow();
    if (m_ended || m_endpointId.empty() || !m_link || !m_link->isConnected())
        return;
    if (board.endpoints.loadingFor(m_endpointId, now) < MoveStreamAfter)
        return;
    if (!canMigrate() || !hasAlternative(MaxMoveMs) || !board.tryOptionalRetry(m_poolName, now))
        return;
    migrate();
}

void routed_request::migrateFromSilentEndpoint()
{
    router_board &board = m_context.board;
    const time_point now = steadyNow();
    if (m_ended || m_endpointId.empty() || !m_link || !m_link->isConnected())
        return;
    const duration longest = longestSilence();
    if (now - m_progressAt < longest || board.endpoints.silentFor(m_endpointId, now) < longest)
        return;
    const double timeLeftMs = 1000.0 * toSeconds(m_deadline - now);
    if (!canMigrate() || !hasAlternative(timeLeftMs) || !board.tryRetry(m_poolName, now))
        return;
    logCall(call_end::Broken);
    migrate();
}

bool routed_request::canMigrate() const
{
    return m_route->maxEndpoints - m_runs >= 2 && m_sends < MaxSends;
}

/// True if another endpoint would send the next event within this time.
bool routed_request::hasAlternative(double withinMs) const
{
    const placement_inputs inputs = inputsNow();
    const auto choice = chooseEndpoint(inputs.candidates, inputs.need, hashOf(m_request.attemptId));
    return choice && choice->expectedMs <= withinMs;
}

/// Ends the call, which may have run, and makes another one.
void routed_request::migrate()
{
    ++m_runs;
    m_mayHaveRun = true;
    const auto link = m_link;
    link->close();
    releaseCall();
    takeStep(try_another{});
}

void routed_request::releaseCall()
{
    m_context.movable.erase(shared_from_this());
    if (m_endpointId.empty())
        return;
    m_context.board.endpoints.callEnded(m_endpointId, m_load, m_promptRead);
    m_endpointId.clear();
    if (!m_link)
        return;
    const auto link = std::exchange(m_link, nullptr);
    m_context.links.giveBack(m_address, link);
    // A stream that moves takes its new place before the waiting requests try again.
    if (m_context.waiting.size() > 0)
        boost::asio::post(m_context.io, [&waiting = m_context.waiting] { waiting.retry(); });
}

void routed_request::deliver()
{
    if (m_answerBegun) {
        m_port.endStream();
        finish(router_counter::Served, m_head.status, "served");
        return;
    }
    const bool success = m_head.status >= 200 && m_head.status < 300;
    m_port.whole(m_head.status, m_head.forwardedFields, m_body);
    finish(success ? router_counter::Served : router_counter::Failed, m_head.status,
           success ? "served" : "endpoint_failed");
}

void routed_request::refuse(int status, std::string_view reason, duration retryAfter)
{
    const duration pause = spread(std::max(retryAfter, MinRetryAfter), m_request.attemptId);
    m_port.whole(status, { { "Retry-After", secondsText(pause) } }, {});
    const router_counter counter = status == 429            ? router_counter::RefusedQuota
                                   : reason == "stale_view" ? router_counter::RefusedStale
                                                            : router_counter::RefusedNotRun;
    finish(counter, status, reason);
}

void routed_request::fail(int status, std::string_view reason)
{
    m_port.whole(status, {}, {});
    const router_counter counter = status == 404   ? router_counter::RefusedRoute
                                   : status == 401 ? router_counter::RefusedKey
                                                   : router_counter::Failed;
    finish(counter, status, reason);
}

void routed_request::callerLeft()
{
    if (m_ended)
        return;
    if (m_link) {
        const auto link = m_link;
        link->close();
    }
    releaseCall();
    finish(router_counter::CallerLeft, 0, "caller_left");
}

void routed_request::pause()
{
    if (m_link)
        m_link->pauseReading();
}

void routed_request::resume()
{
    if (m_link)
        m_link->resumeReading();
}

void routed_request::finish(router_counter counter, int status, std::string_view reason)
{
    if (m_ended)
        return;
    m_ended = true;
    m_timer.cancel();
    dropBody();
    if (m_waiting) {
        m_waiting = false;
        m_context.waiting.leave(this);
    }
    router_board &board = m_context.board;
    board.metrics.count(counter);
    const time_point now = steadyNow();
    if (m_sends == 0)
        m_waited = now - m_arrival;
    const bool good = counter == router_counter::Served;
    if (board.log.accepts(good ? log_priority::Success : log_priority::Failure, now)) {
        board.log.write(
                log_event::RequestEnded,
                { { "id", m_request.attemptId },
                  { "route", m_route == nullptr ? "" : m_route->name },
                  { "account", m_account == nullptr ? "" : m_account->name },
                  { "pool", m_poolName },
                  { "status", status },
                  { "reason", reason },
                  { "calls", m_sends },
                  { "runs", m_runs },
                  { "waited_ms", 1000.0 * toSeconds(m_waited) },
                  { "total_ms", 1000.0 * toSeconds(now - m_arrival) },
                  { "first_ms", 1000.0 * toSeconds(m_firstByte) },
                  { "expected_ms", m_expectedMs },
                  { "prompt", m_request.promptTokens },
                  { "output", m_request.maxOutputTokens },
                  { "unread", m_load.pendingPrefillTokens },
                  { "copied", m_copied },
                  { "saved", m_saved },
                  { "weights", m_expectedWeights },
                  { "events", m_events.events() },
                  { "deployment", m_deployment ? m_deployment->source().version : 0 },
                  { "view_age_ms", std::llround(1000.0 * toSeconds(board.deploymentAge())) } },
                now);
    }
    if (reason == "no_endpoint" && board.log.accepts(log_priority::Failure, now))
        logFullPool(now);
    m_port = {};
}

/// Why no endpoint could take the request: the inputs of the choice, the most loaded last.
void routed_request::logFullPool(time_point now)
{
    constexpr std::size_t MaxListed = 16;
    auto candidates = candidatesNow();
    std::sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return std::make_pair(a.excluded, a.activeTokens)
               < std::make_pair(b.excluded, b.activeTokens);
    });
    nlohmann::ordered_json listed = nlohmann::ordered_json::array();
    for (std::size_t index = 0; index < std::min(MaxListed, candidates.size()); ++index) {
        const endpoint_candidate &candidate = candidates[index];
        listed.push_back({ { "endpoint", candidate.id },
                           { "excluded", nameOf(candidate.excluded) },
                           { "suspect", candidate.suspect },
                           { "running", candidate.running },
                           { "unread", candidate.pendingPrefillTokens },
                           { "held", candidate.activeTokens } });
    }
    m_context.board.log.write(log_event::PoolFull,
                              { { "id", m_request.attemptId },
                                { "pool", m_poolName },
                                { "endpoints", candidates.size() },
                                { "listed", std::move(listed) } },
                              now);
}

void routed_request::logCall(call_end end)
{
    router_board &board = m_context.board;
    const time_point now = steadyNow();
    if (end == call_end::Complete || !board.log.accepts(log_priority::Failure, now))
        return;
    board.log.write(log_event::CallEnded,
                    { { "id", m_request.attemptId },
                      { "endpoint", m_endpointId },
                      { "end", nameOf(end) },
                      { "status", m_head.status },
                      { "weights", m_expectedWeights },
                      { "call", m_sends },
                      { "events", m_events.events() },
                      { "after_ms", 1000.0 * toSeconds(now - m_callStarted) } },
                    now);
}

} // namespace burdockhold
