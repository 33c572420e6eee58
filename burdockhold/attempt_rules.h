#ifndef BURDOCKHOLD_ATTEMPT_RULES_H
#define BURDOCKHOLD_ATTEMPT_RULES_H

// What follows when a call to an endpoint has ended: another endpoint, the final answer, or the end
// of a stream that has begun. Pure functions of what is known of the call.
//
// Promises:
// - A call that may have run is sent again only if its kind may be repeated.
// - "Not run" is said only if no byte reached an endpoint, or every endpoint that got the call said
//   that it did not run it.
// - A stream that has begun continues only where its route is resumable.

#include "burdockhold/clock.h"
#include "burdockhold/deployment.h"

#include <array>
#include <string_view>
#include <variant>

#include "burdockhold/enum_names.h"

namespace burdockhold {

enum class call_end {
    Complete,    ///< The whole answer has been delivered or is ready to be.
    NotSent,     ///< No byte of the request can have reached the endpoint.
    SaidNotRun,  ///< The endpoint refused and stated that it did not run the call.
    Failed,      ///< The endpoint's own failure, with its signature.
    Broken,      ///< Reset, closed or silent before the answer was whole.
    WrongAnswer, ///< Bytes that are not this call's answer.
};

template <>
struct enum_names<call_end>
{
    static constexpr std::array<enum_name<call_end>, 6> Table{ {
            { call_end::Complete, "complete" },
            { call_end::NotSent, "not_sent" },
            { call_end::SaidNotRun, "said_not_run" },
            { call_end::Failed, "failed" },
            { call_end::Broken, "broken" },
            { call_end::WrongAnswer, "wrong_answer" },
    } };
};

/// What is known when a call ends.
struct attempt_facts
{
    call_end end = call_end::Broken;
    call_kind kind = call_kind::AtMostOnce;
    bool resumable = false;       ///< Of a stream's route.
    bool responseStarted = false; ///< The caller has got the head of the answer.
    bool mayHaveRun = false;      ///< Some endpoint may have run this request, this call included.
    bool deliveredEvents = false; ///< This call has delivered events of a stream.
    int runsLeft = 0;             ///< Endpoints that may still run it.
    int sendsLeft = 0;            ///< Calls that may still be made, refused ones included.
    bool retriesLeft = false;     ///< The budget for repeats has room.
    duration timeLeft = duration::zero();
};

struct try_another
{
};
/// Deliver the endpoint's own answer.
struct deliver_response
{
};
/// Refuse and promise that the request has not run and will not.
struct refuse_not_run
{
};
/// Answer that the outcome is unknown (bad gateway).
struct respond_outcome_unknown
{
};
/// Wait for the budget: another endpoint has refused to go on with a stream that has begun.
struct await_retry_budget
{
};
/// Close the caller's connection: an answer has begun and cannot be made whole.
struct abort_response
{
};

using next_step = std::variant<try_another, deliver_response, refuse_not_run,
                               respond_outcome_unknown, await_retry_budget, abort_response>;

/// Least time for which another call is worth making.
inline constexpr duration MinTimeForRetry = std::chrono::milliseconds(30);

next_step decideNextStep(const attempt_facts &facts);

/// True if it would change the next step to know that the endpoint has ended: a run at an endpoint
/// that has ended does not use up one of the route's endpoints. Only for calls that have delivered
/// events: a request may crash each endpoint that begins to run it, and more runs would harm more
/// endpoints.
bool needsTerminationCheck(const attempt_facts &facts);

/// The facts once the endpoint is known to have ended.
attempt_facts withTerminatedEndpoint(attempt_facts facts);

/// True if the route's calls may run more than once.
bool isRetryable(call_kind kind, bool resumable);

} // namespace burdockhold

#endif
