#ifndef BURDOCKHOLD_DECISION_OPTIONS_H
#define BURDOCKHOLD_DECISION_OPTIONS_H

// Options of the decision modules for a set of mechanisms. A mechanism that only weighs or bounds a
// decision is switched off here, by the option's neutral value; the others are switched off where
// they decide. The function is pure.

#include "burdockhold/endpoint_choice.h"
#include "burdockhold/endpoint_table.h"
#include "burdockhold/engine_lanes.h"
#include "burdockhold/mechanisms.h"
#include "burdockhold/placement_scheduler.h"
#include "burdockhold/quota_ledger.h"
#include "burdockhold/segment_transfer.h"
#include "burdockhold/weights_rollout.h"

namespace burdockhold {

struct decision_options
{
    endpoint_choice_options choice;
    engine_lane_options lanes;
    endpoint_table_options endpoints;
    scheduler_options scheduler;
    segment_transfer_options transfers;
    rollout_options rollout;
    /// Of account limits and retry slack; the board adds what differs between limits.
    quota_ledger_options sharedLimits;
};

decision_options optionsFor(const mechanism_set &mechanisms);

} // namespace burdockhold

#endif
