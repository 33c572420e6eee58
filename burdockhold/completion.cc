#include "burdockhold/completion.h"

#include "burdockhold/json_depth.h"

#include <limits>
#include <utility>

namespace burdockhold {

namespace {

using json = nlohmann::json;
using error = basic_error<completion_error>;

// Separators of flattened messages. JSON text may contain them only escaped, so they are rare in
// prompts; a collision would affect placement only, since the cache identity isolates accounts.
constexpr char RecordSeparator = '\x1e';
constexpr char UnitSeparator = '\x1f';

error missing(const std::string &field)
{
    return { completion_error::MissingField, "the field '" + field + "' is required", field };
}

error wrongType(const std::string &field, const std::string &expected)
{
    return { completion_error::WrongType, "the field '" + field + "' must be " + expected, field };
}

/// Appends the text of a message's content: a string, or an array of parts. Parts other than text
/// contribute their JSON text, so that different images give different prefixes.
bool appendContent(const json &content, std::string &prompt)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string &>();
        return true;
    }
    if (content.is_null())
        return true;
    if (!content.is_array())
        return false;
    for (const json &part : content) {
        const auto text = part.is_object() ? part.find("text") : part.end();
        if (part.is_object() && text != part.end() && text->is_string())
            prompt += text->get_ref<const std::string &>();
        else
            prompt += part.dump();
        prompt.push_back(UnitSeparator);
    }
    return true;
}

std::optional<error> readMessages(const json &body, std::string &prompt)
{
    const auto messages = body.find("messages");
    if (messages == body.end())
        return missing("messages");
    if (!messages->is_array() || messages->empty())
        return wrongType("messages", "a non-empty array");
    for (const json &message : *messages) {
        if (!message.is_object())
            return wrongType("messages", "an array of objects");
        const auto role = message.find("role");
        if (role == message.end() || !role->is_string())
            return wrongType("messages.role", "a string");
        prompt += role->get_ref<const std::string &>();
        prompt.push_back(UnitSeparator);
        const auto content = message.find("content");
        if (content != message.end() && !appendContent(*content, prompt))
            return wrongType("messages.content", "a string or an array of parts");
        prompt.push_back(RecordSeparator);
    }
    return std::nullopt;
}

std::optional<error> readPrompt(const json &body, std::string &prompt)
{
    const auto field = body.find("prompt");
    if (field == body.end())
        return missing("prompt");
    if (!field->is_string())
        return wrongType("prompt", "a string");
    prompt = field->get<std::string>();
    return std::nullopt;
}

std::optional<error> readCount(const json &body, const std::string &field,
                               std::optional<std::int64_t> &value)
{
    const auto found = body.find(field);
    if (found == body.end() || found->is_null())
        return std::nullopt;
    if (!found->is_number_integer())
        return wrongType(field, "an integer");
    const bool overflows = found->is_number_unsigned()
                           && found->get<std::uint64_t>() > static_cast<std::uint64_t>(
                                      std::numeric_limits<std::int64_t>::max());
    if (overflows || found->get<std::int64_t>() < 1)
        return error{ completion_error::OutOfBounds,
                      "the field '" + field + "' must be a positive integer", field };
    value = found->get<std::int64_t>();
    return std::nullopt;
}

std::optional<error> readOptions(completion_request &request)
{
    if (auto failed = readCount(request.body, "max_tokens", request.maxTokens))
        return failed;
    std::optional<std::int64_t> choices;
    if (auto failed = readCount(request.body, "n", choices))
        return failed;
    if (choices.value_or(1) != 1)
        return error{ completion_error::OutOfBounds, "the field 'n' must be 1", "n" };
    const auto stream = request.body.find("stream");
    if (stream == request.body.end() || stream->is_null())
        return std::nullopt;
    if (!stream->is_boolean())
        return wrongType("stream", "a boolean");
    request.stream = stream->get<bool>();
    return std::nullopt;
}

} // namespace

result<completion_request, completion_error> parseCompletion(completion_kind kind,
                                                             std::string_view body)
{
    if (nestsTooDeep(body))
        return error{ completion_error::TooDeep, "the body is nested too deeply", "" };
    completion_request request;
    request.kind = kind;
    request.body = json::parse(body, nullptr, false);
    if (!request.body.is_object())
        return error{ completion_error::NotJson, "the body is not a JSON object", "" };

    const auto model = request.body.find("model");
    if (model == request.body.end())
        return missing("model");
    if (!model->is_string())
        return wrongType("model", "a string");
    request.model = model->get<std::string>();

    auto failed = kind == completion_kind::Chat ? readMessages(request.body, request.prompt)
                                                : readPrompt(request.body, request.prompt);
    if (!failed)
        failed = readOptions(request);
    if (failed)
        return *failed;
    return request;
}

std::string formatError(const error_reply &reply)
{
    const json fields = { { "message", reply.message },
                          { "type", nameOf(reply.type) },
                          { "code", reply.code },
                          { "param", reply.param.empty() ? json() : json(reply.param) } };
    return json{ { "error", fields } }.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<header> upstreamHeaders(const upstream_context &context)
{
    std::vector<header> headers{
        { "Content-Type", "application/json" },
        { "X-Request-Id", context.requestId },
        { "X-Cache-Salt", context.cacheSalt },
        { "X-Priority", std::to_string(context.priority) },
    };
    if (context.resumeFrom > 0)
        headers.push_back({ "X-Resume-From", std::to_string(context.resumeFrom) });
    return headers;
}

std::string upstreamBody(const completion_request &request, std::int64_t maxTokens)
{
    json body = request.body;
    body["max_tokens"] = maxTokens;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace burdockhold
