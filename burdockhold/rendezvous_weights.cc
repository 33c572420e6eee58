#include "burdockhold/rendezvous_weights.h"

#include <algorithm>
#include <cmath>

namespace burdockhold {
namespace {

/// Upper bound on the time between two updates, so that a pause has little effect.
constexpr double MaxStepSeconds = 1.0;

} // namespace

rendezvous_weights::rendezvous_weights(const rendezvous_weight_options &options)
    : m_options(options)
{
}

void rendezvous_weights::update(const std::vector<endpoint_wait> &waits, time_point now)
{
    const double step = m_updated ? std::clamp(toSeconds(now - m_updatedAt), 0.0, MaxStepSeconds)
                                  : 0.0;
    m_updated = true;
    m_updatedAt = now;

    double mean = 0.0;
    for (const endpoint_wait &wait : waits)
        mean += wait.seconds / static_cast<double>(waits.size());
    const double scale = std::max(mean, m_options.minMeanSeconds);
    const double limit = std::log(m_options.maxFactor);

    std::unordered_map<std::uint64_t, double> next;
    for (const endpoint_wait &wait : waits) {
        const auto found = m_logFactors.find(wait.endpoint);
        double logFactor = found == m_logFactors.end() ? 0.0 : found->second;
        const double excess = std::clamp((wait.seconds - mean) / scale, -2.0, 2.0);
        logFactor -= step
                     * (m_options.gainPerSecond * excess + m_options.decayPerSecond * logFactor);
        next[wait.endpoint] = std::clamp(logFactor, -limit, limit);
    }
    m_logFactors = std::move(next);
}

double rendezvous_weights::factor(std::uint64_t endpoint) const
{
    const auto found = m_logFactors.find(endpoint);
    return found == m_logFactors.end() ? 1.0 : std::exp(found->second);
}

std::vector<rendezvous_weight> rendezvous_weights::exportFactors() const
{
    std::vector<rendezvous_weight> factors;
    for (const auto &[endpoint, logFactor] : m_logFactors)
        factors.push_back({ endpoint, std::exp(logFactor) });
    std::sort(factors.begin(), factors.end(),
              [](const rendezvous_weight &a, const rendezvous_weight &b) {
                  return a.endpoint < b.endpoint;
              });
    return factors;
}

void rendezvous_weights::importFactors(const std::vector<rendezvous_weight> &factors)
{
    const double limit = std::log(m_options.maxFactor);
    for (const rendezvous_weight &entry : factors) {
        if (std::isfinite(entry.factor) && entry.factor > 0.0)
            m_logFactors[entry.endpoint] = std::clamp(std::log(entry.factor), -limit, limit);
    }
}

} // namespace burdockhold
