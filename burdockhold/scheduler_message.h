#ifndef BURDOCKHOLD_SCHEDULER_MESSAGE_H
#define BURDOCKHOLD_SCHEDULER_MESSAGE_H

// The datagrams between a VM and the scheduler of a data centre's engines (placement_scheduler.h).
//
// - A placement question names a request by the VM's own number, so a repeated question gets the
//   same answer.
// - A call statement says which calls the VM has at the scheduler's engines: all of them, or single
//   changes. A lost or repeated statement does no harm once a later one arrives.
// A datagram that cannot be decoded, or of another format, is dropped. Times are relative, in
// milliseconds, since the clocks of VMs differ.

#include "burdockhold/result.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockhold {

struct placement_question
{
    std::uint64_t vm = 0;     ///< Incarnation of the VM that asks.
    std::uint32_t number = 0; ///< Of the request's placement, unique for the incarnation.
    std::uint32_t pool = 0;   ///< shortHash of the pool's name.
    std::uint32_t model = 0;  ///< shortHash of the model's name.
    std::string affinityKey;
    /// Hash of the deepest shared segment, whatever the weights; 0 if there is none.
    std::uint64_t segment = 0;
    std::uint32_t segmentTokens = 0;
    std::uint32_t unsharedTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t promptTokens = 0;
    bool storeHoldsSegment = false;
    std::uint8_t lane = 0; ///< engine_lane.
    std::uint8_t priority = 5;
    std::uint32_t account = 0; ///< shortHash of the account's name.
    std::uint32_t targetMs = 0;
    std::uint32_t deadlineMs = 0;
    /// The scheduler declines if it expects the first event later than this; 0: no such limit.
    std::uint32_t maxExpectedMs = 0;
    std::uint32_t maxWaitMs = 0;      ///< In the scheduler's queue; 0: not at all.
    std::vector<std::uint32_t> tried; ///< shortHashes of endpoints that are excluded.
    /// The last ones of these are excluded only since they are cold. A scheduler may grant a call
    /// there on its own share (cold_grants.h).
    std::uint32_t coldTried = 0;
    /// Grows with each sending of the question; 0 from an older build.
    std::uint32_t repetition = 0;
    MSGPACK_DEFINE_ARRAY(vm, number, pool, model, affinityKey, segment, segmentTokens,
                         unsharedTokens, outputTokens, promptTokens, storeHoldsSegment, lane,
                         priority, account, targetMs, deadlineMs, maxExpectedMs, maxWaitMs, tried,
                         coldTried, repetition)
};

enum class placement_verdict : std::uint8_t {
    Granted,  ///< The call is to be made to the endpoint.
    Queued,   ///< An answer follows when there is room.
    Declined, ///< No endpoint has room, or none is expected to be fast enough.
};

struct placement_answer
{
    std::uint64_t vm = 0; ///< As in the question.
    std::uint32_t number = 0;
    std::uint8_t verdict = 0;
    std::uint32_t endpoint = 0; ///< shortHash of its id.
    std::uint32_t expectedMs = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t copyFrom = 0;    ///< shortHash of an endpoint to copy the segment from, or 0.
    std::uint32_t tokensAhead = 0; ///< Prompt tokens that the endpoint has to read before.
    std::uint32_t running = 0;     ///< Other requests that run at the endpoint.
    bool onColdShare = false;      ///< The endpoint is cold, and the scheduler's share is charged.
    std::uint32_t repetition = 0;  ///< Of the question that is answered.
    MSGPACK_DEFINE_ARRAY(vm, number, verdict, endpoint, expectedMs, cachedTokens, copyFrom,
                         tokensAhead, running, onColdShare, repetition)
};

enum class call_stage : std::uint8_t {
    Prefill, ///< No event has arrived yet.
    Decode,
    Ended, ///< Also a question that is withdrawn.
};

struct call_row
{
    std::uint32_t number = 0;
    std::uint32_t endpoint = 0; ///< shortHash of its id; 0 for a question that still waits.
    std::uint32_t unreadTokens = 0;
    std::uint32_t activeTokens = 0;
    std::uint8_t stage = 0; ///< call_stage.
    /// From the call to its first event, in milliseconds; 0 if unknown, or if the time says nothing
    /// about the engine's pace. Older builds do not send it.
    std::uint32_t firstEventMs = 0;
    MSGPACK_DEFINE_ARRAY(number, endpoint, unreadTokens, activeTokens, stage, firstEventMs)
};

struct call_statement
{
    std::uint64_t vm = 0;
    std::uint64_t sequence = 0; ///< Grows with each statement.
    bool isComplete = false;    ///< Calls that are not listed have ended.
    std::vector<call_row> calls;
    MSGPACK_DEFINE_ARRAY(vm, sequence, isComplete, calls)
};

using scheduler_message = std::variant<placement_question, placement_answer, call_statement>;

enum class scheduler_message_error { NotReadable, UnsupportedFormat };

/// Returns whether the datagram begins like one of these messages, not like a digest.
bool isSchedulerMessage(std::string_view bytes);

std::string encodeSchedulerMessage(const scheduler_message &message);
result<scheduler_message, scheduler_message_error> decodeSchedulerMessage(std::string_view bytes);

} // namespace burdockhold

#endif
