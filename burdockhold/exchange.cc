#include "burdockhold/exchange.h"

#include "burdockhold/forwarding.h"
#include "burdockhold/hash.h"
#include "burdockhold/task_guard.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace burdockhold {

namespace {

constexpr std::string_view Component = "exchange";
constexpr std::string_view BearerPrefix = "Bearer ";

/// Time in which a live engine answers a poll after a connection to it broke.
constexpr duration CrashProbeTimeout = std::chrono::seconds(1);
constexpr int MaxCrashProbes = 3;

log_time_ms wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

error_reply invalid(int status, const std::string &code, const std::string &message,
                    const std::string &param = "")
{
    return { status, error_type::InvalidRequest, code, message, param };
}

error_reply unavailable(const std::string &code, const std::string &message)
{
    return { 503, error_type::NotRun, code, message, "" };
}

/// Returns a count of the usage; 0 if it is missing or no count. json::value() would throw at a
/// field of another type.
std::int64_t usageCount(const nlohmann::json &usage, const char *name)
{
    const auto field = usage.find(name);
    if (field == usage.end() || !field->is_number_integer())
        return 0;
    return std::max<std::int64_t>(field->get<std::int64_t>(), 0);
}

} // namespace

exchange::exchange(exchange_context context, std::shared_ptr<http_call> call, std::string requestId)
    : m_context(context)
    , m_message(std::move(call))
    , m_requestId(std::move(requestId))
    , m_reply(m_message, m_requestId)
    , m_started(steadyNow())
    , m_claim(context.services.claims)
    , m_measures(context.services.measures, m_started)
    , m_config(context.board.config.read())
    , m_limits(context.services.limiter)
    , m_continuity(m_requestId, context.options.resume)
    , m_responseBody(context.responseBytes, context.options.responseLimitBytes)
{
    m_record.requestId = m_requestId;
}

void exchange::run(std::function<void()> closed)
{
    m_closed = std::move(closed);
    m_idle = false;
    m_reply.setClosed(
            [self = shared_from_this()](bool delivered) { self->onReplyClosed(delivered); });
    guard([this] {
        if (checkFraming() && identifyRoute() && authenticate())
            readBody();
    });
}

/// Runs a stage, or what follows a callback. An exception ends this request and no other.
template <typename Stage>
void exchange::guard(const Stage &stage)
{
    const auto self = shared_from_this();
    if (!runStep(Component, m_requestId, stage))
        stageFailed();
}

void exchange::stageFailed()
{
    if (runStep(Component, m_requestId, [this] { endAfterException(); }))
        return;
    // Neither a reply nor a settlement is possible; the end is reported without them.
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_call.reset();
        m_idle = true;
        m_replyClosed = true;
    }
    finishIfIdle();
}

bool exchange::hasEnded() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_idle;
}

void exchange::endAfterException()
{
    std::shared_ptr<upstream_call> call;
    bool running = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_idle)
            return;
        call = m_call;
        running = m_callRuns;
    }
    // Whether the call was written when the stage failed is unknown.
    m_reached = m_reached || call != nullptr;
    m_silent = false;
    m_failureCode = "exception";
    m_attempt.fault = "the router failed to process the request";
    m_continuity.giveUp(m_attempt.fault);
    if (running)
        call->cancel(); // Its end ends the request.
    else
        failRequest();
}

void exchange::refuseStopping(std::function<void()> closed)
{
    m_closed = std::move(closed);
    m_idle = false;
    m_reply.setClosed(
            [self = shared_from_this()](bool delivered) { self->onReplyClosed(delivered); });
    guard([this] {
        refuse(unavailable("stopping", "the router is stopping; the request was not run"));
    });
}

std::string exchange::keyDigest() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_keyDigest;
}

bool exchange::isKeyedCompletion() const
{
    return !keyDigest().empty() && m_kind.has_value();
}

/// Refuses a request whose body an endpoint or an intermediary might read with another length.
bool exchange::checkFraming()
{
    const int status = m_message->head().refusalStatus;
    if (status == 0)
        return true;
    error_reply error = invalid(status, "ambiguous_framing",
                                "the length of the body is not certain");
    error.closes = true;
    refuse(error);
    return false;
}

bool exchange::identifyRoute()
{
    const std::string method = m_message->head().method;
    const std::string path = m_message->head().path;
    m_record.route = method + " " + path;
    if (method == "POST" && path == "/v1/completions")
        m_kind = completion_kind::Text;
    else if (method == "POST" && path == "/v1/chat/completions")
        m_kind = completion_kind::Chat;
    if (m_kind) {
        m_measures.setRoute(m_record.route);
        m_route.repeatable = true;
        m_route.bodyLimitBytes = static_cast<std::int64_t>(m_context.options.bodyLimitBytes);
        return true;
    }
    const route_entry *route = findRoute(*m_config, method, path);
    if (route == nullptr) {
        refuse(invalid(404, "unknown_route", "no route has this method and path"));
        return false;
    }
    m_route = *route;
    m_measures.setRoute(m_route.method + " " + m_route.path);
    if (!m_route.repeatable && m_message->head().find("Idempotency-Key").empty()) {
        refuse(invalid(400, "idempotency_key_required",
                       "calls on this route need the header Idempotency-Key", "Idempotency-Key"));
        return false;
    }
    return true;
}

bool exchange::authenticate()
{
    if (m_route.open)
        return true;
    const std::string authorization = m_message->head().find("Authorization");
    if (authorization.compare(0, BearerPrefix.size(), BearerPrefix) == 0) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_keyDigest = sha256Hex(std::string_view(authorization).substr(BearerPrefix.size()));
    }
    // A withdrawal is published before running requests are searched for its key. So the key is
    // looked up after its digest can be found.
    m_config = m_context.board.config.read();
    if (!viewIsFresh()) {
        refuse(unavailable("not_fresh", "the router's view of the keys is out of date"));
        return false;
    }
    if (!keyIsValid(*m_config)) {
        refuse({ 401, error_type::Authentication, "invalid_key",
                 "the key is missing, unknown or withdrawn", "" });
        return false;
    }
    m_record.account = m_config->keys.find(m_keyDigest)->second.value.account;
    m_measures.setAccount(m_record.account);
    const auto account = m_config->accounts.find(m_record.account);
    if (account != m_config->accounts.end())
        m_account = account->second.value;
    const auto serviceClass = m_config->classes.find(m_account.serviceClass);
    if (serviceClass != m_config->classes.end())
        m_priority = serviceClass->second.value.priority;
    return true;
}

bool exchange::keyIsValid(const catalogue &config) const
{
    const auto key = config.keys.find(m_keyDigest);
    return key != config.keys.end() && !key->second.value.withdrawn
           && m_context.board.withdrawals.read()->digests.count(m_keyDigest) == 0;
}

/// Returns whether the request may still be sent. The process may have been paused since the key
/// was checked.
bool exchange::keyStillServes() const
{
    return m_route.open || (viewIsFresh() && keyIsValid(*m_context.board.config.read()));
}

bool exchange::viewIsFresh() const
{
    const auto view = m_context.board.freshness.read();
    return view->synced && steadyNow() - view->asOf <= m_context.options.maxViewAge;
}

void exchange::readBody()
{
    const auto limit = static_cast<std::size_t>(m_route.bodyLimitBytes);
    m_message->readBody(limit, [self = shared_from_this()](received_body body) {
        self->guard([&] { self->onBodyRead(std::move(body)); });
    });
}

void exchange::onBodyRead(received_body body)
{
    if (hasEnded())
        return;
    // Its body may have arrived slowly, and little may be left of the time to drain.
    if (!m_context.accepting) {
        refuse(unavailable("stopping", "the router is stopping; the request was not run"));
        return;
    }
    if (!checkBody(body.end))
        return;
    m_body = std::move(body.text);
    m_digest = requestDigest(m_record.account, m_body);
    if (parseBody())
        admit();
}

/// Refuses a request whose body was not read to its end.
bool exchange::checkBody(body_end end)
{
    switch (end) {
    case body_end::Complete:
        return true;
    case body_end::TooLarge:
        refuse(invalid(413, "body_too_large",
                       "the body exceeds " + std::to_string(m_route.bodyLimitBytes) + " bytes"));
        return false;
    case body_end::NoMemory:
        refuse(unavailable("no_memory", "the router has no memory for the body"));
        return false;
    case body_end::TooSlow:
        refuse(invalid(408, "body_timeout", "the body did not arrive in time"));
        return false;
    case body_end::Stopped:
        refuse(unavailable("stopping", "the router is stopping; the request was not run"));
        return false;
    case body_end::Incomplete:
        break;
    }
    refuse(invalid(400, "incomplete_body", "the body ended early or is malformed"));
    return false;
}

bool exchange::parseBody()
{
    if (!m_kind) {
        m_routing.pool = m_route.pool;
        m_routing.role = endpoint_role::Service;
        m_routing.prompt = m_requestId;
        return true;
    }
    auto parsed = parseCompletion(*m_kind, m_body);
    if (!isOk(parsed)) {
        const auto &error = errorOf(parsed);
        refuse(invalid(400, std::string(nameOf(error.code)), error.text, error.context));
        return false;
    }
    m_request = std::move(valueOf(parsed));
    m_body.clear();
    m_record.model = m_request.model;
    const auto model = m_config->models.find(m_request.model);
    if (model == m_config->models.end()) {
        refuse(invalid(404, "unknown_model", "no model has this name", "model"));
        return false;
    }
    m_model = model->second.value;
    m_record.version = m_model.version;
    m_maxTokens = m_request.maxTokens.value_or(m_model.maxOutputTokens);
    if (m_maxTokens > m_model.maxOutputTokens) {
        refuse(invalid(400, "out_of_bounds", "max_tokens exceeds the model's limit", "max_tokens"));
        return false;
    }
    m_delivery = m_request.stream ? delivery::Events : delivery::Whole;
    m_routing.pool = m_model.pool;
    m_routing.identity = { m_record.account, m_request.model, m_model.adapter, m_model.version };
    m_routing.prompt = m_request.prompt;
    return true;
}

// Account limits take tokens here and return the unused ones in settle().
void exchange::admit()
{
    auto next = [self = shared_from_this()](const std::optional<error_reply> &refusal) {
        self->guard([&] {
            if (refusal)
                self->refuse(*refusal);
            else
                self->claim();
        });
    };
    const std::size_t promptBytes = m_kind ? m_request.prompt.size() : 0;
    m_limits.admit(m_record.account, promptBytes, m_kind ? m_maxTokens : 0, std::move(next));
}

// Claims on non-repeatable calls are made here, before anything is sent.
void exchange::claim()
{
    if (m_route.repeatable) {
        place();
        return;
    }
    const claim_subject subject = subjectOf(
            m_record.account, m_message->head().find("Idempotency-Key"), m_message->head().method,
            m_message->head().target, m_body);
    m_claim.start(subject, [self = shared_from_this()](const claim_verdict &verdict) {
        self->guard([&] { self->onClaimDecided(verdict); });
    });
}

void exchange::onClaimDecided(const claim_verdict &verdict)
{
    std::visit(overloaded{
                       [this](const claim_won &) { place(); },
                       [this](const claim_answer &answer) { replay(answer); },
                       [this](const error_reply &error) { refuse(error); },
               },
               verdict);
}

/// Returns the stored answer of an earlier call with the same key and body.
void exchange::replay(const claim_answer &answer)
{
    std::vector<header> headers{ { "X-Burdockhold-Replayed", "true" } };
    if (!answer.contentType.empty())
        headers.push_back({ "Content-Type", answer.contentType });
    m_record.status = answer.status;
    if (m_reply.sendBody(answer.status, headers, answer.body))
        settle("complete", "");
    else
        settle("failed", "a response was sent before the stored answer");
}

void exchange::place()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_call.reset();
        if (m_cancelled || m_callerLeft)
            m_continuity.giveUp("the request was cancelled");
    }
    if (!keyStillServes())
        m_continuity.giveUp("the key was withdrawn or the view of the keys is out of date");
    if (m_continuity.state() == stream_state::Failed) {
        failRequest();
        return;
    }
    if (isKnownToCrash())
        return;
    const auto config = m_context.board.config.read();
    isolateSuspect(*config);
    auto chosen = m_context.services.chooser.choose(*config, m_routing, steadyNow());
    if (!isOk(chosen) && !m_routing.excluded.empty()) {
        // An endpoint that failed once is still better than none: a silent connection, for
        // instance, says little about the next one. The number of attempts is bounded.
        m_routing.excluded.clear();
        chosen = m_context.services.chooser.choose(*config, m_routing, steadyNow());
    }
    if (!isOk(chosen)) {
        m_continuity.giveUp(errorOf(chosen).text);
        failRequest();
        return;
    }
    call(valueOf(chosen));
}

/// Refuses or ends a request that was running on endpoints when they died. Returns false when it
/// may run.
bool exchange::isKnownToCrash()
{
    if (!m_context.services.chooser.suspects().isRefused(m_digest, wallClockMs()))
        return false;
    m_failureCode = "crash_suspect";
    m_continuity.giveUp("the request was running on several endpoints when they crashed");
    if (m_continuity.attempts() == 0)
        refuse(invalid(422, m_failureCode, m_continuity.reason()));
    else
        failRequest();
    return true;
}

/// Assigns a request that saw one crash to an endpoint of its own among those left.
void exchange::isolateSuspect(const catalogue &config)
{
    m_routing.assigned.clear();
    const log_time_ms now = wallClockMs();
    if (!m_context.services.chooser.suspects().isSuspect(m_digest, now))
        return;
    std::vector<std::string> left;
    for (const std::string &name :
         m_context.services.chooser.usableEndpoints(config, m_routing, steadyNow())) {
        if (m_routing.excluded.count(name) == 0)
            left.push_back(name);
    }
    m_routing.assigned = m_context.services.chooser.suspects().endpointFor(m_digest, left, now);
}

void exchange::call(const routing_choice &choice)
{
    // The VM may have been paused since it won the claim.
    if (!m_claim.mayDispatch(steadyNow())) {
        refuse(unavailable("claim_expired", "the claim's deadline has passed"));
        return;
    }
    m_attempt = {};
    m_responseBody.clear();
    m_attempt.choice = choice;
    m_attempt.startedAt = steadyNow();
    m_silent = false;
    m_continuity.beginAttempt();
    m_record.endpoint = choice.endpoint;
    m_record.expectedCachedTokens = choice.expectedCachedTokens;
    m_record.candidates = choice.candidates;
    m_record.attempts = m_continuity.attempts();
    if (m_record.attempts == 1)
        m_record.queueSeconds = toSeconds(steadyNow() - m_started);

    m_measures.attemptStarted(m_continuity.delivered(), steadyNow());

    const auto prepared = m_context.clients.prepareCall(buildRequest(choice), shared_from_this());
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_call = prepared;
        if (m_cancelled || m_callerLeft)
            prepared->cancel();
        m_callRuns = true;
    }
    upstream_clients::startCall(prepared);
}

upstream_request exchange::buildRequest(const routing_choice &choice) const
{
    upstream_request request;
    request.url = choice.url;
    request.method = m_message->head().method;
    request.path = m_message->head().target;
    // cpprest sends a request again by itself when a reused connection breaks, and reports only how
    // the copy failed. On a reused connection an endpoint that died of the request looks like one
    // that could not be reached, and "not run" would be a guess.
    request.connection = connection_use::Fresh;
    if (m_kind) {
        request.headers = upstreamHeaders({ m_requestId, cacheSalt(m_routing.identity), m_priority,
                                            m_continuity.delivered() });
        request.body = upstreamBody(m_request, m_maxTokens);
        if (m_delivery == delivery::Whole)
            request.silence = m_context.options.wholeTimeout;
        return request;
    }
    for (const auto &field : m_message->head().fields) {
        const std::string name(field.name_string());
        if (isForwardedHeader(name))
            request.headers.push_back({ name, std::string(field.value()) });
    }
    request.headers.push_back({ "X-Request-Id", m_requestId });
    request.body = m_body;
    request.silence = m_context.options.serviceTimeout;
    return request;
}

void exchange::onHeaders(const upstream_response &response)
{
    guard([&] { takeHeaders(response); });
}

void exchange::takeHeaders(const upstream_response &response)
{
    m_attempt.response = response;
    m_attempt.firstByte = steadyNow() - m_attempt.startedAt;
    const std::string fault = checkResponse(response);
    if (!fault.empty())
        abandonAttempt(fault);
    else
        m_attempt.passThrough = response.status != 200;
    if (fault.empty() && m_kind && !m_attempt.passThrough)
        m_measures.attemptAnswered(promptUse(response));
}

/// Returns what the headers of an engine's answer say about the prompt; 0 where they say nothing.
prompt_use exchange::promptUse(const upstream_response &response) const
{
    const auto number = [&response](std::string_view name) {
        return std::max<std::int64_t>(std::atoll(response.find(name).c_str()), 0);
    };
    return { number("X-Prompt-Tokens"), number("X-Cached-Tokens") };
}

/// Returns why the response cannot belong to this request or is no answer; empty when it can.
std::string exchange::checkResponse(const upstream_response &response) const
{
    const std::string echoed = response.find("X-Request-Id");
    if (echoed != m_requestId && (m_kind || !echoed.empty()))
        return "the response belongs to another request";
    if (m_route.repeatable && isEndpointFault(response.status, m_kind.has_value()))
        return "the endpoint answered with status " + std::to_string(response.status);
    // The caller has the beginning of a stream; only the rest of it can follow.
    if (m_reply.started() && response.status != 200)
        return "the endpoint answered a continuation with status "
               + std::to_string(response.status);
    if (servesOtherVersion(response))
        return "the endpoint serves another weights version";
    return "";
}

bool exchange::servesOtherVersion(const upstream_response &response) const
{
    const std::string version = response.find("X-Weights-Version");
    return m_kind && !version.empty() && version != m_model.version;
}

bool exchange::onBytes(std::string_view bytes)
{
    bool progress = false;
    guard([&] { progress = takeBytes(bytes); });
    return progress;
}

bool exchange::takeBytes(std::string_view bytes)
{
    if (!m_attempt.fault.empty())
        return false;
    if (m_delivery == delivery::Whole || m_attempt.passThrough) {
        if (!m_responseBody.append(bytes))
            abandonAttempt("the endpoint's answer exceeds the memory for whole answers");
        return true;
    }
    std::vector<sse_event> events;
    const auto parsed = m_attempt.parser.feed(bytes, events);
    const std::int64_t before = m_continuity.delivered();
    for (const sse_event &event : events) {
        if (m_attempt.fault.empty() && m_continuity.state() == stream_state::Streaming)
            deliverEvent(event);
    }
    if (!isOk(parsed))
        abandonAttempt(errorOf(parsed).text);
    return m_continuity.delivered() > before;
}

void exchange::deliverEvent(const sse_event &event)
{
    const event_verdict verdict = m_continuity.accept(event.data);
    if (verdict.action == event_action::Abandon) {
        abandonAttempt(m_continuity.reason());
        return;
    }
    if (verdict.action == event_action::Drop)
        return;
    if (!m_reply.started()) {
        m_record.firstTokenSeconds = toSeconds(steadyNow() - m_started);
        m_record.status = 200;
        m_reply.beginStream();
    }
    m_reply.sendEvent(verdict.text);
    m_measures.tokensDelivered(m_continuity.delivered(), steadyNow());
}

void exchange::abandonAttempt(const std::string &why)
{
    m_attempt.fault = why;
    std::shared_ptr<upstream_call> running;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        running = m_call;
    }
    running->cancel();
}

void exchange::onEnd(const std::optional<upstream_failure> &failure)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_callRuns = false;
    }
    guard([&] { takeEnd(failure); });
}

void exchange::takeEnd(const std::optional<upstream_failure> &failure)
{
    m_reached = m_reached || !failure || mayHaveReached(failure->code);
    m_silent = failure && isSilence(failure->code);
    if (m_silent)
        m_context.clients.replaceConnections(m_attempt.choice.url);
    // An attempt that was cancelled though nothing was wrong with it ended for the caller's sake.
    const bool cancelled = failure && failure->code == upstream_error::Cancelled;
    m_attempt.notJudged = (cancelled && m_attempt.fault.empty())
                          || servesOtherVersion(m_attempt.response);
    m_attempt.lost = m_attempt.fault.empty() && failure
                     && failure->code == upstream_error::ConnectionLost;
    if (m_attempt.fault.empty() && failure)
        m_attempt.fault = failure->text;
    if (m_delivery == delivery::Events && !m_attempt.passThrough)
        afterStreamAttempt(failure);
    else
        afterWholeAttempt(failure);
}

void exchange::afterStreamAttempt(const std::optional<upstream_failure> &failure)
{
    if (m_continuity.state() == stream_state::Complete) {
        m_record.cachedTokens = m_continuity.cachedTokens();
        m_record.outputTokens = m_continuity.delivered();
        reportAttempt(true);
        m_reply.endStream();
        settle("complete", "");
        return;
    }
    const bool ended = !failure && m_attempt.fault.empty();
    m_continuity.endAttempt(ended ? "the stream ended early" : m_attempt.fault);
    reportAttempt(false);
    afterFailedAttempt();
}

void exchange::afterWholeAttempt(const std::optional<upstream_failure> & /*failure*/)
{
    if (m_attempt.fault.empty())
        m_attempt.fault = checkWhole();
    if (m_attempt.fault.empty()) {
        deliverWhole();
        return;
    }
    m_continuity.endAttempt(m_attempt.fault);
    reportAttempt(false);
    if (!m_route.repeatable)
        m_continuity.giveUp(m_attempt.fault);
    afterFailedAttempt();
}

/// Returns why a whole completion is no answer to this request; empty when it is one.
std::string exchange::checkWhole() const
{
    if (!m_kind || m_attempt.passThrough)
        return "";
    const auto answer = nlohmann::json::parse(m_responseBody.text(), nullptr, false);
    if (!answer.is_object() || !answer.contains("choices"))
        return "the endpoint's answer is empty or malformed";
    return "";
}

void exchange::deliverWhole()
{
    std::vector<header> headers;
    for (const header &field : m_attempt.response.headers) {
        if (isForwardedHeader(field.name))
            headers.push_back(field);
    }
    m_record.status = m_attempt.response.status;
    m_record.firstTokenSeconds = toSeconds(steadyNow() - m_started);
    const auto answer = nlohmann::json::parse(m_kind ? m_responseBody.text() : "", nullptr, false);
    if (answer.is_object() && answer.contains("usage") && answer["usage"].is_object()) {
        m_record.outputTokens = usageCount(answer["usage"], "completion_tokens");
        m_record.cachedTokens = usageCount(answer["usage"], "cached_tokens");
    }
    m_claim.answered(m_attempt.response.status, m_attempt.response.find("Content-Type"),
                     m_responseBody.text());
    reportAttempt(true);
    if (m_reply.sendBody(m_attempt.response.status, headers, m_responseBody.text())) {
        settle("complete", "");
        return;
    }
    m_continuity.giveUp("a whole response cannot follow the beginning of a stream");
    failRequest();
}

/// Tells placement and health how the attempt ended.
void exchange::reportAttempt(bool succeeded)
{
    attempt_report report;
    report.startedAt = m_attempt.startedAt;
    report.firstByte = m_attempt.firstByte;
    report.incarnation = m_attempt.response.find("X-Engine-Incarnation");
    report.weightsVersion = m_attempt.response.find("X-Weights-Version");
    report.cachedTokens = m_record.cachedTokens;
    if (!m_attempt.notJudged)
        report.outcome = succeeded ? attempt_outcome::Succeeded : attempt_outcome::Failed;
    m_context.services.chooser.attemptEnded(m_routing, m_attempt.choice, report, steadyNow());
}

void exchange::afterFailedAttempt()
{
    if (m_attempt.lost && m_kind)
        probeForCrash(1);
    else
        retryOrFail();
}

/// Polls the endpoint after its connection broke, and continues when it is known whether it died.
void exchange::probeForCrash(int polls)
{
    probeLoad(m_attempt.choice.url, CrashProbeTimeout,
              [self = shared_from_this(), polls](const poll_result &answer) {
                  self->guard([&] { self->onProbe(answer, polls); });
              });
}

void exchange::onProbe(const poll_result &answer, int polls)
{
    // A connection that a dying process still took breaks, too; the next one is refused.
    if (answer.outcome == poll_outcome::Failed && polls < MaxCrashProbes) {
        probeForCrash(polls + 1);
        return;
    }
    std::string incarnation = m_attempt.response.find("X-Engine-Incarnation");
    if (incarnation.empty())
        incarnation = m_attempt.choice.incarnation;
    if (showsCrash(incarnation, answer.outcome, answer.load))
        m_context.services.chooser.suspects().noteCrash(
                { m_digest, m_attempt.choice.endpoint, incarnation, wallClockMs() });
    retryOrFail();
}

void exchange::retryOrFail()
{
    m_routing.excluded.insert(m_attempt.choice.endpoint);
    m_routing.isRetry = true;
    const bool wanted = m_continuity.state() == stream_state::NeedsResume;
    if (wanted && !m_context.services.chooser.tryRetry(m_routing, steadyNow())) {
        m_failureCode = "retry_budget";
        m_continuity.giveUp("too many requests to the endpoints fail; no retry is left");
    }
    place();
}

void exchange::failRequest()
{
    m_record.outputTokens = m_continuity.delivered();
    error_reply error;
    error.run = m_reached ? run_state::Unknown : run_state::NotRun;
    error.status = !m_reached ? 503 : m_silent ? 504 : 502;
    error.type = !m_reached           ? error_type::NotRun
                 : m_route.repeatable ? error_type::Server
                                      : error_type::OutcomeUnknown;
    error.code = !m_reached ? "no_endpoint" : m_silent ? "endpoint_silent" : "endpoint_failed";
    if (!m_failureCode.empty())
        error.code = m_failureCode;
    if (m_failureCode == "crash_suspect") {
        error.status = 422;
        error.type = error_type::InvalidRequest;
    }
    error.message = m_continuity.reason();
    if (!m_reply.started())
        m_record.status = error.status;
    m_reply.sendError(error);
    settle("failed", m_failureCode.empty() ? error.message : m_failureCode);
}

void exchange::refuse(const error_reply &error)
{
    m_record.status = error.status;
    m_reply.sendError(error);
    settle("refused", error.code);
}

/// Returns how the tokens of a request that ended with this outcome are counted.
token_use exchange::tokenUse(const std::string &outcome) const
{
    if (outcome != "complete")
        return m_reached ? token_use::Unknown : token_use::None;
    // An answer that does not state its output may hold all that was reserved.
    const bool stated = m_record.outputTokens > 0 || m_attempt.passThrough;
    return stated || !m_kind ? token_use::Counted : token_use::Unknown;
}

// Account limits return unused tokens here.
void exchange::settle(const std::string &outcome, const std::string &reason)
{
    runStep(Component, m_requestId, [this] { m_claim.close(m_reached); });
    m_record.claim = nameOf(m_claim.outcome());
    runStep(Component, m_requestId,
            [&] { m_limits.settle(tokenUse(outcome), m_record.outputTokens); });
    m_record.outcome = outcome;
    m_record.reason = reason;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_call.reset();
        m_idle = true;
    }
    finishIfIdle();
}

void exchange::cancel()
{
    std::shared_ptr<upstream_call> running;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_cancelled = true;
        running = m_call;
    }
    if (running != nullptr)
        running->cancel();
}

void exchange::onReplyClosed(bool delivered)
{
    std::shared_ptr<upstream_call> running;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_replyClosed = true;
        m_callerLeft = !delivered;
        // The work of a call that may not be repeated goes on: its outcome matters.
        if (m_callerLeft && m_route.repeatable)
            running = m_call;
    }
    if (running != nullptr)
        runStep(Component, m_requestId, [&running] { running->cancel(); });
    finishIfIdle();
}

/// Reports the end once the reply is closed and nothing runs, and writes the access line.
void exchange::finishIfIdle()
{
    bool callerLeft = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_replyClosed || !m_idle || m_closedReported)
            return;
        m_closedReported = true;
        callerLeft = m_callerLeft;
    }
    runStep(Component, m_requestId, [this, callerLeft] {
        if (callerLeft)
            m_record.outcome = "caller_left";
        m_record.totalSeconds = toSeconds(steadyNow() - m_started);
        m_measures.ended(m_record, m_route.repeatable);
        writeAccessLine(m_record);
    });
    m_closed();
}

} // namespace burdockhold
