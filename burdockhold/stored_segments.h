#ifndef BURDOCKHOLD_STORED_SEGMENTS_H
#define BURDOCKHOLD_STORED_SEGMENTS_H

// Tracks which shared prompt segments are in the segment store, from this VM's saves and those that
// the other VMs announce.
//
// The first VM that sends a segment to an engine requests that the engine saves it. The other VMs
// then have engines that lack the segment copy it from the store instead of recomputing it. The
// contents are a hint: a segment wrongly believed saved costs one miss, one wrongly believed
// missing is saved twice. An entry expires after entryLifetime without use, because the store
// evicts the least recently used segments. Memory is bounded by maxSegments.

#include "burdockhold/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdockhold {

struct stored_segments_options
{
    duration entryLifetime = std::chrono::seconds(20);
    int announcements = 3; ///< Digests that announce a segment, so that at least one arrives.
    std::size_t maxSegments = 20000;
};

class stored_segments
{
public:
    explicit stored_segments(stored_segments_options options = {});

    bool isStored(const std::string &segment, time_point now) const;

    /// Returns true if the store at this address holds all the segments, as far as this VM knows.
    bool areStored(const std::string &store, const std::vector<std::string> &segments,
                   time_point now) const;

    /// Records that a call uses the segments and, if beingSaved, saves those that are not stored.
    void recordUse(const std::string &store, const std::vector<std::string> &segments,
                   bool beingSaved, time_point now);

    /// Records that a call of this VM saves the segment.
    void save(const std::string &segment, time_point now);

    /// Records a use of the segment, after which the store keeps it longer.
    void touch(const std::string &segment, time_point now);

    /// Records that another VM has saved the segment with this hash.
    void applyPeerStored(std::uint32_t hash, time_point now);

    /// Returns the hashes of the segments that this VM has saved lately, for the next digest. Each
    /// call counts as one digest.
    std::vector<std::uint32_t> nextAnnouncement();

    /// Handles a store that has lost its contents.
    void clear();

private:
    struct announced_segment
    {
        std::uint32_t hash = 0;
        int remaining = 0; // Digests that will still announce it.
    };

    stored_segments_options m_options;
    std::unordered_map<std::uint32_t, time_point> m_usedAt;
    std::vector<announced_segment> m_own;
};

} // namespace burdockhold

#endif
