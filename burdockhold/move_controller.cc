#include "burdockhold/move_controller.h"

#include <algorithm>

namespace burdockhold {

namespace {

constexpr log_time_ms RetryMs = std::chrono::duration_cast<std::chrono::milliseconds>(ProposalRetry)
                                        .count();

std::size_t lookUp(const std::map<std::string, std::size_t> &counts, const std::string &model)
{
    const auto found = counts.find(model);
    return found == counts.end() ? 0 : found->second;
}

/// Whether the VM's turn has come: VM number n of the order waits n times ProposalRetry.
bool isTurn(const std::string &vm, const move_state &move, log_time_ms since,
            const move_surroundings &around)
{
    const auto turn = turnOf(vm, around.liveVms, "move " + std::to_string(move.latest));
    return turn && around.now >= since + static_cast<log_time_ms>(*turn) * RetryMs;
}

} // namespace

std::size_t newEndpointTarget(const move_state &move, std::size_t endpoints)
{
    if (move.phase == move_phase::Done)
        return endpoints;
    if (move.phase != move_phase::Running || endpoints == 0)
        return 0;
    const std::size_t share = StageShares[static_cast<std::size_t>(move.stage)];
    const std::size_t needed = (endpoints * share + FullShare - 1) / FullShare;
    if (endpoints == 1)
        return share == FullShare ? 1 : 0;
    return std::min(needed, endpoints - 1);
}

move_controller::move_controller(std::string vm, std::uint64_t incarnation,
                                 evidence_options options)
    : m_vm(vm)
    , m_options(options)
    , m_recorder(std::move(vm), incarnation, options)
{
}

void move_controller::setMoves(const version_moves &moves)
{
    m_moves = moves;
    log_offset oldest = moves.offset + 1;
    for (const auto &[model, move] : m_moves.byModel) {
        oldest = std::min(oldest, move.offset);
        progress &state = m_progress[move.offset];
        if (state.stageRecord != move.latest) {
            state.stageRecord = move.latest;
            state.readySince = 0;
            state.proposedAt = 0;
        }
    }
    m_recorder.forgetBefore(oldest);
    for (auto it = m_merged.begin(); it != m_merged.end();)
        it = it->first.move < oldest ? m_merged.erase(it) : std::next(it);
    m_watches.erase(m_watches.begin(), m_watches.lower_bound(oldest));
    m_halted.erase(m_halted.begin(), m_halted.lower_bound(oldest));
    m_progress.erase(m_progress.begin(), m_progress.lower_bound(oldest));
}

std::optional<version_choice> move_controller::choose(std::string_view model,
                                                      std::string_view requestId) const
{
    const auto move = m_moves.byModel.find(model);
    if (move == m_moves.byModel.end())
        return std::nullopt;
    return chooseVersion(move->second, requestId, haltedHere(move->second.offset));
}

void move_controller::halt(log_offset move, flaw_signal signal, bool ownEvidence)
{
    const std::string reason = signal == flaw_signal::Errors ? "errors" : "slow first tokens";
    m_halted.try_emplace(move, local_halt{ reason, ownEvidence });
}

void move_controller::observe(const move_outcome &outcome)
{
    if (outcome.choice.stage >= FinalStage)
        return;
    const auto signal = m_recorder.add(outcome.choice.move, outcome.choice.stage, outcome.usedNew,
                                       outcome.route, outcome.failed, outcome.latency);
    if (signal)
        halt(outcome.choice.move, *signal, true);
}

void move_controller::merge(const move_evidence &other)
{
    mergeEvidence(m_merged, m_recorder.evidence());
    mergeEvidence(m_merged, other);
    for (const auto &[model, move] : m_moves.byModel) {
        if (move.phase != move_phase::Running)
            continue;
        fleet_watch &watch = m_watches.try_emplace(move.offset, move.offset, m_options)
                                     .first->second;
        if (const auto signal = watch.update(m_merged))
            halt(move.offset, *signal, false);
    }
}

bool move_controller::mayAdvance(const move_state &move, const move_surroundings &around) const
{
    const stage_window window = planStage(move);
    const std::size_t endpoints = lookUp(around.endpoints, move.model);
    if (around.now < window.earliest || endpoints == 0)
        return false;
    if (lookUp(around.newEndpoints, move.model) < newEndpointTarget(move, endpoints))
        return false;
    const auto watch = m_watches.find(move.offset);
    if (watch != m_watches.end() && watch->second.pointsToFlaw())
        return false;
    // A single endpoint cannot serve two versions, so its first stages see no request.
    const stage_verdict verdict = judgeStage(m_merged, move.offset, move.stage, m_options);
    if (endpoints == 1 && move.stage + 1 < FinalStage)
        return verdict != stage_verdict::Leaning;
    return verdict == stage_verdict::Proven
           || (verdict == stage_verdict::Unproven && around.now >= window.latest);
}

std::string move_controller::describe(const move_state &move) const
{
    outcome_counts sum;
    for (const auto &[key, counts] : m_merged) {
        if (key.move != move.offset || key.stage != move.stage || !key.isNew)
            continue;
        sum.requests += counts.requests;
        sum.errors += counts.errors;
        sum.judged += counts.judged;
        sum.slow += counts.slow;
    }
    return std::to_string(sum.requests) + " requests, " + std::to_string(sum.errors) + " errors, "
           + std::to_string(sum.slow) + " of " + std::to_string(sum.judged) + " slow";
}

void move_controller::proposeHalt(const move_state &move, const move_surroundings &around,
                                  std::vector<version_record> &out)
{
    progress &state = m_progress[move.offset];
    const local_halt &known = m_halted.at(move.offset);
    if (state.haltKnownSince == 0) {
        state.haltKnownSince = around.now;
        state.proposedAt = 0;
    }
    const bool turn = known.ownEvidence || isTurn(m_vm, move, state.haltKnownSince, around);
    if (!turn || (state.proposedAt != 0 && around.now < state.proposedAt + RetryMs))
        return;
    state.proposedAt = around.now;
    out.emplace_back(halt_record{ move.offset, known.reason, describe(move) });
}

void move_controller::proposeStage(const move_state &move, const move_surroundings &around,
                                   std::vector<version_record> &out)
{
    progress &state = m_progress[move.offset];
    if (!mayAdvance(move, around)) {
        state.readySince = 0;
        return;
    }
    if (state.readySince == 0)
        state.readySince = around.now;
    if (!isTurn(m_vm, move, state.readySince, around)
        || (state.proposedAt != 0 && around.now < state.proposedAt + RetryMs))
        return;
    state.proposedAt = around.now;
    out.emplace_back(stage_record{ move.offset, move.stage + 1, move.latest, describe(move) });
}

std::vector<version_record> move_controller::proposals(const move_surroundings &around)
{
    merge({});
    std::vector<version_record> out;
    if (!around.fresh)
        return out;
    for (const auto &[model, move] : m_moves.byModel) {
        if (move.phase != move_phase::Running)
            continue;
        if (haltedHere(move.offset))
            proposeHalt(move, around, out);
        else
            proposeStage(move, around, out);
    }
    return out;
}

} // namespace burdockhold
