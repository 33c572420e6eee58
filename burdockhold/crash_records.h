#ifndef BURDOCKHOLD_CRASH_RECORDS_H
#define BURDOCKHOLD_CRASH_RECORDS_H

// Keeps blocked fingerprints (crash_fingerprints.h) in the platform's log, so that they stay
// blocked when all VMs restart. The VM at which a crash blocks a fingerprint writes a record, one
// for each fingerprint, and writes it again with each further crash; the VM that clears a block
// deletes it. A VM reads the records once, when it starts; later it learns from digests.
//
// Records carry times of day. These may jump by seconds, which shifts the next trial by as much. A
// record from the future counts as new, an expired one is deleted by the VM that reads it. A record
// that cannot be decoded is logged and ignored. While the log is unavailable, writes are repeated;
// until then a restart of all VMs loses the block.

#include "burdockhold/router_board.h"
#include "burdockhold/topic_follower.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace burdockhold {

enum class crash_record_error { NotReadable, Invalid };

/// Encodes the crashes of a row as JSON. The time of day is in milliseconds since the Unix epoch.
std::string encodeCrashRecord(const crash_row &row, std::int64_t timeOfDayMs);

/// Decodes a record; the key is the formatted fingerprint. At most maxCrashes crashes are read.
result<crash_row, crash_record_error> decodeCrashRecord(std::string_view key,
                                                        std::string_view value,
                                                        std::int64_t timeOfDayMs);

class crash_records
{
public:
    crash_records(boost::asio::io_context &context, router_board &board,
                  const boost::asio::ip::tcp::endpoint &logServer);

    /// Reads the records of earlier blocks. Repeated by step() until it succeeds.
    void load();

    /// Writes what has changed. Called on every tick.
    void step(time_point now);

private:
    void readPage(const std::string &after);
    void pageReceived(const log_response &response);
    void applyRecord(const platform::keyed_record &record);
    void write(fingerprint suspect);
    void writeCompleted(fingerprint suspect, const log_response &response);

    router_board &m_board;
    std::shared_ptr<log_connection> m_connection;
    bool m_callInProgress = false;
    bool m_loadDue = false;
    time_point m_nextCallAt;
};

} // namespace burdockhold

#endif
