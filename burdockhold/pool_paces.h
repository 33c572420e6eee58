#ifndef BURDOCKHOLD_POOL_PACES_H
#define BURDOCKHOLD_POOL_PACES_H

// The paces of one pool's engines, as the scheduler that places their calls observes them
// (placement_scheduler.h).
//
// Load pattern: single engines become 2.5 times slower for seconds at a time, and engines differ by
// a factor of 1.3 for good. One of 84 VMs has a first event of each engine every few seconds, which
// is too rarely to notice. The scheduler has those of all VMs, and knows the load of the engine
// when it placed the call.
//
// Promises:
// - A new incarnation, or new weights of a model, reset an engine's pace to the pool's. Samples of
//   calls that were granted before have no effect.
// - An engine that has not been listed for Retention, while others were, is forgotten.
// - Before minSamples (engine_pace.h) first events, candidates keep the paces that they came with.
// Nothing here fails. Time is constant for each engine; memory is bounded by the engines listed.

#include "burdockhold/clock.h"
#include "burdockhold/endpoint_choice.h"
#include "burdockhold/engine_pace.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdockhold {

/// Identifies an engine between two resets of its pace. 0 in generation: no engine.
struct paced_engine
{
    std::uint32_t hash = 0; ///< shortHash of its id.
    std::uint64_t generation = 0;
};

class pool_paces
{
public:
    /// An engine that is briefly absent from the list, as when two views of the log differ, keeps
    /// its pace.
    static constexpr duration Retention = std::chrono::seconds(2);

    explicit pool_paces(pace_options options = {});

    /// Begins a list of the pool's engines, also an empty one. apply() follows for each engine.
    void beginList(time_point now) { m_listedAt = now; }

    /// Notes the engine of a candidate, whose weights are those of the model, and sets the
    /// candidate's pace if that of the pool is known. The candidate must not outlive this object.
    void apply(endpoint_candidate &candidate, std::uint32_t hash, std::uint32_t model);

    /// Returns the engine for a sample of a call that is placed now.
    paced_engine engineOf(std::uint32_t hash) const;

    /// Records a sample, unless the engine was reset or forgotten since engineOf().
    void record(const paced_engine &engine, const pace_sample &sample, time_point now);

    /// Forgets the engines that have left the pool.
    void forgetAbsent();

    /// Returns how many times slower than its pool an engine is; 1 if it is not known.
    double slowness(std::uint32_t hash, time_point now) const;

    bool isKnown() const { return m_pace.isKnown(); }
    int samples() const { return m_pace.samples(); }
    std::size_t engines() const { return m_engines.size(); }

private:
    struct engine_row
    {
        engine_pace pace;
        std::uint64_t generation = 0;
        std::int64_t incarnation = 0;
        /// Known versions by model. An engine serves few models.
        std::vector<std::pair<std::uint32_t, std::int64_t>> weights;
        time_point listedAt;
    };

    void reset(engine_row &row, time_point now);
    static bool changesWeights(engine_row &row, std::uint32_t model, std::int64_t weights);

    pace_options m_options;
    engine_pace m_pace; // Of the pool.
    pace_line m_line;   // Of m_pace; changes with each sample.
    std::unordered_map<std::uint32_t, engine_row> m_engines;
    std::uint64_t m_lastGeneration = 0;
    time_point m_listedAt;
};

} // namespace burdockhold

#endif
