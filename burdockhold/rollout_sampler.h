#ifndef BURDOCKHOLD_ROLLOUT_SAMPLER_H
#define BURDOCKHOLD_ROLLOUT_SAMPLER_H

// Classifies the calls of one pool, while it runs two software versions, as good, failed or slow.
//
// A slow version responds with success, so it is known by its times only. A call of either version
// is slow if its time to the first byte, divided by the time that its prompt needs, or its time
// between events exceeds a multiple of the median of the old version's last calls on the same
// route. The window is short, so that a pool that becomes busy raises its own thresholds. While
// many of the old version's calls are slow or failed themselves, outcomes of the new version count
// for nothing. Calls at an endpoint that loads weights, and calls that the caller abandons, have no
// outcome.
//
// A call is counted once, as soon as its outcome is certain: an unanswered call is slow from the
// moment at which it exceeds the threshold. Counts only grow. Memory is bounded by maxRoutes and by
// the calls that run.
//
// Limits: a route without minSamples calls of the old version has no threshold, and its calls are
// not judged on time. A version that is less than twice as slow is not found.

#include "burdockhold/clock.h"
#include "burdockhold/move_evidence.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockhold {

struct rollout_sampler_options
{
    std::size_t window = 24;    ///< Calls of the old version behind a threshold.
    std::size_t minSamples = 5; ///< Fewer calls give no threshold.
    duration maxSampleAge = std::chrono::seconds(10);
    /// Multiples of the median. The first event of a stream waits for the prefill of other
    /// prompts, so its time varies more.
    double streamFirstFactor = 4.0;
    double responseFactor = 3.0; ///< For responses that are not streams.
    double eventGapFactor = 2.5;
    std::uint64_t minEvents = 4; ///< Fewer events give no time between events.
    /// Share of the old version's last outcomes that are bad, from which on none of the new one
    /// counts.
    double maxOldBadShare = 0.4;
    std::size_t recentOutcomes = 12;
    std::size_t maxRoutes = 64;
};

/// One call of a pool with two versions, from its start to its outcome.
struct rollout_call
{
    std::string route;
    std::string endpoint;
    bool isNew = false;
    bool isStream = false;
    double expectedMs = 1.0; ///< Time that the prompt needs, up to a constant factor.
    time_point startedAt;
    std::optional<time_point> firstByteAt;
    time_point lastEventAt;
    std::uint64_t events = 0;
    bool counted = false;

    void firstByteReceived(time_point now)
    {
        firstByteAt = now;
        lastEventAt = now;
    }
    void eventsReceived(std::uint64_t received, time_point now)
    {
        events = received;
        lastEventAt = now;
    }
};

enum class rollout_call_end { Succeeded, Failed, NoOutcome };

/// Counts of both versions on one route.
struct version_counts
{
    outcome_counts newVersion;
    outcome_counts oldVersion;
};

class rollout_sampler
{
public:
    explicit rollout_sampler(rollout_sampler_options options = {});

    void callStarted(const std::shared_ptr<rollout_call> &call);
    void callEnded(rollout_call &call, rollout_call_end end);

    /// Counts running calls that are slow already. isLoading tells whether an endpoint loads
    /// weights. Returns true if a count has changed since the last step.
    bool step(const std::function<bool(const std::string &)> &isLoading, time_point now);

    const std::map<std::string, version_counts> &counts() const { return m_counts; }

    /// Forgets all outcomes: another version is rolled out.
    void reset();

private:
    struct sample
    {
        double value = 0.0;
        time_point at;
    };
    /// Times and outcomes of the old version's last calls on one route.
    struct route_window
    {
        std::deque<sample> firstRatios;
        std::deque<sample> gapsMs;
        std::deque<bool> bad;
    };

    std::optional<double> medianOf(std::deque<sample> &samples, time_point now) const;
    void addSample(std::deque<sample> &samples, double value, time_point now) const;
    /// Returns nothing if the old version's times are not known.
    std::optional<bool> isSlow(const rollout_call &call, time_point now);
    void learn(const rollout_call &call);
    void count(rollout_call &call, bool failed, std::optional<bool> slow);
    bool isConclusive(const rollout_call &call) const;

    rollout_sampler_options m_options;
    std::map<std::string, route_window> m_windows;
    std::map<std::string, version_counts> m_counts;
    std::vector<std::shared_ptr<rollout_call>> m_running;
    bool m_changed = false;
};

} // namespace burdockhold

#endif
