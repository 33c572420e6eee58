#include "burdockhold/endpoint_contact.h"

#include <algorithm>
#include <iterator>

namespace burdockhold {

void endpoint_contact::attemptEnded(const std::string &address, bool connected,
                                    time_point startedAt, time_point now)
{
    if (!connected && startedAt <= m_lastSuccess)
        return;
    m_probing.erase(address);
    if (connected) {
        m_lastSuccess = now;
        m_probing.clear();
        m_failures.clear();
        m_state = contact_state::InTouch;
        m_roundRuns = false;
        return;
    }
    m_failures[address] = now;
    if (m_state == contact_state::Doubtful && m_roundRuns && m_probing.empty()) {
        m_state = contact_state::Lost;
        m_roundRuns = false;
    }
}

std::vector<std::string> endpoint_contact::step(const target_list &targets, std::size_t seed,
                                                time_point now)
{
    forgetOldFailures(now);
    if (m_state == contact_state::InTouch && !m_failures.empty()) {
        const std::vector<contact_target> listed = targets();
        if (!hasDoubt(listed.size()))
            return {};
        m_state = contact_state::Doubtful;
        return startRound(chooseProbes(listed, m_options.doubtProbes, seed));
    }
    if (m_state != contact_state::Lost || !m_probing.empty() || now < m_nextRoundAt)
        return {};
    m_nextRoundAt = now + m_options.lostProbeInterval;
    return startRound(chooseProbes(targets(), m_options.lostProbes, seed));
}

bool endpoint_contact::hasDoubt(std::size_t targets) const
{
    return targets > 0 && m_failures.size() >= std::min(m_options.failuresForDoubt, targets);
}

void endpoint_contact::forgetOldFailures(time_point now)
{
    if (m_state != contact_state::InTouch)
        return;
    for (auto failure = m_failures.begin(); failure != m_failures.end();)
        failure = now - failure->second > m_options.failureMemory ? m_failures.erase(failure)
                                                                  : std::next(failure);
}

std::vector<std::string> endpoint_contact::startRound(std::vector<std::string> addresses)
{
    m_probing = { addresses.begin(), addresses.end() };
    m_roundRuns = !addresses.empty();
    return addresses;
}

/// Returns endpoints of all pools in turn, those that have not failed first.
std::vector<std::string> endpoint_contact::chooseProbes(const std::vector<contact_target> &targets,
                                                        std::size_t count, std::size_t seed) const
{
    std::map<std::string, std::vector<std::string>> byPool;
    std::size_t available = 0;
    for (const contact_target &target : targets) {
        byPool[target.pool].push_back(target.address);
        ++available;
    }
    for (auto &[pool, addresses] : byPool) {
        std::sort(addresses.begin(), addresses.end());
        std::rotate(addresses.begin(),
                    addresses.begin() + static_cast<std::ptrdiff_t>(seed % addresses.size()),
                    addresses.end());
        std::stable_partition(addresses.begin(), addresses.end(), [this](const auto &address) {
            return m_failures.count(address) == 0;
        });
    }
    const std::size_t wanted = std::min(std::max(count, byPool.size()), available);
    std::vector<std::string> chosen;
    for (std::size_t rank = 0; chosen.size() < wanted; ++rank) {
        for (const auto &[pool, addresses] : byPool) {
            if (rank < addresses.size() && chosen.size() < wanted)
                chosen.push_back(addresses[rank]);
        }
    }
    return chosen;
}

} // namespace burdockhold
