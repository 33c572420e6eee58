#ifndef BURDOCKHOLD_RENDEZVOUS_WEIGHTS_H
#define BURDOCKHOLD_RENDEZVOUS_WEIGHTS_H

// Adjusts the weights of rendezvous hashing by the endpoints' reported queues, so that prefixes
// move away from endpoints whose queues stay above the mean and remain at their new endpoints.
// Redirecting individual requests would scatter a prefix over endpoints where other VMs do not
// expect it. All VMs receive the same load reports and therefore compute nearly the same factors;
// the factors decay towards 1, so that differences between VMs vanish. The factors are soft state
// and are copied from a peer together with the heat sketch.
//
// Memory: 24 bytes and a table entry per endpoint of the pools. Time: linear in the endpoints.

#include "burdockhold/clock.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace burdockhold {

struct rendezvous_weight_options
{
    double gainPerSecond = 0.05;  ///< Change of log(factor) per second at twice the mean wait.
    double decayPerSecond = 0.01; ///< Fraction of log(factor) lost per second.
    double minMeanSeconds = 0.2;  ///< Lower bound of the mean that scales excess waits.
    double maxFactor = 4.0;       ///< Factors stay between 1 / maxFactor and maxFactor.
};

/// Queue wait of one endpoint according to its load report.
struct endpoint_wait
{
    std::uint64_t endpoint = 0;
    double seconds = 0.0;
};

struct rendezvous_weight
{
    std::uint64_t endpoint = 0;
    double factor = 1.0;
};

class rendezvous_weights
{
public:
    explicit rendezvous_weights(const rendezvous_weight_options &options = {});

    /// Adjusts the factors of one pool's endpoints, once per round of load reports. The factors of
    /// endpoints that are not listed are dropped.
    void update(const std::vector<endpoint_wait> &waits, time_point now);

    /// Returns the factor for the endpoint's weight, or 1 if the endpoint is unknown.
    double factor(std::uint64_t endpoint) const;

    std::vector<rendezvous_weight> exportFactors() const;

    /// Adopts a peer's factors. Values that are not finite or not positive are ignored.
    void importFactors(const std::vector<rendezvous_weight> &factors);

private:
    rendezvous_weight_options m_options;
    std::unordered_map<std::uint64_t, double> m_logFactors;
    time_point m_updatedAt{};
    bool m_updated = false;
};

} // namespace burdockhold

#endif
