#ifndef BURDOCKHOLD_SOAK_STREAM_FAULTS_H
#define BURDOCKHOLD_SOAK_STREAM_FAULTS_H

// Faulty streams of a soak's engines, and continuations that do not continue. Pure: the same hash
// gives the same bytes.

#include <cstdint>
#include <string>
#include <vector>

namespace burdockhold::testing {

/// The bytes of one response to a stream request, and how they end.
struct stream_script
{
    std::string status = "200 OK";
    std::string fields;              ///< Header fields, the framing included.
    std::vector<std::string> pieces; ///< Sent one after the other with a pause between.
    bool faulty = false;             ///< Broken off, or no continuation.
    bool keepsConnection = false;
    bool resets = false; ///< Otherwise the connection closes in an orderly way.
};

/// Draws the response to an attempt's stream in one of the framings: chunks, a length, neither.
/// Half of the streams break off at any byte. lastEvent is the value of Last-Event-Id; with one,
/// three in eight are no continuation at all. A response that is complete by its framing and has
/// events after the last one has all of them.
stream_script drawStream(std::uint64_t hash, const std::string &attemptId,
                         const std::string &lastEvent);

} // namespace burdockhold::testing

#endif
