#ifndef BURDOCKHOLD_CRASH_REPORTS_H
#define BURDOCKHOLD_CRASH_REPORTS_H

// What a request reports of crashes and answers: the board's crash fingerprints, the log lines and
// counters, the next digest, and the records that keep blocks in the platform's log.

#include "burdockhold/router_board.h"

#include <cstdint>
#include <string>
#include <vector>

namespace burdockhold {

/// A request whose endpoint has crashed before the end of its answer.
struct lost_request
{
    const caller_request &request;
    const std::vector<fingerprint> &fingerprints;
    const std::string &endpoint;
    std::int64_t incarnation = 0;
    call_progress progress = call_progress::Unanswered;
};

/// Decides whether the request may be sent to an endpoint. Logs and counts it if not.
crash_verdict judgeRequest(router_board &board, const std::string &attemptId,
                           const std::vector<fingerprint> &fingerprints, time_point now);

/// Reports that a request is sent to try out a blocked fingerprint.
void reportTrial(router_board &board, const std::string &attemptId, fingerprint suspect,
                 time_point now);

/// Reports that an endpoint has answered a request to the end; an error is not an answer.
void reportAnswer(router_board &board, const std::string &attemptId,
                  const std::vector<fingerprint> &fingerprints, time_point now);

void reportCrash(router_board &board, const lost_request &lost, time_point now);

} // namespace burdockhold

#endif
