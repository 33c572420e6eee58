#include "burdockhold/endpoint_notices.h"

#include "burdockhold/placement_log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockhold {

namespace {

/// Bounds what a false statement costs. An engine that leaves says it again to the call that
/// follows.
constexpr duration UnstampedLeavingPause = std::chrono::seconds(1);

void countIgnored(router_board &board, int statements)
{
    if (statements > 0)
        board.metrics.count(router_counter::EngineNoticesIgnored,
                            static_cast<std::uint64_t>(statements));
}

void logLeaving(router_board &board, std::string_view endpointId, const call_ticket &ticket,
                const endpoint_response_head &head, const std::string &requestId, bool isAssumed,
                time_point now)
{
    board.metrics.count(router_counter::EngineLeavings);
    if (board.log.accepts(log_priority::StateChange, now))
        board.log.write(log_event::EndpointLeaving,
                        { { "endpoint", endpointId },
                          { "incarnation", ticket.incarnation },
                          { "source", "answer" },
                          { "id", requestId },
                          { "status", head.status },
                          { "until", isAssumed ? "time_over" : "next_incarnation" } },
                        now);
}

void logPause(router_board &board, std::string_view endpointId, const call_ticket &ticket,
              const endpoint_response_head &head, const notice_result &result,
              const std::string &requestId, time_point now)
{
    board.metrics.count(router_counter::EnginePauses);
    if (result.pauseShortened)
        board.metrics.count(router_counter::EnginePausesShortened);
    if (board.log.accepts(log_priority::StateChange, now))
        board.log.write(log_event::EndpointPaused,
                        { { "endpoint", endpointId },
                          { "incarnation", ticket.incarnation },
                          { "source", "answer" },
                          { "id", requestId },
                          { "stated_ms", std::llround(1000.0 * toSeconds(*head.notice.pause)) },
                          { "for_ms", std::llround(1000.0 * toSeconds(result.pausedUntil - now)) },
                          { "shortened", result.pauseShortened } },
                        now);
}

} // namespace

notice_weight weightOf(const endpoint_response_head &head, const std::string &requestId)
{
    const bool isOther = !head.attemptId.empty() && head.attemptId != requestId;
    if (isOther)
        return notice_weight::None;
    if (!head.signature.empty() && !head.attemptId.empty())
        return notice_weight::Full;
    return head.notExecuted ? notice_weight::Limited : notice_weight::None;
}

void limitNotice(endpoint_notice &notice)
{
    if (!std::exchange(notice.leaving, false))
        return;
    notice.pause = std::max(notice.pause.value_or(duration::zero()), UnstampedLeavingPause);
}

void recordNotice(router_board &board, std::string_view endpointId, const call_ticket &ticket,
                  const endpoint_response_head &head, const std::string &requestId)
{
    const bool isOther = !head.endpointId.empty() && head.endpointId != endpointId;
    if (isOther) {
        ignoreNotice(board, head);
        return;
    }
    countIgnored(board, head.notice.ignored);
    if (!head.notice.leaving && !head.notice.pause)
        return;
    const time_point now = steadyNow();
    const notice_result result = board.endpoints.recordNotice(endpointId, ticket, head.notice, now);
    if (result.outdated && !result.leavingAssumed)
        countIgnored(board, 1);
    if (result.leavingBegan || result.leavingAssumed)
        logLeaving(board, endpointId, ticket, head, requestId, result.leavingAssumed, now);
    if (result.pauseBegan)
        logPause(board, endpointId, ticket, head, result, requestId, now);
}

void ignoreNotice(router_board &board, const endpoint_response_head &head)
{
    countIgnored(board, head.notice.fields);
}

void recordRefusalLimit(router_board &board, const std::string &endpointId,
                        const endpoint_response_head &head)
{
    constexpr int ServiceUnavailable = 503;
    countIgnored(board, head.unreadableLimits);
    const bool isStatement = head.refusalsPerSecond || head.unreadableLimits == 0;
    const bool refuses = head.notExecuted && head.status == ServiceUnavailable;
    const time_point now = steadyNow();
    if (!isStatement
        || !board.endpoints.recordRefusalLimit(endpointId, head.refusalsPerSecond, refuses, now)
        || !board.log.accepts(log_priority::StateChange, now))
        return;
    const endpoint_report *report = board.endpoints.find(endpointId);
    board.log.write(log_event::PoolBrittle,
                    { { "pool", report == nullptr ? "" : report->pool },
                      { "endpoint", endpointId },
                      { "brittle", head.refusalsPerSecond.has_value() },
                      { "refusals_per_s", head.refusalsPerSecond.value_or(0) },
                      { "vms", board.knownVms.list().size() } },
                    now);
}

void ignoreLateNotices(router_board &board, int fieldsOfHead, int fieldsAtEnd)
{
    countIgnored(board, fieldsAtEnd - fieldsOfHead);
}

void logLeftOut(router_board &board, const std::string &requestId, const std::string &pool,
                const std::vector<endpoint_candidate> &candidates, const endpoint_choice &choice)
{
    const left_out endpoints = countLeftOut(candidates);
    if (endpoints.total() == 0)
        return;
    board.metrics.count(router_counter::ChoicesWithoutPaused);
    const time_point now = steadyNow();
    if (board.log.accepts(log_priority::Success, now))
        board.log.write(log_event::EndpointChosen,
                        endpointChosenFields(requestId, pool, candidates, choice, endpoints), now);
}

void logEndedNotices(router_board &board, time_point now)
{
    for (const ended_notice &ended : board.endpoints.takeEndedNotices()) {
        if (board.log.accepts(log_priority::StateChange, now))
            board.log.write(log_event::EndpointNoticeEnded,
                            { { "endpoint", ended.endpoint },
                              { "incarnation", ended.incarnation },
                              { "notice", ended.leaving ? "leaving" : "pause" },
                              { "reason", nameOf(ended.reason) } },
                            now);
    }
}

} // namespace burdockhold
