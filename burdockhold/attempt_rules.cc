#include "burdockhold/attempt_rules.h"

namespace burdockhold {

bool mayRepeat(call_kind kind, bool resumable)
{
    return kind == call_kind::Idempotent || (kind == call_kind::Stream && resumable);
}

namespace {

bool canTryAnother(const attempt_facts &facts)
{
    if (facts.sendsLeft <= 0 || facts.timeLeft < MinTimeForRepeat)
        return false;
    // A call that no endpoint received or accepted does not use up a run.
    if (facts.end == call_end::NotSent)
        return true;
    if (!facts.repeatsLeft)
        return false;
    if (facts.end == call_end::SaidNotRun)
        return true;
    return mayRepeat(facts.kind, facts.resumable) && facts.runsLeft > 0;
}

/// A refusal costs the stream nothing; only the budget is used up for the moment.
bool awaitsRepeat(const attempt_facts &facts)
{
    return facts.answerBegun && facts.end == call_end::SaidNotRun && !facts.repeatsLeft
           && facts.sendsLeft > 0 && facts.timeLeft >= MinTimeForRepeat;
}

} // namespace

attempt_facts withEndedEndpoint(attempt_facts facts)
{
    ++facts.runsLeft;
    return facts;
}

bool dependsOnEndpointsEnd(const attempt_facts &facts)
{
    return facts.end == call_end::Broken && facts.deliveredEvents && !canTryAnother(facts)
           && canTryAnother(withEndedEndpoint(facts));
}

next_step afterCall(const attempt_facts &facts)
{
    if (facts.end == call_end::Complete)
        return deliver_answer{};
    // The endpoint's own failure of a stream is final; a repeat of an idempotent call may succeed.
    const bool repeatsFailure = facts.kind == call_kind::Idempotent;
    if (facts.end == call_end::Failed && !repeatsFailure)
        return deliver_answer{};
    if (canTryAnother(facts))
        return try_another{};
    if (awaitsRepeat(facts))
        return await_repeat{};
    if (facts.answerBegun)
        return cut_off{};
    if (facts.end == call_end::Failed)
        return deliver_answer{};
    if (!facts.mayHaveRun)
        return refuse_not_run{};
    return answer_unknown{};
}

} // namespace burdockhold
