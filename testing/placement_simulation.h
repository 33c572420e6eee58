#ifndef BURDOCKHOLD_TESTING_PLACEMENT_SIMULATION_H
#define BURDOCKHOLD_TESTING_PLACEMENT_SIMULATION_H

// Event simulation of VMs that place prompts on engines. Traffic: 5 accounts with nested prefixes
// (system prompt, dossier family, document, turns of a conversation), two very hot documents, a hot
// set that shifts every 30 s, Poisson arrivals spread over the VMs at random. Engines: first-in
// first-out prefill, a decode batch that slows prefill, an LRU cache of whole blocks. Load reports
// are taken every 250 ms and arrive 250 ms later. Deterministic for a seed.

#include "burdockhold/enum_names.h"
#include "burdockhold/placement.h"

#include <array>
#include <cstdint>
#include <vector>

namespace burdockhold::testing {

enum class placement_policy {
    RoundRobin,
    LeastLoaded,
    FirstBlock,
    WholePrefix,
    Burdockhold,
    CacheEvents, ///< The same with every VM following cache events.
    Omniscient
};

} // namespace burdockhold::testing

namespace burdockhold {

template <>
struct enum_names<testing::placement_policy>
{
    static constexpr std::array<enum_name<testing::placement_policy>, 7> Table{ {
            { testing::placement_policy::RoundRobin, "round_robin" },
            { testing::placement_policy::LeastLoaded, "least_loaded" },
            { testing::placement_policy::FirstBlock, "first_block" },
            { testing::placement_policy::WholePrefix, "whole_prefix" },
            { testing::placement_policy::Burdockhold, "burdockhold" },
            { testing::placement_policy::CacheEvents, "cache_events" },
            { testing::placement_policy::Omniscient, "omniscient" },
    } };
};

} // namespace burdockhold

namespace burdockhold::testing {

struct simulation_options
{
    placement_policy policy = placement_policy::Burdockhold;
    std::size_t engines = 9;
    std::size_t vms = 8;
    double requestsPerSecond = 20.0;
    std::uint64_t seed = 1;
    double warmSeconds = 60.0;     ///< Not measured.
    double measuredSeconds = 60.0; ///< Arrivals counted in the report.
    double crashAt = -1.0;         ///< Engine 0 loses its cache and is down for 5 s; below 0 never.
    double restartAt = -1.0;       ///< All VMs restart; below 0 never.
    bool copyHeat = true;          ///< Heat is copied from a peer at the restart.
    std::size_t cacheBlocks = 400; ///< Per engine.
    placement_options placement;
    heat_options heat;
    recent_options recent;
    rendezvous_weight_options loadWeights;
};

struct token_counts
{
    double prompt = 0.0;
    double cached = 0.0;

    double hitRate() const { return prompt > 0.0 ? cached / prompt : 0.0; }
};

struct simulation_report
{
    std::size_t requests = 0;
    double promptTokens = 0.0;
    double cachedTokens = 0.0;
    double recomputedTokens = 0.0; ///< Computed although some engine had computed them before.
    double p50Seconds = 0.0;       ///< Time to first token.
    double p99Seconds = 0.0;
    double utilisation = 0.0;          ///< Part of the time that engines computed prompts.
    double cacheEventsPerSecond = 0.0; ///< Published by all engines together.
    token_counts beforeRestart;        ///< Of measured requests that arrived before restartAt.
    token_counts afterRestart;         ///< Of the 100 requests that arrived first after restartAt.

    double hitRate() const { return promptTokens > 0.0 ? cachedTokens / promptTokens : 0.0; }
};

/// Runs one simulation.
simulation_report simulatePlacement(const simulation_options &options);

/// Returns the rate of requests at which the omniscient placement keeps engines busy for this part
/// of the time, by bisection over runs with options' seed.
double rateForUtilisation(simulation_options options, double utilisation);

} // namespace burdockhold::testing

#endif
