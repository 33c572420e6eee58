#include "burdockhold/request_waiting.h"

#include "burdockhold/prompt_segments.h"
#include "burdockhold/vm_digest.h"
#include "burdockhold/wait_rules.h"

#include <xxhash.h>

#include <algorithm>

namespace burdockhold {

namespace {

std::uint64_t addToHash(std::uint64_t hash, std::string_view text)
{
    return XXH64(text.data(), text.size(), hash);
}

std::uint64_t shapeOf(const waiting_call &call)
{
    if (call.awaitsRetryBudget)
        return call.requestHash; // What it waits for is not room.
    std::uint64_t shape = 0;
    for (const std::string &endpoint : call.triedEndpoints)
        shape = addToHash(shape, endpoint);
    if (!call.isEnginePool)
        return shape;
    return addToHash(addToHash(shape, call.request.model), deepestSegmentId(call.request));
}

std::size_t bytesOf(const caller_request &request)
{
    std::size_t bytes = request.body.size() + request.target.size();
    for (const http_field &field : request.forwardedFields)
        bytes += field.name.size() + field.value.size();
    return bytes;
}

} // namespace

wait_entry waitEntryFor(const waiting_call &call, time_point now)
{
    const caller_request &request = call.request;
    wait_facts facts{ now, call.arrival, call.deadline };
    wait_entry entry;
    if (call.isEnginePool) {
        facts.unreadTokens = request.promptTokens;
        facts.outputTokens = request.expectedOutputTokens();
        entry.request.tokens = std::max<std::int64_t>(1, request.promptTokens + facts.outputTokens);
    }
    if (call.responseStarted)
        setStreamWaitTimes(entry.request, facts);
    else
        setWaitTimes(entry.request, facts, call.route);
    entry.request.priority = call.priority;
    entry.request.account = shortHash(call.account);
    entry.request.shape = shapeOf(call);
    entry.pool = call.pool;
    entry.bytes = bytesOf(request);
    entry.requestHash = call.requestHash;
    entry.callerEnd = call.deadline;
    entry.mustWait = call.responseStarted;
    return entry;
}

} // namespace burdockhold
