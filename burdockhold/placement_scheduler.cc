#include "burdockhold/placement_scheduler.h"

#include "burdockhold/vm_digest.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>

namespace burdockhold {

namespace {

placement_answer answerTo(const placement_question &question, placement_verdict verdict)
{
    placement_answer answer;
    answer.vm = question.vm;
    answer.number = question.number;
    answer.repetition = question.repetition;
    answer.verdict = static_cast<std::uint8_t>(verdict);
    return answer;
}

placement_need needOf(const placement_question &question)
{
    placement_need need;
    need.affinityKey = question.affinityKey;
    need.segmentTokens = question.segmentTokens;
    need.unsharedTokens = question.unsharedTokens;
    need.outputTokens = question.outputTokens;
    need.promptTokens = question.promptTokens;
    need.storeHoldsSegment = question.storeHoldsSegment;
    need.lane = static_cast<engine_lane>(question.lane);
    return need;
}

bool isStage(const call_row &row, call_stage stage)
{
    return row.stage == static_cast<std::uint8_t>(stage);
}

/// Returns the same number for questions that can be placed at the same engines. Otherwise one that
/// may not use the only engine with room would hold up those that may.
std::uint64_t shapeOf(const placement_question &question)
{
    const std::array<std::uint32_t, 3> common{ question.pool, question.model, question.lane };
    const std::uint64_t shape = XXH64(common.data(), sizeof common, 0);
    std::vector<std::uint32_t> excluded = question.tried;
    std::sort(excluded.begin(), excluded.end());
    return XXH64(excluded.data(), excluded.size() * sizeof(std::uint32_t), shape);
}

waiting_room_options roomOptions(const scheduler_options &options)
{
    waiting_room_options room;
    room.maxWaiting = options.maxWaiting;
    if (!options.isFair)
        room.starvationShare = 0.0;
    return room;
}

} // namespace

placement_scheduler::placement_scheduler(scheduler_options options, endpoint_choice_options choice,
                                         candidate_source candidates, cold_charge chargeCold)
    : m_options(options)
    , m_choice(choice)
    , m_candidates(std::move(candidates))
    , m_chargeCold(std::move(chargeCold))
    , m_room(roomOptions(options))
{
    // The loads are known, so there is no reason to compare a sample only.
    m_choice.fullScanLimit = std::numeric_limits<std::size_t>::max();
    m_choice.assumePreferredHolds = false;
    m_choice.maxPendingAheadOfLong = m_options.maxPendingAheadOfLong;
}

placement_answer placement_scheduler::ask(const placement_question &question, time_point now)
{
    const call_id id{ question.vm, question.number };
    const auto known = m_calls.find(id);
    if (known != m_calls.end()) {
        if (known->second.isStated || !isSuperseded(known->second.answer, question))
            return known->second.answer;
        erase(id, now);
    }
    if (const auto waiting = m_roomIds.find(id); waiting != m_roomIds.end()) {
        std::uint32_t &repetition = m_questions.at(waiting->second).repetition;
        repetition = std::max(repetition, question.repetition);
        return answerTo(question, placement_verdict::Queued);
    }
    const bool mustWait = overtakes(question);
    if (!mustWait) {
        if (const auto granted = tryPlace(question, now))
            return *granted;
    }
    if (question.maxWaitMs == 0 || !enqueue(question, now))
        return answerTo(question, placement_verdict::Declined);
    m_roomChanged = m_roomChanged || mustWait; // It has not been tried yet.
    return answerTo(question, placement_verdict::Queued);
}

/// Returns whether a question waits that would be placed at the same engines, is as urgent and not
/// larger.
bool placement_scheduler::overtakes(const placement_question &question) const
{
    if (!m_options.isFair)
        return false;
    const std::uint64_t shape = shapeOf(question);
    const auto end = m_waitingTokens.upper_bound({ shape, question.priority });
    return std::any_of(m_waitingTokens.lower_bound({ shape, 0 }), end, [&](const auto &waiting) {
        return *waiting.second.begin() <= question.promptTokens;
    });
}

/// Returns false if the room is full of questions that are better off.
bool placement_scheduler::enqueue(const placement_question &question, time_point now)
{
    waiting_request request;
    request.id = ++m_lastRoomId;
    request.priority = question.priority;
    request.account = m_options.isFair ? question.account : 0;
    request.tokens = question.promptTokens;
    request.arrivedAt = now;
    request.targetAt = now + std::chrono::milliseconds(question.targetMs);
    request.deadlineAt = now + std::chrono::milliseconds(question.maxWaitMs);
    request.shape = shapeOf(question);
    if (!m_room.add(request, now))
        return false;
    m_roomIds.emplace(call_id{ question.vm, question.number }, request.id);
    m_questions.emplace(request.id, question);
    m_waitingTokens[{ request.shape, request.priority }].insert(question.promptTokens);
    dropExpired(now);
    return true;
}

/// Removes what is kept of a question that no longer waits, and returns its id.
std::optional<placement_scheduler::call_id> placement_scheduler::forgetWaiting(std::uint64_t roomId)
{
    const auto found = m_questions.find(roomId);
    if (found == m_questions.end())
        return std::nullopt;
    const placement_question &question = found->second;
    const auto tokens = m_waitingTokens.find({ shapeOf(question), question.priority });
    tokens->second.erase(tokens->second.find(question.promptTokens));
    if (tokens->second.empty())
        m_waitingTokens.erase(tokens);
    const call_id id{ question.vm, question.number };
    m_roomIds.erase(id);
    m_questions.erase(found);
    return id;
}

/// Drops the questions whose time is over. Those that had to leave a full room are declined.
void placement_scheduler::dropExpired(time_point now)
{
    for (const waiting_request &left : m_room.takeExpired(now)) {
        const auto id = forgetWaiting(left.id);
        if (!id || left.deadlineAt < now)
            continue;
        placement_question evicted;
        std::tie(evicted.vm, evicted.number) = *id;
        m_declined.push_back(answerTo(evicted, placement_verdict::Declined));
    }
}

/// Returns the paces of the pool whose engines are listed now; null if they are not used, or if
/// nothing is known of the pool.
pool_paces *placement_scheduler::listedPool(std::uint32_t pool, bool isEmpty, time_point now)
{
    if (!m_options.usePace)
        return nullptr;
    if (!isEmpty)
        m_paces.try_emplace(pool);
    const auto paces = m_paces.find(pool);
    if (paces == m_paces.end())
        return nullptr;
    paces->second.beginList(now);
    return &paces->second;
}

/// Returns the data centre's endpoints with the loads of the calls that are known.
std::vector<endpoint_candidate> placement_scheduler::candidatesFor(
        const placement_question &question, time_point now)
{
    std::vector<endpoint_candidate> candidates = m_candidates(question);
    pool_paces *paces = listedPool(question.pool, candidates.empty(), now);
    for (endpoint_candidate &candidate : candidates) {
        const std::uint32_t hash = shortHash(candidate.id);
        const auto load = m_loads.find(hash);
        const engine_load known = load == m_loads.end() ? engine_load{} : load->second;
        candidate.running = known.running;
        candidate.activeTokens = known.activeTokens;
        // The limit of an engine that has become usable bounds what a VM places without knowing
        // what the others place. Here all of it is known.
        candidate.tokensLeft = std::numeric_limits<double>::infinity();
        const auto cached = m_cached.find(hash);
        candidate.holdsSegment = question.segment != 0 && cached != m_cached.end()
                                 && cached->second.weights == candidate.weights
                                 && cached->second.tokens.count(question.segment) != 0;
        excludeForQuestion(candidate, question, hash);
        if (paces != nullptr)
            paces->apply(candidate, hash, question.model);
        candidate.pendingPrefillTokens = pendingAt(known, readingRate(paces, candidate), now);
    }
    return candidates;
}

std::optional<placement_answer> placement_scheduler::tryPlace(const placement_question &question,
                                                              time_point now)
{
    const std::vector<endpoint_candidate> candidates = candidatesFor(question, now);
    const placement_need need = needOf(question);
    const auto choice = chooseEndpoint(candidates, need, question.segment, m_choice);
    if (!choice)
        return std::nullopt;
    if (question.maxExpectedMs != 0 && choice->expectedFirstEventMs > question.maxExpectedMs)
        return std::nullopt;
    const endpoint_candidate &engine = candidates[choice->index];
    if (engine.needsColdShare && (!m_chargeCold || !m_chargeCold(engine.id, now)))
        return std::nullopt;
    placement_answer answer = answerTo(question, placement_verdict::Granted);
    answer.endpoint = shortHash(engine.id);
    answer.onColdShare = engine.needsColdShare;
    answer.expectedMs = static_cast<std::uint32_t>(choice->expectedFirstEventMs);
    answer.cachedTokens = static_cast<std::uint32_t>(choice->expectedCachedTokens);
    answer.tokensAhead = static_cast<std::uint32_t>(engine.pendingPrefillTokens);
    answer.running = static_cast<std::uint32_t>(engine.running);
    if (choice->copyFrom)
        answer.copyFrom = shortHash(candidates[*choice->copyFrom].id);
    known_call call;
    call.row.number = question.number;
    call.row.endpoint = answer.endpoint;
    call.row.unreadTokens = question.promptTokens
                            - std::min(question.promptTokens, answer.cachedTokens);
    call.row.activeTokens = question.promptTokens + question.outputTokens;
    call.grantedAt = now;
    call.answer = answer;
    call.granted = grantedLoad(question, *choice, answer.endpoint);
    put({ question.vm, question.number }, call, now);
    recordSegment(question, engine);
    return answer;
}

const pool_paces *placement_scheduler::pacesOf(std::uint32_t pool) const
{
    const auto paces = m_paces.find(pool);
    return paces == m_paces.end() ? nullptr : &paces->second;
}

placement_scheduler::granted_load placement_scheduler::grantedLoad(
        const placement_question &question, const endpoint_choice &choice,
        std::uint32_t engine) const
{
    const pool_paces *paces = pacesOf(question.pool);
    if (paces == nullptr)
        return {};
    return { question.pool, paces->engineOf(engine), choice.unreadTokens, choice.tokensAhead,
             choice.running };
}

/// Records the time of a granted call's first event, once. A call at another engine was placed by
/// its VM, which may have known of a different load.
void placement_scheduler::recordFirstEvent(known_call &call, const call_row &row, time_point now)
{
    const granted_load granted = std::exchange(call.granted, {});
    const auto paces = m_paces.find(granted.pool);
    if (row.firstEventMs == 0 || row.endpoint != granted.engine.hash || paces == m_paces.end())
        return;
    if (row.firstEventMs > MaxFirstEventMs) {
        ++m_droppedTimes;
        return;
    }
    paces->second.record(granted.engine,
                         { granted.unreadTokens, granted.tokensAhead, granted.running,
                           static_cast<double>(row.firstEventMs) },
                         now);
}

/// Records that the engine caches the segment from now on, and forgets the segments that it has
/// evicted for it.
void placement_scheduler::recordSegment(const placement_question &question,
                                        const endpoint_candidate &engine)
{
    if (question.segment == 0 || engine.cacheTokens <= 0)
        return;
    cached_segments &cached = m_cached[shortHash(engine.id)];
    if (cached.weights != engine.weights) // Loading weights clears the engine's cache.
        cached = {};
    cached.weights = engine.weights;
    const auto known = cached.tokens.find(question.segment);
    if (known != cached.tokens.end()) {
        const auto entry = std::find_if(
                cached.order.begin(), cached.order.end(),
                [&](const auto &segment) { return segment.first == question.segment; });
        cached.order.erase(entry);
        cached.total -= known->second;
    }
    cached.order.emplace_back(question.segment, question.segmentTokens);
    cached.tokens[question.segment] = question.segmentTokens;
    cached.total += question.segmentTokens;
    const double limit = m_options.cachedShare * static_cast<double>(engine.cacheTokens);
    while (static_cast<double>(cached.total) > limit && cached.order.size() > 1) {
        cached.total -= cached.order.front().second;
        cached.tokens.erase(cached.order.front().first);
        cached.order.pop_front();
    }
}

/// Returns how many prompt tokens the engine is expected to read in a millisecond. With a common
/// rate, what is ahead at a slow engine reads too low, so the engine reads slower than it is: by a
/// factor of 1.62 instead of 1.43 for an actual 1.3 in scheduler_pace_test.
double placement_scheduler::readingRate(const pool_paces *paces,
                                        const endpoint_candidate &engine) const
{
    if (paces == nullptr || !paces->isKnown())
        return m_choice.prefillTokensPerMs;
    return 1.0 / engine.poolPace->slowedBy(engine.slowness).msPerToken;
}

/// Returns the pending prefill less what the engine has probably done of the prefill in progress.
std::int64_t placement_scheduler::pendingAt(const engine_load &load, double tokensPerMs,
                                            time_point now) const
{
    constexpr double MinLeft = 0.1; // It has not finished, whatever the rate says.
    const double done = 1000.0 * toSeconds(now - load.prefillSince) * tokensPerMs;
    const auto pending = static_cast<double>(load.pendingTokens);
    return static_cast<std::int64_t>(std::max(pending - done, MinLeft * pending));
}

void placement_scheduler::addLoad(const call_row &row, int sign, time_point now)
{
    engine_load &load = m_loads[row.endpoint];
    load.running += sign;
    load.activeTokens += sign * static_cast<std::int64_t>(row.activeTokens);
    if (isStage(row, call_stage::Prefill)) {
        // A prefill that ends is followed by the next one; one that is added starts at once only if
        // nothing was pending.
        if (sign < 0 || load.pendingTokens == 0)
            load.prefillSince = now;
        load.pendingTokens += sign * static_cast<std::int64_t>(row.unreadTokens);
    }
    if (load.running <= 0)
        m_loads.erase(row.endpoint);
}

void placement_scheduler::put(const call_id &id, const known_call &call, time_point now)
{
    erase(id, now);
    m_calls.emplace(id, call);
    addLoad(call.row, 1, now);
}

void placement_scheduler::erase(const call_id &id, time_point now)
{
    const auto known = m_calls.find(id);
    if (known == m_calls.end())
        return;
    addLoad(known->second.row, -1, now);
    m_calls.erase(known);
    m_roomChanged = true;
}

void placement_scheduler::withdraw(const call_id &id)
{
    const auto waiting = m_roomIds.find(id);
    if (waiting == m_roomIds.end())
        return;
    const std::uint64_t roomId = waiting->second;
    m_room.remove(roomId);
    forgetWaiting(roomId);
}

void placement_scheduler::apply(const call_statement &statement, time_point now)
{
    vm_state &vm = m_vms[statement.vm];
    if (statement.sequence <= vm.sequence)
        return;
    vm = { statement.sequence, now };
    std::set<std::uint32_t> stated;
    for (const call_row &row : statement.calls) {
        const call_id id{ statement.vm, row.number };
        stated.insert(row.number);
        if (isStage(row, call_stage::Ended)) {
            withdraw(id);
            erase(id, now);
            continue;
        }
        if (row.endpoint == 0) // Waits, or its answer has not arrived.
            continue;
        const auto known = m_calls.find(id);
        const bool finishesPrefill = known != m_calls.end() && !isStage(row, call_stage::Prefill)
                                     && isStage(known->second.row, call_stage::Prefill);
        known_call call;
        if (known != m_calls.end())
            call = known->second;
        call.row = row;
        call.isStated = true;
        if (isStage(row, call_stage::Decode))
            recordFirstEvent(call, row, now);
        const bool isUnchanged = known != m_calls.end() && known->second.row.stage == row.stage
                                 && known->second.row.endpoint == row.endpoint;
        if (isUnchanged) {
            known->second.isStated = true;
            continue;
        }
        put(id, call, now);
        m_roomChanged = m_roomChanged || finishesPrefill;
    }
    if (!statement.isComplete)
        return;
    std::vector<call_id> ended;
    for (auto call = m_calls.lower_bound({ statement.vm, 0 });
         call != m_calls.end() && call->first.first == statement.vm; ++call) {
        const bool mayBeOnItsWay = !call->second.isStated
                                   && now - call->second.grantedAt < m_options.grantExpiry;
        if (stated.count(call->first.second) == 0 && !mayBeOnItsWay)
            ended.push_back(call->first);
    }
    for (const call_id &id : ended)
        erase(id, now);
}

std::vector<placement_answer> placement_scheduler::takeGrants(time_point now)
{
    // After some failures, the rest waits for the next change. This bounds the work.
    constexpr int MaxFailures = 8;
    std::vector<placement_answer> answers = std::exchange(m_declined, {});
    if (!m_roomChanged || m_room.isEmpty())
        return answers;
    m_roomChanged = false;
    const auto grant = [&](const waiting_request &next) {
        const auto granted = tryPlace(m_questions.at(next.id), now);
        if (!granted)
            return false;
        answers.push_back(*granted);
        forgetWaiting(next.id);
        return true;
    };
    m_room.serve(now, grant, MaxFailures);
    return answers;
}

void placement_scheduler::step(time_point now)
{
    dropExpired(now);
    for (auto vm = m_vms.begin(); vm != m_vms.end();) {
        if (now - vm->second.statedAt <= m_options.callExpiry) {
            ++vm;
            continue;
        }
        std::vector<call_id> lost;
        for (auto call = m_calls.lower_bound({ vm->first, 0 });
             call != m_calls.end() && call->first.first == vm->first; ++call)
            lost.push_back(call->first);
        for (const call_id &id : lost)
            erase(id, now);
        vm = m_vms.erase(vm);
    }
    std::vector<call_id> lost;
    for (const auto &[id, call] : m_calls) {
        if (!call.isStated && now - call.grantedAt >= m_options.callExpiry)
            lost.push_back(id);
    }
    for (const call_id &id : lost)
        erase(id, now);
    for (auto &[pool, paces] : m_paces)
        paces.forgetAbsent();
    m_roomChanged = true; // Exclusions end with time.
}

} // namespace burdockhold
