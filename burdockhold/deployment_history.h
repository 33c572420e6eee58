#ifndef BURDOCKHOLD_DEPLOYMENT_HISTORY_H
#define BURDOCKHOLD_DEPLOYMENT_HISTORY_H

// Keeps the newest deployment in parts and records which parts each version changed, so that a VM
// that has one version gets only what has changed since.
//
// Guarantees:
// - A replica that applies the updates it gets has the same deployment as the sender, whichever VMs
//   it gets them from and in which order.
// - An update is applied completely or not at all, and the version never decreases.
// - An update since a version that the sender has had contains only the parts that changed since,
//   none for a deployment in which nothing did. For other versions it is a snapshot.
//
// The cost of an update at both ends depends on the parts that changed, apart from copying the
// lookup tables. Memory is linear in the size of the deployment: of older versions only the keys of
// changed parts are kept, fewer than the parts themselves. No I/O and no clock.

#include "burdockhold/deployment.h"
#include "burdockhold/result.h"
#include "burdockhold/topic_changelog.h"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhold {

/// What a version of the deployment changes of an earlier one, or a snapshot.
struct deployment_update
{
    bool isSnapshot = false; ///< The records are complete; all other parts were removed.
    std::uint64_t base = 0;  ///< The version to which the update applies. Unused in a snapshot.
    std::uint64_t version = 0;
    std::vector<topic_record> parts;
    MSGPACK_DEFINE_ARRAY(isSnapshot, base, version, parts)
};

enum class deployment_update_error { NotReadable };

std::string encodeDeploymentUpdate(const deployment_update &update);
result<deployment_update, deployment_update_error> decodeDeploymentUpdate(std::string_view bytes);

struct deployment_history_options
{
    /// Versions since which updates are kept, the newest one included.
    std::size_t maxVersions = 64;
    /// Keys of changed parts that are kept at least, also if the deployment has fewer parts.
    std::size_t minChangedKeys = 1000;
};

class deployment_history
{
public:
    explicit deployment_history(deployment_history_options options = {});

    /// Replaces the deployment. Returns false and changes nothing if its version is not higher.
    bool put(const deployment &newest);

    /// Applies an update from another VM. Returns false and changes nothing if its version is not
    /// higher, or if it applies to another version than this one. An error means that a part cannot
    /// be decoded; nothing was changed.
    result<bool, deployment_update_error> apply(const deployment_update &update);

    /// Returns the version, or nothing before the first deployment.
    std::optional<std::uint64_t> version() const;

    /// Returns true if there is a newer deployment than the given version.
    bool isNewerThan(std::optional<std::uint64_t> known) const;

    /// Returns the update for a VM that has the given version, or a snapshot for one that has none.
    /// There must be a deployment.
    deployment_update since(std::optional<std::uint64_t> known) const;

    /// Returns the deployment, or nullptr before the first one.
    const std::shared_ptr<const deployment_index> &index() const { return m_index; }

private:
    using encoded_parts = std::map<std::string, std::string>;

    /// A version and the parts in which it differs from the one before.
    struct version_step
    {
        std::uint64_t version = 0;
        std::vector<std::string> changedKeys;
    };

    std::vector<topic_record> changesTo(const encoded_parts &parts) const;
    result<bool, deployment_update_error> advance(std::uint64_t version,
                                                  const std::vector<topic_record> &records);
    void pruneSteps();

    deployment_history_options m_options;
    encoded_parts m_parts;
    std::deque<version_step> m_steps; // Ascending; the last one is the current version.
    std::size_t m_changedKeys = 0;    // In all steps.
    std::shared_ptr<const deployment_index> m_index;
};

} // namespace burdockhold

#endif
