#ifndef BURDOCKHOLD_RECENT_REQUESTS_H
#define BURDOCKHOLD_RECENT_REQUESTS_H

// What this VM knows about endpoints from its own requests: which prefixes it sent where, how far
// the endpoints' reports of cached tokens agreed with the expectation, and how much work it has
// sent since an endpoint's last load report. All of it is soft state: losing it costs some
// precision and no correctness.
//
// Memory: at most maxPrefixes prefixes with four endpoints each (about 1.2 MB at the default) and
// maxUnreported entries of work. Time: linear in the number of levels of the request.

#include "burdockhold/clock.h"
#include "burdockhold/prefix.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace burdockhold {

struct recent_options
{
    std::size_t maxPrefixes = 8192;
    std::size_t maxUnreported = 4096;
    /// Engines evict blocks within seconds to minutes; older knowledge is dropped.
    duration lifetime = std::chrono::seconds(60);
    /// Part by which one response moves the learned confidence.
    double learningRate = 0.02;
    double initialConfidence = 0.8;
    /// Confidence falls no lower. Below it prompts are scattered, which lowers the confirmed part
    /// further.
    double smallestConfidence = 0.75;
};

/// An endpoint that was sent a prefix. Both fields are hashes of names.
struct prefix_holder
{
    std::uint64_t endpoint = 0;
    std::uint64_t incarnation = 0;
    time_point sentAt{};
};

/// Tokens of one prompt on one endpoint's incarnation.
struct prefix_remainder
{
    std::uint64_t endpoint = 0;
    std::uint64_t incarnation = 0;
    std::int64_t tokens = 0;
};

struct work_sent
{
    double toEndpointSeconds = 0.0;
    double toAllSeconds = 0.0;
};

using prefix_holders = std::array<prefix_holder, 4>;

class recent_requests
{
public:
    explicit recent_requests(const recent_options &options = {});

    /// Notes that a prompt was sent to an endpoint, which will take about workSeconds to compute
    /// the tokens that are not cached there.
    void recordSent(const prompt_prefix &prompt, std::uint64_t endpoint, std::uint64_t incarnation,
                    double workSeconds, time_point now);

    /// Notes what an endpoint reported for a request: own and rule are the cached tokens that were
    /// expected from this VM's requests and from the placement rule (placement_candidate).
    void recordReported(double ownTokens, double ruleTokens, double reportedTokens);

    /// Forgets that the endpoint holds any of the prompt's levels, after a request failed there.
    void forget(const prompt_prefix &prompt, std::uint64_t endpoint);

    /// Returns what this VM's own requests have left of the prompt on endpoints, by endpoint in
    /// increasing order; at most one entry for each incarnation of an endpoint.
    std::vector<prefix_remainder> remainders(const prompt_prefix &prompt, time_point now) const;

    /// Returns the tokens of the prompt that this VM's own requests have left on the endpoint's
    /// current incarnation; 0 when unknown.
    std::int64_t cachedTokens(const prompt_prefix &prompt, std::uint64_t endpoint,
                              std::uint64_t incarnation, time_point now) const;

    /// Returns the endpoints that were sent the prefix, or null. Unused places have endpoint 0.
    const prefix_holders *holders(std::uint64_t prefix) const;

    /// Returns the work sent to the endpoint and to all endpoints after `since`.
    work_sent workSentSince(std::uint64_t endpoint, time_point since) const;

    /// Part (0 to 1) of the tokens expected from the placement rule that endpoints confirmed.
    double ruleConfidence() const { return m_ruleConfidence; }
    /// Part (0 to 1) of the tokens expected from this VM's own requests that endpoints confirmed.
    double ownConfidence() const { return m_ownConfidence; }

    const recent_options &options() const { return m_options; }
    std::size_t prefixes() const { return m_current.size() + m_previous.size(); }

private:
    struct sent_work
    {
        std::uint64_t endpoint;
        double seconds;
        time_point at;
    };
    using holder_map = std::unordered_map<std::uint64_t, prefix_holders>;

    prefix_holders &holdersForUpdate(std::uint64_t prefix);

    recent_options m_options;
    /// Two generations: when the current one is full it replaces the previous one, which drops the
    /// prefixes that were not used for longest without a list of uses.
    holder_map m_current;
    holder_map m_previous;
    std::deque<sent_work> m_work;
    double m_ruleConfidence;
    double m_ownConfidence;
};

} // namespace burdockhold

#endif
