#include "burdockhold/saved_parts.h"

#include "burdockhold/vm_digest.h"

#include <algorithm>

namespace burdockhold {

saved_parts::saved_parts(saved_parts_options options)
    : m_options(options)
{
}

bool saved_parts::isSaved(const std::string &part, time_point now) const
{
    const auto found = m_usedAt.find(shortHash(part));
    return found != m_usedAt.end() && now - found->second < m_options.lapse;
}

void saved_parts::save(const std::string &part, time_point now)
{
    const std::uint32_t hash = shortHash(part);
    peerSaved(hash, now);
    m_own.push_back({ hash, m_options.announcements });
}

void saved_parts::touch(const std::string &part, time_point now)
{
    const auto found = m_usedAt.find(shortHash(part));
    if (found != m_usedAt.end())
        found->second = now;
}

void saved_parts::peerSaved(std::uint32_t hash, time_point now)
{
    // A full table starts anew: parts are then saved once more.
    if (m_usedAt.size() >= m_options.maxParts)
        m_usedAt.clear();
    m_usedAt[hash] = now;
}

std::vector<std::uint32_t> saved_parts::nextAnnouncement()
{
    std::vector<std::uint32_t> hashes;
    for (announced_part &own : m_own) {
        hashes.push_back(own.hash);
        --own.left;
    }
    m_own.erase(std::remove_if(m_own.begin(), m_own.end(),
                               [](const announced_part &own) { return own.left <= 0; }),
                m_own.end());
    return hashes;
}

void saved_parts::clear()
{
    m_usedAt.clear();
    m_own.clear();
}

} // namespace burdockhold
