#ifndef BURDOCKHOLD_SOAK_HISTORY_H
#define BURDOCKHOLD_SOAK_HISTORY_H

// What the callers, the engines and the operator of a soak have seen. All threads of the soak write
// here; soak_checks.h judges the history after the run.
//
// Promise: times never favour a violation. A caller notes the time before it sends, an engine after
// it has read, so a slow test machine makes a check more lenient, not stricter.

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdockhold::testing {

using soak_clock = std::chrono::steady_clock;
using soak_time = soak_clock::time_point;

/// Limit of the metered account, in tokens a second, tokens, and tokens beyond it that are
/// tolerated besides a tenth. Its callers ask for several times the rate.
inline constexpr int MeteredRate = 500;
inline constexpr int MeteredBurst = 1000;
inline constexpr int MeteredTolerance = 600;

/// Endpoints that a request may reach by its route, and repeats in ten seconds over all routers.
inline constexpr int SoakMaxAttempts = 2;
inline constexpr double RepeatRatio = 0.2; ///< Of the requests.
inline constexpr int RepeatSlack = 20;     ///< Besides the ratio.

/// A request that an engine has read.
struct soak_arrival
{
    std::string attemptId;
    std::string path;
    std::string account;                  ///< Value of the account header that the router has set.
    std::string lastEvent;                ///< Value of Last-Event-Id.
    int engine = 0;                       ///< Index of the engine.
    int incarnation = 0;                  ///< Starts of the engine before.
    soak_time at;                         ///< When the request was read.
    soak_time endedAt = soak_time::max(); ///< When the engine stopped work on it.
    soak_time wouldEndAt;                 ///< When the work ends if nobody leaves.
    bool refused = false;                 ///< The engine said that it did not run the request.
    bool broken = false; ///< The engine broke off, crashed, stayed silent or sent a bad answer.
    bool credentialPassed = false;
    bool saidLeaving = false;
    std::chrono::milliseconds pause{ 0 }; ///< Retry-After of the refusal; 0 without one.
};

/// An order of a duty holder that an engine has read.
struct soak_order
{
    int engine = 0;
    std::string holder; ///< Name of the router.
    std::int64_t token = 0;
    int version = 0;
    bool hasExpected = false;
    int status = 0;
    soak_time at;
};

enum class soak_outcome { NoAnswer, Complete, Broken, Refused, Failed, Abandoned, TimedOut };

/// A request that a caller has sent.
struct soak_call
{
    std::string attemptId;
    std::string path;
    std::string key;
    int router = 0;
    int process = 0; ///< Starts of the router before this one.
    soak_time sentAt;
    soak_time endedAt;
    int status = 0;
    soak_outcome outcome = soak_outcome::NoAnswer;
    std::vector<std::string> events; ///< Of a stream, as the caller received them.
    std::string streamRest;          ///< Bytes of a stream after its last whole event.
    bool streamEnded = false;        ///< The stream has ended with its last chunk.
    std::string problem;             ///< What is wrong with the answer itself; empty if nothing is.
};

/// A span of time in which a fault was at work.
struct soak_span
{
    soak_time from;
    soak_time to;
};

/// A restore of the log from a copy that lacks the newest deployment.
struct soak_restore
{
    soak_time copiedAt;
    soak_time restoredAt;
    soak_time writtenAgainAt = soak_time::max(); ///< A deployment, the lost one or a newer one.
};

/// A span in which routers lost all packets to and from all engines.
struct soak_cut
{
    soak_span span;
    std::set<int> routers;
};

class soak_history
{
public:
    /// Records an arrival and returns its index.
    std::size_t addArrival(const soak_arrival &arrival);
    void endArrival(std::size_t index, bool broken);
    void addCall(const soak_call &call);

    /// Records that a router was stopped, killed, frozen, cut off or started.
    void addRouterFault(int router, soak_span span);

    /// Records that an engine crashed or was replaced.
    void addEngineFault(int engine, soak_span span);

    /// Records a span in which engines misbehaved.
    void addEngineDisturbance(soak_span span);

    /// Records a span in which the soak itself ran late.
    void addDelay(soak_span span);

    /// Records a span in which the log was faulty.
    void addLogFault(soak_span span);

    /// Records a finding that does not need the whole history.
    void addFinding(const std::string &text);

    std::mutex mutex; ///< Guards the fields while threads run.
    std::vector<soak_arrival> arrivals;
    std::vector<soak_call> calls;
    std::vector<soak_order> orders;
    bool enginesCheckFences = true; ///< Set before the run.
    int namedWeights = 1;           ///< Newest version, noted before the log has it.
    std::map<int, std::vector<soak_span>> routerFaults;
    std::map<int, std::vector<soak_span>> engineFaults;
    std::vector<soak_span> engineDisturbances;
    std::vector<soak_cut> endpointCuts;
    std::vector<soak_span> delays;
    std::vector<soak_span> logFaults;
    std::vector<std::string> findings;
    std::map<std::pair<int, int>, soak_time> killed; ///< Router and start, of killed processes.
    const soak_time startedAt = soak_clock::now();
    std::map<std::string, soak_time> withdrawnKeys;  ///< When the log acknowledged each.
    std::map<int, soak_time> deployments;            ///< When the log acknowledged each version.
    std::vector<soak_restore> restores;              ///< That lost a deployment.
    std::map<std::pair<int, int>, soak_time> starts; ///< Of routers that were started again.
    /// When the log acknowledged that an engine's incarnation leaves.
    std::map<std::pair<int, int>, soak_time> leavingEngines;
};

} // namespace burdockhold::testing

#endif
