#include "burdockhold/deployment_history.h"

#include "burdockhold/deployment_part.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace burdockhold {

std::string encodeDeploymentUpdate(const deployment_update &update)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, update);
    return { buffer.data(), buffer.size() };
}

result<deployment_update, deployment_update_error> decodeDeploymentUpdate(std::string_view bytes)
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<deployment_update>();
    } catch (const std::exception &error) {
        return basic_error<deployment_update_error>{ deployment_update_error::NotReadable,
                                                     error.what(), "deployment update" };
    }
}

deployment_history::deployment_history(deployment_history_options options)
    : m_options(options)
{
}

std::optional<std::uint64_t> deployment_history::version() const
{
    return m_steps.empty() ? std::nullopt : std::optional(m_steps.back().version);
}

bool deployment_history::isNewerThan(std::optional<std::uint64_t> known) const
{
    return !m_steps.empty() && (!known || m_steps.back().version > *known);
}

bool deployment_history::put(const deployment &newest)
{
    if (!m_steps.empty() && newest.version <= m_steps.back().version)
        return false;
    const auto applied = advance(newest.version, changesTo(encodeDeploymentParts(newest)));
    return isOk(applied) && valueOf(applied);
}

result<bool, deployment_update_error> deployment_history::apply(const deployment_update &update)
{
    if (!m_steps.empty() && update.version <= m_steps.back().version)
        return false;
    if (!update.isSnapshot)
        return version() == update.base ? advance(update.version, update.parts) : false;
    encoded_parts parts;
    for (const topic_record &record : update.parts)
        parts.emplace(record.key, record.value);
    return advance(update.version, changesTo(parts));
}

/// Returns the changes that turn the current parts into the given ones.
std::vector<topic_record> deployment_history::changesTo(const encoded_parts &parts) const
{
    std::vector<topic_record> changes;
    for (const auto &[key, value] : parts) {
        const auto known = m_parts.find(key);
        if (known == m_parts.end() || known->second != value)
            changes.push_back({ key, false, value });
    }
    for (const auto &[key, value] : m_parts) {
        if (parts.count(key) == 0)
            changes.push_back({ key, true, {} });
    }
    return changes;
}

/// Applies the changes that lead from the current version to the given one.
result<bool, deployment_update_error> deployment_history::advance(
        std::uint64_t version, const std::vector<topic_record> &records)
{
    deployment_changes changes;
    changes.version = version;
    for (const topic_record &record : records) {
        const auto added = record.removed ? addRemovedPart(changes, record.key)
                                          : addPart(changes, record.key, record.value);
        if (!isOk(added))
            return basic_error<deployment_update_error>{ deployment_update_error::NotReadable,
                                                         errorOf(added).text,
                                                         errorOf(added).context };
    }
    m_index = std::make_shared<const deployment_index>(m_index.get(), std::move(changes));
    version_step step{ version, {} };
    for (const topic_record &record : records) {
        step.changedKeys.push_back(record.key);
        if (record.removed)
            m_parts.erase(record.key);
        else
            m_parts[record.key] = record.value;
    }
    m_changedKeys += step.changedKeys.size();
    m_steps.push_back(std::move(step));
    pruneSteps();
    return true;
}

/// Discards old steps while there are too many, or while an update since the oldest one could be
/// longer than a snapshot.
void deployment_history::pruneSteps()
{
    const std::size_t maxKeys = std::max(m_options.minChangedKeys, m_parts.size());
    while (m_steps.size() > 1
           && (m_steps.size() > m_options.maxVersions || m_changedKeys > maxKeys)) {
        m_changedKeys -= m_steps.front().changedKeys.size();
        m_steps.pop_front();
    }
}

deployment_update deployment_history::since(std::optional<std::uint64_t> known) const
{
    deployment_update update;
    update.version = m_steps.back().version;
    const auto base = std::find_if(m_steps.begin(), m_steps.end(), [known](const auto &step) {
        return known && step.version == *known;
    });
    if (base == m_steps.end()) {
        update.isSnapshot = true;
        for (const auto &[key, value] : m_parts)
            update.parts.push_back({ key, false, value });
        return update;
    }
    update.base = base->version;
    std::set<std::string_view> keys;
    for (auto step = std::next(base); step != m_steps.end(); ++step)
        keys.insert(step->changedKeys.begin(), step->changedKeys.end());
    for (const std::string_view key : keys) {
        const auto part = m_parts.find(std::string(key));
        if (part == m_parts.end())
            update.parts.push_back({ std::string(key), true, {} });
        else
            update.parts.push_back({ part->first, false, part->second });
    }
    return update;
}

} // namespace burdockhold
