#include "burdockhold/caller_reply.h"

#include "burdockhold/sse.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <utility>

namespace burdockhold {

namespace {

constexpr char RequestIdField[] = "X-Request-Id";
constexpr char ContentTypeField[] = "Content-Type";

bool hasField(const std::vector<header> &fields, const std::string &name)
{
    return std::any_of(fields.begin(), fields.end(), [&name](const header &field) {
        return boost::algorithm::iequals(field.name, name);
    });
}

} // namespace

caller_reply::caller_reply(std::shared_ptr<http_call> call, std::string requestId)
    : m_call(std::move(call))
    , m_requestId(std::move(requestId))
{
}

void caller_reply::setClosed(closed_callback onClosed)
{
    m_call->setClosed(std::move(onClosed));
}

void caller_reply::sendError(const error_reply &error)
{
    if (!takeHead(reply_state::Ended)) {
        sendEvent(formatError(error));
        endStream();
        return;
    }
    std::vector<header> fields{ { "X-Burdockhold-Run", std::string(nameOf(error.run)) },
                                { ContentTypeField, "application/json" } };
    if (error.status == 409 || error.status == 429 || error.status == 503)
        fields.push_back({ "Retry-After", std::to_string(error.retryAfterSeconds) });
    m_call->respond(error.status, withRequestId(std::move(fields)), formatError(error),
                    error.closes);
}

bool caller_reply::sendBody(int status, const std::vector<header> &headers, const std::string &body)
{
    if (!takeHead(reply_state::Ended))
        return false;
    std::vector<header> fields = headers;
    if (!hasField(fields, ContentTypeField))
        fields.push_back({ ContentTypeField, "application/octet-stream" });
    m_call->respond(status, withRequestId(std::move(fields)), body, false);
    return true;
}

void caller_reply::beginStream()
{
    if (!takeHead(reply_state::Streaming))
        return;
    m_call->beginStream(200, withRequestId({ { "Cache-Control", "no-cache" },
                                             { ContentTypeField, "text/event-stream" } }));
}

void caller_reply::sendEvent(const std::string &data)
{
    if (m_state == reply_state::Streaming)
        m_call->sendPart(formatEvent({ "", data }));
}

void caller_reply::endStream()
{
    reply_state open = reply_state::Streaming;
    if (m_state.compare_exchange_strong(open, reply_state::Ended))
        m_call->endStream();
}

/// Returns whether the caller may send a head, and lets no other call send one.
bool caller_reply::takeHead(reply_state next)
{
    reply_state unsent = reply_state::Unsent;
    return m_state.compare_exchange_strong(unsent, next);
}

/// Returns the fields with the id of this request, and no other id.
std::vector<header> caller_reply::withRequestId(std::vector<header> fields) const
{
    fields.erase(std::remove_if(fields.begin(), fields.end(),
                                [](const header &field) {
                                    return boost::algorithm::iequals(field.name, RequestIdField);
                                }),
                 fields.end());
    fields.push_back({ RequestIdField, m_requestId });
    return fields;
}

} // namespace burdockhold
