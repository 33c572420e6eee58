#include "burdockhold/pool_paces.h"

#include <algorithm>
#include <iterator>

namespace burdockhold {

pool_paces::pool_paces(pace_options options)
    : m_options(options)
    , m_pace(options)
{
}

void pool_paces::apply(endpoint_candidate &candidate, std::uint32_t hash, std::uint32_t model)
{
    const time_point now = m_listedAt;
    engine_row &row = m_engines[hash];
    row.listedAt = now;
    const bool isNew = row.generation == 0 || row.incarnation != candidate.incarnation;
    if (isNew)
        row.weights.clear();
    const bool hasNewWeights = changesWeights(row, model, candidate.weights);
    if (isNew || hasNewWeights) {
        row.incarnation = candidate.incarnation;
        reset(row, now);
    }
    if (!m_pace.isKnown())
        return;
    candidate.poolPace = &m_line;
    candidate.slowness = row.pace.slowness(now);
}

/// Notes the version of the model's weights; 0 says nothing. Returns whether it replaces another.
bool pool_paces::changesWeights(engine_row &row, std::uint32_t model, std::int64_t weights)
{
    if (weights == 0)
        return false;
    const auto known = std::find_if(row.weights.begin(), row.weights.end(),
                                    [model](const auto &entry) { return entry.first == model; });
    if (known == row.weights.end()) {
        row.weights.emplace_back(model, weights);
        return false;
    }
    return std::exchange(known->second, weights) != weights;
}

void pool_paces::reset(engine_row &row, time_point now)
{
    row.generation = ++m_lastGeneration;
    row.pace = engine_pace(m_options);
    row.pace.reset(m_pace, now);
}

paced_engine pool_paces::engineOf(std::uint32_t hash) const
{
    const auto found = m_engines.find(hash);
    if (found == m_engines.end())
        return {};
    return { hash, found->second.generation };
}

void pool_paces::record(const paced_engine &engine, const pace_sample &sample, time_point now)
{
    const auto found = m_engines.find(engine.hash);
    if (found == m_engines.end() || found->second.generation != engine.generation)
        return;
    m_pace.record(sample, now);
    m_line = m_pace.lineAt(now);
    found->second.pace.follow(m_pace);
    found->second.pace.record(sample, now);
}

double pool_paces::slowness(std::uint32_t hash, time_point now) const
{
    const auto found = m_engines.find(hash);
    return found == m_engines.end() ? 1.0 : found->second.pace.slowness(now);
}

void pool_paces::forgetAbsent()
{
    for (auto row = m_engines.begin(); row != m_engines.end();) {
        const bool isAbsent = m_listedAt - row->second.listedAt > Retention;
        row = isAbsent ? m_engines.erase(row) : std::next(row);
    }
}

} // namespace burdockhold
