#include "burdockhold/memory_budget.h"

#include <algorithm>
#include <limits>

namespace burdockhold {

namespace {

// Resident memory stays below 0.8 of the limit. The difference covers what the allocator adds.
constexpr double UsableShare = 0.75;
// What the process holds without clients: its program, the deployment and the views. It was 6.3 MB
// with a small deployment, and grows with the memory that a deployment gives to a VM.
constexpr std::size_t MinProcessBytes = std::size_t(8) * 1024 * 1024;
constexpr double ProcessShare = 0.15;

// Shares of the sum.
constexpr double ConnectionsShare = 0.25;
constexpr double HeadsShare = 0.25;
constexpr double BodiesShare = 0.75;
constexpr double RequestsShare = 0.4;
constexpr double ResponsesShare = 0.4;
constexpr double OutputShare = 0.3;

// A client may have what is left for output divided by this.
constexpr std::size_t UnreadDivisor = 8;
constexpr std::size_t MinUnreadBytes = std::size_t(16) * 1024;
constexpr std::size_t MaxUnreadBytes = std::size_t(256) * 1024;

std::size_t shareOf(std::size_t bytes, double share)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

std::size_t sumFor(std::size_t memoryBytes)
{
    const std::size_t process = std::max(MinProcessBytes, shareOf(memoryBytes, ProcessShare));
    const std::size_t usable = shareOf(memoryBytes, UsableShare);
    // Of very little memory, clients get a quarter, so that the process serves at all.
    return std::max(usable - std::min(usable, process), memoryBytes / 4);
}

std::size_t leftOf(std::size_t limit, std::size_t used)
{
    return limit - std::min(limit, used);
}

} // namespace

memory_budget::memory_budget(const memory_budget_options &options)
    : m_limit(sumFor(options.memoryBytes))
    , m_parts{ { { shareOf(m_limit, ConnectionsShare) },
                 { shareOf(m_limit, HeadsShare) },
                 { shareOf(m_limit, BodiesShare) },
                 { shareOf(m_limit, RequestsShare) },
                 { shareOf(m_limit, ResponsesShare) },
                 { shareOf(m_limit, OutputShare) } } }
{
    if (!options.unlimited)
        return;
    m_limit = std::numeric_limits<std::size_t>::max();
    for (part_state &part : m_parts)
        part.limit = m_limit;
}

bool memory_budget::tryTake(memory_part part, std::size_t bytes)
{
    const part_state &state = m_parts[indexOf(part)];
    while (true) {
        const bool fitsPart = bytes <= leftOf(state.limit, state.used);
        if (fitsPart && bytes <= leftOf(m_limit, m_used)) {
            take(part, bytes);
            return true;
        }
        const auto scarce = fitsPart ? std::nullopt : std::optional<memory_part>(part);
        if (!m_reclaim || !m_reclaim(scarce))
            return false;
    }
}

void memory_budget::take(memory_part part, std::size_t bytes)
{
    m_parts[indexOf(part)].used += bytes;
    m_used += bytes;
}

void memory_budget::give(memory_part part, std::size_t bytes)
{
    m_parts[indexOf(part)].used -= bytes;
    m_used -= bytes;
}

std::size_t memory_budget::unreadLimit() const
{
    const std::size_t left = std::min(leftOf(limit(memory_part::Output), used(memory_part::Output)),
                                      leftOf(m_limit, m_used));
    return std::clamp(left / UnreadDivisor, MinUnreadBytes, MaxUnreadBytes);
}

descriptor_shares::descriptor_shares(int descriptors)
{
    // VMs of a data centre at the target size, and the load balancers of one.
    constexpr std::size_t MaxVms = 512;
    constexpr std::size_t MaxReadiness = 32;
    constexpr std::size_t Divisor = 8;
    const std::size_t total = static_cast<std::size_t>(std::max(descriptors, 16));
    vms = std::min(MaxVms, total / Divisor);
    readiness = std::min(MaxReadiness, total / Divisor / 2);
    // The log, the datagrams, and idle connections to endpoints.
    const std::size_t own = total / Divisor + 8;
    clients = std::max<std::size_t>(leftOf(total, vms + readiness + own), 1);
}

} // namespace burdockhold
