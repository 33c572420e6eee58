#ifndef BURDOCKHOLD_PLACEMENT_SCHEDULER_H
#define BURDOCKHOLD_PLACEMENT_SCHEDULER_H

// Places the requests of all VMs at one data centre's engines. One VM of the data centre acts as
// the scheduler; the others ask it (placement_client.h).
//
// Load pattern: many VMs place prompts at the same engines. A prompt of several thousand tokens
// occupies an engine for 100 to 200 ms, which is less than the age of what VMs know of each other's
// placements from digests. So prompts pile up at some engines while others are idle: short prompts
// behind 16,000 pending tokens were late in 0.8 to 0.9 of the cases, those behind 1,500 in 0.03.
// The scheduler knows the pending tokens of its engines to within one message.
//
// Promises:
// - A question that is repeated gets the same answer, until its call has ended. Only a grant for a
//   cold engine is not repeated (cold_grants.h).
// - Waiting questions are answered in the order of waiting_room.h: by priority, then those whose
//   target has not passed, with fairness between accounts by prompt tokens and a bound on
//   starvation. An account that asks for 7.5 times its share does not take that of the others. An
//   arrival does not overtake a question that waits for the same engines and is not larger. A
//   question is dropped when its time is over: the VM that asked decides then.
// - What a VM states of its calls replaces what was granted to it, so calls at engines that it has
//   placed itself count too, and a grant that was lost is forgotten. The calls of a VM that states
//   nothing for callExpiry are forgotten.
// - An engine's pace comes from the first events of the calls that were granted here, with the load
//   that was known when they were placed (pool_paces.h). Each call gives one sample at most. Until
//   the pool's pace is known, that of the VM's own table counts.
// - Nothing depends on there being one scheduler: two of them only know less.
// Nothing here fails or allocates without bound: questions that wait are limited to maxWaiting.
// When that many wait, the one that is worst off is declined, which may be the arrival. Time of a
// placement is linear in the data centre's engines.

#include "burdockhold/clock.h"
#include "burdockhold/cold_grants.h"
#include "burdockhold/endpoint_choice.h"
#include "burdockhold/pool_paces.h"
#include "burdockhold/scheduler_message.h"
#include "burdockhold/waiting_room.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdockhold {

struct scheduler_options
{
    duration callExpiry = std::chrono::seconds(2); ///< Since the VM's last statement.
    /// A grant that its VM has not stated after this time was lost.
    duration grantExpiry = std::chrono::milliseconds(600);
    std::size_t maxWaiting = 2000;
    /// Share of an engine's KV cache that is assumed to hold the segments placed last.
    double cachedShare = 0.6;
    /// See endpoint_choice_options. The time of one exchange with the VM and the next in the queue.
    std::int64_t maxPendingAheadOfLong = 1000;
    /// Expect first events by the paces that this scheduler has observed, not by those of its VM.
    bool usePace = true;
    /// False: all questions count as those of one account, none is served before its turn because
    /// it has waited long, and arrivals may overtake.
    bool isFair = true;
};

/// Which endpoints may take a request, with the loads that the scheduler's own table knows.
using candidate_source = std::function<std::vector<endpoint_candidate>(const placement_question &)>;

class placement_scheduler
{
public:
    placement_scheduler(scheduler_options options, endpoint_choice_options choice,
                        candidate_source candidates, cold_charge chargeCold = {});

    placement_answer ask(const placement_question &question, time_point now);

    void apply(const call_statement &statement, time_point now);

    /// Returns the answers for questions that have waited and are granted now.
    std::vector<placement_answer> takeGrants(time_point now);

    /// Forgets calls of silent VMs and questions whose time is over.
    void step(time_point now);

    std::size_t waiting() const { return m_room.size(); }
    std::size_t calls() const { return m_calls.size(); }

    /// Returns the observed paces of a pool, given by its shortHash; null if there are none.
    const pool_paces *pacesOf(std::uint32_t pool) const;

    /// Returns the number of implausible times of first events that were dropped.
    std::uint64_t droppedTimes() const { return m_droppedTimes; }

private:
    using call_id = std::pair<std::uint64_t, std::uint32_t>; // VM and number.

    /// What the scheduler knew of the engine when it granted a call.
    struct granted_load
    {
        std::uint32_t pool = 0;
        paced_engine engine; // Without generation: no sample is due.
        std::int64_t unreadTokens = 0;
        std::int64_t tokensAhead = 0;
        int running = 0;
    };
    struct known_call
    {
        call_row row;
        time_point grantedAt;
        bool isStated = false;
        placement_answer answer; // Repeated to a repeated question.
        granted_load granted;
    };
    struct engine_load
    {
        int running = 0;
        std::int64_t pendingTokens = 0;
        std::int64_t activeTokens = 0;
        time_point prefillSince; // Start of the prefill that is in progress.
    };
    struct cached_segments
    {
        std::deque<std::pair<std::uint64_t, std::int64_t>> order; // Least recently used first.
        std::unordered_map<std::uint64_t, std::int64_t> tokens;
        std::int64_t total = 0;
        std::int64_t weights = 0; // The segments were computed with this version.
    };
    struct vm_state
    {
        std::uint64_t sequence = 0;
        time_point statedAt;
    };

    std::optional<placement_answer> tryPlace(const placement_question &question, time_point now);
    bool overtakes(const placement_question &question) const;
    std::optional<call_id> forgetWaiting(std::uint64_t roomId);
    void dropExpired(time_point now);
    std::vector<endpoint_candidate> candidatesFor(const placement_question &question,
                                                  time_point now);
    pool_paces *listedPool(std::uint32_t pool, bool isEmpty, time_point now);
    granted_load grantedLoad(const placement_question &question, const endpoint_choice &choice,
                             std::uint32_t engine) const;
    void recordFirstEvent(known_call &call, const call_row &row, time_point now);
    bool enqueue(const placement_question &question, time_point now);
    void withdraw(const call_id &id);
    double readingRate(const pool_paces *paces, const endpoint_candidate &engine) const;
    std::int64_t pendingAt(const engine_load &load, double tokensPerMs, time_point now) const;
    void put(const call_id &id, const known_call &call, time_point now);
    void erase(const call_id &id, time_point now);
    void addLoad(const call_row &row, int sign, time_point now);
    void recordSegment(const placement_question &question, const endpoint_candidate &engine);

    scheduler_options m_options;
    endpoint_choice_options m_choice;
    candidate_source m_candidates;
    cold_charge m_chargeCold;
    std::map<call_id, known_call> m_calls;
    std::unordered_map<std::uint32_t, engine_load> m_loads;      // By shortHash.
    std::unordered_map<std::uint32_t, cached_segments> m_cached; // By shortHash.
    std::unordered_map<std::uint32_t, pool_paces> m_paces;       // By the pool's shortHash.
    std::uint64_t m_droppedTimes = 0;
    std::map<std::uint64_t, vm_state> m_vms;
    waiting_room m_room;
    std::uint64_t m_lastRoomId = 0;
    std::map<call_id, std::uint64_t> m_roomIds; // Of the questions that wait.
    std::unordered_map<std::uint64_t, placement_question> m_questions; // By their ids in the room.
    /// Prompt tokens of the questions that wait, by shape and priority.
    std::map<std::pair<std::uint64_t, int>, std::multiset<std::uint32_t>> m_waitingTokens;
    std::vector<placement_answer> m_declined; // Of evicted questions, for the next takeGrants().
    bool m_roomChanged = false;
};

} // namespace burdockhold

#endif
