#include "burdockhold/placement_client.h"

#include "burdockhold/http_client_connection.h"

#include <boost/asio/post.hpp>
#include <xxhash.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace burdockhold {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

/// Addresses that are kept; any sender in the network can state something.
constexpr std::size_t MaxVmAddresses = 4096;

std::uint32_t milliseconds(duration time)
{
    return digestMilliseconds(time);
}

std::uint32_t tokens(std::int64_t count)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, INT32_MAX));
}

/// Adds the endpoints that this VM excludes, the cold ones last.
void addExclusions(placement_question &question, const std::vector<endpoint_candidate> &candidates)
{
    const auto add = [&](bool areCold) {
        for (const endpoint_candidate &candidate : candidates) {
            // The scheduler knows of loads of weights as soon as this VM.
            const bool isNamed = candidate.excluded != exclusion::None
                                 && candidate.excluded != exclusion::Loading;
            if (isNamed && (candidate.excluded == exclusion::Cold) == areCold)
                addExcluded(question, shortHash(candidate.id), candidate.excluded);
        }
    };
    add(false);
    add(true);
}

std::uint64_t newIncarnation(const std::string &vmName)
{
    std::random_device source;
    return XXH64(vmName.data(), vmName.size(), (std::uint64_t(source()) << 32) | source());
}

} // namespace

placement_step request_placement::choose(const placement_facts &facts,
                                         const std::function<void()> &answered)
{
    const time_point now = steadyNow();
    if (m_client == nullptr || (m_number == 0 && !m_client->isUsable(facts, now)))
        return place_locally{};
    if (m_number == 0)
        m_number = m_client->begin(facts, answered);
    placement_step step = m_client->stepOf(m_number, facts, now);
    const bool isOver = std::holds_alternative<place_locally>(step);
    if (isOver)
        callEnded();
    return step;
}

bool request_placement::isPending(time_point now) const
{
    return m_number != 0 && m_client->isPending(m_number, now);
}

void request_placement::callStarted(const endpoint_report &endpoint, const call_load &load)
{
    if (m_client != nullptr)
        m_client->callStarted(m_number, endpoint, load);
}

void request_placement::prefillFinished(duration firstEvent)
{
    if (m_number != 0)
        m_client->prefillFinished(m_number, firstEvent);
}

void request_placement::callEnded()
{
    if (m_number != 0)
        m_client->end(std::exchange(m_number, 0));
}

placement_client::placement_client(boost::asio::io_context &context, router_board &board,
                                   datagram_sender send, placement_client_options options)
    : m_context(context)
    , m_board(board)
    , m_options(options)
    , m_send(std::move(send))
    , m_scheduler(
              board.options.scheduler, board.options.choice,
              [&board](const placement_question &question) {
                  return schedulableCandidates(board, question.pool, question.model, steadyNow());
              },
              [this](std::string_view engine, time_point now) { return chargeCold(engine, now); })
    , m_vm(newIncarnation(board.settings.vmName))
{
}

/// Charges this VM's share of a cold engine's rate with a call that its scheduler grants.
bool placement_client::chargeCold(std::string_view engine, time_point now)
{
    if (!m_board.coldEngines.tryCharge(engine, m_board.knownVms, now))
        return false;
    m_board.metrics.count(router_counter::ColdGrants);
    return true;
}

bool placement_client::isOwnScheduler(const std::string &dataCentre) const
{
    return m_board.actsAsScheduler && dataCentre == m_board.settings.dataCentre;
}

std::optional<udp::endpoint> placement_client::schedulerOf(const std::string &dataCentre) const
{
    const auto found = m_board.schedulers.find(dataCentre);
    const auto address = found == m_board.schedulers.end() ? std::nullopt
                                                           : parseAddress(found->second);
    if (!address)
        return std::nullopt;
    return udp::endpoint(address->address(), address->port());
}

bool placement_client::isSilent(const std::string &dataCentre, time_point now) const
{
    const auto silent = m_silentUntil.find(dataCentre);
    return silent != m_silentUntil.end() && now < silent->second;
}

/// Returns whether the request's pool has schedulers that can be asked.
bool placement_client::isUsable(const placement_facts &facts, time_point now) const
{
    if (!m_board.settings.mechanisms.uses(mechanism::Schedulers))
        return false;
    const std::string &own = m_board.settings.dataCentre;
    const bool hasOwn = isOwnScheduler(own) || m_board.schedulers.count(own) != 0;
    return hasOwn && !isSilent(own, now) && !facts.inputs.canary
           && !facts.inputs.need.affinityKey.empty();
}

std::vector<std::string> placement_client::otherDataCentres(const std::string &home,
                                                            time_point now) const
{
    std::vector<std::string> others;
    const std::string &own = m_board.settings.dataCentre;
    const auto isOther = [&](const std::string &dataCentre) {
        return dataCentre != home && !m_board.evacuated.isEvacuated(dataCentre);
    };
    if (isOther(own) && isOwnScheduler(own))
        others.push_back(own);
    for (const auto &[dataCentre, address] : m_board.schedulers) {
        if (isOther(dataCentre) && !isSilent(dataCentre, now))
            others.push_back(dataCentre);
    }
    return others;
}

/// Returns a data centre with a scheduler other than the home, a different one for each number.
std::optional<std::string> placement_client::otherDataCentre(const std::string &home,
                                                             std::uint32_t number,
                                                             time_point now) const
{
    const std::vector<std::string> others = otherDataCentres(home, now);
    if (others.empty())
        return std::nullopt;
    return others[number % others.size()];
}

/// Returns the data centre in whose queue the request waits. One that is evacuated grants nothing,
/// so short prompts of its VMs are spread over the others.
std::string placement_client::homeOf(const placement_facts &facts, std::uint32_t number,
                                     time_point now) const
{
    const std::string &own = m_board.settings.dataCentre;
    const bool isOwnEvacuated = m_board.evacuated.isEvacuated(own);
    const bool isLong = facts.inputs.need.lane == engine_lane::Long
                        && facts.inputs.need.segmentTokens != 0;
    if (!isLong && !isOwnEvacuated)
        return own;
    std::vector<std::string> all = otherDataCentres(own, now);
    if (!isOwnEvacuated || all.empty())
        all.push_back(own);
    if (!isLong)
        return all[number % all.size()];
    const std::string &key = facts.inputs.need.affinityKey;
    const std::uint64_t keyHash = XXH64(key.data(), key.size(), 0);
    return *std::max_element(all.begin(), all.end(), [&](const auto &a, const auto &b) {
        return XXH64(a.data(), a.size(), keyHash) < XXH64(b.data(), b.size(), keyHash);
    });
}

std::uint32_t placement_client::begin(const placement_facts &facts,
                                      const std::function<void()> &answered)
{
    const std::uint32_t number = ++m_lastNumber;
    auto placement = std::make_unique<open_placement>(m_context);
    const placement_need &need = facts.inputs.need;
    placement_question &question = placement->question;
    question.vm = m_vm;
    question.number = number;
    question.pool = shortHash(facts.query.poolName);
    question.model = shortHash(facts.query.request.model);
    question.affinityKey = need.affinityKey;
    if (need.segmentTokens > 0)
        question.segment = XXH64(need.affinityKey.data(), need.affinityKey.size(), 0);
    question.segmentTokens = tokens(need.segmentTokens);
    question.unsharedTokens = tokens(need.unsharedTokens);
    question.outputTokens = tokens(need.outputTokens);
    question.promptTokens = tokens(need.promptTokens);
    question.storeHoldsSegment = need.storeHoldsSegment;
    question.lane = static_cast<std::uint8_t>(need.lane);
    question.priority = static_cast<std::uint8_t>(std::clamp(facts.priority, 0, 255));
    question.account = shortHash(facts.account);
    question.targetMs = milliseconds(facts.target);
    question.deadlineMs = milliseconds(facts.deadline);
    addExclusions(question, facts.inputs.candidates);
    placement->answered = answered;
    placement->home = homeOf(facts, number, steadyNow());
    placement->target = facts.target;
    placement->maxWait = facts.maxWait;
    m_placements.emplace(number, std::move(placement));
    ask(number, ask_stage::HomeFast, steadyNow());
    return number;
}

void placement_client::ask(std::uint32_t number, ask_stage stage, time_point now)
{
    open_placement &placement = *m_placements.at(number);
    placement.stage = stage;
    placement.state = ask_state::Asked;
    placement.repeats = 0;
    placement.dataCentre = placement.home;
    if (stage == ask_stage::OtherFast) {
        const auto other = otherDataCentre(placement.home, number, now);
        if (!other) {
            ask(number, ask_stage::HomeQueue, now);
            return;
        }
        placement.dataCentre = *other;
    }
    const bool queues = stage == ask_stage::HomeQueue;
    placement.question.maxExpectedMs = queues ? 0 : fastMs(placement);
    placement.question.maxWaitMs = queues ? milliseconds(placement.maxWait) : 0;
    countRepetition(placement, now);
    send(number, now);
}

/// Numbers the next sending of the question. Without cold grants, the number stays that of an older
/// build, to which schedulers give none.
void placement_client::countRepetition(open_placement &placement, time_point now) const
{
    if (m_board.settings.mechanisms.uses(mechanism::ColdGrants))
        ++placement.question.repetition;
    placement.askedAt = now;
}

void placement_client::send(std::uint32_t number, time_point now)
{
    open_placement &placement = *m_placements.at(number);
    if (isOwnScheduler(placement.dataCentre)) {
        answerReceived(m_scheduler.ask(placement.question, now), placement.dataCentre, now);
        return;
    }
    const auto address = schedulerOf(placement.dataCentre);
    if (!address) {
        settle(placement, ask_state::Local);
        return;
    }
    sendTo(*address, placement.question);
    armTimer(number);
}

void placement_client::armTimer(std::uint32_t number)
{
    open_placement &placement = *m_placements.at(number);
    const bool isOwn = placement.dataCentre == m_board.settings.dataCentre;
    placement.timer.expires_after(placement.state == ask_state::Queued ? m_options.repeatInterval
                                  : isOwn                              ? m_options.answerTimeout
                                          : m_options.remoteAnswerTimeout);
    placement.timer.async_wait([this, number](error_code error) {
        if (!error && m_placements.count(number) != 0)
            timedOut(number);
    });
}

void placement_client::timedOut(std::uint32_t number)
{
    open_placement &placement = *m_placements.at(number);
    const time_point now = steadyNow();
    if (placement.state == ask_state::Queued && placement.repeats < m_options.maxRepeats) {
        ++placement.repeats;
        countRepetition(placement, now);
        askElsewhere(number, now);
        send(number, now);
        return;
    }
    if (placement.state != ask_state::Asked && placement.state != ask_state::Queued)
        return;
    m_board.metrics.count(router_counter::SchedulerTimeouts);
    m_silentUntil[placement.dataCentre] = now + m_options.silencePause;
    stateChange(placement.dataCentre, { number, 0, 0, 0, std::uint8_t(call_stage::Ended) });
    if (placement.stage == ask_stage::OtherFast)
        ask(number, ask_stage::HomeQueue, now);
    else
        settle(placement, ask_state::Local);
    notify(number);
}

/// Lets the request continue if its placement is settled. It may end the placement.
void placement_client::notify(std::uint32_t number)
{
    const auto found = m_placements.find(number);
    if (found == m_placements.end() || found->second->state == ask_state::Asked
        || found->second->state == ask_state::Queued)
        return;
    const auto answered = found->second->answered;
    if (answered)
        answered();
}

/// Asks another data centre for a fast endpoint while the request waits in its queue.
void placement_client::askElsewhere(std::uint32_t number, time_point now)
{
    const open_placement &placement = *m_placements.at(number);
    const auto other = otherDataCentre(placement.home,
                                       number + static_cast<std::uint32_t>(placement.repeats), now);
    const auto address = other ? schedulerOf(*other) : std::nullopt;
    if (!address)
        return;
    placement_question question = placement.question;
    question.maxExpectedMs = fastMs(placement);
    question.maxWaitMs = 0;
    sendTo(*address, question);
}

/// Returns the longest expected time to the first event that counts as fast, in milliseconds.
std::uint32_t placement_client::fastMs(const open_placement &placement) const
{
    const double seconds = m_options.fastShareOfTarget * toSeconds(placement.target);
    return std::max<std::uint32_t>(1, milliseconds(fromSeconds(seconds)));
}

void placement_client::settle(open_placement &placement, ask_state state)
{
    placement.timer.cancel();
    placement.state = state;
}

void placement_client::answerReceived(const placement_answer &answer, const std::string &dataCentre,
                                      time_point now)
{
    if (answer.vm != m_vm || dataCentre.empty())
        return;
    const auto verdict = static_cast<placement_verdict>(answer.verdict);
    const auto found = m_placements.find(answer.number);
    const bool isGrant = verdict == placement_verdict::Granted;
    const call_row withdrawn{ answer.number, 0, 0, 0, std::uint8_t(call_stage::Ended) };
    if (found == m_placements.end()) {
        if (isGrant)
            stateChange(dataCentre, withdrawn);
        return;
    }
    open_placement &placement = *found->second;
    const bool isOpen = placement.state == ask_state::Asked || placement.state == ask_state::Queued;
    const bool isElsewhere = dataCentre != placement.dataCentre;
    if (isElsewhere && isGrant)
        stateChange(isOpen ? placement.dataCentre : dataCentre, withdrawn);
    if (!isOpen || (isElsewhere && !isGrant))
        return;
    m_silentUntil.erase(dataCentre);
    switch (verdict) {
    case placement_verdict::Granted:
        placement.dataCentre = dataCentre;
        placement.answer = answer;
        settle(placement, ask_state::Granted);
        break;
    case placement_verdict::Queued:
        placement.state = ask_state::Queued;
        placement.repeats = 0;
        armTimer(answer.number);
        break;
    case placement_verdict::Declined:
        declined(answer.number, now);
        break;
    default:
        settle(placement, ask_state::Local);
    }
}

void placement_client::declined(std::uint32_t number, time_point now)
{
    open_placement &placement = *m_placements.at(number);
    switch (placement.stage) {
    case ask_stage::HomeFast:
        ask(number, ask_stage::OtherFast, now);
        break;
    case ask_stage::OtherFast:
        ask(number, ask_stage::HomeQueue, now);
        break;
    case ask_stage::HomeQueue:
        placement.retryAt = now + m_options.declinedPause;
        settle(placement, ask_state::NoRoom);
        break;
    }
}

bool placement_client::isPending(std::uint32_t number, time_point now) const
{
    const open_placement &placement = *m_placements.at(number);
    return placement.state == ask_state::Asked || placement.state == ask_state::Queued
           || (placement.state == ask_state::NoRoom && now < placement.retryAt);
}

/// Asks again after a grant for a cold engine that came too late to be used.
void placement_client::dropLateGrant(std::uint32_t number, time_point now)
{
    m_board.metrics.count(router_counter::ColdGrantsDropped);
    stateChange(m_placements.at(number)->dataCentre,
                { number, 0, 0, 0, std::uint8_t(call_stage::Ended) });
    ask(number, ask_stage::HomeFast, now);
}

placement_step placement_client::stepOf(std::uint32_t number, const placement_facts &facts,
                                        time_point now)
{
    open_placement &placement = *m_placements.at(number);
    if (placement.state == ask_state::NoRoom && now >= placement.retryAt)
        ask(number, ask_stage::HomeFast, now);
    if (placement.state == ask_state::Granted
        && !isUsableGrant(placement.answer, placement.question, placement.askedAt, now))
        dropLateGrant(number, now);
    switch (placement.state) {
    case ask_state::Asked:
    case ask_state::Queued:
        return await_placement{};
    case ask_state::NoRoom:
        return no_room{};
    case ask_state::Granted:
        break;
    case ask_state::Local:
    case ask_state::InCall:
        return place_locally{};
    }
    endpoint_choice choice;
    const auto &candidates = facts.inputs.candidates;
    bool isKnown = false;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::uint32_t hash = shortHash(candidates[index].id);
        if (hash == placement.answer.endpoint
            && allowsCall(placement.answer, candidates[index].excluded)) {
            choice.index = index;
            isKnown = true;
        }
        if (placement.answer.copyFrom != 0 && hash == placement.answer.copyFrom)
            choice.copyFrom = index;
        choice.copySourceIsKnown = choice.copyFrom.has_value();
    }
    if (!isKnown) // This VM knows more of the endpoint than the scheduler.
        return place_locally{};
    choice.expectedCachedTokens = std::min<std::int64_t>(placement.answer.cachedTokens,
                                                         facts.inputs.need.promptTokens);
    choice.onSchedulersShare = placement.answer.onColdShare;
    choice.expectedMs = placement.answer.expectedMs;
    choice.expectedFirstEventMs = placement.answer.expectedMs;
    choice.unreadTokens = facts.inputs.need.promptTokens - choice.expectedCachedTokens;
    choice.tokensAhead = placement.answer.tokensAhead;
    choice.running = static_cast<int>(std::min<std::uint32_t>(placement.answer.running, INT32_MAX));
    return choice;
}

/// States a call, also one that this VM has placed by itself.
void placement_client::callStarted(std::uint32_t &number, const endpoint_report &endpoint,
                                   const call_load &load)
{
    if (m_board.schedulers.empty() && !m_board.actsAsScheduler)
        return;
    if (number == 0) {
        number = ++m_lastNumber;
        m_placements.emplace(number, std::make_unique<open_placement>(m_context));
    }
    open_placement &placement = *m_placements.at(number);
    const bool wasGranted = placement.state == ask_state::Granted;
    settle(placement, ask_state::InCall);
    placement.answered = nullptr;
    placement.dataCentre = endpoint.dataCentre;
    placement.row = { number, shortHash(endpoint.id), tokens(load.pendingPrefillTokens),
                      tokens(load.activeTokens), std::uint8_t(call_stage::Prefill) };
    if (!wasGranted)
        stateChange(placement.dataCentre, placement.row);
}

void placement_client::prefillFinished(std::uint32_t number, duration firstEvent)
{
    open_placement &placement = *m_placements.at(number);
    if (placement.state != ask_state::InCall)
        return;
    placement.row.stage = std::uint8_t(call_stage::Decode);
    // 0 means unknown, so a first event within a millisecond counts as one millisecond.
    if (firstEvent > duration::zero())
        placement.row.firstEventMs = std::max<std::uint32_t>(1, milliseconds(firstEvent));
    stateChange(placement.dataCentre, placement.row);
}

void placement_client::end(std::uint32_t number)
{
    const auto found = m_placements.find(number);
    if (found == m_placements.end())
        return;
    const std::unique_ptr<open_placement> placement = std::move(found->second);
    m_placements.erase(found);
    placement->timer.cancel();
    if (placement->state == ask_state::Local || placement->state == ask_state::NoRoom)
        return;
    stateChange(placement->dataCentre, { number, 0, 0, 0, std::uint8_t(call_stage::Ended) });
}

void placement_client::stateChange(const std::string &dataCentre, const call_row &row)
{
    sendStatement(dataCentre, { m_vm, ++m_sequence, false, { row } });
    if (isOwnScheduler(dataCentre) && m_scheduler.waiting() > 0)
        boost::asio::post(m_context, [this] { sendGrants(steadyNow()); });
}

void placement_client::stateCalls(const std::string &dataCentre, time_point)
{
    call_statement statement{ m_vm, ++m_sequence, true, {} };
    for (const auto &[number, placement] : m_placements) {
        if (placement->dataCentre != dataCentre)
            continue;
        if (placement->state == ask_state::InCall)
            statement.calls.push_back(placement->row);
        else if (placement->state != ask_state::Local && placement->state != ask_state::NoRoom)
            statement.calls.push_back({ number, 0, 0, 0, std::uint8_t(call_stage::Prefill) });
    }
    sendStatement(dataCentre, statement);
}

void placement_client::sendStatement(const std::string &dataCentre, const call_statement &statement)
{
    if (isOwnScheduler(dataCentre))
        applyStatement(statement, steadyNow());
    else if (const auto address = schedulerOf(dataCentre))
        sendTo(*address, statement);
}

void placement_client::applyStatement(const call_statement &statement, time_point now)
{
    const std::uint64_t droppedBefore = m_scheduler.droppedTimes();
    m_scheduler.apply(statement, now);
    for (auto dropped = droppedBefore; dropped < m_scheduler.droppedTimes(); ++dropped)
        m_board.metrics.count(router_counter::DigestRowsRejected);
}

void placement_client::sendGrants(time_point now)
{
    for (const placement_answer &answer : m_scheduler.takeGrants(now)) {
        if (answer.vm == m_vm) {
            answerReceived(answer, m_board.settings.dataCentre, now);
            notify(answer.number);
            continue;
        }
        const auto address = m_vmAddresses.find(answer.vm);
        if (address != m_vmAddresses.end())
            sendTo(address->second, answer);
    }
}

void placement_client::step(time_point now)
{
    if (m_scheduler.calls() > 0 || m_scheduler.waiting() > 0) {
        m_scheduler.step(now);
        sendGrants(now);
    }
    if (now < m_statementDueAt)
        return;
    m_statementDueAt = now + m_options.statementInterval;
    std::set<std::string> dataCentres;
    for (const auto &[number, placement] : m_placements) {
        if (!placement->dataCentre.empty())
            dataCentres.insert(placement->dataCentre);
    }
    std::set<std::string> told = m_stated; // Also those that have to hear that nothing is left.
    told.insert(dataCentres.begin(), dataCentres.end());
    for (const std::string &dataCentre : told)
        stateCalls(dataCentre, now);
    m_stated = std::move(dataCentres);
}

void placement_client::sendTo(const udp::endpoint &address, const scheduler_message &message)
{
    m_send(address, encodeSchedulerMessage(message));
}

/// Returns the data centre whose scheduler has this address, or an empty string.
std::string placement_client::dataCentreOf(const udp::endpoint &scheduler) const
{
    for (const auto &[dataCentre, address] : m_board.schedulers) {
        if (schedulerOf(dataCentre) == scheduler)
            return dataCentre;
    }
    return {};
}

void placement_client::datagramReceived(std::string_view bytes, const udp::endpoint &sender)
{
    const auto message = decodeSchedulerMessage(bytes);
    if (!isOk(message)) {
        m_board.metrics.count(router_counter::DigestRowsRejected);
        return;
    }
    const time_point now = steadyNow();
    const auto rememberAddress = [&](std::uint64_t vm) {
        if (m_vmAddresses.size() >= MaxVmAddresses)
            m_vmAddresses.clear();
        m_vmAddresses[vm] = sender;
    };
    std::visit(overloaded{ [&](const placement_question &question) {
                              rememberAddress(question.vm);
                              sendTo(sender, m_scheduler.ask(question, now));
                          },
                           [&](const placement_answer &answer) {
                               answerReceived(answer, dataCentreOf(sender), now);
                               if (answer.vm == m_vm)
                                   notify(answer.number);
                           },
                           [&](const call_statement &statement) {
                               rememberAddress(statement.vm);
                               applyStatement(statement, now);
                               sendGrants(now);
                           } },
               valueOf(message));
}

} // namespace burdockhold
