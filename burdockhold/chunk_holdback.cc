#include "burdockhold/chunk_holdback.h"

#include <algorithm>

namespace burdockhold {

namespace {

constexpr std::string_view ChunkEnd = "\r\n";

} // namespace

void chunk_holdback::chunkBegun(std::uint64_t size)
{
    m_complete = m_stated;
    m_stated += size;
}

void chunk_holdback::add(std::string_view bytes)
{
    m_held.append(bytes);
    m_added += bytes.size();
}

std::string chunk_holdback::take(std::string_view following)
{
    const bool lastIsComplete = m_added == m_stated
                                && following.substr(0, ChunkEnd.size()) == ChunkEnd;
    const std::uint64_t complete = lastIsComplete ? m_stated : m_complete;
    const auto incomplete = static_cast<std::size_t>(m_added - std::min(m_added, complete));
    std::string taken = m_held.substr(0, m_held.size() - std::min(incomplete, MaxHeldBytes));
    m_held.erase(0, taken.size());
    return taken;
}

} // namespace burdockhold
