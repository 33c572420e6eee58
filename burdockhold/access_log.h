#ifndef BURDOCKHOLD_ACCESS_LOG_H
#define BURDOCKHOLD_ACCESS_LOG_H

// One line of JSON for each request, written through log4cxx to logger "access" at level INFO. The
// line holds the whole decision and never the caller's key.

#include "burdockhold/router.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockhold {

struct access_record
{
    std::string requestId;
    std::string account;
    std::string route; ///< Method and path, without the query.
    std::string model;
    std::string version;
    std::string endpoint; ///< The last one tried.
    int status = 0;
    std::int64_t expectedCachedTokens = 0;
    std::vector<routing_candidate> candidates; ///< Of the last attempt, in order of preference.
    std::int64_t cachedTokens = 0;
    std::int64_t outputTokens = 0;
    int attempts = 0;
    double queueSeconds = 0.0;
    std::optional<double> firstTokenSeconds;
    double totalSeconds = 0.0;
    std::string outcome; ///< "complete", "refused", "failed" or "caller_left".
    std::string claim;   ///< What the claim of a non-repeatable call came to; see claim_outcome.
    std::string reason;  ///< Code of the error, or what the last failed attempt saw.
};

/// Returns the line, without a line end.
std::string formatAccessLine(const access_record &record);

void writeAccessLine(const access_record &record);

} // namespace burdockhold

#endif
