#include "burdockhold/request_log.h"

#include <cmath>

namespace burdockhold {

namespace {

double milliseconds(duration time)
{
    return 1000.0 * toSeconds(time);
}

nlohmann::ordered_json waitFields(const wait_record &wait)
{
    return { { "cause", nameOf(wait.cause) },    { "expected_ms", milliseconds(wait.expected) },
             { "before", wait.waitingBefore },   { "served", wait.servedMeanwhile },
             { "more_urgent", wait.moreUrgent }, { "returned", wait.returned } };
}

} // namespace

void addFirstEvent(request_summary &summary, const endpoint_choice &choice, duration callFirstByte,
                   duration longestGap)
{
    summary.expectedMs = choice.expectedMs;
    summary.expectedFirstEventMs = choice.expectedFirstEventMs;
    summary.expectedErrorMs = choice.expectedErrorMs;
    summary.callFirstByte = callFirstByte;
    summary.longestGap = longestGap;
    summary.tokensAhead = choice.tokensAhead;
    summary.running = choice.running;
}

nlohmann::ordered_json requestEndedFields(const request_summary &request)
{
    nlohmann::ordered_json fields{ { "id", request.requestId },
                                   { "route", request.route },
                                   { "account", request.account },
                                   { "pool", request.pool },
                                   { "status", request.status },
                                   { "reason", request.reason },
                                   { "endpoint", request.endpoint },
                                   { "calls", request.calls },
                                   { "runs", request.runs },
                                   { "waited_ms", milliseconds(request.queued) },
                                   { "total_ms", milliseconds(request.total) },
                                   { "first_ms", milliseconds(request.firstByte) },
                                   { "expected_ms", request.expectedMs },
                                   { "expected_first_ms", request.expectedFirstEventMs },
                                   { "expected_error_ms", request.expectedErrorMs },
                                   { "call_first_ms", milliseconds(request.callFirstByte) },
                                   { "longest_gap_ms", milliseconds(request.longestGap) },
                                   { "ahead", request.tokensAhead },
                                   { "running", request.running },
                                   { "prompt", request.promptTokens },
                                   { "output", request.maxOutputTokens },
                                   { "unread", request.pendingPrefillTokens },
                                   { "copied", request.copiesSegments },
                                   { "saved", request.savesSegments },
                                   { "weights", request.weights },
                                   { "events", request.events },
                                   { "last_call_events", request.lastCallEvents },
                                   { "resumes", request.resumes },
                                   { "framing", request.framing },
                                   { "deployment", request.deployment },
                                   { "view_age_ms", std::llround(milliseconds(request.viewAge)) } };
    if (request.wait.cause != wait_cause::None)
        fields["wait"] = waitFields(request.wait);
    return fields;
}

nlohmann::ordered_json callEndedFields(const call_summary &call)
{
    return { { "id", call.requestId },
             { "endpoint", call.endpoint },
             { "end", nameOf(call.end) },
             { "status", call.status },
             { "weights", call.weights },
             { "call", call.call },
             { "events", call.events },
             { "framing", call.framing },
             { "after_ms", milliseconds(call.after) } };
}

} // namespace burdockhold
