#ifndef BURDOCKHOLD_ENGINE_PACE_H
#define BURDOCKHOLD_ENGINE_PACE_H

// Estimates how long an engine takes to the first event of a call, from its earlier first events.
//
// Load pattern: the engines of a pool differ in speed for good, single ones are several times
// slower for moments, and under overload calls queue behind prompts that this VM has not heard of.
// Queueing must not be taken for slowness: a pool that reads slow takes less load than it can.
//
// The model is a line: a base time plus a time for each token that the engine has to read for the
// call or before it. The line of a pool is a low quantile of its samples, so that samples with
// unknown queueing above it have little weight, and it moves by a bounded fraction per second. An
// engine follows the line of its pool and learns one factor, its slowness, relative to the pool's
// median sample: overload of the whole pool cancels out. A moment of slowness is believed when
// momentSamples samples in a row show it, and ends with the first sample that does not.
//
// Promises:
// - Without samples, the estimate is the prior of the options, or the pool's.
// - The rate of a pool never reads below 1 / maxSlowdown of the prior, and falls by at most 1 - 1 /
//   exp(lineStep * quantile) within a second of overload.
// - An implausible sample (negative, not a number, above an hour) changes nothing.
// - A new incarnation inherits nothing but the pool's pace.
// Time and memory are constant.

#include "burdockhold/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace burdockhold {

/// Longer times to a first event are faults.
inline constexpr double MaxFirstEventMs = 3.6e6;

struct pace_options
{
    double baseMs = 27.0;      ///< Prior: time to a first event beyond the prefill.
    double tokensPerMs = 50.0; ///< Prior: prefill rate.
    double runningMs = 0.2;    ///< Each running request slows the decode steps; not learned.
    /// The line lies below all samples but this share. With exact views, half of them lie above it
    /// by less than the engines' own variation.
    double quantile = 0.25;
    double lineStep = 0.05;       ///< Largest relative change of the line per second.
    double lineSampleStep = 0.02; ///< The same per sample.
    /// Relative change by the first sample; falls with the root of the number of samples.
    double firstLineStep = 0.08;
    int firstSamples = 64;    ///< Samples for which firstLineStep applies.
    double maxSlowdown = 2.0; ///< Limit of the line relative to the prior.
    double maxSpeedup = 4.0;  ///< The same for a line faster than the prior.
    /// Samples with more tokens ahead than their own plus this many do not change the line: views
    /// of other VMs' calls are out of date in both directions.
    std::int64_t maxTokensAhead = 1000;
    double priorSamples = 5.0;    ///< Weight of the pool's pace against an engine's own samples.
    double slownessStep = 0.02;   ///< Least weight of a sample in an engine's slowness.
    double maxSampleChange = 0.4; ///< Logarithm; bounds the weight of one sample.
    double maxSlowness = 3.0;
    int momentSamples = 3;
    double momentFactor = 1.6; ///< Least factor of a moment of slowness.
    /// Without a sample for this long, a moment of slowness counts as over, so that the engine is
    /// tried again.
    duration momentExpiry = std::chrono::milliseconds(1500);
    double errorQuantile = 0.8; ///< The error is this quantile of what samples take longer.
    int minSamples = 20;        ///< With fewer, isKnown() is false.
};

/// A first event that has come. The running requests do not include the call itself.
struct pace_sample
{
    std::int64_t unreadTokens = 0; ///< Tokens that the engine had to read for the call.
    std::int64_t tokensAhead = 0;  ///< Tokens of other calls pending when the call was placed.
    int running = 0;
    double firstEventMs = 0.0; ///< From the call to its first event.
};

struct pace_estimate
{
    double expectedMs = 0.0; ///< Median, with the queueing that views usually miss.
    double errorMs = 0.0;    ///< Above expectedMs; see errorQuantile.
    double tokensPerMs = 0.0;
};

/// The estimate of one engine at one time, for any number of calls.
struct pace_line
{
    double baseMs = 0.0;
    double msPerToken = 0.0;
    double runningMs = 0.0;
    double unseenFactor = 1.0; ///< Median of actual times relative to the line.
    double errorShare = 0.0;   ///< Error relative to the expected time.

    /// Returns the line of an engine that is this many times slower.
    pace_line slowedBy(double factor) const
    {
        return { baseMs * factor, msPerToken * factor, runningMs * factor, unseenFactor,
                 errorShare };
    }

    /// Returns the time without queueing that the view misses.
    double lineMs(std::int64_t unreadTokens, std::int64_t tokensAhead, int running) const
    {
        return baseMs + msPerToken * static_cast<double>(unreadTokens + tokensAhead)
               + runningMs * running;
    }

    pace_estimate estimate(std::int64_t unreadTokens, std::int64_t tokensAhead, int running) const
    {
        const double expectedMs = unseenFactor * lineMs(unreadTokens, tokensAhead, running);
        return { expectedMs, errorShare * expectedMs, 1.0 / msPerToken };
    }
};

class engine_pace
{
public:
    explicit engine_pace(pace_options options = {});

    /// Records a sample. An engine that was never reset to a pool's pace learns its own line.
    void record(const pace_sample &sample, time_point now);

    /// Returns the expected time of a first event.
    pace_estimate estimate(std::int64_t unreadTokens, std::int64_t tokensAhead, int running,
                           time_point now) const
    {
        return lineAt(now).estimate(unreadTokens, tokensAhead, running);
    }

    pace_line lineAt(time_point now) const;

    /// Drops what was learned of the engine and follows the pool from now on: a new incarnation or
    /// new weights.
    void reset(const engine_pace &poolPace, time_point now);

    /// Takes over the pool's present line and keeps the engine's own slowness.
    void follow(const engine_pace &poolPace);

    /// Returns how many times slower than its pool the engine is now; 1 for a pool.
    double slowness(time_point now) const;

    bool isKnown() const { return m_samples >= m_options.minSamples; }
    int samples() const { return m_samples; }

private:
    struct past_sample
    {
        double excess = 0.0;
        time_point at = time_point::min();
    };
    static constexpr std::size_t MaxMomentSamples = 4;

    double lineMs(const pace_sample &sample) const;
    void moveLine(const pace_sample &sample, double predictedMs, time_point now);
    void moveResiduals(double excess);
    void moveSlowness(double excess, time_point now);
    double momentExcess(time_point now) const;

    pace_options m_options;
    double m_baseMs;
    double m_msPerToken;
    int m_samples = 0;
    bool m_followsPool = false;
    time_point m_lastSampleAt = time_point::min();
    // Logarithms of factors.
    double m_unseen = 0.0;         ///< Median of actual times relative to the line.
    double m_error = 0.4;          ///< Before the first samples, about half of the expected time.
    double m_slowness = 0.0;       ///< For good, relative to the pool.
    double m_slownessFactor = 1.0; ///< exp(m_slowness), which every choice reads.
    std::array<past_sample, MaxMomentSamples> m_recent{};
    std::size_t m_nextRecent = 0;
};

} // namespace burdockhold

#endif
