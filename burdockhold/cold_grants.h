#ifndef BURDOCKHOLD_COLD_GRANTS_H
#define BURDOCKHOLD_COLD_GRANTS_H

// Grants of calls at cold engines, which a scheduler gives within its own VM's share of the
// engine's rate (cold_engines.h).
//
// Guarantee: a call that is sent on a grant is sent at most MaxColdGrantAge after the scheduler has
// charged its share. So the calls on grants arrive as evenly as those that the scheduler's VM would
// have sent itself, however long datagrams take. Each question carries the number of its
// repetition, which the answer states: an answer to an earlier repetition may be of any age.
//
// Failure behaviour: a grant that is lost or too old leaves the share unused for its interval. The
// scheduler answers a later repetition anew instead of repeating the grant. A VM of an older build,
// which numbers no repetitions, gets no such grant.
//
// Load pattern: all engines of a data centre return at once, and the few VMs that may send to each
// of them have little of the waiting load; the scheduler knows all of it.

#include "burdockhold/clock.h"
#include "burdockhold/cold_engines.h"
#include "burdockhold/endpoint_choice.h"
#include "burdockhold/scheduler_message.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace burdockhold {

/// Charges the scheduler's share with a call at a cold engine. Returns false if it allows none now.
using cold_charge = std::function<bool(std::string_view engine, time_point now)>;

/// Adds an endpoint that the asking VM excludes. Endpoints that it excludes as cold have to be
/// added last.
void addExcluded(placement_question &question, std::uint32_t endpoint, exclusion reason);

/// Excludes a candidate of the scheduler that the question names as excluded, and a cold one if the
/// asking VM takes no grant there. The endpoint is the shortHash of the candidate's id.
void excludeForQuestion(endpoint_candidate &candidate, const placement_question &question,
                        std::uint32_t endpoint);

/// Returns whether a repeated question asks for another answer than the one that was given.
bool isSuperseded(const placement_answer &given, const placement_question &repeated);

/// Returns whether the asking VM may call on the grant now. The question is as it was sent last.
bool isUsableGrant(const placement_answer &grant, const placement_question &question,
                   time_point askedAt, time_point now);

/// Returns whether the grant allows a call at an endpoint with this exclusion at the asking VM.
bool allowsCall(const placement_answer &grant, exclusion reason);

} // namespace burdockhold

#endif
