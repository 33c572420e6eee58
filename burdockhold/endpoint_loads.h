#ifndef BURDOCKHOLD_ENDPOINT_LOADS_H
#define BURDOCKHOLD_ENDPOINT_LOADS_H

// Load reports of engines: load, incarnation and weights version, with the time of the report, so
// that readers can judge its age. Parsing takes time linear in the size of the text.

#include "burdockhold/clock.h"
#include "burdockhold/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace burdockhold {

/// Response of an engine to GET /load.
struct engine_load
{
    std::string incarnation;
    std::string weightsVersion;
    std::int64_t queuedTokens = 0; ///< Prompt tokens still to compute.
    std::int64_t running = 0;
    std::int64_t cachedBlocks = 0;
};

enum class load_error { Malformed };

/// Parses the body of a response to GET /load. Missing counts are 0. A body without an incarnation
/// or a weights version, or with a count that is negative or not an integer, is malformed.
result<engine_load, load_error> parseLoad(const std::string &body);

/// Result of polling one engine.
enum class poll_outcome {
    Reported,
    Refused,  ///< The connection was refused: the process has ended.
    Failed,   ///< The connection was lost or the response was unusable.
    TimedOut, ///< The poll timed out.
};

/// State of one engine according to its polls.
struct endpoint_load
{
    std::optional<engine_load> load; ///< The last report; kept while later polls fail.
    time_point asOf{};               ///< When the poll that returned the report was sent.
    poll_outcome lastPoll = poll_outcome::Reported;
    int failedPolls = 0; ///< Consecutive failed polls.
};

/// Published state of all engines, by endpoint name.
struct endpoint_loads
{
    std::map<std::string, endpoint_load, std::less<>> byEndpoint;
};

} // namespace burdockhold

#endif
