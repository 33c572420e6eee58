#ifndef BURDOCKHOLD_MOVE_CONTROLLER_H
#define BURDOCKHOLD_MOVE_CONTROLLER_H

// One VM's part in version moves: counts outcomes, halts here at once, and says which records to
// propose. A halt here stays in force whatever the log does. The time from a flaw's showing to no
// new request on any VM: a VM that saw outcomesToHalt() bad outcomes in succession on a route halts
// at once; when all VMs together saw that many, every VM halts at the next exchange of evidence
// (heartbeat interval, 1 s); otherwise with the halt record, one log poll (2 s) after its append.
// Proposals need a fresh view; without one the stage is frozen.

#include "burdockhold/move_evidence.h"
#include "burdockhold/version_move.h"

#include <map>
#include <string>
#include <vector>

namespace burdockhold {

/// A finished request of a model under a move.
struct move_outcome
{
    version_choice choice;
    bool usedNew = false; ///< Which version answered; the alternative may have been used.
    std::string route;
    bool failed = false;
    std::optional<duration> latency; ///< Time to first token.
};

/// What the proposer needs to know about the surroundings.
struct move_surroundings
{
    log_time_ms now = 0; ///< Log time.
    bool fresh = false;  ///< Whether the view of the log is fresh.
    std::vector<std::string> liveVms;
    std::map<std::string, std::size_t> endpoints;    ///< By model: endpoints that report a version.
    std::map<std::string, std::size_t> newEndpoints; ///< By model: those with the new version.
};

class move_controller
{
public:
    move_controller(std::string vm, std::uint64_t incarnation, evidence_options options = {});

    /// Takes over the replayed state.
    void setMoves(const version_moves &moves);

    /// Chooses the version for a request, or nothing when the model has never been moved.
    std::optional<version_choice> choose(std::string_view model, std::string_view requestId) const;

    /// Counts a finished request and halts the move here when the evidence says so.
    void observe(const move_outcome &outcome);

    /// Takes over evidence of other VMs and halts here when the whole says so.
    void merge(const move_evidence &other);

    /// What this VM counted itself, for the exchange between VMs that all reach each other.
    const move_evidence &ownEvidence() const { return m_recorder.evidence(); }

    /// Everything this VM knows, for VMs that do not.
    const move_evidence &evidence() const { return m_merged; }

    /// Returns the records to append now. A record is returned again after ProposalRetry until its
    /// effect is seen in the log.
    std::vector<version_record> proposals(const move_surroundings &around);

    /// Returns whether this VM has halted the move.
    bool haltedHere(log_offset move) const { return m_halted.count(move) > 0; }

private:
    struct progress
    {
        log_offset stageRecord = 0;     ///< The stage for which the times below hold.
        log_time_ms readySince = 0;     ///< When the next stage could first start; 0 for not yet.
        log_time_ms proposedAt = 0;     ///< 0 for never.
        log_time_ms haltKnownSince = 0; ///< 0 for no halt.
    };
    struct local_halt
    {
        std::string reason;
        bool ownEvidence = false;
    };

    void halt(log_offset move, flaw_signal signal, bool ownEvidence);
    bool mayAdvance(const move_state &move, const move_surroundings &around) const;
    std::string describe(const move_state &move) const;
    void proposeHalt(const move_state &move, const move_surroundings &around,
                     std::vector<version_record> &out);
    void proposeStage(const move_state &move, const move_surroundings &around,
                      std::vector<version_record> &out);

    std::string m_vm;
    evidence_options m_options;
    version_moves m_moves;
    evidence_recorder m_recorder;
    move_evidence m_merged;
    std::map<log_offset, fleet_watch> m_watches;
    std::map<log_offset, local_halt> m_halted;
    std::map<log_offset, progress> m_progress;
};

/// Pause before a record without visible effect is proposed again, and between the turns of two
/// VMs: twice the log poll wait, so that the earlier proposer's record is seen first.
constexpr duration ProposalRetry = std::chrono::seconds(4);

/// Returns how many of `endpoints` should have the new version: at least the stage's share; before
/// the move is done one stays on the old version, when there are two or more, so that a halt finds
/// an endpoint to serve from.
std::size_t newEndpointTarget(const move_state &move, std::size_t endpoints);

} // namespace burdockhold

#endif
