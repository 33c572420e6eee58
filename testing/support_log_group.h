#ifndef BURDOCKHOLD_SUPPORT_LOG_GROUP_H
#define BURDOCKHOLD_SUPPORT_LOG_GROUP_H

// A group of the log's service, as its published protocol describes it. Times are passed in, so the
// model serves tests of decisions as well as the fake of the service. A copy of a group is its
// state at that moment, as a service that is restored from a copy has it.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <vector>

namespace burdockhold::testing {

struct log_group_options
{
    int partitions = 12;
    bool membershipsEnd = true; ///< False: the time of a member never runs out.
    /// False: the generation stays the same when the time of a member has run out, and the
    /// partitions of that member are given to the others.
    bool generationGrowsOnExpiry = true;
    bool forgetsEmptyGroup = false; ///< A group without members starts from generation 0 again.
};

struct log_group_answer
{
    std::int64_t generation = 0;
    std::vector<int> partitions; ///< That the member holds.
};

class log_group
{
public:
    using time = std::chrono::nanoseconds;

    explicit log_group(log_group_options options = {})
        : m_options(options)
        , m_owners(static_cast<std::size_t>(options.partitions))
    {
    }

    /// Joins, or keeps the membership. The generation is the last one that the member has received.
    log_group_answer join(const std::string &name, time ttl, std::int64_t generation, time now)
    {
        expire(now);
        if (m_members.count(name) == 0)
            ++m_generation;
        m_members[name] = now + ttl;
        assignFree();
        if (generation >= m_generation)
            releaseUnlisted(name);
        return { m_generation, partitionsOf(name) };
    }

    void leave(const std::string &name, time now)
    {
        expire(now);
        if (m_members.erase(name) != 0)
            removed(name, true);
    }

    /// Takes all partitions from their holders and gives them to other members. A holder without
    /// other members gets none for the given time.
    void reassign(time barredFor, time now)
    {
        expire(now);
        ++m_generation;
        ++m_rotation;
        m_barred = ownerOf(0);
        m_barredUntil = now + barredFor;
        std::fill(m_owners.begin(), m_owners.end(), std::string());
        assignFree();
    }

    /// Returns the member that holds the partition, or an empty string.
    std::string ownerOf(int partition) const
    {
        return m_owners[static_cast<std::size_t>(partition)];
    }

    std::int64_t generation() const { return m_generation; }

private:
    void expire(time now)
    {
        if (!m_barred.empty() && now >= m_barredUntil) {
            m_barred.clear();
            ++m_generation; // The distribution changes.
        }
        for (auto member = m_members.begin(); member != m_members.end();) {
            const bool expired = m_options.membershipsEnd && now >= member->second;
            const std::string name = member->first;
            member = expired ? m_members.erase(member) : std::next(member);
            if (expired)
                removed(name, m_options.generationGrowsOnExpiry);
        }
    }

    void removed(const std::string &name, bool grows)
    {
        m_generation += grows ? 1 : 0;
        if (m_members.empty() && m_options.forgetsEmptyGroup)
            m_generation = 0;
        std::replace(m_owners.begin(), m_owners.end(), name, std::string());
        assignFree();
    }

    /// Returns the member to which an even distribution gives the partition, or an empty string.
    std::string targetOf(std::size_t partition) const
    {
        std::vector<std::string> names;
        for (const auto &[name, end] : m_members) {
            if (name != m_barred)
                names.push_back(name);
        }
        return names.empty() ? std::string() : names[(partition + m_rotation) % names.size()];
    }

    void assignFree()
    {
        for (std::size_t partition = 0; partition < m_owners.size(); ++partition) {
            if (m_owners[partition].empty())
                m_owners[partition] = targetOf(partition);
        }
    }

    /// The member knows that these partitions are no longer listed.
    void releaseUnlisted(const std::string &name)
    {
        for (std::size_t partition = 0; partition < m_owners.size(); ++partition) {
            if (m_owners[partition] == name)
                m_owners[partition] = targetOf(partition);
        }
    }

    std::vector<int> partitionsOf(const std::string &name) const
    {
        std::vector<int> held;
        for (std::size_t partition = 0; partition < m_owners.size(); ++partition) {
            if (m_owners[partition] == name && targetOf(partition) == name)
                held.push_back(static_cast<int>(partition));
        }
        return held;
    }

    log_group_options m_options;
    std::int64_t m_generation = 0;
    std::size_t m_rotation = 0;
    std::map<std::string, time> m_members; // Ends of the memberships.
    std::vector<std::string> m_owners;     // By partition.
    std::string m_barred;
    time m_barredUntil{ 0 };
};

} // namespace burdockhold::testing

#endif
