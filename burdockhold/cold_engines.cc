#include "burdockhold/cold_engines.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockhold {

namespace {

/// VMs whose lists differ may select twice as many of them.
constexpr double DisagreementFactor = 2.0;

/// The finalizer of SplitMix64, which spreads similar inputs over all values.
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

/// Returns the requests that one of the selected VMs may send within a second, at least 1.
double requestsPerSharer(double bound, std::size_t sharers)
{
    return std::max(1.0, std::floor(bound / (DisagreementFactor * static_cast<double>(sharers))));
}

} // namespace

cold_share coldShare(double perSecond, std::size_t knownVms, const cold_engine_options &options)
{
    const double bound = perSecond * options.overshoot.value_or(1.0) + options.slack.value_or(0.0);
    std::size_t sharers = std::max<std::size_t>(1, std::min(options.maxSharers, knownVms));
    while (sharers > 1 && DisagreementFactor * static_cast<double>(sharers) > bound)
        --sharers;
    const duration window = std::chrono::seconds(1) + options.arrivalSpread + options.grantDelay;
    const double byBound = toSeconds(window) / requestsPerSharer(bound, sharers);
    const double byRate = static_cast<double>(sharers) / perSecond;
    // Rounded up, so that a window never contains one request more.
    return { sharers, fromSeconds(std::max(byBound, byRate)) + std::chrono::nanoseconds(1) };
}

std::size_t sharerRank(std::string_view engine, std::int64_t incarnation, const known_vms &vms)
{
    const std::uint64_t seed = XXH64(engine.data(), engine.size(),
                                     static_cast<std::uint64_t>(incarnation));
    const std::uint64_t own = mixed(seed ^ mixed(vms.self()));
    return static_cast<std::size_t>(
            std::count_if(vms.list().begin(), vms.list().end(),
                          [&](std::uint32_t vm) { return mixed(seed ^ mixed(vm)) > own; }));
}

cold_engines::cold_engines(cold_engine_options options)
    : m_options(options)
{
}

void cold_engines::setPools(std::map<std::string, cold_traits> pools)
{
    m_pools = std::move(pools);
    for (auto &[engine, state] : m_states)
        state.listVersion = 0;
}

void cold_engines::vmsListed(time_point now)
{
    if (!m_listedAt)
        m_listedAt = now;
}

/// Returns nullptr if the pool's engines are never cold.
const cold_traits *cold_engines::traitsOf(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    return isEnabled() && found != m_pools.end() ? &found->second : nullptr;
}

cold_engines::cold_state &cold_engines::stateOf(const endpoint_report &report)
{
    cold_state &state = m_states[report.id];
    if (state.incarnation != report.incarnation || state.pool != report.pool) {
        // The new process may get a request as soon as the previous one could have.
        const time_point nextRequestAt = state.nextRequestAt;
        state = {};
        state.nextRequestAt = nextRequestAt;
    }
    state.incarnation = report.incarnation;
    state.pool = report.pool;
    state.entryIsSilent = report.isSilent;
    return state;
}

void cold_engines::reported(const endpoint_report &report, bool isNewIncarnation, time_point now)
{
    const cold_traits *traits = traitsOf(report.pool);
    const bool isKnown = m_states.count(report.id) != 0;
    if (traits == nullptr)
        return;
    // Nothing is known of an engine that has started and does not state its remaining time.
    const duration stated = report.coldLeft.value_or(isNewIncarnation ? traits->coldTime
                                                                      : duration::zero());
    const duration left = std::min(stated, traits->coldTime);
    if (left <= duration::zero() && !isKnown)
        return;
    cold_state &state = stateOf(report);
    if (report.coldLeft || isNewIncarnation)
        state.coldUntil = now + std::max(left, duration::zero());
}

void cold_engines::maybeCold(const endpoint_report &report, time_point now)
{
    if (traitsOf(report.pool) != nullptr)
        stateOf(report).maybeColdSince = now;
}

void cold_engines::confirmView(time_point at)
{
    for (auto &[engine, state] : m_states) {
        const bool hasLaterEntry = state.maybeColdSince && !state.entryIsSilent
                                   && at >= *state.maybeColdSince + m_options.viewDelay;
        if (hasLaterEntry)
            state.maybeColdSince.reset();
    }
}

void cold_engines::readerChanged(time_point now)
{
    for (auto &[engine, state] : m_states) {
        if (state.maybeColdSince)
            state.maybeColdSince = now;
    }
}

void cold_engines::removed(std::string_view engine)
{
    const auto found = m_states.find(engine);
    if (found != m_states.end())
        m_states.erase(found);
}

bool cold_engines::isCold(const cold_state &state, time_point now)
{
    return now < state.coldUntil || state.maybeColdSince;
}

bool cold_engines::isCold(std::string_view engine, time_point now) const
{
    const auto found = m_states.find(engine);
    return found != m_states.end() && traitsOf(found->second.pool) != nullptr
           && isCold(found->second, now);
}

/// Computes this VM's share if the list of VMs has changed. The selected VMs begin one after
/// another, so that their requests are spread over the interval.
void cold_engines::updateShare(std::string_view engine, cold_state &state, const known_vms &vms,
                               time_point now) const
{
    const cold_traits *traits = traitsOf(state.pool);
    if (state.listVersion == vms.version() || traits == nullptr)
        return;
    const bool isFirst = state.listVersion == 0;
    state.listVersion = vms.version();
    state.rank = sharerRank(engine, state.incarnation, vms);
    state.share = coldShare(traits->perSecond, vms.list().size(), m_options);
    if (!isFirst || state.rank >= state.share.sharers)
        return;
    const duration offset = state.share.interval * static_cast<std::int64_t>(state.rank)
                            / static_cast<std::int64_t>(state.share.sharers);
    state.nextRequestAt = std::max(state.nextRequestAt, now + offset);
}

bool cold_engines::isExcluded(std::string_view engine, const known_vms &vms, time_point now)
{
    if (m_states.empty())
        return false;
    const auto found = m_states.find(engine);
    if (found == m_states.end() || !isCold(found->second, now)
        || traitsOf(found->second.pool) == nullptr)
        return false;
    const bool mayUseShares = m_listedAt && now >= *m_listedAt + m_options.startDelay;
    if (!mayUseShares)
        return true;
    cold_state &state = found->second;
    updateShare(engine, state, vms, now);
    return state.rank >= state.share.sharers || now < state.nextRequestAt;
}

void cold_engines::requestSent(std::string_view engine, time_point now)
{
    const auto found = m_states.find(engine);
    if (found != m_states.end())
        found->second.nextRequestAt = now + found->second.share.interval;
}

bool cold_engines::tryCharge(std::string_view engine, const known_vms &vms, time_point now)
{
    if (isExcluded(engine, vms, now))
        return false;
    requestSent(engine, now);
    return true;
}

void cold_engines::step(time_point now)
{
    for (auto row = m_states.begin(); row != m_states.end();) {
        const bool isOver = !isCold(row->second, now) && now >= row->second.nextRequestAt;
        row = isOver ? m_states.erase(row) : std::next(row);
    }
}

std::size_t cold_engines::coldCount(time_point now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_states.begin(), m_states.end(), [&](const auto &row) {
                return isCold(row.second, now) && traitsOf(row.second.pool) != nullptr;
            }));
}

double cold_engines::rate(const known_vms &vms, time_point now)
{
    double sum = 0.0;
    for (auto &[engine, state] : m_states) {
        updateShare(engine, state, vms, now);
        if (isCold(state, now) && state.rank < state.share.sharers)
            sum += 1.0 / toSeconds(state.share.interval);
    }
    return sum;
}

} // namespace burdockhold
