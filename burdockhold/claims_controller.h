#ifndef BURDOCKHOLD_CLAIMS_CONTROLLER_H
#define BURDOCKHOLD_CLAIMS_CONTROLLER_H

// This VM's part in the log's `claims` stream: follows it, replays it, appends the VM's own records
// and delivers the decisions to the requests that wait for them. Appends are batched: one is in
// flight at a time.
//
// No call is permitted before the stream was read to its tail, while the last read of the tail is
// older than `maxViewAge`, or after records were missed. Stored answers are returned all the same,
// because an answer never changes.
//
// When the position falls out of retention (410), the records in between may hold claims of other
// VMs. What is known stays in force and the later records are applied, but no call is permitted
// until every missed claim has expired: one claim window after the first page that follows. A
// process that starts reads from the earliest record and relies on the log's retention being at
// least the claim window.
//
// Limits: memory as bounded by claim_ledger_options and claim_writer_options, and one page of the
// log.

#include "burdockhold/blackboard.h"
#include "burdockhold/claim_stage.h"
#include "burdockhold/log_follower.h"

#include <cstdint>
#include <memory>
#include <string>

namespace burdockhold {

struct claims_options
{
    log_follower_options follow;                 ///< `stream` and `from` are set by the controller.
    std::string vm;                              ///< Name of this VM.
    duration deadline = std::chrono::seconds(5); ///< Longest wait for a decision.
    duration maxViewAge = std::chrono::seconds(5);
    claim_ledger_options ledger;
    claim_writer_options writer;
};

/// What operators may ask about the claims.
struct claims_status
{
    view_freshness freshness;
    log_offset offset = 0;    ///< Of the last record applied.
    std::size_t keys = 0;     ///< Keys held by all VMs.
    std::size_t open = 0;     ///< Claims of this VM that are not settled in the log.
    bool suspended = false;   ///< Records were missed; no call is permitted.
    std::uint64_t errors = 0; ///< Failed reads.
    std::string lastError;    ///< Text of the last failed read; kept after it.
};

class claims_controller : public call_claims
{
public:
    /// Starts following, with an incarnation that no process had before.
    explicit claims_controller(claims_options options);
    ~claims_controller() override;

    claim_start claim(const claim_subject &subject, decided_callback decided) override;
    void finished(const std::string &claimId, claim_answer answer) override;
    void released(const std::string &claimId) override;

    /// Stops. Waits, at most for the deadline, until the outcomes that were reported are in the
    /// log. Call it when no request waits for a decision any more.
    void stop();

    claims_status status() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace burdockhold

#endif
