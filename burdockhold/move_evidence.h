#ifndef BURDOCKHOLD_MOVE_EVIDENCE_H
#define BURDOCKHOLD_MOVE_EVIDENCE_H

// Evidence on a new weights version and the tests on it. Each VM counts the outcomes of both
// versions by route and stage. Counts of one VM only grow, so that merging takes the larger of two
// counts: it is commutative, associative and idempotent.
//
// Two signals are tested on each route: errors, and times to first token above 1.5 times the old
// version's 90th percentile. A version is good at a bad ratio of at most p0, the larger of a floor
// and twice the old version's ratio, and bad from p1 = p0 + gap.
//
// Halting: a cumulative sum of log likelihood ratios of p1 against p0, kept at or above zero, halts
// at h = ln(2 signals x 2 testers x maxRequests / falseAlarm). Each start of the sum crosses h with
// probability at most exp(-h) (Ville's inequality), so a good version is halted with probability at
// most falseAlarm over maxRequests requests. Flooring at zero finds a flaw that shows late as fast
// as one that shows at once.
//
// Advancing: the plain sum since the stage began must be at most ln(miss) for each signal and each
// route with traffic. A version that is bad throughout a stage passes a test with probability at
// most `miss`, however often the test is looked at. A version that turns bad during a stage has
// good outcomes that outweigh its bad ones in the plain sum, so the halting sum must be at most
// -ln(miss) besides.

#include "burdockhold/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdockhold {

/// Counts of one version on one route.
struct outcome_counts
{
    std::uint64_t requests = 0;
    std::uint64_t errors = 0;
    std::uint64_t judged = 0; ///< Requests whose time was compared with the threshold.
    std::uint64_t slow = 0;
};

/// Which counts: one process (a restarted VM has another incarnation), move, stage and route.
struct evidence_key
{
    std::string vm;
    std::uint64_t incarnation = 0;
    log_offset move = 0;
    int stage = 0;
    std::string route;
    bool isNew = false;
};

bool operator<(const evidence_key &left, const evidence_key &right);

using move_evidence = std::map<evidence_key, outcome_counts>;

/// Takes over the larger of two counts of each key.
void mergeEvidence(move_evidence &target, const move_evidence &other);

/// Bounds of the tests.
struct evidence_options
{
    double falseAlarm = 0.01;            ///< Probability of halting a good version during a move.
    double miss = 0.01;                  ///< Probability that a bad version passes one stage test.
    std::uint64_t maxRequests = 1000000; ///< Requests of the new version that falseAlarm covers.
    double errorFloor = 0.02; ///< Errors of a good version even when the old one has fewer.
    double errorGap = 0.15;
    double slowFloor = 0.10; ///< Slow requests of a good version; the old one has under 10 %.
    double slowGap = 0.30;
};

enum class flaw_signal { Errors, Slow };

/// Likelihood steps at one ratio of the old version.
struct test_steps
{
    double bad = 0.0;  ///< Added for a bad outcome; positive.
    double good = 0.0; ///< Added for a good outcome; negative.
};

test_steps testSteps(const evidence_options &options, flaw_signal signal, double oldRatio);

/// Returns h, the sum that halts.
double haltThreshold(const evidence_options &options);

/// Returns how many bad outcomes in succession halt a move: 10 errors or 15 slow requests with the
/// default options and an old version within half of the floors.
std::uint64_t outcomesToHalt(const evidence_options &options, flaw_signal signal, double oldRatio);

/// Returns how many good outcomes in succession let a route pass a stage: 28 without errors, 12
/// without slow ones, with the default options.
std::uint64_t outcomesToAdvance(const evidence_options &options, flaw_signal signal,
                                double oldRatio);

/// Cumulative-sum test of one route.
class flaw_watch
{
public:
    explicit flaw_watch(const evidence_options &options);

    /// Adds outcomes of the new version; returns the signal that halts, if any.
    std::optional<flaw_signal> add(const outcome_counts &more, double oldErrors, double oldSlow);

    /// Returns whether the last outcomes point to a flaw, though not yet enough to halt.
    bool pointsToFlaw() const;

private:
    evidence_options m_options;
    std::array<double, 2> m_sums{};
};

enum class stage_verdict {
    Untested, ///< No outcome of the new version yet.
    Leaning,  ///< Some route points to a flaw; the stage must not advance.
    Unproven, ///< Nothing points to a flaw, but some route lacks evidence.
    Proven,   ///< Each route with traffic has passed.
};

/// Judges one stage of a move on merged evidence.
stage_verdict judgeStage(const move_evidence &evidence, log_offset move, int stage,
                         const evidence_options &options);

/// Counts the outcomes that this VM saw and tests them at once.
class evidence_recorder
{
public:
    evidence_recorder(std::string vm, std::uint64_t incarnation, evidence_options options);

    /// Counts one finished request. latency is the time to first token, or nothing when there was
    /// none. Returns the signal by which this VM must halt the move at once, if any.
    std::optional<flaw_signal> add(log_offset move, int stage, bool isNew, const std::string &route,
                                   bool failed, std::optional<duration> latency);

    const move_evidence &evidence() const { return m_evidence; }

    /// Drops what was counted for moves before `move`.
    void forgetBefore(log_offset move);

private:
    struct route_state
    {
        std::vector<duration> oldLatencies; ///< Until the threshold is known.
        std::optional<duration> threshold;
        double oldErrors = 0.0; ///< Decayed ratios of the old version.
        double oldSlow = 0.0;
        std::map<log_offset, flaw_watch> watches;
    };

    static void learnOld(route_state &state, const outcome_counts &one,
                         std::optional<duration> latency);

    std::string m_vm;
    std::uint64_t m_incarnation;
    evidence_options m_options;
    move_evidence m_evidence;
    std::map<std::string, route_state> m_routes;
};

/// Tests the merged evidence of all VMs of one move. Feeds only what was added since the last call.
class fleet_watch
{
public:
    fleet_watch(log_offset move, const evidence_options &options);

    /// Returns the signal by which the move must be halted, if any.
    std::optional<flaw_signal> update(const move_evidence &merged);

    /// Returns whether the last outcomes of some route point to a flaw. The move must not advance.
    bool pointsToFlaw() const;

private:
    struct route_state
    {
        explicit route_state(const evidence_options &options)
            : watch(options)
        {
        }
        flaw_watch watch;
        outcome_counts seenNew;
        outcome_counts seenOld;
    };

    log_offset m_move;
    evidence_options m_options;
    std::map<std::string, route_state> m_routes;
};

} // namespace burdockhold

#endif
