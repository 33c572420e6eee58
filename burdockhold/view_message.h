#ifndef BURDOCKHOLD_VIEW_MESSAGE_H
#define BURDOCKHOLD_VIEW_MESSAGE_H

// What VMs ask each other about the log, and the answers.
//
// A VM that does not read the log asks one that does: it names what it has, and the answer brings
// what has changed and how old the proof of the reader's view is. The age is counted from the
// moment at which the question arrived, so that the asker can add it to the time at which it asked,
// on its own clock: neither clocks that differ nor an answer that was under way for long make an
// old view look new.
//
// The format's version stands in the path; a VM of another build answers 404, and the asker reads
// the log itself. What cannot be decoded is refused as a whole.

#include "burdockhold/clock.h"
#include "burdockhold/deployment.h"
#include "burdockhold/result.h"
#include "burdockhold/topic_changelog.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// What a VM has of the reader's view. All numbers are 0 when it has nothing from this reader.
struct view_request
{
    std::uint64_t reader = 0;         ///< Incarnation of the reader that the numbers are of.
    std::uint64_t operatorNumber = 0; ///< Of the topic_changelog of operator records.
    std::uint64_t endpointNumber = 0;
    duration wait = duration::zero(); ///< The answer comes after this time if nothing changes.
};

/// One topic of the log as the reader has it.
struct topic_view
{
    bool loaded = false;
    bool whole = false;
    std::uint64_t number = 0;
    /// From the arrival of the question to the time that the view is proven for; mostly negative.
    std::int64_t confirmedOffsetMs = 0;
    std::vector<topic_record> records;
    MSGPACK_DEFINE_ARRAY(loaded, whole, number, confirmedOffsetMs, records)
};

struct view_response
{
    std::uint64_t reader = 0;
    topic_view operatorTopic;
    topic_view endpointTopic; ///< Values are encoded reports.
    MSGPACK_DEFINE_ARRAY(reader, operatorTopic, endpointTopic)
};

enum class view_error { NotReadable, OtherFormat };

/// Path and query of the HTTP request.
std::string encodeViewRequest(const view_request &question);
result<view_request, view_error> decodeViewRequest(std::string_view target);

std::string encodeViewResponse(const view_response &answer);
result<view_response, view_error> decodeViewResponse(std::string_view body);

std::string encodeReport(const endpoint_report &report);
result<endpoint_report, view_error> decodeReport(std::string_view id, std::string_view value);

} // namespace burdockhold

#endif
