#ifndef BURDOCKHOLD_VIEW_MESSAGE_H
#define BURDOCKHOLD_VIEW_MESSAGE_H

// Requests for a VM's view of the log, and the responses.
//
// A VM that does not read the log requests the view from a VM that does, the reader. The request
// states what the requester already has; the response contains what has changed and the time at
// which the reader's view was confirmed, relative to the arrival of the request. The requester adds
// this offset to the time at which it sent the request, on its own clock, so neither clock skew nor
// a slow response can make a stale view look fresh.
//
// The path contains the format's version. A VM of another version responds with 404, and the
// requester reads the log itself. A message that cannot be decoded is rejected completely.

#include "burdockhold/clock.h"
#include "burdockhold/deployment.h"
#include "burdockhold/result.h"
#include "burdockhold/topic_changelog.h"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// States what the requester has of the reader's view. All numbers are 0 if it has nothing from it.
struct view_request
{
    std::uint64_t reader = 0; ///< Incarnation of the reader that assigned the numbers.
    std::uint64_t operatorSequenceNumber = 0; ///< In the topic_changelog of operator records.
    std::uint64_t endpointSequenceNumber = 0; ///< In the topic_changelog of endpoint records.
    /// Version of the requester's deployment, whichever VM it is from.
    std::optional<std::uint64_t> deploymentVersion;
    duration wait = duration::zero(); ///< Time to the response if nothing changes.
};

/// The reader's view of one topic of the log, or its changes. The operator's deployment is not
/// among the records: view_response::deploymentUpdate has it.
struct topic_view
{
    bool loaded = false;
    bool isSnapshot = false;
    std::uint64_t sequenceNumber = 0;
    /// Time at which the view was confirmed, relative to the arrival of the request; usually
    /// negative.
    std::int64_t confirmedOffsetMs = 0;
    std::vector<topic_record> records;
    /// Offset in the log's topic up to which the reader has applied it; 0 from an earlier build.
    std::uint64_t position = 0;
    /// Era of the log in which the position is valid; 0 from an earlier build, and if the log
    /// states none. An earlier build ignores it.
    std::int64_t era = 0;
    MSGPACK_DEFINE_ARRAY(loaded, isSnapshot, sequenceNumber, confirmedOffsetMs, records, position,
                         era)
};

struct view_response
{
    std::uint64_t reader = 0;
    topic_view operatorTopic;
    topic_view endpointTopic; ///< The values are encoded endpoint reports.
    /// An encoded deployment_update; empty if the requester has the reader's deployment.
    std::string deploymentUpdate;
    MSGPACK_DEFINE_ARRAY(reader, operatorTopic, endpointTopic, deploymentUpdate)
};

enum class view_error { NotReadable, UnsupportedFormat };

/// Returns the path and query of the HTTP request.
std::string encodeViewRequest(const view_request &request);
result<view_request, view_error> decodeViewRequest(std::string_view target);

std::string encodeViewResponse(const view_response &response);

/// Encodes the response up to an update of the given size, so that one encoded update can be sent
/// to several VMs. The deploymentUpdate of the response is ignored.
std::string encodeViewResponseHead(const view_response &response, std::size_t updateBytes);

result<view_response, view_error> decodeViewResponse(std::string_view body);

std::string encodeReport(const endpoint_report &report);
result<endpoint_report, view_error> decodeReport(std::string_view id, std::string_view value);

} // namespace burdockhold

#endif
