#include "burdockhold/view_source.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace burdockhold {

namespace {

// Another order than that of the speakers of data centres, which have work of their own.
constexpr std::uint64_t OrderSeed = 1;

/// VMs with a lower place come first.
std::tuple<std::uint32_t, std::uint64_t, std::string_view> placeOf(std::string_view vm,
                                                                   std::uint32_t capacity)
{
    return { UINT32_MAX - capacity, XXH64(vm.data(), vm.size(), OrderSeed), vm };
}

auto placeOf(const group_vm &vm)
{
    return placeOf(vm.name, vm.capacity);
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
    if (!m_begunAt)
        m_begunAt = now;
}

void view_source::setGroup(std::vector<group_vm> others)
{
    const auto own = placeOf(m_ownName, m_ownCapacity);
    others.erase(std::remove_if(others.begin(), others.end(),
                                [&](const group_vm &vm) { return !(placeOf(vm) < own); }),
                 others.end());
    std::sort(others.begin(), others.end(),
              [](const group_vm &a, const group_vm &b) { return placeOf(a) < placeOf(b); });
    m_before = std::move(others);
    m_rank = m_before.size();
}

void view_source::asked(time_point now)
{
    m_askedAt = now;
}

void view_source::answered(bool fresh, time_point now)
{
    if (!fresh)
        m_freshSince.reset();
    else if (!m_freshSince)
        m_freshSince = now;
}

void view_source::failed(const std::string &vm, time_point now)
{
    m_failedAt[vm] = now;
    m_freshSince.reset();
    for (auto row = m_failedAt.begin(); row != m_failedAt.end();)
        row = isAvoided(row->first, now) ? std::next(row) : m_failedAt.erase(row);
}

bool view_source::isAvoided(const std::string &vm, time_point now) const
{
    const auto found = m_failedAt.find(vm);
    return found != m_failedAt.end() && now - found->second < m_options.avoidFailed;
}

std::optional<group_vm> view_source::target(time_point now) const
{
    const auto found = std::find_if(m_before.begin(), m_before.end(),
                                    [&](const group_vm &vm) { return !isAvoided(vm.name, now); });
    return found == m_before.end() ? std::nullopt : std::optional<group_vm>(*found);
}

bool view_source::isAskedLately(time_point now) const
{
    return m_askedAt && now - *m_askedAt < m_options.keepReading;
}

bool view_source::shouldReadLog(time_point now)
{
    if (!m_begunAt)
        return false;
    const bool impatient = now - *m_begunAt >= m_options.startupTimeout;
    const bool lacksView = !m_freshSince && impatient;
    const bool settled = m_freshSince && now - *m_freshSince >= m_options.keepReading;
    if (isAskedLately(now) || !target(now) || lacksView)
        m_reading = true;
    else if (settled)
        m_reading = false;
    return m_reading;
}

} // namespace burdockhold
