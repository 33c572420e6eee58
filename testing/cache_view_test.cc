#define BOOST_TEST_MODULE cache_view
#include <boost/test/unit_test.hpp>

#include "burdockhold/cache_view.h"

#include <map>
#include <random>
#include <set>

using namespace burdockhold;

namespace {

constexpr std::uint64_t Engine = 1;

prompt_prefix promptOf(std::vector<std::uint64_t> levels)
{
    prompt_prefix prompt;
    prompt.promptTokens = static_cast<std::int64_t>(levels.size()) * prompt.tokensPerBlock;
    prompt.levels = std::move(levels);
    return prompt;
}

cache_event added(std::uint64_t sequence, std::uint64_t block)
{
    return { sequence, cache_event_kind::Added, block };
}

/// An engine's true cache and the events it has published in its current incarnation.
struct reference_engine
{
    std::uint64_t incarnation = 1;
    std::set<std::uint64_t> held;
    std::vector<cache_event> events;

    void change(std::uint64_t block)
    {
        const bool evict = held.count(block) > 0;
        if (evict)
            held.erase(block);
        else
            held.insert(block);
        events.push_back({ events.size() + 1,
                           evict ? cache_event_kind::Evicted : cache_event_kind::Added, block });
    }

    std::set<std::uint64_t> heldAfter(std::uint64_t sequence) const
    {
        std::set<std::uint64_t> blocks;
        for (std::uint64_t i = 0; i < sequence; ++i) {
            if (events[i].kind == cache_event_kind::Added)
                blocks.insert(events[i].block);
            else
                blocks.erase(events[i].block);
        }
        return blocks;
    }
};

std::int64_t leadingTokens(const prompt_prefix &prompt, const std::set<std::uint64_t> &held)
{
    std::int64_t tokens = 0;
    for (std::uint64_t level : prompt.levels) {
        if (held.count(level) == 0)
            break;
        tokens += prompt.tokensPerBlock;
    }
    return tokens;
}

} // namespace

// Guards against any wrong answer under duplicated, lost and late events, resyncs and restarts:
// what the view says equals the engine's cache after the last event applied, or it says unknown.
BOOST_AUTO_TEST_CASE(viewMatchesReferenceUnderFaults)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        const std::size_t limit = seed % 4 < 2 ? 64 : 12; // Of 24 blocks that occur.
        cache_view view({ limit, 4, seed % 2 == 0 });
        std::map<std::uint64_t, reference_engine> engines;
        std::map<std::uint64_t, reference_engine> dead;
        for (std::uint64_t engine = 1; engine <= 3; ++engine) {
            engines[engine] = {};
            view.begin(engine, 1);
        }
        int exactAnswers = 0;
        for (int step = 0; step < 600; ++step) {
            const std::uint64_t name = 1 + random() % 3;
            reference_engine &engine = engines[name];
            switch (random() % 16) {
            case 0: // An event that may leave a gap.
                if (!engine.events.empty())
                    view.apply(name, engine.incarnation,
                               engine.events[random() % engine.events.size()]);
                break;
            case 1: {
                const std::uint64_t upTo = engine.events.size()
                                           - random() % 2
                                                     * std::min<std::size_t>(engine.events.size(),
                                                                             3);
                const auto held = engine.heldAfter(upTo);
                view.resync(name, engine.incarnation, upTo, { held.begin(), held.end() });
                break;
            }
            case 2:
                if (random() % 4 == 0) {
                    dead[name] = engine;
                    engine = { engine.incarnation + 1, {}, {} };
                    view.begin(name, engine.incarnation);
                }
                break;
            case 3: // A late event of the dead incarnation.
                if (dead.count(name) > 0 && !dead[name].events.empty()) {
                    const auto outcome = view.apply(name, dead[name].incarnation,
                                                    dead[name].events.front());
                    BOOST_REQUIRE(outcome == cache_event_outcome::OtherInstance);
                }
                break;
            case 4:
            case 5:
            case 6:
                engine.change(random() % 24);
                break;
            case 7:
                view.watch(promptOf({ random() % 24, random() % 24, random() % 24 }));
                break;
            default: { // The next events, in order, sometimes twice.
                const std::uint64_t next = view.nextSequence(name, engine.incarnation);
                if (next > 0 && next <= engine.events.size()) {
                    const cache_event &event = engine.events[next - 1];
                    BOOST_REQUIRE(view.apply(name, engine.incarnation, event)
                                  == cache_event_outcome::Applied);
                    if (random() % 4 == 0)
                        BOOST_REQUIRE(view.apply(name, engine.incarnation, event)
                                      == cache_event_outcome::Duplicate);
                }
            }
            }
            const prompt_prefix prompt = promptOf({ random() % 24, random() % 24, random() % 24 });
            const auto cached = view.cachedTokens(prompt, name, engine.incarnation);
            if (!view.isKnown(name, engine.incarnation)) {
                BOOST_REQUIRE(cached.tokens == 0);
                BOOST_REQUIRE(!cached.exact);
                continue;
            }
            const std::uint64_t applied = view.nextSequence(name, engine.incarnation) - 1;
            const std::int64_t expected = leadingTokens(prompt, engine.heldAfter(applied));
            if (cached.exact)
                BOOST_REQUIRE(cached.tokens == expected);
            else
                BOOST_REQUIRE(cached.tokens <= expected);
            exactAnswers += cached.exact ? 1 : 0;
        }
        // The view would be useless if it were nearly always unknown.
        BOOST_TEST(exactAnswers > 20);
    }
}

// Guards against a view that goes on after a lost event as if nothing were missing.
BOOST_AUTO_TEST_CASE(gapMakesTheEngineUnknownUntilResync)
{
    cache_view view;
    view.begin(Engine, 7);
    const prompt_prefix prompt = promptOf({ 10, 11 });
    view.watch(prompt);
    BOOST_TEST((view.apply(Engine, 7, added(1, 10)) == cache_event_outcome::Applied));
    BOOST_TEST(view.cachedTokens(prompt, Engine, 7).tokens == 2000);
    BOOST_TEST((view.apply(Engine, 7, added(3, 11)) == cache_event_outcome::Gap));
    BOOST_TEST(!view.isKnown(Engine, 7));
    BOOST_TEST(view.cachedTokens(prompt, Engine, 7).tokens == 0);
    BOOST_TEST((view.apply(Engine, 7, added(2, 11)) == cache_event_outcome::Unknown));
    BOOST_TEST(view.nextSequence(Engine, 7) == 0U);
    BOOST_TEST(view.resync(Engine, 7, 3, { 10, 11 }));
    BOOST_TEST(view.cachedTokens(prompt, Engine, 7).tokens == 4000);
}

// Guards against reliance on a dead engine's entries (invariant 1).
BOOST_AUTO_TEST_CASE(newIncarnationStartsWithNothing)
{
    cache_view view;
    const prompt_prefix prompt = promptOf({ 10 });
    view.watch(prompt);
    view.begin(Engine, 7);
    view.apply(Engine, 7, added(1, 10));
    view.begin(Engine, 8);
    BOOST_TEST(view.cachedTokens(prompt, Engine, 7).tokens == 0);
    BOOST_TEST(view.cachedTokens(prompt, Engine, 8).tokens == 0);
    BOOST_TEST((view.apply(Engine, 7, added(2, 10)) == cache_event_outcome::OtherInstance));
    BOOST_TEST(!view.resync(Engine, 7, 9, { 10 }));
    view.apply(Engine, 8, added(1, 11));
    BOOST_TEST(view.cachedTokens(prompt, Engine, 8).tokens == 0);
    BOOST_TEST(view.cachedTokens(prompt, Engine, 8).exact);
}

// Guards against reliance on another account's entries or on older weights (invariant 1).
BOOST_AUTO_TEST_CASE(entriesOfAnotherIdentityAreNotFound)
{
    const std::string text(8000, 'x');
    const auto own = cutPrompt(text, identitySeed({ "a", "m", "", "v2" }));
    for (const cache_identity &other :
         { cache_identity{ "b", "m", "", "v2" }, cache_identity{ "a", "m", "", "v1" } }) {
        cache_view view;
        view.begin(Engine, 1);
        view.watch(own);
        view.apply(Engine, 1, added(1, cutPrompt(text, identitySeed(other)).levels[0]));
        BOOST_TEST(view.cachedTokens(own, Engine, 1).tokens == 0);
    }
}

// Guards against memory that grows with events, prompts or engines.
BOOST_AUTO_TEST_CASE(viewIsBounded)
{
    for (bool followAll : { false, true }) {
        cache_view view({ 100, 4, followAll });
        for (std::uint64_t engine = 1; engine <= 64; ++engine)
            BOOST_TEST(view.begin(engine, 1));
        BOOST_TEST(!view.begin(65, 1));
        for (std::uint64_t i = 1; i <= 10000; ++i) {
            view.watch(promptOf({ i, i + 1, i + 2, i + 3, i + 4 }));
            view.apply(Engine, 1, added(i, i));
        }
        BOOST_TEST(view.watched() <= 100U);
        view.remove(3);
        BOOST_TEST(view.begin(65, 1));
    }
}
