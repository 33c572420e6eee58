#include "burdockhold/stored_segments.h"

#include "burdockhold/vm_digest.h"

#include <algorithm>

namespace burdockhold {

stored_segments::stored_segments(stored_segments_options options)
    : m_options(options)
{
}

bool stored_segments::isStored(const std::string &segment, time_point now) const
{
    const auto found = m_usedAt.find(shortHash(segment));
    return found != m_usedAt.end() && now - found->second < m_options.entryLifetime;
}

bool stored_segments::areStored(const std::string &store, const std::vector<std::string> &segments,
                                time_point now) const
{
    return std::all_of(segments.begin(), segments.end(), [&](const std::string &segment) {
        return isStored(store + "/" + segment, now);
    });
}

void stored_segments::recordUse(const std::string &store, const std::vector<std::string> &segments,
                                bool beingSaved, time_point now)
{
    for (const std::string &segment : segments) {
        const std::string name = store + "/" + segment;
        if (isStored(name, now))
            touch(name, now);
        else if (beingSaved)
            save(name, now);
    }
}

void stored_segments::save(const std::string &segment, time_point now)
{
    const std::uint32_t hash = shortHash(segment);
    applyPeerStored(hash, now);
    m_own.push_back({ hash, m_options.announcements });
}

void stored_segments::touch(const std::string &segment, time_point now)
{
    const auto found = m_usedAt.find(shortHash(segment));
    if (found != m_usedAt.end())
        found->second = now;
}

void stored_segments::applyPeerStored(std::uint32_t hash, time_point now)
{
    // A full table is cleared; segments are then saved once more.
    if (m_usedAt.size() >= m_options.maxSegments)
        m_usedAt.clear();
    m_usedAt[hash] = now;
}

std::vector<std::uint32_t> stored_segments::nextAnnouncement()
{
    std::vector<std::uint32_t> hashes;
    for (announced_segment &own : m_own) {
        hashes.push_back(own.hash);
        --own.remaining;
    }
    m_own.erase(std::remove_if(m_own.begin(), m_own.end(),
                               [](const announced_segment &own) { return own.remaining <= 0; }),
                m_own.end());
    return hashes;
}

void stored_segments::clear()
{
    m_usedAt.clear();
    m_own.clear();
}

} // namespace burdockhold
