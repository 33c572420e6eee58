#include "burdockhold/claim_stage.h"

#include "burdockhold/hash.h"

#include <utility>

namespace burdockhold {

namespace {

// Statuses that a finish record can hold; an endpoint's status outside of them is no answer.
constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

error_reply inProgress(const claim_view &view)
{
    // The call with this key may be running, so "not run" would mislead the caller.
    return { 409,
             error_type::InvalidRequest,
             "in_progress",
             "a call with this idempotency key is in progress",
             "Idempotency-Key",
             run_state::Unknown,
             view.retryAfterSeconds };
}

error_reply bodyConflict()
{
    return { 422, error_type::InvalidRequest, "idempotency_key_reused",
             "the idempotency key was used with another request", "Idempotency-Key" };
}

error_reply outcomeUnknown()
{
    return { 502,
             error_type::OutcomeUnknown,
             "outcome_unknown",
             "the call with this idempotency key may have run; it is not run again",
             "",
             run_state::Unknown };
}

error_reply notRetained(int status)
{
    return { 502,
             error_type::OutcomeUnknown,
             "answer_not_retained",
             "the call with this idempotency key was answered with status " + std::to_string(status)
                     + "; the answer is no longer held and the call is not run again",
             "",
             run_state::Unknown };
}

std::string describe(claim_refusal refusal)
{
    switch (refusal) {
    case claim_refusal::NotReady:
        return "the log of claims has not been read to its end; the call was not run";
    case claim_refusal::Suspended:
        return "claims are suspended on this VM; the call was not run";
    case claim_refusal::Full:
        break;
    }
    return "too many claims are open on this VM; the call was not run";
}

} // namespace

claim_subject subjectOf(const std::string &account, std::string_view idempotencyKey,
                        std::string_view method, std::string_view path, std::string_view body)
{
    // Neither a method nor an encoded path can contain a line end.
    std::string call(method);
    call.append("\n").append(path).append("\n").append(body);
    return { account, sha256Hex(idempotencyKey), sha256Hex(call) };
}

void claim_stage::start(const claim_subject &subject,
                        const std::function<void(const claim_verdict &)> &next)
{
    if (m_claims == nullptr)
        return next(notRun("claims_not_ready", "this VM keeps no claims; the call was not run"));
    if (subject.account.empty()) {
        // Callers without an account can't be told apart: one would get another's answer.
        m_outcome = claim_outcome::NotRun;
        return next(error_reply{ 401, error_type::Authentication, "key_required",
                                 "calls that must not be repeated need a key", "" });
    }
    const auto decided = [this, next](const claim_decision &decision) { next(decide(decision)); };
    const claim_start start = m_claims->claim(subject, decided);
    if (const auto *view = std::get_if<claim_view>(&start))
        return next(decide(*view));
    if (const auto *refusal = std::get_if<claim_refusal>(&start))
        next(notRun(std::string(nameOf(*refusal)), describe(*refusal)));
}

claim_verdict claim_stage::decide(const claim_decision &decision)
{
    return std::visit(
            overloaded{
                    [this](const dispatch_permission &permission) -> claim_verdict {
                        m_outcome = claim_outcome::Won;
                        m_claimId = permission.claimId;
                        m_deadline = permission.deadline;
                        return claim_won{};
                    },
                    [this](const not_run_reply &) {
                        return notRun("claim_not_recorded",
                                      "the claim was not recorded in time; the call was not run");
                    },
                    [this](const claim_lost_reply &lost) { return decide(lost.view); },
            },
            decision);
}

claim_verdict claim_stage::decide(const claim_view &view)
{
    switch (view.state) {
    case claim_state::Answered:
        if (view.answer.outcome == finish_outcome::Answered) {
            m_outcome = claim_outcome::Replayed;
            return view.answer;
        }
        m_outcome = claim_outcome::NotRetained;
        return notRetained(view.answer.status);
    case claim_state::InProgress:
        m_outcome = claim_outcome::InProgress;
        return inProgress(view);
    case claim_state::BodyConflict:
        m_outcome = claim_outcome::BodyConflict;
        return bodyConflict();
    case claim_state::Free:
    case claim_state::OutcomeUnknown:
        break;
    }
    m_outcome = claim_outcome::OutcomeUnknown;
    return outcomeUnknown();
}

claim_verdict claim_stage::notRun(const std::string &code, const std::string &message)
{
    m_outcome = claim_outcome::NotRun;
    return error_reply{ 503, error_type::NotRun, code, message, "" };
}

bool claim_stage::mayDispatch(time_point now) const
{
    return m_claimId.empty() || now < m_deadline;
}

void claim_stage::answered(int status, const std::string &contentType, const std::string &body)
{
    if (m_claimId.empty())
        return;
    claim_answer answer;
    if (status >= MinStatus && status <= MaxStatus)
        answer = recordedAnswer(status, contentType, body);
    m_claims->finished(std::exchange(m_claimId, {}), std::move(answer));
}

void claim_stage::close(bool reached)
{
    if (m_claimId.empty())
        return;
    const std::string claimId = std::exchange(m_claimId, {});
    if (reached)
        return m_claims->finished(claimId, {});
    m_outcome = claim_outcome::Released;
    m_claims->released(claimId);
}

} // namespace burdockhold
