#ifndef BURDOCKHOLD_TOPIC_CHANGELOG_H
#define BURDOCKHOLD_TOPIC_CHANGELOG_H

// Holds the newest record of each key of a topic with the sequence number of its last change, so
// that a VM that reads the log can send other VMs what has changed since their last request.
//
// Guarantees:
// - A replica that applies the changes since its sequence number has the same records as the
//   changelog.
// - Putting a record again with the same value is not a change, so heartbeats cost the other VMs
//   nothing.
// - After requireSnapshots(), changes since an earlier sequence number are a snapshot.
// - Memory is linear in the number of keys and at most maxTombstones removed keys. A replica that
//   requests the changes since a time before a discarded tombstone gets a snapshot.

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace burdockhold {

/// A record of a topic, or a tombstone for a removed key.
struct topic_record
{
    std::string key;
    bool removed = false;
    std::string value;
    MSGPACK_DEFINE_ARRAY(key, removed, value)
};

/// The changes of a topic since a sequence number, or a snapshot of the topic.
struct topic_changes
{
    bool isSnapshot = false;          ///< The records are complete; all other keys were removed.
    std::uint64_t sequenceNumber = 0; ///< The last change that is included.
    std::vector<topic_record> records;
};

class topic_changelog
{
public:
    explicit topic_changelog(std::size_t maxTombstones = 2000);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// Removes all other keys. Called with the keys of a complete list of the topic.
    void keepOnly(const std::set<std::string> &keys);

    /// Makes each replica get a snapshot next. Called when changes may have been missed: what is
    /// put then differs from the end of the former state only, and a replica may have seen what
    /// came in between from elsewhere.
    void requireSnapshots();

    std::uint64_t sequenceNumber() const { return m_sequenceNumber; }

    /// Returns the changes after the sequence number. Returns a snapshot for 0, for a number that
    /// this changelog has not reached, and for one from before a discarded tombstone.
    topic_changes since(std::uint64_t sequenceNumber) const;

private:
    struct sequenced_value
    {
        std::uint64_t sequenceNumber = 0;
        bool removed = false;
        std::string value;
    };

    void pruneTombstones();

    std::size_t m_maxTombstones;
    std::uint64_t m_sequenceNumber = 0;
    std::uint64_t m_prunedUpTo = 0; // Changes since an earlier number are not known.
    std::size_t m_tombstones = 0;
    std::map<std::string, sequenced_value> m_values;
};

} // namespace burdockhold

#endif
