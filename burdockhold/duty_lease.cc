#include "burdockhold/duty_lease.h"

#include <xxhash.h>

#include <algorithm>

namespace burdockhold {

duty_lease::duty_lease(duty_lease_options options, int partitionCount)
    : m_options(options)
    , m_heldSince(static_cast<std::size_t>(std::max(1, partitionCount)))
{
}

void duty_lease::joined(std::int64_t generation, const std::vector<int> &partitions,
                        duration sentAt)
{
    // An answer that arrives late must not bring back an older generation.
    if (generation < m_generation)
        return;
    const bool lapsed = sentAt >= m_validUntil;
    m_generation = generation;
    m_validUntil = sentAt + m_options.ttl;
    for (std::size_t number = 0; number < m_heldSince.size(); ++number) {
        const bool held = std::find(partitions.begin(), partitions.end(), static_cast<int>(number))
                != partitions.end();
        if (!held)
            m_heldSince[number].reset();
        else if (!m_heldSince[number] || lapsed)
            m_heldSince[number] = sentAt;
    }
}

std::optional<std::int64_t> duty_lease::tokenFor(std::string_view duty, duration othersActedAt,
                                                 duration now) const
{
    if (!holds(duty, now))
        return std::nullopt;
    const duration since = *m_heldSince[static_cast<std::size_t>(partitionOf(duty))];
    if (now < since + m_options.ttl || now < othersActedAt + m_options.takeoverWait)
        return std::nullopt;
    return m_generation;
}

bool duty_lease::holds(std::string_view duty, duration now) const
{
    return m_heldSince[static_cast<std::size_t>(partitionOf(duty))] && now < m_validUntil;
}

void duty_lease::release()
{
    m_validUntil = duration::zero();
    std::fill(m_heldSince.begin(), m_heldSince.end(), std::nullopt);
}

int duty_lease::partitionOf(std::string_view duty) const
{
    return static_cast<int>(XXH64(duty.data(), duty.size(), 0) % m_heldSince.size());
}

} // namespace burdockhold
