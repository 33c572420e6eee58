#ifndef BURDOCKHOLD_SEGMENT_CALLS_H
#define BURDOCKHOLD_SEGMENT_CALLS_H

// Transfers of shared prompt segments that accompany calls to engines: charges the stores' links
// and records what the stores hold. The decisions are made in segment_transfer.h.

#include "burdockhold/router_board.h"
#include "burdockhold/segment_transfer.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// A call of an engine, with what is known about the shared segments of its prompt.
struct segment_call
{
    std::string endpointId;
    std::vector<std::string> segments; ///< Names of the shared segments, the deepest last.
    std::int64_t segmentTokens = 0;    ///< Of the deepest shared segment.
    std::int64_t promptTokens = 0;
    bool expectedCached = false;        ///< The engine should hold a part of the prompt.
    std::string holder;                 ///< Address of another engine that should hold them.
    bool holderIsKnown = false;         ///< See segment_facts.
    const cache_store *store = nullptr; ///< Null if there is none for these weights.
};

/// Plans the transfers of the call and charges them to the store's link.
segment_transfer planSegments(router_board &board, const segment_call &call, time_point now);

/// Returns the engine's address if it runs this version of the model's weights, or an empty string.
std::string holderAddress(const router_board &board, std::string_view engine,
                          const std::string &model, std::int64_t weights);

} // namespace burdockhold

#endif
