#ifndef BURDOCKHOLD_CACHE_VIEW_H
#define BURDOCKHOLD_CACHE_VIEW_H

// What a few engines report to hold, followed from their cache events. For small sites only: at the
// target scale the events exceed a node's budget (docs/design.md, section 2.2). Placement uses the
// view where it is known and its own expectation elsewhere.
//
// By default all reported blocks are followed up to maxWatched; beyond it the blocks that were not
// asked for or added for longest are dropped, and their engines' missing blocks are unknown from
// then on. Without followAll only watched prefixes are followed: the upper levels of recent prompts
// and the prefixes that the caller finds hot. An event for another block then advances the sequence
// and is dropped, and a prefix is unknown from the time it is first watched until an event or a
// resync mentions it.
//
// Promises: events of an incarnation are applied in the order of their sequence numbers, each once.
// After a gap the engine is unknown until resync(). Events of an incarnation other than the last
// one begun are ignored, and a new incarnation starts with nothing. Account and weights version
// are part of the block hashes (prefix.h), so entries of others are never found.
//
// Memory: at most 64 engines and maxWatched prefixes of 24 bytes plus the table (about 400 KB at
// the default). Time: amortised constant for an event, linear in the levels for a prompt, linear in
// the watched prefixes for a resync or a new incarnation. Nothing here fails; results are typed.

#include "burdockhold/enum_names.h"
#include "burdockhold/prefix.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace burdockhold {

enum class cache_event_kind { Added, Evicted };

struct cache_event
{
    std::uint64_t sequence = 0; ///< Counts from 1 within an incarnation.
    cache_event_kind kind = cache_event_kind::Added;
    std::uint64_t block = 0; ///< Chained hash, as in prompt_prefix::levels.
};

enum class cache_event_outcome {
    Applied,
    Duplicate,     ///< Its sequence number was applied before.
    Gap,           ///< Earlier events are missing; the engine is unknown until a resync.
    Unknown,       ///< Ignored, because the engine waits for a resync.
    OtherInstance, ///< Of an incarnation that is dead or has not begun, or of an unknown engine.
};

template <>
struct enum_names<cache_event_outcome>
{
    static constexpr std::array<enum_name<cache_event_outcome>, 5> Table{ {
            { cache_event_outcome::Applied, "applied" },
            { cache_event_outcome::Duplicate, "duplicate" },
            { cache_event_outcome::Gap, "gap" },
            { cache_event_outcome::Unknown, "unknown" },
            { cache_event_outcome::OtherInstance, "other_instance" },
    } };
};

struct cache_view_options
{
    std::size_t maxWatched = 8192;
    std::size_t watchedLevels = 16; ///< Upper levels of a prompt that watch() follows.
    bool followAll = true;          ///< Whether blocks that nobody watches are followed too.
};

/// The cached part of a prompt on one engine.
struct cached_prefix
{
    std::int64_t tokens = 0; ///< Held for certain, by the events seen so far.
    bool exact = false;      ///< True when the next level is known to be missing, or there is none.
};

class cache_view
{
public:
    explicit cache_view(const cache_view_options &options = {});

    /// Begins a new incarnation, as the engine's load report names it. Everything about an earlier
    /// one is dropped. The same incarnation again changes nothing. The view is known from event 1
    /// or from a resync on. Returns false when 64 other engines are followed already.
    bool begin(std::uint64_t engine, std::uint64_t incarnation);

    /// Forgets an engine that has left.
    void remove(std::uint64_t engine);

    /// Follows the upper levels of the prompt.
    void watch(const prompt_prefix &prompt);

    /// Follows one prefix, for hot prefixes below the upper levels.
    void watch(std::uint64_t prefix);

    cache_event_outcome apply(std::uint64_t engine, std::uint64_t incarnation,
                              const cache_event &event);

    /// Replaces the view of an engine by the blocks it held after event lastSequence. A list older
    /// than the events already applied is ignored. Returns whether the list was used.
    bool resync(std::uint64_t engine, std::uint64_t incarnation, std::uint64_t lastSequence,
                const std::vector<std::uint64_t> &held);

    /// Returns whether events up to now are applied without a gap.
    bool isKnown(std::uint64_t engine, std::uint64_t incarnation) const;

    /// Returns the sequence number of the next event wanted, to ask the engine for; 0 when the
    /// engine must be asked for a full list.
    std::uint64_t nextSequence(std::uint64_t engine, std::uint64_t incarnation) const;

    /// Returns the tokens of the prompt that the engine's current incarnation holds.
    cached_prefix cachedTokens(const prompt_prefix &prompt, std::uint64_t engine,
                               std::uint64_t incarnation) const;

    std::size_t watched() const { return m_current.size() + m_previous.size(); }

private:
    enum class engine_state { New, Known, NeedsResync };

    struct followed_engine
    {
        std::uint64_t incarnation = 0;
        std::uint64_t lastSequence = 0;
        std::uint64_t bit = 0; ///< The engine's place in the masks of block_state.
        engine_state state = engine_state::New;
    };

    /// Masks of engines.
    struct block_state
    {
        std::uint64_t known = 0;
        std::uint64_t held = 0;
    };
    using block_map = std::unordered_map<std::uint64_t, block_state>;

    const followed_engine *find(std::uint64_t engine, std::uint64_t incarnation) const;
    block_state *findBlock(std::uint64_t block);
    const block_state *findBlock(std::uint64_t block) const;
    void setAll(std::uint64_t bit, bool known);
    void makeRoom();

    cache_view_options m_options;
    std::unordered_map<std::uint64_t, followed_engine> m_engines;
    std::uint64_t m_usedBits = 0;
    /// Engines whose blocks are all followed, so that any other block is known to be missing there.
    std::uint64_t m_complete = 0;
    /// Two generations, as in recent_requests.h; a prefix is in one of them only.
    block_map m_current;
    block_map m_previous;
};

} // namespace burdockhold

#endif
