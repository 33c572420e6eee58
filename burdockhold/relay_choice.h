#ifndef BURDOCKHOLD_RELAY_CHOICE_H
#define BURDOCKHOLD_RELAY_CHOICE_H

// Chooses the VM that relays a connection to an endpoint for a VM that has lost its own way there.
//
// Promises:
// - A VM that has lost contact itself, is leaving or has refused lately is not chosen.
// - VMs of the own data centre go first while there are as many of them as VMs there that need a
//   relay, since bytes between data centres are slower and dearer. Otherwise all VMs share the
//   load.
// - Connections are spread over the VMs in turn.
// Failure: without any VM to choose, the endpoint is called directly.
//
// Load pattern: some or most VMs of a data centre are cut off from all endpoints at once.
// The class reads no clock and does no I/O. Time is linear in the number of VMs.

#include "burdockhold/clock.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdockhold {

/// Another VM that is alive, as its digests describe it.
struct relay_candidate
{
    std::string address; ///< "IP:PORT" of its port for other VMs.
    bool isLocal = false;
    bool isCutOff = false; ///< It has lost contact with all endpoints.
};

struct relay_choice_options
{
    duration refusalMemory = std::chrono::seconds(1);
};

class relay_choice
{
public:
    explicit relay_choice(relay_choice_options options = {})
        : m_options(options)
    {
    }

    void setCandidates(std::vector<relay_candidate> candidates)
    {
        m_candidates = std::move(candidates);
    }

    /// Records that the VM could not be reached or has refused to relay.
    void refused(const std::string &address, time_point now) { m_refusedAt[address] = now; }

    /// Returns the address of the next VM in turn.
    std::optional<std::string> choose(time_point now)
    {
        forgetOldRefusals(now);
        std::vector<const relay_candidate *> local;
        std::vector<const relay_candidate *> all;
        std::size_t localCutOff = 1; // This VM.
        for (const relay_candidate &candidate : m_candidates) {
            localCutOff += candidate.isLocal && candidate.isCutOff ? 1 : 0;
            if (candidate.isCutOff || m_refusedAt.count(candidate.address) != 0)
                continue;
            all.push_back(&candidate);
            if (candidate.isLocal)
                local.push_back(&candidate);
        }
        const auto &choices = local.size() >= localCutOff ? local : all;
        if (choices.empty())
            return std::nullopt;
        return choices[m_turn++ % choices.size()]->address;
    }

    std::size_t size() const { return m_candidates.size(); }

    bool hasChoice(time_point now) const
    {
        return std::any_of(m_candidates.begin(), m_candidates.end(), [&](const auto &candidate) {
            const auto refusal = m_refusedAt.find(candidate.address);
            return !candidate.isCutOff
                   && (refusal == m_refusedAt.end()
                       || now - refusal->second > m_options.refusalMemory);
        });
    }

private:
    void forgetOldRefusals(time_point now)
    {
        for (auto refusal = m_refusedAt.begin(); refusal != m_refusedAt.end();)
            refusal = now - refusal->second > m_options.refusalMemory ? m_refusedAt.erase(refusal)
                                                                      : std::next(refusal);
    }

    relay_choice_options m_options;
    std::vector<relay_candidate> m_candidates;
    std::map<std::string, time_point> m_refusedAt;
    std::size_t m_turn = 0;
};

} // namespace burdockhold

#endif
