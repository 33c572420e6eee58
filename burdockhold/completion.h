#ifndef BURDOCKHOLD_COMPLETION_H
#define BURDOCKHOLD_COMPLETION_H

// Completion requests: parsing and checking a caller's body, the error replies of the router, and
// the body and headers sent to an endpoint. Unknown fields are kept and passed on. Parsing takes
// time and memory linear in the body, whose nesting is bounded.

#include "burdockhold/enum_names.h"
#include "burdockhold/result.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

enum class completion_kind { Text, Chat };

/// A checked request. `body` is the whole object, with the fields that the router does not know.
struct completion_request
{
    completion_kind kind = completion_kind::Text;
    std::string model;
    std::string prompt; ///< The prompt, or all messages flattened, for prefix hashing.
    std::optional<std::int64_t> maxTokens;
    bool stream = false;
    nlohmann::json body;
};

enum class completion_error { NotJson, TooDeep, MissingField, WrongType, OutOfBounds };

template <>
struct enum_names<completion_error>
{
    static constexpr std::array<enum_name<completion_error>, 5> Table{ {
            { completion_error::NotJson, "not_json" },
            { completion_error::TooDeep, "too_deep" },
            { completion_error::MissingField, "missing_field" },
            { completion_error::WrongType, "wrong_type" },
            { completion_error::OutOfBounds, "out_of_bounds" },
    } };
};

/// Parses and checks a body. An error's context is the name of the field at fault. `n` must be 1
/// when given, because a stream of several choices cannot be resumed by token count.
result<completion_request, completion_error> parseCompletion(completion_kind kind,
                                                             std::string_view body);

/// Types of error replies (design page, section 5).
enum class error_type {
    InvalidRequest,
    Authentication,
    RateLimit,
    NotRun,
    OutcomeUnknown,
    Server,
};

template <>
struct enum_names<error_type>
{
    static constexpr std::array<enum_name<error_type>, 6> Table{ {
            { error_type::InvalidRequest, "invalid_request_error" },
            { error_type::Authentication, "authentication_error" },
            { error_type::RateLimit, "rate_limit_error" },
            { error_type::NotRun, "not_run_error" },
            { error_type::OutcomeUnknown, "outcome_unknown_error" },
            { error_type::Server, "server_error" },
    } };
};

/// Whether a refused request may have been executed by an endpoint.
enum class run_state { NotRun, Unknown };

template <>
struct enum_names<run_state>
{
    static constexpr std::array<enum_name<run_state>, 2> Table{ {
            { run_state::NotRun, "not-run" },
            { run_state::Unknown, "unknown" },
    } };
};

/// An error reply of the router.
struct error_reply
{
    int status = 500;
    error_type type = error_type::Server;
    std::string code; ///< Short and stable, for programs.
    std::string message;
    std::string param; ///< Field at fault, or empty (sent as null).
    run_state run = run_state::NotRun;
    int retryAfterSeconds = 1; ///< Sent with 409, 429 and 503 only.
    bool closes = false;       ///< The connection closes: its next bytes may not be a request.
};

/// Returns the JSON body of an error reply.
std::string formatError(const error_reply &error);

struct header
{
    std::string name;
    std::string value;
};

/// What the router tells an endpoint about a call besides the body.
struct upstream_context
{
    std::string requestId;
    std::string cacheSalt;
    std::int64_t priority = 0;
    std::int64_t resumeFrom = 0; ///< Output tokens already delivered to the caller.
};

/// Returns the request headers for an endpoint. They never include the caller's key.
std::vector<header> upstreamHeaders(const upstream_context &context);

/// Returns the body for an endpoint, with max_tokens set to the value that was admitted.
std::string upstreamBody(const completion_request &request, std::int64_t maxTokens);

} // namespace burdockhold

#endif
