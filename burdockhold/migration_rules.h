#ifndef BURDOCKHOLD_MIGRATION_RULES_H
#define BURDOCKHOLD_MIGRATION_RULES_H

// Decides whether a repeatable call leaves its endpoint for another one. All functions are pure;
// the caller checks that another endpoint can take the call and that the retry budget allows it.
//
// Load patterns: an engine that has been ordered to load weights waits for its streams to end, and
// the pool waits for the engine; an endpoint stops responding without closing its connections; an
// operator evacuates a data centre, and all its streams have to move within a bound.

#include "burdockhold/clock.h"
#include "burdockhold/deployment.h"
#include "burdockhold/mechanisms.h"

#include <algorithm>

namespace burdockhold {

/// Streams migrate off an endpoint that has been draining or loading weights for this long. Short
/// responses end within this time of the order to load; the others may run for seconds more.
inline constexpr duration MinLoadingToMigrate = std::chrono::milliseconds(350);
/// A stream migrates off a loading endpoint only to one that is expected to send the next event
/// within the usual gap between events; stale weights are allowed.
inline constexpr double MaxMigrationMs = 450.0;
/// An engine that runs streams emits events every few milliseconds. It is silent during prefill,
/// usually for 240 ms, and for four times that on a slow engine.
inline constexpr duration MaxEngineSilence = std::chrono::milliseconds(1000);
/// An endpoint that is not an engine usually responds within its latency target.
inline constexpr duration MinServiceSilence = std::chrono::milliseconds(250);
inline constexpr int ServiceSilenceLatencyTargets = 2;

/// Part of the bound on an evacuation after which streams migrate.
inline constexpr double EvacuationProgressToMigrate = 0.4;

/// State of a call that may be repeated, and of its endpoint.
struct migration_facts
{
    duration loadingFor = duration::zero();    ///< The endpoint drains or loads; zero if not.
    duration silentFor = duration::zero();     ///< Since the endpoint's last byte to any VM.
    duration sinceProgress = duration::zero(); ///< Since the call's start or last complete event.
    int executionsLeft = 0; ///< Endpoints that may run the request, the current one included.
    int callsLeft = 0;
};

/// Returns how long a working endpoint may send nothing to any VM.
inline duration maxSilence(call_kind kind, duration latencyTarget)
{
    if (kind == call_kind::Stream)
        return MaxEngineSilence;
    return std::max<duration>(MinServiceSilence, ServiceSilenceLatencyTargets * latencyTarget);
}

inline bool canMigrate(const migration_facts &facts)
{
    return facts.executionsLeft >= 2 && facts.callsLeft > 0;
}

inline bool shouldLeaveLoading(const migration_facts &facts, const mechanism_set &mechanisms)
{
    return mechanisms.uses(mechanism::LoadingMigration) && facts.loadingFor >= MinLoadingToMigrate
           && canMigrate(facts);
}

/// Returns whether a resumable stream leaves a data centre that is evacuated. The progress is the
/// part of the bound on the evacuation that has passed, 0 if there is none. Short streams end by
/// themselves in the first part of the bound; the rest suffices to move the others at the pace of
/// the retry budget.
inline bool shouldLeaveEvacuated(const migration_facts &facts, call_kind kind, double progress)
{
    return kind == call_kind::Stream && progress >= EvacuationProgressToMigrate
           && canMigrate(facts);
}

inline bool shouldLeaveSilent(const migration_facts &facts, duration limit,
                              const mechanism_set &mechanisms)
{
    return mechanisms.uses(mechanism::SilenceMigration) && facts.sinceProgress >= limit
           && facts.silentFor >= limit && canMigrate(facts);
}

} // namespace burdockhold

#endif
