#include "burdockhold/crash_reports.h"

#include <utility>
#include <variant>

namespace burdockhold {

namespace {

void logAnswer(router_board &board, const std::string &attemptId,
               const std::vector<fingerprint> &cleared, time_point now)
{
    if (!board.log.accepts(log_priority::StateChange, now))
        return;
    nlohmann::ordered_json listed = nlohmann::ordered_json::array();
    for (const fingerprint suspect : cleared)
        listed.push_back(formatFingerprint(suspect));
    board.log.write(log_event::FingerprintCleared,
                    { { "id", attemptId }, { "fingerprints", std::move(listed) } }, now);
}

void logCrash(router_board &board, const lost_request &lost, time_point now)
{
    if (!board.log.accepts(log_priority::StateChange, now))
        return;
    nlohmann::ordered_json suspects = nlohmann::ordered_json::array();
    for (std::size_t index = 0; index < lost.fingerprints.size(); ++index) {
        const bool isSegment = index + 1 < lost.fingerprints.size();
        suspects.push_back({ { "segment", isSegment ? lost.request.promptSegments[index].id : "" },
                             { "fingerprint", formatFingerprint(lost.fingerprints[index]) },
                             { "strikes", board.crashes.strikes(lost.fingerprints[index], now) } });
    }
    board.log.write(log_event::EndpointCrashed,
                    { { "id", lost.request.attemptId },
                      { "endpoint", lost.endpoint },
                      { "begun", lost.progress == call_progress::Begun },
                      { "suspects", std::move(suspects) } },
                    now);
}

} // namespace

crash_verdict judgeRequest(router_board &board, const std::string &attemptId,
                           const std::vector<fingerprint> &fingerprints, time_point now)
{
    const trial_group group{ shortHash(board.settings.vmName), &board.liveVms };
    const crash_verdict verdict = board.crashes.judge(fingerprints, group, now);
    const auto *blocked = std::get_if<blocked_request>(&verdict);
    if (blocked == nullptr)
        return verdict;
    board.metrics.count(router_counter::RefusedCrashing);
    if (board.log.accepts(log_priority::Failure, now))
        board.log.write(log_event::RequestBlocked,
                        { { "id", attemptId },
                          { "fingerprint", formatFingerprint(blocked->suspect) },
                          { "strikes", blocked->strikes },
                          { "next_trial_ms", 1000.0 * toSeconds(blocked->nextTrial) } },
                        now);
    return verdict;
}

void reportTrial(router_board &board, const std::string &attemptId, fingerprint suspect,
                 time_point now)
{
    board.crashes.recordTrial(suspect, now);
    board.digestRequested = true;
    if (board.log.accepts(log_priority::StateChange, now))
        board.log.write(log_event::TrialStarted,
                        { { "id", attemptId },
                          { "fingerprint", formatFingerprint(suspect) },
                          { "strikes", board.crashes.strikes(suspect, now) } },
                        now);
}

void reportAnswer(router_board &board, const std::string &attemptId,
                  const std::vector<fingerprint> &fingerprints, time_point now)
{
    for (const fingerprint answered : fingerprints) {
        if (board.crashes.isBlocked(answered, now))
            board.crashRecordsDue.insert(answered);
    }
    const auto cleared = board.crashes.recordAnswer(fingerprints, now);
    if (cleared.empty())
        return;
    board.digestRequested = true;
    logAnswer(board, attemptId, cleared, now);
}

void reportCrash(router_board &board, const lost_request &lost, time_point now)
{
    const auto newlyBlocked = board.crashes.recordCrash(
            lost.fingerprints, crashId(lost.endpoint, lost.incarnation), now, lost.progress);
    board.metrics.count(router_counter::RequestsLostInCrashes);
    board.digestRequested = true;
    logCrash(board, lost, now);
    for (const fingerprint suspect : newlyBlocked)
        board.logFingerprintBlocked(suspect, board.settings.vmName, now);
    for (const fingerprint suspect : lost.fingerprints) {
        if (board.crashes.isBlocked(suspect, now))
            board.crashRecordsDue.insert(suspect);
    }
}

} // namespace burdockhold
