#ifndef BURDOCKHOLD_ENDPOINT_NOTICES_H
#define BURDOCKHOLD_ENDPOINT_NOTICES_H

// Records what endpoints say in their answers about new calls: in the endpoint table, the metrics
// and the decision log. The decisions are made in endpoint_pause.h.
//
// Only an answer that bears the stamp and the id of the attempt counts in full. A refusal bears no
// stamp by the protocol, so what it says counts for a bounded time. A statement in another answer,
// or in one of another endpoint or incarnation, is counted as ignored.

#include "burdockhold/caller_request.h"
#include "burdockhold/router_board.h"

#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// How much the statements of an answer count.
enum class notice_weight {
    None,
    Limited, ///< A pause counts; a leaving counts as a short pause.
    Full
};

notice_weight weightOf(const endpoint_response_head &head, const std::string &requestId);

/// Turns a leaving into a pause of a second.
void limitNotice(endpoint_notice &notice);

/// Records the notice of an answer to the request's call with this ticket.
void recordNotice(router_board &board, std::string_view endpointId, const call_ticket &ticket,
                  const endpoint_response_head &head, const std::string &requestId);

/// Counts the statements of an answer that does not count.
void ignoreNotice(router_board &board, const endpoint_response_head &head);

/// Records the refusals that the endpoint bears in a second, as its answer states them or not, and
/// whether the answer is one.
void recordRefusalLimit(router_board &board, const std::string &endpointId,
                        const endpoint_response_head &head);

/// Counts the statements that an answer made after its head, which do not count.
void ignoreLateNotices(router_board &board, int fieldsOfHead, int fieldsAtEnd);

/// Counts and logs a choice that left out endpoints which leave or pause.
void logLeftOut(router_board &board, const std::string &requestId, const std::string &pool,
                const std::vector<endpoint_candidate> &candidates, const endpoint_choice &choice);

/// Logs the notices that have ended.
void logEndedNotices(router_board &board, time_point now);

} // namespace burdockhold

#endif
