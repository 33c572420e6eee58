#include "testing/placement_simulation.h"

#include "burdockhold/hash.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <numeric>
#include <queue>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace burdockhold::testing {
namespace {

constexpr std::int64_t BlockTokens = 2000;
constexpr double PrefillTokensPerSecond = 20000.0;
constexpr std::size_t MaxBatch = 64;
constexpr double DecodeSlowdown = 0.5; ///< Prefill rate lost with a full decode batch.
constexpr double SecondsPerToken = 0.02;
constexpr double ReportInterval = 0.25;
constexpr double ReportLag = 0.25;
constexpr double EngineDownSeconds = 5.0;
constexpr double HotShiftSeconds = 30.0;
constexpr std::uint64_t PoolKey = 0x706f6f6c;

time_point at(double seconds)
{
    return time_point(fromSeconds(seconds));
}

/// Least recently used set of block hashes.
class block_cache
{
public:
    explicit block_cache(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    bool contains(std::uint64_t block) const { return m_places.count(block) > 0; }

    void touch(std::uint64_t block)
    {
        const auto found = m_places.find(block);
        if (found != m_places.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            return;
        }
        publish(cache_event_kind::Added, block);
        m_order.push_front(block);
        m_places.emplace(block, m_order.begin());
        if (m_order.size() > m_capacity) {
            publish(cache_event_kind::Evicted, m_order.back());
            m_places.erase(m_order.back());
            m_order.pop_back();
        }
    }

    /// All events since the start, in order.
    const std::vector<cache_event> &events() const { return m_events; }

private:
    void publish(cache_event_kind kind, std::uint64_t block)
    {
        m_events.push_back({ m_events.size() + 1, kind, block });
    }

    std::vector<cache_event> m_events;
    std::size_t m_capacity;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

struct request
{
    prompt_prefix prompt;
    double arrivedAt = 0.0;
    std::size_t vm = 0;
    std::size_t ordinal = 0; ///< Position in the order of arrival.
    double outputTokens = 0.0;
    placement_candidate expectation;
    double estimatedTokens = 0.0; ///< Missing tokens when it was queued.
    std::vector<std::uint64_t> excluded;
};

struct engine
{
    explicit engine(std::size_t capacity)
        : cache(capacity)
    {
    }

    block_cache cache;
    std::deque<request> queue;
    bool busy = false;
    bool down = false;
    request current;
    double currentCached = 0.0;
    double startedAt = 0.0;
    double finishesAt = 0.0;
    std::size_t running = 0;
    std::uint64_t incarnation = 1;
    double queuedEstimate = 0.0;
    std::unordered_map<std::uint64_t, int> pending; ///< Blocks of queued and current requests.

    /// Tokens that will be cached when a request queued now is computed.
    double cachedTokens(const prompt_prefix &prompt) const
    {
        std::size_t level = 0;
        while (level < prompt.levels.size()
               && (cache.contains(prompt.levels[level]) || pending.count(prompt.levels[level]) > 0))
            ++level;
        return static_cast<double>(level) * BlockTokens;
    }

    double queuedTokens(double now) const
    {
        return queuedEstimate
               + (busy ? std::max(0.0, finishesAt - now) * PrefillTokensPerSecond : 0.0);
    }
};

/// What one VM keeps.
struct vm
{
    vm(const simulation_options &options)
        : heat(options.heat)
        , recent(options.recent)
        , loadWeights(options.loadWeights)
    {
    }

    heat_sketch heat;
    recent_requests recent;
    rendezvous_weights loadWeights;
    cache_view cache;
    std::size_t nextEndpoint = 0;
};

struct session
{
    std::vector<std::uint64_t> levels;
    int turnsLeft = 0;
};

std::vector<double> zipfWeights(std::size_t count, double exponent)
{
    std::vector<double> weights;
    for (std::size_t i = 0; i < count; ++i)
        weights.push_back(1.0 / std::pow(static_cast<double>(i + 1), exponent));
    return weights;
}

/// Makes prompts. Each account has 3 system prompts; families belong to one of them.
class traffic
{
public:
    traffic(std::size_t engines, std::uint64_t seed)
        : m_random(seed)
        , m_families(engines > 4 ? 12 : 6)
        , m_openAtOneHalf(4.5 * static_cast<double>(engines))
    {
        for (std::vector<std::size_t> &ranks : m_ranks) {
            ranks.resize(m_families);
            std::iota(ranks.begin(), ranks.end(), 0);
            std::shuffle(ranks.begin(), ranks.end(), m_random);
        }
    }

    /// Makes another part of the families hot.
    void shift()
    {
        std::vector<std::size_t> &ranks = m_ranks[m_random() % m_ranks.size()];
        std::shuffle(ranks.begin(), ranks.end(), m_random);
        ++m_hotShift;
    }

    request next(double now)
    {
        // Conversations have 3 turns on average, so about 9 are open for each engine.
        const double open = static_cast<double>(m_sessions.size());
        const bool continues = uniform() < open / (open + m_openAtOneHalf);
        std::size_t position = m_sessions.size();
        if (continues) {
            position = m_random() % m_sessions.size();
        } else {
            m_sessions.push_back(newSession());
        }
        session &turn = m_sessions[position];
        extend(turn.levels, m_random(), m_random() % 2);
        request made;
        made.prompt.levels = turn.levels;
        made.prompt.tokensPerBlock = BlockTokens;
        made.prompt.promptTokens = static_cast<std::int64_t>(turn.levels.size() * BlockTokens + 100
                                                             + m_random() % 1800);
        made.arrivedAt = now;
        made.outputTokens = 50.0 + static_cast<double>(m_random() % 250);
        if (--turn.turnsLeft <= 0) {
            std::swap(m_sessions[position], m_sessions.back());
            m_sessions.pop_back();
        }
        return made;
    }

    double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }
    double exponential(double rate)
    {
        return std::exponential_distribution<double>(rate)(m_random);
    }
    std::size_t below(std::size_t limit) { return m_random() % limit; }

private:
    static void extend(std::vector<std::uint64_t> &levels, std::uint64_t name, std::size_t blocks)
    {
        for (std::size_t i = 0; i < blocks; ++i)
            levels.push_back(combineHash(levels.empty() ? 0 : levels.back(), name + i));
    }

    session newSession()
    {
        static constexpr std::array<double, Accounts> Shares{ 0.4, 0.3, 0.15, 0.1, 0.05 };
        std::size_t account = std::discrete_distribution<std::size_t>(Shares.begin(),
                                                                      Shares.end())(m_random);
        const auto weights = zipfWeights(m_families, 1.0);
        const auto documents = zipfWeights(Documents, 0.8);
        std::size_t family = m_ranks[account][std::discrete_distribution<std::size_t>(
                weights.begin(), weights.end())(m_random)];
        std::size_t document = std::discrete_distribution<std::size_t>(documents.begin(),
                                                                       documents.end())(m_random);
        if (uniform() < 0.15) {
            account = (m_hotShift + m_random() % 2) % Accounts;
            family = m_hotShift % m_families;
            document = 0;
        }
        session made;
        extend(made.levels, account * 16 + family % 3, 1 + account % 2);
        extend(made.levels, 1000 + family, 1 + family % 3);
        extend(made.levels, 2000 + document, 2 + (family * 5 + document * 3) % 5);
        made.turnsLeft = 1 + static_cast<int>(m_random() % 5);
        return made;
    }

    static constexpr std::size_t Accounts = 5;
    static constexpr std::size_t Documents = 8;

    std::mt19937_64 m_random;
    std::size_t m_families;
    double m_openAtOneHalf;
    std::array<std::vector<std::size_t>, Accounts> m_ranks;
    std::vector<session> m_sessions;
    std::size_t m_hotShift = 0;
};

enum class event_kind {
    Arrival,
    PrefillDone,
    DecodeDone,
    ReportTaken,
    ReportSeen,
    Crash,
    EngineUp,
    Restart,
    HotShift
};

struct event
{
    double time;
    std::uint64_t order;
    event_kind kind;
    std::size_t engine;
    std::uint64_t incarnation;
    double queuedTokens;     ///< Of ReportSeen.
    std::size_t cacheEvents; ///< Of ReportSeen: number published by then.

    bool operator>(const event &other) const
    {
        return time != other.time ? time > other.time : order > other.order;
    }
};

class simulation
{
public:
    explicit simulation(const simulation_options &options)
        : m_options(options)
        , m_traffic(options.engines, options.seed)
        , m_engines(options.engines, engine(options.cacheBlocks))
        , m_vms(options.vms, vm(options))
    {
        for (std::size_t i = 0; i < options.engines; ++i) {
            placement_endpoint endpoint;
            endpoint.name = "engine-" + std::to_string(i);
            endpoint.key = endpointKey(endpoint.name);
            endpoint.incarnation = 1;
            endpoint.prefillTokensPerSecond = PrefillTokensPerSecond;
            m_endpoints.push_back(endpoint);
            schedule(ReportInterval * static_cast<double>(i) / static_cast<double>(options.engines),
                     event_kind::ReportTaken, i);
        }
        m_end = options.warmSeconds + options.measuredSeconds;
        schedule(m_traffic.exponential(options.requestsPerSecond), event_kind::Arrival);
        schedule(HotShiftSeconds, event_kind::HotShift);
        if (options.crashAt >= 0.0)
            schedule(options.crashAt, event_kind::Crash);
        if (options.restartAt >= 0.0)
            schedule(options.restartAt, event_kind::Restart);
    }

    simulation_report run()
    {
        while (!m_events.empty() && m_events.top().time < m_end + DrainSeconds) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.time;
            handle(next);
        }
        return finish();
    }

private:
    static constexpr double DrainSeconds = 60.0;

    void schedule(double time, event_kind kind, std::size_t engine = 0,
                  std::uint64_t incarnation = 0, double queuedTokens = 0.0,
                  std::size_t cacheEvents = 0)
    {
        m_events.push({ time, ++m_order, kind, engine, incarnation, queuedTokens, cacheEvents });
    }

    void handle(const event &next)
    {
        switch (next.kind) {
        case event_kind::Arrival:
            return arrive();
        case event_kind::PrefillDone:
            return prefillDone(next);
        case event_kind::DecodeDone:
            return decodeDone(next);
        case event_kind::ReportTaken:
            return takeReport(next.engine);
        case event_kind::ReportSeen:
            return seeReport(next);
        case event_kind::Crash:
            return crash();
        case event_kind::EngineUp:
            return engineUp();
        case event_kind::Restart:
            return restart();
        case event_kind::HotShift:
            m_traffic.shift();
            return schedule(m_now + HotShiftSeconds, event_kind::HotShift);
        }
    }

    bool placesByPrefix() const
    {
        return m_options.policy == placement_policy::Burdockhold
               || m_options.policy == placement_policy::CacheEvents;
    }

    void arrive()
    {
        if (m_now >= m_end)
            return;
        schedule(m_now + m_traffic.exponential(m_options.requestsPerSecond), event_kind::Arrival);
        request made = m_traffic.next(m_now);
        made.vm = m_traffic.below(m_vms.size());
        made.ordinal = ++m_arrivals;
        if (placesByPrefix())
            recordHeat(m_vms[made.vm].heat, made.prompt, PoolKey, at(m_now));
        dispatch(std::move(made));
    }

    void dispatch(request sent)
    {
        const std::size_t chosen = choose(sent);
        engine &target = m_engines[chosen];
        sent.estimatedTokens = static_cast<double>(sent.prompt.promptTokens)
                               - target.cachedTokens(sent.prompt);
        target.queuedEstimate += sent.estimatedTokens;
        for (std::uint64_t level : sent.prompt.levels)
            ++target.pending[level];
        target.queue.push_back(std::move(sent));
        startNext(chosen);
    }

    placement_view viewOf(const vm &from) const
    {
        placement_view view;
        view.endpoints = &m_endpoints;
        view.heat = &from.heat;
        view.recent = &from.recent;
        view.loadWeights = &from.loadWeights;
        view.pool = PoolKey;
        view.vms = m_vms.size();
        view.now = at(m_now);
        if (m_options.policy == placement_policy::CacheEvents)
            view.cache = &from.cache;
        return view;
    }

    std::size_t choose(request &sent)
    {
        vm &from = m_vms[sent.vm];
        const prompt_prefix nothing;
        switch (m_options.policy) {
        case placement_policy::RoundRobin:
            return nextAlive(from);
        case placement_policy::LeastLoaded:
            return place(sent, nothing);
        case placement_policy::FirstBlock:
            return rendezvous(sent.prompt.levels.front());
        case placement_policy::WholePrefix:
            return rendezvous(sent.prompt.levels.back());
        case placement_policy::Burdockhold:
        case placement_policy::CacheEvents:
            return place(sent, sent.prompt);
        case placement_policy::Omniscient:
            return omniscient(sent);
        }
        return 0;
    }

    std::size_t nextAlive(vm &from) const
    {
        do
            from.nextEndpoint = (from.nextEndpoint + 1) % m_engines.size();
        while (m_endpoints[from.nextEndpoint].ejected);
        return from.nextEndpoint;
    }

    std::size_t rendezvous(std::uint64_t prefix) const
    {
        std::size_t best = m_engines.size();
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (!m_endpoints[i].ejected
                && (best == m_engines.size()
                    || combineHash(prefix, m_endpoints[i].key)
                               > combineHash(prefix, m_endpoints[best].key)))
                best = i;
        }
        return best;
    }

    std::size_t omniscient(const request &sent) const
    {
        std::size_t best = m_engines.size();
        double bestScore = 0.0;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (m_engines[i].down)
                continue;
            const double score = m_engines[i].queuedTokens(m_now)
                                 - m_engines[i].cachedTokens(sent.prompt);
            const bool equal = best < m_engines.size() && score == bestScore;
            if (best == m_engines.size() || score < bestScore
                || (equal
                    && combineHash(sent.prompt.levels.back(), m_endpoints[i].key)
                               > combineHash(sent.prompt.levels.back(), m_endpoints[best].key))) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }

    /// Places by the decision code; least loaded is the same with a prompt of no known prefix.
    std::size_t place(request &sent, const prompt_prefix &known)
    {
        vm &from = m_vms[sent.vm];
        prompt_prefix prompt = known;
        prompt.promptTokens = sent.prompt.promptTokens;
        const placement_request wanted{ &prompt, "", sent.excluded };
        const auto chosen = choosePlacement(viewOf(from), wanted, m_options.placement);
        const placement_choice &choice = valueOf(chosen);
        const placement_endpoint &endpoint = m_endpoints[choice.chosen.endpoint];
        from.recent.recordSent(prompt, endpoint.key, endpoint.incarnation, choice.workSeconds,
                               at(m_now));
        sent.expectation = choice.chosen;
        return choice.chosen.endpoint;
    }

    void startNext(std::size_t index)
    {
        engine &server = m_engines[index];
        if (server.busy || server.down || server.queue.empty() || server.running >= MaxBatch)
            return;
        server.busy = true;
        server.current = std::move(server.queue.front());
        server.queue.pop_front();
        server.queuedEstimate -= server.current.estimatedTokens;
        const prompt_prefix &prompt = server.current.prompt;
        std::size_t level = 0;
        while (level < prompt.levels.size() && server.cache.contains(prompt.levels[level]))
            ++level;
        server.currentCached = static_cast<double>(level) * BlockTokens;
        const double slow = 1.0 - DecodeSlowdown * static_cast<double>(server.running) / MaxBatch;
        const double missing = static_cast<double>(prompt.promptTokens) - server.currentCached;
        server.startedAt = m_now;
        server.finishesAt = m_now + missing / (PrefillTokensPerSecond * slow);
        schedule(server.finishesAt, event_kind::PrefillDone, index, server.incarnation);
    }

    void prefillDone(const event &done)
    {
        engine &server = m_engines[done.engine];
        if (done.incarnation != server.incarnation)
            return;
        const request &finished = server.current;
        const auto &levels = finished.prompt.levels;
        report(finished, server.currentCached);
        // The shallowest block is touched last, so that a chain is evicted from its end.
        for (auto level = levels.rbegin(); level != levels.rend(); ++level) {
            server.cache.touch(*level);
            const auto waiting = server.pending.find(*level);
            if (--waiting->second == 0)
                server.pending.erase(waiting);
            m_computed.insert(*level);
        }
        if (placesByPrefix())
            m_vms[finished.vm].recent.recordReported(finished.expectation.ownTokens,
                                                     finished.expectation.ruleTokens,
                                                     server.currentCached);
        addBusy(server.startedAt, m_now);
        ++server.running;
        schedule(m_now + finished.outputTokens * SecondsPerToken, event_kind::DecodeDone,
                 done.engine, server.incarnation);
        server.busy = false;
        startNext(done.engine);
    }

    void addBusy(double from, double to)
    {
        m_busy += std::max(0.0, std::min(to, m_end) - std::max(from, m_options.warmSeconds));
    }

    void report(const request &finished, double cached)
    {
        const double tokens = static_cast<double>(finished.prompt.promptTokens);
        if (m_firstAfterRestart > 0 && finished.ordinal >= m_firstAfterRestart
            && finished.ordinal < m_firstAfterRestart + 100) {
            m_report.afterRestart.prompt += tokens;
            m_report.afterRestart.cached += cached;
        }
        if (finished.arrivedAt < m_options.warmSeconds)
            return;
        if (finished.arrivedAt < m_options.restartAt) {
            m_report.beforeRestart.prompt += tokens;
            m_report.beforeRestart.cached += cached;
        }
        ++m_report.requests;
        m_report.promptTokens += tokens;
        m_report.cachedTokens += cached;
        for (std::size_t level = static_cast<std::size_t>(cached) / BlockTokens;
             level < finished.prompt.levels.size(); ++level)
            m_report.recomputedTokens += m_computed.count(finished.prompt.levels[level]) > 0
                                                 ? BlockTokens
                                                 : 0;
        m_delays.push_back(m_now - finished.arrivedAt);
    }

    void decodeDone(const event &done)
    {
        engine &server = m_engines[done.engine];
        if (done.incarnation != server.incarnation)
            return;
        --server.running;
        startNext(done.engine);
    }

    void takeReport(std::size_t index)
    {
        const engine &server = m_engines[index];
        if (!server.down)
            schedule(m_now + ReportLag, event_kind::ReportSeen, index, server.incarnation,
                     server.queuedTokens(m_now), server.cache.events().size());
        schedule(m_now + ReportInterval, event_kind::ReportTaken, index);
    }

    void seeReport(const event &seen)
    {
        placement_endpoint &endpoint = m_endpoints[seen.engine];
        if (m_engines[seen.engine].down)
            return;
        endpoint.ejected = false;
        endpoint.incarnation = seen.incarnation;
        endpoint.queuedTokens = static_cast<std::int64_t>(seen.queuedTokens);
        endpoint.loadAsOf = at(seen.time - ReportLag);
        if (m_options.policy == placement_policy::CacheEvents)
            followEvents(seen);
        if (seen.engine == m_engines.size() - 1)
            updateLoadWeights();
    }

    void followEvents(const event &seen)
    {
        const engine &server = m_engines[seen.engine];
        if (server.incarnation != seen.incarnation)
            return;
        const std::uint64_t key = m_endpoints[seen.engine].key;
        for (vm &each : m_vms) {
            each.cache.begin(key, seen.incarnation);
            const std::uint64_t next = each.cache.nextSequence(key, seen.incarnation);
            for (std::size_t i = next - 1; i < seen.cacheEvents; ++i)
                each.cache.apply(key, seen.incarnation, server.cache.events()[i]);
        }
    }

    void updateLoadWeights()
    {
        std::vector<endpoint_wait> waits;
        for (const placement_endpoint &endpoint : m_endpoints) {
            if (!endpoint.ejected)
                waits.push_back({ endpoint.key, static_cast<double>(endpoint.queuedTokens)
                                                        / endpoint.prefillTokensPerSecond });
        }
        for (vm &each : m_vms)
            each.loadWeights.update(waits, at(m_now));
    }

    /// Open calls fail at once, so all VMs eject the engine and send the waiting prompts again.
    void crash()
    {
        engine &server = m_engines[0];
        std::vector<request> waiting(server.queue.begin(), server.queue.end());
        if (server.busy)
            waiting.push_back(server.current);
        const std::uint64_t incarnation = server.incarnation + 1;
        server = engine(m_options.cacheBlocks);
        server.incarnation = incarnation;
        server.down = true;
        m_endpoints[0].ejected = true;
        schedule(m_now + EngineDownSeconds, event_kind::EngineUp);
        for (request &again : waiting) {
            again.excluded.push_back(m_endpoints[0].key);
            dispatch(std::move(again));
        }
    }

    void engineUp() { m_engines[0].down = false; }

    void restart()
    {
        std::vector<heat_entry> copied = m_vms[0].heat.exportEntries(at(m_now));
        const std::vector<rendezvous_weight> factors = m_vms[0].loadWeights.exportFactors();
        const cache_view view = m_vms[0].cache;
        m_vms.assign(m_options.vms, vm(m_options));
        m_firstAfterRestart = m_arrivals + 1;
        if (!m_options.copyHeat)
            return;
        for (vm &fresh : m_vms) {
            fresh.heat.importEntries(copied, at(m_now));
            fresh.loadWeights.importFactors(factors);
            fresh.cache = view; // Stands for full lists read from the engines before serving.
        }
    }

    simulation_report finish()
    {
        m_report.utilisation = m_busy
                               / (m_options.measuredSeconds
                                  * static_cast<double>(m_options.engines));
        for (const engine &server : m_engines)
            m_report.cacheEventsPerSecond += static_cast<double>(server.cache.events().size())
                                             / m_end;
        // Requests without a first token by the end count with the time they have waited.
        for (const engine &server : m_engines) {
            for (const request &waiting : server.queue)
                m_delays.push_back(m_end + DrainSeconds - waiting.arrivedAt);
        }
        std::sort(m_delays.begin(), m_delays.end());
        if (!m_delays.empty()) {
            m_report.p50Seconds = m_delays[m_delays.size() / 2];
            m_report.p99Seconds = m_delays[m_delays.size() * 99 / 100];
        }
        return m_report;
    }

    simulation_options m_options;
    traffic m_traffic;
    std::vector<engine> m_engines;
    std::vector<vm> m_vms;
    std::vector<placement_endpoint> m_endpoints;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    double m_now = 0.0;
    double m_end = 0.0;
    double m_busy = 0.0;
    std::size_t m_arrivals = 0;
    std::size_t m_firstAfterRestart = 0;
    std::unordered_set<std::uint64_t> m_computed;
    std::vector<double> m_delays;
    simulation_report m_report;
};

} // namespace

simulation_report simulatePlacement(const simulation_options &options)
{
    return simulation(options).run();
}

double rateForUtilisation(simulation_options options, double utilisation)
{
    options.policy = placement_policy::Omniscient;
    double low = 0.5 * static_cast<double>(options.engines);
    double high = 20.0 * static_cast<double>(options.engines);
    for (int step = 0; step < 10; ++step) {
        options.requestsPerSecond = (low + high) / 2.0;
        if (simulatePlacement(options).utilisation < utilisation)
            low = options.requestsPerSecond;
        else
            high = options.requestsPerSecond;
    }
    return low;
}

} // namespace burdockhold::testing
