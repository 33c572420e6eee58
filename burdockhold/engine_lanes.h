#ifndef BURDOCKHOLD_ENGINE_LANES_H
#define BURDOCKHOLD_ENGINE_LANES_H

// Divides the engines of a large pool between short and long prompts (size-based task assignment).
//
// Load pattern: many VMs place short, urgent prompts and long ones in the same pool. A long prompt
// occupies its engine's prefill for 100 to 200 ms, and a short prompt behind it is late, although
// most engines are idle. A VM cannot avoid such engines: its view of the other VMs' placements is
// some hundred milliseconds old, as old as the prefill takes.
//
// Promises:
// - Every VM assigns an engine to the same lane without exchanging more than the pool's demand: the
//   engines are ranked by a hash, and the short lane is the first part of the ranking. If two VMs
//   disagree on the demand, they disagree on the engines next to the boundary only.
// - The lanes are a preference. An engine of the other lane is used when the own lane is full, or
// so
//   busy that the other lane is expected to be faster even with a penalty.
// - A pool below minEngines, or with demand of one kind only, is not divided.
// Nothing here fails. Time is linear in the number of engines; memory is constant for a pool.

#include "burdockhold/clock.h"
#include "burdockhold/endpoint_choice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

struct engine_lane_options
{
    /// Smaller pools have few VMs, whose views are fresh, and lose too much by a division.
    std::size_t minEngines = 17;
    /// A prompt is long if an engine takes longer to prefill it than this share of the shortest
    /// latency target among the pool's routes.
    double longShareOfTarget = 0.25;
    double prefillTokensPerMs = 50.0;
    /// Work of an output token, in prompt tokens: each takes a step of its own.
    double outputTokenWeight = 6.0;
    /// The short lane gets this multiple of its share of the work, since its prompts are urgent.
    double shortLaneWeight = 1.5;
    double maxShortShare = 0.5; ///< Of the pool's engines.
    /// Below this share of the work, either kind uses the whole pool.
    double minWorkShare = 0.03;
    duration halfLife = std::chrono::seconds(10);  ///< Decay of the observed demand.
    duration peerExpiry = std::chrono::seconds(5); ///< Of what another VM has stated.
    /// Demand that is assumed before any is observed, in tokens, divided evenly.
    double priorTokens = 20000.0;
};

/// Work of a pool's requests by kind, decayed, in prompt tokens.
struct lane_work
{
    double shortTokens = 0.0;
    double longTokens = 0.0;
};

/// Demand of one pool: what this VM observes, and what the other VMs have stated in digests. Memory
/// is linear in the number of VMs and data centres that state it.
class lane_demand
{
public:
    explicit lane_demand(engine_lane_options options = {})
        : m_options(options)
    {
    }

    /// Counts a request at its first placement.
    void record(engine_lane kind, const placement_need &need, time_point now);

    /// Returns the work at this VM.
    lane_work ownWork(time_point now) const;

    /// Replaces what the VM or the data centre stated before. A statement counts until it is
    /// peerExpiry old.
    void applyPeerWork(const std::string &peer, const lane_work &work, time_point now);

    /// Returns the work at all VMs.
    lane_work totalWork(time_point now) const;

private:
    struct peer_work
    {
        lane_work work;
        time_point at;
    };

    engine_lane_options m_options;
    lane_work m_own;
    time_point m_ownAt;
    std::map<std::string, peer_work> m_peers;
};

/// Returns the kind of a prompt, by the shortest latency target of the pool's streaming routes.
engine_lane laneOf(std::int64_t promptTokens, duration shortestTarget,
                   const engine_lane_options &options);

/// Returns the share of the pool's engines that the short lane gets; 0 if the pool is not divided.
double shortLaneShare(const lane_work &work, std::size_t engines,
                      const engine_lane_options &options);

/// Assigns each candidate its lane. With a share of 0, all candidates take any prompt.
void assignLanes(std::vector<endpoint_candidate> &candidates, double shortShare);

} // namespace burdockhold

#endif
