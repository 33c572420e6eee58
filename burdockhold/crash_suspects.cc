#include "burdockhold/crash_suspects.h"

#include "burdockhold/hash.h"

#include <algorithm>
#include <iterator>

namespace burdockhold {

namespace {

constexpr log_time_ms MaxAheadMs = 60LL
                                   * 1000; // Clocks of VMs between two log reads differ little.

} // namespace

std::string requestDigest(std::string_view account, std::string_view body)
{
    // The length keeps account "a" with body "bc" apart from account "ab" with body "c".
    std::string text = std::to_string(account.size()) + ":";
    text.append(account);
    text.append(sha256Hex(body));
    return sha256Hex(text);
}

crash_suspects::crash_suspects(suspect_options options)
    : m_options(options)
{
}

bool crash_suspects::isLive(log_time_ms time, log_time_ms now) const
{
    return time + m_options.memoryMs > now;
}

void crash_suspects::add(const crash_report &report, log_time_ms now)
{
    if (!isLive(report.time, now) || report.time > now + MaxAheadMs)
        return;
    crash_times &crashes = m_suspects[report.digest];
    const auto [it, added] = crashes.emplace(crash(report.endpoint, report.incarnation),
                                             report.time);
    if (!added)
        it->second = std::min(it->second, report.time);
    trimCrashes(crashes);
    if (m_suspects.size() > m_options.maxSuspects) {
        forgetExpired(now);
        trimSuspects();
    }
}

void crash_suspects::trimCrashes(crash_times &crashes) const
{
    while (crashes.size() > m_options.maxCrashesPerSuspect) {
        const auto oldest = std::min_element(
                crashes.begin(), crashes.end(), [](const auto &a, const auto &b) {
                    return std::tie(a.second, a.first) < std::tie(b.second, b.first);
                });
        crashes.erase(oldest);
    }
}

void crash_suspects::trimSuspects()
{
    const auto rank = [&](const auto &suspect) {
        log_time_ms newest = suspect.second.begin()->second;
        for (const auto &[name, time] : suspect.second)
            newest = std::max(newest, time);
        const bool refused = suspect.second.size() >= m_options.strikesToRefuse;
        return std::make_pair(refused, newest);
    };
    while (m_suspects.size() > m_options.maxSuspects) {
        const auto first = std::min_element(
                m_suspects.begin(), m_suspects.end(),
                [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
        m_suspects.erase(first);
    }
}

std::vector<crash_report> crash_suspects::reports(log_time_ms now) const
{
    std::vector<crash_report> all;
    for (const auto &[digest, crashes] : m_suspects) {
        for (const auto &[name, time] : crashes) {
            if (isLive(time, now))
                all.push_back({ digest, name.first, name.second, time });
        }
    }
    return all;
}

std::size_t crash_suspects::strikes(const std::string &digest, log_time_ms now) const
{
    const auto it = m_suspects.find(digest);
    if (it == m_suspects.end())
        return 0;
    return static_cast<std::size_t>(
            std::count_if(it->second.begin(), it->second.end(),
                          [&](const auto &entry) { return isLive(entry.second, now); }));
}

bool crash_suspects::isRefused(const std::string &digest, log_time_ms now) const
{
    return strikes(digest, now) >= m_options.strikesToRefuse;
}

std::string crash_suspects::endpointFor(const std::string &digest,
                                        std::vector<std::string> endpoints, log_time_ms now) const
{
    const std::size_t own = strikes(digest, now);
    if (endpoints.empty() || own == 0 || own >= m_options.strikesToRefuse)
        return {};
    std::sort(endpoints.begin(), endpoints.end());
    std::size_t rank = 0;
    for (auto it = m_suspects.begin(); it != m_suspects.end() && it->first < digest; ++it) {
        const std::size_t count = strikes(it->first, now);
        if (count > 0 && count < m_options.strikesToRefuse)
            ++rank;
    }
    return endpoints[rank % endpoints.size()];
}

void crash_suspects::forgetExpired(log_time_ms now)
{
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        crash_times &crashes = it->second;
        for (auto entry = crashes.begin(); entry != crashes.end();)
            entry = isLive(entry->second, now) ? std::next(entry) : crashes.erase(entry);
        it = crashes.empty() ? m_suspects.erase(it) : std::next(it);
    }
}

} // namespace burdockhold
