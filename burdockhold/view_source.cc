#include "burdockhold/view_source.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace burdockhold {

namespace {

// Gives an order other than that of aggregator candidates, since aggregators have other work to do.
constexpr std::uint64_t OrderSeed = 1;

/// Returns the sort key of a VM. VMs with a lower key are preferred as readers.
std::tuple<std::uint32_t, std::uint64_t, std::string_view> rankKeyOf(std::string_view vm,
                                                                     std::uint32_t capacity)
{
    return { UINT32_MAX - capacity, XXH64(vm.data(), vm.size(), OrderSeed), vm };
}

auto rankKeyOf(const group_vm &vm)
{
    return rankKeyOf(vm.name, vm.capacity);
}

} // namespace

view_source::view_source(view_source_options options, std::string ownName,
                         std::uint32_t ownCapacity)
    : m_options(options)
    , m_ownName(std::move(ownName))
    , m_ownCapacity(ownCapacity)
{
}

void view_source::begin(time_point now)
{
    if (!m_startedAt)
        m_startedAt = now;
}

void view_source::setGroup(std::vector<group_vm> others)
{
    std::sort(others.begin(), others.end(),
              [](const group_vm &a, const group_vm &b) { return rankKeyOf(a) < rankKeyOf(b); });
    const auto own = rankKeyOf(m_ownName, m_ownCapacity);
    const auto firstLower = std::find_if(others.begin(), others.end(), [&](const group_vm &vm) {
        return !(rankKeyOf(vm) < own);
    });
    m_rank = static_cast<std::size_t>(firstLower - others.begin());
    m_others = std::move(others);
}

void view_source::requestReceived(time_point now)
{
    m_lastRequestAt = now;
}

void view_source::responseReceived(const std::string &vm, bool fresh, time_point now)
{
    if (!fresh) {
        m_freshSince.reset();
        m_lastStaleAt[vm] = now;
        return;
    }
    m_lastStaleAt.erase(vm);
    if (!m_freshSince)
        m_freshSince = now;
}

void view_source::setViewFresh(bool fresh)
{
    m_viewFresh = fresh;
    m_viewWasFresh = m_viewWasFresh || fresh;
    if (!fresh)
        m_freshSince.reset();
}

void view_source::requestFailed(const std::string &vm, time_point now)
{
    m_lastFailureAt[vm] = now;
    m_freshSince.reset();
    for (auto row = m_lastFailureAt.begin(); row != m_lastFailureAt.end();)
        row = isBackedOff(row->first, now) ? std::next(row) : m_lastFailureAt.erase(row);
    for (auto row = m_lastStaleAt.begin(); row != m_lastStaleAt.end();)
        row = wasStale(row->first, now) ? std::next(row) : m_lastStaleAt.erase(row);
}

bool view_source::isBackedOff(const std::string &vm, time_point now) const
{
    const auto found = m_lastFailureAt.find(vm);
    return found != m_lastFailureAt.end() && now - found->second < m_options.failureBackoff;
}

bool view_source::wasStale(const std::string &vm, time_point now) const
{
    const auto found = m_lastStaleAt.find(vm);
    return found != m_lastStaleAt.end() && now - found->second < m_options.staleBackoff;
}

std::optional<group_vm> view_source::preferredReader(time_point now) const
{
    const auto end = m_others.begin() + static_cast<std::ptrdiff_t>(m_rank);
    const auto found = std::find_if(m_others.begin(), end,
                                    [&](const group_vm &vm) { return !isBackedOff(vm.name, now); });
    return found == end ? std::nullopt : std::optional<group_vm>(*found);
}

std::optional<group_vm> view_source::fallbackReader(time_point now) const
{
    const std::size_t count = std::min(m_others.size(), m_options.fallbackReaders);
    const auto end = m_others.begin() + static_cast<std::ptrdiff_t>(count);
    const auto found = std::find_if(m_others.begin(), end, [&](const group_vm &vm) {
        return !isBackedOff(vm.name, now) && !wasStale(vm.name, now);
    });
    return found == end ? std::nullopt : std::optional<group_vm>(*found);
}

bool view_source::needsAnyView(time_point now) const
{
    return m_startedAt && !m_viewFresh
           && (m_viewWasFresh || now - *m_startedAt >= m_options.startupTimeout);
}

std::optional<group_vm> view_source::vmToRequestFrom(time_point now) const
{
    if (needsAnyView(now))
        return fallbackReader(now);
    return maySendRequests(now) ? preferredReader(now) : std::nullopt;
}

bool view_source::hasRecentRequest(time_point now) const
{
    return m_lastRequestAt && now - *m_lastRequestAt < m_options.readingLinger;
}

bool view_source::shouldReadLog(time_point now)
{
    m_cause = decideCause(now);
    return m_cause != reading_cause::None;
}

reading_cause view_source::decideCause(time_point now) const
{
    if (!m_startedAt)
        return reading_cause::None;
    if (hasRecentRequest(now))
        return reading_cause::Requested;
    if (!preferredReader(now))
        return reading_cause::RanksFirst;
    const bool startupTimedOut = now - *m_startedAt >= m_options.startupTimeout;
    if (!m_freshSince && startupTimedOut && !m_responseArriving)
        return reading_cause::NoFreshView;
    const bool freshLongEnough = m_freshSince && now - *m_freshSince >= m_options.readingLinger;
    if (m_cause == reading_cause::None || freshLongEnough)
        return reading_cause::None;
    return reading_cause::Lingering;
}

} // namespace burdockhold
