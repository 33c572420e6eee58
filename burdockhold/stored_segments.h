#ifndef BURDOCKHOLD_STORED_SEGMENTS_H
#define BURDOCKHOLD_STORED_SEGMENTS_H

// Which shared parts of prompts lie in the store of cached parts, as the VMs have told each other.
//
// The first VM that sends a part to an engine asks the engine to save it; the others then ask
// engines that lack it to copy it from the store instead of reading it again. The view is a hint: a
// part that is wrongly thought saved costs one miss, one wrongly thought missing is saved twice.
// An entry lapses after `lapse` without use, since the store drops what was used least recently.
// Memory is bounded by maxSegments.

#include "burdockhold/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdockhold {

struct stored_segments_options
{
    duration lapse = std::chrono::seconds(20);
    int announcements = 3; ///< Digests that tell of a part; one of them arrives.
    std::size_t maxSegments = 20000;
};

class stored_segments
{
public:
    explicit stored_segments(stored_segments_options options = {});

    bool isStored(const std::string &part, time_point now) const;

    /// The part is being saved by a call of this VM.
    void save(const std::string &part, time_point now);

    /// A part is in use again, so the store keeps it longer.
    void touch(const std::string &part, time_point now);

    /// Another VM has saved the part with this hash.
    void applyPeerStored(std::uint32_t hash, time_point now);

    /// Hashes of the parts that this VM has saved lately, for one digest.
    std::vector<std::uint32_t> nextAnnouncement();

    /// The store has lost everything.
    void clear();

private:
    struct announced_part
    {
        std::uint32_t hash = 0;
        int left = 0; // Digests that will tell of it.
    };

    stored_segments_options m_options;
    std::unordered_map<std::uint32_t, time_point> m_usedAt;
    std::vector<announced_part> m_own;
};

} // namespace burdockhold

#endif
