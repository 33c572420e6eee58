#include "burdockhold/prefill_calls.h"

namespace burdockhold {

void countCall(router_metrics &metrics, const endpoint_choice &choice, const call_load &load,
               bool isRepeat)
{
    metrics.count(router_counter::Calls);
    if (isRepeat)
        metrics.count(router_counter::Repeats);
    metrics.count(router_counter::CachedTokens,
                  static_cast<std::uint64_t>(choice.expectedCachedTokens));
    metrics.count(router_counter::UncachedTokens,
                  static_cast<std::uint64_t>(load.pendingPrefillTokens));
}

void reportFirstBytes(router_board &board, const deployment_route &route, const std::string &pool,
                      const std::string &endpointId, const prefill_call &call, int status)
{
    constexpr int StatusOk = 200;
    if (route.kind == call_kind::Stream && status == StatusOk)
        board.prefillRates.prefillFinished(pool, endpointId, call, steadyNow());
}

duration expectedPrefill(const router_board &board, const std::string &pool,
                         const prefill_call &call)
{
    return prefillTime(call.tokensAhead + call.unreadTokens, board.prefillRate(pool));
}

} // namespace burdockhold
