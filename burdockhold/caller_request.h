#ifndef BURDOCKHOLD_CALLER_REQUEST_H
#define BURDOCKHOLD_CALLER_REQUEST_H

// One request of a caller, decoded once into types whose fields say what they hold. The request
// path decides on these alone; the dialect that was spoken stays in the adapter.

#include "burdockhold/clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockhold {

/// A part of a prompt. Requests that name the same parts from the start share what an engine has
/// computed of them.
struct prompt_segment
{
    std::string id;
    std::int64_t tokens = 0;
};

struct http_field
{
    std::string name;
    std::string value;
};

struct caller_request
{
    std::string method;
    std::string target; ///< Path and query, unchanged.
    std::string host;
    std::string attemptId;            ///< The caller's id of this attempt; endpoints echo it.
    std::string key;                  ///< Never passed to an endpoint.
    std::optional<duration> deadline; ///< How long the caller waits, from its arrival here.
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    bool declaresTokens = false;
    std::optional<std::int64_t> outputEstimate; ///< The caller's, in tokens; right at the median.
    std::vector<prompt_segment> prefix;         ///< The last part belongs to this request alone.
    std::string resumeAfter; ///< Id of the last event that the caller has; may be empty.
    std::vector<http_field> forwardedFields; ///< End-to-end fields as the caller sent them.
    std::string body;

    std::int64_t tokens() const { return promptTokens + maxOutputTokens; }

    /// Output tokens to plan with. Without an estimate, a third of the most: few answers are
    /// longer.
    std::int64_t expectedOutput() const
    {
        return std::min(maxOutputTokens, outputEstimate.value_or(maxOutputTokens / 3));
    }
};

/// What the router states about a call to the endpoint that it chose.
struct endpoint_call_fields
{
    std::string endpointId;
    duration timeLeft = duration::zero();
    std::string account; ///< Empty on public routes.
    int priority = 5;
    std::string cacheSalt;               ///< Empty for calls without cached parts.
    std::optional<std::int64_t> weights; ///< Version that must run the call.
    std::string copySegmentsFrom;        ///< Address to copy cached parts from; may be empty.
    std::string saveSegmentsTo;          ///< Address of a store that gets the parts, or empty.
    std::string resumeAfter;             ///< Last event that the caller has; may be empty.
};

/// Head of an endpoint's answer.
struct endpoint_response_head
{
    int status = 0;
    std::string endpointId; ///< Of the endpoint that answered, where it says so.
    std::string attemptId;  ///< Echo of the caller's id; empty when absent.
    std::string signature;  ///< Empty when absent.
    bool notExecuted = false;
    bool encoded = false; ///< Has a content coding, which no engine uses.
    bool eventStream = false;
    std::optional<std::int64_t> weights;
    std::vector<http_field> forwardedFields;
};

} // namespace burdockhold

#endif
