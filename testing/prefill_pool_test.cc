#define BOOST_TEST_MODULE prefill_pool
#include "burdockhold/endpoint_choice.h"
#include "burdockhold/prefill_rates.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <list>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

namespace {

/// Where the planner takes the engines' prefill rate from.
enum class rate_source { Fixed, Observed, Known };

struct pool_options
{
    double tokensPerMs = 12.0;
    int engines = 6;
    int slowEngines = 0; ///< They read at a third of the rate.
    int vms = 4;
    int slots = 32;
    int firstEventMs = 15; ///< Beyond the time to read the prompts.
    int decodeMs = 300;
    int digestMs = 100; ///< Interval at which VMs hear of each other's calls.
    double load = 1.1;  ///< Prompts that arrive, as a share of the prefill capacity.
    int lengthMs = 60000;
    rate_source source = rate_source::Observed;
};

/// Prompts of two kinds: urgent short ones, and long ones that may wait.
struct prompt
{
    bool urgent = false;
    std::int64_t tokens = 0;
    int arrivedAt = 0;
    int targetMs = 0; ///< Until the first event.
};

/// A call at an engine. Engines read prompts one after the other.
struct call
{
    prompt request;
    std::size_t vm = 0;
    prefill_call prefill;
    double leftTokens = 0.0;
    int readAt = -1; ///< When the prompt was read; negative before.
    bool hasFirstEvent = false;
};

time_point at(int ms)
{
    return time_point{} + std::chrono::milliseconds(1000000 + ms);
}

/// A pool and the VMs that send it requests. Time advances by a millisecond a step.
class emulated_pool
{
public:
    emulated_pool(const pool_options &options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
        , m_calls(static_cast<std::size_t>(options.engines))
    {
        for (int index = 0; index < options.engines; ++index)
            m_ids.push_back("e" + std::to_string(index));
        m_vms.resize(static_cast<std::size_t>(options.vms));
        for (vm &each : m_vms)
            each.others.assign(m_calls.size(), {});
    }

    /// Returns the share of the time's prompts that have a first event within their target.
    double servedShare()
    {
        for (m_now = 0; m_now < m_options.lengthMs; ++m_now) {
            if (m_now % m_options.digestMs == 0)
                exchangeDigests();
            arrive();
            for (std::size_t index = 0; index < m_calls.size(); ++index)
                stepEngine(index);
            for (std::size_t index = 0; index < m_vms.size(); ++index)
                placeWaiting(index);
        }
        return static_cast<double>(m_served) / static_cast<double>(m_arrived);
    }

    double rateInUse() const { return rateOf(m_vms.front()); }

private:
    struct engine_load
    {
        int running = 0;
        std::int64_t unreadTokens = 0;
    };
    struct vm
    {
        prefill_rates rates;
        std::list<prompt> waiting;
        std::vector<engine_load> others; // Of the other VMs, by their last digests.
    };

    void arrive()
    {
        // On average a prompt takes 80 ms to read: 40 ms of three quarters, 200 ms of the others.
        const double perMs = m_options.load * m_options.engines / 80.0;
        for (int count = std::poisson_distribution<int>(perMs)(m_random); count > 0; --count) {
            prompt made;
            made.urgent = m_random() % 4 != 0;
            const double ms = made.urgent ? 40.0 : 200.0;
            const double spread = std::uniform_real_distribution<double>(0.4, 1.6)(m_random);
            made.tokens = static_cast<std::int64_t>(ms * spread * m_options.tokensPerMs);
            made.arrivedAt = m_now;
            made.targetMs = made.urgent ? 300 : 3000;
            ++m_arrived;
            std::list<prompt> &waiting = m_vms[m_random() % m_vms.size()].waiting;
            const auto next = std::find_if(waiting.begin(), waiting.end(), [&](const prompt &p) {
                return made.urgent && !p.urgent;
            });
            waiting.insert(next, made);
        }
    }

    void stepEngine(std::size_t index)
    {
        const bool slow = static_cast<int>(index) < m_options.slowEngines;
        double budget = m_options.tokensPerMs / (slow ? 3.0 : 1.0);
        for (auto each = m_calls[index].begin(); each != m_calls[index].end();) {
            const double read = std::min(budget, each->leftTokens);
            each->leftTokens -= read;
            budget -= read;
            if (each->leftTokens <= 0.0 && each->readAt < 0)
                each->readAt = m_now;
            if (!each->hasFirstEvent && each->readAt >= 0
                && m_now >= each->readAt + m_options.firstEventMs)
                firstEvent(index, *each);
            const bool ended = each->hasFirstEvent && m_now >= each->readAt + m_options.decodeMs;
            each = ended ? m_calls[index].erase(each) : std::next(each);
        }
    }

    void firstEvent(std::size_t engine, call &done)
    {
        done.hasFirstEvent = true;
        m_served += m_now - done.request.arrivedAt <= done.request.targetMs ? 1 : 0;
        m_vms[done.vm].rates.prefillFinished("pool", m_ids[engine], done.prefill, at(m_now));
    }

    engine_load loadFrom(std::size_t engine, std::size_t vmIndex, bool own) const
    {
        engine_load sum;
        for (const call &each : m_calls[engine]) {
            if ((each.vm == vmIndex) != own)
                continue;
            ++sum.running;
            sum.unreadTokens += each.hasFirstEvent ? 0 : each.request.tokens;
        }
        return sum;
    }

    void exchangeDigests()
    {
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            for (std::size_t engine = 0; engine < m_calls.size(); ++engine)
                m_vms[index].others[engine] = loadFrom(engine, index, false);
            vm_digest digest;
            m_vms[index].rates.fillDigest(digest);
            for (std::size_t other = 0; other < m_vms.size(); ++other) {
                if (other != index)
                    m_vms[other].rates.applyPeerRows("vm" + std::to_string(index),
                                                     digest.prefillRates, at(m_now));
            }
            m_vms[index].rates.step("pool", m_calls.size(), at(m_now));
        }
    }

    double rateOf(const vm &from) const
    {
        if (m_options.source == rate_source::Known)
            return m_options.tokensPerMs;
        return m_options.source == rate_source::Observed
                       ? from.rates.tokensPerMs("pool")
                       : endpoint_choice_options{}.prefillTokensPerMs;
    }

    std::vector<endpoint_candidate> candidates(std::size_t vmIndex) const
    {
        std::vector<endpoint_candidate> found;
        for (std::size_t engine = 0; engine < m_calls.size(); ++engine) {
            const engine_load own = loadFrom(engine, vmIndex, true);
            const engine_load &others = m_vms[vmIndex].others[engine];
            endpoint_candidate candidate;
            candidate.id = m_ids[engine];
            candidate.slots = m_options.slots;
            candidate.running = own.running + others.running;
            candidate.pendingPrefillTokens = own.unreadTokens + others.unreadTokens;
            found.push_back(candidate);
        }
        return found;
    }

    void placeWaiting(std::size_t vmIndex)
    {
        vm &from = m_vms[vmIndex];
        from.waiting.remove_if(
                [this](const prompt &p) { return m_now - p.arrivedAt > p.targetMs; });
        endpoint_choice_options options;
        options.prefillTokensPerMs = rateOf(from);
        options.usePreferred = false;
        while (!from.waiting.empty()) {
            const prompt request = from.waiting.front();
            const auto engines = candidates(vmIndex);
            placement_need need;
            need.affinityKey = "pool";
            need.unsharedTokens = request.tokens;
            need.promptTokens = request.tokens;
            const auto choice = chooseEndpoint(engines, need, m_random(), options);
            if (!choice)
                return;
            from.waiting.pop_front();
            const prefill_call prefill{ at(m_now), engines[choice->index].pendingPrefillTokens,
                                        request.tokens, false };
            m_calls[choice->index].push_back(
                    { request, vmIndex, prefill, static_cast<double>(request.tokens), -1, false });
        }
    }

    pool_options m_options;
    std::mt19937_64 m_random;
    std::vector<std::string> m_ids;
    std::vector<std::list<call>> m_calls; // By engine, in order of arrival.
    std::vector<vm> m_vms;
    int m_now = 0;
    int m_arrived = 0;
    int m_served = 0;
};

double servedShare(pool_options options, rate_source source, std::uint64_t seed)
{
    options.source = source;
    emulated_pool pool(options, seed);
    const double share = pool.servedShare();
    BOOST_TEST_MESSAGE(options.tokensPerMs << " tokens/ms, source " << static_cast<int>(source)
                                           << ", seed " << seed << ": served " << share
                                           << ", rate in use " << pool.rateInUse());
    return share;
}

void checkPool(const pool_options &options)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const double fixed = servedShare(options, rate_source::Fixed, seed);
        const double observed = servedShare(options, rate_source::Observed, seed);
        const double known = servedShare(options, rate_source::Known, seed);
        BOOST_TEST(observed >= known - 0.02);
        BOOST_TEST(observed >= fixed + 0.05);
    }
}

} // namespace

// Guards against urgent prompts that wait behind a second of work at engines which read slowly.
BOOST_AUTO_TEST_CASE(slowPoolIsServedAsWithItsRateKnown)
{
    pool_options options;
    options.tokensPerMs = 12.0;
    checkPool(options);
}

// Guards against fast engines that stay idle while their reported work is long done.
BOOST_AUTO_TEST_CASE(fastPoolIsServedAsWithItsRateKnown)
{
    pool_options options;
    options.tokensPerMs = 300.0;
    checkPool(options);
}
