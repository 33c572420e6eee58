#ifndef BURDOCKHOLD_TOPIC_CHANGELOG_H
#define BURDOCKHOLD_TOPIC_CHANGELOG_H

// The newest record of each key of a topic, numbered by the order of its changes, so that a reader
// of the log can tell other VMs what has changed since they last asked.
//
// Promises:
// - Who applies the changes since its number has the same records as the history.
// - A record that is put again unchanged is no change: heartbeats cost the other VMs nothing.
// - Memory is linear in the number of keys and at most maxRemoved removed ones; who asks for
//   changes from before a forgotten removal gets the whole.

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace burdockhold {

/// A record of a topic, or that its key was removed.
struct topic_record
{
    std::string key;
    bool removed = false;
    std::string value;
    MSGPACK_DEFINE_ARRAY(key, removed, value)
};

/// What has changed between two numbers of a history.
struct topic_changes
{
    bool whole = false; ///< The records are all there are; keys that are not named are gone.
    std::uint64_t number = 0;
    std::vector<topic_record> records;
};

class topic_changelog
{
public:
    explicit topic_changelog(std::size_t maxRemoved = 2000);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// Removes the keys that a complete list does not name.
    void keepOnly(const std::set<std::string> &keys);

    std::uint64_t number() const { return m_number; }

    /// Changes after the number; all records for 0, for a number of the future, and for one from
    /// before a forgotten removal.
    topic_changes since(std::uint64_t number) const;

private:
    struct numbered_value
    {
        std::uint64_t number = 0;
        bool removed = false;
        std::string value;
    };

    void forgetRemovals();

    std::size_t m_maxRemoved;
    std::uint64_t m_number = 0;
    std::uint64_t m_forgottenUpTo = 0; // The newest change that is not kept any more.
    std::size_t m_removed = 0;
    std::map<std::string, numbered_value> m_values;
};

} // namespace burdockhold

#endif
