#include "burdockhold/resume.h"

#include "burdockhold/json_depth.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace burdockhold {

namespace {

using json = nlohmann::json;

constexpr std::string_view EndMarker = "[DONE]";

bool carriesId(const json &event, const std::string &requestId)
{
    const auto id = event.find("id");
    if (id == event.end() || !id->is_string())
        return false;
    const std::string &text = id->get_ref<const std::string &>();
    return text.size() >= requestId.size()
           && text.compare(text.size() - requestId.size(), requestId.size(), requestId) == 0;
}

std::int64_t integerField(const json &object, const char *name, std::int64_t fallback)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_number_integer() ? field->get<std::int64_t>()
                                                               : fallback;
}

/// Returns whether a choice carries output. The event with the usage may carry none.
bool carriesOutput(const json &event)
{
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array() || choices->empty())
        return false;
    const json &choice = choices->front();
    if (!choice.is_object())
        return false;
    const auto text = choice.find("text");
    if (text != choice.end())
        return !text->is_string() || !text->get_ref<const std::string &>().empty();
    const auto delta = choice.find("delta");
    return delta != choice.end() && delta->is_object() && !delta->empty();
}

} // namespace

stream_continuity::stream_continuity(std::string requestId, resume_options options)
    : m_requestId(std::move(requestId))
    , m_options(options)
{
}

void stream_continuity::beginAttempt()
{
    ++m_attempts;
    m_usageSeen = false;
    m_state = stream_state::Streaming;
}

event_verdict stream_continuity::accept(std::string_view data)
{
    if (data == EndMarker)
        return finish();
    if (nestsTooDeep(data))
        return abandon("an event is nested too deeply");
    json event = json::parse(data, nullptr, false);
    if (!event.is_object())
        return abandon("an event is not a JSON object");
    if (event.contains("error"))
        return abandon("the endpoint reported an error");
    if (!carriesId(event, m_requestId))
        return abandon("an event belongs to another request");
    if (m_usageSeen)
        return abandon("an event follows the usage");

    const auto usage = event.find("usage");
    const bool hasUsage = usage != event.end() && usage->is_object();
    const std::int64_t index = integerField(event, "token_index", -1);
    const bool isToken = !hasUsage || (index >= 0 && carriesOutput(event));
    if (isToken && index < 0)
        return abandon("an event has no token index");
    if (isToken && index > m_delivered)
        return abandon("a token is missing");
    const bool isNew = isToken && index == m_delivered;
    if (!hasUsage && !isNew)
        return { event_action::Drop, "" };

    const std::int64_t total = m_delivered + (isNew ? 1 : 0);
    if (hasUsage) {
        const std::int64_t reported = integerField(*usage, "completion_tokens", -1);
        // Counting only from the resumed token is refused: it could not be told from a stream
        // that lost its last tokens.
        if (reported != total)
            return abandon("the usage does not match the delivered tokens");
        if (isToken && !isNew)
            event["choices"] = json::array();
        m_cachedTokens = integerField(*usage, "cached_tokens", 0);
        m_usageSeen = true;
    }
    m_delivered = total;
    if (hasUsage && m_usageDelivered)
        return { event_action::Drop, "" };
    m_usageDelivered = m_usageDelivered || hasUsage;
    return { event_action::Deliver, hasUsage ? event.dump() : std::string(data) };
}

event_verdict stream_continuity::finish()
{
    if (!m_usageSeen)
        return abandon("the stream ended without usage");
    m_state = stream_state::Complete;
    return { event_action::Finish, std::string(EndMarker) };
}

void stream_continuity::endAttempt(const std::string &why)
{
    if (m_state == stream_state::Streaming)
        abandon(why);
}

void stream_continuity::giveUp(const std::string &why)
{
    m_reason = why;
    m_state = stream_state::Failed;
}

event_verdict stream_continuity::abandon(const std::string &why)
{
    m_reason = why;
    const bool exhausted = m_attempts >= m_options.maxAttempts;
    m_state = exhausted ? stream_state::Failed : stream_state::NeedsResume;
    return { event_action::Abandon, "" };
}

} // namespace burdockhold
