#include "burdockhold/engine_pace.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace burdockhold {

namespace {

constexpr std::int64_t MaxTokens = 100'000'000;
// Limits of the logarithms of residual factors. Beyond them, samples are faults and not queueing.
constexpr double MinUnseen = -0.5;
constexpr double MaxUnseen = 1.6;
// Expected times include no more of it: a scheduler turns calls away by their expected time, and
// would still do so for a while after an overload has ended.
constexpr double MaxExpectedUnseen = 0.7;
constexpr double MaxNoise = 0.1; // Logarithm of the usual variation of a time.
constexpr double MinError = 0.05;
constexpr double MaxError = 1.5;
// Weights of a sample in the residuals: large for the first samples, then small enough that the
// median of a few hundred samples is exact to a few percent.
constexpr double ResidualStep = 0.02;
constexpr double FirstResidualStep = 0.2;

bool isPlausible(const pace_sample &sample)
{
    const auto isCount = [](std::int64_t tokens) { return tokens >= 0 && tokens <= MaxTokens; };
    return isCount(sample.unreadTokens) && isCount(sample.tokensAhead) && sample.running >= 0
           && sample.firstEventMs > 0.0 && sample.firstEventMs <= MaxFirstEventMs;
}

} // namespace

engine_pace::engine_pace(pace_options options)
    : m_options(options)
    , m_baseMs(options.baseMs)
    , m_msPerToken(1.0 / options.tokensPerMs)
{
    m_options.momentSamples = std::clamp(m_options.momentSamples, 1,
                                         static_cast<int>(MaxMomentSamples));
}

double engine_pace::lineMs(const pace_sample &sample) const
{
    return m_baseMs + m_msPerToken * static_cast<double>(sample.unreadTokens + sample.tokensAhead)
           + m_options.runningMs * sample.running;
}

void engine_pace::record(const pace_sample &sample, time_point now)
{
    if (!isPlausible(sample))
        return;
    const double predictedMs = lineMs(sample);
    const double excess = std::log(sample.firstEventMs / predictedMs);
    if (m_followsPool) {
        moveSlowness(excess - m_unseen, now);
    } else {
        moveLine(sample, predictedMs, now);
        moveResiduals(excess);
    }
    m_lastSampleAt = now;
    ++m_samples;
}

/// Moves the line towards the quantile of the samples. The base and the time per token share the
/// change by their parts of the predicted time.
void engine_pace::moveLine(const pace_sample &sample, double predictedMs, time_point now)
{
    if (sample.tokensAhead > sample.unreadTokens + m_options.maxTokensAhead)
        return;
    double step = m_options.firstLineStep / std::sqrt(1.0 + m_samples);
    if (m_samples >= m_options.firstSamples)
        step = std::min(m_options.lineSampleStep,
                        m_options.lineStep * toSeconds(now - m_lastSampleAt));
    const bool slower = sample.firstEventMs > predictedMs;
    const double change = step * (slower ? m_options.quantile : m_options.quantile - 1.0);
    const double baseShare = m_baseMs / predictedMs;
    const double tokenShare = 1.0 - baseShare;
    const auto moved = [this](double value, double by, double prior) {
        return std::clamp(value * std::exp(by), prior / m_options.maxSpeedup,
                          prior * m_options.maxSlowdown);
    };
    m_baseMs = moved(m_baseMs, change * baseShare, m_options.baseMs);
    m_msPerToken = moved(m_msPerToken, change * tokenShare, 1.0 / m_options.tokensPerMs);
}

/// Moves the median and the error towards the quantiles of the samples.
void engine_pace::moveResiduals(double excess)
{
    const double step = std::max(ResidualStep, FirstResidualStep / std::sqrt(1.0 + m_samples));
    m_unseen = std::clamp(m_unseen + (excess > m_unseen ? step : -step), MinUnseen, MaxUnseen);
    const bool isAbove = excess - m_unseen > m_error;
    const double errorChange = isAbove ? m_options.errorQuantile : m_options.errorQuantile - 1.0;
    m_error = std::clamp(m_error + step * errorChange, MinError, MaxError);
}

void engine_pace::moveSlowness(double excess, time_point now)
{
    // A call that takes longer than any slowness explains has waited behind calls that were not
    // known. It shows neither a slow moment nor the end of one.
    if (excess <= std::log(m_options.maxSlowness) + MaxNoise) {
        m_recent[m_nextRecent] = { excess, now };
        m_nextRecent = (m_nextRecent + 1) % static_cast<std::size_t>(m_options.momentSamples);
    }
    const double weight = std::max(m_options.slownessStep,
                                   1.0 / (1.0 + m_options.priorSamples + m_samples));
    const double change = std::clamp(excess - m_slowness, -m_options.maxSampleChange,
                                     m_options.maxSampleChange);
    const double limit = std::log(m_options.maxSlowness);
    m_slowness = std::clamp(m_slowness + weight * change, -limit, limit);
    m_slownessFactor = std::exp(m_slowness);
}

/// Returns the logarithm of the present slowness beyond that for good; 0 if there is none.
double engine_pace::momentExcess(time_point now) const
{
    if (m_samples < m_options.momentSamples)
        return 0.0;
    double least = std::numeric_limits<double>::infinity();
    for (int index = 0; index < m_options.momentSamples; ++index) {
        const past_sample &sample = m_recent[static_cast<std::size_t>(index)];
        if (sample.at < now - m_options.momentExpiry)
            return 0.0;
        least = std::min(least, sample.excess);
    }
    // Every choice asks for every engine, so the logarithms are left to those that are slow.
    if (least <= m_slowness || least - m_slowness < std::log(m_options.momentFactor))
        return 0.0;
    return std::min(least, std::log(m_options.maxSlowness)) - m_slowness;
}

double engine_pace::slowness(time_point now) const
{
    const double excess = momentExcess(now);
    return excess == 0.0 ? m_slownessFactor : m_slownessFactor * std::exp(excess);
}

pace_line engine_pace::lineAt(time_point now) const
{
    const pace_line line{ m_baseMs, m_msPerToken, m_options.runningMs,
                          std::exp(std::min(m_unseen, MaxExpectedUnseen)),
                          std::exp(m_error) - 1.0 };
    return line.slowedBy(slowness(now));
}

void engine_pace::follow(const engine_pace &poolPace)
{
    m_followsPool = true;
    m_baseMs = poolPace.m_baseMs;
    m_msPerToken = poolPace.m_msPerToken;
    m_unseen = poolPace.m_unseen;
    m_error = poolPace.m_error;
}

void engine_pace::reset(const engine_pace &poolPace, time_point now)
{
    const pace_options options = m_options;
    *this = engine_pace(options);
    m_lastSampleAt = now;
    follow(poolPace);
}

} // namespace burdockhold
