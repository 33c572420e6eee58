#include "burdockhold/first_events.h"

namespace burdockhold {

namespace {

constexpr int StatusOk = 200;

bool showsPace(const answered_call &call)
{
    return call.pool != nullptr && call.pool->engine && call.route.kind == call_kind::Stream
           && call.status == StatusOk && !call.continuesStream;
}

} // namespace

duration recordFirstEvent(router_board &board, const answered_call &call,
                          const endpoint_choice &choice, time_point now)
{
    if (!showsPace(call))
        return duration::zero();
    const double actualMs = 1000.0 * toSeconds(call.time);
    board.metrics.count(router_counter::FirstEventsJudged);
    if (actualMs > choice.expectedFirstEventMs + choice.expectedErrorMs)
        board.metrics.count(router_counter::FirstEventsLate);
    const pace_sample sample{ choice.unreadTokens, choice.tokensAhead, choice.running, actualMs };
    board.endpoints.recordFirstEvent(
            { call.endpointId, call.incarnation, sample, choice.expectedFirstEventMs }, now);
    return call.time;
}

} // namespace burdockhold
