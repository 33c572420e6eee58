#ifndef BURDOCKHOLD_CALLER_REQUEST_H
#define BURDOCKHOLD_CALLER_REQUEST_H

// A caller's request, decoded once into typed fields. The request path depends on these alone; the
// wire format is confined to the platform adapter.

#include "burdockhold/clock.h"
#include "burdockhold/enum_names.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockhold {

/// A segment of a prompt. Requests that begin with the same segments share what an engine has
/// computed for them in its KV cache.
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
    std::string key;                  ///< Key of the client account; never sent to an endpoint.
    std::optional<duration> deadline; ///< Time that the caller waits, from the request's arrival.
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    bool declaresTokens = false;
    /// The caller's estimate of the output in tokens, which is accurate at the median.
    std::optional<std::int64_t> outputEstimate;
    std::vector<prompt_segment> promptSegments; ///< The last segment belongs to this request alone.
    std::string resumeAfter; ///< Id of the last event that the caller received; may be empty.
    std::vector<http_field> forwardedFields; ///< End-to-end fields as the caller sent them.
    std::string body;

    std::int64_t tokens() const { return promptTokens + maxOutputTokens; }

    /// Returns the output tokens to plan with. Without an estimate, this is a third of the maximum:
    /// few responses are longer.
    std::int64_t expectedOutputTokens() const
    {
        return std::min(maxOutputTokens, outputEstimate.value_or(maxOutputTokens / 3));
    }
};

/// What the router tells the chosen endpoint about a call.
struct endpoint_call_fields
{
    std::string endpointId;
    duration timeLeft = duration::zero();
    std::string account; ///< Empty on public routes.
    int priority = 5;
    std::string cacheSalt;               ///< Empty for calls without cached segments.
    std::optional<std::int64_t> weights; ///< Version of the weights that must run the call.
    std::string copySegmentsFrom;        ///< Address to copy cached segments from; may be empty.
    std::string saveSegmentsTo;          ///< Address of the store to save segments to, or empty.
    std::string resumeAfter;             ///< Id of the caller's last event; may be empty.
};

/// How a response states where its body ends.
enum class body_framing { None, Length, Chunked };

template <>
struct enum_names<body_framing>
{
    static constexpr std::array<enum_name<body_framing>, 3> Table{ {
            { body_framing::None, "none" }, ///< The body ends with the connection.
            { body_framing::Length, "length" },
            { body_framing::Chunked, "chunked" },
    } };
};

/// What an endpoint says in an answer about new calls.
struct endpoint_notice
{
    bool leaving = false;          ///< It leaves and wants no new calls.
    std::optional<duration> pause; ///< It wants no calls for this time. Only in a refusal (503).
    int fields = 0;                ///< Fields of such statements, valid or not.
    int ignored = 0;               ///< Statements that are malformed, misplaced or contradicted.
};

/// Head of an endpoint's response.
struct endpoint_response_head
{
    int status = 0;
    std::string endpointId; ///< Endpoint that sent the response; empty if it does not say.
    std::string attemptId;  ///< Echo of the caller's attempt id; empty when absent.
    std::string signature;  ///< Empty when absent.
    bool notExecuted = false;
    bool encoded = false; ///< Has a content coding.
    bool eventStream = false;
    std::string mediaType; ///< In lower case, without parameters; empty when absent.
    body_framing framing = body_framing::None;
    std::optional<std::int64_t> weights;
    endpoint_notice notice;
    /// Calls that the endpoint can refuse in a second for want of room; nothing if not limited.
    std::optional<std::int64_t> refusalsPerSecond;
    int unreadableLimits = 0; ///< Statements of such a limit that are malformed or contradicted.
    std::vector<http_field> forwardedFields;
};

} // namespace burdockhold

#endif
