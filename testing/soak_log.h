#ifndef BURDOCKHOLD_SOAK_LOG_H
#define BURDOCKHOLD_SOAK_LOG_H

// The log of a soak, as the operator and the engines write it, with restores from a copy. What they
// wrote since the copy is lost by a restore, and writeAgain() brings back the newest value of a
// key.
//
// Promise: a value that is written again never replaces a newer one. Safe for all threads.

#include "testing/support_platform.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace burdockhold::testing {

class soak_log
{
public:
    /// A value that a restore has lost.
    struct lost_write
    {
        std::string topic;
        std::string key;
        std::uint64_t number = 0; ///< Of the write among all writes.
    };

    fake_log_service &service() { return m_service; }

    void put(const std::string &topic, const std::string &key, const std::string &value);
    void remove(const std::string &topic, const std::string &key);

    void takeCopy();

    /// Returns to the copy and returns what was written since.
    std::vector<lost_write> restore();

    /// Writes the value again unless its key has been written since. Returns whether it did.
    bool writeAgain(const lost_write &lost);

private:
    struct newest_write
    {
        std::optional<std::string> value; ///< Nothing for a removal.
        std::uint64_t number = 0;
    };

    void write(const std::string &topic, const std::string &key,
               const std::optional<std::string> &value);

    fake_log_service m_service;
    std::mutex m_mutex; // Guards the fields below, and the order of writes and restores.
    std::map<std::pair<std::string, std::string>, newest_write> m_newest;
    std::uint64_t m_writes = 0;
    std::uint64_t m_writesAtCopy = 0;
};

} // namespace burdockhold::testing

#endif
