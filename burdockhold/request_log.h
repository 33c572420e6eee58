#ifndef BURDOCKHOLD_REQUEST_LOG_H
#define BURDOCKHOLD_REQUEST_LOG_H

// Fields of the log lines on the end of a request and of its calls. docs/OPERATIONS.md describes
// them.

#include "burdockhold/attempt_rules.h"
#include "burdockhold/clock.h"
#include "burdockhold/endpoint_choice.h"
#include "burdockhold/wait_record.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhold {

/// A request that has ended. Texts are empty, and numbers zero, for what it did not come to.
struct request_summary
{
    std::string_view requestId;
    std::string_view route;
    std::string_view account;
    std::string_view pool;
    int status = 0; ///< 0 if the caller got no status.
    std::string_view reason;
    std::string_view endpoint; ///< Of the last call.
    int calls = 0;
    int runs = 0;                          ///< Endpoints that may have run the request.
    duration queued = duration::zero();    ///< From the arrival to the first call.
    wait_record wait;                      ///< How it waited in the wait queue, if it did.
    duration total = duration::zero();     ///< From the arrival to the end.
    duration firstByte = duration::zero(); ///< From the arrival to the response's first byte.
    double expectedMs = 0.0;           ///< Cost of the last placement, with weights and penalties.
    double expectedFirstEventMs = 0.0; ///< Of the last call, from its start.
    double expectedErrorMs = 0.0;      ///< How much longer it may well take; 0 if not known.
    /// From the start of the last call to its first byte; zero if none came.
    duration callFirstByte = duration::zero();
    /// Longest time between two events of the stream, over all calls, without times in which the
    /// caller did not read.
    duration longestGap = duration::zero();
    std::int64_t tokensAhead = 0; ///< Known to be pending at the endpoint at the last call.
    int running = 0;              ///< Requests known to run at the endpoint at the last call.
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    std::int64_t pendingPrefillTokens = 0; ///< Of the last call.
    bool copiesSegments = false;
    bool savesSegments = false;
    std::int64_t weights = 0; ///< Version that the last call expected.
    std::uint64_t events = 0; ///< Delivered by all calls.
    std::uint64_t lastCallEvents = 0;
    int resumes = 0;
    std::string_view framing; ///< Of the last response.
    std::uint64_t deployment = 0;
    duration viewAge = duration::zero();
};

/// Adds what the last placement expected of the first event, and what came of it.
void addFirstEvent(request_summary &summary, const endpoint_choice &choice, duration callFirstByte,
                   duration longestGap);

nlohmann::ordered_json requestEndedFields(const request_summary &request);

/// A call to an endpoint that did not complete.
struct call_summary
{
    std::string_view requestId;
    std::string_view endpoint;
    call_end end = call_end::Broken;
    int status = 0; ///< 0 if no head arrived.
    std::int64_t weights = 0;
    int call = 0;             ///< Number of the call within the request, from 1.
    std::uint64_t events = 0; ///< Delivered by all calls.
    std::string_view framing;
    duration after = duration::zero(); ///< Since the start of the call.
};

nlohmann::ordered_json callEndedFields(const call_summary &call);

} // namespace burdockhold

#endif
