#ifndef BURDOCKHOLD_ENDPOINT_LOADS_H
#define BURDOCKHOLD_ENDPOINT_LOADS_H

// What engines report about themselves: load, incarnation and weights version, with the time of
// the report, so that readers can judge its age. Parsing takes time linear in the text.

#include "burdockhold/clock.h"
#include "burdockhold/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace burdockhold {

/// One answer to GET /load.
struct engine_load
{
    std::string incarnation;
    std::string weightsVersion;
    std::int64_t queuedTokens = 0; ///< Prompt tokens still to compute.
    std::int64_t running = 0;
    std::int64_t cachedBlocks = 0;
};

enum class load_error { Malformed };

/// Parses the body of an answer to GET /load. Counts that are missing are 0; an answer without an
/// incarnation or a version, or with a negative count, is malformed.
result<engine_load, load_error> parseLoad(const std::string &body);

/// How a poll of one engine ended.
enum class poll_outcome {
    Reported,
    Refused, ///< Nothing listens there: the process is gone.
    Failed,  ///< The connection was lost or the answer was unusable.
    Silent,  ///< No answer in time.
};

/// The state of one engine as the polls show it.
struct endpoint_load
{
    std::optional<engine_load> load; ///< The last report; kept while later polls fail.
    time_point asOf{};               ///< When the poll that gave the report was sent.
    poll_outcome lastPoll = poll_outcome::Reported;
    int failedPolls = 0; ///< In a row.
};

/// The published state of all engines, by endpoint name.
struct endpoint_loads
{
    std::map<std::string, endpoint_load, std::less<>> byEndpoint;
};

} // namespace burdockhold

#endif
