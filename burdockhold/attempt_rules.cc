#include "burdockhold/attempt_rules.h"

namespace burdockhold {

bool mayHaveRestarted(call_end end, bool answered)
{
    return end == call_end::NotSent || (end == call_end::Broken && !answered);
}

bool isRetryable(call_kind kind, bool resumable)
{
    return kind == call_kind::Idempotent || (kind == call_kind::Stream && resumable);
}

bool mayCallAgain(call_kind kind, bool resumable)
{
    return isRetryable(kind, resumable);
}

bool isRefusal(call_end end)
{
    return end == call_end::SaidNotRun || end == call_end::RefusedAgain;
}

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

namespace {

next_step deliverError(const attempt_facts &facts)
{
    if (facts.statusSaysNotRun)
        return respond_outcome_unknown{};
    return deliver_response{};
}

bool canTryAnother(const attempt_facts &facts)
{
    if (facts.attemptsLeft <= 0 || facts.timeLeft < MinTimeForRetry)
        return false;
    // A call that no endpoint received or accepted does not count as a run.
    if (facts.end == call_end::NotSent)
        return true;
    if (!facts.retriesLeft)
        return false;
    if (facts.end == call_end::SaidNotRun)
        return true;
    return isRetryable(facts.kind, facts.resumable) && facts.executionsLeft > 0;
}

/// Returns true if a started stream was refused and only the retry budget prevents another call. A
/// refusal loses nothing of the stream, so it can wait until the budget allows a retry.
bool shouldAwaitRetryBudget(attempt_facts facts)
{
    if (!facts.responseStarted || !isRefusal(facts.end) || facts.retriesLeft)
        return false;
    facts.retriesLeft = true;
    return canTryAnother(facts);
}

} // namespace

attempt_facts withTerminatedEndpoint(attempt_facts facts)
{
    ++facts.executionsLeft;
    return facts;
}

bool needsTerminationCheck(const attempt_facts &facts)
{
    return facts.end == call_end::Broken && facts.deliveredEvents && !canTryAnother(facts)
           && canTryAnother(withTerminatedEndpoint(facts));
}

bool needsRetry(attempt_facts facts)
{
    if (facts.end == call_end::Complete || facts.end == call_end::NotSent)
        return false;
    facts.retriesLeft = true;
    return std::holds_alternative<try_another>(decideNextStep(facts))
           || needsTerminationCheck(facts);
}

next_step decideNextStep(const attempt_facts &facts)
{
    if (facts.end == call_end::Complete) {
        if (facts.responseStarted)
            return end_stream{};
        return deliver_response{};
    }
    // An error response is final, unless a retry may succeed or the caller has received the
    // beginning of another response.
    const bool retriesFailure = facts.kind == call_kind::Idempotent || facts.responseStarted;
    if (facts.end == call_end::Failed && !retriesFailure)
        return deliverError(facts);
    if (canTryAnother(facts))
        return try_another{};
    if (shouldAwaitRetryBudget(facts))
        return await_retry_budget{};
    if (facts.responseStarted)
        return abort_response{};
    if (facts.end == call_end::Failed)
        return deliverError(facts);
    if (!facts.mayHaveRun)
        return refuse_not_run{};
    return respond_outcome_unknown{};
}

call_end classifyResponse(const response_facts &response)
{
    const bool success = response.status >= 200 && response.status < 300;
    if (!success && response.notExecuted)
        return response.calledBefore ? call_end::RefusedAgain : call_end::SaidNotRun;
    if (!success)
        return call_end::Failed;
    if (!response.isStream)
        return call_end::Complete;
    if (response.hasPartialEvent)
        return call_end::Broken;
    const bool addsNothing = response.continuesStream && !response.deliveredEvents;
    return addsNothing ? call_end::NothingAdded : call_end::Complete;
}

} // namespace burdockhold
