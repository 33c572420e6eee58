#include "burdockhold/crash_fingerprints.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <iomanip>
#include <iterator>
#include <sstream>
#include <tuple>
#include <utility>

namespace burdockhold {

namespace {

constexpr XXH64_hash_t SegmentSeed = 1;
constexpr XXH64_hash_t RequestSeed = 2;
constexpr std::size_t MaxDoublings = 16;

std::uint64_t hashOf(std::string_view text, XXH64_hash_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

/// Returns the id of a crash of an incarnation whose entry this VM has not read yet, so that the id
/// of the former one's crash was stated.
std::uint32_t laterCrashId(std::uint32_t crash, time_point now)
{
    return shortHash(std::to_string(crash) + "/" + std::to_string(now.time_since_epoch().count()));
}

} // namespace

std::vector<fingerprint> fingerprintsOf(const caller_request &request, std::string_view account)
{
    std::vector<fingerprint> fingerprints;
    for (std::size_t index = 0; index + 1 < request.promptSegments.size(); ++index)
        fingerprints.push_back(hashOf(request.promptSegments[index].id, SegmentSeed));
    std::uint64_t whole = hashOf(account, RequestSeed);
    whole = hashOf(request.method, whole);
    whole = hashOf(request.target, whole);
    for (const prompt_segment &segment : request.promptSegments)
        whole = hashOf(segment.id, whole);
    fingerprints.push_back(hashOf(request.body, whole));
    return fingerprints;
}

std::string formatFingerprint(fingerprint suspect)
{
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(16) << suspect;
    return text.str();
}

std::uint32_t crashId(std::string_view endpoint, std::int64_t incarnation)
{
    return shortHash(std::string(endpoint) + "/" + std::to_string(incarnation));
}

crash_fingerprints::crash_fingerprints(crash_fingerprint_options options)
    : m_options(options)
{
}

bool crash_fingerprints::wasAnswered(fingerprint suspect) const
{
    const suspect_entry *entry = findEntry(suspect);
    return lastAnswer(suspect) != Never || (entry != nullptr && entry->answeredAt != Never);
}

/// Returns the fingerprints of a lost request that may have crashed its endpoint, if none is known
/// to do so.
std::vector<fingerprint> crash_fingerprints::suspectsOf(const std::vector<fingerprint> &request,
                                                        call_progress progress,
                                                        time_point now) const
{
    if (progress == call_progress::Unanswered)
        return request;
    std::vector<fingerprint> suspects;
    std::copy_if(request.begin(), request.end(), std::back_inserter(suspects),
                 [&](fingerprint suspect) {
                     return suspect == request.back() || isBlocked(suspect, now)
                            || !wasAnswered(suspect);
                 });
    return suspects;
}

std::vector<fingerprint> crash_fingerprints::recordCrash(const std::vector<fingerprint> &request,
                                                         std::uint32_t crash, time_point now,
                                                         call_progress progress)
{
    std::vector<fingerprint> suspects;
    std::copy_if(request.begin(), request.end(), std::back_inserter(suspects),
                 [&](fingerprint suspect) { return isBlocked(suspect, now); });
    const bool isTrialLost = std::any_of(suspects.begin(), suspects.end(),
                                         [&](fingerprint suspect) { return isOnTrial(suspect); });
    if (suspects.empty() || isTrialLost)
        suspects = suspectsOf(request, progress, now);
    if (isTrialLost && isKnownCrash(suspects, crash))
        crash = laterCrashId(crash, now);
    std::vector<fingerprint> newlyBlocked;
    for (const fingerprint suspect : suspects) {
        const bool wasBlocked = isBlocked(suspect, now);
        addCrash(entryOf(suspect, now), crash, now, now);
        if (!wasBlocked && isBlocked(suspect, now))
            newlyBlocked.push_back(suspect);
    }
    return newlyBlocked;
}

bool crash_fingerprints::isKnownCrash(const std::vector<fingerprint> &suspects,
                                      std::uint32_t crash) const
{
    return std::any_of(suspects.begin(), suspects.end(), [&](fingerprint suspect) {
        const suspect_entry *entry = findEntry(suspect);
        return entry != nullptr && isOnTrial(suspect) && entry->crashes.count(crash) != 0;
    });
}

std::vector<fingerprint> crash_fingerprints::recordAnswer(const std::vector<fingerprint> &request,
                                                          time_point now)
{
    std::vector<fingerprint> cleared;
    for (const fingerprint answered : request) {
        if (answered != request.back())
            rememberAnswer(answered, now); // The last one is the request itself.
        const auto found = m_suspects.find(answered);
        if (found == m_suspects.end())
            continue;
        suspect_entry &entry = found->second;
        if (strikesOf(entry, now) > 0) {
            cleared.push_back(answered);
            entry.clearanceUntil = now + m_options.clearanceGossipTime;
        }
        entry.answeredAt = now;
        entry.ownAnsweredAt = now;
    }
    return cleared;
}

crash_verdict crash_fingerprints::judge(const std::vector<fingerprint> &request,
                                        const trial_group &group, time_point now) const
{
    crash_verdict verdict = not_blocked{};
    for (const fingerprint suspect : request) {
        const suspect_entry *entry = findEntry(suspect);
        if (entry == nullptr || !blocks(*entry, now))
            continue;
        const std::size_t count = strikesOf(*entry, now);
        const std::size_t failed = failedTrials(*entry);
        const time_point due = std::max(newestCrash(*entry), entry->trialAt)
                               + trialIntervalAfter(failed);
        const bool isCertain = failed > 0
                               && separateStrikes(*entry) >= m_options.strikesToEndTrials;
        if (isCertain || failed >= m_options.maxFailedTrials)
            return blocked_request{ suspect, count,
                                    newestCrash(*entry) + m_options.strikeLifetime - now };
        if (now < due)
            return blocked_request{ suspect, count, due - now };
        const auto slot = static_cast<std::size_t>((now - due) / m_options.trialSlot);
        if (trialRank(suspect, count, group) > slot)
            return blocked_request{ suspect, count, m_options.trialSlot };
        verdict = trial_of_blocked{ suspect };
    }
    return verdict;
}

/// Returns how many other VMs come before this one in the order of a trial.
std::size_t crash_fingerprints::trialRank(fingerprint suspect, std::size_t strikes,
                                          const trial_group &group)
{
    if (group.others == nullptr)
        return 0;
    const auto weightOf = [&](std::uint32_t vm) {
        const std::array<std::uint64_t, 3> key{ suspect, strikes, vm };
        return XXH64(key.data(), sizeof key, 0);
    };
    const std::uint64_t own = weightOf(group.own);
    return static_cast<std::size_t>(
            std::count_if(group.others->begin(), group.others->end(),
                          [&](std::uint32_t vm) { return weightOf(vm) < own; }));
}

crash_row crash_fingerprints::rowOf(fingerprint suspect, time_point now) const
{
    crash_row row;
    row.fingerprint = suspect;
    const suspect_entry *entry = findEntry(suspect);
    if (entry == nullptr)
        return row;
    if (strikesOf(*entry, now) > 0) {
        for (const auto &[crash, at] : entry->crashes) {
            if (at > entry->answeredAt)
                row.crashes.push_back({ crash, digestMilliseconds(now - at) });
        }
    }
    if (entry->ownAnsweredAt != Never)
        row.answeredAgeMs = digestMilliseconds(now - entry->ownAnsweredAt);
    if (entry->ownTrialAt != Never)
        row.trialAgeMs = digestMilliseconds(now - entry->ownTrialAt);
    return row;
}

void crash_fingerprints::recordTrial(fingerprint suspect, time_point now)
{
    suspect_entry &entry = entryOf(suspect, now);
    entry.trialAt = now;
    entry.ownTrialAt = now;
}

std::size_t crash_fingerprints::strikes(fingerprint suspect, time_point now) const
{
    const suspect_entry *entry = findEntry(suspect);
    return entry == nullptr ? 0 : strikesOf(*entry, now);
}

bool crash_fingerprints::isBlocked(fingerprint suspect, time_point now) const
{
    const suspect_entry *entry = findEntry(suspect);
    return entry != nullptr && blocks(*entry, now);
}

bool crash_fingerprints::isAnyBlocked(const std::vector<fingerprint> &request, time_point now) const
{
    return std::any_of(request.begin(), request.end(),
                       [&](fingerprint suspect) { return isBlocked(suspect, now); });
}

std::size_t crash_fingerprints::blockedCount(time_point now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_suspects.begin(), m_suspects.end(),
                          [&](const auto &suspect) { return blocks(suspect.second, now); }));
}

std::vector<crash_row> crash_fingerprints::digestRows(time_point now) const
{
    using ranked_row = std::tuple<std::size_t, time_point, crash_row>;
    std::vector<ranked_row> ranked;
    for (const auto &[suspect, entry] : m_suspects) {
        crash_row row = rowOf(suspect, now);
        const bool reportsAnswer = now < entry.clearanceUntil;
        if (row.crashes.empty() && !reportsAnswer)
            continue;
        // A clearance precedes single strikes: without it other VMs keep a block.
        const std::size_t weight = reportsAnswer ? m_options.strikesToBlock : row.crashes.size();
        ranked.emplace_back(weight, entry.reportedAt, std::move(row));
    }
    std::sort(ranked.begin(), ranked.end(), [](const ranked_row &a, const ranked_row &b) {
        return std::tie(std::get<0>(a), std::get<1>(a), std::get<2>(a).fingerprint)
               > std::tie(std::get<0>(b), std::get<1>(b), std::get<2>(b).fingerprint);
    });
    std::vector<crash_row> rows;
    for (auto &[weight, at, row] : ranked) {
        if (rows.size() == m_options.maxDigestRows)
            break;
        rows.push_back(std::move(row));
    }
    return rows;
}

bool crash_fingerprints::applyPeerRow(const crash_row &row, time_point now)
{
    const bool wasBlocked = isBlocked(row.fingerprint, now);
    suspect_entry &entry = entryOf(row.fingerprint, now);
    bool contradicted = false;
    for (const crash_report_row &reported : row.crashes) {
        const time_point at = now - std::chrono::milliseconds(reported.ageMs);
        addCrash(entry, reported.crash, at, now);
        contradicted = contradicted || at <= entry.ownAnsweredAt;
    }
    if (row.answeredAgeMs != crash_row::NoTime) {
        entry.answeredAt = std::max<time_point>(entry.answeredAt,
                                                now - std::chrono::milliseconds(row.answeredAgeMs));
        entry.reportedAt = now;
    }
    if (row.trialAgeMs != crash_row::NoTime)
        entry.trialAt = std::max<time_point>(entry.trialAt,
                                             now - std::chrono::milliseconds(row.trialAgeMs));
    if (contradicted)
        entry.clearanceUntil = now + m_options.clearanceGossipTime;
    return !wasBlocked && isBlocked(row.fingerprint, now);
}

void crash_fingerprints::step(time_point now)
{
    for (auto suspect = m_suspects.begin(); suspect != m_suspects.end();) {
        const bool expired = strikesOf(suspect->second, now) == 0
                             && now >= suspect->second.clearanceUntil
                             && now >= suspect->second.reportedAt + m_options.clearanceGossipTime;
        suspect = expired ? m_suspects.erase(suspect) : std::next(suspect);
    }
}

crash_fingerprints::suspect_entry &crash_fingerprints::entryOf(fingerprint suspect, time_point now)
{
    const auto found = m_suspects.find(suspect);
    if (found != m_suspects.end())
        return found->second;
    if (m_suspects.size() >= m_options.maxSuspects)
        step(now);
    if (m_suspects.size() >= m_options.maxSuspects)
        dropWeakestSuspect(now);
    suspect_entry &entry = m_suspects[suspect];
    entry.ownAnsweredAt = lastAnswer(suspect);
    entry.answeredAt = entry.ownAnsweredAt;
    return entry;
}

const crash_fingerprints::suspect_entry *crash_fingerprints::findEntry(fingerprint suspect) const
{
    const auto found = m_suspects.find(suspect);
    return found == m_suspects.end() ? nullptr : &found->second;
}

/// Returns the number of strikes that have neither been cleared nor expired.
std::size_t crash_fingerprints::strikesOf(const suspect_entry &entry, time_point now) const
{
    const auto count = static_cast<std::size_t>(
            std::count_if(entry.crashes.begin(), entry.crashes.end(),
                          [&](const auto &crash) { return crash.second > entry.answeredAt; }));
    const duration lifetime = count < 2 ? m_options.singleStrikeLifetime : m_options.strikeLifetime;
    return now - newestCrash(entry) < lifetime ? count : 0;
}

time_point crash_fingerprints::newestCrash(const suspect_entry &entry) const
{
    time_point newest = Never;
    for (const auto &[crash, at] : entry.crashes)
        newest = std::max(newest, at);
    return newest;
}

void crash_fingerprints::addCrash(suspect_entry &entry, std::uint32_t crash, time_point at,
                                  time_point now)
{
    const auto [known, isNew] = entry.crashes.try_emplace(crash, at);
    if (!isNew) {
        known->second = std::min(known->second, at);
        return;
    }
    entry.reportedAt = now;
    if (entry.crashes.size() > m_options.maxStrikes)
        dropStrike(entry);
}

/// Drops the oldest crash before the last answer, else the second oldest: the oldest one shows over
/// which time endpoints have crashed.
void crash_fingerprints::dropStrike(suspect_entry &entry)
{
    const auto isOlder = [](const auto &a, const auto &b) { return a.second < b.second; };
    const auto oldest = std::min_element(entry.crashes.begin(), entry.crashes.end(), isOlder);
    if (oldest->second <= entry.answeredAt) {
        entry.crashes.erase(oldest);
        return;
    }
    const auto kept = *oldest;
    entry.crashes.erase(oldest);
    entry.crashes.erase(std::min_element(entry.crashes.begin(), entry.crashes.end(), isOlder));
    entry.crashes.insert(kept);
}

std::size_t crash_fingerprints::thresholdOf(const suspect_entry &entry) const
{
    return entry.answeredAt == Never ? m_options.strikesToBlock : m_options.strikesToBlockAnswered;
}

bool crash_fingerprints::blocks(const suspect_entry &entry, time_point now) const
{
    if (strikesOf(entry, now) < thresholdOf(entry))
        return false;
    if (entry.answeredAt == Never)
        return true;
    const std::vector<time_point> times = strikeTimes(entry);
    return times.back() - times.front() >= m_options.minBlockSpan;
}

/// Returns the times of the crashes since the last answer in ascending order.
std::vector<time_point> crash_fingerprints::strikeTimes(const suspect_entry &entry)
{
    std::vector<time_point> times;
    for (const auto &[crash, at] : entry.crashes) {
        if (at > entry.answeredAt)
            times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    return times;
}

/// Returns the number of strikes, where those that follow one within commonCauseTime do not count.
std::size_t crash_fingerprints::separateStrikes(const suspect_entry &entry) const
{
    std::size_t count = 0;
    time_point counted = Never;
    for (const time_point at : strikeTimes(entry)) {
        if (at - counted < m_options.commonCauseTime)
            continue;
        ++count;
        counted = at;
    }
    return count;
}

/// Returns whether the last crash with this fingerprint is older than this VM's last trial of it.
bool crash_fingerprints::isOnTrial(fingerprint suspect) const
{
    const suspect_entry *entry = findEntry(suspect);
    return entry != nullptr && entry->ownTrialAt > newestCrash(*entry);
}

/// Returns the number of trials that ended in a crash: crashes since the block that came a trial's
/// interval after the one before. Crashes that came together were on their way already.
std::size_t crash_fingerprints::failedTrials(const suspect_entry &entry) const
{
    const std::vector<time_point> times = strikeTimes(entry);
    std::size_t failed = 0;
    for (std::size_t index = thresholdOf(entry); index < times.size(); ++index)
        failed += times[index] - times[index - 1] >= m_options.trialInterval * 9 / 10 ? 1 : 0;
    return failed;
}

duration crash_fingerprints::trialIntervalAfter(std::size_t failedTrials) const
{
    const auto factor = 1LL << std::min(failedTrials, MaxDoublings);
    return std::min<duration>(m_options.trialInterval * factor, m_options.maxTrialInterval);
}

time_point crash_fingerprints::lastAnswer(fingerprint suspect) const
{
    for (const answer_times *answers : { &m_recentAnswers, &m_olderAnswers }) {
        const auto found = answers->find(suspect);
        if (found != answers->end())
            return found->second;
    }
    return Never;
}

void crash_fingerprints::rememberAnswer(fingerprint suspect, time_point now)
{
    m_recentAnswers[suspect] = now;
    if (m_recentAnswers.size() < m_options.recentAnswers)
        return;
    m_olderAnswers = std::move(m_recentAnswers);
    m_recentAnswers = {};
}

void crash_fingerprints::dropWeakestSuspect(time_point now)
{
    const auto rank = [&](const auto &suspect) {
        return std::make_pair(strikesOf(suspect.second, now), suspect.second.reportedAt);
    };
    m_suspects.erase(
            std::min_element(m_suspects.begin(), m_suspects.end(),
                             [&](const auto &a, const auto &b) { return rank(a) < rank(b); }));
}

} // namespace burdockhold
