#ifndef BURDOCKHOLD_HEAT_H
#define BURDOCKHOLD_HEAT_H

// Measures how often prefixes are asked for. The sketch counts the most frequent prefixes of this
// VM's own traffic with exponential decay (the space-saving algorithm). A prefix that enters a full
// sketch takes over the smallest count as a possible error; readings never include that error, so a
// prefix is never thought hotter than it is on this VM.
//
// Memory: at most `capacity` entries, about 20 KB at the default of 256. Time: recording a prefix
// that is not yet counted scans all entries (below 1 us); everything else is a table lookup.

#include "burdockhold/clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace burdockhold {

struct heat_options
{
    std::size_t capacity = 256;
    duration halfLife = std::chrono::seconds(10);
    /// The level falls when the count is below this part of the level's lower limit, so that a
    /// count near a power of two does not move replicas back and forth.
    double hysteresis = 0.7;
};

/// One counted prefix, as copied between VMs. Counts are decayed to the time of the copy.
struct heat_entry
{
    std::uint64_t prefix = 0;
    double count = 0.0; ///< Decayed requests, including the possible error.
    double error = 0.0; ///< Part of the count that may belong to other prefixes.
    int level = 0;      ///< Power of two last settled on.
};

class heat_sketch
{
public:
    explicit heat_sketch(const heat_options &options = {});

    /// Counts one request for the prefix. Time never goes backwards between calls.
    void record(std::uint64_t prefix, time_point now);

    /// Returns the decayed number of requests that certainly were for the prefix; 0 if not counted.
    double count(std::uint64_t prefix, time_point now) const;

    /// Returns count() rounded down to a power of two with hysteresis; 0 below one request.
    double settledCount(std::uint64_t prefix, time_point now) const;

    /// Returns requests per second over all VMs, from this VM's count and the number of VMs that
    /// the load balancer spreads requests over.
    double ratePerSecond(std::uint64_t prefix, std::size_t vms, time_point now) const;

    /// Returns all entries decayed to `now`, most frequent first.
    std::vector<heat_entry> exportEntries(time_point now) const;

    /// Adds a peer's entries to this sketch and keeps the most frequent ones. Entries with counts
    /// that are negative or not finite are ignored.
    void importEntries(const std::vector<heat_entry> &entries, time_point now);

    std::size_t size() const { return m_entries.size(); }

private:
    /// Counts are kept multiplied by 2^(age of m_epoch / half-life), which makes decay free.
    double growth(time_point now) const;
    void rescale(time_point now);
    int settle(int level, double count) const;
    std::size_t smallest() const;

    heat_options m_options;
    std::vector<heat_entry> m_entries;
    std::unordered_map<std::uint64_t, std::size_t> m_index;
    time_point m_epoch{};
};

} // namespace burdockhold

#endif
