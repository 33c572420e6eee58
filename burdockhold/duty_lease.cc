#include "burdockhold/duty_lease.h"

#include "burdockhold/fencing_token.h"

#include <xxhash.h>

#include <algorithm>

namespace burdockhold {

namespace {

std::uint64_t seededHash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace

duty_lease::duty_lease(duty_lease_options options, std::string_view duty, int partitionCount,
                       duration startedAt)
    : m_options(options)
    , m_partition(dutyPartition(duty, partitionCount))
    , m_orderedAt(startedAt)
{
}

void duty_lease::joined(std::int64_t generation, const std::vector<int> &partitions,
                        duration sentAt, duration now, bool handedOver)
{
    if (sentAt < m_joinSentAt)
        return;
    m_joinSentAt = sentAt;
    // The membership cannot have expired at the log if both joins arrived there within the ttl.
    const bool mayHaveExpired = now >= m_validUntil;
    // The group is that of a copy if its generation has fallen. The duty can only have gone to
    // another VM and back in two changes of the group.
    const bool mayHaveMoved = generation < m_generation || generation > m_generation + 1;
    m_generation = generation;
    m_validUntil = sentAt + m_options.ttl;
    if (!isListed(partitions)) {
        m_heldSince.reset();
    } else if (!m_heldSince || mayHaveExpired || mayHaveMoved) {
        const bool follows = handedOver && !m_heldSince;
        m_heldSince = now;
        m_actsFrom = std::max(now + (follows ? m_options.takeoverWait : waitAfterTakeover()),
                              m_orderedAt + m_options.orderSpacing);
    }
}

void duty_lease::setEra(std::int64_t era)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_generation = 0;
    m_leastTerm = 0;
    release();
}

bool duty_lease::isListed(const std::vector<int> &partitions) const
{
    return std::find(partitions.begin(), partitions.end(), m_partition) != partitions.end();
}

bool duty_lease::holds(duration now) const
{
    return m_heldSince && now < m_validUntil;
}

std::optional<std::int64_t> duty_lease::token(duration now, duration othersOrderAge) const
{
    if (!holds(now) || now < m_actsFrom || othersOrderAge < m_options.orderSpacing)
        return std::nullopt;
    return heldToken(now);
}

duration duty_lease::waitAfterTakeover() const
{
    return m_options.orderSpacing == duration::zero() ? m_options.takeoverWait : m_options.ttl;
}

std::optional<std::int64_t> duty_lease::heldToken(duration now) const
{
    if (!holds(now))
        return std::nullopt;
    return fencing_token{ m_era, term(), m_options.vm }.value();
}

bool duty_lease::shouldJoin(duration now, duration holderSilence, std::size_t rank) const
{
    return holds(now)
           || holderSilence > m_options.claimDelay
                                      + m_options.rankDelay * static_cast<std::int64_t>(rank);
}

void duty_lease::release()
{
    m_validUntil = duration::zero();
    m_heldSince.reset();
}

void duty_lease::tokenRefused()
{
    m_leastTerm = term() + 1;
    release();
}

std::int64_t duty_lease::term() const
{
    return std::max(m_generation, m_leastTerm);
}

int dutyPartition(std::string_view duty, int partitionCount)
{
    return static_cast<int>(seededHash(duty, 0)
                            % static_cast<std::uint64_t>(std::max(1, partitionCount)));
}

std::size_t dutyRank(std::string_view duty, std::uint32_t ownVm,
                     const std::vector<std::uint32_t> &otherVms)
{
    const std::uint64_t seed = seededHash(duty, 1);
    const auto score = [seed](std::uint32_t vm) { return XXH64(&vm, sizeof vm, seed); };
    const std::uint64_t own = score(ownVm);
    return static_cast<std::size_t>(std::count_if(
            otherVms.begin(), otherVms.end(), [&](std::uint32_t vm) { return score(vm) < own; }));
}

} // namespace burdockhold
