#include "burdockhold/rollout_sampler.h"

#include <algorithm>
#include <utility>

namespace burdockhold {

namespace {

double milliseconds(duration time)
{
    return 1000.0 * toSeconds(time);
}

double firstRatio(const rollout_call &call, time_point at)
{
    return milliseconds(at - call.startedAt) / std::max(1.0, call.expectedMs);
}

} // namespace

rollout_sampler::rollout_sampler(rollout_sampler_options options)
    : m_options(options)
{
}

void rollout_sampler::callStarted(const std::shared_ptr<rollout_call> &call)
{
    if (m_windows.size() >= m_options.maxRoutes && m_windows.count(call->route) == 0)
        return;
    m_windows.try_emplace(call->route);
    m_running.push_back(call);
}

void rollout_sampler::addSample(std::deque<sample> &samples, double value, time_point now) const
{
    samples.push_back({ value, now });
    if (samples.size() > m_options.window)
        samples.pop_front();
}

std::optional<double> rollout_sampler::medianOf(std::deque<sample> &samples, time_point now) const
{
    while (!samples.empty() && now - samples.front().at > m_options.maxSampleAge)
        samples.pop_front();
    if (samples.size() < m_options.minSamples)
        return std::nullopt;
    std::vector<double> values;
    values.reserve(samples.size());
    for (const sample &one : samples)
        values.push_back(one.value);
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

std::optional<bool> rollout_sampler::isSlow(const rollout_call &call, time_point now)
{
    route_window &window = m_windows[call.route];
    const auto usualFirst = medianOf(window.firstRatios, now);
    if (!usualFirst)
        return std::nullopt;
    const double factor = call.isStream ? m_options.streamFirstFactor : m_options.responseFactor;
    const time_point firstAt = call.firstByteAt.value_or(now);
    if (firstRatio(call, firstAt) > factor * *usualFirst)
        return true;
    const auto usualGap = medianOf(window.gapsMs, now);
    if (!call.isStream || !call.firstByteAt || !usualGap)
        return false;
    const double limitMs = m_options.eventGapFactor * *usualGap;
    const double elapsedMs = milliseconds(now - *call.firstByteAt);
    const auto minEvents = static_cast<double>(m_options.minEvents);
    const double events = std::max(minEvents, static_cast<double>(call.events));
    return elapsedMs > limitMs * events;
}

/// Adds the times of a complete call of the old version.
void rollout_sampler::learn(const rollout_call &call)
{
    if (!call.firstByteAt)
        return;
    route_window &window = m_windows[call.route];
    addSample(window.firstRatios, firstRatio(call, *call.firstByteAt), call.lastEventAt);
    if (call.events >= m_options.minEvents)
        addSample(window.gapsMs,
                  milliseconds(call.lastEventAt - *call.firstByteAt)
                          / static_cast<double>(call.events),
                  call.lastEventAt);
}

bool rollout_sampler::isConclusive(const rollout_call &call) const
{
    const auto window = m_windows.find(call.route);
    if (!call.isNew || window == m_windows.end())
        return true;
    const std::deque<bool> &recent = window->second.bad;
    const auto bad = static_cast<double>(std::count(recent.begin(), recent.end(), true));
    return recent.size() < m_options.minSamples
           || bad <= m_options.maxOldBadShare * static_cast<double>(recent.size());
}

void rollout_sampler::count(rollout_call &call, bool failed, std::optional<bool> slow)
{
    const bool conclusive = isConclusive(call);
    call.counted = true;
    const bool isBad = failed || slow.value_or(false);
    if (!call.isNew) {
        std::deque<bool> &recent = m_windows[call.route].bad;
        recent.push_back(isBad);
        if (recent.size() > m_options.recentOutcomes)
            recent.pop_front();
    }
    if (!conclusive)
        return;
    version_counts &route = m_counts[call.route];
    outcome_counts &counts = call.isNew ? route.newVersion : route.oldVersion;
    ++counts.requests;
    counts.errors += failed ? 1 : 0;
    counts.judged += !failed && slow ? 1 : 0;
    counts.slow += !failed && slow.value_or(false) ? 1 : 0;
    m_changed = true;
}

void rollout_sampler::callEnded(rollout_call &call, rollout_call_end end)
{
    const bool known = m_windows.count(call.route) != 0;
    if (!known || end == rollout_call_end::NoOutcome) {
        call.counted = true;
        return;
    }
    if (!call.counted && end == rollout_call_end::Failed)
        count(call, true, std::nullopt);
    if (end != rollout_call_end::Succeeded)
        return;
    if (!call.counted)
        count(call, false, isSlow(call, std::max(call.lastEventAt, call.startedAt)));
    if (!call.isNew)
        learn(call);
}

bool rollout_sampler::step(const std::function<bool(const std::string &)> &isLoading,
                           time_point now)
{
    for (const auto &call : m_running) {
        if (call->counted)
            continue;
        const auto slow = isSlow(*call, now);
        if (slow.value_or(false) && !isLoading(call->endpoint))
            count(*call, false, slow);
    }
    m_running.erase(std::remove_if(m_running.begin(), m_running.end(),
                                   [](const auto &call) { return call->counted; }),
                    m_running.end());
    return std::exchange(m_changed, false);
}

void rollout_sampler::reset()
{
    m_counts.clear();
    m_running.clear();
    m_changed = false;
}

} // namespace burdockhold
