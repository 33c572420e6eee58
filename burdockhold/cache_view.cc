#include "burdockhold/cache_view.h"

#include <algorithm>
#include <iterator>

namespace burdockhold {

cache_view::cache_view(const cache_view_options &options)
    : m_options(options)
{
}

bool cache_view::begin(std::uint64_t engine, std::uint64_t incarnation)
{
    const auto found = m_engines.find(engine);
    if (found != m_engines.end()) {
        if (found->second.incarnation == incarnation)
            return true;
        found->second = { incarnation, 0, found->second.bit, engine_state::New };
        setAll(found->second.bit, false);
        return true;
    }
    const std::uint64_t bit = ~m_usedBits & (m_usedBits + 1);
    if (bit == 0)
        return false;
    m_usedBits |= bit;
    m_engines.emplace(engine, followed_engine{ incarnation, 0, bit, engine_state::New });
    setAll(bit, false);
    return true;
}

void cache_view::remove(std::uint64_t engine)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return;
    setAll(found->second.bit, false);
    m_usedBits &= ~found->second.bit;
    m_engines.erase(found);
}

void cache_view::watch(const prompt_prefix &prompt)
{
    const std::size_t levels = std::min(prompt.levels.size(), m_options.watchedLevels);
    for (std::size_t level = 0; level < levels; ++level)
        watch(prompt.levels[level]);
}

void cache_view::watch(std::uint64_t prefix)
{
    if (m_current.count(prefix) > 0)
        return;
    block_state state{ m_complete, 0 };
    const auto older = m_previous.find(prefix);
    if (older != m_previous.end()) {
        state = older->second;
        m_previous.erase(older);
    }
    if (m_current.size() >= std::max<std::size_t>(m_options.maxWatched / 2, 1))
        makeRoom();
    m_current.emplace(prefix, state);
}

void cache_view::makeRoom()
{
    if (m_options.followAll) {
        // A block that no engine holds says no more than its absence does.
        for (block_map *map : { &m_current, &m_previous }) {
            for (auto block = map->begin(); block != map->end();)
                block = block->second.held == 0 ? map->erase(block) : std::next(block);
        }
        // Less than a quarter freed would make this scan frequent.
        if (m_current.size() < m_options.maxWatched * 3 / 8)
            return;
    }
    for (const auto &[hash, block] : m_previous)
        m_complete &= ~block.held;
    m_previous = std::move(m_current);
    m_current.clear();
}

cache_event_outcome cache_view::apply(std::uint64_t engine, std::uint64_t incarnation,
                                      const cache_event &event)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || found->second.incarnation != incarnation)
        return cache_event_outcome::OtherInstance;
    followed_engine &from = found->second;
    if (from.state == engine_state::NeedsResync)
        return cache_event_outcome::Unknown;
    if (event.sequence <= from.lastSequence)
        return cache_event_outcome::Duplicate;
    if (event.sequence != from.lastSequence + 1) {
        from.state = engine_state::NeedsResync;
        setAll(from.bit, false);
        return cache_event_outcome::Gap;
    }
    if (from.state == engine_state::New) {
        // Before its first event an incarnation holds nothing, so every prefix is known.
        from.state = engine_state::Known;
        setAll(from.bit, true);
    }
    from.lastSequence = event.sequence;
    if (m_options.followAll && event.kind == cache_event_kind::Added)
        watch(event.block);
    if (block_state *block = findBlock(event.block)) {
        block->known |= from.bit;
        if (event.kind == cache_event_kind::Added)
            block->held |= from.bit;
        else
            block->held &= ~from.bit;
    }
    return cache_event_outcome::Applied;
}

bool cache_view::resync(std::uint64_t engine, std::uint64_t incarnation, std::uint64_t lastSequence,
                        const std::vector<std::uint64_t> &held)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || found->second.incarnation != incarnation)
        return false;
    followed_engine &from = found->second;
    // After a gap events beyond lastSequence may exist, but none of them was applied.
    if (from.lastSequence > lastSequence)
        return false;
    from.state = engine_state::Known;
    from.lastSequence = lastSequence;
    setAll(from.bit, true);
    for (std::uint64_t hash : held) {
        if (m_options.followAll)
            watch(hash);
        if (block_state *block = findBlock(hash))
            block->held |= from.bit;
    }
    return true;
}

bool cache_view::isKnown(std::uint64_t engine, std::uint64_t incarnation) const
{
    const followed_engine *from = find(engine, incarnation);
    return from != nullptr && from->state == engine_state::Known;
}

std::uint64_t cache_view::nextSequence(std::uint64_t engine, std::uint64_t incarnation) const
{
    const followed_engine *from = find(engine, incarnation);
    if (from == nullptr || from->state == engine_state::NeedsResync)
        return 0;
    return from->lastSequence + 1;
}

cached_prefix cache_view::cachedTokens(const prompt_prefix &prompt, std::uint64_t engine,
                                       std::uint64_t incarnation) const
{
    cached_prefix cached;
    const followed_engine *from = find(engine, incarnation);
    if (from == nullptr || from->state != engine_state::Known)
        return cached;
    for (std::uint64_t level : prompt.levels) {
        const block_state *block = findBlock(level);
        const std::uint64_t known = block == nullptr ? m_complete : block->known;
        if ((known & from->bit) == 0)
            return cached;
        if (block == nullptr || (block->held & from->bit) == 0)
            break;
        cached.tokens += prompt.tokensPerBlock;
    }
    cached.exact = true;
    return cached;
}

const cache_view::followed_engine *cache_view::find(std::uint64_t engine,
                                                    std::uint64_t incarnation) const
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || found->second.incarnation != incarnation)
        return nullptr;
    return &found->second;
}

cache_view::block_state *cache_view::findBlock(std::uint64_t block)
{
    for (block_map *map : { &m_current, &m_previous }) {
        const auto found = map->find(block);
        if (found != map->end())
            return &found->second;
    }
    return nullptr;
}

const cache_view::block_state *cache_view::findBlock(std::uint64_t block) const
{
    return const_cast<cache_view *>(this)->findBlock(block);
}

void cache_view::setAll(std::uint64_t bit, bool known)
{
    m_complete = known && m_options.followAll ? m_complete | bit : m_complete & ~bit;
    for (block_map *map : { &m_current, &m_previous }) {
        for (auto &[hash, block] : *map) {
            block.held &= ~bit;
            block.known = known ? block.known | bit : block.known & ~bit;
        }
    }
}

} // namespace burdockhold
