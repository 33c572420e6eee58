#ifndef BURDOCKHOLD_ATTEMPT_RULES_H
#define BURDOCKHOLD_ATTEMPT_RULES_H

// Decides how to proceed when a call to an endpoint has ended: try another endpoint, send the final
// response, or abort a response that has started. All functions are pure.
//
// Guarantees:
// - A call that may have run is retried only if its kind allows retries.
// - "Not run" is reported only if no byte reached an endpoint, or if every endpoint that received
//   the call stated that it did not run it.
// - A refusal proves "not run" only if it answers the first call of the attempt to its address: an
//   answer to a later call cannot be told from a repetition of an earlier refusal.
// - An attempt that may run once is sent to an address once: a second refusal would prove nothing.
// - An error response whose status promises "not run" is not delivered: the endpoint may have run
//   the call.
// - A stream that has started continues only if its route is resumable.
// - A stream that has started ends as complete only if the call that ended it completed a response
//   which added events to it. Anything else, an error response included, is resumed elsewhere or
//   ends the response so that it looks incomplete.

#include "burdockhold/clock.h"
#include "burdockhold/deployment.h"

#include <array>
#include <string_view>
#include <variant>

#include "burdockhold/enum_names.h"

namespace burdockhold {

/// Calls per request, including refused ones.
inline constexpr int MaxCalls = 4;
/// The same limit for a request whose stream has started: refusing it would lose the events that
/// its caller has received, and overloaded engines refuse several times in a row.
inline constexpr int MaxCallsOfStartedStream = 8;

enum class call_end {
    Complete,     ///< The whole response has been delivered or is ready for delivery.
    NotSent,      ///< No byte of the request can have reached the endpoint.
    SaidNotRun,   ///< The endpoint refused the call and stated that it did not run it.
    RefusedAgain, ///< It refused a repeated call of the attempt, so it may have run the attempt.
    Failed,       ///< The endpoint itself returned an error response.
    Broken,       ///< The connection was reset, closed or silent before the response was complete.
    WrongAnswer,  ///< The response is malformed, or cannot be the response to this call.
    /// A success that adds nothing to a stream that it was to continue. It does not show that the
    /// stream ended where it broke off, nor that the endpoint is faulty.
    NothingAdded,
};

template <>
struct enum_names<call_end>
{
    static constexpr std::array<enum_name<call_end>, 8> Table{ {
            { call_end::Complete, "complete" },
            { call_end::NotSent, "not_sent" },
            { call_end::SaidNotRun, "said_not_run" },
            { call_end::RefusedAgain, "refused_again" },
            { call_end::Failed, "failed" },
            { call_end::Broken, "broken" },
            { call_end::WrongAnswer, "wrong_answer" },
            { call_end::NothingAdded, "nothing_added" },
    } };
};

/// State of a request when a call to an endpoint has ended.
struct attempt_facts
{
    call_end end = call_end::Broken;
    call_kind kind = call_kind::AtMostOnce;
    bool resumable = false;        ///< The route's streams can be resumed at another endpoint.
    bool responseStarted = false;  ///< The caller has received the head of the response.
    bool mayHaveRun = false;       ///< Some endpoint may have run the request, in any of its calls.
    bool deliveredEvents = false;  ///< This call has delivered events of a stream.
    bool statusSaysNotRun = false; ///< The status of its error response promises "not run".
    int executionsLeft = 0;        ///< Number of further endpoints that may run the request.
    int attemptsLeft = 0;          ///< Number of further calls, including refused ones.
    bool retriesLeft = false;      ///< The retry budget is not exhausted.
    duration timeLeft = duration::zero();
};

struct try_another
{
};
/// Deliver the endpoint's own response. The caller has received nothing yet.
struct deliver_response
{
};
/// End the stream that the caller has begun to receive: it is complete.
struct end_stream
{
};
/// Refuse the request and guarantee that it has not run and will not run.
struct refuse_not_run
{
};
/// Respond that the outcome is unknown (bad gateway).
struct respond_outcome_unknown
{
};
/// Wait for the retry budget: another endpoint has refused to continue a stream that has started.
struct await_retry_budget
{
};
/// Close the caller's connection: the response has started and cannot be completed.
struct abort_response
{
};

using next_step = std::variant<try_another, deliver_response, end_stream, refuse_not_run,
                               respond_outcome_unknown, await_retry_budget, abort_response>;

/// Another call is made only if at least this much time is left.
inline constexpr duration MinTimeForRetry = std::chrono::milliseconds(30);

next_step decideNextStep(const attempt_facts &facts);

/// A response that has arrived completely, as its framing says.
struct response_facts
{
    int status = 0;
    bool notExecuted = false;     ///< It states that the endpoint did not run the call.
    bool calledBefore = false;    ///< An earlier call of the attempt reached the same address.
    bool isStream = false;        ///< The route's responses are streams of events.
    bool hasPartialEvent = false; ///< It ends inside an event.
    /// Earlier calls have begun the response, or an event that has not arrived since.
    bool continuesStream = false;
    bool deliveredEvents = false; ///< It has delivered events to the caller.
};

/// Returns how the call ended.
call_end classifyResponse(const response_facts &response);

/// Returns true if knowing that the endpoint has terminated would change the next step: a run at an
/// endpoint that has terminated does not count against the route's limit of endpoints. This applies
/// only to calls that have delivered events: a request that crashes every endpoint before its first
/// event must not be given more endpoints.
bool needsTerminationCheck(const attempt_facts &facts);

/// Returns true if a retry that the budget allows would change the next step, now or after a
/// termination check. The budget is charged only then.
bool needsRetry(attempt_facts facts);

/// Returns the facts adjusted for an endpoint that is known to have terminated.
attempt_facts withTerminatedEndpoint(attempt_facts facts);

/// Returns true if the status promises a caller that the request has not run. Only a response which
/// states that the endpoint did not run the call keeps this promise.
bool promisesNotRun(int status);

/// Returns true if the endpoint refused the call, whether or not this proves that it did not run.
bool isRefusal(call_end end);

/// Returns true if the endpoint refused the connection or did not answer the call, so that it may
/// have restarted.
bool mayHaveRestarted(call_end end, bool answered);

/// Returns true if a route's calls may run more than once.
bool isRetryable(call_kind kind, bool resumable);

/// Returns true if a call may be made to an address that an earlier call of the attempt may have
/// reached. The endpoint may have refused that call and asked for a pause.
bool mayCallAgain(call_kind kind, bool resumable);

} // namespace burdockhold

#endif
