#include "burdockhold/move_evidence.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace burdockhold {

namespace {

constexpr std::size_t LatenciesForThreshold = 50;
constexpr double SlowFactor = 1.5;
constexpr double SlowQuantile = 0.9;
// Averages the old version's ratio over about 200 requests: long enough to be steady, short enough
// that a fault of both versions raises p0 before it halts the move.
constexpr double OldRatioWeight = 1.0 / 200.0;
// Fewer outcomes of the old version say too little about its current ratio.
constexpr std::uint64_t OutcomesForRatio = 50;
constexpr double HighestRatio = 0.99;
constexpr double SignalsTimesTesters = 4.0;

double ratioOf(std::uint64_t part, std::uint64_t whole)
{
    if (whole < OutcomesForRatio)
        return 0.0;
    return static_cast<double>(part) / static_cast<double>(whole);
}

outcome_counts minus(const outcome_counts &later, const outcome_counts &earlier)
{
    return { later.requests - earlier.requests, later.errors - earlier.errors,
             later.judged - earlier.judged, later.slow - earlier.slow };
}

void addCounts(outcome_counts &target, const outcome_counts &more)
{
    target.requests += more.requests;
    target.errors += more.errors;
    target.judged += more.judged;
    target.slow += more.slow;
}

/// Outcomes of both versions on one route.
struct version_pair
{
    outcome_counts newCounts;
    outcome_counts oldCounts;
};

double sumOf(const evidence_options &options, flaw_signal signal, const outcome_counts &counts,
             double oldRatio)
{
    const bool errors = signal == flaw_signal::Errors;
    const std::uint64_t bad = errors ? counts.errors : counts.slow;
    const std::uint64_t all = errors ? counts.requests : counts.judged;
    const test_steps steps = testSteps(options, signal, oldRatio);
    return static_cast<double>(bad) * steps.bad + static_cast<double>(all - bad) * steps.good;
}

stage_verdict judgeRoute(const version_pair &route, const evidence_options &options)
{
    if (route.newCounts.requests == 0)
        return stage_verdict::Unproven;
    const double errors = sumOf(options, flaw_signal::Errors, route.newCounts,
                                ratioOf(route.oldCounts.errors, route.oldCounts.requests));
    const double slow = sumOf(options, flaw_signal::Slow, route.newCounts,
                              ratioOf(route.oldCounts.slow, route.oldCounts.judged));
    if (errors > 0.0 || slow > 0.0)
        return stage_verdict::Leaning;
    const double pass = std::log(options.miss);
    // Routes without tokens are never judged on time.
    const bool timePasses = slow <= pass || route.newCounts.judged == 0;
    return errors <= pass && timePasses ? stage_verdict::Proven : stage_verdict::Unproven;
}

} // namespace

bool operator<(const evidence_key &left, const evidence_key &right)
{
    return std::tie(left.move, left.stage, left.route, left.isNew, left.vm, left.incarnation)
           < std::tie(right.move, right.stage, right.route, right.isNew, right.vm,
                      right.incarnation);
}

void mergeEvidence(move_evidence &target, const move_evidence &other)
{
    for (const auto &[key, counts] : other) {
        outcome_counts &mine = target[key];
        mine.requests = std::max(mine.requests, counts.requests);
        mine.errors = std::max(mine.errors, counts.errors);
        mine.judged = std::max(mine.judged, counts.judged);
        mine.slow = std::max(mine.slow, counts.slow);
    }
}

test_steps testSteps(const evidence_options &options, flaw_signal signal, double oldRatio)
{
    const bool errors = signal == flaw_signal::Errors;
    const double floor = errors ? options.errorFloor : options.slowFloor;
    const double gap = errors ? options.errorGap : options.slowGap;
    const double p0 = std::min(std::max(floor, 2.0 * oldRatio), HighestRatio - gap);
    const double p1 = p0 + gap;
    return { std::log(p1 / p0), std::log((1.0 - p1) / (1.0 - p0)) };
}

double haltThreshold(const evidence_options &options)
{
    const auto requests = static_cast<double>(options.maxRequests);
    return std::log(SignalsTimesTesters * requests / options.falseAlarm);
}

std::uint64_t outcomesToHalt(const evidence_options &options, flaw_signal signal, double oldRatio)
{
    const double step = testSteps(options, signal, oldRatio).bad;
    return static_cast<std::uint64_t>(std::ceil(haltThreshold(options) / step));
}

std::uint64_t outcomesToAdvance(const evidence_options &options, flaw_signal signal,
                                double oldRatio)
{
    const double step = testSteps(options, signal, oldRatio).good;
    return static_cast<std::uint64_t>(std::ceil(std::log(options.miss) / step));
}

flaw_watch::flaw_watch(const evidence_options &options)
    : m_options(options)
{
}

std::optional<flaw_signal> flaw_watch::add(const outcome_counts &more, double oldErrors,
                                           double oldSlow)
{
    const double threshold = haltThreshold(m_options);
    m_sums[0] = std::max(0.0, m_sums[0] + sumOf(m_options, flaw_signal::Errors, more, oldErrors));
    m_sums[1] = std::max(0.0, m_sums[1] + sumOf(m_options, flaw_signal::Slow, more, oldSlow));
    if (m_sums[0] >= threshold)
        return flaw_signal::Errors;
    if (m_sums[1] >= threshold)
        return flaw_signal::Slow;
    return std::nullopt;
}

bool flaw_watch::pointsToFlaw() const
{
    return std::max(m_sums[0], m_sums[1]) > -std::log(m_options.miss);
}

stage_verdict judgeStage(const move_evidence &evidence, log_offset move, int stage,
                         const evidence_options &options)
{
    std::map<std::string, version_pair> routes;
    bool tested = false;
    for (const auto &[key, counts] : evidence) {
        if (key.move != move)
            continue;
        // The last stage leaves the old version without traffic; its earlier ratio stands.
        if (!key.isNew)
            addCounts(routes[key.route].oldCounts, counts);
        else if (key.stage == stage)
            addCounts(routes[key.route].newCounts, counts);
        tested = tested || (key.isNew && key.stage == stage && counts.requests > 0);
    }
    if (!tested)
        return stage_verdict::Untested;
    stage_verdict worst = stage_verdict::Proven;
    for (const auto &[name, route] : routes)
        worst = std::min(worst, judgeRoute(route, options));
    return worst;
}

evidence_recorder::evidence_recorder(std::string vm, std::uint64_t incarnation,
                                     evidence_options options)
    : m_vm(std::move(vm))
    , m_incarnation(incarnation)
    , m_options(options)
{
}

void evidence_recorder::learnOld(route_state &state, const outcome_counts &one,
                                 std::optional<duration> latency)
{
    state.oldErrors += OldRatioWeight * (static_cast<double>(one.errors) - state.oldErrors);
    if (one.judged > 0)
        state.oldSlow += OldRatioWeight * (static_cast<double>(one.slow) - state.oldSlow);
    if (state.threshold || !latency)
        return;
    state.oldLatencies.push_back(*latency);
    if (state.oldLatencies.size() < LatenciesForThreshold)
        return;
    const auto place = state.oldLatencies.begin()
                       + static_cast<std::ptrdiff_t>(SlowQuantile * LatenciesForThreshold);
    std::nth_element(state.oldLatencies.begin(), place, state.oldLatencies.end());
    state.threshold = fromSeconds(SlowFactor * toSeconds(*place));
    state.oldLatencies.clear();
}

std::optional<flaw_signal> evidence_recorder::add(log_offset move, int stage, bool isNew,
                                                  const std::string &route, bool failed,
                                                  std::optional<duration> latency)
{
    route_state &state = m_routes[route];
    outcome_counts one;
    one.requests = 1;
    one.errors = failed ? 1 : 0;
    one.judged = latency && state.threshold ? 1 : 0;
    one.slow = one.judged > 0 && *latency > *state.threshold ? 1 : 0;
    addCounts(m_evidence[{ m_vm, m_incarnation, move, stage, route, isNew }], one);
    if (!isNew) {
        learnOld(state, one, latency);
        return std::nullopt;
    }
    const auto watch = state.watches.try_emplace(move, m_options).first;
    return watch->second.add(one, state.oldErrors, state.oldSlow);
}

void evidence_recorder::forgetBefore(log_offset move)
{
    for (auto it = m_evidence.begin(); it != m_evidence.end();)
        it = it->first.move < move ? m_evidence.erase(it) : std::next(it);
    for (auto &[name, state] : m_routes)
        state.watches.erase(state.watches.begin(), state.watches.lower_bound(move));
}

fleet_watch::fleet_watch(log_offset move, const evidence_options &options)
    : m_move(move)
    , m_options(options)
{
}

std::optional<flaw_signal> fleet_watch::update(const move_evidence &merged)
{
    std::map<std::string, version_pair> totals;
    for (const auto &[key, counts] : merged) {
        if (key.move != m_move)
            continue;
        version_pair &pair = totals[key.route];
        addCounts(key.isNew ? pair.newCounts : pair.oldCounts, counts);
    }
    std::optional<flaw_signal> halt;
    for (const auto &[name, total] : totals) {
        route_state &state = m_routes.try_emplace(name, m_options).first->second;
        const outcome_counts moreNew = minus(total.newCounts, state.seenNew);
        const outcome_counts moreOld = minus(total.oldCounts, state.seenOld);
        // The recent ratio counts when it is worse, so that a fault of both versions halts nothing.
        const double errors = std::max(ratioOf(total.oldCounts.errors, total.oldCounts.requests),
                                       ratioOf(moreOld.errors, moreOld.requests));
        const double slow = std::max(ratioOf(total.oldCounts.slow, total.oldCounts.judged),
                                     ratioOf(moreOld.slow, moreOld.judged));
        const auto signal = state.watch.add(moreNew, errors, slow);
        state.seenNew = total.newCounts;
        state.seenOld = total.oldCounts;
        if (signal && !halt)
            halt = signal;
    }
    return halt;
}

bool fleet_watch::pointsToFlaw() const
{
    return std::any_of(m_routes.begin(), m_routes.end(),
                       [](const auto &route) { return route.second.watch.pointsToFlaw(); });
}

} // namespace burdockhold
