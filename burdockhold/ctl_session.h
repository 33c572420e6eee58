#ifndef BURDOCKHOLD_CTL_SESSION_H
#define BURDOCKHOLD_CTL_SESSION_H

// Reads the config stream and appends orders to it, for the operators' tool. An order counts as
// done only when replay has shown the outcome of its record. When the answer to an append is lost,
// the record is looked for by its id and the same record is appended again; replay drops the
// duplicate (design page, 2.1). An order is first tried on a copy of the state, so that one that
// cannot succeed is never sent.

#include "burdockhold/ctl_context.h"
#include "burdockhold/replay.h"

#include <optional>
#include <string>

namespace burdockhold {

/// How long an order is pursued after it was first sent. Far below the time in which
/// DuplicateWindow offsets pass, so that a repeated record is recognised.
constexpr duration OrderDeadline = std::chrono::seconds(20);

/// Pause before the first further attempt to learn what became of an order; doubles up to
/// MaxOrderRetryDelay, so that an order is appended about 13 times at most.
constexpr duration OrderRetryDelay = std::chrono::milliseconds(200);
constexpr duration MaxOrderRetryDelay = std::chrono::seconds(2);

class config_session
{
public:
    /// The context must outlive the session.
    explicit config_session(ctl_context &context)
        : m_context(context)
    {
    }

    /// Reads the stream to its tail. Fails with Usage when no log was given, LogUnreachable, or
    /// BadAnswer, also when the log retains too little to build the catalogue.
    ctl_result<success> readToTail();

    /// The catalogue at the last tail read.
    const catalogue &state() const { return m_replay.state(); }

    /// Appends a record and waits until its outcome is known. Returns the version that the record
    /// gave its entries. Requires a successful readToTail(). Fails with LostRace or Refused when
    /// the record is void, LogUnreachable when it was certainly not appended, OutcomeUnknown when
    /// the deadline passed.
    ctl_result<log_offset> submit(const config_record &record);

    /// As submit(), for a record that always takes effect; needs no catalogue and no earlier read.
    ctl_result<log_offset> submitWithdrawal(const config_record &record);

private:
    /// What is known of an order under way.
    struct pursuit
    {
        std::optional<log_offset> accepted; ///< Offset that an append was answered with.
        bool mayTakeEffect = false;
        std::string trouble; ///< Text of the last failure.
    };

    ctl_result<success> readPages();
    ctl_result<success> tryOrder(const config_record &record) const;
    ctl_result<log_offset> pursue(const config_record &record);
    std::optional<ctl_result<log_offset>> appendOnce(const std::string &text, pursuit &order);
    std::optional<ctl_result<log_offset>> lookFor(const config_record &record, pursuit &order);

    ctl_context &m_context;
    replay m_replay;
    log_offset m_next = 1;
};

} // namespace burdockhold

#endif
