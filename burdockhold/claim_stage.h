#ifndef BURDOCKHOLD_CLAIM_STAGE_H
#define BURDOCKHOLD_CLAIM_STAGE_H

// The part of a request that makes a call on a non-repeatable route run at most once: it claims the
// call before anything is sent, says whether the call may be dispatched or what the caller is told
// instead, and reports the outcome exactly once. The claims themselves are kept by call_claims.
//
// A call is reported as released only when no byte of it can have reached an endpoint, as answered
// when the endpoint's whole answer arrived, and as unknown in all other cases.

#include "burdockhold/claim_ledger.h"
#include "burdockhold/completion.h"
#include "burdockhold/enum_names.h"

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace burdockhold {

/// What identifies a call that must not be repeated.
struct claim_subject
{
    std::string account;
    std::string keyDigest;  ///< Of the header Idempotency-Key.
    std::string bodyDigest; ///< Of method, path with query, and body.
};

/// Returns the subject of a call. `path` includes the query.
claim_subject subjectOf(const std::string &account, std::string_view idempotencyKey,
                        std::string_view method, std::string_view path, std::string_view body);

/// Why no claim was made. The call was not run.
enum class claim_refusal {
    NotReady,  ///< The claims stream has not been read to its tail yet, or the view is stale.
    Suspended, ///< Records were missed or there was no room: no permission may be given.
    Full,      ///< Too many claims are open on this VM.
};

template <>
struct enum_names<claim_refusal>
{
    static constexpr std::array<enum_name<claim_refusal>, 3> Table{ {
            { claim_refusal::NotReady, "claims_not_ready" },
            { claim_refusal::Suspended, "claims_suspended" },
            { claim_refusal::Full, "claims_full" },
    } };
};

/// The claim was taken; the decision follows by callback.
struct claim_pending
{
};

/// A view is never Free.
using claim_start = std::variant<claim_pending, claim_view, claim_refusal>;

/// The claims of this VM. All functions may be called from any thread and none blocks for long.
class call_claims
{
public:
    using decided_callback = std::function<void(const claim_decision &)>;

    call_claims() = default;
    call_claims(const call_claims &) = delete;
    call_claims &operator=(const call_claims &) = delete;
    virtual ~call_claims() = default;

    /// Looks the call up and, when its key is free, claims it. `decided` is called once, and only
    /// when the claim is pending; that may be before this function returns.
    virtual claim_start claim(const claim_subject &subject, decided_callback decided) = 0;

    /// Reports the outcome of a permitted call.
    virtual void finished(const std::string &claimId, claim_answer answer) = 0;

    /// Reports that no byte of a permitted call can have reached an endpoint.
    virtual void released(const std::string &claimId) = 0;
};

/// How the claim of a call ended, for the access line.
enum class claim_outcome {
    None, ///< The route is repeatable, or the request ended before its claim.
    Won,
    Released, ///< Won, but nothing was sent and the key is free again.
    Replayed,
    NotRetained, ///< The call was answered before, but its body was too large to be kept.
    InProgress,
    OutcomeUnknown,
    BodyConflict,
    NotRun,
};

template <>
struct enum_names<claim_outcome>
{
    static constexpr std::array<enum_name<claim_outcome>, 9> Table{ {
            { claim_outcome::None, "" },
            { claim_outcome::Won, "won" },
            { claim_outcome::Released, "released" },
            { claim_outcome::Replayed, "replayed" },
            { claim_outcome::NotRetained, "not_retained" },
            { claim_outcome::InProgress, "in_progress" },
            { claim_outcome::OutcomeUnknown, "outcome_unknown" },
            { claim_outcome::BodyConflict, "body_conflict" },
            { claim_outcome::NotRun, "not_run" },
    } };
};

/// The call may be dispatched.
struct claim_won
{
};

/// What the call does next: dispatch, return a stored answer, or refuse.
using claim_verdict = std::variant<claim_won, claim_answer, error_reply>;

/// The claim of one call. Not thread-safe: the request's stages run one after the other.
class claim_stage
{
public:
    /// Without claims every start() is refused as not run.
    explicit claim_stage(call_claims *claims)
        : m_claims(claims)
    {
    }

    /// Claims the call. Calls `next` once, with the verdict, at once or later.
    void start(const claim_subject &subject,
               const std::function<void(const claim_verdict &)> &next);

    /// Returns whether the call may be sent now: always without a claim, and up to the permission's
    /// deadline with one.
    bool mayDispatch(time_point now) const;

    /// Takes the endpoint's whole answer. Without a permission it does nothing.
    void answered(int status, const std::string &contentType, const std::string &body);

    /// Ends the stage. A permitted call that was not answered is reported as unknown when a byte
    /// may have reached an endpoint, and else as released.
    void close(bool reached);

    claim_outcome outcome() const { return m_outcome; }

private:
    claim_verdict decide(const claim_decision &decision);
    claim_verdict decide(const claim_view &view);
    claim_verdict notRun(const std::string &code, const std::string &message);

    call_claims *m_claims;
    claim_outcome m_outcome = claim_outcome::None;
    std::string m_claimId; ///< Empty without a permission, or when its outcome was reported.
    time_point m_deadline;
};

} // namespace burdockhold

#endif
