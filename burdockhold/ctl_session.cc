#include "burdockhold/ctl_session.h"

#include <algorithm>

namespace burdockhold {

namespace {

constexpr std::size_t ReadLimit = 1000;
constexpr std::string_view ConfigStream = "config";

ctl_error noLogAddress()
{
    return { ctl_exit::Usage, "no address of the log: give --log URL or set BURDOCKHOLD_LOG", "" };
}

ctl_error convertReadError(const basic_error<log_error> &error)
{
    const bool bad = error.code == log_error::BadAnswer;
    return { bad ? ctl_exit::BadAnswer : ctl_exit::LogUnreachable,
             "the log cannot be read: " + error.text, error.context };
}

ctl_error convertVoid(const record_outcome &outcome)
{
    const std::string entry = std::string(nameOf(outcome.entry.kind)) + " " + outcome.entry.name;
    if (outcome.reason == void_reason::BaseNotCurrent) {
        return { ctl_exit::LostRace,
                 "the order is based on version " + std::to_string(outcome.base)
                         + ", but the current version is " + std::to_string(outcome.current)
                         + (outcome.current == 0 ? " (no such entry)" : "")
                         + "; nothing was applied",
                 entry };
    }
    if (outcome.reason == void_reason::None)
        return { ctl_exit::Refused, "the order is void; nothing was applied", "" };
    return { ctl_exit::Refused, outcome.text + "; nothing was applied", entry };
}

ctl_result<log_offset> convertOutcome(const record_outcome &outcome)
{
    if (outcome.kind == outcome_kind::Applied)
        return outcome.offset;
    if (outcome.kind == outcome_kind::Void)
        return convertVoid(outcome);
    return ctl_error{ ctl_exit::Refused,
                      "the record is " + std::string(nameOf(outcome.kind)) + ": " + outcome.text
                              + "; nothing was applied",
                      "" };
}

} // namespace

ctl_result<success> config_session::readPages()
{
    while (true) {
        const auto answer = m_context.log->read(std::string(ConfigStream), m_next, ReadLimit,
                                                duration(0));
        if (!isOk(answer))
            return convertReadError(errorOf(answer));
        const log_page &page = valueOf(answer);
        if (page.expired) {
            if (page.earliest <= m_next)
                return ctl_error{ ctl_exit::BadAnswer, "the log refuses an offset it retains", "" };
            m_replay = replay(page.earliest);
            m_next = page.earliest;
            continue;
        }
        for (const log_record &record : page.records)
            m_replay.apply(record);
        const bool atTail = page.reachesTail(m_next);
        if (!atTail && page.records.empty())
            return ctl_error{ ctl_exit::BadAnswer, "the log returned no records before its tail",
                              "" };
        if (!page.records.empty())
            m_next = page.records.back().offset + 1;
        if (atTail)
            return success{};
    }
}

ctl_result<success> config_session::readToTail()
{
    if (m_context.log == nullptr)
        return noLogAddress();
    auto read = readPages();
    if (isOk(read) && !m_replay.isComplete())
        return ctl_error{ ctl_exit::BadAnswer,
                          "the log retains no complete refresh, so the catalogue is not known",
                          "" };
    return read;
}

/// Applies the record to a copy of the state.
ctl_result<success> config_session::tryOrder(const config_record &record) const
{
    replay copy = m_replay;
    const auto outcome = copy.apply({ m_next, 0, formatRecord(record) });
    if (!outcome)
        return success{};
    const auto converted = convertOutcome(*outcome);
    if (!isOk(converted))
        return errorOf(converted);
    return success{};
}

ctl_result<log_offset> config_session::submit(const config_record &record)
{
    const auto tried = tryOrder(record);
    if (!isOk(tried))
        return errorOf(tried);
    return pursue(record);
}

ctl_result<log_offset> config_session::submitWithdrawal(const config_record &record)
{
    if (m_context.log == nullptr)
        return noLogAddress();
    return pursue(record);
}

/// Returns an error when the record is certainly not in the log.
std::optional<ctl_result<log_offset>> config_session::appendOnce(const std::string &text,
                                                                 pursuit &order)
{
    const auto appended = m_context.log->append(std::string(ConfigStream), { text });
    if (isOk(appended)) {
        order.accepted = valueOf(appended).firstOffset;
        order.mayTakeEffect = true;
        return std::nullopt;
    }
    const auto &error = errorOf(appended);
    order.trouble = error.text;
    if (error.code == log_error::NotApplied && !order.mayTakeEffect)
        return ctl_error{ ctl_exit::LogUnreachable, error.text + "; nothing was applied",
                          error.context };
    order.mayTakeEffect = true;
    return std::nullopt;
}

/// Reads to the tail and returns the record's outcome, if it is known.
std::optional<ctl_result<log_offset>> config_session::lookFor(const config_record &record,
                                                              pursuit &order)
{
    const auto read = readPages();
    if (!isOk(read)) {
        order.trouble = errorOf(read).text;
        return std::nullopt;
    }
    if (const auto outcome = m_replay.outcomeOf(record.id))
        return convertOutcome(*outcome);
    const bool withdraws = std::holds_alternative<key_withdraw_record>(record.body);
    if (withdraws && order.accepted && !m_replay.isComplete())
        return *order.accepted;
    // A record that a read to the tail does not show is appended again.
    order.accepted.reset();
    return std::nullopt;
}

ctl_result<log_offset> config_session::pursue(const config_record &record)
{
    const std::string text = formatRecord(record);
    const time_point deadline = m_context.now() + OrderDeadline;
    duration delay = OrderRetryDelay;
    pursuit order;
    while (true) {
        if (!order.accepted) {
            if (const auto failed = appendOnce(text, order))
                return *failed;
        }
        if (const auto known = lookFor(record, order))
            return *known;
        if (m_context.now() >= deadline)
            break;
        m_context.sleep(delay);
        delay = std::min(delay * 2, MaxOrderRetryDelay);
    }
    return ctl_error{ ctl_exit::OutcomeUnknown,
                      "the order was sent and may take effect; its outcome could not be learnt: "
                              + order.trouble,
                      "record " + record.id };
}

} // namespace burdockhold
