#ifndef BURDOCKHOLD_RENDEZVOUS_WEIGHTS_H
#define BURDOCKHOLD_RENDEZVOUS_WEIGHTS_H

// Corrects the weights of rendezvous hashing by the endpoints' reported queues, so that prefixes
// move from endpoints that are above the mean for long and stay moved. Spilling each request by
// itself scatters a prefix over endpoints that other VMs do not expect. All VMs see the same load
// reports and so reach nearly the same factors; the factors decay towards 1, so that differences
// between VMs vanish. They are soft state and are copied from a peer together with the heat.
//
// Memory: 24 bytes and a table entry for each endpoint of the pools. Time: linear in the endpoints.

#include "burdockhold/clock.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace burdockhold {

struct rendezvous_weight_options
{
    double gainPerSecond = 0.05;      ///< Change of log(factor) per second at twice the mean wait.
    double decayPerSecond = 0.01;     ///< Part of log(factor) lost per second.
    double smallestMeanSeconds = 0.2; ///< Waits are compared with at least this mean.
    double largestFactor = 4.0;       ///< Factors stay between its inverse and this.
};

/// The queue wait of one endpoint by its load report.
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

    /// Adjusts the factors of one pool's endpoints, once per round of load reports. Endpoints that
    /// are not listed are forgotten.
    void update(const std::vector<endpoint_wait> &waits, time_point now);

    /// Returns the factor on the endpoint's weight; 1 when unknown.
    double factor(std::uint64_t endpoint) const;

    std::vector<rendezvous_weight> exportFactors() const;

    /// Takes over a peer's factors. Values that are not finite or not positive are ignored.
    void importFactors(const std::vector<rendezvous_weight> &factors);

private:
    rendezvous_weight_options m_options;
    std::unordered_map<std::uint64_t, double> m_logFactors;
    time_point m_updatedAt{};
    bool m_updated = false;
};

} // namespace burdockhold

#endif
