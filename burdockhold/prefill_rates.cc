#include "burdockhold/prefill_rates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockhold {

namespace {

bool isPlausibleRate(double rate)
{
    return rate >= MinPrefillRate && rate <= MaxPrefillRate;
}

} // namespace

double lowerMedian(std::vector<double> values)
{
    if (values.empty())
        return 0.0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

duration prefillTime(std::int64_t tokens, double tokensPerMs)
{
    const double ms = static_cast<double>(std::max<std::int64_t>(0, tokens))
                      / std::clamp(tokensPerMs, MinPrefillRate, MaxPrefillRate);
    return fromSeconds(std::min(ms / 1000.0, 3600.0));
}

prefill_rates::prefill_rates(prefill_rates_options options)
    : m_options(options)
{
}

/// Returns nullptr if there are maxPools others.
prefill_rates::pool_state *prefill_rates::poolOf(std::uint32_t pool)
{
    const auto found = m_pools.find(pool);
    if (found != m_pools.end())
        return &found->second;
    if (m_pools.size() >= m_options.maxPools)
        return nullptr;
    pool_state &added = m_pools[pool];
    added.rate = m_options.initialRate;
    added.reported = m_options.initialRate;
    return &added;
}

void prefill_rates::prefillFinished(std::string_view pool, std::string_view engine,
                                    const prefill_call &call, time_point now)
{
    const duration taken = now - call.startedAt;
    const bool isUsual = taken > duration::zero() && taken <= m_options.maxFirstEvent;
    const bool hasTokens = call.unreadTokens >= m_options.minTokens && call.tokensAhead >= 0;
    if (call.copies || !hasTokens || !isUsual)
        return;
    pool_state *state = poolOf(shortHash(pool));
    if (state == nullptr)
        return;
    auto found = state->samples.find(engine);
    if (found == state->samples.end()) {
        if (state->samples.size() >= m_options.maxEngines)
            return;
        found = state->samples.emplace(std::string(engine), std::deque<sample>()).first;
    }
    found->second.push_back(
            { static_cast<double>(call.unreadTokens),
              static_cast<double>(call.tokensAhead) + static_cast<double>(call.unreadTokens),
              1000.0 * toSeconds(taken), now });
    if (found->second.size() > m_options.samplesPerEngine)
        found->second.pop_front();
    state->changed = true;
}

std::size_t prefill_rates::applyPeerRows(const std::string &sender,
                                         const std::vector<prefill_row> &rows, time_point now)
{
    std::size_t dropped = 0;
    for (const prefill_row &row : rows) {
        const double rate = static_cast<double>(row.rateTenths) / prefill_row::RateScale;
        pool_state *state = isPlausibleRate(rate) ? poolOf(row.pool) : nullptr;
        const bool hasRoom = state != nullptr
                             && (state->peers.size() < m_options.maxPeers
                                 || state->peers.count(sender) != 0);
        if (hasRoom)
            state->peers[sender] = { rate, now };
        else
            ++dropped;
    }
    return dropped;
}

void prefill_rates::fillDigest(vm_digest &digest) const
{
    for (const auto &[pool, state] : m_pools) {
        if (state.measured)
            digest.prefillRates.push_back(
                    { pool, std::llround(*state.measured * prefill_row::RateScale) });
    }
}

std::optional<prefill_rate_change> prefill_rates::step(std::string_view pool, std::size_t poolSize,
                                                       time_point now)
{
    const auto found = m_pools.find(shortHash(pool));
    if (found == m_pools.end() || now < found->second.measureDueAt)
        return std::nullopt;
    pool_state &state = found->second;
    state.measureDueAt = now + m_options.measureInterval;
    expire(state, now);
    measure(state, poolSize);
    state.rate = agreedRate(state);
    if (std::abs(state.rate - state.reported) <= m_options.reportedChange * state.reported)
        return std::nullopt;
    prefill_rate_change change;
    change.before = std::exchange(state.reported, state.rate);
    change.rate = state.rate;
    change.measured = state.measured.value_or(0.0);
    change.engines = state.samples.size();
    for (const auto &[engine, samples] : state.samples)
        change.samples += samples.size();
    change.peers = state.peers.size();
    return change;
}

double prefill_rates::tokensPerMs(std::string_view pool) const
{
    const auto found = m_pools.find(shortHash(pool));
    return found == m_pools.end() ? m_options.initialRate : found->second.rate;
}

void prefill_rates::expire(pool_state &pool, time_point now) const
{
    for (auto row = pool.peers.begin(); row != pool.peers.end();)
        row = now - row->second.at > m_options.peerExpiry ? pool.peers.erase(row) : std::next(row);
    for (auto row = pool.samples.begin(); row != pool.samples.end();) {
        std::deque<sample> &samples = row->second;
        while (!samples.empty() && now - samples.front().at > m_options.sampleExpiry)
            samples.pop_front();
        row = samples.empty() ? pool.samples.erase(row) : std::next(row);
    }
}

void prefill_rates::measure(pool_state &pool, std::size_t poolSize) const
{
    if (!std::exchange(pool.changed, false))
        return;
    std::vector<sample> all;
    for (const auto &[engine, samples] : pool.samples)
        all.insert(all.end(), samples.begin(), samples.end());
    const std::size_t minEngines = std::max<std::size_t>(1,
                                                         std::min(m_options.minEngines, poolSize));
    if (all.size() < m_options.minSamples || pool.samples.size() < minEngines)
        return;
    const auto slope = slopeOf(std::move(all));
    if (!slope)
        return;
    const double before = pool.measured.value_or(*slope);
    pool.measured = before + m_options.newestWeight * (*slope - before);
}

/// Returns nothing if the samples give no plausible rate.
std::optional<double> prefill_rates::slopeOf(std::vector<sample> samples) const
{
    // Sorted by the call's own tokens, which are known; those ahead of it are known from digests of
    // some age, and sorting by them would overestimate the rate.
    std::sort(samples.begin(), samples.end(),
              [](const sample &a, const sample &b) { return a.ownTokens < b.ownTokens; });
    const auto third = static_cast<std::ptrdiff_t>(samples.size() / 3);
    const auto medians = [](auto begin, auto end) {
        std::vector<double> tokens;
        std::vector<double> times;
        for (auto row = begin; row != end; ++row) {
            tokens.push_back(row->tokens);
            times.push_back(row->ms);
        }
        return sample{ 0.0, lowerMedian(std::move(tokens)), lowerMedian(std::move(times)), {} };
    };
    const sample low = medians(samples.begin(), samples.begin() + third);
    const sample high = medians(samples.end() - third, samples.end());
    // Prompts of nearly one length tell the rate and the constant time only together.
    const bool hasSlope = high.tokens >= m_options.minSpread * low.tokens && high.ms > low.ms;
    const double rate = hasSlope ? (high.tokens - low.tokens) / (high.ms - low.ms)
                                 : high.tokens / high.ms;
    return isPlausibleRate(rate) ? std::optional<double>(rate) : std::nullopt;
}

double prefill_rates::agreedRate(const pool_state &pool) const
{
    std::vector<double> rates;
    for (const auto &[sender, stated] : pool.peers)
        rates.push_back(stated.rate);
    if (pool.measured)
        rates.push_back(*pool.measured);
    return rates.empty() ? pool.rate : lowerMedian(std::move(rates));
}

} // namespace burdockhold
